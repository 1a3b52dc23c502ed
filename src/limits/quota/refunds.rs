//! How much of a refund an account takes back: units that its depth would have cut off since the grant are lost.

use std::collections::VecDeque;

use crate::prelude::Micros;

/// A refund of an older grant is lost: grants are used or refunded long before.
const MAX_REFUND_AGE_US: Micros = 8_000_000;
/// Headrooms observed within this time are kept as one, which bounds their number.
const MERGED_US: Micros = 50_000;

/// The least headroom in a span of time.
#[derive(Clone, Copy, Debug)]
struct Headroom {
    from_us: Micros,
    until_us: Micros,
    units: f64,
}

/// The recent headrooms of an account, which are the gaps between its depth and its level.
///
/// Without the refunded grant the level would have been higher since then, and the depth would have cut off what
/// exceeded it. If an account took back more than that, refunded units could pile up beyond its depth.
#[derive(Debug)]
pub(super) struct RefundLimit {
    opened_us: Micros,
    headrooms: VecDeque<Headroom>,
}

impl RefundLimit {
    /// Starts for an account that is opened now; earlier grants are not known to it.
    pub(super) fn new(now_us: Micros) -> Self {
        Self {
            opened_us: now_us,
            headrooms: VecDeque::new(),
        }
    }

    /// Records the headroom at a time at which it is about to change other than by filling the account.
    pub(super) fn observe(&mut self, now_us: Micros, units: f64) {
        let oldest_us = now_us.saturating_sub(MAX_REFUND_AGE_US);
        let is_old = |headroom: &Headroom| headroom.until_us < oldest_us;
        while self.headrooms.front().is_some_and(is_old) {
            self.headrooms.pop_front();
        }
        // Earlier ones that are no smaller never decide.
        let is_larger = |headroom: &Headroom| headroom.units >= units;
        while self.headrooms.back().is_some_and(is_larger) {
            self.headrooms.pop_back();
        }
        let newest = self.headrooms.back_mut();
        match newest.filter(|newest| now_us.saturating_sub(newest.from_us) < MERGED_US) {
            Some(newest) => newest.until_us = now_us,
            None => self.headrooms.push_back(Headroom {
                from_us: now_us,
                until_us: now_us,
                units,
            }),
        }
    }

    /// Returns how much of a refund of `units` granted at `granted_us` may be added to the level, and records that it
    /// is. `headroom` is the current one.
    pub(super) fn take(
        &mut self,
        now_us: Micros,
        granted_us: Micros,
        units: f64,
        headroom: f64,
    ) -> f64 {
        let age_us = now_us.saturating_sub(granted_us);
        if granted_us < self.opened_us || age_us > MAX_REFUND_AGE_US {
            return 0.0;
        }
        let is_since = |headroom: &&mut Headroom| headroom.until_us > granted_us;
        let since = self.headrooms.iter_mut().filter(is_since);
        let least = since.fold(headroom, |least, h| least.min(h.units));
        let taken = units.min(least).max(0.0);
        for since in self.headrooms.iter_mut().filter(is_since) {
            since.units -= taken;
        }
        self.observe(now_us, headroom - taken);
        taken
    }
}
