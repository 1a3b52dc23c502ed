//! Data centres whose endpoints get nothing more until operators take the evacuation back.
//!
//! The set is small, so instances send it whole. It is ordered by the store's revision: an older one never
//! replaces a newer one within a process's life.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::{
    balance::discovery::Revision,
    gateway::staleness::Staleness,
    prelude::{Micros, Name},
};

/// Evacuations that are kept, at most.
const MAX_EVACUATIONS: usize = 256;

/// The evacuated data centres as the store had them at a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationSet {
    /// The store's revision that the set is up to.
    pub revision: Revision,
    /// The data centres, sorted.
    pub data_centres: Vec<Name>,
}

impl EvacuationSet {
    /// Returns a set of the given data centres; what is beyond the bound on its size is left out and counted.
    pub fn new(revision: Revision, data_centres: impl IntoIterator<Item = Name>) -> (Self, usize) {
        let mut data_centres: Vec<Name> = data_centres.into_iter().collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        let left_out = data_centres.len().saturating_sub(MAX_EVACUATIONS);
        data_centres.truncate(MAX_EVACUATIONS);
        let set = Self {
            revision,
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

/// What a newer set changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Evacuated from now on.
    pub started: Vec<Name>,
    /// Not evacuated any more.
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

/// The evacuations in force at one instance.
#[derive(Debug, Default)]
pub struct Evacuations {
    known: Mutex<EvacuationSet>,
    /// How fresh the set is known to be.
    pub staleness: Staleness,
}

impl Evacuations {
    /// Returns the set in force.
    pub fn known(&self) -> EvacuationSet {
        self.lock().clone()
    }

    /// Returns the store's revision that the set is up to.
    pub fn revision(&self) -> Revision {
        self.lock().revision
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.lock().contains(data_centre)
    }

    /// Takes a set that was the store's when a question was sent at `asked_us`, if that is known; none if a
    /// newer one is in force.
    pub fn offer(&self, set: EvacuationSet, asked_us: Option<Micros>) -> Option<EvacuationChange> {
        let change = {
            let mut known = self.lock();
            if set.revision < known.revision {
                return None;
            }
            let change = EvacuationChange::between(&known, &set);
            *known = set;
            change
        };
        if let Some(asked_us) = asked_us {
            self.staleness.confirm(asked_us);
        }
        Some(change)
    }

    fn lock(&self) -> MutexGuard<'_, EvacuationSet> {
        // Every step leaves the set whole, so a poisoned lock is usable.
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
