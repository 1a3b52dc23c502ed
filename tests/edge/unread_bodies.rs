//! Refusals that are decided from the head of a request while its body arrives.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use standins::upload::{ANSWER_TIMEOUT, Caller, Framing, Upload, read_answer, send};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time,
};

use crate::support::{Edge, KEY, config};

const SIZES_BYTES: [usize; 4] = [8_000, 80_000, 800_000, 4_000_000];
/// Limit of a body in the configuration of these tests.
const MAX_BODY_BYTES: usize = 100_000;
/// Uploads of each size, framing and refusal.
const UPLOADS: usize = 25;
/// Uploads that are sent at a time.
const AT_ONCE: usize = 16;
/// Time within which a connection ends whose caller sends a refused body without end.
const MAX_LINGER: Duration = Duration::from_secs(6);
/// What a process may hold for refused bodies.
const MAX_GROWTH_KB: u64 = 24 << 10;

/// Sends uploads that are all refused with `status`, and returns how many were sent and how many got no answer.
async fn count_unanswered(
    edge: &Edge,
    caller: Caller,
    upload: Upload,
    status: u16,
) -> (usize, usize) {
    let mut calls = JoinSet::new();
    let mut answers = Vec::new();
    for _ in 0..UPLOADS {
        if calls.len() == AT_ONCE {
            answers.extend(calls.join_next().await);
        }
        calls.spawn(send(caller, edge.callers, upload));
    }
    while let Some(answer) = calls.join_next().await {
        answers.push(answer);
    }
    let mut unanswered = 0;
    for answer in answers {
        match answer.expect("a call") {
            Some(got) => assert_eq!(got, status, "{upload:?}"),
            None => unanswered += 1,
        }
    }
    if unanswered > 0 {
        println!("{unanswered} of {UPLOADS} without an answer: {caller:?}, {upload:?}, {status}");
    }
    (UPLOADS, unanswered)
}

