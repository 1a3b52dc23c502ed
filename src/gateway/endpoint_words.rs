//! Takes the limits that endpoints name in their answers.

use crate::{
    balance::{balancer::Choice, load::EndpointKey},
    gateway::{
        protocol::{AnswerHead, Protocol},
        state::Gateway,
    },
    limits::{
        rate::{LimitWord, RequestRate},
        standings::{LimitChange, ToldStanding},
    },
};

/// So much of a word that cannot be read is shown in its line, in characters.
const SHOWN_CHARS: usize = 64;

/// Notes that a request goes to an endpoint; returns the version of what is known of its limit.
pub(super) fn note_sent<P: Protocol>(gateway: &Gateway<P>, key: EndpointKey) -> u32 {
    let balancer = gateway.balancer();
    let limits = balancer.limits();
    if limits.rate(key).is_some() {
        gateway.metrics.sent_to_limited.inc();
    }
    limits.version(key)
}

/// Takes an endpoint's own word from an answer to a request that was sent when `sent_at` was the version of
/// what was known.
pub(super) fn heard<P: Protocol>(
    gateway: &Gateway<P>,
    choice: &Choice,
    sent_at: u32,
    head: &AnswerHead,
) {
    let now_us = gateway.clock.now_us();
    let mut balancer = gateway.balancer();
    let change = match &head.limit {
        LimitWord::Unreadable(text) => {
            gateway.metrics.limit_words_unreadable.inc();
            if balancer.note_unreadable_limit(choice.key) {
                log_unreadable(&choice.id, text);
            }
            return;
        }
        // Spoiled bytes without proof do not say that a limit is over.
        LimitWord::Free if !head.is_signed => return,
        word => balancer.heard_limit(now_us, choice.key, sent_at, word),
    };
    let version = balancer.limits().version(choice.key);
    drop(balancer);
    if let Some(change) = change {
        log_change(&choice.id, change, version, "endpoint");
    }
}

/// Takes what another instance told.
pub(super) fn told<P: Protocol>(gateway: &Gateway<P>, told: &[ToldStanding]) {
    if told.is_empty() {
        return;
    }
    let now_us = gateway.clock.now_us();
    let mut balancer = gateway.balancer();
    let changes = balancer.told_limits(now_us, told);
    let lines = changes.into_iter().filter_map(|change| {
        let id = balancer.entry(change.endpoint)?.id.clone();
        Some((id, change, balancer.limits().version(change.endpoint)))
    });
    let lines: Vec<_> = lines.collect();
    drop(balancer);
    for (id, change, version) in lines {
        log_change(&id, change, version, "peer");
    }
}

/// Writes a line on a limit that changed; `from` says who told.
fn log_change(endpoint: &str, change: LimitChange, version: u32, from: &'static str) {
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

fn log_unreadable(endpoint: &str, text: &str) {
    let word: String = text.chars().take(SHOWN_CHARS).collect();
    log::warn!(target: "ryevalve::endpoint", endpoint, word; "endpoint_limit_unreadable");
}
