//! The state that the parts of a gateway share.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
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
    endpoint::connection_pool::ConnectionPool,
    gateway::{
        answer_history::AnswerHistory,
        block_list::FirstRead,
        caller_buffer::HeldMemory,
        caller_timeouts::TypicalTimeouts,
        config::GatewayConfig,
        crash_check::CrashChecks,
        current_config::{CurrentConfig, OfferOutcome},
        endpoint_announcements::UnreadHeaders,
        endpoint_connect::EndpointReach,
        evacuations::{EvacuationSet, Evacuations},
        limit_log,
        line_budget::LineBudget,
        metrics::GatewayMetrics,
        origin_archive::OriginArchive,
        permits::Permits,
        protocol::Protocol,
        quota::Quota,
        reservation_client::ReservationClient,
        rollouts::{RolloutBounds, Rollouts},
        route_services::RouteServices,
        shares,
        staleness::{Staleness, StalenessBound},
        stop_deadline::StopDeadline,
        stream_origins::StreamOrigins,
        tunnel_server::CarriedTunnels,
        tunnels::Tunnels,
        version_list_reads::VersionListReads,
    },
    limits::{
        held_bytes::HeldLimits,
        instance_counts::InstanceCounts,
        part_suspects::PartSuspects,
        permits::ColdTolerance,
        quota::Tolerance,
        retries::{RetryBounds, RetryBudget},
        suspects::SuspectTable,
    },
    peers::view::View,
    prelude::{Micros, Name},
    shares::admission::Shares,
};

/// Margin by which the use of a revoked key ends before the time that operators allow: a watch may receive nothing for
/// a second while changes are made. Capped at the share below of the time allowed.
const FRESHNESS_MARGIN_US: Micros = 1_200_000;
/// Maximum margin as a share of the time allowed. With less time left, instances in normal operation would refuse keys
/// between two confirmations by the store.
const FRESHNESS_MARGIN_SHARE: f64 = 0.25;

/// An instance's address is passed on to others for this long after it was last noted.
const ADDRESS_LIFETIME_US: Micros = 10_000_000;

/// Operating parameters of a gateway; they may change while it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayBounds {
    /// How long a key may be used after it was revoked.
    pub revoke_us: Micros,
    /// How long an endpoint may be sent requests after it announced its departure.
    pub drain: StalenessBound,
    /// How long an instance may use a configuration after it was replaced.
    pub config_apply: StalenessBound,
    /// Whether the bound on the use of revoked keys holds even if callers must be refused while the store's state
    /// cannot be confirmed.
    pub is_revocation_strict: bool,
    /// Retry limits of a service.
    pub retries: RetryBounds,
    /// How far an organisation may exceed its usage limit.
    pub tolerance: Tolerance,
    /// Whether the organisations of the configuration share the room of a service that is short of it.
    pub shares_room: bool,
    /// How long endpoints of a data centre may be sent requests after its evacuation; `None` where evacuations are not
    /// supported.
    pub evacuate: Option<StalenessBound>,
    /// Limits of roll-outs; `None` where they are not supported.
    pub rollouts: Option<RolloutBounds>,
    /// How far the request rate of a cold endpoint may exceed its limit.
    pub cold: ColdTolerance,
    /// Limits on the bytes held for slow callers.
    pub held: HeldLimits,
}

impl GatewayBounds {
    /// Returns how long an instance may use a configuration, including its keys, after it was replaced.
    pub fn config(&self) -> StalenessBound {
        StalenessBound(self.config_apply.0.min(self.revoke_us))
    }

    /// Returns the maximum age of a configuration whose keys may be used.
    pub fn max_key_age_us(&self) -> Micros {
        let share_us = (self.revoke_us as f64 * FRESHNESS_MARGIN_SHARE) as Micros;
        self.revoke_us - share_us.min(FRESHNESS_MARGIN_US)
    }
}

