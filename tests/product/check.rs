//! Validation of the configuration as by `ryevalve check`, and deltas between versions.

use ryevalve::config::{self, check};

const FAULTY: &str = r#"
[[hall]]
name = "nord"
data_centre = "d"

[[tier]]
name = "gate"
rank = 3
default_deadline_ms = 10
max_deadline_ms = 5

[[organisation]]
name = "airline"
key_sha256 = ["abc"]
tiers = ["gaet"]
weight = 0.0

[[pool]]
name = "agent"
kind = "model"

[[service]]
name = "agent-llm"
pool = "agnet"

[[endpoint]]
name = "e1"
pool = "agent"
addr = "localhost"
hall = "nrod"
slots = 0

[[endpoint]]
name = "e1"
pool = "agent"
addr = "127.0.0.1:1"
hall = "nord"
slots = "four"

[[evnet]]
name = "x"
"#;

#[test]
fn all_faults_are_reported_with_position_and_fix() {
    let faults = config::parse(FAULTY).unwrap_err();
    let messages: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let expected = [
        "7:8: tier `gate` has rank 3",
        "default_deadline_ms 10 and max_deadline_ms 5",
        "no SHA-256",
        "did you mean `gate`?",
        "weight 0",
        "did you mean `agent`?",
        "localhost",
        "did you mean `nord`?",
        "0 slots",
        "unknown section `evnet`; did you mean `event`?",
    ];
    let line = FAULTY
        .lines()
        .position(|l| l == "slots = \"four\"")
        .unwrap()
        + 1;
    let wrong_type = format!("{line}:9: invalid type: string \"four\"");
    for part in expected.into_iter().chain([wrong_type.as_str()]) {
        assert!(
            messages.iter().any(|t| t.contains(part)),
            "{part} is not in {messages:#?}"
        );
    }
}

#[test]
fn the_example_configurations_are_valid_and_have_the_expected_sizes() {
    for (text, engines) in [
        (include_str!("../../configs/broye.toml"), 46),
        (include_str!("../../configs/steppe.toml"), 51),
    ] {
        let config = config::parse(text).unwrap();
        assert_eq!((config.halls.len(), config.organisations.len()), (4, 5));
        assert_eq!(config.endpoints.len(), engines + 4);
        let runners: std::collections::BTreeSet<_> = config
            .endpoints
            .iter()
            .filter_map(|e| e.runner.clone())
            .collect();
        assert_eq!(runners.len(), 18);
        assert_eq!(config::parse(&check::render(&config)), Ok(config));
    }
}

#[test]
fn a_delta_applies_completely_to_its_version_or_fails() {
    let base = config::parse(include_str!("../../configs/broye.toml")).unwrap();
    let mut changed = base.clone();
    changed.endpoints[3].slots = 2;
    changed.organisations.pop();
    let one = config::Versioned::from_config(1, base);
    let two = config::Versioned::from_config(2, changed);
    let delta = one.delta_to(&two);
    assert_eq!(delta.changes.len(), 2);
    assert_eq!(one.apply(&delta).unwrap(), two);
    assert!(
        two.apply(&delta).is_err(),
        "the delta was applied to another version"
    );
    let mut partial = delta;
    partial.changes.pop();
    assert!(one.apply(&partial).is_err(), "a partial delta was applied");
}
