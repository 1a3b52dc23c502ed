//! Cuts a stream of events at the ends of events, keeping their bytes as they came.

use bytes::{Bytes, BytesMut};

/// The longest event that is taken, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One or more whole events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Their bytes.
    pub bytes: Bytes,
    /// The id of the last event that has one.
    pub last_id: Option<u64>,
    /// How many they are.
    pub count: u32,
}

/// An event longer than this module takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Takes bytes in any pieces and gives whole events.
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
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether part of an event is left.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the whole events that are there, without those whose ids do not come after `seen`.
    ///
    /// # Errors
    /// An event is too long; nothing more can be read.
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
                // An old event among new ones: those before it go first.
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

/// Returns the length of the first event with the blank line that ends it.
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
