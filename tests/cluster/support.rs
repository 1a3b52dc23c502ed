//! Starts instances as child processes against stand-in servers and sends requests to them.

use std::{
    net::{Ipv4Addr, SocketAddr},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, client::conn::http1};
use hyper_util::rt::TokioIo;
use ryevalve::{
    client,
    config::{self, Versioned},
    distribution::{CONFIG_KEY, StoredConfig},
    entry::parse::key_digest,
    operator::{http::CommandBody, log::Reply},
    settings::Secret,
};
use serde_json::Value;
use standins::{
    engine::{Engine, Speed},
    plain::Plain,
    platform::{Listed, Platform},
};
use tokio::{net::TcpStream, time};

pub const CALLER_KEY: &str = "caller-key-of-the-airline";
pub const OTHER_KEY: &str = "caller-key-of-the-other";
pub const OPERATOR_KEY: &str = "operator-key-of-the-tests";
pub const READER_KEY: &str = "reader-key-of-the-tests";
const CLUSTER_KEY: &str = "cluster-key-of-the-tests";
/// Far longer than any step of these tests takes, so that only a hang reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

static NEXT_CLUSTER: AtomicU8 = AtomicU8::new(1);

/// An instance that runs as a child process.
pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    platform: SocketAddr,
    extra_flags: Vec<String>,
    child: Option<Child>,
}

/// Instances together with the stand-in platform, engines and plain service that they use.
pub struct Cluster {
    pub platform: Platform,
    pub engines: Vec<Engine>,
    pub plain: Plain,
    pub instances: Vec<Instance>,
}

/// Number of instances, engine speeds and settings that a cluster is started with.
#[derive(Clone)]
pub struct ClusterOptions {
    pub instances: usize,
    pub engines: Vec<Speed>,
    pub max_waiting: u32,
    pub extra_toml: String,
    pub flags: Vec<String>,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            instances: 2,
            engines: vec![fast_engine(), fast_engine()],
            max_waiting: 20_000,
            extra_toml: String::new(),
            flags: Vec::new(),
        }
    }
}

pub fn fast_engine() -> Speed {
    Speed {
        slots: 8,
        prefill_tokens_per_s: 200_000.0,
        step: Duration::from_millis(1),
        ..Speed::default()
    }
}

pub fn slow_engine(slots: usize, step_ms: u64) -> Speed {
    Speed {
        slots,
        step: Duration::from_millis(step_ms),
        ..fast_engine()
    }
}

/// The response that a caller received.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: StatusCode,
    pub id: Option<String>,
    pub retry_after: Option<String>,
    pub text: String,
    /// Whether the body was received up to its declared end, rather than cut off.
    pub complete: bool,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }

    /// Returns the type of the error body: `not_run`, `outcome_unknown` or `bad_request`.
    pub fn error_type(&self) -> String {
        self.json()["error"]["type"]
            .as_str()
            .unwrap_or("")
            .to_owned()
    }

    pub fn reason(&self) -> String {
        self.json()["error"]["reason"]
            .as_str()
            .unwrap_or("")
            .to_owned()
    }
}

/// A caller's POST request: path, headers and body.
#[derive(Clone)]
pub struct Call {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Call {
    pub fn completion(tier: &str, prompt: &str, tokens: u32, stream: bool) -> Self {
        let body = serde_json::json!({
            "model": "agent-llm", "prompt": prompt, "max_tokens": tokens, "stream": stream,
        });
        Self::new("/v1/completions", &body.to_string()).with_header("x-tier", tier)
    }

    pub fn bag_tag(key: &str, body: &str) -> Self {
        Self::new("/v1/services/departure-ctl/bag-tags", body).with_header("idempotency-key", key)
    }

    pub fn new(path: &str, body: &str) -> Self {
        let auth = ("authorization".to_owned(), format!("Bearer {CALLER_KEY}"));
        Self {
            path: path.to_owned(),
            headers: vec![auth],
            body: body.to_owned(),
        }
    }

    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(n, _)| n != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn deadline_ms(self, ms: u64) -> Self {
        self.with_header("x-deadline-ms", &ms.to_string())
    }

    /// Sends the request. Returns `None` if the connection failed before the response headers arrived.
    pub async fn send(&self, to: SocketAddr) -> Option<Response> {
        time::timeout(TEST_TIMEOUT, self.try_send(to))
            .await
            .expect("a response or a broken connection")
    }

