//! The list of versions in the store, and what is concluded while it is missing, unreadable or of another era.

use std::{sync::Arc, time::Duration};

use ryevalve::{
    balance::{
        discovery::EndpointEntry,
        service_versions::{ServiceVersions, VERSION_MEMORY_US},
    },
    gateway::{state::Gateway, version_history, version_list::VersionList},
    platform::headers::PlatformProtocol,
    prelude::{Micros, Name},
};
use tokio::time;

use crate::{
    current_config::bounds,
    memory_store::MemoryStore,
    support::{SECOND, at, entry},
};

const KEY: &str = "service-versions";
/// Longer than an instance takes to read or write the list, also after a failure.
const SETTLED: Duration = Duration::from_millis(700);

/// A list as it is stored: versions by service and when they left, the time until which some may be missing, the era, and the
/// services of routes, of which there are none here.
type List = (Vec<(Name, Name, u64)>, u64, u64, Vec<()>);

fn encode(versions: &[&str], era: u64) -> Vec<u8> {
    let in_service = versions.iter().map(|v| ("model".into(), (*v).into(), 0));
    let list: List = (in_service.collect(), 0, era, vec![]);
    postcard::to_stdvec(&list).unwrap()
}

fn stored(store: &MemoryStore) -> Vec<String> {
    let value = store.value(KEY).unwrap_or_default();
    let (versions, ..): List = postcard::from_bytes(&value).unwrap_or_default();
    versions
        .iter()
        .map(|(_, version, _)| version.to_string())
        .collect()
}

fn add_endpoint(gateway: &Gateway<PlatformProtocol>, id: &str, version: &str) {
    let entry = EndpointEntry {
        version: version.into(),
        ..entry(id, "here", 1)
    };
    gateway.balancer().upsert_endpoint(entry, at(1));
}

/// Starts an instance that watches the store and has seen version v1.
fn start(store: &MemoryStore, is_first_start: bool) -> Arc<Gateway<PlatformProtocol>> {
    let gateway = Gateway::new(PlatformProtocol, "here".into(), bounds(true), true);
    let gateway = Arc::new(gateway);
    gateway.set_watches_store(true);
    add_endpoint(&gateway, "a", "v1");
    let syncing = version_history::start(gateway.clone(), store.clone(), is_first_start);
    tokio::spawn(syncing);
    gateway
}

fn sole_version(gateway: &Gateway<PlatformProtocol>) -> Option<Name> {
    gateway.balancer().versions().sole_version("model").cloned()
}

#[tokio::test]
async fn failed_read_is_repeated_and_nothing_is_concluded_meanwhile() {
    let store = MemoryStore::default();
    store.set(KEY, encode(&["v1"], 0));
    store.fail_reads(true);
    let gateway = start(&store, false);
    time::sleep(SETTLED).await;
    assert!(store.reads() >= 2, "{} reads", store.reads());
    assert_eq!(sole_version(&gateway), None);
    assert!(gateway.has_several_versions("model"));
    store.fail_reads(false);
    time::sleep(SETTLED).await;
    assert_eq!(sole_version(&gateway), Some("v1".into()));
    assert!(!gateway.has_several_versions("model"));
}

#[tokio::test]
async fn version_that_only_the_list_has_counts() {
    let store = MemoryStore::default();
    store.set(KEY, encode(&["v0", "v1"], 0));
    let gateway = start(&store, false);
    time::sleep(SETTLED).await;
    assert_eq!(sole_version(&gateway), None);
    assert_eq!(stored(&store), ["v0", "v1"]);
}

#[tokio::test]
async fn list_of_another_era_counts_as_incomplete() {
    let store = MemoryStore::default();
    store.set(KEY, encode(&["v1"], 1));
    store.set_era(2);
    let gateway = start(&store, false);
    time::sleep(SETTLED).await;
    assert!(gateway.balancer().versions().is_history_read());
    assert_eq!(sole_version(&gateway), None);
    // Nor does the list that it writes now count as complete for those that start after it.
    let started_later = start(&store, false);
    time::sleep(SETTLED).await;
    assert_eq!(sole_version(&started_later), None);
}

#[tokio::test]
async fn missing_or_unreadable_list_counts_as_incomplete_and_is_replaced() {
    for value in [None, Some(&b"\xff\xff\xff"[..]), Some(&b""[..])] {
        let store = MemoryStore::default();
        if let Some(value) = value {
            store.set(KEY, value);
        }
        let gateway = start(&store, false);
        time::sleep(SETTLED).await;
        assert!(gateway.balancer().versions().is_history_read());
        assert_eq!(sole_version(&gateway), None, "{value:?}");
        assert_eq!(stored(&store), ["v1"], "{value:?}");
    }
}

#[tokio::test]
async fn list_whose_answer_is_lost_is_written_again() {
    let store = MemoryStore::default();
    let gateway = start(&store, true);
    store.lose_answers(2);
    time::sleep(2 * SETTLED).await;
    add_endpoint(&gateway, "b", "v2");
    time::sleep(SETTLED).await;
    assert_eq!(stored(&store), ["v1", "v2"]);
}

#[tokio::test]
async fn list_that_the_store_has_lost_is_written_again() {
    let store = MemoryStore::default();
    store.set_era(1);
    let gateway = start(&store, true);
    add_endpoint(&gateway, "b", "v2");
    time::sleep(SETTLED).await;
    store.set(KEY, encode(&["v1"], 1));
    store.set_era(2);
    time::sleep(SETTLED).await;
    assert_eq!(stored(&store), ["v1", "v2"]);
}

