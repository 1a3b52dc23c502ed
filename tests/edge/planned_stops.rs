//! Requests that meet a planned stop: each whole request is answered, or its connection is closed before it is read.

use std::{sync::Arc, time::Duration};

use standins::{
    runner::Seen,
    scripted_answer::{ConnectionEnd, Script, ScriptedAnswer},
    upload::{Framing, Upload, read_answer},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{self, Instant},
};

use crate::{
    process_group::ProcessGroup,
    support::{Edge, KEY, config, exchange, request},
};

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

/// As many late requests as the endpoint has slots are refused before one that the stop leaves time for.
#[tokio::test(flavor = "multi_thread")]
async fn request_refused_in_a_stop_keeps_no_slot_of_a_brittle_endpoint() {
    const SLOTS: u32 = 4;
    let edge = Edge::start(1).await;
    let mut settings = config(10, &["key-of-the-tests"]);
    for route in settings["routes"].as_array_mut().expect("routes") {
        let is_refused = route["name"] == "once";
        route["timeoutMs"] = PATIENT_MS.into();
        route["targetLatencyMs"] = if is_refused { 12_000 } else { 2_000 }.into();
    }
    edge.platform.set("config", "main", settings);
    edge.slots(0, SLOTS);
    edge.runners[0].set_brittle(Some(1));
    time::sleep(Duration::from_millis(1_500)).await;
    let mut first = connect(&edge).await;
    let request = head("first", 1, Framing::Length) + "x";
    first.write_all(request.as_bytes()).await.expect("written");
    assert_eq!(read_answer(&mut first).await, Some(200));
    edge.signal("TERM");
    let mut late = Vec::new();
    for _ in 0..=SLOTS {
        late.push(connect(&edge).await);
    }
    time::sleep(CLOSE_DELAY - Duration::from_millis(300)).await;
    for (number, stream) in (0..).zip(&mut late) {
        let path = if number < SLOTS {
            "/once/x"
        } else {
            "/again/x"
        };
        let head = patient_head(path, &format!("l-{number}"));
        stream.write_all(head.as_bytes()).await.expect("written");
    }
    time::sleep(Duration::from_millis(600)).await;
    let mut answers = Vec::new();
    for stream in &mut late {
        stream.write_all(b"a prompt").await.expect("written");
        answers.push(read_answer(stream).await);
    }
    let refused = [Some(503); SLOTS as usize];
    assert_eq!(answers, [&refused[..], &[Some(200)]].concat());
}

/// Each of 16 brittle endpoints has one of three instances as the issuer of its slots.
#[tokio::test(flavor = "multi_thread")]
async fn no_permit_is_asked_of_an_instance_that_has_stopped() {
    const CALLERS: usize = 4;
    let mut group = ProcessGroup::start(3, 16).await;
    for runner in &group.runners {
        runner.set_brittle(Some(1));
    }
    time::sleep(Duration::from_secs(3)).await;
    let callers = group.callers(1);
    let mut calls = JoinSet::new();
    for caller in 0..CALLERS {
        calls.spawn(async move {
            for number in 0.. {
                let id = format!("p-{caller}-{number}");
                exchange(callers, request("/again/x", &id, &[])).await;
            }
        });
    }
    time::sleep(Duration::from_secs(1)).await;
    group.signal(0, "TERM");
    time::sleep(CLOSE_DELAY - Duration::from_millis(500)).await;
    let before = group.counter(1, "permits_unanswered").await;
    group.until_exited(0).await;
    time::sleep(Duration::from_secs(1)).await;
    let unanswered = group.counter(1, "permits_unanswered").await - before;
    let asked = group.counter(1, "permits_asked").await;
    println!("{unanswered} unanswered after {before}, {asked} asked");
    // Each caller may be waiting when the instance exits.
    assert!(unanswered <= CALLERS as u64, "{unanswered} unanswered");
}

const PATIENT_MS: u64 = 15_000;

