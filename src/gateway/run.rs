//! Runs one request: checks it, places it, sends it, and gives it one final answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HOST, HeaderValue},
};
use rand::RngExt;
use tokio::time::{self, Instant};

use crate::{
    balance::{
        balancer::{Choice, Placement},
        cost::{Ask, Expected},
        load::EndpointKey,
        prefixes,
    },
    entry::{
        answer::{Body, full},
        refusal::Refusal,
    },
    gateway::{
        attempt::{self, Answered, Failed, Job, Whole},
        config::{Organisation, Route},
        metrics::Outcome,
        protocol::{CallHead, Protocol},
        refuse,
        routes::RouteTable,
        state::Gateway,
        stream::Relay,
    },
    prelude::{Micros, Name, Rank},
};

/// A final answer leaves this long before the caller gives up.
const ANSWER_MARGIN_US: Micros = 30_000;
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
/// What sending a request to another hall costs, as a share of its worth.
const OTHER_HALL_COST: f64 = 0.05;
/// The length of an answer in tokens of which nothing is known.
const PRIOR_OUTPUT_TOKENS: u32 = 300;
/// What has been refused comes back spread over half of the time again.
const RETRY_SPREAD: f64 = 0.5;

/// How a request ended, for the log.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Its route.
    pub route: Option<Name>,
    /// The endpoint that it was sent to last.
    pub endpoint: Option<Name>,
    /// How many endpoints it was sent to.
    pub attempts: u32,
    /// Why an attempt or the request failed.
    pub reason: Option<&'static str>,
    /// What was expected of the last endpoint.
    pub expected: Option<Expected>,
}

/// Answers one request.
pub async fn answer<P: Protocol>(
    gateway: Arc<Gateway<P>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let arrived_us = gateway.clock.now_us();
    let head = gateway.protocol.read_call(request.headers());
    let request_id = head.request_id.clone();
    let mut trace = Trace::default();
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

fn note_refusal<P: Protocol>(
    gateway: &Gateway<P>,
    trace: &Trace,
    refusal: &Refusal,
    request_id: Option<&HeaderValue>,
    arrived_us: Micros,
) {
    let route = trace.route.as_deref().unwrap_or("-");
    gateway.metrics.ended(route, Outcome::of(refusal));
    let held_ms = gateway.clock.now_us().saturating_sub(arrived_us) / 1_000;
    log::info!(
        target: "ryevalve::request",
        request_id = attempt::shown(request_id),
        route,
        outcome = Outcome::of(refusal).as_str(),
        status = refusal.status.as_u16(),
        reason = refusal.reason,
        last_failure = trace.reason.unwrap_or("-"),
        endpoint = trace.endpoint.as_deref().unwrap_or("-"),
        attempts = trace.attempts,
        held_ms,
        retry_after_ms = refusal.retry_after_ms.unwrap_or(0),
        config_version = gateway.config.version(),
        config_age_ms = gateway.config_age_us() / 1_000;
        "request_refused"
    );
}

async fn take<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    request: Request<Incoming>,
    head: CallHead,
    arrived_us: Micros,
    trace: &mut Trace,
) -> Result<Response<Body>, Refusal> {
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
    take_from_limit(gateway, name.as_deref(), tokens, route.priority)?;
    let draw = rand::rng().random_range(0.0..1.0);
    let Some(service) = route.pick_target(draw).cloned() else {
        return Err(refuse::not_run("no_service", 1_000));
    };
    gateway.count_request(&service);
    let engine = table.service(&service).and_then(|s| s.engine);
    let tokens_per_event = engine.map_or(1, |e| e.tokens_per_event);
    let until_us = arrived_us + allowed_us(&route, &head);
    let mut headers = parts.headers;
    attempt::strip_connection_headers(&mut headers);
    let job = Job {
        ask: ask(
            &route,
            &head,
            service,
            tokens_per_event,
            arrived_us,
            until_us,
        ),
        route,
        head,
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        organisation: name.clone(),
        until_us,
    };
    let result = Run::new(gateway.clone(), job).until_answered(trace).await;
    let has_run = result
        .as_ref()
        .err()
        .is_none_or(|r| r.retry_after_ms.is_none());
    if let Some(name) = name.filter(|_| !has_run) {
        gateway.limits().give_back(&name, tokens);
    }
    result
}

