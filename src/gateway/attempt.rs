//! One attempt: sends a request to one endpoint and reads its response.

use std::{
    net::IpAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::{Body as _, Incoming},
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
    http::response::Parts,
};
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use crate::{
    balance::{balancer::Choice, cost::PlacementRequest, reachability::Reach},
    clock::Clock,
    endpoint::{body_end::BodyEnd, connection_pool::EndpointConnection, framing::Framing, status},
    gateway::{
        answer_ends::{AnswerEnd, ClosedAnswer, ENDED_EARLY},
        caller_buffer::{CallerConnection, CallerHandle, HeldAccount, HeldAnswer},
        close_check::{self, CLOSE_UNCONFIRMED, Liveness},
        config::Route,
        endpoint_announcements,
        endpoint_connect::ConnectError,
        excess::{self, Excess},
        permits,
        protocol::{CallHead, Forward, Protocol},
        rollout_requests::RolloutRequest,
        state::Gateway,
    },
    limits::fingerprint::Fingerprint,
    prelude::{Micros, Name},
};

/// The longest response body that is buffered, in bytes. A longer one counts as a failure of its endpoint.
const MAX_BUFFERED_BYTES: usize = 16 << 20;
const BODY_TOO_LONG: AttemptError = AttemptError::Unknown(Excess::Body.as_str());
/// Longer than any request is held: the attempt may then last until the deadline of the request.
const NO_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(86_400);
/// Longest idle time of a pooled connection over which a request is sent that may run once only: if the endpoint closes
/// the connection at that moment, it is unknown whether the request ran. Endpoints keep idle connections for longer than
/// a second.
const MAX_IDLE_ONCE_US: Micros = 1_000_000;
/// A request without an answer for this many times the expected time to it, and the time below, may wait on a dead link.
const SILENCE_EXPECTED: f64 = 3.0;
/// Estimates are off by some hundred milliseconds under load.
const MIN_SILENCE_MS: f64 = 300.0;
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// An admitted request with all that is needed to forward it.
pub struct Job {
    /// Its route.
    pub route: Arc<Route>,
    /// What the protocol read from its headers.
    pub head: CallHead,
    /// Its method.
    pub method: Method,
    /// Its path and query, unchanged.
    pub uri: Uri,
    /// Its headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Counts the bytes of the body.
    pub body_account: HeldAccount,
    /// The connection of its caller.
    pub caller: CallerConnection,
    /// The caller's organisation.
    pub organisation: Option<Name>,
    /// The request as the balancer places it.
    pub placement_request: PlacementRequest,
    /// Whether the configuration bounds the connections to the service's endpoints, so that they are reused where possible.
    pub saves_connections: bool,
    /// When the time budget of the request ends, shortly before its caller or route times out.
    pub until_us: Micros,
    /// The first instance through which it was sent, if this one was cut off from the endpoints.
    pub carrier: OnceLock<Name>,
    /// Whether it is sent although a part of its prompt is blocked, to show whether that is still needed.
    pub is_trial: bool,
    /// Identifies retries of the same request; computed on first use.
    pub fingerprint: OnceLock<Fingerprint>,
}

impl Job {
    /// Returns whether it may run more than once: its route allows retries or resumption.
    pub fn is_repeatable(&self) -> bool {
        self.route.kind.is_repeatable()
    }

    /// Returns the event after which the caller takes up a stream that an earlier attempt began, if it does.
    pub fn resumes_after(&self) -> Option<u64> {
        self.route.resumed_event(&self.head)
    }

    /// Returns for how long a pooled connection may have been idle over which the request is sent; `None` if it needs a
    /// new one.
    pub fn max_idle_us(&self) -> Option<Micros> {
        match self.is_repeatable() {
            true => Some(Micros::MAX),
            false => self.saves_connections.then_some(MAX_IDLE_ONCE_US),
        }
    }

    /// Returns the fingerprint by which retries of this request are recognised. It is computed on first use, as most
    /// requests never need it.
    pub fn fingerprint(&self) -> Fingerprint {
        let organisation = self.organisation.as_deref();
        let compute = || fingerprint(&self.method, &self.uri, organisation, &self.body);
        *self.fingerprint.get_or_init(compute)
    }

    /// Returns the deadline of an attempt that may last as long as the request.
    pub fn deadline(&self) -> AttemptDeadline {
        AttemptDeadline {
            request_end_us: self.until_us,
            attempt_end: Instant::now() + NO_ATTEMPT_TIMEOUT,
        }
    }

