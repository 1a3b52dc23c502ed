//! Callers that read or send slowly: their slowness is not taken for the endpoint's, what is held for them is bounded, and
//! others are served meanwhile.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http_body_util::Full;
use hyper::{Request, StatusCode};
use ryevalve::{
    balance::load::EndpointKey, explain::explain, gateway::state::GatewayBounds,
    limits::held_bytes::HeldLimits, platform::edge::METRICS_PORT,
};
use serde_json::json;
use standins::{
    platform::Platform,
    runner::{Runner, padded_event, whole_body},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    task::JoinSet,
    time,
};

use crate::{
    cluster::{Instance, InstanceSpec, free_port, until},
    support::{Edge, KEY, config, exchange, request},
};

/// Caller with a small receive buffer, so that little is on the way to it beside what the instance holds.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
const EVENT_BYTES: usize = 64 << 10;
/// Slots of an endpoint, above the number of callers of any test.
const SLOTS: u32 = 200;
/// Time limit of a request in these tests.
const DEADLINE_MS: u64 = 20_000;

/// One instance in the test process, with its endpoints.
struct Relay {
    runners: Vec<Runner>,
    instance: Instance,
    callers: SocketAddr,
    platform: Platform,
}

impl Relay {
    async fn start(net: u8, endpoints: usize) -> Self {
        let platform = Platform::start().await;
        set_config(&platform);
        let mut runners = Vec::new();
        for index in 0..endpoints {
            runners.push(start_endpoint(&platform, index).await);
        }
        let spec = InstanceSpec {
            net,
            number: 0,
            hall: "hall",
            port: free_port(net).await,
            seeds: &[],
        };
        let mut instance = Instance::start(spec).await;
        instance.follow(platform.addr());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let callers = listener.local_addr().expect("an address");
        instance.serve(listener);
        let gateway = &instance.gateway;
        until("the endpoints", || {
            gateway.balancer().endpoint_count() == endpoints
        })
        .await;
        until("the configuration", || gateway.config.version() > 0).await;
        Self {
            runners,
            instance,
            callers,
            platform,
        }
    }

    fn limit(&self, per_caller_bytes: usize, total_bytes: usize) {
        let gateway = &self.instance.gateway;
        gateway.set_bounds(GatewayBounds {
            held: HeldLimits {
                per_caller_bytes,
                total_bytes,
            },
            ..gateway.bounds()
        });
    }

    /// Returns the share of failures, the time between events and the time that a slot is held, as learned.
    fn learned(&self, endpoint: usize) -> (f64, f64, f64) {
        let gateway = &self.instance.gateway;
        let now_us = gateway.clock.now_us();
        let mut learned = None;
        gateway.balancer().update_speed(key(endpoint), |speed| {
            learned = Some((
                speed.decayed_failure_share(now_us),
                speed.event_ms(),
                speed.slot_hold_ms(),
            ));
        });
        learned.expect("a known endpoint")
    }

    /// Returns the requests of this instance that are in flight at an endpoint.
    fn in_flight(&self, endpoint: usize) -> u32 {
        let balancer = self.instance.gateway.balancer();
        balancer.load_view().own_requests(key(endpoint))
    }
}

fn key(endpoint: usize) -> EndpointKey {
    EndpointKey::of(&format!("i-{endpoint}"))
}

fn set_config(platform: &Platform) {
    let mut config = config(5, &["key-of-the-tests"]);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = DEADLINE_MS.into();
        route["targetLatencyMs"] = 5_000.into();
    }
    platform.set("config", "main", config);
}

async fn start_endpoint(platform: &Platform, index: usize) -> Runner {
    let id = format!("i-{index}");
    let runner = Runner::start(&id).await;
    runner.pace(Duration::ZERO);
    register(platform, &runner, index);
    runner
}

fn register(platform: &Platform, runner: &Runner, index: usize) {
    let entry = json!({"backend": "svc", "address": runner.addr, "zone": "hall", "version": "v1",
        "capacity": SLOTS, "state": "ready", "warmupLeftMs": 0, "sequence": 2});
    platform.set("servers", &format!("i-{index}"), entry);
}

/// A caller that reads only when told to.
struct SlowCaller {
    stream: TcpStream,
    received: Vec<u8>,
}

impl SlowCaller {
    async fn connect(addr: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("a buffer");
        let stream = socket.connect(addr).await.expect("a connection");
        Self {
            stream,
            received: Vec::new(),
        }
    }

    async fn send(addr: SocketAddr, path: &str, id: &str) -> Self {
        let mut caller = Self::connect(addr).await;
        caller.write(&head(path, id, 8)).await;
        caller.write("a prompt").await;
        caller
    }

    async fn write(&mut self, text: &str) {
        let written = self.stream.write_all(text.as_bytes()).await;
        written.expect("an open connection");
    }

