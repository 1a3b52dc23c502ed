//! Follows the store: the operators' configuration, and the endpoints' entries.

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
        objects::{
            CallError, Changes, Event, Listing, Object, ObjectClient, PartialListing, Unreadable,
        },
    },
    prelude::{Micros, Name},
};

/// Changes that come together are taken together: a call is paid for, and three watchers made up to 30
/// a second while endpoints were replaced. An endpoint that says it leaves goes on for seconds.
const GATHER: Duration = Duration::from_millis(250);
/// But for no longer than this share of a watch's wait, which falls with the bound.
const GATHER_SHARE: f64 = 0.5;
/// A watch that ends without news before this share of its wait is followed by the same pause: a store that
/// answers at once would be asked without end.
const EARLY_SHARE: f64 = 0.5;
/// At the first start of all, an instance that is no seed waits this long for others to tell it what
/// the store has: 295 instances made 1,690 calls before the first request, .059 of a calm day's worth.
/// Callers come some seconds later. Whoever starts again asks at once.
const FIRST_WAIT_US: Micros = 4_000_000;
/// And this long once others are known to have it: copies for hundreds take some seconds.
const LONGEST_FIRST_WAIT_US: Micros = 8_000_000;
/// A process that starts is given this long to fetch a long list from others.
const BROUGHT_WITHIN_US: Micros = 1_500_000;
const BROUGHT_LOOK: Duration = Duration::from_millis(20);
/// How often it is looked at whether the store is to be asked, at least: the watchers change.
const LOOK_US: Micros = 200_000;
/// Pause after a call that brought nothing; spread, so that instances do not return together.
const RETRY_MS: std::ops::Range<u64> = 150..350;
/// Where others watch, the pause grows with the group beyond this many instances: calls are paid
/// for, those that bring nothing too, and whoever gets an answer tells the others.
const RETRY_GROUP: usize = 12;
/// But not beyond this share of the bound: an instance whose way to the store is back, and whom nobody tells so,
/// finds out by itself. At 295 instances the pause would be 3.6 to 8.4 s, twice a bound of 4 s.
const RETRY_SHARE: f64 = 0.75;

/// What is done with what a kind's objects say.
trait Follower {
    type Spec: serde::de::DeserializeOwned;
    const KIND: &'static str;

    /// Takes all objects of the kind, asked for at `asked_us`.
    fn listed(&mut self, listing: Listing<Self::Spec>, asked_us: Micros);

    /// Takes what has changed since, asked for at `asked_us`.
    fn changed(&mut self, changes: Changes<Self::Spec>, asked_us: Micros);

    /// Returns how fresh what is known of the kind is.
    fn staleness(&self) -> &Staleness;

    /// Returns how long after a change of the kind an instance may act as before it.
    fn bound(&self) -> StalenessBound;

    /// Returns the revision up to which what is known of the kind is whole, whoever told it; none if only a list
    /// makes it whole.
    fn known_revision(&self) -> Option<u64> {
        None
    }

    /// Notes that the store did not answer.
    fn lost(&mut self) {}
}

/// Pages of a list that were read are kept for this long over calls that bring nothing. A watch goes on from the first of
/// them, and stores keep a history of 20 s and more.
const LIST_KEPT_US: Micros = 10_000_000;

/// A list that is being read.
struct Reading<T> {
    pages: PartialListing<T>,
    /// When the first page was asked for.
    asked_us: Micros,
}

impl<T> Reading<T> {
    fn new(asked_us: Micros) -> Self {
        Self {
            pages: PartialListing::default(),
            asked_us,
        }
    }

    /// Begins anew if what was read is too old to go on with.
    fn renew(&mut self, now_us: Micros) {
        if now_us.saturating_sub(self.asked_us) >= LIST_KEPT_US {
            *self = Self::new(now_us);
        }
    }
}

/// What an answer of the store brought.
struct Answer {
    /// The revision that a watch goes on from.
    revision: u64,
    /// It told of all objects, or of a change.
    has_news: bool,
}