    /// Returns for how long the request may be held.
    pub fn budget_us(&self) -> Micros {
        let arrived_us = self.placement_request.arrived_us;
        self.until_us.saturating_sub(arrived_us)
    }

    /// Returns what names the request and cuts its caller.
    pub fn caller_handle(&self) -> CallerHandle {
        CallerHandle {
            connection: self.caller.clone(),
            request_id: self.head.request_id.clone(),
            route: self.route.name.clone(),
        }
    }

    /// Returns the request id that the caller sent, or `-`, for logs.
    pub fn request_id(&self) -> &str {
        let id = self.head.request_id.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }
}

/// Returns the fingerprint of a request, which is the same for every retry of it.
pub fn fingerprint(
    method: &Method,
    uri: &Uri,
    organisation: Option<&str>,
    body: &[u8],
) -> Fingerprint {
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    Fingerprint::of(method.as_str(), path, organisation, body)
}

/// A response whose head has been received and whose body has not been read.
pub struct EndpointResponse<P: Protocol> {
    /// The response.
    pub response: Response<Incoming>,
    /// The connection that carries it.
    pub connection: EndpointConnection,
    /// The account of the request at its endpoint, closed on drop.
    pub in_flight: InFlightRequest<P>,
    /// The endpoint states that it did not run the request.
    pub not_executed: bool,
    /// The response carries the endpoint's signature header.
    pub is_signed: bool,
    /// How the response is delimited.
    pub framing: Framing,
}

/// How long an attempt waits for its endpoint: until the earlier of two instants on different clocks.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadline {
    /// End of the request on the gateway's clock, which runs on while this machine is suspended, as the caller's does.
    pub request_end_us: Micros,
    /// End of this attempt on the monotonic clock, which stops in a suspension: data that arrived meanwhile is still
    /// read afterwards.
    pub attempt_end: Instant,
}

impl AttemptDeadline {
    /// Awaits `future`; returns `None` if it is not ready by the deadline.
    pub async fn wait<F: Future>(self, clock: Clock, future: F) -> Option<F::Output> {
        let answer_in_time = time::timeout_at(self.attempt_end, future);
        clock
            .timeout_at(self.request_end_us, answer_in_time)
            .await?
            .ok()
    }
}

