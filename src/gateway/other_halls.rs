//! What an aggregator knows of the other halls, summed up for its own.
//!
//! The own hall is told one sum of all others. Five summaries passed on as they came were 7 KB to each
//! of 49 instances; links of 20 Mbit/s lost a part of them, and a hall's use was up to 2 s old.
//!
//! Free of clock and socket, so that tests drive it step by step.

use std::collections::{BTreeMap, HashMap};

use crate::{
    balance::{
        load::{EndpointKey, InFlight},
        speed::SpeedSummary,
    },
    gateway::halls::Halls,
    peers::update::HallSummary,
    prelude::Micros,
};

/// The key under which all halls but the own are told; no hall's name has this hash in practice, and
/// one that had would be counted together with it.
pub const OTHER_HALLS: u32 = 0;
/// Endpoints whose speed waits to be passed on, at most: one datagram's.
const MOST_SPEEDS: usize = 64;

/// The other halls, from their aggregators' own words.
#[derive(Debug, Default)]
pub struct OtherHalls {
    halls: Halls,
    loads: HashMap<u32, BTreeMap<EndpointKey, InFlight>>,
    reports: BTreeMap<EndpointKey, i8>,
    speeds: BTreeMap<EndpointKey, SpeedSummary>,
}

impl OtherHalls {
    /// Takes a summary of another hall; false if a newer one was taken.
    pub fn apply_summary(&mut self, now_us: Micros, summary: &HallSummary) -> bool {
        let taken = self.halls.apply_summary(now_us, summary);
        let Some(taken) = taken else {
            return false;
        };
        if taken.replaces_loads {
            let loads = self.loads.entry(summary.hall).or_default();
            loads.retain(|key, _| !summary.span.contains(*key));
            loads.extend(summary.loads.iter().copied());
        }
        self.reports.extend(summary.reports.iter().copied());
        self.speeds.extend(summary.speeds.iter().copied());
        while self.speeds.len() > MOST_SPEEDS {
            self.speeds.pop_first();
        }
        true
    }

    /// Forgets the requests of halls that fell silent.
    pub fn expire(&mut self, now_us: Micros) {
        for hall in self.halls.expire(now_us) {
            self.loads.remove(&hall);
        }
    }

    /// Returns whether anything of another hall is known.
    pub fn is_empty(&self) -> bool {
        self.halls.is_empty()
    }

    /// Returns the requests of all other halls at endpoints, sorted by endpoint.
    pub fn loads(&self) -> Vec<(EndpointKey, InFlight)> {
        let mut sums: BTreeMap<EndpointKey, InFlight> = BTreeMap::new();
        for (key, load) in self.loads.values().flatten() {
            let sum = sums.entry(*key).or_default();
            sum.requests += load.requests;
            sum.prompt_tokens += load.prompt_tokens;
        }
        sums.into_iter().collect()
    }

    /// Fills in how many instances the other halls have, and what came of them since this was asked
    /// last.
    pub fn fill_summary(&mut self, now_us: Micros, summary: &mut HallSummary) {
        let counts = self.halls.instance_counts(now_us);
        summary.instances = counts.all as u32;
        summary.heard = counts.heard as u32;
        summary.reports = std::mem::take(&mut self.reports).into_iter().collect();
        summary.speeds = std::mem::take(&mut self.speeds).into_iter().collect();
    }
}