    /// Reads at least this many bytes.
    async fn read(&mut self, bytes: usize) {
        let end = self.received.len() + bytes;
        while self.received.len() < end && self.read_some().await {}
    }

    /// Reads to the end of the response; returns whether it is whole.
    async fn read_to_end(&mut self) -> bool {
        let reading = async {
            while !self.received.ends_with(b"\r\n0\r\n\r\n") {
                if !self.read_some().await {
                    return false;
                }
            }
            true
        };
        time::timeout(Duration::from_secs(30), reading)
            .await
            .expect("an end of the response")
    }

    async fn read_some(&mut self) -> bool {
        let mut chunk = vec![0; 64 << 10];
        let count = self.stream.read(&mut chunk).await.unwrap_or(0);
        self.received.extend_from_slice(&chunk[..count]);
        count > 0
    }

    /// Returns the number of whole events of the request that were received in order, without gaps or repetitions.
    fn events(&self, id: &str) -> u64 {
        let text = String::from_utf8_lossy(&self.received);
        let mark = format!("data: {id} ");
        let marks = text.match_indices(&mark);
        let numbers = marks.map(|(at, mark)| {
            let number = text[at + mark.len()..].split(|c: char| !c.is_ascii_digit());
            number.clone().next().and_then(|n| n.parse::<u64>().ok())
        });
        let numbers: Vec<_> = numbers.flatten().collect();
        assert!(
            numbers.iter().copied().eq(1..=numbers.len() as u64),
            "{numbers:?}"
        );
        numbers.len() as u64
    }
}

fn head(path: &str, id: &str, content_length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\nrequest-id: {id}\r\ndeadline-ms: {DEADLINE_MS}\r\n\
         authorization: {KEY}\r\ncontent-length: {content_length}\r\n\r\n"
    )
}

