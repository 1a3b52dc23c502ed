//! The shares that instances have leased to a quota server in one partition.

use std::collections::HashMap;

use crate::prelude::{Incarnation, Micros};

/// From this total on, the leased shares count as complete: the shares of single instances that start anew may be
/// missing.
const COMPLETE_TOTAL: f64 = 0.9;
/// Lessors see a change of servers at different times, and an account needs time to accrue after they have all moved
/// their shares.
const MOVE_US: Micros = 600_000;

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
    /// When the total last became incomplete, from complete or from nothing.
    incomplete_since_us: Option<Micros>,
}

impl Shares {
    /// Returns the fraction of a limit that is leased: 1 if all instances lease their shares.
    pub(super) fn total(&self) -> f64 {
        // Lessors that count different numbers of instances may lease more than the whole in sum.
        self.sum.clamp(0.0, 1.0)
    }

    /// Returns whether lessors are likely to be moving their shares to or from this server.
    pub(super) fn are_moving(&self, now_us: Micros) -> bool {
        let since_us = self.incomplete_since_us;
        since_us.is_some_and(|since_us| now_us.saturating_sub(since_us) < MOVE_US)
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
            let before_total = self.total();
            let before = self.by_lessor.len();
            let advanced_to_us = self.advanced_to_us;
            self.by_lessor
                .retain(|_, leased| leased.until_us > advanced_to_us);
            has_ended |= self.by_lessor.len() < before;
            self.recompute();
            self.note_change(before_total);
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
        self.note_change(before);
        self.total() < before
    }

    /// Credits what a share accrued while it was not used.
    pub(super) fn add_idle(&mut self, share: f64, idle_us: Micros) {
        self.accrued_s += share * idle_us as f64 / 1e6;
    }

    /// Ends a lease before it expires; returns whether there was one.
    pub(super) fn release(&mut self, lessor: Incarnation) -> bool {
        let before = self.total();
        let was_leased = self.by_lessor.remove(&lessor).is_some();
        if was_leased {
            self.recompute();
            self.note_change(before);
        }
        was_leased
    }

    fn accrue(&mut self, now_us: Micros) {
        let since_us = now_us.saturating_sub(self.advanced_to_us);
        self.accrued_s += self.total() * since_us as f64 / 1e6;
        self.advanced_to_us = self.advanced_to_us.max(now_us);
    }

    /// Records whether the total, which was `before`, has become incomplete.
    fn note_change(&mut self, before: f64) {
        let was_settled = before <= 0.0 || before >= COMPLETE_TOTAL;
        if was_settled && (0.0..COMPLETE_TOTAL).contains(&self.total()) {
            self.incomplete_since_us = Some(self.advanced_to_us);
        }
    }

    fn recompute(&mut self) {
        self.sum = self.by_lessor.values().map(|l| l.share).sum();
        let expiries = self.by_lessor.values().map(|l| l.until_us);
        self.earliest_expiry_us = expiries.min().unwrap_or(Micros::MAX);
    }
}
