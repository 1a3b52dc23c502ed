//! How old what is known of the store is, how old it may be, and when the store is to be asked.
//!
//! Operators bound how long after the store has taken a change an instance may act as before it. An instance
//! learns of changes from others, which may be slow or lost, so it is never enough that nothing was heard: what is
//! acted on has to be *known to have been the newest* at a time within the bound. Every time here is one of
//! this process's steady clock, and freshness counts from when the question was sent.
//!
//! Ages in order, as shares of a bound:
//!
//! | share | what |
//! | --- | --- |
//! | 1/4 | a watch waits this long before it says that nothing has changed |
//! | 7/20 | an aggregator asks those that watch |
//! | 10/20 | an instance that others tell of changes asks an aggregator |
//! | 13/20 | an instance that others tell of changes asks the store itself; the first in turn |
//! | 16/20 | the last in turn |
//! | 18/20 | requests wait for the answer, unless the store does not answer this instance |

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use tokio::sync::Notify;

use crate::prelude::Micros;

/// The longest that a watch waits; a connection that is cut without a sign is noticed by then.
const MAX_WATCH_US: Micros = 1_000_000;
/// Three watches with ends spread over a wait, and the time until others are told, make what is known at most
/// 1.4 waits and 300 ms old: 1.0 s of a bound of 2 s.
const WATCH_SHARE: f64 = 0.25;
/// An instance learns what a watcher knows within this time: in a group of 78 the last one did after 200 to 310 ms.
const PROPAGATION_US: Micros = 300_000;
/// At these ages others are asked, which takes a round trip.
const AGGREGATOR_QUERY_SHARE: f64 = 0.35;
const PEER_QUERY_SHARE: f64 = 0.5;
/// Shortest time between two questions to others.
const PEER_QUERY_INTERVAL_SHARE: f64 = 0.05;
/// Leaves a quarter of the bound for the answer, and is more than what is known by watches becomes.
const STORE_QUERY_SHARE: f64 = 0.65;
/// The time over which those that would ask do so by turns, so that the first can tell the others.
const STAGGER_SHARE: f64 = 0.15;
/// Between two turns. All of 295 instances at once made some 800 calls in an outage of 8 s, of which none
/// brought anything.
const STAGGER_US: Micros = 50_000;
/// What is acted on is no older than this; the rest of the bound is for the way to the endpoint.
const MAX_USABLE_SHARE: f64 = 0.9;
/// The store answers within this time, which is 300 ms of a bound of 2 s, or does not answer this instance. In an
/// outage the first in turn know by the time that requests would wait, and the last hold them up for a twentieth of
/// the bound. With a quarter a request with a target of 800 ms was held so long that it was refused.
const ANSWER_TIMEOUT_SHARE: f64 = 0.15;

/// How long after a change an instance may act as before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessBound(pub Micros);

impl StalenessBound {
    /// Returns how long a watch waits for a change.
    pub fn watch_wait(self) -> Duration {
        Duration::from_micros(self.share_us(WATCH_SHARE).min(MAX_WATCH_US))
    }

    /// Returns the age at which another instance is asked how fresh what it knows is.
    pub fn peer_query_age_us(self, is_aggregator: bool) -> Micros {
        match is_aggregator {
            true => self.share_us(AGGREGATOR_QUERY_SHARE),
            false => self.share_us(PEER_QUERY_SHARE),
        }
    }

    /// Returns the shortest time between two questions to other instances.
    pub fn peer_query_interval_us(self) -> Micros {
        self.share_us(PEER_QUERY_INTERVAL_SHARE)
    }

    /// Returns the age at which the store is asked where `before` others go first.
    pub fn store_query_age_us(self, before: usize) -> Micros {
        let stagger_us = (before as Micros).saturating_mul(STAGGER_US);
        self.share_us(STORE_QUERY_SHARE) + stagger_us.min(self.share_us(STAGGER_SHARE))
    }

    /// Returns the age up to which what is known may be acted on.
    pub fn max_usable_age_us(self) -> Micros {
        self.share_us(MAX_USABLE_SHARE)
    }

