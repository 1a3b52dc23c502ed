//! The order of tiers in shedding, kept across instances.
//!
//! A request is *kept* while it waits. Tier `r` may be shed only while nothing below it is kept for
//! the pool anywhere. The lowest tier is free to be shed. For any other, every instance has to
//! *hold a level* first: an instance that holds level `k` keeps none of the `k` lowest tiers and
//! refuses them on arrival. A leader raises the level one at a time, and only once all instances
//! confirmed the one before, so whoever refuses a tier on arrival knows that nothing below it is
//! kept anywhere.
//!
//! Levels lapse. With `s` the time of asking, `b` and `c` the times at which two instances
//! confirmed: both are at or after `s`, and the leader counts only confirmations up to
//! `s + CONFIRM_US`. One instance acts on a level until `b + STEP_US`, which is at or before
//! `c + CONFIRM_US + STEP_US`; the other holds it until `c + hold_us(level)`, which is later. Only
//! spans are compared, so clocks need not agree, and a paused process that comes back finds its
//! level lapsed.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::core::types::{Incarnation, Micros, Rank};

/// A leader counts confirmations that arrive within this span of its asking.
pub const CONFIRM_US: Micros = 300_000;
/// An instance acts on a confirmed level for this long.
pub const STEP_US: Micros = 700_000;
/// The most tiers a configuration may declare.
pub const MAX_TIERS: usize = 8;

/// Returns for how long an instance holds `level` after confirming it.
///
/// A lower level outlives the ones above it, since they rest on it.
pub fn hold_us(level: u8) -> Micros {
    let above = (MAX_TIERS as u64).saturating_sub(u64::from(level));
    (CONFIRM_US + STEP_US) * (above + 1)
}

/// Returns the level that must be held everywhere before `rank` of `tiers` may be shed.
pub fn level_needed(rank: Rank, tiers: usize) -> u8 {
    (tiers as u8).saturating_sub(rank + 1)
}

/// A leader's question, in one chain of rising levels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelRequest {
    /// The leader's start.
    pub leader: Incarnation,
    /// Counts the leader's chains.
    pub chain: u64,
    /// The level to hold.
    pub level: u8,
}

/// What one instance holds for one pool.
#[derive(Clone, Debug, Default)]
pub struct HeldLevel {
    held: Vec<Hold>,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    request: LevelRequest,
    since_us: Micros,
    until_us: Micros,
}

impl HeldLevel {
    /// Answers a leader; true means that the level is now held.
    ///
    /// `has_waiting` says whether the instance keeps a request of the tiers that the level clears. The
    /// first level may be refused to arrivals at once; a higher one needs the level below it, of
    /// the same chain, confirmed no longer than [`STEP_US`] ago.
    pub fn try_hold(&mut self, now_us: Micros, request: LevelRequest, has_waiting: bool) -> bool {
        self.held.retain(|h| h.until_us > now_us);
        if request.level > 1
            && !self.is_in_force(now_us, request.leader, request.chain, request.level - 1)
        {
            return false;
        }
        if has_waiting {
            return false;
        }
        self.held.push(Hold {
            request,
            since_us: now_us,
            until_us: now_us + hold_us(request.level),
        });
        true
    }

    /// Returns whether an arrival of `rank` is to be refused.
    pub fn refuses(&self, now_us: Micros, rank: Rank, tiers: usize) -> bool {
        let needed = level_needed(rank, tiers) + 1;
        self.held
            .iter()
            .any(|h| h.request.level >= needed && h.until_us > now_us)
    }

    /// Returns whether the leader's order to shed `rank` may be followed now.
    pub fn may_shed(
        &self,
        now_us: Micros,
        leader: Incarnation,
        chain: u64,
        rank: Rank,
        tiers: usize,
    ) -> bool {
        let needed = level_needed(rank, tiers);
        needed == 0 || self.is_in_force(now_us, leader, chain, needed)
    }

    fn is_in_force(&self, now_us: Micros, leader: Incarnation, chain: u64, level: u8) -> bool {
        self.held.iter().any(|h| {
            let same =
                h.request.leader == leader && h.request.chain == chain && h.request.level == level;
            same && now_us <= h.since_us + STEP_US
        })
    }
}

/// A leader's collection of confirmations.
#[derive(Clone, Debug, Default)]
pub struct LevelRound {
    chain: u64,
    level: u8,
    requested_us: Micros,
    unconfirmed: BTreeSet<Incarnation>,
    confirmed: u8,
    confirmed_us: Micros,
    refused: bool,
}

impl LevelRound {
    /// Returns the chain that sheds are ordered under.
    pub fn chain(&self) -> u64 {
        self.chain
    }

    /// Returns the level that every instance is known to hold.
    pub fn confirmed(&self, now_us: Micros) -> u8 {
        if now_us.saturating_sub(self.confirmed_us) > STEP_US {
            return 0;
        }
        self.confirmed
    }

    /// Asks for the next step towards `target`, or returns none while an answer is outstanding.
    pub fn next_request(
        &mut self,
        now_us: Micros,
        leader: Incarnation,
        target: u8,
        instances: impl IntoIterator<Item = Incarnation>,
    ) -> Option<LevelRequest> {
        let waiting = !self.unconfirmed.is_empty() && !self.refused;
        if waiting && now_us.saturating_sub(self.requested_us) <= CONFIRM_US {
            return None;
        }
        let done = self.confirmed(now_us) >= target;
        let fresh = now_us.saturating_sub(self.confirmed_us) < STEP_US / 2;
        if done && fresh {
            return None;
        }
        if self.refused && now_us.saturating_sub(self.requested_us) < CONFIRM_US / 4 {
            return None;
        }
        let failed = waiting || self.refused;
        if done || failed || self.confirmed(now_us) == 0 {
            // Each refresh is a chain of its own: a level is never carried over from an older one.
            self.chain += 1;
            self.level = 0;
        }
        self.level += 1;
        self.requested_us = now_us;
        self.refused = false;
        self.unconfirmed = instances.into_iter().collect();
        Some(LevelRequest {
            leader,
            chain: self.chain,
            level: self.level,
        })
    }

    /// Takes an instance's answer.
    pub fn record_reply(
        &mut self,
        now_us: Micros,
        from: Incarnation,
        request: LevelRequest,
        held: bool,
    ) {
        if request.chain != self.chain || request.level != self.level {
            return;
        }
        if now_us.saturating_sub(self.requested_us) > CONFIRM_US {
            return;
        }
        if !held {
            self.refused = true;
            return;
        }
        if self.unconfirmed.remove(&from) && self.unconfirmed.is_empty() && !self.refused {
            self.confirmed = self.level;
            // Counted from the asking: confirmations are no older than that.
            self.confirmed_us = self.requested_us;
        }
    }
}