/// Follows a kind until dropped: by watches where this instance watches for others, else by what
/// those tell, and by reading for itself before what is known becomes too old to act on.
async fn follow<P: Protocol, F: Follower>(
    gateway: &Gateway<P>,
    mut store: ObjectClient,
    mut follower: F,
) {
    let mut revision: Option<u64> = None;
    let mut reading = Reading::new(gateway.clock.now_us());
    let mut is_lost = false;
    let mut had_news = true;
    let mut was_suspended = false;
    let mut has_history = true;
    loop {
        let watches_for_others = gateway.watches_store();
        if !watches_for_others || revision.is_none() {
            revision = follower.known_revision().filter(|_| has_history);
        }
        if !watches_for_others && let Some(pause) = pause_before_asking(gateway, &follower) {
            pause_unless_wanted(&follower, pause).await;
            continue;
        }
        reading.renew(gateway.clock.now_us());
        let asked_us = gateway.clock.now_us();
        if !watches_for_others {
            log_asked(F::KIND, follower.staleness().age_us(asked_us), revision);
        }
        let wait = match revision {
            // Whoever waits for news does not know yet what came meanwhile.
            Some(_) if watches_for_others && !was_suspended => {
                watch_wait(gateway, &follower, had_news)
            }
            _ => Duration::ZERO,
        };
        follower.staleness().asks(asked_us, follower.bound(), wait);
        let asking = async {
            match revision {
                None => list(gateway, &mut store, &mut follower, &mut reading, asked_us).await,
                Some(from) => watch(&mut store, &mut follower, from, wait, asked_us).await,
            }
        };
        let Some(result) = gateway.clock.unless_suspended(asking).await else {
            // The answer was on its way to a machine that was not there; it may come seconds later.
            store.close();
            follower.staleness().abandoned();
            was_suspended = true;
            continue;
        };
        was_suspended = false;
        match result {
            Ok(answer) => {
                follower.staleness().answered();
                revision = Some(answer.revision);
                has_history = true;
                had_news = answer.has_news;
                if std::mem::take(&mut is_lost) {
                    log::info!(target: "ryevalve::process", kind = F::KIND; "store_regained");
                }
                let took_us = gateway.clock.now_us() - asked_us;
                let is_early = Duration::from_micros(took_us) < wait.mul_f64(EARLY_SHARE);
                if had_news || is_early {
                    let longest = follower.bound().watch_wait().mul_f64(GATHER_SHARE);
                    time::sleep(GATHER.min(longest)).await;
                }
            }
            Err(CallError::HistoryGone) => {
                follower.staleness().answered();
                log::info!(target: "ryevalve::process", kind = F::KIND; "store_history_gone");
                has_history = false;
                revision = None;
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    let reason = error.to_string();
                    log::warn!(target: "ryevalve::process", kind = F::KIND, reason; "store_lost");
                }
                gateway.metrics.store_failures.inc();
                follower.staleness().failed(gateway.clock.now_us());
                follower.lost();
                pause_unless_wanted(&follower, retry_pause(gateway, follower.bound())).await;
            }
        }
    }
}

/// Writes a line on a question to the store by an instance that others tell of changes.
fn log_asked(kind: &'static str, age_us: Micros, revision: Option<u64>) {
    let age_ms = (age_us < Micros::MAX).then_some(age_us / 1_000);
    log::info!(target: "ryevalve::process", kind, age_ms, revision; "store_asked");
}

/// Returns how long an instance that others tell of changes need not ask the store; none if it is to.
fn pause_before_asking<P: Protocol, F: Follower>(
    gateway: &Gateway<P>,
    follower: &F,
) -> Option<Duration> {
    let now_us = gateway.clock.now_us();
    let look = Duration::from_micros(LOOK_US);
    let wait_us = match gateway.do_peers_have_state() {
        true => LONGEST_FIRST_WAIT_US,
        false => FIRST_WAIT_US,
    };
    if gateway.waits_for_peers() && now_us < wait_us {
        return Some(look);
    }
    let age_us = follower.staleness().age_us(now_us);
    // Where nobody is heard, nobody could tell of a change.
    let before = match gateway.instance_counts().heard {
        0 | 1 => 0,
        _ => gateway.watch_position().saturating_sub(WATCHERS),
    };
    let left_us = follower.bound().ask_age_us(before).checked_sub(age_us)?;
    let pause_us = left_us.clamp(1_000, LOOK_US);
    Some(Duration::from_micros(pause_us))
}

