//! Gives out leave to send requests to endpoints that take only so many a second.
//!
//! Of each such endpoint one instance keeps the account for all; the others ask it for a permit for each request.
//! Shares instead would be under one request in any window where instances are many, and lost where there are no
//! requests for them. In four seconds an endpoint gets at most what is given out in them and what was saved: 4.25
//! times its limit a second, and two and a half. Twice that for a second in which two instances believe to keep the
//! account is within one and a half times the limit and five.
//!
//! Free of clock and socket, so that tests drive it step by step.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    balance::load::EndpointKey,
    limits::rate::RequestRate,
    prelude::{Micros, Rank},
};

/// An endpoint that takes less than this a second, or nothing, is still asked so often: only its answer says that
/// its limit is over.
const LEAST_PER_S: f64 = 0.2;
/// Permits that may be saved where nobody asks for a while, beside those of [`SAVED_US`]: where an
/// endpoint takes one or two a second, requests come and do not come for as long as that.
const SAVED: f64 = 1.5;
/// So much of a permit, a rank, has to be saved before a less urgent request is given one: what is due goes to the
/// more urgent if they ask for all of it, and to the others if they do not.
const RANK_RESERVE: f64 = 0.5;
/// The least urgent rank that is told apart.
const LEAST_URGENT: Rank = 2;
/// What comes together in this time may be saved, too.
const SAVED_US: f64 = 250_000.0;
/// Those that are given none wait longer, the more of them there are, by this share of the time between two
/// permits each: with 295 instances that all want one, some 24 ask in that time, not all.
const QUEUE_SHARE: f64 = 0.5;
/// But no longer than this: meanwhile the others may want none any more.
const MOST_WAIT_US: f64 = 2_000_000.0;
/// An account that nobody asked of for this long is as a new one.
const FORGOTTEN_US: Micros = 60_000_000;

/// Instances that may believe at the same time to keep an account, each with all of it, until their views agree.
const MOST_KEEPERS: f64 = 2.0;

/// How far above its rate a cold endpoint may be asked in a second, by all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Times the rate.
    pub overage: f64,
    /// Requests on top.
    pub slack: f64,
}

impl ColdTolerance {
    /// Returns the rate at which permits for a cold endpoint that takes `per_s` are given: what all keepers
    /// together may give out in a second, with what was saved, is within what the endpoint bears.
    pub fn rate(&self, per_s: f64) -> RequestRate {
        let each = (per_s * self.overage + self.slack) / MOST_KEEPERS;
        let rate = (each - SAVED - 1.0) / (1.0 + SAVED_US / 1e6);
        RequestRate::from_per_s(rate.min(per_s).max(0.0))
    }
}

/// What one gets that asked for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// It may send one request.
    Given,
    /// It may not, and there will be none for it before this time is over.
    Denied {
        /// The time.
        wait_us: Micros,
    },
}

#[derive(Debug)]
struct Account {
    /// When the next permit is due; before now if some are saved.
    next_us: f64,
    /// Those that were given none since one was given last.
    denied: u32,
    asked_us: Micros,
}

/// The accounts of the endpoints for which this instance gives permits.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    by_endpoint: HashMap<EndpointKey, Account>,
}

fn interval_us(rate: RequestRate) -> f64 {
    1e6 / rate.per_s().max(LEAST_PER_S)
}

impl PermitIssuer {
    /// Gives a permit for a request of `rank` to an endpoint that takes `rate`, if one is due.
    pub fn issue(
        &mut self,
        now_us: Micros,
        endpoint: EndpointKey,
        rate: RequestRate,
        rank: Rank,
    ) -> Permit {
        let interval_us = interval_us(rate);
        let now = now_us as f64;
        let account = self.by_endpoint.entry(endpoint).or_insert(Account {
            next_us: now,
            denied: 0,
            asked_us: now_us,
        });
        account.asked_us = now_us;
        let saved_us = SAVED * interval_us + SAVED_US;
        // What was due at a slower rate is due sooner at this one.
        account.next_us = account.next_us.clamp(now - saved_us, now + interval_us);
        let reserve_us = f64::from(rank.min(LEAST_URGENT)) * RANK_RESERVE * interval_us;
        let due_us = account.next_us + reserve_us;
        if due_us <= now {
            account.next_us += interval_us;
            account.denied = 0;
            return Permit::Given;
        }
        let queue_us = f64::from(account.denied) * QUEUE_SHARE * interval_us;
        account.denied += 1;
        let wait_us = due_us - now + queue_us;
        Permit::Denied {
            wait_us: wait_us.min(MOST_WAIT_US) as Micros,
        }
    }

    /// Takes back a permit that was not used.
    pub fn refund(&mut self, endpoint: EndpointKey, rate: RequestRate) {
        if let Some(account) = self.by_endpoint.get_mut(&endpoint) {
            account.next_us -= interval_us(rate);
        }
    }

    /// Forgets the accounts that nobody asks of.
    pub fn expire(&mut self, now_us: Micros) {
        let is_in_use = |a: &Account| now_us.saturating_sub(a.asked_us) < FORGOTTEN_US;
        self.by_endpoint.retain(|_, account| is_in_use(account));
    }
}
