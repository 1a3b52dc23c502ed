//! Tells the other instances what this one has sent where, and takes what they tell.
//!
//! In a small group everybody tells everybody. In a large one instances report to the aggregators of
//! their hall, and those tell the hall, and other halls', sums.

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
        copies,
        fetching::Fetching,
        hall_aggregate::HallAggregate,
        halls::{Halls, hall_incarnation},
        heard::HeardInstances,
        other_halls::{OTHER_HALLS, OtherHalls},
        pace::Pace,
        protocol::Protocol,
        quota,
        state::Gateway,
    },
    limits::instance_counts::InstanceCounts,
    peers::{
        datagram::{Authenticator, MemberInfo},
        gossip::Gossip,
        rpc::SealedCodec,
        view::{Member, View},
    },
    prelude::{Incarnation, Micros, Name},
};

/// Shortest time between two rounds; several requests share a datagram under load.
const ROUND: Duration = Duration::from_millis(40);
/// Up to this many instances everybody tells everybody each round; in larger groups they report to
/// aggregators.
const SMALL_GROUP: usize = 12;
/// Instances that watch the store for all: two may be lost at once.
pub const WATCHERS: usize = 3;
/// An instance that is no seed watches the store for others only after this time: until then it knows
/// few of them, and of 295 that start together most would believe to be among the first three.
const SETTLED_US: Micros = 1_500_000;
/// The longest datagram that is read: what UDP carries.
const MAX_DATAGRAM: usize = 65_536;
/// Rounds of which it is remembered what was sent: a second and more.
const SENT_KEPT: usize = 64;
/// The seeds are asked for the others after these times from the start, one of them each time: 295
/// instances are 6 KB, and three seeds told to all of them each 250 ms filled the seeds' links.
const MEETINGS_MS: [u64; 6] = [0, 150, 400, 800, 1_500, 3_000];

/// What a round said of this instance alone.
#[derive(Clone, Debug, Default)]
pub(super) struct Sent {
    pub(super) seq: u64,
    pub(super) at_us: Micros,
    pub(super) loads: Arc<Vec<(EndpointKey, InFlight)>>,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) seq: u64,
    pub(super) sent: VecDeque<Sent>,
    pub(super) heard: HeardInstances,
    pub(super) halls: Halls,
    pub(super) hall_aggregate: HallAggregate,
    pub(super) other_halls: OtherHalls,
    pub(super) aggregators: Aggregators,
    /// How many instances the view knows, silent ones included.
    pub(super) instances_in_view: usize,
    /// By its view this instance is one of those that watch the store for all.
    pub(super) is_watcher: bool,
    /// Where those are that watch the store for all.
    pub(super) watchers: Vec<SocketAddr>,
    /// When another instance was asked how fresh what it knows is.
    pub(super) asked_us: Micros,
    pub(super) told_at_us: Micros,
    /// What is told of requests has changed since.
    pub(super) has_changed: bool,
    pub(super) summary_at_us: Micros,
    /// How long the last summary was.
    pub(super) summary_bytes: usize,
    /// When the peers in other halls were told of this one, and this one of other halls.
    pub(super) far_summary_at_us: Micros,
    pub(super) far_told_at_us: Micros,
    pub(super) turn: usize,
    /// What was told last of the configuration, the endpoints and the evacuations: news goes out at once.
    pub(super) told_state: (u64, u64, Vec<Name>),
}

impl State {
    fn known(&self, now_us: Micros, view: &View) -> usize {
        let others = view.others().count().max(self.heard.len());
        others.max(self.halls.instance_counts(now_us).all.saturating_sub(1))
    }

    pub(super) fn remember(&mut self, sent: Sent) {
        self.sent.push_back(sent);
        if self.sent.len() > SENT_KEPT {
            self.sent.pop_front();
        }
    }

    pub(super) fn sent(&self, seq: u64) -> Option<&Sent> {
        self.sent.iter().find(|s| s.seq == seq)
    }
}

/// The addresses at which an exchange tells and asks, and what its link carries.
#[derive(Clone, Debug)]
pub struct ExchangePlace {
    /// This instance, as the membership knows it.
    pub me: MemberInfo,
    /// Control addresses of some instances, which may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Bytes a second that this instance's link carries.
    pub link_bytes_per_s: f64,
}

/// The exchange of one instance.
pub struct Exchange<P: Protocol> {
    pub(super) gateway: Arc<Gateway<P>>,
    pub(super) gossip: Arc<Gossip>,
    pub(super) socket: UdpSocket,
    pub(super) port: u16,
    pub(super) authenticator: Authenticator,
    pub(super) codec: SealedCodec,
    pub(super) place: ExchangePlace,
    pub(super) my_hall: u32,
    /// The others ask it who is there, or there are none that would.
    pub(super) is_seed: bool,
    pub(super) state: Mutex<State>,
    pub(super) fetching: Fetching,
}