    async fn try_send(&self, to: SocketAddr) -> Option<Response> {
        let stream = TcpStream::connect(to).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        let mut builder = Request::builder().method(Method::POST).uri(&self.path);
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        let body = Full::new(Bytes::from(self.body.clone()));
        let request = builder
            .header("host", "test")
            .body(body)
            .expect("a valid request");
        let mut response = sender.send_request(request).await.ok()?;
        let header = |name: &str| {
            let value = response.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let (id, retry_after) = (header("x-request-id"), header("retry-after"));
        let mut text = Vec::new();
        let mut complete = true;
        while let Some(frame) = response.body_mut().frame().await {
            match frame {
                Ok(frame) => text.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
                Err(_) => {
                    complete = false;
                    break;
                }
            }
        }
        Some(Response {
            status: response.status(),
            id,
            retry_after,
            text: String::from_utf8_lossy(&text).into_owned(),
            complete,
        })
    }
}

/// Returns the generated text of a completion, from the JSON body or from the events of a stream.
pub fn completion_text(response: &Response) -> String {
    if let Some(text) = response.json()["choices"][0]["text"].as_str() {
        return text.to_owned();
    }
    let data = response
        .text
        .lines()
        .filter_map(|l| l.strip_prefix("data: "));
    let events = data.filter_map(|d| serde_json::from_str::<Value>(d).ok());
    events
        .filter_map(|e| e["choices"][0]["text"].as_str().map(str::to_owned))
        .collect()
}

impl Cluster {
    pub async fn start(options: ClusterOptions) -> Self {
        let platform = Platform::start().await;
        let plain = Plain::start().await;
        let mut engines = Vec::new();
        for speed in &options.engines {
            engines.push(Engine::start(*speed).await);
        }
        let cluster_number = NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed);
        let second_octet = (std::process::id() % 200) as u8 + 10;
        let instances: Vec<Instance> = (0..options.instances)
            .map(|n| {
                let ip = Ipv4Addr::new(127, second_octet, cluster_number, n as u8 + 1);
                Instance::new(
                    format!("i{}", n + 1),
                    ip,
                    platform.addr(),
                    options.flags.clone(),
                )
            })
            .collect();
        let mut cluster = Self {
            platform,
            engines,
            plain,
            instances,
        };
        cluster.put_config(1, &cluster.toml(&options));
        cluster.register_instances();
        for instance in &mut cluster.instances {
            instance.spawn();
        }
        cluster.wait_for_membership().await;
        cluster
    }

    pub fn toml(&self, options: &ClusterOptions) -> String {
        let mut toml = format!(
            r#"
            hall = [{{ name = "nord", data_centre = "broye" }}]
            tier = [
                {{ name = "gate", rank = 0, default_deadline_ms = 30000, max_deadline_ms = 120000 }},
                {{ name = "counter", rank = 1, default_deadline_ms = 30000, max_deadline_ms = 120000 }},
                {{ name = "kiosk", rank = 2, default_deadline_ms = 30000, max_deadline_ms = 120000 }},
            ]
            organisation = [
                {{ name = "airline", key_sha256 = ["{}"] }},
                {{ name = "other", key_sha256 = ["{}"], tiers = ["kiosk"] }},
            ]
            operator = [{{ name = "reader", key_sha256 = "{}", may = "read" }}]
            pool = [
                {{ name = "agent", kind = "model", max_waiting = {} }},
                {{ name = "departure", kind = "plain" }},
            ]
            [[service]]
            name = "agent-llm"
            pool = "agent"
            [[service]]
            name = "departure-ctl"
            pool = "departure"
            not_repeatable_paths = ["/bag-tags"]
            [[endpoint]]
            name = "departure-1"
            pool = "departure"
            addr = "{}"
            hall = "nord"
            slots = 64
            "#,
            hex::encode(key_digest(CALLER_KEY)),
            hex::encode(key_digest(OTHER_KEY)),
            hex::encode(key_digest(READER_KEY)),
            options.max_waiting,
            self.plain.addr(),
        );
        for (index, (engine, speed)) in self.engines.iter().zip(&options.engines).enumerate() {
            toml.push_str(&format!(
                "[[endpoint]]\nname = \"agent-{}\"\npool = \"agent\"\naddr = \"{}\"\n\
                 hall = \"nord\"\nslots = {}\nchecks_fences = true\n",
                index + 1,
                engine.addr(),
                speed.slots,
            ));
        }
        toml.push_str(&options.extra_toml);
        toml
    }

