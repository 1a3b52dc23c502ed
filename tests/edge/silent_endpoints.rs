//! Sound endpoints that are silent for a second and go on, beside changes of the configuration.

use std::{sync::Arc, time::Duration};

use hyper::StatusCode;
use serde_json::{Value, json};
use standins::{
    platform::Platform,
    runner::{EVENTS, Fault, PAUSE, event, whole_body},
};
use tokio::{task::JoinSet, time};

use crate::{
    cluster::{Instance, until},
    site::{self, Site},
    support::{CallerResponse, config, exchange, request},
};

const ENDPOINTS: usize = 8;
/// Requests that an endpoint takes at a time: more than the tests send it.
const CAPACITY: u32 = 64;
/// Time limit of the routes, far above what any answer takes.
const TIMEOUT_MS: u64 = 8_000;
/// Time limit of the callers.
const DEADLINE_MS: &str = "9000";
/// Time between two events of a stream. Only the pause of a silent endpoint is longer than a stall.
const EVENT_PACE: Duration = Duration::from_millis(400);
const FIRST_VERSION: u64 = 10;
/// Time between two changes of the configuration.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// For how long requests are sent.
const SENDING: Duration = Duration::from_secs(4);

/// A load of streams on a group of instances.
#[derive(Clone, Copy)]
struct Load {
    /// Separates the addresses of concurrent tests.
    net: u8,
    instances: usize,
    /// Streams that are begun in a second.
    per_s: u32,
    /// One of this many endpoints is silent.
    silent_every: usize,
    changes_configuration: bool,
}

/// Returns a configuration whose routes have a long time limit; `target_ms` differs between versions.
fn long_config(version: u64) -> Value {
    let mut config = config(version, &["key-of-the-tests"]);
    let routes = config["routes"].as_array_mut().expect("routes");
    for route in routes {
        route["timeoutMs"] = json!(TIMEOUT_MS);
        route["targetLatencyMs"] = json!(400 + version % 2);
    }
    config
}

async fn start(net: u8, instances: usize) -> Site {
    let site = Site::start(net, instances, ENDPOINTS).await;
    for (index, runner) in site.runners.iter().enumerate() {
        let mut entry = site::entry(runner.addr);
        entry["capacity"] = json!(CAPACITY);
        site.platform.set("servers", &format!("e{index}-0"), entry);
        runner.pace(EVENT_PACE);
    }
    site.platform
        .set("config", "main", long_config(FIRST_VERSION));
    let has_config = |i: &Instance| i.gateway.config.version() == FIRST_VERSION;
    until("all instances to have the configuration", || {
        site.instances.iter().all(has_config)
    })
    .await;
    site
}

/// Changes the configuration until aborted.
async fn change_configuration(platform: Arc<Platform>) {
    for version in FIRST_VERSION + 1.. {
        platform.set("config", "main", long_config(version));
        time::sleep(CHANGE_INTERVAL).await;
    }
}

async fn call(site: &Site, instance: usize, path: &str, id: &str) -> CallerResponse {
    let mut request = request(path, id, &[]);
    let deadline = DEADLINE_MS.parse().expect("a number");
    request.headers_mut().insert("deadline-ms", deadline);
    let response = exchange(site.callers[instance], request).await;
    response.expect("an answer")
}

fn stream_of(id: &str) -> String {
    (1..=EVENTS).map(|number| event(id, number)).collect()
}

/// Sends streams to instances in turn, and returns how many were sent and the ids of those that were cut.
async fn send_streams(load: Load) -> (usize, Vec<String>) {
    let site = Arc::new(start(load.net, load.instances).await);
    for runner in site.runners.iter().step_by(load.silent_every) {
        runner.fault(Fault::Pause);
    }
    let changing = load
        .changes_configuration
        .then(|| tokio::spawn(change_configuration(site.platform.clone())));
    let mut tick = time::interval(Duration::from_secs(1) / load.per_s);
    let mut calls = JoinSet::new();
    let count = load.per_s as usize * SENDING.as_secs() as usize;
    for number in 0..count {
        tick.tick().await;
        let site = site.clone();
        calls.spawn(async move {
            let id = format!("s-{number}");
            let got = call(&site, number % site.callers.len(), "/resume/stream", &id).await;
            let is_refused = got.status == StatusCode::SERVICE_UNAVAILABLE;
            let is_whole = got.is_whole && got.text() == stream_of(&id);
            let events = got.text().matches("\n\n").count();
            (!is_refused && !is_whole).then(|| format!("{id}: {} {events} events", got.status))
        });
    }
    let results = calls.join_all().await;
    if let Some(changing) = changing {
        changing.abort();
    }
    (count, results.into_iter().flatten().collect())
}

