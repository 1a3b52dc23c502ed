//! Responses to callers when endpoints misbehave: complete and their own, or an error that is true.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use ryevalve::platform::edge::METRICS_PORT;
use standins::runner::{EVENTS, Fault, event, whole_body};
use tokio::time;

use crate::support::{Edge, exchange, request};

fn stream_of(id: &str) -> String {
    (1..=EVENTS).map(|number| event(id, number)).collect()
}

#[tokio::test]
async fn responses_pass_unchanged_and_requests_carry_the_gateways_headers() {
    let edge = Edge::start(1).await;
    let forged = [
        ("tenant", "another"),
        ("kv-from", "10.0.0.1:1/1"),
        ("x-own", "kept"),
    ];
    let got = edge.call_with("/once/a/b?c=d", "r-1", &forged).await;
    assert_eq!(
        (got.status, got.text()),
        (StatusCode::OK, whole_body("r-1"))
    );
    assert_eq!(got.headers["instance-signature"], "3e1b.07");
    let seen = &edge.runners[0].seen()[0];
    assert_eq!(seen.line, "POST /once/a/b?c=d HTTP/1.1");
    assert_eq!(seen.body, b"a prompt");
    let header = |name: &str| seen.headers.get(name).map(String::as_str);
    assert_eq!(header("tenant"), Some("org"));
    assert_eq!(header("expect-instance"), Some("i-0"));
    assert_eq!(header("request-id"), Some("r-1"));
    assert_eq!(header("x-own"), Some("kept"));
    assert_eq!(header("host"), Some("h.example"));
    assert_eq!((header("kv-from"), header("authorization")), (None, None));
    let left: u64 = header("deadline-ms").unwrap().parse().unwrap();
    assert!(
        (2_000..=3_000).contains(&left),
        "{left}: the route's timeout is the shorter"
    );
}

#[tokio::test]
async fn bad_requests_are_refused_and_reach_no_endpoint() {
    let edge = Edge::start(1).await;
    assert_eq!(
        edge.call("/nowhere/", "r-1").await.status,
        StatusCode::NOT_FOUND
    );
    let wrong = [("authorization", "Token wrong")];
    let got = edge.call_with("/once/", "r-2", &wrong).await;
    assert_eq!(got.status, StatusCode::UNAUTHORIZED);
    let mut long = request("/once/", "r-3", &[]);
    *long.body_mut() = vec![0; 200_000].into();
    let got = exchange(edge.callers, long).await;
    assert_eq!(
        got.expect("an answer").status,
        StatusCode::PAYLOAD_TOO_LARGE
    );
    assert!(edge.runners[0].seen().is_empty());
}

#[tokio::test]
async fn a_non_idempotent_request_is_not_retried_after_a_reset() {
    let edge = Edge::start(3).await;
    for runner in &edge.runners {
        runner.fault(Fault::ResetAfterRun);
    }
    for number in 0..10 {
        let id = format!("r-{number}");
        let got = edge.call("/once/", &id).await;
        assert_eq!(got.status, StatusCode::BAD_GATEWAY);
        let runs: usize = edge.runners.iter().map(|r| r.runs(&id)).sum();
        assert_eq!(runs, 1, "{id}");
    }
}

/// Requests that may run once only opened a connection each, three quarters of all.
#[tokio::test]
async fn requests_that_run_once_share_a_connection_while_it_is_in_use() {
    let edge = Edge::start(1).await;
    for number in 0..10 {
        let id = format!("r-{number}");
        let got = edge.call("/once/", &id).await;
        assert_eq!((got.status, got.text()), (StatusCode::OK, whole_body(&id)));
    }
    let addr = SocketAddr::new(edge.ready.ip(), METRICS_PORT);
    let metrics = exchange(addr, request("/metrics", "m-1", &[])).await;
    let metrics = metrics.expect("the metrics").text().to_owned();
    let opened = metrics
        .lines()
        .find(|line| line.contains("connections_opened_total "));
    assert!(
        opened.is_some_and(|line| line.ends_with(" 1")),
        "{opened:?}"
    );
}

