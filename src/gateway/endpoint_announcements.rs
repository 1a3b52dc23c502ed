//! Applies what endpoints announce in the headers of their answers, whatever the status of the answer: that they leave,
//! their rate limits and back-off periods. Also applies the announcements that peers pass on.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex, PoisonError},
};

use hyper::header::HeaderName;
use rand::RngExt;

use crate::{
    balance::{balancer::Choice, load::EndpointKey},
    gateway::{
        attempt::InFlightRequest,
        protocol::{AnswerHead, Protocol},
        state::Gateway,
        tunnels,
    },
    limits::{
        announcements::{AnnouncementChange, AnnouncementUpdate, LimitChange},
        back_off::BackOffHeader,
        rate::{LimitHeader, RequestRate},
    },
    peers::tunnel::TunnelCall,
    prelude::Micros,
};

/// The most characters of an unreadable header name or value that a log line shows.
const MAX_LOGGED_CHARS: usize = 64;
/// The most distinct unread headers that are logged. The bound is needed because an endpoint may make up names.
const MAX_UNREAD_LOGGED: usize = 64;

/// Names of answer headers that this software does not read; each is logged once.
#[derive(Default)]
pub struct UnreadHeaders {
    seen: Mutex<HashSet<HeaderName>>,
}

impl UnreadHeaders {
    /// Records a header; returns whether it has to be logged.
    fn record(&self, name: &HeaderName) -> bool {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.len() < MAX_UNREAD_LOGGED && seen.insert(name.clone())
    }
}

/// Records that a request is sent to an endpoint; returns the version of the endpoint's limit as known here.
pub(super) fn record_sent<P: Protocol>(
    gateway: &Gateway<P>,
    key: EndpointKey,
    at_us: Micros,
) -> u32 {
    let mut balancer = gateway.balancer();
    balancer.record_sent(at_us, key);
    if balancer.rate(at_us, key).is_some() {
        gateway.metrics.sent_to_limited.inc();
    }
    balancer.announcements().version(key)
}

/// Applies what an endpoint announces in an answer, except its limit (see [`handle_limit`]). The answer may belong to
/// an earlier request.
pub(super) fn handle_answer<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    sent: &InFlightRequest<P>,
    head: &AnswerHead,
) {
    for name in &head.unread {
        gateway.metrics.answer_headers_unread.inc();
        if gateway.unread_headers.record(name) {
            log_unread(&sent.choice.id, name);
        }
    }
    if head.announcements.leaves {
        handle_leaving(gateway, &sent.choice);
    }
    pass_to_carrier(gateway, sent, head);
    if head.is_signed || head.not_executed {
        handle_brittle(gateway, &sent.choice, head.announcements.brittle);
    }
    match &head.announcements.back_off {
        BackOffHeader::Period(back_off_us) => {
            record_back_off(gateway, sent.choice.key, &sent.choice.id, *back_off_us);
        }
        BackOffHeader::Unreadable(text) => {
            gateway.metrics.rest_words_unreadable.inc();
            if gateway
                .balancer()
                .record_unreadable_back_off(sent.choice.key)
            {
                log_unreadable("endpoint_rest_unreadable", &sent.choice.id, text);
            }
        }
        BackOffHeader::None => {
            let mut balancer = gateway.balancer();
            balancer.record_answered(sent.choice.key, sent.at_us);
        }
    }
}

/// Records whether an endpoint announces that it crashes under more than `refusals` a second.
fn handle_brittle<P: Protocol>(gateway: &Gateway<P>, choice: &Choice, refusals: Option<u32>) {
    let now_us = gateway.clock.now_us();
    if !gateway
        .balancer()
        .record_brittle(now_us, choice.key, refusals.is_some())
    {
        return;
    }
    match refusals {
        Some(refusals_per_s) => log::info!(
            target: "ryevalve::endpoint",
            endpoint = &*choice.id, refusals_per_s;
            "endpoint_brittle"
        ),
        None => log::info!(
            target: "ryevalve::endpoint",
            endpoint = &*choice.id;
            "endpoint_brittle_ended"
        ),
    }
}

/// Passes on what an endpoint announced to the instance that carried the request there.
fn pass_to_carrier<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    sent: &InFlightRequest<P>,
    head: &AnswerHead,
) {
    let Some(carrier) = sent.carrier else {
        return;
    };
    let leaves = head.announcements.leaves;
    let back_off_us = match head.announcements.back_off {
        BackOffHeader::Period(back_off_us) => back_off_us,
        BackOffHeader::Unreadable(_) | BackOffHeader::None => 0,
    };
    if leaves || back_off_us > 0 {
        let endpoint = sent.choice.key;
        let call = TunnelCall::Announce {
            endpoint,
            leaves,
            back_off_us,
        };
        tunnels::announce_to_carrier(gateway, carrier, call);
    }
}

