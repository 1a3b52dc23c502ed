//! Which version began a stream: the records, the instances that hold them, and the versions that a service had.

use std::collections::HashSet;

use proptest::prelude::*;
use ryevalve::{
    balance::{
        discovery::EndpointEntry,
        service_versions::{ServiceVersions, VERSION_MEMORY_US},
    },
    gateway::{
        origin_table::{OriginTable, StreamKey, StreamOrigin},
        stream_origins::rank_holders,
    },
    peers::{
        datagram::{Digest, Liveness, MemberInfo},
        view::{Member, View},
    },
    prelude::Incarnation,
};

use crate::support::entry;

const SECOND: u64 = 1_000_000;
/// The most records that an instance holds.
const MAX_RECORDS: usize = 16_384;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "svc".into(),
        version: version.into(),
    }
}

fn key(number: usize) -> StreamKey {
    StreamKey::of(Some("org"), format!("r-{number}").as_bytes())
}

/// Two organisations' callers may choose the same id.
#[test]
fn organisations_with_the_same_request_id_do_not_share_a_record() {
    let mut table = OriginTable::default();
    let of = |organisation| StreamKey::of(organisation, b"r-1");
    table.write(0, of(Some("one")), origin("v1"));
    table.write(0, of(Some("two")), origin("v2"));
    assert_eq!(table.get(0, of(Some("one"))), Some(&origin("v1")));
    assert_eq!(table.get(0, of(Some("two"))), Some(&origin("v2")));
    assert_eq!(table.get(0, of(None)), None);
    let joined = StreamKey::of(Some("oner"), b"-1");
    assert_eq!(table.get(0, joined), None);
}

/// Guards against a limit of records that streams which are recorded again use up several times.
#[test]
fn streams_that_are_recorded_again_do_not_drop_the_records_of_others() {
    let mut table = OriginTable::default();
    table.write(0, key(0), origin("v1"));
    for now_us in (SECOND..=60 * SECOND).step_by(8 * SECOND as usize) {
        for number in 1..2_500 {
            table.write(now_us, key(number), origin("v1"));
        }
    }
    assert!(table.len() < MAX_RECORDS / 6);
    assert_eq!(table.get(60 * SECOND, key(0)), Some(&origin("v1")));
}

#[test]
fn flood_of_streams_drops_the_oldest_records_first() {
    let mut table = OriginTable::default();
    for number in 0..MAX_RECORDS + 100 {
        table.write(number as u64, key(number), origin("v1"));
    }
    assert_eq!(table.len(), MAX_RECORDS);
    let now_us = MAX_RECORDS as u64 + 100;
    assert_eq!(table.get(now_us, key(99)), None);
    assert!(table.get(now_us, key(100)).is_some());
}

#[test]
fn record_that_is_written_again_is_kept_for_longer() {
    let mut table = OriginTable::default();
    table.write(0, key(1), origin("v1"));
    table.write(0, key(2), origin("v1"));
    table.write(100 * SECOND, key(1), origin("v1"));
    table.write(130 * SECOND, key(3), origin("v1"));
    assert!(table.get(130 * SECOND, key(1)).is_some());
    assert_eq!(table.get(130 * SECOND, key(2)), None);
    assert_eq!(table.len(), 2);
}

#[test]
fn attempts_with_one_id_and_several_origins_are_ambiguous() {
    let mut table = OriginTable::default();
    table.write(0, key(1), origin("v1"));
    table.write(0, key(1), origin("v1"));
    assert!(!table.is_ambiguous(0, key(1)));
    table.write(0, key(1), origin("v2"));
    table.write(0, key(1), origin("v2"));
    assert_eq!(table.get(0, key(1)), None);
    assert!(table.is_ambiguous(0, key(1)));
    assert!(!table.is_ambiguous(130 * SECOND, key(1)));
    table.write(130 * SECOND, key(1), origin("v2"));
    assert_eq!(table.get(130 * SECOND, key(1)), Some(&origin("v2")));
}

