//! Replays of stored traces against expected results, and checks that a replay is deterministic.

use ryevalve::replay::{
    expect::{Expectations, unmet},
    generate::{FAULTS, WORKLOADS, generate},
    outcome::ReplayOutcome,
    run::{POLICIES, replay},
    trace::Trace,
};

fn replay_all_policies(trace: &Trace) -> ReplayOutcome {
    let policies: Vec<_> = POLICIES.iter().map(|name| name.parse().unwrap()).collect();
    replay(trace, &policies)
}

fn check_expectations(trace: &str, toml: &str) {
    let trace = Trace::read(trace).unwrap();
    let expectations: Expectations = toml::from_str(toml).unwrap();
    assert!(!expectations.expect.is_empty());
    let outcome = replay_all_policies(&trace);
    assert_eq!(unmet(&expectations, &outcome), [] as [String; 0]);
}

#[test]
fn departure_bank_with_slow_engines_meets_expectations() {
    check_expectations(
        include_str!("../traces/broye-slow-engine.jsonl"),
        include_str!("../traces/broye-slow-engine.toml"),
    );
}

#[test]
fn departure_bank_with_leader_crash_meets_expectations() {
    check_expectations(
        include_str!("../traces/broye-leader-death.jsonl"),
        include_str!("../traces/broye-leader-death.toml"),
    );
}

#[test]
fn grid_disturbance_with_engine_crashes_meets_expectations() {
    check_expectations(
        include_str!("../traces/steppe-endpoint-death.jsonl"),
        include_str!("../traces/steppe-endpoint-death.toml"),
    );
}

#[test]
fn replay_of_every_fault_is_deterministic_and_without_breaches() {
    for (_, workload) in WORKLOADS {
        for (_, fault) in FAULTS {
            let trace = generate(workload, 5, 120, fault);
            assert_eq!(trace, generate(workload, 5, 120, fault));
            let mut text = Vec::new();
            trace.write(&mut text).unwrap();
            assert_eq!(
                Trace::read(std::str::from_utf8(&text).unwrap()).unwrap(),
                trace
            );
            let [first, second] = [(); 2].map(|()| {
                let mut outcome = replay_all_policies(&trace);
                for policy in &mut outcome.policies {
                    (policy.decision_us_p50, policy.decision_us_p99) = (0.0, 0.0);
                }
                outcome
            });
            assert_eq!(first, second);
            for policy in &first.policies {
                assert_eq!(policy.violations, 0, "{:?}", policy.breaches);
                for (tier, bound) in policy.tiers.iter().zip(&first.bound.tiers) {
                    assert!(
                        tier.in_time <= bound.in_time,
                        "{} passes the bound",
                        policy.policy
                    );
                }
            }
        }
    }
}

#[test]
fn unmet_expectations_are_reported() {
    let trace = Trace::read(include_str!("../traces/broye-slow-engine.jsonl")).unwrap();
    let outcome = replay_all_policies(&trace);
    let text = "[[expect]]\npolicy = 'fifo'\ntier = 'gate'\nmin_share_of_bound = 0.99\n\
                [[expect]]\npolicy = 'nobody'\n[[expect]]\npolicy = 'fifo'\nnot_behind_others = true";
    let expectations: Expectations = toml::from_str(text).unwrap();
    assert!(unmet(&expectations, &outcome).len() >= 3);
}
