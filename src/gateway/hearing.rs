//! What is taken from the updates of other instances.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use crate::{
    balance::{
        load::{EndpointKey, InFlight},
        load_view::ClusterSize,
    },
    gateway::{
        endpoint_announcements, exchange::Exchange, fetching::Wanted, halls::hall_incarnation,
        other_halls::OTHER_HALLS, protocol::Protocol,
    },
    peers::update::{self, HallSummary, Purpose, Update, address_key},
    prelude::Micros,
};

impl<P: Protocol> Exchange<P> {
    pub(super) fn receive(self: &Arc<Self>, bytes: &[u8], from: SocketAddr) {
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
        if update.purpose == Purpose::Question {
            self.answer(now_us, from);
            return;
        }
        self.gateway
            .suspects()
            .apply_updates(now_us, &update.suspects);
        endpoint_announcements::apply_from_peer(&self.gateway, &update.standings);
        let group = self.gateway.balancer().load_view().cluster_size();
        match (group, update.purpose) {
            (ClusterSize::Small, _) => self.take_direct(now_us, &update),
            (ClusterSize::Large, Purpose::Summary) => self.take_summaries(now_us, update, echo),
            (ClusterSize::Large, _) => self.take_report(now_us, update, from.ip()),
        }
        self.gateway.reconsider();
    }

    /// Takes an update of another instance of a small group.
    fn take_direct(&self, now_us: Micros, update: &Update) {
        self.take_news(now_us, update);
        let mut balancer = self.gateway.balancer();
        balancer.apply_peer_update(now_us, update.from, &update.loads, &[], &[]);
    }

    /// Takes a report of an instance of the own hall.
    fn take_report(&self, now_us: Micros, update: Update, from: IpAddr) {
        if update.hall != self.my_hall {
            return;
        }
        self.take_news(now_us, &update);
        self.lock()
            .hall_aggregate
            .apply_report(now_us, from, &update);
        let mut balancer = self.gateway.balancer();
        if balancer.load_view().is_hall_aggregator() {
            balancer.apply_grantee_report(now_us, update.from, &update.loads, update.settled);
        }
        drop(balancer);
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
        if summary.hall == self.my_hall || summary.hall == OTHER_HALLS {
            return;
        }
        let mut state = self.lock();
        if !state.other_halls.apply_summary(now_us, &summary) {
            return;
        }
        if !state.hall_aggregate.is_aggregator(now_us) {
            state.hall_aggregate.queue_for_relay(summary);
        }
    }

    /// Takes a summary; `echo` is the newest round of this instance that is in it.
    pub(super) fn take_summary(&self, now_us: Micros, summary: &HallSummary, echo: u64) {
        let is_own = summary.hall == self.my_hall;
        let taken = {
            let mut state = self.lock();
            let sent = state.sent(echo).cloned();
            if is_own && sent.is_none() {
                // What of it is this instance's own is not known.
                return;
            }
            let sent = sent.filter(|_| is_own).unwrap_or_default();
            let taken = state.halls.apply_summary(now_us, summary);
            taken.map(|taken| (taken, sent))
        };
        let Some((taken, sent)) = taken else { return };
        let teller = hall_incarnation(summary.hall);
        if taken.was_silent {
            let whose = self.whose(teller);
            log::info!(target: "ryevalve::process", whose; "summaries_regained");
        }
        let mut balancer = self.gateway.balancer();
        let is_known_singly = is_own && balancer.load_view().is_hall_aggregator();
        if taken.replaces_loads && !is_known_singly {
            let loads = without(&summary.loads, &sent.loads);
            balancer
                .load_view_mut()
                .apply_peer_loads(now_us, teller, summary.span, &loads);
        }
        balancer
            .load_view_mut()
            .apply_unaccounted_load(now_us, &summary.reports);
        balancer.apply_speed_summaries(&summary.speeds);
    }

    fn take_news(&self, now_us: Micros, update: &Update) {
        let mut balancer = self.gateway.balancer();
        balancer.remove_dead_endpoints(&update.dead);
        balancer.apply_peer_observations(now_us, &update.read, &update.seen);
        balancer
            .load_view_mut()
            .apply_unaccounted_load(now_us, &update.reports);
    }

    /// Takes what the sender knows of the store. What it told is no older than the sending of the
    /// number that it echoes.
    fn take_freshness(self: &Arc<Self>, update: &Update, echo: u64, from: SocketAddr) {
        let version = self.gateway.config.version();
        let revision = self.gateway.balancer().endpoints_revision();
        if update.config_version > 0 && update.endpoints_revision > 0 {
            self.gateway.note_peers_have_state();
        }
        self.fetch(from.ip(), Wanted::Config(update.config_version));
        self.fetch(from.ip(), Wanted::Endpoints(update.endpoints_revision));
        let sent_us = self.lock().sent(echo).map(|sent| sent.at_us);
        let asked_us = |age_ms: u32| Some(sent_us?.saturating_sub(u64::from(age_ms) * 1_000));
        let evacuations_asked_us = update.evacuations_age_ms.and_then(asked_us);
        let evacuations = update.evacuations.clone();
        self.gateway
            .apply_evacuations(evacuations, evacuations_asked_us, "peer");
        let config_asked_us = update.config_age_ms.and_then(asked_us);
        if let (Some(asked_us), true) = (config_asked_us, update.config_version == version) {
            self.gateway.config.confirm(version, asked_us);
        }
        let is_same = update.endpoints_revision == revision;
        let endpoints_asked_us = update.endpoints_age_ms.and_then(asked_us);
        if let (Some(asked_us), true) = (endpoints_asked_us, is_same) {
            self.gateway.endpoints_staleness.confirm(asked_us);
        }
    }
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
