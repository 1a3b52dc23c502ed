//! Stand-in for an endpoint, on a raw socket so that it can send malformed or partial responses.
//!
//! It responds to `POST` and `GET` on any path: with server-sent events if the path ends in `/stream`, of
//! [`LONG_PADDING`] more bytes each if it ends in `/long/stream`, else with a fixed body. Every response echoes `Request-Id` and has `Instance-Signature`, except under [`Fault::Unsigned`] and in
//! refusals.

use std::{
    collections::{HashMap, VecDeque},
    future,
    io::ErrorKind,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncWriteExt, Interest},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::Semaphore,
    time,
};
use tokio_util::sync::CancellationToken;

use crate::{
    broken_answer::{self, Break, Breaks, SentParts},
    flood::Flood,
    received_request::ReceivedRequest,
    scripted_answer::{ConnectionEnd, Script, ScriptedAnswer},
    stream_check::ReceivedEvent,
};

/// Address of the endpoints. Outgoing connections use ports of 127.0.0.1, where one could take the port of an endpoint
/// before that restarts.
const HOST: [u8; 4] = [127, 1, 0, 1];

/// Number of events in a complete stream.
pub const EVENTS: u64 = 8;

/// Bytes added to each event of a stream whose path ends in `/long/stream`.
pub const LONG_PADDING: usize = 16 << 10;

/// Length of the gap in a stream under [`Fault::Pause`].
pub const PAUSE: Duration = Duration::from_millis(1_300);

/// Interval at which a connection with unread bytes is checked for its end.
const END_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Fault of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Refuses requests without running them.
    Full,
    /// Runs requests, then resets the connection.
    ResetAfterRun,
    /// Runs requests and never responds.
    Mute,
    /// Cuts streams in the middle of their fourth event.
    CutStream,
    /// As `CutStream`, but only for streams that start at the first event; resumed streams complete.
    CutNewStream,
    /// Pauses for [`PAUSE`] before the fourth event of a stream.
    Pause,
    /// Sends each non-stream response twice.
    Surplus,
    /// Sends non-stream responses without a length and resets the connection before their end.
    Unframed,
    /// Sends half of a non-stream response without a length, and is then killed.
    KilledInAnswer,
    /// As `KilledInAnswer`, with status 500.
    KilledInError,
    /// Breaks streams that start at the first event after the last one, before their end mark.
    CutAfterLastEvent,
    /// Is killed after the last event of a stream that starts at the first one.
    KilledAfterLastEvent,
    /// Ends resumed streams after a comment, without an event.
    EmptyResumption,
    /// Begins resumed streams with a comment, and three events later than asked.
    LateResumption,
    /// Closes the connection of a new stream before its fourth event, and goes on listening: a worker process has crashed,
    /// and its parent holds the listener.
    LostWorker,
    /// Ids rise by one up to the third event and by three from there, in all runs; new streams are cut before the fourth.
    CutNewStreamOfUnevenIds,
    /// As `CutNewStreamOfUnevenIds`, without the cut.
    UnevenIds,
    /// Falls silent for [`PAUSE`] after the last event of a new stream, before its end mark.
    PauseBeforeEnd,
    /// Leaves `Instance-Signature` out of responses.
    Unsigned,
    /// Runs requests and responds with status 500.
    Error,
}

impl Fault {
    /// Returns whether the endpoint is killed in its answer.
    fn kills(self) -> bool {
        matches!(self, Self::KilledInAnswer | Self::KilledInError)
    }

    fn breaks_answer(self, is_stream: bool, is_resumption: bool) -> bool {
        match self {
            Self::ResetAfterRun | Self::Mute => true,
            Self::CutStream => is_stream,
            Self::CutNewStream => is_stream && !is_resumption,
            Self::Surplus | Self::Unframed => !is_stream,
            Self::KilledInAnswer | Self::KilledInError => !is_stream,
            Self::CutAfterLastEvent | Self::KilledAfterLastEvent => is_stream && !is_resumption,
            Self::EmptyResumption | Self::LateResumption => is_stream && is_resumption,
            Self::LostWorker | Self::CutNewStreamOfUnevenIds => is_stream && !is_resumption,
            Self::UnevenIds | Self::PauseBeforeEnd => false,
            Self::None | Self::Full | Self::Pause | Self::Unsigned | Self::Error => false,
        }
    }
}

/// What a bad answer of a version is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadAnswer {
    /// Status 500.
    Fails,
    /// Late by this time.
    Slow(Duration),
}

/// A version of an endpoint's software that gives bad answers.
#[derive(Clone, Copy, Debug)]
pub struct BadVersion {
    /// What a bad answer is.
    pub answer: BadAnswer,
    /// One of this many answers is bad.
    pub every_nth: usize,
    /// Answers are good until then.
    pub from: Option<Instant>,
    /// Answers are good while no more requests than this are running.
    pub above_running: usize,
    /// Answers are good on other paths than those that start with this.
    pub path: &'static str,
}

impl BadVersion {
    /// A version of which one of `every_nth` answers is bad, from the start and on any path.
    pub fn new(answer: BadAnswer, every_nth: usize) -> Self {
        Self {
            answer,
            every_nth,
            from: None,
            above_running: 0,
            path: "",
        }
    }

