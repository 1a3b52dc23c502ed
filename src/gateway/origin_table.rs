//! Which version of the endpoints' software began a stream: the records that one instance holds.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::prelude::{Micros, Name};

/// How long a record is kept after it was last written. Callers take streams up within their time limits, which are
/// shorter.
const RECORD_LIFETIME_US: Micros = 120_000_000;
/// Maximum number of records, some 250 bytes each: those of two minutes with 130 streams a second. The ones that were
/// written first are dropped first.
const MAX_RECORDS: usize = 16_384;

/// Identifies a stream on all instances: a hash of its organisation and of the id of the attempt that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(u128);

impl StreamKey {
    /// Returns the key of the stream that an attempt of an organisation's caller began. Ids are chosen by callers, so
    /// that two organisations may use the same.
    pub fn of(organisation: Option<&str>, request_id: &[u8]) -> Self {
        let organisation = organisation.unwrap_or_default();
        let mut hasher = Sha256::new();
        // The length prefix keeps the two parts from being confused with each other.
        hasher.update((organisation.len() as u64).to_le_bytes());
        hasher.update(organisation);
        hasher.update(request_id);
        let digest = hasher.finalize();
        let mut prefix = [0; 16];
        prefix.copy_from_slice(&digest[..16]);
        Self(u128::from_le_bytes(prefix))
    }

    /// Returns the remainder of the key divided by `divisor`, which is not 0: keys are spread evenly.
    pub fn remainder(self, divisor: u32) -> u32 {
        (self.0 % u128::from(divisor)) as u32
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: Name,
    /// The version of the software of the endpoint that brought the first event.
    pub version: Name,
}

/// A record of a stream's origin.
#[derive(Debug)]
struct Record {
    origin: StreamOrigin,
    /// Whether attempts with the stream's id began at several origins.
    is_ambiguous: bool,
    written_us: Micros,
}

/// The records of one instance, bounded in number and age.
#[derive(Debug, Default)]
pub struct OriginTable {
    records: HashMap<StreamKey, Record>,
    /// Every write, the oldest first. A record that was written again has a later one too.
    writes: VecDeque<(Micros, StreamKey)>,
}

impl OriginTable {
    /// Writes a record, in place of an earlier one of the stream. If that had another origin, neither is known to be that
    /// of the stream: callers may use an id for two attempts.
    pub fn write(&mut self, now_us: Micros, key: StreamKey, origin: StreamOrigin) {
        self.expire(now_us);
        let earlier = self.records.get(&key);
        let record = Record {
            is_ambiguous: earlier.is_some_and(|e| e.is_ambiguous || e.origin != origin),
            origin,
            written_us: now_us,
        };
        self.records.insert(key, record);
        self.writes.push_back((now_us, key));
        while self.writes.len() > MAX_RECORDS {
            self.drop_oldest();
        }
    }

    /// Returns the origin of a stream, if it is known.
    pub fn get(&self, now_us: Micros, key: StreamKey) -> Option<&StreamOrigin> {
        let record = self.record(now_us, key)?;
        (!record.is_ambiguous).then_some(&record.origin)
    }

    /// Returns whether attempts with a stream's id began at several origins.
    pub fn is_ambiguous(&self, now_us: Micros, key: StreamKey) -> bool {
        self.record(now_us, key).is_some_and(|r| r.is_ambiguous)
    }

    fn record(&self, now_us: Micros, key: StreamKey) -> Option<&Record> {
        let record = self.records.get(&key)?;
        let age_us = now_us.saturating_sub(record.written_us);
        (age_us < RECORD_LIFETIME_US).then_some(record)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn expire(&mut self, now_us: Micros) {
        while let Some((written_us, _)) = self.writes.front()
            && now_us.saturating_sub(*written_us) >= RECORD_LIFETIME_US
        {
            self.drop_oldest();
        }
    }

    /// Drops the oldest write, and its record if it was not written again.
    fn drop_oldest(&mut self) {
        let Some((written_us, key)) = self.writes.pop_front() else {
            return;
        };
        if self
            .records
            .get(&key)
            .is_some_and(|r| r.written_us == written_us)
        {
            self.records.remove(&key);
        }
    }
}
