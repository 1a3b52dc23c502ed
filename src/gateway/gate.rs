//! The last look before a request is written to an endpoint, whatever brought it there: a first try, a retry, a
//! stream that is taken up, a permit or a place that was given before.
//!
//! Between the choice and here a request waits for a connection, and words of endpoints come meanwhile.

use crate::{
    balance::{load::EndpointKey, readiness::Readiness},
    gateway::{protocol::Protocol, staleness::Standing as Known, state::Gateway},
};

/// Why a request was not sent: its endpoint leaves or has left.
pub const ENDPOINT_LEFT: &str = "endpoint_left";
/// Why a request was not sent: its endpoint's data centre was evacuated since it was chosen.
pub const ENDPOINT_EVACUATED: &str = "endpoint_evacuated";
/// Why a request was not sent: its endpoint asked this instance for rest since it was chosen.
pub const ENDPOINT_RESTS: &str = "endpoint_rests";

impl<P: Protocol> Gateway<P> {
    /// Looks whether a request may be sent to an endpoint that was chosen for it some time ago.
    ///
    /// # Errors
    /// Why not, as a fixed word; it goes elsewhere.
    pub fn check_gate(&self, key: EndpointKey) -> Result<(), &'static str> {
        if self.endpoints_standing() == Known::Asking {
            // This process stood still: the endpoint may have left since.
            return Err(ENDPOINT_LEFT);
        }
        if self.evacuations_standing() == Known::Asking {
            return Err(ENDPOINT_EVACUATED);
        }
        let now_us = self.clock.now_us();
        match self.balancer().readiness(now_us, key) {
            Readiness::Leaving => Err(ENDPOINT_LEFT),
            Readiness::Evacuated => Err(ENDPOINT_EVACUATED),
            Readiness::BackoffUntil(_) => Err(ENDPOINT_RESTS),
            // Whoever chose it has a permit, if one was needed then.
            Readiness::Ready | Readiness::NeedsPermit => Ok(()),
        }
    }
}