    fn applies(&self, seen: &Seen, number: usize, running: usize) -> bool {
        let path = seen.line.split(' ').nth(1).unwrap_or_default();
        number.is_multiple_of(self.every_nth)
            && self.from.is_none_or(|from| seen.at >= from)
            && running > self.above_running
            && path.starts_with(self.path)
    }
}

/// A request received by the endpoint.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Time of arrival.
    pub at: Instant,
    /// Request line.
    pub line: String,
    /// Headers, with names in lower case.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
    /// Number of requests that its connection had brought before.
    pub earlier_on_connection: usize,
    /// The version of the endpoint's software that received it, as its events state it.
    pub version: String,
    /// Whether it was refused with `Retry-After`.
    pub was_backed_off: bool,
    /// Whether it was run.
    pub has_run: bool,
    /// Whether the connection was still open at the end of the response.
    pub finished: bool,
    /// When that was.
    pub finished_at: Option<Instant>,
    /// Whether the response was cut off because it was left unread.
    pub was_unread: bool,
    /// Whether its answer was bad because of the version.
    pub was_bad: bool,
    /// When the caller closed the connection while the request was running.
    pub left_at: Option<Instant>,
    /// Whether the endpoint did not answer it as a sound one does: it cut or garbled the response, never sent one, or
    /// crashed meanwhile.
    pub was_broken_off: bool,
    /// Whether the close of the connection alone delimits the response.
    pub was_unframed: bool,
}

impl Seen {
    fn new(request: ReceivedRequest) -> Self {
        let ReceivedRequest {
            line,
            headers,
            body,
        } = request;
        Self {
            at: Instant::now(),
            line,
            headers,
            body,
            earlier_on_connection: 0,
            version: String::new(),
            was_backed_off: false,
            has_run: false,
            finished: false,
            finished_at: None,
            was_unread: false,
            was_bad: false,
            left_at: None,
            was_broken_off: false,
            was_unframed: false,
        }
    }
}

/// What delimits the responses of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerFraming {
    /// A length, streams too.
    Length,
    /// Chunks, of plain responses too.
    Chunks,
    /// The end of their connection.
    Close,
}

/// Shape of a response.
#[derive(Clone, Copy, Debug)]
struct Shape {
    /// Number of events of a stream.
    events: u64,
    /// Bytes added to each event, or to a non-stream body.
    padding: usize,
    /// A response of which nothing can be sent for this long is cut off.
    unread_timeout: Duration,
    /// What delimits responses; `None` for a length, and chunks if they are streams.
    framing: Option<RunnerFraming>,
    /// Whether events have no ids.
    omits_ids: bool,
    /// Whether each event states the run and the version that made it.
    states_run: bool,
}

impl Shape {
    /// Returns what delimits a response.
    fn framing(self, is_stream: bool) -> RunnerFraming {
        self.framing.unwrap_or(match is_stream {
            true => RunnerFraming::Chunks,
            false => RunnerFraming::Length,
        })
    }

    /// Returns the number of parts in which a response is sent that may break; a stream begins after event `from`.
    fn parts(self, is_stream: bool, from: u64) -> usize {
        let bodies = match is_stream {
            true => self.events.saturating_sub(from) as usize,
            false => 1,
        };
        let has_last_chunk = self.framing(is_stream) == RunnerFraming::Chunks;
        1 + bodies + usize::from(has_last_chunk)
    }
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            events: EVENTS,
            padding: 0,
            unread_timeout: Duration::from_secs(3_600),
            framing: None,
            omits_ids: false,
            states_run: false,
        }
    }
}

#[derive(Default)]
struct State {
    id: String,
    /// The version of its software, as its events state it.
    version: String,
    fault: Fault,
    /// If set, its answers never end.
    flood: Option<Flood>,
    /// Bytes sent by such answers.
    flood_bytes: Arc<AtomicUsize>,
    bad_version: Option<BadVersion>,
    /// If set, some of its answers are broken off.
    breaks: Option<Breaks>,
    /// Cancelled, and replaced, when it closes all its connections.
    connections: CancellationToken,
    /// If set, it gives the bytes of answers.
    script: Option<Script>,
    /// If set, it gives the bytes of answers to status checks.
    status_script: Option<Script>,
    /// Number of requests that are running.
    running: usize,
    /// Time before each event, or before a non-stream response.
    pace: Duration,
    shape: Shape,
    seen: Vec<Seen>,
    /// A request whose body contains these bytes crashes the endpoint.
    crash_on: Option<Vec<u8>>,
    /// Value of `Server-Limit` in its responses.
    limit: Option<String>,
    /// Value of `Server-Leaving` in its responses.
    leaving: Option<String>,
    /// If set, non-stream responses are run this many at a time, and as many again wait; more are refused.
    slots: Option<Arc<Semaphore>>,
    /// Value of `Server-Brittle` in its responses: it crashes when it refuses more requests than this in a second.
    brittle: Option<usize>,
    /// When it refused requests for want of room, within the last second.
    refused_at: VecDeque<Instant>,
    /// Number of crashes for too many refusals.
    falls: usize,
    /// Requests that run or wait under `slots`, and their maximum.
    held: usize,
    max_held: usize,
    /// Time for which slots were taken, as a sum.
    busy: Duration,
    /// If set, it refuses all requests with this value of `Retry-After`.
    retry_after: Option<String>,
    /// Until then it neither accepts, reads nor sends.
    silent_until: Option<Instant>,
    /// When it ended.
    ended_at: Vec<Instant>,
    /// Whether it was killed, so that its connections are closed as the kernel does it.
    is_killed: bool,
    /// Cancelled when the endpoint closes its port while its requests run on.
    listening: CancellationToken,
    /// Lifetime of the current start; cancelled when the endpoint ends.
    lifetime: CancellationToken,
}

