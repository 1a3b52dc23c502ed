//! Drain orders. Instances exchange them directly, so drains work while the platform's store is unavailable.

use std::{collections::BTreeMap, hash::Hasher};

use serde::{Deserialize, Serialize};

use crate::prelude::{Incarnation, Name};

/// What a drain order applies to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainTarget {
    /// One endpoint.
    Endpoint(Name),
    /// All endpoints of a hall.
    Hall(Name),
}

/// Total order of drain orders: the highest stamp wins, so all instances converge on the same order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Higher than any counter known to the issuing instance.
    pub counter: u64,
    /// The instance that issued the order; breaks ties between equal counters.
    pub taken_by: Incarnation,
}

/// The latest order for one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainOrder {
    /// The endpoint or hall.
    pub target: DrainTarget,
    /// Whether to drain the target or to send it new requests again.
    pub draining: bool,
    /// Decides which of two orders for the target wins.
    pub stamp: Stamp,
    /// The operator who gave it.
    pub by: Name,
    /// When it was given, in seconds since 1970.
    pub at_s: u64,
}

/// The drain orders known to an instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Drains {
    orders: BTreeMap<DrainTarget, DrainOrder>,
}

impl Drains {
    /// Returns whether the endpoint must get no new requests, because it or its hall is draining.
    pub fn is_draining(&self, endpoint: &Name, hall: &Name) -> bool {
        let drained = |target| self.orders.get(&target).is_some_and(|o| o.draining);
        drained(DrainTarget::Endpoint(endpoint.clone())) || drained(DrainTarget::Hall(hall.clone()))
    }

    /// Creates an order with a stamp above all that are known here.
    pub fn next(
        &self,
        target: DrainTarget,
        draining: bool,
        by: Name,
        incarnation: Incarnation,
    ) -> DrainOrder {
        let newest = self.orders.values().map(|o| o.stamp.counter).max();
        let stamp = Stamp {
            counter: newest.unwrap_or(0) + 1,
            taken_by: incarnation,
        };
        DrainOrder {
            target,
            draining,
            stamp,
            by,
            at_s: crate::clock::unix_s(),
        }
    }

    /// Merges orders from elsewhere. Returns whether any of them replaced a known one or was new.
    pub fn merge(&mut self, orders: impl IntoIterator<Item = DrainOrder>) -> bool {
        let mut changed = false;
        for order in orders {
            let known = self.orders.get(&order.target);
            if known.is_none_or(|k| k.stamp < order.stamp) {
                self.orders.insert(order.target.clone(), order);
                changed = true;
            }
        }
        changed
    }

    /// Returns the latest order for each target.
    pub fn orders(&self) -> impl Iterator<Item = &DrainOrder> {
        self.orders.values()
    }

    /// Returns a hash of all stamps, by which instances detect that their drain orders differ.
    pub fn hash(&self) -> u64 {
        let mut hasher = std::hash::DefaultHasher::new();
        for order in self.orders.values() {
            hasher.write_u64(order.stamp.counter);
            hasher.write_u64(order.stamp.taken_by.0);
        }
        hasher.finish()
    }
}
