//! Refusals sent to callers: typed JSON that states whether the request may have run.

use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::Serialize;

use crate::{
    entry::answer::{Body, full},
    prelude::RequestId,
};

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request did not run.
    NotRun,
    /// It is unknown whether the request ran.
    OutcomeUnknown,
    /// The request is invalid; it did not run.
    BadRequest,
}

/// Returns whether callers take a status as the promise that their request did not run and never will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// A final answer that does not come from the endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Whether the request ran.
    pub verdict: Verdict,
    /// HTTP status.
    pub status: StatusCode,
    /// Reason code.
    pub reason: &'static str,
    /// Human-readable explanation.
    pub message: String,
    /// Time after which the caller may retry, in milliseconds.
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
    /// Creates a refusal of a request that did not run, with the time after which to retry.
    pub fn not_run(reason: &'static str, message: impl Into<String>, retry_after_ms: u32) -> Self {
        Self {
            verdict: Verdict::NotRun,
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            message: message.into(),
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// Creates a refusal of a request that had not run when its deadline passed.
    pub fn expired() -> Self {
        Self {
            verdict: Verdict::NotRun,
            status: StatusCode::GATEWAY_TIMEOUT,
            reason: "deadline_passed",
            message: "the deadline passed while the request waited".to_owned(),
            retry_after_ms: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: &'static str, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::OutcomeUnknown,
            status: StatusCode::BAD_GATEWAY,
            reason,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Creates a refusal for a key whose earlier request ran, is running or may still run.
    pub fn duplicate() -> Self {
        Self {
            status: StatusCode::CONFLICT,
            ..Self::unknown("duplicate_key", "a request with this key was taken before")
        }
    }

    /// Creates a refusal of an invalid request.
    pub fn bad(status: StatusCode, reason: &'static str, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::BadRequest,
            status,
            reason,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Returns the refusal as JSON text.
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

    /// Returns the HTTP response, with `Retry-After` in seconds where a back-off is set.
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
