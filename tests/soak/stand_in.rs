//! The stand-in for an endpoint while it is silent and when its callers leave.

use std::time::{Duration, Instant};

use standins::runner::{EVENTS, Runner, event, whole_body};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time,
};

const SILENCE: Duration = Duration::from_millis(600);
/// Time in which the stand-in notices and records what happened on a socket.
const REACTION: Duration = Duration::from_millis(100);

async fn send(runner: &Runner, path: &str, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(runner.addr).await.expect("a connection");
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\n\r\n");
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the request is sent");
    stream
}

/// Reads until `end` has arrived; returns the text and when it was complete.
async fn read_until(mut stream: TcpStream, end: String) -> (String, Instant) {
    let mut bytes = Vec::new();
    while !bytes.ends_with(end.as_bytes()) {
        let count = stream.read_buf(&mut bytes).await.expect("more bytes");
        assert!(count > 0, "ended after {}", String::from_utf8_lossy(&bytes));
    }
    let text = String::from_utf8(bytes).expect("text");
    (text, Instant::now())
}

#[tokio::test]
async fn silent_endpoint_sends_nothing_and_goes_on_without_loss() {
    let runner = Runner::start("i-1").await;
    runner.pace(Duration::from_millis(20));
    let mut answers = JoinSet::new();
    let mut stream = send(&runner, "/a/stream", "before").await;
    let mut head = [0; 15];
    stream.read_exact(&mut head).await.expect("a head");
    runner.fall_silent(SILENCE);
    let silent_from = Instant::now();
    time::sleep(REACTION).await;
    answers.spawn(read_until(stream, "\r\n0\r\n\r\n".to_owned()));
    let plain = send(&runner, "/a", "during").await;
    answers.spawn(read_until(plain, whole_body("during")));
    time::sleep(SILENCE / 2).await;
    assert_eq!(runner.runs("during"), 0);
    assert!(answers.try_join_next().is_none());
    for (text, at) in answers.join_all().await {
        assert!(at.duration_since(silent_from) >= SILENCE, "{text}");
        let is_stream = text.contains(&event("before", EVENTS));
        assert!(is_stream || text.ends_with(&whole_body("during")), "{text}");
    }
    assert_eq!((runner.runs("before"), runner.runs("during")), (1, 1));
}

#[tokio::test]
async fn departure_of_a_caller_is_recorded_between_events_and_in_silence() {
    let runner = Runner::start("i-1").await;
    runner.pace(Duration::from_millis(300));
    for (id, silence) in [("sound", Duration::ZERO), ("silent", SILENCE)] {
        let stream = send(&runner, "/a/stream", id).await;
        time::sleep(REACTION).await;
        runner.fall_silent(silence);
        let left_at = Instant::now();
        drop(stream);
        time::sleep(REACTION).await;
        let seen = runner.seen();
        let seen = seen.iter().find(|seen| seen.headers["request-id"] == id);
        let recorded = seen.and_then(|seen| seen.left_at).expect("a departure");
        assert!(recorded.duration_since(left_at) < REACTION, "{id}");
    }
    let stayed = send(&runner, "/a", "stayed").await;
    read_until(stayed, whole_body("stayed")).await;
    time::sleep(REACTION).await;
    let seen = runner.seen();
    assert!(
        seen.iter()
            .all(|seen| seen.headers["request-id"] != "stayed" || seen.left_at.is_none())
    );
}
