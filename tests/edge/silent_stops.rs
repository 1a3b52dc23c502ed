//! Planned stops, reloads and changes of endpoints beside sound endpoints that are silent for a second and go on.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use serde_json::json;
use standins::{
    proxy::{Mode, Proxy},
    runner::{EVENTS, event, whole_body},
};
use tokio::{task::JoinSet, time};

use crate::support::{CallerResponse, Edge, config, entry, exchange, request};

const ENDPOINTS: usize = 3;
/// For how long endpoints are silent.
const SILENCE: Duration = Duration::from_millis(1_300);
/// Part of a request that is done when its endpoint falls silent.
const LEAD: Duration = Duration::from_millis(400);
/// Time between two events of a stream, and before a plain answer.
const PACE: Duration = Duration::from_millis(200);
/// Requests of each kind.
const REQUESTS: usize = 8;
/// Routes whose requests run once.
const ONCE: [&str; 2] = ["/fixed/stream", "/once/x"];
/// Routes whose requests may run again, or go on elsewhere.
const AGAIN: [&str; 2] = ["/resume/stream", "/again/x"];
/// Time limit of the routes, far above what any answer takes.
const TIMEOUT_MS: u64 = 7_000;

/// A process with a link to each endpoint that can be silent.
struct LinkedEdge {
    edge: Edge,
    links: Vec<Proxy>,
}

/// An answer that a caller received.
struct Answer {
    path: &'static str,
    id: String,
    response: CallerResponse,
    took: Duration,
}

impl LinkedEdge {
    async fn start() -> Self {
        let edge = Edge::start_with(ENDPOINTS, "evacuateMs = 2000").await;
        let mut config = config(4, &["key-of-the-tests"]);
        for route in config["routes"].as_array_mut().expect("routes") {
            route["timeoutMs"] = json!(TIMEOUT_MS);
        }
        edge.platform.set("config", "main", config);
        let mut links = Vec::new();
        for runner in &edge.runners {
            runner.pace(PACE);
            links.push(Proxy::start_at(([127, 1, 0, 2], 0).into(), runner.addr).await);
        }
        let linked = Self { edge, links };
        for index in 0..ENDPOINTS {
            linked.set_entry(index, "ready", "hall");
        }
        time::sleep(Duration::from_secs(1)).await;
        linked
    }

    fn set_entry(&self, index: usize, state: &str, zone: &str) {
        let mut spec = entry(self.links[index].addr, state);
        spec["zone"] = json!(zone);
        spec["capacity"] = json!(64);
        let platform = &self.edge.platform;
        platform.set("servers", &format!("i-{index}"), spec);
    }

    fn set(&self, mode: Mode) {
        for link in &self.links {
            link.set(mode);
        }
    }

