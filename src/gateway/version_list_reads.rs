//! Reads of the list of versions that callers' requests need: those that begin after the request has arrived.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::{sync::Notify, time};

use crate::prelude::Micros;

/// Minimum time between two reads of an instance, for each instance of the group: together they make at most a thousand
/// a second.
const READ_INTERVAL_PER_INSTANCE_US: Micros = 1_000;
/// The same in a small group, in which several requests share a read.
const MIN_READ_INTERVAL_US: Micros = 20_000;
/// Time after which nobody waits for a requested read any more.
const REQUEST_LIFETIME_US: Micros = 500_000;

/// What was read of the list of versions since a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRead {
    /// All versions in service.
    Complete,
    /// A list that may lack versions.
    Incomplete,
    /// Nothing.
    Missing,
}

/// When the list of versions was read last, and since when a read is requested. All times are those at which reads
/// began.
#[derive(Debug, Default)]
pub struct VersionListReads {
    /// The latest time after which a read is requested; 0 before the first request.
    requested_us: AtomicU64,
    /// The last read, whether it succeeded or not; 0 before the first one.
    begun_us: AtomicU64,
    /// The last successful read; 0 before the first one.
    read_us: AtomicU64,
    /// The last successful read of a list that lacks no version; 0 before the first one.
    complete_us: AtomicU64,
    requested: Notify,
    read: Notify,
}

impl VersionListReads {
    /// Requests a read that begins at `since_us` or later, and waits for it until `timeout`.
    pub async fn read_since(&self, since_us: Micros, timeout: time::Instant) -> ListRead {
        let since_us = since_us.max(1);
        self.requested_us.fetch_max(since_us, Ordering::Relaxed);
        self.requested.notify_one();
        loop {
            let read = self.read.notified();
            let newest = self.newest_since(since_us);
            if newest != ListRead::Missing || time::timeout_at(timeout, read).await.is_err() {
                return newest;
            }
        }
    }

    fn newest_since(&self, since_us: Micros) -> ListRead {
        if self.complete_us.load(Ordering::Relaxed) >= since_us {
            ListRead::Complete
        } else if self.read_us.load(Ordering::Relaxed) >= since_us {
            ListRead::Incomplete
        } else {
            ListRead::Missing
        }
    }

    /// Waits until a read is requested.
    pub async fn requested(&self) {
        self.requested.notified().await;
    }

    /// Returns whether a requested read may begin, in a group of so many instances.
    pub fn is_due(&self, now_us: Micros, instances: usize) -> bool {
        let requested_us = self.requested_us.load(Ordering::Relaxed);
        let is_requested = requested_us > self.read_us.load(Ordering::Relaxed)
            && now_us.saturating_sub(requested_us) < REQUEST_LIFETIME_US;
        let interval_us = READ_INTERVAL_PER_INSTANCE_US.saturating_mul(instances as Micros);
        let next_us = match self.begun_us.load(Ordering::Relaxed) {
            0 => 0,
            begun_us => begun_us + interval_us.max(MIN_READ_INTERVAL_US),
        };
        is_requested && now_us >= next_us
    }

    /// Records that a read begins.
    pub fn begin(&self, now_us: Micros) {
        self.begun_us.store(now_us.max(1), Ordering::Relaxed);
    }

    /// Records that a read succeeded and that this instance knows what it brought.
    pub fn finish(&self, begun_us: Micros, is_complete: bool) {
        let begun_us = begun_us.max(1);
        if is_complete {
            self.complete_us.fetch_max(begun_us, Ordering::Relaxed);
        }
        self.read_us.fetch_max(begun_us, Ordering::Relaxed);
        self.read.notify_waiters();
    }
}
