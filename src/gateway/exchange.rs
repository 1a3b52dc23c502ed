//! Tells the other instances what this one has sent where, and takes what they tell.

use std::{
    collections::VecDeque,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{
    net::UdpSocket,
    time::{self, MissedTickBehavior},
};

use crate::{
    balance::picture::Group,
    gateway::{
        copies::{self, Copies, Lacks},
        forwarding::{self, HallBook, hall_key},
        heard::HeardInstances,
        protocol::Protocol,
        state::Gateway,
    },
    limits::organisation::Teller,
    peers::{
        datagram::{Authenticator, MemberInfo},
        gossip::Gossip,
        rpc::SealedCodec,
        told::{self, HallWord, MemberWord, Told},
        view::{Member, View},
    },
    prelude::{Incarnation, Micros},
};

/// Shortest time between two rounds; several requests share a datagram under load.
const ROUND: Duration = Duration::from_millis(40);
/// Something is told at least this often, so that the others know this instance lives.
const QUIET_US: Micros = 250_000;
/// Up to this many instances everybody tells everybody each round. In larger groups halls tell each
/// other through their forwarders.
const SMALL_GROUP: usize = 12;
/// In larger groups halls tell each other once in this many rounds, 200 ms: about as old as what a
/// request at an endpoint changes in its load.
const HALL_ROUNDS: usize = 5;
/// In larger groups those that the membership has not admitted are told once in this many rounds, a
/// second.
const UNADMITTED_ROUNDS: usize = 25;
/// Instances that watch the store for all: two may be lost at once.
const WATCHERS: usize = 3;
/// A configuration's age beyond this is of no use to anybody.
const MAX_AGE_MS: u64 = 60_000;
const MAX_DATAGRAM: usize = 9_000;
const READS_TOLD: usize = 48;
/// Endpoints of which a round tells how fast they were seen to be; about 15 bytes each.
const SEEN_TOLD: usize = 4;
/// Endpoints of which a word to another hall tells the speed; about 11 bytes each.
const SPEEDS_TOLD: usize = 5;
/// One that was met or heard and is not in the view is told for this long.
const MET_UNHEARD_US: Micros = 4_000_000;
/// Rounds of which the time of sending is remembered: some seconds.
const SENT_KEPT: usize = 256;
/// The seeds are asked for the others this often after the start, some seconds in all.
const MEETINGS: usize = 12;
const MEETING_PAUSE: Duration = Duration::from_millis(250);

fn told_age_ms(age_us: Micros) -> Option<u32> {
    let age_ms = age_us / 1_000 + 1;
    (age_ms < MAX_AGE_MS).then_some(age_ms as u32)
}

#[derive(Debug, Default)]
struct State {
    seq: u64,
    /// The times at which the last rounds were sent.
    sent: VecDeque<(u64, Micros)>,
    heard: HeardInstances,
    told_at_us: Micros,
    turn: usize,
    /// What was told last of the configuration and the endpoints: news goes to everybody at once.
    told_state: (u64, u64),
    /// What is told to other halls, and passed on from them.
    book: HallBook,
}

impl State {
    /// Returns whether all that are known are so few that everybody tells everybody.
    fn is_small(&self, view: &View) -> bool {
        view.others().count().max(self.heard.len()) < SMALL_GROUP
    }
}

/// One whom a round is told to.
#[derive(Clone, Copy, Debug)]
struct Target {
    addr: SocketAddr,
    is_near: bool,
}

/// Whom a round is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Audience {
    /// Everybody.
    All,
    /// Those nearby.
    Near,
    /// Only those that the membership has not admitted, when it is their turn.
    Unadmitted,
}

/// The exchange of one instance.
pub struct Exchange<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    gossip: Arc<Gossip>,
    socket: UdpSocket,
    authenticator: Authenticator,
    codec: SealedCodec,
    me: MemberInfo,
    my_hall: u32,
    seeds: Vec<SocketAddr>,
    state: Mutex<State>,
    is_fetching: AtomicBool,
}

