//! What the parts of a gateway share.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

use tokio::sync::oneshot;

use crate::{
    balance::{
        balancer::{BUSY, Balancer, ENDPOINT_LIMITS, Placement, WaitKey, refused},
        cost::Ask,
        discovery::{Change, EndpointsCopy},
        load::EndpointKey,
        standing::back_ms,
    },
    clock::Clock,
    endpoint::kept::KeptConnections,
    gateway::{
        config::GatewayConfig,
        endings::Endings,
        endpoint_words::UnreadHeaders,
        freshness::{CurrentConfig, Offered},
        metrics::GatewayMetrics,
        patience::UsualPatience,
        permits::{self, Permits},
        protocol::Protocol,
        reserver::{PlaceAnswer, Reserver},
        staleness::{Staleness, StalenessBound},
    },
    limits::{
        fingerprint::Fingerprint,
        organisation::{OrganisationLimits, Sharers, Tolerance},
        retries::{RetryBounds, RetryBudget},
        suspects::SuspectBook,
    },
    prelude::{Micros, Name},
};

/// A key may be used this much less long than operators allow after it was taken away: a watch may
/// hear nothing for a second while changes are made. At most the share below of what they allow.
const FRESHNESS_MARGIN_US: Micros = 1_200_000;
/// With less left, calm instances would refuse keys between one word of the store and the next.
const FRESHNESS_MARGIN_SHARE: f64 = 0.25;

/// So many endpoints that take only so many requests a second are asked permits for, one after the other, for one
/// request: two milliseconds each, and after that whoever refuses is not asked for a while.
const MOST_PERMITS_ASKED: usize = 3;
/// When a caller may come back whose request endpoints turned away, where others have not.
const TURNED_AWAY_BACK_MS: u32 = 500;
/// Endpoints at rest that are named when a place is asked for, at most, at 5 bytes each. A place at another of them is not
/// taken.
const MOST_CLOSED_TOLD: usize = 128;
/// An instance's address is told to others for this long after it was met.
const MET_US: Micros = 10_000_000;

/// Figures that a gateway is run by; they may change while it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayBounds {
    /// How long a key may be used after it was taken away.
    pub revoke_us: Micros,
    /// How long after its word that it leaves an endpoint may be sent requests.
    pub drain: StalenessBound,
    /// How long after a configuration an instance may act by the one before.
    pub config_apply: StalenessBound,
    /// That is kept even if it means refusing callers while nothing newer can be learned.
    pub is_revocation_strict: bool,
    /// Retries of a service.
    pub retries: RetryBounds,
    /// How far above its limit an organisation may come.
    pub tolerance: Tolerance,
}

impl GatewayBounds {
    /// Returns how long after a configuration an instance may act by the one before, and use its keys.
    pub fn config(&self) -> StalenessBound {
        StalenessBound(self.config_apply.0.min(self.revoke_us))
    }

    /// Returns how old the configuration may be for its keys to be used.
    pub fn key_age_us(&self) -> Micros {
        let share_us = (self.revoke_us as f64 * FRESHNESS_MARGIN_SHARE) as Micros;
        self.revoke_us - share_us.min(FRESHNESS_MARGIN_US)
    }
}

