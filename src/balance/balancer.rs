//! Places requests on endpoints: holds the known endpoints, the load view, the wait queue and the
//! accounting of requests in flight. State exchange with peers is in [`crate::balance::sync`],
//! placement on behalf of other instances in [`crate::balance::delegation`].
//!
//! Uses no clock, socket or random source of its own, so tests can drive it step by step.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
};

use crate::{
    balance::{
        cold::ColdEndpoints,
        cost::{Expected, PlacementRequest},
        discovery::{Change, Discovery, EndpointEntry, EndpointsDelta},
        grants::Grants,
        index::EndpointIndex,
        load::EndpointKey,
        load_view::{ClusterSize, LoadView},
        prefixes::{ChainKey, PrefixHolders},
        readiness::{PermitDenial, Readiness},
        service_versions::ServiceVersions,
        speed::Speed,
        versions::VersionCounts,
    },
    limits::{announcements::EndpointAnnouncements, back_off::BackOffs, brittle::BrittleEndpoints},
    prelude::{Incarnation, Micros, Name, Rank, StorePosition},
    shares::admission::Standing,
};

/// Maximum time that a request waits for a slot before it is refused, as a share of its target. In
/// a surge most waiting requests are refused anyway; a caller that is refused at once retries
/// sooner or goes elsewhere while it still has time.
///
/// Shares of 0.2, 0.125, 0.05 and 0 over two surge days on 85 instances (seed 11): value served
/// 0.368, 0.408, 0.435, 0.428 and 0.458, 0.506, 0.522, 0.513; share answered over the whole day
/// 0.620, 0.625, 0.648, 0.659. On six instances 0.2 and 0.05 do not differ: means of eight days on
/// each of three deployments 0.666 and 0.673, 0.557 and 0.559, 0.764 and 0.763.
const MAX_WAIT_SHARE: f64 = 0.05;
/// Share of its target for which a stream may queue at an endpoint, by rank. Endpoints do not know
/// ranks, so less urgent requests leave the endpoint queues to more urgent ones. A request that
/// would queue for longer is refused: it would be late and would delay everything queued after it.
///
/// A request that is late in any case gets the share of the next rank, so it yields to requests of
/// its own rank that can still be in time, but not to less urgent ones. In a surge of 1.7 times the
/// slot capacity half of the arrivals were second attempts. Effect there on six instances, two
/// surges of three seeds each: value served from 0.516 to 0.531 and from 0.470 to 0.478, for the
/// worst kind of request from 0.47 to 0.52 and from 0.49 to 0.52. No effect where lateness costs
/// less (0.755 and 0.754).
const STREAM_QUEUE_SHARE: [f64; 4] = [0.6, 0.35, 0.2, 0.1];
/// The same share for unary (non-streaming) requests.
const UNARY_QUEUE_SHARE: f64 = 0.7;
/// Factor of these shares for requests of organisations that ask for more than their share of the room: they leave the
/// last places to those that ask for less, whose requests find room when the endpoints fill up for a moment.
const LIMITED_QUEUE_FACTOR: f64 = 0.5;
/// The least urgent rank with a share of its own; higher rank numbers are treated like it.
const LEAST_URGENT_RANK: Rank = 2;
/// In a large cluster, shorter chains are not shared with peers: a prompt of 60 tokens is processed
/// in a millisecond, and such chains were half of the cache updates that a hall's instances sent.
const MIN_SHARED_CHAIN_TOKENS: u32 = 128;
/// Maximum number of recorded chains that were not sent to peers yet: some seconds of a busy
/// instance.
const MAX_UNSENT_CHAINS: usize = 1_024;
/// Share of the caller's remaining time after which it may retry a request refused for lack of
/// capacity, before jitter. Surges last for seconds, so an immediate retry is refused again.
/// Callers wait for at most a third of their remaining time; with jitter the delay is 0.2 to 0.3 of
/// it.
const RETRY_SHARE: f64 = 0.2;
/// Minimum retry delay, in milliseconds.
const RETRY_MIN_MS: f64 = 150.0;
/// Maximum retry delay, in milliseconds: a surge at the start of an event is over by then.
const RETRY_MAX_MS: f64 = 4_000.0;

