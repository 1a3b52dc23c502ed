//! The answer of a plain service as it arrives, and whether it has come to its end.

use std::{io, net::SocketAddr};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};

use crate::{
    endpoint::{
        body_end::{BodyEnd, needs_body},
        close_check,
        connection::Answer,
        framing::Framing,
    },
    entry::answer::Message,
};

const MAX_BYTES: u64 = 64 << 20;
/// Content up to this length is kept where it may show whether the answer is whole.
const MAX_KEPT_BYTES: usize = 1 << 20;

/// Why an answer is not whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotWhole {
    /// It was broken off.
    Cut,
    /// It is longer than any answer.
    TooLong,
}

impl NotWhole {
    /// Returns the reason in the records of requests.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Cut => "answer_cut",
            Self::TooLong => "answer_too_long",
        }
    }
}

/// An answer whose head has arrived.
pub struct PlainAnswer {
    answer: Answer,
    /// The head for the caller, until it is taken.
    head: Option<Message>,
    framing: Framing,
    content_length: Option<u64>,
    received_bytes: u64,
    /// The content so far, where nothing but it may show whether the answer is whole.
    kept: Option<BytesMut>,
}

impl PlainAnswer {
    /// Takes an answer of which nothing but the head has been read.
    pub fn new(answer: Answer) -> Self {
        let framing = Framing::of(&answer.response);
        let headers = answer.response.headers();
        let content_length = headers.get(CONTENT_LENGTH);
        let content_type = headers.get(CONTENT_TYPE).cloned();
        let default_type = HeaderValue::from_static("application/octet-stream");
        let head = Message::Begin {
            status: answer.response.status(),
            content_type: content_type.unwrap_or(default_type),
            is_delimited_by_close: framing == Framing::Close,
        };
        // Where an empty body shows nothing, no body does.
        let shows_end =
            BodyEnd::of_body(headers.get(CONTENT_TYPE), io::empty()) != BodyEnd::Unknown;
        let is_kept = framing == Framing::Close && shows_end;
        Self {
            kept: is_kept.then(BytesMut::new),
            content_length: content_length.and_then(|v| v.to_str().ok()?.parse().ok()),
            head: Some(head),
            framing,
            received_bytes: 0,
            answer,
        }
    }

    /// Returns whether only the close of its connection delimits the answer.
    pub fn is_delimited_by_close(&self) -> bool {
        self.framing == Framing::Close
    }

    /// Returns its head for the caller, once.
    pub fn take_head(&mut self) -> Option<Message> {
        self.head.take()
    }

    /// Returns the next bytes of the body, or none after the last ones.
    ///
    /// # Errors
    /// The answer broke, or has become too long.
    pub async fn next(&mut self) -> Result<Option<Bytes>, NotWhole> {
        while let Some(frame) = self.answer.response.body_mut().frame().await {
            let bytes = frame.map_err(|_| NotWhole::Cut)?.into_data();
            let Some(bytes) = bytes.ok().filter(|b| !b.is_empty()) else {
                continue;
            };
            self.received_bytes += bytes.len() as u64;
            self.keep(&bytes);
            return match self.received_bytes > MAX_BYTES {
                true => Err(NotWhole::TooLong),
                false => Ok(Some(bytes)),
            };
        }
        Ok(None)
    }

    /// Checks an answer that has ended.
    ///
    /// # Errors
    /// More must follow, or the endpoint at `addr` has ended with the connection.
    pub async fn check_end(&self, addr: SocketAddr) -> Result<(), NotWhole> {
        let has_all_bytes = self.content_length.is_none_or(|l| l == self.received_bytes);
        let is_end_shown = match self.is_delimited_by_close() {
            true => self.is_close_the_end(addr).await,
            false => true,
        };
        (has_all_bytes && is_end_shown)
            .then_some(())
            .ok_or(NotWhole::Cut)
    }

    /// Returns whether the close of the connection is the end of the answer.
    async fn is_close_the_end(&self, addr: SocketAddr) -> bool {
        match self.content() {
            BodyEnd::Shown => true,
            BodyEnd::Missing => false,
            BodyEnd::Unknown => !self.lacks_body() && close_check::is_confirmed(addr).await,
        }
    }

    fn lacks_body(&self) -> bool {
        self.received_bytes == 0 && needs_body(self.answer.response.status())
    }

    /// Returns what the content shows of its end.
    fn content(&self) -> BodyEnd {
        let content_type = self.answer.response.headers().get(CONTENT_TYPE);
        match self.kept.as_deref() {
            Some(kept) if !kept.is_empty() => BodyEnd::of_body(content_type, kept),
            _ => BodyEnd::Unknown,
        }
    }

    fn keep(&mut self, bytes: &[u8]) {
        let max_len = MAX_KEPT_BYTES.saturating_sub(bytes.len());
        self.kept = self.kept.take().filter(|kept| kept.len() <= max_len);
        if let Some(kept) = &mut self.kept {
            kept.extend_from_slice(bytes);
        }
    }
}