#[tokio::test]
async fn an_idempotent_request_is_retried_at_another_endpoint() {
    let edge = Edge::start(2).await;
    edge.runners[0].fault(Fault::ResetAfterRun);
    for number in 0..6 {
        let id = format!("r-{number}");
        let got = edge.call("/again/", &id).await;
        assert_eq!((got.status, got.text()), (StatusCode::OK, whole_body(&id)));
        assert!(edge.runners[0].runs(&id) <= 1);
    }
}

#[tokio::test]
async fn an_endpoints_error_response_is_passed_on_if_the_retry_brings_none() {
    let edge = Edge::start(2).await;
    edge.runners[0].fault(Fault::Error);
    edge.runners[1].fault(Fault::ResetAfterRun);
    for number in 0..4 {
        let id = format!("r-{number}");
        let got = edge.call("/again/", &id).await;
        let errors = edge.runners[0].runs(&id);
        let expected = match errors {
            0 => StatusCode::BAD_GATEWAY,
            _ => StatusCode::INTERNAL_SERVER_ERROR,
        };
        assert_eq!(got.status, expected, "{id}");
        assert_eq!(got.headers.contains_key("instance-signature"), errors > 0);
    }
    // With one endpoint there is none for a retry.
    let edge = Edge::start(1).await;
    edge.runners[0].fault(Fault::Error);
    let got = edge.call("/again/", "r-1").await;
    assert_eq!(
        (got.status, got.text()),
        (StatusCode::INTERNAL_SERVER_ERROR, whole_body("r-1"))
    );
}

#[tokio::test]
async fn an_unresponsive_endpoint_times_out_and_another_is_tried() {
    let edge = Edge::start(2).await;
    edge.runners[0].fault(Fault::Mute);
    edge.runners[1].fault(Fault::Mute);
    let started = Instant::now();
    let got = edge.call("/once/", "r-1").await;
    assert_eq!(got.status, StatusCode::GATEWAY_TIMEOUT);
    let took = started.elapsed();
    assert!(
        took < Duration::from_millis(3_400),
        "{took:?} with a timeout of 3 s"
    );
    edge.runners[1].fault(Fault::None);
    for number in 0..4 {
        let got = edge.call("/again/", &format!("a-{number}")).await;
        assert_eq!(got.status, StatusCode::OK);
    }
}

#[tokio::test]
async fn full_endpoints_are_skipped_and_a_refused_request_did_not_run() {
    let edge = Edge::start(2).await;
    edge.runners[0].fault(Fault::Full);
    for number in 0..4 {
        let got = edge.call("/once/", &format!("r-{number}")).await;
        assert_eq!(got.status, StatusCode::OK);
    }
    edge.runners[1].fault(Fault::Full);
    let got = edge.call("/once/", "r-9").await;
    assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(got.retry_after_s().is_some_and(|s| s > 0.0 && s < 10.0));
    assert_eq!(edge.runners.iter().map(|r| r.runs("r-9")).sum::<usize>(), 0);
}

#[tokio::test]
async fn an_endpoint_replaced_at_its_address_runs_nothing_and_is_tried_once() {
    let edge = Edge::start(2).await;
    edge.runners[0].replace("i-new");
    for number in 0..6 {
        let id = format!("r-{number}");
        assert_eq!(edge.call("/once/", &id).await.status, StatusCode::OK);
        assert_eq!(edge.runners[0].runs(&id), 0);
    }
    assert!(edge.runners[0].seen().len() <= 1);
}

#[tokio::test]
async fn a_broken_stream_resumes_elsewhere_without_missing_or_repeated_events() {
    let edge = Edge::start(2).await;
    for runner in &edge.runners {
        runner.fault(Fault::CutStream);
    }
    // Both endpoints cut their streams in the fourth event, so the resumed stream breaks there as well.
    let got = edge.call("/resume/stream", "r-1").await;
    assert_eq!(got.status, StatusCode::OK);
    assert!(!got.is_whole, "both cut the fourth event");
    assert_eq!(got.text(), stream_of("r-1")[..got.body.len()]);
    edge.runners[1].fault(Fault::None);
    for number in 2..6 {
        let id = format!("r-{number}");
        let got = edge.call("/resume/stream", &id).await;
        assert!(got.is_whole, "{id}");
        assert_eq!(got.text(), stream_of(&id));
    }
}

