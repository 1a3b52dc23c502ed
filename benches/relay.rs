//! Compares a small completion over loopback sent directly to the engine with one relayed by an instance, and a stream
//! of events sent directly by an endpoint with one relayed by a gateway.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use criterion::{Criterion, criterion_group, criterion_main};
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use ryevalve::{
    config::{self, Versioned},
    distribution::{CONFIG_KEY, StoredConfig},
    entry::parse::key_digest,
    gateway::{
        caller_listener::{self, ListenerStop},
        staleness::StalenessBound,
        state::{Gateway, GatewayBounds},
    },
    instance,
    limits::{
        held_bytes::HeldLimits, permits::ColdTolerance, quota::Tolerance, retries::RetryBounds,
    },
    platform::{
        headers::PlatformProtocol, objects::ObjectClient, store::PlatformStore,
        store_era::StoreEra, store_watch,
    },
    settings::{LogFormat, Secret, Settings},
};
use serde_json::json;
use standins::{
    engine::{Engine, Speed},
    platform::Platform,
    runner::{self, Runner},
};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::{self, Runtime},
    task::JoinSet,
    time,
};

const KEY: &str = "bench-caller-key";
const BODY: &str = r#"{"model":"m","prompt":"hello","max_tokens":1,"stream":true}"#;
const CONCURRENT_CALLS: usize = 64;

/// Sends one completion request; returns the time to the first byte of its body.
async fn call(addr: SocketAddr) -> Duration {
    let started_at = Instant::now();
    let stream = TcpStream::connect(addr).await.expect("connect");
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .expect("handshake");
    tokio::spawn(connection);
    let request = Request::post("/v1/completions")
        .header("host", "bench")
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::new(Bytes::from_static(BODY.as_bytes())))
        .expect("a valid request");
    let response = sender.send_request(request).await.expect("an answer");
    assert!(response.status().is_success());
    let mut body = response.into_body();
    let first = body.frame().await.expect("a body").expect("a frame");
    let first_byte = started_at.elapsed();
    let rest = body.collect().await.expect("a whole answer").to_bytes();
    let last = if rest.is_empty() {
        first.into_data().unwrap_or_default()
    } else {
        rest
    };
    assert!(last.ends_with(b"[DONE]\n\n"));
    first_byte
}

async fn call_concurrently(addr: SocketAddr) {
    let mut calls = JoinSet::new();
    (0..CONCURRENT_CALLS).for_each(|_| {
        calls.spawn(call(addr));
    });
    while let Some(done) = calls.join_next().await {
        done.expect("a call");
    }
}

/// Streams a response with the id `r`; returns the time to its first event, or `None` if the request was refused.
async fn stream(addr: SocketAddr) -> Option<Duration> {
    let started_at = Instant::now();
    let connection = TcpStream::connect(addr).await.expect("connect");
    let _ = connection.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(connection))
        .await
        .expect("handshake");
    tokio::spawn(connection);
    let request = Request::post("/open/stream")
        .header("host", "h.example")
        .header("request-id", "r")
        .header("deadline-ms", "5000")
        .body(Full::new(Bytes::from_static(b"a prompt")))
        .expect("a valid request");
    let response = sender.send_request(request).await.expect("an answer");
    if !response.status().is_success() {
        return None;
    }
    let mut body = response.into_body();
    let first = body.frame().await.expect("a body").expect("a frame");
    let first_event = started_at.elapsed();
    let rest = body.collect().await.expect("a whole answer").to_bytes();
    let last_event = runner::event("r", runner::EVENTS);
    assert!(first.is_data() && rest.ends_with(last_event.as_bytes()));
    Some(first_event)
}

async fn stream_concurrently(addr: SocketAddr) {
    let mut streams = JoinSet::new();
    (0..CONCURRENT_CALLS).for_each(|_| {
        streams.spawn(stream(addr));
    });
    while let Some(done) = streams.join_next().await {
        done.expect("a stream").expect("an answer");
    }
}

