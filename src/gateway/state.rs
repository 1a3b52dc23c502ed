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
        balancer::{Balancer, Placement, WaitKey},
        cold::ColdRate,
        discovery::{Change, EndpointsDelta},
    },
    clock::Clock,
    endpoint::kept::KeptConnections,
    gateway::{
        caller_timeouts::TypicalTimeouts,
        config::GatewayConfig,
        crash_check::CrashChecks,
        endpoint_announcements::UnreadHeaders,
        evacuations::{EvacuationSet, Evacuations},
        freshness::{CurrentConfig, Offered},
        limit_log,
        line_budget::LineBudget,
        metrics::GatewayMetrics,
        permits::Permits,
        protocol::Protocol,
        quota::Quota,
        reservation_client::ReservationClient,
        staleness::{Staleness, StalenessBound},
    },
    limits::{
        fingerprint::Fingerprint,
        instance_counts::InstanceCounts,
        permits::ColdTolerance,
        quota::Tolerance,
        retries::{RetryBounds, RetryBudget},
        suspects::SuspectTable,
    },
    prelude::{Micros, Name},
};

/// A key may be used this much less long than operators allow after it was taken away: a watch may
/// hear nothing for a second while changes are made. At most the share below of what they allow.
const FRESHNESS_MARGIN_US: Micros = 1_200_000;
/// With less left, calm instances would refuse keys between one word of the store and the next.
const FRESHNESS_MARGIN_SHARE: f64 = 0.25;

/// An instance's address is told to others for this long after it was met.
const ADDRESS_LIFETIME_US: Micros = 10_000_000;

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
    /// How long after an evacuation an endpoint of the data centre may be sent requests; none where there are no
    /// evacuations.
    pub evacuate: Option<StalenessBound>,
    /// How far above its rate a cold endpoint may be asked.
    pub cold: ColdTolerance,
}

impl GatewayBounds {
    /// Returns how long after a configuration an instance may act by the one before, and use its keys.
    pub fn config(&self) -> StalenessBound {
        StalenessBound(self.config_apply.0.min(self.revoke_us))
    }

    /// Returns how old the configuration may be for its keys to be used.
    pub fn max_key_age_us(&self) -> Micros {
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
    pub(super) waiters: Mutex<HashMap<WaitKey, oneshot::Sender<Placement>>>,
    retries: Mutex<RetryBudget>,
    caller_timeouts: Mutex<TypicalTimeouts>,
    suspects: Mutex<SuspectTable>,
    /// When a caller that may come back was refused last; 0 if none was.
    refused_us: AtomicU64,
    /// Instances that share limits, and those heard of late, this one included.
    instances_known: AtomicUsize,
    instances_heard: AtomicUsize,
    /// Control addresses of the instances that were met of late.
    recent_addresses: Mutex<HashMap<SocketAddr, Micros>>,
    /// This instance watches the store for others.
    watches_store: AtomicBool,
    /// This instance's place among those that watch the store, or would.
    watch_position: AtomicUsize,
    /// It starts with all others, and some of them ask the store for it.
    waits_for_peers: AtomicBool,
    /// Another instance has told that it has what the store has.
    peers_have_state: AtomicBool,
    /// It asks others for what it lacks at its start.
    fetches_at_start: AtomicBool,
    /// How fresh the endpoints are known to be.
    pub endpoints_staleness: Staleness,
    /// Data centres whose endpoints get nothing.
    pub evacuations: Evacuations,
    /// Asks others for places at endpoints.
    pub reservation_client: ReservationClient,
    /// Asks for permits to send to endpoints that take only so many requests a second, and gives them.
    pub permits: Permits,
    /// Organisations' limits.
    pub quota: Quota,
    /// Finds out which endpoints have ended.
    pub crash_checks: CrashChecks,
    /// Headers of endpoints that nothing reads.
    pub unread_headers: UnreadHeaders,
    endpoint_lines: Mutex<LineBudget>,
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
        let started_us = clock.now_us();
        let quota = Quota::new(started_us, bounds.tolerance);
        if is_first_start {
            quota.mark_first_start();
        }
        Self {
            protocol,
            clock,
            config: CurrentConfig::default(),
            connections: KeptConnections::default(),
            metrics: GatewayMetrics::default(),
            bounds: Mutex::new(bounds),
            balancer: Mutex::new(Balancer::new(hall)),
            waiters: Mutex::default(),
            retries: Mutex::new(RetryBudget::new(bounds.retries)),
            caller_timeouts: Mutex::default(),
            suspects: Mutex::default(),
            refused_us: AtomicU64::new(0),
            instances_known: AtomicUsize::new(1),
            instances_heard: AtomicUsize::new(1),
            recent_addresses: Mutex::default(),
            watches_store: AtomicBool::new(false),
            watch_position: AtomicUsize::new(0),
            waits_for_peers: AtomicBool::new(false),
            peers_have_state: AtomicBool::new(false),
            fetches_at_start: AtomicBool::new(false),
            reservation_client: ReservationClient::default(),
            permits: Permits::default(),
            quota,
            crash_checks: CrashChecks::default(),
            unread_headers: UnreadHeaders::default(),
            endpoints_staleness: Staleness::default(),
            evacuations: Evacuations::default(),
            endpoint_lines: Mutex::default(),
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
        self.quota.set_tolerance(bounds.tolerance);
        lock(&self.retries).set_bounds(bounds.retries);
        self.set_cold_rates();
    }

    /// Works out how many requests a second cold endpoints get.
    fn set_cold_rates(&self) {
        let Some(table) = self.config.table() else {
            return;
        };
        let tolerance = self.bounds().cold;
        let services = table.config().services.values();
        let rates = services.filter_map(|service| {
            let cold = service.cold?;
            let rate = ColdRate {
                rate: tolerance.rate(cold.per_s),
                duration_us: cold.lasts.as_micros() as Micros,
            };
            Some((service.name.clone(), rate))
        });
        self.balancer().set_cold_rates(rates.collect());
    }

    /// Returns the balancer; not to be held across a wait.
    pub fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock(&self.balancer)
    }

