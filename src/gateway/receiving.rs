//! Applies the updates that other instances send.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use crate::{
    balance::{
        load::{EndpointKey, InFlight, KeyRange},
        load_view::ClusterSize,
    },
    gateway::{
        endpoint_announcements, exchange::Exchange, fetching::Wanted, halls::hall_incarnation,
        other_halls::OTHER_HALLS, protocol::Protocol, state::lock,
    },
    peers::update::{self, HallSummary, Purpose, Update, address_key},
    prelude::{Micros, StorePosition},
};

impl<P: Protocol> Exchange<P> {
    pub(super) fn receive(self: &Arc<Self>, bytes: &[u8], from: SocketAddr) {
        let Ok(update) = update::decode(&self.authenticator, bytes) else {
            self.gateway.metrics.datagrams_dropped.inc();
            return;
        };
        if update.from == self.settings.me.incarnation {
            return;
        }
        let now_us = self.gateway.clock.now_us();
        {
            let mut state = self.lock();
            if !state.peer_table.record_update(now_us, from.ip(), &update) {
                self.gateway.metrics.datagrams_dropped.inc();
                return;
            }
            state.aggregators.record_answer(update.from);
        }
        self.gateway.metrics.updates_received.inc();
        let echo = update.echo_of(address_key(self.settings.me.peer_addr.ip()));
        self.apply_freshness(&update, echo, from);
        if update.purpose == Purpose::Question {
            self.answer(now_us, from);
            return;
        }
        self.gateway
            .suspects()
            .apply_updates(now_us, &update.suspects);
        if !update.parts.is_empty() {
            let parts = update.parts.clone();
            self.gateway.part_suspects().apply_updates(now_us, parts);
            self.gateway.log_blocked_parts();
        }
        endpoint_announcements::apply_from_peer(&self.gateway, &update.standings);
        let cluster_size = self.gateway.balancer().load_view().cluster_size();
        match (cluster_size, update.purpose) {
            (ClusterSize::Small, _) => self.apply_direct(now_us, &update),
            (ClusterSize::Large, Purpose::Summary) => self.apply_summaries(now_us, update, echo),
            (ClusterSize::Large, _) => self.apply_report(now_us, update, from.ip()),
        }
        self.gateway.reconsider();
    }

    /// Applies an update from another instance of a small cluster.
    fn apply_direct(&self, now_us: Micros, update: &Update) {
        self.apply_observations(now_us, update);
        lock(&self.gateway.shares).apply_reports(now_us, update.from, &update.demand, &[]);
        let mut balancer = self.gateway.balancer();
        balancer.apply_peer_update(now_us, update.from, &update.loads, &[], &[]);
    }

    /// Applies a report from an instance of this hall; reports from other halls are ignored.
    fn apply_report(&self, now_us: Micros, update: Update, from: IpAddr) {
        if update.hall != self.my_hall {
            return;
        }
        self.apply_observations(now_us, &update);
        self.lock().hall_reports.apply_report(now_us, from, &update);
        let mut balancer = self.gateway.balancer();
        if balancer.load_view().is_hall_aggregator() {
            balancer.apply_grantee_report(now_us, update.from, &update.loads, update.settled);
        }
        drop(balancer);
        for summary in update.halls {
            self.apply_remote_summary(now_us, summary);
        }
    }

    /// Applies the summaries in an aggregator's update.
    fn apply_summaries(&self, now_us: Micros, update: Update, echo: u64) {
        let is_own_hall = update.hall == self.my_hall;
        if is_own_hall {
            self.apply_observations(now_us, &update);
        }
        for summary in update.halls {
            if is_own_hall {
                self.apply_summary(now_us, &summary, echo);
            } else {
                self.apply_remote_summary(now_us, summary);
            }
        }
    }

    /// Applies a summary of another hall, unless a newer one is known. An aggregator merges it into its own summary of
    /// the other halls; any other instance forwards it to its aggregators.
    fn apply_remote_summary(&self, now_us: Micros, summary: HallSummary) {
        if summary.hall == self.my_hall || summary.hall == OTHER_HALLS {
            return;
        }
        let mut state = self.lock();
        if !state.remote_halls.apply_summary(now_us, &summary) {
            return;
        }
        if !state.hall_reports.is_aggregator(now_us) {
            state.hall_reports.queue_for_relay(summary);
        }
    }