/// Pauses until something waits for the store's answer.
async fn pause_unless_wanted<F: Follower>(follower: &F, pause: Duration) {
    // Both ends say the same: it is looked again at what there is to do.
    let _ = time::timeout(pause, follower.staleness().wanted()).await;
}

/// Returns how long a watch waits. News comes to all who watch at once, so their next waits have different
/// ends: what the others know is then a third of a wait older than a wait at most, and not twice a wait.
fn watch_wait<P: Protocol, F: Follower>(
    gateway: &Gateway<P>,
    follower: &F,
    had_news: bool,
) -> Duration {
    let wait = follower.bound().watch_wait();
    if !had_news {
        return wait;
    }
    let part = gateway.watch_position() % WATCHERS + 1;
    wait * part as u32 / WATCHERS as u32
}

fn retry_pause<P: Protocol>(gateway: &Gateway<P>, bound: StalenessBound) -> Duration {
    let pause = Duration::from_millis(rand::rng().random_range(RETRY_MS));
    if gateway.watches_store() {
        return pause;
    }
    let groups = (gateway.instance_counts().all / RETRY_GROUP).max(1) as u32;
    let longest = Duration::from_micros(bound.0).mul_f64(RETRY_SHARE);
    (pause * groups).min(longest)
}

/// Asks for all, from where the list that is being read stands. What it tells is as old as its first page.
///
/// Whoever starts beside others, or goes on where the store forgot what changed, waits after the first page of many: they
/// may bring what it lacks.
async fn list<P: Protocol, F: Follower>(
    gateway: &Gateway<P>,
    store: &mut ObjectClient,
    follower: &mut F,
    reading: &mut Reading<F::Spec>,
    asked_us: Micros,
) -> Result<Answer, CallError> {
    let is_begun = !reading.pages.is_empty();
    if !is_begun {
        reading.asked_us = asked_us;
    }
    let mut listing = store.list_page(F::KIND, &mut reading.pages).await?;
    if listing.is_none()
        && !is_begun
        && let Some(revision) = brought_by_others(gateway, follower).await
    {
        reading.pages = PartialListing::default();
        return Ok(Answer {
            revision,
            has_news: true,
        });
    }
    let listing = loop {
        match listing {
            Some(listing) => break listing,
            None => listing = store.list_page(F::KIND, &mut reading.pages).await?,
        }
    };
    let revision = listing.revision;
    follower.listed(listing, reading.asked_us);
    Ok(Answer {
        revision,
        has_news: true,
    })
}

/// Waits until others have brought what is missing here, so that the store need not be asked; returns up to which
/// revision, if they did in time.
async fn brought_by_others<P: Protocol, F: Follower>(
    gateway: &Gateway<P>,
    follower: &F,
) -> Option<u64> {
    if !gateway.fetches_at_start() {
        return None;
    }
    let within_us = match follower.known_revision() {
        Some(_) => follower.bound().answer_us(),
        None => BROUGHT_WITHIN_US,
    };
    let until_us = gateway.clock.now_us() + within_us;
    loop {
        let now_us = gateway.clock.now_us();
        let is_fresh = follower.staleness().age_us(now_us) < follower.bound().ask_age_us(0);
        if is_fresh && let Some(revision) = follower.known_revision() {
            return Some(revision);
        }
        if now_us >= until_us {
            return None;
        }
        time::sleep(BROUGHT_LOOK).await;
    }
}

async fn watch<F: Follower>(
    store: &mut ObjectClient,
    follower: &mut F,
    from: u64,
    wait: Duration,
    asked_us: Micros,
) -> Result<Answer, CallError> {
    let changes = store.watch::<F::Spec>(F::KIND, from, wait).await?;
    let answer = Answer {
        revision: changes.revision,
        has_news: !changes.events.is_empty(),
    };
    follower.changed(changes, asked_us);
    Ok(answer)
}

struct ConfigFollower<P: Protocol> {
    gateway: Arc<Gateway<P>>,
}

impl<P: Protocol> ConfigFollower<P> {
    fn take(&self, object: Object<ConfigSpec>) {
        if object.metadata.name == configuration::OBJECT.1
            && let Some(spec) = object.spec
        {
            self.gateway.offer(spec.into(), "store");
        }
    }

    fn confirm(&self, asked_us: Micros) {
        let version = self.gateway.config.version();
        if version > 0 {
            self.gateway.config.confirm(version, asked_us);
        }
    }
}

