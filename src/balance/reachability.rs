//! Whether this instance reaches the endpoints of a service at all: an endpoint that is down fails the connects to it
//! alone, while an instance that is cut off fails to connect to every endpoint.
//!
//! Uses no clock or socket, so that tests can drive it step by step.

use std::collections::HashMap;

use crate::{balance::load::EndpointKey, prelude::Micros};

/// Connects to this many endpoints, or to all that accept requests, have to fail in a row, without one that succeeds,
/// before the instance counts as cut off from the service. One or two endpoints are often down together.
pub const SUSPICIOUS_ENDPOINTS: usize = 3;
/// A failed connect says nothing after this time. It is longer than the time for which an endpoint is avoided after a
/// failure, so that failures at low load add up.
const FAILURE_TTL_US: Micros = 6_000_000;

/// How this instance reaches the endpoints of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// Connects succeed, or too few have failed for a verdict.
    #[default]
    Reached,
    /// All recent connects failed, to several endpoints: these are down, or this instance is cut off.
    Unreachable,
    /// This instance is cut off: its connects fail, and another instance reached an endpoint for it.
    CutOff,
}

/// A change of how this instance reaches the endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachChange {
    /// The state from now on.
    pub reach: Reach,
    /// Endpoints to which connects have failed in a row.
    pub failed_endpoints: usize,
    /// Time since the first of these failures.
    pub failing_us: Micros,
}

/// The outcomes of this instance's recent connects to the endpoints of a service.
#[derive(Debug, Default)]
pub struct Reachability {
    reach: Reach,
    /// Endpoints to which connects failed since one last succeeded, and when they failed last.
    failed_us: HashMap<EndpointKey, Micros>,
    first_failure_us: Micros,
    connected_us: Option<Micros>,
}

impl Reachability {
    /// Returns how this instance reaches the endpoints.
    pub fn reach(&self) -> Reach {
        self.reach
    }

    /// Returns the number of endpoints to which connects have failed in a row.
    pub fn failed_endpoints(&self) -> usize {
        self.failed_us.len()
    }

    /// Notes that a connect succeeded.
    pub fn note_connected(&mut self, now_us: Micros) -> Option<ReachChange> {
        self.connected_us = Some(now_us);
        let change = self.change_to(now_us, Reach::Reached);
        self.failed_us.clear();
        change
    }

    /// Notes that another instance reached an endpoint for this one.
    pub fn note_tunnelled(&mut self, now_us: Micros) -> Option<ReachChange> {
        if self.reach == Reach::Reached {
            return None;
        }
        self.change_to(now_us, Reach::CutOff)
    }

    /// Returns whether a connect has succeeded since a time.
    pub fn has_connected_since(&self, at_us: Micros) -> bool {
        self.connected_us
            .is_some_and(|connected_us| connected_us >= at_us)
    }

    /// Notes that a connect failed which began at `began_us`; it says nothing if another one succeeded since. `ready` is
    /// the number of the service's endpoints that accept requests.
    pub fn note_failed(
        &mut self,
        now_us: Micros,
        began_us: Micros,
        endpoint: EndpointKey,
        ready: usize,
    ) -> Option<ReachChange> {
        if self.connected_us.is_some_and(|at_us| began_us < at_us) {
            return None;
        }
        self.failed_us
            .retain(|_, at_us| now_us.saturating_sub(*at_us) < FAILURE_TTL_US);
        if self.failed_us.is_empty() {
            self.first_failure_us = now_us;
        }
        self.failed_us.insert(endpoint, now_us);
        if self.reach != Reach::Reached || self.failed_us.len() < SUSPICIOUS_ENDPOINTS.min(ready) {
            return None;
        }
        self.change_to(now_us, Reach::Unreachable)
    }

    fn change_to(&mut self, now_us: Micros, reach: Reach) -> Option<ReachChange> {
        if std::mem::replace(&mut self.reach, reach) == reach {
            return None;
        }
        Some(ReachChange {
            reach,
            failed_endpoints: self.failed_us.len(),
            failing_us: now_us.saturating_sub(self.first_failure_us),
        })
    }
}
