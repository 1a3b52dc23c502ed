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
const WRITE_TRIES: u32 = 4;

/// SHA-256 of organisation, service and key, shortened.
pub type KeyHash = [u8; 16];

/// Asks for a key on behalf of one arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAsk {
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
    Claim(ClaimAsk, oneshot::Sender<ClaimAnswer>),
    Release(ClaimAsk),
}

/// The keepers of shards in this process; each is started when first asked.
pub struct Keepers<S> {
    store: S,
    jobs: std::sync::Mutex<HashMap<u16, mpsc::Sender<Job>>>,
}

const QUEUED_JOBS: usize = 8_192;

impl<S: Store> Keepers<S> {
    /// Creates an empty set.
    pub fn new(store: S) -> Self {
        Self {
            store,
            jobs: std::sync::Mutex::default(),
        }
    }

    /// Claims a key; waits for the write.
    pub async fn claim(&self, shard: u16, ask: ClaimAsk, remember: Duration) -> ClaimAnswer {
        let (sender, answer) = oneshot::channel();
        let jobs = self.jobs(shard, remember);
        if jobs.try_send(Job::Claim(ask, sender)).is_err() {
            return ClaimAnswer::Unavailable;
        }
        answer.await.unwrap_or(ClaimAnswer::Unavailable)
    }

    /// Gives a claim up; the request provably did not run. If this is lost, a later arrival with
    /// the key is told that the outcome is unknown, which is safe.
    pub fn release(&self, shard: u16, ask: ClaimAsk, remember: Duration) {
        let _ = self.jobs(shard, remember).try_send(Job::Release(ask));
    }

    fn jobs(&self, shard: u16, remember: Duration) -> mpsc::Sender<Job> {
        let mut jobs = self
            .jobs
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let entry = jobs.entry(shard).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUED_JOBS);
            let keeper = Keeper {
                shard,
                store: self.store.clone(),
                remember,
                known: None,
            };
            tokio::spawn(keeper.run(receiver));
            sender
        });
        entry.clone()
    }
}

struct Keeper<S> {
    shard: u16,
    store: S,
    remember: Duration,
    known: Option<(u64, Claims)>,
}

impl<S: Store> Keeper<S> {
    async fn run(mut self, mut jobs: mpsc::Receiver<Job>) {
        let mut batch = Vec::new();
        while jobs.recv_many(&mut batch, QUEUED_JOBS).await > 0 {
            let started = time::Instant::now();
            self.commit(std::mem::take(&mut batch)).await;
            time::sleep_until(started + WRITE_INTERVAL).await;
        }
    }

    async fn commit(&mut self, jobs: Vec<Job>) {
        let mut asks = Vec::new();
        let mut releases = Vec::new();
        let mut answers = Vec::new();
        for job in jobs {
            match job {
                Job::Claim(ask, answer) => {
                    asks.push(ask);
                    answers.push(answer);
                }
                Job::Release(ask) => releases.push(ask),
            }
        }
        let results = self.settle(&asks, &releases).await;
        for (answer, result) in answers.into_iter().zip(results) {
            // The one who asked may have gone; its claim stands.
            let _ = answer.send(result);
        }
    }

    /// Writes a batch; every answer but `Unavailable` rests on a write that took effect or on a
    /// claim that was read.
    async fn settle(&mut self, asks: &[ClaimAsk], releases: &[ClaimAsk]) -> Vec<ClaimAnswer> {
        for attempt in 0..WRITE_TRIES {
            if attempt > 0 {
                time::sleep(crate::store::back_off_delay(attempt)).await;
            }
            let Some((version, mut claims)) = self.load().await else {
                break;
            };
            let changed = claims.update(asks, releases, self.remember);
            if !changed {
                return claims.answers(asks, version);
            }
            let value = postcard::to_stdvec(&claims).unwrap_or_default();
            let key = object_key(self.shard);
            match self.store.write(&key, Bytes::from(value), version).await {
                Ok(version) => {
                    let answers = claims.answers(asks, version);
                    self.known = Some((version, claims));
                    return answers;
                }
                // Written or not, the next round reads what is there.
                Err(WriteError::Conflict | WriteError::Unknown { .. }) => self.known = None,
                Err(WriteError::NotWritten { .. }) => {}
            }
        }
        self.known = None;
        vec![ClaimAnswer::Unavailable; asks.len()]
    }

    async fn load(&mut self) -> Option<(u64, Claims)> {
        if let Some(known) = &self.known {
            return Some(known.clone());
        }
        let read = self.store.read(&object_key(self.shard)).await.ok()?;
        let loaded = match read {
            None => (0, Claims::default()),
            Some(Object { version, value }) => {
                // An object that cannot be read must not be overwritten: its keys may have run.
                (version, postcard::from_bytes(&value).ok()?)
            }
        };
        self.known = Some(loaded.clone());
        Some(loaded)
    }
}

impl Claims {
    /// Adds what is free, removes what is given up and what is old; returns whether it changed.
    fn update(&mut self, asks: &[ClaimAsk], releases: &[ClaimAsk], remember: Duration) -> bool {
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
        for ask in asks {
            if self.claims.len() < MAX_CLAIMS && !self.claims.contains_key(&ask.key) {
                let claim = Claim {
                    by: ask.by,
                    at_s: now_s,
                };
                self.claims.insert(ask.key, claim);
                changed = true;
            }
        }
        if changed {
            self.newest_s = now_s;
            let oldest_s = now_s.saturating_sub(remember.as_secs());
            self.claims.retain(|_, c| c.at_s >= oldest_s);
        }
        changed
    }

    fn answers(&self, asks: &[ClaimAsk], version: u64) -> Vec<ClaimAnswer> {
        let answer = |ask: &ClaimAsk| match self.claims.get(&ask.key) {
            Some(claim) if claim.by == ask.by => ClaimAnswer::Yours(version),
            Some(_) => ClaimAnswer::Taken,
            None => ClaimAnswer::Unavailable,
        };
        asks.iter().map(answer).collect()
    }
}
