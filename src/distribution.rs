//! Distributes the configuration and drain orders to all instances, and prevents a return to older versions.
//!
//! The platform stores the accepted configuration as one object. A few instances, chosen by rendezvous hash, watch it; the
//! others see a higher version in their peers' datagrams and fetch the delta to it from them. All instances hold the
//! drain orders; one of them writes them to the platform.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::{ResultExt, Snafu};
use tokio::{sync::watch, time};

use crate::{
    config::version::{Hash, Objects, VersionError, Versioned},
    instance::Instance,
    operator::drains::{DrainOrder, Drains},
    peers::{
        datagram::Digest,
        rpc::ConfigCopy,
        view::{Member, View},
    },
    prelude::Name,
    store::{Object, Store, back_off_delay},
};

/// The key of the platform's object for the configuration.
pub const CONFIG_KEY: &str = "config";
/// The key of the platform's object for drain orders.
pub const DRAINS_KEY: &str = "drains";
/// Number of instances that watch the platform.
const WATCHERS: usize = 3;
const WATCH_WAIT: Duration = Duration::from_secs(25);
const WATCH_RETRY_MS: u64 = 1_000;
const LIST_INTERVAL_MS: u64 = 5_000;
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of previous versions from which deltas can be computed; peers with an older version get a full copy.
const MAX_PREVIOUS_VERSIONS: usize = 64;
/// Most entries of the stored history.
pub const MAX_HISTORY_ENTRIES: usize = 100;

/// An accepted change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The version that the change created.
    pub version: u64,
    /// The operator who ordered the change.
    pub by: Name,
    /// The time of the change, in seconds since 1970.
    pub at_s: u64,
    /// The command's id. After a lost response it shows whether the command was executed.
    pub command: String,
    /// A short description of the change.
    pub what: String,
}

/// The configuration as stored on the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// Counts accepted configurations, starting at 1.
    pub version: u64,
    /// The objects of the configuration.
    pub objects: BTreeMap<String, Value>,
    /// The most recent accepted changes, the newest last.
    pub history: Vec<HistoryEntry>,
}

/// Why a stored configuration cannot be used.
#[derive(Debug, Snafu)]
pub enum StoredError {
    /// The value is not valid JSON or has another structure.
    #[snafu(display("the stored configuration cannot be read"))]
    Unreadable {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The objects are not a valid configuration.
    #[snafu(display("the stored configuration cannot be used"))]
    Unusable {
        /// The reason.
        source: VersionError,
    },
}

impl StoredConfig {
    /// Parses the value stored on the platform.
    ///
    /// # Errors
    /// The value is not valid JSON or has another structure.
    pub fn read(value: &[u8]) -> Result<Self, StoredError> {
        serde_json::from_slice(value).context(UnreadableSnafu)
    }

    /// Serializes the value for the platform.
    pub fn write(&self) -> Bytes {
        // Plain data with string keys always serializes to JSON.
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Parses the objects into a configuration.
    ///
    /// # Errors
    /// The objects are not a valid configuration.
    pub fn versioned(&self) -> Result<Versioned, StoredError> {
        let objects = self.objects.iter();
        let objects = objects.map(|(k, v)| (k.clone(), v.to_string())).collect();
        Versioned::from_objects(self.version, objects).context(UnusableSnafu)
    }

    /// Replaces the version and the objects.
    pub fn set(&mut self, versioned: &Versioned) {
        self.version = versioned.version;
        let parse = |text: &String| serde_json::from_str(text).unwrap_or_default();
        let objects = versioned.objects.iter();
        self.objects = objects.map(|(k, v)| (k.clone(), parse(v))).collect();
    }
}

/// The configuration and the drain orders that this instance has installed.
pub struct ConfigState {
    current: ArcSwap<Versioned>,
    drains: ArcSwap<Drains>,
    /// Versions before the current one. Locked while the configuration or the drain orders are replaced, so that neither
    /// returns to an older state.
    previous_versions: Mutex<VecDeque<Arc<Versioned>>>,
    changed: watch::Sender<u64>,
}

impl Default for ConfigState {
    fn default() -> Self {
        Self {
            current: ArcSwap::default(),
            drains: ArcSwap::default(),
            previous_versions: Mutex::default(),
            changed: watch::channel(0).0,
        }
    }
}

impl ConfigState {
    /// Returns the installed configuration.
    pub fn current(&self) -> Arc<Versioned> {
        self.current.load_full()
    }

    /// Returns the current drain orders.
    pub fn drains(&self) -> Arc<Drains> {
        self.drains.load_full()
    }

    /// Returns a receiver that is notified when the configuration or the drain orders change.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Installs a configuration if its version is higher than the installed one; returns whether it was.
    pub fn install(&self, next: Versioned) -> bool {
        let mut older_versions = self
            .previous_versions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let current = self.current.load_full();
        if next.version <= current.version {
            return false;
        }
        older_versions.push_back(current);
        if older_versions.len() > MAX_PREVIOUS_VERSIONS {
            older_versions.pop_front();
        }
        log::info!("installing configuration version {}", next.version);
        self.current.store(Arc::new(next));
        drop(older_versions);
        self.changed.send_modify(|n| *n += 1);
        true
    }

