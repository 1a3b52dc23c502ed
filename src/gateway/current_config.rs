//! The configuration in force, and until when it is known to be the newest.
//!
//! Freshness is a time of this process's steady clock: when the question was *sent* whose answer
//! showed the configuration to be the newest. A configuration is never replaced by an older one
//! within one process's life.

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

/// Holds the configuration in force.
#[derive(Debug, Default)]
pub struct CurrentConfig {
    table: ArcSwapOption<RouteTable>,
    /// How fresh it is known to be.
    pub staleness: Staleness,
}

/// What became of an offered configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force now.
    Applied,
    /// It was in force already.
    Known,
    /// A newer one is in force; nothing changed.
    Older,
}

impl CurrentConfig {
    /// Returns the configuration in force, if any is known.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.load_full()
    }

    /// Returns the version in force, or 0.
    pub fn version(&self) -> ConfigVersion {
        self.table.load().as_ref().map_or(0, |t| t.config().version)
    }

    /// Puts a configuration in force if it is newer than the one that is.
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

    /// Notes that `version` was the newest when a question was sent at `asked_us`.
    ///
    /// Says nothing if another version is in force.
    pub fn confirm(&self, version: ConfigVersion, asked_us: Micros) {
        if version == self.version() {
            self.staleness.confirm(asked_us);
        }
    }

    /// Returns for how long the configuration has not been known to be the newest.
    pub fn age_us(&self, now_us: Micros) -> Micros {
        self.staleness.age_us(now_us)
    }
}
