//! Replays many traces and compares the policy with the bound, with the baselines, and with itself when
//! single rules are off.
//!
//!     cargo run --release --example policy -- --seeds 11-20 [--faults all|none,burst] [--workload W]
//!         [--set '{"work_weight": 2.0}'] [--baselines] [--ablate] [--each]
//!
//! `--set` overrides policy settings with a JSON object; `--baselines` also replays the baselines;
//! `--ablate` also replays with each rule off in turn; `--each` prints a line per trace and policy.

use std::{collections::BTreeMap, sync::Mutex, thread};

use ryevalve::{
    core::scheduler::PolicySettings,
    replay::{
        bound,
        generate::{DEFAULT_REQUESTS, FAULTS, Fault, WORKLOADS, Workload, generate},
        outcome::{Bound, PolicyOutcome},
        run::{POLICIES, Policy, replay_one},
    },
};
use serde_json::{Map, Value, json};

const RULES: [&str; 8] = [
    "prefix_affinity",
    "deadline_check",
    "learn_speed",
    "predict_length",
    "fair_shares",
    "event_room",
    "short_first",
    "protect_streams",
];

struct Options {
    seeds: std::ops::RangeInclusive<u64>,
    faults: Vec<(&'static str, Fault)>,
    workloads: Vec<(&'static str, Workload)>,
    policies: Vec<Policy>,
    each: bool,
    requests: usize,
}

/// The outcome of one policy on one trace, with the bound for that trace.
struct Sample {
    policy: String,
    workload: &'static str,
    fault: &'static str,
    seed: u64,
    outcome: PolicyOutcome,
    bound: Bound,
}

impl Sample {
    fn top_tier_ratio(&self) -> f64 {
        ratio(self.outcome.tiers[0].in_time, self.bound.tiers[0].in_time)
    }

    fn in_time(&self) -> u64 {
        self.outcome.tiers.iter().map(|t| t.in_time).sum()
    }

    fn in_time_ratio(&self) -> f64 {
        ratio(self.in_time(), self.bound.in_time_sum)
    }

    fn extra_prefill_ratio(&self) -> f64 {
        ratio(
            self.outcome.prefill_tokens,
            self.outcome.prefill_tokens_min_of_answered,
        )
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

fn main() {
    let options = parse_options();
    let mut jobs: Vec<(&str, Workload, &str, Fault, u64)> = Vec::new();
    for &(workload_name, workload) in &options.workloads {
        for &(fault_name, fault) in &options.faults {
            for seed in options.seeds.clone() {
                jobs.push((workload_name, workload, fault_name, fault, seed));
            }
        }
    }
    let jobs = Mutex::new(jobs);
    let samples = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..thread::available_parallelism().map_or(1, |n| n.get()) {
            scope.spawn(|| {
                loop {
                    let Some((workload, kind, fault, fault_kind, seed)) =
                        jobs.lock().expect("no holder panics").pop()
                    else {
                        return;
                    };
                    let trace = generate(kind, seed, options.requests, fault_kind);
                    let bound = bound::bound(&trace);
                    for policy in &options.policies {
                        let outcome = replay_one(&trace, policy);
                        samples.lock().expect("no holder panics").push(Sample {
                            policy: outcome.policy.clone(),
                            workload,
                            fault,
                            seed,
                            outcome,
                            bound: bound.clone(),
                        });
                    }
                }
            });
        }
    });
    let mut samples = samples.into_inner().expect("no holder panics");
    samples.sort_by_key(|s| (s.workload, s.fault, s.seed, s.policy.clone()));
    if options.each {
        print_each(&samples);
    }
    print_summary(&samples);
}

fn print_each(samples: &[Sample]) {
    println!(
        "workload  fault           seed  policy            top/bound  sum/bound  waste      extra prefill  violations"
    );
    for s in samples {
        println!(
            "{:<9} {:<15} {:>4}  {:<16}  {:>9.4}  {:>9.4}  {:>9}  {:>13.3}  {:>10}",
            s.workload,
            s.fault,
            s.seed,
            s.policy,
            s.top_tier_ratio(),
            s.in_time_ratio(),
            s.outcome.wasted_prefill_tokens,
            s.extra_prefill_ratio(),
            s.outcome.violations
        );
    }
}

fn print_summary(samples: &[Sample]) {
    let mut groups: BTreeMap<(&str, &str), Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        groups
            .entry((sample.workload, &sample.policy))
            .or_default()
            .push(sample);
    }
    println!(
        "workload  policy                   traces  top mean  top worst  sum mean  sum worst  waste mean  thrown away      again  extra prefill  behind  violations"
    );
    for ((workload, policy), group) in groups {
        let mean = |f: &dyn Fn(&Sample) -> f64| {
            group.iter().map(|s| f(s)).sum::<f64>() / group.len() as f64
        };
        let worst =
            |f: &dyn Fn(&Sample) -> f64| group.iter().map(|s| f(s)).fold(f64::INFINITY, f64::min);
        let behind = group.iter().filter(|s| is_behind(s, samples)).count();
        let violations: u64 = group.iter().map(|s| s.outcome.violations).sum();
        println!(
            "{workload:<9} {policy:<24} {:>6}  {:>8.4}  {:>9.4}  {:>8.4}  {:>9.4}  {:>10.0}  {:>11.0} {:>10.0}  {:>13.3}  {behind:>6}  {violations:>10}",
            group.len(),
            mean(&Sample::top_tier_ratio),
            worst(&Sample::top_tier_ratio),
            mean(&Sample::in_time_ratio),
            worst(&Sample::in_time_ratio),
            mean(&|s| s.outcome.wasted_prefill_tokens as f64),
            mean(&|s| s.outcome.thrown_away_tokens as f64),
            mean(&|s| s.outcome.computed_again_tokens as f64),
            mean(&Sample::extra_prefill_ratio),
        );
    }
}

/// Returns whether another policy finished more top-tier requests in time on the same trace.
fn is_behind(sample: &Sample, samples: &[Sample]) -> bool {
    samples.iter().any(|other| {
        let same = (other.workload, other.fault, other.seed)
            == (sample.workload, sample.fault, sample.seed);
        same && other.outcome.tiers[0].in_time > sample.outcome.tiers[0].in_time
    })
}

fn parse_options() -> Options {
    let mut options = Options {
        seeds: 1..=10,
        faults: FAULTS.to_vec(),
        workloads: WORKLOADS.to_vec(),
        policies: Vec::new(),
        each: false,
        requests: DEFAULT_REQUESTS,
    };
    let mut settings = PolicySettings::default();
    let (mut baselines, mut ablate) = (false, false);
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        let mut value = || args.next().expect("a value");
        match arg.as_str() {
            "--seeds" => {
                let text = value();
                let (from, to) = text.split_once('-').unwrap_or((&text, &text));
                options.seeds = from.parse().expect("a seed")..=to.parse().expect("a seed");
            }
            "--faults" => {
                let text = value();
                let wanted = |name: &str| text == "all" || text.split(',').any(|f| f == name);
                options.faults.retain(|(name, _)| wanted(name));
            }
            "--workload" => {
                let text = value();
                options.workloads.retain(|(name, _)| *name == text);
            }
            "--requests" => options.requests = value().parse().expect("a number"),
            "--set" => settings = with_changes(&settings, &value()),
            "--baselines" => baselines = true,
            "--ablate" => ablate = true,
            "--each" => options.each = true,
            other => panic!("unknown flag {other}"),
        }
    }
    options.policies = policies(&settings, baselines, ablate);
    options
}

fn policies(settings: &PolicySettings, baselines: bool, ablate: bool) -> Vec<Policy> {
    let scheduler = |name: &str, settings: PolicySettings| {
        Policy::Scheduler(name.to_owned(), Box::new(settings))
    };
    let mut policies = vec![scheduler("ryevalve", settings.clone())];
    if baselines {
        let names = POLICIES.iter().filter(|n| **n != "ryevalve");
        policies.extend(names.filter_map(|n| n.parse::<Policy>().ok()));
    }
    if ablate {
        for rule in RULES {
            let off = with_changes(settings, &json!({rule: false}).to_string());
            policies.push(scheduler(&format!("no {rule}"), off));
        }
    }
    policies
}

fn with_changes(settings: &PolicySettings, json: &str) -> PolicySettings {
    let mut fields: Map<String, Value> = serde_json::to_value(settings)
        .ok()
        .and_then(|v| v.as_object().cloned())
        .expect("settings are an object");
    let changes: Map<String, Value> = serde_json::from_str(json).expect("a JSON object");
    fields.extend(changes);
    serde_json::from_value(Value::Object(fields)).expect("settings of the right types")
}
