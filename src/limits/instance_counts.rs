//! Counts of the instances among which a common limit is divided.

/// How many instances there are, and from how many of them messages arrived recently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceCounts {
    /// All, this one included.
    pub all: usize,
    /// Those from which a message arrived recently, this one included.
    pub heard: usize,
}

impl InstanceCounts {
    /// Returns the share of instances from which a message arrived recently, from 0 to 1.
    pub fn share(self) -> f64 {
        self.heard as f64 / self.all.max(self.heard).max(1) as f64
    }
}
