//! Runs one request: checks it, places it, sends it, and gives it one final answer.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HOST, HeaderValue},
};
use rand::RngExt;
use tokio::time::Instant;

use crate::{
    balance::{
        balancer::{Choice, Placement},
        cost::PlacementRequest,
        load::EndpointKey,
        regions::AllowedRegions,
    },
    entry::{
        answer::{Body, full},
        refusal::Refusal,
    },
    gateway::{
        admission::{
            ANSWER_MARGIN_US, RequestTimes, acquire_quota, find_organisation, find_route,
            placement_request, read_body, time_budget_us,
        },
        attempt::{self, AttemptDeadline, AttemptError, BufferedResponse, EndpointResponse, Job},
        crash_check,
        metrics::Outcome,
        protocol::{CallHead, Protocol},
        quota, refuse,
        report::{Trace, log_answer, note_refusal},
        send_check::{ENDPOINT_EVACUATED, ENDPOINT_LEFT, ENDPOINT_RESTS},
        state::Gateway,
        stream::Relay,
    },
    limits::fingerprint::Fingerprint,
    prelude::{Micros, Rank},
};

/// An answer of a request that may run again is given up after this many times its target, if
/// another endpoint can be asked.
const PATIENCE_TARGETS: f64 = 1.5;
/// The same for streams: under load a first event that is late is on its way, and what was read of
/// the prompt would be read again.
const STREAM_PATIENCE_TARGETS: f64 = 3.0;
/// The rank at which a second attempt queues.
const RETRY_RANK: Rank = 2;
/// And not before this many times what was expected of it.
const PATIENCE_EXPECTED: f64 = 4.0;
const PATIENCE_MIN_MS: f64 = 250.0;
/// Endpoints that refuse a request unrun are passed over this many times.
const MAX_NOT_RUN: usize = 3;
/// What has been refused comes back spread over half of the time again.
const RETRY_SPREAD: f64 = 0.5;

/// Answers one request.
pub async fn answer<P: Protocol>(
    gateway: Arc<Gateway<P>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let arrived_us = gateway.clock.now_us();
    let head = gateway.protocol.read_call(request.headers());
    let request_id = head.request_id.clone();
    let mut trace = Trace {
        deadline_ms: head.deadline_ms,
        ..Trace::default()
    };
    let outcome = take(&gateway, request, head, arrived_us, &mut trace).await;
    let mut response = match outcome {
        Ok(response) => response,
        Err(refusal) => {
            trace.reason = trace.reason.or(Some(refusal.reason));
            note_refusal(&gateway, &trace, &refusal, request_id.as_ref(), arrived_us);
            let spread = spread(refusal);
            refuse::response(&gateway.protocol, &spread, request_id.as_ref())
        }
    };
    if gateway.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn spread(mut refusal: Refusal) -> Refusal {
    if let Some(ms) = refusal.retry_after_ms {
        let factor = 1.0 + rand::rng().random_range(0.0..RETRY_SPREAD);
        refusal.retry_after_ms = Some((f64::from(ms) * factor) as u32);
    }
    refusal
}

async fn take<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    request: Request<Incoming>,
    head: CallHead,
    arrived_us: Micros,
    trace: &mut Trace,
) -> Result<Response<Body>, Refusal> {
    gateway.config_settled().await;
    let table = gateway.config.table();
    let table = table.ok_or_else(|| refuse::not_ready("no_configuration"))?;
    let (parts, body) = request.into_parts();
    let host = parts.headers.get(HOST).and_then(|h| h.to_str().ok());
    let route = find_route(gateway, &table, host, parts.uri.path())?;
    trace.route = Some(route.name.clone());
    let organisation = find_organisation(gateway, &table, &route, &head)?;
    let limits = table.config().caller_limits;
    let body = read_body(&parts.headers, body, limits.max_body_bytes).await?;
    let tokens = head.tokens.map(|t| t.total());
    let name = organisation.as_ref().map(|o| o.name.clone());
    let time_budget_us = time_budget_us(&route, &head);
    trace.organisation.clone_from(&name);
    let fingerprint = OnceLock::new();
    refuse_blocked(gateway, trace, || {
        let organisation = name.as_deref();
        let work_out = || attempt::fingerprint(&parts.method, &parts.uri, organisation, &body);
        *fingerprint.get_or_init(work_out)
    })?;
    let limited = organisation.as_deref();
    let grant = acquire_quota(
        gateway,
        limited,
        tokens,
        route.priority,
        time_budget_us,
        trace,
    )
    .await?;
    let draw = rand::rng().random_range(0.0..1.0);
    let Some(service) = route.pick_target(draw).cloned() else {
        return Err(refuse::not_run("no_service", 1_000));
    };
    gateway.count_request(&service);
    let engine = table.service(&service).and_then(|s| s.engine);
    let tokens_per_event = engine.map_or(1, |e| e.tokens_per_event);
    let until_us = arrived_us + time_budget_us;
    let patience_us = head.deadline_ms.map(|ms| ms.saturating_mul(1_000));
    let waited_us = patience_us.map_or(0, |us| gateway.waited_us(&route.name, us));
    trace.waited_ms = waited_us / 1_000;
    let allowed_regions = AllowedRegions::intersection([
        route.allowed_regions.as_deref(),
        organisation
            .as_ref()
            .and_then(|o| o.allowed_regions.as_deref()),
    ]);
    let mut headers = parts.headers;
    attempt::strip_connection_headers(&mut headers);
    let job = Job {
        placement_request: placement_request(
            &route,
            &head,
            service,
            tokens_per_event,
            RequestTimes {
                arrived_us,
                deadline_us: until_us,
                waited_us,
            },
            allowed_regions,
        ),
        route,
        head,
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        organisation: name.clone(),
        until_us,
        fingerprint,
    };
    let result = Run::new(gateway.clone(), job).until_answered(trace).await;
    let has_run = result
        .as_ref()
        .err()
        .is_none_or(|r| r.retry_after_ms.is_none());
    if let Some(grant) = grant.filter(|_| !has_run) {
        quota::release(gateway, grant).await;
    }
    result
}

