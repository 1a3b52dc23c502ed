//! Every caller gets its own complete answer or one that is recognisably incomplete. Invalid input gets a
//! specific error.

use hyper::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support::*;

/// Number of requests in the large run.
const REQUESTS: usize = 10_000;
/// Number of these requests that are in flight at the same time.
const CONCURRENT_REQUESTS: usize = 250;

#[tokio::test(flavor = "multi_thread")]
async fn ten_thousand_answers_are_complete_or_marked_and_reach_their_caller() {
    let plan = ClusterOptions {
        engines: vec![
            fast_engine(),
            fast_engine(),
            slow_engine(4, 2),
            slow_engine(16, 1),
        ],
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start(plan).await;
    for (index, engine) in cluster.engines.iter().enumerate() {
        engine.fault(|f| f.cut_every = 7 + index as u64);
    }
    // The last engine also drops the streams that it cut, so that none of them can be resumed.
    cluster.engines[3].fault(|f| f.forget_cut = true);
    let to: Vec<_> = cluster.instances.iter().map(|i| i.callers).collect();
    let (mut whole, mut cut) = (0, 0);
    for round in 0..REQUESTS / CONCURRENT_REQUESTS {
        let calls = (0..CONCURRENT_REQUESTS).map(|n| {
            let tier = ["gate", "counter", "kiosk"][n % 3];
            let prompt = format!("prompt {round} {n}");
            Call::completion(tier, &prompt, 1 + (n as u32 * 7) % 12, n % 2 == 0)
        });
        let answers = send_all(calls.collect(), &to).await;
        cluster.check_responses(&answers);
        for (_, got) in answers {
            let got = got.expect("an answer");
            let is_whole = got.status == StatusCode::OK && got.complete;
            whole += usize::from(is_whole);
            if !is_whole {
                cut += 1;
                let unknown = got.error_type() == "outcome_unknown"
                    || got
                        .text
                        .contains("event: error\ndata: {\"error\":{\"type\":\"outcome_unknown\"");
                assert!(
                    unknown,
                    "neither complete nor reported as of unknown outcome: {got:?}"
                );
                assert!(!got.text.contains("[DONE]"));
            }
        }
    }
    assert_eq!(whole + cut, REQUESTS);
    let resumed: u64 = cluster.engines.iter().map(|e| e.counts().resumed).sum();
    assert!(resumed > 0, "no stream was resumed, so nothing was tested");
    assert!(cut > 0, "no stream was cut for good, so nothing was tested");
    for instance in &cluster.instances {
        instance.wait_for_counts(0, 0).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disconnecting_caller_frees_the_engine() {
    let plan = ClusterOptions {
        engines: vec![slow_engine(1, 20)],
        instances: 1,
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start(plan).await;
    let to = cluster.instances[0].callers;
    let long =
        tokio::spawn(async move { Call::completion("gate", "long", 5_000, true).send(to).await });
    cluster.instances[0].wait_for_counts(0, 1).await;
    long.abort();
    wait_until("the engine to be idle", async || {
        cluster.engines[0].busy() == 0
    })
    .await;
    cluster.instances[0].wait_for_counts(0, 0).await;
    assert_eq!(cluster.engines[0].counts().cancelled, 1);
    let next = Call::completion("gate", "next", 3, false)
        .send(to)
        .await
        .unwrap();
    assert_eq!(next.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_gets_a_specific_error_and_holds_nothing() {
    let plan = ClusterOptions {
        instances: 1,
        flags: [
            "--max-body-bytes",
            "4096",
            "--body-timeout-ms",
            "300",
            "--header-timeout-ms",
            "300",
        ]
        .map(str::to_owned)
        .to_vec(),
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start(plan).await;
    let to = cluster.instances[0].callers;
    let good = || Call::completion("gate", "p", 2, false);
    let body = |text: &str| Call::new("/v1/completions", text);
    let table = [
        (body("{not json"), 400, "malformed_json"),
        (body("{}"), 400, "bad_field"),
        (body(r#"{"model":"agent-llm"}"#), 400, "bad_field"),
        (
            body(r#"{"model":"agent-llm","prompt":"p","max_tokens":0}"#),
            400,
            "bad_field",
        ),
        (
            body(r#"{"model":"agent-llm","prompt":"p","stream":"yes"}"#),
            400,
            "bad_field",
        ),
        (
            body(r#"{"model":"agent-lm","prompt":"p"}"#),
            404,
            "unknown_service",
        ),
        (
            body(r#"{"model":"departure-ctl","prompt":"p"}"#),
            404,
            "unknown_service",
        ),
        (good().with_header("x-tier", "gatte"), 400, "unknown_tier"),
        (
            good().with_header("x-deadline-ms", "0"),
            400,
            "bad_deadline",
        ),
        (
            good().with_header("x-deadline-ms", "9999999"),
            400,
            "bad_deadline",
        ),
        (
            good().with_header("x-deadline-ms", "soon"),
            400,
            "bad_deadline",
        ),
        (
            good().with_header("authorization", "Basic abc"),
            401,
            "no_key",
        ),
        (
            good().with_header("authorization", "Bearer wrong"),
            401,
            "unknown_key",
        ),
        (
            good().with_header("x-organisation", "other"),
            403,
            "wrong_organisation",
        ),
        (
            good().with_header("authorization", &format!("Bearer {OTHER_KEY}")),
            403,
            "tier_not_allowed",
        ),
        (body(&"x".repeat(5_000)), 413, "body_too_large"),
        (Call::new("/v1/nothing", ""), 404, "no_such_path"),
        (
            Call::new("/v1/services/departure-clt/x", ""),
            404,
            "unknown_service",
        ),
        (
            Call::new("/v1/services/departure-ctl/bag-tags", "t"),
            400,
            "key_required",
        ),
        (Call::bag_tag(&"k".repeat(300), "t"), 400, "key_too_long"),
    ];
    for (call, status, reason) in table {
        let got = call.send(to).await.expect("an answer");
        assert_eq!(
            (got.status.as_u16(), got.reason().as_str()),
            (status, reason),
            "{got:?}"
        );
        assert_eq!(got.error_type(), "bad_request");
    }
    assert!(slow_body(to).await.starts_with("HTTP/1.1 408"));
    // An idle connection is closed.
    assert_eq!(raw(to, b"").await, "");
    // An unterminated or oversized header is not processed as a request; the connection is closed.
    assert!(
        !raw(to, b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n")
            .await
            .contains("200 OK")
    );
    let huge = format!(
        "POST / HTTP/1.1\r\nhost: x\r\nx-long: {}\r\n\r\n",
        "y".repeat(200_000)
    );
    assert!(raw(to, huge.as_bytes()).await.contains("431"));
    cluster.instances[0].wait_for_counts(0, 0).await;
    assert!(cluster.starts().is_empty());
    assert_eq!(good().send(to).await.unwrap().status, StatusCode::OK);
}

async fn slow_body(to: std::net::SocketAddr) -> String {
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: 100\r\n\r\n{{"
    );
    raw(to, head.as_bytes()).await
}

/// Sends bytes and returns what is received up to the end of the response head or the end of the connection.
async fn raw(to: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).await.expect("connect");
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let mut part = [0; 1_024];
    loop {
        let read = tokio::time::timeout(TEST_TIMEOUT, stream.read(&mut part)).await;
        match read.expect("the connection to be closed") {
            Ok(0) | Err(_) => return String::from_utf8_lossy(&answer).into_owned(),
            Ok(len) => answer.extend_from_slice(&part[..len]),
        }
        if answer.windows(4).any(|w| w == b"\r\n\r\n") {
            return String::from_utf8_lossy(&answer).into_owned();
        }
    }
}
