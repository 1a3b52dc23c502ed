//! For how long a caller has waited before this try.
//!
//! A try bears an id of its own and does not say that it is a second one. But callers say how long
//! they will still wait: one that was refused and comes back says less than is usual on its route.
//! In a surge, some 390 of 564 late answers of one kind went to such callers (6 instances, from logs).
//! Whom they give way to is decided in [`crate::balance::balancer`].
//!
//! Where all say the same, whoever says less is back. Where callers differ, what they say while nobody is
//! refused is that of first tries; one that is back says less than any of these, since it was told to stay
//! away for a part of its time.

use std::collections::{HashMap, VecDeque};

use crate::{
    balance::balancer::come_back_ms,
    prelude::{Micros, Name},
};

/// The least share of a route's callers that must say the same for it to be the usual: where
/// everybody waits for another time, nothing follows from one that is short. In a surge up to a half
/// of the callers are back for the second time.
const MIN_TYPICAL_SHARE: f64 = 0.3;
/// The usual is what differs by less than this share from the longest.
const TYPICAL_TOLERANCE: f64 = 0.02;
/// Gain of one caller in the share, which stands for the latest fifty or so.
const GAIN: f64 = 0.02;
/// Routes that are known at most; with more, all are learned anew.
const MAX_ROUTES: usize = 4_096;

/// First tries of a route that are remembered, the latest.
const MAX_FIRST_ATTEMPTS: usize = 64;
/// Fewer than this say little of where their times end.
const MIN_FIRST_ATTEMPTS: usize = 4;
/// At most this share of first tries may say so little that one of them would be taken for one that is
/// back; else callers differ too much for anything to follow. Some that others refused are among them.
const MAX_MISCLASSIFIED_SHARE: f64 = 0.1;

/// What callers of one route say at their first try.
#[derive(Debug, Default)]
struct FirstAttempts {
    latest_us: VecDeque<Micros>,
    /// Whoever says less is back; 0 if that cannot be told.
    min_first_us: Micros,
    /// What the one in the middle says.
    median_us: Micros,
}

impl FirstAttempts {
    fn learn(&mut self, timeout_us: Micros) {
        if self.latest_us.len() >= MAX_FIRST_ATTEMPTS {
            self.latest_us.pop_front();
        }
        self.latest_us.push_back(timeout_us);
        let mut sorted: Vec<Micros> = self.latest_us.iter().copied().collect();
        sorted.sort_unstable();
        // The longest may be one that nobody else is like.
        let Some(longest_us) = sorted.len().checked_sub(2).map(|at| sorted[at]) else {
            return;
        };
        let retry_after_us = u64::from(come_back_ms(longest_us)) * 1_000;
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

/// What the callers of one route say.
#[derive(Debug)]
struct RouteTimeouts {
    timeout_us: Micros,
    /// The share of callers that say so.
    share: f64,
    first_attempts: FirstAttempts,
}

impl RouteTimeouts {
    fn is_typical(&self, timeout_us: Micros) -> bool {
        timeout_us as f64 >= self.timeout_us as f64 * (1.0 - TYPICAL_TOLERANCE)
    }

    fn learn(&mut self, timeout_us: Micros) {
        let hit = if self.is_typical(timeout_us) {
            1.0
        } else {
            0.0
        };
        self.share += (hit - self.share) * GAIN;
        // A longer one replaces it, and has to be said by others too before anything follows from it;
        // one that nobody else says gives way.
        if timeout_us > self.timeout_us || self.share < GAIN {
            self.timeout_us = timeout_us;
            self.share = MIN_TYPICAL_SHARE;
        }
    }
}

/// How long the callers of each route usually wait.
#[derive(Debug, Default)]
pub struct TypicalTimeouts {
    routes: HashMap<Name, RouteTimeouts>,
}

impl TypicalTimeouts {
    /// Learns that a caller of a route waits for `timeout_us` from now; returns for how long it has
    /// waited already, 0 if that cannot be told. `no_recent_refusals` says that nobody was refused within that time,
    /// so that it comes for the first time.
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
        timeouts.learn(timeout_us);
        if no_recent_refusals {
            timeouts.first_attempts.learn(timeout_us);
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