/// Refuses a request under which endpoints ended.
fn refuse_blocked<P: Protocol>(
    gateway: &Gateway<P>,
    trace: &mut Trace,
    fingerprint: impl Fn() -> Fingerprint,
) -> Result<(), Refusal> {
    let Some(blocked_us) = gateway.blocked_us(&fingerprint) else {
        return Ok(());
    };
    trace.fingerprint = Some(fingerprint());
    gateway.metrics.requests_blocked.inc();
    Err(refuse::blocked(blocked_us))
}

/// What came of sending a request to one endpoint.
enum Tried {
    /// The final answer.
    Answer(Response<Body>),
    /// The endpoint did not run it; whether it was sent there at all.
    NotRun { arrived: bool, reason: &'static str },
    /// The endpoint may have run it, or failed to.
    Failed { refusal: Box<Refusal> },
    /// The endpoint ran it and answered with a failure.
    Error(BufferedResponse),
}

/// A request under way.
pub struct Run<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    job: Arc<Job>,
    /// What the balancer is asked; an attempt after another has its own time to wait.
    ask: PlacementRequest,
    tried: Vec<EndpointKey>,
    runs: u32,
    not_run: usize,
}

impl<P: Protocol> Run<P> {
    fn new(gateway: Arc<Gateway<P>>, job: Job) -> Self {
        Self {
            gateway,
            ask: job.placement_request.clone(),
            job: Arc::new(job),
            tried: Vec::new(),
            runs: 0,
            not_run: 0,
        }
    }

    /// Runs the request until it has an answer. Where nothing came of sending it again, an endpoint's own
    /// answer is passed on, though it is a failure: the caller learns what was said, not that nothing was.
    async fn until_answered(mut self, trace: &mut Trace) -> Result<Response<Body>, Refusal> {
        let mut made = None;
        match self.try_endpoints(trace, &mut made).await {
            Ok(response) => Ok(response),
            Err(refusal) => match made {
                Some(whole) => Ok(self.pass_on(whole, trace)),
                None => Err(refusal),
            },
        }
    }

