//! Splits a stream at the ends of server-sent events and keeps their bytes unchanged.

use bytes::{Bytes, BytesMut};

/// The longest supported event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One or more complete events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The bytes of the events.
    pub bytes: Bytes,
    /// The id of the last event with an id.
    pub last_id: Option<u64>,
    /// The number of events.
    pub count: u32,
}

/// An event is longer than supported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Splits bytes that arrive in arbitrary chunks into complete events.
///
/// ```
/// use ryevalve::endpoint::events::EventSplitter;
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"id: 3\ndata: a");
/// assert_eq!(splitter.take_complete(None), Ok(None));
/// splitter.push(b"b\n\nid: 4\n");
/// let events = splitter.take_complete(None).unwrap().unwrap();
/// assert_eq!((&events.bytes[..], events.last_id), (&b"id: 3\ndata: ab\n\n"[..], Some(3)));
/// assert!(splitter.has_partial_event());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether the buffer holds an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the number of bytes in the buffer.
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and returns the complete events, without those whose id is not above `last_seen`.
    ///
    /// # Errors
    /// An event is too long; the stream cannot be read any further.
    pub fn take_complete(
        &mut self,
        last_seen: Option<u64>,
    ) -> Result<Option<CompleteEvents>, EventTooLong> {
        let mut end = 0;
        let mut skipped = 0;
        let mut last_id = None;
        let mut count = 0;
        while let Some(length) = event_length(&self.buffer[end..]) {
            let id = event_id(&self.buffer[end..end + length]);
            end += length;
            let is_old = id.is_some_and(|id| last_seen.max(last_id).is_some_and(|s| id <= s));
            if is_old && count == 0 {
                skipped = end;
                continue;
            }
            if is_old {
                // The next call skips this event; the new events before it are returned first.
                end -= length;
                break;
            }
            last_id = id.or(last_id);
            count += 1;
        }
        if self.buffer.len() - end > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        let mut bytes = self.buffer.split_to(end);
        let _ = bytes.split_to(skipped);
        Ok((count > 0).then(|| CompleteEvents {
            bytes: bytes.freeze(),
            last_id,
            count,
        }))
    }
}

/// Returns the length of the first event, including the blank line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let newlines = bytes.iter().enumerate().filter(|(_, b)| **b == b'\n');
    for (at, _) in newlines {
        let rest = &bytes[at + 1..];
        if rest.first() == Some(&b'\n') {
            return Some(at + 2);
        }
        if rest.starts_with(b"\r\n") {
            return Some(at + 3);
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
