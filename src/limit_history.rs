//! Summarises from log lines, per second, what quota servers granted an organisation and which shares of its limit they
//! had leased.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt::{self, Display, Formatter},
};

use serde_json::{Map, Value};

use crate::{
    explain::{number_of, object, text_of},
    limits::quota::COPIES,
};

const MS_PER_SECOND: i64 = 1_000;

/// What quota servers logged about an organisation's limit in one second.
#[derive(Debug, Default)]
pub struct Second {
    /// Units granted by all servers.
    pub granted: i64,
    /// Requests denied by all servers.
    pub denied: i64,
    /// Number of accounts that logged their state.
    pub accounts: usize,
    /// Sum of the shares of the limit that were leased to these accounts; 1 is the whole limit.
    pub share: f64,
    /// The smallest number of instances by which one of these accounts divides the limit.
    pub fewest_instances: Option<i64>,
    /// The configuration versions in force.
    pub versions: BTreeSet<i64>,
    /// Descriptions of the changes of the limit.
    pub changes: BTreeSet<String>,
}

/// The history of an organisation's limit, by Unix time in seconds.
#[derive(Debug, Default)]
pub struct LimitHistory {
    /// The seconds in which a line was logged.
    pub seconds: BTreeMap<i64, Second>,
}

/// Returns the history of an organisation's limit, or none if no log line is about it.
///
/// Each log must come from one instance, or have the instance's name before each line. Servers log the total granted
/// since they opened the account, so the grants of one second are the growth of that total.
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
            let at = number_of(&fields, "at").div_euclid(MS_PER_SECOND);
            match text_of(&fields, "event") {
                "limit_changed" => {
                    let change = describe_change(&fields);
                    self.seconds.entry(at).or_default().changes.insert(change);
                }
                "limit_state" => {
                    // The prefix that a log collector adds names the instance.
                    let writer = line.split('{').next().unwrap_or_default();
                    let writer = writer.split_whitespace().last().unwrap_or_default();
                    let account = (writer.to_owned(), number_of(&fields, "copy"));
                    let granted = number_of(&fields, "granted");
                    let before = granted_before.insert(account, granted);
                    let newly_granted = granted - before.filter(|b| *b <= granted).unwrap_or(0);
                    self.seconds
                        .entry(at)
                        .or_default()
                        .add(&fields, newly_granted);
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

fn describe_change(fields: &Map<String, Value>) -> String {
    let describe = |rate: &str, burst: &str| match number_of(fields, rate) {
        0 => "none".to_owned(),
        rate => format!("{rate}/s and {}", number_of(fields, burst)),
    };
    format!(
        "version {}: from {} to {}",
        number_of(fields, "config_version"),
        describe("before_per_s", "before_burst"),
        describe("rate_per_s", "burst"),
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
