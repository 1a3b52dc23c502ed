//! Runs one request: checks it, places it at an endpoint, sends it, and returns one final answer.

use std::sync::{Arc, OnceLock};

use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, HOST, HeaderValue},
    http::request::Parts,
};
use rand::RngExt;

use crate::{
    balance::{balancer::BUSY, prefixes::PromptPart, regions::AllowedRegions},
    caller_body::CallerBody,
    entry::{answer::Body, refusal::Refusal},
    gateway::{
        admission::{
            RequestTimes, acquire_quota, find_organisation, find_route, placement_request,
            read_body, time_budget_us,
        },
        attempt::{self, Job},
        blocks::{Arrival, Block},
        caller_buffer::{CallerConnection, CallerHandle, HeldAccount},
        dispatch::Dispatch,
        protocol::{CallHead, Protocol},
        quota, refuse,
        report::{Trace, note_refusal},
        resumption, shares,
        state::Gateway,
        stop_deadline::STOPPING,
        unanswered::{PendingAnswer, Stage},
    },
    limits::{fingerprint::Fingerprint, quota::Grant},
    prelude::Micros,
};

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
    let handling = handle(&gateway, call, &mut body, &mut pending, &mut trace);
    let handled = tokio::select! {
        biased;
        result = handling => Some(result),
        () = gateway.stop_deadline.wait_for_end() => None,
    };
    let result = handled.unwrap_or_else(|| Err(stopped(&trace)));
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

/// Returns the refusal of a request that has no answer at the end of a planned stop.
fn stopped(trace: &Trace) -> Refusal {
    match trace.attempts {
        0 => refuse::not_run(STOPPING, 0),
        _ => refuse::unknown(STOPPING),
    }
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
    gateway.wait_for_block_list().await;
    let fingerprint = OnceLock::new();
    let is_trial = refuse_blocked(gateway, trace, &head.parts, || {
        let organisation = organisation_name.as_deref();
        let compute = || attempt::fingerprint(&parts.method, &parts.uri, organisation, &body);
        *fingerprint.get_or_init(compute)
    })?;
    let draw = rand::rng().random_range(0.0..1.0);
    let destination = resumption::choose_destination(
        gateway,
        &route,
        parts.uri.path(),
        &head,
        organisation_name.as_deref(),
        draw,
    )
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
    let job = Arc::new(job);
    let dispatch = Dispatch::new(gateway.clone(), job.clone());
    let mut result = dispatch.run_to_answer(trace).await;
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
