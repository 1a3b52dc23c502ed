//! Stand-in for the platform's object store: objects by kind and name with revisions, paged lists,
//! watches, conditional writes and injectable faults, in the published protocol.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::http::{self, Body, Server};

const WRITES_PER_S: f64 = 100.0;
const READS_PER_S: f64 = 2_000.0;
const MAX_VALUE_BYTES: usize = 1_048_576;
const PAGE_ITEMS: usize = 50;
/// Number of past changes available to watches.
const HISTORY: usize = 2_000;
/// Kind of ryevalve's own objects.
const OWN_KIND: &str = "ryevalve";
/// Kind of the entries of the instance list.
const INSTANCE_KIND: &str = "ryevalve-instances";
/// Header of every answer: how often the store came back from a copy, counted from 1.
const ERA_HEADER: &str = "store-era";

/// Entry of the instance list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listed {
    /// Name of the instance.
    pub name: String,
    /// Address for traffic between peers.
    pub peer_addr: SocketAddr,
    /// Whether the instance is leaving.
    pub leaving: bool,
}

/// Faults of the platform.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Responds to every call with 503.
    pub down: bool,
    /// Refuses every n-th read as over the limit; 0 refuses none.
    pub refuse_every_nth: u64,
    /// Accepts calls and never responds.
    pub silent: bool,
    /// Responds to watches at once, even if nothing has changed.
    pub watches_return_at_once: bool,
    /// Delay before each response.
    pub delay: Duration,
    /// Replaces this text in lists and watches by bytes that are not valid UTF-8.
    pub corrupts: Option<String>,
    /// Applies this many more writes but closes the connection without a response.
    pub lose_write_answers: u32,
    /// Delay before those writes are applied.
    pub lost_write_delay: Duration,
    /// Refuses calls with a longer path and query; none refuses none.
    pub max_target_bytes: Option<usize>,
    /// Maximum number of objects on a page; none for the usual one.
    pub page_items: Option<usize>,
    /// Sends this era header instead of the current one; an empty text omits it.
    pub era_header: Option<String>,
}

/// Number of calls so far, including refused ones; a watch counts as one read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads and watches.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Calls refused with 429 as over the limit.
    pub limited: u64,
}

/// Token bucket with a burst of one second.
struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate,
            refilled_at: Instant::now(),
        }
    }

    fn try_acquire(&mut self) -> bool {
        let now = Instant::now();
        let refill = (now - self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + refill).min(self.rate);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[derive(Clone)]
struct Stored {
    revision: u64,
    created: u64,
    spec: Value,
    status: Value,
}

#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    object: Value,
    deleted: bool,
}

/// What a copy of the store preserves.
#[derive(Clone)]
struct Copied {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    history: VecDeque<Change>,
    compacted_revision: u64,
}

/// A write that was lost when the store came back from a copy.
#[derive(Clone, Debug)]
pub struct LostWrite {
    key: (String, String),
    /// The object's revision in the copy, if it is there.
    copied_revision: Option<u64>,
    /// What was written; none for a deletion.
    spec: Option<Value>,
}

/// Returns the writes of other writers than ryevalve since a copy.
fn lost_writes(copy: &Copied, objects: &BTreeMap<(String, String), Stored>) -> Vec<LostWrite> {
    let copied_revision = |key: &(String, String)| copy.objects.get(key).map(|o| o.revision);
    let written = objects
        .iter()
        .filter(|(key, object)| copied_revision(key) != Some(object.revision));
    let written = written.map(|(key, object)| (key, Some(object.spec.clone())));
    let deleted = copy
        .objects
        .keys()
        .filter(|key| !objects.contains_key(*key));
    let deleted = deleted.map(|key| (key, None));
    let others = written
        .chain(deleted)
        .filter(|((kind, _), _)| kind != OWN_KIND);
    let lost = others.map(|(key, spec)| LostWrite {
        key: key.clone(),
        copied_revision: copied_revision(key),
        spec,
    });
    lost.collect()
}

