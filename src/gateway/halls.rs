//! What this instance knows of the halls of a large group, its own included, from the summaries of
//! their aggregators.
//!
//! Free of clock and socket, so that tests drive it step by step.

use std::collections::{BTreeMap, HashMap};

use crate::{
    gateway::heard::{HEARD_US, SHARER_US},
    limits::instance_counts::InstanceCounts,
    peers::update::HallSummary,
    prelude::{Incarnation, Micros},
};

/// A summary of fewer instances than another of the last half second is not taken for the hall's
/// load: its aggregator is not told by all.
const COMPARED_US: Micros = 500_000;
/// It may be of this share less: reports are lost now and then.
const COMPARED_SHARE: f64 = 0.9;

/// Names a hall as one that tells its use.
pub(super) fn hall_incarnation(hall: u32) -> Incarnation {
    Incarnation(u64::from(hall))
}

/// One aggregator's word.
#[derive(Debug)]
struct Source {
    seq: u64,
    at_us: Micros,
    instances: u32,
    heard: u32,
}

#[derive(Debug, Default)]
struct Hall {
    sources: HashMap<Incarnation, Source>,
    is_forgotten: bool,
}

impl Hall {
    /// Returns how many instances it has and how many are heard: what the aggregator of the most said.
    fn counts(&self, now_us: Micros) -> (u32, u32) {
        let instances = self.sources.values().map(|s| s.instances).max();
        let fresh = self.sources.values();
        let fresh = fresh.filter(|s| now_us.saturating_sub(s.at_us) < HEARD_US);
        (
            instances.unwrap_or(0),
            fresh.map(|s| s.heard).max().unwrap_or(0),
        )
    }
}

/// What a summary changed.
#[derive(Debug, PartialEq)]
pub struct SummaryEffect {
    /// The summary's loads stand for the hall.
    pub replaces_loads: bool,
    /// The hall had fallen silent.
    pub was_silent: bool,
}

/// What is known of the halls.
#[derive(Debug, Default)]
pub struct Halls {
    by_key: BTreeMap<u32, Hall>,
}

impl Halls {
    /// Takes a summary; none if a newer one of its aggregator was taken.
    pub fn apply_summary(
        &mut self,
        now_us: Micros,
        summary: &HallSummary,
    ) -> Option<SummaryEffect> {
        let hall = self.by_key.entry(summary.hall).or_default();
        let source = hall.sources.entry(summary.by).or_insert_with(|| Source {
            seq: 0,
            at_us: now_us,
            instances: 0,
            heard: 0,
        });
        if source.seq > summary.seq {
            return None;
        }
        source.seq = summary.seq;
        source.at_us = now_us;
        source.instances = summary.instances;
        source.heard = summary.heard;
        let was_silent = std::mem::take(&mut hall.is_forgotten);
        let compared = hall.sources.values();
        let compared = compared.filter(|s| now_us.saturating_sub(s.at_us) < COMPARED_US);
        let most = compared.map(|s| s.heard).max().unwrap_or(0);
        Some(SummaryEffect {
            replaces_loads: f64::from(summary.heard) >= f64::from(most) * COMPARED_SHARE,
            was_silent,
        })
    }

    /// Forgets aggregators that fell silent long ago; returns the halls that fell silent since this was
    /// asked last, whose use is not known any more.
    pub fn expire(&mut self, now_us: Micros) -> Vec<u32> {
        let mut silent = Vec::new();
        for (key, hall) in &mut self.by_key {
            hall.sources
                .retain(|_, s| now_us.saturating_sub(s.at_us) < SHARER_US);
            let (_, heard) = hall.counts(now_us);
            if heard == 0 && !std::mem::replace(&mut hall.is_forgotten, true) {
                silent.push(*key);
            }
        }
        silent
    }

    /// Returns the age of a hall's newest summary, if any is known.
    pub fn age_us(&self, now_us: Micros, hall: u32) -> Option<Micros> {
        let sources = self.by_key.get(&hall)?.sources.values();
        let newest_us = sources.map(|s| s.at_us).max()?;
        Some(now_us.saturating_sub(newest_us))
    }

    /// Returns whether nothing of any hall is known.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Counts the instances of all halls, and those of them that are heard.
    pub fn instance_counts(&self, now_us: Micros) -> InstanceCounts {
        let counts = self.by_key.values().map(|h| h.counts(now_us));
        let (all, heard) = counts.fold((0, 0), |(all, heard), hall| {
            (all + hall.0 as usize, heard + hall.1 as usize)
        });
        InstanceCounts { all, heard }
    }
}
