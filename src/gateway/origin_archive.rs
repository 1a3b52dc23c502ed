//! Keeps the origins of streams in the store, so that streams can be taken up after the loss of all instances.
//!
//! While a service has several versions, the instance that relays a stream sends its origin to the owner of the stream's
//! slot. Owners write what they get some times a second, one object for each slot and second. They read the archive when
//! they are asked for a stream, unless they got all that was written to its slot. Nothing waits for a write. A stream that
//! began since the last write is refused after the loss of all.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{sync::Notify, time};

use crate::{
    clock::unix_s,
    gateway::{
        origin_segments::{ArchivedOrigin, SEGMENTS, Segment, Slot, slot_count},
        origin_table::StreamKey,
        protocol::Protocol,
        state::Gateway,
    },
    prelude::Micros,
    store::{self, ListingStore, ObjectEra, ReadError, Store, WriteError},
};

/// Shortest time between two writes of an instance.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Slots share 40 writes a second, a tenth of what stores allow.
const WRITE_INTERVAL_PER_SLOT: Duration = Duration::from_millis(25);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Attempts to write a segment that another instance writes, too, before the next round.
const WRITE_ATTEMPTS: usize = 3;
/// For how long the archive as read answers for streams that it does not have.
const READ_LIFETIME_US: Micros = 1_000_000;

/// Most records that are kept of a slot as read, some 80 bytes each.
const MAX_READ_RECORDS: usize = 16_384;

/// An instance that gets no record of a slot for longer than this may have missed some.
const MAX_RECORD_GAP_US: Micros = 2_000_000;

/// What the archive says of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Archived {
    /// It has a record.
    Found(ArchivedOrigin),
    /// It has none.
    Absent,
    /// It is being read.
    Pending,
}

/// A segment that this instance writes.
#[derive(Debug, Default)]
struct OwnSegment {
    segment: Segment,
    /// Version of the object at the last write, 0 if it is not known.
    version: u64,
    era: ObjectEra,
    is_dirty: bool,
}

/// A slot of the archive as it was last read.
#[derive(Debug, Default)]
struct ReadSlot {
    asked_us: Micros,
    records: HashMap<StreamKey, ArchivedOrigin>,
}

/// The time for which this instance has got the records of a slot without a gap.
#[derive(Clone, Copy, Debug)]
struct Coverage {
    since_us: Micros,
    last_us: Micros,
}

#[derive(Debug, Default)]
struct State {
    /// By slot and position in the ring.
    own: BTreeMap<(Slot, u64), OwnSegment>,
    coverage: BTreeMap<Slot, Coverage>,
    /// The slots as they were last read.
    read: BTreeMap<Slot, ReadSlot>,
    /// The slots to be read.
    wanted: BTreeSet<Slot>,
}

/// The part of the archive that this instance writes, and the archive as it was last read.
#[derive(Debug, Default)]
pub struct OriginArchive {
    state: Mutex<State>,
    has_records: Notify,
    is_read_wanted: Notify,
}

impl State {
    fn note_record(&mut self, now_us: Micros, slot: Slot) {
        let coverage = self.coverage.entry(slot).or_insert(Coverage {
            since_us: now_us,
            last_us: now_us,
        });
        if now_us.saturating_sub(coverage.last_us) > MAX_RECORD_GAP_US {
            coverage.since_us = now_us;
        }
        coverage.last_us = now_us;
    }

    /// Returns whether this instance got all records of a slot that the archive may have.
    fn covers(&self, now_us: Micros, slot: Slot) -> bool {
        self.coverage.get(&slot).is_some_and(|coverage| {
            let gap_us = now_us.saturating_sub(coverage.last_us);
            let covered_us = now_us.saturating_sub(coverage.since_us);
            gap_us <= MAX_RECORD_GAP_US && covered_us >= SEGMENTS * 1_000_000
        })
    }

    /// Returns the record of a stream in the segments that this instance writes.
    fn own_record(&self, slot: Slot, key: StreamKey) -> Option<ArchivedOrigin> {
        let own = self.own.range((slot, 0)..(slot, SEGMENTS));
        let mut records = own.filter_map(|(_, own)| own.segment.get(key));
        let first = records.next()?;
        match records.all(|record| record == first) {
            true => Some(first.clone()),
            false => Some(None),
        }
    }
}

impl ReadSlot {
    fn is_fresh(&self, now_us: Micros) -> bool {
        now_us.saturating_sub(self.asked_us) < READ_LIFETIME_US
    }
}

impl OriginArchive {
    /// Adds a record to be written.
    pub fn insert(
        &self,
        now_us: Micros,
        slot: Slot,
        unix_s: u64,
        key: StreamKey,
        origin: ArchivedOrigin,
    ) {
        let mut state = self.lock();
        state.note_record(now_us, slot);
        let own = state.own.entry((slot, unix_s % SEGMENTS)).or_default();
        if own.segment.unix_s != unix_s {
            own.segment = Segment::new(unix_s);
        }
        if own.segment.insert(key, origin) {
            own.is_dirty = true;
            drop(state);
            self.has_records.notify_one();
        }
    }

