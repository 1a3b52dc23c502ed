//! Tracks how stale the local state of the store is, how stale it may be, and when the store is queried.
//!
//! Operators bound how long after a change in the store an instance may still act on the old state. An instance
//! learns of changes from others, which may be slow or fail, so the absence of changes proves nothing: state may only
//! be used if it is *known to have been the newest* at a time within the bound. All times are of this process's
//! monotonic clock, and freshness counts from when the query was sent.
//!
//! Ages in order, as shares of a bound:
//!
//! | share | what |
//! | --- | --- |
//! | 1/4 | a watch without changes returns |
//! | 7/20 | an aggregator queries a store watcher |
//! | 10/20 | any other instance that does not watch the store queries an aggregator |
//! | 13/20 | the first instance that does not watch the store queries it |
//! | 16/20 | the last such instance queries the store |
//! | 18/20 | requests wait for the response, unless the store does not answer this instance |

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use tokio::sync::Notify;

use crate::prelude::Micros;

/// Maximum wait of a watch; a connection that was silently cut is detected after this time.
const MAX_WATCH_US: Micros = 1_000_000;
/// Share of the bound that a watch waits. With three watches whose ends are spread over one wait, plus propagation to
/// the other instances, state is at most 1.4 waits and 300 ms old: 1.0 s of a bound of 2 s.
const WATCH_SHARE: f64 = 0.25;
/// Time in which a watcher's state reaches all instances: in a cluster of 78 the last one had it after 200 to 310 ms.
const PROPAGATION_US: Micros = 300_000;
/// Age at which an aggregator queries a store watcher, which takes a round trip.
const AGGREGATOR_QUERY_SHARE: f64 = 0.35;
/// Age at which other instances query an aggregator, which also takes a round trip.
const PEER_QUERY_SHARE: f64 = 0.5;
/// Minimum time between two queries to other instances.
const PEER_QUERY_INTERVAL_SHARE: f64 = 0.05;
/// Age at which the first instance queries the store itself: it leaves a quarter of the bound for the response, and
/// state that is kept fresh by watches does not reach it.
const STORE_QUERY_SHARE: f64 = 0.65;
/// Period over which the instances' queries to the store are staggered, so that the first can inform the others.
const STAGGER_SHARE: f64 = 0.15;
/// Delay between the queries of consecutive instances. Without it, 295 instances made about 800 calls in an outage of
/// 8 s, all in vain.
const STAGGER_US: Micros = 50_000;
/// Maximum age of state that may be used; the rest of the bound covers the time until the request reaches the endpoint.
const MAX_USABLE_SHARE: f64 = 0.9;
/// Timeout of a query to the store, after which the store counts as unreachable: 300 ms of a bound of 2 s. In an
/// outage the first instances to query detect this before requests have to wait, and the last ones delay requests for
/// a twentieth of the bound. With a quarter, a request with a target of 800 ms waited so long that it was refused.
const ANSWER_TIMEOUT_SHARE: f64 = 0.15;

/// Maximum time after a change in which an instance may act on the old state, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessBound(pub Micros);

impl StalenessBound {
    /// Returns how long a watch waits for a change before it returns.
    pub fn watch_wait(self) -> Duration {
        Duration::from_micros(self.share_us(WATCH_SHARE).min(MAX_WATCH_US))
    }

    /// Returns the age at which another instance's freshness is queried.
    pub fn peer_query_age_us(self, is_aggregator: bool) -> Micros {
        match is_aggregator {
            true => self.share_us(AGGREGATOR_QUERY_SHARE),
            false => self.share_us(PEER_QUERY_SHARE),
        }
    }

    /// Returns the minimum time between two queries to other instances.
    pub fn peer_query_interval_us(self) -> Micros {
        self.share_us(PEER_QUERY_INTERVAL_SHARE)
    }

    /// Returns the age at which an instance queries the store if `before` others query first.
    pub fn store_query_age_us(self, before: usize) -> Micros {
        let stagger_us = (before as Micros).saturating_mul(STAGGER_US);
        self.share_us(STORE_QUERY_SHARE) + stagger_us.min(self.share_us(STAGGER_SHARE))
    }

    /// Returns the maximum age of state that may be used.
    pub fn max_usable_age_us(self) -> Micros {
        self.share_us(MAX_USABLE_SHARE)
    }

