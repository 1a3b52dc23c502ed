//! Synchronises an instance with the store: configuration, endpoints, evacuations and roll-outs.
//!
//! A few instances watch the store for all others and pass on what has changed. The others call the
//! store only before their state becomes too old to act on.

use std::{
    collections::{BTreeSet, HashSet},
    sync::Arc,
    time::Duration,
};

use rand::RngExt;
use tokio::time;

use crate::{
    gateway::{
        evacuations::EvacuationSet,
        exchange::WATCHERS,
        protocol::Protocol,
        staleness::{Staleness, StalenessBound},
        state::Gateway,
    },
    platform::{
        configuration::{self, ConfigSpec},
        endpoints::{self, EndpointSpec},
        evacuations::{self, EvacuationSpec},
        headers,
        objects::{
            CallError, Changes, Event, Listing, Object, ObjectClient, PartialListing,
            UnreadableObject,
        },
    },
    prelude::{Micros, Name, StorePosition},
};

/// Pause after a call that returned changes, so that the next one returns several at once. Calls cost money, and
/// three watchers made up to 30 a second while endpoints were replaced. The delay is harmless: an endpoint that
/// announces its shutdown keeps running for seconds.
const BATCH_DELAY: Duration = Duration::from_millis(250);
/// Maximum of that pause, as a share of a watch's wait, which is shorter for smaller staleness bounds.
const MAX_BATCH_DELAY_SHARE: f64 = 0.5;
/// A watch that ends without changes before this share of its wait is followed by the same pause: otherwise a store
/// that answers immediately would be called without end.
const EARLY_END_SHARE: f64 = 0.5;
/// On the first start of a deployment, an instance that is not a seed waits this long for others to send it the
/// contents of the store: without the wait, 295 instances made 1,690 calls before the first request, 0.059 of the
/// calls of a calm day. Callers arrive some seconds later. An instance that restarts calls the store immediately.
const FIRST_START_WAIT_US: Micros = 4_000_000;
/// The same wait once others are known to have the contents: copying them to hundreds of instances takes seconds.
const MAX_FIRST_START_WAIT_US: Micros = 8_000_000;
/// Time for which a starting instance waits to get a long list from its peers, before it reads on from the store.
const PEER_FETCH_TIMEOUT_US: Micros = 1_500_000;
const PEER_FETCH_POLL: Duration = Duration::from_millis(20);
/// Maximum interval between checks whether to call the store: the set of watchers may change in between.
const POLL_US: Micros = 200_000;
/// Pause after a failed call; randomised so that instances do not retry at the same time.
const RETRY_MS: std::ops::Range<u64> = 150..350;
/// For an instance that is no watcher, the pause grows with the number of instances beyond this one: failed calls cost
/// money too, and any instance that gets an answer passes it on to the others.
const RETRY_GROUP_SIZE: usize = 12;
/// Maximum of that pause, as a share of the staleness bound: an instance that can reach the store again, but gets no
/// message from others, has to find out by itself. With 295 instances the pause would be 3.6 to 8.4 s, twice a bound
/// of 4 s.
const MAX_RETRY_SHARE: f64 = 0.75;

/// Applies the objects of one kind to the state of the gateway.
pub(super) trait KindHandler {
    type Spec: serde::de::DeserializeOwned;
    const KIND: &'static str;

    /// Applies a complete list of the kind, requested at `sent_us`.
    fn apply_listing(&mut self, listing: Listing<Self::Spec>, sent_us: Micros);

    /// Applies the changes since the last call, requested at `sent_us`.
    fn apply_changes(&mut self, changes: Changes<Self::Spec>, sent_us: Micros);

    /// Returns the staleness of the state of the kind.
    fn staleness(&self) -> &Staleness;

    /// Returns how long after a change an instance may still act on the state before it.
    fn bound(&self) -> StalenessBound;

