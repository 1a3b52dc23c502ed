//! Queries the freshness of other instances, before the store itself has to be queried.
//!
//! Summaries are sent less often the larger a hall is, and the freshness in them is as old as the report that they
//! echo. The response to a query is only as old as a round trip, whatever the size: aggregators query the store
//! watchers, the other instances query an aggregator.

use std::{net::SocketAddr, sync::Arc};

use rand::seq::IteratorRandom;

use crate::{
    gateway::{
        exchange::{Exchange, WATCHERS},
        protocol::Protocol,
        staleness::StalenessBound,
    },
    peers::{
        update::{self, Purpose},
        view::{Member, View},
    },
    prelude::Micros,
};

impl<P: Protocol> Exchange<P> {
    /// Returns the addresses of the store watchers by rank, without this instance.
    pub(super) fn watchers(&self, by_rank: &[&Member]) -> Vec<SocketAddr> {
        let me = self.settings.me.incarnation;
        let watchers = by_rank.iter().take(WATCHERS);
        let others = watchers.filter(|m| m.info.incarnation != me);
        others.map(|m| self.addr_of(m)).collect()
    }

    /// Queries an instance with fresher state if this instance's state is becoming stale.
    pub(super) async fn query_if_stale(&self, now_us: Micros, view: &View) {
        if view.members.len() < 2 || self.gateway.watches_store() {
            return;
        }
        let (is_aggregator, since_us) = {
            let state = self.lock();
            let since_us = now_us.saturating_sub(state.freshness_query_us);
            (state.hall_reports.is_aggregator(now_us), since_us)
        };
        if !self.is_stale(is_aggregator, since_us) {
            return;
        }
        let Some(addr) = self.query_target(now_us, is_aggregator) else {
            return;
        };
        self.lock().freshness_query_us = now_us;
        let mut query = self.next_update(now_us, Purpose::Question);
        query.loads = Vec::new();
        self.gateway.metrics.freshness_asked.inc();
        self.send(addr, &mut query).await;
    }

    /// Returns whether any state is stale enough for a query, `since_us` after the last one.
    fn is_stale(&self, is_aggregator: bool, since_us: Micros) -> bool {
        let gateway = &self.gateway;
        let bounds = gateway.bounds();
        let is_stale = |age_us: Micros, bound: StalenessBound| {
            let is_stale = age_us >= bound.peer_query_age_us(is_aggregator);
            let is_known = age_us != Micros::MAX;
            is_known && is_stale && since_us >= bound.peer_query_interval_us()
        };
        is_stale(gateway.config_age_us(), bounds.config())
            || is_stale(gateway.endpoints_age_us(), bounds.drain)
            || bounds
                .evacuate
                .is_some_and(|bound| is_stale(gateway.evacuations_age_us(), bound))
            || bounds
                .rollouts
                .is_some_and(|_| is_stale(gateway.rollouts_age_us(), gateway.rollouts_bound()))
    }

    fn query_target(&self, now_us: Micros, is_aggregator: bool) -> Option<SocketAddr> {
        let mut rng = rand::rng();
        let mut state = self.lock();
        if is_aggregator {
            return state.watchers.iter().copied().choose(&mut rng);
        }
        let me = self.settings.me.incarnation;
        let of_hall = state
            .aggregators
            .of_hall(now_us, &self.settings.me.hall, true);
        let others = of_hall.iter().filter(|m| m.info.incarnation != me);
        let chosen = others.choose(&mut rng)?;
        state
            .aggregators
            .expect_answer(now_us, chosen.info.incarnation);
        Some(self.addr_of(chosen))
    }

    /// Responds to a freshness query at once.
    pub(super) fn answer(self: &Arc<Self>, now_us: Micros, from: SocketAddr) {
        let mut answer = self.next_update(now_us, Purpose::Summary);
        answer.loads = Vec::new();
        answer.echo = self.lock().peer_table.last_seq(from.ip());
        let bytes = update::encode(&self.authenticator, &answer);
        self.gateway.metrics.updates_sent.inc();
        self.gateway.metrics.told_bytes.inc_by(bytes.len() as u64);
        if self.socket.try_send_to(&bytes, from).is_err() {
            // Equivalent to a lost datagram: the other instance repeats its query.
            self.gateway.metrics.updates_unsent.inc();
        }
    }
}
