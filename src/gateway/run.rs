//! Runs one request: checks it, places it at an endpoint, sends it, and returns one final answer.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HOST, HeaderValue},
    http::request::Parts,
};
use rand::RngExt;
use tokio::time::Instant;

use crate::{
    balance::{
        balancer::{BUSY, Choice, Placement},
        cost::PlacementRequest,
        load::EndpointKey,
        prefixes::PromptPart,
        regions::AllowedRegions,
    },
    caller_body::CallerBody,
    entry::{answer::Body, refusal::Refusal},
    gateway::{
        admission::{
            ANSWER_MARGIN_US, RequestTimes, acquire_quota, find_organisation, find_route,
            placement_request, read_body, time_budget_us,
        },
        attempt::{self, AttemptDeadline, AttemptError, BufferedResponse, EndpointResponse, Job},
        blocks::{Arrival, Block},
        caller_buffer::{CallerConnection, CallerHandle, HeldAccount},
        crash_check::{self, LostRun},
        metrics::Outcome,
        protocol::{CallHead, Protocol},
        quota, refuse,
        report::{Trace, log_answer, note_refusal},
        resumption,
        send_check::NOT_SENT_REASONS,
        shares,
        state::Gateway,
        stream::Relay,
        unanswered::{PendingAnswer, Stage},
    },
    limits::{fingerprint::Fingerprint, quota::Grant},
    prelude::{Micros, Rank},
};

/// An attempt of a repeatable request is abandoned after this many times its latency target, if it can be retried.
const ATTEMPT_TIMEOUT_TARGETS: f64 = 1.5;
/// The same for streams. It is longer because under load a late first event is usually on its way, and a retry would
/// process the prompt again.
const STREAM_ATTEMPT_TIMEOUT_TARGETS: f64 = 3.0;
/// The most urgent rank at which a retry is queued.
const RETRY_RANK: Rank = 2;
/// An attempt is never abandoned before this many times the expected time to its first event.
const ATTEMPT_TIMEOUT_EXPECTED: f64 = 4.0;
/// Minimum time before an attempt is abandoned, in milliseconds.
const MIN_ATTEMPT_TIMEOUT_MS: f64 = 250.0;
/// How often a request is sent elsewhere after an endpoint refused it without running it.
const MAX_NOT_RUN: usize = 3;
/// Random jitter of Retry-After, as a share of it, so that refused callers do not return all at once.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// Answers one request.
pub async fn answer<P: Protocol>(
    gateway: Arc<Gateway<P>>,
    request: Request<Incoming>,
    caller: CallerConnection,
) -> Response<Body> {
    let arrived_us = gateway.clock.now_us();
    let head = gateway.protocol.read_call(request.headers());
    let request_id = head.request_id.clone();
    let mut trace = Trace {
        deadline_ms: head.deadline_ms,
        ..Trace::default()
    };
    let mut pending = PendingAnswer::new(gateway.clone(), &caller, request_id.clone(), arrived_us);
    let cut = caller.cut.clone();
    let (parts, incoming) = request.into_parts();
    let mut body = CallerBody::new(&parts.headers, incoming);
    let call = IncomingCall {
        parts,
        head,
        arrived_us,
        caller,
    };
    let result = handle(&gateway, call, &mut body, &mut pending, &mut trace).await;
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => {
            trace.reason = trace.reason.or(Some(refusal.reason));
            note_refusal(&gateway, &trace, &refusal, request_id.as_ref(), arrived_us);
            // A return place is spread over the callers already.
            let refusal = match trace.share.is_some() || trace.has_return_place {
                true => refusal,
                false => add_jitter(refusal),
            };
            let mut response = refuse::response(&gateway.protocol, &refusal, request_id.as_ref());
            body.discard_rest(&mut response, cut);
            response
        }
    };
    if gateway.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    pending.watch(response)
}

/// A request whose body has not been read.
struct IncomingCall {
    parts: Parts,
    head: CallHead,
    arrived_us: Micros,
    caller: CallerConnection,
}

/// Extends the Retry-After of a refusal by a random share.
fn add_jitter(mut refusal: Refusal) -> Refusal {
    if let Some(ms) = refusal.retry_after_ms {
        let factor = 1.0 + rand::rng().random_range(0.0..RETRY_AFTER_JITTER);
        refusal.retry_after_ms = Some((f64::from(ms) * factor) as u32);
    }
    refusal
}