/// The endpoint chosen for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The endpoint's id.
    pub id: Name,
    /// The key that instances use for this incarnation of it.
    pub key: EndpointKey,
    /// The address it listens on.
    pub addr: SocketAddr,
    /// The hall it runs in.
    pub hall: Name,
    /// The version of the software that it runs.
    pub version: Name,
    /// The expected cost and timing of the request there.
    pub expected: Expected,
}

/// The decision on a request.
#[derive(Clone, Debug)]
pub enum Placement {
    /// The request is sent; it counts as in flight until [`Balancer::end`].
    Send(Choice),
    /// The request waits for a slot.
    Wait,
    /// The request is refused.
    Refuse {
        /// A fixed reason code.
        reason: &'static str,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u32,
    },
}

/// Refusal reason: the request would queue for too long at every endpoint.
pub const BUSY: &str = "busy";
/// Refusal reason: every eligible endpoint has a request rate limit and no permit is available.
pub const ENDPOINT_LIMITS: &str = "endpoint_limits";

/// A request in the wait queue.
#[derive(Debug)]
struct WaitingRequest {
    request: PlacementRequest,
    /// Endpoints at which it is not placed.
    tried: Vec<EndpointKey>,
}

/// Key of a waiting request; orders by urgency, then by the standing of its organisation, then by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitKey {
    rank: Rank,
    standing: Standing,
    number: u64,
}

/// Returns the time after which a caller with `left_us` left until its deadline may retry a request
/// that was refused for lack of capacity.
pub fn retry_delay_ms(left_us: Micros) -> u32 {
    let left_ms = left_us as f64 / 1e3;
    (left_ms * RETRY_SHARE).clamp(RETRY_MIN_MS, RETRY_MAX_MS) as u32
}

/// Returns how long a request may wait for a slot before it is refused.
pub fn max_wait_us(request: &PlacementRequest) -> Micros {
    (request.target_us as f64 * MAX_WAIT_SHARE) as Micros
}

/// Returns the share of its target for which a request may queue at an endpoint.
fn queue_share(request: &PlacementRequest) -> f64 {
    let factor = match request.standing {
        Standing::Within => 1.0,
        Standing::Limited => LIMITED_QUEUE_FACTOR,
    };
    if !request.is_stream {
        return UNARY_QUEUE_SHARE * factor;
    }
    let rank = usize::from(request.rank.min(LEAST_URGENT_RANK)) + usize::from(request.is_late());
    STREAM_QUEUE_SHARE[rank] * factor
}

/// Returns a refusal for lack of capacity, with the delay after which the caller may retry.
pub fn refuse_for_capacity(
    now_us: Micros,
    request: &PlacementRequest,
    reason: &'static str,
) -> Placement {
    Placement::Refuse {
        reason,
        retry_after_ms: retry_delay_ms(request.deadline_us.saturating_sub(now_us)),
    }
}

#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) entry: std::sync::Arc<EndpointEntry>,
    pub(super) speed: Speed,
    pub(super) same_hall: bool,
}

