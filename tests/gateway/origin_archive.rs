//! The archive of stream origins: what owners write, and what is read of it.

use std::{sync::Arc, time::Duration};

use proptest::prelude::*;
use ryevalve::{
    clock::unix_s,
    gateway::{
        origin_archive::{self, Archived},
        origin_segments::{ArchivedOrigin, SEGMENTS, Segment, Slot},
        origin_table::{StreamKey, StreamOrigin},
        state::Gateway,
    },
    platform::headers::PlatformProtocol,
};
use tokio::time;

use crate::{current_config::bounds, memory_store::MemoryStore, support::SECOND};

const SLOT: Slot = Slot {
    slots: 2,
    number: 0,
};

fn key(number: usize) -> StreamKey {
    StreamKey::of(None, format!("r-{number}").as_bytes())
}

fn origin(version: &str) -> ArchivedOrigin {
    Some(StreamOrigin {
        service: "svc".into(),
        version: version.into(),
    })
}

/// Starts an instance that writes and reads the archive.
fn owner(store: &MemoryStore) -> Arc<Gateway<PlatformProtocol>> {
    let gateway = Gateway::new(PlatformProtocol, "here".into(), bounds(true), true);
    let gateway = Arc::new(gateway);
    let (written, read) = (store.clone(), store.clone());
    tokio::spawn(origin_archive::write(gateway.clone(), move |_| {
        written.clone()
    }));
    tokio::spawn(origin_archive::read(gateway.clone(), move |_| read.clone()));
    gateway
}

fn stored(store: &MemoryStore, unix_s: u64) -> Option<Segment> {
    let value = store.value(&Segment::object_name(SLOT, unix_s))?;
    Some(Segment::decode(&value).unwrap())
}

fn find(store: &MemoryStore, unix_s: u64, key: StreamKey) -> Option<ArchivedOrigin> {
    let segment = stored(store, unix_s).filter(|s| s.unix_s == unix_s)?;
    let found = segment.records().find(|(known, _)| *known == key);
    found.map(|(_, origin)| origin.clone())
}

/// Waits for longer than owners take to write, also after a failure.
async fn until_written() {
    time::sleep(Duration::from_millis(500)).await;
}