struct State {
    /// Rises by one each time the store comes back from a copy.
    era: u64,
    copy: Option<Copied>,
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    history: VecDeque<Change>,
    /// Changes up to this revision are no longer in the history.
    compacted_revision: u64,
    faults: Faults,
    counts: Counts,
    reads: TokenBucket,
    writes: TokenBucket,
}

impl State {
    fn new() -> Self {
        Self {
            era: 1,
            copy: None,
            revision: 0,
            objects: BTreeMap::new(),
            history: VecDeque::new(),
            compacted_revision: 0,
            faults: Faults::default(),
            counts: Counts::default(),
            reads: TokenBucket::new(READS_PER_S),
            writes: TokenBucket::new(WRITES_PER_S),
        }
    }

    fn object(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        self.objects.get(&key).map(|o| object_json(name, o))
    }

    fn revision_of(&self, kind: &str, name: &str) -> Option<u64> {
        let key = (kind.to_owned(), name.to_owned());
        self.objects.get(&key).map(|o| o.revision)
    }

    /// Sets an object's spec and returns its revision, which an unchanged spec does not raise.
    fn set(&mut self, kind: &str, name: &str, spec: Value) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key);
        if let Some(unchanged) = known.filter(|o| o.spec == spec) {
            return unchanged.revision;
        }
        self.revision += 1;
        let created = known.map_or(self.revision, |o| o.created);
        let status = known.map_or(Value::Null, |o| o.status.clone());
        let stored = Stored {
            revision: self.revision,
            created,
            spec,
            status,
        };
        let object = object_json(name, &stored);
        self.objects.insert(key, stored);
        self.record_change(kind, object, false);
        self.revision
    }

    /// Sets an object's status; an unchanged one raises no revision.
    fn set_status(&mut self, kind: &str, name: &str, status: Value) {
        let key = (kind.to_owned(), name.to_owned());
        let Some(known) = self.objects.get_mut(&key).filter(|o| o.status != status) else {
            return;
        };
        self.revision += 1;
        known.revision = self.revision;
        known.status = status;
        let object = object_json(name, known);
        self.record_change(kind, object, false);
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let key = (kind.to_owned(), name.to_owned());
        let Some(stored) = self.objects.remove(&key) else {
            return false;
        };
        self.revision += 1;
        self.record_change(kind, object_json(name, &stored), true);
        true
    }

    fn record_change(&mut self, kind: &str, object: Value, deleted: bool) {
        self.history.push_back(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            object,
            deleted,
        });
        if self.history.len() > HISTORY {
            self.compacted_revision = self.history.pop_front().map_or(0, |c| c.revision);
        }
    }

    /// Returns the changes of a kind since a revision, or `None` if the history does not contain that revision.
    fn since(&self, kind: &str, revision: u64) -> Option<Vec<Value>> {
        if revision < self.compacted_revision || revision > self.revision {
            return None;
        }
        let changes = self.history.iter();
        let changes = changes.filter(|c| c.kind == kind && c.revision > revision);
        let events = changes.map(|c| json!({"object": c.object, "deleted": c.deleted}));
        Some(events.collect())
    }

    fn page(&self, kind: &str, after: Option<&str>) -> Value {
        let names = self.objects.iter().filter(|((k, _), _)| k == kind);
        let names = names.filter(|((_, name), _)| after.is_none_or(|a| name.as_str() > a));
        let page_items = self.faults.page_items.unwrap_or(PAGE_ITEMS);
        let mut items: Vec<Value> = names
            .take(page_items + 1)
            .map(|((_, name), o)| object_json(name, o))
            .collect();
        let has_more = items.len() > page_items;
        items.truncate(page_items);
        json!({"items": items, "hasMore": has_more, "timestamp": self.revision})
    }
}

