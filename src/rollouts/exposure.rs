//! The share of a service's requests that endpoints of the target version get before the version is judged.
//!
//! Each instance limits its own requests. Whatever it sent to the target version it has earned before by requests to the
//! other versions, so the sum over any instances, restarts and losses is within the share without a message between
//! them.

use super::{Stage, VersionGroup};

/// Part of the share that is used. The rest is for requests that were sent to the other versions and never reached an
/// endpoint, because they count for the credit and not for the service's total.
const USED_SHARE: f64 = 0.9;
/// Credit kept at most, in requests, so that an instance whose requests to the target version had no free slot for a
/// while does not send many of them at once.
const MAX_CREDIT_REQUESTS: f64 = 2.0;

/// The credit of one instance for requests to the target version of one order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureCredit {
    canary_share: f64,
    /// Credit for a request to the other versions.
    earned: f64,
    requests: f64,
}

impl ExposureCredit {
    /// Creates an empty credit for a share of all requests of the service, from 0 to 1.
    pub fn new(share: f64) -> Self {
        let canary_share = if share.is_finite() {
            share.clamp(0.0, 1.0) * USED_SHARE
        } else {
            0.0
        };
        Self {
            canary_share,
            earned: earned_per_request(canary_share),
            requests: 0.0,
        }
    }

    /// Uses the share of a stage from now on. To be called when the stage changes.
    pub fn follow(&mut self, stage: Stage) {
        self.earned = earned_per_request(stage.target_share(self.canary_share));
    }

    /// Records that a request of the service was sent to an endpoint of a group, also when that is a second attempt.
    pub fn note_sent(&mut self, group: VersionGroup) {
        match group {
            VersionGroup::Others => {
                self.requests = (self.requests + self.earned).min(MAX_CREDIT_REQUESTS);
            }
            VersionGroup::Target => self.requests -= 1.0,
        }
    }

    /// Returns whether the next request may be sent to the target version.
    pub fn allows_target(&self) -> bool {
        self.requests >= 1.0
    }
}

/// Returns the credit for each request to the other versions at which the target version gets `share` of all.
fn earned_per_request(share: f64) -> f64 {
    if share >= 1.0 {
        return MAX_CREDIT_REQUESTS;
    }
    share / (1.0 - share)
}
