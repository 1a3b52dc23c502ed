//! Decoding and validation of the platform's settings file.

use ryevalve::platform::settings::PlatformSettings;

const VALID: &str = r#"
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
fn the_file_is_decoded_and_unknown_fields_are_ignored() {
    let settings: PlatformSettings = toml::from_str(VALID).unwrap();
    assert!(settings.faults().is_empty());
    assert!(settings.is_first_start);
    assert_eq!(settings.hall, "hall-a");
    assert_eq!(settings.peer_ports, (7600, 7615));
    assert_eq!(settings.bounds.revoke_ms, 5_000);
    assert_eq!(settings.bounds.drain_ms, 1_500);
    assert_eq!(
        settings.bounds.config_apply_ms, 2_000,
        "the strictest known value, if none is given"
    );
    assert_eq!(settings.bounds.budget_window_s, 10.0);
    assert!(settings.bounds.strict_revocation, "strict by default");
}

#[test]
fn errors_name_the_field_and_the_value() {
    let text = VALID.replace("10.1.0.25:8221", "nowhere");
    let error = toml::from_str::<PlatformSettings>(&text)
        .unwrap_err()
        .to_string();
    assert!(
        error.contains("frontend") && error.contains("nowhere"),
        "{error}"
    );
    let text = VALID.replace("nodeName", "nodeNome");
    let error = toml::from_str::<PlatformSettings>(&text)
        .unwrap_err()
        .to_string();
    assert!(error.contains("nodeName"), "{error}");
}

#[test]
fn all_values_out_of_range_are_reported_at_once() {
    let text = VALID
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

/// Messages between instances need two ports: one for updates, one for reservations.
#[test]
fn a_range_of_one_internal_port_is_refused() {
    let text = VALID.replace("[7600, 7615]", "[7600, 7600]");
    let settings: PlatformSettings = toml::from_str(&text).unwrap();
    assert_eq!(settings.faults().len(), 1);
}

/// A share of 0 or of all requests, or no time to stop, cannot be kept or means nothing.
#[test]
fn limits_of_roll_outs_out_of_range_are_reported() {
    let with = |lines: &str| {
        let text = VALID.replace("[bounds]\n", &format!("[bounds]\n{lines}\n"));
        toml::from_str::<PlatformSettings>(&text).unwrap()
    };
    let good = with("exposureShare = 0.1\nexposureSlack = 50\nrollbackMs = 5000");
    assert!(good.faults().is_empty());
    assert_eq!(good.bounds.exposure_share, Some(0.1));
    assert_eq!(good.bounds.rollback_ms, Some(5_000));
    for lines in [
        "exposureShare = 0.0",
        "exposureShare = 1.0",
        "exposureShare = nan",
        "exposureSlack = -1",
        "rollbackMs = 0",
    ] {
        let faults = with(lines).faults();
        assert_eq!(faults.len(), 1, "{lines}: {faults:?}");
        let field = lines.split(' ').next().unwrap();
        assert!(faults[0].contains(field), "{faults:?}");
    }
}
