//! The services of routes as they are stored, and when a list of them needs an update.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    gateway::route_services::{KnownTarget, RouteTarget},
    prelude::{Micros, Name},
};

/// A target is listed as in force for this long after its end: instances put a configuration in force within a few seconds
/// of each other.
const LISTED_AS_ENDED_AFTER_US: Micros = 10_000_000;
/// A later end of a target needs no write if the difference is smaller.
const END_TOLERANCE_MS: u64 = 10_000;

/// A target of a host and a path prefix in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTarget {
    host: Name,
    path_prefix: Name,
    target: RouteTarget,
    /// When the last configuration that had it was replaced; 0 while one has it.
    ended_unix_ms: u64,
}

impl ListedTarget {
    fn of_known(known: KnownTarget, now_unix_ms: u64) -> Self {
        let ended_for_us = known.ended_for_us;
        let ended_for_us = ended_for_us.filter(|ended_us| *ended_us >= LISTED_AS_ENDED_AFTER_US);
        let ended_unix_ms =
            ended_for_us.map_or(0, |ended_us| now_unix_ms.saturating_sub(ended_us / 1_000));
        Self {
            host: known.host,
            path_prefix: known.path_prefix,
            target: known.target,
            ended_unix_ms,
        }
    }

    fn into_known(self, now_unix_ms: u64) -> KnownTarget {
        let ended_for_ms = now_unix_ms.saturating_sub(self.ended_unix_ms);
        KnownTarget {
            ended_for_us: (!self.is_in_force()).then_some(ended_for_ms.saturating_mul(1_000)),
            host: self.host,
            path_prefix: self.path_prefix,
            target: self.target,
        }
    }

    fn is_in_force(&self) -> bool {
        self.ended_unix_ms == 0
    }

    fn key(&self) -> (&Name, &Name, &RouteTarget) {
        (&self.host, &self.path_prefix, &self.target)
    }

    /// Returns whether this entry, which the store has, says the same as `wanted`.
    fn covers(&self, wanted: &Self) -> bool {
        self.is_in_force() == wanted.is_in_force()
            && self.ended_unix_ms + END_TOLERANCE_MS >= wanted.ended_unix_ms
    }
}

/// The services of routes as they are stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteList(Vec<ListedTarget>);

impl RouteList {
    /// Returns the list that says what an instance knows.
    pub fn of_known(known: Vec<KnownTarget>, now_unix_ms: u64) -> Self {
        let targets = known.into_iter();
        let targets = targets.map(|known| ListedTarget::of_known(known, now_unix_ms));
        Self(targets.collect())
    }

    /// Returns the targets in the list.
    pub fn known(&self, now_unix_ms: u64) -> impl Iterator<Item = KnownTarget> {
        let targets = self.0.iter().cloned();
        targets.map(move |listed| listed.into_known(now_unix_ms))
    }

    /// Returns whether this list, which the store has, says all that `wanted` says. It may have targets that `wanted` lacks
    /// because they have ended: everybody forgets them at the same time.
    pub fn covers(&self, wanted: &Self) -> bool {
        let stored = self.0.iter().map(|listed| (listed.key(), listed));
        let mut stored: HashMap<_, _> = stored.collect();
        for wanted in &wanted.0 {
            let listed = stored.remove(&wanted.key());
            if !listed.is_some_and(|listed| listed.covers(wanted)) {
                return false;
            }
        }
        stored.values().all(|listed| !listed.is_in_force())
    }
}