/// Applies what an endpoint announced in an answer that this instance carried for another one.
pub(super) fn apply_from_tunnel<P: Protocol>(
    gateway: &Gateway<P>,
    endpoint: EndpointKey,
    leaves: bool,
    back_off_us: Micros,
) {
    let Some(id) = gateway.balancer().entry(endpoint).map(|e| e.id.clone()) else {
        return;
    };
    let now_us = gateway.clock.now_us();
    if leaves && gateway.balancer().record_leaving(now_us, endpoint) {
        log_leaving(&id, "tunnel");
    }
    if back_off_us > 0 {
        record_back_off(gateway, endpoint, &id, back_off_us);
    }
}

fn handle_leaving<P: Protocol>(gateway: &Gateway<P>, choice: &Choice) {
    let now_us = gateway.clock.now_us();
    if gateway.balancer().record_leaving(now_us, choice.key) {
        log_leaving(&choice.id, "endpoint");
    }
}

/// Records that an endpoint asked this instance to back off.
fn record_back_off<P: Protocol>(
    gateway: &Gateway<P>,
    key: EndpointKey,
    id: &str,
    back_off_us: Micros,
) {
    gateway.metrics.rests_asked.inc();
    let now_us = gateway.clock.now_us();
    let instances = gateway.instance_counts().all;
    let draw = rand::rng().random_range(0.0..1.0);
    let mut balancer = gateway.balancer();
    let is_new = balancer.record_back_off(now_us, key, back_off_us, instances, draw);
    drop(balancer);
    if is_new {
        log::info!(
            target: "ryevalve::endpoint",
            endpoint = id, rest_ms = back_off_us / 1_000;
            "endpoint_rests"
        );
    }
}

/// Applies the rate limit that an endpoint announces in an answer. `sent.limit_version` is the version of the limit
/// that was known when the request was sent.
pub(super) fn handle_limit<P: Protocol>(
    gateway: &Gateway<P>,
    sent: &InFlightRequest<P>,
    head: &AnswerHead,
) {
    let choice = &sent.choice;
    let now_us = gateway.clock.now_us();
    let mut balancer = gateway.balancer();
    let change = match &head.announcements.limit {
        LimitHeader::Unreadable(text) => {
            gateway.metrics.limit_words_unreadable.inc();
            if balancer.record_unreadable_limit(choice.key) {
                log_unreadable("endpoint_limit_unreadable", &choice.id, text);
            }
            return;
        }
        // An unsigned answer may be corrupted: the absence of the header in it does not end a limit.
        LimitHeader::Absent if !head.is_signed => return,
        header => balancer.record_limit(now_us, choice.key, sent.limit_version, header),
    };
    let version = balancer.announcements().version(choice.key);
    drop(balancer);
    if let Some(change) = change {
        log_limit(&choice.id, change, version, "endpoint");
    }
}

/// Applies announcements that another instance passed on.
pub(super) fn apply_from_peer<P: Protocol>(gateway: &Gateway<P>, updates: &[AnnouncementUpdate]) {
    if updates.is_empty() {
        return;
    }
    let now_us = gateway.clock.now_us();
    let mut balancer = gateway.balancer();
    let changes = balancer.apply_peer_announcements(now_us, updates);
    let lines = changes.into_iter().filter_map(|change| {
        let endpoint = change.endpoint();
        let id = balancer.entry(endpoint)?.id.clone();
        Some((id, change, balancer.announcements().version(endpoint)))
    });
    let lines: Vec<_> = lines.collect();
    drop(balancer);
    for (id, change, version) in lines {
        match change {
            AnnouncementChange::Limit(change) => log_limit(&id, change, version, "peer"),
            AnnouncementChange::Leaves(_) => log_leaving(&id, "peer"),
        }
    }
}

/// Logs that an endpoint leaves. `from` is the source: the endpoint itself or a peer.
fn log_leaving(endpoint: &str, from: &'static str) {
    log::info!(target: "ryevalve::endpoint", endpoint, from; "endpoint_leaves");
}

/// Logs a changed limit. `from` is the source: the endpoint itself or a peer.
fn log_limit(endpoint: &str, change: LimitChange, version: u32, from: &'static str) {
    let display =
        |rate: Option<RequestRate>| rate.map_or_else(|| "none".to_owned(), |r| r.to_string());
    log::info!(
        target: "ryevalve::endpoint",
        endpoint, version, from,
        limit_per_s = display(change.now),
        before_per_s = display(change.before);
        "endpoint_limit"
    );
}

/// Logs a header value that cannot be parsed.
fn log_unreadable(event: &'static str, endpoint: &str, text: &str) {
    let word: String = text.chars().take(MAX_LOGGED_CHARS).collect();
    log::warn!(target: "ryevalve::endpoint", endpoint, word; "{event}");
}

fn log_unread(endpoint: &str, name: &HeaderName) {
    let header: String = name.as_str().chars().take(MAX_LOGGED_CHARS).collect();
    log::warn!(target: "ryevalve::endpoint", endpoint, header; "answer_header_unread");
}