/// The known endpoints, their load, and the waiting requests.
#[derive(Debug)]
pub struct Balancer {
    hall: Name,
    discovery: Discovery,
    pub(super) endpoints: HashMap<EndpointKey, Endpoint>,
    /// Key of the current incarnation of each endpoint, by endpoint id.
    keys: HashMap<Name, EndpointKey>,
    pub(super) index: EndpointIndex,
    versions: ServiceVersions,
    /// Speed averaged over all endpoints of a service; used for endpoints without samples of their
    /// own.
    pub(super) service_speeds: HashMap<Name, Speed>,
    pub(super) load_view: LoadView,
    pub(super) grants: Grants,
    pub(super) holders: PrefixHolders,
    /// Chains recorded recently, not sent to peers yet.
    pub(super) unsent_chains: Vec<(ChainKey, EndpointKey)>,
    /// Endpoints found to be gone, not sent to peers yet.
    dead: Vec<EndpointKey>,
    pub(super) announcements: EndpointAnnouncements,
    pub(super) back_offs: BackOffs,
    pub(super) brittle: BrittleEndpoints,
    pub(super) cold: ColdEndpoints,
    /// Data centres whose endpoints get no requests.
    pub(super) evacuated: HashSet<Name>,
    /// The region of each data centre.
    pub(super) regions: HashMap<Name, Name>,
    /// Endpoints for which a permit was denied or the permit request was not answered.
    pub(super) permit_denials: HashMap<EndpointKey, PermitDenial>,
    waiting: BTreeMap<WaitKey, WaitingRequest>,
    next_number: u64,
    pub(super) changed: bool,
}

impl Balancer {
    /// Creates a balancer that knows no endpoints; `hall` is the hall of this instance.
    pub fn new(hall: Name) -> Self {
        Self {
            hall,
            discovery: Discovery::default(),
            endpoints: HashMap::new(),
            keys: HashMap::new(),
            index: EndpointIndex::default(),
            versions: ServiceVersions::default(),
            service_speeds: HashMap::new(),
            load_view: LoadView::default(),
            grants: Grants::default(),
            holders: PrefixHolders::default(),
            unsent_chains: Vec::new(),
            dead: Vec::new(),
            announcements: EndpointAnnouncements::default(),
            back_offs: BackOffs::default(),
            brittle: BrittleEndpoints::default(),
            cold: ColdEndpoints::default(),
            evacuated: HashSet::new(),
            regions: HashMap::new(),
            permit_denials: HashMap::new(),
            waiting: BTreeMap::new(),
            next_number: 0,
            changed: false,
        }
    }

    /// Adds or updates an endpoint from its store entry at a position; returns what changed.
    pub fn upsert_endpoint(
        &mut self,
        entry: EndpointEntry,
        position: StorePosition,
    ) -> Option<Change> {
        let id = entry.id.clone();
        let change = self.discovery.upsert(entry, position)?;
        self.refresh_endpoint(&id);
        Some(change)
    }

    /// Rebuilds the state of an endpoint from its current entry.
    fn refresh_endpoint(&mut self, id: &str) {
        let Some(entry) = self.discovery.get(id).cloned() else {
            return;
        };
        let key = entry.key();
        let previous = self.keys.insert(entry.id.clone(), key);
        if let Some(previous) = previous.filter(|previous| *previous != key) {
            self.remove_state(previous);
            self.announcements.remove_endpoint(previous);
        }
        self.cold.set_from_entry(key, entry.warmup_left_ms * 1_000);
        let same_hall = entry.hall == self.hall;
        let known = self.endpoints.remove(&key);
        if let Some(known) = &known {
            self.index.remove(key, &known.entry);
            self.versions.remove(&known.entry);
        }
        self.index.insert(key, &entry);
        self.versions.insert(&entry);
        let endpoint = Endpoint {
            entry,
            same_hall,
            speed: known.map(|e| e.speed).unwrap_or_default(),
        };
        self.endpoints.insert(key, endpoint);
    }

    /// Records that the endpoints are up to date with a position.
    pub fn advance_endpoints_position(&mut self, position: StorePosition) {
        let previous = self.discovery.position();
        self.discovery.advance_to(position);
        self.changed |= self.discovery.position() != previous;
    }

    /// Returns the position up to which the endpoints are known.
    pub fn endpoints_position(&self) -> StorePosition {
        self.discovery.position()
    }

