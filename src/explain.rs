//! Explains one request from the log lines of any number of instances.

use std::fmt::Write as _;

use serde_json::{Map, Value};

/// Parses the JSON object of a log line, skipping any prefix that a log collector added. Returns none for other lines.
pub(crate) fn object(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

/// Returns the log lines of a request, or of the roll-outs of a service, sorted by time.
pub fn lines_of(text: &str, subject: &str) -> Vec<Map<String, Value>> {
    let objects = text.lines().filter_map(object);
    let is_rollout = |o: &Map<String, Value>| {
        text_of(o, "event").starts_with("rollout_")
            && [text_of(o, "service"), text_of(o, "name")].contains(&subject)
    };
    // A stream is shown from the ids of both the attempt that began it and the one that took it up.
    let is_request = |o: &Map<String, Value>| {
        ["request_id", "resumes"]
            .iter()
            .any(|field| o.get(*field).and_then(Value::as_str) == Some(subject))
    };
    let matching = objects.filter(|o| is_request(o) || is_rollout(o));
    let mut lines: Vec<_> = matching.collect();
    lines.sort_by_key(|o| o.get("at").and_then(Value::as_u64));
    lines
}

/// Describes what happened to a request, or in the roll-outs of a service. Returns none if no log line belongs to it.
pub fn explain(text: &str, subject: &str) -> Option<String> {
    let lines = lines_of(text, subject);
    let first = lines.first()?;
    let first_at = first.get("at").and_then(Value::as_u64)?;
    let kind = match first.contains_key("request_id") {
        true => "request",
        false => "roll-outs of",
    };
    let mut out = format!("{kind} {subject}\n");
    for line in &lines {
        let at = line.get("at").and_then(Value::as_u64).unwrap_or(first_at);
        let event = text_of(line, "event");
        // Writing into a string cannot fail.
        let _ = writeln!(out, "  +{:>5} ms  {}", at - first_at, sentence(event, line));
        let inputs = inputs(line);
        if !inputs.is_empty() {
            let _ = writeln!(out, "             {inputs}");
        }
    }
    Some(out)
}

pub(crate) fn text_of<'l>(line: &'l Map<String, Value>, field: &str) -> &'l str {
    line.get(field).and_then(Value::as_str).unwrap_or("-")
}

pub(crate) fn number_of(line: &Map<String, Value>, field: &str) -> i64 {
    let number = line.get(field);
    number
        .and_then(|n| n.as_i64().or(n.as_f64().map(|f| f as i64)))
        .unwrap_or(0)
}

