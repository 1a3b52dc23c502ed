//! Refusals, as callers get them: typed JSON, and true.

use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::Serialize;

use crate::{
    entry::answer::{Body, full},
    prelude::RequestId,
};

/// What a refusal says of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It did not run.
    NotRun,
    /// Whether it ran is not known here, and never guessed.
    OutcomeUnknown,
    /// It could not be taken as it is; it did not run.
    BadRequest,
}

/// A final answer other than the endpoint's.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// What it says of the request.
    pub verdict: Verdict,
    /// The status.
    pub status: StatusCode,
    /// Why, as a fixed word.
    pub reason: &'static str,
    /// Why, in a sentence.
    pub message: String,
    /// When the caller may come back, in milliseconds.
    pub retry_after_ms: Option<u32>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorText<'a>,
}

#[derive(Serialize)]
struct ErrorText<'a> {
    r#type: Verdict,
    reason: &'a str,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<String>,
}

impl Refusal {
    /// Says that the request did not run, and when to come back.
    pub fn not_run(reason: &'static str, message: impl Into<String>, retry_after_ms: u32) -> Self {
        Self {
            verdict: Verdict::NotRun,
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            message: message.into(),
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// Says that the request did not run before its deadline.
    pub fn expired() -> Self {
        Self {
            verdict: Verdict::NotRun,
            status: StatusCode::GATEWAY_TIMEOUT,
            reason: "deadline_passed",
            message: "the deadline passed while the request waited".to_owned(),
            retry_after_ms: None,
        }
    }

    /// Says that the request may have run.
    pub fn unknown(reason: &'static str, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::OutcomeUnknown,
            status: StatusCode::BAD_GATEWAY,
            reason,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Says that another arrival with the same key ran, runs or may run.
    pub fn duplicate() -> Self {
        Self {
            status: StatusCode::CONFLICT,
            ..Self::unknown("duplicate_key", "a request with this key was taken before")
        }
    }

    /// Says what is wrong with the request.
    pub fn bad(status: StatusCode, reason: &'static str, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::BadRequest,
            status,
            reason,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Returns the JSON text.
    pub fn json(&self, id: Option<RequestId>) -> String {
        let body = ErrorBody {
            error: ErrorText {
                r#type: self.verdict,
                reason: self.reason,
                message: &self.message,
                retry_after_ms: self.retry_after_ms,
                request_id: id.map(|id| id.to_string()),
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Returns the answer to send.
    pub fn response(&self, id: Option<RequestId>) -> Response<Body> {
        let mut response = Response::new(full(self.json(id)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(retry_after_ms) = self.retry_after_ms {
            let seconds = retry_after_ms.div_ceil(1_000).max(1);
            headers.insert(RETRY_AFTER, seconds.into());
        }
        response
    }
}