    /// Returns the age that what is known reaches only if the store answers none of those that watch it: a
    /// single one makes it two waits old, and the time until the others are told.
    pub fn outage_age_us(self) -> Micros {
        2 * self.share_us(WATCH_SHARE).min(MAX_WATCH_US) + PROPAGATION_US
    }

    /// Returns how long the store is given to answer.
    pub fn answer_timeout_us(self) -> Micros {
        self.share_us(ANSWER_TIMEOUT_SHARE)
    }

    fn share_us(self, share: f64) -> Micros {
        (self.0 as f64 * share) as Micros
    }
}

/// Whether what is known of the store may be acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It is known to have been the newest within its bound.
    Fresh,
    /// It may be too old, and the store is being asked, or about to be.
    Refreshing,
    /// It may be too old, and the store does not answer this instance: nothing newer can be had.
    Unreachable,
    /// Nothing has ever been known.
    Unknown,
}

/// What is known of one kind of objects: how fresh it is, and what came of asking.
#[derive(Debug, Default)]
pub struct Staleness {
    /// When the question was sent whose answer is the newest known; 0 before there is one.
    fresh_at_us: AtomicU64,
    /// Until when this instance's question is to be answered; 0 while none is open.
    answer_due_us: AtomicU64,
    /// When a question of this instance failed last.
    failed_at_us: AtomicU64,
    /// Wakes what waits for an answer.
    updated: Notify,
    /// Wakes whoever asks the store.
    wanted: Notify,
}

impl Staleness {
    /// Notes that what is known was the newest when a question was sent at `asked_us`.
    pub fn confirm(&self, asked_us: Micros) {
        self.fresh_at_us.fetch_max(asked_us, Ordering::Relaxed);
        self.updated.notify_waiters();
    }

    /// Returns for how long what is known has not been known to be the newest; the highest age if nothing
    /// is known.
    pub fn age_us(&self, now_us: Micros) -> Micros {
        match self.fresh_at_us.load(Ordering::Relaxed) {
            0 => Micros::MAX,
            fresh_at_us => now_us.saturating_sub(fresh_at_us),
        }
    }

    /// Notes that this instance asks the store, which may wait for `wait` before it answers.
    pub fn query_started(&self, now_us: Micros, bound: StalenessBound, wait: Duration) {
        let due_us = now_us + wait.as_micros() as Micros + bound.answer_timeout_us();
        self.answer_due_us.store(due_us, Ordering::Relaxed);
    }

    /// Notes that the store has answered this instance.
    pub fn query_answered(&self) {
        self.answer_due_us.store(0, Ordering::Relaxed);
        self.updated.notify_waiters();
    }

    /// Notes that this instance does not wait for its open question any more, and will ask another: that
    /// nothing came says nothing of the store.
    pub fn query_abandoned(&self) {
        self.answer_due_us.store(0, Ordering::Relaxed);
    }

    /// Notes that the store did not answer this instance.
    pub fn query_failed(&self, now_us: Micros) {
        self.answer_due_us.store(0, Ordering::Relaxed);
        self.failed_at_us.store(now_us, Ordering::Relaxed);
        self.updated.notify_waiters();
    }

    /// Returns whether what is known may be acted on.
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
        // One that failed before others told what is known now says nothing of the store as it is.
        let failed_at_us = self.failed_at_us.load(Ordering::Relaxed);
        let has_failed = failed_at_us > self.fresh_at_us.load(Ordering::Relaxed);
        match is_overdue || has_failed {
            true => Freshness::Unreachable,
            false => Freshness::Refreshing,
        }
    }

    /// Asks for the store to be asked, and waits until something has come of it, for `timeout` at most.
    pub async fn wait_for_answer(&self, timeout: Duration) {
        let updated = self.updated.notified();
        self.wanted.notify_one();
        // Whoever waits looks at what there is then, whether or not something has come.
        let _ = tokio::time::timeout(timeout, updated).await;
    }

    /// Waits until an answer is wanted.
    pub async fn query_wanted(&self) {
        self.wanted.notified().await;
    }
}