impl State {
    /// Closes the port and all connections, as the kernel does for a process that is killed.
    fn kill(&mut self) {
        self.is_killed = true;
        self.end();
    }

    /// Closes the port and resets all connections.
    fn end(&mut self) {
        if !self.lifetime.is_cancelled() {
            self.ended_at.push(Instant::now());
            self.lifetime.cancel();
        }
    }
}

/// A running endpoint; it stops on drop.
pub struct Runner {
    /// Listening address.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.end();
    }
}

impl Runner {
    /// Starts an endpoint with an id on a free loopback port.
    ///
    /// # Panics
    /// Panics if no port can be bound.
    pub async fn start(id: &str) -> Self {
        Self::start_at((Ipv4Addr::from(HOST), 0).into(), id).await
    }

    /// Starts an endpoint with an id at an address.
    ///
    /// # Panics
    /// Panics if the address cannot be bound.
    pub async fn start_at(addr: SocketAddr, id: &str) -> Self {
        let listener = TcpListener::bind(addr).await.expect("bind");
        let addr = listener.local_addr().expect("a bound address");
        let state = Arc::new(Mutex::new(State {
            id: id.to_owned(),
            pace: Duration::from_millis(5),
            ..State::default()
        }));
        let runner = Self { addr, state };
        runner.accept(listener);
        runner
    }

    /// Sets bytes that crash the endpoint when it starts to run a request whose body contains them: its port is
    /// closed and all its connections are reset.
    pub fn crash_on(&self, bytes: &[u8]) {
        self.lock().crash_on = Some(bytes.to_vec());
    }

    /// Ends the endpoint like a crash: closes its port and resets its connections.
    pub fn end(&self) {
        self.lock().end();
    }

    /// Ends the endpoint like a kill of its process: the kernel closes its port and its connections, which are reset only
    /// where unread bytes lie.
    pub fn kill(&self) {
        self.lock().kill();
    }

    /// Closes the port; requests that are running are answered.
    pub fn stop_listening(&self) {
        self.lock().listening.cancel();
    }

    /// Returns when it ended, in order.
    pub fn ended_at(&self) -> Vec<Instant> {
        self.lock().ended_at.clone()
    }

    /// Returns whether the endpoint has ended.
    pub fn has_ended(&self) -> bool {
        self.lock().lifetime.is_cancelled()
    }

    /// Restarts the endpoint at the same address under another id.
    ///
    /// # Panics
    /// Panics if the port is in use.
    pub async fn restart(&self, id: &str) {
        let listener = TcpListener::bind(self.addr)
            .await
            .expect("the port is free");
        {
            let mut state = self.lock();
            state.id = id.to_owned();
            state.lifetime = CancellationToken::new();
            state.is_killed = false;
            state.leaving = None;
            state.retry_after = None;
            state.silent_until = None;
            state.refused_at.clear();
            state.held = 0;
        }
        self.accept(listener);
    }

    fn accept(&self, listener: TcpListener) {
        let shared = self.state.clone();
        let lifetime = self.lock().lifetime.clone();
        let listening = self.lock().listening.clone();
        let accept_loop = async move {
            while let Ok((stream, _)) = listener.accept().await {
                wait_while_silent(&shared).await;
                // An error on a connection only means that the caller disconnected.
                tokio::spawn(serve_until(stream, shared.clone()));
            }
        };
        tokio::spawn(async move {
            lifetime
                .run_until_cancelled(listening.run_until_cancelled(accept_loop))
                .await
        });
    }

    /// Neither accepts, reads nor sends on any connection for this long; nothing is lost, and everything goes on
    /// afterwards.
    pub fn fall_silent(&self, duration: Duration) {
        let until = Instant::now() + duration;
        let mut state = self.lock();
        state.silent_until = state.silent_until.max(Some(until));
    }

    /// Sets the fault.
    pub fn fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Breaks some of its answers off; `None` ends that.
    pub fn break_answers(&self, breaks: impl Into<Option<Breaks>>) {
        self.lock().breaks = breaks.into();
    }

    /// Gives the bytes of its answers.
    pub fn follow_script(&self, script: Script) {
        self.lock().script = Some(script);
    }

    /// Gives the bytes of its answers to status checks.
    pub fn follow_status_script(&self, script: Script) {
        self.lock().status_script = Some(script);
    }

    /// Closes all connections, whatever is being sent on them, and goes on listening.
    pub fn close_connections(&self) {
        let open = std::mem::take(&mut self.lock().connections);
        open.cancel();
    }

    /// Lets its answers never end.
    pub fn flood(&self, flood: Flood) {
        self.lock().flood = Some(flood);
    }

    /// Returns the bytes that its endless answers have brought so far.
    pub fn flood_bytes(&self) -> usize {
        self.lock().flood_bytes.load(Ordering::Relaxed)
    }

