//! Places requests: keeps the picture, the queue of those that wait, and what was sent. What is told
//! others and taken from them is in [`crate::balance::telling`], places given to others in
//! [`crate::balance::places`].
//!
//! Free of clock, socket and random source, so that tests drive it step by step.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
};

use crate::{
    balance::{
        cold::ColdEndpoints,
        cost::{Expected, PlacementRequest},
        discovery::{Change, Discovery, EndpointEntry, EndpointsDelta, Revision},
        grants::Grants,
        index::EndpointIndex,
        load::EndpointKey,
        load_view::{ClusterSize, LoadView},
        prefixes::{ChainKey, PrefixHolders},
        readiness::PermitDenial,
        speed::Speed,
    },
    limits::{rest::Rests, standings::EndpointStandings},
    prelude::{Incarnation, Micros, Name, Rank},
};

/// How long a request waits for a slot before it is decided, as a share of its target. In a surge most that
/// wait are refused all the same, later: whoever is told at once comes back sooner or goes elsewhere, and
/// has the time to. A fifth, an eighth, a twentieth, nothing, of two days of surges over 85 instances (seed 11):
/// worth .368 .408 .435 .428 and .458 .506 .522 .513; answers on the whole day .620 .625 .648 .659. Over six
/// instances a fifth and a twentieth are alike: means of eight days on each of three deployments .666 and
/// .673, .557 and .559, .764 and .763.
const MAX_WAIT_SHARE: f64 = 0.05;
/// Up to this share of its target a stream may queue at an endpoint, by rank. Endpoints know no
/// ranks, so the less urgent leave their queues to the more urgent. What would queue for longer is
/// refused: it would be late, and make late all that come after it.
///
/// One that is late in any case has the share of the next rank: it leaves its place to those of its
/// kind that can be in time, and not to less urgent ones. In a surge of 1.7 times what the slots carry
/// half of those that came were back for the second time. Gained there, 6 instances, two surges of
/// three seeds each: worth .516 to .531 and .470 to .478, that of the worst kind .47 to .52 and .49 to
/// .52. Where lateness costs less, nothing (.755 and .754).
const STREAM_QUEUE_SHARE: [f64; 4] = [0.6, 0.35, 0.2, 0.1];
/// The same for requests with one whole answer.
const UNARY_QUEUE_SHARE: f64 = 0.7;
/// The least urgent rank that is told apart.
const LEAST_URGENT_RANK: Rank = 2;
/// In a large group others are told of no shorter chains: 60 tokens are read in a millisecond, and were
/// half of what a hall's instances told each other of reads.
const MIN_SHARED_CHAIN_TOKENS: u32 = 128;
/// What was read lately and nobody was told of, at most: some seconds of a busy instance.
const MAX_UNSENT_CHAINS: usize = 1_024;
/// The share of the time left to it after which a caller that is refused for want of room may come
/// back, before spread. Surges last for seconds: whoever comes back at once is refused again. Callers
/// wait up to a third of what they have left; with the spread this is .2 to .3 of it.
const RETRY_SHARE: f64 = 0.2;
/// But not before this time, in milliseconds.
const RETRY_MIN_MS: f64 = 150.0;
/// Nor after this time: a surge at the start of an event is over by then.
const RETRY_MAX_MS: f64 = 4_000.0;

/// An endpoint chosen for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The endpoint's id.
    pub id: Name,
    /// Its key among instances.
    pub key: EndpointKey,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The hall it stands in.
    pub hall: Name,
    /// What is expected of it.
    pub expected: Expected,
}

/// What is decided on a request.
#[derive(Clone, Debug)]
pub enum Placement {
    /// It is sent; what was sent is accounted for until [`Balancer::end`].
    Send(Choice),
    /// It waits for a slot.
    Wait,
    /// It is refused.
    Refuse {
        /// Why, as a fixed word.
        reason: &'static str,
        /// When the caller may come back.
        retry_after_ms: u32,
    },
}

/// Why a request is refused: all endpoints would keep it waiting for too long.
pub const BUSY: &str = "busy";
/// Why a request is refused: all endpoints that could take it take only so many a second.
pub const ENDPOINT_LIMITS: &str = "endpoint_limits";

/// Names a waiting request; the most urgent and oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitKey {
    rank: Rank,
    number: u64,
}

/// Returns when a caller that has `left_us` may come back after a refusal for want of room.
pub fn retry_delay_ms(left_us: Micros) -> u32 {
    let left_ms = left_us as f64 / 1e3;
    (left_ms * RETRY_SHARE).clamp(RETRY_MIN_MS, RETRY_MAX_MS) as u32
}

