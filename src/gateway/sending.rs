//! Sends reports, summaries and state changes to the other instances.

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
        exchange::{Exchange, SentUpdate},
        hall_aggregate::Observations,
        other_halls::OTHER_HALLS,
        protocol::Protocol,
        report_intervals::ReportIntervals,
        rollouts::RolloutUpdate,
        state::lock,
    },
    limits::dissemination::Audience,
    peers::{
        update::{self, HallSummary, Purpose, Update},
        view::{Member, View},
    },
    prelude::Micros,
};

/// Maximum share of the link for summaries; larger summaries are sent less often. The rest is left for responses:
/// at 20 Mbit/s and 49 instances per hall, a summary of 1.5 KB is sent every 100 ms.
const SUMMARY_LINK_SHARE: f64 = 0.3;
/// Interval between an aggregator's summaries to other halls; with two aggregators, one arrives every 200 ms on
/// average. In between, an aggregator sends only the freshness of its configuration.
const REMOTE_SUMMARY_US: Micros = 400_000;
/// Maximum endpoint loads in one summary, at about 9 bytes each; more are split over several summaries.
const LOADS_PER_SUMMARY: usize = 400;
/// Maximum summaries of other halls that a non-aggregator forwards at a time, at about 1 KB each.
const FORWARDED_SUMMARIES: usize = 4;
/// Number of instances that a summary is sent to at a time, with pauses that leave half of the link free. When it was
/// sent to 49 at once, the ones at the end of a full link's queue lost it every time.
const SEND_BATCH: usize = 6;
/// Share of the link that is used to send a summary.
const SEND_LINK_SHARE: f64 = 0.5;
/// Maximum cached prefix chains in an update.
const CHAINS_PER_UPDATE: usize = 48;
/// Maximum endpoints whose speed samples are sent in a round, at about 15 bytes each.
const SPEED_SAMPLES_PER_UPDATE: usize = 4;
/// Maximum endpoints whose speeds are sent in a summary to another hall, at about 11 bytes each.
const SPEEDS_PER_SUMMARY: usize = 5;
/// How long an instance outside the view is sent updates after it was added or last seen.
const UNADMITTED_US: Micros = 4_000_000;
/// Ages from here on are not sent: no receiver can use a configuration that old.
const MAX_AGE_MS: u64 = 60_000;

fn sent_age_ms(age_us: Micros) -> Option<u32> {
    let age_ms = age_us / 1_000 + 1;
    (age_ms < MAX_AGE_MS).then_some(age_ms as u32)
}

impl<P: Protocol> Exchange<P> {
    /// Returns whether the configuration, the endpoints, the evacuations or the roll-outs have changed since the last
    /// call.
    pub(super) fn take_state_changed(&self) -> bool {
        let endpoints = self.gateway.balancer().endpoints_position();
        let evacuated = self.gateway.evacuations.known().data_centres;
        let rollouts = self.gateway.rollouts.known().rollouts;
        let current = (
            self.gateway.config.version(),
            endpoints,
            evacuated,
            rollouts,
        );
        let mut state = self.lock();
        let has_changed = state.last_sent_state != current;
        state.last_sent_state = current;
        has_changed
    }

    /// Sends an update to every instance of a small cluster, and to known ones that the membership has not admitted.
    pub(super) async fn send_to_all(&self, now_us: Micros, view: &View, is_due: bool) {
        let targets = self.targets(now_us, view, is_due);
        if targets.is_empty() {
            return;
        }
        let mut update = self.next_update(now_us, Purpose::Direct);
        self.add_due_updates(now_us, &mut update, Audience::Peers);
        let observations = self.take_own_observations();
        self.add_observations(&mut update, observations);
        for addr in targets {
            self.send(addr, &mut update).await;
        }
    }

    /// Returns the addresses that an update is sent to in a small cluster.
    fn targets(&self, now_us: Micros, view: &View, is_due: bool) -> Vec<SocketAddr> {
        let state = self.lock();
        let known: Vec<IpAddr> = view.others().map(|m| m.info.peer_addr.ip()).collect();
        let mut targets = Vec::new();
        if is_due {
            targets.extend(known.iter().map(|ip| SocketAddr::new(*ip, self.port)));
        }
        // Known instances that the membership has not admitted yet.
        for (ip, peer) in state.peer_table.iter() {
            let is_stale = now_us.saturating_sub(peer.last_seen_us) >= UNADMITTED_US;
            let is_me = *ip == self.settings.me.peer_addr.ip();
            if !is_stale && !is_me && !known.contains(ip) {
                targets.push(SocketAddr::new(*ip, self.port));
            }
        }
        targets
    }