impl<P: Protocol> Follower for ConfigFollower<P> {
    type Spec = ConfigSpec;
    const KIND: &'static str = configuration::OBJECT.0;

    fn staleness(&self) -> &Staleness {
        &self.gateway.config.staleness
    }

    fn bound(&self) -> StalenessBound {
        self.gateway.bounds().config()
    }

    fn listed(&mut self, listing: Listing<ConfigSpec>, asked_us: Micros) {
        for object in listing.items {
            self.take(object);
        }
        self.confirm(asked_us);
    }

    fn changed(&mut self, changes: Changes<ConfigSpec>, asked_us: Micros) {
        for event in changes.events {
            match event {
                Event::Changed(object) => self.take(object),
                // The last one known stays in force.
                Event::Deleted(name) => log_unused(Self::KIND, Some(&name), "it was removed"),
                Event::Unreadable(what) => {
                    log_unused(Self::KIND, what.name.as_deref(), &what.reason);
                }
            }
        }
        self.confirm(asked_us);
    }
}

/// Entries of other writers that are remembered to have been logged, at most.
const MOST_UNUSED: usize = 64;

/// Writes a line on an object that is passed over.
fn log_unused(kind: &'static str, name: Option<&str>, reason: &str) {
    let name = name.unwrap_or("-");
    log::warn!(target: "ryevalve::process", kind, name, reason; "entry_unused");
}

struct EndpointFollower<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    /// Names of unreadable entries that were logged: their writers may write them several times a second.
    unused: HashSet<String>,
}

impl<P: Protocol> EndpointFollower<P> {
    fn seen(&mut self, object: Object<EndpointSpec>) {
        let metadata = object.metadata;
        let Some(spec) = object.spec else {
            let reason = "it has no content".into();
            let name = Some(metadata.name);
            self.pass_over(metadata.revision, Unreadable { name, reason });
            return;
        };
        self.unused.remove(&metadata.name);
        let entry = spec.into_entry(&metadata.name);
        let id = entry.id.clone();
        let seen = self
            .gateway
            .balancer()
            .upsert_endpoint(entry, metadata.revision);
        if let Some(change) = seen {
            self.gateway.handle_endpoint_change(&id, change, "store");
        }
    }

    fn removed(&self, name: &str, revision: u64) {
        let now_us = self.gateway.clock.now_us();
        let mut balancer = self.gateway.balancer();
        let change = balancer.remove_endpoint(now_us, name, revision);
        drop(balancer);
        if let Some(change) = change {
            self.gateway.handle_endpoint_change(name, change, "store");
        }
    }

    /// An entry that cannot be read names no endpoint, also where it took the place of one that did.
    fn pass_over(&mut self, revision: u64, what: Unreadable) {
        self.gateway.metrics.entries_unused.inc();
        let Some(name) = what.name else {
            log::debug!(target: "ryevalve::process", reason = what.reason; "entry_without_name");
            return;
        };
        self.removed(&name, revision);
        if self.unused.len() < MOST_UNUSED && self.unused.insert(name.clone()) {
            log_unused(endpoints::KIND, Some(&name), &what.reason);
        }
    }

    fn reached(&self, revision: u64, asked_us: Micros) {
        self.gateway.balancer().advance_endpoints_revision(revision);
        self.gateway.endpoints_staleness.confirm(asked_us);
        self.gateway.reconsider();
    }
}

impl<P: Protocol> Follower for EndpointFollower<P> {
    type Spec = EndpointSpec;
    const KIND: &'static str = endpoints::KIND;

    fn staleness(&self) -> &Staleness {
        &self.gateway.endpoints_staleness
    }

    fn bound(&self) -> StalenessBound {
        self.gateway.bounds().drain
    }

    fn known_revision(&self) -> Option<u64> {
        let revision = self.gateway.balancer().endpoints_revision();
        (revision > 0).then_some(revision)
    }

