//! Persists in the store which versions of the endpoints' software each service has or had recently, and to which services
//! each route leads or led.
//!
//! An instance takes the only version that it knows of a service for the origin of streams without a record. What it has
//! seen itself only covers the time since its start; the versions before that are read from the store. The instances that
//! watch the store for the others write them when they change: what they have seen and what they have read, so that no
//! instance drops what another one has seen.
//!
//! A version is listed before it is used: streams begin at one that the list lacks only where the service has no other
//! that could take them. All instances read the list when they see a version that it lacks, to learn that it was written.

use std::sync::Arc;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::time::{self, MissedTickBehavior};

use crate::{
    balance::service_versions::VERSION_MEMORY_US,
    clock::unix_ms,
    gateway::{
        protocol::Protocol, route_list::RouteList, state::Gateway,
        unlisted_versions::UnlistedReads, version_list::VersionList,
    },
    prelude::Micros,
    store::{self, ObjectEra, Store, WriteError},
};

/// The store key of the versions.
const KEY: &str = "service-versions";
/// How often the versions are checked for changes to write. A new version waits for its first streams meanwhile.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// How often the list is compared with what is known while no version and no configuration is new: the comparison takes
/// time by the number of routes.
const COMPARISON_INTERVAL_US: Micros = 1_000_000;
/// The delay before a failed call is retried. Streams without a record are refused until the versions have been read.
const RETRY_US: Micros = 200_000;
/// As for the block list: the instances that watch the store write one after the other, and only what the first has not.
const WRITE_STAGGER_US: Micros = 1_500_000;

/// The versions of services, and the services of routes, as they are stored.
#[derive(Debug, Default, Serialize, Deserialize)]
struct StoredList {
    versions: VersionList,
    routes: RouteList,
}

impl StoredList {
    /// Returns whether this list, which the store has, says all that `wanted` says.
    fn covers(&self, wanted: &Self) -> bool {
        self.versions.covers(&wanted.versions) && self.routes.covers(&wanted.routes)
    }
}

/// The store's list as last read or written.
#[derive(Debug, Default)]
struct Stored {
    era: ObjectEra,
    version: u64,
    list: StoredList,
}

/// What is to be written, and since when.
#[derive(Debug)]
struct PendingWrite {
    since_us: Micros,
    /// Whether the list was read again after the delay of this instance.
    is_checked: bool,
}

/// The last comparison of the list with what is known.
#[derive(Clone, Copy, Debug)]
struct Comparison {
    at_us: Micros,
    config_version: u64,
}

struct VersionHistorySync<P: Protocol, S: Store> {
    gateway: Arc<Gateway<P>>,
    store: S,
    /// `None` until the store has been read, and again when it must be reread.
    stored: Option<Stored>,
    pending: Option<PendingWrite>,
    unlisted_reads: UnlistedReads,
    compared: Option<Comparison>,
    /// No store call is made before this time.
    next_call_us: Micros,
}

/// Starts to synchronise the versions with the store. On the first start of a deployment there are none to read.
pub fn start<P: Protocol, S: Store>(
    gateway: Arc<Gateway<P>>,
    store: S,
    is_first_start: bool,
) -> impl Future<Output = ()> + Send {
    if !is_first_start {
        gateway.balancer().versions_mut().await_history();
    }
    let sync = VersionHistorySync {
        gateway,
        store,
        stored: is_first_start.then(Stored::default),
        pending: None,
        unlisted_reads: UnlistedReads::default(),
        compared: None,
        next_call_us: 0,
    };
    sync.run()
}