    /// Reports to the aggregators of this hall.
    pub(super) async fn report(&self, now_us: Micros) {
        let (aggregators, is_aggregator, round_number) = {
            let mut state = self.lock();
            let of_hall = state
                .aggregators
                .of_hall(now_us, &self.settings.me.hall, true);
            let me = self.settings.me.incarnation;
            let is_chosen = of_hall.iter().any(|m| m.info.incarnation == me);
            let is_aggregator = is_chosen || state.hall_reports.is_aggregator(now_us);
            (of_hall, is_aggregator, state.round_number)
        };
        let me = self.settings.me.incarnation;
        let aggregators = aggregators.iter().filter(|m| m.info.incarnation != me);
        let aggregators: Vec<&Member> = aggregators.collect();
        let observations = match (is_aggregator, aggregators.is_empty()) {
            // An aggregator's observations go into its own summary.
            (true, _) => {
                let observations = self.take_own_observations();
                let mut state = self.lock();
                let hall_reports = &mut state.hall_reports;
                hall_reports.note_observations(
                    &observations.reports,
                    &observations.read,
                    &observations.seen,
                    &observations.dead,
                );
                Observations::default()
            }
            (false, true) => return,
            (false, false) => self.take_own_observations(),
        };
        let mut base_report = self.next_update(now_us, Purpose::Report);
        self.add_due_updates(now_us, &mut base_report, Audience::Peers);
        base_report.dead.clone_from(&observations.dead);
        if !is_aggregator {
            base_report.halls = self
                .lock()
                .hall_reports
                .take_relay_queue(FORWARDED_SUMMARIES);
        }
        let mut with_observations = base_report.clone();
        self.add_observations(&mut with_observations, observations);
        for (index, member) in aggregators.iter().enumerate() {
            // Observations are additive, so only one aggregator gets them.
            let has_observations = index == round_number % aggregators.len();
            let report = if has_observations {
                &mut with_observations
            } else {
                &mut base_report
            };
            self.lock()
                .aggregators
                .expect_answer(now_us, member.info.incarnation);
            self.send(self.addr_of(member), report).await;
        }
    }

    /// If this instance is an aggregator and a summary is due, sends summaries to its hall and to its
    /// peers in other halls.
    pub(super) async fn send_hall_summaries(
        self: &Arc<Self>,
        now_us: Micros,
        has_state_change: bool,
    ) {
        let (reporters, peers) = {
            let mut state = self.lock();
            state.hall_reports.expire(now_us);
            state.remote_halls.expire(now_us);
            let since_us = now_us.saturating_sub(state.summary_at_us);
            let reporters = state.hall_reports.reporters(now_us);
            let interval_us = self.summary_interval_us(reporters.len(), state.summary_bytes);
            if since_us < interval_us && !has_state_change {
                return;
            }
            state.summary_at_us = now_us;
            let peers = state
                .aggregators
                .remote_peers(now_us, &self.settings.me.hall);
            (reporters, peers)
        };
        if reporters.is_empty() && peers.is_empty() {
            return;
        }
        let mut update = self.next_update(now_us, Purpose::Summary);
        self.add_due_updates(now_us, &mut update, Audience::Hall);
        let summaries = self.own_summaries(now_us, &mut update);
        let remote_summaries = self.remote_summaries(now_us, &update);
        for summary in summaries.iter().chain(&remote_summaries) {
            self.apply_summary(now_us, summary, update.seq);
        }
        if !reporters.is_empty() {
            let all: Vec<_> = summaries.iter().chain(&remote_summaries).cloned().collect();
            self.send_summaries(reporters, update.clone(), &all);
        }
        self.send_to_remote_halls(now_us, &peers, update, summaries)
            .await;
    }

    /// Returns the time between two summaries.
    fn summary_interval_us(&self, reporters: usize, summary_bytes: usize) -> Micros {
        let bytes = (reporters * summary_bytes) as f64;
        let bytes_per_s = self.settings.link_bytes_per_s * SUMMARY_LINK_SHARE;
        let min_us = ReportIntervals {
            instances: reporters,
        };
        let min_us = min_us.min_summary_us();
        min_us.max((bytes / bytes_per_s.max(1.0) * 1e6) as Micros)
    }

