//! The list of versions in the store, and what is concluded while it is missing, unreadable or of another era.

use std::{sync::Arc, time::Duration};

use ryevalve::{
    balance::{
        balancer::Placement,
        cost::PlacementRequest,
        discovery::EndpointEntry,
        load::EndpointKey,
        service_versions::{ServiceVersions, VERSION_MEMORY_US},
        versions::VersionRule,
    },
    gateway::{state::Gateway, unlisted_versions, version_history, version_list::VersionList},
    platform::headers::PlatformProtocol,
    prelude::{Micros, Name},
    rollouts::VersionChoice,
};
use tokio::time;

use crate::{
    current_config::bounds,
    memory_store::MemoryStore,
    support::{SECOND, at, entry, placement_request},
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
    start_one(store, is_first_start, true)
}

/// Starts an instance that has seen version v1.
fn start_one(
    store: &MemoryStore,
    is_first_start: bool,
    watches_store: bool,
) -> Arc<Gateway<PlatformProtocol>> {
    let gateway = Gateway::new(PlatformProtocol, "here".into(), bounds(true), true);
    let gateway = Arc::new(gateway);
    gateway.set_watches_store(watches_store);
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

/// Returns the versions at which 40 requests in a row are placed.
fn versions_used(
    gateway: &Gateway<PlatformProtocol>,
    change: impl Fn(&mut PlacementRequest),
    tried: &[EndpointKey],
) -> Vec<String> {
    let mut used = Vec::new();
    for subject in 0..40 {
        let now_us = gateway.clock.now_us();
        // No prompt is cached.
        let mut request = placement_request(now_us + subject, 100, 0, now_us);
        change(&mut request);
        let mut balancer = gateway.balancer();
        if let Placement::Send(choice) = balancer.place(now_us, &request, tried) {
            balancer.end(choice.key, choice.expected.uncached_tokens, None);
            used.push(choice.version.to_string());
        }
    }
    assert_eq!(used.len(), 40, "requests were refused");
    used.sort_unstable();
    used.dedup();
    used
}

fn stream(_: &mut PlacementRequest) {}

/// Starts an instance in whose list v1 is, and adds an endpoint of v2 while the store takes no writes.
async fn start_beside_unlisted_version() -> (MemoryStore, Arc<Gateway<PlatformProtocol>>) {
    let store = MemoryStore::default();
    store.set(KEY, encode(&["v1"], 0));
    let gateway = start(&store, false);
    time::sleep(SETTLED).await;
    store.fail_writes(true);
    add_endpoint(&gateway, "b", "v2");
    time::sleep(SETTLED).await;
    assert_eq!(stored(&store), ["v1"]);
    (store, gateway)
}

/// After a loss of all instances, nothing would show that a stream had begun at the version that the list lacks.
#[tokio::test]
async fn stream_does_not_begin_at_a_version_that_could_not_be_written() {
    let (store, gateway) = start_beside_unlisted_version().await;
    assert_eq!(versions_used(&gateway, stream, &[]), ["v1"]);
    store.fail_writes(false);
    time::sleep(SETTLED).await;
    assert_eq!(versions_used(&gateway, stream, &[]), ["v1", "v2"]);
}

#[tokio::test]
async fn version_that_could_not_be_written_is_used_where_no_listed_one_could_take_a_stream() {
    let (_store, gateway) = start_beside_unlisted_version().await;
    let tried = gateway.balancer().key_of("a").unwrap();
    assert_eq!(versions_used(&gateway, stream, &[tried]), ["v2"]);
    let leaving = EndpointEntry {
        draining: true,
        ..entry("a", "here", 1)
    };
    gateway.balancer().upsert_endpoint(leaving, at(2));
    assert_eq!(versions_used(&gateway, stream, &[]), ["v2"]);
    gateway.balancer().remove_endpoint(1, "a", at(3));
    assert_eq!(versions_used(&gateway, stream, &[]), ["v2"]);
}

#[tokio::test]
async fn stream_that_began_at_a_version_that_could_not_be_written_goes_on_there() {
    let (_store, gateway) = start_beside_unlisted_version().await;
    let bind = |request: &mut PlacementRequest| {
        request.versions = Some(VersionRule::exactly(&"v2".into()));
    };
    assert_eq!(versions_used(&gateway, bind, &[]), ["v2"]);
}

/// A roll-out that prefers its target version must not let streams begin there before it is listed.
#[tokio::test]
async fn stream_does_not_begin_at_the_target_of_a_rollout_that_could_not_be_written() {
    let (store, gateway) = start_beside_unlisted_version().await;
    let prefer = |request: &mut PlacementRequest| {
        request.versions = Some(VersionRule {
            target_version: "v2".into(),
            choice: VersionChoice::PreferTarget,
        });
    };
    assert_eq!(versions_used(&gateway, prefer, &[]), ["v1"]);
    store.fail_writes(false);
    time::sleep(SETTLED).await;
    assert_eq!(versions_used(&gateway, prefer, &[]), ["v2"]);
}

/// Requests that are not taken up need no list.
#[tokio::test]
async fn version_that_could_not_be_written_is_used_by_requests_that_are_no_streams() {
    let (_store, gateway) = start_beside_unlisted_version().await;
    let whole = |request: &mut PlacementRequest| request.is_stream = false;
    assert_eq!(versions_used(&gateway, whole, &[]), ["v1", "v2"]);
}

#[tokio::test]
async fn all_versions_are_used_while_the_list_cannot_be_read() {
    let store = MemoryStore::default();
    store.set(KEY, encode(&["v1"], 0));
    store.fail_reads(true);
    let gateway = start(&store, false);
    add_endpoint(&gateway, "b", "v2");
    time::sleep(SETTLED).await;
    assert_eq!(versions_used(&gateway, stream, &[]), ["v1", "v2"]);
}

/// An instance that does not write the list would never use a version that another one wrote.
#[tokio::test]
async fn instance_that_does_not_watch_the_store_learns_that_a_version_was_written() {
    let store = MemoryStore::default();
    store.set(KEY, encode(&["v1"], 0));
    let gateway = start_one(&store, false, false);
    time::sleep(SETTLED).await;
    let reads = store.reads();
    time::sleep(SETTLED).await;
    assert_eq!(store.reads(), reads, "the list is read without need");
    add_endpoint(&gateway, "b", "v2");
    assert_eq!(versions_used(&gateway, stream, &[]), ["v1"]);
    time::sleep(SETTLED).await;
    assert_eq!(versions_used(&gateway, stream, &[]), ["v1"]);
    store.set(KEY, encode(&["v1", "v2"], 0));
    time::sleep(SETTLED).await;
    assert_eq!(versions_used(&gateway, stream, &[]), ["v1", "v2"]);
    assert!(store.reads() - reads < 10, "{} reads", store.reads());
}

/// The store allows 2,000 reads a second for everybody, and all instances see a new version at the same moment.
#[test]
fn instances_do_not_read_the_list_all_at_once_when_a_version_appears() {
    for instances in [7, 85, 300, 985] {
        let mut reads_at_ms = Vec::new();
        for instance in 0..instances {
            let draw = instance as f64 / instances as f64;
            let mut at_ms = 0;
            // The list stays without the version for a while.
            for attempt in 0..8 {
                let delay = unlisted_versions::read_delay(instances, attempt, draw);
                at_ms += delay.as_millis();
                reads_at_ms.push(at_ms);
            }
        }
        let busiest = (0..30_000).step_by(100).map(|from_ms| {
            let second = from_ms..from_ms + 1_000;
            reads_at_ms.iter().filter(|at| second.contains(*at)).count()
        });
        let busiest = busiest.max().unwrap();
        assert!(busiest <= 1_000, "{instances}: {busiest} reads in a second");
    }
    let first = unlisted_versions::read_delay(7, 0, 1.0);
    assert!(first < Duration::from_millis(100), "{first:?}");
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
