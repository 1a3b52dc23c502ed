//! Makes all instances shed tiers strictly from the lowest up.
//!
//! Tier `r` may be shed only while no request of a lower tier waits for the pool at any instance. The
//! lowest tier may always be shed. Before any other, every instance must *hold a level*: an instance
//! that holds level `k` has no waiting requests of the `k` lowest tiers and refuses them on arrival.
//! A leader raises the level in steps of one, and only after all instances have confirmed the one
//! before. An instance that refuses a tier on arrival can therefore rely on no request of a lower tier
//! waiting anywhere.
//!
//! Levels expire. Let `s` be the time of the leader's request, and `b` and `c` the times at which two
//! instances confirm. Both are at or after `s`, and the leader counts only confirmations up to
//! `s + CONFIRM_US`. One instance acts on the level until `b + STEP_US`, which is at or before
//! `c + CONFIRM_US + STEP_US`; the other holds it until `c + hold_us(level)`, which is later. Only
//! durations are compared, so clocks need not be synchronised, and a process that was paused finds
//! its level expired when it resumes.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::core::types::{Incarnation, Micros, Rank};

/// A leader counts confirmations that arrive within this time after its request.
pub const CONFIRM_US: Micros = 300_000;
/// An instance acts on a level that it confirmed for this long: it sheds under it and accepts the next one.
pub const STEP_US: Micros = 700_000;
/// The maximum number of tiers in a configuration.
pub const MAX_TIERS: usize = 8;

/// Returns for how long an instance holds `level` after confirming it, in microseconds.
///
/// A lower level is held longer than those above it, since they depend on it.
pub fn hold_us(level: u8) -> Micros {
    let above = (MAX_TIERS as u64).saturating_sub(u64::from(level));
    (CONFIRM_US + STEP_US) * (above + 1)
}

/// Returns the level that every instance must hold before `rank` of `tiers` may be shed.
pub fn level_needed(rank: Rank, tiers: usize) -> u8 {
    (tiers as u8).saturating_sub(rank + 1)
}

/// A leader's request to hold a level; one of a chain of requests with rising levels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelRequest {
    /// The run of the leading instance.
    pub leader: Incarnation,
    /// Number of the leader's chain.
    pub chain: u64,
    /// The level to hold.
    pub level: u8,
}

/// The levels that one instance holds for one pool.
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
    /// Handles a leader's request; returns whether the level is now held.
    ///
    /// `has_waiting` says whether a request of the tiers that the level covers waits at this instance.
    /// The first level has no other condition; a higher one needs the level below it, of the same
    /// chain, confirmed no longer than [`STEP_US`] ago.
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

    /// Returns whether a request of `rank` is to be refused on arrival.
    pub fn refuses(&self, now_us: Micros, rank: Rank, tiers: usize) -> bool {
        let needed = level_needed(rank, tiers) + 1;
        self.held
            .iter()
            .any(|h| h.request.level >= needed && h.until_us > now_us)
    }

    /// Returns whether the leader's order to shed `rank` may be carried out now.
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

/// A leader's record of the level that it has requested and the instances that have confirmed it.
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
    /// Returns the chain that orders to shed refer to.
    pub fn chain(&self) -> u64 {
        self.chain
    }

    /// Returns the level that every instance has confirmed; 0 once it is too old to act on.
    pub fn confirmed(&self, now_us: Micros) -> u8 {
        if now_us.saturating_sub(self.confirmed_us) > STEP_US {
            return 0;
        }
        self.confirmed
    }

    /// Returns the request for the next step towards `target`. Returns none while replies are outstanding,
    /// while `target` is confirmed and recent, and for a short time after a refusal.
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
            // Each refresh starts a new chain: a level never carries over from an earlier one.
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

    /// Records an instance's reply to the current request.
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
            // Measured from the request, since no confirmation is older than that.
            self.confirmed_us = self.requested_us;
        }
    }
}