    /// Stores a configuration in the platform, in the format in which instances read it.
    pub fn put_config(&self, version: u64, toml: &str) {
        let config = config::parse(toml).expect("the test configuration is valid");
        let mut stored = StoredConfig::default();
        stored.set(&Versioned::from_config(version, config));
        self.platform.put(CONFIG_KEY, stored.write());
    }

    pub fn register_instances(&self) {
        let listed = |i: &Instance| Listed {
            name: i.name.clone(),
            peer_addr: i.peers,
            leaving: false,
        };
        self.platform
            .list(self.instances.iter().map(listed).collect());
    }

    /// Waits until every running instance is ready and its membership view shows as many members alive as
    /// there are running instances.
    pub async fn wait_for_membership(&self) {
        let running = self.running();
        for instance in &running {
            let what = format!("{} to be ready and to see {}", instance.name, running.len());
            wait_until(&what, async || {
                let state = instance.dump().await;
                let alive = state["peers"]["members"].as_array().map_or(0, |members| {
                    members.iter().filter(|m| m["liveness"] == "Alive").count()
                });
                state["ready"] == true && alive == running.len()
            })
            .await;
        }
    }

    pub fn running(&self) -> Vec<&Instance> {
        self.instances
            .iter()
            .filter(|i| i.child.is_some())
            .collect()
    }

    /// Returns the index of the instance that leads a pool and has entries for it.
    pub async fn leader_of(&self, pool: &str) -> usize {
        for (index, instance) in self.instances.iter().enumerate() {
            if instance.child.is_none() {
                continue;
            }
            let state = instance.dump().await;
            let led = state["pools_led"].as_array().cloned().unwrap_or_default();
            if led
                .iter()
                .any(|p| p["pool"] == pool && !p["entries"].as_array().unwrap().is_empty())
            {
                return index;
            }
        }
        panic!("no instance leads pool {pool}");
    }

    /// Returns how many times each request id was started, summed over all engines.
    pub fn starts(&self) -> std::collections::HashMap<String, u32> {
        let mut starts = std::collections::HashMap::new();
        for engine in &self.engines {
            for (id, count) in engine.counts().starts {
                *starts.entry(id).or_default() += count;
            }
        }
        starts
    }

    /// Checks the guarantees that hold under every failure: no request runs twice, a request reported as
    /// `not_run` never ran, a complete completion has the text that belongs to its own prompt, and a
    /// complete stream ends with `[DONE]`.
    pub fn check_responses(&self, responses: &[(Call, Option<Response>)]) {
        let starts = self.starts();
        for (id, count) in &starts {
            assert_eq!(*count, 1, "request {id} was dispatched {count} times");
        }
        for (call, response) in responses {
            let Some(response) = response else { continue };
            if response.error_type() == "not_run" {
                let id = response
                    .id
                    .clone()
                    .or(response.json()["error"]["request_id"]
                        .as_str()
                        .map(str::to_owned));
                let ran = id.is_some_and(|id| starts.contains_key(&id));
                assert!(!ran, "reported as not_run, but it ran: {response:?}");
            }
            if response.status == StatusCode::OK
                && response.complete
                && call.path == "/v1/completions"
            {
                let body: Value = serde_json::from_str(&call.body).unwrap();
                let prompt = body["prompt"].as_str().unwrap();
                let tokens = body["max_tokens"].as_u64().unwrap() as u32;
                let expected = standins::engine::expected_text(prompt, tokens);
                assert_eq!(
                    completion_text(response),
                    expected,
                    "the text belongs to another request or is incomplete"
                );
                if body["stream"] == true {
                    assert!(response.text.ends_with("data: [DONE]\n\n"));
                }
            }
        }
        for (body, count) in self.plain.executions() {
            assert_eq!(count, 1, "`{body}` was executed {count} times");
        }
    }
}

impl Instance {
    fn new(name: String, ip: Ipv4Addr, platform: SocketAddr, extra_flags: Vec<String>) -> Self {
        Self {
            name,
            callers: (ip, 7_001).into(),
            operators: (ip, 7_002).into(),
            peers: (ip, 7_003).into(),
            platform,
            extra_flags,
            child: None,
        }
    }