    /// Returns the position at which the state of an endpoint was learned, also of one that was removed.
    pub fn endpoint_position(&self, id: &str) -> Option<StorePosition> {
        self.discovery.position_of(id)
    }

    /// Returns the changes of the endpoints after a position.
    pub fn endpoints_delta_since(&self, now_us: Micros, since: StorePosition) -> EndpointsDelta {
        self.discovery.delta_since(now_us, since)
    }

    /// Applies another instance's endpoints if they are newer; returns what changed.
    pub fn apply_endpoints_delta(
        &mut self,
        now_us: Micros,
        delta: EndpointsDelta,
    ) -> Vec<(Name, Change)> {
        let changes = self.discovery.apply_delta(now_us, delta);
        for (id, change) in &changes {
            match change {
                Change::Gone => self.drop_endpoint(id),
                _ => self.refresh_endpoint(id),
            }
        }
        self.changed |= !changes.is_empty();
        changes
    }

    /// Handles the absence of an endpoint's entry, which was missing at or before the position
    /// `at`; returns what changed.
    pub fn remove_endpoint(
        &mut self,
        now_us: Micros,
        id: &str,
        at: StorePosition,
    ) -> Option<Change> {
        let change = self.discovery.mark_removed(now_us, id, at)?;
        if change == Change::Gone {
            self.drop_endpoint(id);
        }
        Some(change)
    }

    /// Handles all endpoints that are missing from a full listing of the store at a position;
    /// returns what changed.
    pub fn retain_listed_endpoints(
        &mut self,
        now_us: Micros,
        at: StorePosition,
        is_listed: impl Fn(&str) -> bool,
    ) -> Vec<(Name, Change)> {
        let changes = self.discovery.retain_listed(now_us, at, is_listed);
        for (id, change) in &changes {
            if *change == Change::Gone {
                self.drop_endpoint(id);
            }
        }
        changes
    }

    /// Removes an endpoint because another incarnation answered at its address, whatever its entry
    /// says. It is added again only when its entry changes.
    pub fn mark_endpoint_replaced(&mut self, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.get(&key) else {
            return;
        };
        let id = endpoint.entry.id.clone();
        self.drop_endpoint(&id);
        self.dead.push(key);
        self.changed = true;
    }

    /// Returns the endpoints found to be gone since the last call, to be sent to peers.
    pub fn take_dead(&mut self) -> Vec<EndpointKey> {
        std::mem::take(&mut self.dead)
    }

    /// Removes endpoints that another instance found to be gone.
    pub fn remove_dead_endpoints(&mut self, dead: &[EndpointKey]) {
        for key in dead {
            if let Some(endpoint) = self.endpoints.get(key) {
                let id = endpoint.entry.id.clone();
                self.drop_endpoint(&id);
            }
        }
    }

    /// Records that the store was unreachable until now.
    pub fn store_was_unreachable(&mut self, now_us: Micros) {
        self.discovery.store_was_unreachable(now_us);
    }

    /// Records that the store came back from a copy.
    pub fn store_returned_from_copy(&mut self, now_us: Micros) {
        self.discovery.store_returned_from_copy(now_us);
    }

    /// Removes expired state: endpoints whose grace period after a lapse is over, and loads of
    /// peers that stopped reporting. Returns both.
    pub fn tick(&mut self, now_us: Micros) -> (Vec<Name>, Vec<Incarnation>) {
        let expired = self.discovery.expire(now_us);
        for id in &expired {
            self.drop_endpoint(id);
        }
        for grant in self.grants.expire(now_us) {
            self.load_view
                .release_grant(grant.key, grant.uncached_tokens);
        }
        self.expire_announcements(now_us);
        self.versions.expire(now_us);
        self.cold.tick(now_us);
        let silent = self.load_view.expire(now_us);
        (expired, silent)
    }

    fn drop_endpoint(&mut self, id: &str) {
        if let Some(key) = self.keys.remove(id) {
            self.remove_state(key);
        }
    }

