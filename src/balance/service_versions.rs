//! The versions of the endpoints' software that each service has, or had until recently.

use std::collections::{BTreeMap, HashMap};

use crate::{
    balance::discovery::EndpointEntry,
    prelude::{Micros, Name},
};

/// How long a version counts after its last endpoint is gone: longer than callers take streams up that began there.
pub const VERSION_MEMORY_US: Micros = 120_000_000;

/// How long a version that the store lists may be without endpoints and still counts as listed. Instances see that within
/// less than the time after which the list says that it left.
const UNLISTED_AFTER_US: Micros = 5_000_000;

/// One version of a service.
#[derive(Debug, Default)]
struct VersionUse {
    /// Endpoints that run it.
    endpoints: u32,
    /// When it is forgotten, if it was seen without endpoints.
    forget_us: Option<Micros>,
    /// Whether this instance has seen such endpoints itself.
    is_seen: bool,
    /// Whether the list in the store has it as in service, as last read or written.
    is_listed: bool,
}

impl VersionUse {
    fn is_in_service(&self) -> bool {
        self.endpoints > 0
    }

    /// Returns for how long it has had no endpoints; `None` if it has some.
    fn gone_for_us(&self, now_us: Micros) -> Option<Micros> {
        let left_us = self.forget_us?.saturating_sub(now_us);
        Some(VERSION_MEMORY_US.saturating_sub(left_us))
    }
}

/// A version of a service, as instances tell each other by the list in the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KnownVersion {
    /// The service.
    pub service: Name,
    /// The version.
    pub version: Name,
    /// For how long it has had no endpoints; `None` if it has some.
    pub gone_for_us: Option<Micros>,
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
        version.forget_us = None;
        version.is_seen = true;
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

    /// Adds the versions of the list in the store, from which others may be missing for the next `incomplete_us`.
    ///
    /// Only these count as listed from now on. One that the list has as in service and that has no endpoints here counts
    /// from the time at which that was first seen.
    pub fn merge_list(
        &mut self,
        now_us: Micros,
        listed: impl IntoIterator<Item = KnownVersion>,
        incomplete_us: Micros,
    ) {
        let known = self.by_service.values_mut().flat_map(BTreeMap::values_mut);
        known.for_each(|version| version.is_listed = false);
        for listed in listed {
            self.merge_listed(now_us, listed);
        }
        let incomplete_us = match self.history {
            History::Unread => incomplete_us,
            _ => incomplete_us.min(self.incomplete_us(now_us)),
        };
        self.history = match incomplete_us {
            0 => History::Complete,
            _ => History::IncompleteUntil(now_us + incomplete_us),
        };
    }

    fn merge_listed(&mut self, now_us: Micros, listed: KnownVersion) {
        let gone_for_us = listed.gone_for_us.unwrap_or(0);
        if gone_for_us >= VERSION_MEMORY_US {
            return;
        }
        let listed_until_us = now_us + VERSION_MEMORY_US - gone_for_us;
        let versions = self.by_service.entry(listed.service).or_default();
        let known = versions
            .entry(listed.version)
            .or_insert_with(|| VersionUse {
                forget_us: Some(listed_until_us),
                ..VersionUse::default()
            });
        known.is_listed = listed.gone_for_us.is_none();
        if listed.gone_for_us.is_some() {
            let later_us = |seen_us: Micros| seen_us.max(listed_until_us);
            known.forget_us = match known.is_seen {
                true => known.forget_us.map(later_us),
                false => Some(listed_until_us),
            };
        }
    }

    /// Returns whether some of the versions in service of a service are listed in the store and some are not.
    pub fn is_partly_listed(&self, service: &str) -> bool {
        let Some(versions) = self.by_service.get(service) else {
            return false;
        };
        let in_service = || versions.values().filter(|version| version.is_in_service());
        in_service().any(|version| version.is_listed)
            && in_service().any(|version| !version.is_listed)
    }

    /// Returns whether a version is listed in the store, so that streams that begin there are known to have been able to.
    pub fn is_listed(&self, service: &str, version: &str) -> bool {
        let versions = self.by_service.get(service);
        versions
            .and_then(|v| v.get(version))
            .is_some_and(|v| v.is_listed)
    }

    /// Returns whether a version in service is not listed in the store.
    pub fn has_unlisted(&self) -> bool {
        let mut versions = self.by_service.values().flat_map(BTreeMap::values);
        versions.any(|version| version.is_in_service() && !version.is_listed)
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
    pub fn known(&self, now_us: Micros) -> Vec<KnownVersion> {
        let services = self.by_service.iter();
        let known = services.flat_map(|(service, versions)| {
            versions.iter().map(|(version, version_use)| KnownVersion {
                service: service.clone(),
                version: version.clone(),
                gone_for_us: version_use.gone_for_us(now_us),
            })
        });
        let mut known: Vec<_> = known.collect();
        known.sort_unstable();
        known
    }

    /// Returns the version of a service that had no other for as long as versions are remembered.
    pub fn sole_version(&self, service: &str) -> Option<&Name> {
        if self.history != History::Complete {
            return None;
        }
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
                if version.is_in_service() {
                    return true;
                }
                let forget_us = *version.forget_us.get_or_insert(now_us + VERSION_MEMORY_US);
                let gone_for_us = version.gone_for_us(now_us).unwrap_or(0);
                version.is_listed &= gone_for_us < UNLISTED_AFTER_US;
                now_us < forget_us
            });
        }
        self.by_service.retain(|_, versions| !versions.is_empty());
    }
}