    /// Applies a summary; `echo` is the sequence number of this instance's newest update that it includes.
    pub(super) fn apply_summary(&self, now_us: Micros, summary: &HallSummary, echo: u64) {
        let is_own = summary.hall == self.my_hall;
        let effect = {
            let mut state = self.lock();
            let sent = state.sent_update(echo).cloned();
            if is_own && sent.is_none() {
                // This instance's own share of the summary is unknown, so it cannot be subtracted.
                return;
            }
            let sent = sent.filter(|_| is_own).unwrap_or_default();
            let effect = state.halls.apply_summary(now_us, summary);
            effect.map(|effect| (effect, sent))
        };
        let Some((effect, sent)) = effect else { return };
        let source = hall_incarnation(summary.hall);
        if effect.was_silent {
            let whose = self.summary_scope(source);
            log::info!(target: "ryevalve::process", whose; "summaries_regained");
        }
        if effect.replaces_loads && summary.span.first == KeyRange::ALL.first {
            let mut shares = lock(&self.gateway.shares);
            shares.apply_reports(now_us, source, &summary.demand, &sent.demand);
        }
        let mut balancer = self.gateway.balancer();
        let has_own_reports = is_own && balancer.load_view().is_hall_aggregator();
        if effect.replaces_loads && !has_own_reports {
            let loads = subtract_own(&summary.loads, &sent.loads);
            balancer
                .load_view_mut()
                .apply_peer_loads(now_us, source, summary.span, &loads);
        }
        balancer
            .load_view_mut()
            .apply_unaccounted_load(now_us, &summary.reports);
        balancer.apply_speed_summaries(&summary.speeds);
    }

    fn apply_observations(&self, now_us: Micros, update: &Update) {
        let mut balancer = self.gateway.balancer();
        balancer.remove_dead_endpoints(&update.dead);
        balancer.apply_peer_observations(now_us, &update.read, &update.seen);
        balancer
            .load_view_mut()
            .apply_unaccounted_load(now_us, &update.reports);
    }

    /// Applies the sender's freshness. Its state is no older than the time at which this instance sent the
    /// echoed update, less the age that the sender reports.
    fn apply_freshness(self: &Arc<Self>, update: &Update, echo: u64, from: SocketAddr) {
        let version = self.gateway.config.version();
        let endpoints = self.gateway.balancer().endpoints_position();
        if update.config_version > 0 && update.endpoints_position > StorePosition::START {
            self.gateway.note_peers_have_state();
        }
        self.fetch(from.ip(), Wanted::Config(update.config_version));
        self.fetch(from.ip(), Wanted::Endpoints(update.endpoints_position));
        let sent_us = self.lock().sent_update(echo).map(|sent| sent.at_us);
        let as_of_us = |age_ms: u32| Some(sent_us?.saturating_sub(u64::from(age_ms) * 1_000));
        let evacuations_as_of_us = update.evacuations_age_ms.and_then(as_of_us);
        let evacuations = update.evacuations.clone();
        self.gateway
            .apply_evacuations(evacuations, evacuations_as_of_us, "peer");
        if let Some(rollouts) = &update.rollouts {
            let rollouts_as_of_us = rollouts.age_ms.and_then(as_of_us);
            self.gateway
                .apply_rollouts(&rollouts.set, rollouts_as_of_us, "peer");
        }
        let config_as_of_us = update.config_age_ms.and_then(as_of_us);
        if let (Some(as_of_us), true) = (config_as_of_us, update.config_version == version) {
            self.gateway.config.confirm(version, as_of_us);
        }
        let is_same = update.endpoints_position == endpoints;
        let endpoints_as_of_us = update.endpoints_age_ms.and_then(as_of_us);
        if let (Some(as_of_us), true) = (endpoints_as_of_us, is_same) {
            self.gateway.endpoints_staleness.confirm(as_of_us);
        }
    }
}

/// Subtracts this instance's own loads from `loads`.
fn subtract_own(
    loads: &[(EndpointKey, InFlight)],
    own: &[(EndpointKey, InFlight)],
) -> Vec<(EndpointKey, InFlight)> {
    let own: HashMap<EndpointKey, InFlight> = own.iter().copied().collect();
    let others = loads.iter().map(|(key, load)| {
        let own = own.get(key).copied().unwrap_or_default();
        let load = InFlight {
            requests: load.requests.saturating_sub(own.requests),
            prompt_tokens: load.prompt_tokens.saturating_sub(own.prompt_tokens),
        };
        (*key, load)
    });
    others.collect()
}