    /// Returns the position up to which the state of the kind is complete, whether it came from the store or from
    /// peers; none if only a list can complete it.
    fn known_position(&self) -> Option<StorePosition> {
        None
    }

    /// Handles a failed call to the store.
    fn call_failed(&mut self) {}
}

/// Pages of an incomplete list are kept for this long over failed calls. The next watch starts at the position of the
/// first page, and stores keep a history of 20 s and more.
const LIST_MAX_AGE_US: Micros = 10_000_000;

/// A list that is being read page by page.
struct ListProgress<T> {
    pages: PartialListing<T>,
    /// When the first page was requested.
    sent_us: Micros,
}

impl<T> ListProgress<T> {
    fn new(sent_us: Micros) -> Self {
        Self {
            pages: PartialListing::default(),
            sent_us,
        }
    }

    /// Discards the pages if they are too old to continue with.
    fn discard_if_stale(&mut self, now_us: Micros) {
        if now_us.saturating_sub(self.sent_us) >= LIST_MAX_AGE_US {
            *self = Self::new(now_us);
        }
    }
}

/// The outcome of a successful call.
struct Answer {
    /// The position from which the next watch continues.
    position: StorePosition,
    /// Whether the answer was a complete list or contained a change.
    has_changes: bool,
}

/// Keeps the state of one kind up to date until dropped. A watcher watches the store; any other instance gets the
/// changes from the watchers, and calls the store itself before its state becomes too old to act on.
pub(super) async fn watch_kind<P: Protocol, H: KindHandler>(
    gateway: &Gateway<P>,
    mut store: ObjectClient,
    mut handler: H,
) {
    let mut position: Option<StorePosition> = None;
    let mut progress = ListProgress::new(gateway.clock.now_us());
    let mut is_unreachable = false;
    let mut had_changes = true;
    let mut was_suspended = false;
    let mut has_history = true;
    let mut last_answer = StorePosition::START;
    loop {
        let is_watcher = gateway.watches_store();
        if !is_watcher || position.is_none() {
            position = handler.known_position().filter(|_| has_history);
        }
        if !is_watcher && let Some(pause) = pause_before_call(gateway, &handler) {
            pause_until_wanted(&handler, pause).await;
            continue;
        }
        progress.discard_if_stale(gateway.clock.now_us());
        let sent_us = gateway.clock.now_us();
        if !is_watcher {
            log_call(H::KIND, handler.staleness().age_us(sent_us), position);
        }
        let wait = match position {
            // Any other call returns immediately: an instance that is no watcher, was suspended or lost the store first
            // has to learn what it missed, and whether the store came back from a copy.
            Some(_) if is_watcher && !was_suspended && !is_unreachable => {
                watch_wait(gateway, &handler, had_changes)
            }
            _ => Duration::ZERO,
        };
        handler
            .staleness()
            .query_started(sent_us, handler.bound(), wait);
        let call = async {
            match position {
                None => list(gateway, &mut store, &mut handler, &mut progress, sent_us).await,
                Some(from) => watch(&mut store, &mut handler, from, wait, sent_us).await,
            }
        };
        let Some(result) = gateway.clock.unless_suspended(call).await else {
            // The answer was sent while the machine was suspended; it may arrive seconds later.
            store.close();
            handler.staleness().query_abandoned();
            was_suspended = true;
            continue;
        };
        was_suspended = false;
        match result {
            Ok(answer) => {
                handler.staleness().query_answered();
                log_fall(H::KIND, last_answer, answer.position);
                last_answer = answer.position;
                position = Some(answer.position);
                has_history = true;
                had_changes = answer.has_changes;
                if std::mem::take(&mut is_unreachable) {
                    log::info!(target: "ryevalve::process", kind = H::KIND; "store_regained");
                }
                let took_us = gateway.clock.now_us() - sent_us;
                let is_early = Duration::from_micros(took_us) < wait.mul_f64(EARLY_END_SHARE);
                if had_changes || is_early {
                    let max_delay = handler.bound().watch_wait().mul_f64(MAX_BATCH_DELAY_SHARE);
                    time::sleep(BATCH_DELAY.min(max_delay)).await;
                }
            }
            Err(error @ (CallError::HistoryGone | CallError::EraChanged)) => {
                handler.staleness().query_answered();
                let reason = error.to_string();
                log::info!(target: "ryevalve::process", kind = H::KIND, reason; "store_history_gone");
                has_history = false;
                position = None;
            }
            Err(error) => {
                if !std::mem::replace(&mut is_unreachable, true) {
                    let reason = error.to_string();
                    log::warn!(target: "ryevalve::process", kind = H::KIND, reason; "store_lost");
                }
                gateway.metrics.store_failures.inc();
                handler.staleness().query_failed(gateway.clock.now_us());
                handler.call_failed();
                pause_until_wanted(&handler, retry_pause(gateway, handler.bound())).await;
            }
        }
    }
}

