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
    balance::balancer::retry_delay_ms,
    prelude::{Micros, Name},
};

/// The least share of a route's callers that must say the same for it to be the usual: where
/// everybody waits for another time, nothing follows from one that is short. In a surge up to a half
/// of the callers are back for the second time.
const MIN_USUAL_SHARE: f64 = 0.3;
/// The usual is what differs by less than this share from the longest.
const USUAL_TOLERANCE: f64 = 0.02;
/// Gain of one caller in the share, which stands for the latest fifty or so.
const GAIN: f64 = 0.02;
/// Routes that are known at most; with more, all are learned anew.
const MOST_ROUTES: usize = 4_096;

/// First tries of a route that are remembered, the latest.
const FIRST_TRIES: usize = 64;
/// Fewer than this say little of where their times end.
const MIN_FIRST_TRIES: usize = 4;
/// At most this share of first tries may say so little that one of them would be taken for one that is
/// back; else callers differ too much for anything to follow. Some that others refused are among them.
const MAX_MISTAKEN_SHARE: f64 = 0.1;

/// What callers of one route say at their first try.
#[derive(Debug, Default)]
struct FirstTries {
    latest_us: VecDeque<Micros>,
    /// Whoever says less is back; 0 if that cannot be told.
    least_us: Micros,
    /// What the one in the middle says.
    median_us: Micros,
}

impl FirstTries {
    fn learn(&mut self, patience_us: Micros) {
        if self.latest_us.len() >= FIRST_TRIES {
            self.latest_us.pop_front();
        }
        self.latest_us.push_back(patience_us);
        let mut sorted: Vec<Micros> = self.latest_us.iter().copied().collect();
        sorted.sort_unstable();
        // The longest may be one that nobody else is like.
        let Some(longest_us) = sorted.len().checked_sub(2).map(|at| sorted[at]) else {
            return;
        };
        let away_us = u64::from(retry_delay_ms(longest_us)) * 1_000;
        let least_us = longest_us.saturating_sub(away_us);
        let mistaken = sorted.iter().take_while(|us| **us < least_us).count();
        let is_known = sorted.len() >= MIN_FIRST_TRIES
            && mistaken as f64 <= sorted.len() as f64 * MAX_MISTAKEN_SHARE;
        self.least_us = if is_known { least_us } else { 0 };
        self.median_us = sorted[sorted.len() / 2];
    }

    fn waited_us(&self, patience_us: Micros) -> Micros {
        if patience_us >= self.least_us {
            return 0;
        }
        self.median_us.saturating_sub(patience_us)
    }
}

/// What the callers of one route say.
#[derive(Debug)]
struct Usual {
    patience_us: Micros,
    /// The share of callers that say so.
    share: f64,
    first_tries: FirstTries,
}

impl Usual {
    fn is_like(&self, patience_us: Micros) -> bool {
        patience_us as f64 >= self.patience_us as f64 * (1.0 - USUAL_TOLERANCE)
    }

    fn learn(&mut self, patience_us: Micros) {
        let seen = if self.is_like(patience_us) { 1.0 } else { 0.0 };
        self.share += (seen - self.share) * GAIN;
        // A longer one replaces it, and has to be said by others too before anything follows from it;
        // one that nobody else says gives way.
        if patience_us > self.patience_us || self.share < GAIN {
            self.patience_us = patience_us;
            self.share = MIN_USUAL_SHARE;
        }
    }
}

/// How long the callers of each route usually wait.
#[derive(Debug, Default)]
pub struct UsualPatience {
    routes: HashMap<Name, Usual>,
}

impl UsualPatience {
    /// Learns that a caller of a route waits for `patience_us` from now; returns for how long it has
    /// waited already, 0 if that cannot be told. `is_calm` says that nobody was refused within that time,
    /// so that it comes for the first time.
    pub fn waited_us(&mut self, route: &Name, patience_us: Micros, is_calm: bool) -> Micros {
        if self.routes.len() >= MOST_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let usual = self.routes.entry(route.clone()).or_insert(Usual {
            patience_us,
            share: MIN_USUAL_SHARE,
            first_tries: FirstTries::default(),
        });
        usual.learn(patience_us);
        if is_calm {
            usual.first_tries.learn(patience_us);
        }
        if usual.is_like(patience_us) {
            return 0;
        }
        if usual.share < MIN_USUAL_SHARE {
            return usual.first_tries.waited_us(patience_us);
        }
        usual.patience_us.saturating_sub(patience_us)
    }
}
