//! Ends of answers that do not show whether the answer is whole: listeners that outlive a process, endpoints that start
//! again at once, resumed runs that bring nothing. Each test fails where a stream looks complete that is not, or where a
//! whole answer is thrown away.

use std::{sync::Arc, time::Duration};

use hyper::StatusCode;
use ryevalve::endpoint::events::EventSplitter;
use standins::{
    runner::{EVENTS, Fault},
    stream_check::whole_events,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time,
};

use crate::{site::Site, support::CallerResponse};

const ENDPOINTS: usize = 6;
const SLOTS: u32 = 16;
const REQUESTS: usize = 24;

async fn start(net: u8) -> Arc<Site> {
    let site = Site::start(net, 4, ENDPOINTS).await;
    site.set_slots(SLOTS).await;
    Arc::new(site)
}

async fn call_all(site: &Arc<Site>, path: &'static str) -> Vec<(String, CallerResponse)> {
    let mut calls = JoinSet::new();
    for number in 0..REQUESTS {
        let site = site.clone();
        calls.spawn(async move {
            let id = format!("r-{number}");
            let got = site
                .call(number % site.callers.len(), path, &id, "a prompt")
                .await;
            (id, got)
        });
    }
    calls.join_all().await
}

/// Returns what is wrong with complete streams, by request, and how many were cut visibly.
fn breaches(answers: &[(String, CallerResponse)]) -> (Vec<String>, usize) {
    let mut found = Vec::new();
    let mut cut = 0;
    for (id, got) in answers {
        let events = whole_events(&got.text());
        let numbers: Vec<u64> = events.iter().map(|e| e.number).filter(|n| *n > 0).collect();
        let is_gapless = numbers.iter().zip(1..).all(|(n, i)| *n == i);
        let is_short = numbers.len() as u64 != EVENTS;
        if got.status == StatusCode::OK && !got.is_whole {
            cut += 1;
        }
        if got.status == StatusCode::OK && (!is_gapless || (got.is_whole && is_short)) {
            found.push(format!("{id}: {numbers:?}, complete: {}", got.is_whole));
        }
    }
    println!("{} breaches, {cut} cut: {found:#?}", found.len());
    (found, cut)
}

async fn check(site: &Arc<Site>, path: &'static str) -> usize {
    let (found, cut) = breaches(&call_all(site, path).await);
    assert!(found.is_empty(), "{}: {found:?}", found.len());
    cut
}

/// The endpoint that takes the confirming connection is another one than the one that was killed.
#[tokio::test(flavor = "multi_thread")]
async fn restart_at_the_address_does_not_confirm_the_answer_of_the_killed_endpoint() {
    let site = start(180).await;
    for runner in site.runners.iter() {
        runner.end_with_connection();
        runner.pace(Duration::from_millis(60));
    }
    let calling = tokio::spawn({
        let site = site.clone();
        async move { call_all(&site, "/fixed/stream").await }
    });
    time::sleep(Duration::from_millis(250)).await;
    for (index, runner) in site.runners[..2].iter().enumerate() {
        runner.kill();
        // The port is free once the listener's task has ended.
        while tokio::net::TcpListener::bind(runner.addr).await.is_err() {
            tokio::task::yield_now().await;
        }
        runner.restart(&format!("e{index}-1")).await;
    }
    let (found, _) = breaches(&calling.await.expect("answers"));
    assert!(found.is_empty(), "{}: {found:?}", found.len());
}

/// The listener is held by the parent of the process that ran the request.
#[tokio::test(flavor = "multi_thread")]
async fn listener_of_a_parent_process_does_not_confirm_the_answer_of_a_lost_worker() {
    let site = start(181).await;
    for runner in site.runners.iter() {
        runner.end_with_connection();
    }
    for runner in &site.runners[..2] {
        runner.fault(Fault::LostWorker);
    }
    check(&site, "/fixed/stream").await;
}

/// A kill in the midst of a stream, and endpoints that cannot resume it.
#[tokio::test(flavor = "multi_thread")]
async fn killed_stream_is_not_completed_by_a_resumed_run_without_events() {
    let site = start(182).await;
    for (index, runner) in site.runners.iter().enumerate() {
        runner.end_with_connection();
        runner.pace(Duration::from_millis(60));
        if index >= 2 {
            runner.fault(Fault::EmptyResumption);
        }
    }
    let calling = tokio::spawn({
        let site = site.clone();
        async move { call_all(&site, "/resume/stream").await }
    });
    time::sleep(Duration::from_millis(250)).await;
    for runner in &site.runners[..2] {
        runner.kill();
    }
    let (found, _) = breaches(&calling.await.expect("answers"));
    assert!(found.is_empty(), "{}: {found:?}", found.len());
}

