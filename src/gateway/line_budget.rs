//! Bounds how many lines of one kind go into the log in a second; what is left out is counted.

use crate::prelude::Micros;

const SECOND_US: Micros = 1_000_000;
/// Lines in a second, at most.
const MAX_LINES_PER_S: u32 = 200;

/// The lines of the second that runs.
#[derive(Debug, Default)]
pub struct LineBudget {
    since_us: Micros,
    asked: u32,
}

/// What becomes of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineDecision {
    /// It is written.
    pub is_written: bool,
    /// Lines that were left out in the second that has just ended.
    pub left_out: u32,
}

impl LineBudget {
    /// Asks for a line.
    pub fn admit(&mut self, now_us: Micros) -> LineDecision {
        let mut left_out = 0;
        if now_us.saturating_sub(self.since_us) >= SECOND_US {
            left_out = self.asked.saturating_sub(MAX_LINES_PER_S);
            self.since_us = now_us;
            self.asked = 0;
        }
        self.asked += 1;
        LineDecision {
            is_written: self.asked <= MAX_LINES_PER_S,
            left_out,
        }
    }
}
