//! Partitions of the organisations, by which quota servers share the work.

use serde::{Deserialize, Serialize};

/// Number of accounts among which each organisation's limit is divided. They are on different quota servers, so that
/// the others remain when one server is lost. `copy` is the index of an account, below this number.
pub const COPIES: u8 = 3;
const PARTITIONS_PER_COPY: u8 = 40;
/// Number of partitions, over all copies.
pub(super) const PARTITIONS: usize = PARTITIONS_PER_COPY as usize * COPIES as usize;

/// The accounts with one index of the organisations whose hashes fall into one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Partition(u8);

impl Partition {
    /// Returns the partition of the account `copy` of an organisation.
    pub fn of(organisation: u32, copy: u8) -> Self {
        let part = (organisation % u32::from(PARTITIONS_PER_COPY)) as u8;
        Self(copy % COPIES * PARTITIONS_PER_COPY + part)
    }

    /// Returns all partitions.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PARTITIONS as u8).map(Self)
    }

    /// Returns the partition of the same organisations with another account index.
    pub(super) fn with_copy(self, copy: u8) -> Self {
        Self(copy * PARTITIONS_PER_COPY + self.0 % PARTITIONS_PER_COPY)
    }

    /// Returns the account index of this partition.
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
    /// Adds a partition to the set.
    pub fn insert(&mut self, partition: Partition) {
        self.0 |= 1 << partition.0;
    }

    /// Returns whether the set contains a partition.
    pub fn contains(self, partition: Partition) -> bool {
        self.0 & (1 << partition.0) != 0
    }

    /// Returns whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns the partitions of the set.
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