fn sentence(event: &str, line: &Map<String, Value>) -> String {
    match event {
        "request_refused" => format!(
            "answered {} after {} ms: {}",
            number_of(line, "status"),
            number_of(line, "held_ms"),
            reason(text_of(line, "reason")),
        ),
        "request_answered" => format!(
            "{} by {} with status {}, first event or answer after {} ms of {} ms",
            text_of(line, "outcome"),
            text_of(line, "endpoint"),
            number_of(line, "status"),
            number_of(line, "first_ms"),
            number_of(line, "target_ms"),
        ),
        "endpoint_ended" => format!(
            "endpoint {} ended while it was there: its address refuses connections",
            text_of(line, "endpoint"),
        ),
        "stream_resumed" => format!(
            "taken up at {} after event {} (version {}, begun by version {}): {}",
            text_of(line, "endpoint"),
            number_of(line, "after_event"),
            text_of(line, "version"),
            text_of(line, "began_version"),
            reason(text_of(line, "reason")),
        ),
        "stream_taken_up" => format!(
            "{} takes up the stream of {} after event {} at {} of version {}",
            text_of(line, "request_id"),
            text_of(line, "resumes"),
            number_of(line, "after_event"),
            text_of(line, "endpoint"),
            text_of(line, "version"),
        ),
        "stream_origin_found" => format!(
            "{} takes up the stream of {}, which version {} of {} began: {}",
            text_of(line, "request_id"),
            text_of(line, "resumes"),
            text_of(line, "version"),
            text_of(line, "service"),
            match text_of(line, "source") {
                "recorded" => "an instance has a record",
                _ => "no instance has a record, and the service had no other version",
            },
        ),
        "stream_not_taken_up" => format!(
            "{} may not take up the stream of {}: {}",
            text_of(line, "request_id"),
            text_of(line, "resumes"),
            reason(text_of(line, "reason")),
        ),
        "stream_not_resumed" => format!(
            "no other endpoint continued the stream after event {}: {} ({} of {} runs, {} ms left)",
            number_of(line, "after_event"),
            reason(text_of(line, "cause")),
            number_of(line, "runs"),
            number_of(line, "max_attempts"),
            number_of(line, "left_ms"),
        ),
        "close_unconfirmed" => format!(
            "endpoint {} closed the connection, which is how its answer was to end, and the check that it lives on failed: {}",
            text_of(line, "endpoint"),
            text_of(line, "reason"),
        ),
        "request_unanswered" => format!(
            "its connection ended after {} ms while it was {}: {} ({})",
            number_of(line, "held_ms"),
            text_of(line, "stage"),
            text_of(line, "cause"),
            text_of(line, "error"),
        ),
        "caller_cut" => format!(
            "its caller was cut: it had read or sent nothing for {} ms, and memory for others was needed",
            number_of(line, "idle_ms"),
        ),
        "rollout_started" => format!(
            "roll-out of version {} was ordered, to be done within {} ms",
            text_of(line, "version"),
            number_of(line, "duration_ms"),
        ),
        "rollout_stage" | "rollout_rolled_back" | "rollout_completed" => rollout_step(event, line),
        "rollout_recorded" => format!("recorded in the store: {}", text_of(line, "state")),
        "rollout_not_recorded" => format!("not recorded: {}", text_of(line, "reason")),
        "rollout_refused" => format!("the order is not valid: {}", text_of(line, "reason")),
        "rollout_ended" => "the order was deleted or replaced".to_owned(),
        other => other.to_owned(),
    }
}

/// Describes a step of a roll-out with the evidence that the instance had.
pub(crate) fn rollout_step(event: &str, line: &Map<String, Value>) -> String {
    let version = text_of(line, "version");
    let step = match event {
        "rollout_completed" => format!("version {version} takes over"),
        "rollout_rolled_back" => {
            let reason = match text_of(line, "reason") {
                "failures" => "more of its answers fail",
                "slowness" => "more of its answers are slow",
                "too_little_evidence" => "too few answers showed that it is good",
                "no_endpoint" => "it had no ready endpoint",
                _ => "another instance decided so",
            };
            format!("version {version} is given up: {reason}")
        }
        _ => format!("version {version} is in stage {}", text_of(line, "stage")),
    };
    format!(
        "{step} ({} of {} answers bad, of other versions {} of {})",
        number_of(line, "bad_answers"),
        number_of(line, "answers"),
        number_of(line, "other_bad_answers"),
        number_of(line, "other_answers"),
    )
}

