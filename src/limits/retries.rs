//! A budget for sending requests to a second endpoint, shared by all instances without a word
//! between them.
//!
//! Over a sliding window a service may get `ratio` retries a request and `slack` more. Each
//! instance spends at most `ratio` of its own requests and its share of the slack, so that the sum
//! over all stays within the whole whatever they know of each other.

use std::collections::{HashMap, VecDeque};

use crate::prelude::{Micros, Name};

/// Parts that a window is counted in.
const PARTS: u64 = 20;
/// The share of the budget that is spent: restarts of instances forget what was spent before.
const SPENT_SHARE: f64 = 0.6;

/// The bounds on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries a request.
    pub ratio: f64,
    /// Retries on top of that in a window, over all instances.
    pub slack: f64,
    /// Length of the window.
    pub window_us: Micros,
}

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Counts requests and retries by service.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    /// This instance's place among those that share the slack.
    place: usize,
    services: HashMap<Name, VecDeque<Part>>,
}

impl RetryBudget {
    /// Starts with nothing counted.
    pub fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            place: 0,
            services: HashMap::new(),
        }
    }

    /// Replaces the bounds; what was counted stays.
    pub fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Sets this instance's place among those that share the slack.
    pub fn set_position(&mut self, place: usize) {
        self.place = place;
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, now_us: Micros, service: &Name) {
        self.part(now_us, service).requests += 1;
    }

    /// Takes one retry for a service, if `instances` sharing the slack leave one.
    pub fn try_take(&mut self, now_us: Micros, service: &Name, instances: usize) -> bool {
        let allowed = self.remaining(now_us, service, instances) >= 1.0;
        if allowed {
            self.part(now_us, service).retries += 1;
        }
        allowed
    }

    /// Returns how many retries are left for a service.
    pub fn remaining(&self, now_us: Micros, service: &Name, instances: usize) -> f64 {
        let oldest = self.index(now_us).saturating_sub(PARTS);
        let parts = self.services.get(service).into_iter().flatten();
        let recent = parts.filter(|p| p.index > oldest);
        let (requests, retries) = recent.fold((0, 0), |(requests, retries), part| {
            (requests + part.requests, retries + part.retries)
        });
        let of_requests = self.bounds.ratio * f64::from(requests) * SPENT_SHARE;
        of_requests + self.slack_share(instances) - f64::from(retries)
    }

    /// Returns this instance's share of the slack, in whole retries: in a large group a share is less than one, and
    /// some have one so that the others have none.
    fn slack_share(&self, instances: usize) -> f64 {
        let each = self.bounds.slack * SPENT_SHARE / instances.max(1) as f64;
        let up_to = |place: usize| (each * place as f64).floor();
        up_to(self.place + 1) - up_to(self.place)
    }

    fn index(&self, now_us: Micros) -> u64 {
        now_us / (self.bounds.window_us / PARTS).max(1) + PARTS
    }

    fn part(&mut self, now_us: Micros, service: &Name) -> &mut Part {
        let index = self.index(now_us);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let parts = self.services.entry(service.clone()).or_default();
        while parts.front().is_some_and(|p| p.index + PARTS <= index) {
            parts.pop_front();
        }
        if parts.back().is_none_or(|p| p.index != index) {
            parts.push_back(Part {
                index,
                ..Part::default()
            });
        }
        let last = parts.len() - 1;
        &mut parts[last]
    }
}
