//! Segments of the archive of stream origins: the records of one slot and one second, as they are stored.
//!
//! Streams are divided among slots by their key. The objects of a slot form a ring, so that each is replaced after
//! [`SEGMENTS`] seconds and nothing has to be deleted.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::gateway::origin_table::{StreamKey, StreamOrigin};

/// Number of segments of a slot. Origins of running streams are recorded again every few seconds, and callers take
/// streams up within their time limits, which are shorter than the rest of the ring.
pub const SEGMENTS: u64 = 32;
/// Segments that differ from the time of the reader by more than this are of an earlier use of their slot, or of a writer
/// whose clock is wrong.
const MAX_AGE_S: u64 = 120;
/// Most records of a segment, some 30 bytes each as stored. Objects may have a megabyte.
const MAX_RECORDS: usize = 16_384;
/// One slot is kept for so many instances.
const INSTANCES_PER_SLOT: usize = 8;
/// Two slots, so that a small group divides the writes.
const MIN_SLOTS: usize = 2;
/// With more, the instances that own a slot would be too many to read the archive at the same time.
const MAX_SLOTS: usize = 32;

/// Returns the number of slots in a group of this many instances.
pub fn slot_count(instances: usize) -> u32 {
    let slots = (instances / INSTANCES_PER_SLOT).next_power_of_two();
    slots.clamp(MIN_SLOTS, MAX_SLOTS) as u32
}

/// A part of the streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Slot {
    /// The number of slots.
    pub slots: u32,
    /// The number of this one, from 0.
    pub number: u32,
}

impl Slot {
    /// Returns the slot of a stream in a group of this many instances.
    pub fn of(key: StreamKey, instances: usize) -> Self {
        let slots = slot_count(instances);
        let number = key.remainder(slots);
        Self { slots, number }
    }
}

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.slots, self.number)
    }
}

/// What is stored of a stream: its origin, or none if attempts with its id began at several.
pub type ArchivedOrigin = Option<StreamOrigin>;

/// Why a segment cannot be used.
#[derive(Debug, Snafu)]
pub enum SegmentError {
    /// The object was written by another version of the software, or is damaged.
    #[snafu(display("the segment cannot be decoded: {source}"), context(false))]
    Undecodable {
        /// The error of the decoder.
        source: postcard::Error,
    },
}

/// The records of a slot that were written in one second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Segment {
    /// The second, in Unix time.
    pub unix_s: u64,
    records: BTreeMap<StreamKey, ArchivedOrigin>,
}

/// A segment as it is stored. Origins are few, and records refer to them by position.
#[derive(Serialize, Deserialize)]
struct Encoded {
    unix_s: u64,
    origins: Vec<StreamOrigin>,
    records: Vec<(StreamKey, Option<u16>)>,
}

impl Segment {
    /// Creates an empty segment.
    pub fn new(unix_s: u64) -> Self {
        Self {
            unix_s,
            records: BTreeMap::new(),
        }
    }

    /// Returns the name of the object in which a segment of a slot is stored.
    pub fn object_name(slot: Slot, unix_s: u64) -> String {
        format!("{slot}-{}", unix_s % SEGMENTS)
    }

    /// Adds a record; returns whether the segment changed. A stream with two origins keeps neither.
    pub fn insert(&mut self, key: StreamKey, origin: ArchivedOrigin) -> bool {
        let has_room = self.records.len() < MAX_RECORDS;
        match self.records.get_mut(&key) {
            None if !has_room => false,
            None => {
                self.records.insert(key, origin);
                true
            }
            Some(known) if *known == origin || known.is_none() => false,
            Some(known) => {
                *known = None;
                true
            }
        }
    }

    /// Adds the records of another segment.
    pub fn merge(&mut self, other: &Self) {
        for (key, origin) in &other.records {
            self.insert(*key, origin.clone());
        }
    }

    /// Returns the record of a stream.
    pub fn get(&self, key: StreamKey) -> Option<&ArchivedOrigin> {
        self.records.get(&key)
    }

    /// Returns the records.
    pub fn records(&self) -> impl Iterator<Item = (StreamKey, &ArchivedOrigin)> {
        self.records.iter().map(|(key, origin)| (*key, origin))
    }

    /// Returns whether the segment is recent enough to hold origins of streams that can be taken up.
    pub fn is_recent(&self, now_unix_s: u64) -> bool {
        self.unix_s.abs_diff(now_unix_s) <= MAX_AGE_S
    }

    /// Encodes the segment.
    pub fn encode(&self) -> Vec<u8> {
        let mut origins: Vec<StreamOrigin> = Vec::new();
        let mut position_of = |origin: &StreamOrigin| {
            let known = origins.iter().position(|o| o == origin);
            let position = known.unwrap_or_else(|| {
                origins.push(origin.clone());
                origins.len() - 1
            });
            // More origins than this would need as many versions at once; such a record counts as ambiguous.
            u16::try_from(position).ok()
        };
        let records = self.records();
        let records =
            records.map(|(key, origin)| (key, origin.as_ref().and_then(&mut position_of)));
        let encoded = Encoded {
            unix_s: self.unix_s,
            records: records.collect(),
            origins,
        };
        // Plain data like this always serialises to postcard.
        postcard::to_stdvec(&encoded).unwrap_or_default()
    }

    /// Decodes a segment.
    ///
    /// # Errors
    /// The bytes are not those of a segment.
    pub fn decode(bytes: &[u8]) -> Result<Self, SegmentError> {
        let encoded: Encoded = postcard::from_bytes(bytes)?;
        let origin_at = |at: u16| encoded.origins.get(usize::from(at)).cloned();
        let records = encoded.records.iter();
        let records = records.map(|(key, at)| (*key, at.and_then(origin_at)));
        Ok(Self {
            unix_s: encoded.unix_s,
            records: records.collect(),
        })
    }
}
