//! Positions in the history of the platform's store.

use serde::{Deserialize, Serialize};

/// A position in the store's history, ordered by era first.
///
/// Within an era, each change has a higher revision than the one before. The store may come back from a copy that lacks
/// the latest changes: then a new era begins, and the revisions of the lost changes are assigned again. A change at a
/// position of the new era is newer than every position of an earlier one, but what an answer of the new era shows may
/// still be the state that was copied.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    era: u64,
    revision: u64,
}

impl StorePosition {
    /// The position before the first change.
    pub const START: Self = Self::new(0, 0);

    /// Returns the position of a revision in an era.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns the era.
    pub fn era(self) -> u64 {
        self.era
    }

    /// Returns the revision, which has a meaning only in its era.
    pub fn revision(self) -> u64 {
        self.revision
    }

    /// Returns the position of the next change in the same era.
    pub fn next(self) -> Self {
        Self::new(self.era, self.revision + 1)
    }

    /// Returns the position of the previous change in the same era.
    pub fn previous(self) -> Self {
        Self::new(self.era, self.revision.saturating_sub(1))
    }

    /// Returns whether a state shown at this position may be older than `other`. In a later era that is so for every
    /// revision lower than that of `other`, because the copy may contain it.
    pub fn may_precede(self, other: Self) -> bool {
        self.era < other.era || self.revision < other.revision
    }
}
