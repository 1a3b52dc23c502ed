//! Claims on the keys of requests that may run at most once.
//!
//! Before such a request is sent, its key is added to the claims object of its shard by a
//! conditional update. The object's version is the fence: a writer that was paused or is not the
//! shard's keeper any more simply fails and reads again. Many keys go in one write. An ambiguous
//! write is settled by reading: a claim found with one's own request id is one's own.

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

/// Shards of the claims; each is one object and has one keeper at a time.
pub const SHARDS: u16 = 8;
/// Time between two writes of a shard: 8 shards at 4 a second stay at 32 writes a second.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// More claims than this in a shard would not fit the store's values: 42 bytes each, in base64.
pub const MAX_CLAIMS: usize = 18_000;
const MAX_WRITE_ATTEMPTS: u32 = 4;

/// SHA-256 of organisation, service and key, shortened.
pub type KeyHash = [u8; 16];

/// Asks for a key on behalf of one arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key.
    pub key: KeyHash,
    /// The arrival that wants to run.
    pub by: RequestId,
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The arrival may run; the number is the fence to give to endpoints that check one.
    Yours(u64),
    /// Another arrival has the key: it ran, runs or may run.
    Taken,
    /// Not known and not to be had now; the arrival must not run.
    Unavailable,
}

/// One remembered claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    by: RequestId,
    at_s: u64,
}

/// What a shard's object holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Claims {
    claims: HashMap<KeyHash, Claim>,
    /// The latest time of any writer, so that a clock set back forgets nothing early.
    newest_s: u64,
}

/// Hashes a key so that no text of the caller's is stored.
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

/// Returns the subject by which a shard's keeper is chosen.
pub fn subject(shard: u16) -> String {
    format!("claims/{shard}")
}

/// Returns the key of a shard's object.
fn object_key(shard: u16) -> String {
    format!("claims-{shard}")
}

enum Job {
    Claim(ClaimRequest, oneshot::Sender<ClaimAnswer>),
    Release(ClaimRequest),
}

/// The keepers of shards in this process; each is started when first asked.
pub struct ClaimWriters<S> {
    store: S,
    jobs: std::sync::Mutex<HashMap<u16, mpsc::Sender<Job>>>,
}

const MAX_QUEUED_JOBS: usize = 8_192;

impl<S: Store> ClaimWriters<S> {
    /// Creates an empty set.
    pub fn new(store: S) -> Self {
        Self {
            store,
            jobs: std::sync::Mutex::default(),
        }
    }

    /// Claims a key; waits for the write.
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

    /// Gives a claim up; the request provably did not run. If this is lost, a later arrival with
    /// the key is told that the outcome is unknown, which is safe.
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
            // The one who asked may have gone; its claim stands.
            let _ = answer.send(result);
        }
    }

    /// Writes a batch; every answer but `Unavailable` rests on a write that took effect or on a
    /// claim that was read.
    async fn write_batch(
        &mut self,
        requests: &[ClaimRequest],
        releases: &[ClaimRequest],
    ) -> Vec<ClaimAnswer> {
        for attempt in 0..MAX_WRITE_ATTEMPTS {
            if attempt > 0 {
                time::sleep(crate::store::backoff(attempt)).await;
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
                // Written or not, the next round reads what is there.
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
                // An object that cannot be read must not be overwritten: its keys may have run.
                (version, postcard::from_bytes(&value).ok()?)
            }
        };
        self.cached = Some(loaded.clone());
        Some(loaded)
    }
}

impl Claims {
    /// Adds what is free, removes what is given up and what is old; returns whether it changed.
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
