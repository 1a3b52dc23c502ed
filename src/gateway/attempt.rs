//! One attempt: a request sent to one endpoint, up to the head of its answer.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{HeaderName, HeaderValue},
};
use tokio::time::{self, Instant};

use crate::{
    balance::{balancer::Choice, cost::Ask},
    clock::Clock,
    endpoint::kept::EndpointConnection,
    gateway::{
        config::Route,
        endpoint_words,
        protocol::{CallHead, Forward, Protocol},
        refuse,
        state::Gateway,
    },
    limits::fingerprint::Fingerprint,
    prelude::{Micros, Name},
};

/// The longest whole answer that is taken.
const MAX_BUFFERED_BYTES: usize = 16 << 20;
/// Longer than any request is held, for those whose endpoint is waited for until their end.
const NO_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(86_400);
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A request as it was taken from its caller.
pub struct Job {
    /// Its route.
    pub route: Arc<Route>,
    /// What the caller said of it.
    pub head: CallHead,
    /// Its method.
    pub method: Method,
    /// Its path and query, as they came.
    pub uri: Uri,
    /// Its headers, without those of one connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The caller's organisation.
    pub organisation: Option<Name>,
    /// What the balancer is asked.
    pub placement_request: Ask,
    /// When the caller or the route gives up.
    pub until_us: Micros,
    /// What it is known by when it comes again, once somebody asked.
    pub fingerprint: OnceLock<Fingerprint>,
}

impl Job {
    /// Returns whether it may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.route.kind.is_repeatable()
    }

    /// Returns what it is known by when it comes again. Worked out when first asked for: most requests
    /// never need it.
    pub fn fingerprint(&self) -> Fingerprint {
        let organisation = self.organisation.as_deref();
        let compute = || fingerprint(&self.method, &self.uri, organisation, &self.body);
        *self.fingerprint.get_or_init(compute)
    }

    /// Returns until when an answer is waited for at most.
    pub fn deadline(&self) -> AttemptDeadline {
        AttemptDeadline {
            request_end_us: self.until_us,
            attempt_end: Instant::now() + NO_ATTEMPT_TIMEOUT,
        }
    }

    /// Returns the caller's id, for logs.
    pub fn request_id(&self) -> &str {
        let id = self.head.request_id.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }
}

/// Returns what a request is known by when it comes again.
pub fn fingerprint(
    method: &Method,
    uri: &Uri,
    organisation: Option<&str>,
    body: &[u8],
) -> Fingerprint {
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    Fingerprint::of(method.as_str(), path, organisation, body)
}

/// An endpoint's answer of which the head has come.
pub struct EndpointResponse<P: Protocol> {
    /// The answer.
    pub response: Response<Incoming>,
    /// The connection that it comes through.
    pub connection: EndpointConnection,
    /// What was sent, until this is dropped.
    pub in_flight: InFlightRequest<P>,
    /// It says that the request was not run.
    pub not_executed: bool,
    /// It carries proof that it is the endpoint's own.
    pub is_signed: bool,
}

/// Until when an answer is waited for.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadline {
    /// The request is over, by the gateway's clock: its caller counts suspensions of this machine, too.
    pub request_end_us: Micros,
    /// The endpoint has had its time, by the steady clock: what it sent during a suspension comes after it.
    pub attempt_end: Instant,
}

impl AttemptDeadline {
    /// Waits for something; none if it has not come in time.
    pub async fn wait<F: Future>(self, clock: Clock, future: F) -> Option<F::Output> {
        let answer_in_time = time::timeout_at(self.attempt_end, future);
        clock
            .timeout_at(self.request_end_us, answer_in_time)
            .await?
            .ok()
    }
}

/// What came of an attempt that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// No byte reached the endpoint.
    NotSent(&'static str),
    /// The connection broke: the endpoint may have run the request, and may have ended.
    ConnectionLost(&'static str),
    /// The endpoint may have run the request.
    Unknown(&'static str),
}

/// A request that is at an endpoint; accounted for until dropped.
pub struct InFlightRequest<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    /// The endpoint.
    pub choice: Choice,
    /// When it was sent.
    pub at_us: Micros,
    /// The version of what was known then of the endpoint's limit.
    pub(super) limit_version: u32,
    /// The head of an answer came.
    has_response_head: bool,
    has_first_event: bool,
    records_hold_time: bool,
    is_finished: bool,
}

impl<P: Protocol> InFlightRequest<P> {
    fn new(gateway: Arc<Gateway<P>>, choice: Choice) -> Self {
        Self {
            at_us: gateway.clock.now_us(),
            limit_version: 0,
            gateway,
            choice,
            has_response_head: false,
            has_first_event: false,
            records_hold_time: false,
            is_finished: false,
        }
    }

    /// Notes the first event or the whole answer.
    pub fn note_first_event(&mut self) {
        if self.has_first_event {
            return;
        }
        self.has_first_event = true;
        let took_ms = self.age_ms();
        self.gateway.balancer().first_event(&self.choice, took_ms);
    }

    /// Notes that the answer is whole; the time it took teaches how long slots are held.
    pub fn note_complete(&mut self) {
        self.records_hold_time = true;
        let now_us = self.gateway.clock.now_us();
        let mut balancer = self.gateway.balancer();
        balancer.learn(self.choice.key, |s| s.ended(now_us, false));
    }

    /// Notes a failure of the endpoint.
    pub fn note_failure(&self) {
        let now_us = self.gateway.clock.now_us();
        let mut balancer = self.gateway.balancer();
        balancer.learn(self.choice.key, |s| s.ended(now_us, true));
    }

    /// Ends the account of it before it is dropped.
    pub fn finish(&mut self) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
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
            balancer.note_unanswered(self.choice.key, self.at_us);
        }
        drop(balancer);
        self.gateway.reconsider();
    }

    /// Returns the time since it was sent, in milliseconds.
    pub fn age_ms(&self) -> f64 {
        self.gateway.clock.now_us().saturating_sub(self.at_us) as f64 / 1e3
    }
}