fn member(number: u64, data_centre: &str) -> Member {
    let info = MemberInfo {
        name: format!("i{number}").into(),
        incarnation: Incarnation(number + 1),
        peer_addr: ([127, 0, 0, number as u8 + 1], 80).into(),
        hall: data_centre.into(),
        data_centre: data_centre.into(),
        beat: 1,
        leaving: false,
    };
    Member {
        info,
        liveness: Liveness::Alive,
        digest: Digest::default(),
    }
}

fn view(members: Vec<Member>) -> View {
    View {
        me: Incarnation(1),
        members,
        unmet: Vec::new(),
    }
}

fn holders(view: &View, number: usize) -> Vec<Incarnation> {
    let holders = rank_holders(view, key(number), 3);
    holders.iter().map(|m| m.info.incarnation).collect()
}

/// The loss of a data centre must leave a holder.
#[test]
fn holders_of_a_stream_are_in_two_data_centres() {
    let members = (0..7).map(|n| member(n, ["a", "b"][usize::from(n == 6)]));
    let view = view(members.collect());
    for number in 0..200 {
        let holders = rank_holders(&view, key(number), 3);
        let data_centres: HashSet<_> = holders.iter().map(|m| &m.info.data_centre).collect();
        assert_eq!((holders.len(), data_centres.len()), (3, 2));
    }
}

/// Views differ while a loss is being noticed: a holder that one instance does not know any more is another's.
#[test]
fn loss_of_one_instance_leaves_two_holders_of_each_stream() {
    let all: Vec<Member> = (0..18)
        .map(|n| member(n, ["a", "b", "c"][n as usize % 3]))
        .collect();
    let before = view(all.clone());
    for lost in 0..18 {
        let mut left = all.clone();
        left.remove(lost);
        let after = view(left);
        for number in 0..50 {
            let asked = rank_holders(&after, key(number), 6);
            let asked: Vec<_> = asked.iter().map(|m| m.info.incarnation).collect();
            let still_held = holders(&before, number);
            let found = still_held.iter().filter(|h| asked.contains(h)).count();
            assert!(found >= 2, "stream {number}, instance {lost} lost");
        }
    }
}

/// A change of a service's endpoints, of which each runs one of three versions.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An endpoint of a version appears.
    Add(usize),
    /// An endpoint of a version goes, if there is one.
    Remove(usize),
    /// Seconds pass.
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_usize).prop_map(Step::Add),
        (0..3_usize).prop_map(Step::Remove),
        (1..100_u64).prop_map(Step::Pass),
    ]
}

fn name(version: usize) -> String {
    format!("v{version}")
}

fn endpoint_of(version: usize) -> EndpointEntry {
    EndpointEntry {
        version: name(version).into(),
        ..entry("e", "a", 4)
    }
}

proptest! {
    /// A stream may have begun at a version that has no endpoint any more: a version must not count as the only one
    /// before the others are forgotten.
    #[test]
    fn version_is_the_only_one_once_no_other_is_remembered(steps in prop::collection::vec(step(), 1..60)) {
        let mut versions = ServiceVersions::default();
        let (mut counts, mut last_us, mut now_us) = ([0_u32; 3], [None; 3], 0);
        for step in steps {
            match step {
                Step::Add(version) => {
                    counts[version] += 1;
                    versions.insert(&endpoint_of(version));
                }
                Step::Remove(version) if counts[version] > 0 => {
                    counts[version] -= 1;
                    last_us[version] = Some(now_us);
                    versions.remove(&endpoint_of(version));
                }
                Step::Remove(_) => {}
                Step::Pass(seconds) => now_us += seconds * SECOND,
            }
            versions.expire(now_us);
            let is_remembered = |version: &usize| {
                let is_recent = |at: u64| now_us - at < VERSION_MEMORY_US;
                counts[*version] > 0 || last_us[*version].is_some_and(is_recent)
            };
            let remembered: Vec<String> = (0..3).filter(is_remembered).map(name).collect();
            let sole = versions.sole_version("model").map(|version| version.to_string());
            prop_assert_eq!(versions.has_several("model"), remembered.len() > 1);
            prop_assert_eq!(sole.as_ref(), remembered.first().filter(|_| remembered.len() == 1));
        }
    }
}
