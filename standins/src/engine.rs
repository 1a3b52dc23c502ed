//! Stand-in for a model engine: continuous batching, a prefix cache, priorities, streams that can be resumed and
//! cancelled, stale load reports and cache events with gaps.
//!
//! | call | response |
//! | --- | --- |
//! | `POST /v1/completions`, `/v1/chat/completions` | server-sent events, each with an `id`, ended by `[DONE]` |
//! | `GET /v1/streams/ID` with `last-event-id` | the same stream from that event on |
//! | `DELETE /v1/streams/ID` | cancels it |
//! | `GET /load` | `{running, waiting, age_ms}` |
//! | `GET /cache/events?after=N` | a list of `{seq, stored, evicted}` |
//! | `POST /orders` with `x-fence` | executes an order, or 409 for an outdated fence |

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{Method, Request, Response, StatusCode, body::Frame, body::Incoming};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::{sync::Notify, task::JoinHandle};

use crate::http::{self, Body, Server};

/// Prompt bytes per cached block; four bytes count as one token.
pub const BLOCK_BYTES: usize = 1_024;
const BYTES_PER_TOKEN: usize = 4;
const PREFILL_CHUNK_TOKENS: u32 = 256;
const IDLE_POLL: Duration = Duration::from_millis(20);
const MAX_ENDED_STREAMS: usize = 4_096;

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Maximum number of requests in the batch.
    pub slots: usize,
    /// Prefill speed, in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Duration of a decode step.
    pub step: Duration,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Staleness of the load reports.
    pub load_lag: Duration,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            slots: 8,
            prefill_tokens_per_s: 20_000.0,
            step: Duration::from_millis(4),
            cache_blocks: 256,
            load_lag: Duration::from_millis(500),
        }
    }
}

/// Faults of the engine.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Factor on the duration of steps.
    pub slow: f64,
    /// Cuts the connection of every n-th stream once, after some tokens; 0 cuts none.
    pub cut_every: u64,
    /// Refuses to resume streams, as if it had lost them.
    pub forget_cut: bool,
    /// Resumes streams from their first event, whatever the last one was, with neither ids nor token counts.
    pub restart_cut: bool,
    /// Skips every n-th cache event; 0 skips none.
    pub gap_every: u64,
    /// Accepts requests and never responds.
    pub hang: bool,
    /// Refuses requests with status 400 and [`long_refusal`], in two parts.
    pub refuse: bool,
    /// Cuts the connection between the parts of a refusal.
    pub cut_refusals: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            cut_every: 0,
            forget_cut: false,
            restart_cut: false,
            gap_every: 0,
            hang: false,
            refuse: false,
            cut_refusals: false,
        }
    }
}

/// Counts of the work done so far.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Number of starts of each request id.
    pub starts: HashMap<String, u32>,
    /// Number of cancelled streams.
    pub cancelled: u64,
    /// Number of resumed streams.
    pub resumed: u64,
    /// Number of computed prompt tokens.
    pub prefill_tokens: u64,
    /// Executed orders.
    pub orders: Vec<String>,
}

struct Job {
    id: String,
    priority: u8,
    prefill_left: u32,
    blocks: Vec<u64>,
    generated: u32,
    tokens_to_generate: u32,
    prompt_tokens: u32,
    cached_tokens: u32,
    prompt_hash: String,
    chat: bool,
}

#[derive(Default)]
struct Buffer {
    events: Vec<String>,
    done: bool,
    cancelled: bool,
    cut_at: Option<usize>,
}

#[derive(Clone, Serialize)]
struct CacheEvent {
    seq: u64,
    stored: Vec<u64>,
    evicted: Vec<u64>,
}

#[derive(Default)]
struct State {
    queue: VecDeque<Job>,
    batch: Vec<Job>,
    streams: HashMap<String, Buffer>,
    ended: VecDeque<String>,
    cache: BTreeMap<u64, u64>,
    cache_clock: u64,
    cache_events: VecDeque<CacheEvent>,
    cache_seq: u64,
    loads: VecDeque<(Instant, u32, u32)>,
    faults: Faults,
    counts: Counts,
    fence: u64,
    started: u64,
}

