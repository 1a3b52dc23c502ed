//! What the content of an answer shows of its end, where only the close of its connection delimits it.

use std::io::{self, Read};

use hyper::{StatusCode, header::HeaderValue};
use serde::de::{Deserialize, IgnoredAny};

/// The end mark of the event streams of common model engines.
const DONE_EVENTS: [&[u8]; 2] = [b"data: [DONE]\n\n", b"data: [DONE]\r\n\r\n"];

/// Media types of several JSON texts, one after the other, where the end of one is not the end of all.
const JSON_SERIES: [&str; 1] = ["application/stream+json"];

/// Longer JSON is not read again: it would take milliseconds in which nothing else is done.
const MAX_JSON_BYTES: usize = 1 << 20;

/// What the content of an answer shows of its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// It has come to its end.
    Shown,
    /// More must follow.
    Missing,
    /// It shows nothing.
    Unknown,
}

impl BodyEnd {
    /// Returns what a body of this media type shows.
    pub fn of_body(content_type: Option<&HeaderValue>, body: impl Read) -> Self {
        match content_type.and_then(|value| value.to_str().ok()) {
            Some(media_type) if is_json(media_type) => Self::of_json(body),
            _ => Self::Unknown,
        }
    }

    /// Returns what the last events of a stream show.
    pub fn of_events(last_events: &[u8]) -> Self {
        match DONE_EVENTS.iter().any(|done| last_events.ends_with(done)) {
            true => Self::Shown,
            false => Self::Unknown,
        }
    }

    fn of_json(body: impl Read) -> Self {
        let mut body = ReadBody::new(body);
        let mut reader = serde_json::Deserializer::from_reader(&mut body);
        match IgnoredAny::deserialize(&mut reader).and_then(|_| reader.end()) {
            // More digits may follow those of a number.
            Ok(()) => match body.first {
                Some(b'{' | b'[' | b'"') => Self::Shown,
                _ => Self::Unknown,
            },
            Err(error) if error.is_eof() || body.is_at_end => Self::Missing,
            Err(_) => Self::Unknown,
        }
    }
}

/// Returns whether an answer with this status is not whole without a body: an error tells what went wrong without one.
pub fn needs_body(status: StatusCode) -> bool {
    status.is_success() && status != StatusCode::RESET_CONTENT
}

/// Returns whether a media type is one JSON text, or based on it.
fn is_json(media_type: &str) -> bool {
    let essence = media_type.split(';').next().unwrap_or_default().trim();
    let essence = essence.to_ascii_lowercase();
    let is_based_on_json = essence == "application/json" || essence.ends_with("+json");
    is_based_on_json && !JSON_SERIES.contains(&&*essence)
}

/// A body that is read, and what was seen of it.
struct ReadBody<R> {
    body: R,
    bytes: usize,
    /// The first byte that is not white space.
    first: Option<u8>,
    is_at_end: bool,
}

impl<R> ReadBody<R> {
    fn new(body: R) -> Self {
        Self {
            body,
            bytes: 0,
            first: None,
            is_at_end: false,
        }
    }
}

impl<R: Read> Read for ReadBody<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.bytes >= MAX_JSON_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        let count = self.body.read(buffer)?;
        self.bytes += count;
        self.is_at_end |= count == 0;
        let mut read = buffer[..count].iter();
        self.first = self
            .first
            .or_else(|| read.find(|b| !b.is_ascii_whitespace()).copied());
        Ok(count)
    }
}