/// Why an attempt brought no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// Nothing was sent to the endpoint; the request may be sent elsewhere.
    NotSent(&'static str),
    /// The connection was lost: the endpoint may have run the request, and may have crashed.
    ConnectionLost(&'static str),
    /// The endpoint may have run the request.
    Unknown(&'static str),
    /// The endpoint ran the request, and there is no room to hold its answer.
    NoRoom,
}

/// A request in flight at an endpoint. It counts in the load of the endpoint until it is finished or dropped.
pub struct InFlightRequest<P: Protocol> {
    pub(super) gateway: Arc<Gateway<P>>,
    /// The endpoint.
    pub choice: Choice,
    /// When it was sent, in microseconds of the gateway's clock.
    pub at_us: Micros,
    /// Version of the endpoint's limit when the request was sent; an answer cannot replace a newer limit.
    pub(super) limit_version: u32,
    /// The instance that carries its connection to the endpoint, if this one was cut off.
    pub(super) carrier: Option<IpAddr>,
    pub(super) has_response_head: bool,
    pub(super) has_first_event: bool,
    /// It has a slot of a brittle endpoint.
    holds_slot: bool,
    /// The endpoint refused it for want of room.
    is_refused: bool,
    records_hold_time: bool,
    is_complete: bool,
    is_failed: bool,
    is_finished: bool,
    /// Cancelled once another endpoint has taken the request over.
    replaced: CancellationToken,
    /// Set if it was sent during a roll-out of its service.
    pub(super) rollout: Option<RolloutRequest>,
}

impl<P: Protocol> InFlightRequest<P> {
    /// Takes over the slot of a placement. Once `replaced` is cancelled, an attempt that ends without an answer counts as
    /// a failure of the endpoint.
    pub fn new(gateway: Arc<Gateway<P>>, choice: Choice, replaced: CancellationToken) -> Self {
        let holds_slot = gateway.balancer().is_brittle(choice.key);
        Self {
            at_us: gateway.clock.now_us(),
            limit_version: 0,
            gateway,
            choice,
            carrier: None,
            has_response_head: false,
            has_first_event: false,
            holds_slot,
            is_refused: false,
            records_hold_time: false,
            is_complete: false,
            is_failed: false,
            is_finished: false,
            replaced,
            rollout: None,
        }
    }

    /// Records the time to the first event, or to the whole response where it is not a stream.
    pub fn note_first_event(&mut self) {
        if self.has_first_event {
            return;
        }
        self.has_first_event = true;
        let took_ms = self.age_ms();
        self.gateway
            .balancer()
            .record_first_event(&self.choice, took_ms);
        self.note_rollout_time(took_ms);
    }

    /// Records that the response is complete. If `records_hold_time`, its duration enters the estimate of how long slots
    /// are held.
    pub fn note_complete(&mut self, records_hold_time: bool) {
        self.records_hold_time = records_hold_time;
        self.is_complete = true;
        let now_us = self.gateway.clock.now_us();
        let mut balancer = self.gateway.balancer();
        balancer.update_speed(self.choice.key, |s| s.record_outcome(now_us, false));
    }

    /// Records that the endpoint failed the request; later calls do nothing.
    pub fn note_failure(&mut self) {
        if std::mem::replace(&mut self.is_failed, true) {
            return;
        }
        if self.carrier.is_none() && self.is_cut_off() {
            // The link is broken, and not the endpoint.
            return;
        }
        let now_us = self.gateway.clock.now_us();
        let mut balancer = self.gateway.balancer();
        balancer.update_speed(self.choice.key, |s| s.record_outcome(now_us, true));
        drop(balancer);
        self.note_rollout_loss();
    }

    /// Returns whether this instance is cut off from the endpoints of the service.
    fn is_cut_off(&self) -> bool {
        let service = self.gateway.balancer().service_of(self.choice.key);
        service.is_some_and(|s| self.gateway.endpoint_reach.reach(&s) == Reach::CutOff)
    }

    /// Records that the endpoint refused the request for want of room.
    pub fn note_refused(&mut self) {
        self.is_refused = true;
    }

    /// Removes it from the load of the endpoint and gives waiting requests a chance; later calls do nothing.
    pub fn finish(&mut self) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        if self.replaced.is_cancelled() && !self.is_complete {
            self.note_failure();
        }
        let waiting_tokens = if self.has_first_event {
            0
        } else {
            self.choice.expected.uncached_tokens
        };
        let held_ms = self.records_hold_time.then(|| self.age_ms());
        let mut balancer = self.gateway.balancer();
        balancer.end(self.choice.key, waiting_tokens, held_ms);
        if !self.has_response_head {
            balancer.record_unanswered(self.choice.key, self.at_us);
        }
        drop(balancer);
        if self.holds_slot {
            permits::end_at_brittle(&self.gateway, self.choice.key, self.is_refused);
        }
        self.note_rollout_end();
        self.gateway.reconsider();
    }

    /// Returns the milliseconds since it was sent.
    pub fn age_ms(&self) -> f64 {
        self.gateway.clock.now_us().saturating_sub(self.at_us) as f64 / 1e3
    }
}

impl<P: Protocol> Drop for InFlightRequest<P> {
    fn drop(&mut self) {
        self.finish();
    }
}

/// A request that can be sent to its endpoint. Nothing was sent yet.
pub struct PreparedAttempt<P: Protocol> {
    connection: EndpointConnection,
    in_flight: InFlightRequest<P>,
}

/// Connects to the endpoint that was chosen for a request, and checks that the request may still be sent there.
///
/// # Errors
/// The request cannot be sent there; nothing was sent.
pub async fn prepare<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    job: &Job,
    mut in_flight: InFlightRequest<P>,
) -> Result<PreparedAttempt<P>, AttemptError> {
    let connecting = connect(gateway, job, &in_flight);
    let connected = gateway.clock.timeout_at(job.until_us, connecting).await;
    let connection = connected.unwrap_or(Err(AttemptError::NotSent("unreachable")))?;
    if let Some(tunnel) = &connection.tunnel {
        in_flight.carrier = Some(tunnel.carrier_ip);
        job.carrier.get_or_init(|| tunnel.carrier.clone());
    }
    gateway
        .check_before_send(in_flight.choice.key)
        .map_err(AttemptError::NotSent)?;
    if let Some(block) = gateway.block_of(job) {
        // Endpoints crashed since it was checked on arrival.
        return Err(AttemptError::NotSent(block.reason()));
    }
    in_flight.rollout = gateway
        .admit_version(&in_flight.choice, &job.route)
        .map_err(AttemptError::NotSent)?;
    Ok(PreparedAttempt {
        connection,
        in_flight,
    })
}