impl<P: Protocol> Exchange<P> {
    /// Creates the exchange over a bound socket; every instance's has the same port.
    pub fn new(
        gateway: Arc<Gateway<P>>,
        gossip: Arc<Gossip>,
        socket: UdpSocket,
        cluster_key: &[u8],
        codec: SealedCodec,
        me: MemberInfo,
        seeds: &[SocketAddr],
    ) -> Self {
        let mut state = State::default();
        let now_us = gateway.clock.now_us();
        // The seeds are taken to share limits until they had time to be heard.
        for seed in seeds.iter().filter(|s| s.ip() != me.peer_addr.ip()) {
            state.heard.meet(now_us, seed.ip());
        }
        Self {
            gateway,
            gossip,
            socket,
            authenticator: Authenticator::new(cluster_key, "ryevalve told"),
            codec,
            seeds: seeds
                .iter()
                .filter(|s| **s != me.peer_addr)
                .copied()
                .collect(),
            my_hall: hall_key(&me.hall),
            me,
            state: Mutex::new(state),
            is_fetching: AtomicBool::new(false),
        }
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
        for _ in 0..MEETINGS {
            for seed in &self.seeds {
                let asked = copies::meet(*seed, self.codec.clone(), self.me.peer_addr);
                // A seed may be long gone; the others are asked all the same.
                let known = asked.await.unwrap_or_default();
                self.take_met(&known);
            }
            time::sleep(MEETING_PAUSE).await;
        }
    }

