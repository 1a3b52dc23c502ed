//! Estimates how long a caller has already waited in earlier attempts at the same request.
//!
//! Every attempt has its own request id and is not marked as a retry. But callers state their remaining timeout, and a
//! retry after a refusal states less than is typical for its route. In a surge over 6 instances, some 390 of 564 late
//! responses of one kind went to such retries. [`crate::balance::balancer`] decides on their priority.
//!
//! Where all callers of a route use the same timeout, a shorter one marks a retry. Where timeouts differ, those seen
//! while nobody is refused are taken as first attempts; a retry states less than any of them, as its caller backed
//! off for a part of its timeout.

use std::collections::{HashMap, VecDeque};

use crate::{
    balance::balancer::retry_delay_ms,
    prelude::{Micros, Name},
};

/// The smallest share of a route's callers that must state the same timeout for it to be typical. Where every caller
/// has another timeout, a short one means nothing. In a surge up to half of the callers are on their second attempt.
const MIN_TYPICAL_SHARE: f64 = 0.3;
/// A timeout is typical if it is below the typical one by no more than this share.
const TYPICAL_TOLERANCE: f64 = 0.02;
/// Weight of one caller in the moving average of the share, which covers about the latest fifty.
const GAIN: f64 = 0.02;
/// Most routes that are tracked; one more discards them all, and learning starts again.
const MAX_ROUTES: usize = 4_096;

/// How many of the latest first attempts of a route are kept.
const MAX_FIRST_ATTEMPTS: usize = 64;
/// With fewer first attempts than this, the range of their timeouts is not known well enough.
const MIN_FIRST_ATTEMPTS: usize = 4;
/// At most this share of first attempts may have timeouts so short that they would pass for retries. With more, the
/// timeouts differ too much to recognise retries. Some of them are retries of requests that other instances refused.
const MAX_MISCLASSIFIED_SHARE: f64 = 0.1;

/// Timeouts that callers of one route state in first attempts.
#[derive(Debug, Default)]
struct FirstAttempts {
    latest_us: VecDeque<Micros>,
    /// A shorter timeout marks a retry; 0 if retries cannot be recognised.
    min_first_us: Micros,
    median_us: Micros,
}

impl FirstAttempts {
    fn record(&mut self, timeout_us: Micros) {
        if self.latest_us.len() >= MAX_FIRST_ATTEMPTS {
            self.latest_us.pop_front();
        }
        self.latest_us.push_back(timeout_us);
        let mut sorted: Vec<Micros> = self.latest_us.iter().copied().collect();
        sorted.sort_unstable();
        // The longest may be an outlier, so the second longest is used.
        let Some(longest_us) = sorted.len().checked_sub(2).map(|at| sorted[at]) else {
            return;
        };
        let retry_after_us = u64::from(retry_delay_ms(longest_us)) * 1_000;
        let min_first_us = longest_us.saturating_sub(retry_after_us);
        let misclassified = sorted.iter().take_while(|us| **us < min_first_us).count();
        let is_separable = sorted.len() >= MIN_FIRST_ATTEMPTS
            && misclassified as f64 <= sorted.len() as f64 * MAX_MISCLASSIFIED_SHARE;
        self.min_first_us = if is_separable { min_first_us } else { 0 };
        self.median_us = sorted[sorted.len() / 2];
    }

    fn waited_us(&self, timeout_us: Micros) -> Micros {
        if timeout_us >= self.min_first_us {
            return 0;
        }
        self.median_us.saturating_sub(timeout_us)
    }
}

/// Timeouts that callers of one route state.
#[derive(Debug)]
struct RouteTimeouts {
    /// The typical timeout, the longest that enough callers state.
    timeout_us: Micros,
    /// Moving average of the share of callers that state it.
    share: f64,
    first_attempts: FirstAttempts,
}

impl RouteTimeouts {
    fn is_typical(&self, timeout_us: Micros) -> bool {
        timeout_us as f64 >= self.timeout_us as f64 * (1.0 - TYPICAL_TOLERANCE)
    }

    fn record(&mut self, timeout_us: Micros) {
        let hit = if self.is_typical(timeout_us) {
            1.0
        } else {
            0.0
        };
        self.share += (hit - self.share) * GAIN;
        // A longer timeout replaces the typical one. Unless other callers state it as well, its share falls below the
        // minimum, so that it marks no retries, and in the end it is replaced itself.
        if timeout_us > self.timeout_us || self.share < GAIN {
            self.timeout_us = timeout_us;
            self.share = MIN_TYPICAL_SHARE;
        }
    }
}

/// The timeouts that callers of each route typically state.
#[derive(Debug, Default)]
pub struct TypicalTimeouts {
    routes: HashMap<Name, RouteTimeouts>,
}

impl TypicalTimeouts {
    /// Records the remaining timeout of a caller of a route, and returns the estimate of how long it has already
    /// waited, in microseconds; 0 if unknown. `no_recent_refusals` means that nobody was refused within the last
    /// `timeout_us`, so that this is a first attempt.
    pub fn waited_us(
        &mut self,
        route: &Name,
        timeout_us: Micros,
        no_recent_refusals: bool,
    ) -> Micros {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let timeouts = self.routes.entry(route.clone()).or_insert(RouteTimeouts {
            timeout_us,
            share: MIN_TYPICAL_SHARE,
            first_attempts: FirstAttempts::default(),
        });
        timeouts.record(timeout_us);
        if no_recent_refusals {
            timeouts.first_attempts.record(timeout_us);
        }
        if timeouts.is_typical(timeout_us) {
            return 0;
        }
        if timeouts.share < MIN_TYPICAL_SHARE {
            return timeouts.first_attempts.waited_us(timeout_us);
        }
        timeouts.timeout_us.saturating_sub(timeout_us)
    }
}