/// Logs that an answer of the store has a lower revision than the answer before.
fn log_fall(kind: &'static str, before: StorePosition, now: StorePosition) {
    let (era, revision) = (now.era(), now.revision());
    let (before_era, before) = (before.era(), before.revision());
    if revision < before {
        log::warn!(
            target: "ryevalve::process",
            kind, before_era, before, era, revision;
            "store_revision_fell"
        );
    }
}

/// Logs a call to the store by an instance that is no watcher.
fn log_call(kind: &'static str, age_us: Micros, from: Option<StorePosition>) {
    let age_ms = (age_us < Micros::MAX).then_some(age_us / 1_000);
    let revision = from.map(StorePosition::revision);
    log::info!(target: "ryevalve::process", kind, age_ms, revision; "store_asked");
}

/// Returns how long an instance that is no watcher may wait before it calls the store; none if it has to call now.
fn pause_before_call<P: Protocol, H: KindHandler>(
    gateway: &Gateway<P>,
    handler: &H,
) -> Option<Duration> {
    let now_us = gateway.clock.now_us();
    let poll = Duration::from_micros(POLL_US);
    let wait_us = match gateway.do_peers_have_state() {
        true => MAX_FIRST_START_WAIT_US,
        false => FIRST_START_WAIT_US,
    };
    if gateway.waits_for_peers() && now_us < wait_us {
        return Some(poll);
    }
    let age_us = handler.staleness().age_us(now_us);
    // Without other live instances, nobody could pass on a change.
    let turns_before = match gateway.instance_counts().heard {
        0 | 1 => 0,
        _ => gateway.watch_position().saturating_sub(WATCHERS),
    };
    let left_us = handler
        .bound()
        .store_query_age_us(turns_before)
        .checked_sub(age_us)?;
    let pause_us = left_us.clamp(1_000, POLL_US);
    Some(Duration::from_micros(pause_us))
}

/// Sleeps for `pause`, or until a request waits for an answer of the store.
async fn pause_until_wanted<H: KindHandler>(handler: &H, pause: Duration) {
    // After either end the caller checks again what there is to do.
    let _ = time::timeout(pause, handler.staleness().query_wanted()).await;
}

/// Returns how long a watch waits. A change ends the watches of all watchers at once, so that the next ones get
/// different lengths: the state of the other instances is then at most 4/3 of a wait old instead of two waits.
fn watch_wait<P: Protocol, H: KindHandler>(
    gateway: &Gateway<P>,
    handler: &H,
    had_changes: bool,
) -> Duration {
    let wait = handler.bound().watch_wait();
    if !had_changes {
        return wait;
    }
    let part = gateway.watch_position() % WATCHERS + 1;
    wait * part as u32 / WATCHERS as u32
}

