//! The versions of the endpoints' software that each service has, or had until recently.

use std::collections::{BTreeMap, HashMap};

use crate::{
    balance::discovery::EndpointEntry,
    prelude::{Micros, Name},
};

/// How long a version counts after its last endpoint is gone: longer than callers take streams up that began there.
pub const VERSION_MEMORY_US: Micros = 120_000_000;

/// One version of a service.
#[derive(Debug, Default)]
struct VersionUse {
    /// Endpoints that run it.
    endpoints: u32,
    /// When it was first seen without endpoints.
    gone_us: Option<Micros>,
}

/// What is known of the versions that services had before this instance followed them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum History {
    /// All of them, as far as they are remembered.
    #[default]
    Complete,
    /// Nothing yet.
    Unread,
    /// Versions that were in service until a time before this one may be missing.
    IncompleteUntil(Micros),
}

/// The versions by service.
///
/// That an instance has not seen another version of a service says nothing about the time before it started, so no
/// version is the only one of its service before the history is known.
#[derive(Debug, Default)]
pub struct ServiceVersions {
    by_service: HashMap<Name, BTreeMap<Name, VersionUse>>,
    history: History,
}

impl ServiceVersions {
    /// Adds an endpoint.
    pub fn insert(&mut self, entry: &EndpointEntry) {
        let versions = self.by_service.entry(entry.service.clone()).or_default();
        let version = versions.entry(entry.version.clone()).or_default();
        version.endpoints += 1;
        version.gone_us = None;
    }

    /// Removes an endpoint that was added with this entry.
    pub fn remove(&mut self, entry: &EndpointEntry) {
        let versions = self.by_service.get_mut(&entry.service);
        if let Some(version) = versions.and_then(|v| v.get_mut(&entry.version)) {
            version.endpoints = version.endpoints.saturating_sub(1);
        }
    }

    /// Records that the versions that services had before now are still to be read.
    pub fn await_history(&mut self) {
        self.history = History::Unread;
    }

    /// Adds versions that services had before now; others may be missing for the next `incomplete_us`.
    pub fn add_history(
        &mut self,
        now_us: Micros,
        versions: impl IntoIterator<Item = (Name, Name)>,
        incomplete_us: Micros,
    ) {
        for (service, version) in versions {
            let versions = self.by_service.entry(service).or_default();
            versions.entry(version).or_default();
        }
        self.history = match incomplete_us {
            0 => History::Complete,
            _ => History::IncompleteUntil(now_us + incomplete_us),
        };
    }

    /// Returns whether the history has been read.
    pub fn is_history_read(&self) -> bool {
        self.history != History::Unread
    }

    /// Returns for how long versions may still be missing that were in service before.
    pub fn incomplete_us(&self, now_us: Micros) -> Micros {
        match self.history {
            History::Complete => 0,
            History::Unread => VERSION_MEMORY_US,
            History::IncompleteUntil(until_us) => until_us.saturating_sub(now_us),
        }
    }

    /// Returns all services and their versions, in order.
    pub fn all(&self) -> Vec<(Name, Name)> {
        let services = self.by_service.iter();
        let pairs = services.flat_map(|(service, versions)| {
            let versions = versions.keys();
            versions.map(|version| (service.clone(), version.clone()))
        });
        let mut pairs: Vec<_> = pairs.collect();
        pairs.sort_unstable();
        pairs
    }

    /// Returns the version of a service that had no other for as long as versions are remembered.
    pub fn sole_version(&self, service: &str) -> Option<&Name> {
        if self.history != History::Complete {
            return None;
        }
        self.only_seen(service)
    }

    /// Returns the version of a service of which no other is known; it may have had one before the history is known.
    pub fn only_seen(&self, service: &str) -> Option<&Name> {
        let versions = self.by_service.get(service)?;
        match versions.len() {
            1 => versions.keys().next(),
            _ => None,
        }
    }

    /// Returns whether a service has several versions, or may have had them as long ago as versions are remembered.
    pub fn has_several(&self, service: &str) -> bool {
        self.history != History::Complete || self.are_several_known(service)
    }

    /// Returns whether several versions of a service are known.
    pub fn are_several_known(&self, service: &str) -> bool {
        let versions = self.by_service.get(service);
        versions.is_some_and(|versions| versions.len() > 1)
    }

    /// Forgets the versions that have had no endpoints for [`VERSION_MEMORY_US`].
    pub fn expire(&mut self, now_us: Micros) {
        if matches!(self.history, History::IncompleteUntil(until_us) if until_us <= now_us) {
            self.history = History::Complete;
        }
        for versions in self.by_service.values_mut() {
            versions.retain(|_, version| {
                if version.endpoints > 0 {
                    return true;
                }
                let gone_us = *version.gone_us.get_or_insert(now_us);
                now_us.saturating_sub(gone_us) < VERSION_MEMORY_US
            });
        }
        self.by_service.retain(|_, versions| !versions.is_empty());
    }
}