    /// Sends streams at once and plain requests after `plain_delay`.
    fn send(&self, paths: &[&'static str], plain_delay: Duration) -> JoinSet<Answer> {
        let mut calls = JoinSet::new();
        for path in paths.iter().copied() {
            let is_stream = path.ends_with("/stream");
            let delay = if is_stream {
                Duration::ZERO
            } else {
                plain_delay
            };
            for number in 0..REQUESTS {
                let id = format!("{}-{number}", path.replace('/', ""));
                let addr = self.edge.callers;
                calls.spawn(async move {
                    time::sleep(delay).await;
                    let began = Instant::now();
                    let mut request = request(path, &id, &[]);
                    let deadline = "8000".parse().expect("a header");
                    request.headers_mut().insert("deadline-ms", deadline);
                    let response = exchange(addr, request).await;
                    Answer {
                        path,
                        id,
                        response: response.expect("an answer"),
                        took: began.elapsed(),
                    }
                });
            }
        }
        calls
    }

    /// Checks that all answers are whole and took `min_time`, and that no request of [`ONCE`] ran twice.
    async fn check(&self, calls: JoinSet<Answer>, min_time: Duration) {
        let mut failed = Vec::new();
        let answers = calls.join_all().await;
        for answer in &answers {
            let Answer {
                path, id, response, ..
            } = answer;
            assert!(answer.took >= min_time, "{id} took {:?}", answer.took);
            let stream: String = (1..=EVENTS).map(|number| event(id, number)).collect();
            let expected = match path.ends_with("/stream") {
                true => stream,
                false => whole_body(id),
            };
            let is_served = response.status == StatusCode::OK && response.text() == expected;
            if !is_served || !response.is_whole {
                failed.push(format!("{id}: {}", response.status));
            }
            let runs: usize = self.edge.runners.iter().map(|r| r.runs(id)).sum();
            assert!(runs <= 1 || AGAIN.contains(path), "{id} ran {runs} times");
        }
        println!("{} of {} not served", failed.len(), answers.len());
        assert!(failed.is_empty(), "{} failed: {failed:?}", failed.len());
    }
}

/// Sends requests, lets all endpoints be silent while they run, and calls `disturb` at the start of the silence.
async fn check_all_served_beside(
    paths: &[&'static str],
    disturb: impl AsyncFnOnce(&LinkedEdge),
) -> LinkedEdge {
    let linked = LinkedEdge::start().await;
    let calls = linked.send(paths, LEAD - PACE / 2);
    time::sleep(LEAD).await;
    linked.set(Mode::Silent);
    disturb(&linked).await;
    time::sleep(SILENCE).await;
    linked.set(Mode::Pass);
    linked.check(calls, SILENCE).await;
    linked
}

async fn check_stop(paths: &[&'static str]) {
    let mut linked =
        check_all_served_beside(paths, async |linked| linked.edge.signal("TERM")).await;
    assert_eq!(linked.edge.exit_code().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_waits_for_silent_endpoints_of_requests_that_run_once() {
    check_stop(&ONCE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_waits_for_silent_endpoints_of_repeatable_requests() {
    check_stop(&AGAIN).await;
}

/// The endpoints are silent already when the requests are sent and the stop begins.
async fn check_stop_before_the_head(paths: &[&'static str]) {
    let mut linked = LinkedEdge::start().await;
    linked.set(Mode::Silent);
    let calls = linked.send(paths, Duration::ZERO);
    time::sleep(Duration::from_millis(100)).await;
    linked.edge.signal("TERM");
    time::sleep(SILENCE).await;
    linked.set(Mode::Pass);
    linked.check(calls, SILENCE).await;
    assert_eq!(linked.edge.exit_code().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_waits_for_late_heads_of_requests_that_run_once() {
    check_stop_before_the_head(&ONCE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_waits_for_late_heads_of_repeatable_requests() {
    check_stop_before_the_head(&AGAIN).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reload_cuts_no_request_of_silent_endpoints_that_runs_once() {
    check_all_served_beside(&ONCE, async |linked| linked.edge.signal("HUP")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reload_cuts_no_repeatable_request_of_silent_endpoints() {
    check_all_served_beside(&AGAIN, async |linked| linked.edge.signal("HUP")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_cuts_no_request_of_a_silent_endpoint_that_runs_once() {
    check_all_served_beside(&ONCE, async |linked| {
        linked.set_entry(0, "draining", "hall");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_cuts_no_repeatable_request_of_a_silent_endpoint() {
    check_all_served_beside(&AGAIN, async |linked| {
        linked.set_entry(0, "draining", "hall");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuation_cuts_no_request_of_a_silent_endpoint_that_runs_once() {
    check_all_served_beside(&ONCE, async |linked| {
        linked.set_entry(0, "ready", "other");
        linked.edge.platform.set("evacuations", "other", json!({}));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn removal_cuts_no_request_of_a_silent_endpoint_that_runs_once() {
    check_all_served_beside(&ONCE, async |linked| {
        linked.edge.platform.remove("servers", "i-0");
    })
    .await;
}

/// Sends requests to endpoints of which the first is silent at the connect, and calls `withhold` between the choice of
/// that endpoint and the send.
async fn check_sent_elsewhere(withhold: impl AsyncFnOnce(&LinkedEdge)) {
    let linked = LinkedEdge::start().await;
    linked.set_entry(0, "ready", "other");
    time::sleep(Duration::from_millis(500)).await;
    linked.links[0].set(Mode::Unreachable);
    let calls = linked.send(&[ONCE, AGAIN].concat(), Duration::ZERO);
    time::sleep(Duration::from_millis(50)).await;
    withhold(&linked).await;
    time::sleep(Duration::from_millis(50)).await;
    linked.links[0].set(Mode::Pass);
    linked.check(calls, Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_sent_elsewhere_when_its_endpoint_is_removed_before_the_send() {
    check_sent_elsewhere(async |linked| linked.edge.platform.remove("servers", "i-0")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_sent_elsewhere_when_its_endpoint_drains_before_the_send() {
    check_sent_elsewhere(async |linked| linked.set_entry(0, "draining", "other")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_sent_elsewhere_when_its_endpoint_is_evacuated_before_the_send() {
    check_sent_elsewhere(async |linked| {
        linked.edge.platform.set("evacuations", "other", json!({}));
    })
    .await;
}

/// Configurations change every 300 ms while endpoints are silent.
async fn check_changes(paths: &[&'static str]) {
    let linked = LinkedEdge::start().await;
    let calls = linked.send(paths, LEAD - PACE / 2);
    time::sleep(LEAD).await;
    linked.set(Mode::Silent);
    for version in 5..9 {
        let mut config = config(version, &["key-of-the-tests"]);
        for route in config["routes"].as_array_mut().expect("routes") {
            route["timeoutMs"] = json!(TIMEOUT_MS - version);
        }
        linked.edge.platform.set("config", "main", config);
        time::sleep(SILENCE / 4).await;
    }
    linked.set(Mode::Pass);
    linked.check(calls, SILENCE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_of_the_configuration_cut_no_request_of_silent_endpoints_that_runs_once() {
    check_changes(&ONCE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_of_the_configuration_cut_no_repeatable_request_of_silent_endpoints() {
    check_changes(&AGAIN).await;
}
