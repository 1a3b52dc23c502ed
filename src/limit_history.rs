//! Sums up from log lines, second by second, what quota servers granted an organisation, and by which shares.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt::{self, Display, Formatter},
};

use serde_json::{Map, Value};

use crate::{
    explain::{number_of, object, text_of},
    limits::quota::COPIES,
};

const MS_A_SECOND: i64 = 1_000;

/// What quota servers wrote of an organisation's limit in one second.
#[derive(Debug, Default)]
pub struct Second {
    /// Units granted, over all servers.
    pub granted: i64,
    /// Requests denied, over all servers.
    pub denied: i64,
    /// Accounts of which a line was written.
    pub accounts: usize,
    /// The shares of the limit that were leased to them, summed; 1 is the whole limit.
    pub share: f64,
    /// The fewest instances by which one of them divides a limit.
    pub fewest_instances: Option<i64>,
    /// The configurations in force.
    pub versions: BTreeSet<i64>,
    /// Changes of the limit, in words.
    pub changes: BTreeSet<String>,
}

/// What an organisation was granted, by second since 1970.
#[derive(Debug, Default)]
pub struct LimitHistory {
    /// What was written in each.
    pub seconds: BTreeMap<i64, Second>,
}

/// Returns the history of an organisation's limit; none if no line is about it.
///
/// A log is of one instance, or has its name before each line: what a server granted is the growth of what it counts
/// since it opened the account.
pub fn history(logs: &[&str], organisation: &str) -> Option<LimitHistory> {
    let mut history = LimitHistory::default();
    for log in logs {
        history.add(log, organisation);
    }
    (!history.seconds.is_empty()).then_some(history)
}

impl LimitHistory {
    fn add(&mut self, log: &str, organisation: &str) {
        let mut granted_before: HashMap<(String, i64), i64> = HashMap::new();
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
                    let account = (writer.to_owned(), number_of(&fields, "copy"));
                    let granted = number_of(&fields, "granted");
                    let before = granted_before.insert(account, granted);
                    let grown = granted - before.filter(|b| *b <= granted).unwrap_or(0);
                    self.seconds.entry(at).or_default().add(&fields, grown);
                }
                _ => {}
            }
        }
    }
}

impl Second {
    fn add(&mut self, fields: &Map<String, Value>, granted: i64) {
        self.granted += granted;
        self.denied += number_of(fields, "denied");
        self.accounts += 1;
        let share = fields.get("share").and_then(Value::as_f64);
        self.share += share.unwrap_or(0.0) / f64::from(COPIES);
        let instances = number_of(fields, "instances");
        let fewest = self.fewest_instances.unwrap_or(instances);
        self.fewest_instances = Some(fewest.min(instances));
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
            "{:>6} {:>10} {:>8} {:>8} {:>6} {:>9}  versions",
            "second", "granted", "denied", "accounts", "share", "instances"
        )?;
        for (at, second) in &self.seconds {
            let versions: Vec<String> = second.versions.iter().map(i64::to_string).collect();
            writeln!(
                f,
                "{:>6} {:>10} {:>8} {:>8} {:>6.2} {:>9}  {}",
                at - first,
                second.granted,
                second.denied,
                second.accounts,
                second.share,
                second.fewest_instances.unwrap_or(0),
                versions.join(" ")
            )?;
            for change in &second.changes {
                writeln!(f, "{:>6} {change}", "")?;
            }
        }
        Ok(())
    }
}