    /// Sets in which way the version of its software is bad; `None` if it is good.
    pub fn run_version(&self, bad: Option<BadVersion>) {
        self.lock().bad_version = bad;
    }

    /// Sets the time before each event, or before a non-stream response.
    pub fn pace(&self, pace: Duration) {
        self.lock().pace = pace;
    }

    /// Runs at most this many non-stream requests at a time; as many again wait, and more are refused without being run.
    pub fn set_slots(&self, slots: usize) {
        let mut state = self.lock();
        state.slots = Some(Arc::new(Semaphore::new(slots)));
        state.max_held = 2 * slots;
    }

    /// Lets at most this many requests wait for a slot.
    pub fn set_waiting_room(&self, waiting: usize) {
        let mut state = self.lock();
        let slots = state.max_held / 2;
        state.max_held = slots + waiting;
    }

    /// Announces that it crashes when it refuses more requests than this in a second for want of room, and does so.
    pub fn set_brittle(&self, refusals: Option<usize>) {
        self.lock().brittle = refusals;
    }

    /// Returns how often it crashed for too many refusals.
    pub fn falls(&self) -> usize {
        self.lock().falls
    }

    /// Returns for how long its slots were taken so far, as a sum.
    pub fn busy(&self) -> Duration {
        self.lock().busy
    }

    /// Sets the number of events of a stream, and the bytes added to each event and to a non-stream body.
    pub fn long_responses(&self, events: u64, padding: usize) {
        let mut state = self.lock();
        state.shape.events = events;
        state.shape.padding = padding;
    }

    /// Sends responses with neither a length nor chunks, which end with their connection.
    pub fn end_with_connection(&self) {
        self.delimit_by(RunnerFraming::Close);
    }

    /// Delimits responses in this way.
    pub fn delimit_by(&self, framing: RunnerFraming) {
        self.lock().shape.framing = Some(framing);
    }

    /// Sends events without ids.
    pub fn omit_ids(&self) {
        self.lock().shape.omits_ids = true;
    }

    /// Lets each event state the run that made it, and this version of the endpoint's software.
    pub fn state_runs(&self, version: &str) {
        let mut state = self.lock();
        state.version = version.to_owned();
        state.shape.states_run = true;
    }

    /// Cuts off a response of which nothing can be sent for this long.
    pub fn cut_unread_after(&self, timeout: Duration) {
        self.lock().shape.unread_timeout = timeout;
    }

    /// Sets `Server-Limit` in responses: the total rate that it accepts, in requests per second. `None` removes it.
    pub fn announce_limit(&self, limit: Option<&str>) {
        self.lock().limit = limit.map(str::to_owned);
    }

    /// Sets `Server-Leaving` in responses; `1` means that the endpoint is leaving. `None` removes it.
    pub fn announce_leaving(&self, value: Option<&str>) {
        self.lock().leaving = value.map(str::to_owned);
    }

    /// Refuses requests without running them, with this `Retry-After`, in seconds or as a date. `None` ends that.
    pub fn set_retry_after(&self, retry_after: Option<&str>) {
        self.lock().retry_after = retry_after.map(str::to_owned);
    }

    /// Changes the id in place, as seen after a restart at the same address.
    pub fn replace(&self, id: &str) {
        self.lock().id = id.to_owned();
    }