    /// Starts the process. Call it again to restart an instance whose process has ended.
    pub fn spawn(&mut self) {
        let child = Command::new(env!("CARGO_BIN_EXE_ryevalve"))
            .args([
                "serve",
                "--name",
                &self.name,
                "--hall",
                "nord",
                "--data-centre",
                "broye",
            ])
            .args(["--caller-addr", &self.callers.to_string()])
            .args(["--operator-addr", &self.operators.to_string()])
            .args(["--peer-addr", &self.peers.to_string()])
            .args(["--platform-addr", &self.platform.to_string()])
            .args(&self.extra_flags)
            .env("RYEVALVE_CLUSTER_KEY", CLUSTER_KEY)
            .env("RYEVALVE_OPERATOR_KEY", OPERATOR_KEY)
            .stderr(Stdio::null())
            .spawn()
            .expect("start an instance");
        self.child = Some(child);
    }

    /// Adds command-line flags that apply from the next start on.
    pub fn add_flags(&mut self, flags: &[&str]) {
        self.extra_flags
            .extend(flags.iter().map(|f| (*f).to_owned()));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("kill the instance");
            child.wait().expect("reap the instance");
        }
    }

    /// Sends a signal to the process, by name: `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.as_ref().expect("a running instance").id();
        let status = Command::new("kill")
            .args(["-s", name, &id.to_string()])
            .status();
        assert!(status.expect("run kill").success());
    }

    /// Waits for the process to exit and returns its exit code, or `None` if a signal ended it.
    pub async fn wait_exit(&mut self) -> Option<i32> {
        let mut child = self.child.take().expect("a running instance");
        let waited = tokio::task::spawn_blocking(move || child.wait()).await;
        waited
            .expect("the waiting task panicked")
            .expect("reap the instance")
            .code()
    }

    pub async fn dump(&self) -> Value {
        let key = Secret::new(OPERATOR_KEY);
        client::dump(self.operators, &key)
            .await
            .unwrap_or(Value::Null)
    }

    /// Fetches a path of the operator listener that needs no key.
    pub async fn get(&self, path: &str) -> String {
        let stream = TcpStream::connect(self.operators).await.expect("connect");
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.expect("handshake");
        tokio::spawn(connection);
        let request = Request::get(path).header("host", "test");
        let request = request
            .body(Full::<Bytes>::default())
            .expect("a valid request");
        let response = sender.send_request(request).await.expect("a response");
        let body = response
            .into_body()
            .collect()
            .await
            .expect("a complete body");
        String::from_utf8_lossy(&body.to_bytes()).into_owned()
    }

    pub async fn command(&self, text: &str) -> Reply {
        self.command_as(OPERATOR_KEY, text, None)
            .await
            .expect("a reply")
    }

    pub async fn command_as(
        &self,
        key: &str,
        text: &str,
        id: Option<&str>,
    ) -> Result<Reply, String> {
        let body = CommandBody {
            text: text.to_owned(),
            id: id.map(str::to_owned),
        };
        let result = client::command(self.operators, &Secret::new(key), &body).await;
        result.map_err(|e| e.to_string())
    }

    /// Waits until this instance has exactly `waiting` queued and `running` running requests.
    pub async fn wait_for_counts(&self, waiting: u64, running: u64) {
        wait_until(
            &format!("{waiting} waiting and {running} running"),
            async || {
                let state = self.dump().await;
                state["waiting"] == waiting && state["running"] == running
            },
        )
        .await;
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Polls a condition every 20 ms until it holds. Panics after [`TEST_TIMEOUT`].
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let started = time::Instant::now();
    while !holds().await {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "timed out waiting for {what}"
        );
        time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends all calls concurrently, spread round-robin over the addresses.
pub async fn send_all(calls: Vec<Call>, to: &[SocketAddr]) -> Vec<(Call, Option<Response>)> {
    let mut tasks = Vec::new();
    for (index, call) in calls.into_iter().enumerate() {
        let to = to[index % to.len()];
        tasks.push(tokio::spawn(async move {
            let response = call.send(to).await;
            (call, response)
        }));
    }
    let mut responses = Vec::new();
    for task in tasks {
        responses.push(task.await.expect("the caller task panicked"));
    }
    responses
}
