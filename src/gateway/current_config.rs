//! Holds the current configuration, and when it was last known to be the newest.
//!
//! Freshness is a time of this process's monotonic clock: when the query was *sent* whose response confirmed that the
//! configuration is the newest. While a process runs, a configuration is never replaced by an older one.

use std::sync::Arc;

use arc_swap::ArcSwapOption;

use crate::{
    gateway::{
        config::{ConfigVersion, GatewayConfig},
        routes::RouteTable,
        staleness::Staleness,
    },
    prelude::Micros,
};

/// The configuration in force, with its route table and its staleness.
#[derive(Debug, Default)]
pub struct CurrentConfig {
    table: ArcSwapOption<RouteTable>,
    /// Staleness of the configuration.
    pub staleness: Staleness,
}

/// The outcome of [`CurrentConfig::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The configuration is in force now.
    Applied,
    /// The configuration was already in force.
    Known,
    /// A newer configuration is in force; nothing changed.
    Older,
}

impl CurrentConfig {
    /// Returns the route table of the configuration in force, if there is one.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.load_full()
    }

    /// Returns the version in force, or 0.
    pub fn version(&self) -> ConfigVersion {
        self.table.load().as_ref().map_or(0, |t| t.config().version)
    }

    /// Puts a configuration in force if it is newer than the current one.
    pub fn offer(&self, config: GatewayConfig) -> OfferOutcome {
        match config.version.cmp(&self.version()) {
            std::cmp::Ordering::Less => OfferOutcome::Older,
            std::cmp::Ordering::Equal if self.table.load().is_some() => OfferOutcome::Known,
            _ => {
                self.table.store(Some(Arc::new(RouteTable::new(config))));
                OfferOutcome::Applied
            }
        }
    }

    /// Records that `version` was the newest when a query was sent at `asked_us`.
    ///
    /// Does nothing if another version is in force.
    pub fn confirm(&self, version: ConfigVersion, asked_us: Micros) {
        if version == self.version() {
            self.staleness.confirm(asked_us);
        }
    }

    /// Returns the time since the configuration was last known to be the newest.
    pub fn age_us(&self, now_us: Micros) -> Micros {
        self.staleness.age_us(now_us)
    }
}