    /// Tries endpoints one after the other; a failure that one answered with is left in `made`.
    async fn try_endpoints(
        &mut self,
        trace: &mut Trace,
        made: &mut Option<BufferedResponse>,
    ) -> Result<Response<Body>, Refusal> {
        loop {
            if trace.attempts > 0 {
                self.ask.arrived_us = self.gateway.clock.now_us();
                // Under load a second attempt would make the first ones of others late.
                self.ask.rank = self.ask.rank.max(RETRY_RANK);
            }
            let choice = self.place().await?;
            trace.endpoint = Some(choice.id.clone());
            trace.attempts += 1;
            trace.expected = Some(choice.expected);
            self.tried.push(choice.key);
            match self.try_endpoint(choice, trace).await {
                Tried::Answer(response) => return Ok(response),
                Tried::NotRun { arrived, reason } => {
                    trace.reason = Some(reason);
                    // What the gate held back was nowhere, and each endpoint does so once.
                    let is_held_back =
                        [ENDPOINT_EVACUATED, ENDPOINT_LEFT, ENDPOINT_RESTS].contains(&reason);
                    self.not_run += usize::from(!is_held_back);
                    self.may_go_on(arrived, reason)?;
                }
                Tried::Failed { refusal } => {
                    trace.reason = Some(refusal.reason);
                    trace.fingerprint = Some(self.job.fingerprint());
                    self.runs += 1;
                    if !self.may_run_again() {
                        return Err(*refusal);
                    }
                }
                Tried::Error(whole) => {
                    trace.reason = Some("endpoint_error");
                    self.runs += 1;
                    if !self.may_run_again() {
                        return Ok(self.pass_on(whole, trace));
                    }
                    *made = Some(whole);
                }
            }
        }
    }

    /// Waits for an endpoint; refuses once the request's time is over.
    async fn place(&self) -> Result<Choice, Refusal> {
        let placing = self.gateway.place(&self.ask, &self.tried);
        let clock = self.gateway.clock;
        match clock.timeout_at(self.job.until_us, placing).await {
            Some(Placement::Send(choice)) => Ok(choice),
            Some(Placement::Refuse {
                reason,
                retry_after_ms,
            }) if self.runs == 0 => Err(refuse::not_run(reason, retry_after_ms)),
            Some(_) | None if self.runs == 0 => Err(refuse::not_run("no_time_left", 500)),
            // An earlier attempt may have run.
            _ => Err(refuse::unknown("no_other_endpoint")),
        }
    }

    /// Decides whether a request that was not run may be sent elsewhere.
    fn may_go_on(&self, arrived: bool, reason: &'static str) -> Result<(), Refusal> {
        let may = self.not_run <= MAX_NOT_RUN
            && self.has_time()
            && reason != refuse::ENDS_ENDPOINTS
            && (!arrived || self.gateway.take_retry(&self.job.placement_request.service));
        match may {
            true => Ok(()),
            false if self.runs == 0 && reason == refuse::ENDS_ENDPOINTS => {
                Err(refuse::blocked(self.blocked_us().unwrap_or(0)))
            }
            false if self.runs == 0 => {
                let back_ms = self
                    .gateway
                    .retry_after_rejections_ms(&self.job.placement_request.service);
                Err(refuse::not_run(reason, back_ms))
            }
            false => Err(refuse::unknown(reason)),
        }
    }

    fn may_run_again(&self) -> bool {
        self.job.is_repeatable()
            && self.runs < self.job.route.max_attempts
            && self.has_time()
            && self.blocked_us().is_none()
            && self.gateway.take_retry(&self.job.placement_request.service)
    }

    /// Returns for how much longer the request is to reach no endpoint, since those that ran it ended.
    fn blocked_us(&self) -> Option<Micros> {
        self.gateway.blocked_us(|| self.job.fingerprint())
    }

    fn has_time(&self) -> bool {
        self.gateway.clock.now_us() + ANSWER_MARGIN_US < self.job.until_us
    }

    async fn try_endpoint(&self, choice: Choice, trace: &Trace) -> Tried {
        let until = self.attempt_until(&choice);
        let asked = choice.clone();
        let sent = attempt::send(&self.gateway, &self.job, choice, None, until).await;
        let answered = match sent {
            Ok(answered) => answered,
            Err(failed) => return self.failed(failed, asked).await,
        };
        if answered.not_executed || answered.response.status() == StatusCode::MISDIRECTED_REQUEST {
            return self.refused_there(answered);
        }
        let status = answered.response.status();
        if status.is_success() && !answered.is_signed {
            answered.in_flight.note_failure();
            return self
                .failed(AttemptError::Unknown("unsigned_answer"), asked)
                .await;
        }
        if status.is_success() && self.job.route.kind.is_stream() {
            return self.start_stream(answered, trace).await;
        }
        match attempt::buffer_response(&self.gateway, answered, until).await {
            Ok(whole) if whole.status.is_server_error() => Tried::Error(whole),
            Ok(whole) => {
                if whole.status.is_success() {
                    self.gateway
                        .note_request_completed(|| self.job.fingerprint());
                }
                Tried::Answer(self.pass_on(whole, trace))
            }
            Err(failed) => self.failed(failed, asked).await,
        }
    }

