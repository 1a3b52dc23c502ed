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
    balance::{balancer::Choice, cost::PlacementRequest},
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
const MAX_WHOLE_BYTES: usize = 16 << 20;
/// Longer than any request is held, for those whose endpoint is waited for until their end.
const UNLIMITED_PATIENCE: Duration = Duration::from_secs(86_400);
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
    pub ask: PlacementRequest,
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
        let work_out = || fingerprint(&self.method, &self.uri, organisation, &self.body);
        *self.fingerprint.get_or_init(work_out)
    }

    /// Returns until when an answer is waited for at most.
    pub fn until(&self) -> Until {
        Until {
            end_us: self.until_us,
            patient_until: Instant::now() + UNLIMITED_PATIENCE,
        }
    }

    /// Returns the caller's id, for logs.
    pub fn id(&self) -> &str {
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
pub struct Answered<P: Protocol> {
    /// The answer.
    pub response: Response<Incoming>,
    /// The connection that it comes through.
    pub connection: EndpointConnection,
    /// What was sent, until this is dropped.
    pub sent: Sent<P>,
    /// It says that the request was not run.
    pub not_executed: bool,
    /// It carries proof that it is the endpoint's own.
    pub is_signed: bool,
}

/// Until when an answer is waited for.
#[derive(Clone, Copy, Debug)]
pub struct Until {
    /// The request is over, by the gateway's clock: its caller counts suspensions of this machine, too.
    pub end_us: Micros,
    /// The endpoint has had its time, by the steady clock: what it sent during a suspension comes after it.
    pub patient_until: Instant,
}

impl Until {
    /// Waits for something; none if it has not come in time.
    pub async fn wait<F: Future>(self, clock: Clock, future: F) -> Option<F::Output> {
        let patient = time::timeout_at(self.patient_until, future);
        clock.timeout_at(self.end_us, patient).await?.ok()
    }
}

/// What came of an attempt that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failed {
    /// No byte reached the endpoint.
    NotSent(&'static str),
    /// The connection broke: the endpoint may have run the request, and may have ended.
    Broke(&'static str),
    /// The endpoint may have run the request.
    Unknown(&'static str),
}

/// A request that is at an endpoint; accounted for until dropped.
pub struct Sent<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    /// The endpoint.
    pub choice: Choice,
    /// When it was sent.
    pub at_us: Micros,
    /// The version of what was known then of the endpoint's limit.
    pub(super) limit_version: u32,
    /// The head of an answer came.
    is_answered: bool,
    first_seen: bool,
    counts_hold: bool,
    is_over: bool,
}

impl<P: Protocol> Sent<P> {
    fn new(gateway: Arc<Gateway<P>>, choice: Choice) -> Self {
        Self {
            at_us: gateway.clock.now_us(),
            limit_version: 0,
            gateway,
            choice,
            is_answered: false,
            first_seen: false,
            counts_hold: false,
            is_over: false,
        }
    }

    /// Notes the first event or the whole answer.
    pub fn first_event(&mut self) {
        if self.first_seen {
            return;
        }
        self.first_seen = true;
        let took_ms = self.age_ms();
        self.gateway
            .balancer()
            .record_first_event(&self.choice, took_ms);
    }

    /// Notes that the answer is whole; the time it took teaches how long slots are held.
    pub fn whole(&mut self) {
        self.counts_hold = true;
        let now_us = self.gateway.clock.now_us();
        let mut balancer = self.gateway.balancer();
        balancer.update_speed(self.choice.key, |s| s.record_outcome(now_us, false));
    }

    /// Notes a failure of the endpoint.
    pub fn failed(&self) {
        let now_us = self.gateway.clock.now_us();
        let mut balancer = self.gateway.balancer();
        balancer.update_speed(self.choice.key, |s| s.record_outcome(now_us, true));
    }

    /// Ends the account of it before it is dropped.
    pub fn end(&mut self) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        let waiting_tokens = if self.first_seen {
            0
        } else {
            self.choice.expected.uncached_tokens
        };
        let held_ms = self.counts_hold.then(|| self.age_ms());
        let mut balancer = self.gateway.balancer();
        balancer.end(self.choice.key, waiting_tokens, held_ms);
        if !self.is_answered {
            balancer.record_unanswered(self.choice.key, self.at_us);
        }
        drop(balancer);
        self.gateway.reconsider();
    }

    /// Returns the time since it was sent, in milliseconds.
    pub fn age_ms(&self) -> f64 {
        self.gateway.clock.now_us().saturating_sub(self.at_us) as f64 / 1e3
    }
}

impl<P: Protocol> Drop for Sent<P> {
    fn drop(&mut self) {
        self.end();
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
    until: Until,
) -> Result<Answered<P>, Failed> {
    let mut sent = Sent::new(gateway.clone(), choice);
    let mut connection = connect(gateway, job, &sent).await?;
    gateway
        .check_gate(sent.choice.key)
        .map_err(Failed::NotSent)?;
    if gateway.blocked_us(|| job.fingerprint()).is_some() {
        // Endpoints ended under it while it waited.
        return Err(Failed::NotSent(refuse::ENDS_ENDPOINTS));
    }
    sent.at_us = gateway.clock.now_us();
    sent.limit_version = endpoint_words::note_sent(gateway, sent.choice.key, sent.at_us);
    let request = forwarded(gateway, job, &sent.choice, resume_after);
    let answer = connection.sender.send_request(request);
    let response = match until.wait(gateway.clock, answer).await {
        Some(Ok(response)) => response,
        Some(Err(error)) if error.is_canceled() => return Err(Failed::NotSent("closed_before")),
        Some(Err(_)) => {
            sent.failed();
            return Err(Failed::Broke("connection_broke"));
        }
        None => {
            sent.failed();
            return Err(Failed::Unknown("no_answer"));
        }
    };
    sent.is_answered = true;
    let status = response.status();
    let head = gateway.protocol.read_answer(status, response.headers());
    endpoint_words::heard(gateway, &sent, &head);
    if head.request_id != job.head.request_id {
        // A surplus answer of an earlier request; ours may run all the same.
        sent.failed();
        return Err(Failed::Unknown("foreign_answer"));
    }
    if status != StatusCode::MISDIRECTED_REQUEST {
        endpoint_words::heard_limit(gateway, &sent, &head);
    }
    if let Some(word) = head.load {
        let now_us = gateway.clock.now_us();
        gateway
            .balancer()
            .load_view_mut()
            .record_load_report(now_us, sent.choice.key, word);
    }
    Ok(Answered {
        response,
        connection,
        sent,
        not_executed: head.not_executed,
        is_signed: head.is_signed,
    })
}

/// Gets a connection: a kept one only for a request that may run again.
async fn connect<P: Protocol>(
    gateway: &Gateway<P>,
    job: &Job,
    sent: &Sent<P>,
) -> Result<EndpointConnection, Failed> {
    let addr = sent.choice.addr;
    if job.is_repeatable()
        && let Some(kept) = gateway.connections.take(gateway.clock.now_us(), addr)
    {
        return Ok(kept);
    }
    gateway.metrics.connections_opened.inc();
    EndpointConnection::open(addr).await.map_err(|_| {
        let now_us = gateway.clock.now_us();
        let mut balancer = gateway.balancer();
        balancer.update_speed(sent.choice.key, |s| s.record_unreachable(now_us));
        Failed::NotSent("unreachable")
    })
}

fn forwarded<P: Protocol>(
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
pub struct Whole {
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
pub async fn collect<P: Protocol>(
    gateway: &Gateway<P>,
    answered: Answered<P>,
    until: Until,
) -> Result<Whole, Failed> {
    let Answered {
        response,
        connection,
        mut sent,
        ..
    } = answered;
    let (parts, body) = response.into_parts();
    let rests = may_rest(&parts.headers, parts.status);
    let body = Limited::new(body, MAX_WHOLE_BYTES).collect();
    let collected = match until.wait(gateway.clock, body).await {
        Some(Ok(collected)) => collected,
        Some(Err(_)) => {
            sent.failed();
            return Err(Failed::Broke("answer_broke_off"));
        }
        None => {
            sent.failed();
            return Err(Failed::Unknown("answer_broke_off"));
        }
    };
    if parts.status.is_success() {
        sent.first_event();
        sent.whole();
    }
    if let Some(closes_after) = rests {
        keep(gateway, &sent, connection, closes_after);
    }
    let mut headers = parts.headers;
    strip_connection_headers(&mut headers);
    Ok(Whole {
        status: parts.status,
        headers,
        body: collected.to_bytes(),
    })
}

/// Keeps a connection whose answer was read whole.
pub fn keep<P: Protocol>(
    gateway: &Gateway<P>,
    sent: &Sent<P>,
    connection: EndpointConnection,
    closes_after: Option<Duration>,
) {
    let now_us = gateway.clock.now_us();
    let addr = sent.choice.addr;
    if connection.is_open() {
        gateway
            .connections
            .keep(now_us, addr, connection, closes_after);
    }
}

/// Returns whether a connection may be kept after an answer, and for how long if that is said.
pub fn may_rest(headers: &HeaderMap, status: StatusCode) -> Option<Option<Duration>> {
    // After a failure the endpoint may not have read the whole request.
    if !status.is_success() || has_close(headers) {
        return None;
    }
    Some(closes_after(headers))
}

fn has_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(hyper::header::CONNECTION).iter();
    let mut words = values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    words.any(|w| w.trim().eq_ignore_ascii_case("close"))
}

fn closes_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut words = value.split(',').map(str::trim);
    let seconds = words.find_map(|w| w.strip_prefix("timeout="))?;
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
pub fn shown(value: Option<&HeaderValue>) -> &str {
    value.and_then(|v| v.to_str().ok()).unwrap_or("-")
}