fn object_json(name: &str, stored: &Stored) -> Value {
    json!({
        "metadata": {
            "name": name,
            "revision": stored.revision,
            "created": stored.created,
            "finalizers": [],
            "deletionPending": false,
        },
        "spec": stored.spec,
        "status": stored.status,
    })
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
        let state = Arc::new(Mutex::new(State::new()));
        let (changed, _) = watch::channel(0);
        let (shared, wake) = (state.clone(), changed.clone());
        let server = http::serve(addr, move |request| {
            let (shared, wake) = (shared.clone(), wake.clone());
            async move {
                let mut response = handle(shared.clone(), wake, request).await?;
                set_era(&shared, &mut response);
                Ok(response)
            }
        })
        .await;
        Self {
            server,
            state,
            changed,
        }
    }

    /// Returns the listening address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Changes the faults.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
    }

    /// Discards the history; watches that continue from an earlier revision get 410.
    pub fn forget_history(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.compacted_revision = state.revision + 1;
        state.revision += 1;
        drop(state);
        self.wake();
    }

    /// Copies the current state.
    pub fn take_copy(&self) {
        let mut state = self.lock();
        state.copy = Some(Copied {
            revision: state.revision,
            objects: state.objects.clone(),
            history: state.history.clone(),
            compacted_revision: state.compacted_revision,
        });
    }

    /// Comes back from the last copy: what was written since is lost, and its revisions are assigned again. Returns the
    /// latest of the lost writes to each object that is not ryevalve's own.
    ///
    /// # Panics
    /// Panics if no copy was taken.
    pub fn return_to_copy(&self) -> Vec<LostWrite> {
        let mut state = self.lock();
        let copy = state.copy.clone().expect("a copy was taken");
        let lost = lost_writes(&copy, &state.objects);
        state.era += 1;
        state.revision = copy.revision;
        state.objects = copy.objects;
        state.history = copy.history;
        state.compacted_revision = copy.compacted_revision;
        drop(state);
        self.wake();
        lost
    }

    /// Repeats lost writes, as their writers do, except to objects that were written since the return.
    pub fn write_again(&self, lost: Vec<LostWrite>) {
        let mut state = self.lock();
        for write in lost {
            let (kind, name) = &write.key;
            let is_copied = state.revision_of(kind, name) == write.copied_revision;
            match write.spec {
                Some(spec) if is_copied => {
                    state.set(kind, name, spec);
                }
                None if is_copied => {
                    state.remove(kind, name);
                }
                _ => {}
            }
        }
        drop(state);
        self.wake();
    }

    /// Returns the number of calls so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Replaces the instance list.
    pub fn list(&self, instances: Vec<Listed>) {
        let mut state = self.lock();
        let known = state.objects.keys().filter(|(k, _)| k == INSTANCE_KIND);
        let known: Vec<String> = known.map(|(_, name)| name.clone()).collect();
        for name in known {
            if !instances.iter().any(|i| i.name == name) {
                state.remove(INSTANCE_KIND, &name);
            }
        }
        for instance in instances {
            let spec = serde_json::to_value(&instance).expect("plain data");
            state.set(INSTANCE_KIND, &instance.name, spec);
        }
        drop(state);
        self.wake();
    }

    /// Sets an object of any kind without the HTTP interface; returns its revision.
    pub fn set(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let revision = self.lock().set(kind, name, spec);
        self.wake();
        revision
    }

    /// Removes an object of any kind without the HTTP interface.
    pub fn remove(&self, kind: &str, name: &str) {
        self.lock().remove(kind, name);
        self.wake();
    }

    /// Returns an object.
    pub fn get_object(&self, kind: &str, name: &str) -> Option<Value> {
        self.lock().object(kind, name)
    }

    /// Returns an object's spec.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        self.lock().object(kind, name).map(|o| o["spec"].clone())
    }

    /// Returns an object's status; null if there is none.
    pub fn status(&self, kind: &str, name: &str) -> Value {
        let object = self.lock().object(kind, name);
        object.map_or(Value::Null, |o| o["status"].clone())
    }

    /// Sets one of ryevalve's objects from JSON, without the HTTP interface; returns its revision.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) -> u64 {
        let value: Value = serde_json::from_slice(&value.into()).expect("a value in JSON");
        self.set(OWN_KIND, key, json!({"json": value}))
    }

    /// Returns the revision and JSON of one of ryevalve's objects.
    pub fn get(&self, key: &str) -> Option<(u64, Bytes)> {
        let state = self.lock();
        let object = state.object(OWN_KIND, key)?;
        let revision = object["metadata"]["revision"].as_u64()?;
        Some((revision, object["spec"]["json"].to_string().into()))
    }

    fn wake(&self) {
        self.changed.send_modify(|n| *n += 1);
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
    let is_write = request.method() != Method::GET;
    let (faults, allowed) = count_call(&state, is_write);
    tokio::time::sleep(faults.delay).await;
    if faults.silent {
        std::future::pending::<()>().await;
    }
    if faults.down {
        return Ok(http::answer(StatusCode::SERVICE_UNAVAILABLE, "down"));
    }
    if !allowed {
        let status = StatusCode::TOO_MANY_REQUESTS;
        return Ok(http::answer(status, "over the limit"));
    }
    if request.uri().to_string().len() > faults.max_target_bytes.unwrap_or(usize::MAX) {
        return Ok(http::answer(StatusCode::URI_TOO_LONG, "target too long"));
    }
    let segments = http::path_segments(&request);
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    let (kind, name, is_status) = match segments[..] {
        ["objects", kind] => (kind, None, false),
        ["objects", kind, name] => (kind, Some(name), false),
        ["objects", kind, name, "status"] => (kind, Some(name), true),
        _ => return Ok(http::answer(StatusCode::NOT_FOUND, "no such path")),
    };
    if is_write {
        return write(&state, &changed, (kind, is_status), name, request).await;
    }
    if let Some(name) = name {
        let found = lock(&state).object(kind, name);
        return Ok(found.map_or_else(missing, |object| http::json(&object)));
    }
    if let Some(revision) = http::query_number(&request, "watch") {
        let wait_ms = http::query_number(&request, "waitMs").unwrap_or(0);
        return Ok(wait_for_changes(&state, &changed, kind, revision, wait_ms).await);
    }
    let after = http::query_text(&request, "sinceRevision");
    let page = lock(&state).page(kind, after.as_deref());
    Ok(response_with_faults(&faults, &page))
}

