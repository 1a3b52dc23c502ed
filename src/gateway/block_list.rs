//! Persists the list of blocked requests in the store, for instances that start when no other instance has the list.
//!
//! Instances send the list to each other, and a new instance receives it within two seconds. If all instances are lost
//! at once, no copy is left in memory: without the store each request that crashes endpoints would then crash two or
//! three more. Each instance reads the list at its start, and requests wait for that. The instances that watch the store
//! for the others write what is new.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{
    sync::watch,
    time::{self, MissedTickBehavior},
};

use crate::{
    clock::unix_s,
    gateway::{protocol::Protocol, state::Gateway},
    limits::{part_suspects::PartUpdate, suspects::SuspectUpdate},
    prelude::Micros,
    store::{self, ObjectEra, Store, WriteError},
};

/// The store key of the list.
const KEY: &str = "blocked-requests";
/// How often the list is checked for changes to write.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The delay before a failed store call is retried. Store calls cost money, and no request waits for these.
const RETRY_US: Micros = 2_000_000;
/// Requests wait for the first read until this time after the start. Without the store they run as if none was blocked.
const FIRST_READ_WAIT_US: Micros = 500_000;
/// The delay before the first read is retried while requests wait for it.
const FIRST_READ_RETRY_US: Micros = 150_000;
/// The first of the instances that watch the store writes at once. Each further one waits this much longer than the one
/// before it, and then checks whether the write is done.
const WRITE_STAGGER_US: Micros = 1_500_000;

/// The list as it is stored.
#[derive(Debug, Default, Serialize, Deserialize)]
struct BlockList {
    written_unix_s: u64,
    suspects: Vec<SuspectUpdate>,
    /// Encoded after the rest, and only if there are any, so that lists without parts can be read by all versions.
    #[serde(skip)]
    parts: Vec<PartUpdate>,
}

/// The store's list as last read or written.
#[derive(Debug, Default)]
struct Stored {
    era: ObjectEra,
    version: u64,
    suspects: Vec<SuspectUpdate>,
    parts: Vec<PartUpdate>,
}

impl Stored {
    fn matches(&self, wanted: &BlockList) -> bool {
        let is_same = |(a, b): (&SuspectUpdate, &SuspectUpdate)| a.has_same_crashes(b);
        let is_same_part = |(a, b): (&PartUpdate, &PartUpdate)| a.has_same_crashes(b);
        self.suspects.len() == wanted.suspects.len()
            && self.parts.len() == wanted.parts.len()
            && self.suspects.iter().zip(&wanted.suspects).all(is_same)
            && self.parts.iter().zip(&wanted.parts).all(is_same_part)
    }
}

/// Tells requests whether the list was read since the start, as far as there is one to read.
#[derive(Debug)]
pub struct FirstRead(watch::Sender<bool>);

impl Default for FirstRead {
    fn default() -> Self {
        Self(watch::Sender::new(true))
    }
}

impl FirstRead {
    fn is_done(&self) -> bool {
        *self.0.borrow()
    }
}

impl<P: Protocol> Gateway<P> {
    /// Waits until the requests are known that were blocked before the start of this instance.
    pub async fn wait_for_block_list(&self) {
        if self.block_list_read.is_done() {
            return;
        }
        let left_us = FIRST_READ_WAIT_US.saturating_sub(self.clock.now_us());
        let mut is_read = self.block_list_read.0.subscribe();
        let read = is_read.wait_for(|is_read| *is_read);
        // After a timeout the request runs.
        let _ = time::timeout(Duration::from_micros(left_us), read).await;
    }
}

/// Whether the store's list has to be updated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingWrite {
    Nothing,
    /// The list is out of date since this time; an instance with a shorter delay may write it first.
    Since(Micros),
    /// The delay is over: the list is read again, and written if it is still out of date.
    AfterRead,
}

/// Starts to synchronise the list with the store. On the first start of a deployment there is no list to read.
pub fn start<P: Protocol, S: Store>(
    gateway: Arc<Gateway<P>>,
    store: S,
    is_first_start: bool,
) -> impl Future<Output = ()> + Send {
    gateway.block_list_read.0.send_replace(is_first_start);
    let sync = BlockListSync {
        gateway,
        store,
        stored: is_first_start.then(Stored::default),
        pending: PendingWrite::Nothing,
        next_call_us: 0,
    };
    sync.run()
}

struct BlockListSync<P: Protocol, S: Store> {
    gateway: Arc<Gateway<P>>,
    store: S,
    /// `None` until the store has been read, and again when it must be reread.
    stored: Option<Stored>,
    pending: PendingWrite,
    /// No store call is made before this time.
    next_call_us: Micros,
}

impl<P: Protocol, S: Store> BlockListSync<P, S> {
    async fn run(mut self) {
        let mut interval = time::interval(CHECK_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.check().await;
        }
    }