/// Starts a process whose routes and callers wait for long, with endpoints that take `run` for a request.
async fn start_patient(endpoints: usize, slots: u32, run: Duration) -> Edge {
    let edge = Edge::start(endpoints).await;
    let mut patient = config(10, &["key-of-the-tests"]);
    for route in patient["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = PATIENT_MS.into();
        route["targetLatencyMs"] = 12_000.into();
    }
    edge.platform.set("config", "main", patient);
    for (index, runner) in edge.runners.iter().enumerate() {
        edge.slots(index, slots);
        runner.follow_script(Script::new(move |seen| {
            let id = seen.headers.get("request-id")?;
            let answer =
                ScriptedAnswer::signed(id, "Content-Length: 4", "body", ConnectionEnd::Kept);
            (!seen.line.contains("/healthz")).then(|| answer.paused_after(0, run))
        }));
    }
    time::sleep(Duration::from_millis(1_500)).await;
    edge
}

fn patient_head(path: &str, id: &str) -> String {
    let head = head(id, 8, Framing::Length).replace("/once/x", path);
    head.replace("deadline-ms: 5000", &format!("deadline-ms: {PATIENT_MS}"))
}

fn was_sent(edge: &Edge, id: &str) -> bool {
    let is_of = |seen: &Seen| seen.headers.get("request-id").is_some_and(|i| i == id);
    edge.runners.iter().any(|r| r.seen().iter().any(is_of))
}

/// Checks that each request was answered, and that none which an endpoint got was answered as not run.
fn check_answers(edge: &Edge, answers: &[(String, Option<u16>)]) {
    let mut wrong = Vec::new();
    for (id, status) in answers {
        let was_sent = was_sent(edge, id);
        println!("{id}: {status:?}, sent {was_sent}");
        if status.is_none() || (was_sent && *status == Some(503)) {
            wrong.push((id, status, was_sent));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// The head comes before idle connections are closed, and the body at any time of the grace.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_body_ends_late_in_a_stop_is_answered() {
    let mut edge = start_patient(3, 16, Duration::from_millis(2_500)).await;
    edge.signal("TERM");
    let began = Instant::now();
    let mut calls = JoinSet::new();
    for (number, body_ms) in (2_800..7_600).step_by(400).enumerate() {
        for path in ["/once/x", "/again/x"] {
            let id = format!("late-{}-{number}", &path[1..5]);
            let mut stream = connect(&edge).await;
            let head = patient_head(path, &id);
            calls.spawn(async move {
                time::sleep_until(began + CLOSE_DELAY - Duration::from_millis(300)).await;
                stream.write_all(head.as_bytes()).await.expect("written");
                time::sleep_until(began + Duration::from_millis(body_ms)).await;
                // An answer may have come already.
                let _ = stream.write_all(b"a prompt").await;
                (id, read_answer(&mut stream).await)
            });
        }
    }
    let answers = calls.join_all().await;
    check_answers(&edge, &answers);
    assert_eq!(edge.exit_code().await, Some(0));
}

/// One slot serves one request after the other, up to the end of the grace.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_waits_for_a_slot_during_a_stop_is_answered() {
    let mut edge = start_patient(1, 1, Duration::from_millis(1_700)).await;
    edge.signal("TERM");
    let mut calls = JoinSet::new();
    for number in 0..8 {
        let mut stream = connect(&edge).await;
        let id = format!("wait-{number}");
        let request = patient_head("/once/x", &id) + "a prompt";
        calls.spawn(async move {
            time::sleep(Duration::from_millis(1_000 + 100 * number)).await;
            stream.write_all(request.as_bytes()).await.expect("written");
            (id, read_answer(&mut stream).await)
        });
    }
    let answers = calls.join_all().await;
    check_answers(&edge, &answers);
    assert_eq!(edge.exit_code().await, Some(0));
}

/// The endpoint runs longer than the grace lasts.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_outlasts_a_stop_is_answered() {
    let mut edge = start_patient(2, 16, Duration::from_secs(12)).await;
    edge.signal("TERM");
    let mut calls = JoinSet::new();
    for (number, path) in ["/once/x", "/again/x", "/fixed/stream", "/resume/stream"]
        .into_iter()
        .enumerate()
    {
        let mut stream = connect(&edge).await;
        let id = format!("long-{number}");
        let request = patient_head(path, &id) + "a prompt";
        calls.spawn(async move {
            stream.write_all(request.as_bytes()).await.expect("written");
            (id, read_answer(&mut stream).await)
        });
    }
    let answers = calls.join_all().await;
    check_answers(&edge, &answers);
    assert_eq!(edge.exit_code().await, Some(0));
}
