//! Limits how many log lines of one kind are written per second, and counts the suppressed ones.

use crate::prelude::Micros;

const SECOND_US: Micros = 1_000_000;
/// Maximum number of lines per second.
const MAX_LINES_PER_S: u32 = 200;

/// Counts the lines of the current second.
#[derive(Debug, Default)]
pub struct LineBudget {
    since_us: Micros,
    requested: u32,
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineDecision {
    /// Whether the line is to be written.
    pub is_written: bool,
    /// Lines suppressed in the second that just ended; 0 unless this is the first line after it.
    pub left_out: u32,
}

impl LineBudget {
    /// Decides whether a line is written, and counts it.
    pub fn admit(&mut self, now_us: Micros) -> LineDecision {
        let mut left_out = 0;
        if now_us.saturating_sub(self.since_us) >= SECOND_US {
            left_out = self.requested.saturating_sub(MAX_LINES_PER_S);
            self.since_us = now_us;
            self.requested = 0;
        }
        self.requested += 1;
        LineDecision {
            is_written: self.requested <= MAX_LINES_PER_S,
            left_out,
        }
    }
}