/// Adds the era header to a response.
fn set_era(state: &Mutex<State>, response: &mut Response<Body>) {
    let state = lock(state);
    let value = match &state.faults.era_header {
        Some(text) => text.clone(),
        None => state.era.to_string(),
    };
    if value.is_empty() {
        return;
    }
    let value = HeaderValue::from_str(&value).expect("a header value");
    response.headers_mut().insert(ERA_HEADER, value);
}

/// Returns a JSON response, corrupted if [`Faults::corrupts`] is set.
fn response_with_faults(faults: &Faults, value: &Value) -> Response<Body> {
    let Some(corrupts) = &faults.corrupts else {
        return http::json(value);
    };
    let mut bytes = value.to_string().into_bytes();
    let text = corrupts.as_bytes();
    for at in 0..bytes.len().saturating_sub(text.len()) {
        if bytes[at..].starts_with(text) {
            bytes[at..at + text.len()].fill(0xff);
        }
    }
    http::answer(StatusCode::OK, bytes)
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().expect("no holder panics")
}

fn count_call(state: &Mutex<State>, is_write: bool) -> (Faults, bool) {
    let mut state = lock(state);
    let allowed = if is_write {
        state.counts.writes += 1;
        state.writes.try_acquire()
    } else {
        state.counts.reads += 1;
        let each = state.faults.refuse_every_nth;
        let is_refused = each > 0 && state.counts.reads.is_multiple_of(each);
        state.reads.try_acquire() && !is_refused
    };
    if !allowed {
        state.counts.limited += 1;
    }
    (state.faults.clone(), allowed)
}

fn missing() -> Response<Body> {
    http::answer(StatusCode::NOT_FOUND, "no such object")
}

