//! Tests that an organisation's grants are summed per second over the logs of several instances.

use ryevalve::{limit_history::history, limits::quota::COPIES};

const ONE: &str = r#"
{"at":1000,"event":"limit_state","organisation":"org","copy":0,"granted":500,"denied":2,"share":1.0,"instances":78,"config_version":7}
{"at":2000,"event":"limit_state","organisation":"org","copy":0,"granted":800,"denied":0,"share":0.5,"instances":78,"config_version":7}
{"at":2000,"event":"limit_state","organisation":"another","copy":0,"granted":9000,"denied":0,"share":1.0,"instances":78,"config_version":7}
{"at":2100,"event":"limit_changed","organisation":"org","config_version":8,"before_per_s":100.0,"before_burst":50.0,"rate_per_s":0.0,"burst":0.0}
"#;
const OTHER: &str = r#"
{"at":2400,"event":"limit_state","organisation":"org","copy":1,"granted":70,"denied":1,"share":0.9,"instances":18,"config_version":8}
"#;

#[test]
fn grants_and_shares_are_summed_over_servers() {
    let history = history(&[ONE, OTHER], "org").unwrap();
    let second = &history.seconds[&2];
    assert_eq!(
        second.granted,
        300 + 70,
        "the growth of one total and the first total of the other"
    );
    assert_eq!(second.denied, 1);
    let share = (0.5 + 0.9) / f64::from(COPIES);
    assert!((second.share - share).abs() < 1e-9, "{}", second.share);
    assert_eq!(second.fewest_instances, Some(18));
    let shown = history.to_string();
    assert!(
        shown.contains("version 8: from 100/s and 50 to none"),
        "{shown}"
    );
}

#[test]
fn an_organisation_without_log_lines_has_no_history() {
    assert!(history(&[ONE], "unheard-of").is_none());
}
