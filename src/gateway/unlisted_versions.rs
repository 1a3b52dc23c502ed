//! When an instance reads the list of versions to learn that a version which it sees was written there.

use std::time::Duration;

use crate::prelude::Micros;

/// An instance that watches the store has most often written a new version by then.
const FIRST_DELAY: Duration = Duration::from_millis(60);
/// The longest delay between two reads, but for their spread.
const MAX_DELAY: Duration = Duration::from_secs(5);
/// All instances together read no more often: a quarter of what the store allows.
const READS_PER_S: f64 = 500.0;

/// Returns the delay before an instance reads the list for the `attempt`th time, from 0; `draw` is a random number from 0
/// to 1. The instances of a group of this size see a new version at the same moment.
pub fn read_delay(instances: usize, attempt: u32, draw: f64) -> Duration {
    let spread = Duration::from_secs_f64(instances as f64 / READS_PER_S);
    let delay = match attempt {
        0 => FIRST_DELAY,
        _ => (FIRST_DELAY * (1 << attempt.min(7)))
            .min(MAX_DELAY)
            .max(spread),
    };
    delay + spread.mul_f64(draw)
}

/// The reads for versions that are in service and not listed.
#[derive(Debug, Default)]
pub struct UnlistedReads {
    /// When the next one is due, while there are such versions.
    next_us: Option<Micros>,
    attempt: u32,
}

impl UnlistedReads {
    /// Notes whether there are such versions; returns whether the list is to be read now.
    pub fn is_due(
        &mut self,
        now_us: Micros,
        has_unlisted: bool,
        instances: usize,
        draw: f64,
    ) -> bool {
        if !has_unlisted {
            *self = Self::default();
            return false;
        }
        let delay = read_delay(instances, self.attempt, draw).as_micros() as Micros;
        let next_us = *self.next_us.get_or_insert(now_us + delay);
        if now_us < next_us {
            return false;
        }
        self.attempt += 1;
        let delay = read_delay(instances, self.attempt, draw).as_micros() as Micros;
        self.next_us = Some(now_us + delay);
        true
    }
}
