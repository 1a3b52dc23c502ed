//! The parts into which organisations are divided, so that quota servers share the work.

use serde::{Deserialize, Serialize};

/// Accounts of an organisation, at different quota servers: the loss of one leaves the others.
pub const COPIES: u8 = 3;
const PARTITIONS_PER_COPY: u8 = 40;
/// All partitions, of all copies.
pub(super) const PARTITIONS: usize = PARTITIONS_PER_COPY as usize * COPIES as usize;

/// One copy of one part of the organisations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Partition(u8);

impl Partition {
    /// Returns the partition of a copy of an organisation's account.
    pub fn of(organisation: u32, copy: u8) -> Self {
        let part = (organisation % u32::from(PARTITIONS_PER_COPY)) as u8;
        Self(copy % COPIES * PARTITIONS_PER_COPY + part)
    }

    /// Returns all partitions.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PARTITIONS as u8).map(Self)
    }

    /// Returns the same part's partition of another copy.
    pub(super) fn with_copy(self, copy: u8) -> Self {
        Self(copy * PARTITIONS_PER_COPY + self.0 % PARTITIONS_PER_COPY)
    }

    /// Returns which copy it is of.
    pub(super) fn copy(self) -> u8 {
        self.0 / PARTITIONS_PER_COPY
    }

    pub(super) fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// A set of partitions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionSet(u128);

impl PartitionSet {
    /// Adds a partition.
    pub fn insert(&mut self, partition: Partition) {
        self.0 |= 1 << partition.0;
    }

    /// Returns whether a partition is in it.
    pub fn contains(self, partition: Partition) -> bool {
        self.0 & (1 << partition.0) != 0
    }

    /// Returns whether none is in it.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns its partitions.
    pub fn iter(self) -> impl Iterator<Item = Partition> {
        Partition::all().filter(move |partition| self.contains(*partition))
    }
}

impl FromIterator<Partition> for PartitionSet {
    fn from_iter<I: IntoIterator<Item = Partition>>(partitions: I) -> Self {
        let mut set = Self::default();
        for partition in partitions {
            set.insert(partition);
        }
        set
    }
}