/// Refuses uploads of every size and framing, all of which must be answered.
async fn check_refusals(caller: Caller, pause: Duration, sizes_bytes: &[usize]) {
    let edge = Edge::start(1).await;
    let memory_kb = edge.peak_memory_kb();
    let refusals = [
        ("/nowhere/x", KEY, 404),
        ("/once/x", "Token wrong", 401),
        ("/once/x", KEY, 413),
    ];
    let (mut sent, mut unanswered) = (0, 0);
    for (path, key, status) in refusals {
        for &bytes in sizes_bytes {
            if status == 413 && bytes <= MAX_BODY_BYTES {
                continue;
            }
            for framing in [Framing::Length, Framing::Chunked] {
                let upload = Upload {
                    pause,
                    ..Upload::new(path, key, bytes, framing)
                };
                let counts = count_unanswered(&edge, caller, upload, status).await;
                sent += counts.0;
                unanswered += counts.1;
            }
        }
    }
    let growth_kb = edge.peak_memory_kb() - memory_kb;
    println!("{unanswered} of {sent} without an answer, {growth_kb} kB more");
    assert_eq!(unanswered, 0, "of {sent}");
    assert!(growth_kb < MAX_GROWTH_KB, "{growth_kb} kB");
    assert!(edge.runners[0].seen().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_reaches_a_caller_that_reads_while_it_writes() {
    check_refusals(Caller::WritesAndReads, Duration::ZERO, &SIZES_BYTES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_reaches_a_caller_that_reads_after_it_has_written() {
    check_refusals(Caller::WritesThenReads, Duration::ZERO, &SIZES_BYTES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_reaches_a_slow_caller_that_reads_while_it_writes() {
    let pause = Duration::from_millis(20);
    check_refusals(Caller::WritesAndReads, pause, &[80_000, 800_000]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_reaches_a_slow_caller_that_reads_after_it_has_written() {
    let pause = Duration::from_millis(20);
    check_refusals(Caller::WritesThenReads, pause, &[80_000, 800_000]).await;
}

/// Routes and keys come and go while bodies are on their way: each request is answered, whatever configuration it met.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_while_a_configuration_takes_their_route_or_key_away() {
    let edge = Arc::new(Edge::start(2).await);
    let changing = {
        let edge = edge.clone();
        tokio::spawn(async move {
            for version in 10.. {
                let mut changed = config(version, &["key-of-the-tests"]);
                match version % 3 {
                    0 => changed = config(version, &["another-key"]),
                    1 => changed["routes"].as_array_mut().expect("routes").clear(),
                    _ => {}
                }
                edge.platform.set("config", "main", changed);
                time::sleep(Duration::from_millis(150)).await;
            }
        })
    };
    let mut tick = time::interval(Duration::from_millis(10));
    let mut calls = JoinSet::new();
    for number in 0..400 {
        tick.tick().await;
        let callers = [Caller::WritesThenReads, Caller::WritesAndReads];
        let framings = [Framing::Length, Framing::Chunked];
        let upload = Upload {
            pause: Duration::from_millis(number as u64 % 3 * 8),
            ..Upload::new("/open/x", KEY, 90_000, framings[number / 2 % 2])
        };
        let upload = match number % 5 {
            0 => upload,
            _ => Upload {
                path: "/once/x",
                ..upload
            },
        };
        calls.spawn(send(callers[number % 2], edge.callers, upload));
    }
    let answers = calls.join_all().await;
    changing.abort();
    let count = |wanted: Option<u16>| answers.iter().filter(|a| **a == wanted).count();
    let counts = [200, 404, 401, 503].map(|status| (status, count(Some(status))));
    println!("{counts:?}, {} without an answer", count(None));
    assert_eq!(count(None), 0, "{counts:?}");
    assert!(
        counts[..3].iter().all(|(_, count)| *count > 0),
        "{counts:?}"
    );
}

#[tokio::test]
async fn connection_serves_the_next_request_after_a_refused_body() {
    let edge = Edge::start(1).await;
    for framing in [Framing::Length, Framing::Chunked] {
        let mut stream = TcpStream::connect(edge.callers).await.expect("connected");
        for (path, bytes, status) in [
            ("/nowhere/x", 80_000, 404),
            ("/once/x", 8, 200),
            ("/once/x", 800_000, 413),
            ("/once/x", 8, 200),
        ] {
            let upload = Upload::new(path, KEY, bytes, framing);
            upload.write(&mut stream).await.expect("written");
            assert_eq!(read_answer(&mut stream).await, Some(status), "{framing:?}");
        }
    }
}

/// Sends the head and a part of a body that is refused, and reads the refusal.
async fn begin_refused(edge: &Edge) -> TcpStream {
    let mut stream = TcpStream::connect(edge.callers).await.expect("connected");
    let upload = Upload::new("/nowhere/x", KEY, 1_000_000, Framing::Length);
    let head = upload.head() + "a part of the body";
    stream.write_all(head.as_bytes()).await.expect("written");
    let answer = time::timeout(ANSWER_TIMEOUT, read_answer(&mut stream)).await;
    assert_eq!(answer.expect("in time"), Some(404));
    stream
}

async fn wait_for_end(stream: &mut TcpStream) {
    let mut rest = [0; 64];
    while stream.read(&mut rest).await.is_ok_and(|count| count > 0) {}
}

#[tokio::test]
async fn refused_caller_that_stops_sending_does_not_keep_its_connection() {
    let edge = Edge::start(1).await;
    let mut stream = begin_refused(&edge).await;
    time::timeout(MAX_LINGER, wait_for_end(&mut stream))
        .await
        .expect("the connection to end");
}

#[tokio::test]
async fn refused_caller_that_sends_without_end_does_not_keep_its_connection() {
    let edge = Edge::start(1).await;
    for pause in [Duration::ZERO, Duration::from_millis(50)] {
        let mut stream = TcpStream::connect(edge.callers).await.expect("connected");
        let upload = Upload {
            pause,
            ..Upload::new("/nowhere/x", KEY, 4_000_000_000, Framing::Length)
        };
        let written = time::timeout(MAX_LINGER, upload.write(&mut stream)).await;
        assert!(written.expect("the connection to end").is_err());
    }
}

#[tokio::test]
async fn stop_does_not_wait_for_a_refused_body() {
    let mut edge = Edge::start(1).await;
    let early = begin_refused(&edge).await;
    edge.signal("TERM");
    let began = Instant::now();
    // The listener closes 2.6 s after the signal.
    time::sleep(Duration::from_millis(2_400)).await;
    let late = begin_refused(&edge).await;
    assert_eq!(edge.exit_code().await, Some(0));
    assert!(
        began.elapsed() < Duration::from_secs(7),
        "{:?}",
        began.elapsed()
    );
    drop((early, late));
}

#[tokio::test]
async fn refusal_of_an_announced_body_asks_for_no_body() {
    let edge = Edge::start(1).await;
    let mut stream = TcpStream::connect(edge.callers).await.expect("connected");
    let upload = Upload::new("/nowhere/x", KEY, 80_000, Framing::Length);
    let head = upload
        .head()
        .replacen("\r\n\r\n", "\r\nexpect: 100-continue\r\n\r\n", 1);
    stream.write_all(head.as_bytes()).await.expect("written");
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    // Its caller need not send the body, so no other request can follow.
    time::timeout(Duration::from_secs(2), reading)
        .await
        .expect("the connection to end")
        .expect("an answer");
    let received = String::from_utf8_lossy(&received);
    assert!(received.starts_with("HTTP/1.1 404"), "{received}");
    assert!(received.contains("connection: close"), "{received}");
}
