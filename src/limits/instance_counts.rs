//! How many instances share something that binds all of them.

/// How many instances there are, and how many of them are heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceCounts {
    /// All, this one included.
    pub all: usize,
    /// Those that were heard of late, this one included.
    pub heard: usize,
}

impl InstanceCounts {
    /// Returns the share of those heard.
    pub fn share(self) -> f64 {
        self.heard as f64 / self.all.max(self.heard).max(1) as f64
    }
}
