//! Evacuated data centres: their endpoints receive no requests until operators withdraw the evacuation.
//!
//! Instances exchange the whole set, as it is small. Sets are ordered by their position in the store's history: an older one never
//! replaces a newer one for the lifetime of the process.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::{
    gateway::staleness::Staleness,
    prelude::{Micros, Name, StorePosition},
};

/// Maximum number of evacuations kept.
const MAX_EVACUATIONS: usize = 256;

/// The evacuated data centres as of a position in the store's history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationSet {
    /// The position that the set reflects.
    pub position: StorePosition,
    /// The data centres, sorted.
    pub data_centres: Vec<Name>,
}

impl EvacuationSet {
    /// Creates a set, and returns it with the number of data centres dropped because they exceed the maximum size.
    pub fn new(
        position: StorePosition,
        data_centres: impl IntoIterator<Item = Name>,
    ) -> (Self, usize) {
        let mut data_centres: Vec<Name> = data_centres.into_iter().collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        let left_out = data_centres.len().saturating_sub(MAX_EVACUATIONS);
        data_centres.truncate(MAX_EVACUATIONS);
        let set = Self {
            position,
            data_centres,
        };
        (set, left_out)
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres
            .iter()
            .any(|known| &**known == data_centre)
    }
}

/// The difference between two sets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Data centres that are newly evacuated.
    pub started: Vec<Name>,
    /// Data centres that are no longer evacuated.
    pub ended: Vec<Name>,
}

impl EvacuationChange {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.started.is_empty() && self.ended.is_empty()
    }

    fn between(before: &EvacuationSet, after: &EvacuationSet) -> Self {
        let missing = |from: &EvacuationSet, set: &EvacuationSet| {
            let names = set.data_centres.iter().filter(|name| !from.contains(name));
            names.cloned().collect()
        };
        Self {
            started: missing(before, after),
            ended: missing(after, before),
        }
    }
}

/// The evacuations in force at this instance.
#[derive(Debug, Default)]
pub struct Evacuations {
    known: Mutex<EvacuationSet>,
    /// How long ago the set was last known to match the store.
    pub staleness: Staleness,
}

impl Evacuations {
    /// Returns the set in force.
    pub fn known(&self) -> EvacuationSet {
        self.lock().clone()
    }

    /// Returns the position that the set reflects.
    pub fn position(&self) -> StorePosition {
        self.lock().position
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.lock().contains(data_centre)
    }

    /// Applies a set unless it is older than the one in force; returns the difference, or `None` if it is older.
    ///
    /// `fresh_at_us` is the time at which the set is known to have matched the store, if any: when the request that
    /// returned it was sent.
    pub fn offer(
        &self,
        set: EvacuationSet,
        fresh_at_us: Option<Micros>,
    ) -> Option<EvacuationChange> {
        let change = {
            let mut known = self.lock();
            if set.position < known.position {
                return None;
            }
            let change = EvacuationChange::between(&known, &set);
            *known = set;
            change
        };
        if let Some(fresh_at_us) = fresh_at_us {
            self.staleness.confirm(fresh_at_us);
        }
        Some(change)
    }

    fn lock(&self) -> MutexGuard<'_, EvacuationSet> {
        // No holder of the lock leaves the set inconsistent if it panics, so a poisoned lock is usable.
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
