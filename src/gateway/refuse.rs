//! Final answers of the gateway's own, in the callers' headers.

use hyper::{
    Response, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};

use crate::{
    entry::{answer::Body, refusal::Refusal},
    gateway::protocol::Protocol,
    prelude::Micros,
};

/// Why a request is refused under which endpoints ended.
pub const ENDS_ENDPOINTS: &str = "ends_endpoints";

/// Returns the answer of a refusal. The time to come back is given in seconds with fractions.
pub fn response<P: Protocol>(
    protocol: &P,
    refusal: &Refusal,
    request_id: Option<&HeaderValue>,
) -> Response<Body> {
    let mut response = refusal.response(None);
    let headers = response.headers_mut();
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = format!("{:.3}", f64::from(retry_after_ms) / 1e3);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    protocol.write_refusal(headers, request_id);
    response
}

/// No configuration is known, or it is too old to judge a key by.
pub fn not_ready(reason: &'static str) -> Refusal {
    let message = "the configuration is not known to be the newest";
    Refusal::not_run(reason, message, 1_000)
}

/// The organisation's limit is used up.
pub fn over_limit(retry_after_ms: u32) -> Refusal {
    let message = "the organisation's limit is used up";
    Refusal {
        status: StatusCode::TOO_MANY_REQUESTS,
        ..Refusal::not_run("over_limit", message, retry_after_ms)
    }
}

/// Endpoints ended under the request wherever it ran; it did not run this time.
pub fn blocked(blocked_us: Micros) -> Refusal {
    let message = "endpoints that ran this request ended; it is not sent to another";
    let blocked_ms = u32::try_from(blocked_us / 1_000).unwrap_or(u32::MAX);
    Refusal::not_run(ENDS_ENDPOINTS, message, blocked_ms)
}

/// The request did not run, and is given up.
pub fn not_run(reason: &'static str, retry_after_ms: u32) -> Refusal {
    let message = "the request did not run";
    Refusal::not_run(reason, message, retry_after_ms)
}

/// The request was sent, and time ran out.
pub fn timed_out() -> Refusal {
    Refusal {
        status: StatusCode::GATEWAY_TIMEOUT,
        ..Refusal::unknown("timed_out", "the endpoint did not answer in time")
    }
}

/// The request was sent, and what became of it is not known.
pub fn unknown(reason: &'static str) -> Refusal {
    Refusal::unknown(reason, "the endpoint may have run the request")
}