/// Sends a prepared request and waits until `deadline` for the head of its response. A stream goes on after the event
/// with id `resume_after`.
///
/// # Errors
/// There is no response; the error says whether the endpoint may have run the request.
pub async fn send<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    job: &Job,
    prepared: PreparedAttempt<P>,
    resume_after: Option<u64>,
    deadline: AttemptDeadline,
) -> Result<EndpointResponse<P>, AttemptError> {
    let PreparedAttempt {
        mut connection,
        mut in_flight,
    } = prepared;
    in_flight.at_us = gateway.clock.now_us();
    in_flight.limit_version =
        endpoint_announcements::record_sent(gateway, in_flight.choice.key, in_flight.at_us);
    let request = build_request(gateway, job, &in_flight.choice, resume_after);
    connection.head_limit.begin();
    let answer = connection.sender.send_request(request);
    let answer = watch_for_silence(gateway, &job.placement_request.service, &in_flight, answer);
    let response = match deadline.wait(gateway.clock, answer).await {
        Some(Ok(response)) => response,
        Some(Err(e)) if e.is_canceled() => return Err(AttemptError::NotSent("closed_before")),
        Some(Err(error)) => {
            in_flight.note_failure();
            if error.is_parse_too_large() || connection.head_limit.is_used_up() {
                excess::note(gateway, job, &in_flight.choice, Excess::Head);
                return Err(AttemptError::Unknown(Excess::Head.as_str()));
            }
            return Err(AttemptError::ConnectionLost("connection_broke"));
        }
        None => {
            in_flight.note_failure();
            return Err(AttemptError::Unknown("no_answer"));
        }
    };
    connection.head_limit.end();
    in_flight.has_response_head = true;
    if in_flight.carrier.is_none() {
        gateway.note_direct_answer(&job.placement_request.service);
    }
    let status = response.status();
    if !status::is_final(status) {
        in_flight.note_failure();
        return Err(AttemptError::Unknown("invalid_status"));
    }
    let framing = Framing::of(&response);
    gateway.metrics.count_answer(framing);
    let head = gateway.protocol.read_answer(status, response.headers());
    endpoint_announcements::handle_answer(gateway, &in_flight, &head);
    if head.request_id != job.head.request_id {
        // A surplus response to an earlier request on this connection; this request may be running nevertheless.
        in_flight.note_failure();
        return Err(AttemptError::Unknown("foreign_answer"));
    }
    if status != StatusCode::MISDIRECTED_REQUEST {
        endpoint_announcements::handle_limit(gateway, &in_flight, &head);
    }
    if let Some(load) = head.load {
        let now_us = gateway.clock.now_us();
        gateway
            .balancer()
            .load_view_mut()
            .record_load_report(now_us, in_flight.choice.key, load);
    }
    Ok(EndpointResponse {
        response,
        connection,
        in_flight,
        not_executed: head.not_executed,
        is_signed: head.is_signed,
        framing,
    })
}

/// Awaits the answer to a request. If it takes far longer than expected, the links to the service's endpoints are probed:
/// a connection that is open may be silent.
async fn watch_for_silence<P: Protocol, F: Future>(
    gateway: &Arc<Gateway<P>>,
    service: &Name,
    in_flight: &InFlightRequest<P>,
    answer: F,
) -> F::Output {
    tokio::pin!(answer);
    if in_flight.carrier.is_none() {
        let silence_ms = in_flight.choice.expected.first_ms * SILENCE_EXPECTED + MIN_SILENCE_MS;
        let silence = Duration::from_secs_f64(silence_ms / 1e3);
        if let Ok(answer) = time::timeout(silence, &mut answer).await {
            return answer;
        }
        gateway.probe_silent_links(service, in_flight.at_us);
    }
    answer.await
}

