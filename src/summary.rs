//! Sums up from log lines how requests ended and why, and how well first events were foreseen.

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
};

use hdrhistogram::Histogram;
use serde_json::{Map, Value};

use crate::{explain, gateway::report::SAMPLE_INTERVAL};

/// The longest first event that is told apart, in milliseconds: no caller waits longer.
const MAX_FIRST_MS: u64 = 600_000;
/// Significant digits of the quantiles.
const DIGITS: u8 = 2;

/// How requests ended, by route, and how well first events were foreseen.
#[derive(Debug, Default)]
pub struct Summary {
    /// Requests by route and cause; a line that stands for a sample counts for all of it.
    pub causes: BTreeMap<(String, String), u64>,
    /// First events of streams by where they came from.
    pub first_events: BTreeMap<Source, FirstEvents>,
}

/// Where a first event came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Source {
    /// From an endpoint in the instance's own hall.
    pub same_hall: bool,
    /// From one that was believed to answer within the target.
    pub expected_in_time: bool,
}

/// First events, expected and seen, in milliseconds.
#[derive(Debug)]
pub struct FirstEvents {
    expected_ms: Histogram<u64>,
    seen_ms: Histogram<u64>,
    late: u64,
}

impl Default for FirstEvents {
    fn default() -> Self {
        let histogram = || Histogram::new_with_max(MAX_FIRST_MS, DIGITS);
        // The bounds are constants that the library takes.
        let [expected_ms, seen_ms] = [(); 2].map(|()| histogram().expect("bounds are valid"));
        Self {
            expected_ms,
            seen_ms,
            late: 0,
        }
    }
}

impl FirstEvents {
    /// Returns how many first events there were.
    pub fn count(&self) -> u64 {
        self.seen_ms.len()
    }

    /// Returns how many of them came after their target.
    pub fn late(&self) -> u64 {
        self.late
    }

    fn add(&mut self, expected_ms: u64, seen_ms: u64, is_late: bool, count: u64) {
        self.expected_ms.saturating_record_n(expected_ms, count);
        self.seen_ms.saturating_record_n(seen_ms, count);
        self.late += if is_late { count } else { 0 };
    }
}

/// Sums up the lines of any number of instances.
pub fn summarize(text: &str) -> Summary {
    let mut summary = Summary::default();
    for line in text.lines().filter_map(explain::object) {
        match explain::text_of(&line, "event") {
            "request_refused" => summary.refused(&line),
            "request_answered" => summary.answered(&line),
            _ => {}
        }
    }
    summary
}

impl Summary {
    fn count(&mut self, line: &Map<String, Value>, cause: String, count: u64) {
        let route = explain::text_of(line, "route").to_owned();
        *self.causes.entry((route, cause)).or_default() += count;
    }

    fn refused(&mut self, line: &Map<String, Value>) {
        let reason = explain::text_of(line, "reason");
        let status = explain::number_of(line, "status");
        self.count(line, format!("refused {status} {reason}"), 1);
    }

    fn answered(&mut self, line: &Map<String, Value>) {
        let outcome = explain::text_of(line, "outcome");
        if outcome != "served" {
            let last = explain::text_of(line, "last_failure");
            self.count(line, format!("failed {outcome} {last}"), 1);
            return;
        }
        let number = |name: &str| explain::number_of(line, name).max(0) as u64;
        let (first_ms, target_ms) = (number("first_ms"), number("target_ms"));
        let is_late = first_ms > target_ms;
        let paused = number("longest_gap_ms") > number("target_gap_ms");
        let is_plain = !is_late && !paused && number("attempts") <= 1;
        let count = if is_plain {
            u64::from(SAMPLE_INTERVAL)
        } else {
            1
        };
        if number("prompt_tokens") > 0 {
            let expected_ms = number("expected_first_ms");
            let source = Source {
                same_hall: line.get("same_hall").and_then(Value::as_bool) == Some(true),
                expected_in_time: expected_ms <= target_ms,
            };
            let first_events = self.first_events.entry(source).or_default();
            first_events.add(expected_ms, first_ms, is_late, count);
        }
        let cause = match () {
            () if number("waited_before_ms") >= target_ms => "late, refused before",
            () if is_late && number("attempts") > 1 => "late, sent again",
            () if is_late => "late, first event",
            () if paused => "late, pause between events",
            () => "in time",
        };
        self.count(line, cause.to_owned(), count);
    }
}

impl Display for Summary {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:16} {:44} {:>8}",
            "route", "what came of it", "requests"
        )?;
        for ((route, cause), count) in &self.causes {
            writeln!(f, "{route:16} {cause:44} {count:>8}")?;
        }
        writeln!(
            f,
            "\n{:10} {:10} {:>8} {:>8}   {:>20}   {:>20}",
            "hall", "expected", "streams", "late", "expected p10 p50 p90", "first ms p10 p50 p90"
        )?;
        for (source, events) in &self.first_events {
            let hall = if source.same_hall { "own" } else { "other" };
            let expected = match source.expected_in_time {
                true => "in time",
                false => "late",
            };
            let (count, late) = (events.count(), events.late());
            write!(f, "{hall:10} {expected:10} {count:>8} {late:>8}  ")?;
            for histogram in [&events.expected_ms, &events.seen_ms] {
                let at = |quantile| histogram.value_at_quantile(quantile);
                write!(f, " {:>6} {:>6} {:>6}  ", at(0.1), at(0.5), at(0.9))?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
