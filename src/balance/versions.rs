//! The versions of endpoints that a request may be sent to during a roll-out.

use serde::{Deserialize, Serialize};

use crate::{
    prelude::Name,
    rollouts::{VersionChoice, VersionGroup},
};

/// Which endpoints of a service that has a roll-out may be chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRule {
    /// The version that the service is moved to.
    pub target_version: Name,
    /// The endpoints that may be chosen.
    pub choice: VersionChoice,
}

impl VersionRule {
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
