//! Applies the organisations' shares of room to requests, before a place is sought for them.

use crate::{
    balance::{balancer::BUSY, cost::PlacementRequest},
    entry::refusal::Refusal,
    gateway::{
        attempt::Job,
        config::GatewayConfig,
        protocol::Protocol,
        report::Trace,
        state::{Gateway, lock},
    },
    prelude::{Micros, Rank},
    shares::admission::{Ask, ShareRefusal},
};

/// Refusal reason of an endpoint without a free slot.
const ENDPOINT_FULL: &str = "endpoint_full";

/// Takes over the organisations of a configuration.
pub(super) fn configure<P: Protocol>(gateway: &Gateway<P>, config: &GatewayConfig) {
    let mut priorities: Vec<Rank> = config.routes.iter().map(|r| r.priority).collect();
    priorities.sort_unstable();
    // An organisation without a priority of its own has those of its routes.
    let default = priorities.get(priorities.len() / 2).copied();
    let organisations = config.organisations.iter();
    lock(&gateway.shares).configure(
        organisations.map(|o| (&*o.name, o.priority)),
        |service| config.services.contains_key(service),
        default.unwrap_or_default(),
    );
}

/// Works out the shares anew.
pub(super) fn refresh<P: Protocol>(gateway: &Gateway<P>) {
    let now_us = gateway.clock.now_us();
    let balancer = gateway.balancer();
    lock(&gateway.shares).refresh(now_us, |service| balancer.slots(now_us, service));
}

/// Lets a request through with the standing of its organisation, or refuses it.
///
/// Requests that may be served in some regions only are let through: the room of those regions is not known.
///
/// # Errors
/// The organisation has its share of the service's room.
pub(super) fn admit<P: Protocol>(
    gateway: &Gateway<P>,
    organisation: Option<&str>,
    request: &mut PlacementRequest,
) -> Result<(), ShareRefusal> {
    if request.allowed_regions.is_restricted() || !lock(&gateway.shares).is_enabled() {
        return Ok(());
    }
    let now_us = gateway.clock.now_us();
    let engine_us = gateway.balancer().stream_engine_us(request);
    let ask = ask(now_us, organisation, request, engine_us);
    let admitted = lock(&gateway.shares).admit(now_us, &ask);
    request.standing = admitted?;
    Ok(())
}

/// Notes whether a request that was let through found a place. A caller that did not is told when to come back.
pub(super) fn note_result<P: Protocol>(
    gateway: &Gateway<P>,
    job: &Job,
    refusal: Option<&mut Refusal>,
    trace: &mut Trace,
) {
    let request = &job.placement_request;
    if request.allowed_regions.is_restricted() || !lock(&gateway.shares).is_enabled() {
        return;
    }
    let now_us = gateway.clock.now_us();
    let engine_us = gateway.balancer().stream_engine_us(request);
    let ask = ask(now_us, job.organisation.as_deref(), request, engine_us);
    let mut shares = lock(&gateway.shares);
    match refusal {
        Some(refusal) if [BUSY, ENDPOINT_FULL].contains(&refusal.reason) => {
            if let Some(retry_after_ms) = shares.note_unplaced(now_us, &ask) {
                refusal.retry_after_ms = Some(retry_after_ms);
                trace.has_return_place = true;
            }
        }
        Some(_) => {}
        None => {
            let had_room = trace.attempts == 1 && trace.expected.is_some_and(|e| e.has_room);
            let ran_us = had_room.then(|| now_us.saturating_sub(request.arrived_us));
            shares.note_placed(now_us, &ask, ran_us);
        }
    }
}

fn ask<'a>(
    now_us: Micros,
    organisation: Option<&'a str>,
    request: &'a PlacementRequest,
    engine_us: Option<f64>,
) -> Ask<'a> {
    Ask {
        service: &request.service,
        organisation,
        engine_us,
        rank: request.rank,
        waited_us: request.waited_us,
        target_us: request.target_us,
        left_us: request.deadline_us.saturating_sub(now_us),
        draw: request.draw as f64 / u64::MAX as f64,
    }
}
