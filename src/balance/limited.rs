//! What a balancer knows of endpoints that take so many requests a second and no more.

use crate::{
    balance::{balancer::Balancer, load::EndpointKey},
    limits::endpoint::{EndpointLimits, LimitChange, LimitWord},
    prelude::Micros,
};

impl Balancer {
    /// Returns the limits that endpoints named.
    pub fn limits(&self) -> &EndpointLimits {
        &self.limits
    }

    /// Takes an endpoint's own word on its limit, as [`EndpointLimits::heard`]; one that is gone has none.
    pub fn heard_limit(
        &mut self,
        now_us: Micros,
        key: EndpointKey,
        sent_at: u32,
        word: &LimitWord,
    ) -> Option<LimitChange> {
        self.entry(key)?;
        self.limits.heard(now_us, key, sent_at, word)
    }

    /// Notes that an endpoint's word on its limit could not be read; returns whether the one before could be.
    pub fn note_unreadable_limit(&mut self, key: EndpointKey) -> bool {
        self.entry(key).is_some() && self.limits.note_unreadable(key)
    }
}