/// Checks a request and runs it to its final answer.
async fn handle<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    call: IncomingCall,
    body: &mut CallerBody,
    pending: &mut PendingAnswer<P>,
    trace: &mut Trace,
) -> Result<Response<Body>, Refusal> {
    let IncomingCall {
        parts,
        head,
        arrived_us,
        caller,
    } = call;
    gateway.wait_for_fresh_config().await;
    let table = gateway.config.table();
    let table = table.ok_or_else(|| refuse::not_ready("no_configuration"))?;
    let host = parts.headers.get(HOST).and_then(|h| h.to_str().ok());
    let route = find_route(gateway, &table, host, parts.uri.path())?;
    trace.route = Some(route.name.clone());
    let organisation = find_organisation(gateway, &table, &route, &head)?;
    let limits = table.config().caller_limits;
    let time_budget_us = time_budget_us(&route, &head);
    let handle = CallerHandle {
        connection: caller.clone(),
        request_id: head.request_id.clone(),
        route: route.name.clone(),
    };
    let account = HeldAccount::open(&gateway.held_memory, handle);
    let reading = read_body(&parts.headers, body, limits.max_body_bytes, &account);
    let read = gateway
        .clock
        .timeout_at(arrived_us + time_budget_us, reading)
        .await;
    let body = read.unwrap_or_else(|| Err(refuse::body_too_slow()))?;
    trace.is_read = true;
    pending.set_stage(Stage::Running);
    let tokens = head.tokens.map(|t| t.total());
    let organisation_name = organisation.as_ref().map(|o| o.name.clone());
    trace.organisation.clone_from(&organisation_name);
    let fingerprint = OnceLock::new();
    let is_trial = refuse_blocked(gateway, trace, &head.parts, || {
        let organisation = organisation_name.as_deref();
        let compute = || attempt::fingerprint(&parts.method, &parts.uri, organisation, &body);
        *fingerprint.get_or_init(compute)
    })?;
    let draw = rand::rng().random_range(0.0..1.0);
    let destination =
        resumption::choose_destination(gateway, &route, &head, organisation_name.as_deref(), draw)
            .await?;
    let service = destination.service;
    let limited_organisation = organisation.as_deref();
    let grant = acquire_quota(
        gateway,
        limited_organisation,
        tokens,
        &route,
        time_budget_us,
        trace,
    )
    .await?;
    gateway.count_request(&service);
    let configured_service = table.service(&service);
    let engine = configured_service.and_then(|s| s.engine);
    let saves_connections = configured_service.is_some_and(|s| s.max_connections < u32::MAX);
    let tokens_per_event = engine.map_or(1, |e| e.tokens_per_event);
    let until_us = arrived_us + time_budget_us;
    let timeout_us = head.deadline_ms.map(|ms| ms.saturating_mul(1_000));
    let waited_us = timeout_us.map_or(0, |us| gateway.waited_us(&route.name, us));
    trace.waited_ms = waited_us / 1_000;
    let allowed_regions = AllowedRegions::intersection([
        route.allowed_regions.as_deref(),
        organisation
            .as_ref()
            .and_then(|o| o.allowed_regions.as_deref()),
    ]);
    let mut headers = parts.headers;
    attempt::strip_connection_headers(&mut headers);
    let mut placement_request = placement_request(
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
    );
    if let Some(version) = &destination.version {
        gateway.bind_to_version(&mut placement_request, version);
    }
    let admitted = shares::admit(
        gateway,
        organisation_name.as_deref(),
        &mut placement_request,
    );
    if let Err(refusal) = admitted {
        trace.share = Some(refusal);
        release_quota(gateway, grant).await;
        return Err(refuse::not_run(BUSY, refusal.retry_after_ms));
    }
    let job = Job {
        placement_request,
        route,
        head,
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        body_account: account,
        caller,
        organisation: organisation_name.clone(),
        saves_connections,
        until_us,
        carrier: OnceLock::new(),
        is_trial,
        fingerprint,
    };
    let run = Run::new(gateway.clone(), job);
    let job = run.job.clone();
    let mut result = run.run_to_answer(trace).await;
    let refusal = result.as_mut().err();
    shares::note_result(gateway, &job, refusal, trace);
    let may_have_run = result
        .as_ref()
        .err()
        .is_none_or(|r| r.retry_after_ms.is_none());
    if !may_have_run {
        release_quota(gateway, grant).await;
    }
    result
}

/// Returns the quota of a request that did not run.
async fn release_quota<P: Protocol>(gateway: &Arc<Gateway<P>>, grant: Option<Grant>) {
    if let Some(grant) = grant {
        quota::release(gateway, grant).await;
    }
}