    /// Returns what is known of requests that end endpoints; not to be held across a wait.
    pub fn suspects(&self) -> MutexGuard<'_, SuspectTable> {
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
    pub fn note_request_completed(&self, fingerprint: impl FnOnce() -> Fingerprint) {
        let now_us = self.clock.now_us();
        self.suspects().note_completed(now_us, fingerprint());
    }

    /// Counts a request for a service.
    pub fn count_request(&self, service: &Name) {
        lock(&self.retries).note_request(self.clock.now_us(), service);
    }

    /// Takes a retry for a service; false if none is left.
    pub fn take_retry(&self, service: &Name) -> bool {
        let now_us = self.clock.now_us();
        let instances = self.instances_sharing_retries(now_us);
        let taken = lock(&self.retries).try_take(now_us, service, instances);
        if !taken {
            self.metrics.retries_denied.inc();
        }
        taken
    }

    /// Returns the retries left for a service.
    pub fn retries_left(&self, service: &Name) -> f64 {
        let now_us = self.clock.now_us();
        let instances = self.instances_sharing_retries(now_us);
        lock(&self.retries).remaining(now_us, service, instances)
    }

    /// Returns how many instances share a bound, those that are cut off included.
    fn instances_sharing_retries(&self, now_us: Micros) -> usize {
        let divisor = self.quota.divisor(now_us) as usize;
        divisor.max(self.instance_counts().all)
    }

    /// Learns how long a caller of a route waits from now; returns for how long it has waited already.
    pub fn waited_us(&self, route: &Name, timeout_us: Micros) -> Micros {
        let now_us = self.clock.now_us();
        let refused_us = self.refused_us.load(Ordering::Relaxed);
        let is_calm = refused_us == 0 || now_us.saturating_sub(refused_us) > timeout_us;
        lock(&self.caller_timeouts).waited_us(route, timeout_us, is_calm)
    }

    /// Notes that a caller was refused that may come back.
    pub fn note_refused(&self) {
        let now_us = self.clock.now_us();
        self.refused_us.store(now_us.max(1), Ordering::Relaxed);
    }

    /// Returns how many instances share limits, and how many are heard.
    pub fn instance_counts(&self) -> InstanceCounts {
        InstanceCounts {
            all: self.instances_known.load(Ordering::Relaxed),
            heard: self.instances_heard.load(Ordering::Relaxed),
        }
    }