/// Returns a connection to the endpoint, a pooled one if the request may use it.
async fn connect<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    job: &Job,
    in_flight: &InFlightRequest<P>,
) -> Result<EndpointConnection, AttemptError> {
    let addr = in_flight.choice.addr;
    let now_us = gateway.clock.now_us();
    let service = &job.placement_request.service;
    let regions = &job.placement_request.allowed_regions;
    // Connections that were open before a cut may be dead.
    let needs_tunnel = gateway.endpoint_reach.reach(service) != Reach::Reached;
    let suits = |connection: &EndpointConnection| match &connection.tunnel {
        None => !needs_tunnel,
        Some(tunnel) => {
            needs_tunnel
                && gateway
                    .balancer()
                    .may_carry_in(&tunnel.carrier_hall, regions)
        }
    };
    if let Some(max_idle_us) = job.max_idle_us()
        && let Some(kept) = gateway
            .connections
            .take_idle_if(now_us, addr, max_idle_us, suits)
    {
        return Ok(kept);
    }
    let opening = gateway.open_connection(service, &in_flight.choice, regions);
    opening.await.map_err(|error| {
        if error == ConnectError::Withheld {
            return AttemptError::NotSent("endpoint_withheld");
        }
        if error == ConnectError::Silent {
            gateway.watch_silent_endpoint(&in_flight.choice);
        }
        let now_us = gateway.clock.now_us();
        let mut balancer = gateway.balancer();
        balancer.update_speed(in_flight.choice.key, |s| s.record_unreachable(now_us));
        AttemptError::NotSent("unreachable")
    })
}

fn build_request<P: Protocol>(
    gateway: &Gateway<P>,
    job: &Job,
    choice: &Choice,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = job.headers.clone();
    let left_us = job.until_us.saturating_sub(gateway.clock.now_us());
    let forward = Forward {
        endpoint: &choice.id,
        organisation: job.organisation.as_deref(),
        left_ms: (left_us / 1_000).max(1),
        resume_after,
    };
    gateway
        .protocol
        .write_forward(request.headers_mut(), &forward);
    request
}

/// A response read to its end.
pub struct BufferedResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: HeldAnswer,
    /// How it was delimited.
    pub framing: Framing,
    /// Whether it is whole; one that was broken off is an error instead.
    pub end: AnswerEnd,
}

/// Reads the body of a response until `deadline`, then returns the connection to the pool if it can be reused. Stores the
/// number of bytes that a success has at least in `least_bytes`, also where it breaks off.
///
/// # Errors
/// The body broke off, is too long, was not complete in time or could not be held; the endpoint may have run the request.
pub async fn buffer_response<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    job: &Job,
    received: EndpointResponse<P>,
    deadline: AttemptDeadline,
    least_bytes: &AtomicU64,
) -> Result<BufferedResponse, AttemptError> {
    let EndpointResponse {
        response,
        connection,
        mut in_flight,
        framing,
        ..
    } = received;
    let (parts, body) = response.into_parts();
    let reuse = connection_reuse(&parts.headers, parts.status);
    let answer = HeldAnswer::new(HeldAccount::open(&gateway.held_memory, job.caller_handle()));
    let fair_share_bytes = gateway.bounds().held.per_caller_bytes;
    let mut received_bytes = 0;
    let stated_bytes = body.size_hint().lower();
    let collecting = collect_body(body, answer, fair_share_bytes, &mut received_bytes);
    let collected = deadline.wait(gateway.clock, collecting).await;
    let collected = collected.unwrap_or(Err(AttemptError::Unknown("answer_broke_off")));
    if parts.status.is_success() {
        least_bytes.store(stated_bytes.max(received_bytes), Ordering::Relaxed);
    }
    if collected
        .as_ref()
        .is_err_and(|e| *e != AttemptError::NoRoom)
    {
        in_flight.note_failure();
    }
    if matches!(&collected, Err(e) if *e == BODY_TOO_LONG) {
        excess::note(gateway, job, &in_flight.choice, Excess::Body);
    }
    let body = collected?;
    let closed = match framing {
        Framing::Close => Some(check_close(gateway, job, &mut in_flight, &parts, &body).await?),
        _ => None,
    };
    let size = body.len() as u64;
    let end = gateway.judge_plain_answer(job, &in_flight.choice, &parts, size, closed);
    if end == AnswerEnd::BrokenOff {
        in_flight.note_failure();
        return Err(AttemptError::ConnectionLost(ENDED_EARLY));
    }
    if parts.status.is_success() {
        in_flight.note_first_event();
        in_flight.note_complete(true);
    } else if parts.status.is_server_error() {
        in_flight.note_rollout_failure();
    }
    if let Some(idle_timeout) = reuse {
        keep_connection(gateway, &in_flight, connection, idle_timeout);
    }
    let mut headers = parts.headers;
    strip_connection_headers(&mut headers);
    Ok(BufferedResponse {
        status: parts.status,
        headers,
        body,
        framing,
        end,
    })
}