/// Returns what an instance reads of a stream.
async fn read(gateway: &Gateway<PlatformProtocol>, now_us: u64, key: StreamKey) -> Archived {
    for _ in 0..50 {
        let found = gateway.origin_archive.get(now_us, SLOT, key);
        if found != Archived::Pending {
            return found;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    Archived::Pending
}

/// Guards against an owner that writes its own records over those of another one once it has merged them.
#[tokio::test]
async fn segment_that_two_owners_write_keeps_the_records_of_both() {
    let (store, now_s) = (MemoryStore::default(), unix_s());
    let (first, second) = (owner(&store), owner(&store));
    let insert = |owner: &Gateway<PlatformProtocol>, number| {
        let archive = &owner.origin_archive;
        archive.insert(0, SLOT, now_s, key(number), origin("v1"));
    };
    insert(&second, 0);
    until_written().await;
    insert(&first, 1);
    until_written().await;
    for number in [0, 1] {
        assert_eq!(find(&store, now_s, key(number)), Some(origin("v1")));
    }
    insert(&first, 2);
    until_written().await;
    for number in [0, 1, 2] {
        let found = find(&store, now_s, key(number));
        assert_eq!(found, Some(origin("v1")), "record {number}");
    }
}

/// Guards against a stream that is joined since the record of its other attempt was overwritten.
#[tokio::test]
async fn stream_of_two_origins_stays_ambiguous_when_its_owner_writes_again() {
    let (store, now_s) = (MemoryStore::default(), unix_s());
    let (first, second) = (owner(&store), owner(&store));
    second
        .origin_archive
        .insert(0, SLOT, now_s, key(0), origin("v2"));
    until_written().await;
    first
        .origin_archive
        .insert(0, SLOT, now_s, key(0), origin("v1"));
    until_written().await;
    assert_eq!(find(&store, now_s, key(0)), Some(None));
    first
        .origin_archive
        .insert(0, SLOT, now_s, key(1), origin("v1"));
    until_written().await;
    assert_eq!(find(&store, now_s, key(0)), Some(None));
}

#[tokio::test]
async fn segment_whose_answer_is_lost_is_written_again_with_all_records() {
    let (store, now_s) = (MemoryStore::default(), unix_s());
    let owner = owner(&store);
    store.lose_answers(2);
    for number in 0..3 {
        let archive = &owner.origin_archive;
        archive.insert(0, SLOT, now_s, key(number), origin("v1"));
        until_written().await;
    }
    for number in 0..3 {
        assert_eq!(find(&store, now_s, key(number)), Some(origin("v1")));
    }
}

#[tokio::test]
async fn segment_of_the_next_round_replaces_that_of_the_last() {
    let (store, now_s) = (MemoryStore::default(), unix_s());
    let owner = owner(&store);
    let archive = &owner.origin_archive;
    archive.insert(0, SLOT, now_s - SEGMENTS, key(0), origin("v1"));
    until_written().await;
    assert_eq!(find(&store, now_s - SEGMENTS, key(0)), Some(origin("v1")));
    archive.insert(0, SLOT, now_s, key(1), origin("v2"));
    until_written().await;
    let segment = stored(&store, now_s).unwrap();
    assert_eq!(segment.unix_s, now_s);
    assert_eq!(segment.records().count(), 1);
}

/// Guards against an owner whose write is late, or whose clock is behind, and that drops the newer records of another.
#[tokio::test]
async fn late_segment_does_not_replace_one_of_the_next_round() {
    let (store, now_s) = (MemoryStore::default(), unix_s());
    let (first, second) = (owner(&store), owner(&store));
    second
        .origin_archive
        .insert(0, SLOT, now_s, key(1), origin("v2"));
    until_written().await;
    first
        .origin_archive
        .insert(0, SLOT, now_s - SEGMENTS, key(0), origin("v1"));
    until_written().await;
    assert_eq!(find(&store, now_s, key(1)), Some(origin("v2")));
}

#[tokio::test]
async fn record_of_a_stream_with_two_origins_is_ambiguous_when_it_is_read() {
    let (store, now_s) = (MemoryStore::default(), unix_s());
    let owner = owner(&store);
    for (unix_s, version) in [(now_s - 1, "v1"), (now_s, "v2")] {
        let archive = &owner.origin_archive;
        archive.insert(0, SLOT, unix_s, key(0), origin(version));
    }
    until_written().await;
    let now_us = owner.clock.now_us();
    assert_eq!(read(&owner, now_us, key(0)).await, Archived::Found(None));
}

/// Guards against a stream that is joined by what was read before its other attempt was recorded.
#[tokio::test]
async fn record_that_became_ambiguous_after_it_was_read_is_not_used() {
    let (store, now_s) = (MemoryStore::default(), unix_s());
    let (reader, writer) = (owner(&store), owner(&store));
    let archive = &writer.origin_archive;
    archive.insert(0, SLOT, now_s, key(0), origin("v1"));
    until_written().await;
    let now_us = reader.clock.now_us();
    let found = read(&reader, now_us, key(0)).await;
    assert_eq!(found, Archived::Found(origin("v1")));
    archive.insert(0, SLOT, now_s, key(0), origin("v2"));
    until_written().await;
    let later_us = now_us + 10 * SECOND;
    assert_ne!(
        reader.origin_archive.get(later_us, SLOT, key(0)),
        Archived::Found(origin("v1"))
    );
}

#[tokio::test]
async fn stream_is_not_absent_while_the_archive_cannot_be_read() {
    let store = MemoryStore::default();
    store.fail_reads(true);
    let owner = owner(&store);
    let now_us = owner.clock.now_us();
    assert_eq!(read(&owner, now_us, key(0)).await, Archived::Pending);
    assert!(store.reads() >= 2, "{} reads", store.reads());
    store.fail_reads(false);
    assert_eq!(read(&owner, now_us, key(0)).await, Archived::Absent);
}

#[tokio::test]
async fn foreign_object_does_not_hide_the_others() {
    let (store, now_s) = (MemoryStore::default(), unix_s());
    store.set("2-1-7", &b"\xff\xff\xff"[..]);
    store.set("2-1-8", &b""[..]);
    let owner = owner(&store);
    let archive = &owner.origin_archive;
    archive.insert(0, SLOT, now_s, key(0), origin("v1"));
    until_written().await;
    let now_us = owner.clock.now_us();
    let found = read(&owner, now_us, key(0)).await;
    assert_eq!(found, Archived::Found(origin("v1")));
}

fn records() -> impl Strategy<Value = Vec<(usize, Option<u8>)>> {
    prop::collection::vec((0_usize..20, prop::option::of(0_u8..4)), 0..60)
}

fn segment_of(records: &[(usize, Option<u8>)]) -> Segment {
    let mut segment = Segment::new(7);
    for (number, version) in records {
        let origin = version.and_then(|version| origin(&format!("v{version}")));
        segment.insert(key(*number), origin);
    }
    segment
}

proptest! {
    #[test]
    fn segment_is_decoded_as_it_was_encoded(records in records()) {
        let segment = segment_of(&records);
        prop_assert_eq!(Segment::decode(&segment.encode()).unwrap(), segment);
    }

    #[test]
    fn order_of_merging_does_not_matter(one in records(), other in records()) {
        let mut all = one.clone();
        all.extend(&other);
        let (mut first, mut second) = (segment_of(&one), segment_of(&other));
        first.merge(&segment_of(&other));
        second.merge(&segment_of(&one));
        prop_assert_eq!(&first, &second);
        prop_assert_eq!(first, segment_of(&all));
    }

    #[test]
    fn foreign_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Segment::decode(&bytes);
    }

    #[test]
    fn part_of_a_segment_is_not_taken_for_one(records in records(), cut in 1_usize..400) {
        let bytes = segment_of(&records).encode();
        let kept = bytes.len().saturating_sub(cut);
        prop_assert!(Segment::decode(&bytes[..kept]).is_err());
    }
}
