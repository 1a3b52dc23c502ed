//! What a round of the exchange tells, and whom.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use rand::seq::SliceRandom;
use tokio::time;

use crate::{
    balance::load::split_loads,
    gateway::{
        exchange::{Exchange, Sent},
        hall_aggregate::Observations,
        other_halls::OTHER_HALLS,
        pace::Pace,
        protocol::Protocol,
    },
    limits::dissemination::Audience,
    peers::{
        update::{self, HallSummary, Purpose, Update},
        view::{Member, View},
    },
    prelude::Micros,
};

/// The share of an instance's link that its summaries take at most; beyond it they come less often.
/// The rest is for answers: at 20 Mbit/s and 49 instances a hall a summary of 1.5 KB goes out each
/// 100 ms.
const SUMMARY_LINK_SHARE: f64 = 0.3;
/// An aggregator tells its peers in other halls its sums this often: with two of them, each 200 ms in
/// the mean. In between it tells them how fresh its configuration is.
const FAR_SUMMARY_US: Micros = 400_000;
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
/// A configuration's age beyond this is of no use to anybody.
const MAX_AGE_MS: u64 = 60_000;

fn told_age_ms(age_us: Micros) -> Option<u32> {
    let age_ms = age_us / 1_000 + 1;
    (age_ms < MAX_AGE_MS).then_some(age_ms as u32)
}

impl<P: Protocol> Exchange<P> {
    /// Returns whether the configuration, the endpoints or the evacuations changed since they were told last.
    pub(super) fn take_state_news(&self) -> bool {
        let revision = self.gateway.balancer().endpoints_revision();
        let evacuated = self.gateway.evacuations.known().data_centres;
        let news = (self.gateway.config.version(), revision, evacuated);
        let mut state = self.lock();
        let has_changed = state.told_state != news;
        state.told_state = news;
        has_changed
    }

