//! A retry budget that all instances share without communication.
//!
//! Over a sliding window a service may get `ratio` retries per request and `slack` more. Each instance spends at most
//! `ratio` of its own requests and its share of the slack, so that the sum over all instances stays within the budget
//! whatever they know of each other.

use std::collections::{HashMap, VecDeque};

use crate::prelude::{Micros, Name};

/// Buckets that a window is divided into.
const BUCKETS: u64 = 20;
/// The share of the budget that is spent. The remainder covers restarts, which lose the counts of what was spent.
const USABLE_SHARE: f64 = 0.6;

/// The limits on retries to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries in a window, over all instances.
    pub slack: f64,
    /// Length of the sliding window.
    pub window_us: Micros,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Counts requests and retries of each service.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    /// This instance's position among those that share the slack.
    position: usize,
    services: HashMap<Name, VecDeque<Bucket>>,
}

impl RetryBudget {
    /// Creates a budget with no requests or retries counted.
    pub fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            position: 0,
            services: HashMap::new(),
        }
    }

    /// Replaces the bounds and keeps the counts.
    pub fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Sets this instance's position among those that share the slack.
    pub fn set_position(&mut self, position: usize) {
        self.position = position;
    }

    /// Counts a request for a service.
    pub fn note_request(&mut self, now_us: Micros, service: &Name) {
        self.bucket(now_us, service).requests += 1;
    }

    /// Spends one retry for a service if there is one left; `instances` share the slack. Returns whether it did.
    pub fn try_take(&mut self, now_us: Micros, service: &Name, instances: usize) -> bool {
        let allowed = self.remaining(now_us, service, instances) >= 1.0;
        if allowed {
            self.bucket(now_us, service).retries += 1;
        }
        allowed
    }

    /// Returns how many retries are left for a service when `instances` share the slack.
    pub fn remaining(&self, now_us: Micros, service: &Name, instances: usize) -> f64 {
        let (allowed, spent) = self.allowed_and_spent(now_us, service, instances);
        allowed - spent
    }

    /// Returns whether a retry is left for a service and more than half of those allowed are, so that one may be spent on
    /// what is not needed.
    pub fn has_spare(&self, now_us: Micros, service: &Name, instances: usize) -> bool {
        let (allowed, spent) = self.allowed_and_spent(now_us, service, instances);
        allowed - spent >= 1.0 && spent * 2.0 < allowed
    }

    fn allowed_and_spent(&self, now_us: Micros, service: &Name, instances: usize) -> (f64, f64) {
        let oldest = self.index(now_us).saturating_sub(BUCKETS);
        let buckets = self.services.get(service).into_iter().flatten();
        let recent = buckets.filter(|b| b.index > oldest);
        let (requests, retries) = recent.fold((0, 0), |(requests, retries), bucket| {
            (requests + bucket.requests, retries + bucket.retries)
        });
        let from_requests = self.bounds.ratio * f64::from(requests) * USABLE_SHARE;
        let allowed = from_requests + self.slack_share(instances);
        (allowed, f64::from(retries))
    }

    /// Returns this instance's share of the slack in whole retries. In a large group an equal share is less than one,
    /// so some instances get one and the others none.
    fn slack_share(&self, instances: usize) -> f64 {
        let share = self.bounds.slack * USABLE_SHARE / instances.max(1) as f64;
        let up_to = |position: usize| (share * position as f64).floor();
        up_to(self.position + 1) - up_to(self.position)
    }

    fn index(&self, now_us: Micros) -> u64 {
        now_us / (self.bounds.window_us / BUCKETS).max(1) + BUCKETS
    }

    fn bucket(&mut self, now_us: Micros, service: &Name) -> &mut Bucket {
        let index = self.index(now_us);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let buckets = self.services.entry(service.clone()).or_default();
        while buckets.front().is_some_and(|b| b.index + BUCKETS <= index) {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|b| b.index != index) {
            buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