impl<P: Protocol> Drop for InFlightRequest<P> {
    fn drop(&mut self) {
        self.finish();
    }
}

/// Sends a job to an endpoint and waits until `until` for the head of its answer.
///
/// # Errors
/// Says whether the request may have run.
pub async fn send<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    job: &Job,
    choice: Choice,
    resume_after: Option<u64>,
    until: AttemptDeadline,
) -> Result<EndpointResponse<P>, AttemptError> {
    let mut in_flight = InFlightRequest::new(gateway.clone(), choice);
    let mut connection = connect(gateway, job, &in_flight).await?;
    gateway
        .check_before_send(in_flight.choice.key)
        .map_err(AttemptError::NotSent)?;
    if gateway.blocked_us(|| job.fingerprint()).is_some() {
        // Endpoints ended under it while it waited.
        return Err(AttemptError::NotSent(refuse::ENDS_ENDPOINTS));
    }
    in_flight.at_us = gateway.clock.now_us();
    in_flight.limit_version =
        endpoint_words::note_sent(gateway, in_flight.choice.key, in_flight.at_us);
    let request = build_request(gateway, job, &in_flight.choice, resume_after);
    let answer = connection.sender.send_request(request);
    let response = match until.wait(gateway.clock, answer).await {
        Some(Ok(response)) => response,
        Some(Err(e)) if e.is_canceled() => return Err(AttemptError::NotSent("closed_before")),
        Some(Err(_)) => {
            in_flight.note_failure();
            return Err(AttemptError::ConnectionLost("connection_broke"));
        }
        None => {
            in_flight.note_failure();
            return Err(AttemptError::Unknown("no_answer"));
        }
    };
    in_flight.has_response_head = true;
    let status = response.status();
    let head = gateway.protocol.read_answer(status, response.headers());
    endpoint_words::heard(gateway, &in_flight, &head);
    if head.request_id != job.head.request_id {
        // A surplus answer of an earlier request; ours may run all the same.
        in_flight.note_failure();
        return Err(AttemptError::Unknown("foreign_answer"));
    }
    if status != StatusCode::MISDIRECTED_REQUEST {
        endpoint_words::heard_limit(gateway, &in_flight, &head);
    }
    if let Some(report) = head.load {
        let now_us = gateway.clock.now_us();
        gateway
            .balancer()
            .picture_mut()
            .report(now_us, in_flight.choice.key, report);
    }
    Ok(EndpointResponse {
        response,
        connection,
        in_flight,
        not_executed: head.not_executed,
        is_signed: head.is_signed,
    })
}

/// Gets a connection: a kept one only for a request that may run again.
async fn connect<P: Protocol>(
    gateway: &Gateway<P>,
    job: &Job,
    in_flight: &InFlightRequest<P>,
) -> Result<EndpointConnection, AttemptError> {
    let addr = in_flight.choice.addr;
    if job.is_repeatable()
        && let Some(kept) = gateway.connections.take(gateway.clock.now_us(), addr)
    {
        return Ok(kept);
    }
    gateway.metrics.connections_opened.inc();
    EndpointConnection::open(addr).await.map_err(|_| {
        let now_us = gateway.clock.now_us();
        let mut balancer = gateway.balancer();
        balancer.learn(in_flight.choice.key, |s| s.unreachable(now_us));
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

/// A whole answer.
pub struct BufferedResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those of one connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Reads the rest of an answer until `until`; its connection is kept if it can be.
///
/// # Errors
/// The answer broke off, or did not come in time: the request may have run.
pub async fn buffer_response<P: Protocol>(
    gateway: &Gateway<P>,
    answered: EndpointResponse<P>,
    until: AttemptDeadline,
) -> Result<BufferedResponse, AttemptError> {
    let EndpointResponse {
        response,
        connection,
        mut in_flight,
        ..
    } = answered;
    let (parts, body) = response.into_parts();
    let reuse = connection_reuse(&parts.headers, parts.status);
    let body = Limited::new(body, MAX_BUFFERED_BYTES).collect();
    let collected = match until.wait(gateway.clock, body).await {
        Some(Ok(collected)) => collected,
        Some(Err(_)) => {
            in_flight.note_failure();
            return Err(AttemptError::ConnectionLost("answer_broke_off"));
        }
        None => {
            in_flight.note_failure();
            return Err(AttemptError::Unknown("answer_broke_off"));
        }
    };
    if parts.status.is_success() {
        in_flight.note_first_event();
        in_flight.note_complete();
    }
    if let Some(idle_timeout) = reuse {
        keep_connection(gateway, &in_flight, connection, idle_timeout);
    }
    let mut headers = parts.headers;
    strip_connection_headers(&mut headers);
    Ok(BufferedResponse {
        status: parts.status,
        headers,
        body: collected.to_bytes(),
    })
}

/// Keeps a connection whose answer was read whole.
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
            .keep(now_us, addr, connection, idle_timeout);
    }
}

/// Returns whether a connection may be kept after an answer, and for how long if that is said.
pub fn connection_reuse(headers: &HeaderMap, status: StatusCode) -> Option<Option<Duration>> {
    // After a failure the endpoint may not have read the whole request.
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

/// Removes the headers that concern one connection only.
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

/// Returns a header's text for logs.
pub fn header_for_log(value: Option<&HeaderValue>) -> &str {
    value.and_then(|v| v.to_str().ok()).unwrap_or("-")
}