    /// Returns what the archive says of a stream of a slot. If that has to be read, it is read now.
    pub fn get(&self, now_us: Micros, slot: Slot, key: StreamKey) -> Archived {
        let mut state = self.lock();
        let own = state.own_record(slot, key);
        if state.covers(now_us, slot) {
            return own.map_or(Archived::Absent, Archived::Found);
        }
        let read = state.read.get(&slot).filter(|read| read.is_fresh(now_us));
        let Some(read) = read else {
            state.wanted.insert(slot);
            drop(state);
            self.is_read_wanted.notify_one();
            return Archived::Pending;
        };
        let read = read.records.get(&key).cloned();
        match (own, read) {
            (Some(own), Some(read)) if own != read => Archived::Found(None),
            (own, read) => own.or(read).map_or(Archived::Absent, Archived::Found),
        }
    }

    /// Records that an instance joined or left: views differ for a moment, so that another one may get records of the
    /// slots that this one owns.
    pub fn note_members_changed(&self) {
        self.lock().coverage.clear();
    }

    /// Marks what the store may have lost by coming back from a copy as not written.
    fn note_era(&self, era: u64) {
        let mut has_lost = false;
        for own in self.lock().own.values_mut() {
            let is_lost = own.era.may_be_lost(era);
            own.is_dirty |= is_lost;
            has_lost |= is_lost;
        }
        if has_lost {
            self.has_records.notify_one();
        }
    }

    /// Returns the segments to be written, oldest first.
    fn take_dirty(&self, now_unix_s: u64) -> Vec<(Slot, Segment, u64)> {
        let mut state = self.lock();
        // Kept for a second round, so that the version of the object is known when it is replaced.
        let is_kept = |own: &OwnSegment| own.segment.unix_s.abs_diff(now_unix_s) < 2 * SEGMENTS;
        state.own.retain(|_, own| is_kept(own));
        let dirty = state.own.iter_mut().filter(|(_, own)| own.is_dirty);
        let dirty = dirty.map(|((slot, _), own)| {
            own.is_dirty = false;
            (*slot, own.segment.clone(), own.version)
        });
        let mut dirty: Vec<_> = dirty.collect();
        dirty.sort_by_key(|(_, segment, _)| segment.unix_s);
        dirty
    }

    /// Records that a segment was written, together with what another instance had written of it.
    fn note_written(&self, slot: Slot, written: &WrittenSegment) {
        let mut state = self.lock();
        let unix_s = written.segment.unix_s;
        if let Some(own) = state.own.get_mut(&(slot, unix_s % SEGMENTS)) {
            own.version = written.version;
            own.era = written.era;
            if own.segment.unix_s == unix_s {
                own.segment.merge(&written.segment);
            }
        }
    }

    /// Records that a segment was not written, so that it is written again.
    fn note_not_written(&self, slot: Slot, unix_s: u64) {
        let mut state = self.lock();
        if let Some(own) = state.own.get_mut(&(slot, unix_s % SEGMENTS)) {
            own.version = 0;
            own.is_dirty |= own.segment.unix_s == unix_s;
        }
    }

    fn take_wanted(&self) -> BTreeSet<Slot> {
        std::mem::take(&mut self.lock().wanted)
    }

