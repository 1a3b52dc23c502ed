//! Tells the other instances what this one has sent where, and takes what they tell.
//!
//! In a small group everybody tells everybody. In a large one instances report to the aggregators of
//! their hall, and those tell the hall, and other halls', sums.

use std::{
    collections::{HashMap, VecDeque},
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand::{RngExt, seq::SliceRandom};
use tokio::{
    net::UdpSocket,
    time::{self, MissedTickBehavior},
};

use crate::{
    balance::{
        load::{EndpointKey, InFlight, split_loads},
        picture::Group,
    },
    gateway::{
        aggregators::{Aggregators, hall_key},
        copies::{self, Copies, Lacks},
        far_book::{FAR_HALLS, FarBook},
        hall_book::{HallBook, News},
        halls::Halls,
        heard::HeardInstances,
        protocol::Protocol,
        state::Gateway,
        use_turns::UseTurns,
    },
    limits::organisation::{Sharers, Teller, ToldUse},
    peers::{
        datagram::{Authenticator, MemberInfo},
        gossip::Gossip,
        rpc::SealedCodec,
        update::{self, HallSummary, Purpose, Update, address_key},
        view::{Member, View},
    },
    prelude::{Incarnation, Micros},
};

/// Shortest time between two rounds; several requests share a datagram under load.
const ROUND: Duration = Duration::from_millis(40);
/// Something is told at least this often, so that the others know this instance lives.
const QUIET_US: Micros = 250_000;
/// Up to this many instances everybody tells everybody each round; in larger groups they report to
/// aggregators.
const SMALL_GROUP: usize = 12;
/// An aggregator tells its hall this often at most: two of them, 40 ms apart in the mean, make what is
/// believed about as old as a round.
const SUMMARY_US: Micros = 80_000;
/// The share of an instance's link that its summaries take at most; beyond it they come less often.
/// The rest is for answers: at 20 Mbit/s and 49 instances a hall a summary of 1.5 KB goes out each
/// 100 ms.
const SUMMARY_LINK_SHARE: f64 = 0.3;
/// An aggregator tells its peers in other halls its sums this often: with two of them, each 200 ms in
/// the mean. In between it tells them how fresh its configuration is.
const FAR_SUMMARY_US: Micros = 400_000;
/// Instances that watch the store for all: two may be lost at once.
const WATCHERS: usize = 3;
/// An instance that is no seed watches the store for others only after this time: until then it knows
/// few of them, and of 295 that start together most would believe to be among the first three.
const SETTLED_US: Micros = 1_500_000;
/// A configuration's age beyond this is of no use to anybody.
const MAX_AGE_MS: u64 = 60_000;
/// The longest datagram that is read: what UDP carries.
const MAX_DATAGRAM: usize = 65_536;
/// Endpoints of which one summary tells the load; about 9 bytes each. More go into several.
const LOADS_TOLD: usize = 400;
/// Summaries of other halls that one that is no aggregator hands on at a time; about 1 KB each.
const HALLS_TOLD: usize = 4;
/// A summary goes out to so many at a time, with pauses that leave half of the link free: sent at once
/// to 49, those at the end of a full link's queue lost it each time.
const SENT_AT_ONCE: usize = 6;
const SENT_LINK_SHARE: f64 = 0.5;
const READS_TOLD: usize = 48;
/// Endpoints of which a round tells how fast they were seen to be; about 15 bytes each.
const SEEN_TOLD: usize = 4;
/// Endpoints of which a word to another hall tells the speed; about 11 bytes each.
const SPEEDS_TOLD: usize = 5;
/// One that was met or heard and is not in the view is told for this long.
const MET_UNHEARD_US: Micros = 4_000_000;
/// Rounds of which it is remembered what was sent: a second and more.
const SENT_KEPT: usize = 64;
/// The seeds are asked for the others after these times from the start, one of them each time: 295
/// instances are 6 KB, and three seeds told to all of them each 250 ms filled the seeds' links.
const MEETINGS_MS: [u64; 6] = [0, 150, 400, 800, 1_500, 3_000];

fn told_age_ms(age_us: Micros) -> Option<u32> {
    let age_ms = age_us / 1_000 + 1;
    (age_ms < MAX_AGE_MS).then_some(age_ms as u32)
}

/// What a round said of this instance alone.
#[derive(Clone, Debug, Default)]
struct Sent {
    seq: u64,
    at_us: Micros,
    loads: Arc<Vec<(EndpointKey, InFlight)>>,
    used: Arc<Vec<ToldUse>>,
}

#[derive(Debug, Default)]
struct State {
    seq: u64,
    sent: VecDeque<Sent>,
    heard: HeardInstances,
    halls: Halls,
    book: HallBook,
    far_book: FarBook,
    aggregators: Aggregators,
    /// By its view this instance is one of those that watch the store for all.
    is_watcher: bool,
    /// Which organisations' use went into reports, summaries, summaries for other halls, and those of
    /// other halls.
    report_turns: UseTurns,
    summary_turns: UseTurns,
    peer_turns: UseTurns,
    far_turns: UseTurns,
    told_at_us: Micros,
    summary_at_us: Micros,
    /// How long the last summary was.
    summary_bytes: usize,
    /// When the peers in other halls were told of this one, and this one of other halls.
    far_summary_at_us: Micros,
    far_told_at_us: Micros,
    turn: usize,
    /// What was told last of the configuration and the endpoints: news goes out at once.
    told_state: (u64, u64),
}

impl State {
    fn known(&self, now_us: Micros, view: &View) -> usize {
        let others = view.others().count().max(self.heard.len());
        others.max(self.halls.sharers(now_us).all.saturating_sub(1))
    }

    fn remember(&mut self, sent: Sent) {
        self.sent.push_back(sent);
        if self.sent.len() > SENT_KEPT {
            self.sent.pop_front();
        }
    }

    fn sent(&self, seq: u64) -> Option<&Sent> {
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
    gateway: Arc<Gateway<P>>,
    gossip: Arc<Gossip>,
    socket: UdpSocket,
    port: u16,
    authenticator: Authenticator,
    codec: SealedCodec,
    place: ExchangePlace,
    my_hall: u32,
    /// The others ask it who is there, or there are none that would.
    is_seed: bool,
    state: Mutex<State>,
    is_fetching: AtomicBool,
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
        let is_seed = place.seeds.is_empty() || place.seeds.contains(&my_addr);
        place.seeds.retain(|seed| *seed != my_addr);
        // The seeds are taken to share limits until they had time to be heard.
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
            is_fetching: AtomicBool::new(false),
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
        let known = self.gateway.meet(&others);
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
        let group = self.count_sharers(now_us, &view);
        let has_news = self.take_state_news();
        let changed = self.gateway.balancer().take_changed();
        let is_due = {
            let mut state = self.lock();
            state.turn += 1;
            let is_quiet = now_us.saturating_sub(state.told_at_us) < QUIET_US;
            let is_due = changed || has_news || !is_quiet;
            if is_due {
                state.told_at_us = now_us;
            }
            is_due
        };
        match group {
            Group::Small => self.tell_all(now_us, &view, is_due).await,
            Group::Large => {
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

    /// Works out from a new view what this instance does for others.
    fn take_view(&self, view: &Arc<View>) {
        let mut state = self.lock();
        if state.aggregators.set_view(view) {
            let in_turn = view.chosen("store", usize::MAX, Member::can_lead);
            let me = self.place.me.incarnation;
            let place = in_turn.iter().position(|m| m.info.incarnation == me);
            state.is_watcher = place.is_some_and(|p| p < WATCHERS);
            let turn = place.unwrap_or(in_turn.len()).saturating_sub(WATCHERS);
            self.gateway.set_turn_to_watch(turn);
        }
        let is_settled = self.is_seed || self.gateway.clock.now_us() >= SETTLED_US;
        let watches = state.is_watcher && is_settled;
        self.gateway.set_watches_store(watches);
    }

    /// Returns whether the configuration or the endpoints are newer than what was told last.
    fn take_state_news(&self) -> bool {
        let revision = self.gateway.balancer().endpoints_revision();
        let news = (self.gateway.config.version(), revision);
        std::mem::replace(&mut self.lock().told_state, news) != news
    }

    /// Tells every instance of a small group, and those met that the membership has not admitted.
    async fn tell_all(&self, now_us: Micros, view: &View, is_due: bool) {
        let sharers = self.gateway.sharers();
        let is_due = self.gateway.limits().take_news(sharers) || is_due;
        let targets = self.targets(now_us, view, is_due);
        if targets.is_empty() {
            return;
        }
        let mut update = self.next_update(now_us, Purpose::Direct);
        let news = self.take_own_news();
        self.add_news(&mut update, news);
        for addr in targets {
            self.send(addr, &mut update).await;
        }
    }

    /// Returns whom a small group's update is for.
    fn targets(&self, now_us: Micros, view: &View, is_due: bool) -> Vec<SocketAddr> {
        let state = self.lock();
        let known: Vec<IpAddr> = view.others().map(|m| m.info.peer_addr.ip()).collect();
        let mut targets = Vec::new();
        if is_due {
            targets.extend(known.iter().map(|ip| SocketAddr::new(*ip, self.port)));
        }
        // Met, and not yet admitted by the membership.
        for (ip, heard) in state.heard.iter() {
            let is_late = now_us.saturating_sub(heard.at_us) >= MET_UNHEARD_US;
            let is_me = *ip == self.place.me.peer_addr.ip();
            if !is_late && !is_me && !known.contains(ip) {
                targets.push(SocketAddr::new(*ip, self.port));
            }
        }
        targets
    }

    /// Reports to the aggregators of the own hall.
    async fn report(&self, now_us: Micros) {
        let (aggregators, is_aggregator, turn) = {
            let mut state = self.lock();
            let of_hall = state.aggregators.of_hall(now_us, &self.place.me.hall, true);
            let me = self.place.me.incarnation;
            let is_chosen = of_hall.iter().any(|m| m.info.incarnation == me);
            let is_aggregator = is_chosen || state.book.is_aggregator(now_us);
            (of_hall, is_aggregator, state.turn)
        };
        let me = self.place.me.incarnation;
        let aggregators = aggregators.iter().filter(|m| m.info.incarnation != me);
        let aggregators: Vec<&Member> = aggregators.collect();
        let news = match (is_aggregator, aggregators.is_empty()) {
            // It goes into this instance's own summary.
            (true, _) => {
                let news = self.take_own_news();
                let mut state = self.lock();
                let book = &mut state.book;
                book.note_news(&news.reports, &news.read, &news.seen, &news.dead);
                News::default()
            }
            (false, true) => return,
            (false, false) => self.take_own_news(),
        };
        let mut plain = self.next_update(now_us, Purpose::Report);
        plain.dead.clone_from(&news.dead);
        if !is_aggregator {
            plain.halls = self.lock().book.take_to_pass_on(HALLS_TOLD);
        }
        let mut with_news = plain.clone();
        self.add_news(&mut with_news, news);
        for (place, member) in aggregators.iter().enumerate() {
            // News adds up, so it goes to one of them.
            let has_news = place == turn % aggregators.len();
            let report = if has_news { &mut with_news } else { &mut plain };
            self.lock()
                .aggregators
                .told(now_us, member.info.incarnation);
            self.send(self.addr_of(member), report).await;
        }
    }

    /// Tells the hall its sums, if this instance is one of its aggregators and it is time; and its
    /// peers in other halls.
    async fn tell_hall(self: &Arc<Self>, now_us: Micros, has_news: bool) {
        let (reporters, peers) = {
            let mut state = self.lock();
            state.book.expire(now_us);
            state.far_book.expire(now_us);
            let since_us = now_us.saturating_sub(state.summary_at_us);
            let reporters = state.book.reporters(now_us);
            let pace_us = self.pace_us(reporters.len(), state.summary_bytes);
            if since_us < pace_us && !has_news {
                return;
            }
            state.summary_at_us = now_us;
            let peers = state.aggregators.far_peers(now_us, &self.place.me.hall);
            (reporters, peers)
        };
        if reporters.is_empty() && peers.is_empty() {
            return;
        }
        let mut update = self.next_update(now_us, Purpose::Summary);
        let summaries = self.own_summaries(now_us, &mut update);
        let far_summaries = self.far_summaries(now_us, &update);
        for summary in summaries.iter().chain(&far_summaries) {
            self.take_summary(now_us, summary, update.seq);
        }
        if !reporters.is_empty() {
            let all: Vec<_> = summaries.iter().chain(&far_summaries).cloned().collect();
            self.send_summaries(reporters, update.clone(), &all);
        }
        self.tell_peers(now_us, &peers, update, summaries).await;
    }

    /// Returns how long to wait between two summaries.
    fn pace_us(&self, reporters: usize, summary_bytes: usize) -> Micros {
        let bytes = (reporters * summary_bytes) as f64;
        let carried = self.place.link_bytes_per_s * SUMMARY_LINK_SHARE;
        SUMMARY_US.max((bytes / carried.max(1.0) * 1e6) as Micros)
    }

    /// Returns the sums of the own hall, of all endpoints together.
    fn own_summaries(&self, now_us: Micros, update: &mut Update) -> Vec<HallSummary> {
        let own_used = self.gateway.limits().used();
        let mut state = self.lock();
        let headcount = state.book.headcount(now_us);
        let loads = state.book.loads(now_us, &update.loads);
        let used = state.book.used(&own_used);
        let used = state.summary_turns.select(now_us, &used);
        update.loads = Vec::new();
        update.used = Vec::new();
        let parts = split_loads(&loads, LOADS_TOLD).into_iter();
        let summaries = parts.map(|(span, loads)| HallSummary {
            hall: self.my_hall,
            by: self.place.me.incarnation,
            seq: update.seq,
            uptime_ms: update.uptime_ms,
            instances: headcount.instances,
            heard: headcount.heard,
            span,
            loads,
            ..HallSummary::default()
        });
        let mut summaries: Vec<HallSummary> = summaries.collect();
        if let Some(first) = summaries.first_mut() {
            first.used = used;
        }
        summaries
    }

    /// Returns the sums of all other halls, of all endpoints together, now and then.
    fn far_summaries(&self, now_us: Micros, update: &Update) -> Vec<HallSummary> {
        let own_used = self.gateway.limits().used();
        let mut state = self.lock();
        let is_due = now_us.saturating_sub(state.far_told_at_us) >= FAR_SUMMARY_US;
        if !is_due || state.far_book.is_empty() {
            return Vec::new();
        }
        state.far_told_at_us = now_us;
        let loads = state.far_book.loads();
        let used = state.far_book.used(&own_used);
        let used = state.far_turns.select(now_us, &used);
        let mut whole = HallSummary {
            hall: FAR_HALLS,
            by: self.place.me.incarnation,
            seq: update.seq,
            uptime_ms: update.uptime_ms,
            ..HallSummary::default()
        };
        state.far_book.complete(now_us, &mut whole);
        let parts = split_loads(&loads, LOADS_TOLD).into_iter();
        let parts = parts.map(|(span, loads)| HallSummary {
            span,
            loads,
            ..whole.clone()
        });
        let mut parts: Vec<HallSummary> = parts.collect();
        for part in parts.iter_mut().skip(1) {
            part.reports = Vec::new();
            part.speeds = Vec::new();
        }
        if let Some(first) = parts.first_mut() {
            first.used = used;
        }
        parts
    }

    /// Sends the hall its sums and those of the others, with what its instances saw, a datagram a sum.
    fn send_summaries(
        self: &Arc<Self>,
        mut reporters: Vec<IpAddr>,
        mut update: Update,
        summaries: &[HallSummary],
    ) {
        let news = {
            let mut state = self.lock();
            update.echoes = state.book.echoes(self.gateway.clock.now_us());
            state.book.take_news()
        };
        self.add_news(&mut update, news);
        let mut datagrams = Vec::new();
        for (place, summary) in summaries.iter().enumerate() {
            if place > 0 {
                self.add_news(&mut update, News::default());
                update.seq = self.next_seq();
            }
            update.halls = vec![summary.clone()];
            datagrams.push(update::encode(&self.authenticator, &update));
        }
        let bytes: usize = datagrams.iter().map(Vec::len).sum();
        self.lock().summary_bytes = bytes;
        // Nobody is the last each time.
        reporters.shuffle(&mut rand::rng());
        let exchange = self.clone();
        tokio::spawn(async move { exchange.send_spread(&reporters, &datagrams).await });
    }

    /// Sends all the same, with pauses in which the link can carry it.
    async fn send_spread(&self, targets: &[IpAddr], datagrams: &[Vec<u8>]) {
        let bytes: usize = datagrams.iter().map(Vec::len).sum();
        let carried = self.place.link_bytes_per_s * SENT_LINK_SHARE;
        let pause = Duration::from_secs_f64((SENT_AT_ONCE * bytes) as f64 / carried.max(1.0));
        for some in targets.chunks(SENT_AT_ONCE) {
            for ip in some {
                for bytes in datagrams {
                    self.send_bytes(SocketAddr::new(*ip, self.port), bytes)
                        .await;
                }
            }
            time::sleep(pause).await;
        }
    }

    /// Tells the peers in other halls the sums of this one, or only how fresh its configuration is.
    async fn tell_peers(
        &self,
        now_us: Micros,
        peers: &[Member],
        mut update: Update,
        mut summaries: Vec<HallSummary>,
    ) {
        let is_due = {
            let mut state = self.lock();
            let is_due = now_us.saturating_sub(state.far_summary_at_us) >= FAR_SUMMARY_US;
            if is_due && !peers.is_empty() {
                state.far_summary_at_us = now_us;
            }
            is_due
        };
        if is_due && let Some(first) = summaries.first_mut() {
            let own_used = self.gateway.limits().used();
            let mut state = self.lock();
            let used = state.book.used(&own_used);
            first.used = state.peer_turns.select(now_us, &used);
            first.reports = state.book.take_far_reports();
            let turn = state.turn;
            drop(state);
            first.speeds = self.gateway.balancer().hall_speeds(turn, SPEEDS_TOLD);
            update.halls.push(first.clone());
        }
        for peer in peers {
            self.lock().aggregators.told(now_us, peer.info.incarnation);
            self.send(self.addr_of(peer), &mut update).await;
        }
        if !is_due {
            return;
        }
        for summary in summaries.into_iter().skip(1) {
            update.halls = vec![summary];
            update.seq = self.next_seq();
            for peer in peers {
                self.send(self.addr_of(peer), &mut update).await;
            }
        }
    }

    /// Tells the aggregators of all halls at once that there is a newer configuration, or newer
    /// endpoints.
    async fn tell_of_news(&self, now_us: Micros) {
        let aggregators = {
            let mut state = self.lock();
            state.aggregators.of_all_halls(now_us, &self.place.me.hall)
        };
        let mut update = self.next_update(now_us, Purpose::Summary);
        update.loads = Vec::new();
        update.used = Vec::new();
        for member in &aggregators {
            self.send(self.addr_of(member), &mut update).await;
        }
    }

    fn addr_of(&self, member: &Member) -> SocketAddr {
        SocketAddr::new(member.info.peer_addr.ip(), self.port)
    }

    /// Sends one an update with the newest number from it.
    async fn send(&self, addr: SocketAddr, update: &mut Update) {
        update.echo = self.lock().heard.direct_seq(addr.ip());
        let bytes = update::encode(&self.authenticator, update);
        self.send_bytes(addr, &bytes).await;
    }

    async fn send_bytes(&self, addr: SocketAddr, bytes: &[u8]) {
        self.gateway.metrics.updates_sent.inc();
        self.gateway.metrics.told_bytes.inc_by(bytes.len() as u64);
        if self.socket.send_to(bytes, addr).await.is_err() {
            // As one lost on the way; the next one makes it good.
            self.gateway.metrics.updates_unsent.inc();
        }
    }

    fn uptime_ms(&self, now_us: Micros) -> u32 {
        let uptime_us = self.gateway.limits().uptime_us(now_us);
        u32::try_from(uptime_us / 1_000).unwrap_or(u32::MAX)
    }

    fn next_seq(&self) -> u64 {
        let mut state = self.lock();
        state.seq += 1;
        state.seq
    }

    /// Returns an update with what this instance alone has under way and used, and how fresh what it
    /// knows is.
    fn next_update(&self, now_us: Micros, purpose: Purpose) -> Update {
        let seq = self.next_seq();
        let loads = self.gateway.balancer().picture().own_loads();
        let used = self.gateway.limits().used();
        let told_used = {
            let mut state = self.lock();
            state.remember(Sent {
                seq,
                at_us: now_us,
                loads: Arc::new(loads.clone()),
                used: Arc::new(used.clone()),
            });
            match purpose {
                Purpose::Direct | Purpose::Report => state.report_turns.select(now_us, &used),
                Purpose::Summary => Vec::new(),
            }
        };
        Update {
            from: self.place.me.incarnation,
            hall: self.my_hall,
            seq,
            purpose,
            uptime_ms: self.uptime_ms(now_us),
            config_version: self.gateway.config.version(),
            config_age_ms: told_age_ms(self.gateway.config_age_us()),
            endpoints_revision: self.gateway.balancer().endpoints_revision(),
            endpoints_age_ms: told_age_ms(self.gateway.endpoints_age_us()),
            loads,
            used: told_used,
            ..Update::default()
        }
    }

    /// Returns what this instance saw since it was told last.
    fn take_own_news(&self) -> News {
        let turn = self.lock().turn;
        let mut balancer = self.gateway.balancer();
        News {
            reports: balancer.picture_mut().take_reports(),
            read: balancer.take_news(READS_TOLD),
            seen: balancer.take_evidence(turn, SEEN_TOLD),
            dead: balancer.take_dead(),
        }
    }

    fn add_news(&self, update: &mut Update, news: News) {
        update.reports = news.reports;
        update.read = news.read;
        update.seen = news.seen;
        update.dead = news.dead;
    }

    /// Counts those who may use a part of a limit, and forgets the rates of the silent.
    fn count_sharers(&self, now_us: Micros, view: &View) -> Group {
        let (group, silent, sharers) = {
            let mut state = self.lock();
            let silent = state.heard.expire(now_us);
            let silent_halls = state.halls.expire(now_us);
            let known = state.known(now_us, view);
            if known < SMALL_GROUP {
                (Group::Small, silent, state.heard.sharers(now_us))
            } else {
                let halls = silent_halls.into_iter().map(teller_of_hall).collect();
                let heard = state.halls.sharers(now_us).heard.max(1);
                let all = (known + 1).max(heard);
                (Group::Large, halls, Sharers { all, heard })
            }
        };
        for teller in silent {
            self.gateway.limits().forget(now_us, teller);
            if group == Group::Large {
                let whose = self.whose(teller);
                log::warn!(
                    target: "ryevalve::process",
                    whose, instances = sharers.all, instances_heard = sharers.heard;
                    "summaries_lost"
                );
            }
        }
        self.show(now_us, sharers);
        self.gateway.set_sharers(sharers);
        self.gateway.balancer().picture_mut().set_group(group);
        group
    }

    /// Shows in the counters what the exchange believes.
    fn show(&self, now_us: Micros, sharers: Sharers) {
        let state = self.lock();
        let age_s = |hall: u32| {
            let age_us = state.halls.age_us(now_us, hall);
            age_us.map_or(0.0, |us| us as f64 / 1e6)
        };
        let metrics = &self.gateway.metrics;
        metrics.instances.set(sharers.all as i64);
        metrics.hall_summary_age_seconds.set(age_s(self.my_hall));
        metrics.far_summary_age_seconds.set(age_s(FAR_HALLS));
        let reporters = state.book.headcount(now_us).heard.saturating_sub(1);
        metrics.reporters.set(i64::from(reporters));
    }

    /// Names in logs whose summaries are meant.
    fn whose(&self, teller: Incarnation) -> &'static str {
        if teller == teller_of_hall(FAR_HALLS) {
            "other_halls"
        } else {
            "own_hall"
        }
    }

    fn receive(self: &Arc<Self>, bytes: &[u8], from: SocketAddr) {
        let Ok(update) = update::decode(&self.authenticator, bytes) else {
            self.gateway.metrics.datagrams_dropped.inc();
            return;
        };
        if update.from == self.place.me.incarnation {
            return;
        }
        let now_us = self.gateway.clock.now_us();
        {
            let mut state = self.lock();
            if !state.heard.note_direct(now_us, from.ip(), &update) {
                self.gateway.metrics.datagrams_dropped.inc();
                return;
            }
            state.aggregators.answered(update.from);
        }
        self.gateway.metrics.updates_received.inc();
        let echo = update.echo_of(address_key(self.place.me.peer_addr.ip()));
        self.take_freshness(&update, echo, from);
        let group = self.gateway.balancer().picture().group();
        match (group, update.purpose) {
            (Group::Small, _) => self.take_direct(now_us, &update),
            (Group::Large, Purpose::Summary) => self.take_summaries(now_us, update, echo),
            (Group::Large, _) => self.take_report(now_us, update, from.ip()),
        }
        self.gateway.reconsider();
    }

    /// Takes an update of another instance of a small group.
    fn take_direct(&self, now_us: Micros, update: &Update) {
        let teller = Teller {
            incarnation: update.from,
            uptime_us: u64::from(update.uptime_ms) * 1_000,
        };
        self.take_used(now_us, teller, &update.used);
        self.take_news(now_us, update);
        let mut balancer = self.gateway.balancer();
        balancer.told(now_us, update.from, &update.loads, &[], &[]);
    }

    /// Takes a report of an instance of the own hall.
    fn take_report(&self, now_us: Micros, update: Update, from: IpAddr) {
        if update.hall != self.my_hall {
            return;
        }
        self.take_news(now_us, &update);
        let uptime_ms = self.uptime_ms(now_us);
        self.lock().book.note(now_us, from, uptime_ms, &update);
        for summary in update.halls {
            self.take_far_summary(now_us, summary);
        }
    }

    /// Takes what an aggregator said.
    fn take_summaries(&self, now_us: Micros, update: Update, echo: u64) {
        let is_near = update.hall == self.my_hall;
        if is_near {
            self.take_news(now_us, &update);
        }
        for summary in update.halls {
            if is_near {
                self.take_summary(now_us, &summary, echo);
            } else {
                self.take_far_summary(now_us, summary);
            }
        }
    }

    /// Takes a summary of another hall that the own hall was not told: it is summed up by an aggregator,
    /// and handed on by others.
    fn take_far_summary(&self, now_us: Micros, summary: HallSummary) {
        if summary.hall == self.my_hall || summary.hall == FAR_HALLS {
            return;
        }
        let uptime_ms = self.uptime_ms(now_us);
        let mut state = self.lock();
        if !state.far_book.note(now_us, uptime_ms, &summary) {
            return;
        }
        if !state.book.is_aggregator(now_us) {
            state.book.note_hall(summary);
        }
    }

    /// Takes a summary; `echo` is the newest round of this instance that is in it.
    fn take_summary(&self, now_us: Micros, summary: &HallSummary, echo: u64) {
        let is_own = summary.hall == self.my_hall;
        let uptime_ms = self.uptime_ms(now_us);
        let taken = {
            let mut state = self.lock();
            let sent = state.sent(echo).cloned();
            if is_own && sent.is_none() {
                // What of it is this instance's own is not known.
                return;
            }
            let sent = sent.filter(|_| is_own).unwrap_or_default();
            let own: HashMap<u32, u64> = sent
                .used
                .iter()
                .map(|told| (told.organisation, told.used))
                .collect();
            let taken = state.halls.note(now_us, uptime_ms, summary, &own);
            taken.map(|taken| (taken, sent))
        };
        let Some((taken, sent)) = taken else { return };
        let teller = Teller {
            incarnation: teller_of_hall(summary.hall),
            uptime_us: u64::from(summary.uptime_ms) * 1_000,
        };
        if taken.is_regained {
            let whose = self.whose(teller.incarnation);
            log::info!(target: "ryevalve::process", whose; "summaries_regained");
        }
        self.take_used(now_us, teller, &taken.used);
        let mut balancer = self.gateway.balancer();
        if taken.takes_loads {
            let loads = without(&summary.loads, &sent.loads);
            balancer
                .picture_mut()
                .told_loads(now_us, teller.incarnation, summary.span, &loads);
        }
        balancer
            .picture_mut()
            .told_reports(now_us, &summary.reports);
        balancer.told_speeds(&summary.speeds);
    }

    fn take_news(&self, now_us: Micros, update: &Update) {
        let mut balancer = self.gateway.balancer();
        balancer.told_dead(&update.dead);
        balancer.told_news(now_us, &update.read, &update.seen);
        balancer.picture_mut().told_reports(now_us, &update.reports);
    }

    fn take_used(&self, now_us: Micros, teller: Teller, used: &[ToldUse]) {
        let sharers = self.gateway.sharers();
        let mut limits = self.gateway.limits();
        for used in used {
            limits.told(now_us, teller, *used, sharers);
        }
    }

    /// Takes what the sender knows of the store. What it told is no older than the sending of the
    /// number that it echoes.
    fn take_freshness(self: &Arc<Self>, update: &Update, echo: u64, from: SocketAddr) {
        let version = self.gateway.config.version();
        let revision = self.gateway.balancer().endpoints_revision();
        let lacks = Lacks {
            config_after: (update.config_version > version).then_some(version),
            endpoints_after: (update.endpoints_revision > revision).then_some(revision),
        };
        if lacks != Lacks::default() {
            self.fetch(from.ip(), lacks);
        }
        let state = self.lock();
        let Some(sent) = state.sent(echo) else { return };
        let asked_us = |age_ms: u32| sent.at_us.saturating_sub(u64::from(age_ms) * 1_000);
        if let (Some(age_ms), true) = (update.config_age_ms, update.config_version == version) {
            self.gateway.config.confirm(version, asked_us(age_ms));
        }
        let is_same = update.endpoints_revision == revision;
        if let (Some(age_ms), true) = (update.endpoints_age_ms, is_same) {
            self.gateway.confirm_endpoints(asked_us(age_ms));
        }
    }

    /// Fetches what another instance has newer, one fetch at a time.
    fn fetch(self: &Arc<Self>, ip: IpAddr, lacks: Lacks) {
        if self.is_fetching.swap(true, Ordering::Relaxed) {
            return;
        }
        let exchange = self.clone();
        let addr = SocketAddr::new(ip, self.place.me.peer_addr.port());
        tokio::spawn(async move {
            match copies::fetch(addr, exchange.codec.clone(), lacks).await {
                Ok(copies) => exchange.take_copies(copies),
                Err(error) => {
                    let reason = error.to_string();
                    log::warn!(target: "ryevalve::process", reason; "copies_not_fetched");
                }
            }
            exchange.is_fetching.store(false, Ordering::Relaxed);
        });
    }

    fn take_copies(&self, copies: Copies) {
        if let Some(config) = copies.config {
            self.gateway.offer(config, "peer");
        }
        if let Some(endpoints) = copies.endpoints {
            self.gateway.take_endpoints(endpoints);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        // Every step leaves the state whole, so a poisoned lock is usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Names a hall as one that tells its use.
fn teller_of_hall(hall: u32) -> Incarnation {
    Incarnation(u64::from(hall))
}

/// Returns loads without this instance's own.
fn without(
    loads: &[(EndpointKey, InFlight)],
    own: &[(EndpointKey, InFlight)],
) -> Vec<(EndpointKey, InFlight)> {
    let own: HashMap<EndpointKey, InFlight> = own.iter().copied().collect();
    let rest = loads.iter().map(|(key, load)| {
        let own = own.get(key).copied().unwrap_or_default();
        let load = InFlight {
            requests: load.requests.saturating_sub(own.requests),
            prompt_tokens: load.prompt_tokens.saturating_sub(own.prompt_tokens),
        };
        (*key, load)
    });
    rest.collect()
}
