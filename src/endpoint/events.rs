//! Splits a stream at the ends of server-sent events and keeps their bytes unchanged.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};

/// The longest supported event, in bytes. Old events before it count, too.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Most bytes of comments and empty events before an event: thousands of signs of life.
const MAX_EMPTY_BYTES: usize = 64 << 10;

/// One or more complete events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The bytes of the events.
    pub bytes: Bytes,
    /// The id of the first event with an id.
    pub first_id: Option<u64>,
    /// The id of the last event with an id.
    pub last_id: Option<u64>,
    /// The number of events.
    pub count: u32,
    /// The steps between their ids.
    pub steps: IdSteps,
    /// Whether the last event with data has an id; `None` if none has data.
    pub last_has_id: Option<bool>,
}

/// The steps between the ids of consecutive events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdSteps {
    range: Option<(u64, u64)>,
}

impl IdSteps {
    /// Adds the step from one id to the next.
    pub fn add(&mut self, from: u64, to: u64) {
        let step = to.saturating_sub(from);
        self.merge(Self {
            range: Some((step, step)),
        });
    }

    /// Adds other steps of the same stream.
    pub fn merge(&mut self, other: Self) {
        self.range = match (self.range, other.range) {
            (Some((low, high)), Some((other_low, other_high))) => {
                Some((low.min(other_low), high.max(other_high)))
            }
            (range, other) => range.or(other),
        };
    }

    /// Returns whether there were some of different lengths.
    pub fn are_uneven(&self) -> bool {
        self.range.is_some_and(|(low, high)| low != high)
    }

    /// Returns the step, if there were some and all were equal.
    pub fn uniform(&self) -> Option<u64> {
        let (low, high) = self.range?;
        (low == high).then_some(low)
    }
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
    /// Comments and empty events at the start of the buffer, which go out with the next event.
    empty_bytes: usize,
    /// Bytes of the buffer that were searched for the end of an event.
    searched_bytes: usize,
    /// Bytes of old events since the last new one.
    skipped_bytes: usize,
    /// The id of the last old event.
    last_skipped: Option<u64>,
    /// Whether events are held until one has an id, which shows whether those before it are old.
    awaits_id: bool,
}

impl EventSplitter {
    /// Splits the events of a run that goes on with a stream: it may repeat events from the first one on, some of which may
    /// have no id.
    pub fn of_continuation() -> Self {
        Self {
            awaits_id: true,
            ..Self::default()
        }
    }

    /// Ends the wait for an event with an id; returns whether there was one.
    pub fn stop_awaiting_id(&mut self) -> bool {
        std::mem::replace(&mut self.awaits_id, false)
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether the buffer holds an incomplete event; comments and line ends alone are none.
    pub fn has_partial_event(&self) -> bool {
        let partial = &self.buffer[self.empty_bytes..];
        let mut lines = partial.split(|b| matches!(b, b'\r' | b'\n'));
        lines.any(|line| line.first().is_some_and(|first| *first != b':'))
    }

    /// Returns the id of the incomplete event, if its line is complete.
    pub fn partial_id(&self) -> Option<u64> {
        let partial = &self.buffer[self.empty_bytes..];
        let lines_end = partial.iter().rposition(|b| *b == b'\n')?;
        event_id(&partial[..lines_end])
    }

    /// Returns whether the buffer holds data of an event.
    pub fn has_data(&self) -> bool {
        has_data(&self.buffer)
    }

    /// Removes and returns the comments and line ends after the last event.
    pub fn take_trailing_comments(&mut self) -> Bytes {
        let length = match self.has_partial_event() {
            true => self.empty_bytes,
            false => self.buffer.len(),
        };
        self.searched_bytes = 0;
        self.empty_bytes = 0;
        self.buffer.split_to(length).freeze()
    }

    /// Returns the id of the last event that was left out because it is old.
    pub fn last_skipped(&self) -> Option<u64> {
        self.last_skipped
    }

    /// Returns the number of bytes in the buffer.
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and returns the complete events, without those whose id is not above `last_seen`.
    ///
    /// # Errors
    /// An event is too long, or too much comes between two; the stream cannot be read any further.
    pub fn take_complete(
        &mut self,
        last_seen: Option<u64>,
    ) -> Result<Option<CompleteEvents>, EventTooLong> {
        let mut end = self.empty_bytes;
        let mut searched = self.searched_bytes.max(end);
        let mut taken = 0;
        let mut skipped = 0;
        let mut first_id = None;
        let mut last_id = None;
        let mut count = 0;
        let mut steps = IdSteps::default();
        let mut last_has_id = None;
        let mut is_searched = true;
        while let Some(length) = event_length(&self.buffer[end..], searched - end) {
            let event = &self.buffer[end..end + length];
            let id = event_id(event);
            let is_old = id.is_some_and(|id| last_seen.max(last_id).is_some_and(|s| id <= s));
            if is_old && last_id.is_some() {
                // The next call skips this event; the new events before it are returned first.
                is_searched = false;
                break;
            }
            let is_empty = is_empty_event(event);
            let has_data = has_data(event);
            end += length;
            searched = end;
            if is_old {
                // Events without ids before an old one are old as well.
                self.last_skipped = id;
                skipped = end;
                taken = end;
                count = 0;
                last_has_id = None;
                continue;
            }
            if is_empty {
                continue;
            }
            if let (Some(last), Some(id)) = (last_id, id) {
                steps.add(last, id);
            }
            if has_data {
                last_has_id = Some(id.is_some());
            }
            first_id = first_id.or(id);
            last_id = id.or(last_id);
            count += 1;
            taken = end;
        }
        let has_id = first_id.is_some() || self.last_skipped.is_some();
        if self.awaits_id && count > 0 && !has_id {
            return match self.buffer.len() > MAX_EVENT_BYTES {
                true => Err(EventTooLong),
                false => Ok(None),
            };
        }
        self.awaits_id &= !has_id;
        self.skipped_bytes = if count > 0 {
            0
        } else {
            self.skipped_bytes + skipped
        };
        let is_long = self.skipped_bytes + self.buffer.len() - taken > MAX_EVENT_BYTES;
        if is_long || end - taken > MAX_EMPTY_BYTES {
            return Err(EventTooLong);
        }
        let mut bytes = self.buffer.split_to(taken);
        let _ = bytes.split_to(skipped);
        self.empty_bytes = end - taken;
        self.searched_bytes = match is_searched {
            true => self.buffer.len(),
            false => self.empty_bytes,
        };
        Ok((count > 0).then(|| CompleteEvents {
            bytes: bytes.freeze(),
            first_id,
            last_id,
            count,
            steps,
            last_has_id,
        }))
    }
}

/// Returns the length of the first event, including the blank line that ends it. Its first `searched` bytes do not hold
/// that line as a whole.
fn event_length(bytes: &[u8], searched: usize) -> Option<usize> {
    // A blank line that was received in part begins two bytes earlier.
    let start = searched.saturating_sub(2);
    let newlines = bytes[start..].iter().enumerate();
    let newlines = newlines.filter(|(_, b)| **b == b'\n');
    for at in newlines.map(|(index, _)| start + index) {
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

fn has_data(event: &[u8]) -> bool {
    let mut lines = event.split(|b| *b == b'\n');
    lines.any(|line| line.starts_with(b"data"))
}

/// Returns whether an event only has comments and fields that bring nothing.
fn is_empty_event(event: &[u8]) -> bool {
    let mut lines = event.split(|b| *b == b'\n');
    !lines.any(|line| line.starts_with(b"data") || line.starts_with(b"id:"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
