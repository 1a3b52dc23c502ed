//! Keeps the blocked requests in the store, for instances that start when none is left that knows of them.
//!
//! Instances tell each other what they know, and one that starts hears it within two seconds. Only after the
//! loss of all nobody is left: then each request that ends endpoints would end two or three again, beside what
//! is lost already. Those that watch the store for the others read the list once and write what is new.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::{self, MissedTickBehavior};

use crate::{
    clock::unix_s,
    gateway::{protocol::Protocol, state::Gateway},
    limits::suspects::ToldSuspect,
    prelude::Micros,
    store::{Store, WriteError},
};

/// The key under which the store has the list.
const KEY: &str = "blocked-requests";
/// How often it is looked whether there is something to write.
const LOOK: Duration = Duration::from_millis(250);
/// A call that failed is made again after this time; calls are paid for, and no request waits for these.
const RETRY_US: Micros = 2_000_000;
/// Of those that watch the store the first writes; each of the others waits this much longer, and looks then
/// whether it is done.
const TURN_US: Micros = 1_500_000;

/// The list as the store has it.
#[derive(Debug, Default, Serialize, Deserialize)]
struct BlockList {
    written_unix_s: u64,
    suspects: Vec<ToldSuspect>,
}

/// What is known of the store's list.
#[derive(Debug, Default)]
struct Kept {
    version: u64,
    suspects: Vec<ToldSuspect>,
}

impl Kept {
    fn has_same(&self, suspects: &[ToldSuspect]) -> bool {
        let same = |(a, b): (&ToldSuspect, &ToldSuspect)| {
            a.fingerprint == b.fingerprint && a.endings == b.endings
        };
        self.suspects.len() == suspects.len() && self.suspects.iter().zip(suspects).all(same)
    }
}

/// What is to be done about what the store's list lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Due {
    Nothing,
    /// It lacks something since then; whoever comes first in turn may write it.
    Since(Micros),
    /// It is written once the list has been read again.
    Now,
}

/// Keeps the list until dropped. At the first start of all there is none to be read.
pub async fn run<P: Protocol, S: Store>(gateway: Arc<Gateway<P>>, store: S, is_first_start: bool) {
    let mut keeper = Keeper {
        gateway,
        store,
        kept: is_first_start.then(Kept::default),
        due: Due::Nothing,
        rests_until_us: 0,
    };
    let mut look = time::interval(LOOK);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        look.tick().await;
        keeper.look().await;
    }
}

struct Keeper<P: Protocol, S: Store> {
    gateway: Arc<Gateway<P>>,
    store: S,
    /// None while the store is to be read.
    kept: Option<Kept>,
    due: Due,
    rests_until_us: Micros,
}

impl<P: Protocol, S: Store> Keeper<P, S> {
    async fn look(&mut self) {
        let now_us = self.gateway.clock.now_us();
        if !self.gateway.watches_store() || now_us < self.rests_until_us {
            return;
        }
        let Some(kept) = &self.kept else {
            return self.read().await;
        };
        let wanted = self.gateway.suspects().to_keep(now_us);
        if kept.has_same(&wanted) {
            self.due = Due::Nothing;
            return;
        }
        let turn_us = self.gateway.place_to_watch() as Micros * TURN_US;
        match self.due {
            Due::Nothing if turn_us > 0 => self.due = Due::Since(now_us),
            Due::Since(since_us) if now_us < since_us + turn_us => {}
            Due::Since(_) => {
                self.kept = None;
                self.due = Due::Now;
            }
            Due::Nothing | Due::Now => self.write(wanted).await,
        }
    }

    async fn read(&mut self) {
        match self.store.read(KEY).await {
            Ok(None) => self.kept = Some(Kept::default()),
            Ok(Some(object)) => {
                let list = decode(&object.value);
                self.take(&list);
                self.kept = Some(Kept {
                    version: object.version,
                    suspects: list.suspects,
                });
            }
            Err(error) => self.rest("block_list_not_read", &error.to_string()),
        }
    }

    /// Takes the store's list as word of another instance, older by the time since it was written.
    fn take(&self, list: &BlockList) {
        let age_s = unix_s().saturating_sub(list.written_unix_s);
        let aged = |told: &ToldSuspect| ToldSuspect {
            age_s: u16::try_from(age_s + u64::from(told.age_s)).unwrap_or(u16::MAX),
            ..told.clone()
        };
        let told: Vec<ToldSuspect> = list.suspects.iter().map(aged).collect();
        let now_us = self.gateway.clock.now_us();
        self.gateway.suspects().told(now_us, &told);
        let requests = told.len();
        log::info!(target: "ryevalve::process", requests, age_s; "block_list_read");
    }

    async fn write(&mut self, suspects: Vec<ToldSuspect>) {
        let version = self.kept.as_ref().map_or(0, |kept| kept.version);
        let list = BlockList {
            written_unix_s: unix_s(),
            suspects,
        };
        // Plain data of this kind always has a postcard form.
        let bytes = postcard::to_stdvec(&list).unwrap_or_default();
        self.due = Due::Nothing;
        match self.store.write(KEY, bytes.into(), version).await {
            Ok(version) => {
                let requests = list.suspects.len();
                log::info!(target: "ryevalve::process", requests; "block_list_written");
                let suspects = list.suspects;
                self.kept = Some(Kept { version, suspects });
            }
            // Another instance has written, or may be this one.
            Err(WriteError::Conflict) => self.kept = None,
            Err(error) => {
                self.kept = None;
                self.rest("block_list_not_written", &error.to_string());
            }
        }
    }

    fn rest(&mut self, event: &'static str, reason: &str) {
        log::warn!(target: "ryevalve::process", reason; "{event}");
        self.rests_until_us = self.gateway.clock.now_us() + RETRY_US;
    }
}

/// Reads the list; one that cannot be read is another version's, and is replaced.
fn decode(bytes: &[u8]) -> BlockList {
    postcard::from_bytes(bytes).unwrap_or_else(|error| {
        let reason = error.to_string();
        log::warn!(target: "ryevalve::process", reason; "block_list_unreadable");
        BlockList::default()
    })
}