    /// Returns the requests received so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.lock().seen.clone()
    }

    /// Returns how many times it ran the request with this id.
    pub fn runs(&self, request_id: &str) -> usize {
        let seen = self.lock();
        let runs = seen.seen.iter().filter(|s| s.has_run);
        runs.filter(|s| {
            s.headers
                .get("request-id")
                .is_some_and(|id| id == request_id)
        })
        .count()
    }

    /// Returns whether it ran the request with this id to its end, with the connection still open.
    pub fn has_finished(&self, request_id: &str) -> bool {
        let state = self.lock();
        let mut seen = state.seen.iter();
        seen.any(|s| {
            s.finished
                && s.headers
                    .get("request-id")
                    .is_some_and(|id| id == request_id)
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// Returns the body of a non-stream response.
pub fn whole_body(request_id: &str) -> String {
    format!("the answer to {request_id}")
}

/// Returns an event of a request's stream, as sent.
pub fn event(request_id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {request_id} {number}\n\n")
}

/// Returns an event with `padding` more bytes, as sent.
pub fn padded_event(request_id: &str, number: u64, padding: usize) -> String {
    event_of(request_id, number, padding, "")
}

/// Returns an event that states its run and version, with `padding` more bytes, as sent.
pub fn stated_event(event: &ReceivedEvent, padding: usize) -> String {
    let statement = statement(&event.run, &event.version);
    event_of(&event.request_id, event.number, padding, &statement)
}

/// Returns the lines of an event that state the run and the version that made it.
fn statement(run: &str, version: &str) -> String {
    format!("run: {run}\nversion: {version}\n")
}

/// Returns an event whose further lines state the run that made it.
fn event_of(request_id: &str, number: u64, padding: usize, run: &str) -> String {
    let padding = "x".repeat(padding);
    format!("id: {number}\ndata: {request_id} {number}{padding}\n{run}\n")
}

/// Serves a connection until it or the endpoint ends.
async fn serve_until(mut stream: TcpStream, state: Arc<Mutex<State>>) -> std::io::Result<()> {
    let (lifetime, connections) = {
        let state = state.lock().expect("no holder panics");
        (state.lifetime.clone(), state.connections.clone())
    };
    let serving = async {
        let serving = serve(&mut stream, &state);
        let end = connections.run_until_cancelled(serving).await;
        wait_while_silent(&state).await;
        end.unwrap_or(Ok(ConnectionEnd::Closed))
    };
    let served = lifetime.run_until_cancelled(serving).await;
    let is_killed = state.lock().expect("no holder panics").is_killed;
    match served.unwrap_or(Ok(ConnectionEnd::Reset))? {
        ConnectionEnd::Reset if is_killed => Ok(()),
        end => end.apply(stream).await,
    }
}

async fn wait_while_silent(state: &Mutex<State>) {
    loop {
        let until = state.lock().expect("no holder panics").silent_until;
        match until {
            Some(until) if until > Instant::now() => time::sleep_until(until.into()).await,
            _ => return,
        }
    }
}

async fn serve(stream: &mut TcpStream, state: &Mutex<State>) -> std::io::Result<ConnectionEnd> {
    let (mut receiving, sending) = stream.split();
    let mut output = Output {
        socket: sending,
        state,
        parts: SentParts::default(),
    };
    let mut on_connection = 0;
    while let Some(mut seen) = read(&mut receiving, state).await? {
        seen.earlier_on_connection = on_connection;
        on_connection += 1;
        if seen.line.starts_with("GET /healthz ") {
            match answer_status_check(&mut output, state, &seen).await? {
                ConnectionEnd::Kept => continue,
                end => return Ok(end),
            }
        }
        let index = {
            let mut state = state.lock().expect("no holder panics");
            seen.version = state.version.clone();
            state.seen.push(seen.clone());
            state.seen.len() - 1
        };
        let departure = async {
            wait_for_departure(&receiving).await;
            record_departure(state, index);
            future::pending().await
        };
        let mut answering = Answering {
            state,
            index,
            is_broken_off: true,
        };
        let next = tokio::select! {
            biased;
            next = respond(&mut output, state, &seen, index) => next,
            never = departure => never,
        };
        let is_break = next
            .as_ref()
            .is_err_and(|e| broken_answer::break_end(e).is_some());
        let next = end_at_break(next);
        output.parts = SentParts::default();
        if next.is_err() {
            record_departure(state, index);
        }
        answering.is_broken_off = is_break || matches!(next, Ok(ConnectionEnd::Reset));
        drop(answering);
        match next? {
            ConnectionEnd::Kept => {}
            end => return Ok(end),
        }
    }
    Ok(ConnectionEnd::Closed)
}

/// Returns what follows a response that may have been broken off.
fn end_at_break(next: std::io::Result<ConnectionEnd>) -> std::io::Result<ConnectionEnd> {
    next.or_else(|error| broken_answer::break_end(&error).ok_or(error))
}

/// Answers a status check, unless it is meant for another start.
async fn answer_status_check(
    output: &mut Output<'_>,
    state: &Mutex<State>,
    seen: &Seen,
) -> std::io::Result<ConnectionEnd> {
    let (id, script) = {
        let state = state.lock().expect("no holder panics");
        (state.id.clone(), state.status_script.clone())
    };
    if let Some(answer) = script.and_then(|script| script.answer(seen)) {
        return send_scripted(output, &answer).await;
    }
    let expected = seen.headers.get("expect-instance");
    let status = match expected {
        Some(expected) if *expected != id => "421 Misdirected Request",
        _ => "200 OK",
    };
    let head = format!("HTTP/1.1 {status}\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
    output.send(head.as_bytes()).await?;
    Ok(ConnectionEnd::Kept)
}

/// Marks a request as broken off when dropped, unless its answer was sound or its caller left.
struct Answering<'s> {
    state: &'s Mutex<State>,
    index: usize,
    is_broken_off: bool,
}

impl Drop for Answering<'_> {
    fn drop(&mut self) {
        let mut state = self.state.lock().expect("no holder panics");
        state.seen[self.index].was_broken_off |= self.is_broken_off;
    }
}

/// Runs a request and sends its response.
async fn respond(
    output: &mut Output<'_>,
    state: &Mutex<State>,
    seen: &Seen,
    index: usize,
) -> std::io::Result<ConnectionEnd> {
    let request_id = seen.headers.get("request-id").cloned().unwrap_or_default();
    let (fault, pace, mut shape, id) = {
        let state = state.lock().expect("no holder panics");
        (state.fault, state.pace, state.shape, state.id.clone())
    };
    // Reads the state when a response starts.
    let announcements = || announcement_lines(&state.lock().expect("no holder panics"));
    let update_seen = |change: fn(&mut Seen)| {
        change(&mut state.lock().expect("no holder panics").seen[index]);
    };
    let expected = seen.headers.get("expect-instance");
    if expected.is_some_and(|e| *e != id) {
        refuse(
            output,
            "421 Misdirected Request",
            &request_id,
            &(announcements() + FULL_LOAD),
        )
        .await?;
        return Ok(ConnectionEnd::Kept);
    }
    let retry_after = state.lock().expect("no holder panics").retry_after.clone();
    if let Some(retry_after) = retry_after {
        update_seen(|s| s.was_backed_off = true);
        let lines = format!("{}Retry-After: {retry_after}\r\n", announcements());
        refuse(output, "503 Service Unavailable", &request_id, &lines).await?;
        return Ok(ConnectionEnd::Kept);
    }
    let place = Place::take(state);
    let is_full = place.is_err();
    if is_full && has_fallen(state) {
        return Ok(ConnectionEnd::Reset);
    }
    if is_full || fault == Fault::Full {
        refuse(
            output,
            "503 Service Unavailable",
            &request_id,
            &(announcements() + FULL_LOAD),
        )
        .await?;
        return Ok(ConnectionEnd::Kept);
    }
    update_seen(|s| s.has_run = true);
    let is_stream = seen
        .line
        .split(' ')
        .nth(1)
        .is_some_and(|p| p.ends_with("/stream"));
    let from = seen.headers.get("last-event-id");
    let from: u64 = from.and_then(|f| f.parse().ok()).unwrap_or(0);
    // Polls of its load come beside the requests whose answers break.
    let is_poll = seen.line.starts_with("GET /load ");
    let planned = match is_poll {
        true => None,
        false => draw_break(state, shape.parts(is_stream, from)),
    };
    output.parts = SentParts::begin(planned);
    if planned.is_some_and(|b| b.is_unframed) {
        shape.framing = Some(RunnerFraming::Close);
    }
    let framing = shape.framing(is_stream);
    if framing == RunnerFraming::Close {
        update_seen(|s| s.was_unframed = true);
    }
    let _running = Running::start(state);
    let (fault, pace) = match bad_answer(state, seen, index) {
        Some(BadAnswer::Fails) => (Fault::Error, pace),
        Some(BadAnswer::Slow(late)) => {
            time::sleep(late).await;
            (fault, pace)
        }
        None => (fault, pace),
    };
    if crashes(state, &seen.body) {
        time::sleep(pace).await;
        state.lock().expect("no holder panics").end();
        return Ok(ConnectionEnd::Reset);
    }
    let is_resumption = seen.headers.contains_key("last-event-id");
    if fault.breaks_answer(is_stream, is_resumption) {
        update_seen(|s| s.was_broken_off = true);
    }
    let (flood, flood_bytes) = {
        let state = state.lock().expect("no holder panics");
        (state.flood, state.flood_bytes.clone())
    };
    if let Some(flood) = flood {
        update_seen(|s| s.was_broken_off = true);
        match flood
            .send(&mut output.socket, &request_id, &flood_bytes)
            .await? {}
    }
    let script = state.lock().expect("no holder panics").script.clone();
    if let Some(answer) = script.and_then(|script| script.answer(seen)) {
        time::sleep(pace).await;
        return send_scripted(output, &answer).await;
    }
    match fault {
        Fault::Mute => future::pending::<()>().await,
        Fault::ResetAfterRun => return Ok(ConnectionEnd::Reset),
        _ => {}
    }
    let fault = match fault.kills() && is_poll {
        true => Fault::None,
        false => fault,
    };
    if is_stream {
        if seen.line.contains("/long/stream ") {
            shape.padding = LONG_PADDING;
        }
        let run = match shape.states_run {
            true => statement(&format!("{id}/{index}"), &seen.version),
            false => String::new(),
        };
        let response = ResponseParams {
            request_id: &request_id,
            fault,
            shape,
            announcements: &announcements(),
            run: &run,
        };
        match send_events(output, response, from, pace).await {
            Err(error) if error.kind() == ErrorKind::TimedOut => {
                update_seen(|s| s.was_unread = true);
                return Ok(ConnectionEnd::Reset);
            }
            Err(error) => return Err(error),
            Ok(false) => return Ok(ConnectionEnd::Closed),
            Ok(true) => {}
        }
    } else {
        run_in_slot(state, pace).await;
        let response = ResponseParams {
            request_id: &request_id,
            fault,
            shape,
            announcements: &announcements(),
            run: "",
        };
        if !send_response(output, response).await? {
            return Ok(ConnectionEnd::Reset);
        }
    }
    update_seen(|s| {
        s.finished = true;
        s.finished_at = Some(Instant::now());
    });
    if framing == RunnerFraming::Close {
        return Ok(ConnectionEnd::Closed);
    }
    Ok(ConnectionEnd::Kept)
}

/// Draws whether and where the next answer breaks, which is sent in so many parts.
fn draw_break(state: &Mutex<State>, parts: usize) -> Option<Break> {
    let mut state = state.lock().expect("no holder panics");
    state.breaks.as_mut().and_then(|b| b.draw(parts))
}

/// Waits until the peer has closed its side of the connection.
async fn wait_for_departure(socket: &ReadHalf<'_>) {
    loop {
        match socket.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => time::sleep(END_POLL_INTERVAL).await,
            _ => return,
        }
    }
}

/// Records that the caller of a request has left, unless that is known.
fn record_departure(state: &Mutex<State>, index: usize) {
    let mut state = state.lock().expect("no holder panics");
    state.seen[index].left_at.get_or_insert_with(Instant::now);
}

/// Records a refusal for want of room; returns whether a brittle endpoint crashes under it.
fn has_fallen(state: &Mutex<State>) -> bool {
    const WINDOW: Duration = Duration::from_secs(1);
    let mut state = state.lock().expect("no holder panics");
    let Some(max) = state.brittle else {
        return false;
    };
    let now = Instant::now();
    state.refused_at.push_back(now);
    state.refused_at.retain(|at| now - *at < WINDOW);
    let has_fallen = state.refused_at.len() > max && !state.lifetime.is_cancelled();
    if has_fallen {
        state.falls += 1;
        state.end();
    }
    has_fallen
}

/// Waits for a free slot, if slots are limited, and holds it for `pace`.
async fn run_in_slot(state: &Mutex<State>, pace: Duration) {
    let slots = state.lock().expect("no holder panics").slots.clone();
    let slot = match slots {
        Some(slots) => slots.acquire_owned().await.ok(),
        None => None,
    };
    let began = Instant::now();
    time::sleep(pace).await;
    drop(slot);
    state.lock().expect("no holder panics").busy += began.elapsed();
}

/// A place among the requests that run or wait, until dropped.
struct Place<'s> {
    state: &'s Mutex<State>,
    is_counted: bool,
}