    /// Drops all state of one incarnation of an endpoint. Requests that instances still have there
    /// are reported under its key and do not count for another incarnation.
    fn remove_state(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.remove(&key) {
            self.index.remove(key, &endpoint.entry);
            self.versions.remove(&endpoint.entry);
        }
        self.holders.evict_endpoint(key);
        // The rate limit is kept: a lapsed entry can return for the same incarnation.
        self.permit_denials.remove(&key);
        self.cold.clear(key);
    }

    /// Returns the versions that services have or had recently.
    pub fn versions(&self) -> &ServiceVersions {
        &self.versions
    }

    /// Returns the versions that services have or had recently, to add what is read of them.
    pub fn versions_mut(&mut self) -> &mut ServiceVersions {
        &mut self.versions
    }

    /// Returns the load view.
    pub fn load_view(&self) -> &LoadView {
        &self.load_view
    }

    /// Returns the load view for updates.
    pub fn load_view_mut(&mut self) -> &mut LoadView {
        &mut self.load_view
    }

    /// Returns the number of known endpoints.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the number of a service's endpoints that accept any request now.
    pub fn count_ready(&self, now_us: Micros, service: &str) -> usize {
        let keys = self.keys_of(service).iter();
        keys.filter(|key| self.readiness(now_us, **key) == Readiness::Ready)
            .count()
    }

    /// Returns the hall of this instance.
    pub fn hall(&self) -> &Name {
        &self.hall
    }

    /// Returns the known endpoints of a service that are not leaving, other than `except`, with their addresses.
    pub fn reachable_endpoints(
        &self,
        service: &str,
        except: Option<EndpointKey>,
    ) -> Vec<(EndpointKey, SocketAddr)> {
        let keys = self.keys_of(service).iter().copied();
        let usable = keys.filter(|key| Some(*key) != except && !self.is_leaving(*key));
        usable
            .filter_map(|key| Some((key, self.entry(key)?.addr)))
            .collect()
    }

    /// Forgets the failures of a service's endpoints, which turned out to be those of this instance's links.
    pub fn forget_failures(&mut self, service: &str) {
        for key in self.keys_of(service).to_vec() {
            self.update_speed(key, Speed::forget_failures);
        }
    }

    /// Returns the free slots of a service's endpoints, as estimated.
    pub fn free_slots(&self, now_us: Micros, service: &Name) -> f64 {
        let keys = self.keys_of(service).iter();
        let entries = keys.filter_map(|key| Some((*key, self.entry(*key)?)));
        let usable = entries.filter(|(_, entry)| !entry.draining);
        let free = usable.map(|(key, entry)| {
            let is_same_hall = entry.hall == self.hall;
            let load = self
                .load_view
                .estimate(now_us, key, service, &entry.hall, is_same_hall);
            (f64::from(entry.slots) - load.requests).max(0.0)
        });
        free.sum()
    }

    /// Returns the number of waiting requests of a service.
    pub fn waiting_for(&self, service: &Name) -> usize {
        let waiting = self.waiting.values().map(|w| &w.request);
        waiting
            .filter(|request| request.service == *service)
            .count()
    }

    /// Returns the key of an endpoint's current incarnation.
    pub fn key_of(&self, id: &str) -> Option<EndpointKey> {
        self.keys.get(id).copied()
    }

    /// Returns an endpoint's entry, if the endpoint is known.
    pub fn entry(&self, key: EndpointKey) -> Option<&EndpointEntry> {
        self.endpoints.get(&key).map(|e| &*e.entry)
    }

    /// Returns the service of an endpoint, if it is known.
    pub fn service_of(&self, key: EndpointKey) -> Option<Name> {
        self.entry(key).map(|entry| entry.service.clone())
    }

    /// Returns whether an endpoint is leaving or unknown.
    pub fn is_leaving(&self, key: EndpointKey) -> bool {
        let entry = self.entry(key);
        entry.is_none_or(|entry| entry.draining) || self.announcements.leaves(key)
    }

