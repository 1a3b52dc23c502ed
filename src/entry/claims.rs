//! Claims on the keys of requests that may run at most once.
//!
//! Before such a request is sent, its key is added to the claims object of its shard by a conditional
//! write. The object's version is the fencing token: the write of an instance that was paused, or that
//! no longer is the shard's writer, fails, and the instance reads the object again. Claims are written in
//! batches. If it is unknown whether a write took effect, the object is read again: a claim that holds
//! the request's own id was written by this request.

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{
    clock::unix_s,
    prelude::RequestId,
    store::{Object, Store, WriteError},
};

/// Number of claim shards. Each is one stored object and has one writer at a time.
pub const SHARDS: u16 = 8;
/// Minimum time between two writes of a shard. 8 shards at 4 writes per second make at most 32 writes
/// per second.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of claims in a shard. At 42 bytes each, in base64, more would exceed the store's limit
/// on the size of a value.
pub const MAX_CLAIMS: usize = 18_000;
const MAX_WRITE_ATTEMPTS: u32 = 4;

/// First 16 bytes of the SHA-256 of organisation, service and key.
pub type KeyHash = [u8; 16];

/// A request to claim a key for one arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Hash of the key.
    pub key: KeyHash,
    /// The request that is to run.
    pub by: RequestId,
}

/// The result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The request may run. The number is the fencing token for endpoints that check one.
    Yours(u64),
    /// Another request holds the key: it ran, is running or may still run.
    Taken,
    /// The key could not be claimed for now; the request must not run.
    Unavailable,
}

/// One stored claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    by: RequestId,
    at_s: u64,
}

/// Content of a shard's stored object.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Claims {
    claims: HashMap<KeyHash, Claim>,
    /// Latest time that any writer used. Claims do not expire early if a writer's clock is set back.
    newest_s: u64,
}

/// Hashes a key, so that no caller-supplied text is stored.
pub fn key_hash(organisation: &str, service: &str, key: &str) -> KeyHash {
    let mut hasher = Sha256::new();
    for part in [organisation, service, key] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let mut hash = KeyHash::default();
    hash.copy_from_slice(&hasher.finalize()[..16]);
    hash
}

/// Returns the shard of a key.
pub fn shard_of(key: &KeyHash) -> u16 {
    u16::from(key[0]) % SHARDS
}

/// Returns the subject by which a shard's writer is chosen among the instances.
pub fn subject(shard: u16) -> String {
    format!("claims/{shard}")
}

/// Returns the store key of a shard's object.
fn object_key(shard: u16) -> String {
    format!("claims-{shard}")
}

enum Job {
    Claim(ClaimRequest, oneshot::Sender<ClaimAnswer>),
    Release(ClaimRequest),
}

/// The shard writers of this process. Each is started on the first job for its shard.
pub struct ClaimWriters<S> {
    store: S,
    jobs: std::sync::Mutex<HashMap<u16, mpsc::Sender<Job>>>,
}

const MAX_QUEUED_JOBS: usize = 8_192;

impl<S: Store> ClaimWriters<S> {
    /// Creates the set without any running writer.
    pub fn new(store: S) -> Self {
        Self {
            store,
            jobs: std::sync::Mutex::default(),
        }
    }

    /// Claims a key and waits until the claim is written. `retention`, the time that claims are kept, only has
    /// an effect if this call starts the writer of the shard.
    pub async fn claim(
        &self,
        shard: u16,
        request: ClaimRequest,
        retention: Duration,
    ) -> ClaimAnswer {
        let (sender, answer) = oneshot::channel();
        let jobs = self.jobs(shard, retention);
        if jobs.try_send(Job::Claim(request, sender)).is_err() {
            return ClaimAnswer::Unavailable;
        }
        answer.await.unwrap_or(ClaimAnswer::Unavailable)
    }

    /// Releases the claim of a request that provably did not run. If the release is lost, a later
    /// request with the key is refused with an unknown outcome, which is safe.
    pub fn release(&self, shard: u16, request: ClaimRequest, retention: Duration) {
        let _ = self.jobs(shard, retention).try_send(Job::Release(request));
    }

    fn jobs(&self, shard: u16, retention: Duration) -> mpsc::Sender<Job> {
        let mut jobs = self
            .jobs
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let entry = jobs.entry(shard).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_JOBS);
            let writer = ShardWriter {
                shard,
                store: self.store.clone(),
                retention,
                cached: None,
            };
            tokio::spawn(writer.run(receiver));
            sender
        });
        entry.clone()
    }
}