/// All places are taken.
struct IsFull;

impl<'s> Place<'s> {
    /// Takes a place. Without slots there are always places, and they are not counted.
    fn take(state: &'s Mutex<State>) -> Result<Self, IsFull> {
        let mut locked = state.lock().expect("no holder panics");
        let is_counted = locked.slots.is_some();
        if is_counted && locked.held >= locked.max_held {
            return Err(IsFull);
        }
        locked.held += usize::from(is_counted);
        Ok(Self { state, is_counted })
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut state = self.state.lock().expect("no holder panics");
        // A restart of the endpoint resets the count.
        state.held = state.held.saturating_sub(usize::from(self.is_counted));
    }
}

/// Counts a request as running until dropped.
struct Running<'s>(&'s Mutex<State>);

impl<'s> Running<'s> {
    fn start(state: &'s Mutex<State>) -> Self {
        state.lock().expect("no holder panics").running += 1;
        Self(state)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.lock().expect("no holder panics").running -= 1;
    }
}

/// Returns how the answer to a request is bad because of the version, if it is; `number` counts the requests.
fn bad_answer(state: &Mutex<State>, seen: &Seen, number: usize) -> Option<BadAnswer> {
    let mut state = state.lock().expect("no holder panics");
    let running = state.running;
    let bad = state
        .bad_version
        .filter(|v| v.applies(seen, number, running))?;
    state.seen[number].was_bad = true;
    Some(bad.answer)
}

