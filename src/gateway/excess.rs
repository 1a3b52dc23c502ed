//! Answers that bring more than any answer to their request can: how much that is, and how it is counted and logged.
//!
//! Such an answer counts as a failure of its endpoint, and its request runs elsewhere if it may.

use crate::{
    balance::balancer::Choice,
    endpoint::event_limit,
    gateway::{
        attempt::Job,
        protocol::{Protocol, TokenCounts},
        state::Gateway,
    },
};

/// What an answer brings too much of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Excess {
    /// Its head, with the interim answers before it.
    Head,
    /// Its body.
    Body,
    /// One event, or what comes between two.
    Event,
    /// Its events.
    Events,
}

impl Excess {
    /// Returns the reason in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Head => "head_too_long",
            Self::Body => "body_too_long",
            Self::Event => "event_too_long",
            Self::Events => "too_many_events",
        }
    }
}

/// Returns the most events that a stream can have whose caller states these tokens; `None` if there is no bound.
pub fn max_events(tokens: Option<TokenCounts>) -> Option<u64> {
    tokens.map(|tokens| event_limit::max_events(tokens.max_output))
}

/// Counts and logs an answer that is given up because of its excess.
pub fn note<P: Protocol>(gateway: &Gateway<P>, job: &Job, choice: &Choice, excess: Excess) {
    let reason = excess.as_str();
    gateway.metrics.count_excess(reason);
    log::warn!(
        target: "ryevalve::request",
        request_id = job.request_id(),
        route = &*job.route.name,
        endpoint = &*choice.id,
        max_events:serde = max_events(job.head.tokens),
        reason;
        "answer_too_long"
    );
}