impl<P: Protocol> Exchange<P> {
    /// Creates the exchange over a bound socket; every instance's has the same port.
    ///
    /// # Errors
    /// The socket has no address.
    pub fn new(
        gateway: Arc<Gateway<P>>,
        gossip: Arc<Gossip>,
        socket: UdpSocket,
        cluster_key: &[u8],
        codec: SealedCodec,
        mut place: ExchangePlace,
    ) -> std::io::Result<Self> {
        let mut state = State::default();
        let now_us = gateway.clock.now_us();
        let my_addr = place.me.peer_addr;
        gateway.quota.join(place.me.incarnation, my_addr.ip());
        let is_seed = place.seeds.is_empty() || place.seeds.contains(&my_addr);
        place.seeds.retain(|seed| *seed != my_addr);
        // The seeds are taken for instances until they had time to be heard.
        for seed in place.seeds.iter().filter(|s| s.ip() != my_addr.ip()) {
            state.heard.meet(now_us, seed.ip());
        }
        Ok(Self {
            gateway,
            gossip,
            port: socket.local_addr()?.port(),
            socket,
            authenticator: Authenticator::new(cluster_key, "ryevalve update"),
            codec,
            my_hall: hall_key(&place.me.hall),
            is_seed,
            place,
            state: Mutex::new(state),
            fetching: Fetching::default(),
        })
    }

