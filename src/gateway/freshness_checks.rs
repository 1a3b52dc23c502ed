//! Decides from its freshness whether a gateway may use its local state of the store.

use std::time::Duration;

use crate::{
    gateway::{
        protocol::Protocol,
        staleness::{Freshness, Staleness, StalenessBound},
        state::Gateway,
    },
    prelude::{Micros, StorePosition},
};

/// How often a task that waits for the store's response checks whether to keep waiting.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

impl<P: Protocol> Gateway<P> {
    /// Returns the time since the configuration was last known to be the newest.
    pub fn config_age_us(&self) -> Micros {
        self.config.age_us(self.clock.now_us())
    }

    /// Returns the time since the endpoints were last known to match the store.
    pub fn endpoints_age_us(&self) -> Micros {
        self.endpoints_staleness.age_us(self.clock.now_us())
    }

    /// Returns the time since the evacuations were last known to match the store.
    pub fn evacuations_age_us(&self) -> Micros {
        self.evacuations.staleness.age_us(self.clock.now_us())
    }

    /// Returns the time since the roll-outs were last known to match the store.
    pub fn rollouts_age_us(&self) -> Micros {
        self.rollouts.staleness.age_us(self.clock.now_us())
    }

    /// Returns how stale the roll-outs may become before the store is queried. While there is one, that is the age up to
    /// which requests may be sent to its target version.
    pub fn rollouts_bound(&self) -> StalenessBound {
        let bounds = self.bounds();
        match bounds.rollouts {
            Some(rollouts) if self.rollouts.is_empty() => rollouts.rollback,
            Some(rollouts) => StalenessBound(rollouts.max_age_us()),
            None => bounds.config_apply,
        }
    }

    /// Returns whether the roll-outs are known well enough for requests to be sent to target versions.
    pub fn are_rollouts_fresh(&self) -> bool {
        let bounds = self.bounds().rollouts;
        bounds.is_some_and(|bounds| self.rollouts_age_us() < bounds.max_age_us())
    }

    /// Returns the configuration's age in milliseconds, for logs; `None` if it was never confirmed.
    pub fn config_age_ms(&self) -> Option<u64> {
        known_ms(self.config_age_us())
    }

    /// Returns the endpoints' age in milliseconds, for logs; `None` if they were never confirmed.
    pub fn endpoints_age_ms(&self) -> Option<u64> {
        known_ms(self.endpoints_age_us())
    }

    /// Returns whether the endpoints are fresh enough to use.
    pub fn endpoints_freshness(&self) -> Freshness {
        self.freshness(&self.endpoints_staleness, self.bounds().drain)
    }

    /// Returns whether the configuration is fresh enough to use.
    pub fn config_freshness(&self) -> Freshness {
        self.freshness(&self.config.staleness, self.bounds().config())
    }

    fn freshness(&self, staleness: &Staleness, bound: StalenessBound) -> Freshness {
        match staleness.freshness(self.clock.now_us(), bound) {
            // The process or its machine was suspended, so the store had no time to answer.
            Freshness::Unreachable if self.clock.has_just_resumed() => Freshness::Refreshing,
            freshness => freshness,
        }
    }

    /// While the store is queried, waits until the endpoints are fresh enough to use.
    ///
    /// Without this, an instance that gets no changes from others would use endpoints that have left. If the store
    /// does not answer, the instance continues with the endpoints it has, as all instances do in an outage.
    pub async fn wait_for_fresh_endpoints(&self) {
        self.wait_until_fresh(&self.endpoints_staleness, self.bounds().drain)
            .await;
    }

    /// Like [`Self::wait_for_fresh_endpoints`], for the configuration.
    pub async fn wait_for_fresh_config(&self) {
        let bound = self.bounds().config();
        self.wait_until_fresh(&self.config.staleness, bound).await;
    }

    /// Returns whether the evacuations are fresh enough to use; always fresh if evacuations are not configured.
    pub fn evacuations_freshness(&self) -> Freshness {
        match self.bounds().evacuate {
            Some(bound) => self.freshness(&self.evacuations.staleness, bound),
            None => Freshness::Fresh,
        }
    }

    /// Returns whether this instance has received the evacuations since its start, from the store or another instance.
    pub fn knows_evacuations(&self) -> bool {
        self.bounds().evacuate.is_none() || self.evacuations.position() > StorePosition::START
    }

    /// While the store is queried, waits until the evacuations are known and fresh enough to use.
    pub async fn wait_for_fresh_evacuations(&self) {
        if let Some(bound) = self.bounds().evacuate {
            self.wait_until(bound, &self.evacuations.staleness, || {
                self.knows_evacuations() && self.evacuations_freshness() != Freshness::Refreshing
            })
            .await;
        }
    }

    /// Returns whether this instance has received the roll-outs since its start, from the store or another instance.
    pub fn knows_rollouts(&self) -> bool {
        self.bounds().rollouts.is_none() || self.rollouts.position() > StorePosition::START
    }

    /// Waits until the roll-outs are known, no longer than for an answer of the store.
    pub async fn wait_for_known_rollouts(&self) {
        if !self.knows_rollouts() {
            let bound = self.rollouts_bound();
            self.wait_until(bound, &self.rollouts.staleness, || self.knows_rollouts())
                .await;
        }
    }

    async fn wait_until_fresh(&self, staleness: &Staleness, bound: StalenessBound) {
        self.wait_until(bound, staleness, || {
            self.freshness(staleness, bound) != Freshness::Refreshing
        })
        .await;
    }

    /// Waits until a condition on stored state holds, no longer than for an answer of the store.
    async fn wait_until(
        &self,
        bound: StalenessBound,
        staleness: &Staleness,
        holds: impl Fn() -> bool,
    ) {
        let until_us = self.clock.now_us() + bound.answer_timeout_us();
        while !holds() && self.clock.now_us() < until_us {
            staleness.wait_for_answer(RECHECK_INTERVAL).await;
        }
    }

    /// Returns whether requests may be refused because the configuration in force lacks their route or key.
    pub fn may_deny(&self) -> bool {
        self.is_config_fresh() && self.config_freshness() == Freshness::Fresh
    }

    /// Returns whether the configuration is fresh enough to check a key against.
    pub fn is_config_fresh(&self) -> bool {
        self.config_age_us() <= self.bounds().max_key_age_us()
    }

    /// Returns whether keys in the configuration in force may be used.
    ///
    /// Without strict revocation, the last known configuration remains valid while the store is unreachable.
    pub fn may_use_keys(&self) -> bool {
        !self.bounds().is_revocation_strict || self.is_config_fresh()
    }

    /// Returns whether this instance is ready for callers' requests.
    pub fn is_ready(&self) -> bool {
        let serves = self.is_config_fresh() && self.balancer().endpoint_count() > 0;
        let knows_evacuations = self.evacuations_freshness() != Freshness::Unknown;
        let knows_rollouts =
            self.bounds().rollouts.is_none() || self.rollouts_age_us() < Micros::MAX;
        serves && knows_evacuations && knows_rollouts && !self.is_stopping()
    }
}

fn known_ms(age_us: Micros) -> Option<u64> {
    (age_us != Micros::MAX).then_some(age_us / 1_000)
}