    /// Takes control addresses of instances: they are told of this one, and share limits with it.
    fn take_met(&self, addrs: &[SocketAddr]) {
        let now_us = self.gateway.clock.now_us();
        let others = addrs.iter().filter(|a| **a != self.me.peer_addr);
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

    async fn tell(&self) {
        let now_us = self.gateway.clock.now_us();
        self.count_sharers(now_us);
        let view = self.gossip.view();
        let watchers = view.leaders("store", WATCHERS);
        let watches = watchers
            .iter()
            .any(|m| m.info.incarnation == self.me.incarnation);
        self.gateway.set_watches_store(watches);
        let changed = self.gateway.balancer().take_changed();
        let audience = self.audience(now_us, &view, changed);
        self.tell_halls(now_us, &view).await;
        let targets = self.targets(now_us, &view, audience);
        if targets.is_empty() {
            return;
        }
        // What is read and learned in one hall is of little use in another, and its requests are in
        // the word of the hall.
        let mut far = self.next_round(now_us);
        let mut near = far.clone();
        // News is told once: it is kept where nobody nearby is told.
        if targets.iter().any(|t| t.is_near) {
            self.add_news(&mut near);
            self.lock().book.note_reports(&near.reports);
            far.dead = near.dead.clone();
        }
        for target in targets {
            let told = if target.is_near { &mut near } else { &mut far };
            self.send(target.addr, told).await;
        }
    }

    async fn send(&self, addr: SocketAddr, told: &mut Told) {
        told.echo = self.echo_for(addr.ip());
        let bytes = told::encode(&self.authenticator, told);
        self.gateway.metrics.told_bytes.inc_by(bytes.len() as u64);
        // One that cannot be sent is as one lost on the way.
        let _ = self.socket.send_to(&bytes, addr).await;
    }

    /// Tells other halls of this one, if this instance is one of its forwarders.
    async fn tell_halls(&self, now_us: Micros, view: &View) {
        let told_by_me = {
            let state = self.lock();
            if state.is_small(view) || !state.turn.is_multiple_of(HALL_ROUNDS) {
                return;
            }
            let silent_us = |m: &Member| state.heard.silent_us(now_us, m.info.peer_addr.ip());
            forwarding::told_by_me(view, &self.me.hall, silent_us)
        };
        if told_by_me.is_empty() {
            self.lock().book.forget_reports();
            return;
        }
        let mates = view.others().filter(|m| m.info.hall == self.me.hall);
        let mates: Vec<Incarnation> = mates.map(|m| m.info.incarnation).collect();
        let (loads, speeds) = {
            let turn = self.lock().turn / HALL_ROUNDS;
            let balancer = self.gateway.balancer();
            (
                balancer.picture().loads_of(&mates),
                balancer.hall_speeds(turn, SPEEDS_TOLD),
            )
        };
        let mut told = self.next_round(now_us);
        let word = {
            let mut state = self.lock();
            let own = MemberWord::of(&told, self.me.peer_addr.ip());
            state.book.note(now_us, own);
            state.book.hall_word(now_us, self.my_hall, loads, speeds)
        };
        told.halls.push(word);
        let Ok(own) = self.socket.local_addr() else {
            return;
        };
        for member in told_by_me {
            let addr = SocketAddr::new(member.info.peer_addr.ip(), own.port());
            self.send(addr, &mut told).await;
        }
    }

    fn audience(&self, now_us: Micros, view: &View, changed: bool) -> Audience {
        let revision = self.gateway.balancer().endpoints_revision();
        let news = (self.gateway.config.version(), revision);
        let sharers = self.gateway.sharers();
        let mut state = self.lock();
        if state.is_small(view) && self.gateway.limits().take_news(sharers) {
            return Audience::All;
        }
        state.turn += 1;
        let has_news = std::mem::replace(&mut state.told_state, news) != news;
        // Everybody passing it on to everybody would cost more than it tells.
        if has_news && self.gateway.watches_store() {
            return Audience::All;
        }
        let is_quiet = now_us.saturating_sub(state.told_at_us) < QUIET_US;
        if changed || has_news || state.book.has_to_pass_on() || !is_quiet {
            state.told_at_us = now_us;
            return Audience::Near;
        }
        Audience::Unadmitted
    }

    /// Returns a round without what is new on requests and endpoints.
    fn next_round(&self, now_us: Micros) -> Told {
        let seq = {
            let mut state = self.lock();
            state.seq += 1;
            let seq = state.seq;
            state.sent.push_back((seq, now_us));
            if state.sent.len() > SENT_KEPT {
                state.sent.pop_front();
            }
            seq
        };
        let (used, uptime_us) = {
            let limits = self.gateway.limits();
            (limits.used(), limits.uptime_us(now_us))
        };
        Told {
            from: self.me.incarnation,
            hall: self.my_hall,
            seq,
            uptime_ms: u32::try_from(uptime_us / 1_000).unwrap_or(u32::MAX),
            config_version: self.gateway.config.version(),
            config_age_ms: told_age_ms(self.gateway.config_age_us()),
            endpoints_revision: self.gateway.balancer().endpoints_revision(),
            endpoints_age_ms: told_age_ms(self.gateway.endpoints_age_us()),
            used,
            ..Told::default()
        }
    }

    /// Adds what is new on requests and endpoints, and what other halls said.
    fn add_news(&self, told: &mut Told) {
        let (turn, halls) = {
            let mut state = self.lock();
            (state.turn, state.book.take_to_pass_on())
        };
        let mut balancer = self.gateway.balancer();
        told.loads = balancer.picture().own_loads();
        told.reports = balancer.picture_mut().take_reports();
        told.read = balancer.take_news(READS_TOLD);
        told.seen = balancer.take_evidence(turn, SEEN_TOLD);
        told.dead = balancer.take_dead();
        told.halls = halls;
    }

    fn echo_for(&self, ip: IpAddr) -> u64 {
        self.lock().heard.direct_seq(ip)
    }

    /// Returns whom a round is told to.
    fn targets(&self, now_us: Micros, view: &View, audience: Audience) -> Vec<Target> {
        let Ok(own) = self.socket.local_addr() else {
            return Vec::new();
        };
        let state = self.lock();
        let is_small = state.is_small(view);
        let mut targets = Vec::new();
        for member in view.others() {
            let is_near = is_small || member.info.hall == self.me.hall;
            let is_told = match audience {
                Audience::All => true,
                Audience::Near => is_near,
                Audience::Unadmitted => false,
            };
            if is_told {
                let addr = SocketAddr::new(member.info.peer_addr.ip(), own.port());
                targets.push(Target { addr, is_near });
            }
        }
        // Met, and not yet admitted by the membership.
        let is_turn = |index: usize| index % UNADMITTED_ROUNDS == state.turn % UNADMITTED_ROUNDS;
        for (index, (ip, heard)) in state.heard.iter().enumerate() {
            let is_late = now_us.saturating_sub(heard.at_us) >= MET_UNHEARD_US;
            let is_near = is_small || heard.hall == self.my_hall;
            let is_due = audience == Audience::All || is_near || is_turn(index);
            let in_view = view.others().any(|m| m.info.peer_addr.ip() == *ip);
            if is_due && !is_late && !in_view && *ip != own.ip() {
                let addr = SocketAddr::new(*ip, own.port());
                targets.push(Target { addr, is_near });
            }
        }
        targets
    }

    /// Counts those who may use a part of a limit, and forgets the rates of the silent.
    fn count_sharers(&self, now_us: Micros) {
        let (silent, sharers) = {
            let mut state = self.lock();
            (state.heard.expire(now_us), state.heard.sharers(now_us))
        };
        for instance in silent {
            self.gateway.limits().forget(now_us, instance);
        }
        self.gateway.set_sharers(sharers);
        let group = match sharers.all <= SMALL_GROUP {
            true => Group::Small,
            false => Group::Large,
        };
        self.gateway.balancer().picture_mut().set_group(group);
    }

    fn receive(self: &Arc<Self>, bytes: &[u8], from: SocketAddr) {
        let Ok(told) = told::decode(&self.authenticator, bytes) else {
            self.gateway.metrics.datagrams_dropped.inc();
            return;
        };
        if told.from == self.me.incarnation {
            return;
        }
        let now_us = self.gateway.clock.now_us();
        let word = MemberWord::of(&told, from.ip());
        if !self.lock().heard.note_direct(now_us, from.ip(), &told) {
            self.gateway.metrics.datagrams_dropped.inc();
            return;
        }
        self.take_freshness(&told, from);
        self.take_used(now_us, &word);
        let is_near = told.hall == self.my_hall;
        if is_near {
            let mut state = self.lock();
            state.book.note(now_us, word);
            state.book.note_reports(&told.reports);
        }
        {
            let mut balancer = self.gateway.balancer();
            balancer.told_dead(&told.dead);
            balancer.told(now_us, told.from, told.loads, &told.read, &told.seen);
            balancer.picture_mut().told_reports(now_us, &told.reports);
        }
        for word in told.halls.into_iter().filter(|w| w.hall != self.my_hall) {
            self.take_hall(now_us, word, !is_near);
        }
        self.gateway.reconsider();
    }

    /// Takes what another hall said; it is passed on if it came from there.
    fn take_hall(&self, now_us: Micros, word: HallWord, passes_on: bool) {
        for member in &word.members {
            self.take_used(now_us, member);
        }
        let hall = Incarnation(u64::from(word.hall));
        let loads = word.loads.clone();
        let mut balancer = self.gateway.balancer();
        balancer.picture_mut().told_loads(now_us, hall, loads);
        balancer.picture_mut().told_reports(now_us, &word.reports);
        balancer.told_speeds(&word.speeds);
        drop(balancer);
        if passes_on {
            self.lock().book.note_hall(word);
        }
    }

    /// Takes what an instance used, unless something newer is known.
    fn take_used(&self, now_us: Micros, word: &MemberWord) {
        if word.from == self.me.incarnation {
            return;
        }
        if !self.lock().heard.note_used(now_us, word) {
            return;
        }
        let sharers = self.gateway.sharers();
        let teller = Teller {
            incarnation: word.from,
            uptime_us: u64::from(word.uptime_ms) * 1_000,
        };
        let mut limits = self.gateway.limits();
        for used in &word.used {
            limits.told(now_us, teller, *used, sharers);
        }
    }

    /// Takes what the sender knows of the store. What it told is no older than the sending of the
    /// number that it echoes.
    fn take_freshness(self: &Arc<Self>, told: &Told, from: SocketAddr) {
        let version = self.gateway.config.version();
        let revision = self.gateway.balancer().endpoints_revision();
        let lacks = Lacks {
            config_after: (told.config_version > version).then_some(version),
            endpoints_after: (told.endpoints_revision > revision).then_some(revision),
        };
        if lacks != Lacks::default() {
            self.fetch(from.ip(), lacks);
        }
        let state = self.lock();
        let sent = state.sent.iter().find(|(seq, _)| *seq == told.echo);
        let Some((_, sent_us)) = sent else { return };
        let asked_us = |age_ms: u32| sent_us.saturating_sub(u64::from(age_ms) * 1_000);
        if let (Some(age_ms), true) = (told.config_age_ms, told.config_version == version) {
            self.gateway.config.confirm(version, asked_us(age_ms));
        }
        if let (Some(age_ms), true) = (told.endpoints_age_ms, told.endpoints_revision == revision) {
            self.gateway.confirm_endpoints(asked_us(age_ms));
        }
    }

    /// Fetches what another instance has newer, one fetch at a time.
    fn fetch(self: &Arc<Self>, ip: IpAddr, lacks: Lacks) {
        if self.is_fetching.swap(true, Ordering::Relaxed) {
            return;
        }
        let exchange = self.clone();
        let addr = SocketAddr::new(ip, self.me.peer_addr.port());
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