    /// Tells and listens until dropped.
    pub async fn run(self: Arc<Self>) {
        let mut round = time::interval(ROUND);
        round.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            tokio::select! {
                _ = round.tick() => self.tell().await,
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((len, from)) = received {
                        self.receive(&buffer[..len], from);
                    }
                }
            }
        }
    }

    /// Meets the others through the seeds for some seconds after the start, which is quicker than
    /// hearing of each by probes when all of a large group start at once.
    pub async fn meet(self: Arc<Self>) {
        let started = time::Instant::now();
        let first = rand::rng().random_range(0..self.place.seeds.len().max(1));
        let seeds = self.place.seeds.iter().cycle().skip(first);
        for (after_ms, seed) in MEETINGS_MS.into_iter().zip(seeds) {
            time::sleep_until(started + Duration::from_millis(after_ms)).await;
            let asked = copies::meet(*seed, self.codec.clone(), self.place.me.peer_addr);
            // A seed may be long gone; the others are asked all the same.
            let known = asked.await.unwrap_or_default();
            self.take_met(&known);
        }
    }

    /// Takes control addresses of instances: they are told of this one, and share limits with it.
    fn take_met(&self, addrs: &[SocketAddr]) {
        let now_us = self.gateway.clock.now_us();
        let others = addrs.iter().filter(|a| **a != self.place.me.peer_addr);
        let others: Vec<SocketAddr> = others.copied().collect();
        if others.is_empty() {
            return;
        }
        let known = self.gateway.note_addresses(&others);
        let mut state = self.lock();
        for addr in others {
            state.heard.meet(now_us, addr.ip());
        }
        drop(state);
        self.gossip.set_listed(known);
    }

    async fn tell(self: &Arc<Self>) {
        let now_us = self.gateway.clock.now_us();
        let view = self.gossip.view();
        self.take_view(&view);
        quota::tick(&self.gateway).await;
        let group = self.count_sharers(now_us, &view);
        let has_news = self.take_state_news();
        let is_suspected = self.gateway.suspects().take_has_changes();
        let has_limits = self.gateway.balancer().take_announcements_changed();
        let changed = self.gateway.balancer().take_changed() || is_suspected || has_limits;
        let is_due = {
            let mut state = self.lock();
            state.turn += 1;
            state.has_changed |= changed;
            let since_us = now_us.saturating_sub(state.told_at_us);
            let pace = self.pace(&state);
            let has_changed = state.has_changed && since_us >= pace.report_us();
            let is_due = has_news || has_changed || since_us >= pace.quiet_us();
            if is_due {
                state.told_at_us = now_us;
                state.has_changed = false;
            }
            is_due
        };
        match group {
            ClusterSize::Small => {
                self.gateway
                    .balancer()
                    .load_view_mut()
                    .set_hall_aggregator(false);
                self.gateway.reservation_client.set_issuers(Vec::new());
                self.tell_all(now_us, &view, is_due).await;
            }
            ClusterSize::Large => {
                self.appoint_ledger(now_us);
                self.ask_if_old(now_us, &view).await;
                if is_due {
                    self.report(now_us).await;
                }
                self.tell_hall(now_us, has_news).await;
                if has_news && self.gateway.watches_store() {
                    self.tell_of_news(now_us).await;
                }
            }
        }
    }

    /// Returns how often this instance reports. Those that watch the store do so as in a small group: the others
    /// know from them how fresh their configuration is.
    fn pace(&self, state: &State) -> Pace {
        let instances = match state.is_watcher {
            true => 0,
            false => state.aggregators.members_of(&self.place.me.hall),
        };
        Pace { instances }
    }

    /// Works out whom this instance asks for places at its hall's endpoints: the aggregators, the first of
    /// them first. One that is the first itself asks nobody.
    fn appoint_ledger(&self, now_us: Micros) {
        let (chosen, is_aggregator) = {
            let mut state = self.lock();
            let chosen = state.aggregators.of_hall(now_us, &self.place.me.hall, true);
            (chosen, state.hall_aggregate.is_aggregator(now_us))
        };
        let me = self.place.me.incarnation;
        let before_me = chosen.iter().take_while(|m| m.info.incarnation != me);
        let ledgers = before_me.map(|m| m.info.peer_addr.ip()).collect();
        self.gateway.reservation_client.set_issuers(ledgers);
        self.gateway
            .balancer()
            .load_view_mut()
            .set_hall_aggregator(is_aggregator);
    }

    /// Works out from a new view what this instance does for others.
    fn take_view(&self, view: &Arc<View>) {
        let now_us = self.gateway.clock.now_us();
        self.gateway.permits.set_view(view);
        self.gateway.quota.set_view(now_us, view);
        let mut state = self.lock();
        if state.aggregators.set_view(view) {
            state.instances_in_view = view.instances();
            let in_turn = view.chosen("store", usize::MAX, Member::can_lead);
            let me = self.place.me.incarnation;
            let place = in_turn.iter().position(|m| m.info.incarnation == me);
            state.is_watcher = place.is_some_and(|p| p < WATCHERS);
            state.watchers = self.watchers(&in_turn);
            self.gateway
                .set_watch_position(place.unwrap_or(in_turn.len()));
        }
        let is_settled = self.is_seed || self.gateway.clock.now_us() >= SETTLED_US;
        let watches = state.is_watcher && is_settled;
        self.gateway.set_watches_store(watches);
    }

    /// Counts the sharers, and notes who fell silent.
    fn count_sharers(&self, now_us: Micros, view: &View) -> ClusterSize {
        let (group, silent, sharers, known_sharers) = {
            let mut state = self.lock();
            let silent = state.heard.expire(now_us);
            let silent_halls = state.halls.expire(now_us);
            let known = state.known(now_us, view);
            if known < SMALL_GROUP {
                let known = state.heard.spoken_sharers(now_us);
                (
                    ClusterSize::Small,
                    silent,
                    state.heard.sharers(now_us),
                    known,
                )
            } else {
                let halls = silent_halls.into_iter().map(hall_incarnation).collect();
                let heard = state.halls.instance_counts(now_us).heard.max(1);
                let all = (known + 1).max(heard);
                let sharers = InstanceCounts { all, heard };
                (ClusterSize::Large, halls, sharers, sharers)
            }
        };
        self.gateway
            .permits
            .set_reachable_share(known_sharers.share());
        let instances = self.lock().instances_in_view.max(sharers.all);
        self.gateway.quota.set_instances(instances);
        if self.gateway.quota.is_bootstrapping() {
            self.gateway
                .quota
                .add_addresses(self.addresses(view).into_iter());
        }
        for teller in silent {
            if group == ClusterSize::Large {
                let whose = self.whose(teller);
                log::warn!(
                    target: "ryevalve::process",
                    whose, instances = sharers.all, instances_heard = sharers.heard;
                    "summaries_lost"
                );
            }
        }
        self.show(now_us, sharers);
        self.gateway.set_instance_counts(sharers);
        self.gateway
            .balancer()
            .load_view_mut()
            .set_cluster_size(group);
        group
    }

    /// Returns where instances are, or were.
    fn addresses(&self, view: &View) -> Vec<IpAddr> {
        let state = self.lock();
        let met = state.heard.iter().map(|(ip, _)| *ip);
        let members = view.members.iter().map(|m| m.info.peer_addr.ip());
        met.chain(members).collect()
    }

    /// Shows in the counters what the exchange believes.
    fn show(&self, now_us: Micros, sharers: InstanceCounts) {
        let state = self.lock();
        let age_s = |hall: u32| {
            let age_us = state.halls.age_us(now_us, hall);
            age_us.map_or(0.0, |us| us as f64 / 1e6)
        };
        let metrics = &self.gateway.metrics;
        metrics.instances.set(sharers.all as i64);
        metrics.hall_summary_age_seconds.set(age_s(self.my_hall));
        metrics.far_summary_age_seconds.set(age_s(OTHER_HALLS));
        let reporters = state
            .hall_aggregate
            .instance_counts(now_us)
            .heard
            .saturating_sub(1);
        metrics.reporters.set(i64::from(reporters));
    }

    /// Names in logs whose summaries are meant.
    pub(super) fn whose(&self, teller: Incarnation) -> &'static str {
        if teller == hall_incarnation(OTHER_HALLS) {
            "other_halls"
        } else {
            "own_hall"
        }
    }

    pub(super) fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        // Every step leaves the state whole, so a poisoned lock is usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
