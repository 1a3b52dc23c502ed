//! Keeps in the store how many instances there are, for instances that start when no other tells them.
//!
//! An instance's share of a limit is one part of as many. One that starts while it is cut off from the others would
//! take those that it meets for all.

use std::{sync::Arc, time::Duration};

use tokio::time::{self, MissedTickBehavior};

use crate::{
    gateway::{protocol::Protocol, state::Gateway},
    prelude::Micros,
    store::{Store, WriteError},
};

/// The key under which the store has the number.
const KEY: &str = "instance-count";
/// How often it is looked whether there is something to read or write.
const LOOK: Duration = Duration::from_millis(100);
/// A call that failed is made again after this time.
const RETRY_US: Micros = 1_000_000;
/// A process that starts is told by others before this, or reads the store.
const TOLD_US: Micros = 50_000;
/// A higher number is written once it has stood for this long.
const RISEN_US: Micros = 2_000_000;
/// And a lower one.
const FALLEN_US: Micros = 60_000_000;

/// The number as the store has it; 0 if it has none.
#[derive(Clone, Copy, Debug, Default)]
struct Kept {
    version: u64,
    instances: u32,
}

struct Keeper<P: Protocol, S: Store> {
    gateway: Arc<Gateway<P>>,
    store: S,
    kept: Option<Kept>,
    /// The number that differs from what is kept, and since when.
    differs: Option<(u32, Micros)>,
    next_call_us: Micros,
}

/// Keeps the number until dropped. At the first start of all there is none to be read.
pub async fn run<P: Protocol, S: Store>(gateway: Arc<Gateway<P>>, store: S, is_first_start: bool) {
    let started_us = gateway.clock.now_us();
    let mut keeper = Keeper {
        gateway,
        store,
        kept: is_first_start.then(Kept::default),
        differs: None,
        next_call_us: started_us + TOLD_US,
    };
    let mut look = time::interval(LOOK);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        look.tick().await;
        keeper.look().await;
    }
}

impl<P: Protocol, S: Store> Keeper<P, S> {
    async fn look(&mut self) {
        let now_us = self.gateway.clock.now_us();
        if now_us < self.next_call_us {
            return;
        }
        let is_known = self.gateway.quota.knows_instance_count();
        let writes = self.gateway.quota.is_first_server();
        if self.kept.is_none() && (!is_known || writes) {
            return self.read().await;
        }
        if let (Some(kept), true, true) = (self.kept, is_known, writes) {
            self.write_if_due(now_us, kept).await;
        }
    }

    async fn read(&mut self) {
        match self.store.read(KEY).await {
            Ok(object) => {
                let kept = object.map_or(Kept::default(), |object| Kept {
                    version: object.version,
                    instances: decode(&object.value),
                });
                let Kept { instances, .. } = kept;
                log::info!(target: "ryevalve::process", instances; "instance_count_read");
                let now_us = self.gateway.clock.now_us();
                self.gateway.quota.restore_instance_count(now_us, instances);
                self.kept = Some(kept);
            }
            Err(error) => self.failed("instance_count_not_read", &error.to_string()),
        }
    }

    async fn write_if_due(&mut self, now_us: Micros, kept: Kept) {
        let instances = self.gateway.quota.own_instances();
        if instances == kept.instances {
            self.differs = None;
            return;
        }
        let since_us = match self.differs {
            Some((differs, since_us)) if differs == instances => since_us,
            _ => now_us,
        };
        self.differs = Some((instances, since_us));
        let stands_us = match instances > kept.instances {
            true => RISEN_US,
            false => FALLEN_US,
        };
        if now_us < since_us + stands_us {
            return;
        }
        let value = instances.to_string();
        match self.store.write(KEY, value.into(), kept.version).await {
            Ok(version) => {
                log::info!(target: "ryevalve::process", instances; "instance_count_written");
                self.kept = Some(Kept { version, instances });
            }
            // Another instance has written, or may be this one.
            Err(WriteError::Conflict) => self.kept = None,
            Err(error) => {
                self.kept = None;
                self.failed("instance_count_not_written", &error.to_string());
            }
        }
    }

    fn failed(&mut self, event: &'static str, reason: &str) {
        log::warn!(target: "ryevalve::process", reason; "{event}");
        self.next_call_us = self.gateway.clock.now_us() + RETRY_US;
    }
}

/// Reads the number; one that cannot be read is another version's, and is replaced.
fn decode(value: &[u8]) -> u32 {
    let text = std::str::from_utf8(value).unwrap_or_default();
    text.trim().parse().unwrap_or_else(|error| {
        let reason = format!("{error}: {text}");
        log::warn!(target: "ryevalve::process", reason; "instance_count_unreadable");
        0
    })
}
