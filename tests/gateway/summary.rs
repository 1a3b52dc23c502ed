//! Tests that log lines are counted by cause, and first events by source and expectation.

use ryevalve::summary::{Source, summarize};

const LOG: &str = r#"
   1.2000 edge-2 {"event":"request_refused","route":"r","status":429,"reason":"over_limit"}
{"event":"request_refused","route":"r","status":429,"reason":"over_limit"}
{"event":"request_answered","route":"r","outcome":"served","first_ms":90,"target_ms":300,"longest_gap_ms":20,"target_gap_ms":250,"attempts":1,"prompt_tokens":9,"expected_first_ms":60.0,"same_hall":true}
{"event":"request_answered","route":"r","outcome":"served","first_ms":400,"target_ms":300,"longest_gap_ms":20,"target_gap_ms":250,"attempts":1,"prompt_tokens":9,"expected_first_ms":60.0,"same_hall":true}
{"event":"request_answered","route":"r","outcome":"served","first_ms":90,"target_ms":300,"longest_gap_ms":251,"target_gap_ms":250,"attempts":1,"prompt_tokens":9,"expected_first_ms":301.0,"same_hall":false}
{"event":"request_answered","route":"r","outcome":"served","first_ms":90,"target_ms":300,"longest_gap_ms":1,"target_gap_ms":250,"attempts":2,"waited_before_ms":2400,"prompt_tokens":0}
{"event":"request_answered","route":"s","outcome":"broken","last_failure":"stream_broke","status":200}
not a line of ours
"#;

#[test]
fn requests_are_counted_by_route_and_cause() {
    let summary = summarize(LOG);
    let count = |route: &str, cause: &str| {
        let key = (route.to_owned(), cause.to_owned());
        summary.causes.get(&key).copied().unwrap_or(0)
    };
    assert_eq!(count("r", "refused 429 over_limit"), 2);
    assert_eq!(count("r", "in time"), 16, "one line in sixteen is logged");
    assert_eq!(count("r", "late, first event"), 1);
    assert_eq!(count("r", "late, pause between events"), 1);
    assert_eq!(count("r", "late, refused before"), 1);
    assert_eq!(count("s", "failed broken stream_broke"), 1);
    assert_eq!(summary.causes.len(), 6);
}

#[test]
fn first_events_are_grouped_by_hall_and_expectation() {
    let summary = summarize(LOG);
    let counts = |same_hall, expected_in_time| {
        let source = Source {
            same_hall,
            expected_in_time,
        };
        let events = summary.first_events.get(&source);
        events.map(|e| (e.count(), e.late()))
    };
    assert_eq!(counts(true, true), Some((17, 1)));
    assert_eq!(counts(false, false), Some((1, 0)));
    assert_eq!(counts(true, false), None);
    let shown = summary.to_string();
    assert!(shown.contains("late, first event"), "{shown}");
}

#[test]
fn an_empty_log_gives_an_empty_summary() {
    let summary = summarize("");
    assert!(summary.causes.is_empty() && summary.first_events.is_empty());
}