    /// Keeps a slot as it was read, in place of all that were read longer ago.
    fn set_read(&self, slot: Slot, read: ReadSlot) {
        let mut state = self.lock();
        let asked_us = read.asked_us;
        state.read.retain(|_, read| read.is_fresh(asked_us));
        state.read.insert(slot, read);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No critical section can leave the state inconsistent, so a poisoned lock is still usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes the archive's records to the store until dropped. `store_of` returns the store of a slot's objects.
pub async fn write<P: Protocol, S: Store>(gateway: Arc<Gateway<P>>, store_of: impl Fn(Slot) -> S) {
    let archive = &gateway.origin_archive;
    let mut was_written = true;
    loop {
        archive.has_records.notified().await;
        let failure = write_dirty(archive, &store_of).await;
        let is_written = failure.is_none();
        gateway.metrics.count_archive_write(is_written);
        if let Some(error) = failure.filter(|_| was_written) {
            let reason = error.to_string();
            log::warn!(target: "ryevalve::process", reason; "stream_origins_not_written");
        }
        if is_written && !was_written {
            log::info!(target: "ryevalve::process", written = true; "stream_origins_written_again");
        }
        was_written = is_written;
        if is_written {
            time::sleep(write_interval(gateway.instance_counts().all)).await;
        } else {
            time::sleep(RETRY_PAUSE).await;
            archive.has_records.notify_one();
        }
    }
}

/// Writes the segments that have changed; returns the last error if not all were written.
async fn write_dirty<S: Store>(
    archive: &OriginArchive,
    store_of: impl Fn(Slot) -> S,
) -> Option<WriteError> {
    let mut failure = None;
    for (slot, segment, version) in archive.take_dirty(unix_s()) {
        let unix_s = segment.unix_s;
        let store = store_of(slot);
        match write_segment(&store, slot, segment, version).await {
            Ok(Some(written)) => {
                archive.note_written(slot, &written);
                archive.note_era(store.era());
            }
            // The object is that of the next round of the ring.
            Ok(None) => {}
            Err(error) => {
                archive.note_not_written(slot, unix_s);
                failure = Some(error);
            }
        }
    }
    failure
}

/// Returns the pause between two writes of an instance in a group of this many instances.
fn write_interval(instances: usize) -> Duration {
    let shared = WRITE_INTERVAL_PER_SLOT * slot_count(instances);
    shared.max(MIN_WRITE_INTERVAL)
}

/// A segment as the store has it.
struct WrittenSegment {
    segment: Segment,
    version: u64,
    era: ObjectEra,
}

/// Writes a segment, together with what another instance wrote of it; returns none if its object holds a later one.
async fn write_segment<S: Store>(
    store: &S,
    slot: Slot,
    mut segment: Segment,
    mut version: u64,
) -> Result<Option<WrittenSegment>, WriteError> {
    let name = Segment::object_name(slot, segment.unix_s);
    let mut attempts = 0;
    loop {
        attempts += 1;
        let era_before = store.era();
        match store.write(&name, segment.encode().into(), version).await {
            Ok(version) => {
                return Ok(Some(WrittenSegment {
                    segment,
                    version,
                    era: ObjectEra::of_call(era_before, store.era()),
                }));
            }
            Err(WriteError::Conflict) if attempts < WRITE_ATTEMPTS => {}
            Err(error) => return Err(error),
        }
        let stored = store::empty_if_unreadable(store.read(&name).await);
        let stored = stored.map_err(|error| {
            let reason = error.to_string();
            WriteError::NotWritten { reason }
        })?;
        version = stored.as_ref().map_or(0, |object| object.version);
        let stored = stored.and_then(|object| Segment::decode(&object.value).ok());
        match stored {
            Some(stored) if stored.unix_s == segment.unix_s => segment.merge(&stored),
            Some(stored) if stored.unix_s > segment.unix_s => return Ok(None),
            _ => {}
        }
    }
}

/// Reads slots of the archive whenever that is wanted, until dropped. `store_of` returns the store of a slot's objects.
pub async fn read<P: Protocol, S: ListingStore>(
    gateway: Arc<Gateway<P>>,
    store_of: impl Fn(Slot) -> S,
) {
    let archive = &gateway.origin_archive;
    loop {
        archive.is_read_wanted.notified().await;
        for slot in archive.take_wanted() {
            if let Err(error) = read_slot(&gateway, slot, &store_of(slot)).await {
                let reason = error.to_string();
                log::warn!(target: "ryevalve::process", slot:% = slot, reason; "stream_origins_not_read");
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn read_slot<P: Protocol, S: ListingStore>(
    gateway: &Gateway<P>,
    slot: Slot,
    store: &S,
) -> Result<(), ReadError> {
    let asked_us = gateway.clock.now_us();
    let objects = store.list().await?;
    let segments = objects.iter().map(|object| Segment::decode(&object.value));
    let mut segments: Vec<Segment> = segments.filter_map(decoded).collect();
    segments.sort_by_key(|segment| std::cmp::Reverse(segment.unix_s));
    let records = collect_records(&segments);
    let took_ms = (gateway.clock.now_us() - asked_us) / 1_000;
    log::info!(
        target: "ryevalve::process",
        slot:% = slot, segments = segments.len(), streams = records.len(), took_ms;
        "stream_origins_read"
    );
    gateway.metrics.archive_reads.inc();
    let read = ReadSlot { asked_us, records };
    gateway.origin_archive.set_read(slot, read);
    Ok(())
}

fn decoded<E: std::error::Error>(segment: Result<Segment, E>) -> Option<Segment> {
    match segment {
        Ok(segment) => segment.is_recent(unix_s()).then_some(segment),
        Err(error) => {
            let reason = error.to_string();
            log::warn!(target: "ryevalve::process", reason; "stream_origins_unreadable");
            None
        }
    }
}

/// Returns the records of segments, the newest first, by stream. One that has two origins is ambiguous.
fn collect_records(segments: &[Segment]) -> HashMap<StreamKey, ArchivedOrigin> {
    let mut records: HashMap<StreamKey, ArchivedOrigin> = HashMap::new();
    let newest = segments.iter().flat_map(Segment::records);
    for (key, origin) in newest.take(MAX_READ_RECORDS) {
        let known = records.entry(key).or_insert_with(|| origin.clone());
        if known != origin {
            *known = None;
        }
    }
    records
}