/// One gateway.
pub struct Gateway<P: Protocol> {
    /// How callers and endpoints speak.
    pub protocol: P,
    /// The clock.
    pub clock: Clock,
    /// The configuration in force.
    pub config: CurrentConfig,
    /// Connections to endpoints.
    pub connections: KeptConnections,
    /// The counters.
    pub metrics: GatewayMetrics,
    bounds: Mutex<GatewayBounds>,
    balancer: Mutex<Balancer>,
    waiters: Mutex<HashMap<WaitKey, oneshot::Sender<Placement>>>,
    limits: Mutex<OrganisationLimits>,
    retries: Mutex<RetryBudget>,
    patience: Mutex<UsualPatience>,
    suspects: Mutex<SuspectBook>,
    /// When a caller that may come back was refused last; 0 if none was.
    refused_us: AtomicU64,
    /// Instances that share limits, and those heard of late, this one included.
    instances_known: AtomicUsize,
    instances_heard: AtomicUsize,
    /// Control addresses of the instances that were met of late.
    met: Mutex<HashMap<SocketAddr, Micros>>,
    /// This instance watches the store for others.
    watches_store: AtomicBool,
    /// This instance's place among those that watch the store, or would.
    place_to_watch: AtomicUsize,
    /// It starts with all others, and some of them ask the store for it.
    waits_for_others: AtomicBool,
    /// How fresh the endpoints are known to be.
    pub endpoints: Staleness,
    /// Asks others for places at endpoints.
    pub reserver: Reserver,
    /// Asks for permits to send to endpoints that take only so many requests a second, and gives them.
    pub permits: Permits,
    /// Finds out which endpoints have ended.
    pub endings: Endings,
    /// Headers of endpoints that nothing reads.
    pub unread_headers: UnreadHeaders,
    stopping: AtomicBool,
}

impl<P: Protocol> Gateway<P> {
    /// Creates a gateway that knows nothing yet; `hall` is where it stands.
    ///
    /// `is_first_start` says that no instance has run before it.
    pub fn new(protocol: P, hall: Name, bounds: GatewayBounds, is_first_start: bool) -> Self {
        Self::with_clock(protocol, hall, bounds, is_first_start, Clock::default())
    }

    /// The same by a clock that has been started.
    pub fn with_clock(
        protocol: P,
        hall: Name,
        bounds: GatewayBounds,
        is_first_start: bool,
        clock: Clock,
    ) -> Self {
        let limits = OrganisationLimits::new(clock.now_us(), bounds.tolerance, is_first_start);
        Self {
            protocol,
            clock,
            config: CurrentConfig::default(),
            connections: KeptConnections::default(),
            metrics: GatewayMetrics::default(),
            bounds: Mutex::new(bounds),
            balancer: Mutex::new(Balancer::new(hall)),
            waiters: Mutex::default(),
            limits: Mutex::new(limits),
            retries: Mutex::new(RetryBudget::new(bounds.retries)),
            patience: Mutex::default(),
            suspects: Mutex::default(),
            refused_us: AtomicU64::new(0),
            instances_known: AtomicUsize::new(1),
            instances_heard: AtomicUsize::new(1),
            met: Mutex::default(),
            watches_store: AtomicBool::new(false),
            place_to_watch: AtomicUsize::new(0),
            waits_for_others: AtomicBool::new(false),
            reserver: Reserver::default(),
            permits: Permits::default(),
            endings: Endings::default(),
            unread_headers: UnreadHeaders::default(),
            endpoints: Staleness::default(),
            stopping: AtomicBool::new(false),
        }
    }

    /// Returns the figures in force.
    pub fn bounds(&self) -> GatewayBounds {
        *lock(&self.bounds)
    }

    /// Replaces the figures in force.
    pub fn set_bounds(&self, bounds: GatewayBounds) {
        *lock(&self.bounds) = bounds;
        lock(&self.limits).set_tolerance(bounds.tolerance);
        lock(&self.retries).set_bounds(bounds.retries);
    }