/// Refuses a request that is blocked because endpoints crashed; returns whether one that is not refused is a trial.
fn refuse_blocked<P: Protocol>(
    gateway: &Gateway<P>,
    trace: &mut Trace,
    parts: &[PromptPart],
    fingerprint: impl Fn() -> Fingerprint,
) -> Result<bool, Refusal> {
    let block = match gateway.check_arrival(parts, &fingerprint) {
        Arrival::Admitted => return Ok(false),
        Arrival::Trial => return Ok(true),
        Arrival::Blocked(block) => block,
    };
    match block {
        Block::Request { .. } => trace.fingerprint = Some(fingerprint()),
        Block::Part(blocked) => trace.part = Some(blocked.part),
    }
    gateway.metrics.requests_blocked.inc();
    Err(refuse::blocked(block))
}

/// The outcome of an attempt to run a request at one endpoint.
enum AttemptOutcome {
    /// The final answer.
    Answer(Response<Body>),
    /// The endpoint did not run it. `was_sent` says whether it was sent there at all.
    NotRun {
        was_sent: bool,
        reason: &'static str,
    },
    /// The endpoint may have run it, but no usable answer arrived.
    Failed { refusal: Box<Refusal> },
    /// The endpoint ran it and answered with a server error.
    Error(BufferedResponse),
    /// The endpoint ran it, and running it again would not help.
    GivenUp { refusal: Box<Refusal> },
}

/// A request in flight.
pub struct Run<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    job: Arc<Job>,
    /// The request to the balancer. A retry has its own arrival time and rank.
    attempt_request: PlacementRequest,
    /// Endpoints chosen so far; they are not chosen again.
    tried: Vec<EndpointKey>,
    /// Number of attempts that an endpoint may have run.
    runs: u32,
    /// Number of attempts that an endpoint did not run, except those that the send check stopped.
    not_run: usize,
}

impl<P: Protocol> Run<P> {
    fn new(gateway: Arc<Gateway<P>>, job: Job) -> Self {
        Self {
            gateway,
            attempt_request: job.placement_request.clone(),
            job: Arc::new(job),
            tried: Vec::new(),
            runs: 0,
            not_run: 0,
        }
    }

    /// Runs the request to its final answer. If the retry after an endpoint's error answer fails, that answer is
    /// returned instead of a refusal: it tells the caller what went wrong.
    async fn run_to_answer(mut self, trace: &mut Trace) -> Result<Response<Body>, Refusal> {
        let mut error_response = None;
        match self.try_endpoints(trace, &mut error_response).await {
            Ok(response) => Ok(response),
            Err(refusal) => match error_response {
                Some(response) => Ok(self.deliver(response, trace)),
                None => Err(refusal),
            },
        }
    }

    /// Tries endpoints one after the other. The last error answer of an endpoint is stored in `error_response`.
    async fn try_endpoints(
        &mut self,
        trace: &mut Trace,
        error_response: &mut Option<BufferedResponse>,
    ) -> Result<Response<Body>, Refusal> {
        loop {
            if trace.attempts > 0 {
                self.attempt_request.arrived_us = self.gateway.clock.now_us();
                // Under load, retries at the original rank would delay the first attempts of other requests.
                self.attempt_request.rank = self.attempt_request.rank.max(RETRY_RANK);
            }
            let choice = self.place().await?;
            trace.endpoint = Some(choice.id.clone());
            trace.attempts += 1;
            trace.expected = Some(choice.expected);
            self.tried.push(choice.key);
            self.log_resumption(&choice);
            match self.try_endpoint(choice, trace).await {
                AttemptOutcome::Answer(response) => return Ok(response),
                AttemptOutcome::NotRun { was_sent, reason } => {
                    trace.reason = Some(reason);
                    // A request stopped by the send check was not sent, and each endpoint stops it only once.
                    let is_stopped = NOT_SENT_REASONS.contains(&reason);
                    self.not_run += usize::from(!is_stopped);
                    self.check_resend(was_sent, reason)?;
                }
                AttemptOutcome::Failed { refusal } => {
                    trace.reason = Some(refusal.reason);
                    trace.fingerprint = Some(self.job.fingerprint());
                    self.runs += 1;
                    if !self.may_run_again() {
                        return Err(*refusal);
                    }
                }
                AttemptOutcome::GivenUp { refusal } => {
                    trace.reason = Some(refusal.reason);
                    return Err(*refusal);
                }
                AttemptOutcome::Error(response) => {
                    trace.reason = Some("endpoint_error");
                    self.runs += 1;
                    if !self.may_run_again() {
                        return Ok(self.deliver(response, trace));
                    }
                    *error_response = Some(response);
                }
            }
        }
    }

