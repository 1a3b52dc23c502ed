//! What is checked and worked out of a request before it is placed.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, StatusCode, body::Incoming};
use rand::RngExt;

use crate::{
    balance::{
        balancer::retry_delay_ms, cost::PlacementRequest, prefixes, regions::AllowedRegions,
    },
    entry::refusal::Refusal,
    gateway::{
        config::{Organisation, Route},
        protocol::{CallHead, Protocol},
        quota, refuse,
        report::Trace,
        routes::RouteTable,
        state::Gateway,
    },
    limits::quota::Grant,
    prelude::{Micros, Name, Rank},
};

/// A final answer leaves this long before the caller gives up.
pub const ANSWER_MARGIN_US: Micros = 30_000;
/// What sending a request to another hall costs, as a share of its worth.
const OTHER_HALL_COST: f64 = 0.05;
/// The times that callers over a limit are told to come back after.
const MIN_WAIT_MS: u32 = 50;
const MAX_WAIT_MS: u32 = 60_000;
/// The length of an answer in tokens of which nothing is known.
const PRIOR_OUTPUT_TOKENS: u32 = 300;

/// Finds the route of a request.
///
/// # Errors
/// There is none, or the configuration is too old to say so.
pub fn find_route<P: Protocol>(
    gateway: &Gateway<P>,
    table: &RouteTable,
    host: Option<&str>,
    path: &str,
) -> Result<Arc<Route>, Refusal> {
    match table.route(host.unwrap_or_default(), path) {
        Some(route) => Ok(route.clone()),
        // A route may have been added that is not known here yet.
        None if !gateway.may_deny() => Err(refuse::not_ready("configuration_too_old")),
        None => Err(Refusal::bad(
            StatusCode::NOT_FOUND,
            "no_route",
            "no such route",
        )),
    }
}

/// Finds the organisation whose key a caller showed; none where no key is needed.
///
/// # Errors
/// The key is not known, or the configuration is too old to judge it by.
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
        // The key may have been taken away.
        Some(_) => Err(refuse::not_ready("configuration_too_old")),
        // Or it may have been added.
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

/// Reads a request's body.
///
/// # Errors
/// It is too long, or broke off.
pub async fn read_body(
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

/// Takes what a request uses from its organisation's limit; none if there is no limit. What decided against
/// it is noted in `trace`.
///
/// # Errors
/// The limit is used up.
pub async fn take_from_limit<P: Protocol>(
    gateway: &Gateway<P>,
    organisation: Option<&Organisation>,
    tokens: Option<u32>,
    rank: Rank,
    allowed_us: Micros,
    trace: &mut Trace,
) -> Result<Option<Grant>, Refusal> {
    let limited = organisation.and_then(|o| Some((&*o.name, o.limit?)));
    let Some((name, limit)) = limited else {
        return Ok(None);
    };
    let units = limit.units(tokens);
    // One that names no tokens takes next to nothing: it does not leave the last of a limit to others.
    let rank = if tokens.is_some() { rank } else { 0 };
    let taken = quota::acquire(gateway, name, units, rank, allowed_us).await;
    taken.map_err(|denied| {
        trace.denied = Some(denied);
        let wait_ms = u32::try_from(denied.wait_us / 1_000).unwrap_or(u32::MAX);
        let wait_ms = wait_ms.clamp(MIN_WAIT_MS, MAX_WAIT_MS);
        // There may be room for this one sooner, but not for all that were refused with it.
        refuse::over_limit(wait_ms.max(retry_delay_ms(allowed_us)))
    })
}

/// Returns for how long a request is held at most.
pub fn allowed_us(route: &Route, head: &CallHead) -> Micros {
    let route_us = route.timeout.as_micros() as Micros;
    let caller_us = head.deadline_ms.map_or(route_us, |ms| ms * 1_000);
    caller_us.min(route_us).saturating_sub(ANSWER_MARGIN_US)
}

/// The times of a request, in microseconds of this process's clock.
#[derive(Clone, Copy, Debug)]
pub struct RequestTimes {
    /// When it came.
    pub arrived_us: Micros,
    /// When its caller or its route gives up.
    pub deadline_us: Micros,
    /// For how long its caller had waited before it came.
    pub waited_us: Micros,
}

/// Returns what the balancer is asked for a request.
pub fn ask(
    route: &Route,
    head: &CallHead,
    service: Name,
    tokens_per_event: u32,
    times: RequestTimes,
    homes: AllowedRegions,
) -> PlacementRequest {
    let prompt_tokens = head.tokens.map_or(0, |t| t.prompt);
    let most = head.tokens.map_or(u32::MAX, |t| t.max_output);
    let output_tokens = head.output_guess.unwrap_or(PRIOR_OUTPUT_TOKENS).min(most);
    PlacementRequest {
        service,
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
        homes,
        draw: rand::rng().random(),
    }
}