async fn wait_for_changes(
    state: &Mutex<State>,
    changed: &watch::Sender<u64>,
    kind: &str,
    revision: u64,
    wait_ms: u64,
) -> Response<Body> {
    let mut wake = changed.subscribe();
    let wait_ms = if lock(state).faults.watches_return_at_once {
        0
    } else {
        wait_ms
    };
    let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let (events, reached) = {
            let state = lock(state);
            (state.since(kind, revision), state.revision)
        };
        let Some(events) = events else {
            return http::answer(StatusCode::GONE, "that history is gone");
        };
        let woken = match events.is_empty() {
            true => tokio::time::timeout_at(until, wake.changed()).await.is_ok(),
            false => false,
        };
        if !woken {
            let faults = lock(state).faults.clone();
            return response_with_faults(&faults, &json!({"events": events, "timestamp": reached}));
        }
    }
}

#[derive(Deserialize)]
struct Written {
    metadata: WrittenMetadata,
    #[serde(default)]
    spec: Value,
    #[serde(default)]
    status: Value,
    /// Whether only the status is written.
    #[serde(skip)]
    is_status: bool,
}

#[derive(Deserialize)]
struct WrittenMetadata {
    name: String,
    #[serde(default)]
    revision: u64,
}

async fn write(
    state: &Arc<Mutex<State>>,
    changed: &watch::Sender<u64>,
    (kind, is_status): (&str, bool),
    name: Option<&str>,
    request: Request<Incoming>,
) -> Result<Response<Body>, std::io::Error> {
    let method = request.method().clone();
    let condition = http::query_number(&request, "revision").unwrap_or(0);
    let body = http::body(request).await?;
    if body.len() > MAX_VALUE_BYTES {
        return Ok(http::answer(StatusCode::PAYLOAD_TOO_LARGE, "over 1 MB"));
    }
    let mut written = match (&method, name) {
        (&Method::DELETE, Some(name)) => Written {
            metadata: WrittenMetadata {
                name: name.to_owned(),
                revision: condition,
            },
            spec: Value::Null,
            status: Value::Null,
            is_status: false,
        },
        _ => match serde_json::from_slice::<Written>(&body) {
            Ok(written) => written,
            Err(error) => return Ok(http::answer(StatusCode::BAD_REQUEST, error.to_string())),
        },
    };
    if name.is_some_and(|name| name != written.metadata.name) {
        return Ok(http::answer(StatusCode::BAD_REQUEST, "another name"));
    }
    written.is_status = is_status;
    let (lose, late) = {
        let mut state = lock(state);
        let lose = state.faults.lose_write_answers > 0;
        state.faults.lose_write_answers -= u32::from(lose);
        (lose, state.faults.lost_write_delay)
    };
    if lose && late.is_zero() {
        apply_write(state, changed, kind, &method, written);
        return Err(std::io::Error::other("answer lost"));
    }
    if lose {
        let (state, changed, kind) = (state.clone(), changed.clone(), kind.to_owned());
        tokio::spawn(async move {
            tokio::time::sleep(late).await;
            apply_write(&state, &changed, &kind, &method, written);
        });
        return Err(std::io::Error::other("answer lost"));
    }
    Ok(apply_write(state, changed, kind, &method, written))
}

/// Applies a write if its precondition holds.
fn apply_write(
    state: &Mutex<State>,
    changed: &watch::Sender<u64>,
    kind: &str,
    method: &Method,
    written: Written,
) -> Response<Body> {
    let mut state = lock(state);
    let Written {
        metadata,
        spec,
        status,
        is_status,
    } = written;
    let name = metadata.name;
    let known = state.revision_of(kind, &name);
    let is_create = *method == Method::POST;
    let conflicts = match known {
        Some(revision) => is_create || (metadata.revision != 0 && metadata.revision != revision),
        None => false,
    };
    if conflicts {
        let object = state.object(kind, &name);
        let mut response = http::json(&object);
        *response.status_mut() = StatusCode::CONFLICT;
        return response;
    }
    if known.is_none() && !is_create {
        return missing();
    }
    let object = if *method == Method::DELETE {
        let object = state.object(kind, &name);
        state.remove(kind, &name);
        object
    } else if is_status {
        state.set_status(kind, &name, status);
        state.object(kind, &name)
    } else {
        state.set(kind, &name, spec);
        state.object(kind, &name)
    };
    drop(state);
    changed.send_modify(|n| *n += 1);
    http::json(&object)
}
