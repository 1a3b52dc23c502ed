//! Until when a planned stop leaves time for answers.
//!
//! Callers whose requests cannot be answered by then are told so while their connections are open: that the request did
//! not run, or that it may have run. At the end of the stop the process is killed, and would tell them nothing.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio_util::sync::CancellationToken;

use crate::{balance::cost::Expected, gateway::attempt::Job, prelude::Micros};

/// Reason for refusing a request, or for giving it up, because the instance stops.
pub const STOPPING: &str = "stopping";
/// A request is taken to last this many times as long as expected: estimates are medians.
const EXPECTED_DURATION_FACTOR: f64 = 1.5;

/// The times of a planned stop.
#[derive(Debug)]
pub struct StopDeadline {
    /// From then on no caller sends further requests here; those that are not at an endpoint yet are late.
    late_from_us: AtomicU64,
    answers_until_us: AtomicU64,
    answers_due: CancellationToken,
}

impl Default for StopDeadline {
    fn default() -> Self {
        Self {
            late_from_us: AtomicU64::new(Micros::MAX),
            answers_until_us: AtomicU64::new(Micros::MAX),
            answers_due: CancellationToken::new(),
        }
    }
}

impl StopDeadline {
    /// Sets the times of a stop that has begun.
    pub fn set(&self, late_from_us: Micros, answers_until_us: Micros) {
        self.late_from_us.store(late_from_us, Ordering::Relaxed);
        self.answers_until_us
            .store(answers_until_us, Ordering::Relaxed);
    }

    /// Ends the requests that have no answer yet.
    pub fn end_requests(&self) {
        self.answers_due.cancel();
    }

    /// Waits until requests without an answer are ended.
    pub async fn wait_for_end(&self) {
        self.answers_due.cancelled().await;
    }

    /// Returns whether a request that is about to be sent can be answered before the end of the stop. One that is late
    /// needs the time of its latency target at least: its caller can send it to another instance.
    pub fn leaves_time_for(&self, now_us: Micros, job: &Job, expected: &Expected) -> bool {
        let until_us = self.answers_until_us.load(Ordering::Relaxed);
        if until_us == Micros::MAX {
            return true;
        }
        let left_us = until_us.saturating_sub(now_us);
        let request = &job.placement_request;
        let events_ms = match request.is_stream {
            true => request.output_events * expected.event_ms,
            false => 0.0,
        };
        let expected_ms = (expected.first_ms + events_ms) * EXPECTED_DURATION_FACTOR;
        let is_late = now_us >= self.late_from_us.load(Ordering::Relaxed);
        let min_us = if is_late { request.target_us } else { 0 };
        left_us >= min_us.max((expected_ms * 1e3) as Micros)
    }
}