struct Shared {
    speed: Speed,
    state: Mutex<State>,
    changed: Notify,
    work: Notify,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// A running engine.
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
    steps: JoinHandle<()>,
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.steps.abort();
    }
}

impl Engine {
    /// Starts an engine on a free loopback port.
    pub async fn start(speed: Speed) -> Self {
        Self::start_at(([127, 0, 0, 1], 0).into(), speed).await
    }

    /// Starts an engine at `addr`.
    pub async fn start_at(addr: SocketAddr, speed: Speed) -> Self {
        let shared = Arc::new(Shared {
            speed,
            state: Mutex::default(),
            changed: Notify::new(),
            work: Notify::new(),
        });
        let steps = tokio::spawn(run_steps(shared.clone()));
        let handler = shared.clone();
        let server = http::serve(addr, move |request| handle(handler.clone(), request)).await;
        Self {
            server,
            shared,
            steps,
        }
    }

    /// Returns the listening address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Changes the faults.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts.clone()
    }

    /// Returns the number of requests in the batch and the queue.
    pub fn busy(&self) -> usize {
        let state = self.shared.lock();
        state.batch.len() + state.queue.len()
    }
}

/// Returns the first `tokens` tokens of the text that an engine generates for a prompt.
pub fn expected_text(prompt: &str, tokens: u32) -> String {
    let prompt_hash = prompt_hash(prompt);
    (0..tokens).map(|n| token(&prompt_hash, n)).collect()
}

fn token(prompt_hash: &str, number: u32) -> String {
    format!("{prompt_hash}.{number} ")
}

fn prompt_hash(prompt: &str) -> String {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    format!("{:08x}", hasher.finish() as u32)
}

/// Returns the hash chain over the prompt's whole blocks, as the engine publishes it: FNV-1a over
/// each block, starting from the hash of the previous block.
pub fn block_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    prompt
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            for byte in block {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
            }
            hash
        })
        .collect()
}

async fn run_steps(shared: Arc<Shared>) {
    loop {
        let duration = step(&shared);
        shared.changed.notify_waiters();
        match duration {
            Some(duration) => tokio::time::sleep(duration).await,
            None => {
                let _ = tokio::time::timeout(IDLE_POLL, shared.work.notified()).await;
            }
        }
    }
}

/// Runs one step of the batch; returns how long it takes, or `None` if the batch is empty.
fn step(shared: &Shared) -> Option<Duration> {
    let mut state = shared.lock();
    let state = &mut *state;
    admit(state, shared.speed);
    record_load(state, shared.speed.load_lag);
    if state.batch.is_empty() {
        return None;
    }
    let mut prefill_budget = PREFILL_CHUNK_TOKENS;
    // Prefills prompts by priority (lowest number first), then in order of arrival.
    state.batch.sort_by_key(|job| job.priority);
    for job in &mut state.batch {
        let chunk = job.prefill_left.min(prefill_budget);
        prefill_budget -= chunk;
        job.prefill_left -= chunk;
        state.counts.prefill_tokens += u64::from(chunk);
        if job.prefill_left == 0 && job.generated < job.tokens_to_generate {
            let event = token_event(job);
            job.generated += 1;
            if let Some(buffer) = state.streams.get_mut(&job.id) {
                buffer.events.push(event);
            }
        }
    }
    let (ended, unfinished): (Vec<Job>, Vec<Job>) = std::mem::take(&mut state.batch)
        .into_iter()
        .partition(|j| j.prefill_left == 0 && j.generated == j.tokens_to_generate);
    state.batch = unfinished;
    for job in ended {
        finish(state, &job, shared.speed.cache_blocks);
    }
    let prefilled = f64::from(PREFILL_CHUNK_TOKENS - prefill_budget);
    let seconds = shared.speed.step.as_secs_f64() + prefilled / shared.speed.prefill_tokens_per_s;
    Some(Duration::from_secs_f64(seconds * state.faults.slow))
}

