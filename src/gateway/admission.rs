//! Admission of a request: finds its route and organisation, reads its body, acquires quota and describes it to the
//! balancer.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{HeaderMap, StatusCode};
use rand::RngExt;

use crate::{
    balance::{
        balancer::retry_delay_ms, cost::PlacementRequest, prefixes, regions::AllowedRegions,
    },
    caller_body::CallerBody,
    entry::refusal::Refusal,
    gateway::{
        caller_buffer::HeldAccount,
        config::{Organisation, Route},
        protocol::{CallHead, Protocol},
        quota, refuse,
        report::Trace,
        routes::RouteTable,
        state::Gateway,
    },
    limits::quota::Grant,
    prelude::{Micros, Name, short_hash},
    shares::admission::Standing,
};

/// The final response is sent at least this long before the caller times out.
pub const ANSWER_MARGIN_US: Micros = 30_000;
/// Cost of sending a request to another hall, as a share of its value.
const OTHER_HALL_COST: f64 = 0.05;
/// Bounds of the Retry-After that callers over a limit get.
const MIN_RETRY_AFTER_MS: u32 = 50;
const MAX_RETRY_AFTER_MS: u32 = 60_000;
/// Assumed length of a response in tokens, where nothing is known about it.
const PRIOR_OUTPUT_TOKENS: u32 = 300;

/// Finds the route of a request.
///
/// # Errors
/// No route matches, or the configuration is too old to be sure of that.
pub fn find_route<P: Protocol>(
    gateway: &Gateway<P>,
    table: &RouteTable,
    host: Option<&str>,
    path: &str,
) -> Result<Arc<Route>, Refusal> {
    match table.route(host.unwrap_or_default(), path) {
        Some(route) => Ok(route.clone()),
        // A matching route may have been added that is not known here yet.
        None if !gateway.may_deny() => Err(refuse::not_ready("configuration_too_old")),
        None => Err(Refusal::bad(
            StatusCode::NOT_FOUND,
            "no_route",
            "no such route",
        )),
    }
}

