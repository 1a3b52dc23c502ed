//! Brings the configuration and drain orders to every instance, and keeps them from going back.
//!
//! The platform holds the accepted configuration as one object. A few instances watch it, chosen by
//! rendezvous hash; the rest see a higher version in their peers' datagrams and fetch the step to it
//! from there. Drain orders are kept by all instances; one of them writes them to the platform.

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
    store::{Object, Store, backoff},
};

/// The object that holds the configuration.
pub const CONFIG_KEY: &str = "config";
/// The object that holds drain orders.
pub const DRAINS_KEY: &str = "drains";
/// How many instances watch the platform.
const WATCHERS: usize = 3;
const WATCH_WAIT: Duration = Duration::from_secs(25);
const WATCH_RETRY_MS: u64 = 1_000;
const LIST_INTERVAL_MS: u64 = 5_000;
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Steps are made from up to this many versions back; older ones get the whole.
const MAX_PREVIOUS_VERSIONS: usize = 64;
/// How many accepted changes the stored history names.
pub const MAX_HISTORY_ENTRIES: usize = 100;

/// One accepted change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The version that it made.
    pub version: u64,
    /// Who ordered it.
    pub by: Name,
    /// When, in seconds since 1970.
    pub at_s: u64,
    /// The command's id, by which a lost answer is settled.
    pub command: String,
    /// What it changed, in short.
    pub what: String,
}

/// The configuration as the platform holds it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// Counts accepted configurations, from 1.
    pub version: u64,
    /// The objects.
    pub objects: BTreeMap<String, Value>,
    /// The last accepted changes, the newest last.
    pub history: Vec<HistoryEntry>,
}

/// A stored configuration that cannot be used.
#[derive(Debug, Snafu)]
pub enum StoredError {
    /// It is not JSON of the right form.
    #[snafu(display("the stored configuration cannot be read"))]
    Unreadable {
        /// What the reader said.
        source: serde_json::Error,
    },
    /// Its objects cannot be used.
    #[snafu(display("the stored configuration cannot be used"))]
    Unusable {
        /// What is wrong.
        source: VersionError,
    },
}

impl StoredConfig {
    /// Reads the platform's value.
    ///
    /// # Errors
    /// It is not JSON of the right form.
    pub fn read(value: &[u8]) -> Result<Self, StoredError> {
        serde_json::from_slice(value).context(UnreadableSnafu)
    }

    /// Writes the platform's value.
    pub fn write(&self) -> Bytes {
        // Plain data with text keys always has a JSON form.
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Returns the configuration, read and ready for use.
    ///
    /// # Errors
    /// An object cannot be read.
    pub fn versioned(&self) -> Result<Versioned, StoredError> {
        let objects = self.objects.iter();
        let objects = objects.map(|(k, v)| (k.clone(), v.to_string())).collect();
        Versioned::from_objects(self.version, objects).context(UnusableSnafu)
    }

    /// Replaces the objects by those of a version.
    pub fn set(&mut self, versioned: &Versioned) {
        self.version = versioned.version;
        let parse = |text: &String| serde_json::from_str(text).unwrap_or_default();
        let objects = versioned.objects.iter();
        self.objects = objects.map(|(k, v)| (k.clone(), parse(v))).collect();
    }
}

/// What this instance has in force.
pub struct ConfigState {
    current: ArcSwap<Versioned>,
    drains: ArcSwap<Drains>,
    /// Held while either is replaced, so that neither ever goes back.
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
    /// Returns the version in force.
    pub fn current(&self) -> Arc<Versioned> {
        self.current.load_full()
    }

    /// Returns the drain orders in force.
    pub fn drains(&self) -> Arc<Drains> {
        self.drains.load_full()
    }

    /// Returns a receiver that sees each change of either.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Puts a version in force, unless it is not higher than the one that is.
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
        log::info!("configuration {} is in force", next.version);
        self.current.store(Arc::new(next));
        drop(older_versions);
        self.changed.send_modify(|n| *n += 1);
        true
    }

    /// Takes drain orders; returns whether any was news.
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

    /// Returns what a peer at that version has to be sent.
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

/// Brings this instance up to the highest version it can learn; returns whether it may serve.
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

/// Follows the platform's object while this instance is one of its watchers.
pub async fn watch_platform<S: Store>(instance: Arc<Instance<S>>) {
    let mut view = instance.gossip.watch();
    let mut platform_version = 0;
    loop {
        if !is_watcher(&view.borrow_and_update()) {
            // The next change of the view may make it one.
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

/// Fetches what peers are seen to have and this instance has not.
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

/// Keeps the platform's instance list at hand; it only says whom to meet and who is gone.
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

/// Writes drain orders to the platform while this instance is the one to do it.
pub async fn persist_drains<S: Store>(instance: Arc<Instance<S>>) {
    let mut config = instance.config.watch();
    let mut written_hash = instance.config.drains().hash();
    loop {
        let drains = instance.config.drains();
        let due = drains.hash() != written_hash && instance.gossip.view().leads(DRAINS_KEY);
        if due && write_drains(&instance).await {
            written_hash = drains.hash();
        }
        // Looks again after a while too: the one who was to write may be gone.
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
    // Orders that cannot be read are of a later release; they stay with those who know them.
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

/// Puts what the platform holds in force, if it is newer and can be used.
pub fn install_stored<S: Store>(instance: &Instance<S>, object: &Object) {
    let versioned = StoredConfig::read(&object.value).and_then(|s| s.versioned());
    match versioned {
        Ok(versioned) => {
            instance.config.install(versioned);
        }
        Err(error) => log::error!("{error}; the one in force stays"),
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
    // The step did not lead where it said: take the whole.
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

/// Waits for about `ms`, spread so that instances do not act together.
async fn sleep_jittered(ms: u64) {
    let spread = rand::rng().random_range(ms / 2..=ms + ms / 2);
    time::sleep(Duration::from_millis(spread)).await;
}

/// Returns a wait before another try at the platform, longer each time.
pub fn retry_delay(attempt: u32) -> Duration {
    backoff(attempt)
}