/// Returns for how long a request waits for a slot before it is decided.
pub fn max_wait_us(request: &PlacementRequest) -> Micros {
    (request.target_us as f64 * MAX_WAIT_SHARE) as Micros
}

/// Returns the share of its target for which a request may queue at an endpoint.
fn queue_share(request: &PlacementRequest) -> f64 {
    if !request.is_stream {
        return UNARY_QUEUE_SHARE;
    }
    let rank = usize::from(request.rank.min(LEAST_URGENT_RANK)) + usize::from(request.is_late());
    STREAM_QUEUE_SHARE[rank]
}

/// Returns the refusal of a request for which there is no room: its caller may come back later.
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

/// The picture of all endpoints, and the requests that wait.
#[derive(Debug)]
pub struct Balancer {
    hall: Name,
    discovery: Discovery,
    pub(super) endpoints: HashMap<EndpointKey, Endpoint>,
    /// The keys of the starts that are known, by the endpoints' ids.
    keys: HashMap<Name, EndpointKey>,
    pub(super) index: EndpointIndex,
    /// How fast the endpoints of a service are together: what is believed of one that is not known.
    pub(super) service_speeds: HashMap<Name, Speed>,
    pub(super) load_view: LoadView,
    pub(super) grants: Grants,
    pub(super) holders: PrefixHolders,
    /// What was read lately, to be told to the others.
    pub(super) unsent_chains: Vec<(ChainKey, EndpointKey)>,
    /// Endpoints found gone, to be told to the others.
    dead: Vec<EndpointKey>,
    pub(super) standings: EndpointStandings,
    pub(super) rests: Rests,
    pub(super) cold: ColdEndpoints,
    /// Data centres whose endpoints get nothing.
    pub(super) evacuated: HashSet<Name>,
    /// The region of each data centre.
    pub(super) regions: HashMap<Name, Name>,
    /// Endpoints for which there was no permit, or no answer.
    pub(super) permit_denials: HashMap<EndpointKey, PermitDenial>,
    waiting: BTreeMap<WaitKey, PlacementRequest>,
    next_number: u64,
    pub(super) changed: bool,
}

impl Balancer {
    /// Starts with nothing known; `hall` is where this instance stands.
    pub fn new(hall: Name) -> Self {
        Self {
            hall,
            discovery: Discovery::default(),
            endpoints: HashMap::new(),
            keys: HashMap::new(),
            index: EndpointIndex::default(),
            service_speeds: HashMap::new(),
            load_view: LoadView::default(),
            grants: Grants::default(),
            holders: PrefixHolders::default(),
            unsent_chains: Vec::new(),
            dead: Vec::new(),
            standings: EndpointStandings::default(),
            rests: Rests::default(),
            cold: ColdEndpoints::default(),
            evacuated: HashSet::new(),
            regions: HashMap::new(),
            permit_denials: HashMap::new(),
            waiting: BTreeMap::new(),
            next_number: 0,
            changed: false,
        }
    }

    /// Takes an endpoint's entry as it was at a revision; returns what changed.
    pub fn upsert_endpoint(&mut self, entry: EndpointEntry, revision: Revision) -> Option<Change> {
        let id = entry.id.clone();
        let change = self.discovery.upsert(entry, revision)?;
        self.refresh_endpoint(&id);
        Some(change)
    }

    /// Brings what is kept of an endpoint in line with its entry.
    fn refresh_endpoint(&mut self, id: &str) {
        let Some(entry) = self.discovery.get(id).cloned() else {
            return;
        };
        let key = entry.key();
        let before = self.keys.insert(entry.id.clone(), key);
        if let Some(before) = before.filter(|before| *before != key) {
            self.remove_state(before);
            self.standings.forget(before);
        }
        self.cold.set_from_entry(key, entry.warmup_left_ms * 1_000);
        let same_hall = entry.hall == self.hall;
        let known = self.endpoints.remove(&key);
        if let Some(known) = &known {
            self.index.remove(key, &known.entry);
        }
        self.index.insert(key, &entry);
        let endpoint = Endpoint {
            entry,
            same_hall,
            speed: known.map(|e| e.speed).unwrap_or_default(),
        };
        self.endpoints.insert(key, endpoint);
    }

    /// Notes that the endpoints are as the store had them at a revision.
    pub fn advance_endpoints_revision(&mut self, revision: Revision) {
        let before = self.discovery.revision();
        self.discovery.advance_to(revision);
        self.changed |= self.discovery.revision() != before;
    }