    fn listed(&mut self, listing: Listing<EndpointSpec>, asked_us: Micros) {
        let names = listing.items.iter().map(|o| o.metadata.name.clone());
        let names: HashSet<String> = names.collect();
        for object in listing.items {
            self.seen(object);
        }
        let now_us = self.gateway.clock.now_us();
        let changes =
            self.gateway
                .balancer()
                .retain_listed_endpoints(now_us, listing.revision, |id| names.contains(id));
        for (id, change) in changes {
            self.gateway.handle_endpoint_change(&id, change, "store");
        }
        for what in listing.unreadable {
            self.pass_over(listing.revision, what);
        }
        self.reached(listing.revision, asked_us);
    }

    fn changed(&mut self, changes: Changes<EndpointSpec>, asked_us: Micros) {
        let done_by = changes.done_by();
        for (event, done_by) in changes.events.into_iter().zip(done_by) {
            match event {
                Event::Changed(object) => self.seen(object),
                Event::Deleted(name) => self.removed(&name, done_by),
                Event::Unreadable(what) => self.pass_over(done_by, what),
            }
        }
        self.reached(changes.revision, asked_us);
    }

    /// Where others heard from the store of late, only this instance's way there is lost: nobody's entry has
    /// lapsed, and one that is missing has gone.
    fn lost(&mut self) {
        if self.gateway.endpoints_age_us() < self.bound().outage_age_us() {
            return;
        }
        let now_us = self.gateway.clock.now_us();
        self.gateway.balancer().store_was_unreachable(now_us);
    }
}

/// Follows the configuration until dropped.
pub async fn configuration<P: Protocol>(gateway: Arc<Gateway<P>>, store: ObjectClient) {
    let follower = ConfigFollower {
        gateway: gateway.clone(),
    };
    follow(&gateway, store, follower).await;
}

/// Follows the endpoints until dropped.
pub async fn endpoints<P: Protocol>(gateway: Arc<Gateway<P>>, store: ObjectClient) {
    let follower = EndpointFollower {
        gateway: gateway.clone(),
        unused: HashSet::new(),
    };
    follow(&gateway, store, follower).await;
}

struct EvacuationFollower<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    /// The data centres that are evacuated, as this instance learned from the store.
    evacuated: BTreeSet<Name>,
}

impl<P: Protocol> EvacuationFollower<P> {
    fn publish(&self, revision: u64, asked_us: Micros) {
        let (set, left_out) = EvacuationSet::new(revision, self.evacuated.iter().cloned());
        if left_out > 0 {
            log::error!(target: "ryevalve::process", left_out; "evacuations_left_out");
        }
        self.gateway.apply_evacuations(set, Some(asked_us), "store");
    }

    /// An object names its data centre; what else stands in it, readable or not, says nothing.
    fn insert_unreadable(&mut self, what: Unreadable) {
        match what.name {
            Some(name) => {
                self.evacuated.insert(name.as_str().into());
            }
            None => log_unused(evacuations::KIND, None, &what.reason),
        }
    }
}

impl<P: Protocol> Follower for EvacuationFollower<P> {
    type Spec = EvacuationSpec;
    const KIND: &'static str = evacuations::KIND;

    fn staleness(&self) -> &Staleness {
        &self.gateway.evacuations.staleness
    }

    fn bound(&self) -> StalenessBound {
        let bounds = self.gateway.bounds();
        bounds.evacuate.unwrap_or(bounds.config_apply)
    }

    fn listed(&mut self, listing: Listing<EvacuationSpec>, asked_us: Micros) {
        let names = listing.items.into_iter().map(|o| o.metadata.name);
        self.evacuated = names.map(|name| name.as_str().into()).collect();
        for what in listing.unreadable {
            self.insert_unreadable(what);
        }
        self.publish(listing.revision, asked_us);
    }

    fn changed(&mut self, changes: Changes<EvacuationSpec>, asked_us: Micros) {
        for event in changes.events {
            match event {
                Event::Changed(object) => {
                    self.evacuated.insert(object.metadata.name.as_str().into());
                }
                Event::Deleted(name) => {
                    self.evacuated.remove(name.as_str());
                }
                Event::Unreadable(what) => self.insert_unreadable(what),
            }
        }
        self.publish(changes.revision, asked_us);
    }
}

/// Follows the evacuations until dropped.
pub async fn evacuations<P: Protocol>(gateway: Arc<Gateway<P>>, store: ObjectClient) {
    let follower = EvacuationFollower {
        gateway: gateway.clone(),
        evacuated: BTreeSet::new(),
    };
    follow(&gateway, store, follower).await;
}
