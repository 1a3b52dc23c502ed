//! The list of versions in the store, and what is concluded while it is missing, unreadable or of another era.

use std::{sync::Arc, time::Duration};

use ryevalve::{
    balance::discovery::EndpointEntry,
    gateway::{state::Gateway, version_history},
    platform::headers::PlatformProtocol,
    prelude::Name,
};
use tokio::time;

use crate::{
    current_config::bounds,
    memory_store::MemoryStore,
    support::{at, entry},
};

const KEY: &str = "service-versions";
/// Longer than an instance takes to read or write the list, also after a failure.
const SETTLED: Duration = Duration::from_millis(700);

/// A list as it is stored: versions by service, the time until which some may be missing, and the era.
type List = (Vec<(Name, Name)>, u64, u64);

fn encode(versions: &[&str], era: u64) -> Vec<u8> {
    let pairs = versions.iter().map(|v| ("model".into(), (*v).into()));
    let list: List = (pairs.collect(), 0, era);
    postcard::to_stdvec(&list).unwrap()
}

fn stored(store: &MemoryStore) -> Vec<String> {
    let value = store.value(KEY).unwrap_or_default();
    let (pairs, ..): List = postcard::from_bytes(&value).unwrap_or_default();
    pairs
        .iter()
        .map(|(_, version)| version.to_string())
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
