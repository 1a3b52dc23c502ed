//! The shares that instances have leased to a quota server in one partition.

use std::collections::HashMap;

use crate::prelude::{Incarnation, Micros};

#[derive(Clone, Copy, Debug)]
struct ShareLease {
    share: f64,
    until_us: Micros,
}

/// The leased shares by lessor, and their total accumulated over time.
#[derive(Debug, Default)]
pub(super) struct Shares {
    by_lessor: HashMap<Incarnation, ShareLease>,
    /// Sum of all leased shares.
    sum: f64,
    /// Integral of the total over time, in seconds of the full limit rate.
    accrued_s: f64,
    advanced_to_us: Micros,
    /// No lease expires before this time.
    earliest_expiry_us: Micros,
}

impl Shares {
    /// Returns the fraction of a limit that is leased: 1 if all instances lease their shares.
    pub(super) fn total(&self) -> f64 {
        // Lessors that count different numbers of instances may lease more than the whole in sum.
        self.sum.clamp(0.0, 1.0)
    }

    /// Returns the integral of the total since the start, in seconds of the full limit rate.
    pub(super) fn accrued_s(&self) -> f64 {
        self.accrued_s
    }

    /// Returns the share that an instance leases; 0 if it leases none.
    pub(super) fn share_of(&self, lessor: Incarnation) -> f64 {
        self.by_lessor.get(&lessor).map_or(0.0, |l| l.share)
    }

    /// Returns the number of instances that lease their shares.
    pub(super) fn lessors(&self) -> usize {
        self.by_lessor.len()
    }

    /// Advances to `now_us` and ends expired leases; returns whether there were any.
    pub(super) fn advance(&mut self, now_us: Micros) -> bool {
        let mut has_ended = false;
        while self.earliest_expiry_us <= now_us && !self.by_lessor.is_empty() {
            self.accrue(self.earliest_expiry_us);
            let before = self.by_lessor.len();
            let advanced_to_us = self.advanced_to_us;
            self.by_lessor
                .retain(|_, leased| leased.until_us > advanced_to_us);
            has_ended |= self.by_lessor.len() < before;
            self.recompute();
        }
        self.accrue(now_us);
        has_ended
    }

    /// Adds or renews a lease, after [`Self::advance`] has been called; returns whether the total fell.
    pub(super) fn lease(&mut self, lessor: Incarnation, share: f64, until_us: Micros) -> bool {
        if until_us <= self.advanced_to_us {
            return false;
        }
        let before = self.total();
        let leased = ShareLease { share, until_us };
        let replaced = self.by_lessor.insert(lessor, leased);
        // Rounding errors of the running sum are removed when it is recomputed as leases end.
        self.sum += share - replaced.map_or(0.0, |old| old.share);
        self.earliest_expiry_us = match self.by_lessor.len() {
            1 => until_us,
            _ => self.earliest_expiry_us.min(until_us),
        };
        self.total() < before
    }

    /// Credits what a share accrued while it was not used.
    pub(super) fn add_idle(&mut self, share: f64, idle_us: Micros) {
        self.accrued_s += share * idle_us as f64 / 1e6;
    }

    /// Ends a lease before it expires; returns whether there was one.
    pub(super) fn release(&mut self, lessor: Incarnation) -> bool {
        let was_leased = self.by_lessor.remove(&lessor).is_some();
        if was_leased {
            self.recompute();
        }
        was_leased
    }

    fn accrue(&mut self, now_us: Micros) {
        let since_us = now_us.saturating_sub(self.advanced_to_us);
        self.accrued_s += self.total() * since_us as f64 / 1e6;
        self.advanced_to_us = self.advanced_to_us.max(now_us);
    }

    fn recompute(&mut self) {
        self.sum = self.by_lessor.values().map(|l| l.share).sum();
        let expiries = self.by_lessor.values().map(|l| l.until_us);
        self.earliest_expiry_us = expiries.min().unwrap_or(Micros::MAX);
    }
}