fn admit(state: &mut State, speed: Speed) {
    while state.batch.len() < speed.slots {
        let first = state
            .queue
            .iter()
            .enumerate()
            .min_by_key(|(n, j)| (j.priority, *n));
        let Some((index, _)) = first else { return };
        let Some(mut job) = state.queue.remove(index) else {
            return;
        };
        let cached = job
            .blocks
            .iter()
            .take_while(|b| state.cache.contains_key(b))
            .count();
        job.cached_tokens = ((cached * BLOCK_BYTES) / BYTES_PER_TOKEN) as u32;
        job.prefill_left = job.prompt_tokens.saturating_sub(job.cached_tokens).max(1);
        state.batch.push(job);
    }
}

fn record_load(state: &mut State, lag: Duration) {
    let now = Instant::now();
    let (running, waiting) = (state.batch.len() as u32, state.queue.len() as u32);
    state.loads.push_back((now, running, waiting));
    while state.loads.len() > 1 && now - state.loads[1].0 >= lag {
        state.loads.pop_front();
    }
}

fn finish(state: &mut State, job: &Job, cache_blocks: usize) {
    if let Some(buffer) = state.streams.get_mut(&job.id) {
        buffer.events.push(last_event(job));
        buffer.events.push("data: [DONE]\n\n".to_owned());
        buffer.done = true;
    }
    state.ended.push_back(job.id.clone());
    if state.ended.len() > MAX_ENDED_STREAMS
        && let Some(id) = state.ended.pop_front()
    {
        state.streams.remove(&id);
    }
    store(state, &job.blocks, cache_blocks);
}

fn store(state: &mut State, blocks: &[u64], capacity: usize) {
    let mut stored = Vec::new();
    for &block in blocks {
        state.cache_clock += 1;
        if state.cache.insert(block, state.cache_clock).is_none() {
            stored.push(block);
        }
    }
    let mut evicted = Vec::new();
    while state.cache.len() > capacity {
        let oldest = state.cache.iter().min_by_key(|(_, used)| **used);
        let Some((&block, _)) = oldest else { break };
        state.cache.remove(&block);
        evicted.push(block);
    }
    if stored.is_empty() && evicted.is_empty() {
        return;
    }
    state.cache_seq += 1;
    let seq = state.cache_seq;
    let gap = state.faults.gap_every > 0 && seq.is_multiple_of(state.faults.gap_every);
    if !gap {
        let event = CacheEvent {
            seq,
            stored,
            evicted,
        };
        state.cache_events.push_back(event);
    }
    if state.cache_events.len() > 1_000 {
        state.cache_events.pop_front();
    }
}

fn token_event(job: &Job) -> String {
    let text = token(&job.prompt_hash, job.generated);
    let choice = if job.chat {
        json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
    } else {
        json!({"index": 0, "text": text, "finish_reason": null})
    };
    event(
        job.generated + 1,
        &json!({"id": job.id, "choices": [choice]}),
    )
}

fn last_event(job: &Job) -> String {
    let choice = if job.chat {
        json!({"index": 0, "delta": {}, "finish_reason": "stop"})
    } else {
        json!({"index": 0, "text": "", "finish_reason": "stop"})
    };
    let usage = json!({
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": job.generated,
        "cached_tokens": job.cached_tokens,
    });
    event(
        job.generated + 1,
        &json!({"id": job.id, "choices": [choice], "usage": usage}),
    )
}

fn event(id: u32, data: &Value) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, std::io::Error> {
    if shared.lock().faults.hang {
        std::future::pending::<()>().await;
    }
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/completions") => start(shared, request, false).await,
        (&Method::POST, "/v1/chat/completions") => start(shared, request, true).await,
        (&Method::POST, "/orders") => order(&shared, request).await,
        (&Method::GET, "/load") => Ok(load(&shared)),
        (&Method::GET, "/cache/events") => {
            let after = http::query_number(&request, "after").unwrap_or(0);
            Ok(cache_events(&shared, after))
        }
        (&Method::GET, _) if path.starts_with("/v1/streams/") => {
            let from = request.headers().get("last-event-id");
            let from = from
                .and_then(|v| v.to_str().ok()?.parse().ok())
                .unwrap_or(0);
            Ok(resume(shared, &path["/v1/streams/".len()..], from))
        }
        (&Method::DELETE, _) if path.starts_with("/v1/streams/") => {
            cancel(&shared, &path["/v1/streams/".len()..]);
            Ok(http::answer(StatusCode::NO_CONTENT, ""))
        }
        _ => Ok(http::answer(StatusCode::NOT_FOUND, "no such path")),
    }
}