/// Returns the pause after a failed call.
fn retry_pause<P: Protocol>(gateway: &Gateway<P>, bound: StalenessBound) -> Duration {
    let pause = Duration::from_millis(rand::rng().random_range(RETRY_MS));
    if gateway.watches_store() {
        return pause;
    }
    let groups = (gateway.instance_counts().all / RETRY_GROUP_SIZE).max(1) as u32;
    let max_delay = Duration::from_micros(bound.0).mul_f64(MAX_RETRY_SHARE);
    (pause * groups).min(max_delay)
}

/// Reads the remaining pages of a list. The list is as old as its first page.
///
/// An instance that starts while others run, or for which the store's history has expired, waits after the first of
/// several pages: its peers may supply what is missing.
async fn list<P: Protocol, H: KindHandler>(
    gateway: &Gateway<P>,
    store: &mut ObjectClient,
    handler: &mut H,
    progress: &mut ListProgress<H::Spec>,
    sent_us: Micros,
) -> Result<Answer, CallError> {
    let is_resumed = !progress.pages.is_empty();
    if !is_resumed {
        progress.sent_us = sent_us;
    }
    let mut listing = store.list_page(H::KIND, &mut progress.pages).await?;
    if listing.is_none()
        && !is_resumed
        && let Some(position) = fetched_from_peers(gateway, handler, progress.pages.era()).await
    {
        progress.pages = PartialListing::default();
        return Ok(Answer {
            position,
            has_changes: true,
        });
    }
    let listing = loop {
        match listing {
            Some(listing) => break listing,
            None => listing = store.list_page(H::KIND, &mut progress.pages).await?,
        }
    };
    let position = listing.position;
    handler.apply_listing(listing, progress.sent_us);
    Ok(Answer {
        position,
        has_changes: true,
    })
}

/// Waits until peers have supplied the missing state of `era` or a later one, so that the rest of the list need not be
/// read; returns the position of that state, or none after a timeout.
async fn fetched_from_peers<P: Protocol, H: KindHandler>(
    gateway: &Gateway<P>,
    handler: &H,
    era: u64,
) -> Option<StorePosition> {
    if !gateway.fetches_at_start() {
        return None;
    }
    let within_us = match handler.known_position() {
        Some(_) => handler.bound().answer_timeout_us(),
        None => PEER_FETCH_TIMEOUT_US,
    };
    let until_us = gateway.clock.now_us() + within_us;
    loop {
        let now_us = gateway.clock.now_us();
        let is_fresh = handler.staleness().age_us(now_us) < handler.bound().store_query_age_us(0);
        let known = handler.known_position();
        if is_fresh && let Some(position) = known.filter(|known| known.era() >= era) {
            return Some(position);
        }
        if now_us >= until_us {
            return None;
        }
        time::sleep(PEER_FETCH_POLL).await;
    }
}

async fn watch<H: KindHandler>(
    store: &mut ObjectClient,
    handler: &mut H,
    from: StorePosition,
    wait: Duration,
    sent_us: Micros,
) -> Result<Answer, CallError> {
    let changes = store.watch::<H::Spec>(H::KIND, from, wait).await?;
    let answer = Answer {
        position: changes.position,
        has_changes: !changes.events.is_empty(),
    };
    handler.apply_changes(changes, sent_us);
    Ok(answer)
}

struct ConfigHandler<P: Protocol> {
    gateway: Arc<Gateway<P>>,
}

impl<P: Protocol> ConfigHandler<P> {
    fn apply(&self, object: Object<ConfigSpec>) {
        if object.metadata.name == configuration::OBJECT.1
            && let Some(spec) = object.spec
        {
            self.gateway.offer(spec.into(), "store");
        }
    }

    fn confirm(&self, sent_us: Micros) {
        let version = self.gateway.config.version();
        if version > 0 {
            self.gateway.config.confirm(version, sent_us);
        }
    }
}

impl<P: Protocol> KindHandler for ConfigHandler<P> {
    type Spec = ConfigSpec;
    const KIND: &'static str = configuration::OBJECT.0;