    /// Counts a service's endpoints during a roll-out to a version.
    pub fn count_versions(&self, service: &str, target_version: &str) -> VersionCounts {
        let mut counts = VersionCounts::default();
        for key in self.keys_of(service) {
            let Some(entry) = self.entry(*key) else {
                continue;
            };
            let is_ready = u32::from(!self.is_leaving(*key));
            if *entry.version == *target_version {
                counts.target_ready += is_ready;
            } else {
                counts.others_ready += is_ready;
                counts.others_known += 1;
            }
        }
        counts
    }

    /// Counts this instance's requests in flight at a service's endpoints of other versions than `version`.
    pub fn in_flight_at_others(&self, service: &str, version: &str) -> u32 {
        let loads = self.load_view.own_loads().into_iter();
        let at_others = loads.filter(|(key, _)| {
            let entry = self.entry(*key);
            entry.is_some_and(|e| *e.service == *service && *e.version != *version)
        });
        at_others.map(|(_, load)| load.requests).sum()
    }

    /// Returns the keys of a service's endpoints.
    pub(super) fn keys_of(&self, service: &str) -> &[EndpointKey] {
        self.index.of_service(service)
    }

    /// Decides on a request that has just arrived, or that an endpoint returned without running it.
    /// Endpoints in `tried` are excluded.
    pub fn place(
        &mut self,
        now_us: Micros,
        request: &PlacementRequest,
        tried: &[EndpointKey],
    ) -> Placement {
        self.place_with_permit(now_us, request, tried, None)
    }

    /// Like [`Self::place`], with an optional permit for one endpoint that limits its request rate.
    /// Rate-limited endpoints without a permit are excluded.
    pub fn place_with_permit(
        &mut self,
        now_us: Micros,
        request: &PlacementRequest,
        tried: &[EndpointKey],
        permit: Option<EndpointKey>,
    ) -> Placement {
        self.load_view
            .refresh_means(now_us, self.index.by_data_centre());
        let selected = self.select(now_us, request, tried, permit);
        let Some(best) = selected.best else {
            return selected.refusal(now_us, request);
        };
        let waited_us = now_us.saturating_sub(request.arrived_us) as f64;
        // A request that is late in any case loses nothing more by its wait.
        let spent_us = if request.is_late() { 0.0 } else { waited_us };
        let queue_us = spent_us + best.expected.queue_ms * 1e3;
        let fits = queue_us <= request.target_us as f64 * queue_share(request);
        // A request that is late in any case must not overtake waiting ones.
        let may_overtake = best.expected.has_room && !request.is_late();
        if fits && (may_overtake || !self.has_waiting_ahead(request)) {
            return self.dispatch(now_us, request, best);
        }
        if now_us.saturating_sub(request.arrived_us) < max_wait_us(request) {
            return Placement::Wait;
        }
        refuse_for_capacity(now_us, request, BUSY)
    }

    fn has_waiting_ahead(&self, request: &PlacementRequest) -> bool {
        let place = (request.rank, request.standing);
        let first = self.waiting.keys().next();
        first.is_some_and(|first| (first.rank, first.standing) <= place)
    }

    /// Returns the choice of an endpoint, if it is known.
    pub(super) fn choice(&self, key: EndpointKey, expected: Expected) -> Option<Choice> {
        let entry = self.entry(key)?;
        Some(Choice {
            id: entry.id.clone(),
            key,
            addr: entry.addr,
            hall: entry.hall.clone(),
            version: entry.version.clone(),
            expected,
        })
    }

