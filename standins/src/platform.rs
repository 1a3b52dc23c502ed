//! The platform: objects with versions, conditional updates and watches, and an instance list.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::http::{self, Body, Server};

const WRITES_PER_S: f64 = 100.0;
const READS_PER_S: f64 = 2_000.0;
const MAX_VALUE_BYTES: usize = 1_000_000;

/// One line of the instance list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listed {
    /// The instance's name.
    pub name: String,
    /// Where it talks to its peers.
    pub peer_addr: SocketAddr,
    /// Whether it is about to go.
    pub leaving: bool,
}

/// How the platform misbehaves.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Answers nothing but 503.
    pub down: bool,
    /// Waits before it answers.
    pub delay: Duration,
    /// Carries out this many more writes and closes without an answer.
    pub lose_write_answers: u32,
}

/// Calls taken so far, refused ones included; a watch counts as one read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads and watches.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Calls over the limit, answered 429.
    pub limited: u64,
}

struct Bucket {
    rate: f64,
    left: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            left: rate,
            at: Instant::now(),
        }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let earned = (now - self.at).as_secs_f64() * self.rate;
        self.left = (self.left + earned).min(self.rate);
        self.at = now;
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

struct State {
    objects: HashMap<String, (u64, Bytes)>,
    instances: Vec<Listed>,
    faults: Faults,
    counts: Counts,
    reads: Bucket,
    writes: Bucket,
}

/// A running platform.
pub struct Platform {
    server: Server,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

impl Platform {
    /// Starts an empty platform on a free loopback port.
    pub async fn start() -> Self {
        Self::start_at(([127, 0, 0, 1], 0).into()).await
    }

    /// Starts an empty platform at `addr`.
    pub async fn start_at(addr: SocketAddr) -> Self {
        let state = Arc::new(Mutex::new(State {
            objects: HashMap::new(),
            instances: Vec::new(),
            faults: Faults::default(),
            counts: Counts::default(),
            reads: Bucket::new(READS_PER_S),
            writes: Bucket::new(WRITES_PER_S),
        }));
        let (changed, _) = watch::channel(0);
        let (shared, wake) = (state.clone(), changed.clone());
        let server = http::serve(addr, move |request| {
            handle(shared.clone(), wake.clone(), request)
        })
        .await;
        Self {
            server,
            state,
            changed,
        }
    }

    /// Returns where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Changes how it misbehaves.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
    }

    /// Returns the calls taken so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Replaces the instance list.
    pub fn list(&self, instances: Vec<Listed>) {
        self.lock().instances = instances;
    }

    /// Sets an object as an outsider would; returns its version.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) -> u64 {
        let version = {
            let mut state = self.lock();
            let version = state.objects.get(key).map_or(0, |o| o.0) + 1;
            state
                .objects
                .insert(key.to_owned(), (version, value.into()));
            version
        };
        self.changed.send_modify(|n| *n += 1);
        version
    }

    /// Returns an object's version and value.
    pub fn get(&self, key: &str) -> Option<(u64, Bytes)> {
        self.lock().objects.get(key).cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    request: Request<Incoming>,
) -> Result<Response<Body>, std::io::Error> {
    let is_write = request.method() == Method::PUT;
    let (faults, allowed) = admit(&state, is_write);
    tokio::time::sleep(faults.delay).await;
    if faults.down {
        return Ok(http::answer(StatusCode::SERVICE_UNAVAILABLE, "down"));
    }
    if !allowed {
        return Ok(http::answer(
            StatusCode::TOO_MANY_REQUESTS,
            "over the limit",
        ));
    }
    if request.uri().path() == "/instances" {
        let list = state.lock().expect("no holder panics").instances.clone();
        return Ok(http::json(&list));
    }
    let Some(key) = request.uri().path().strip_prefix("/objects/") else {
        return Ok(http::answer(StatusCode::NOT_FOUND, "no such path"));
    };
    let key = key.to_owned();
    if is_write {
        return write(&state, &changed, key, request).await;
    }
    match http::query_number(&request, "after") {
        Some(after) => {
            let wait_ms = http::query_number(&request, "wait_ms").unwrap_or(0);
            Ok(wait_past(&state, &changed, &key, after, wait_ms).await)
        }
        None => Ok(found(&state, &key, 0).unwrap_or_else(missing)),
    }
}

fn admit(state: &Mutex<State>, is_write: bool) -> (Faults, bool) {
    let mut state = state.lock().expect("no holder panics");
    let allowed = if is_write {
        state.counts.writes += 1;
        state.writes.take()
    } else {
        state.counts.reads += 1;
        state.reads.take()
    };
    if !allowed {
        state.counts.limited += 1;
    }
    (state.faults.clone(), allowed)
}

fn missing() -> Response<Body> {
    http::answer(StatusCode::NOT_FOUND, "no such object")
}

fn found(state: &Mutex<State>, key: &str, after: u64) -> Option<Response<Body>> {
    let state = state.lock().expect("no holder panics");
    let (version, value) = state.objects.get(key).filter(|o| o.0 > after)?;
    Some(with_version(*version, value.clone()))
}

fn with_version(version: u64, value: Bytes) -> Response<Body> {
    let mut response = http::answer(StatusCode::OK, value);
    response.headers_mut().insert("x-version", version.into());
    response
}

async fn wait_past(
    state: &Mutex<State>,
    changed: &watch::Sender<u64>,
    key: &str,
    after: u64,
    wait_ms: u64,
) -> Response<Body> {
    let mut wake = changed.subscribe();
    let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        if let Some(response) = found(state, key, after) {
            return response;
        }
        let woken = tokio::time::timeout_at(until, wake.changed()).await;
        if woken.is_err() {
            return http::answer(StatusCode::NOT_MODIFIED, "");
        }
    }
}

async fn write(
    state: &Mutex<State>,
    changed: &watch::Sender<u64>,
    key: String,
    request: Request<Incoming>,
) -> Result<Response<Body>, std::io::Error> {
    let expected = request.headers().get("x-if-version");
    let expected = expected.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    let value = http::body(request).await?;
    if value.len() > MAX_VALUE_BYTES {
        return Ok(http::answer(StatusCode::PAYLOAD_TOO_LARGE, "over 1 MB"));
    }
    let lose = {
        let mut state = state.lock().expect("no holder panics");
        let version = state.objects.get(&key).map_or(0, |o| o.0);
        if expected != Some(version) {
            return Ok(http::answer(StatusCode::CONFLICT, version.to_string()));
        }
        state.objects.insert(key.clone(), (version + 1, value));
        let lose = state.faults.lose_write_answers > 0;
        state.faults.lose_write_answers -= u32::from(lose);
        lose
    };
    changed.send_modify(|n| *n += 1);
    if lose {
        return Err(std::io::Error::other("answer lost"));
    }
    let version = expected.unwrap_or(0) + 1;
    Ok(with_version(version, Bytes::new()))
}
