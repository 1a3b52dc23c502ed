//! An instance that stands still for a while, as a process that is stopped and continued.
//!
//! Guards against streams that go on at another version than the one that began them: endpoints of a second version join
//! meanwhile, streams begin there at other instances, and are taken up at this one as soon as it goes on.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use standins::{raw_caller::RawCaller, runner::Seen};
use tokio::{task::JoinSet, time};

use crate::{
    process_group::ProcessGroup,
    stream_versions::PATH,
    support::{KEY, exchange, request},
};

const ENDPOINTS: usize = 6;
const STREAMS: usize = 32;
const FROZEN: usize = 2;
/// Time between two events: streams last for longer than they are left alone.
const PACE: Duration = Duration::from_millis(30);
/// Time in which a group comes up.
const START: Duration = Duration::from_secs(3);

/// How a stream is taken up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum TakeUp {
    /// It names the attempt that began the stream.
    Named,
    /// It has the event after which it goes on, and nothing else.
    Unnamed,
}

impl TakeUp {
    fn request(self, first: &str) -> Request<Full<Bytes>> {
        let id = format!("{first}-again");
        match self {
            Self::Named => request(PATH, &id, &[("last-event-id", "2"), ("resumes", first)]),
            Self::Unnamed => request(PATH, &id, &[("last-event-id", "2")]),
        }
    }
}

/// Returns the version of the endpoint that ran an attempt, if one did.
fn version_of(group: &ProcessGroup, id: &str) -> Option<&'static str> {
    let is_of =
        |seen: &Seen| seen.has_run && seen.headers.get("request-id").is_some_and(|i| i == id);
    let index = group
        .runners
        .iter()
        .position(|runner| runner.seen().iter().any(is_of))?;
    Some(if index < ENDPOINTS { "v1" } else { "v2" })
}

/// Begins a stream whose caller leaves after two events; returns its id, unless it was refused.
async fn begin_and_leave(callers: SocketAddr, id: String) -> Option<String> {
    let mut caller = RawCaller::connect(callers).await.ok()?;
    let request = format!(
        "POST {PATH} HTTP/1.1\r\nhost: h.example\r\nrequest-id: {id}\r\ndeadline-ms: 5000\r\n\
         authorization: {KEY}\r\ncontent-length: 8\r\n\r\na prompt"
    );
    caller.send(&request).await.ok()?;
    let has_two = |text: &str| text.matches("\n\n").count() >= 2;
    let got = caller.read_answer_until(has_two).await?;
    (got.status() == Some(200)).then_some(id)
}

/// Freezes an instance for a time in which a version joins, and counts the streams that go on at the other version.
async fn check(instances: usize, frozen: Duration, take_up: TakeUp) {
    let mut group = ProcessGroup::start(instances, ENDPOINTS).await;
    for runner in &group.runners {
        runner.pace(PACE);
    }
    time::sleep(START).await;
    // The instance has served streams of the first version.
    let warm = exchange(group.callers(FROZEN), request(PATH, "warm", &[])).await;
    assert!(warm.is_some_and(|got| got.status.is_success()));
    group.signal(FROZEN, "STOP");
    let until = time::Instant::now() + frozen;
    for _ in 0..ENDPOINTS {
        group.add_endpoint("v2").await;
    }
    for runner in &group.runners {
        runner.pace(PACE);
    }
    let (mut begun, mut number) = (Vec::new(), 0);
    while time::Instant::now() < until || begun.len() < STREAMS / 4 {
        let mut calls = JoinSet::new();
        for _ in 0..STREAMS / 4 {
            let id = format!("s-{number}");
            number += 1;
            let callers = group.callers(calls.len() % FROZEN);
            calls.spawn(begin_and_leave(callers, id));
        }
        begun.extend(calls.join_all().await.into_iter().flatten());
    }
    // They wait at the instance before it goes on.
    let mut calls = JoinSet::new();
    for first in begun {
        let callers = group.callers(FROZEN);
        calls.spawn(async move {
            let got = exchange(callers, take_up.request(&first)).await;
            (first, got.map(|got| got.status.as_u16()))
        });
    }
    time::sleep(Duration::from_millis(50)).await;
    group.signal(FROZEN, "CONT");
    let (mut mixed, mut went_on, mut of_second) = (Vec::new(), 0, 0);
    for (first, status) in calls.join_all().await {
        let began = version_of(&group, &first);
        let went_on_at = version_of(&group, &format!("{first}-again"));
        of_second += usize::from(began == Some("v2"));
        went_on += usize::from(went_on_at.is_some());
        if went_on_at.is_some() && went_on_at != began {
            mixed.push((first, began, went_on_at, status));
        }
    }
    println!(
        "{instances} instances, {frozen:?}, {take_up:?}: {of_second} began at v2, {went_on} went on, {} mixed",
        mixed.len()
    );
    assert!(mixed.is_empty(), "{frozen:?} {take_up:?}: {mixed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_taken_up_at_an_instance_that_stood_still_stay_at_their_version() {
    for frozen_ms in [300, 1_000, 1_600, 2_500, 5_000] {
        check(3, Duration::from_millis(frozen_ms), TakeUp::Named).await;
    }
    check(3, Duration::from_millis(1_600), TakeUp::Unnamed).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_taken_up_at_an_instance_of_seven_that_stood_still_stay_at_their_version() {
    for take_up in [TakeUp::Named, TakeUp::Unnamed] {
        check(7, Duration::from_millis(2_500), take_up).await;
    }
}