    fn staleness(&self) -> &Staleness {
        &self.gateway.config.staleness
    }

    fn bound(&self) -> StalenessBound {
        self.gateway.bounds().config()
    }

    fn apply_listing(&mut self, listing: Listing<ConfigSpec>, sent_us: Micros) {
        for object in listing.items {
            self.apply(object);
        }
        self.confirm(sent_us);
    }

    fn apply_changes(&mut self, changes: Changes<ConfigSpec>, sent_us: Micros) {
        for event in changes.events {
            match event {
                Event::Changed(object) => self.apply(object),
                // The last known configuration stays in force.
                Event::Deleted(name) => {
                    log_unused(Self::KIND, Some(&name), "the object was deleted")
                }
                Event::Unreadable(skipped) => {
                    log_unused(Self::KIND, skipped.name.as_deref(), &skipped.reason);
                }
            }
        }
        self.confirm(sent_us);
    }
}

/// Maximum number of names of unusable entries that are remembered as logged.
const MAX_LOGGED_UNUSED: usize = 64;

/// Logs an object that is skipped.
pub(super) fn log_unused(kind: &'static str, name: Option<&str>, reason: &str) {
    let name = name.unwrap_or("-");
    log::warn!(target: "ryevalve::process", kind, name, reason; "entry_unused");
}

struct EndpointHandler<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    /// Names of unreadable entries that were logged: their writers may update them several times a second.
    logged_unused: HashSet<String>,
}

impl<P: Protocol> EndpointHandler<P> {
    fn upsert(&mut self, object: Object<EndpointSpec>, era: u64) {
        let metadata = object.metadata;
        let position = metadata.position(era);
        let Some(spec) = object.spec else {
            let reason = "the object has no content".into();
            let name = Some(metadata.name);
            self.skip(position, UnreadableObject { name, reason });
            return;
        };
        if !headers::can_name_endpoint(&metadata.name) {
            let reason = "its name is no header value".into();
            let name = Some(metadata.name);
            self.skip(position, UnreadableObject { name, reason });
            return;
        }
        self.logged_unused.remove(&metadata.name);
        let entry = spec.into_entry(&metadata.name);
        let id = entry.id.clone();
        let draining = entry.draining;
        let upserted = self.gateway.balancer().upsert_endpoint(entry, position);
        match upserted {
            Some(change) => self.gateway.handle_endpoint_change(&id, change, "store"),
            None => self.log_if_outdated(&id, position, draining),
        }
    }

    /// Logs a change that had no effect because a newer state of the endpoint is known.
    fn log_if_outdated(&self, id: &str, shown: StorePosition, draining: bool) {
        let known = self.gateway.balancer().endpoint_position(id);
        let Some(known) = known.filter(|known| shown.may_precede(*known)) else {
            return;
        };
        log::info!(
            target: "ryevalve::endpoint",
            endpoint = id, draining, era = shown.era(), revision = shown.revision(),
            known_era = known.era(), known_revision = known.revision();
            "endpoint_change_outdated"
        );
    }

    fn remove(&self, name: &str, at: StorePosition) {
        let now_us = self.gateway.clock.now_us();
        let mut balancer = self.gateway.balancer();
        let change = balancer.remove_endpoint(now_us, name, at);
        drop(balancer);
        match change {
            Some(change) => self.gateway.handle_endpoint_change(name, change, "store"),
            None => self.log_if_outdated(name, at, true),
        }
    }

    /// Skips an unreadable entry. If it replaced a readable one, that endpoint is removed.
    fn skip(&mut self, at: StorePosition, skipped: UnreadableObject) {
        self.gateway.metrics.entries_unused.inc();
        let Some(name) = skipped.name else {
            log::debug!(target: "ryevalve::process", reason = skipped.reason; "entry_without_name");
            return;
        };
        self.remove(&name, at);
        if self.logged_unused.len() < MAX_LOGGED_UNUSED && self.logged_unused.insert(name.clone()) {
            log_unused(endpoints::KIND, Some(&name), &skipped.reason);
        }
    }