async fn check_that_no_stream_is_cut(load: Load) {
    let (count, cut) = send_streams(load).await;
    println!("{} of {count} streams cut", cut.len());
    assert!(cut.is_empty(), "{} of {count} cut: {cut:?}", cut.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_is_not_cut_when_all_endpoints_are_silent_for_a_second() {
    check_that_no_stream_is_cut(Load {
        net: 170,
        instances: 4,
        per_s: 40,
        silent_every: 1,
        changes_configuration: false,
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_is_not_cut_when_endpoints_are_silent_beside_changes_of_the_configuration() {
    check_that_no_stream_is_cut(Load {
        net: 171,
        instances: 4,
        per_s: 40,
        silent_every: 1,
        changes_configuration: true,
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_one_instance_is_not_cut_when_endpoints_are_silent() {
    check_that_no_stream_is_cut(Load {
        net: 172,
        instances: 1,
        per_s: 15,
        silent_every: 1,
        changes_configuration: true,
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_large_group_is_not_cut_when_half_of_the_endpoints_are_silent() {
    check_that_no_stream_is_cut(Load {
        net: 173,
        instances: 18,
        per_s: 120,
        silent_every: 2,
        changes_configuration: true,
    })
    .await;
}

/// Sends plain requests within a second to endpoints that take [`PAUSE`] to answer, and returns the ids of those that
/// were not served.
async fn send_to_silent_endpoints(net: u8, path: &str, silent_every: usize) -> Vec<String> {
    let site = Arc::new(start(net, 4).await);
    for (index, runner) in site.runners.iter().enumerate() {
        let is_silent = index.is_multiple_of(silent_every);
        let pace = if is_silent { PAUSE } else { Duration::ZERO };
        runner.pace(pace);
    }
    let mut tick = time::interval(Duration::from_millis(12));
    let mut calls = JoinSet::new();
    for number in 0..80 {
        tick.tick().await;
        let (site, path) = (site.clone(), path.to_owned());
        calls.spawn(async move {
            let id = format!("p-{number}");
            let got = call(&site, number % site.callers.len(), &path, &id).await;
            let is_served = got.status == StatusCode::OK && got.text() == whole_body(&id);
            (!is_served).then(|| format!("{id}: {}", got.status))
        });
    }
    calls.join_all().await.into_iter().flatten().collect()
}

async fn check_that_all_are_served(net: u8, path: &str, silent_every: usize) {
    let failed = send_to_silent_endpoints(net, path, silent_every).await;
    println!("{path}: {} of 80 not served", failed.len());
    assert!(failed.is_empty(), "{} of 80: {failed:?}", failed.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn request_with_two_attempts_does_not_fail_because_its_endpoint_was_silent() {
    check_that_all_are_served(175, "/again/x", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_with_five_attempts_does_not_fail_because_its_endpoint_was_silent() {
    check_that_all_are_served(176, "/often/x", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_runs_once_does_not_fail_because_its_endpoint_was_silent() {
    check_that_all_are_served(177, "/once/x", 1).await;
}

/// Half of the endpoints answer at once, so a retry there is much faster than the silent endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_still_retried_when_its_endpoint_is_silent_and_others_are_not() {
    check_that_all_are_served(178, "/often/x", 2).await;
}

/// The check whether the other endpoint has crashed takes longer than two runs may overlap.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_stream_is_kept_when_the_endpoint_that_should_continue_it_breaks() {
    let site = start(179, 1).await;
    for number in 0..6 {
        let id = format!("s-{number}");
        for runner in site.runners.iter() {
            runner.fault(Fault::Pause);
        }
        let call = call(&site, 0, "/resume/stream", &id);
        let breaking = async {
            until("the stream to begin", || {
                site.runners.iter().any(|r| r.runs(&id) > 0)
            })
            .await;
            for runner in site.runners.iter().filter(|r| r.runs(&id) == 0) {
                runner.fault(Fault::ResetAfterRun);
            }
        };
        let (got, ()) = tokio::join!(call, breaking);
        assert!(got.is_whole, "{id}: {}", got.text());
        assert_eq!(got.text(), stream_of(&id));
    }
}

/// Longest time for which the earlier run of a stream may go on beside the one that continues it.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

#[tokio::test(flavor = "multi_thread")]
async fn silent_run_does_not_go_on_beside_the_run_that_continues_its_stream() {
    let site = Arc::new(start(180, 1).await);
    for runner in site.runners.iter() {
        runner.fault(Fault::Pause);
    }
    let mut calls = JoinSet::new();
    for number in 0..12 {
        let site = site.clone();
        calls.spawn(async move {
            let id = format!("s-{number}");
            let got = call(&site, 0, "/resume/stream", &id).await;
            assert!(got.is_whole, "{id}: {}", got.text());
            id
        });
    }
    let mut continued = 0;
    for id in calls.join_all().await {
        let seen = site.runners.iter().flat_map(|r| r.seen());
        let runs = seen.filter(|s| s.headers.get("request-id") == Some(&id));
        let (later, earlier): (Vec<_>, Vec<_>) =
            runs.partition(|s| s.headers.contains_key("last-event-id"));
        for run in &later {
            let left = earlier[0].left_at.expect("the earlier run to end");
            assert!(left <= run.at + MAX_OVERLAP, "{id}: {:?}", left - run.at);
        }
        continued += later.len();
    }
    assert!(continued > 0, "no stream was continued elsewhere");
}
