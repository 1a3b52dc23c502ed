//! Orders to drain, passed among instances so that they hold without the platform.

use std::{collections::BTreeMap, hash::Hasher};

use serde::{Deserialize, Serialize};

use crate::prelude::{Incarnation, Name};

/// What a drain order is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainTarget {
    /// One endpoint.
    Endpoint(Name),
    /// All endpoints of a hall.
    Hall(Name),
}

/// Orders drain orders: the later stamp wins, on every instance alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Above any that the giver had seen.
    pub counter: u64,
    /// The instance that took the order; decides between equal counters.
    pub taken_by: Incarnation,
}

/// The last order about one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainOrder {
    /// What it is about.
    pub target: DrainTarget,
    /// Whether to drain or to take work again.
    pub draining: bool,
    /// Its place in the order of orders.
    pub stamp: Stamp,
    /// Who gave it.
    pub by: Name,
    /// When, in seconds since 1970.
    pub at_s: u64,
}

/// The drain orders known to an instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Drains {
    orders: BTreeMap<DrainTarget, DrainOrder>,
}

impl Drains {
    /// Returns whether the endpoint is to take no new work.
    pub fn is_draining(&self, endpoint: &Name, hall: &Name) -> bool {
        let of = |target| self.orders.get(&target).is_some_and(|o| o.draining);
        of(DrainTarget::Endpoint(endpoint.clone())) || of(DrainTarget::Hall(hall.clone()))
    }

    /// Makes an order that comes after all that are known here.
    pub fn next(
        &self,
        target: DrainTarget,
        draining: bool,
        by: Name,
        me: Incarnation,
    ) -> DrainOrder {
        let newest = self.orders.values().map(|o| o.stamp.counter).max();
        let stamp = Stamp {
            counter: newest.unwrap_or(0) + 1,
            taken_by: me,
        };
        DrainOrder {
            target,
            draining,
            stamp,
            by,
            at_s: crate::clock::unix_s(),
        }
    }

    /// Takes orders; returns whether any was news.
    pub fn merge(&mut self, orders: impl IntoIterator<Item = DrainOrder>) -> bool {
        let mut news = false;
        for order in orders {
            let known = self.orders.get(&order.target);
            if known.is_none_or(|k| k.stamp < order.stamp) {
                self.orders.insert(order.target.clone(), order);
                news = true;
            }
        }
        news
    }

    /// Returns the last order about each target.
    pub fn orders(&self) -> impl Iterator<Item = &DrainOrder> {
        self.orders.values()
    }

    /// Returns a hash by which instances see whether they know the same.
    pub fn hash(&self) -> u64 {
        let mut hasher = std::hash::DefaultHasher::new();
        for order in self.orders.values() {
            hasher.write_u64(order.stamp.counter);
            hasher.write_u64(order.stamp.taken_by.0);
        }
        hasher.finish()
    }
}
