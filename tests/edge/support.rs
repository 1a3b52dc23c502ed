//! Starts the program with a store and endpoints that are test stand-ins, and sends it requests.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode, client::conn::http1};
use hyper_util::rt::TokioIo;
use ryevalve::prelude::StorePosition;
use serde_json::{Value, json};
use standins::{platform::Platform, runner::Runner};
use tokio::{net::TcpStream, time};

pub const KEY: &str = "Token key-of-the-tests";
/// Timeout of every wait. It is far above what any of them takes, so that only a hang reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

static NEXT: AtomicU16 = AtomicU16::new(1);

/// One instance, as a separate process, with its stand-ins.
pub struct Edge {
    pub platform: Platform,
    pub runners: Vec<Runner>,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
    child: Child,
    dir: PathBuf,
}

/// The response that a caller received.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Whether the body was received to its end.
    pub is_whole: bool,
}

impl CallerResponse {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn retry_after_s(&self) -> Option<f64> {
        self.headers.get("retry-after")?.to_str().ok()?.parse().ok()
    }
}

/// Returns the position of a revision in the first era of the store.
pub fn at(revision: u64) -> StorePosition {
    StorePosition::new(1, revision)
}

/// Returns a configuration with the routes `/once/`, `/again/`, `/often/`, `/resume/` and `/fixed/` of `h.example`,
/// which need an API key, and `/open/`, which needs none.
pub fn config(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, kind: &str, attempts: u32, resume: bool| {
        json!({
            "name": name, "hostname": "h.example", "pathPrefix": format!("/{name}/"),
            "type": kind, "timeoutMs": 3_000, "targetLatencyMs": 400, "targetGapMs": 200,
            "priority": 0, "maxAttempts": attempts, "public": false, "streamResume": resume,
            "backend": "svc",
        })
    };
    let mut open_route = route("open", "non_idempotent", 1, false);
    open_route["public"] = true.into();
    json!({
        "version": version,
        "routes": [
            route("once", "non_idempotent", 1, false),
            route("again", "idempotent", 2, false),
            route("often", "idempotent", 5, false),
            route("resume", "streaming", 2, true),
            route("fixed", "streaming", 1, false),
            open_route,
        ],
        "backends": [{"name": "svc", "healthCheck": "/healthz", "maxConnections": 100}],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 100_000,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "org", "apiKeys": keys, "unit": "token_count",
            "uncachedTokens": 200, "ratePerS": 0, "burst": 0}],
    })
}

impl Edge {
    /// Starts one instance with `count` endpoints, and waits until it is ready.
    pub async fn start(count: usize) -> Self {
        Self::start_with(count, "").await
    }

    /// Starts one instance as [`Edge::start`] does, with additional settings lines under `[bounds]`.
    pub async fn start_with(count: usize, bounds: &str) -> Self {
        Self::start_on(Platform::start().await, count, bounds).await
    }

    /// Starts one instance on a store that may have entries already, with `count` endpoints more.
    pub async fn start_on(platform: Platform, count: usize, bounds: &str) -> Self {
        platform.set("config", "main", config(3, &["key-of-the-tests"]));
        let mut runners = Vec::new();
        for index in 0..count {
            let runner = Runner::start(&format!("i-{index}")).await;
            platform.set(
                "servers",
                &format!("i-{index}"),
                entry(runner.addr, "ready"),
            );
            runners.push(runner);
        }
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let ip = format!("127.77.{}.{}", process % 250 + 1, number);
        let dir = std::env::temp_dir().join(format!("ryevalve-edge-{process}-{number}"));
        fs::create_dir_all(&dir).unwrap();
        let settings = dir.join("boot.toml");
        fs::write(&settings, settings_text(&ip, platform.addr(), bounds)).unwrap();
        let log = dir.join("log.jsonl");
        let child = Command::new(env!("CARGO_BIN_EXE_ryevalve"))
            .arg("edge")
            .env("RYEVALVE_CONFIG", &settings)
            .env("RYEVALVE_CLUSTER_KEY", "cluster-key-of-the-tests")
            .stdout(fs::File::create(&log).unwrap())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        let edge = Self {
            platform,
            runners,
            callers: format!("{ip}:8221").parse().unwrap(),
            ready: format!("{ip}:8224").parse().unwrap(),
            log,
            child,
            dir,
        };
        edge.until(|| edge.is_ready()).await;
        edge
    }

