//! Connections that are carried through other instances while endpoints or these instances are silent for a second,
//! alone and beside stops and changes of the configuration.

use std::{
    thread,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use ryevalve::gateway::{caller_listener::ListenerStop, stop};
use serde_json::{Value, json};
use standins::{
    proxy::Mode,
    runner::{EVENTS, event, whole_body},
};
use tokio::{
    runtime::{Builder, Handle, Runtime},
    task::JoinSet,
    time,
};

use crate::{
    cut_links::{LinkedSite, linked_entry, send_requests},
    support::{CallerResponse, config, exchange, request},
};

const INSTANCES: usize = 3;
const ENDPOINTS: usize = 6;
/// For how long endpoints or instances are silent.
const SILENCE: Duration = Duration::from_millis(1_300);
/// Time in which an instance finds that it is cut off.
const DETECTION: Duration = Duration::from_secs(1);
/// Part of a request that is done when the silence begins.
const LEAD: Duration = Duration::from_millis(400);
/// Time between two events of a stream, and before a plain answer.
const PACE: Duration = Duration::from_millis(200);
/// Requests of each kind.
const REQUESTS: usize = 6;
/// Routes whose requests run once.
const ONCE: [&str; 2] = ["/fixed/stream", "/once/x"];
/// Routes whose requests may run again, or go on elsewhere.
const AGAIN: [&str; 2] = ["/resume/stream", "/again/x"];
/// Time limit of the routes, far above what any answer takes.
const TIMEOUT_MS: u64 = 7_000;
/// Capacity of an endpoint, far above what it is sent.
const CAPACITY: u32 = 64;

fn long_config(version: u64) -> Value {
    let mut config = config(version, &["key-of-the-tests"]);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = json!(TIMEOUT_MS);
        route["targetLatencyMs"] = json!(400 + version % 2);
    }
    config
}

/// An answer that a caller received.
struct Answer {
    path: &'static str,
    id: String,
    response: CallerResponse,
    took: Duration,
}

/// The runtimes of instances that can be frozen.
struct Freezer {
    runtimes: Vec<Runtime>,
}

impl Drop for Freezer {
    fn drop(&mut self) {
        for runtime in self.runtimes.drain(..) {
            runtime.shutdown_background();
        }
    }
}

impl Freezer {
    fn new(instances: usize) -> Self {
        let start = |_| {
            let mut builder = Builder::new_multi_thread();
            let builder = builder.worker_threads(1).enable_all();
            builder.build().expect("a runtime")
        };
        Self {
            runtimes: (0..instances).map(start).collect(),
        }
    }

    fn handles(&self) -> Vec<Handle> {
        self.runtimes.iter().map(|r| r.handle().clone()).collect()
    }

    /// Blocks the only thread of an instance for [`SILENCE`].
    fn freeze(&self, instance: usize) {
        self.runtimes[instance].spawn(async { thread::sleep(SILENCE) });
    }
}

/// Instances of which the first is cut off from all endpoints, and is served by the others.
struct CutSite {
    site: LinkedSite,
    freezer: Freezer,
}

impl CutSite {
    async fn start(net: u8) -> Self {
        let freezer = Freezer::new(INSTANCES);
        let site = LinkedSite::start_on(net, &freezer.handles(), ENDPOINTS).await;
        for (store, links) in site.stores.iter().zip(site.links.iter()) {
            store.set("config", "main", long_config(4));
            for (index, link) in links.iter().enumerate() {
                let mut entry = linked_entry(link, index);
                entry["capacity"] = json!(CAPACITY);
                store.set("servers", &format!("e{index}"), entry);
            }
        }
        time::sleep(Duration::from_millis(500)).await;
        site.cut(1, Mode::Unreachable);
        send_requests(&site.callers[..1], "/again/w", DETECTION).await;
        for runner in site.runners.iter() {
            runner.pace(PACE);
        }
        Self { site, freezer }
    }

    /// Sets the mode of the links of all instances that reach endpoints.
    fn set_links(&self, mode: Mode) {
        for link in self.site.links[1..].iter().flatten() {
            link.set(mode);
        }
    }

    /// Sends streams to the instance that is cut off, and plain requests after `plain_delay`.
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
                let addr = self.site.callers[0];
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

    /// Returns the instance that carries most connections; fails if none carries any.
    fn carrier(&self) -> usize {
        let carried = |i: &usize| self.site.instances[*i].gateway.carried.open();
        let carrier = (1..INSTANCES).max_by_key(carried).expect("an instance");
        assert!(carried(&carrier) > 0);
        carrier
    }

    /// Checks that all answers are whole and that no request of [`ONCE`] ran twice; returns how long the
    /// slowest plain one took.
    async fn check(&self, calls: JoinSet<Answer>) -> Duration {
        let mut failed = Vec::new();
        let answers = calls.join_all().await;
        for answer in &answers {
            let Answer {
                path, id, response, ..
            } = answer;
            let stream: String = (1..=EVENTS).map(|number| event(id, number)).collect();
            let expected = match path.ends_with("/stream") {
                true => stream,
                false => whole_body(id),
            };
            let is_served = response.status == StatusCode::OK && response.text() == expected;
            if !is_served || !response.is_whole {
                failed.push(format!("{id}: {}", response.status));
            }
            let runs: usize = self.site.runners.iter().map(|r| r.runs(id)).sum();
            assert!(runs <= 1 || AGAIN.contains(path), "{id} ran {runs} times");
        }
        let plain = answers.iter().filter(|a| !a.path.ends_with("/stream"));
        let slowest = plain.map(|a| a.took).max().unwrap_or_default();
        println!(
            "{} of {} not served, the slowest plain one after {slowest:?}",
            failed.len(),
            answers.len()
        );
        assert!(failed.is_empty(), "{} failed: {failed:?}", failed.len());
        slowest
    }
}