/// Returns the body of a refusal under [`Faults::refuse`].
pub fn long_refusal() -> String {
    json!({"error": {"message": "the prompt is too long. ".repeat(100)}}).to_string()
}

fn refuse(is_cut: bool) -> Response<Body> {
    let text = long_refusal();
    let (first, second) = text.split_at(text.len() / 2);
    let second = match is_cut {
        true => Err(std::io::Error::other("cut")),
        false => Ok(Frame::data(Bytes::from(second.to_owned()))),
    };
    let first = Ok(Frame::data(Bytes::from(first.to_owned())));
    let parts = stream::iter([first, second]).then(async |part| {
        // Leaves time for the first part to be written.
        tokio::time::sleep(Duration::from_millis(50)).await;
        part
    });
    let mut response = Response::new(StreamBody::new(parts).boxed_unsync());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

async fn start(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    chat: bool,
) -> Result<Response<Body>, std::io::Error> {
    let header = |name| {
        let value = request.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let id = header("x-request-id").unwrap_or_else(|| format!("r{}", rand_id()));
    let priority = header("x-priority")
        .and_then(|p| p.parse().ok())
        .unwrap_or(0);
    let body = http::body(request).await?;
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return Ok(http::answer(StatusCode::BAD_REQUEST, "not JSON"));
    };
    let faults = shared.lock().faults;
    if faults.refuse {
        return Ok(refuse(faults.cut_refusals));
    }
    let prompt = prompt_text(&body, chat);
    let tokens_to_generate = body["max_tokens"].as_u64().unwrap_or(16).clamp(1, 100_000) as u32;
    {
        let mut state = shared.lock();
        state.started += 1;
        let every = state.faults.cut_every;
        let cut = every > 0 && state.started.is_multiple_of(every);
        let cut_at = cut.then_some((tokens_to_generate / 2) as usize);
        *state.counts.starts.entry(id.clone()).or_default() += 1;
        let buffer = Buffer {
            cut_at,
            ..Buffer::default()
        };
        state.streams.insert(id.clone(), buffer);
        state.queue.push_back(Job {
            id: id.clone(),
            priority,
            prefill_left: 0,
            blocks: block_hashes(prompt.as_bytes()),
            generated: 0,
            tokens_to_generate,
            prompt_tokens: prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u32,
            cached_tokens: 0,
            prompt_hash: prompt_hash(&prompt),
            chat,
        });
    }
    shared.work.notify_one();
    Ok(relay(shared, id, 0))
}

/// Returns the prompt text of a request body.
pub fn prompt_text(body: &Value, chat: bool) -> String {
    if !chat {
        return body["prompt"].as_str().unwrap_or_default().to_owned();
    }
    let messages = body["messages"].as_array().map_or(&[][..], Vec::as_slice);
    let contents = messages.iter().filter_map(|m| m["content"].as_str());
    contents.collect::<Vec<_>>().join("\n")
}

fn rand_id() -> u64 {
    let mut hasher = DefaultHasher::new();
    Instant::now().hash(&mut hasher);
    hasher.finish()
}

fn resume(shared: Arc<Shared>, id: &str, from: usize) -> Response<Body> {
    {
        let mut state = shared.lock();
        if state.faults.forget_cut || !state.streams.contains_key(id) {
            return http::answer(StatusCode::NOT_FOUND, "no such stream");
        }
        state.counts.resumed += 1;
        if !state.faults.restart_cut {
            drop(state);
            return relay(shared, id.to_owned(), from);
        }
    }
    relay(shared, id.to_owned(), 0).map(|body| {
        body.map_frame(|frame| frame.map_data(|event| without_marks(&event)))
            .boxed_unsync()
    })
}

/// Returns an event without its id and token counts.
fn without_marks(event: &[u8]) -> Bytes {
    let text = String::from_utf8_lossy(event);
    let data = text.lines().find_map(|l| l.strip_prefix("data: "));
    match data.and_then(|d| serde_json::from_str::<Value>(d).ok()) {
        Some(mut data) => {
            data.as_object_mut().map(|fields| fields.remove("usage"));
            format!("data: {data}\n\n").into()
        }
        None => Bytes::copy_from_slice(event),
    }
}

fn cancel(shared: &Shared, id: &str) {
    let mut state = shared.lock();
    let running = state
        .batch
        .iter()
        .chain(state.queue.iter())
        .any(|j| j.id == id);
    if running {
        state.batch.retain(|j| j.id != id);
        state.queue.retain(|j| j.id != id);
        state.counts.cancelled += 1;
    }
    if let Some(buffer) = state.streams.get_mut(id) {
        buffer.cancelled = true;
    }
    shared.changed.notify_waiters();
}

enum Next {
    Event(String),
    Wait,
    End,
    Cut,
}

fn next_event(shared: &Shared, id: &str, at: usize) -> Next {
    let mut state = shared.lock();
    let Some(buffer) = state.streams.get_mut(id) else {
        return Next::Cut;
    };
    if buffer.cancelled {
        return Next::Cut;
    }
    if buffer.cut_at == Some(at) {
        buffer.cut_at = None;
        return Next::Cut;
    }
    match buffer.events.get(at) {
        Some(event) => Next::Event(event.clone()),
        None if buffer.done => Next::End,
        None => Next::Wait,
    }
}

async fn wait_event(shared: &Shared, id: &str, at: usize) -> Next {
    loop {
        let mut woken = std::pin::pin!(shared.changed.notified());
        woken.as_mut().enable();
        match next_event(shared, id, at) {
            Next::Wait => woken.await,
            next => return next,
        }
    }
}

fn relay(shared: Arc<Shared>, id: String, from: usize) -> Response<Body> {
    let start = Some((shared, id, from));
    let stream = stream::unfold(start, |state| async move {
        let (shared, id, at) = state?;
        match wait_event(&shared, &id, at).await {
            Next::Event(event) => {
                let frame = Frame::data(Bytes::from(event));
                Some((Ok(frame), Some((shared, id, at + 1))))
            }
            Next::Cut => Some((Err(std::io::Error::other("cut")), None)),
            Next::End | Next::Wait => None,
        }
    });
    let mut response = Response::new(StreamBody::new(stream).boxed_unsync());
    let kind = hyper::header::HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    response
}

fn load(shared: &Shared) -> Response<Body> {
    let state = shared.lock();
    let Some((at, running, waiting)) = state.loads.front() else {
        return http::json(&json!({"running": 0, "waiting": 0, "age_ms": 0}));
    };
    let age_ms = at.elapsed().as_millis() as u64;
    http::json(&json!({"running": running, "waiting": waiting, "age_ms": age_ms}))
}

fn cache_events(shared: &Shared, after: u64) -> Response<Body> {
    let state = shared.lock();
    let events: Vec<CacheEvent> = state
        .cache_events
        .iter()
        .filter(|e| e.seq > after)
        .take(100)
        .cloned()
        .collect();
    http::json(&events)
}

async fn order(
    shared: &Shared,
    request: Request<Incoming>,
) -> Result<Response<Body>, std::io::Error> {
    let fence = request.headers().get("x-fence");
    let fence = fence.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    let body = http::body(request).await?;
    let mut state = shared.lock();
    match fence {
        Some(fence) if fence > state.fence => state.fence = fence,
        _ => return Ok(http::answer(StatusCode::CONFLICT, "outdated fence")),
    }
    let text = String::from_utf8_lossy(&body).into_owned();
    state.counts.orders.push(text);
    Ok(http::answer(StatusCode::OK, "done"))
}
