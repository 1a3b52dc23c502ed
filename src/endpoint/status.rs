//! Statuses of answers.

use hyper::StatusCode;

/// Returns whether an answer with this status is final: of a class that RFC 9110 defines, and neither interim nor a switch
/// to another protocol, for which no request asks.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