fn find_route<P: Protocol>(
    gateway: &Gateway<P>,
    table: &RouteTable,
    host: Option<&str>,
    path: &str,
) -> Result<Arc<Route>, Refusal> {
    match table.route(host.unwrap_or_default(), path) {
        Some(route) => Ok(route.clone()),
        // A route may have been added that is not known here yet.
        None if !gateway.is_fresh() => Err(refuse::not_ready("configuration_too_old")),
        None => Err(Refusal::bad(
            StatusCode::NOT_FOUND,
            "no_route",
            "no such route",
        )),
    }
}

fn find_organisation<P: Protocol>(
    gateway: &Gateway<P>,
    table: &RouteTable,
    route: &Route,
    head: &CallHead,
) -> Result<Option<Arc<Organisation>>, Refusal> {
    if !table.needs_key(route) {
        return Ok(None);
    }
    if !gateway.is_fresh() {
        return Err(refuse::not_ready("configuration_too_old"));
    }
    let known = head.key.as_deref().and_then(|k| table.organisation(k));
    match known {
        Some(organisation) => Ok(Some(organisation.clone())),
        None => {
            let message = "the key is not known";
            Err(Refusal::bad(
                StatusCode::UNAUTHORIZED,
                "unknown_key",
                message,
            ))
        }
    }
}

async fn read_body(
    headers: &HeaderMap,
    body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, Refusal> {
    let too_large = || {
        let message = format!("the body is longer than {max_bytes} bytes");
        Refusal::bad(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
    };
    let promised = headers.get(hyper::header::CONTENT_LENGTH);
    let promised = promised.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    if promised.is_some_and(|p| p > max_bytes as u64) {
        return Err(too_large());
    }
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Err(_) => {
            let message = "the body broke off";
            Err(Refusal::bad(StatusCode::BAD_REQUEST, "body_cut", message))
        }
    }
}

fn take_from_limit<P: Protocol>(
    gateway: &Gateway<P>,
    organisation: Option<&str>,
    tokens: Option<u32>,
    rank: Rank,
) -> Result<(), Refusal> {
    let Some(name) = organisation else {
        return Ok(());
    };
    let now_us = gateway.clock.now_us();
    let sharers = gateway.sharers();
    let taken = gateway.limits().take(now_us, name, tokens, rank, sharers);
    taken.map_err(refuse::over_limit)
}

/// Returns for how long a request is held at most.
fn allowed_us(route: &Route, head: &CallHead) -> Micros {
    let route_us = route.timeout.as_micros() as Micros;
    let caller_us = head.deadline_ms.map_or(route_us, |ms| ms * 1_000);
    caller_us.min(route_us).saturating_sub(ANSWER_MARGIN_US)
}

fn ask(
    route: &Route,
    head: &CallHead,
    service: Name,
    tokens_per_event: u32,
    arrived_us: Micros,
    deadline_us: Micros,
) -> Ask {
    let prompt_tokens = head.tokens.map_or(0, |t| t.prompt);
    let most = head.tokens.map_or(u32::MAX, |t| t.max_output);
    let output_tokens = head.output_guess.unwrap_or(PRIOR_OUTPUT_TOKENS).min(most);
    Ask {
        service,
        is_stream: route.kind.is_stream(),
        prompt_tokens,
        chains: prefixes::chains(&head.parts).collect(),
        output_events: f64::from(output_tokens) / f64::from(tokens_per_event),
        target_us: route.target.as_micros() as Micros,
        arrived_us,
        deadline_us,
        rank: route.priority,
        other_hall_cost: OTHER_HALL_COST,
    }
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
    Error(Whole),
}

/// A request under way.
pub struct Run<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    job: Arc<Job>,
    /// What the balancer is asked; an attempt after another has its own time to wait.
    ask: Ask,
    tried: Vec<EndpointKey>,
    runs: u32,
    not_run: usize,
}