/// Sends requests through other instances, and calls `disturb` while they run.
async fn check_all_served_beside(
    net: u8,
    paths: &[&'static str],
    disturb: impl AsyncFnOnce(&mut CutSite),
) {
    let mut cut = CutSite::start(net).await;
    let calls = cut.send(paths, LEAD - PACE / 2);
    time::sleep(LEAD).await;
    cut.carrier();
    disturb(&mut cut).await;
    let slowest = cut.check(calls).await;
    assert!(slowest >= SILENCE, "nothing was silent: {slowest:?}");
}

async fn silence_links(cut: &mut CutSite, mode: Mode) {
    cut.set_links(mode);
    time::sleep(SILENCE).await;
    cut.set_links(Mode::Pass);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_endpoints_cut_no_carried_request_that_runs_once() {
    check_all_served_beside(220, &ONCE, async |cut| {
        silence_links(cut, Mode::Silent).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_endpoints_cut_no_carried_request_that_is_repeatable() {
    check_all_served_beside(221, &AGAIN, async |cut| {
        silence_links(cut, Mode::Silent).await;
    })
    .await;
}

/// Connects are silent as well, so that no instance seems to reach any endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn silent_links_of_carriers_cut_no_request_that_runs_once() {
    check_all_served_beside(222, &ONCE, async |cut| {
        silence_links(cut, Mode::Unreachable).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_carriers_cut_no_request_that_runs_once() {
    check_all_served_beside(223, &ONCE, async |cut| {
        for instance in 1..INSTANCES {
            cut.freezer.freeze(instance);
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_carriers_cut_no_repeatable_request() {
    check_all_served_beside(224, &AGAIN, async |cut| {
        for instance in 1..INSTANCES {
            cut.freezer.freeze(instance);
        }
    })
    .await;
}

/// The instance that is cut off is frozen itself, and its carriers wait for it.
#[tokio::test(flavor = "multi_thread")]
async fn freeze_of_the_instance_that_is_cut_off_cuts_none_of_its_requests() {
    check_all_served_beside(225, &ONCE, async |cut| cut.freezer.freeze(0)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_of_a_carrier_cuts_no_request_of_silent_endpoints() {
    check_all_served_beside(226, &ONCE, async |cut| {
        let carrier = cut.carrier();
        let gateway = cut.site.instances[carrier].gateway.clone();
        let grace = Duration::from_secs(8);
        let stopping = tokio::spawn(async move {
            let serving = tokio::spawn(async {});
            stop::stop(&gateway, ListenerStop::default(), serving, grace).await
        });
        silence_links(cut, Mode::Silent).await;
        assert!(stopping.await.expect("no panic"), "all is answered");
        cut.site.instances[carrier].stop();
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_of_a_frozen_carrier_cuts_no_request() {
    check_all_served_beside(227, &ONCE, async |cut| {
        let carrier = cut.carrier();
        let gateway = cut.site.instances[carrier].gateway.clone();
        let grace = Duration::from_secs(8);
        cut.freezer.freeze(carrier);
        let stopping = cut.freezer.runtimes[carrier].spawn(async move {
            let serving = tokio::spawn(async {});
            stop::stop(&gateway, ListenerStop::default(), serving, grace).await
        });
        assert!(stopping.await.expect("no panic"), "all is answered");
        cut.site.instances[carrier].stop();
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_of_the_configuration_cut_no_carried_request_of_silent_endpoints() {
    check_all_served_beside(228, &ONCE, async |cut| {
        cut.set_links(Mode::Silent);
        for version in 5..9 {
            for store in &cut.site.stores {
                store.set("config", "main", long_config(version));
            }
            time::sleep(SILENCE / 4).await;
        }
        cut.set_links(Mode::Pass);
    })
    .await;
}

/// The end of the cut, too, comes while requests wait on carried connections.
#[tokio::test(flavor = "multi_thread")]
async fn end_of_the_cut_cuts_no_carried_request_of_silent_endpoints() {
    check_all_served_beside(229, &ONCE, async |cut| {
        cut.set_links(Mode::Silent);
        cut.site.cut(1, Mode::Pass);
        time::sleep(SILENCE).await;
        cut.set_links(Mode::Pass);
    })
    .await;
}

/// New requests come while one of two carriers is frozen: another one carries them.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_served_while_a_carrier_is_frozen() {
    let cut = CutSite::start(230).await;
    cut.freezer.freeze(cut.carrier());
    time::sleep(Duration::from_millis(50)).await;
    let calls = cut.send(&[ONCE, AGAIN].concat(), Duration::ZERO);
    cut.check(calls).await;
}
