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

/// The versions by service.
#[derive(Debug, Default)]
pub struct ServiceVersions {
    by_service: HashMap<Name, BTreeMap<Name, VersionUse>>,
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

    /// Returns the version of a service that had no other for as long as versions are remembered.
    pub fn sole_version(&self, service: &str) -> Option<&Name> {
        let versions = self.by_service.get(service)?;
        match versions.len() {
            1 => versions.keys().next(),
            _ => None,
        }
    }

    /// Returns whether a service has several versions, or had them as long ago as versions are remembered.
    pub fn has_several(&self, service: &str) -> bool {
        let versions = self.by_service.get(service);
        versions.is_some_and(|versions| versions.len() > 1)
    }

    /// Forgets the versions that have had no endpoints for [`VERSION_MEMORY_US`].
    pub fn expire(&mut self, now_us: Micros) {
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