async fn check_cut_then(net: u8, fault: Fault) {
    let site = start(net).await;
    for (index, runner) in site.runners.iter().enumerate() {
        runner.fault(if index < 2 {
            Fault::CutNewStream
        } else {
            fault
        });
    }
    check(&site, "/resume/stream").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn comment_does_not_make_a_resumed_run_without_events_complete() {
    check_cut_then(183, Fault::EmptyResumption).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn comment_does_not_hide_the_gap_before_a_resumed_run() {
    check_cut_then(184, Fault::LateResumption).await;
}

/// No step between ids is known yet.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_breaks_after_its_first_event_is_not_resumed_with_a_gap() {
    let site = start(185).await;
    for (index, runner) in site.runners.iter().enumerate() {
        runner.pace(Duration::from_millis(200));
        if index >= 2 {
            runner.fault(Fault::LateResumption);
        }
    }
    let calling = tokio::spawn({
        let site = site.clone();
        async move { call_all(&site, "/resume/stream").await }
    });
    time::sleep(Duration::from_millis(320)).await;
    for runner in &site.runners[..2] {
        runner.kill();
    }
    let (found, _) = breaches(&calling.await.expect("answers"));
    assert!(found.is_empty(), "{}: {found:?}", found.len());
}

/// Ids rise, but not evenly; all resumed runs are sound.
#[tokio::test(flavor = "multi_thread")]
async fn sound_resumption_of_uneven_ids_is_not_refused() {
    let site = start(186).await;
    for (index, runner) in site.runners.iter().enumerate() {
        runner.fault(if index < 2 {
            Fault::CutNewStreamOfUnevenIds
        } else {
            Fault::UnevenIds
        });
    }
    let answers = call_all(&site, "/resume/stream").await;
    let cut = answers.iter().filter(|(_, got)| !got.is_whole).count();
    assert_eq!(cut, 0, "sound streams were cut");
}

/// All events have arrived; only the end mark is late.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_is_silent_before_its_end_mark_is_complete() {
    let site = start(187).await;
    for runner in site.runners.iter() {
        runner.fault(Fault::PauseBeforeEnd);
    }
    let cut = check(&site, "/resume/stream").await;
    assert_eq!(cut, 0, "streams whose events have all arrived were cut");
}

/// Sound endpoints that end as planned may close their port first, and then answer what they run.
#[tokio::test(flavor = "multi_thread")]
async fn whole_answer_of_an_endpoint_that_has_closed_its_port_is_delivered() {
    let site = start(188).await;
    for runner in site.runners.iter() {
        runner.end_with_connection();
        runner.pace(Duration::from_millis(300));
    }
    let calling = tokio::spawn({
        let site = site.clone();
        async move { call_all(&site, "/once/x").await }
    });
    time::sleep(Duration::from_millis(150)).await;
    for runner in site.runners.iter() {
        runner.stop_listening();
    }
    let answers = calling.await.expect("answers");
    let finished = site.runners.iter().flat_map(|r| r.seen());
    let finished = finished.filter(|s| s.finished).count();
    let statuses: Vec<_> = answers.iter().map(|(_, got)| got.status.as_u16()).collect();
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert_eq!(
        served, finished,
        "of the whole answers of sound endpoints: {statuses:?}"
    );
}

/// A caller of HTTP/1.0 sees only how its connection ends.
#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_does_not_look_complete_for_a_caller_of_http_1_0() {
    let site = start(189).await;
    for runner in site.runners.iter() {
        runner.fault(Fault::CutStream);
    }
    let mut stream = TcpStream::connect(site.callers[0]).await.expect("connects");
    let request = "POST /fixed/stream HTTP/1.0\r\nHost: h.example\r\nRequest-Id: r-0\r\n\
         Deadline-Ms: 2500\r\nAuthorization: Token key-of-the-tests\r\nContent-Length: 8\r\n\r\na prompt";
    stream.write_all(request.as_bytes()).await.expect("sends");
    let mut bytes = Vec::new();
    let end = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8_lossy(&bytes);
    assert!(text.contains("id: 3\n"), "{text}");
    assert!(end.is_err(), "closed as after a whole stream: {text}");
}

/// A resumed run starts before the last event, which the caller has, and some events have no id.
#[test]
fn events_without_ids_are_not_repeated_by_a_run_that_starts_earlier() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\ndata: x\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    let events = splitter
        .take_complete(Some(2))
        .expect("short")
        .expect("an event");
    assert_eq!(String::from_utf8_lossy(&events.bytes), "id: 3\ndata: c\n\n");
}