/// Returns whether a request with this body crashes the endpoint.
fn crashes(state: &Mutex<State>, body: &[u8]) -> bool {
    let state = state.lock().expect("no holder panics");
    let mut windows = state
        .crash_on
        .iter()
        .flat_map(|bytes| body.windows(bytes.len()).filter(move |w| w == bytes));
    windows.next().is_some()
}

/// Load header of an endpoint without free capacity.
const FULL_LOAD: &str = "Instance-Load: 4,9,4\r\n";

/// Parameters of a response.
#[derive(Clone, Copy)]
struct ResponseParams<'a> {
    request_id: &'a str,
    fault: Fault,
    shape: Shape,
    /// Header lines with the announcements of the endpoint.
    announcements: &'a str,
    /// Lines of each event that state its run.
    run: &'a str,
}

fn announcement_lines(state: &State) -> String {
    let line = |name: &str, value: &Option<String>| {
        let value = value.as_ref();
        value.map_or_else(String::new, |value| format!("{name}: {value}\r\n"))
    };
    let brittle = state.brittle.map(|n| n.to_string());
    line("Server-Limit", &state.limit)
        + &line("Server-Leaving", &state.leaving)
        + &line("Server-Brittle", &brittle)
}

/// Sending side of a connection.
struct Output<'a> {
    socket: WriteHalf<'a>,
    state: &'a Mutex<State>,
    /// The answer that is being sent.
    parts: SentParts,
}

impl Output<'_> {
    async fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        wait_while_silent(self.state).await;
        let (bytes, end) = self.parts.next(bytes);
        self.socket.write_all(bytes).await?;
        end.map_or(Ok(()), |end| Err(broken_answer::broken_off(end)))
    }

    /// Sends bytes; fails if that takes longer than `timeout`, not counting silence.
    async fn send_within(&mut self, bytes: &[u8], timeout: Duration) -> std::io::Result<()> {
        wait_while_silent(self.state).await;
        time::timeout(timeout, self.send(bytes)).await?
    }
}

async fn refuse(
    output: &mut Output<'_>,
    status: &str,
    request_id: &str,
    announcements: &str,
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\nNot-Executed: 1\r\n{announcements}\
         Content-Length: 0\r\n\r\n"
    );
    output.send(head.as_bytes()).await
}

fn head(response: ResponseParams<'_>, framing: &str) -> String {
    let ResponseParams {
        request_id,
        fault,
        announcements,
        ..
    } = response;
    let signature = if fault == Fault::Unsigned {
        ""
    } else {
        "Instance-Signature: 3e1b.07\r\n"
    };
    let status = match fault {
        Fault::Error | Fault::KilledInError => "500 Internal Server Error",
        _ => "200 OK",
    };
    format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\n{signature}{announcements}Instance-Load: 1,0,4\r\n{framing}\r\n\r\n"
    )
}

async fn send_scripted(
    output: &mut Output<'_>,
    answer: &ScriptedAnswer,
) -> std::io::Result<ConnectionEnd> {
    wait_while_silent(output.state).await;
    answer.send(&mut output.socket).await?;
    Ok(answer.end)
}