/// Starts an endpoint, and a gateway that relays its streams; returns the address of the gateway.
async fn start_gateway() -> (Platform, Runner, SocketAddr) {
    let platform = Platform::start().await;
    let endpoint = Runner::start("i-0").await;
    endpoint.pace(Duration::ZERO);
    let route = json!({"name": "open", "hostname": "h.example", "pathPrefix": "/open/",
        "type": "streaming", "timeoutMs": 5_000, "targetLatencyMs": 1_000, "targetGapMs": 1_000,
        "priority": 0, "maxAttempts": 1, "public": true, "streamResume": false, "backend": "svc"});
    let config = json!({"version": 1, "routes": [route],
        "backends": [{"name": "svc", "healthCheck": "/healthz", "maxConnections": 1_000}],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 100_000,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000}, "tenants": []});
    platform.set("config", "main", config);
    let entry = json!({"backend": "svc", "address": endpoint.addr, "zone": "h", "version": "v1",
        "capacity": 256, "state": "ready", "warmupLeftMs": 0, "sequence": 1});
    platform.set("servers", "i-0", entry);
    let gateway = Arc::new(Gateway::new(
        PlatformProtocol,
        "h".into(),
        gateway_bounds(),
        true,
    ));
    let client = || ObjectClient::with_era(platform.addr(), StoreEra::default());
    tokio::spawn(store_watch::configuration(gateway.clone(), client()));
    tokio::spawn(store_watch::endpoints(gateway.clone(), client()));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("an address");
    let listener = listener.into_std().expect("a socket");
    std::thread::spawn(move || serve_callers(gateway, listener));
    while stream(addr).await.is_none() {
        time::sleep(Duration::from_millis(10)).await;
    }
    (platform, endpoint, addr)
}

/// Serves callers on a thread of its own, as `edge` does.
fn serve_callers(gateway: Arc<Gateway<PlatformProtocol>>, listener: std::net::TcpListener) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let listener = TcpListener::from_std(listener).expect("a socket");
        let stop = ListenerStop::default();
        caller_listener::serve(gateway, listener, 10_000, stop).await;
    });
}

fn gateway_bounds() -> GatewayBounds {
    GatewayBounds {
        revoke_us: 5_000_000,
        drain: StalenessBound(2_000_000),
        config_apply: StalenessBound(2_000_000),
        is_revocation_strict: true,
        retries: RetryBounds {
            ratio: 0.2,
            slack: 50.0,
            window_us: 10_000_000,
        },
        tolerance: Tolerance {
            window_s: 8.0,
            overage: 0.1,
            slack: 1_000.0,
        },
        shares_room: false,
        rollouts: None,
        evacuate: None,
        cold: ColdTolerance {
            overage: 1.0,
            slack: 0.0,
        },
        held: HeldLimits::of_memory(110 << 20),
    }
}

async fn start_servers() -> (Platform, Engine, SocketAddr) {
    let platform = Platform::start().await;
    let engine = Engine::start(Speed {
        slots: 256,
        prefill_tokens_per_s: 1e9,
        step: Duration::from_micros(100),
        ..Speed::default()
    })
    .await;
    let toml = format!(
        "hall = [{{ name = 'h', data_centre = 'd' }}]\n\
         tier = [{{ name = 't', rank = 0, default_deadline_ms = 60000, max_deadline_ms = 60000 }}]\n\
         organisation = [{{ name = 'o', key_sha256 = ['{}'] }}]\n\
         pool = [{{ name = 'p', kind = 'model' }}]\nservice = [{{ name = 'm', pool = 'p' }}]\n\
         endpoint = [{{ name = 'e', pool = 'p', addr = '{}', hall = 'h', slots = 256, \
         prefill_tokens_per_s = 1e9, decode_step_us = 100.0 }}]\n",
        hex::encode(key_digest(KEY)),
        engine.addr()
    );
    let mut stored = StoredConfig::default();
    let config = config::parse(&toml).expect("no fault");
    stored.set(&Versioned::from_config(1, config));
    platform.put(CONFIG_KEY, stored.write());
    let addr = |port| SocketAddr::from(([127, 77, 0, 1], port));
    let settings = Settings {
        name: "bench".into(),
        hall: "h".into(),
        data_centre: "d".into(),
        caller_addr: addr(7_001),
        operator_addr: addr(7_002),
        peer_addr: addr(7_003),
        seeds: Vec::new(),
        platform_addr: platform.addr(),
        cluster_key: Secret::new("bench-cluster-key"),
        operator_key: Secret::new("bench-operator-key"),
        log_format: LogFormat::Plain,
        max_connections: 10_000,
        max_body_bytes: 1 << 20,
        header_timeout_ms: 5_000,
        body_timeout_ms: 5_000,
        stop_timeout_ms: 1_000,
        record_requests: 1_000,
    };
    let running = instance::start(settings, PlatformStore::new(platform.addr())).await;
    let running = running.unwrap_or_else(|e| panic!("{e}"));
    while !running.instance.is_ready() {
        time::sleep(Duration::from_millis(10)).await;
    }
    // Keeps the instance running until the process exits.
    std::mem::forget(running);
    (platform, engine, addr(7_001))
}

