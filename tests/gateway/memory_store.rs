//! A store in memory, with failures.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use ryevalve::store::{ListedInstance, ListingStore, Object, ReadError, Store, WriteError};

#[derive(Debug, Default)]
struct State {
    revision: u64,
    era: u64,
    objects: BTreeMap<String, Object>,
    fails_reads: bool,
    fails_writes: bool,
    /// Number of writes that are done and whose answer is lost.
    answers_to_lose: u32,
    reads: u32,
}

/// A store whose clones share its objects.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
}

impl MemoryStore {
    pub fn set_era(&self, era: u64) {
        self.lock().era = era;
    }

    pub fn fail_reads(&self, fails: bool) {
        self.lock().fails_reads = fails;
    }

    pub fn fail_writes(&self, fails: bool) {
        self.lock().fails_writes = fails;
    }

    pub fn lose_answers(&self, count: u32) {
        self.lock().answers_to_lose = count;
    }

    pub fn reads(&self) -> u32 {
        self.lock().reads
    }

    /// Returns the number of writes.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Returns an object's value.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.lock().objects.get(key).map(|o| o.value.clone())
    }

    /// Sets an object whatever its version.
    pub fn set(&self, key: &str, value: impl Into<Bytes>) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        let version = state.revision;
        let value = value.into();
        state
            .objects
            .insert(key.to_owned(), Object { version, value });
        version
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn check_reads(&self) -> Result<(), ReadError> {
        let mut state = self.lock();
        state.reads += 1;
        if state.fails_reads {
            let reason = "refused".to_owned();
            return Err(ReadError::Unavailable { reason });
        }
        Ok(())
    }
}

impl Store for MemoryStore {
    async fn read(&self, key: &str) -> Result<Option<Object>, ReadError> {
        self.check_reads()?;
        Ok(self.lock().objects.get(key).cloned())
    }

    async fn write(&self, key: &str, value: Bytes, expected: u64) -> Result<u64, WriteError> {
        if self.lock().fails_writes {
            let reason = "refused".to_owned();
            return Err(WriteError::NotWritten { reason });
        }
        let known = self.lock().objects.get(key).map_or(0, |o| o.version);
        if known != expected {
            return Err(WriteError::Conflict);
        }
        let version = self.set(key, value);
        let mut state = self.lock();
        if state.answers_to_lose > 0 {
            state.answers_to_lose -= 1;
            let reason = "no answer".to_owned();
            return Err(WriteError::Unknown { reason });
        }
        Ok(version)
    }

    async fn watch(&self, _: &str, _: u64, wait: Duration) -> Result<Option<Object>, ReadError> {
        tokio::time::sleep(wait).await;
        Ok(None)
    }

    fn era(&self) -> u64 {
        self.lock().era
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, ReadError> {
        Ok(Vec::new())
    }
}

impl ListingStore for MemoryStore {
    async fn list(&self) -> Result<Vec<Object>, ReadError> {
        self.check_reads()?;
        Ok(self.lock().objects.values().cloned().collect())
    }
}
