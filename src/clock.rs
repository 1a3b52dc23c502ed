//! The process's clock: microseconds since its start, and seconds since 1970 for what outlives it.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::{Duration, Instant};

use crate::prelude::Micros;

/// A monotonic clock; copies share their start.
///
/// It follows the runtime's clock, so tests that pause that one control this one.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock {
    /// Returns the time since the clock's start.
    pub fn now_us(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Returns the instant at which this clock shows `at_us`.
    pub fn instant(&self, at_us: Micros) -> Instant {
        self.start + Duration::from_micros(at_us)
    }
}

/// Returns seconds since 1970, for what is kept beyond the process.
pub fn unix_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}