/// Readable descriptions of the values of `reason` in log lines.
const REASONS: [(&str, &str); 45] = [
    (
        "answer_broke_off",
        "the endpoint's answer broke off, so it may have run",
    ),
    (
        "another_endpoint_there",
        "another endpoint has the address, and ran nothing",
    ),
    (
        "body_too_slow",
        "its caller did not send the body in the time of the request",
    ),
    ("busy", "all endpoints would have kept it waiting too long"),
    (
        "caller_behind",
        "its caller read too slowly for the rest of the stream",
    ),
    (
        "close_unconfirmed",
        "the answer was to end with its connection, and its endpoint may have ended before",
    ),
    (
        "closed_before",
        "the connection closed before anything was sent",
    ),
    (
        "configuration_too_old",
        "the configuration was not known to be the newest",
    ),
    (
        "connection_broke",
        "the connection broke after sending, so it may have run",
    ),
    (
        "endpoint_error",
        "the endpoint answered with an error of its own",
    ),
    (
        "endpoint_limits",
        "all endpoints that could run it take only so many requests a second",
    ),
    (
        "endpoint_left",
        "the endpoint said that it leaves, or left, before it was sent there",
    ),
    (
        "endpoint_rests",
        "the endpoint asked this instance for rest before it was sent there",
    ),
    (
        "endpoints_rest",
        "all endpoints that could run it asked this instance for rest",
    ),
    ("endpoint_full", "the endpoint was full and did not run it"),
    (
        "endpoint_withheld",
        "this instance is cut off, and those that reach the endpoint are to send it nothing",
    ),
    (
        "ends_endpoints",
        "endpoints that ran it ended, so it is sent to no other",
    ),
    (
        "foreign_answer",
        "an answer to another request came in its place",
    ),
    (
        "invalid_status",
        "the status of the endpoint's answer is that of no final answer",
    ),
    (
        "no_answer",
        "the endpoint did not answer in time, and may have run it",
    ),
    ("no_configuration", "no configuration was known yet"),
    (
        "no_endpoint",
        "the service had no endpoint that could be used",
    ),
    ("no_first_event", "no first event came in time"),
    (
        "no_memory",
        "the memory for requests and unread answers was used up",
    ),
    ("no_other_endpoint", "no other endpoint was left to try"),
    ("no_place", "no other endpoint had a free slot"),
    ("no_retry", "the retry budget of its service was used up"),
    ("no_route", "no route fits its host and path"),
    (
        "no_time_left",
        "its time was over before an endpoint was free",
    ),
    ("not_allowed", "it may not run again"),
    ("over_limit", "its organisation had used up its limit"),
    (
        "resumed_with_gap",
        "the endpoint did not go on at the next event",
    ),
    (
        "resumed_without_events",
        "the endpoint that was to go on brought no event",
    ),
    (
        "stopping",
        "this instance stopped before an answer could be expected",
    ),
    ("stream_broke", "the endpoint's stream broke"),
    ("stream_silent", "the endpoint's stream fell silent"),
    (
        "timed_out",
        "the endpoint did not answer before the time-out",
    ),
    (
        "unknown_key",
        "its key is in no organisation of the configuration",
    ),
    (
        "unproven_refusal",
        "the endpoint refused it without stating that it did not run it",
    ),
    ("unreachable", "no connection to the endpoint came up"),
    (
        "version_withheld",
        "the roll-out of its service did not allow the endpoint's version any more",
    ),
    (
        "part_ends_endpoints",
        "endpoints ended whenever they began to answer prompts with one of its parts, so it is sent to none",
    ),
    (
        "no_endpoint_of_version",
        "no ready endpoint is of the version that began its stream",
    ),
    (
        "stream_origin_unknown",
        "several versions may have begun its stream, and no instance that answered knows which",
    ),
    (
        "stream_service_moved",
        "its route does not lead to the service any more that began its stream",
    ),
];

fn reason(code: &str) -> &str {
    let known = REASONS.iter().find(|(known, _)| *known == code);
    known.map_or(code, |(_, text)| text)
}

/// The fields to print with each event: the inputs of the decision.
const INPUTS: [&str; 35] = [
    "route",
    "organisation",
    "attempts",
    "last_failure",
    "fingerprint",
    "endings",
    "blocked_ms",
    "endpoint",
    "carrier",
    "framing",
    "body_bytes",
    "events",
    "after_event",
    "first_event",
    "last_event",
    "began_version",
    "expected_first_ms",
    "endpoint_requests",
    "uncached_tokens",
    "prompt_tokens",
    "retries_left",
    "share_asked_slots",
    "share_slots",
    "share_of_slots",
    "share_late",
    "retry_after_ms",
    "held_bytes",
    "held_in_all_bytes",
    "limit_bytes",
    "config_version",
    "config_age_ms",
    "endpoints_age_ms",
    "share",
    "revision",
    "from",
];

fn inputs(line: &Map<String, Value>) -> String {
    let known = INPUTS.iter().filter_map(|name| {
        let value = line.get(*name)?;
        let text = match value {
            Value::Null => "unknown".to_owned(),
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        (text != "-").then(|| format!("{name} {text}"))
    });
    known.collect::<Vec<_>>().join(", ")
}
