//! Answers that end before they are whole must not look complete, however callers and services delimit them.

use std::{net::SocketAddr, time::Duration};

use hyper::StatusCode;
use standins::{
    engine::{expected_text, long_refusal},
    raw_caller::{AnswerEnd, RawAnswer, RawCaller},
    runner::{Fault, Runner, whole_body},
};
use tokio::time;

use crate::support::*;

/// A plain call, as a caller of HTTP/1.0 sends it.
async fn call_as_http10(addr: SocketAddr, call: &Call) -> RawAnswer {
    let headers = call.headers.iter();
    let headers: String = headers.map(|(n, v)| format!("{n}: {v}\r\n")).collect();
    let request = format!(
        "POST {} HTTP/1.0\r\nhost: test\r\n{headers}content-length: {}\r\n\r\n{}",
        call.path,
        call.body.len(),
        call.body
    );
    let mut caller = RawCaller::connect(addr).await.expect("a connection");
    caller.send(&request).await.expect("an open connection");
    caller.read_answer().await.expect("an answer")
}

fn plain_call() -> Call {
    Call::new("/v1/services/departure-ctl/x", "a request")
}

fn stream() -> Call {
    Call::completion("gate", "a prompt", 20, true)
}

fn one_engine(step_ms: u64) -> ClusterOptions {
    ClusterOptions {
        instances: 1,
        engines: vec![slow_engine(8, step_ms)],
        ..ClusterOptions::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn complete_answers_are_not_reset_for_a_caller_of_http10() {
    let cluster = Cluster::start(one_engine(2)).await;
    let addr = cluster.instances[0].callers;
    let whole = Call::completion("gate", "a prompt", 20, false);
    for (call, last) in [(stream(), "[DONE]\n\n"), (whole, "}"), (plain_call(), "}")] {
        for _ in 0..10 {
            let got = call_as_http10(addr, &call).await;
            assert!(got.is_delimited_by_close(), "{got:?}");
            assert_eq!(got.end, AnswerEnd::Closed, "{got:?}");
            assert!(got.text.ends_with(last), "{got:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_breaks_ends_with_a_reset_for_a_caller_of_http10() {
    let cluster = Cluster::start(one_engine(2)).await;
    cluster.engines[0].fault(|f| {
        f.cut_every = 1;
        f.forget_cut = true;
    });
    let got = call_as_http10(cluster.instances[0].callers, &stream()).await;
    assert!(got.text.contains("event: error"), "{got:?}");
    assert_eq!(got.end, AnswerEnd::Reset, "{got:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_an_instance_that_is_killed_does_not_look_complete_to_a_caller_of_http10() {
    let mut cluster = Cluster::start(one_engine(100)).await;
    let addr = cluster.instances[0].callers;
    let calling = tokio::spawn(async move { call_as_http10(addr, &stream()).await });
    time::sleep(Duration::from_millis(1_000)).await;
    cluster.instances[0].kill();
    let got = calling.await.expect("an answer");
    assert!(
        got.text.contains("data: ") && !got.text.contains("[DONE]"),
        "{got:?}"
    );
    assert_eq!(got.end, AnswerEnd::Reset, "{got:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_answer_that_breaks_ends_with_a_reset_for_a_caller_of_http10() {
    let cluster = Cluster::start(one_engine(2)).await;
    cluster.plain.fault(|f| f.cut_answers = 1);
    let got = call_as_http10(cluster.instances[0].callers, &plain_call()).await;
    assert_eq!(got.text, "{\"echo\":");
    assert_eq!(got.end, AnswerEnd::Reset, "{got:?}");
}

/// Starts a cluster whose plain service is `service`.
async fn start_with_service(service: &Runner) -> Cluster {
    let options = one_engine(2);
    let cluster = Cluster::start(options.clone()).await;
    let toml = cluster.toml(&options);
    let from = format!("\"{}\"", cluster.plain.addr());
    let toml = toml.replace(&from, &format!("\"{}\"", service.addr));
    cluster.put_config(2, &toml);
    wait_until("the configuration to be in force", async || {
        cluster.instances[0].dump().await["config_version"] == 2
    })
    .await;
    cluster
}

/// Calls a service whose process is killed in its answer, which is delimited by the close of its connection.
async fn check_killed_service(fault: Fault, status: u16) {
    let service = Runner::start("departure-1").await;
    let cluster = start_with_service(&service).await;
    service.fault(fault);
    let got = plain_call().send(cluster.instances[0].callers).await;
    let got = got.expect("the head of the answer");
    assert!(service.has_ended(), "{got:?}");
    assert_eq!(got.status.as_u16(), status, "{got:?}");
    assert!(!got.complete, "half an answer is complete: {got:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_of_a_service_that_is_killed_does_not_look_complete() {
    check_killed_service(Fault::KilledInAnswer, 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn error_of_a_service_that_is_killed_does_not_look_complete() {
    check_killed_service(Fault::KilledInError, 500).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_end_with_their_connection_are_still_delivered() {
    let service = Runner::start("departure-1").await;
    let cluster = start_with_service(&service).await;
    service.end_with_connection();
    for _ in 0..10 {
        let got = plain_call().send(cluster.instances[0].callers).await;
        let got = got.expect("an answer");
        assert_eq!((got.complete, got.text), (true, whole_body("")));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn long_error_of_an_engine_is_relayed_whole() {
    let cluster = Cluster::start(one_engine(2)).await;
    cluster.engines[0].fault(|f| f.refuse = true);
    for streams in [false, true] {
        let call = Call::completion("gate", "a prompt", 20, streams);
        let got = call.send(cluster.instances[0].callers).await;
        let got = got.expect("an answer");
        assert_eq!(got.status, StatusCode::BAD_REQUEST, "{got:?}");
        assert_eq!((got.complete, got.text), (true, long_refusal()));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn error_of_an_engine_that_breaks_off_is_not_relayed_as_whole() {
    let cluster = Cluster::start(one_engine(2)).await;
    cluster.engines[0].fault(|f| {
        f.refuse = true;
        f.cut_refusals = true;
    });
    for streams in [false, true] {
        let call = Call::completion("gate", "a prompt", 20, streams);
        let got = call.send(cluster.instances[0].callers).await;
        let got = got.expect("an answer");
        assert_eq!(got.error_type(), "outcome_unknown", "{got:?}");
        assert_eq!(got.reason(), "stream_cut", "{got:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_an_engine_starts_again_is_not_joined_to_its_first_events() {
    let cluster = Cluster::start(one_engine(2)).await;
    cluster.engines[0].fault(|f| {
        f.cut_every = 1;
        f.restart_cut = true;
    });
    for streams in [false, true] {
        let call = Call::completion("gate", "a prompt", 20, streams);
        let got = call.send(cluster.instances[0].callers).await;
        let got = got.expect("an answer");
        let text = completion_text(&got);
        let is_whole = text == expected_text("a prompt", 20);
        let is_complete = got.complete && got.status == StatusCode::OK;
        assert!(!is_complete || is_whole, "complete with {text:?}");
    }
}
