//! Exchanges load reports, summaries and freshness with the other instances over UDP.
//!
//! In a small cluster every instance sends to every other one. In a large cluster instances report to
//! the aggregators of their hall, which send summaries to that hall and to the aggregators of other halls.

use std::{
    collections::VecDeque,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use rand::RngExt;
use tokio::{
    net::UdpSocket,
    time::{self, MissedTickBehavior},
};

use crate::{
    balance::{
        load::{EndpointKey, InFlight},
        load_view::ClusterSize,
    },
    gateway::{
        aggregators::{Aggregators, hall_key},
        config::ConfigVersion,
        copies,
        fetching::ActiveFetches,
        hall_aggregate::HallAggregate,
        halls::{Halls, hall_incarnation},
        other_halls::{OTHER_HALLS, OtherHalls},
        peer_table::PeerTable,
        protocol::Protocol,
        quota,
        report_intervals::ReportIntervals,
        rollouts::SentRollout,
        shares,
        state::Gateway,
    },
    limits::instance_counts::InstanceCounts,
    peers::{
        datagram::{Authenticator, MemberInfo},
        gossip::Gossip,
        rpc::SealedCodec,
        view::{Member, View},
    },
    prelude::{Incarnation, Micros, Name, StorePosition},
    shares::picture::ServiceReport,
};

/// Minimum time between two rounds; under load, several requests share a datagram.
const ROUND: Duration = Duration::from_millis(40);
/// Up to this many instances, every instance sends to every other one each round; larger clusters use
/// aggregators.
const SMALL_CLUSTER: usize = 12;
/// Number of instances that watch the store on behalf of all; two may fail at once.
pub const WATCHERS: usize = 3;
/// Time after the start before an instance that is not a seed may watch the store for others. Until then its
/// view holds few members, and most of 295 instances that start together would rank themselves among the first three.
const VIEW_SETTLING_US: Micros = 1_500_000;
/// Size of the receive buffer: the largest UDP datagram.
const MAX_DATAGRAM: usize = 65_536;
/// Number of sent updates that are kept for matching echoes: more than a second of rounds.
const SENT_UPDATES_KEPT: usize = 64;
/// Times after the first answer of a seed at which further seeds, each in turn, are queried for the addresses of the
/// other instances; the last one ends the retries of the last query. With two of three seeds queried at once, one of
/// any two instances learns of the other. The list of 295 instances takes 6 KB; sending it to all of them every 250 ms
/// filled the links of three seeds.
const DISCOVERY_DELAYS_MS: [u64; 6] = [0, 250, 800, 1_500, 3_000, 3_500];
/// How long a first answer is waited for.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after which the next seed is queried if one does not answer: when all instances start, seeds may be later.
const DISCOVERY_RETRY: Duration = Duration::from_millis(30);

/// The loads of this instance alone, as sent in one update.
#[derive(Clone, Debug, Default)]
pub(super) struct SentUpdate {
    pub(super) seq: u64,
    pub(super) at_us: Micros,
    pub(super) loads: Arc<Vec<(EndpointKey, InFlight)>>,
    pub(super) demand: Vec<ServiceReport>,
}

/// The mutable state of an exchange.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) seq: u64,
    pub(super) sent_updates: VecDeque<SentUpdate>,
    pub(super) peer_table: PeerTable,
    pub(super) halls: Halls,
    pub(super) hall_reports: HallAggregate,
    pub(super) remote_halls: OtherHalls,
    pub(super) aggregators: Aggregators,
    /// Number of instances in the view, silent ones included.
    pub(super) instances_in_view: usize,
    /// Whether the view makes this instance one of the store watchers.
    pub(super) is_watcher: bool,
    /// Addresses of the other store watchers.
    pub(super) watchers: Vec<SocketAddr>,
    /// When the last freshness query was sent to another instance.
    pub(super) freshness_query_us: Micros,
    /// When the last report was due.
    pub(super) reported_at_us: Micros,
    /// Whether loads or limits have changed since the last report.
    pub(super) has_changed: bool,
    /// When the last summary was sent to this hall.
    pub(super) summary_at_us: Micros,
    /// Length of the last summary in bytes, over all its datagrams.
    pub(super) summary_bytes: usize,
    /// When this hall's summary was last sent to the aggregators of other halls.
    pub(super) summary_to_remote_at_us: Micros,
    /// When the summary of the other halls was last sent to this hall.
    pub(super) remote_summary_at_us: Micros,
    pub(super) round_number: usize,
    /// The configuration version, endpoints position, evacuated data centres and roll-outs of the last round; a change
    /// is sent at once.
    pub(super) last_sent_state: (ConfigVersion, StorePosition, Vec<Name>, Vec<SentRollout>),
}

