//! Persists in the store which versions of the endpoints' software each service has or had recently.
//!
//! An instance takes the only version that it knows of a service for the origin of streams without a record. What it has
//! seen itself only covers the time since its start; the versions before that are read from the store. The instances that
//! watch the store for the others write them when they change.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::time::{self, MissedTickBehavior};

use crate::{
    balance::service_versions::VERSION_MEMORY_US,
    clock::unix_s,
    gateway::{protocol::Protocol, state::Gateway},
    prelude::{Micros, Name},
    store::{ObjectEra, Store, WriteError},
};

/// The store key of the versions.
const KEY: &str = "service-versions";
/// How often the versions are checked for changes to write. Streams that begin at a new version before it is written are
/// taken for those of another one if all instances are lost and the new version leaves meanwhile.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// The delay before a failed call is retried. Streams without a record are refused until the versions have been read.
const RETRY_US: Micros = 200_000;
/// As for the block list: the instances that watch the store write one after the other, and only what the first has not.
const WRITE_STAGGER_US: Micros = 1_500_000;

/// The versions as they are stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct VersionList {
    /// Services and their versions, in order.
    versions: Vec<(Name, Name)>,
    /// Until this time, versions may be missing that were in service before; 0 if none are.
    incomplete_until_unix_s: u64,
    /// The era of the store in which the list was written.
    era: u64,
}

impl VersionList {
    /// Returns whether this list needs no update. That no version is missing any more is not worth a write.
    fn matches(&self, wanted: &Self) -> bool {
        self.versions == wanted.versions && self.era == wanted.era
    }
}

/// The store's list as last read or written.
#[derive(Debug, Default)]
struct Stored {
    era: ObjectEra,
    version: u64,
    list: VersionList,
}

/// What is to be written, and since when.
#[derive(Debug)]
struct PendingWrite {
    since_us: Micros,
    /// Whether the list was read again after the delay of this instance.
    is_checked: bool,
}

struct VersionHistorySync<P: Protocol, S: Store> {
    gateway: Arc<Gateway<P>>,
    store: S,
    /// `None` until the store has been read, and again when it must be reread.
    stored: Option<Stored>,
    pending: Option<PendingWrite>,
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
        if !self.gateway.watches_store() {
            return;
        }
        let era = self.store.era();
        let stored = self.stored.as_ref();
        let Some(stored) = stored.filter(|s| !s.era.may_be_lost(era)) else {
            return self.read().await;
        };
        let wanted = self.wanted(now_us, era);
        if stored.list.matches(&wanted) {
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

    /// Returns the list that the store should have.
    fn wanted(&self, now_us: Micros, era: u64) -> VersionList {
        let balancer = self.gateway.balancer();
        let versions = balancer.versions();
        let incomplete_us = versions.incomplete_us(now_us);
        VersionList {
            versions: versions.all(),
            incomplete_until_unix_s: match incomplete_us {
                0 => 0,
                _ => unix_s() + incomplete_us.div_ceil(1_000_000),
            },
            era,
        }
    }

    async fn read(&mut self) {
        let begun_us = self.gateway.clock.now_us();
        self.gateway.version_list_reads.begin(begun_us);
        let era_before = self.store.era();
        let object = match self.store.read(KEY).await {
            Ok(object) => object,
            Err(error) => return self.back_off("service_versions_not_read", &error.to_string()),
        };
        let newest = self.store.era();
        let version = object.as_ref().map_or(0, |object| object.version);
        let list = object.and_then(|object| decode(&object.value));
        self.add_to_known(list.as_ref(), newest);
        let is_complete = list
            .as_ref()
            .is_some_and(|list| incomplete_us(list, newest) == 0);
        self.gateway
            .version_list_reads
            .finish(begun_us, is_complete);
        self.stored = Some(Stored {
            era: ObjectEra::of_call(era_before, newest),
            version,
            list: list.unwrap_or_default(),
        });
    }

    /// Adds the store's list to what this instance has seen. Its history is as complete as the first list.
    fn add_to_known(&self, list: Option<&VersionList>, era: u64) {
        let now_us = self.gateway.clock.now_us();
        let mut balancer = self.gateway.balancer();
        let versions = balancer.versions_mut();
        let listed = list.map_or(&[][..], |list| &list.versions);
        if versions.is_history_read() {
            let incomplete_us = versions.incomplete_us(now_us);
            return versions.add_history(now_us, listed.iter().cloned(), incomplete_us);
        }
        let incomplete_us = list.map_or(VERSION_MEMORY_US, |list| incomplete_us(list, era));
        versions.add_history(now_us, listed.iter().cloned(), incomplete_us);
        let (versions, incomplete_ms) = (listed.len(), incomplete_us / 1_000);
        log::info!(
            target: "ryevalve::process",
            versions, incomplete_ms;
            "service_versions_read"
        );
    }

    async fn write(&mut self, list: VersionList) {
        let version = self.stored.as_ref().map_or(0, |stored| stored.version);
        // Plain data like this always serialises to postcard.
        let bytes = postcard::to_stdvec(&list).unwrap_or_default();
        self.pending = None;
        let era_before = self.store.era();
        match self.store.write(KEY, bytes.into(), version).await {
            Ok(version) => {
                let versions = list.versions.len();
                log::info!(target: "ryevalve::process", versions; "service_versions_written");
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

/// Returns for how long versions may be missing from a list that is read in an era of the store. A copy of the store
/// lacks what was written after it was taken.
fn incomplete_us(list: &VersionList, era: u64) -> Micros {
    if list.era != era {
        return VERSION_MEMORY_US;
    }
    let left_s = list.incomplete_until_unix_s.saturating_sub(unix_s());
    (left_s * 1_000_000).min(VERSION_MEMORY_US)
}

/// Decodes the list. One that cannot be decoded was written by another version of the software; it counts as missing and
/// is replaced.
fn decode(bytes: &[u8]) -> Option<VersionList> {
    match postcard::from_bytes(bytes) {
        Ok(list) => Some(list),
        Err(error) => {
            let reason = error.to_string();
            log::warn!(target: "ryevalve::process", reason; "service_versions_unreadable");
            None
        }
    }
}
