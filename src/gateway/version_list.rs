//! The versions of services as they are stored, and when a list of them needs an update.

use serde::{Deserialize, Serialize};

use crate::{
    balance::service_versions::{KnownVersion, VERSION_MEMORY_US},
    prelude::{Micros, Name},
};

/// A version without endpoints is listed as in service for this long: instances see that within a few seconds of each other, and
/// an endpoint that is replaced costs no writes.
const LISTED_AS_GONE_AFTER_US: Micros = 10_000_000;
/// A later time at which a version left needs no write if the difference is smaller.
const GONE_TOLERANCE_MS: u64 = 10_000;

/// A version of a service in the list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListedVersion {
    /// The service.
    pub service: Name,
    /// The version.
    pub version: Name,
    /// When its last endpoint left; 0 while it has endpoints. Those who read it and write it again leave it as it is, but
    /// for the differences of their clocks.
    pub gone_unix_ms: u64,
}

impl ListedVersion {
    fn of_known(known: KnownVersion, now_unix_ms: u64) -> Self {
        let gone_for_us = known.gone_for_us;
        let gone_for_us = gone_for_us.filter(|gone_us| *gone_us >= LISTED_AS_GONE_AFTER_US);
        Self {
            service: known.service,
            version: known.version,
            gone_unix_ms: gone_for_us
                .map_or(0, |gone_us| now_unix_ms.saturating_sub(gone_us / 1_000)),
        }
    }

    fn into_known(self, now_unix_ms: u64) -> KnownVersion {
        let gone_for_us = now_unix_ms
            .saturating_sub(self.gone_unix_ms)
            .saturating_mul(1_000);
        KnownVersion {
            gone_for_us: (!self.is_in_service()).then_some(gone_for_us),
            service: self.service,
            version: self.version,
        }
    }

    fn is_in_service(&self) -> bool {
        self.gone_unix_ms == 0
    }
}

/// The versions as they are stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionList {
    /// Services and their versions, in order.
    pub versions: Vec<ListedVersion>,
    /// Until this time, versions may be missing that were in service before; 0 if none are.
    pub incomplete_until_unix_s: u64,
    /// The era of the store in which the list was written.
    pub era: u64,
}

impl VersionList {
    /// Returns the list that says what an instance knows, from which versions may be missing for the next `incomplete_us`.
    pub fn of_known(
        known: Vec<KnownVersion>,
        incomplete_us: Micros,
        era: u64,
        now_unix_ms: u64,
    ) -> Self {
        let versions = known.into_iter();
        let versions = versions.map(|known| ListedVersion::of_known(known, now_unix_ms));
        let incomplete_s = incomplete_us.div_ceil(1_000_000);
        Self {
            versions: versions.collect(),
            incomplete_until_unix_s: match incomplete_s {
                0 => 0,
                _ => now_unix_ms / 1_000 + incomplete_s,
            },
            era,
        }
    }

    /// Returns the versions in the list.
    pub fn known(&self, now_unix_ms: u64) -> impl Iterator<Item = KnownVersion> {
        let versions = self.versions.iter().cloned();
        versions.map(move |listed| listed.into_known(now_unix_ms))
    }

    /// Returns for how long versions may be missing from the list if it is read in this era of the store. A copy of the
    /// store lacks what was written after it was taken.
    pub fn incomplete_us(&self, era: u64, now_unix_ms: u64) -> Micros {
        if self.era != era {
            return VERSION_MEMORY_US;
        }
        let left_s = self
            .incomplete_until_unix_s
            .saturating_sub(now_unix_ms / 1_000);
        left_s.saturating_mul(1_000_000).min(VERSION_MEMORY_US)
    }

    /// Returns whether this list, which the store has, says all that `wanted` says. It may have versions that `wanted` lacks
    /// because they have left: everybody forgets them at the same time.
    pub fn covers(&self, wanted: &Self) -> bool {
        let in_service = |list: &Self| -> Vec<(Name, Name)> {
            let listed = list.versions.iter().filter(|v| v.is_in_service());
            listed
                .map(|v| (v.service.clone(), v.version.clone()))
                .collect()
        };
        self.era == wanted.era
            && in_service(self) == in_service(wanted)
            && wanted
                .versions
                .iter()
                .all(|wanted| self.covers_version(wanted))
    }

    fn covers_version(&self, wanted: &ListedVersion) -> bool {
        self.versions.iter().any(|listed| {
            listed.service == wanted.service
                && listed.version == wanted.version
                && listed.gone_unix_ms + GONE_TOLERANCE_MS >= wanted.gone_unix_ms
        })
    }
}