impl State {
    fn known_peers(&self, now_us: Micros, view: &View) -> usize {
        let others = view.others().count().max(self.peer_table.len());
        others.max(self.halls.instance_counts(now_us).all.saturating_sub(1))
    }

    pub(super) fn record_sent(&mut self, sent: SentUpdate) {
        self.sent_updates.push_back(sent);
        if self.sent_updates.len() > SENT_UPDATES_KEPT {
            self.sent_updates.pop_front();
        }
    }

    pub(super) fn sent_update(&self, seq: u64) -> Option<&SentUpdate> {
        self.sent_updates.iter().find(|s| s.seq == seq)
    }
}

/// The identity, seeds and link capacity of an instance's exchange.
#[derive(Clone, Debug)]
pub struct ExchangeSettings {
    /// This instance's entry in the membership.
    pub me: MemberInfo,
    /// Control addresses of some instances, which may no longer run.
    pub seeds: Vec<SocketAddr>,
    /// Capacity of this instance's link in bytes per second.
    pub link_bytes_per_s: f64,
}

/// Sends and receives the updates of one instance.
pub struct Exchange<P: Protocol> {
    pub(super) gateway: Arc<Gateway<P>>,
    pub(super) gossip: Arc<Gossip>,
    pub(super) socket: UdpSocket,
    pub(super) port: u16,
    pub(super) authenticator: Authenticator,
    pub(super) codec: SealedCodec,
    pub(super) settings: ExchangeSettings,
    pub(super) my_hall: u32,
    /// Whether this instance is a seed, or no seeds are configured.
    pub(super) is_seed: bool,
    pub(super) state: Mutex<State>,
    pub(super) fetching: ActiveFetches,
}

impl<P: Protocol> Exchange<P> {
    /// Creates the exchange over a bound socket. All instances must use the same port.
    ///
    /// # Errors
    /// Fails if the socket has no local address.
    pub fn new(
        gateway: Arc<Gateway<P>>,
        gossip: Arc<Gossip>,
        socket: UdpSocket,
        cluster_key: &[u8],
        codec: SealedCodec,
        mut settings: ExchangeSettings,
    ) -> std::io::Result<Self> {
        let mut state = State::default();
        let now_us = gateway.clock.now_us();
        let my_addr = settings.me.peer_addr;
        gateway.quota.join(settings.me.incarnation, my_addr.ip());
        let is_seed = settings.seeds.is_empty() || settings.seeds.contains(&my_addr);
        settings.seeds.retain(|seed| *seed != my_addr);
        // Seeds count as instances until they have had time to send an update.
        for seed in settings.seeds.iter().filter(|s| s.ip() != my_addr.ip()) {
            state.peer_table.add_unseen(now_us, seed.ip());
        }
        Ok(Self {
            gateway,
            gossip,
            port: socket.local_addr()?.port(),
            socket,
            authenticator: Authenticator::new(cluster_key, "ryevalve update"),
            codec,
            my_hall: hall_key(&settings.me.hall),
            is_seed,
            settings,
            state: Mutex::new(state),
            fetching: ActiveFetches::default(),
        })
    }