    /// Returns the store's revision that the endpoints are up to.
    pub fn endpoints_revision(&self) -> Revision {
        self.discovery.revision()
    }

    /// Returns what whoever is at `revision` lacks of the endpoints.
    pub fn endpoints_delta_since(&self, revision: Revision) -> EndpointsDelta {
        self.discovery.delta_since(revision)
    }

    /// Takes another instance's copy of the endpoints, if it is ahead; returns what changed.
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

    /// Takes word that an endpoint's entry was gone at a revision, or before; returns what changed.
    pub fn remove_endpoint(&mut self, now_us: Micros, id: &str, at: Revision) -> Option<Change> {
        let change = self.discovery.mark_removed(now_us, id, at)?;
        if change == Change::Gone {
            self.drop_endpoint(id);
        }
        Some(change)
    }

    /// Takes a whole list of entries' ids as it was at a revision; returns what changed.
    pub fn retain_listed_endpoints(
        &mut self,
        now_us: Micros,
        at: Revision,
        listed: impl Fn(&str) -> bool,
    ) -> Vec<(Name, Change)> {
        let changes = self.discovery.retain_listed(now_us, at, listed);
        for (id, change) in &changes {
            if *change == Change::Gone {
                self.drop_endpoint(id);
            }
        }
        changes
    }

    /// Notes that another start answers at an endpoint's address: it is gone, whatever its entry
    /// says. Its entry comes in again only with a change.
    pub fn mark_endpoint_replaced(&mut self, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.get(&key) else {
            return;
        };
        let id = endpoint.entry.id.clone();
        self.drop_endpoint(&id);
        self.dead.push(key);
        self.changed = true;
    }

    /// Returns the endpoints found gone since this was asked last, to tell the others.
    pub fn take_dead(&mut self) -> Vec<EndpointKey> {
        std::mem::take(&mut self.dead)
    }

    /// Takes word from another instance of endpoints found gone.
    pub fn remove_dead_endpoints(&mut self, dead: &[EndpointKey]) {
        for key in dead {
            if let Some(endpoint) = self.endpoints.get(key) {
                let id = endpoint.entry.id.clone();
                self.drop_endpoint(&id);
            }
        }
    }

    /// Notes that the store could not be reached until now.
    pub fn store_was_unreachable(&mut self, now_us: Micros) {
        self.discovery.store_was_unreachable(now_us);
    }

    /// Drops the endpoints whose lapse is over and the instances that fell silent; returns them.
    pub fn tick(&mut self, now_us: Micros) -> (Vec<Name>, Vec<Incarnation>) {
        let expired = self.discovery.expire(now_us);
        for id in &expired {
            self.drop_endpoint(id);
        }
        for grant in self.grants.expire(now_us) {
            self.load_view
                .release_grant(grant.key, grant.uncached_tokens);
        }
        self.expire_standings(now_us);
        self.cold.tick(now_us);
        let silent = self.load_view.expire(now_us);
        (expired, silent)
    }

    fn drop_endpoint(&mut self, id: &str) {
        if let Some(key) = self.keys.remove(id) {
            self.remove_state(key);
        }
    }

    /// Forgets what is believed and was learned of a start of an endpoint. What instances still have there
    /// is told under its key and counts for no other.
    fn remove_state(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.remove(&key) {
            self.index.remove(key, &endpoint.entry);
        }
        self.holders.evict_endpoint(key);
        // Its limit is not: an entry that lapsed comes back for the same start.
        self.permit_denials.remove(&key);
        self.cold.clear(key);
    }

    /// Returns the load at all endpoints, as far as it is known.
    pub fn load_view(&self) -> &LoadView {
        &self.load_view
    }

    /// Returns the load at all endpoints, to be told of more.
    pub fn load_view_mut(&mut self) -> &mut LoadView {
        &mut self.load_view
    }

    /// Returns the number of endpoints known.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the key of the start that is known under an endpoint's id.
    pub fn key_of(&self, id: &str) -> Option<EndpointKey> {
        self.keys.get(id).copied()
    }

    /// Returns an endpoint's entry while it is in use.
    pub fn entry(&self, key: EndpointKey) -> Option<&EndpointEntry> {
        self.endpoints.get(&key).map(|e| &*e.entry)
    }

    /// Returns the keys of a service's endpoints.
    pub(super) fn keys_of(&self, service: &str) -> &[EndpointKey] {
        self.index.of_service(service)
    }