/// A gateway: one instance's shared state.
pub struct Gateway<P: Protocol> {
    /// Reads and writes the headers of callers and endpoints.
    pub protocol: P,
    /// The clock of the instance.
    pub clock: Clock,
    /// The configuration in force.
    pub config: CurrentConfig,
    /// Connections to endpoints.
    pub connections: ConnectionPool,
    /// The metrics.
    pub metrics: GatewayMetrics,
    /// The bytes held for callers.
    pub held_memory: Arc<HeldMemory>,
    bounds: Mutex<GatewayBounds>,
    balancer: Mutex<Balancer>,
    /// Channels to the tasks of queued requests, on which they receive their placement.
    pub(super) waiters: Mutex<HashMap<WaitKey, oneshot::Sender<Placement>>>,
    retries: Mutex<RetryBudget>,
    pub(super) answer_history: Mutex<AnswerHistory>,
    caller_timeouts: Mutex<TypicalTimeouts>,
    suspects: Mutex<SuspectTable>,
    pub(super) part_suspects: Mutex<PartSuspects>,
    pub(super) block_list_read: FirstRead,
    /// Time of the last refusal with a Retry-After; 0 if there was none.
    refused_us: AtomicU64,
    /// The membership view.
    view: Mutex<Arc<View>>,
    /// Number of instances that share limits, and of those seen recently; both include this one.
    instances_known: AtomicUsize,
    instances_seen: AtomicUsize,
    /// Control addresses of instances noted recently, with the time.
    recent_addresses: Mutex<HashMap<SocketAddr, Micros>>,
    /// Whether this instance watches the store for its peers.
    watches_store: AtomicBool,
    /// Position of this instance in the order in which instances watch the store, or would take over watching it.
    watch_position: AtomicUsize,
    /// Whether all instances start together, so that some of them read the store for this one.
    waits_for_peers: AtomicBool,
    /// Whether a peer has reported that it has the store's configuration and endpoints.
    peers_have_state: AtomicBool,
    /// Whether this instance requests what it lacks at its start from its peers.
    fetches_at_start: AtomicBool,
    /// How long ago the endpoints were last known to match the store.
    pub endpoints_staleness: Staleness,
    /// Data centres whose endpoints are sent no requests.
    pub evacuations: Evacuations,
    /// Roll-outs of services' versions.
    pub rollouts: Rollouts,
    /// Requests reservations at endpoints from other instances.
    pub reservation_client: ReservationClient,
    /// Requests and grants permits to send to endpoints that limit their request rate.
    pub permits: Permits,
    /// The origins of streams that callers may take up.
    pub stream_origins: StreamOrigins,
    /// How often the members of the view changed.
    member_changes: AtomicU64,
    /// The services that routes lead to or led to recently.
    route_services: Mutex<RouteServices>,
    /// The part of the archive of stream origins that this instance writes.
    pub origin_archive: OriginArchive,
    /// Reads of the list of versions in the store.
    pub version_list_reads: VersionListReads,
    /// Usage limits of organisations.
    pub quota: Quota,
    /// The organisations' shares of services that are short of room.
    pub(super) shares: Mutex<Shares>,
    /// Which services' endpoints this instance reaches.
    pub endpoint_reach: EndpointReach,
    /// Opens connections to endpoints through other instances.
    pub tunnels: Tunnels,
    /// The connections that this instance carries for others.
    pub carried: CarriedTunnels,
    /// Checks whether endpoints crashed when their connections break.
    pub crash_checks: CrashChecks,
    /// Headers of endpoints that the gateway does not interpret.
    pub unread_headers: UnreadHeaders,
    /// Limits the rate of log lines on changes of endpoints.
    endpoint_lines: Mutex<LineBudget>,
    pub(super) unanswered_lines: Mutex<LineBudget>,
    /// Whether a graceful shutdown has started.
    stopping: AtomicBool,
    /// Until when a planned stop leaves time for answers.
    pub stop_deadline: StopDeadline,
}

impl<P: Protocol> Gateway<P> {
    /// Creates a gateway in `hall`, without a configuration or endpoints.
    ///
    /// `is_first_start` says that no instance of the deployment has run before.
    pub fn new(protocol: P, hall: Name, bounds: GatewayBounds, is_first_start: bool) -> Self {
        Self::with_clock(protocol, hall, bounds, is_first_start, Clock::default())
    }