    /// Returns whether the store came back from a copy since the state in force.
    fn is_of_later_era(&self, position: StorePosition) -> bool {
        let known = self.known_position();
        known.is_some_and(|known| known.era() < position.era())
    }

    fn advance(&self, position: StorePosition, sent_us: Micros) {
        self.gateway.balancer().advance_endpoints_position(position);
        self.gateway.endpoints_staleness.confirm(sent_us);
        self.gateway.reconsider();
    }
}

impl<P: Protocol> KindHandler for EndpointHandler<P> {
    type Spec = EndpointSpec;
    const KIND: &'static str = endpoints::KIND;

    fn staleness(&self) -> &Staleness {
        &self.gateway.endpoints_staleness
    }

    fn bound(&self) -> StalenessBound {
        self.gateway.bounds().drain
    }

    fn known_position(&self) -> Option<StorePosition> {
        let position = self.gateway.balancer().endpoints_position();
        (position > StorePosition::START).then_some(position)
    }

    fn apply_listing(&mut self, listing: Listing<EndpointSpec>, sent_us: Micros) {
        let names = listing.items.iter().map(|o| o.metadata.name.clone());
        let names: HashSet<String> = names.collect();
        let position = listing.position;
        let now_us = self.gateway.clock.now_us();
        if self.is_of_later_era(position) {
            self.gateway.balancer().store_returned_from_copy(now_us);
        }
        for object in listing.items {
            self.upsert(object, position.era());
        }
        let changes = self
            .gateway
            .balancer()
            .retain_listed_endpoints(now_us, position, |id| names.contains(id));
        for (id, change) in changes {
            self.gateway.handle_endpoint_change(&id, change, "store");
        }
        for skipped in listing.unreadable {
            self.skip(position, skipped);
        }
        self.advance(position, sent_us);
    }

    fn apply_changes(&mut self, changes: Changes<EndpointSpec>, sent_us: Micros) {
        let era = changes.position.era();
        let latest_positions = changes.latest_positions();
        for (event, latest_position) in changes.events.into_iter().zip(latest_positions) {
            match event {
                Event::Changed(object) => self.upsert(object, era),
                Event::Deleted(name) => self.remove(&name, latest_position),
                Event::Unreadable(skipped) => self.skip(latest_position, skipped),
            }
        }
        self.advance(changes.position, sent_us);
    }

    /// If other instances had an answer of the store recently, only this instance's connection failed: no entry has
    /// lapsed because of an outage, and a missing entry means that its endpoint has left.
    fn call_failed(&mut self) {
        if self.gateway.endpoints_age_us() < self.bound().outage_age_us() {
            return;
        }
        let now_us = self.gateway.clock.now_us();
        self.gateway.balancer().store_was_unreachable(now_us);
    }
}

/// Keeps the configuration up to date until dropped.
pub async fn configuration<P: Protocol>(gateway: Arc<Gateway<P>>, store: ObjectClient) {
    let handler = ConfigHandler {
        gateway: gateway.clone(),
    };
    watch_kind(&gateway, store, handler).await;
}

/// Keeps the endpoints up to date until dropped.
pub async fn endpoints<P: Protocol>(gateway: Arc<Gateway<P>>, store: ObjectClient) {
    let handler = EndpointHandler {
        gateway: gateway.clone(),
        logged_unused: HashSet::new(),
    };
    watch_kind(&gateway, store, handler).await;
}

/// Evacuations that the store lost by coming back from a copy stay in force for this long, unless they are written again
/// or withdrawn before. Without a limit, one that nobody writes again could not be withdrawn.
const LOST_EVACUATION_GRACE_US: Micros = 60_000_000;

