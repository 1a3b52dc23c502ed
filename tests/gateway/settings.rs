//! The platform's settings file: read, checked, and said what is wrong with it.

use ryevalve::platform::settings::PlatformSettings;

const GOOD: &str = r#"
nodeName = "edge-hall-a-1"
zone = "hall-a"
region = "almaty"
internalPorts = [7600, 7615]
seeds = ["10.1.0.25:8229"]
bootstrap = true
somethingNew = { of = "tomorrow" }
[listen]
frontend = "10.1.0.25:8221"
ready = "10.1.0.25:8224"
control = "10.1.0.25:8229"
[limits]
memoryMb = 260
maxFds = 4200
[bounds]
graceS = 8
revokeMs = 5000
drainMs = 1500
retryBudgetRatio = 0.2
[platform]
address = "10.200.1.7:8225"
"#;

#[test]
fn the_file_is_read_and_unknown_fields_are_passed_over() {
    let settings: PlatformSettings = toml::from_str(GOOD).unwrap();
    assert!(settings.faults().is_empty());
    assert!(settings.is_first_start);
    assert_eq!(settings.hall, "hall-a");
    assert_eq!(settings.peer_ports, (7600, 7615));
    assert_eq!(settings.bounds.revoke_ms, 5_000);
    assert_eq!(settings.bounds.drain_ms, 1_500);
    assert_eq!(
        settings.bounds.config_apply_ms, 2_000,
        "the strictest seen, where none is given"
    );
    assert_eq!(settings.bounds.budget_window_s, 10.0);
    assert!(settings.bounds.strict_revocation, "unless it is said");
}

#[test]
fn a_bad_value_is_named_with_its_place() {
    let text = GOOD.replace("10.1.0.25:8221", "nowhere");
    let error = toml::from_str::<PlatformSettings>(&text)
        .unwrap_err()
        .to_string();
    assert!(
        error.contains("frontend") && error.contains("nowhere"),
        "{error}"
    );
    let text = GOOD.replace("nodeName", "nodeNome");
    let error = toml::from_str::<PlatformSettings>(&text)
        .unwrap_err()
        .to_string();
    assert!(error.contains("nodeName"), "{error}");
}

#[test]
fn every_impossible_value_is_said_at_once() {
    let text = GOOD
        .replace("[7600, 7615]", "[7615, 7600]")
        .replace("maxFds = 4200", "maxFds = 20")
        .replace("graceS = 8", "graceS = 0")
        .replace("drainMs = 1500", "drainMs = 0")
        .replace("retryBudgetRatio = 0.2", "retryBudgetRatio = -1");
    let settings: PlatformSettings = toml::from_str(&text).unwrap();
    let faults = settings.faults().join("\n");
    for field in [
        "internalPorts",
        "maxFds",
        "graceS",
        "drainMs",
        "retryBudgetRatio",
    ] {
        assert!(faults.contains(field), "{field} in {faults}");
    }
    assert!(faults.contains("expected"));
}

/// Updates and places have a port each.
#[test]
fn one_port_for_what_instances_tell_each_other_is_too_few() {
    let text = GOOD.replace("[7600, 7615]", "[7600, 7600]");
    let settings: PlatformSettings = toml::from_str(&text).unwrap();
    assert_eq!(settings.faults().len(), 1);
}
