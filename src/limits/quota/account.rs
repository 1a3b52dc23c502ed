//! An account of an organisation's limit: a token bucket that fills at the leased share of the rate.

use crate::{
    gateway::config::UsageLimit,
    limits::quota::{message::Verdict, partition::COPIES, refunds::RefundLimit, shares::Shares},
    prelude::{Micros, Rank},
};

/// Time within which a granted request reaches its endpoint, in seconds.
const MAX_DISPATCH_DELAY_S: f64 = 0.25;
/// Upper bound on the age at which a grant may be used, in seconds: round trips take as long when instances are slow.
const MAX_GRANT_AGE_S: f64 = 2.6;
/// Fraction that old grants may use of what a window allows beyond the rate and beyond the dispatch delay.
const GRANT_AGE_FRACTION: f64 = 0.5;
/// Fraction of the headroom that accounts keep as capacity where the dispatch delay uses up all of it.
const MIN_CAPACITY_FRACTION: f64 = 0.4;
/// Fraction of an account's capacity that is for debt: a request is granted while the level is above the reserve if
/// the debt that it leaves is within this part, so that long requests are not starved by short ones.
const DEBT_FRACTION: f64 = 0.4;
/// Fraction of an account's depth that each rank leaves to more urgent requests.
const RESERVE_PER_RANK: f64 = 0.05;
/// The highest rank (least urgent) that is distinguished.
const MAX_RANK: Rank = 2;
/// Denied requests wait longer the more of them there are: each one denied since the last grant adds this fraction of
/// the time in which the units of one request accrue.
const QUEUE_WAIT_FRACTION: f64 = 0.25;
/// Upper bound on the wait that earlier denials add.
const MAX_QUEUE_WAIT_US: f64 = 400_000.0;
/// Lower bound on the wait of a denied request.
const MIN_WAIT_US: f64 = 20_000.0;

/// How far an organisation may exceed its limit in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Allowed excess, as a fraction of the limit.
    pub overage: f64,
    /// Allowed excess in units, in addition.
    pub slack: f64,
}

/// The bucket parameters of a limit, for all accounts of an organisation together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Refill rate, in units per second.
    pub rate_per_s: f64,
    /// Units that may accumulate.
    pub depth: f64,
    /// Units by which the level may be negative.
    pub debt: f64,
    /// Maximum age of a grant when it is used.
    pub max_grant_age_us: Micros,
}

impl Bounds {
    /// Computes the bounds such that what is granted in a window, accumulated before it and used late in it stays
    /// within what the window allows.
    pub fn new(limit: &UsageLimit, tolerance: &Tolerance) -> Self {
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
    pub(super) limit: UsageLimit,
    pub(super) level: f64,
    /// [`Shares::accrued_s`] when the account was last filled.
    filled_s: f64,
    refund_limit: RefundLimit,
    /// Number of requests denied since the last grant.
    denied_since_grant: f64,
    /// Units granted since the account was opened.
    pub(super) granted: u64,
    /// Requests denied since the state was last reported.
    pub(super) denied: u64,
}

impl Account {
    /// Opens an empty account: earlier use is not known.
    pub(super) fn open(
        now_us: Micros,
        limit: UsageLimit,
        tolerance: &Tolerance,
        shares: &Shares,
    ) -> Self {
        Self {
            bounds: Bounds::new(&limit, tolerance),
            limit,
            level: 0.0,
            filled_s: shares.accrued_s(),
            refund_limit: RefundLimit::new(now_us),
            denied_since_grant: 0.0,
            granted: 0,
            denied: 0,
        }
    }

    /// Applies another limit and keeps the level, clipped to the new depth.
    pub(super) fn update_limit(
        &mut self,
        now_us: Micros,
        limit: UsageLimit,
        tolerance: &Tolerance,
        shares: &Shares,
    ) {
        self.clip(now_us, shares);
        self.limit = limit;
        self.bounds = Bounds::new(&limit, tolerance);
        self.clip(now_us, shares);
    }

    /// Adds what the leased shares accrued since the account was last filled.
    pub(super) fn fill(&mut self, shares: &Shares) {
        let gained_s = shares.accrued_s() - self.filled_s;
        self.filled_s = shares.accrued_s();
        self.level += self.bounds.rate_per_s * gained_s / f64::from(COPIES);
        // Only the depth that the currently leased shares cover is kept.
        self.level = self.level.min(self.bounds.depth * account_share(shares));
    }

    /// Fills the account before or after its depth changes.
    pub(super) fn clip(&mut self, now_us: Micros, shares: &Shares) {
        self.fill(shares);
        self.refund_limit.observe(now_us, self.headroom(shares));
    }

    pub(super) fn grant(
        &mut self,
        now_us: Micros,
        units: u32,
        rank: Rank,
        shares: &Shares,
    ) -> Verdict {
        self.clip(now_us, shares);
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
        if shares.are_moving(now_us) {
            return Verdict::Unleased;
        }
        self.denied += 1;
        // One unit more, as the level has to exceed the reserve at the retry.
        let missing = reserve.max(needed) - self.level + 1.0;
        Verdict::Denied {
            wait_us: self.wait_us(missing, units, account_share),
            level: self.level as i64,
        }
    }

    /// Returns unused units of a grant made at `granted_us` to the account.
    pub(super) fn refund(
        &mut self,
        now_us: Micros,
        units: u32,
        granted_us: Micros,
        shares: &Shares,
    ) {
        self.fill(shares);
        self.granted = self.granted.saturating_sub(u64::from(units));
        let headroom = self.headroom(shares);
        self.level += self
            .refund_limit
            .take(now_us, granted_us, f64::from(units), headroom);
    }

    /// Returns the units that are missing to a full account.
    fn headroom(&self, shares: &Shares) -> f64 {
        self.bounds.depth * account_share(shares) - self.level
    }

    fn wait_us(&mut self, missing: f64, units: u32, account_share: f64) -> Micros {
        let rate_per_us = self.bounds.rate_per_s * account_share / 1e6;
        let per_request_us = f64::from(units) / rate_per_us * QUEUE_WAIT_FRACTION;
        let queue_wait_us = (self.denied_since_grant * per_request_us).min(MAX_QUEUE_WAIT_US);
        self.denied_since_grant += 1.0;
        let refill_us = (missing / rate_per_us).max(MIN_WAIT_US);
        // The cast saturates.
        (refill_us + queue_wait_us) as Micros
    }
}

/// Returns the fraction of an organisation's limit that is available to one account.
fn account_share(shares: &Shares) -> f64 {
    shares.total() / f64::from(COPIES)
}
