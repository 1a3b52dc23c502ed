//! State of all halls of a large cluster, including the own hall, from the summaries of their aggregators.
//!
//! Uses neither clock nor sockets, so that tests can drive it step by step.

use std::collections::{BTreeMap, HashMap};

use crate::{
    gateway::peer_table::{PEER_EXPIRY_US, PEER_SILENT_US},
    limits::instance_counts::InstanceCounts,
    peers::update::HallSummary,
    prelude::{Incarnation, Micros},
};

/// Period in which the summaries of a hall's aggregators are compared. The loads of one that covers fewer instances
/// than another are ignored: not all instances report to its aggregator.
const COMPARISON_WINDOW_US: Micros = 500_000;
/// Share of the highest instance count from which a summary's loads are used: now and then a report is lost.
const MIN_COVERAGE: f64 = 0.9;

/// Returns the incarnation under which the balancer keeps the loads of a hall.
pub(super) fn hall_incarnation(hall: u32) -> Incarnation {
    Incarnation(u64::from(hall))
}

/// The state of one aggregator, from its last summary.
#[derive(Debug)]
struct Source {
    seq: u64,
    received_us: Micros,
    instances: u32,
    /// Number of instances that report to the aggregator.
    reporting: u32,
}

#[derive(Debug, Default)]
struct Hall {
    /// The hall's aggregators, by incarnation.
    sources: HashMap<Incarnation, Source>,
    /// Whether the hall was reported as silent by [`Halls::expire`], and no summary arrived since.
    is_silent: bool,
}

impl Hall {
    /// Returns how many instances the hall has and how many of them report, each as the highest number of any
    /// aggregator.
    fn counts(&self, now_us: Micros) -> (u32, u32) {
        let instances = self.sources.values().map(|s| s.instances).max();
        let fresh = self.sources.values();
        let fresh = fresh.filter(|s| now_us.saturating_sub(s.received_us) < PEER_SILENT_US);
        (
            instances.unwrap_or(0),
            fresh.map(|s| s.reporting).max().unwrap_or(0),
        )
    }
}

/// The effect of a summary.
#[derive(Debug, PartialEq)]
pub struct SummaryEffect {
    /// Whether the summary's loads replace those of the hall.
    pub replaces_loads: bool,
    /// Whether the hall had been silent until this summary.
    pub was_silent: bool,
}

/// The state of all halls, by key.
#[derive(Debug, Default)]
pub struct Halls {
    by_key: BTreeMap<u32, Hall>,
}

impl Halls {
    /// Applies a summary; returns `None` if a newer one of its aggregator has been applied.
    pub fn apply_summary(
        &mut self,
        now_us: Micros,
        summary: &HallSummary,
    ) -> Option<SummaryEffect> {
        let hall = self.by_key.entry(summary.hall).or_default();
        let source = hall.sources.entry(summary.by).or_insert_with(|| Source {
            seq: 0,
            received_us: now_us,
            instances: 0,
            reporting: 0,
        });
        if source.seq > summary.seq {
            return None;
        }
        source.seq = summary.seq;
        source.received_us = now_us;
        source.instances = summary.instances;
        source.reporting = summary.heard;
        let was_silent = std::mem::take(&mut hall.is_silent);
        let recent = hall.sources.values();
        let recent = recent.filter(|s| now_us.saturating_sub(s.received_us) < COMPARISON_WINDOW_US);
        let max_reporting = recent.map(|s| s.reporting).max().unwrap_or(0);
        Some(SummaryEffect {
            replaces_loads: f64::from(summary.heard) >= f64::from(max_reporting) * MIN_COVERAGE,
            was_silent,
        })
    }

    /// Drops aggregators that have been silent for long; returns the halls that fell silent since the last call, whose
    /// loads are unknown from now on.
    pub fn expire(&mut self, now_us: Micros) -> Vec<u32> {
        let mut silent = Vec::new();
        for (key, hall) in &mut self.by_key {
            hall.sources
                .retain(|_, s| now_us.saturating_sub(s.received_us) < PEER_EXPIRY_US);
            let (_, reporting) = hall.counts(now_us);
            if reporting == 0 && !std::mem::replace(&mut hall.is_silent, true) {
                silent.push(*key);
            }
        }
        silent
    }

    /// Returns the age of a hall's newest summary, or `None` if there is none.
    pub fn age_us(&self, now_us: Micros, hall: u32) -> Option<Micros> {
        let sources = self.by_key.get(&hall)?.sources.values();
        let newest_us = sources.map(|s| s.received_us).max()?;
        Some(now_us.saturating_sub(newest_us))
    }

    /// Returns whether no summary of any hall has been received.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Returns the number of instances of all halls, and of those that report to their aggregators.
    pub fn instance_counts(&self, now_us: Micros) -> InstanceCounts {
        let counts = self.by_key.values().map(|h| h.counts(now_us));
        let (all, heard) = counts.fold((0, 0), |(all, heard), hall| {
            (all + hall.0 as usize, heard + hall.1 as usize)
        });
        InstanceCounts { all, heard }
    }
}