impl<P: Protocol> Run<P> {
    fn new(gateway: Arc<Gateway<P>>, job: Job) -> Self {
        Self {
            gateway,
            ask: job.ask.clone(),
            job: Arc::new(job),
            tried: Vec::new(),
            runs: 0,
            not_run: 0,
        }
    }

    async fn until_answered(mut self, trace: &mut Trace) -> Result<Response<Body>, Refusal> {
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
                    self.not_run += 1;
                    self.may_go_on(arrived, reason)?;
                }
                Tried::Failed { refusal } => {
                    trace.reason = Some(refusal.reason);
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
                }
            }
        }
    }

    /// Waits for an endpoint; refuses once the request's time is over.
    async fn place(&self) -> Result<Choice, Refusal> {
        let until = self.gateway.clock.instant(self.job.until_us);
        let placed = time::timeout_at(until, self.gateway.place(&self.ask, &self.tried)).await;
        match placed {
            Ok(Placement::Send(choice)) => Ok(choice),
            Ok(Placement::Refuse {
                reason,
                retry_after_ms,
            }) if self.runs == 0 => Err(refuse::not_run(reason, retry_after_ms)),
            Ok(_) | Err(_) if self.runs == 0 => Err(refuse::not_run("no_time_left", 500)),
            // An earlier attempt may have run.
            _ => Err(refuse::unknown("no_other_endpoint")),
        }
    }

    /// Decides whether a request that was not run may be sent elsewhere.
    fn may_go_on(&self, arrived: bool, reason: &'static str) -> Result<(), Refusal> {
        let may = self.not_run <= MAX_NOT_RUN
            && self.has_time()
            && (!arrived || self.gateway.take_retry(&self.job.ask.service));
        match may {
            true => Ok(()),
            false if self.runs == 0 => Err(refuse::not_run(reason, 500)),
            false => Err(refuse::unknown(reason)),
        }
    }

    fn may_run_again(&self) -> bool {
        self.job.is_repeatable()
            && self.runs < self.job.route.max_attempts
            && self.has_time()
            && self.gateway.take_retry(&self.job.ask.service)
    }

    fn has_time(&self) -> bool {
        self.gateway.clock.now_us() + ANSWER_MARGIN_US < self.job.until_us
    }

    async fn try_endpoint(&self, choice: Choice, trace: &Trace) -> Tried {
        let until = self.attempt_until(&choice);
        let sent = attempt::send(&self.gateway, &self.job, choice, None, until).await;
        let answered = match sent {
            Ok(answered) => answered,
            Err(failed) => return self.failed(failed),
        };
        if answered.not_executed || answered.response.status() == StatusCode::MISDIRECTED_REQUEST {
            return self.refused_there(answered);
        }
        let status = answered.response.status();
        if status.is_success() && !answered.is_signed {
            answered.sent.failed();
            return self.failed(Failed::Unknown("unsigned_answer"));
        }
        if status.is_success() && self.job.route.kind.is_stream() {
            return self.start_stream(answered, trace).await;
        }
        match attempt::collect(&self.gateway, answered, until).await {
            Ok(whole) if whole.status.is_server_error() => Tried::Error(whole),
            Ok(whole) => Tried::Answer(self.pass_on(whole, trace)),
            Err(failed) => self.failed(failed),
        }
    }

    /// An attempt that may be repeated is given up earlier than the request.
    fn attempt_until(&self, choice: &Choice) -> Instant {
        let end = self.gateway.clock.instant(self.job.until_us);
        let again = self.job.is_repeatable() && self.runs + 1 < self.job.route.max_attempts;
        if !again || self.gateway.retries_left(&self.job.ask.service) < 1.0 {
            return end;
        }
        let target_ms = self.job.ask.target_us as f64 / 1e3;
        let targets = if self.job.route.kind.is_stream() {
            STREAM_PATIENCE_TARGETS
        } else {
            PATIENCE_TARGETS
        };
        let patience_ms = (target_ms * targets)
            .max(choice.expected.first_ms * PATIENCE_EXPECTED)
            .max(PATIENCE_MIN_MS);
        end.min(Instant::now() + Duration::from_secs_f64(patience_ms / 1e3))
    }

    fn failed(&self, failed: Failed) -> Tried {
        match failed {
            Failed::NotSent(reason) => Tried::NotRun {
                arrived: false,
                reason,
            },
            Failed::Unknown(reason) => {
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

    fn refused_there(&self, answered: Answered<P>) -> Tried {
        let reason = match answered.response.status() {
            StatusCode::MISDIRECTED_REQUEST => {
                let key = answered.sent.choice.key;
                self.gateway.balancer().endpoint_replaced(key);
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

    async fn start_stream(&self, answered: Answered<P>, trace: &Trace) -> Tried {
        let mut relay = Relay::new(
            self.gateway.clone(),
            self.job.clone(),
            answered,
            self.tried.clone(),
            self.runs,
            trace.clone(),
        );
        match relay.first(self.first_event_until(&relay)).await {
            Ok(head) => Tried::Answer(relay.into_response(head)),
            Err(failed) => self.failed(failed),
        }
    }

    fn first_event_until(&self, relay: &Relay<P>) -> Instant {
        self.attempt_until(relay.choice())
    }

    fn pass_on(&self, whole: Whole, trace: &Trace) -> Response<Body> {
        let outcome = if whole.status.is_success() {
            Outcome::Served
        } else {
            Outcome::EndpointError
        };
        let gateway = &self.gateway;
        gateway.metrics.ended(&self.job.route.name, outcome);
        let took_us = gateway.clock.now_us() - self.job.ask.arrived_us;
        gateway.metrics.first_seconds.observe(took_us as f64 / 1e6);
        log_answer(gateway, &self.job, outcome, whole.status, took_us, trace);
        let mut response = Response::new(full(whole.body));
        *response.status_mut() = whole.status;
        *response.headers_mut() = whole.headers;
        response
    }
}

/// One in this many answers in time has a line; all others do.
const SAMPLE: u32 = 16;

/// Writes the line of an answer that came from an endpoint.
pub fn log_answer<P: Protocol>(
    gateway: &Gateway<P>,
    job: &Job,
    outcome: Outcome,
    status: StatusCode,
    first_us: Micros,
    trace: &Trace,
) {
    let attempts = trace.attempts;
    let in_time = first_us <= job.ask.target_us;
    let is_plain = outcome == Outcome::Served && in_time && attempts <= 1;
    if is_plain && rand::rng().random_range(0..SAMPLE) > 0 {
        return;
    }
    log::info!(
        target: "ryevalve::request",
        request_id = job.id(),
        route = &*job.route.name,
        organisation = job.organisation.as_deref().unwrap_or("-"),
        outcome = outcome.as_str(),
        status = status.as_u16(),
        first_ms = first_us / 1_000,
        target_ms = job.ask.target_us / 1_000,
        attempts,
        endpoint = trace.endpoint.as_deref().unwrap_or("-"),
        last_failure = trace.reason.unwrap_or("-"),
        expected_first_ms = trace.expected.map_or(0.0, |e| e.first_ms.round()),
        endpoint_requests = trace.expected.map_or(0.0, |e| e.there.round()),
        uncached_tokens = trace.expected.map_or(0, |e| e.uncached_tokens),
        prompt_tokens = job.ask.prompt_tokens,
        config_version = gateway.config.version(),
        config_age_ms = gateway.config_age_us() / 1_000;
        "request_answered"
    );
}