    /// Merges drain orders into the known ones; returns whether any of them was new.
    pub fn merge_drains(&self, orders: Vec<DrainOrder>) -> bool {
        let guard = self
            .previous_versions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut drains = Drains::clone(&self.drains.load());
        let is_changed = drains.merge(orders);
        if is_changed {
            self.drains.store(Arc::new(drains));
        }
        drop(guard);
        if is_changed {
            self.changed.send_modify(|n| *n += 1);
        }
        is_changed
    }

    /// Returns what a peer with this version and hash needs to reach the installed configuration.
    pub fn copy_after(&self, version: u64, hash: Hash) -> ConfigCopy {
        let older_versions = self
            .previous_versions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let current = self.current.load_full();
        if version >= current.version {
            return ConfigCopy::NothingNewer;
        }
        let base = older_versions
            .iter()
            .find(|v| v.version == version && v.hash == hash);
        match base.filter(|_| version > 0) {
            Some(base) => ConfigCopy::Step(base.delta_to(&current)),
            None => ConfigCopy::Whole {
                version: current.version,
                objects: Objects::clone(&current.objects),
            },
        }
    }

    fn apply_copy(&self, copy: ConfigCopy) -> Result<bool, VersionError> {
        match copy {
            ConfigCopy::NothingNewer => Ok(false),
            ConfigCopy::Step(delta) => {
                let next = self.current.load().apply(&delta)?;
                Ok(self.install(next))
            }
            ConfigCopy::Whole { version, objects } => {
                let next = Versioned::from_objects(version, objects)?;
                Ok(self.install(next))
            }
        }
    }
}

/// Fetches the newest configuration and drain orders from the platform and all peers; returns whether this instance may
/// serve.
pub async fn catch_up<S: Store>(instance: &Arc<Instance<S>>) -> bool {
    let is_store_read = read_stored(instance).await;
    read_drains(instance).await;
    let view = instance.gossip.view();
    for member in view.others() {
        fetch_from(instance, member).await;
        exchange_drains(instance, member).await;
    }
    let is_list_reached = view.unmet.is_empty() || view.others().next().is_some();
    let has_source = is_store_read || (is_list_reached && view.others().next().is_some());
    has_source && instance.config.current().version > 0
}

/// Watches the platform's configuration while this instance is one of the watchers.
pub async fn watch_platform<S: Store>(instance: Arc<Instance<S>>) {
    let mut view = instance.gossip.watch();
    let mut platform_version = 0;
    loop {
        if !is_watcher(&view.borrow_and_update()) {
            // This instance may become a watcher when the view changes.
            let _ = view.changed().await;
            continue;
        }
        let watched = instance
            .store
            .watch(CONFIG_KEY, platform_version, WATCH_WAIT)
            .await;
        match watched {
            Ok(Some(object)) => {
                platform_version = object.version;
                install_stored(&instance, &object);
            }
            Ok(None) => {}
            Err(_) => {
                instance.metrics.platform_errors.inc();
                sleep_jittered(WATCH_RETRY_MS).await;
            }
        }
    }
}

fn is_watcher(view: &View) -> bool {
    let watchers = view.leaders("config watch", WATCHERS);
    watchers.iter().any(|m| m.info.incarnation == view.me)
}

/// Fetches newer configurations and unknown drain orders from peers whose digest shows them.
pub async fn follow_peers<S: Store>(instance: Arc<Instance<S>>) {
    let mut view = instance.gossip.watch();
    let mut config = instance.config.watch();
    loop {
        let current_view = view.borrow_and_update().clone();
        let mine = own_digest(&instance);
        instance.gossip.set_digest(mine);
        let ahead = current_view
            .others()
            .filter(|m| m.digest.config_version > mine.config_version);
        let newest = ahead.max_by_key(|m| m.digest.config_version);
        let differs = current_view
            .others()
            .find(|m| m.digest.orders_hash != mine.orders_hash);
        let mut failed = false;
        if let Some(member) = newest {
            failed |= !fetch_from(&instance, member).await;
        }
        if let Some(member) = differs {
            failed |= !exchange_drains(&instance, member).await;
        }
        if failed {
            sleep_jittered(100).await;
            continue;
        }
        tokio::select! {
            _ = view.changed() => {}
            _ = config.changed() => {}
        }
    }
}

fn own_digest<S: Store>(instance: &Instance<S>) -> Digest {
    Digest {
        config_version: instance.config.current().version,
        orders_hash: instance.config.drains().hash(),
    }
}

/// Polls the platform's instance list. It serves only to discover instances and to remove dead ones.
pub async fn follow_instance_list<S: Store>(instance: Arc<Instance<S>>) {
    loop {
        match instance.store.instances().await {
            Ok(list) => {
                let listed = list.into_iter().filter(|i| !i.leaving).map(|i| i.peer_addr);
                instance.gossip.set_listed(listed.collect());
            }
            Err(_) => {
                instance.metrics.platform_errors.inc();
            }
        }
        sleep_jittered(LIST_INTERVAL_MS).await;
    }
}

/// Writes changed drain orders to the platform while this instance is responsible for that.
pub async fn persist_drains<S: Store>(instance: Arc<Instance<S>>) {
    let mut config = instance.config.watch();
    let mut written_hash = instance.config.drains().hash();
    loop {
        let drains = instance.config.drains();
        let due = drains.hash() != written_hash && instance.gossip.view().leads(DRAINS_KEY);
        if due && write_drains(&instance).await {
            written_hash = drains.hash();
        }
        // Checks again after a while even without a change: the instance that was responsible may be dead.
        let wait = Duration::from_millis(rand::rng().random_range(1_000..3_000));
        let _ = time::timeout(wait, config.changed()).await;
    }
}

async fn write_drains<S: Store>(instance: &Arc<Instance<S>>) -> bool {
    let Ok(read) = instance.store.read(DRAINS_KEY).await else {
        return false;
    };
    let version = read.as_ref().map_or(0, |o| o.version);
    if let Some(object) = read {
        instance.config.merge_drains(parse_drains(&object));
    }
    let drains = instance.config.drains();
    let orders: Vec<&DrainOrder> = drains.orders().collect();
    let value = serde_json::to_vec(&orders).unwrap_or_default();
    instance
        .store
        .write(DRAINS_KEY, value.into(), version)
        .await
        .is_ok()
}

fn parse_drains(object: &Object) -> Vec<DrainOrder> {
    // Orders that cannot be parsed are from a later release; instances of that release hold them.
    serde_json::from_slice(&object.value).unwrap_or_default()
}

async fn read_stored<S: Store>(instance: &Arc<Instance<S>>) -> bool {
    match instance.store.read(CONFIG_KEY).await {
        Ok(Some(object)) => install_stored(instance, &object),
        Ok(None) => {}
        Err(_) => return false,
    }
    true
}

async fn read_drains<S: Store>(instance: &Arc<Instance<S>>) {
    if let Ok(Some(object)) = instance.store.read(DRAINS_KEY).await {
        instance.config.merge_drains(parse_drains(&object));
    }
}

/// Installs the configuration stored on the platform if it is valid and newer.
pub fn install_stored<S: Store>(instance: &Instance<S>, object: &Object) {
    let versioned = StoredConfig::read(&object.value).and_then(|s| s.versioned());
    match versioned {
        Ok(versioned) => {
            instance.config.install(versioned);
        }
        Err(error) => log::error!("{error}; keeping the installed configuration"),
    }
}

async fn fetch_from<S: Store>(instance: &Arc<Instance<S>>, member: &Member) -> bool {
    let mine = instance.config.current();
    let Some(copy) = fetch_copy(instance, member, mine.version, mine.hash).await else {
        return false;
    };
    if instance.config.apply_copy(copy).is_ok() {
        return true;
    }
    // The delta could not be applied, so a full copy is fetched.
    instance.metrics.config_steps_refused.inc();
    let whole = fetch_copy(instance, member, 0, Hash::default()).await;
    whole.is_some_and(|copy| instance.config.apply_copy(copy).is_ok())
}

async fn fetch_copy<S: Store>(
    instance: &Arc<Instance<S>>,
    member: &Member,
    version: u64,
    hash: Hash,
) -> Option<ConfigCopy> {
    let addr = member.info.peer_addr;
    let call = instance
        .peers
        .call(addr, CALL_TIMEOUT, |client, context| async move {
            client.config_after(context, version, hash).await
        });
    call.await.ok()
}

async fn exchange_drains<S: Store>(instance: &Arc<Instance<S>>, member: &Member) -> bool {
    let orders = instance.config.drains().orders().cloned().collect();
    let addr = member.info.peer_addr;
    let call = instance
        .peers
        .call(addr, CALL_TIMEOUT, |client, context| async move {
            client.exchange_drains(context, orders).await
        });
    match call.await {
        Ok(theirs) => {
            instance.config.merge_drains(theirs);
            true
        }
        Err(_) => false,
    }
}

/// Sleeps for `ms` with a jitter of 50 %, so that instances do not act at the same time.
async fn sleep_jittered(ms: u64) {
    let spread = rand::rng().random_range(ms / 2..=ms + ms / 2);
    time::sleep(Duration::from_millis(spread)).await;
}

/// Returns the delay before the next attempt to reach the platform; it grows with each attempt.
pub fn retry_delay(attempt: u32) -> Duration {
    back_off_delay(attempt)
}
