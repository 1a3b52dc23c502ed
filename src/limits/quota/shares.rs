//! The shares of one partition that are leased to a quota server.

use std::collections::HashMap;

use crate::prelude::{Incarnation, Micros};

#[derive(Clone, Copy, Debug)]
struct ShareLease {
    share: f64,
    until_us: Micros,
}

/// Who leases what, and how much has come of it.
#[derive(Debug, Default)]
pub(super) struct Shares {
    by_lessor: HashMap<Incarnation, ShareLease>,
    /// The sum of all shares leased.
    sum: f64,
    /// The total over time, in seconds of a whole limit.
    accrued_s: f64,
    advanced_to_us: Micros,
    /// No lease ends before this.
    earliest_expiry_us: Micros,
}

impl Shares {
    /// Returns the share of a limit that is leased: 1 if all instances lease theirs.
    pub(super) fn total(&self) -> f64 {
        // Lessors that believe in different numbers of instances may lease more than all.
        self.sum.clamp(0.0, 1.0)
    }

    /// Returns the total over time since the start, in seconds of a whole limit.
    pub(super) fn accrued_s(&self) -> f64 {
        self.accrued_s
    }

    /// Returns how many lease their share.
    pub(super) fn lessors(&self) -> usize {
        self.by_lessor.len()
    }

    /// Goes on to `now_us`; true if leases ended.
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

    /// Takes a lease; call [`Self::advance`] before. True if the total fell.
    pub(super) fn lease(&mut self, lessor: Incarnation, share: f64, until_us: Micros) -> bool {
        if until_us <= self.advanced_to_us {
            return false;
        }
        let before = self.total();
        let leased = ShareLease { share, until_us };
        let replaced = self.by_lessor.insert(lessor, leased);
        // What a sum gains by rounding goes when leases end.
        self.sum += share - replaced.map_or(0.0, |old| old.share);
        self.earliest_expiry_us = match self.by_lessor.len() {
            1 => until_us,
            _ => self.earliest_expiry_us.min(until_us),
        };
        self.total() < before
    }

    /// Adds what came of a share while nobody used it.
    pub(super) fn add_idle(&mut self, share: f64, idle_us: Micros) {
        self.accrued_s += share * idle_us as f64 / 1e6;
    }

    /// Ends a lease before its time; true if there was one.
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
