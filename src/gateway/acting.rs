//! What a gateway may act on, by how fresh what it knows of the store is.

use std::time::Duration;

use crate::{
    gateway::{
        protocol::Protocol,
        staleness::{Staleness, StalenessBound, Standing},
        state::Gateway,
    },
    prelude::Micros,
};

/// How often what waits for the store's answer looks whether the store still is to be waited for.
const ANSWER_LOOK: Duration = Duration::from_millis(20);

impl<P: Protocol> Gateway<P> {
    /// Returns for how long the configuration has not been known to be the newest.
    pub fn config_age_us(&self) -> Micros {
        self.config.age_us(self.clock.now_us())
    }

    /// Returns for how long the endpoints have not been known to be as the store has them.
    pub fn endpoints_age_us(&self) -> Micros {
        self.endpoints_staleness.age_us(self.clock.now_us())
    }

    /// Returns for how long the evacuations have not been known to be as the store has them.
    pub fn evacuations_age_us(&self) -> Micros {
        self.evacuations.staleness.age_us(self.clock.now_us())
    }

    /// Returns the configuration's age in milliseconds, for logs; none if none was ever confirmed.
    pub fn config_age_ms(&self) -> Option<u64> {
        known_ms(self.config_age_us())
    }

    /// Returns the endpoints' age in milliseconds, for logs; none if none were ever confirmed.
    pub fn endpoints_age_ms(&self) -> Option<u64> {
        known_ms(self.endpoints_age_us())
    }

    /// Returns whether the endpoints may be acted on.
    pub fn endpoints_standing(&self) -> Standing {
        self.standing(&self.endpoints_staleness, self.bounds().drain)
    }

    /// Returns whether the configuration may be acted on.
    pub fn config_standing(&self) -> Standing {
        self.standing(&self.config.staleness, self.bounds().config())
    }

    fn standing(&self, known: &Staleness, bound: StalenessBound) -> Standing {
        match known.standing(self.clock.now_us(), bound) {
            // The store had no time to answer: this machine was not there.
            Standing::Unreachable if self.clock.has_just_resumed() => Standing::Asking,
            standing => standing,
        }
    }

    /// Waits, while the store is being asked, until what is known of the endpoints may be acted on.
    ///
    /// An instance that nobody tells of changes would use endpoints that have left; one that gets no answer goes
    /// on with what it knows, as all do in an outage.
    pub async fn endpoints_settled(&self) {
        self.settled(&self.endpoints_staleness, self.bounds().drain)
            .await;
    }

    /// The same for the configuration.
    pub async fn config_settled(&self) {
        let bound = self.bounds().config();
        self.settled(&self.config.staleness, bound).await;
    }

    /// Returns whether the evacuations may be acted on; they always may where there are none.
    pub fn evacuations_standing(&self) -> Standing {
        match self.bounds().evacuate {
            Some(bound) => self.standing(&self.evacuations.staleness, bound),
            None => Standing::Fresh,
        }
    }

    /// Waits, while the store is being asked, until what is known of evacuations may be acted on.
    pub async fn evacuations_settled(&self) {
        if let Some(bound) = self.bounds().evacuate {
            self.settled(&self.evacuations.staleness, bound).await;
        }
    }

    async fn settled(&self, known: &Staleness, bound: StalenessBound) {
        let until_us = self.clock.now_us() + bound.answer_us();
        loop {
            let now_us = self.clock.now_us();
            if now_us >= until_us || self.standing(known, bound) != Standing::Asking {
                return;
            }
            known.wait_for_answer(ANSWER_LOOK).await;
        }
    }

    /// Returns whether the configuration in force may deny what it does not have.
    pub fn may_deny(&self) -> bool {
        self.is_fresh() && self.config_standing() == Standing::Fresh
    }

    /// Returns whether the configuration is new enough to judge a key by.
    pub fn is_fresh(&self) -> bool {
        self.config_age_us() <= self.bounds().max_key_age_us()
    }

    /// Returns whether a key that the configuration in force has may be used.
    ///
    /// Operators who do not ask for strict revocation are served by the last configuration known
    /// while the store is away.
    pub fn may_use_keys(&self) -> bool {
        !self.bounds().is_revocation_strict || self.is_fresh()
    }

    /// Returns whether callers are to be sent here.
    pub fn is_ready(&self) -> bool {
        let serves = self.is_fresh() && self.balancer().endpoint_count() > 0;
        let knows_evacuations = self.evacuations_standing() != Standing::Unknown;
        serves && knows_evacuations && !self.is_stopping()
    }
}

fn known_ms(age_us: Micros) -> Option<u64> {
    (age_us != Micros::MAX).then_some(age_us / 1_000)
}