    /// Sets how many instances share limits, and how many are heard.
    pub fn set_instance_counts(&self, sharers: InstanceCounts) {
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
            let changes = self.quota.configure(now_us, table.config());
            limit_log::log_changes(version, &changes);
            self.set_cold_rates();
        }
        log::info!(
            target: "ryevalve::process",
            version, before, from, applied;
            "configuration_offered"
        );
    }

    /// Takes another instance's copy of the endpoints, which were the store's when a question was sent at
    /// `asked_us`, if that is known.
    pub fn apply_peer_endpoints(&self, copy: EndpointsDelta, asked_us: Option<Micros>) {
        let now_us = self.clock.now_us();
        let revision = copy.revision;
        let changes = {
            let mut balancer = self.balancer();
            let changes = balancer.apply_endpoints_delta(now_us, copy);
            if let (Some(asked_us), true) = (asked_us, balancer.endpoints_revision() == revision) {
                self.endpoints_staleness.confirm(asked_us);
            }
            changes
        };
        for (id, change) in &changes {
            self.handle_endpoint_change(id, *change, "peer");
        }
        self.reconsider();
    }

    /// Takes evacuations that were the store's when a question was sent at `asked_us`, if that is known; `from` says
    /// who had them.
    pub fn apply_evacuations(
        &self,
        set: EvacuationSet,
        asked_us: Option<Micros>,
        from: &'static str,
    ) {
        let revision = set.revision;
        let change = self.evacuations.offer(set, asked_us);
        let Some(change) = change.filter(|change| !change.is_empty()) else {
            return;
        };
        let now_us = self.clock.now_us();
        self.balancer().apply_evacuation_change(now_us, &change);
        for data_centre in &change.started {
            log::warn!(
                target: "ryevalve::process",
                data_centre = &**data_centre, revision, from;
                "evacuation_begun"
            );
        }
        for data_centre in &change.ended {
            log::info!(
                target: "ryevalve::process",
                data_centre = &**data_centre, revision, from;
                "evacuation_ended"
            );
        }
        self.reconsider();
    }

    /// Does what a change of the set of endpoints asks for beside the set itself; `from` says who told.
    pub fn handle_endpoint_change(&self, id: &str, change: Change, from: &'static str) {
        if change == Change::Restarted {
            let balancer = self.balancer();
            let key = balancer.key_of(id);
            let addr = key.and_then(|key| balancer.entry(key)).map(|e| e.addr);
            drop(balancer);
            // They lead to the start before, if to anything.
            addr.inspect(|addr| self.connections.forget(*addr));
        }
        self.log_endpoint_change(id, change, from);
    }

    /// Writes a line on a change of the set of endpoints, if there are not too many.
    pub fn log_endpoint_change(&self, id: &str, change: Change, from: &'static str) {
        let admitted = lock(&self.endpoint_lines).admit(self.clock.now_us());
        if admitted.left_out > 0 {
            let left_out = admitted.left_out;
            log::info!(target: "ryevalve::endpoint", left_out; "endpoint_changes_left_out");
        }
        if !admitted.is_written {
            return;
        }
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
    pub fn note_addresses(&self, addrs: &[SocketAddr]) -> Vec<SocketAddr> {
        let now_us = self.clock.now_us();
        let mut addresses = lock(&self.recent_addresses);
        addresses.extend(addrs.iter().map(|addr| (*addr, now_us)));
        addresses.retain(|_, at_us| now_us.saturating_sub(*at_us) < ADDRESS_LIFETIME_US);
        addresses.keys().copied().collect()
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
    pub fn watch_position(&self) -> usize {
        self.watch_position.load(Ordering::Relaxed)
    }

    /// Sets this instance's place among those that watch the store, or would if others were lost, and that share
    /// retries.
    pub fn set_watch_position(&self, place: usize) {
        self.watch_position.store(place, Ordering::Relaxed);
        lock(&self.retries).set_position(place);
    }

    /// Returns whether others ask the store for this instance while it starts.
    pub fn waits_for_peers(&self) -> bool {
        self.waits_for_peers.load(Ordering::Relaxed)
    }

    /// Says that others ask the store for this instance while it starts.
    pub fn set_waits_for_peers(&self) {
        self.waits_for_peers.store(true, Ordering::Relaxed);
    }

    /// Returns whether another instance has told that it has the configuration and the endpoints.
    pub fn do_peers_have_state(&self) -> bool {
        self.peers_have_state.load(Ordering::Relaxed)
    }

    /// Notes that another instance has the configuration and the endpoints.
    pub fn note_peers_have_state(&self) {
        self.peers_have_state.store(true, Ordering::Relaxed);
    }

    /// Returns whether this instance asks others for what it lacks at its start.
    pub fn fetches_at_start(&self) -> bool {
        self.fetches_at_start.load(Ordering::Relaxed)
    }

    /// Says that this instance asks others for what it lacks at its start.
    pub fn set_fetches_at_start(&self) {
        self.fetches_at_start.store(true, Ordering::Relaxed);
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}

/// Locks a part of a gateway.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Every step leaves the state whole, so a poisoned lock is usable.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