struct ShardWriter<S> {
    shard: u16,
    store: S,
    retention: Duration,
    cached: Option<(u64, Claims)>,
}

impl<S: Store> ShardWriter<S> {
    async fn run(mut self, mut jobs: mpsc::Receiver<Job>) {
        let mut batch = Vec::new();
        while jobs.recv_many(&mut batch, MAX_QUEUED_JOBS).await > 0 {
            let started = time::Instant::now();
            self.process_jobs(std::mem::take(&mut batch)).await;
            time::sleep_until(started + WRITE_INTERVAL).await;
        }
    }

    async fn process_jobs(&mut self, jobs: Vec<Job>) {
        let mut requests = Vec::new();
        let mut releases = Vec::new();
        let mut answers = Vec::new();
        for job in jobs {
            match job {
                Job::Claim(request, answer) => {
                    requests.push(request);
                    answers.push(answer);
                }
                Job::Release(request) => releases.push(request),
            }
        }
        let results = self.write_batch(&requests, &releases).await;
        for (answer, result) in answers.into_iter().zip(results) {
            // The requester may have stopped waiting; its claim remains valid.
            let _ = answer.send(result);
        }
    }

    /// Writes a batch of claims and releases. Every answer but `Unavailable` is backed by a write that took
    /// effect or by a claim that was read from the store.
    async fn write_batch(
        &mut self,
        requests: &[ClaimRequest],
        releases: &[ClaimRequest],
    ) -> Vec<ClaimAnswer> {
        for attempt in 0..MAX_WRITE_ATTEMPTS {
            if attempt > 0 {
                time::sleep(crate::store::back_off_delay(attempt)).await;
            }
            let Some((version, mut claims)) = self.load().await else {
                break;
            };
            let changed = claims.update(requests, releases, self.retention);
            if !changed {
                return claims.answers(requests, version);
            }
            let value = postcard::to_stdvec(&claims).unwrap_or_default();
            let key = object_key(self.shard);
            match self.store.write(&key, Bytes::from(value), version).await {
                Ok(version) => {
                    let answers = claims.answers(requests, version);
                    self.cached = Some((version, claims));
                    return answers;
                }
                // Whether or not the write took effect, the next attempt reads the object again.
                Err(WriteError::Conflict | WriteError::Unknown { .. }) => self.cached = None,
                Err(WriteError::NotWritten { .. }) => {}
            }
        }
        self.cached = None;
        vec![ClaimAnswer::Unavailable; requests.len()]
    }

    async fn load(&mut self) -> Option<(u64, Claims)> {
        if let Some(cached) = &self.cached {
            return Some(cached.clone());
        }
        let read = self.store.read(&object_key(self.shard)).await.ok()?;
        let loaded = match read {
            None => (0, Claims::default()),
            Some(Object { version, value }) => {
                // An object that cannot be decoded must not be overwritten: requests with its keys may
                // have run.
                (version, postcard::from_bytes(&value).ok()?)
            }
        };
        self.cached = Some(loaded.clone());
        Some(loaded)
    }
}

impl Claims {
    /// Adds claims on free keys and removes released and expired claims; returns whether anything changed.
    fn update(
        &mut self,
        requests: &[ClaimRequest],
        releases: &[ClaimRequest],
        retention: Duration,
    ) -> bool {
        let now_s = unix_s().max(self.newest_s);
        let mut changed = false;
        for release in releases {
            let own = self
                .claims
                .get(&release.key)
                .is_some_and(|c| c.by == release.by);
            if own {
                self.claims.remove(&release.key);
                changed = true;
            }
        }
        for request in requests {
            if self.claims.len() < MAX_CLAIMS && !self.claims.contains_key(&request.key) {
                let claim = Claim {
                    by: request.by,
                    at_s: now_s,
                };
                self.claims.insert(request.key, claim);
                changed = true;
            }
        }
        if changed {
            self.newest_s = now_s;
            let oldest_s = now_s.saturating_sub(retention.as_secs());
            self.claims.retain(|_, c| c.at_s >= oldest_s);
        }
        changed
    }

    fn answers(&self, requests: &[ClaimRequest], version: u64) -> Vec<ClaimAnswer> {
        let answer = |request: &ClaimRequest| match self.claims.get(&request.key) {
            Some(claim) if claim.by == request.by => ClaimAnswer::Yours(version),
            Some(_) => ClaimAnswer::Taken,
            None => ClaimAnswer::Unavailable,
        };
        requests.iter().map(answer).collect()
    }
}
