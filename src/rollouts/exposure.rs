//! The share of a service's requests that endpoints of the target version get before the version is judged.
//!
//! Each instance limits its own requests. Whatever it sent to the target version it has earned before by requests to the
//! other versions, so the sum over any instances, restarts and losses is within the share without a message between
//! them.

use super::{Stage, VersionGroup};

/// Part of the share that is used. The rest is for requests that were sent to the other versions and never reached an
/// endpoint, because they count for the credit and not for the service's total.
/// It also keeps a surge's canary below the load of the first step of the shift.
const USED_SHARE: f64 = 0.87;
/// Credit kept at most, in requests, so that an instance whose requests to the target version had no free slot for a
/// while does not send many of them at once.
const MAX_CREDIT_REQUESTS: f64 = 2.0;

/// Routes whose requests to the target version are counted.
const MAX_ROUTES: usize = 16;

/// The credit of one instance for requests to the target version of one order.
///
/// In [`Stage::Canary`] it is spent on all routes alike, as far as they have requests: a version may be bad on one route
/// only, and a rare one would get too few requests to show that.
#[derive(Clone, Debug, PartialEq)]
pub struct ExposureCredit {
    canary_share: f64,
    is_canary: bool,
    /// Requests to the target version by hash of the route.
    by_route: Vec<(u32, u32)>,
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
            is_canary: true,
            by_route: Vec::new(),
            earned: earned_per_request(canary_share),
            requests: 0.0,
        }
    }

    /// Uses the share of a stage from now on. To be called when the stage changes.
    pub fn follow(&mut self, stage: Stage) {
        self.is_canary = stage == Stage::Canary;
        self.earned = earned_per_request(stage.target_share(self.canary_share));
    }

    /// Records that a request on a route, given by its hash, was sent to an endpoint of a group, also when that is a
    /// second attempt.
    pub fn note_sent(&mut self, group: VersionGroup, route: u32) {
        let to_target = match group {
            VersionGroup::Others => {
                self.requests = (self.requests + self.earned).min(MAX_CREDIT_REQUESTS);
                0
            }
            VersionGroup::Target => {
                self.requests -= 1.0;
                1
            }
        };
        let known = self.by_route.iter_mut().find(|(known, _)| *known == route);
        if let Some((_, sent)) = known {
            *sent = sent.saturating_add(to_target);
        } else if self.by_route.len() < MAX_ROUTES {
            self.by_route.push((route, to_target));
        }
    }

    /// Returns whether the next request may be sent to the target version if it is one on this route. A route that is
    /// ahead of others waits until the credit is full.
    pub fn allows_target(&self, route: u32) -> bool {
        let is_full = self.requests >= MAX_CREDIT_REQUESTS;
        is_full || (self.requests >= 1.0 && !(self.is_canary && self.is_ahead(route)))
    }

    fn is_ahead(&self, route: u32) -> bool {
        let own = self.by_route.iter().find(|(known, _)| *known == route);
        let own = own.map_or(0, |(_, sent)| *sent);
        self.by_route.iter().any(|(_, sent)| *sent < own)
    }
}

/// Returns the credit for each request to the other versions at which the target version gets `share` of all.
fn earned_per_request(share: f64) -> f64 {
    if share >= 1.0 {
        return MAX_CREDIT_REQUESTS;
    }
    share / (1.0 - share)
}
