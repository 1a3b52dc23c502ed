//! Abstracts over a platform's headers for requests of callers and answers of endpoints.

use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, HeaderValue},
};

use crate::{
    balance::{load::EndpointLoadReport, prefixes::PromptPart},
    limits::{back_off::BackOffHeader, rate::LimitHeader},
    prelude::Name,
};

/// The contents of a caller's request headers.
#[derive(Clone, Debug, Default)]
pub struct CallHead {
    /// The caller's id of the request, unchanged.
    pub request_id: Option<HeaderValue>,
    /// The caller's timeout, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The caller's API key.
    pub key: Option<Name>,
    /// The id of the event after which a stream is to resume.
    pub resume_after: Option<u64>,
    /// The id of the caller's attempt that brought the first event of the stream to resume.
    pub resumes: Option<HeaderValue>,
    /// The token counts of prompt and answer.
    pub tokens: Option<TokenCounts>,
    /// The parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// The caller's estimate of the answer's tokens: accurate in the median, but often far off.
    pub expected_output_tokens: Option<u32>,
}

/// The size of a prompt and the maximum size of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Maximum number of tokens of the answer.
    pub max_output: u32,
}

impl TokenCounts {
    /// Returns the sum of both.
    pub fn total(self) -> u32 {
        self.prompt.saturating_add(self.max_output)
    }
}

/// What the gateway adds to a request that it forwards to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// The id of the endpoint incarnation that the request is meant for.
    pub endpoint: &'a str,
    /// The caller's organisation.
    pub organisation: Option<&'a str>,
    /// Time left until the caller's deadline, in milliseconds.
    pub left_ms: u64,
    /// The id of the last event that the caller received, when the gateway resumes a stream.
    pub resume_after: Option<u64>,
}

/// The contents of the head of an endpoint's answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// The id of the request that it answers.
    pub request_id: Option<HeaderValue>,
    /// Whether it is signed, which shows that the endpoint itself answered.
    pub is_signed: bool,
    /// Whether it states that the request was not run.
    pub not_executed: bool,
    /// The endpoint's load.
    pub load: Option<EndpointLoadReport>,
    /// The endpoint's announcements.
    pub announcements: AnnouncementHeaders,
    /// Headers that the gateway does not interpret.
    pub unread: Vec<HeaderName>,
}

/// What an endpoint incarnation announces in the headers of an answer, whatever the answer's status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnnouncementHeaders {
    /// Whether it is leaving: it must not be sent further requests.
    pub leaves: bool,
    /// The back-off that it requests from this instance.
    pub back_off: BackOffHeader,
    /// The rate limit of its requests from all instances together.
    pub limit: LimitHeader,
    /// Set if it crashes when it refuses more requests than this in a second for want of room.
    pub brittle: Option<u32>,
}

/// Reads and writes the headers of one platform.
pub trait Protocol: Clone + Send + Sync + 'static {
    /// Reads the headers of a caller's request.
    fn read_call(&self, headers: &HeaderMap) -> CallHead;

    /// Sets the headers that only the gateway may send to an endpoint, replacing those of the caller.
    fn write_forward(&self, headers: &mut HeaderMap, forward: &Forward<'_>);

    /// Sets the headers of a status check that only the endpoint with this id may answer with another status than 421.
    fn write_status_check(&self, headers: &mut HeaderMap, endpoint: &str);

    /// Reads the head of an endpoint's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Adds headers to a refusal by which the caller can match it to its request.
    fn write_refusal(&self, headers: &mut HeaderMap, request_id: Option<&HeaderValue>);
}