    async fn check(&mut self) {
        let now_us = self.gateway.clock.now_us();
        if now_us < self.next_call_us {
            return;
        }
        if !self.gateway.block_list_read.is_done() {
            return self.read().await;
        }
        if !self.gateway.watches_store() {
            return;
        }
        self.forget_if_lost();
        let Some(stored) = &self.stored else {
            return self.read().await;
        };
        let suspects = self.gateway.suspects().to_persist(now_us);
        let parts = self.gateway.part_suspects().to_persist(now_us);
        let wanted = BlockList {
            written_unix_s: unix_s(),
            suspects,
            parts,
        };
        if stored.matches(&wanted) {
            self.pending = PendingWrite::Nothing;
            return;
        }
        let delay_us = self.gateway.watch_position() as Micros * WRITE_STAGGER_US;
        match self.pending {
            PendingWrite::Nothing if delay_us > 0 => self.pending = PendingWrite::Since(now_us),
            PendingWrite::Since(since_us) if now_us < since_us + delay_us => {}
            PendingWrite::Since(_) => {
                self.stored = None;
                self.pending = PendingWrite::AfterRead;
            }
            PendingWrite::Nothing | PendingWrite::AfterRead => self.write(wanted).await,
        }
    }

    /// Forgets what the store has after it came back from a copy, so that the list is read again.
    fn forget_if_lost(&mut self) {
        let era = self.store.era();
        if self
            .stored
            .take_if(|stored| stored.era.may_be_lost(era))
            .is_some()
        {
            log::info!(target: "ryevalve::process", era; "block_list_may_be_lost");
        }
    }

    async fn read(&mut self) {
        let era_before = self.store.era();
        let read = store::empty_if_unreadable(self.store.read(KEY).await);
        let era = ObjectEra::of_call(era_before, self.store.era());
        match read {
            Ok(None) => {
                self.gateway.block_list_read.0.send_replace(true);
                self.stored = Some(Stored {
                    era,
                    ..Stored::default()
                });
            }
            Ok(Some(object)) => {
                let list = decode(&object.value);
                self.merge(&list);
                self.gateway.block_list_read.0.send_replace(true);
                self.stored = Some(Stored {
                    era,
                    version: object.version,
                    suspects: list.suspects,
                    parts: list.parts,
                });
            }
            Err(error) => self.back_off("block_list_not_read", &error.to_string()),
        }
    }

    /// Merges the store's list as if a peer had sent it, with ages increased by the time since it was written.
    fn merge(&self, list: &BlockList) {
        let age_s = unix_s().saturating_sub(list.written_unix_s);
        let suspects = list.suspects.iter().cloned();
        let suspects: Vec<SuspectUpdate> = suspects.map(|suspect| suspect.aged(age_s)).collect();
        let now_us = self.gateway.clock.now_us();
        self.gateway.suspects().apply_updates(now_us, &suspects);
        let parts = list.parts.iter().cloned();
        let parts: Vec<PartUpdate> = parts.map(|part| part.aged(age_s)).collect();
        let (requests, parts_read) = (suspects.len(), parts.len());
        self.gateway.part_suspects().apply_updates(now_us, parts);
        log::info!(
            target: "ryevalve::process",
            requests, parts = parts_read, age_s;
            "block_list_read"
        );
    }

    async fn write(&mut self, list: BlockList) {
        let version = self.stored.as_ref().map_or(0, |stored| stored.version);
        let bytes = encode(&list);
        self.pending = PendingWrite::Nothing;
        let era_before = self.store.era();
        match self.store.write(KEY, bytes.into(), version).await {
            Ok(version) => {
                let (requests, parts) = (list.suspects.len(), list.parts.len());
                log::info!(target: "ryevalve::process", requests, parts; "block_list_written");
                self.stored = Some(Stored {
                    era: ObjectEra::of_call(era_before, self.store.era()),
                    version,
                    suspects: list.suspects,
                    parts: list.parts,
                });
            }
            // Another instance has written the list, or an earlier write of this one succeeded after all.
            Err(WriteError::Conflict) => self.stored = None,
            Err(error) => {
                self.stored = None;
                self.back_off("block_list_not_written", &error.to_string());
            }
        }
    }

    fn back_off(&mut self, event: &'static str, reason: &str) {
        log::warn!(target: "ryevalve::process", reason; "{event}");
        let now_us = self.gateway.clock.now_us();
        let is_awaited = !self.gateway.block_list_read.is_done() && now_us < FIRST_READ_WAIT_US;
        let retry_us = match is_awaited {
            true => FIRST_READ_RETRY_US,
            false => RETRY_US,
        };
        self.next_call_us = now_us + retry_us;
    }
}

fn encode(list: &BlockList) -> Vec<u8> {
    // Plain data like this always serialises to postcard.
    let mut bytes = postcard::to_stdvec(list).unwrap_or_default();
    if !list.parts.is_empty() {
        bytes.extend(postcard::to_stdvec(&list.parts).unwrap_or_default());
    }
    bytes
}

/// Decodes the list. One that cannot be decoded was written by another version of the software; it counts as empty and
/// is replaced.
fn decode(bytes: &[u8]) -> BlockList {
    try_decode(bytes).unwrap_or_else(|error| {
        let reason = error.to_string();
        log::warn!(target: "ryevalve::process", reason; "block_list_unreadable");
        BlockList::default()
    })
}

fn try_decode(bytes: &[u8]) -> Result<BlockList, postcard::Error> {
    let (mut list, rest): (BlockList, _) = postcard::take_from_bytes(bytes)?;
    if !rest.is_empty() {
        list.parts = postcard::from_bytes(rest)?;
    }
    Ok(list)
}
