//! Requests that meet a planned stop: each whole request is answered, or its connection is closed before it is read.

use std::{sync::Arc, time::Duration};

use standins::upload::{Framing, Upload, read_answer};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{self, Instant},
};

use crate::support::{Edge, KEY, config};

/// Time from the signal until the listener and idle connections are closed.
const CLOSE_DELAY: Duration = Duration::from_millis(2_600);

fn head(id: &str, bytes: usize, framing: Framing) -> String {
    let upload = Upload::new("/once/x", KEY, bytes, framing);
    upload.head().replace("u-1", id)
}

async fn connect(edge: &Edge) -> TcpStream {
    let stream = TcpStream::connect(edge.callers).await;
    stream.expect("a connection")
}

fn runs(edge: &Edge, id: &str) -> usize {
    edge.runners.iter().map(|r| r.runs(id)).sum()
}

#[tokio::test]
async fn request_whose_body_arrives_during_a_stop_is_answered() {
    let mut edge = Edge::start(2).await;
    // The time that a body takes counts as waiting time.
    let mut patient = config(10, &["key-of-the-tests"]);
    for route in patient["routes"].as_array_mut().expect("routes") {
        route["targetLatencyMs"] = 3_000.into();
    }
    edge.platform.set("config", "main", patient);
    time::sleep(Duration::from_millis(800)).await;
    let mut bodies = Vec::new();
    for framing in [Framing::Length, Framing::Chunked] {
        for is_kept in [false, true] {
            let mut stream = connect(&edge).await;
            if is_kept {
                let first = head("first", 1, Framing::Length) + "x";
                stream.write_all(first.as_bytes()).await.expect("written");
                assert_eq!(read_answer(&mut stream).await, Some(200));
            }
            bodies.push((framing, stream));
        }
    }
    edge.signal("TERM");
    time::sleep(CLOSE_DELAY - Duration::from_millis(200)).await;
    for (index, (framing, stream)) in bodies.iter_mut().enumerate() {
        let head = head(&format!("b-{index}"), 8, *framing);
        stream.write_all(head.as_bytes()).await.expect("written");
    }
    // Idle connections have been closed by then.
    time::sleep(Duration::from_millis(400)).await;
    for (index, (framing, stream)) in bodies.iter_mut().enumerate() {
        let body: &[u8] = match framing {
            Framing::Length => b"a prompt",
            Framing::Chunked => b"8\r\na prompt\r\n0\r\n\r\n",
        };
        stream.write_all(body).await.expect("written");
        assert_eq!(read_answer(stream).await, Some(200), "{index}");
    }
    assert_eq!(edge.exit_code().await, Some(0));
}

/// Callers go on using open connections, and open new ones, until the process is gone.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_runs_during_a_stop_is_answered() {
    let mut edge = Edge::start(4).await;
    for runner in &edge.runners {
        runner.set_slots(64);
    }
    let callers = edge.callers;
    let mut calls = JoinSet::new();
    edge.signal("TERM");
    let began = Instant::now();
    for caller in 0..24 {
        calls.spawn(async move {
            let mut answers = Vec::new();
            let mut kept: Option<TcpStream> = None;
            for number in 0.. {
                if began.elapsed() > CLOSE_DELAY + Duration::from_secs(1) {
                    break;
                }
                let id = format!("k-{caller}-{number}");
                let is_kept = kept.is_some();
                let connection = match kept.take() {
                    Some(stream) => Ok(stream),
                    None => TcpStream::connect(callers).await,
                };
                let Ok(mut stream) = connection else { break };
                let request = head(&id, 8, Framing::Length) + "a prompt";
                // A caller whose connection was closed cannot write.
                let _ = stream.write_all(request.as_bytes()).await;
                let answer = read_answer(&mut stream).await;
                answers.push((id, is_kept, answer));
                // Every other caller goes on, though the connection is to be closed.
                kept = (caller % 2 == 0 && answer.is_some()).then_some(stream);
            }
            answers
        });
    }
    let answers = calls.join_all().await.concat();
    let unanswered: Vec<_> = answers.iter().filter(|(_, _, a)| a.is_none()).collect();
    let new = unanswered.iter().filter(|(_, is_kept, _)| !is_kept);
    println!(
        "{} without an answer of {}, {} of them on a new connection",
        unanswered.len(),
        answers.len(),
        new.count()
    );
    let lost = unanswered.iter().filter(|(id, _, _)| runs(&edge, id) > 0);
    let lost: Vec<_> = lost.collect();
    assert!(lost.is_empty(), "{lost:?}");
    assert_eq!(edge.exit_code().await, Some(0));
}

/// Both requests are sent at once.
#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let edge = Arc::new(Edge::start(2).await);
    let mut stream = connect(&edge).await;
    let first = head("p-1", 8, Framing::Length) + "a prompt";
    let second = head("p-2", 8, Framing::Chunked) + "8\r\na prompt\r\n0\r\n\r\n";
    let request = first + &second;
    stream.write_all(request.as_bytes()).await.expect("written");
    stream.shutdown().await.expect("a half-closed connection");
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    let _ = time::timeout(Duration::from_secs(10), reading).await;
    let received = String::from_utf8_lossy(&received);
    println!(
        "{received}; {} and {} runs",
        runs(&edge, "p-1"),
        runs(&edge, "p-2")
    );
}

#[tokio::test]
async fn request_of_http_1_0_is_answered_and_its_connection_closed() {
    let edge = Edge::start(1).await;
    let mut stream = connect(&edge).await;
    let request = head("o-1", 8, Framing::Length).replace("HTTP/1.1", "HTTP/1.0") + "a prompt";
    stream.write_all(request.as_bytes()).await.expect("written");
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    let read = time::timeout(Duration::from_secs(10), reading).await;
    read.expect("in time").expect("a whole answer");
    let received = String::from_utf8_lossy(&received);
    assert!(received.starts_with("HTTP/1.0 200"), "{received}");
}

/// The body is asked for, and comes only then.
#[tokio::test]
async fn request_whose_body_is_announced_is_asked_for_it_and_answered() {
    let edge = Edge::start(1).await;
    let mut stream = connect(&edge).await;
    let head = head("e-1", 8, Framing::Length);
    let head = head.replacen("\r\n\r\n", "\r\nexpect: 100-continue\r\n\r\n", 1);
    stream.write_all(head.as_bytes()).await.expect("written");
    let mut interim = [0; 25];
    stream
        .read_exact(&mut interim)
        .await
        .expect("an interim answer");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"a prompt").await.expect("written");
    assert_eq!(read_answer(&mut stream).await, Some(200));
}