    /// Returns the summaries of this hall, which together cover all endpoints.
    fn own_summaries(&self, now_us: Micros, update: &mut Update) -> Vec<HallSummary> {
        let state = self.lock();
        let counts = state.hall_reports.instance_counts(now_us);
        let loads = state.hall_reports.loads(now_us, &update.loads);
        update.loads = Vec::new();
        let demand = state.hall_reports.demand(now_us, &update.demand);
        update.demand = Vec::new();
        let parts = split_loads(&loads, LOADS_PER_SUMMARY).into_iter();
        let summaries = parts.map(|(span, loads)| HallSummary {
            hall: self.my_hall,
            by: self.settings.me.incarnation,
            seq: update.seq,
            instances: counts.instances,
            heard: counts.heard,
            span,
            loads,
            ..HallSummary::default()
        });
        let mut summaries: Vec<HallSummary> = summaries.collect();
        if let Some(first) = summaries.first_mut() {
            first.demand = demand;
        }
        summaries
    }

    /// Returns the summaries of all other halls, which together cover all endpoints; none before they are due.
    fn remote_summaries(&self, now_us: Micros, update: &Update) -> Vec<HallSummary> {
        let mut state = self.lock();
        let is_due = now_us.saturating_sub(state.remote_summary_at_us) >= REMOTE_SUMMARY_US;
        if !is_due || state.remote_halls.is_empty() {
            return Vec::new();
        }
        state.remote_summary_at_us = now_us;
        let loads = state.remote_halls.loads();
        let mut template = HallSummary {
            hall: OTHER_HALLS,
            by: self.settings.me.incarnation,
            seq: update.seq,
            ..HallSummary::default()
        };
        state.remote_halls.fill_summary(now_us, &mut template);
        let parts = split_loads(&loads, LOADS_PER_SUMMARY).into_iter();
        let parts = parts.map(|(span, loads)| HallSummary {
            span,
            loads,
            ..template.clone()
        });
        let mut parts: Vec<HallSummary> = parts.collect();
        for part in parts.iter_mut().skip(1) {
            part.reports = Vec::new();
            part.speeds = Vec::new();
            part.demand = Vec::new();
        }
        parts
    }

    /// Sends the summaries of this hall and of the others to this hall, with its instances' observations. Each
    /// summary takes one datagram.
    fn send_summaries(
        self: &Arc<Self>,
        mut reporters: Vec<IpAddr>,
        mut update: Update,
        summaries: &[HallSummary],
    ) {
        let observations = {
            let mut state = self.lock();
            update.echoes = state.hall_reports.echoes(self.gateway.clock.now_us());
            state.hall_reports.take_observations()
        };
        self.add_observations(&mut update, observations);
        let mut datagrams = Vec::new();
        for (index, summary) in summaries.iter().enumerate() {
            if index > 0 {
                update.suspects = Vec::new();
                update.parts = Vec::new();
                update.standings = Vec::new();
                self.add_observations(&mut update, Observations::default());
                update.seq = self.next_seq();
            }
            update.halls = vec![summary.clone()];
            datagrams.push(update::encode(&self.authenticator, &update));
        }
        let bytes: usize = datagrams.iter().map(Vec::len).sum();
        self.lock().summary_bytes = bytes;
        // The order varies so that no instance is always the last.
        reporters.shuffle(&mut rand::rng());
        let exchange = self.clone();
        tokio::spawn(async move { exchange.send_paced(&reporters, &datagrams).await });
    }

    /// Sends the same datagrams to all targets, in batches with pauses that limit the use of the link.
    async fn send_paced(&self, targets: &[IpAddr], datagrams: &[Vec<u8>]) {
        let bytes: usize = datagrams.iter().map(Vec::len).sum();
        let bytes_per_s = self.settings.link_bytes_per_s * SEND_LINK_SHARE;
        let pause = Duration::from_secs_f64((SEND_BATCH * bytes) as f64 / bytes_per_s.max(1.0));
        for batch in targets.chunks(SEND_BATCH) {
            for ip in batch {
                for bytes in datagrams {
                    self.send_bytes(SocketAddr::new(*ip, self.port), bytes)
                        .await;
                }
            }
            time::sleep(pause).await;
        }
    }

