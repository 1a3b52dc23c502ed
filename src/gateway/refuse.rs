//! The gateway's own final responses to callers: refusals and errors.

use hyper::{
    Response, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};

use crate::{
    entry::{answer::Body, refusal::Refusal},
    gateway::{blocks::Block, protocol::Protocol},
};

/// Reason for refusing a request that there is no memory for.
pub const NO_MEMORY: &str = "no_memory";

/// Builds the response of a refusal. `Retry-After` is written in seconds with fractions.
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

/// There is no configuration yet, or it is too old to decide on a route or key.
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

/// Endpoints crashed whenever they ran the request, or began to answer a part of its prompt; it is blocked and did not
/// run this time.
pub fn blocked(block: Block) -> Refusal {
    let message = match block {
        Block::Request { .. } => "endpoints that ran this request ended; it is not sent to another",
        Block::Part(_) => {
            "endpoints that answered a part of this prompt ended; it is not sent to another"
        }
    };
    let blocked_ms = u32::try_from(block.left_us() / 1_000).unwrap_or(u32::MAX);
    Refusal::not_run(block.reason(), message, blocked_ms)
}

/// The caller did not send the body within the time of its request.
pub fn body_too_slow() -> Refusal {
    let message = "the body did not arrive in time";
    Refusal::bad(StatusCode::REQUEST_TIMEOUT, "body_too_slow", message)
}

/// The request did not run and is not tried again.
pub fn not_run(reason: &'static str, retry_after_ms: u32) -> Refusal {
    let message = "the request did not run";
    Refusal::not_run(reason, message, retry_after_ms)
}

/// The request was sent, and its time budget ran out.
pub fn timed_out() -> Refusal {
    Refusal {
        status: StatusCode::GATEWAY_TIMEOUT,
        ..Refusal::unknown("timed_out", "the endpoint did not answer in time")
    }
}

/// The request was sent, and its outcome is unknown.
pub fn unknown(reason: &'static str) -> Refusal {
    Refusal::unknown(reason, "the endpoint may have run the request")
}
