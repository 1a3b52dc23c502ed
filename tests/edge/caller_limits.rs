//! Limits of open connections: idle and header timeouts, before and after a change of the configuration.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{client::conn::http1, header::HeaderValue};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use standins::upload::{Framing, Upload, read_answer};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{self, Instant},
};

use crate::support::{Edge, KEY, config, exchange, request};

const SHORT_IDLE: Duration = Duration::from_secs(1);
const LONG_IDLE: Duration = Duration::from_secs(10);
/// Callers take up a connection that has rested for up to this share of the idle timeout.
const MAX_REST: f64 = 0.8;
/// An instance closes an idle connection this long after the idle timeout.
const IDLE_MARGIN: Duration = Duration::from_secs(3);

fn limited(version: u64, idle: Duration) -> Value {
    let mut config = config(version, &["key-of-the-tests"]);
    config["limits"]["idleTimeoutMs"] = (idle.as_millis() as u64).into();
    config["limits"]["headerTimeoutMs"] = 500.into();
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = 20_000.into();
    }
    config
}

async fn set_idle(edge: &Edge, version: u64, idle: Duration) {
    edge.platform.set("config", "main", limited(version, idle));
    time::sleep(Duration::from_millis(800)).await;
}

async fn connect(edge: &Edge) -> TcpStream {
    let stream = TcpStream::connect(edge.callers).await;
    stream.expect("a connection")
}

/// Sends a request over an open connection, and returns the status of its answer, if there is one.
async fn call(stream: &mut TcpStream) -> Option<u16> {
    let upload = Upload::new("/once/x", KEY, 8, Framing::Length);
    upload.write(stream).await.ok()?;
    let answer = time::timeout(Duration::from_secs(10), read_answer(stream)).await;
    answer.expect("an answer or the end of the connection")
}

#[tokio::test]
async fn idle_connection_stays_open_when_the_configuration_makes_its_timeout_longer() {
    let edge = Edge::start(1).await;
    set_idle(&edge, 10, SHORT_IDLE).await;
    let mut unused = connect(&edge).await;
    let mut used = connect(&edge).await;
    assert_eq!(call(&mut used).await, Some(200));
    let mut used_after = connect(&edge).await;
    assert_eq!(call(&mut used_after).await, Some(200));
    set_idle(&edge, 11, LONG_IDLE).await;
    assert_eq!(call(&mut used_after).await, Some(200));
    time::sleep(LONG_IDLE.mul_f64(MAX_REST)).await;
    let answers = [
        call(&mut unused).await,
        call(&mut used).await,
        call(&mut used_after).await,
    ];
    assert_eq!(
        answers,
        [Some(200); 3],
        "unused, used, used after the change"
    );
}

async fn time_to_end(stream: &mut TcpStream) -> Duration {
    let began = Instant::now();
    let mut bytes = [0; 1_024];
    let reading = async { while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {} };
    time::timeout(Duration::from_secs(30), reading)
        .await
        .expect("the connection to end");
    began.elapsed()
}

#[tokio::test]
async fn connection_without_a_whole_head_is_closed_after_the_idle_timeout() {
    let edge = Edge::start(1).await;
    set_idle(&edge, 10, SHORT_IDLE).await;
    let mut unused = connect(&edge).await;
    let mut used = connect(&edge).await;
    assert_eq!(call(&mut used).await, Some(200));
    let mut partial = connect(&edge).await;
    partial.write_all(b"POST / HT").await.expect("written");
    let ends = tokio::join!(
        time_to_end(&mut unused),
        time_to_end(&mut used),
        time_to_end(&mut partial)
    );
    let limit = SHORT_IDLE + IDLE_MARGIN;
    for took in [ends.0, ends.1, ends.2] {
        assert!(took >= SHORT_IDLE, "{took:?}");
        assert!(took < limit + Duration::from_secs(2), "{took:?}");
    }
}