    /// Tells every instance of a small group, and those met that the membership has not admitted.
    pub(super) async fn tell_all(&self, now_us: Micros, view: &View, is_due: bool) {
        let targets = self.targets(now_us, view, is_due);
        if targets.is_empty() {
            return;
        }
        let mut update = self.next_update(now_us, Purpose::Direct);
        self.add_standing(now_us, &mut update, Audience::Peers);
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
    pub(super) async fn report(&self, now_us: Micros) {
        let (aggregators, is_aggregator, turn) = {
            let mut state = self.lock();
            let of_hall = state.aggregators.of_hall(now_us, &self.place.me.hall, true);
            let me = self.place.me.incarnation;
            let is_chosen = of_hall.iter().any(|m| m.info.incarnation == me);
            let is_aggregator = is_chosen || state.hall_aggregate.is_aggregator(now_us);
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
                let book = &mut state.hall_aggregate;
                book.note_observations(&news.reports, &news.read, &news.seen, &news.dead);
                Observations::default()
            }
            (false, true) => return,
            (false, false) => self.take_own_news(),
        };
        let mut plain = self.next_update(now_us, Purpose::Report);
        self.add_standing(now_us, &mut plain, Audience::Peers);
        plain.dead.clone_from(&news.dead);
        if !is_aggregator {
            plain.halls = self.lock().hall_aggregate.take_relay_queue(HALLS_TOLD);
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
    pub(super) async fn tell_hall(self: &Arc<Self>, now_us: Micros, has_news: bool) {
        let (reporters, peers) = {
            let mut state = self.lock();
            state.hall_aggregate.expire(now_us);
            state.other_halls.expire(now_us);
            let since_us = now_us.saturating_sub(state.summary_at_us);
            let reporters = state.hall_aggregate.reporters(now_us);
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
        self.add_standing(now_us, &mut update, Audience::Hall);
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
        let least_us = Pace {
            instances: reporters,
        };
        let least_us = least_us.summary_us();
        least_us.max((bytes / carried.max(1.0) * 1e6) as Micros)
    }

    /// Returns the sums of the own hall, of all endpoints together.
    fn own_summaries(&self, now_us: Micros, update: &mut Update) -> Vec<HallSummary> {
        let state = self.lock();
        let headcount = state.hall_aggregate.instance_counts(now_us);
        let loads = state.hall_aggregate.loads(now_us, &update.loads);
        update.loads = Vec::new();
        let parts = split_loads(&loads, LOADS_TOLD).into_iter();
        let summaries = parts.map(|(span, loads)| HallSummary {
            hall: self.my_hall,
            by: self.place.me.incarnation,
            seq: update.seq,
            instances: headcount.instances,
            heard: headcount.heard,
            span,
            loads,
            ..HallSummary::default()
        });
        summaries.collect()
    }

    /// Returns the sums of all other halls, of all endpoints together, now and then.
    fn far_summaries(&self, now_us: Micros, update: &Update) -> Vec<HallSummary> {
        let mut state = self.lock();
        let is_due = now_us.saturating_sub(state.far_told_at_us) >= FAR_SUMMARY_US;
        if !is_due || state.other_halls.is_empty() {
            return Vec::new();
        }
        state.far_told_at_us = now_us;
        let loads = state.other_halls.loads();
        let mut whole = HallSummary {
            hall: OTHER_HALLS,
            by: self.place.me.incarnation,
            seq: update.seq,
            ..HallSummary::default()
        };
        state.other_halls.fill_summary(now_us, &mut whole);
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
            update.echoes = state.hall_aggregate.echoes(self.gateway.clock.now_us());
            state.hall_aggregate.take_observations()
        };
        self.add_news(&mut update, news);
        let mut datagrams = Vec::new();
        for (place, summary) in summaries.iter().enumerate() {
            if place > 0 {
                update.suspects = Vec::new();
                update.standings = Vec::new();
                self.add_news(&mut update, Observations::default());
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
            let mut state = self.lock();
            first.reports = state.hall_aggregate.take_reports_for_other_halls();
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
    pub(super) async fn tell_of_news(&self, now_us: Micros) {
        let aggregators = {
            let mut state = self.lock();
            state.aggregators.of_all_halls(now_us, &self.place.me.hall)
        };
        let mut update = self.next_update(now_us, Purpose::Summary);
        update.loads = Vec::new();
        for member in &aggregators {
            self.send(self.addr_of(member), &mut update).await;
        }
    }

    pub(super) fn addr_of(&self, member: &Member) -> SocketAddr {
        SocketAddr::new(member.info.peer_addr.ip(), self.port)
    }

    /// Sends one an update with the newest number from it.
    pub(super) async fn send(&self, addr: SocketAddr, update: &mut Update) {
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

    fn next_seq(&self) -> u64 {
        let mut state = self.lock();
        state.seq += 1;
        state.seq
    }

    /// Returns an update with what this instance alone has under way and used, and how fresh what it
    /// knows is.
    pub(super) fn next_update(&self, now_us: Micros, purpose: Purpose) -> Update {
        let seq = self.next_seq();
        // Before the loads are read: those that are settled are in them.
        let settled = self.gateway.reservation_client.settled();
        let loads = self.gateway.balancer().load_view().own_loads();
        self.lock().remember(Sent {
            seq,
            at_us: now_us,
            loads: Arc::new(loads.clone()),
        });
        Update {
            from: self.place.me.incarnation,
            hall: self.my_hall,
            seq,
            purpose,
            config_version: self.gateway.config.version(),
            config_age_ms: told_age_ms(self.gateway.config_age_us()),
            endpoints_revision: self.gateway.balancer().endpoints_revision(),
            endpoints_age_ms: told_age_ms(self.gateway.endpoints_age_us()),
            evacuations: self.gateway.evacuations.known(),
            evacuations_age_ms: told_age_ms(self.gateway.evacuations_age_us()),
            settled,
            loads,
            ..Update::default()
        }
    }

    /// Returns what this instance saw since it was told last.
    fn take_own_news(&self) -> Observations {
        let turn = self.lock().turn;
        let mut balancer = self.gateway.balancer();
        Observations {
            reports: balancer.load_view_mut().take_unaccounted_load(),
            read: balancer.take_cached_chains(READS_TOLD),
            seen: balancer.take_speed_samples(turn, SEEN_TOLD),
            dead: balancer.take_dead(),
        }
    }

    /// Adds what an audience is to know for as long as it stands.
    fn add_standing(&self, now_us: Micros, update: &mut Update, audience: Audience) {
        update.suspects = self.gateway.suspects().take_due_updates(now_us, audience);
        update.standings = self
            .gateway
            .balancer()
            .take_announcements_to_send(now_us, audience);
    }

    fn add_news(&self, update: &mut Update, news: Observations) {
        update.reports = news.reports;
        update.read = news.read;
        update.seen = news.seen;
        update.dead = news.dead;
    }
}