/// Returns the CPU time used by this process, in seconds.
fn cpu_time_s() -> f64 {
    const TICKS_PER_S: f64 = 100.0;
    let stat =
        std::fs::read_to_string("/proc/self/stat").expect("read the CPU time of this process");
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    let ticks: f64 = fields
        .skip(11)
        .take(2)
        .filter_map(|f| f.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_S
}

/// Prints the CPU time per request that `what` adds to `batch`. The rest of the process does the same work with and
/// without it, so the difference is its cost.
fn print_added_cpu_time<F: Future<Output = ()>>(
    runtime: &Runtime,
    what: &str,
    batch: impl Fn(SocketAddr) -> F,
    (direct, through): (SocketAddr, SocketAddr),
) {
    const ROUNDS: usize = 12;
    const BATCHES: usize = 20;
    let cpu_us_per_request = |addr| {
        let before = cpu_time_s();
        (0..BATCHES).for_each(|_| runtime.block_on(batch(addr)));
        (cpu_time_s() - before) * 1e6 / (BATCHES * CONCURRENT_CALLS) as f64
    };
    let mut added: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let direct_us = cpu_us_per_request(direct);
            cpu_us_per_request(through) - direct_us
        })
        .collect();
    added.sort_by(f64::total_cmp);
    let median = added[ROUNDS / 2];
    let requests_per_core = 1e6 / median;
    println!(
        "added by {what}: median {median:.0} us of processor a request, {requests_per_core:.0} requests/s a core"
    );
}

fn relay(criterion: &mut Criterion) {
    let runtime = Runtime::new().expect("a runtime");
    let (_platform, engine, through) = runtime.block_on(start_servers());
    let direct = engine.addr();
    print_added_cpu_time(
        &runtime,
        "the instance",
        call_concurrently,
        (direct, through),
    );
    let (_store, endpoint, gateway) = runtime.block_on(start_gateway());
    let addrs = (endpoint.addr, gateway);
    print_added_cpu_time(&runtime, "the gateway", stream_concurrently, addrs);
    let mut group = criterion.benchmark_group("relay");
    group.sample_size(20);
    for (name, addr) in [("direct", direct), ("through", through)] {
        group.bench_function(format!("{name}, one at a time"), |b| {
            b.iter(|| runtime.block_on(call(addr)));
        });
        group.bench_function(format!("{name}, first byte"), |b| {
            b.iter_custom(|count| (0..count).map(|_| runtime.block_on(call(addr))).sum());
        });
        group.bench_function(format!("{name}, {CONCURRENT_CALLS} at once"), |b| {
            b.iter(|| runtime.block_on(call_concurrently(addr)));
        });
    }
    for (name, addr) in [("endpoint", endpoint.addr), ("gateway", gateway)] {
        group.bench_function(format!("{name}, one stream"), |b| {
            b.iter(|| runtime.block_on(stream(addr)));
        });
        group.bench_function(format!("{name}, first event"), |b| {
            b.iter_custom(|count| {
                let first = (0..count).map(|_| runtime.block_on(stream(addr)));
                first.map(|d| d.expect("an answer")).sum()
            });
        });
    }
    group.finish();
}

criterion_group!(benches, relay);
criterion_main!(benches);