    /// Sends this hall's summaries to the peers in other halls, or only its configuration's freshness while no summary
    /// is due.
    async fn send_to_remote_halls(
        &self,
        now_us: Micros,
        peers: &[Member],
        mut update: Update,
        mut summaries: Vec<HallSummary>,
    ) {
        let is_due = {
            let mut state = self.lock();
            let is_due = now_us.saturating_sub(state.summary_to_remote_at_us) >= REMOTE_SUMMARY_US;
            if is_due && !peers.is_empty() {
                state.summary_to_remote_at_us = now_us;
            }
            is_due
        };
        if is_due && let Some(first) = summaries.first_mut() {
            let mut state = self.lock();
            first.reports = state.hall_reports.take_reports_for_other_halls();
            let round_number = state.round_number;
            drop(state);
            first.speeds = self
                .gateway
                .balancer()
                .hall_speeds(round_number, SPEEDS_PER_SUMMARY);
            update.halls.push(first.clone());
        }
        for peer in peers {
            self.lock()
                .aggregators
                .expect_answer(now_us, peer.info.incarnation);
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

    /// Announces a newer configuration or newer endpoints to the aggregators of all halls at once.
    pub(super) async fn announce_state_change(&self, now_us: Micros) {
        let aggregators = {
            let mut state = self.lock();
            state
                .aggregators
                .of_all_halls(now_us, &self.settings.me.hall)
        };
        let mut update = self.next_update(now_us, Purpose::Summary);
        update.loads = Vec::new();
        update.demand = Vec::new();
        for member in &aggregators {
            self.send(self.addr_of(member), &mut update).await;
        }
    }

    pub(super) fn addr_of(&self, member: &Member) -> SocketAddr {
        SocketAddr::new(member.info.peer_addr.ip(), self.port)
    }

    /// Sends an update that echoes the recipient's newest sequence number.
    pub(super) async fn send(&self, addr: SocketAddr, update: &mut Update) {
        update.echo = self.lock().peer_table.last_seq(addr.ip());
        let bytes = update::encode(&self.authenticator, update);
        self.send_bytes(addr, &bytes).await;
    }

    async fn send_bytes(&self, addr: SocketAddr, bytes: &[u8]) {
        self.gateway.metrics.updates_sent.inc();
        self.gateway.metrics.told_bytes.inc_by(bytes.len() as u64);
        if self.socket.send_to(bytes, addr).await.is_err() {
            // Equivalent to a lost datagram; the next update replaces it.
            self.gateway.metrics.updates_unsent.inc();
        }
    }

    fn next_seq(&self) -> u64 {
        let mut state = self.lock();
        state.seq += 1;
        state.seq
    }

    /// Returns an update with this instance's own in-flight loads and the freshness of its state.
    pub(super) fn next_update(&self, now_us: Micros, purpose: Purpose) -> Update {
        let seq = self.next_seq();
        // Read before the loads, so that the loads include all settled reservations.
        let settled = self.gateway.reservation_client.settled();
        let loads = self.gateway.balancer().load_view().own_loads();
        let demand = lock(&self.gateway.shares).reports(now_us);
        self.lock().record_sent(SentUpdate {
            seq,
            at_us: now_us,
            loads: Arc::new(loads.clone()),
            demand: demand.clone(),
        });
        Update {
            from: self.settings.me.incarnation,
            hall: self.my_hall,
            seq,
            purpose,
            config_version: self.gateway.config.version(),
            config_age_ms: sent_age_ms(self.gateway.config_age_us()),
            endpoints_position: self.gateway.balancer().endpoints_position(),
            endpoints_age_ms: sent_age_ms(self.gateway.endpoints_age_us()),
            evacuations: self.gateway.evacuations.known(),
            evacuations_age_ms: sent_age_ms(self.gateway.evacuations_age_us()),
            rollouts: self.rollout_update(),
            settled,
            loads,
            demand,
            ..Update::default()
        }
    }

    fn rollout_update(&self) -> Option<RolloutUpdate> {
        self.gateway.bounds().rollouts?;
        Some(RolloutUpdate {
            set: self.gateway.rollouts.known(),
            age_ms: sent_age_ms(self.gateway.rollouts_age_us()),
        })
    }

    /// Returns this instance's observations since the last call.
    fn take_own_observations(&self) -> Observations {
        let round_number = self.lock().round_number;
        let mut balancer = self.gateway.balancer();
        Observations {
            reports: balancer.load_view_mut().take_unaccounted_load(),
            read: balancer.take_cached_chains(CHAINS_PER_UPDATE),
            seen: balancer.take_speed_samples(round_number, SPEED_SAMPLES_PER_UPDATE),
            dead: balancer.take_dead(),
        }
    }

    /// Adds the suspects and endpoint announcements that are due for an audience.
    fn add_due_updates(&self, now_us: Micros, update: &mut Update, audience: Audience) {
        update.suspects = self.gateway.suspects().take_due_updates(now_us, audience);
        update.parts = self
            .gateway
            .part_suspects()
            .take_due_updates(now_us, audience);
        update.standings = self
            .gateway
            .balancer()
            .take_announcements_to_send(now_us, audience);
    }

    fn add_observations(&self, update: &mut Update, observations: Observations) {
        update.reports = observations.reports;
        update.read = observations.read;
        update.seen = observations.seen;
        update.dead = observations.dead;
    }
}