/// Guards against a watcher that has not seen a version and drops it from the list of one that has.
#[tokio::test]
async fn version_that_another_instance_wrote_is_not_dropped_by_one_that_has_not_seen_it() {
    let store = MemoryStore::default();
    store.set(KEY, encode(&["v1"], 0));
    let gateway = start(&store, false);
    time::sleep(SETTLED).await;
    store.set(KEY, encode(&["v1", "v2"], 0));
    add_endpoint(&gateway, "b", "v3");
    time::sleep(SETTLED).await;
    assert_eq!(stored(&store), ["v1", "v2", "v3"]);
}

/// Guards against two watchers that overwrite the list of each other with what each has seen.
#[tokio::test]
async fn watchers_that_have_seen_different_versions_agree_on_all_of_them() {
    let store = MemoryStore::default();
    let first = start(&store, true);
    time::sleep(SETTLED).await;
    let second = start(&store, false);
    add_endpoint(&first, "b", "v2");
    add_endpoint(&second, "c", "v3");
    time::sleep(2 * SETTLED).await;
    assert_eq!(stored(&store), ["v1", "v2", "v3"]);
    let writes = store.revision();
    time::sleep(SETTLED).await;
    assert_eq!(store.revision(), writes, "the list is written again");
}

/// An instance in a simulation: what it knows, and its clock.
struct Simulated {
    versions: ServiceVersions,
    /// By how much its Unix time is ahead.
    ahead_ms: u64,
}

impl Simulated {
    fn start(list: &VersionList, now_us: Micros, ahead_ms: u64) -> Self {
        let mut started = Self {
            versions: ServiceVersions::default(),
            ahead_ms,
        };
        started.versions.await_history();
        started.versions.insert(&endpoint_of("v1"));
        started.read(list, now_us);
        started
    }

    fn unix_ms(&self, now_us: Micros) -> u64 {
        1_000_000_000 + now_us / 1_000 + self.ahead_ms
    }

    fn read(&mut self, list: &VersionList, now_us: Micros) {
        let listed = list.known(self.unix_ms(now_us));
        self.versions.merge_list(now_us, listed, 0);
    }

    /// Returns the list to write, if there is something to write. A list that another instance has written is read first.
    fn update(&mut self, list: &VersionList, now_us: Micros) -> Option<VersionList> {
        self.versions.expire(now_us);
        self.missing_from(list, now_us)?;
        self.read(list, now_us);
        self.missing_from(list, now_us)
    }

    fn missing_from(&self, list: &VersionList, now_us: Micros) -> Option<VersionList> {
        let known = self.versions.known(now_us);
        let wanted = VersionList::of_known(known, 0, 0, self.unix_ms(now_us));
        (!list.covers(&wanted)).then_some(wanted)
    }
}

fn endpoint_of(version: &str) -> EndpointEntry {
    EndpointEntry {
        version: version.into(),
        ..entry("e", "here", 1)
    }
}

/// Guards against versions that instances write back for ever, each of which another one has forgotten.
#[test]
fn version_that_left_is_forgotten_by_instances_that_read_and_write_it_in_turn() {
    // Clocks that agree, that differ, and that are read by instances which are replaced all the time.
    for (ahead_ms, restart_s) in [
        ([0, 0, 0], u64::MAX),
        ([0, 2_000, 4_000], u64::MAX),
        ([0, 0, 0], 7),
        ([4_000, 0, 2_000], 5),
        ([0, 3_000, 0], 25),
    ] {
        let mut list = VersionList::default();
        let start = |list: &VersionList, now_us, ahead_ms| Simulated::start(list, now_us, ahead_ms);
        let mut instances = ahead_ms.map(|ahead_ms| start(&list, 0, ahead_ms));
        for instance in &mut instances {
            instance.versions.insert(&endpoint_of("v0"));
        }
        let (mut writes, mut forgotten_s) = (0, None);
        for second in 1..400_u64 {
            let now_us = second * SECOND;
            if second == 10 {
                for instance in &mut instances {
                    instance.versions.remove(&endpoint_of("v0"));
                }
            }
            let turn = second as usize % instances.len();
            if second > 10 && second % restart_s == 0 {
                instances[turn] = start(&list, now_us, ahead_ms[turn]);
            }
            for instance in &mut instances {
                if let Some(written) = instance.update(&list, now_us) {
                    list = written;
                    writes += 1;
                }
            }
            // Lists are read again for other reasons, too.
            instances[turn].read(&list, now_us);
            let knows = |i: &Simulated| i.versions.are_several_known("model");
            let remembered = instances.iter().filter(|i| knows(i)).count();
            let left_s = second.saturating_sub(10);
            if left_s * SECOND < VERSION_MEMORY_US - 5 * SECOND {
                assert_eq!(remembered, 3, "{left_s} s after it left");
                continue;
            }
            match remembered {
                0 => forgotten_s = forgotten_s.or(Some(left_s)),
                _ => forgotten_s = None,
            }
        }
        let forgotten_s = forgotten_s.expect("the version is forgotten");
        assert!(forgotten_s <= 135, "after {forgotten_s} s");
        assert!(writes <= 6, "{writes} writes");
    }
}

/// An instance that has just started counts from the time at which the version left, not from its start.
#[test]
fn instance_that_starts_late_forgets_a_version_in_time() {
    let mut instance = Simulated::start(&VersionList::default(), 0, 0);
    instance.versions.insert(&endpoint_of("v0"));
    instance.versions.remove(&endpoint_of("v0"));
    assert!(instance.update(&VersionList::default(), 0).is_some());
    let list = instance.update(&VersionList::default(), 100 * SECOND);
    let list = list.expect("a list");
    let mut late = Simulated::start(&list, 110 * SECOND, 0);
    late.versions.expire(119 * SECOND);
    assert!(late.versions.has_several("model"));
    late.versions.expire(121 * SECOND);
    assert!(!late.versions.has_several("model"));
}
