//! Parses a byte stream into server-sent events.

use bytes::{Buf, BytesMut};

/// The longest supported event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Most bytes of comments and empty events before an event.
const MAX_EMPTY_BYTES: usize = 64 << 10;

/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The event's id, by which a stream is resumed.
    pub id: Option<u64>,
    /// The data lines, joined by newlines.
    pub data: String,
}

/// Why an event cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadEvent {
    /// It is longer than [`MAX_EVENT_BYTES`], or too much without data comes before it.
    TooLong,
    /// It is not valid UTF-8.
    NotUtf8,
}

/// Parses bytes that arrive in arbitrary chunks into events.
///
/// ```
/// use ryevalve::endpoint::sse::Splitter;
/// let mut splitter = Splitter::default();
/// splitter.push(b"id: 3\ndata: a");
/// assert_eq!(splitter.next(), Ok(None));
/// splitter.push(b"b\n\n");
/// let event = splitter.next().unwrap().unwrap();
/// assert_eq!((event.id, event.data.as_str()), (Some(3), "ab"));
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    searched: usize,
    /// Bytes of comments and empty events since the last event.
    empty_bytes: usize,
}

impl Splitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or none until more bytes arrive.
    ///
    /// # Errors
    /// The event is bad; the stream cannot be read any further.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Event>, BadEvent> {
        loop {
            let Some((length, end)) = self.find_end() else {
                let too_long = self.buffer.len() > MAX_EVENT_BYTES;
                return if too_long {
                    Err(BadEvent::TooLong)
                } else {
                    Ok(None)
                };
            };
            let text =
                std::str::from_utf8(&self.buffer[..length]).map_err(|_| BadEvent::NotUtf8)?;
            let event = parse(text);
            self.buffer.advance(end);
            self.searched = 0;
            if let Some(event) = event {
                self.empty_bytes = 0;
                return Ok(Some(event));
            }
            self.empty_bytes += end;
            if self.empty_bytes > MAX_EMPTY_BYTES {
                return Err(BadEvent::TooLong);
            }
        }
    }

    /// Finds the blank line that ends an event; returns the event's length and the start of the next event.
    fn find_end(&mut self) -> Option<(usize, usize)> {
        let start = self.searched.saturating_sub(3);
        let bytes = &self.buffer[start..];
        for (at, _) in bytes.iter().enumerate().filter(|(_, b)| **b == b'\n') {
            let rest = &bytes[at + 1..];
            if rest.first() == Some(&b'\n') {
                return Some((start + at, start + at + 2));
            }
            if rest.starts_with(b"\r\n") {
                return Some((start + at, start + at + 3));
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

/// Parses an event's lines; returns none if the event has no data.
fn parse(text: &str) -> Option<Event> {
    let mut event = Event::default();
    let mut has_data = false;
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => event.id = value.parse().ok(),
            "data" => {
                if has_data {
                    event.data.push('\n');
                }
                event.data.push_str(value);
                has_data = true;
            }
            _ => {}
        }
    }
    has_data.then_some(event)
}