// The endpoint's run takes a fraction of a second, and its caller reads for three.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_slot_is_free_when_the_run_ends_and_the_caller_gets_all() {
    let relay = Relay::start(91, 1).await;
    relay.runners[0].long_responses(20, 8 << 10);
    let mut caller = SlowCaller::send(relay.callers, "/resume/stream", "r-1").await;
    until("the run", || {
        relay.runners[0].seen().iter().any(|s| s.finished)
    })
    .await;
    until("the slot", || relay.in_flight(0) == 0).await;
    let idle = relay.instance.gateway.connections.idle_count();
    assert_eq!(idle, 1, "the connection can be used for others");
    assert!(relay.instance.gateway.held_memory.total_bytes() > 0);
    for _ in 0..10 {
        time::sleep(Duration::from_millis(300)).await;
        caller.read(8 << 10).await;
    }
    assert!(caller.read_to_end().await);
    assert_eq!(caller.events("r-1"), 20);
    until("the bytes", || {
        relay.instance.gateway.held_memory.total_bytes() == 0
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_reads_slowly_changes_no_speed_or_failure_of_its_endpoint() {
    let relay = Relay::start(92, 2).await;
    for runner in &relay.runners {
        runner.long_responses(400, EVENT_BYTES);
    }
    let mut quick = SlowCaller::send(relay.callers, "/resume/stream", "quick").await;
    assert!(quick.read_to_end().await);
    let chosen = usize::from(relay.runners[0].runs("quick") == 0);
    // The slow one shall run at the endpoint whose speed is known.
    register_draining(&relay, 1 - chosen);
    until("the drain", || is_draining(&relay, 1 - chosen)).await;
    let before = relay.learned(chosen);
    let mut slow = SlowCaller::send(relay.callers, "/resume/stream", "slow").await;
    let paused = || relay.instance.gateway.metrics.reads_paused.get();
    until("a caller that is behind", || paused() > 0).await;
    for _ in 0..8 {
        time::sleep(Duration::from_millis(400)).await;
        slow.read(1 << 20).await;
    }
    assert!(slow.read_to_end().await);
    assert_eq!(slow.events("slow"), 400);
    let after = relay.learned(chosen);
    assert!(after.0 <= before.0, "failures: {before:?}, {after:?}");
    assert!(
        after.1 <= before.1 * 1.5 + 1.0,
        "times between events: {before:?}, {after:?}"
    );
    assert!(after.2 <= before.2, "times of slots: {before:?}, {after:?}");
    let runs: usize = relay.runners.iter().map(|r| r.runs("slow")).sum();
    assert_eq!(runs, 1);
}

fn register_draining(relay: &Relay, endpoint: usize) {
    let entry = json!({"backend": "svc", "address": relay.runners[endpoint].addr, "zone": "hall",
        "version": "v1", "capacity": SLOTS, "state": "draining", "warmupLeftMs": 0, "sequence": 3});
    relay
        .platform
        .set("servers", &format!("i-{endpoint}"), entry);
}

fn is_draining(relay: &Relay, endpoint: usize) -> bool {
    let balancer = relay.instance.gateway.balancer();
    balancer.entry(key(endpoint)).is_none_or(|e| e.draining)
}

// The endpoint cuts the answer after a second in which nothing could be sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endpoint_that_cuts_an_unread_answer_has_not_failed_and_nothing_is_run_again() {
    let relay = Relay::start(93, 2).await;
    for runner in &relay.runners {
        runner.long_responses(1_000, EVENT_BYTES);
        runner.cut_unread_after(Duration::from_secs(1));
    }
    let mut caller = SlowCaller::send(relay.callers, "/resume/stream", "r-1").await;
    let was_cut = || {
        let seen = relay.runners.iter().flat_map(Runner::seen);
        seen.into_iter().any(|s| s.was_unread)
    };
    until("the cut", was_cut).await;
    let chosen = usize::from(relay.runners[0].runs("r-1") == 0);
    assert!(
        !caller.read_to_end().await,
        "the caller sees that it is not whole"
    );
    assert!(caller.events("r-1") > 0);
    until("the slot", || relay.in_flight(chosen) == 0).await;
    let (failures, _, _) = relay.learned(chosen);
    assert!(failures < 1e-9, "{failures}");
    time::sleep(Duration::from_millis(500)).await;
    let runs: usize = relay.runners.iter().map(|r| r.runs("r-1")).sum();
    assert_eq!(runs, 1, "run again for a caller that does not read");
}

/// Starts an instance with two endpoints whose streams are far longer than what is held for a caller.
async fn start_with_long_streams() -> Edge {
    let edge = Edge::start(2).await;
    set_config(&edge.platform);
    for (index, runner) in edge.runners.iter().enumerate() {
        register(&edge.platform, runner, index);
        runner.pace(Duration::ZERO);
        runner.long_responses(200, EVENT_BYTES);
    }
    let has_config = || async {
        let lines = edge.lines();
        let mut offered = lines
            .iter()
            .filter(|l| l["event"] == "configuration_offered");
        offered.any(|l| l["version"] == 5)
    };
    edge.until(has_config).await;
    edge
}

/// Sends requests `s-0` to `s-(count - 1)` whose callers read nothing.
async fn stop_reading(edge: &Edge, count: usize) -> Vec<SlowCaller> {
    let mut stopped = Vec::new();
    for number in 0..count {
        let id = format!("s-{number}");
        stopped.push(SlowCaller::send(edge.callers, "/resume/stream", &id).await);
        if number % 10 == 0 {
            time::sleep(Duration::from_millis(50)).await;
        }
    }
    stopped
}

// Each is held up to 256 KB; the process may use 110 MB.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_hundred_callers_stop_reading_while_others_are_served_within_the_memory() {
    let edge = start_with_long_streams().await;
    let _stopped = stop_reading(&edge, 100).await;
    time::sleep(Duration::from_secs(2)).await;
    let mut calls = JoinSet::new();
    for number in 0..50 {
        let request = request("/again/", &format!("r-{number}"), &[]);
        calls.spawn(exchange(edge.callers, request));
    }
    let answers = calls.join_all().await;
    let served = answers
        .iter()
        .flatten()
        .filter(|a| a.status == StatusCode::OK && a.is_whole);
    assert_eq!(served.count(), 50);
    let mut whole = SlowCaller::send(edge.callers, "/resume/stream", "reads").await;
    assert!(whole.read_to_end().await, "a caller that reads is not cut");
    assert_eq!(whole.events("reads"), 200);
    let held_bytes = metric(&edge, "ryevalve_gateway_held_bytes").await;
    assert!(
        held_bytes > 10e6,
        "{held_bytes} held for callers that stopped"
    );
    let peak_kb = edge.peak_memory_kb();
    assert!(peak_kb < 110 << 10, "{peak_kb} KB");
}

