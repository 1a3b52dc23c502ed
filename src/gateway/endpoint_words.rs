//! Takes what endpoints say of themselves in their answers, whatever the answers are.

use std::{
    collections::HashSet,
    sync::{Mutex, PoisonError},
};

use hyper::header::HeaderName;
use rand::RngExt;

use crate::{
    balance::{balancer::Choice, load::EndpointKey},
    gateway::{
        attempt::Sent,
        protocol::{AnswerHead, Protocol},
        state::Gateway,
    },
    limits::{
        rate::{LimitWord, RequestRate},
        rest::RestWord,
        standings::{LimitChange, StandingChange, ToldStanding},
    },
    prelude::Micros,
};

/// So much of a word that cannot be read is shown in its line, in characters.
const SHOWN_CHARS: usize = 64;
/// Headers that nothing reads and that were written to the log, at most: an endpoint may make up names.
const MOST_UNREAD: usize = 64;

/// Headers of answers that nothing reads, each written to the log once.
#[derive(Default)]
pub struct UnreadHeaders {
    seen: Mutex<HashSet<HeaderName>>,
}

impl UnreadHeaders {
    /// Notes a header; returns whether it is to be written to the log.
    fn note(&self, name: &HeaderName) -> bool {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.len() < MOST_UNREAD && seen.insert(name.clone())
    }
}

/// Notes that a request goes to an endpoint; returns the version of what is known of its limit.
pub(super) fn note_sent<P: Protocol>(gateway: &Gateway<P>, key: EndpointKey, at_us: Micros) -> u32 {
    let mut balancer = gateway.balancer();
    balancer.record_sent(at_us, key);
    if balancer.rate(at_us, key).is_some() {
        gateway.metrics.sent_to_limited.inc();
    }
    balancer.standings().version(key)
}

/// Takes what an endpoint says of itself in any answer, one to an earlier request included.
pub(super) fn heard<P: Protocol>(gateway: &Gateway<P>, sent: &Sent<P>, head: &AnswerHead) {
    for name in &head.unread {
        gateway.metrics.answer_headers_unread.inc();
        if gateway.unread_headers.note(name) {
            log_unread(&sent.choice.id, name);
        }
    }
    if head.words.leaves {
        heard_leaving(gateway, &sent.choice);
    }
    match &head.words.rest {
        RestWord::Asked(rest_us) => heard_rest(gateway, &sent.choice, *rest_us),
        RestWord::Unreadable(text) => {
            gateway.metrics.rest_words_unreadable.inc();
            if gateway
                .balancer()
                .record_unreadable_backoff(sent.choice.key)
            {
                log_unreadable("endpoint_rest_unreadable", &sent.choice.id, text);
            }
        }
        RestWord::None => {
            let mut balancer = gateway.balancer();
            balancer.record_answered(sent.choice.key, sent.at_us);
        }
    }
}

fn heard_leaving<P: Protocol>(gateway: &Gateway<P>, choice: &Choice) {
    let now_us = gateway.clock.now_us();
    if gateway.balancer().record_leaving(now_us, choice.key) {
        log_leaving(&choice.id, "endpoint");
    }
}

fn heard_rest<P: Protocol>(gateway: &Gateway<P>, choice: &Choice, rest_us: Micros) {
    gateway.metrics.rests_asked.inc();
    let now_us = gateway.clock.now_us();
    let instances = gateway.sharers().all;
    let draw = rand::rng().random_range(0.0..1.0);
    let mut balancer = gateway.balancer();
    let is_new = balancer.record_backoff(now_us, choice.key, rest_us, instances, draw);
    drop(balancer);
    if is_new {
        log::info!(
            target: "ryevalve::endpoint",
            endpoint = &*choice.id, rest_ms = rest_us / 1_000;
            "endpoint_rests"
        );
    }
}

/// Takes an endpoint's word on its limit from an answer to a request that was sent when `sent.limit_version` was
/// the version of what was known.
pub(super) fn heard_limit<P: Protocol>(gateway: &Gateway<P>, sent: &Sent<P>, head: &AnswerHead) {
    let choice = &sent.choice;
    let now_us = gateway.clock.now_us();
    let mut balancer = gateway.balancer();
    let change = match &head.words.limit {
        LimitWord::Unreadable(text) => {
            gateway.metrics.limit_words_unreadable.inc();
            if balancer.record_unreadable_limit(choice.key) {
                log_unreadable("endpoint_limit_unreadable", &choice.id, text);
            }
            return;
        }
        // Spoiled bytes without proof do not say that a limit is over.
        LimitWord::Free if !head.is_signed => return,
        word => balancer.record_limit(now_us, choice.key, sent.limit_version, word),
    };
    let version = balancer.standings().version(choice.key);
    drop(balancer);
    if let Some(change) = change {
        log_limit(&choice.id, change, version, "endpoint");
    }
}

/// Takes what another instance told.
pub(super) fn told<P: Protocol>(gateway: &Gateway<P>, told: &[ToldStanding]) {
    if told.is_empty() {
        return;
    }
    let now_us = gateway.clock.now_us();
    let mut balancer = gateway.balancer();
    let changes = balancer.apply_peer_standings(now_us, told);
    let lines = changes.into_iter().filter_map(|change| {
        let endpoint = change.endpoint();
        let id = balancer.entry(endpoint)?.id.clone();
        Some((id, change, balancer.standings().version(endpoint)))
    });
    let lines: Vec<_> = lines.collect();
    drop(balancer);
    for (id, change, version) in lines {
        match change {
            StandingChange::Limit(change) => log_limit(&id, change, version, "peer"),
            StandingChange::Leaves(_) => log_leaving(&id, "peer"),
        }
    }
}

/// Writes a line on an endpoint that leaves; `from` says who told.
fn log_leaving(endpoint: &str, from: &'static str) {
    log::info!(target: "ryevalve::endpoint", endpoint, from; "endpoint_leaves");
}

/// Writes a line on a limit that changed; `from` says who told.
fn log_limit(endpoint: &str, change: LimitChange, version: u32, from: &'static str) {
    let shown =
        |rate: Option<RequestRate>| rate.map_or_else(|| "none".to_owned(), |r| r.to_string());
    log::info!(
        target: "ryevalve::endpoint",
        endpoint, version, from,
        limit_per_s = shown(change.now),
        before_per_s = shown(change.before);
        "endpoint_limit"
    );
}

/// Writes a line on a word that cannot be read.
fn log_unreadable(event: &'static str, endpoint: &str, text: &str) {
    let word: String = text.chars().take(SHOWN_CHARS).collect();
    log::warn!(target: "ryevalve::endpoint", endpoint, word; "{event}");
}

fn log_unread(endpoint: &str, name: &HeaderName) {
    let header: String = name.as_str().chars().take(SHOWN_CHARS).collect();
    log::warn!(target: "ryevalve::endpoint", endpoint, header; "answer_header_unread");
}
