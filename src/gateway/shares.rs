//! Applies the organisations' shares of room to requests, before a place is sought for them.

use std::collections::HashMap;

use crate::{
    balance::{balancer::BUSY, cost::PlacementRequest},
    entry::refusal::Refusal,
    gateway::{
        attempt::Job,
        config::GatewayConfig,
        metrics::{ServiceLabels, ShareLabels},
        protocol::Protocol,
        report::{Trace, to_tenths},
        state::{Gateway, lock},
    },
    prelude::{Micros, Rank},
    shares::{
        admission::{Ask, ServiceState, ShareRefusal, ShareState},
        demand::OrganisationKey,
    },
};

/// The most organisations of a service that are logged each second.
const MAX_ORGANISATIONS_LOGGED: usize = 8;
/// The most services that are logged each second.
const MAX_SERVICES_LOGGED: usize = 4;
/// Refusal reason of an endpoint without a free slot.
const ENDPOINT_FULL: &str = "endpoint_full";

/// Takes over the organisations of a configuration; none unless the settings have them share room.
pub(super) fn configure<P: Protocol>(gateway: &Gateway<P>, config: &GatewayConfig) {
    let mut priorities: Vec<Rank> = config.routes.iter().map(|r| r.priority).collect();
    priorities.sort_unstable();
    // An organisation without a priority of its own has those of its routes.
    let default = priorities.get(priorities.len() / 2).copied();
    let shares_room = gateway.bounds().shares_room;
    let organisations = config.organisations.iter().filter(|_| shares_room);
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

/// Logs the services that are short of room, with the organisations that ask for most, and sets the gauges. Called once
/// a second.
pub fn log_states<P: Protocol>(gateway: &Gateway<P>) {
    let states = lock(&gateway.shares).take_states(MAX_ORGANISATIONS_LOGGED);
    let metrics = &gateway.metrics;
    metrics.share_room_slots.clear();
    metrics.share_asked_slots.clear();
    metrics.share_slots.clear();
    let Some(table) = gateway.config.table().filter(|_| !states.is_empty()) else {
        return;
    };
    let organisations = table.config().organisations.iter();
    let names = organisations.map(|o| (OrganisationKey::of(Some(&o.name)), &*o.name));
    let names: HashMap<OrganisationKey, &str> = names.collect();
    for state in states.iter().take(MAX_SERVICES_LOGGED) {
        let service = ServiceLabels {
            service: state.service.to_string(),
        };
        metrics
            .share_room_slots
            .get_or_create(&service)
            .set(state.room_slots);
        for share in &state.organisations {
            let organisation = names.get(&share.organisation).copied().unwrap_or("-");
            let labels = ShareLabels {
                service: state.service.to_string(),
                organisation: organisation.to_owned(),
            };
            metrics
                .share_asked_slots
                .get_or_create(&labels)
                .set(share.asked_slots);
            metrics
                .share_slots
                .get_or_create(&labels)
                .set(share.share_slots);
            log_share(state, share, organisation);
        }
    }
}

fn log_share(state: &ServiceState, share: &ShareState, organisation: &str) {
    let tally = share.tally;
    log::info!(
        target: "ryevalve::limit",
        service = &*state.service,
        room_slots = to_tenths(state.room_slots),
        all_asked_slots = to_tenths(state.asked_slots),
        organisation,
        asked_slots = to_tenths(share.asked_slots),
        share_slots = to_tenths(share.share_slots),
        served = tally.served,
        refused = tally.refused,
        mean_return_ms = tally.return_ms / u64::from(tally.refused.max(1));
        "share_state"
    );
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
    if admitted.is_err() {
        gateway.metrics.requests_over_share.inc();
    }
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