    pub async fn is_ready(&self) -> bool {
        let request = Request::get("/readyz").header("host", "x");
        let request = request.body(Full::default()).unwrap();
        let response = exchange(self.ready, request).await;
        response.is_some_and(|r| r.status == StatusCode::OK)
    }

    /// Waits until a condition holds; fails after [`WAIT_TIMEOUT`].
    pub async fn until<F: Future<Output = bool>>(&self, holds: impl Fn() -> F) {
        let waiting = async {
            while !holds().await {
                time::sleep(Duration::from_millis(20)).await;
            }
        };
        time::timeout(WAIT_TIMEOUT, waiting)
            .await
            .expect("the condition to hold in time");
    }

    /// Sends a request with the given id, and returns its response.
    pub async fn call(&self, path: &str, id: &str) -> CallerResponse {
        self.call_with(path, id, &[]).await
    }

    pub async fn call_with(
        &self,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> CallerResponse {
        let request = request(path, id, headers);
        let calling = exchange(self.callers, request);
        let response = time::timeout(WAIT_TIMEOUT, calling)
            .await
            .expect("an answer in time");
        response.expect("an answer")
    }

    pub fn entry(&self, index: usize, state: &str) {
        let spec = entry(self.runners[index].addr, state);
        self.platform.set("servers", &format!("i-{index}"), spec);
    }

    /// Gives an endpoint so many slots.
    pub fn slots(&self, index: usize, slots: u32) {
        let mut spec = entry(self.runners[index].addr, "ready");
        spec["capacity"] = slots.into();
        self.platform.set("servers", &format!("i-{index}"), spec);
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(status.unwrap().success());
    }

    /// Returns the most memory that the process has had resident so far, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    pub async fn exit_code(&mut self) -> Option<i32> {
        let waiting = async {
            loop {
                if let Some(status) = self.child.try_wait().unwrap() {
                    return status.code();
                }
                time::sleep(Duration::from_millis(20)).await;
            }
        };
        time::timeout(WAIT_TIMEOUT, waiting)
            .await
            .expect("the process to exit in time")
    }

    /// Returns whether the log contains an event.
    pub fn has_logged(&self, event: &str) -> bool {
        self.lines().iter().any(|line| line["event"] == event)
    }

    /// Returns the complete lines of the log.
    pub fn lines(&self) -> Vec<Value> {
        let text = fs::read_to_string(&self.log).unwrap();
        let whole = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
        let lines = whole.lines();
        lines
            .map(|l| serde_json::from_str(l).expect("a line of JSON"))
            .collect()
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        // An error means that the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

pub fn entry(addr: SocketAddr, state: &str) -> Value {
    json!({"backend": "svc", "address": addr, "zone": "hall", "version": "v1", "capacity": 4,
        "state": state, "warmupLeftMs": 0, "sequence": 1})
}

fn settings_text(ip: &str, store: SocketAddr, bounds: &str) -> String {
    format!(
        r#"
nodeName = "edge-1"
zone = "hall"
region = "city"
internalPorts = [7600, 7615]
seeds = ["{ip}:8229"]
bootstrap = true
[listen]
frontend = "{ip}:8221"
ready = "{ip}:8224"
control = "{ip}:8229"
[limits]
memoryMb = 110
maxFds = 4100
[bounds]
graceS = 8
retryBudgetRatio = 0.2
budgetSlack = 50
{bounds}
[platform]
address = "{store}"
"#
    )
}

pub fn request(path: &str, id: &str, headers: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", "h.example")
        .header("request-id", id)
        .header("deadline-ms", "5000");
    if !headers.iter().any(|(name, _)| *name == "authorization") {
        builder = builder.header("authorization", KEY);
    }
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::from("a prompt")).unwrap()
}

/// Sends a request on a new connection; returns `None` if no response arrived.
pub async fn exchange(addr: SocketAddr, request: Request<Full<Bytes>>) -> Option<CallerResponse> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let response = sender.send_request(request).await.ok()?;
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let is_whole = loop {
        match body.frame().await {
            None => break true,
            Some(Ok(frame)) => bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
            Some(Err(_)) => break false,
        }
    };
    driver.abort();
    Some(CallerResponse {
        status: parts.status,
        headers: parts.headers,
        body: bytes.into(),
        is_whole,
    })
}
