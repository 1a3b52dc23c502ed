//! Asks other instances how fresh what they know of the store is, before the store has to be asked.
//!
//! Summaries come less often the larger a data centre is, and what they say of freshness is as old as the report that
//! they echo. An answer to a question is as old as a round trip, whatever the size: aggregators ask those that watch
//! the store, the others ask an aggregator.

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
    /// Notes who watches the store, in their turn, this instance left out.
    pub(super) fn watchers(&self, in_turn: &[&Member]) -> Vec<SocketAddr> {
        let me = self.place.me.incarnation;
        let watchers = in_turn.iter().take(WATCHERS);
        let others = watchers.filter(|m| m.info.incarnation != me);
        others.map(|m| self.addr_of(m)).collect()
    }

    /// Asks one that should know better, if what this instance knows grows old.
    pub(super) async fn ask_if_old(&self, now_us: Micros, view: &View) {
        if view.members.len() < 2 || self.gateway.watches_store() {
            return;
        }
        let (is_aggregator, since_us) = {
            let state = self.lock();
            let since_us = now_us.saturating_sub(state.asked_us);
            (state.hall_aggregate.is_aggregator(now_us), since_us)
        };
        if !self.is_old(is_aggregator, since_us) {
            return;
        }
        let Some(addr) = self.one_to_ask(now_us, is_aggregator) else {
            return;
        };
        self.lock().asked_us = now_us;
        let mut question = self.next_update(now_us, Purpose::Question);
        question.loads = Vec::new();
        self.gateway.metrics.freshness_asked.inc();
        self.send(addr, &mut question).await;
    }

    /// Returns whether something is old enough to ask, `since_us` after the last question.
    fn is_old(&self, is_aggregator: bool, since_us: Micros) -> bool {
        let gateway = &self.gateway;
        let bounds = gateway.bounds();
        let is_old = |age_us: Micros, bound: StalenessBound| {
            let is_old = age_us >= bound.ask_others_age_us(is_aggregator);
            let is_known = age_us != Micros::MAX;
            is_known && is_old && since_us >= bound.ask_others_pause_us()
        };
        is_old(gateway.config_age_us(), bounds.config())
            || is_old(gateway.endpoints_age_us(), bounds.drain)
            || bounds
                .evacuate
                .is_some_and(|bound| is_old(gateway.evacuations_age_us(), bound))
    }

    fn one_to_ask(&self, now_us: Micros, is_aggregator: bool) -> Option<SocketAddr> {
        let mut rng = rand::rng();
        let mut state = self.lock();
        if is_aggregator {
            return state.watchers.iter().copied().choose(&mut rng);
        }
        let me = self.place.me.incarnation;
        let of_hall = state.aggregators.of_hall(now_us, &self.place.me.hall, true);
        let others = of_hall.iter().filter(|m| m.info.incarnation != me);
        let chosen = others.choose(&mut rng)?;
        state.aggregators.told(now_us, chosen.info.incarnation);
        Some(self.addr_of(chosen))
    }

    /// Answers a question at once.
    pub(super) fn answer(self: &Arc<Self>, now_us: Micros, from: SocketAddr) {
        let mut answer = self.next_update(now_us, Purpose::Summary);
        answer.loads = Vec::new();
        answer.echo = self.lock().heard.direct_seq(from.ip());
        let bytes = update::encode(&self.authenticator, &answer);
        self.gateway.metrics.updates_sent.inc();
        self.gateway.metrics.told_bytes.inc_by(bytes.len() as u64);
        if self.socket.try_send_to(&bytes, from).is_err() {
            // As one lost on the way: whoever asked asks again.
            self.gateway.metrics.updates_unsent.inc();
        }
    }
}
