//! For how long a caller has waited before this try.
//!
//! A try bears an id of its own and does not say that it is a second one. But callers say how long
//! they will still wait: one that was refused and comes back says less than is usual on its route.
//! In a surge, some 390 of 564 late answers of one kind went to such callers (6 instances, from logs).
//! Whom they give way to is decided in [`crate::balance::balancer`].

use std::collections::HashMap;

use crate::prelude::{Micros, Name};

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

/// What the callers of one route say.
#[derive(Clone, Copy, Debug)]
struct Usual {
    patience_us: Micros,
    /// The share of callers that say so.
    share: f64,
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
    /// waited already, 0 if that cannot be told.
    pub fn waited_us(&mut self, route: &Name, patience_us: Micros) -> Micros {
        if self.routes.len() >= MOST_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let usual = self.routes.entry(route.clone()).or_insert(Usual {
            patience_us,
            share: MIN_USUAL_SHARE,
        });
        usual.learn(patience_us);
        if usual.share < MIN_USUAL_SHARE || usual.is_like(patience_us) {
            return 0;
        }
        usual.patience_us.saturating_sub(patience_us)
    }
}