    pub(super) fn dispatch(
        &mut self,
        now_us: Micros,
        request: &PlacementRequest,
        choice: Choice,
    ) -> Placement {
        self.load_view
            .record_sent(choice.key, choice.expected.uncached_tokens);
        let min_tokens = match self.load_view.cluster_size() {
            ClusterSize::Small => 0,
            ClusterSize::Large => MIN_SHARED_CHAIN_TOKENS,
        };
        for (chain, tokens) in &request.chains {
            self.holders.record(now_us, *chain, choice.key);
            if *tokens >= min_tokens {
                self.unsent_chains.push((*chain, choice.key));
            }
        }
        if self.unsent_chains.len() > MAX_UNSENT_CHAINS {
            // Without peers the list is never taken, so it is bounded here.
            self.unsent_chains.drain(..MAX_UNSENT_CHAINS / 2);
        }
        self.changed = true;
        Placement::Send(choice)
    }

    /// Adds a request to the wait queue; it is not placed at the endpoints in `tried`.
    pub fn enqueue(&mut self, request: PlacementRequest, tried: &[EndpointKey]) -> WaitKey {
        let key = WaitKey {
            rank: request.rank,
            standing: request.standing,
            number: self.next_number,
        };
        self.next_number += 1;
        let tried = tried.to_vec();
        self.waiting.insert(key, WaitingRequest { request, tried });
        key
    }

    /// Removes a request from the wait queue; returns whether it was there.
    pub fn dequeue(&mut self, key: WaitKey) -> bool {
        self.waiting.remove(&key).is_some()
    }

    /// Decides again on the waiting requests, the most urgent first; returns those that need not
    /// wait any longer.
    pub fn reconsider(&mut self, now_us: Micros) -> Vec<(WaitKey, Placement)> {
        let mut decided = Vec::new();
        let keys: Vec<WaitKey> = self.waiting.keys().copied().collect();
        for key in keys {
            let Some(waiting) = self.waiting.remove(&key) else {
                continue;
            };
            match self.place(now_us, &waiting.request, &waiting.tried) {
                Placement::Wait => {
                    self.waiting.insert(key, waiting);
                }
                placement => decided.push((key, placement)),
            }
        }
        decided
    }

    /// Returns the number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Records that the first event of a request came `took_ms` after it was sent.
    pub fn record_first_event(&mut self, choice: &Choice, took_ms: f64) {
        let expected = &choice.expected;
        self.load_view
            .record_prompt_processed(choice.key, expected.uncached_tokens);
        // If the request waited for a slot, the time says little about prompt processing.
        if let Some(endpoint) = self.endpoints.get_mut(&choice.key)
            && expected.has_room
        {
            let tokens = expected.tokens_ahead + f64::from(expected.uncached_tokens);
            endpoint.speed.record_first_event(took_ms, tokens);
            let service = endpoint.entry.service.clone();
            let service_speed = self.service_speeds.entry(service).or_default();
            service_speed.record_first_event(took_ms, tokens);
        }
        self.changed = true;
    }

    /// Ends the accounting of a request. `waiting_tokens` are the prompt tokens whose first event
    /// did not come; `held_ms`, if given, is a sample of the slot hold time.
    pub fn end(&mut self, key: EndpointKey, waiting_tokens: u32, held_ms: Option<f64>) {
        self.load_view.record_ended(key, waiting_tokens);
        if let (Some(endpoint), Some(held_ms)) = (self.endpoints.get_mut(&key), held_ms) {
            endpoint.speed.record_slot_hold(held_ms);
        }
        self.changed = true;
    }

    /// Records the time between two events of a stream.
    pub fn record_event_gap(&mut self, key: EndpointKey, gap_ms: f64) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.speed.record_event_gap(gap_ms);
            if let Some(service_speed) = self.service_speeds.get_mut(&endpoint.entry.service) {
                service_speed.record_event_gap(gap_ms);
            }
        }
    }

    /// Updates the speed of an endpoint, if it is known.
    pub fn update_speed(&mut self, key: EndpointKey, update: impl FnOnce(&mut Speed)) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            update(&mut endpoint.speed);
        }
    }
}
