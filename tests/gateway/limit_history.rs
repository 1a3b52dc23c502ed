//! An organisation's use is summed up by second over the logs of several instances.

use ryevalve::limit_history::history;

const ONE: &str = r#"
{"at":1000,"event":"limit_state","organisation":"org","used":500,"refused":2,"instances":78,"instances_heard":78,"oldest_report_ms":90,"config_version":7}
{"at":2000,"event":"limit_state","organisation":"org","used":800,"refused":0,"instances":78,"instances_heard":2,"oldest_report_ms":1900,"config_version":7}
{"at":2000,"event":"limit_state","organisation":"another","used":9000,"refused":0,"instances":78,"instances_heard":2,"oldest_report_ms":0,"config_version":7}
{"at":2100,"event":"limit_changed","organisation":"org","config_version":8,"before_per_s":100.0,"before_burst":50.0,"rate_per_s":0.0,"burst":0.0}
"#;
const OTHER: &str = r#"
{"at":2400,"event":"limit_state","organisation":"org","used":70,"refused":1,"instances":18,"instances_heard":2,"oldest_report_ms":10,"config_version":8}
"#;

#[test]
fn use_is_summed_over_instances_and_told_apart_from_what_they_believed() {
    let history = history(&[ONE, OTHER], "org").unwrap();
    let second = &history.seconds[&2];
    assert_eq!(
        second.used,
        300 + 70,
        "the growth of one, and the other's first"
    );
    assert_eq!(second.refused, 1);
    assert_eq!(second.fewest_known, Some(18));
    assert_eq!(second.fewest_heard, Some(2));
    assert_eq!(second.oldest_report_ms, 1_900);
    let shown = history.to_string();
    assert!(
        shown.contains("version 8: from 100/s and 50 to none"),
        "{shown}"
    );
}

#[test]
fn an_organisation_without_a_line_has_no_history() {
    assert!(history(&[ONE], "unheard-of").is_none());
}
