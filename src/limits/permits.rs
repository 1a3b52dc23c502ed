//! Issues permits for requests to endpoints that limit their request rate.
//!
//! One instance holds the token bucket of an endpoint for all; the others request a permit from it for each request.
//! Equal shares per instance would be below one request per window where there are many instances, and unused where an
//! instance has no requests. In four seconds an endpoint receives at most the permits of that time and the saved ones:
//! 4.25 times its limit a second, plus 2.5. During a second in which two instances both act as issuer it receives at
//! most twice that, which is within 1.5 times the limit plus 5.
//!
//! Uses no clock or socket, so that tests can drive it step by step.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    balance::load::EndpointKey,
    limits::rate::RequestRate,
    prelude::{Micros, Rank},
};

/// The lowest rate at which permits are issued, also for an endpoint whose limit is lower or 0: only a response
/// can show that the limit is lifted.
const MIN_PER_S: f64 = 0.2;
/// Unused permits that are saved, in addition to those of [`SAVED_US`]. At a limit of one or two requests a
/// second, gaps between requests are commonly as long as one or two permit intervals.
const SAVED_PERMITS: f64 = 1.5;
/// The part of a permit, per rank, that has to be saved before a less urgent request gets one. So urgent
/// requests get all permits if they need them, and the others get what is left over.
const RANK_RESERVE: f64 = 0.5;
/// Less urgent ranks are treated as this one.
const LEAST_URGENT_RANK: Rank = 2;
/// The permits of this time, in microseconds, are saved as well.
const SAVED_US: f64 = 250_000.0;
/// Each request that is denied a permit lengthens the wait of the next one by this share of the permit interval:
/// with 295 instances that all want a permit, about 24 of them ask within an interval, not all.
const DENIED_WAIT_SHARE: f64 = 0.5;
/// The longest wait of a denied request, in microseconds: the others may not need a permit any more by then.
const MAX_WAIT_US: f64 = 2_000_000.0;
/// The age above which a permit that comes back is lost. One that is not used comes back within two datagrams.
const MAX_REFUND_AGE_US: Micros = 100_000;
/// A token bucket that was not used for this long is dropped.
const UNUSED_EXPIRY_US: Micros = 60_000_000;

/// Instances that may act as issuer of one endpoint at the same time, each at the full rate, until their membership
/// views agree.
const MAX_ISSUERS: f64 = 2.0;

/// How many requests a second a cold endpoint may receive above its rate, from all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Factor by which the rate may be exceeded.
    pub overage: f64,
    /// Requests in addition.
    pub slack: f64,
}

impl ColdTolerance {
    /// Returns the rate at which permits for a cold endpoint with a rate of `per_s` are issued, so that the permits
    /// of all concurrent issuers in a second, saved ones included, stay within the tolerance.
    pub fn rate(&self, per_s: f64) -> RequestRate {
        let per_issuer = (per_s * self.overage + self.slack) / MAX_ISSUERS;
        let rate = (per_issuer - SAVED_PERMITS - 1.0) / (1.0 + SAVED_US / 1e6);
        RequestRate::from_per_s(rate.min(per_s).max(0.0))
    }
}

/// The response to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// One request may be sent.
    Given,
    /// No request may be sent, and it is no use asking again before the wait is over.
    Denied {
        /// How long to wait.
        wait_us: Micros,
    },
}

#[derive(Debug)]
struct Bucket {
    /// When the next permit is due; in the past if permits are saved.
    next_us: f64,
    /// Requests that were denied since the last permit was issued.
    denied: u32,
    used_us: Micros,
}

/// The token buckets of the endpoints for which this instance issues permits.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    by_endpoint: HashMap<EndpointKey, Bucket>,
}

fn interval_us(rate: RequestRate) -> f64 {
    1e6 / rate.per_s().max(MIN_PER_S)
}

impl PermitIssuer {
    /// Issues a permit for a request of `rank` to an endpoint with a limit of `rate`, if one is due.
    pub fn issue(
        &mut self,
        now_us: Micros,
        endpoint: EndpointKey,
        rate: RequestRate,
        rank: Rank,
    ) -> Permit {
        let interval_us = interval_us(rate);
        let now = now_us as f64;
        let bucket = self.by_endpoint.entry(endpoint).or_insert(Bucket {
            next_us: now,
            denied: 0,
            used_us: now_us,
        });
        bucket.used_us = now_us;
        let saved_us = SAVED_PERMITS * interval_us + SAVED_US;
        // If the rate was raised, the next permit is due within one interval of the new rate.
        bucket.next_us = bucket.next_us.clamp(now - saved_us, now + interval_us);
        let reserve_us = f64::from(rank.min(LEAST_URGENT_RANK)) * RANK_RESERVE * interval_us;
        let due_us = bucket.next_us + reserve_us;
        if due_us <= now {
            bucket.next_us += interval_us;
            bucket.denied = 0;
            return Permit::Given;
        }
        let extra_wait_us = f64::from(bucket.denied) * DENIED_WAIT_SHARE * interval_us;
        bucket.denied += 1;
        let wait_us = due_us - now + extra_wait_us;
        Permit::Denied {
            wait_us: wait_us.min(MAX_WAIT_US) as Micros,
        }
    }

    /// Returns an unused permit that was issued at `issued_us` to the bucket. One that comes back late is lost: permits
    /// that are issued again while others are still on their way would pile up there.
    pub fn refund(
        &mut self,
        now_us: Micros,
        endpoint: EndpointKey,
        rate: RequestRate,
        issued_us: Micros,
    ) {
        if now_us.saturating_sub(issued_us) > MAX_REFUND_AGE_US {
            return;
        }
        if let Some(bucket) = self.by_endpoint.get_mut(&endpoint) {
            bucket.next_us -= interval_us(rate);
        }
    }

    /// Drops the token buckets that are not in use.
    pub fn expire(&mut self, now_us: Micros) {
        let is_in_use = |b: &Bucket| now_us.saturating_sub(b.used_us) < UNUSED_EXPIRY_US;
        self.by_endpoint.retain(|_, bucket| is_in_use(bucket));
    }
}
