//! Streams go on only at the version of the endpoints' software that began them, wherever they are taken up.
//!
//! Endpoints of two versions serve side by side. Streams break at their endpoints and go on within the same answer, or
//! callers leave them and take them up with `Last-Event-Id` and `Resumes` at another instance.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, client::conn::http1};
use hyper_util::rt::TokioIo;
use standins::{
    runner::{EVENTS, Fault},
    stream_check::whole_events,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    task::JoinSet,
    time,
};

use crate::{
    cluster::until,
    site::{Site, entry},
    support::{KEY, exchange, request},
};

pub const PATH: &str = "/resume/w/stream";
pub const TWO_VERSIONS: [&str; 2] = ["v1", "v2"];
/// Requests that an endpoint runs at a time: all streams have room at either version.
pub const SLOTS: usize = 16;
/// Streams of one test. The retry budget of the smallest group has room for as many.
const STREAMS: usize = 32;
/// Events of a stream that lasts for longer than instances take to learn of a new version.
const LONG_STREAM: u64 = 45;
/// Attempts of a caller to take up a stream, refusals included.
const TAKE_UP_ATTEMPTS: usize = 4;

/// How streams went on, counted at the endpoints.
#[derive(Debug, Default)]
pub struct Counts {
    /// Streams that went on at an endpoint.
    pub went_on: usize,
    /// Of these, streams that went on at another version than the one that began them.
    pub mixed: usize,
    /// Streams that callers got to their end.
    pub whole: usize,
}

impl Counts {
    /// Checks that no stream was mixed and that half of them went on.
    fn check(&self, what: &str) {
        println!("{what}: {self:?} of {STREAMS}");
        assert_eq!(self.mixed, 0, "{what}: {self:?}");
        assert!(self.went_on * 2 >= STREAMS, "{what}: {self:?}");
        assert!(self.whole * 2 >= STREAMS, "{what}: {self:?}");
    }
}

/// A caller's streams: the id under which each was begun, and those under which it was taken up.
pub type Tries = Vec<(String, Vec<String>)>;

impl Site {
    /// Gives the endpoints these versions in turn, and waits until streams may begin at all of them.
    pub async fn set_versions(&self, versions: &[&str]) {
        self.show_versions(versions).await;
        until("the versions to be listed", || {
            let mut instances = self.instances.iter();
            instances.all(|instance| !instance.gateway.balancer().versions().has_unlisted())
        })
        .await;
    }

    /// Gives the endpoints these versions in turn, and waits until all instances know.
    pub async fn show_versions(&self, versions: &[&str]) {
        for (index, runner) in self.runners.iter().enumerate() {
            let mut spec = entry(runner.addr);
            spec["version"] = versions[index % versions.len()].into();
            spec["capacity"] = SLOTS.into();
            self.platform.set("servers", &format!("e{index}-0"), spec);
        }
        let is_known = |index: usize| {
            let id = format!("e{index}-0");
            self.instances.iter().all(|instance| {
                let balancer = instance.gateway.balancer();
                let key = balancer.key_of(&id);
                let entry = key.and_then(|key| balancer.entry(key));
                entry.is_some_and(|e| {
                    *e.version == *versions[index % versions.len()] && e.slots as usize == SLOTS
                })
            })
        };
        until("the versions to be known", || {
            (0..self.runners.len()).all(is_known)
        })
        .await;
    }

    /// Waits until no instance knows these endpoints.
    pub async fn until_gone(&self, ids: &[&str]) {
        until("endpoints to be gone", || {
            self.instances.iter().all(|instance| {
                let balancer = instance.gateway.balancer();
                ids.iter().all(|id| balancer.key_of(id).is_none())
            })
        })
        .await;
    }

    /// Returns the endpoints that ran an attempt, each with whether the attempt went on after an event.
    pub fn endpoints_of(&self, id: &str) -> Vec<(usize, bool)> {
        let mut found = Vec::new();
        for (index, runner) in self.runners.iter().enumerate() {
            for seen in runner.seen().iter().filter(|s| s.has_run) {
                if seen.headers.get("request-id").is_some_and(|i| i == id) {
                    found.push((index, seen.headers.contains_key("last-event-id")));
                }
            }
        }
        found
    }