    /// Logs that a stream which an earlier attempt of the caller began is sent on to an endpoint.
    fn log_resumption(&self, choice: &Choice) {
        let Some(after_event) = self.job.resumes_after() else {
            return;
        };
        self.gateway.metrics.streams_taken_up.inc();
        log::info!(
            target: "ryevalve::request",
            request_id = self.job.request_id(),
            resumes = attempt::header_for_log(self.job.head.resumes.as_ref()),
            after_event,
            endpoint = &*choice.id,
            version = &*choice.version;
            "stream_taken_up"
        );
    }

    /// Waits for a place at an endpoint; refuses once the request's time budget is spent.
    async fn place(&self) -> Result<Choice, Refusal> {
        let placing = self.gateway.place(&self.attempt_request, &self.tried);
        let clock = self.gateway.clock;
        match clock.timeout_at(self.job.until_us, placing).await {
            Some(Placement::Send(choice)) => Ok(choice),
            Some(Placement::Refuse {
                reason,
                retry_after_ms,
            }) if self.runs == 0 => Err(refuse::not_run(reason, retry_after_ms)),
            Some(_) | None if self.runs == 0 => Err(refuse::not_run("no_time_left", 500)),
            // An endpoint may have run the request in an earlier attempt.
            _ => Err(refuse::unknown("no_other_endpoint")),
        }
    }

    /// Returns an error if a request that was not run must not be sent to another endpoint.
    ///
    /// # Errors
    /// The refusal to return to the caller.
    fn check_resend(&self, was_sent: bool, reason: &'static str) -> Result<(), Refusal> {
        let may_resend = self.not_run <= MAX_NOT_RUN
            && self.has_time()
            && !Block::is_reason(reason)
            && (!was_sent || self.gateway.take_retry(&self.job.placement_request.service));
        match may_resend {
            true => Ok(()),
            false if self.runs == 0 && Block::is_reason(reason) => {
                let block = self.gateway.block_of(&self.job);
                Err(block.map_or_else(|| refuse::not_run(reason, 0), refuse::blocked))
            }
            false if self.runs == 0 => {
                let retry_after_ms = self
                    .gateway
                    .retry_after_rejections_ms(&self.job.placement_request.service);
                Err(refuse::not_run(reason, retry_after_ms))
            }
            false => Err(refuse::unknown(reason)),
        }
    }

    /// Returns whether a request that an endpoint may have run can be run again; takes a retry of the budget if so.
    fn may_run_again(&self) -> bool {
        self.job.is_repeatable()
            && !self.job.is_trial
            && self.runs < self.job.route.max_attempts
            && self.has_time()
            && self.gateway.block_of(&self.job).is_none()
            && self.gateway.take_retry(&self.job.placement_request.service)
    }

    fn has_time(&self) -> bool {
        self.gateway.clock.now_us() + ANSWER_MARGIN_US < self.job.until_us
    }

    async fn try_endpoint(&self, choice: Choice, trace: &Trace) -> AttemptOutcome {
        let deadline = self.attempt_deadline(&choice);
        let sent_to = choice.clone();
        let sent = attempt::send(&self.gateway, &self.job, choice, None, deadline).await;
        let endpoint_response = match sent {
            Ok(endpoint_response) => endpoint_response,
            Err(error) => return self.handle_failure(error, sent_to).await,
        };
        if endpoint_response.not_executed
            || endpoint_response.response.status() == StatusCode::MISDIRECTED_REQUEST
        {
            return self.handle_rejection(endpoint_response);
        }
        let status = endpoint_response.response.status();
        if status.is_success() && !endpoint_response.is_signed {
            endpoint_response.in_flight.note_failure();
            return self
                .handle_failure(AttemptError::Unknown("unsigned_answer"), sent_to)
                .await;
        }
        if status.is_success() && self.job.route.kind.is_stream() {
            return self.start_stream(endpoint_response, trace).await;
        }
        match attempt::buffer_response(&self.gateway, &self.job, endpoint_response, deadline).await
        {
            Ok(buffered) if buffered.status.is_server_error() => AttemptOutcome::Error(buffered),
            Ok(buffered) => {
                if buffered.status.is_success() {
                    self.gateway.note_request_completed(&self.job);
                }
                AttemptOutcome::Answer(self.deliver(buffered, trace))
            }
            Err(error) => self.handle_failure(error, sent_to).await,
        }
    }