/// Returns a metric of an instance.
async fn metric(edge: &Edge, name: &str) -> f64 {
    let addr = SocketAddr::new(edge.ready.ip(), METRICS_PORT);
    let get = Request::get("/metrics").header("host", "x");
    let got = exchange(addr, get.body(Full::default()).expect("a request")).await;
    let text = got.expect("metrics").text();
    let value = text
        .lines()
        .find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    value.expect("the metric").parse().expect("a number")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_log_explains_who_was_cut_and_the_process_stays_within_its_memory() {
    let edge = start_with_long_streams().await;
    let _stopped = stop_reading(&edge, 160).await;
    edge.until(|| async { edge.has_logged("caller_cut") }).await;
    time::sleep(Duration::from_secs(2)).await;
    let lines = edge.lines();
    let cut: Vec<_> = lines
        .iter()
        .filter(|l| l["event"] == "caller_cut")
        .collect();
    let cut_in_all = metric(&edge, "ryevalve_gateway_callers_cut_total").await;
    assert_eq!(cut.len() as f64, cut_in_all);
    let id = cut[0]["request_id"].as_str().expect("an id");
    let text = std::fs::read_to_string(&edge.log).expect("the log");
    let explained = explain(&text, id).expect("lines of the request");
    assert!(explained.contains("its caller was cut"), "{explained}");
    let peak_kb = edge.peak_memory_kb();
    assert!(peak_kb < 110 << 10, "{peak_kb} KB");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn where_memory_is_used_up_those_are_cut_who_stopped_reading() {
    let relay = Relay::start(94, 2).await;
    relay.limit(256 << 10, 2 << 20);
    for runner in &relay.runners {
        runner.long_responses(100, EVENT_BYTES);
    }
    let mut stopped = Vec::new();
    for number in 0..20 {
        let id = format!("s-{number}");
        stopped.push(SlowCaller::send(relay.callers, "/fixed/stream", &id).await);
    }
    let cut = || relay.instance.gateway.metrics.callers_cut.get();
    until("a cut", || cut() > 0).await;
    let mut reader = SlowCaller::send(relay.callers, "/fixed/stream", "reads").await;
    assert!(reader.read_to_end().await, "a caller that reads is not cut");
    assert!(relay.instance.gateway.held_memory.total_bytes() <= 2 << 20);
    let mut not_whole = 0;
    for caller in &mut stopped {
        not_whole += u64::from(!caller.read_to_end().await);
    }
    assert_eq!(
        not_whole,
        cut(),
        "each caller that is cut sees it, and no other is"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_answers_that_are_not_read_are_bounded_too() {
    let relay = Relay::start(95, 1).await;
    relay.limit(256 << 10, 8 << 20);
    relay.runners[0].long_responses(1, 1 << 20);
    let mut stopped = Vec::new();
    for number in 0..30 {
        let id = format!("s-{number}");
        stopped.push(SlowCaller::send(relay.callers, "/once/", &id).await);
    }
    let cut = || relay.instance.gateway.metrics.callers_cut.get();
    until("a cut", || cut() > 0).await;
    let got = exchange(relay.callers, request("/once/", "reads", &[])).await;
    let got = got.expect("an answer");
    assert!(got.is_whole && got.text().starts_with(&whole_body("reads")));
    assert_eq!(got.body.len(), whole_body("reads").len() + (1 << 20));
    assert!(relay.instance.gateway.held_memory.total_bytes() <= 8 << 20);
    let (failures, _, _) = relay.learned(0);
    assert!(failures < 1e-9, "{failures}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_does_not_read_and_leaves_ends_its_run() {
    let relay = Relay::start(96, 1).await;
    relay.runners[0].long_responses(1_000, EVENT_BYTES);
    let caller = SlowCaller::send(relay.callers, "/resume/stream", "r-1").await;
    let paused = || relay.instance.gateway.metrics.reads_paused.get();
    until("a caller that is behind", || paused() > 0).await;
    drop(caller);
    let left = Instant::now();
    until("the slot", || relay.in_flight(0) == 0).await;
    assert!(left.elapsed() < Duration::from_secs(1));
    assert_eq!(relay.instance.gateway.held_memory.total_bytes(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_waits_for_a_caller_that_reads_slowly() {
    let mut edge = Edge::start(1).await;
    edge.runners[0].long_responses(30, 8 << 10);
    let mut caller = SlowCaller::send(edge.callers, "/resume/stream", "r-1").await;
    edge.until(|| async { edge.runners[0].seen().iter().any(|s| s.finished) })
        .await;
    edge.signal("TERM");
    // The instance reports not ready for 2.6 s before it closes connections.
    time::sleep(Duration::from_secs(4)).await;
    assert!(caller.read_to_end().await);
    assert_eq!(caller.events("r-1"), 30);
    assert_eq!(edge.exit_code().await, Some(0));
}

// The route's time limit is 3 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_is_sent_too_slowly_is_refused_as_not_run() {
    let edge = Edge::start(1).await;
    let mut caller = SlowCaller::connect(edge.callers).await;
    caller.write(&head("/once/", "r-1", 100)).await;
    let started = Instant::now();
    caller.write("the first half").await;
    caller.read(12).await;
    let took = started.elapsed();
    assert!(
        caller.received.starts_with(b"HTTP/1.1 408"),
        "{:?}",
        caller.received
    );
    assert!(took < Duration::from_millis(3_500), "{took:?}");
    assert!(edge.runners[0].seen().is_empty());
}

#[test]
fn a_padded_event_without_padding_is_a_plain_one() {
    assert_eq!(padded_event("r", 3, 0), standins::runner::event("r", 3));
}