/// Returns what is known of a plain answer that has ended with its connection.
///
/// # Errors
/// It counts as broken off, as its endpoint does not live on or could not be asked.
async fn check_close<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    job: &Job,
    in_flight: &mut InFlightRequest<P>,
    head: &Parts,
    body: &HeldAnswer,
) -> Result<ClosedAnswer, AttemptError> {
    let content = BodyEnd::of_body(head.headers.get(CONTENT_TYPE), body.reader());
    if content != BodyEnd::Unknown {
        return Ok(ClosedAnswer::shown(content));
    }
    match close_check::check(gateway, job, &in_flight.choice).await {
        Liveness::Ended => {
            in_flight.note_failure();
            Err(AttemptError::ConnectionLost(CLOSE_UNCONFIRMED))
        }
        // Only another run could show that it is whole.
        Liveness::Unknown | Liveness::LikelyEnded
            if !job.is_repeatable() || !head.status.is_success() =>
        {
            Err(AttemptError::Unknown(CLOSE_UNCONFIRMED))
        }
        liveness => Ok(ClosedAnswer { content, liveness }),
    }
}

/// Reads a body. If there is no room for it, it is too long only if it takes more than its fair share: another answer
/// may take the room.
async fn collect_body(
    mut body: Incoming,
    mut answer: HeldAnswer,
    fair_share_bytes: usize,
    received_bytes: &mut u64,
) -> Result<HeldAnswer, AttemptError> {
    if body.size_hint().lower() > MAX_BUFFERED_BYTES as u64 {
        return Err(BODY_TOO_LONG);
    }
    while let Some(frame) = body.frame().await {
        let broke_off = AttemptError::ConnectionLost("answer_broke_off");
        let Ok(chunk) = frame.map_err(|_| broke_off)?.into_data() else {
            continue;
        };
        *received_bytes += chunk.len() as u64;
        if answer.len() + chunk.len() > MAX_BUFFERED_BYTES {
            return Err(BODY_TOO_LONG);
        }
        let takes_more = answer.len() + chunk.len() > fair_share_bytes;
        answer.push(chunk).map_err(|_| match takes_more {
            true => BODY_TOO_LONG,
            false => AttemptError::NoRoom,
        })?;
    }
    Ok(answer)
}

/// Returns a connection to the pool after its response was read to the end.
pub fn keep_connection<P: Protocol>(
    gateway: &Gateway<P>,
    in_flight: &InFlightRequest<P>,
    connection: EndpointConnection,
    idle_timeout: Option<Duration>,
) {
    let now_us = gateway.clock.now_us();
    let addr = in_flight.choice.addr;
    if connection.is_open() {
        gateway
            .connections
            .return_idle(now_us, addr, connection, idle_timeout);
    }
}

/// Returns whether a connection can be reused after a response (`Some`), and the idle timeout that the endpoint states,
/// if any.
pub fn connection_reuse(headers: &HeaderMap, status: StatusCode) -> Option<Option<Duration>> {
    // After an error response the endpoint may not have read the whole request.
    if !status.is_success() || has_close_option(headers) {
        return None;
    }
    Some(idle_timeout(headers))
}

fn has_close_option(headers: &HeaderMap) -> bool {
    let values = headers.get_all(hyper::header::CONNECTION).iter();
    let mut options = values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    options.any(|o| o.trim().eq_ignore_ascii_case("close"))
}

fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parameters = value.split(',').map(str::trim);
    let seconds = parameters.find_map(|p| p.strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}

/// Removes hop-by-hop headers, including those that `Connection` names.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|w| w.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        hyper::header::CONNECTION,
        hyper::header::TRANSFER_ENCODING,
        hyper::header::CONTENT_LENGTH,
        hyper::header::TE,
        hyper::header::TRAILER,
        hyper::header::UPGRADE,
        hyper::header::EXPECT,
        hyper::header::PROXY_AUTHENTICATE,
        hyper::header::PROXY_AUTHORIZATION,
        HeaderName::from_static("proxy-connection"),
        KEEP_ALIVE,
    ] {
        headers.remove(name);
    }
}

/// Returns the text of a header, or `-`, for logs.
pub fn header_for_log(value: Option<&HeaderValue>) -> &str {
    value.and_then(|v| v.to_str().ok()).unwrap_or("-")
}