    /// Returns the balancer; not to be held across a wait.
    pub fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock(&self.balancer)
    }

    /// Returns the organisations' limits; not to be held across a wait.
    pub fn limits(&self) -> MutexGuard<'_, OrganisationLimits> {
        lock(&self.limits)
    }

    /// Returns what is known of requests that end endpoints; not to be held across a wait.
    pub fn suspects(&self) -> MutexGuard<'_, SuspectBook> {
        lock(&self.suspects)
    }

    /// Returns for how much longer a request is to reach no endpoint, since those that ran it ended. What it is
    /// known by is worked out only while some request is suspected.
    pub fn blocked_us(&self, fingerprint: impl FnOnce() -> Fingerprint) -> Option<Micros> {
        if self.suspects().is_empty() {
            return None;
        }
        let fingerprint = fingerprint();
        let endpoints = self.balancer().endpoint_count();
        let now_us = self.clock.now_us();
        self.suspects().blocked_us(now_us, fingerprint, endpoints)
    }

    /// Notes that a request ran to its end.
    pub fn note_whole(&self, fingerprint: impl FnOnce() -> Fingerprint) {
        let now_us = self.clock.now_us();
        self.suspects().note_whole(now_us, fingerprint());
    }

    /// Counts a request for a service.
    pub fn count_request(&self, service: &Name) {
        lock(&self.retries).request(self.clock.now_us(), service);
    }

    /// Takes a retry for a service; false if none is left.
    pub fn take_retry(&self, service: &Name) -> bool {
        let sharers = self.sharers();
        let taken = lock(&self.retries).take(self.clock.now_us(), service, sharers.all);
        if !taken {
            self.metrics.retries_denied.inc();
        }
        taken
    }

    /// Returns the retries left for a service.
    pub fn retries_left(&self, service: &Name) -> f64 {
        let sharers = self.sharers();
        lock(&self.retries).left(self.clock.now_us(), service, sharers.all)
    }

    /// Learns how long a caller of a route waits from now; returns for how long it has waited already.
    pub fn waited_us(&self, route: &Name, patience_us: Micros) -> Micros {
        let now_us = self.clock.now_us();
        let refused_us = self.refused_us.load(Ordering::Relaxed);
        let is_calm = refused_us == 0 || now_us.saturating_sub(refused_us) > patience_us;
        lock(&self.patience).waited_us(route, patience_us, is_calm)
    }

    /// Notes that a caller was refused that may come back.
    pub fn note_refused(&self) {
        let now_us = self.clock.now_us();
        self.refused_us.store(now_us.max(1), Ordering::Relaxed);
    }

    /// Returns how many instances share limits, and how many are heard.
    pub fn sharers(&self) -> Sharers {
        Sharers {
            all: self.instances_known.load(Ordering::Relaxed),
            heard: self.instances_heard.load(Ordering::Relaxed),
        }
    }

    /// Sets how many instances share limits, and how many are heard.
    pub fn set_sharers(&self, sharers: Sharers) {
        self.instances_known.store(sharers.all, Ordering::Relaxed);
        self.instances_heard.store(sharers.heard, Ordering::Relaxed);
    }

    /// Puts a configuration in force if it is newer; `from` says who had it.
    pub fn offer(&self, config: GatewayConfig, from: &'static str) {
        let version = config.version;
        let before = self.config.version();
        let offered = self.config.offer(config);
        if offered == Offered::Known {
            return;
        }
        let applied = offered == Offered::Applied;
        if let Some(table) = self.config.table().filter(|_| applied) {
            let now_us = self.clock.now_us();
            self.limits().configure(now_us, table.config());
        }
        log::info!(
            target: "ryevalve::process",
            version, before, from, applied;
            "configuration_offered"
        );
    }

    /// Takes another instance's copy of the endpoints, which were the store's when a question was sent at
    /// `asked_us`, if that is known.
    pub fn take_endpoints(&self, copy: EndpointsCopy, asked_us: Option<Micros>) {
        let now_us = self.clock.now_us();
        let revision = copy.revision;
        let changes = {
            let mut balancer = self.balancer();
            let changes = balancer.take_endpoints(now_us, copy);
            if let (Some(asked_us), true) = (asked_us, balancer.endpoints_revision() == revision) {
                self.endpoints.confirm(asked_us);
            }
            changes
        };
        for (id, change) in &changes {
            self.endpoint_changed(id, *change, "peer");
        }
        self.reconsider();
    }

    /// Does what a change of the set of endpoints asks for beside the set itself; `from` says who told.
    pub fn endpoint_changed(&self, id: &str, change: Change, from: &'static str) {
        if change == Change::Restarted {
            let balancer = self.balancer();
            let key = balancer.key_of(id);
            let addr = key.and_then(|key| balancer.entry(key)).map(|e| e.addr);
            drop(balancer);
            // They lead to the start before, if to anything.
            addr.inspect(|addr| self.connections.forget(*addr));
        }
        self.log_endpoint(id, change, from);
    }

    /// Writes a line on a change of the set of endpoints.
    pub fn log_endpoint(&self, id: &str, change: Change, from: &'static str) {
        let (draining, revision) = {
            let balancer = self.balancer();
            let key = balancer.key_of(id);
            let entry = key.and_then(|key| balancer.entry(key));
            (
                entry.is_some_and(|e| e.draining),
                balancer.endpoints_revision(),
            )
        };
        log::info!(
            target: "ryevalve::endpoint",
            endpoint = id, change = change.as_str(), draining, revision, from;
            "endpoint_changed"
        );
    }

    /// Takes control addresses of instances; returns all that were met of late.
    pub fn meet(&self, addrs: &[SocketAddr]) -> Vec<SocketAddr> {
        let now_us = self.clock.now_us();
        let mut met = lock(&self.met);
        met.extend(addrs.iter().map(|addr| (*addr, now_us)));
        met.retain(|_, at_us| now_us.saturating_sub(*at_us) < MET_US);
        met.keys().copied().collect()
    }

    /// Returns whether this instance watches the store for others.
    pub fn watches_store(&self) -> bool {
        self.watches_store.load(Ordering::Relaxed)
    }

    /// Sets whether this instance watches the store for others.
    pub fn set_watches_store(&self, watches: bool) {
        self.watches_store.store(watches, Ordering::Relaxed);
    }

    /// Returns this instance's place among those that watch the store, or would if others were lost.
    pub fn place_to_watch(&self) -> usize {
        self.place_to_watch.load(Ordering::Relaxed)
    }

    /// Sets this instance's place among those that watch the store, or would if others were lost.
    pub fn set_place_to_watch(&self, place: usize) {
        self.place_to_watch.store(place, Ordering::Relaxed);
    }

    /// Returns whether others ask the store for this instance while it starts.
    pub fn waits_for_others(&self) -> bool {
        self.waits_for_others.load(Ordering::Relaxed)
    }

    /// Says that others ask the store for this instance while it starts.
    pub fn wait_for_others(&self) {
        self.waits_for_others.store(true, Ordering::Relaxed);
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Decides on a request, waiting for a slot if it must. Those in `tried` are not chosen.
    pub async fn place(&self, ask: &Ask, tried: &[EndpointKey]) -> Placement {
        self.endpoints_settled().await;
        let now_us = self.clock.now_us();
        let refusal = self.balancer().refuse_at_rest(now_us, ask);
        if let Some(refusal) = refusal {
            return refusal;
        }
        if let Some(placement) = self.reserve(ask, tried).await {
            return placement;
        }
        self.place_here(ask, tried).await
    }

    /// Asks the instance that gives places at the hall's endpoints for one; none if there is none, it does
    /// not answer in time, or knows an endpoint that this instance does not.
    async fn reserve(&self, ask: &Ask, tried: &[EndpointKey]) -> Option<Placement> {
        if !ask.is_stream {
            return None;
        }
        let ledger = self.reserver.ledger(self.clock.now_us())?;
        self.metrics.places_asked.inc();
        let closed = self.closed_to_me(tried);
        let answer = self.reserver.ask(self.clock, ledger, ask, &closed).await;
        let placement = answer.and_then(|answer| self.take_answer(ask, answer));
        if placement.is_none() {
            self.metrics.places_unanswered.inc();
        }
        placement
    }

    /// Returns the endpoints that a place is not to be given at: those tried, and those that rest from this instance.
    fn closed_to_me(&self, tried: &[EndpointKey]) -> Vec<EndpointKey> {
        let now_us = self.clock.now_us();
        let at_rest = self.balancer().rests().at_rest(now_us);
        let mut closed = tried.to_vec();
        closed.extend(at_rest.into_iter().take(MOST_CLOSED_TOLD));
        closed
    }

    /// Returns when a caller may come back whose request endpoints turned away.
    pub fn turned_away_back_ms(&self, service: &Name) -> u32 {
        let now_us = self.clock.now_us();
        let back_us = self.balancer().first_back_us(now_us, service);
        back_us.map_or(TURNED_AWAY_BACK_MS, |back_us| back_ms(now_us, back_us))
    }

    /// Does what another instance decided on a request; none if it knows an endpoint that is not known here.
    fn take_answer(&self, ask: &Ask, answer: PlaceAnswer) -> Option<Placement> {
        let now_us = self.clock.now_us();
        match answer {
            PlaceAnswer::Granted {
                key,
                expected,
                by_permit,
            } => {
                let mut balancer = self.balancer();
                if !by_permit && balancer.standings().rate(key).is_some() {
                    // Whoever gave the place has not heard of the limit.
                    return None;
                }
                balancer.take_place(now_us, ask, key, expected)
            }
            PlaceAnswer::Refused => Some(refused(now_us, ask, BUSY)),
            PlaceAnswer::OverEndpointLimits => Some(refused(now_us, ask, ENDPOINT_LIMITS)),
        }
    }

    /// Asks for a permit, if a request had best go to an endpoint that takes only so many a second; one after the
    /// other for some such endpoints.
    async fn permit_for(&self, ask: &Ask, tried: &[EndpointKey]) -> Option<EndpointKey> {
        for _ in 0..MOST_PERMITS_ASKED {
            let now_us = self.clock.now_us();
            let wanted = self.balancer().wanted_permit(now_us, ask, tried)?;
            if permits::ask(self, wanted, ask.rank).await {
                return Some(wanted);
            }
        }
        None
    }

    /// Decides on a request by what this instance knows, waiting for a slot if it must.
    pub async fn place_here(&self, ask: &Ask, tried: &[EndpointKey]) -> Placement {
        let permit = self.permit_for(ask, tried).await;
        let now_us = self.clock.now_us();
        let placement = self.balancer().place_with(now_us, ask, tried, permit);
        if let Some(permit) = permit.filter(|permit| !is_sent_to(&placement, *permit)) {
            permits::give_back(self, permit).await;
        }
        if !matches!(placement, Placement::Wait) {
            return placement;
        }
        self.wait_for_place(ask).await
    }

    /// Waits for a place for a request, or until it may wait no longer.
    pub async fn wait_for_place(&self, ask: &Ask) -> Placement {
        let (sender, receiver) = oneshot::channel();
        let key = self.balancer().enqueue(ask.clone());
        lock(&self.waiters).insert(key, sender);
        let waiting = Waiting { gateway: self, key };
        let placement = receiver.await;
        drop(waiting);
        placement.unwrap_or(Placement::Refuse {
            reason: BUSY,
            retry_after_ms: 500,
        })
    }

    /// Decides anew on the requests that wait.
    pub fn reconsider(&self) {
        let now_us = self.clock.now_us();
        let decided = {
            let mut balancer = self.balancer();
            if balancer.waiting_count() == 0 {
                return;
            }
            balancer.reconsider(now_us)
        };
        for (key, placement) in decided {
            let sender = lock(&self.waiters).remove(&key);
            let undelivered = match sender {
                Some(sender) => sender.send(placement).err(),
                None => Some(placement),
            };
            if let Some(Placement::Send(choice)) = undelivered {
                // The caller has left meanwhile: nothing is sent.
                let tokens = choice.expected.uncached_tokens;
                self.balancer().end(choice.key, tokens, None);
            }
        }
    }
}

fn is_sent_to(placement: &Placement, endpoint: EndpointKey) -> bool {
    matches!(placement, Placement::Send(choice) if choice.key == endpoint)
}

/// A request in the queue; leaves it when its caller does.
struct Waiting<'g, P: Protocol> {
    gateway: &'g Gateway<P>,
    key: WaitKey,
}

impl<P: Protocol> Drop for Waiting<'_, P> {
    fn drop(&mut self) {
        self.gateway.balancer().dequeue(self.key);
        lock(&self.gateway.waiters).remove(&self.key);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Every step leaves the state whole, so a poisoned lock is usable.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
