//! The last check before a request is written to an endpoint. It covers every way of sending: first attempts, retries,
//! resumed streams, and requests that hold a permit or a reservation.
//!
//! A request waits for a connection after its endpoint was chosen, and the state of the endpoint may change meanwhile.

use crate::{
    balance::{load::EndpointKey, readiness::Readiness},
    gateway::{
        protocol::Protocol, rollouts::VERSION_WITHHELD, staleness::Freshness as Staleness,
        state::Gateway,
    },
};

/// Reason for not sending a request: its endpoint is leaving or has left.
pub const ENDPOINT_LEFT: &str = "endpoint_left";
/// Reason for not sending a request: the data centre of its endpoint was evacuated after the choice.
pub const ENDPOINT_EVACUATED: &str = "endpoint_evacuated";
/// Reason for not sending a request: its endpoint asked this instance to back off after the choice.
pub const ENDPOINT_RESTS: &str = "endpoint_rests";
/// The reasons for which the check stops a request. Each endpoint stops it at most once.
pub const NOT_SENT_REASONS: [&str; 4] = [
    ENDPOINT_LEFT,
    ENDPOINT_EVACUATED,
    ENDPOINT_RESTS,
    VERSION_WITHHELD,
];

impl<P: Protocol> Gateway<P> {
    /// Checks that a request may still be sent to the endpoint chosen for it.
    ///
    /// # Errors
    /// The reason why it may not; the request is then sent to another endpoint.
    pub fn check_before_send(&self, key: EndpointKey) -> Result<(), &'static str> {
        if self.endpoints_freshness() == Staleness::Refreshing {
            // This process was suspended and its endpoint list is being refreshed: the endpoint may have left.
            return Err(ENDPOINT_LEFT);
        }
        if !self.knows_evacuations() || self.evacuations_freshness() == Staleness::Refreshing {
            return Err(ENDPOINT_EVACUATED);
        }
        let now_us = self.clock.now_us();
        match self.balancer().readiness(now_us, key) {
            Readiness::Leaving => Err(ENDPOINT_LEFT),
            Readiness::Evacuated => Err(ENDPOINT_EVACUATED),
            Readiness::BackOffUntil(_) => Err(ENDPOINT_RESTS),
            // If a permit was needed, it was acquired when the endpoint was chosen.
            Readiness::Ready | Readiness::NeedsPermit => Ok(()),
        }
    }
}