impl<P: Protocol, S: Store> VersionHistorySync<P, S> {
    async fn run(mut self) {
        let mut interval = time::interval(CHECK_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                () = self.gateway.version_list_reads.requested() => {}
            }
            self.check().await;
        }
    }

    async fn check(&mut self) {
        let now_us = self.gateway.clock.now_us();
        if now_us < self.next_call_us {
            return;
        }
        let is_read_due = self.gateway.is_version_list_read_due(now_us);
        if is_read_due || !self.gateway.balancer().versions().is_history_read() {
            return self.read().await;
        }
        if self.gateway.watches_store() {
            self.update(now_us).await;
        }
        let has_unlisted = self.gateway.balancer().versions().has_unlisted();
        let instances = self.gateway.instance_counts().all;
        let draw = rand::rng().random_range(0.0..1.0);
        let reads = &mut self.unlisted_reads;
        if reads.is_due(now_us, has_unlisted, instances, draw) {
            self.read().await;
        }
    }

    /// Writes the list if it lacks something and no other instance is to write it first.
    async fn update(&mut self, now_us: Micros) {
        let era = self.store.era();
        let stored = self.stored.as_ref();
        let Some(stored) = stored.filter(|s| !s.era.may_be_lost(era)) else {
            return self.read().await;
        };
        let is_of_era = stored.list.versions.era == era;
        if is_of_era && !self.is_comparison_due(now_us) {
            return;
        }
        let config_version = self.gateway.config.version();
        self.compared = Some(Comparison {
            at_us: now_us,
            config_version,
        });
        let wanted = self.wanted(now_us, era);
        if stored.list.covers(&wanted) {
            self.pending = None;
            return;
        }
        let delay_us = self.gateway.watch_position() as Micros * WRITE_STAGGER_US;
        let pending = self.pending.get_or_insert(PendingWrite {
            since_us: now_us,
            is_checked: delay_us == 0,
        });
        if now_us < pending.since_us + delay_us {
            return;
        }
        match pending.is_checked {
            true => self.write(wanted).await,
            false => {
                pending.is_checked = true;
                self.read().await;
            }
        }
    }

    /// Returns whether the list may lack something that was not there at the last comparison.
    fn is_comparison_due(&self, now_us: Micros) -> bool {
        let Some(compared) = self.compared else {
            return true;
        };
        compared.config_version != self.gateway.config.version()
            || now_us >= compared.at_us + COMPARISON_INTERVAL_US
            || self.pending.is_some()
            || self.gateway.balancer().versions().has_unlisted()
    }

    /// Returns the list that the store should have.
    fn wanted(&self, now_us: Micros, era: u64) -> StoredList {
        let now_unix_ms = unix_ms();
        let routes = self.gateway.route_services().known(now_us);
        let balancer = self.gateway.balancer();
        let versions = balancer.versions();
        let incomplete_us = versions.incomplete_us(now_us);
        let versions = versions.known(now_us);
        StoredList {
            versions: VersionList::of_known(versions, incomplete_us, era, now_unix_ms),
            routes: RouteList::of_known(routes, now_unix_ms),
        }
    }

    async fn read(&mut self) {
        let begun_us = self.gateway.clock.now_us();
        self.gateway.version_list_reads.begin(begun_us);
        let era_before = self.store.era();
        let object = match store::empty_if_unreadable(self.store.read(KEY).await) {
            Ok(object) => object,
            Err(error) => return self.back_off("service_versions_not_read", &error.to_string()),
        };
        let newest = self.store.era();
        let version = object.as_ref().map_or(0, |object| object.version);
        let list = object.and_then(|object| decode(&object.value));
        let list = list.unwrap_or_else(|| self.missing_list(newest));
        self.merge(&list, newest);
        let is_complete = list.versions.incomplete_us(newest, unix_ms()) == 0;
        self.gateway
            .version_list_reads
            .finish(begun_us, is_complete);
        self.stored = Some(Stored {
            era: ObjectEra::of_call(era_before, newest),
            version,
            list,
        });
    }

    /// Returns what counts as the list where the store has none: versions may have been in service.
    fn missing_list(&self, era: u64) -> StoredList {
        StoredList {
            versions: VersionList::of_known(Vec::new(), VERSION_MEMORY_US, era, unix_ms()),
            routes: RouteList::default(),
        }
    }

    /// Adds a list that the store has to what this instance knows.
    fn merge(&self, list: &StoredList, era: u64) {
        let now_us = self.gateway.clock.now_us();
        let now_unix_ms = unix_ms();
        let is_first = !self.gateway.balancer().versions().is_history_read();
        // The routes come first: nothing is concluded before the history of versions is read.
        let targets = list.routes.known(now_unix_ms);
        self.gateway
            .route_services()
            .merge_list(now_us, targets, is_first);
        let list = &list.versions;
        let incomplete_us = list.incomplete_us(era, now_unix_ms);
        let mut balancer = self.gateway.balancer();
        let versions = balancer.versions_mut();
        versions.merge_list(now_us, list.known(now_unix_ms), incomplete_us);
        if is_first {
            let (versions, incomplete_ms) = (list.versions.len(), incomplete_us / 1_000);
            log::info!(
                target: "ryevalve::process",
                versions, incomplete_ms;
                "service_versions_read"
            );
        }
    }

    async fn write(&mut self, list: StoredList) {
        let version = self.stored.as_ref().map_or(0, |stored| stored.version);
        // Plain data like this always serialises to postcard.
        let bytes = postcard::to_stdvec(&list).unwrap_or_default();
        self.pending = None;
        let era_before = self.store.era();
        match self.store.write(KEY, bytes.into(), version).await {
            Ok(version) => {
                let versions = list.versions.versions.len();
                log::info!(target: "ryevalve::process", versions; "service_versions_written");
                self.merge(&list, list.versions.era);
                self.stored = Some(Stored {
                    era: ObjectEra::of_call(era_before, self.store.era()),
                    version,
                    list,
                });
            }
            // Another instance has written the list, or an earlier write of this one succeeded after all.
            Err(WriteError::Conflict) => self.stored = None,
            Err(error) => {
                self.stored = None;
                self.back_off("service_versions_not_written", &error.to_string());
            }
        }
    }

    fn back_off(&mut self, event: &'static str, reason: &str) {
        log::warn!(target: "ryevalve::process", reason; "{event}");
        self.next_call_us = self.gateway.clock.now_us() + RETRY_US;
    }
}

/// Decodes the list. One that cannot be decoded was written by another version of the software; it counts as missing and
/// is replaced.
fn decode(bytes: &[u8]) -> Option<StoredList> {
    match postcard::from_bytes(bytes) {
        Ok(list) => Some(list),
        Err(error) => {
            let reason = error.to_string();
            log::warn!(target: "ryevalve::process", reason; "service_versions_unreadable");
            None
        }
    }
}