#[tokio::test]
async fn no_attempt_carries_headers_reserved_for_the_gateway() {
    let forged = [
        ("pin-ms", "4000"),
        ("Pin-Ms", "3000"),
        ("retention", "r"),
        ("kv-backup", "10.0.0.1:1"),
        ("kv-from", "10.0.0.1:1/1"),
        ("kv-fetch", "10.0.0.1:1"),
    ];
    let edge = Edge::start(2).await;
    // The first endpoint of each request fails, so that every request is sent twice.
    let cases = [
        (Fault::ResetAfterRun, "/again/"),
        (Fault::CutNewStream, "/resume/stream"),
    ];
    for (fault, path) in cases {
        for runner in &edge.runners {
            runner.fault(fault);
        }
        for number in 0..2 {
            let id = format!("{path}-{number}");
            edge.call_with(path, &id, &forged).await;
        }
    }
    let seen: Vec<_> = edge.runners.iter().flat_map(|r| r.seen()).collect();
    assert_eq!(seen.len(), 8, "four requests, each sent twice");
    for request in &seen {
        for (name, _) in forged {
            let name = name.to_lowercase();
            assert!(!request.headers.contains_key(&name), "{name}: {request:?}");
        }
    }
}

#[tokio::test]
async fn a_stream_that_breaks_long_after_its_target_is_resumed() {
    let edge = Edge::start(2).await;
    for runner in &edge.runners {
        runner.pace(Duration::from_millis(170));
        // The endpoint chosen first cuts the stream; the one that resumes it does not.
        runner.fault(Fault::CutNewStream);
    }
    for number in 0..2 {
        let id = format!("r-{number}");
        let got = edge.call("/resume/stream", &id).await;
        assert!(got.is_whole, "{id}");
        assert_eq!(got.text(), stream_of(&id));
        assert!(edge.runners.iter().all(|r| r.runs(&id) == 1), "{id}");
    }
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_is_visibly_cut() {
    let edge = Edge::start(2).await;
    for runner in &edge.runners {
        runner.fault(Fault::CutStream);
    }
    let got = edge.call("/fixed/stream", "r-1").await;
    assert!(!got.is_whole);
    let whole = stream_of("r-1");
    assert_eq!(
        got.text(),
        whole[..event("r-1", 1).len() * 3],
        "only whole events"
    );
    assert_eq!(edge.runners.iter().map(|r| r.runs("r-1")).sum::<usize>(), 1);
}

#[tokio::test]
async fn a_surplus_response_reaches_no_caller() {
    let edge = Edge::start(1).await;
    edge.runners[0].fault(Fault::Surplus);
    for number in 0..20 {
        let id = format!("r-{number}");
        let got = edge.call("/again/", &id).await;
        assert_eq!((got.status, got.text()), (StatusCode::OK, whole_body(&id)));
    }
}

#[tokio::test]
async fn unframed_or_unsigned_responses_are_rejected() {
    let edge = Edge::start(1).await;
    edge.runners[0].fault(Fault::Unframed);
    assert_eq!(
        edge.call("/once/", "r-1").await.status,
        StatusCode::BAD_GATEWAY
    );
    edge.runners[0].fault(Fault::Unsigned);
    assert_eq!(
        edge.call("/once/", "r-2").await.status,
        StatusCode::BAD_GATEWAY
    );
}

#[tokio::test]
async fn a_callers_disconnect_cancels_its_run() {
    let edge = Edge::start(1).await;
    edge.runners[0].pace(Duration::from_millis(300));
    let call = edge.call("/resume/stream", "r-1");
    assert!(
        time::timeout(Duration::from_millis(500), call)
            .await
            .is_err()
    );
    time::sleep(Duration::from_millis(3_000)).await;
    let seen = edge.runners[0].seen();
    assert!(
        seen[0].has_run && !seen[0].finished,
        "the run went on without a caller"
    );
}

#[tokio::test]
async fn a_stalled_stream_is_waited_for_if_there_is_no_other_endpoint() {
    let edge = Edge::start(1).await;
    edge.runners[0].fault(Fault::Pause);
    let got = edge.call("/resume/stream", "r-1").await;
    assert!(got.is_whole, "{}", got.text());
    assert_eq!(got.text(), stream_of("r-1"));
    assert_eq!(edge.runners[0].runs("r-1"), 1);
}

#[tokio::test]
async fn a_stalled_stream_resumes_elsewhere() {
    let edge = Edge::start(2).await;
    for runner in &edge.runners {
        runner.fault(Fault::Pause);
    }
    let started = std::time::Instant::now();
    let got = edge.call("/resume/stream", "r-1").await;
    assert!(got.is_whole);
    assert_eq!(got.text(), stream_of("r-1"));
    let runs: Vec<usize> = edge.runners.iter().map(|r| r.runs("r-1")).collect();
    assert_eq!(runs, [1, 1], "after {:?}", started.elapsed());
}

/// Sends a request whose caller disconnects after a while. Returns how often it had reached an endpoint three seconds
/// later, and whether any run was finished.
async fn call_and_disconnect(edge: &Edge, path: &str, after: Duration) -> (usize, bool) {
    let call = edge.call(path, "r-1");
    assert!(time::timeout(after, call).await.is_err());
    time::sleep(Duration::from_millis(3_000)).await;
    let seen: Vec<_> = edge.runners.iter().flat_map(|r| r.seen()).collect();
    (seen.len(), seen.iter().any(|s| s.finished))
}

#[tokio::test]
async fn a_request_is_not_retried_after_its_caller_disconnects() {
    let edge = Edge::start(2).await;
    for runner in &edge.runners {
        runner.fault(Fault::Mute);
    }
    let left = call_and_disconnect(&edge, "/again/", Duration::from_millis(100)).await;
    assert_eq!(left, (1, false));
}

#[tokio::test]
async fn a_stalled_stream_is_not_resumed_after_its_caller_disconnects() {
    let edge = Edge::start(2).await;
    for runner in &edge.runners {
        runner.fault(Fault::Pause);
    }
    // The stream would be resumed at another endpoint after 800 ms without events.
    let left = call_and_disconnect(&edge, "/resume/stream", Duration::from_millis(500)).await;
    assert_eq!(left, (1, false));
}

#[tokio::test]
async fn rejections_by_full_endpoints_are_not_retried_after_a_disconnect() {
    let edge = Edge::start(2).await;
    for runner in &edge.runners {
        runner.fault(Fault::Full);
    }
    let call = edge.call("/again/", "r-1");
    let _ = time::timeout(Duration::from_millis(60), call).await;
    let reached_at_first: usize = edge.runners.iter().map(|r| r.seen().len()).sum();
    time::sleep(Duration::from_millis(500)).await;
    let reached_after_half_a_second: usize = edge.runners.iter().map(|r| r.seen().len()).sum();
    time::sleep(Duration::from_millis(2_000)).await;
    let reached_in_the_end: usize = edge.runners.iter().map(|r| r.seen().len()).sum();
    assert_eq!(
        reached_after_half_a_second, reached_in_the_end,
        "{reached_at_first} at first"
    );
}

/// Returns the stage and cause of each request that was logged as unanswered.
fn unanswered(edge: &Edge) -> Vec<(String, String)> {
    let lines = edge.lines();
    let lines = lines.iter().filter(|l| l["event"] == "request_unanswered");
    let text = |value: &serde_json::Value| value.as_str().unwrap_or_default().to_owned();
    lines
        .map(|l| (text(&l["stage"]), text(&l["cause"])))
        .collect()
}

#[tokio::test]
async fn connection_that_ends_before_the_answer_is_logged_with_its_request() {
    let edge = Edge::start(1).await;
    edge.runners[0].pace(Duration::from_millis(300));
    assert!(edge.call("/once/x", "r-1").await.is_whole);
    assert!(edge.call("/resume/stream", "r-2").await.is_whole);
    let stay = Duration::from_millis(100);
    let left = time::timeout(stay, edge.call("/once/x", "r-3")).await;
    assert!(left.is_err(), "{left:?}");
    let stay = Duration::from_millis(500);
    let left = time::timeout(stay, edge.call("/resume/stream", "r-4")).await;
    assert!(left.is_err(), "{left:?}");
    edge.until(|| async { unanswered(&edge).len() == 2 }).await;
    let left = |stage: &str| (stage.to_owned(), "caller_left".to_owned());
    assert_eq!(unanswered(&edge), [left("running"), left("answering")]);
}
