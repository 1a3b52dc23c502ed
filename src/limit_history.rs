//! Sums up from log lines, second by second, what instances let an organisation use and what they believed.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt::{self, Display, Formatter},
};

use serde_json::{Map, Value};

use crate::explain::{number_of, object, text_of};

const MS_A_SECOND: i64 = 1_000;

/// What instances wrote of an organisation's limit in one second.
#[derive(Debug, Default)]
pub struct Second {
    /// Units used, over all instances.
    pub used: i64,
    /// Requests refused, over all instances.
    pub refused: i64,
    /// Instances that wrote a line.
    pub writers: usize,
    /// The fewest instances that one of them knew.
    pub fewest_known: Option<i64>,
    /// The fewest that one of them heard.
    pub fewest_heard: Option<i64>,
    /// The oldest report that one of them counted, in milliseconds.
    pub oldest_report_ms: i64,
    /// The configurations in force.
    pub versions: BTreeSet<i64>,
    /// Changes of the limit, in words.
    pub changes: BTreeSet<String>,
}

/// An organisation's use, by second since 1970.
#[derive(Debug, Default)]
pub struct LimitHistory {
    /// What was written in each.
    pub seconds: BTreeMap<i64, Second>,
}

/// Returns the history of an organisation's limit; none if no line is about it.
///
/// Lines of several instances may be mixed, but those of one are in order, each behind its name or in a file after
/// another: an instance's use is the growth of what it counts since its start.
pub fn history(logs: &[&str], organisation: &str) -> Option<LimitHistory> {
    let mut history = LimitHistory::default();
    for log in logs {
        history.add(log, organisation);
    }
    (!history.seconds.is_empty()).then_some(history)
}

impl LimitHistory {
    fn add(&mut self, log: &str, organisation: &str) {
        let mut used_before: HashMap<String, i64> = HashMap::new();
        for line in log.lines() {
            let Some(fields) = object(line) else { continue };
            if text_of(&fields, "organisation") != organisation {
                continue;
            }
            let at = number_of(&fields, "at").div_euclid(MS_A_SECOND);
            match text_of(&fields, "event") {
                "limit_changed" => {
                    let change = change_in_words(&fields);
                    self.seconds.entry(at).or_default().changes.insert(change);
                }
                "limit_state" => {
                    // What a collector put before the line names the instance.
                    let writer = line.split('{').next().unwrap_or_default();
                    let writer = writer.split_whitespace().last().unwrap_or_default();
                    let used = number_of(&fields, "used");
                    let before = used_before.insert(writer.to_owned(), used);
                    let grown = used - before.filter(|b| *b <= used).unwrap_or(0);
                    self.seconds.entry(at).or_default().add(&fields, grown);
                }
                _ => {}
            }
        }
    }
}

impl Second {
    fn add(&mut self, fields: &Map<String, Value>, used: i64) {
        self.used += used;
        self.refused += number_of(fields, "refused");
        self.writers += 1;
        let known = number_of(fields, "instances");
        let heard = number_of(fields, "instances_heard");
        self.fewest_known = Some(self.fewest_known.map_or(known, |k| k.min(known)));
        self.fewest_heard = Some(self.fewest_heard.map_or(heard, |h| h.min(heard)));
        let age_ms = number_of(fields, "oldest_report_ms");
        self.oldest_report_ms = self.oldest_report_ms.max(age_ms);
        self.versions.insert(number_of(fields, "config_version"));
    }
}

fn change_in_words(fields: &Map<String, Value>) -> String {
    let words = |rate: &str, burst: &str| match number_of(fields, rate) {
        0 => "none".to_owned(),
        rate => format!("{rate}/s and {}", number_of(fields, burst)),
    };
    format!(
        "version {}: from {} to {}",
        number_of(fields, "config_version"),
        words("before_per_s", "before_burst"),
        words("rate_per_s", "burst"),
    )
}

impl Display for LimitHistory {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let first = self.seconds.keys().next().copied().unwrap_or(0);
        writeln!(
            f,
            "{:>6} {:>10} {:>8} {:>9} {:>6} {:>6} {:>10}  versions",
            "second", "used", "refused", "instances", "known", "heard", "report ms"
        )?;
        for (at, second) in &self.seconds {
            let versions: Vec<String> = second.versions.iter().map(i64::to_string).collect();
            writeln!(
                f,
                "{:>6} {:>10} {:>8} {:>9} {:>6} {:>6} {:>10}  {}",
                at - first,
                second.used,
                second.refused,
                second.writers,
                second.fewest_known.unwrap_or(0),
                second.fewest_heard.unwrap_or(0),
                second.oldest_report_ms,
                versions.join(" ")
            )?;
            for change in &second.changes {
                writeln!(f, "{:>6} {change}", "")?;
            }
        }
        Ok(())
    }
}