    /// An attempt that may be repeated is given up earlier than the request.
    fn attempt_until(&self, choice: &Choice) -> AttemptDeadline {
        let mut until = self.job.deadline();
        let again = self.job.is_repeatable() && self.runs + 1 < self.job.route.max_attempts;
        if !again
            || self
                .gateway
                .retries_left(&self.job.placement_request.service)
                < 1.0
        {
            return until;
        }
        let target_ms = self.job.placement_request.target_us as f64 / 1e3;
        let targets = if self.job.route.kind.is_stream() {
            STREAM_PATIENCE_TARGETS
        } else {
            PATIENCE_TARGETS
        };
        let patience_ms = (target_ms * targets)
            .max(choice.expected.first_ms * PATIENCE_EXPECTED)
            .max(PATIENCE_MIN_MS);
        let patience = Instant::now() + Duration::from_secs_f64(patience_ms / 1e3);
        until.attempt_end = until.attempt_end.min(patience);
        until
    }

    async fn failed(&self, failed: AttemptError, asked: Choice) -> Tried {
        if matches!(failed, AttemptError::ConnectionLost(_)) {
            let broke_before = self.runs > 0;
            crash_check::on_connection_lost(&self.gateway, &self.job, asked, broke_before).await;
        }
        match failed {
            AttemptError::NotSent(reason) => Tried::NotRun {
                arrived: false,
                reason,
            },
            AttemptError::ConnectionLost(reason) | AttemptError::Unknown(reason) => {
                let over = self.gateway.clock.now_us() >= self.job.until_us;
                let refusal = if over {
                    refuse::timed_out()
                } else {
                    refuse::unknown(reason)
                };
                Tried::Failed {
                    refusal: Box::new(refusal),
                }
            }
        }
    }

    fn refused_there(&self, answered: EndpointResponse<P>) -> Tried {
        let reason = match answered.response.status() {
            StatusCode::MISDIRECTED_REQUEST => {
                let key = answered.in_flight.choice.key;
                self.gateway.balancer().mark_endpoint_replaced(key);
                "another_endpoint_there"
            }
            StatusCode::SERVICE_UNAVAILABLE => "endpoint_full",
            _ => "endpoint_refused",
        };
        Tried::NotRun {
            arrived: true,
            reason,
        }
    }

    async fn start_stream(&self, answered: EndpointResponse<P>, trace: &Trace) -> Tried {
        let asked = answered.in_flight.choice.clone();
        let mut relay = Relay::new(
            self.gateway.clone(),
            self.job.clone(),
            answered,
            self.tried.clone(),
            self.runs,
            trace.clone(),
        );
        match relay.wait_first_event(self.first_event_until(&relay)).await {
            Ok(head) => Tried::Answer(relay.into_response(head)),
            Err(failed) => {
                // It is not at the endpoint any more.
                drop(relay);
                self.failed(failed, asked).await
            }
        }
    }

    fn first_event_until(&self, relay: &Relay<P>) -> AttemptDeadline {
        self.attempt_until(relay.choice())
    }

    fn pass_on(&self, whole: BufferedResponse, trace: &Trace) -> Response<Body> {
        let outcome = if whole.status.is_success() {
            Outcome::Served
        } else {
            Outcome::EndpointError
        };
        let gateway = &self.gateway;
        gateway
            .metrics
            .record_outcome(&self.job.route.name, outcome);
        let took_us = gateway.clock.now_us() - self.job.placement_request.arrived_us;
        gateway.metrics.first_seconds.observe(took_us as f64 / 1e6);
        log_answer(gateway, &self.job, outcome, whole.status, took_us, trace);
        let mut response = Response::new(full(whole.body));
        *response.status_mut() = whole.status;
        *response.headers_mut() = whole.headers;
        response
    }
}