    /// Returns the version that began a stream, and those at which it went on.
    fn versions_of<'v>(&self, tries: &[&str], versions: &[&'v str]) -> (&'v str, Vec<&'v str>) {
        let runs = tries.iter().flat_map(|id| self.endpoints_of(id));
        let runs: Vec<_> = runs.collect();
        let version = |index: usize| versions[index % versions.len()];
        let began = runs.iter().find(|(_, resumed)| !resumed);
        let (began, _) = began.expect("the stream has begun");
        let went_on = runs.iter().filter(|(_, resumed)| *resumed);
        let went_on = went_on.map(|(index, _)| version(*index)).collect();
        (version(*began), went_on)
    }

    /// Counts how streams went on at endpoints of these versions.
    pub fn count(&self, tries: &Tries, versions: &[&str]) -> Counts {
        let mut counts = Counts::default();
        for (first, others) in tries {
            let ids: Vec<&str> = std::iter::once(&**first)
                .chain(others.iter().map(|id| &**id))
                .collect();
            let (began, went_on) = self.versions_of(&ids, versions);
            counts.went_on += usize::from(!went_on.is_empty());
            counts.mixed += usize::from(went_on.iter().any(|version| *version != began));
        }
        counts
    }
}

/// Reads an answer until it has brought this many events, then disconnects.
async fn leave_after(callers: std::net::SocketAddr, request: Request<Full<Bytes>>, events: usize) {
    let (_sender, may_leave) = watch::channel(true);
    leave_when(callers, request, events, may_leave).await;
}

/// Like [`leave_after`], but stays for these events after `may_leave` holds.
async fn leave_when(
    callers: std::net::SocketAddr,
    request: Request<Full<Bytes>>,
    events: usize,
    may_leave: watch::Receiver<bool>,
) {
    let stream = TcpStream::connect(callers).await.expect("a connection");
    let connecting = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = connecting.expect("a connection");
    let driver = tokio::spawn(connection);
    let response = sender.send_request(request).await.expect("an answer");
    assert_eq!(response.status(), StatusCode::OK);
    let mut body = response.into_body();
    let mut events_left = events;
    while events_left > 0 {
        let frame = body.frame().await.expect("an event").expect("an event");
        let text = frame.into_data().unwrap_or_default();
        let received = String::from_utf8_lossy(&text).matches("\n\n").count();
        if *may_leave.borrow() {
            events_left = events_left.saturating_sub(received);
        }
    }
    driver.abort();
}

/// Takes up a stream at an instance, again after a refusal; returns the ids of the attempts, and whether one brought the
/// rest of the stream.
pub async fn take_up(
    callers: std::net::SocketAddr,
    first: String,
    after: usize,
) -> (Vec<String>, bool) {
    let mut ids = Vec::new();
    for attempt in 0..TAKE_UP_ATTEMPTS {
        let id = format!("{first}-{attempt}");
        let headers = [("last-event-id", &*after.to_string()), ("resumes", &first)];
        let got = exchange(callers, request(PATH, &id, &headers)).await;
        let got = got.expect("an answer");
        ids.push(id);
        if got.status == StatusCode::SERVICE_UNAVAILABLE {
            let wait_s = got.retry_after_s().expect("a time to come back");
            time::sleep(Duration::from_secs_f64(wait_s.min(1.0))).await;
            continue;
        }
        let is_whole = got.is_whole && got.text().contains(&format!("id: {EVENTS}\n"));
        return (ids, is_whole);
    }
    (ids, false)
}

/// Begins streams at one instance, whose callers leave after two events.
pub async fn begin_streams(site: &Site, instance: usize, name: &str, count: usize) -> Vec<String> {
    let mut calls = JoinSet::new();
    for number in 0..count {
        let id = format!("{name}-{number}");
        let callers = site.callers[instance];
        calls.spawn(async move {
            leave_after(callers, request(PATH, &id, &[]), 2).await;
            id
        });
    }
    calls.join_all().await
}

/// Takes up streams at the instances from `from` on, in turn.
async fn take_up_streams(site: &Site, from: usize, begun: Vec<String>) -> (Tries, usize) {
    let mut calls = JoinSet::new();
    for (number, first) in begun.into_iter().enumerate() {
        let others = site.callers.len() - from;
        let callers = site.callers[from + number % others];
        calls.spawn(async move {
            let (ids, is_whole) = take_up(callers, first.clone(), 2).await;
            (first, ids, is_whole)
        });
    }
    let done = calls.join_all().await;
    let whole = done.iter().filter(|(_, _, is_whole)| *is_whole).count();
    let tries = done.into_iter().map(|(first, ids, _)| (first, ids));
    (tries.collect(), whole)
}