    /// Decides on a request that has just come, or comes back from an endpoint that did not run it.
    /// Those in `tried` are not chosen.
    pub fn place(
        &mut self,
        now_us: Micros,
        request: &PlacementRequest,
        tried: &[EndpointKey],
    ) -> Placement {
        self.place_with_permit(now_us, request, tried, None)
    }

    /// The same with a permit to send it to an endpoint that takes only so many requests a second, if there is
    /// one; without, no such endpoint is chosen.
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
        // One that is late in any case loses nothing more by having waited.
        let spent_us = if request.is_late() { 0.0 } else { waited_us };
        let queue_us = spent_us + best.expected.queue_ms * 1e3;
        let fits = queue_us <= request.target_us as f64 * queue_share(request);
        // One that is late in any case passes nobody.
        let may_overtake = best.expected.has_room && !request.is_late();
        if fits && (may_overtake || !self.has_waiting_ahead(request.rank)) {
            return self.dispatch(now_us, request, best);
        }
        if now_us.saturating_sub(request.arrived_us) < max_wait_us(request) {
            return Placement::Wait;
        }
        refuse_for_capacity(now_us, request, BUSY)
    }

    fn has_waiting_ahead(&self, rank: Rank) -> bool {
        self.waiting.keys().next().is_some_and(|k| k.rank <= rank)
    }

    /// Returns the choice of an endpoint that is known.
    pub(super) fn choice(&self, key: EndpointKey, expected: Expected) -> Option<Choice> {
        let entry = self.entry(key)?;
        Some(Choice {
            id: entry.id.clone(),
            key,
            addr: entry.addr,
            hall: entry.hall.clone(),
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
            // An instance that is alone tells nobody.
            self.unsent_chains.drain(..MAX_UNSENT_CHAINS / 2);
        }
        self.changed = true;
        Placement::Send(choice)
    }

    /// Adds a request to those that wait.
    pub fn enqueue(&mut self, request: PlacementRequest) -> WaitKey {
        let key = WaitKey {
            rank: request.rank,
            number: self.next_number,
        };
        self.next_number += 1;
        self.waiting.insert(key, request);
        key
    }

    /// Takes a request out of those that wait.
    pub fn dequeue(&mut self, key: WaitKey) -> Option<PlacementRequest> {
        self.waiting.remove(&key)
    }

    /// Decides anew on those that wait, the most urgent first; returns those that need not wait.
    pub fn reconsider(&mut self, now_us: Micros) -> Vec<(WaitKey, Placement)> {
        let mut decided = Vec::new();
        let keys: Vec<WaitKey> = self.waiting.keys().copied().collect();
        for key in keys {
            let Some(request) = self.waiting.remove(&key) else {
                continue;
            };
            match self.place(now_us, &request, &[]) {
                Placement::Wait => {
                    self.waiting.insert(key, request);
                }
                placement => decided.push((key, placement)),
            }
        }
        decided
    }

    /// Returns the number of requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Learns that the first event of what was sent came after `took_ms`.
    pub fn first_event(&mut self, choice: &Choice, took_ms: f64) {
        let expected = &choice.expected;
        self.load_view
            .record_prompt_processed(choice.key, expected.uncached_tokens);
        // Where it waited for a slot, the time says little of the reading.
        if let Some(endpoint) = self.endpoints.get_mut(&choice.key)
            && expected.has_room
        {
            let tokens = expected.tokens_ahead + f64::from(expected.uncached_tokens);
            endpoint.speed.first_event(took_ms, tokens);
            let service = endpoint.entry.service.clone();
            let service_speed = self.service_speeds.entry(service).or_default();
            service_speed.first_event(took_ms, tokens);
        }
        self.changed = true;
    }

    /// Takes a request out of what was sent. `waiting_tokens` are those whose first event did not
    /// come.
    pub fn end(&mut self, key: EndpointKey, waiting_tokens: u32, held_ms: Option<f64>) {
        self.load_view.record_ended(key, waiting_tokens);
        if let (Some(endpoint), Some(held_ms)) = (self.endpoints.get_mut(&key), held_ms) {
            endpoint.speed.record_slot_hold(held_ms);
        }
        self.changed = true;
    }

    /// Learns from the time between two events of a stream.
    pub fn event(&mut self, key: EndpointKey, gap_ms: f64) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.speed.event(gap_ms);
            if let Some(service_speed) = self.service_speeds.get_mut(&endpoint.entry.service) {
                service_speed.event(gap_ms);
            }
        }
    }

    /// Gives what is learned of an endpoint's speed.
    pub fn update_speed(&mut self, key: EndpointKey, update: impl FnOnce(&mut Speed)) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            update(&mut endpoint.speed);
        }
    }
}