    /// Returns the age that state reaches only if the store answers none of its watchers: with a single working
    /// watcher, it is at most two waits old, plus the propagation time.
    pub fn outage_age_us(self) -> Micros {
        2 * self.share_us(WATCH_SHARE).min(MAX_WATCH_US) + PROPAGATION_US
    }

    /// Returns the timeout of a query to the store.
    pub fn answer_timeout_us(self) -> Micros {
        self.share_us(ANSWER_TIMEOUT_SHARE)
    }

    fn share_us(self, share: f64) -> Micros {
        (self.0 as f64 * share) as Micros
    }
}

/// Whether the local state of the store may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The state was the newest at a time within the bound.
    Fresh,
    /// The state may be too old; a query to the store is in flight or about to be sent.
    Refreshing,
    /// The state may be too old, but the store does not answer this instance, so nothing newer is available.
    Unreachable,
    /// No state has been received since the start.
    Unknown,
}

/// Freshness of the local state of one kind of stored objects, and the outcome of the latest queries.
#[derive(Debug, Default)]
pub struct Staleness {
    /// When the query with the newest response was sent; 0 before the first one.
    fresh_at_us: AtomicU64,
    /// Deadline of this instance's query in flight; 0 if there is none.
    answer_due_us: AtomicU64,
    /// When a query of this instance last failed.
    failed_at_us: AtomicU64,
    /// Wakes tasks that wait for a response.
    updated: Notify,
    /// Wakes the task that queries the store.
    wanted: Notify,
}

impl Staleness {
    /// Records that the local state was the newest when a query was sent at `asked_us`.
    pub fn confirm(&self, asked_us: Micros) {
        self.fresh_at_us.fetch_max(asked_us, Ordering::Relaxed);
        self.updated.notify_waiters();
    }

    /// Returns the time since the local state was last known to be the newest; `Micros::MAX` if it never was.
    pub fn age_us(&self, now_us: Micros) -> Micros {
        match self.fresh_at_us.load(Ordering::Relaxed) {
            0 => Micros::MAX,
            fresh_at_us => now_us.saturating_sub(fresh_at_us),
        }
    }

    /// Records that this instance sent a query to the store, which may wait for `wait` before it responds.
    pub fn query_started(&self, now_us: Micros, bound: StalenessBound, wait: Duration) {
        let due_us = now_us + wait.as_micros() as Micros + bound.answer_timeout_us();
        self.answer_due_us.store(due_us, Ordering::Relaxed);
    }

    /// Records that the store answered this instance's query.
    pub fn query_answered(&self) {
        self.answer_due_us.store(0, Ordering::Relaxed);
        self.updated.notify_waiters();
    }

    /// Records that this instance abandons its query in flight and will send another. The missing response does not
    /// mean that the store is unreachable.
    pub fn query_abandoned(&self) {
        self.answer_due_us.store(0, Ordering::Relaxed);
    }

    /// Records that this instance's query failed.
    pub fn query_failed(&self, now_us: Micros) {
        self.answer_due_us.store(0, Ordering::Relaxed);
        self.failed_at_us.store(now_us, Ordering::Relaxed);
        self.updated.notify_waiters();
    }

    /// Returns whether the local state may be used.
    pub fn freshness(&self, now_us: Micros, bound: StalenessBound) -> Freshness {
        let age_us = self.age_us(now_us);
        if age_us == Micros::MAX {
            return Freshness::Unknown;
        }
        if age_us <= bound.max_usable_age_us() {
            return Freshness::Fresh;
        }
        let due_us = self.answer_due_us.load(Ordering::Relaxed);
        let is_overdue = due_us > 0 && due_us <= now_us;
        // A failure before the state was last confirmed, by whichever instance, no longer counts.
        let failed_at_us = self.failed_at_us.load(Ordering::Relaxed);
        let has_failed = failed_at_us > self.fresh_at_us.load(Ordering::Relaxed);
        match is_overdue || has_failed {
            true => Freshness::Unreachable,
            false => Freshness::Refreshing,
        }
    }

    /// Requests a query to the store and waits for its outcome, for `timeout` at most.
    pub async fn wait_for_answer(&self, timeout: Duration) {
        let updated = self.updated.notified();
        self.wanted.notify_one();
        // The caller checks the state again in either case.
        let _ = tokio::time::timeout(timeout, updated).await;
    }

    /// Waits until a query is requested by [`Self::wait_for_answer`].
    pub async fn query_wanted(&self) {
        self.wanted.notified().await;
    }
}