    /// Sends and receives updates until dropped.
    pub async fn run(self: Arc<Self>) {
        let mut round = time::interval(ROUND);
        round.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            tokio::select! {
                _ = round.tick() => self.run_round().await,
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((len, from)) = received {
                        self.receive(&buffer[..len], from);
                    }
                }
            }
        }
    }

    /// Fetches the addresses of other instances from the seeds during the first seconds. When a whole large cluster
    /// starts at once, this is quicker than learning of each instance by probes.
    pub async fn discover_peers(self: Arc<Self>) {
        let first = rand::rng().random_range(0..self.settings.seeds.len().max(1));
        let mut seeds = self.settings.seeds.iter().cycle().skip(first);
        let started = time::Instant::now();
        self.query_seeds(&mut seeds, started + DISCOVERY_TIMEOUT)
            .await;
        let answered = time::Instant::now();
        let start_of = |after_ms: u64| answered + Duration::from_millis(after_ms);
        for delays in DISCOVERY_DELAYS_MS.windows(2) {
            time::sleep_until(start_of(delays[0])).await;
            self.query_seeds(&mut seeds, start_of(delays[1])).await;
        }
    }

    /// Queries one seed after the other until one answers or the time `until` has come.
    async fn query_seeds<'s>(
        &self,
        seeds: &mut impl Iterator<Item = &'s SocketAddr>,
        until: time::Instant,
    ) {
        for seed in seeds {
            let response =
                copies::exchange_addresses(*seed, self.codec.clone(), self.settings.me.peer_addr);
            if let Ok(known) = response.await {
                return self.add_peers(&known);
            }
            let retry_at = time::Instant::now() + DISCOVERY_RETRY;
            if retry_at >= until {
                return;
            }
            time::sleep_until(retry_at).await;
        }
    }

    /// Adds control addresses of instances, which then receive this instance's updates and share its limits.
    fn add_peers(&self, addrs: &[SocketAddr]) {
        let now_us = self.gateway.clock.now_us();
        let others = addrs.iter().filter(|a| **a != self.settings.me.peer_addr);
        let others: Vec<SocketAddr> = others.copied().collect();
        if others.is_empty() {
            return;
        }
        let known = self.gateway.note_addresses(&others);
        let mut state = self.lock();
        for addr in others {
            state.peer_table.add_unseen(now_us, addr.ip());
        }
        drop(state);
        self.gossip.set_listed(known);
    }

    async fn run_round(self: &Arc<Self>) {
        let now_us = self.gateway.clock.now_us();
        let view = self.gossip.view();
        self.apply_view(&view);
        let cluster_size = self.update_instance_counts(now_us, &view);
        quota::tick(&self.gateway).await;
        shares::refresh(&self.gateway);
        let has_state_change = self.take_state_changed();
        let suspects_changed = self.gateway.suspects().take_has_changes();
        let parts_changed = self.gateway.part_suspects().take_has_changes();
        let announcements_changed = self.gateway.balancer().take_announcements_changed();
        let changed = self.gateway.balancer().take_changed()
            || suspects_changed
            || parts_changed
            || announcements_changed;
        let is_due = {
            let mut state = self.lock();
            state.round_number += 1;
            state.has_changed |= changed;
            let since_us = now_us.saturating_sub(state.reported_at_us);
            let intervals = self.report_intervals(&state);
            let has_changed = state.has_changed && since_us >= intervals.min_report_us();
            let is_due = has_state_change || has_changed || since_us >= intervals.max_report_us();
            if is_due {
                state.reported_at_us = now_us;
                state.has_changed = false;
            }
            is_due
        };
        match cluster_size {
            ClusterSize::Small => {
                self.gateway
                    .balancer()
                    .load_view_mut()
                    .set_hall_aggregator(false);
                self.gateway.reservation_client.set_issuers(Vec::new());
                self.send_to_all(now_us, &view, is_due).await;
            }
            ClusterSize::Large => {
                self.set_reservation_issuers(now_us);
                self.query_if_stale(now_us, &view).await;
                if is_due {
                    self.report(now_us).await;
                }
                self.send_hall_summaries(now_us, has_state_change).await;
                if has_state_change && self.gateway.watches_store() {
                    self.announce_state_change(now_us).await;
                }
            }
        }
    }

    /// Returns how often this instance reports. Store watchers report as often as in a small cluster, because the
    /// others learn from them how fresh their configuration is.
    fn report_intervals(&self, state: &State) -> ReportIntervals {
        let instances = match state.is_watcher {
            true => 0,
            false => state.aggregators.members_of(&self.settings.me.hall),
        };
        ReportIntervals { instances }
    }

    /// Sets the issuers of reservations at this hall's endpoints: the hall's aggregators ranked before this
    /// instance, in order. The first aggregator itself has none. Also sets whether this instance is an aggregator.
    fn set_reservation_issuers(&self, now_us: Micros) {
        let (aggregators, is_aggregator) = {
            let mut state = self.lock();
            let aggregators = state
                .aggregators
                .of_hall(now_us, &self.settings.me.hall, true);
            (aggregators, state.hall_reports.is_aggregator(now_us))
        };
        let me = self.settings.me.incarnation;
        let before_me = aggregators.iter().take_while(|m| m.info.incarnation != me);
        let issuers = before_me.map(|m| m.info.peer_addr.ip()).collect();
        self.gateway.reservation_client.set_issuers(issuers);
        self.gateway
            .balancer()
            .load_view_mut()
            .set_hall_aggregator(is_aggregator);
    }

    /// Applies a membership view: derives the aggregators, the store watchers and this instance's own roles.
    fn apply_view(&self, view: &Arc<View>) {
        let now_us = self.gateway.clock.now_us();
        self.gateway.permits.set_view(view);
        self.gateway.set_view(view);
        self.gateway.quota.set_view(now_us, view);
        let mut state = self.lock();
        if state.aggregators.set_view(view) {
            state.instances_in_view = view.instance_count();
            let by_rank = view.rank_members("store", usize::MAX, Member::can_lead);
            let me = self.settings.me.incarnation;
            let position = by_rank.iter().position(|m| m.info.incarnation == me);
            state.is_watcher = position.is_some_and(|p| p < WATCHERS);
            state.watchers = self.watchers(&by_rank);
            let watchers = state.watchers.iter().map(SocketAddr::ip).collect();
            self.gateway.rollouts.set_watchers(me, watchers);
            self.gateway
                .set_watch_position(position.unwrap_or(by_rank.len()));
        }
        let is_settled = self.is_seed || self.gateway.clock.now_us() >= VIEW_SETTLING_US;
        let watches = state.is_watcher && is_settled;
        self.gateway.set_watches_store(watches);
    }

    /// Updates the counts of instances that share limits, logs lost summaries and returns the cluster's size.
    fn update_instance_counts(&self, now_us: Micros, view: &View) -> ClusterSize {
        let (cluster_size, silent, counts, seen_counts) = {
            let mut state = self.lock();
            let silent = state.peer_table.expire(now_us);
            let silent_halls = state.halls.expire(now_us);
            let known_peers = state.known_peers(now_us, view);
            if known_peers < SMALL_CLUSTER {
                let seen_counts = state.peer_table.seen_sharers(now_us);
                (
                    ClusterSize::Small,
                    silent,
                    state.peer_table.sharers(now_us),
                    seen_counts,
                )
            } else {
                let halls = silent_halls.into_iter().map(hall_incarnation).collect();
                let heard = state.halls.instance_counts(now_us).heard.max(1);
                let all = (known_peers + 1).max(heard);
                let counts = InstanceCounts { all, heard };
                (ClusterSize::Large, halls, counts, counts)
            }
        };
        self.gateway
            .permits
            .set_reachable_share(seen_counts.share());
        let instances = self.lock().instances_in_view.max(counts.all);
        self.gateway.quota.set_instances(instances);
        if self.gateway.quota.is_bootstrapping() {
            self.gateway
                .quota
                .add_addresses(self.addresses(view).into_iter());
        }
        for source in silent {
            if cluster_size == ClusterSize::Large {
                let whose = self.summary_scope(source);
                log::warn!(
                    target: "ryevalve::process",
                    whose, instances = counts.all, instances_heard = counts.heard;
                    "summaries_lost"
                );
            }
        }
        self.update_metrics(now_us, counts);
        self.gateway.set_instance_counts(counts);
        self.gateway
            .balancer()
            .load_view_mut()
            .set_cluster_size(cluster_size);
        cluster_size
    }

    /// Returns the addresses of all known instances, including ones that may no longer run.
    fn addresses(&self, view: &View) -> Vec<IpAddr> {
        let state = self.lock();
        let peer_ips = state.peer_table.iter().map(|(ip, _)| *ip);
        let members = view.members.iter().map(|m| m.info.peer_addr.ip());
        peer_ips.chain(members).collect()
    }

    /// Updates the gauges for the exchange's current state.
    fn update_metrics(&self, now_us: Micros, counts: InstanceCounts) {
        let state = self.lock();
        let age_s = |hall: u32| {
            let age_us = state.halls.age_us(now_us, hall);
            age_us.map_or(0.0, |us| us as f64 / 1e6)
        };
        let metrics = &self.gateway.metrics;
        metrics.instances.set(counts.all as i64);
        metrics.hall_summary_age_seconds.set(age_s(self.my_hall));
        metrics.far_summary_age_seconds.set(age_s(OTHER_HALLS));
        let reporters = state
            .hall_reports
            .instance_counts(now_us)
            .heard
            .saturating_sub(1);
        metrics.reporters.set(i64::from(reporters));
    }

    /// Returns the log value for the halls that a summary source covers.
    pub(super) fn summary_scope(&self, source: Incarnation) -> &'static str {
        if source == hall_incarnation(OTHER_HALLS) {
            "other_halls"
        } else {
            "own_hall"
        }
    }

    pub(super) fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        // Every update leaves the state consistent, so a poisoned lock remains usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