    /// Creates a gateway as [`Gateway::new`] does, with a clock that is running already.
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
        let metrics = GatewayMetrics::default();
        let held_memory = HeldMemory::new(clock, bounds.held, metrics.callers_cut.clone());
        Self {
            protocol,
            clock,
            config: CurrentConfig::default(),
            connections: ConnectionPool::default(),
            held_memory: Arc::new(held_memory),
            metrics,
            bounds: Mutex::new(bounds),
            balancer: Mutex::new(Balancer::new(hall)),
            waiters: Mutex::default(),
            retries: Mutex::new(RetryBudget::new(bounds.retries)),
            answer_history: Mutex::default(),
            caller_timeouts: Mutex::default(),
            suspects: Mutex::default(),
            part_suspects: Mutex::default(),
            block_list_read: FirstRead::default(),
            refused_us: AtomicU64::new(0),
            view: Mutex::default(),
            instances_known: AtomicUsize::new(1),
            instances_seen: AtomicUsize::new(1),
            recent_addresses: Mutex::default(),
            watches_store: AtomicBool::new(false),
            watch_position: AtomicUsize::new(0),
            waits_for_peers: AtomicBool::new(false),
            peers_have_state: AtomicBool::new(false),
            fetches_at_start: AtomicBool::new(false),
            reservation_client: ReservationClient::default(),
            permits: Permits::default(),
            stream_origins: StreamOrigins::default(),
            member_changes: AtomicU64::new(0),
            route_services: Mutex::default(),
            origin_archive: OriginArchive::default(),
            version_list_reads: VersionListReads::default(),
            quota,
            shares: Mutex::default(),
            endpoint_reach: EndpointReach::default(),
            tunnels: Tunnels::default(),
            carried: CarriedTunnels::default(),
            crash_checks: CrashChecks::default(),
            unread_headers: UnreadHeaders::default(),
            endpoints_staleness: Staleness::default(),
            evacuations: Evacuations::default(),
            rollouts: Rollouts::default(),
            endpoint_lines: Mutex::default(),
            unanswered_lines: Mutex::default(),
            stopping: AtomicBool::new(false),
            stop_deadline: StopDeadline::default(),
        }
    }

    /// Returns the parameters in force.
    pub fn bounds(&self) -> GatewayBounds {
        *lock(&self.bounds)
    }

    /// Replaces the parameters in force.
    pub fn set_bounds(&self, bounds: GatewayBounds) {
        *lock(&self.bounds) = bounds;
        self.quota.set_tolerance(bounds.tolerance);
        lock(&self.retries).set_bounds(bounds.retries);
        self.held_memory.set_limits(bounds.held);
        self.set_cold_rates();
        if let Some(table) = self.config.table() {
            shares::configure(self, table.config());
        }
    }

    /// Derives the request rate limits of cold endpoints from the configuration and the parameters.
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

    /// Locks the balancer. The guard must not be held across an await.
    pub fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock(&self.balancer)
    }

    /// Locks the table of requests suspected of crashing endpoints. The guard must not be held across an await.
    pub fn suspects(&self) -> MutexGuard<'_, SuspectTable> {
        lock(&self.suspects)
    }

    /// Counts a request for a service towards its retry budget.
    pub fn count_request(&self, service: &Name) {
        lock(&self.retries).note_request(self.clock.now_us(), service);
    }

    /// Takes a retry of a service's budget; returns false if none is left.
    pub fn take_retry(&self, service: &Name) -> bool {
        let now_us = self.clock.now_us();
        let sharers = self.retry_sharers(now_us);
        let taken = lock(&self.retries).try_take(now_us, service, sharers);
        if !taken {
            self.metrics.retries_denied.inc();
        }
        taken
    }

    /// Returns the retries left in a service's budget.
    pub fn retries_left(&self, service: &Name) -> f64 {
        let now_us = self.clock.now_us();
        let sharers = self.retry_sharers(now_us);
        lock(&self.retries).remaining(now_us, service, sharers)
    }

    /// Returns whether a retry of a service's budget can be spared.
    pub fn has_spare_retry(&self, service: &Name) -> bool {
        let now_us = self.clock.now_us();
        let sharers = self.retry_sharers(now_us);
        lock(&self.retries).has_spare(now_us, service, sharers)
    }

    /// Returns how many instances there are, including those that are partitioned from this one; `None` until this
    /// instance has learned it.
    pub fn known_instances(&self, now_us: Micros) -> Option<usize> {
        let divisor = self.quota.divisor(now_us) as usize;
        let known = self.quota.knows_instance_count();
        known.then(|| divisor.max(self.instance_counts().all))
    }

    /// Returns among how many instances the slack of the retry budget is divided. While that is not known there are as
    /// many as can be: an instance that has seen no others is not the only one.
    fn retry_sharers(&self, now_us: Micros) -> usize {
        self.known_instances(now_us).unwrap_or(usize::MAX)
    }

    /// Records the timeout that a caller of a route declares, and returns how long the caller has waited already, as
    /// estimated.
    pub fn waited_us(&self, route: &Name, timeout_us: Micros) -> Micros {
        let now_us = self.clock.now_us();
        let refused_us = self.refused_us.load(Ordering::Relaxed);
        let is_calm = refused_us == 0 || now_us.saturating_sub(refused_us) > timeout_us;
        lock(&self.caller_timeouts).waited_us(route, timeout_us, is_calm)
    }

    /// Notes that a caller was refused with a Retry-After, so that it may return.
    pub fn note_refused(&self) {
        let now_us = self.clock.now_us();
        self.refused_us.store(now_us.max(1), Ordering::Relaxed);
    }

    /// Returns the membership view.
    pub fn view(&self) -> Arc<View> {
        lock(&self.view).clone()
    }

    /// Sets the membership view.
    pub fn set_view(&self, view: &Arc<View>) {
        let before = std::mem::replace(&mut *lock(&self.view), view.clone());
        let incarnations = |view: &View| -> Vec<_> {
            let present = view.present();
            present.map(|member| member.info.incarnation).collect()
        };
        if incarnations(&before) != incarnations(view) {
            self.member_changes.fetch_add(1, Ordering::Relaxed);
            self.origin_archive.note_members_changed();
        }
    }

    /// Returns how often instances joined or left, as far as this instance knows.
    pub fn member_changes(&self) -> u64 {
        self.member_changes.load(Ordering::Relaxed)
    }

    /// Returns how many instances share limits, and how many of them were seen recently.
    pub fn instance_counts(&self) -> InstanceCounts {
        InstanceCounts {
            all: self.instances_known.load(Ordering::Relaxed),
            heard: self.instances_seen.load(Ordering::Relaxed),
        }
    }

    /// Sets how many instances share limits, and how many of them were seen recently.
    pub fn set_instance_counts(&self, counts: InstanceCounts) {
        self.instances_known.store(counts.all, Ordering::Relaxed);
        self.instances_seen.store(counts.heard, Ordering::Relaxed);
    }

    /// Puts a configuration in force if it is newer than the current one; `from` names its source in the log.
    pub fn offer(&self, config: GatewayConfig, from: &'static str) {
        let version = config.version;
        let before = self.config.version();
        if version > before || self.config.table().is_none() {
            // Before a stream is taken up by the new routes.
            let now_us = self.clock.now_us();
            self.route_services().put_in_force(now_us, &config);
        }
        let offered = self.config.offer(config);
        if offered == OfferOutcome::Known {
            return;
        }
        let applied = offered == OfferOutcome::Applied;
        if let Some(table) = self.config.table().filter(|_| applied) {
            let now_us = self.clock.now_us();
            let changes = self.quota.configure(now_us, table.config());
            limit_log::log_changes(version, &changes);
            shares::configure(self, table.config());
            self.set_cold_rates();
        }
        log::info!(
            target: "ryevalve::process",
            version, before, from, applied;
            "configuration_offered"
        );
    }

    /// Locks the services that routes lead to or led to recently. The guard must not be held across an await.
    pub fn route_services(&self) -> MutexGuard<'_, RouteServices> {
        lock(&self.route_services)
    }

    /// Applies another instance's copy of the endpoints.
    ///
    /// `fresh_at_us` is the time at which the copy is known to have matched the store, if any.
    pub fn apply_peer_endpoints(&self, copy: EndpointsDelta, fresh_at_us: Option<Micros>) {
        let now_us = self.clock.now_us();
        let position = copy.position;
        let changes = {
            let mut balancer = self.balancer();
            let changes = balancer.apply_endpoints_delta(now_us, copy);
            if let (Some(fresh_at_us), true) =
                (fresh_at_us, balancer.endpoints_position() == position)
            {
                self.endpoints_staleness.confirm(fresh_at_us);
            }
            changes
        };
        for (id, change) in &changes {
            self.handle_endpoint_change(id, *change, "peer");
        }
        self.reconsider();
    }

    /// Applies a set of evacuations.
    ///
    /// `fresh_at_us` is the time at which the set is known to have matched the store, if any; `from` names its source
    /// in the log.
    pub fn apply_evacuations(
        &self,
        set: EvacuationSet,
        fresh_at_us: Option<Micros>,
        from: &'static str,
    ) {
        let position = set.position;
        let change = self.evacuations.offer(set, fresh_at_us);
        let Some(change) = change.filter(|change| !change.is_empty()) else {
            return;
        };
        let now_us = self.clock.now_us();
        self.balancer().apply_evacuation_change(now_us, &change);
        for data_centre in &change.started {
            log::warn!(
                target: "ryevalve::process",
                data_centre = &**data_centre, era = position.era(), revision = position.revision(), from;
                "evacuation_begun"
            );
        }
        for data_centre in &change.ended {
            log::info!(
                target: "ryevalve::process",
                data_centre = &**data_centre, era = position.era(), revision = position.revision(), from;
                "evacuation_ended"
            );
        }
        self.reconsider();
    }

    /// Logs a change of an endpoint, and drops its connections if it was restarted. `from` names the source of the
    /// change in the log.
    pub fn handle_endpoint_change(&self, id: &str, change: Change, from: &'static str) {
        if change == Change::Restarted {
            let balancer = self.balancer();
            let key = balancer.key_of(id);
            let addr = key.and_then(|key| balancer.entry(key)).map(|e| e.addr);
            drop(balancer);
            // Idle connections lead to the previous incarnation, if anywhere.
            addr.inspect(|addr| self.connections.close_idle(*addr));
        }
        self.log_endpoint_change(id, change, from);
    }

    /// Logs a change of an endpoint, unless too many were logged in this second.
    pub fn log_endpoint_change(&self, id: &str, change: Change, from: &'static str) {
        let decision = lock(&self.endpoint_lines).admit(self.clock.now_us());
        if decision.left_out > 0 {
            let left_out = decision.left_out;
            log::info!(target: "ryevalve::endpoint", left_out; "endpoint_changes_left_out");
        }
        if !decision.is_written {
            return;
        }
        let (draining, position) = {
            let balancer = self.balancer();
            let key = balancer.key_of(id);
            let entry = key.and_then(|key| balancer.entry(key));
            (
                entry.is_some_and(|e| e.draining),
                balancer.endpoints_position(),
            )
        };
        log::info!(
            target: "ryevalve::endpoint",
            endpoint = id, change = change.as_str(), draining,
            era = position.era(), revision = position.revision(), from;
            "endpoint_changed"
        );
    }

    /// Notes control addresses of instances; returns all that were noted recently.
    pub fn note_addresses(&self, addrs: &[SocketAddr]) -> Vec<SocketAddr> {
        let now_us = self.clock.now_us();
        let mut addresses = lock(&self.recent_addresses);
        addresses.extend(addrs.iter().map(|addr| (*addr, now_us)));
        addresses.retain(|_, at_us| now_us.saturating_sub(*at_us) < ADDRESS_LIFETIME_US);
        addresses.keys().copied().collect()
    }

    /// Returns whether this instance watches the store for its peers.
    pub fn watches_store(&self) -> bool {
        self.watches_store.load(Ordering::Relaxed)
    }

    /// Sets whether this instance watches the store for its peers.
    pub fn set_watches_store(&self, watches: bool) {
        self.watches_store.store(watches, Ordering::Relaxed);
    }

    /// Returns this instance's position in the order in which instances watch the store, or would take over watching it
    /// if others were lost.
    pub fn watch_position(&self) -> usize {
        self.watch_position.load(Ordering::Relaxed)
    }

    /// Sets this instance's position in the order in which instances watch the store, or would take over watching it if
    /// others were lost. The same position orders the instances that share retries.
    pub fn set_watch_position(&self, position: usize) {
        self.watch_position.store(position, Ordering::Relaxed);
        lock(&self.retries).set_position(position);
    }

    /// Returns whether peers read the store for this instance while it starts.
    pub fn waits_for_peers(&self) -> bool {
        self.waits_for_peers.load(Ordering::Relaxed)
    }

    /// Marks that peers read the store for this instance while it starts.
    pub fn set_waits_for_peers(&self) {
        self.waits_for_peers.store(true, Ordering::Relaxed);
    }

    /// Returns whether a peer has reported that it has the configuration and the endpoints.
    pub fn do_peers_have_state(&self) -> bool {
        self.peers_have_state.load(Ordering::Relaxed)
    }

    /// Notes that a peer has the configuration and the endpoints.
    pub fn note_peers_have_state(&self) {
        self.peers_have_state.store(true, Ordering::Relaxed);
    }

    /// Returns whether this instance requests what it lacks at its start from its peers.
    pub fn fetches_at_start(&self) -> bool {
        self.fetches_at_start.load(Ordering::Relaxed)
    }

    /// Marks that this instance requests what it lacks at its start from its peers.
    pub fn set_fetches_at_start(&self) {
        self.fetches_at_start.store(true, Ordering::Relaxed);
    }

    /// Returns whether a graceful shutdown has started.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Starts a graceful shutdown.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.carried.retire();
    }
}

/// Locks a mutex of a gateway.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // No holder of a lock leaves the state inconsistent if it panics, so a poisoned lock is usable.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