async fn send_response(
    output: &mut Output<'_>,
    response: ResponseParams<'_>,
) -> std::io::Result<bool> {
    let fault = response.fault;
    let body = whole_body(response.request_id) + &"x".repeat(response.shape.padding);
    if fault == Fault::Unframed || fault.kills() {
        let text = head(response, "Connection: close") + &body[..body.len() / 2];
        output.send(text.as_bytes()).await?;
        time::sleep(Duration::from_millis(20)).await;
        if fault.kills() {
            output.state.lock().expect("no holder panics").kill();
        }
        return Ok(false);
    }
    let framing = response.shape.framing(false);
    let head = head(response, &delimiting_line(framing, body.len()));
    let body = in_framing(framing, &body);
    let last = last_bytes(framing);
    if output.parts.may_break() {
        output.send(head.as_bytes()).await?;
        output.send(body.as_bytes()).await?;
        if !last.is_empty() {
            output.send(last.as_bytes()).await?;
        }
        return Ok(true);
    }
    let mut text = head + &body + last;
    if fault == Fault::Surplus && framing != RunnerFraming::Close {
        text = text.repeat(2);
    }
    output.send(text.as_bytes()).await?;
    Ok(true)
}

/// Returns the header line that delimits a body of this length.
fn delimiting_line(framing: RunnerFraming, length: usize) -> String {
    match framing {
        RunnerFraming::Length => format!("Content-Length: {length}"),
        RunnerFraming::Chunks => "Transfer-Encoding: chunked".to_owned(),
        RunnerFraming::Close => "Connection: close".to_owned(),
    }
}

/// Returns a part of a body as it is sent.
fn in_framing(framing: RunnerFraming, text: &str) -> String {
    match framing {
        RunnerFraming::Chunks => format!("{:x}\r\n{text}\r\n", text.len()),
        RunnerFraming::Length | RunnerFraming::Close => text.to_owned(),
    }
}

/// Returns what follows a whole body.
fn last_bytes(framing: RunnerFraming) -> &'static str {
    match framing {
        RunnerFraming::Chunks => "0\r\n\r\n",
        RunnerFraming::Length | RunnerFraming::Close => "",
    }
}

async fn send_events(
    output: &mut Output<'_>,
    response: ResponseParams<'_>,
    from: u64,
    pace: Duration,
) -> std::io::Result<bool> {
    let ResponseParams {
        request_id,
        fault,
        shape,
        run,
        ..
    } = response;
    let framing = shape.framing(true);
    let framed = |text: &str| in_framing(framing, text);
    let whole_event = |number| event_of(request_id, number, shape.padding, run);
    let length = (from + 1..=shape.events).map(|number| whole_event(number).len());
    let kind = format!(
        "Content-Type: text/event-stream\r\n{}",
        delimiting_line(framing, length.sum())
    );
    output.send(head(response, &kind).as_bytes()).await?;
    let first = match fault {
        Fault::EmptyResumption if from > 0 => shape.events + 1,
        Fault::LateResumption if from > 0 => from + 4,
        _ => from + 1,
    };
    if first > from + 1 {
        output.send(framed(": resumed\n\n").as_bytes()).await?;
    }
    for number in first..=shape.events {
        time::sleep(pace).await;
        if fault == Fault::Pause && number == 4 {
            time::sleep(PAUSE).await;
        }
        let mut event = whole_event(number);
        if shape.omits_ids {
            event = event.replacen(&format!("id: {number}\n"), "", 1);
        }
        let is_lost = matches!(fault, Fault::LostWorker | Fault::CutNewStreamOfUnevenIds);
        if is_lost && from == 0 && number == 4 {
            return Ok(false);
        }
        let is_uneven = matches!(fault, Fault::UnevenIds | Fault::CutNewStreamOfUnevenIds);
        if is_uneven && number >= 4 {
            event = event.replacen(
                &format!("id: {number}\n"),
                &format!("id: {}\n", number * 3),
                1,
            );
        }
        let is_cut = fault == Fault::CutStream || (fault == Fault::CutNewStream && from == 0);
        if is_cut && number == 4 {
            let chunk = framed(&event[..event.len() / 2]);
            output.send(chunk.as_bytes()).await?;
            return Ok(false);
        }
        let chunk = framed(&event);
        output
            .send_within(chunk.as_bytes(), shape.unread_timeout)
            .await?;
    }
    if fault == Fault::PauseBeforeEnd && from == 0 {
        time::sleep(PAUSE).await;
    }
    if fault == Fault::CutAfterLastEvent && from == 0 {
        return Ok(false);
    }
    if fault == Fault::KilledAfterLastEvent && from == 0 {
        output.state.lock().expect("no holder panics").kill();
        return Ok(false);
    }
    let last = last_bytes(framing);
    if !last.is_empty() {
        output.send(last.as_bytes()).await?;
    }
    Ok(true)
}

/// Reads a request; returns `None` at the end of the connection.
async fn read(socket: &mut ReadHalf<'_>, state: &Mutex<State>) -> std::io::Result<Option<Seen>> {
    let request = ReceivedRequest::read_with(socket, || wait_while_silent(state)).await;
    Ok(request?.map(Seen::new))
}
