//! Summarises from log lines how requests ended and why, and how accurately the time to the first event was predicted.

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
};

use hdrhistogram::Histogram;
use serde_json::{Map, Value};

use crate::{explain, gateway::report::SAMPLE_INTERVAL};

/// The longest recorded time to the first event, in milliseconds: no caller waits longer.
const MAX_FIRST_MS: u64 = 600_000;
/// Significant digits of the quantiles.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Outcomes of requests by route, and expected and measured times to the first event.
#[derive(Debug, Default)]
pub struct Summary {
    /// Number of requests by route and cause. A sampled line counts for every request that it represents.
    pub causes: BTreeMap<(String, String), u64>,
    /// Times to the first event of streams, by source.
    pub first_events: BTreeMap<Source, FirstEvents>,
    /// The last step of each roll-out by service and version, with its time and description.
    pub rollouts: BTreeMap<(String, String), (u64, String)>,
}

/// The kind of endpoint that a first event came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Source {
    /// Whether the endpoint is in the instance's own hall.
    pub same_hall: bool,
    /// Whether the endpoint was expected to answer within the target.
    pub expected_in_time: bool,
}

/// Expected and measured times to the first event, in milliseconds.
#[derive(Debug)]
pub struct FirstEvents {
    expected_ms: Histogram<u64>,
    measured_ms: Histogram<u64>,
    late: u64,
}

impl Default for FirstEvents {
    fn default() -> Self {
        let histogram = || Histogram::new_with_max(MAX_FIRST_MS, SIGNIFICANT_DIGITS);
        // The bounds are constants that are valid for the library.
        let [expected_ms, measured_ms] = [(); 2].map(|()| histogram().expect("bounds are valid"));
        Self {
            expected_ms,
            measured_ms,
            late: 0,
        }
    }
}

impl FirstEvents {
    /// Returns the number of first events.
    pub fn count(&self) -> u64 {
        self.measured_ms.len()
    }

    /// Returns the number of first events that came after their target.
    pub fn late(&self) -> u64 {
        self.late
    }

    fn add(&mut self, expected_ms: u64, measured_ms: u64, is_late: bool, count: u64) {
        self.expected_ms.saturating_record_n(expected_ms, count);
        self.measured_ms.saturating_record_n(measured_ms, count);
        self.late += if is_late { count } else { 0 };
    }
}

/// Summarises the log lines of any number of instances.
pub fn summarize(text: &str) -> Summary {
    let mut summary = Summary::default();
    for line in text.lines().filter_map(explain::object) {
        match explain::text_of(&line, "event") {
            "request_refused" => summary.refused(&line),
            "request_answered" => summary.answered(&line),
            event @ ("rollout_stage" | "rollout_rolled_back" | "rollout_completed") => {
                summary.rollout_step(event, &line);
            }
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

    /// Keeps the latest step; of the instances that log it at about the same time, one that decided on it.
    fn rollout_step(&mut self, event: &str, line: &Map<String, Value>) {
        let text = |field: &str| explain::text_of(line, field).to_owned();
        let at = explain::number_of(line, "at").max(0) as u64;
        let is_decided = explain::text_of(line, "from") == "decided";
        let key = (text("service"), text("version"));
        let known = self.rollouts.get(&key);
        let is_later = known.is_none_or(|(known_at, _)| at > *known_at);
        if is_decided && is_later {
            let step = explain::rollout_step(event, line);
            self.rollouts.insert(key, (at, step));
        }
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
            for histogram in [&events.expected_ms, &events.measured_ms] {
                let at = |quantile| histogram.value_at_quantile(quantile);
                write!(f, " {:>6} {:>6} {:>6}  ", at(0.1), at(0.5), at(0.9))?;
            }
            writeln!(f)?;
        }
        if !self.rollouts.is_empty() {
            writeln!(f, "\nroll-outs")?;
        }
        for ((service, _), (_, step)) in &self.rollouts {
            writeln!(f, "{service:16} {step}")?;
        }
        Ok(())
    }
}
