//! How callers are read and answered and how endpoints are asked, in whatever headers they use.

use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, HeaderValue},
};

use crate::{
    balance::{load::EndpointLoadReport, prefixes::PromptPart},
    limits::{back_off::BackOffHeader, rate::LimitHeader},
    prelude::Name,
};

/// What a caller says of its request.
#[derive(Clone, Debug, Default)]
pub struct CallHead {
    /// The caller's id for it, kept as it came.
    pub request_id: Option<HeaderValue>,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The caller's key.
    pub key: Option<Name>,
    /// The event after which a stream goes on.
    pub resume_after: Option<u64>,
    /// The lengths of prompt and answer.
    pub tokens: Option<TokenCounts>,
    /// The parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// The caller's guess of the answer's tokens: right in the median, often far off.
    pub expected_output_tokens: Option<u32>,
}

/// How long a prompt is, and its answer at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// The most tokens of the answer.
    pub max_output: u32,
}

impl TokenCounts {
    /// Returns both together.
    pub fn total(self) -> u32 {
        self.prompt.saturating_add(self.max_output)
    }
}

/// What the gateway adds to a request that it passes on.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// The id of the endpoint's start that it is meant for.
    pub endpoint: &'a str,
    /// The caller's organisation.
    pub organisation: Option<&'a str>,
    /// Time left to the caller's deadline, in milliseconds.
    pub left_ms: u64,
    /// The last event that the caller has, where the gateway takes a stream up again.
    pub resume_after: Option<u64>,
}

/// What an endpoint says in the head of its answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// The id of the request that it answers.
    pub request_id: Option<HeaderValue>,
    /// It carries proof that it is the endpoint's own.
    pub is_signed: bool,
    /// It says that the request was not run.
    pub not_executed: bool,
    /// The endpoint's load.
    pub load: Option<EndpointLoadReport>,
    /// What it says of itself.
    pub announcements: AnnouncementHeaders,
    /// Headers that nothing here reads.
    pub unread: Vec<HeaderName>,
}

/// What an endpoint's start says of itself in an answer, whatever the answer is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnnouncementHeaders {
    /// It leaves: nothing more is to be sent to it.
    pub leaves: bool,
    /// For how long it wants nothing from this instance.
    pub back_off: BackOffHeader,
    /// How many requests it takes from all instances together.
    pub limit: LimitHeader,
}

/// The headers of one platform.
pub trait Protocol: Clone + Send + Sync + 'static {
    /// Reads what a caller says of its request.
    fn read_call(&self, headers: &HeaderMap) -> CallHead;

    /// Replaces what only the gateway may say to an endpoint.
    fn write_forward(&self, headers: &mut HeaderMap, forward: &Forward<'_>);

    /// Reads the head of an endpoint's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Adds to a refusal what lets the caller tell its request.
    fn write_refusal(&self, headers: &mut HeaderMap, request_id: Option<&HeaderValue>);
}
