//! The versions of endpoints that a request may be sent to, during a roll-out or as the continuation of a stream.

use serde::{Deserialize, Serialize};

use crate::{
    prelude::Name,
    rollouts::{VersionChoice, VersionGroup},
};

/// Numbers of a service's endpoints during a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Those of the target version that are not leaving.
    pub target_ready: u32,
    /// Those of other versions that are not leaving.
    pub others_ready: u32,
    /// All those of other versions.
    pub others_known: u32,
}

impl VersionCounts {
    /// Returns the number of endpoints of a group that are not leaving.
    pub fn ready(self, group: VersionGroup) -> u32 {
        match group {
            VersionGroup::Target => self.target_ready,
            VersionGroup::Others => self.others_ready,
        }
    }
}

/// Which endpoints of a service may be chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRule {
    /// The version that the service is moved to, or that a request is bound to.
    pub target_version: Name,
    /// The endpoints that may be chosen.
    pub choice: VersionChoice,
}

impl VersionRule {
    /// Returns a rule that allows one version only.
    pub fn exactly(version: &Name) -> Self {
        Self {
            target_version: version.clone(),
            choice: VersionChoice::Only(VersionGroup::Target),
        }
    }

    /// Returns the group of an endpoint of this version.
    pub fn group_of(&self, version: &str) -> VersionGroup {
        match *self.target_version == *version {
            true => VersionGroup::Target,
            false => VersionGroup::Others,
        }
    }

    /// Returns whether an endpoint of this version may be chosen.
    pub fn allows(&self, version: &str) -> bool {
        match self.choice {
            VersionChoice::Any | VersionChoice::PreferTarget => true,
            VersionChoice::Only(group) => self.group_of(version) == group,
        }
    }

    /// Returns a rule that allows one group only.
    pub fn only(&self, group: VersionGroup) -> Self {
        Self {
            target_version: self.target_version.clone(),
            choice: VersionChoice::Only(group),
        }
    }
}
