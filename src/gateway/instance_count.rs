//! Stores the number of instances, for instances that start without reaching their peers.
//!
//! Each instance's share of a limit is the limit divided by this number. An instance that starts while partitioned from
//! the others would otherwise count only the peers that it reaches, and use too large a share.

use std::{sync::Arc, time::Duration};

use tokio::time::{self, MissedTickBehavior};

use crate::{
    gateway::{protocol::Protocol, state::Gateway},
    prelude::Micros,
    store::{self, ObjectEra, Store, WriteError},
};

/// The store key of the number.
const KEY: &str = "instance-count";
/// Interval of checks for a due read or write.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a failed call is retried.
const RETRY_US: Micros = 1_000_000;
/// Delay after the start before the store is read: peers usually report the number before that.
const PEERS_WAIT: Duration = Duration::from_millis(50);
/// A higher number is written after it has been stable for this long.
const INCREASE_STABLE_US: Micros = 2_000_000;
/// A lower number is written after it has been stable for this long.
const DECREASE_STABLE_US: Micros = 60_000_000;

/// The number in the store; 0 if there is none.
#[derive(Clone, Copy, Debug, Default)]
struct Stored {
    era: ObjectEra,
    version: u64,
    instances: u32,
}

struct InstanceCountSync<P: Protocol, S: Store> {
    gateway: Arc<Gateway<P>>,
    store: S,
    stored: Option<Stored>,
    /// A number that differs from the stored one, and the time since which it has been stable.
    pending: Option<(u32, Micros)>,
    next_call_us: Micros,
}

/// Keeps the stored number up to date until dropped. Nothing is read on the first start of the deployment.
pub async fn run<P: Protocol, S: Store>(gateway: Arc<Gateway<P>>, store: S, is_first_start: bool) {
    // Earlier calls would be made in vain, and the next check would be late.
    time::sleep(PEERS_WAIT).await;
    let mut sync = InstanceCountSync {
        gateway,
        store,
        stored: is_first_start.then(Stored::default),
        pending: None,
        next_call_us: 0,
    };
    let mut interval = time::interval(CHECK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        sync.check().await;
    }
}

impl<P: Protocol, S: Store> InstanceCountSync<P, S> {
    async fn check(&mut self) {
        let now_us = self.gateway.clock.now_us();
        if now_us < self.next_call_us {
            return;
        }
        let is_known = self.gateway.quota.knows_instance_count();
        let is_writer = self.gateway.quota.is_first_server();
        if is_writer {
            self.forget_if_lost();
        }
        if self.stored.is_none() && (!is_known || is_writer) {
            return self.read().await;
        }
        if let (Some(stored), true, true) = (self.stored, is_known, is_writer) {
            self.write_if_due(now_us, stored).await;
        }
    }

    /// Forgets the stored number after the store came back from a copy, so that it is read again.
    fn forget_if_lost(&mut self) {
        let era = self.store.era();
        if self
            .stored
            .take_if(|stored| stored.era.may_be_lost(era))
            .is_some()
        {
            log::info!(target: "ryevalve::process", era; "instance_count_may_be_lost");
        }
    }

    async fn read(&mut self) {
        let era_before = self.store.era();
        match store::empty_if_unreadable(self.store.read(KEY).await) {
            Ok(object) => {
                let (version, instances) =
                    object.map_or((0, 0), |object| (object.version, decode(&object.value)));
                let stored = Stored {
                    era: ObjectEra::of_call(era_before, self.store.era()),
                    version,
                    instances,
                };
                log::info!(target: "ryevalve::process", instances; "instance_count_read");
                let now_us = self.gateway.clock.now_us();
                self.gateway.quota.restore_instance_count(now_us, instances);
                self.stored = Some(stored);
            }
            Err(error) => self.failed("instance_count_not_read", &error.to_string()),
        }
    }

    async fn write_if_due(&mut self, now_us: Micros, stored: Stored) {
        let instances = self.gateway.quota.own_instances();
        if instances == stored.instances {
            self.pending = None;
            return;
        }
        let since_us = match self.pending {
            Some((pending, since_us)) if pending == instances => since_us,
            _ => now_us,
        };
        self.pending = Some((instances, since_us));
        let stable_us = match instances > stored.instances {
            true => INCREASE_STABLE_US,
            false => DECREASE_STABLE_US,
        };
        if now_us < since_us + stable_us {
            return;
        }
        let value = instances.to_string();
        let era_before = self.store.era();
        match self.store.write(KEY, value.into(), stored.version).await {
            Ok(version) => {
                log::info!(target: "ryevalve::process", instances; "instance_count_written");
                self.stored = Some(Stored {
                    era: ObjectEra::of_call(era_before, self.store.era()),
                    version,
                    instances,
                });
            }
            // Written by another instance, or by an earlier call of this one whose answer was lost.
            Err(WriteError::Conflict) => self.stored = None,
            Err(error) => {
                self.stored = None;
                self.failed("instance_count_not_written", &error.to_string());
            }
        }
    }

    fn failed(&mut self, event: &'static str, reason: &str) {
        log::warn!(target: "ryevalve::process", reason; "{event}");
        self.next_call_us = self.gateway.clock.now_us() + RETRY_US;
    }
}

/// Parses the number. An unreadable value was written by another version; it counts as 0 and is replaced.
fn decode(value: &[u8]) -> u32 {
    let text = std::str::from_utf8(value).unwrap_or_default();
    text.trim().parse().unwrap_or_else(|error| {
        let reason = format!("{error}: {text}");
        log::warn!(target: "ryevalve::process", reason; "instance_count_unreadable");
        0
    })
}