struct EvacuationHandler<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    /// The evacuated data centres according to the store.
    evacuated: BTreeSet<Name>,
    /// The era of the store's last answer; 0 before the first.
    era: u64,
    /// Evacuations that the store lost, and how long they stay in force.
    lost: BTreeSet<Name>,
    lost_until_us: Micros,
}

impl<P: Protocol> EvacuationHandler<P> {
    /// Keeps the evacuations in force that the store does not show any more if it came back from a copy.
    fn keep_lost(&mut self, position: StorePosition) {
        let known = self.gateway.evacuations.known();
        let is_first_answer = self.era == 0;
        let known_era = match is_first_answer {
            true => known.position.era(),
            false => self.era,
        };
        if known_era < position.era() {
            let lost = known.data_centres.into_iter();
            self.lost = lost.filter(|name| !self.evacuated.contains(name)).collect();
            self.lost_until_us = self.gateway.clock.now_us() + LOST_EVACUATION_GRACE_US;
            for data_centre in &self.lost {
                log::warn!(
                    target: "ryevalve::process",
                    data_centre = &**data_centre, era = position.era(), era_before = known_era;
                    "evacuation_kept"
                );
            }
        }
        self.era = position.era();
    }

    fn publish(&mut self, position: StorePosition, sent_us: Micros) {
        if self.gateway.clock.now_us() >= self.lost_until_us {
            self.lost.clear();
        }
        let evacuated = self.evacuated.union(&self.lost).cloned();
        let (set, left_out) = EvacuationSet::new(position, evacuated);
        if left_out > 0 {
            log::error!(target: "ryevalve::process", left_out; "evacuations_left_out");
        }
        self.gateway.apply_evacuations(set, Some(sent_us), "store");
    }

    /// Adds the data centre of an unreadable object: only the name matters, not the content.
    fn insert_unreadable(&mut self, skipped: UnreadableObject) {
        match skipped.name {
            Some(name) => {
                self.evacuated.insert(name.as_str().into());
            }
            None => log_unused(evacuations::KIND, None, &skipped.reason),
        }
    }
}

impl<P: Protocol> KindHandler for EvacuationHandler<P> {
    type Spec = EvacuationSpec;
    const KIND: &'static str = evacuations::KIND;

    fn staleness(&self) -> &Staleness {
        &self.gateway.evacuations.staleness
    }

    fn bound(&self) -> StalenessBound {
        let bounds = self.gateway.bounds();
        bounds.evacuate.unwrap_or(bounds.config_apply)
    }

    fn apply_listing(&mut self, listing: Listing<EvacuationSpec>, sent_us: Micros) {
        let names = listing.items.into_iter().map(|o| o.metadata.name);
        self.evacuated = names.map(|name| name.as_str().into()).collect();
        for skipped in listing.unreadable {
            self.insert_unreadable(skipped);
        }
        self.keep_lost(listing.position);
        self.publish(listing.position, sent_us);
    }

    fn apply_changes(&mut self, changes: Changes<EvacuationSpec>, sent_us: Micros) {
        for event in changes.events {
            match event {
                Event::Changed(object) => {
                    self.evacuated.insert(object.metadata.name.as_str().into());
                }
                Event::Deleted(name) => {
                    self.evacuated.remove(name.as_str());
                    self.lost.remove(name.as_str());
                }
                Event::Unreadable(skipped) => self.insert_unreadable(skipped),
            }
        }
        self.publish(changes.position, sent_us);
    }
}

/// Keeps the evacuations up to date until dropped.
pub async fn evacuations<P: Protocol>(gateway: Arc<Gateway<P>>, store: ObjectClient) {
    let handler = EvacuationHandler {
        gateway: gateway.clone(),
        evacuated: BTreeSet::new(),
        era: 0,
        lost: BTreeSet::new(),
        lost_until_us: 0,
    };
    watch_kind(&gateway, store, handler).await;
}