#[tokio::test]
async fn request_that_takes_longer_than_the_idle_timeout_is_answered() {
    let edge = Edge::start(1).await;
    set_idle(&edge, 10, SHORT_IDLE).await;
    edge.runners[0].pace(Duration::from_millis(800));
    let mut stream = request("/fixed/stream", "s-1", &[]);
    let deadline = HeaderValue::from_static("20000");
    stream.headers_mut().insert("deadline-ms", deadline);
    let stream = exchange(edge.callers, stream);
    let slow = Upload {
        pause: Duration::from_millis(1_500),
        ..Upload::new("/open/x", KEY, 64 << 10, Framing::Chunked)
    };
    let slow_upload = async {
        let mut connection = connect(&edge).await;
        let head = slow
            .head()
            .replace("deadline-ms: 5000", "deadline-ms: 20000");
        connection
            .write_all(head.as_bytes())
            .await
            .expect("written");
        for _ in 0..4 {
            time::sleep(slow.pause).await;
            connection.write_all(b"1\r\nx\r\n").await.expect("written");
        }
        connection.write_all(b"0\r\n\r\n").await.expect("written");
        read_answer(&mut connection).await
    };
    let (stream, answer) = tokio::join!(stream, slow_upload);
    assert!(stream.is_some_and(|s| s.is_whole));
    // A request that arrives so late may be refused.
    assert!(matches!(answer, Some(200 | 503)), "{answer:?}");
}

type Sender = http1::SendRequest<Full<Bytes>>;

async fn open(edge: &Edge) -> Sender {
    let opened = http1::handshake(TokioIo::new(connect(edge).await)).await;
    let (sender, connection) = opened.expect("a connection");
    tokio::spawn(connection);
    sender
}

/// Sends a request with a head of about this length; returns the status, and whether the connection is to be closed.
async fn call_with_head(sender: &mut Sender, head_bytes: usize) -> (u16, bool) {
    let padding = "x".repeat(head_bytes);
    let request = request("/once/x", "h-1", &[("x-padding", &padding)]);
    let answer = sender.send_request(request).await.expect("an answer");
    let closes = answer
        .headers()
        .get("connection")
        .is_some_and(|v| v == "close");
    let status = answer.status().as_u16();
    answer.into_body().collect().await.expect("a whole answer");
    (status, closes)
}

#[tokio::test]
async fn connection_is_not_kept_when_the_configuration_allows_longer_heads() {
    let edge = Edge::start(1).await;
    let mut sender = open(&edge).await;
    assert_eq!(call_with_head(&mut sender, 100).await, (200, false));
    let mut longer = config(10, &["key-of-the-tests"]);
    longer["limits"]["maxHeaderBytes"] = 64_000.into();
    edge.platform.set("config", "main", longer);
    time::sleep(Duration::from_millis(800)).await;
    let (status, closes) = call_with_head(&mut sender, 100).await;
    assert_eq!(status, 200);
    if closes {
        sender = open(&edge).await;
    }
    assert_eq!(call_with_head(&mut sender, 40_000).await, (200, false));
}

/// Requests arrive within some ms of the end of the idle timeout.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_meets_the_idle_timeout_is_answered_or_does_not_run() {
    let edge = Arc::new(Edge::start(2).await);
    set_idle(&edge, 10, SHORT_IDLE).await;
    let mut calls = JoinSet::new();
    for number in 0..80_u64 {
        let edge = edge.clone();
        calls.spawn(async move {
            let mut connection = connect(&edge).await;
            let rest = SHORT_IDLE + IDLE_MARGIN - Duration::from_millis(40);
            time::sleep(rest + Duration::from_millis(number)).await;
            let id = format!("r-{number}");
            let upload = Upload::new("/once/x", KEY, 8, Framing::Length);
            let head = upload.head().replace("u-1", &id);
            // A caller whose connection was closed cannot write.
            let _ = connection.write_all((head + "a prompt").as_bytes()).await;
            let answer = read_answer(&mut connection).await;
            let runs: usize = edge.runners.iter().map(|r| r.runs(&id)).sum();
            (answer, runs)
        });
    }
    let results = calls.join_all().await;
    let answered = results.iter().filter(|(a, _)| *a == Some(200)).count();
    let lost = results.iter().filter(|(a, r)| a.is_none() && *r > 0);
    println!("{answered} of {} answered", results.len());
    assert_eq!(lost.count(), 0, "{results:?}");
}