/// Finds the organisation that owns the API key of the request; none where the route needs no key.
///
/// # Errors
/// The key is not known, or the configuration is too old to decide on it.
pub fn find_organisation<P: Protocol>(
    gateway: &Gateway<P>,
    table: &RouteTable,
    route: &Route,
    head: &CallHead,
) -> Result<Option<Arc<Organisation>>, Refusal> {
    if !table.needs_key(route) {
        return Ok(None);
    }
    let known = head.key.as_deref().and_then(|k| table.organisation(k));
    match known {
        Some(organisation) if gateway.may_use_keys() => Ok(Some(organisation.clone())),
        // The key may have been revoked since.
        Some(_) => Err(refuse::not_ready("configuration_too_old")),
        // The key may have been added since.
        None if !gateway.may_deny() => Err(refuse::not_ready("configuration_too_old")),
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

/// Time after which a request that there is no memory for may come back.
const NO_MEMORY_RETRY_AFTER_MS: u32 = 1_000;

/// Reads a request's body, whose bytes are held in `account`. A caller that sends slowly can be cut until it has sent all.
///
/// # Errors
/// The body is longer than `max_bytes`, the caller broke it off, or there is no memory for it.
pub async fn read_body(
    headers: &HeaderMap,
    body: &mut CallerBody,
    max_bytes: usize,
    account: &HeldAccount,
) -> Result<Bytes, Refusal> {
    let too_large = || {
        let message = format!("the body is longer than {max_bytes} bytes");
        Refusal::bad(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
    };
    let declared_bytes = headers.get(hyper::header::CONTENT_LENGTH);
    let declared_bytes = declared_bytes.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    if declared_bytes.is_some_and(|p| p > max_bytes as u64) {
        return Err(too_large());
    }
    let mut received = BytesMut::new();
    account.wait_for_caller(true);
    while let Some(frame) = body.frame().await {
        let cut = |_| Refusal::bad(StatusCode::BAD_REQUEST, "body_cut", "the body broke off");
        let Ok(chunk) = frame.map_err(cut)?.into_data() else {
            continue;
        };
        if received.len() + chunk.len() > max_bytes {
            return Err(too_large());
        }
        account
            .hold(chunk.len())
            .map_err(|_| refuse::not_run(refuse::NO_MEMORY, NO_MEMORY_RETRY_AFTER_MS))?;
        account.note_progress();
        received.extend_from_slice(&chunk);
    }
    account.wait_for_caller(false);
    Ok(received.freeze())
}

/// Acquires quota for a request from its organisation's limit; none if the organisation has no limit. The details of a
/// denial are recorded in `trace`.
///
/// # Errors
/// The limit is used up.
pub async fn acquire_quota<P: Protocol>(
    gateway: &Gateway<P>,
    organisation: Option<&Organisation>,
    tokens: Option<u32>,
    route: &Route,
    time_budget_us: Micros,
    trace: &mut Trace,
) -> Result<Option<Grant>, Refusal> {
    let limited = organisation.and_then(|o| Some((&*o.name, o.limit?)));
    let Some((name, limit)) = limited else {
        return Ok(None);
    };
    let units = limit.units(tokens);
    // A request without token counts uses next to nothing, so it gets the most urgent rank and need not leave the rest of
    // a nearly used limit to others.
    let rank = if tokens.is_some() { route.priority } else { 0 };
    let until = quota::wait_until(gateway, name, time_budget_us);
    quota::wait_for_leases(gateway, name, route, until).await;
    let acquired = quota::acquire(gateway, name, units, rank, until).await;
    acquired.map_err(|denied| {
        trace.denied = Some(denied);
        let retry_after_ms = u32::try_from(denied.wait_us / 1_000).unwrap_or(u32::MAX);
        let retry_after_ms = retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        // There may be quota for this request sooner, but not for all that were refused at the same time.
        refuse::over_limit(retry_after_ms.max(retry_delay_ms(time_budget_us)))
    })
}

/// Returns the longest time a request may be held, in microseconds: the shorter of the timeouts of route and caller.
pub fn time_budget_us(route: &Route, head: &CallHead) -> Micros {
    let route_us = route.timeout.as_micros() as Micros;
    let caller_us = head.deadline_ms.map_or(route_us, |ms| ms * 1_000);
    caller_us.min(route_us).saturating_sub(ANSWER_MARGIN_US)
}

/// Times of a request, in microseconds of this process's clock.
#[derive(Clone, Copy, Debug)]
pub struct RequestTimes {
    /// When it arrived.
    pub arrived_us: Micros,
    /// When its time budget ends.
    pub deadline_us: Micros,
    /// How long its caller had waited in earlier attempts, as estimated.
    pub waited_us: Micros,
}

/// Describes a request to the balancer.
pub fn placement_request(
    route: &Route,
    head: &CallHead,
    service: Name,
    tokens_per_event: u32,
    times: RequestTimes,
    allowed_regions: AllowedRegions,
) -> PlacementRequest {
    let prompt_tokens = head.tokens.map_or(0, |t| t.prompt);
    let max_output_tokens = head.tokens.map_or(u32::MAX, |t| t.max_output);
    let output_tokens = head
        .expected_output_tokens
        .unwrap_or(PRIOR_OUTPUT_TOKENS)
        .min(max_output_tokens);
    PlacementRequest {
        service,
        route: short_hash(&route.name),
        is_stream: route.kind.is_stream(),
        prompt_tokens,
        chains: prefixes::chains(&head.parts).collect(),
        output_events: f64::from(output_tokens) / f64::from(tokens_per_event),
        target_us: route.target.as_micros() as Micros,
        arrived_us: times.arrived_us,
        waited_us: times.waited_us,
        deadline_us: times.deadline_us,
        rank: route.priority,
        other_hall_cost: OTHER_HALL_COST,
        standing: Standing::default(),
        allowed_regions,
        versions: None,
        draw: rand::rng().random(),
    }
}
