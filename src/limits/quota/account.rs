//! One account of an organisation's limit: a token bucket that fills at the share of the rate that is leased.

use crate::{
    gateway::config::UseLimit,
    limits::quota::{message::Verdict, partition::COPIES, shares::Shares},
    prelude::{Micros, Rank},
};

/// What is granted reaches an endpoint within this time, in seconds.
const MAX_DISPATCH_DELAY_S: f64 = 0.25;
/// The longest that a grant may be old when it is used, in seconds: round trips take as long where instances are slow.
const MAX_GRANT_AGE_S: f64 = 2.6;
/// The part of what a window allows beyond the rate, and beyond what arrives late, that old grants may take.
const GRANT_AGE_FRACTION: f64 = 0.5;
/// The part that an account has at least where what arrives late takes all of it.
const MIN_CAPACITY_FRACTION: f64 = 0.4;
/// The part of an account that is debt: a request is let in while anything is left and its debt is within it, so that
/// long requests find room beside short ones.
const DEBT_FRACTION: f64 = 0.4;
/// The part of an account that is left to the more urgent, a rank.
const RESERVE_PER_RANK: f64 = 0.05;
/// The least urgent rank that is told apart.
const MAX_RANK: Rank = 2;
/// Those that are denied wait longer, the more of them there are, by this part of the time that one request's
/// units take to come.
const QUEUE_WAIT_FRACTION: f64 = 0.25;
/// The longest that they wait for each other.
const MAX_QUEUE_WAIT_US: f64 = 400_000.0;
/// The least that a denied one waits.
const MIN_WAIT_US: f64 = 20_000.0;

/// How far above its limit an organisation may come in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Share of the limit.
    pub overage: f64,
    /// Units on top.
    pub slack: f64,
}

/// What a limit comes to, for all accounts of an organisation together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Units a second.
    pub rate_per_s: f64,
    /// Units that may be saved.
    pub depth: f64,
    /// Units that may be owed.
    pub debt: f64,
    /// How old a grant may be when it is used.
    pub max_grant_age_us: Micros,
}

impl Bounds {
    /// Works them out. What may be granted in a window, and kept from before it, and arrive late in it, is within
    /// what the window allows.
    pub fn new(limit: &UseLimit, tolerance: &Tolerance) -> Self {
        let rate_per_s = limit.rate_per_s;
        let in_window = rate_per_s * tolerance.window_s;
        let allowed = (in_window + limit.burst) * (1.0 + tolerance.overage) + tolerance.slack;
        let headroom = allowed - in_window;
        let timely_headroom = (headroom - rate_per_s * MAX_DISPATCH_DELAY_S).max(0.0);
        let max_grant_age_s =
            (timely_headroom * GRANT_AGE_FRACTION / rate_per_s.max(1.0)).min(MAX_GRANT_AGE_S);
        let capacity = match timely_headroom > 0.0 {
            true => timely_headroom - rate_per_s * max_grant_age_s,
            false => headroom * MIN_CAPACITY_FRACTION,
        };
        Self {
            rate_per_s,
            depth: capacity * (1.0 - DEBT_FRACTION),
            debt: capacity * DEBT_FRACTION,
            max_grant_age_us: (max_grant_age_s * 1e6) as Micros,
        }
    }
}

#[derive(Debug)]
pub(super) struct Account {
    pub(super) bounds: Bounds,
    pub(super) limit: UseLimit,
    pub(super) level: f64,
    /// [`Shares::accrued_s`] up to which it is filled.
    filled_s: f64,
    /// Requests denied since one was granted.
    denied_since_grant: f64,
    /// Units granted since the account was opened.
    pub(super) granted: u64,
    /// Requests denied since the state was shown last.
    pub(super) denied: u64,
}

impl Account {
    /// Opens an account with nothing in it: what was used before is not known.
    pub(super) fn open(limit: UseLimit, tolerance: &Tolerance, shares: &Shares) -> Self {
        Self {
            bounds: Bounds::new(&limit, tolerance),
            limit,
            level: 0.0,
            filled_s: shares.accrued_s(),
            denied_since_grant: 0.0,
            granted: 0,
            denied: 0,
        }
    }

    /// Takes another limit. What is left stays left, as far as the new limit lets it.
    pub(super) fn update_limit(&mut self, limit: UseLimit, tolerance: &Tolerance, shares: &Shares) {
        self.fill(shares);
        self.limit = limit;
        self.bounds = Bounds::new(&limit, tolerance);
        self.clip(shares);
    }

    /// Adds what came of the leased shares since it was filled last.
    pub(super) fn fill(&mut self, shares: &Shares) {
        let gained_s = shares.accrued_s() - self.filled_s;
        self.filled_s = shares.accrued_s();
        self.level += self.bounds.rate_per_s * gained_s / f64::from(COPIES);
        self.clip(shares);
    }

    /// Cuts off what the shares leased now do not cover.
    pub(super) fn clip(&mut self, shares: &Shares) {
        self.level = self.level.min(self.bounds.depth * account_share(shares));
    }

    pub(super) fn grant(&mut self, units: u32, rank: Rank, shares: &Shares) -> Verdict {
        self.fill(shares);
        let account_share = account_share(shares);
        if account_share <= 0.0 {
            return Verdict::Unleased;
        }
        let reserve =
            self.bounds.depth * account_share * RESERVE_PER_RANK * f64::from(rank.min(MAX_RANK));
        let needed = f64::from(units) - self.bounds.debt * account_share;
        if self.level > reserve && self.level >= needed {
            self.level -= f64::from(units);
            self.granted += u64::from(units);
            self.denied_since_grant = 0.0;
            return Verdict::Granted;
        }
        self.denied += 1;
        // One more than is there at the moment when it is due.
        let missing = reserve.max(needed) - self.level + 1.0;
        Verdict::Denied {
            wait_us: self.wait_us(missing, units, account_share),
            level: self.level as i64,
        }
    }

    /// Takes back what was not used.
    pub(super) fn refund(&mut self, units: u32, shares: &Shares) {
        self.level += f64::from(units);
        self.granted = self.granted.saturating_sub(u64::from(units));
        self.clip(shares);
    }

    fn wait_us(&mut self, missing: f64, units: u32, account_share: f64) -> Micros {
        let rate_per_us = self.bounds.rate_per_s * account_share / 1e6;
        let per_request_us = f64::from(units) / rate_per_us * QUEUE_WAIT_FRACTION;
        let queue_wait_us = (self.denied_since_grant * per_request_us).min(MAX_QUEUE_WAIT_US);
        self.denied_since_grant += 1.0;
        let refill_us = (missing / rate_per_us).max(MIN_WAIT_US);
        // A cast keeps to the bounds of the type.
        (refill_us + queue_wait_us) as Micros
    }
}

/// Returns the part of an organisation's limit that one account has.
fn account_share(shares: &Shares) -> f64 {
    shares.total() / f64::from(COPIES)
}