/// Streams that callers leave at the first instance and take up at the others are counted.
async fn run_take_ups(
    site: &mut Site,
    name: &str,
    versions: &[&str],
    kills_first: bool,
    pause: Duration,
) -> Counts {
    let begun = begin_streams(site, 0, name, STREAMS).await;
    if kills_first {
        site.instances[0].stop();
    }
    time::sleep(pause).await;
    let (tries, whole) = take_up_streams(site, 1, begun).await;
    Counts {
        whole,
        ..site.count(&tries, versions)
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_is_not_resumed_at_another_version() {
    let site = Arc::new(Site::start(140, 4, 8).await);
    site.set_versions(&TWO_VERSIONS).await;
    for runner in site.runners.iter() {
        runner.fault(Fault::CutNewStream);
    }
    let mut calls = JoinSet::new();
    for number in 0..STREAMS {
        let site = site.clone();
        calls.spawn(async move {
            let id = format!("broken-{number}");
            let got = site.call(number % 4, PATH, &id, "a prompt").await;
            (id, got.is_whole)
        });
    }
    let done = calls.join_all().await;
    let whole = done.iter().filter(|(_, is_whole)| *is_whole).count();
    let tries = done.into_iter().map(|(id, _)| (id, Vec::new())).collect();
    let counts = Counts {
        whole,
        ..site.count(&tries, &TWO_VERSIONS)
    };
    counts.check("broken at their endpoints");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_taken_up_at_another_instance_does_not_change_its_version() {
    let mut site = Site::start(141, 7, 8).await;
    site.set_versions(&TWO_VERSIONS).await;
    let counts = run_take_ups(&mut site, "at-once", &TWO_VERSIONS, false, Duration::ZERO).await;
    counts.check("taken up at once");
    let counts = run_take_ups(
        &mut site,
        "later",
        &TWO_VERSIONS,
        false,
        Duration::from_secs(1),
    )
    .await;
    counts.check("taken up after a second");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_killed_instance_does_not_change_its_version() {
    let mut site = Site::start(142, 7, 8).await;
    site.set_versions(&TWO_VERSIONS).await;
    let counts = run_take_ups(&mut site, "killed", &TWO_VERSIONS, true, Duration::ZERO).await;
    counts.check("taken up after a kill");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_in_a_large_group_does_not_change_its_version() {
    let mut site = Site::start(143, 18, 8).await;
    site.set_versions(&TWO_VERSIONS).await;
    let counts = run_take_ups(&mut site, "large", &TWO_VERSIONS, false, Duration::ZERO).await;
    counts.check("taken up in a large group");
    let counts = run_take_ups(
        &mut site,
        "large-killed",
        &TWO_VERSIONS,
        true,
        Duration::ZERO,
    )
    .await;
    counts.check("taken up in a large group after a kill");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_are_taken_up_while_a_service_has_one_version() {
    let mut site = Site::start(144, 7, 8).await;
    let versions = ["v1"];
    site.set_versions(&versions).await;
    let counts = run_take_ups(&mut site, "one", &versions, false, Duration::ZERO).await;
    counts.check("taken up with one version");
    let counts = run_take_ups(&mut site, "one-killed", &versions, true, Duration::ZERO).await;
    counts.check("taken up with one version after a kill");
    for instance in &site.instances {
        assert!(
            instance.gateway.stream_origins.is_empty(),
            "nothing is written with one version"
        );
    }
}

/// The streams began when nothing had to be written, and their instance is killed once there are two versions.
#[tokio::test(flavor = "multi_thread")]
async fn stream_begun_before_a_second_version_does_not_change_its_version() {
    let mut site = Site::start(145, 7, 9).await;
    let mut versions = ["v1"; 9];
    site.set_versions(&versions).await;
    site.platform.remove("servers", "e8-0");
    site.until_gone(&["e8-0"]).await;
    for runner in site.runners.iter() {
        runner.pace(Duration::from_millis(60));
        runner.long_responses(LONG_STREAM, 0);
    }
    let mut begun = JoinSet::new();
    let (leave, may_leave) = watch::channel(false);
    for number in 0..STREAMS {
        let (id, callers) = (format!("before-{number}"), site.callers[0]);
        let may_leave = may_leave.clone();
        begun.spawn(async move {
            leave_when(callers, request(PATH, &id, &[]), 2, may_leave).await;
            id
        });
    }
    time::sleep(Duration::from_millis(300)).await;
    versions[8] = "v2";
    // The id of another start, since the first one was removed.
    let mut spec = entry(site.runners[8].addr);
    spec["version"] = "v2".into();
    spec["capacity"] = (8 * SLOTS).into();
    site.runners[8].replace("e8-1");
    site.platform.set("servers", "e8-1", spec);
    until("the second version to be listed", || {
        let mut instances = site.instances.iter();
        instances.all(|i| i.lists_version("v2"))
    })
    .await;
    leave.send_replace(true);
    let begun = begun.join_all().await;
    site.instances[0].stop();
    let (tries, _) = take_up_streams(&site, 1, begun).await;
    let counts = site.count(&tries, &versions);
    println!("{counts:?} of {STREAMS}");
    assert_eq!(counts.mixed, 0, "{counts:?}");
    assert!(counts.went_on * 2 >= STREAMS, "{counts:?}");
}

/// Takes up a stream at the second instance, once; returns the status and whether an endpoint was reached.
async fn take_up_once(site: &Site, id: &str, headers: &[(&str, &str)]) -> (StatusCode, bool) {
    let got = exchange(site.callers[1], request(PATH, id, headers)).await;
    let got = got.expect("an answer");
    (got.status, !site.endpoints_of(id).is_empty())
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_unknown_origin_is_refused_without_being_run() {
    let refused = (StatusCode::SERVICE_UNAVAILABLE, false);
    let site = Site::start(146, 3, 4).await;
    site.set_versions(&TWO_VERSIONS).await;
    let unknown = [("last-event-id", "2"), ("resumes", "never-begun")];
    assert_eq!(take_up_once(&site, "unknown", &unknown).await, refused);
    let unnamed = [("last-event-id", "2")];
    assert_eq!(take_up_once(&site, "unnamed", &unnamed).await, refused);
    let (status, _) = take_up_once(&site, "new", &[]).await;
    assert_eq!(status, StatusCode::OK, "new streams are not affected");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_whose_version_has_left_is_refused_without_being_run() {
    let site = Site::start(147, 3, 4).await;
    site.set_versions(&TWO_VERSIONS).await;
    let begun = begin_streams(&site, 0, "left", STREAMS).await;
    for index in [1, 3] {
        site.platform.remove("servers", &format!("e{index}-0"));
    }
    site.until_gone(&["e1-0", "e3-0"]).await;
    let mut refused = 0;
    for first in begun {
        let (began, _) = site.versions_of(&[&first], &TWO_VERSIONS);
        let headers = [("last-event-id", "2"), ("resumes", &*first)];
        let taken_up = take_up_once(&site, &format!("{first}-again"), &headers).await;
        let expected = match began {
            "v1" => (StatusCode::OK, true),
            _ => (StatusCode::SERVICE_UNAVAILABLE, false),
        };
        assert_eq!(taken_up, expected, "{first} began at {began}");
        refused += usize::from(began != "v1");
    }
    assert!(refused > 0, "some streams began at the version that left");
}

/// Reads two events of a new stream and returns its connection and the version that made them.
async fn begin_and_stay(callers: std::net::SocketAddr, id: &str) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(callers).await.expect("a connection");
    let request = format!(
        "POST {PATH} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\
         Authorization: {KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the request is sent");
    let mut bytes = Vec::new();
    let version = loop {
        let count = stream.read_buf(&mut bytes).await.expect("more bytes");
        let text = String::from_utf8_lossy(&bytes).into_owned();
        assert!(count > 0, "ended after {text}");
        let versions: Vec<&str> = text
            .lines()
            .filter_map(|line| line.strip_prefix("version: "))
            .collect();
        if let [_, second, ..] = &versions[..] {
            break (*second).to_owned();
        }
    };
    (stream, version)
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_at_its_version_if_another_attempt_has_its_id() {
    let site = Site::start(149, 7, 8).await;
    site.set_versions(&TWO_VERSIONS).await;
    for (index, runner) in site.runners.iter().enumerate() {
        runner.state_runs(TWO_VERSIONS[index % TWO_VERSIONS.len()]);
        runner.pace(Duration::from_millis(60));
    }
    let (mut several, mut mixed) = (0, Vec::new());
    for number in 0..STREAMS {
        let id = format!("twice-{number}");
        let others = site.callers.len() - 1;
        let (_first, other) = begin_and_stay(site.callers[0], &id).await;
        let (second, version) = begin_and_stay(site.callers[1 + number % others], &id).await;
        drop(second);
        several += usize::from(other != version);
        let headers = [("last-event-id", "2"), ("resumes", &*id)];
        let again = request(PATH, &format!("{id}-again"), &headers);
        let instance = site.callers[number % site.callers.len()];
        let got = exchange(instance, again).await.expect("an answer");
        let went_on = whole_events(&got.text());
        if got.status == StatusCode::OK && went_on.iter().any(|event| event.version != version) {
            mixed.push(id);
        }
    }
    assert!(several * 4 >= STREAMS, "{several} of {STREAMS} differ");
    assert!(mixed.is_empty(), "{mixed:?} of {several}");
}

/// A release must not wait for the list of versions.
#[tokio::test(flavor = "multi_thread")]
async fn streams_may_begin_at_a_new_version_soon_after_it_appears() {
    let site = Site::start(190, 7, 8).await;
    site.set_versions(&["v1"]).await;
    // The watchers of the store are settled.
    time::sleep(Duration::from_secs(2)).await;
    site.show_versions(&TWO_VERSIONS).await;
    let seen = time::Instant::now();
    until("the second version to be listed", || {
        site.instances.iter().all(|i| i.lists_version("v2"))
    })
    .await;
    let took = seen.elapsed();
    println!("listed after {took:?}");
    assert!(took < Duration::from_millis(200), "{took:?}");
}