    /// Returns when an attempt is abandoned: before the request's deadline if it can be retried.
    fn attempt_deadline(&self, choice: &Choice) -> AttemptDeadline {
        let mut deadline = self.job.deadline();
        let can_retry = self.job.is_repeatable() && self.runs + 1 < self.job.route.max_attempts;
        if !can_retry
            || self
                .gateway
                .retries_left(&self.job.placement_request.service)
                < 1.0
        {
            return deadline;
        }
        let target_ms = self.job.placement_request.target_us as f64 / 1e3;
        let timeout_targets = if self.job.route.kind.is_stream() {
            STREAM_ATTEMPT_TIMEOUT_TARGETS
        } else {
            ATTEMPT_TIMEOUT_TARGETS
        };
        let timeout_ms = (target_ms * timeout_targets)
            .max(choice.expected.first_ms * ATTEMPT_TIMEOUT_EXPECTED)
            .max(MIN_ATTEMPT_TIMEOUT_MS);
        let abandon_at = Instant::now() + Duration::from_secs_f64(timeout_ms / 1e3);
        deadline.attempt_end = deadline.attempt_end.min(abandon_at);
        deadline
    }

    /// Returns the outcome of a failed attempt; a lost connection starts a check of whether the endpoint crashed.
    async fn handle_failure(&self, error: AttemptError, sent_to: Choice) -> AttemptOutcome {
        if matches!(error, AttemptError::ConnectionLost(_)) {
            let lost = LostRun {
                choice: sent_to,
                lost_before: self.runs > 0,
                answering_us: None,
            };
            crash_check::on_connection_lost(&self.gateway, &self.job, lost).await;
        }
        match error {
            AttemptError::NotSent(reason) => AttemptOutcome::NotRun {
                was_sent: false,
                reason,
            },
            AttemptError::NoRoom => AttemptOutcome::GivenUp {
                refusal: Box::new(refuse::unknown(refuse::NO_MEMORY)),
            },
            AttemptError::ConnectionLost(reason) | AttemptError::Unknown(reason) => {
                let is_timed_out = self.gateway.clock.now_us() >= self.job.until_us;
                let refusal = if is_timed_out {
                    refuse::timed_out()
                } else {
                    refuse::unknown(reason)
                };
                AttemptOutcome::Failed {
                    refusal: Box::new(refusal),
                }
            }
        }
    }

    /// Returns the outcome of an attempt that the endpoint rejected without running the request.
    fn handle_rejection(&self, mut endpoint_response: EndpointResponse<P>) -> AttemptOutcome {
        let reason = match endpoint_response.response.status() {
            StatusCode::MISDIRECTED_REQUEST => {
                let key = endpoint_response.in_flight.choice.key;
                self.gateway.balancer().mark_endpoint_replaced(key);
                "another_endpoint_there"
            }
            StatusCode::SERVICE_UNAVAILABLE => {
                endpoint_response.in_flight.note_refused();
                "endpoint_full"
            }
            _ => "endpoint_refused",
        };
        AttemptOutcome::NotRun {
            was_sent: true,
            reason,
        }
    }

    /// Waits for a stream's first event, and relays the stream from then on.
    async fn start_stream(
        &self,
        endpoint_response: EndpointResponse<P>,
        trace: &Trace,
    ) -> AttemptOutcome {
        let sent_to = endpoint_response.in_flight.choice.clone();
        let mut relay = Relay::new(
            self.gateway.clone(),
            self.job.clone(),
            endpoint_response,
            self.tried.clone(),
            self.runs,
            trace.clone(),
        );
        match relay
            .wait_first_event(self.first_event_deadline(&relay))
            .await
        {
            Ok(head) => AttemptOutcome::Answer(relay.into_response(head)),
            Err(error) => {
                // The request is no longer in flight at the endpoint.
                drop(relay);
                self.handle_failure(error, sent_to).await
            }
        }
    }

    fn first_event_deadline(&self, relay: &Relay<P>) -> AttemptDeadline {
        self.attempt_deadline(relay.choice())
    }

    /// Counts and logs an endpoint's complete answer, and returns it for the caller.
    fn deliver(&self, buffered: BufferedResponse, trace: &Trace) -> Response<Body> {
        let outcome = if buffered.status.is_success() {
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
        log_answer(gateway, &self.job, outcome, buffered.status, took_us, trace);
        let mut response = Response::new(buffered.body.into_body());
        *response.status_mut() = buffered.status;
        *response.headers_mut() = buffered.headers;
        response
    }
}
