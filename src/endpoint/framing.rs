//! How an endpoint's answer is delimited, which decides what its end proves.

use hyper::{
    HeaderMap, Response,
    body::{Body, Incoming},
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

/// How an answer is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length, or it has no body.
    Length,
    /// By chunks, the last of which is marked.
    Chunked,
    /// By the end of its connection, which looks the same whether the answer is complete or the endpoint has crashed.
    Close,
}

impl Framing {
    /// Returns how a response is delimited whose body has not been read.
    pub fn of(response: &Response<Incoming>) -> Self {
        let headers = response.headers();
        // A length does not count beside a transfer coding.
        let has_length =
            headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING);
        if is_chunked(headers) {
            Self::Chunked
        } else if has_length || response.body().is_end_stream() {
            Self::Length
        } else {
            Self::Close
        }
    }

    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

/// Returns whether the last transfer coding is `chunked`.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let coding = last.and_then(|v| v.to_str().ok()?.rsplit(',').next());
    coding.is_some_and(|c| c.trim().eq_ignore_ascii_case("chunked"))
}
