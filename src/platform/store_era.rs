//! The era of the platform's store, which it sends in a header of every answer and raises by one each time it comes
//! back from a copy that lacks the latest writes.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use hyper::{HeaderMap, header::HeaderValue};
use prometheus_client::metrics::{counter::Counter, gauge::Gauge};

/// Header with the era, a whole number.
const HEADER: &str = "store-era";

/// Metrics of the store's era.
#[derive(Clone, Debug, Default)]
pub struct EraMetrics {
    /// The newest era that was seen; 0 if the store sends none.
    pub era: Gauge,
    /// Answers whose era could not be parsed.
    pub unreadable: Counter,
}

/// The newest era in the answers that a process received, shared by its clients of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreEra {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    newest: AtomicU64,
    is_unreadable_logged: AtomicBool,
    metrics: EraMetrics,
}

impl StoreEra {
    /// Creates a tracker that updates `metrics`.
    pub fn new(metrics: EraMetrics) -> Self {
        let shared = Shared {
            metrics,
            ..Shared::default()
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the newest era; 0 if no answer had one.
    pub fn newest(&self) -> u64 {
        self.shared.newest.load(Ordering::Relaxed)
    }

    /// Records the era of an answer, and returns it. An answer without a readable era counts as one of the newest.
    pub fn observe(&self, headers: &HeaderMap) -> u64 {
        let Some(era) = headers.get(HEADER).and_then(|value| self.parse(value)) else {
            return self.newest();
        };
        self.note(era);
        era
    }

    /// Records an era that this process or another instance has seen.
    pub fn note(&self, era: u64) {
        let before = self.shared.newest.fetch_max(era, Ordering::Relaxed);
        if era > before {
            self.shared.metrics.era.set(era as i64);
            log::info!(target: "ryevalve::process", before, era; "store_era_changed");
        }
    }

    fn parse(&self, value: &HeaderValue) -> Option<u64> {
        let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
        if parsed.is_none() {
            self.shared.metrics.unreadable.inc();
            if !self
                .shared
                .is_unreadable_logged
                .swap(true, Ordering::Relaxed)
            {
                log::warn!(target: "ryevalve::process", value:?; "store_era_unreadable");
            }
        }
        parsed
    }
}
