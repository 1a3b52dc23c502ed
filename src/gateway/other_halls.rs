//! Aggregates the summaries of the other halls, at an aggregator of the own hall.
//!
//! The own hall receives one sum of all other halls. Relaying five summaries unchanged took 7 KB to each of 49
//! instances: links of 20 Mbit/s dropped part of them, and the loads of a hall were up to 2 s old.
//!
//! Uses neither clock nor sockets, so that tests can drive it step by step.

use std::collections::{BTreeMap, HashMap};

use crate::{
    balance::{
        load::{EndpointKey, InFlight, KeyRange},
        speed::SpeedSummary,
    },
    gateway::halls::Halls,
    peers::update::HallSummary,
    prelude::Micros,
    shares::picture::{ServiceReport, sum_reports},
};

/// The hall key of the sum of all other halls. In practice no hall's name hashes to it; a hall whose name did would be
/// counted together with the sum.
pub const OTHER_HALLS: u32 = 0;
/// Maximum number of endpoints whose speed waits to be relayed: as many as fit one datagram.
const MAX_PENDING_SPEEDS: usize = 64;

/// The other halls, from the summaries of their own aggregators.
#[derive(Debug, Default)]
pub struct OtherHalls {
    halls: Halls,
    loads: HashMap<u32, BTreeMap<EndpointKey, InFlight>>,
    demand: HashMap<u32, Vec<ServiceReport>>,
    reports: BTreeMap<EndpointKey, i8>,
    speeds: BTreeMap<EndpointKey, SpeedSummary>,
}

impl OtherHalls {
    /// Applies a summary of another hall; returns whether it was applied, rather than older than one already applied.
    pub fn apply_summary(&mut self, now_us: Micros, summary: &HallSummary) -> bool {
        let effect = self.halls.apply_summary(now_us, summary);
        let Some(effect) = effect else {
            return false;
        };
        if effect.replaces_loads {
            let loads = self.loads.entry(summary.hall).or_default();
            loads.retain(|key, _| !summary.span.contains(*key));
            loads.extend(summary.loads.iter().copied());
            if summary.span.first == KeyRange::ALL.first {
                self.demand.insert(summary.hall, summary.demand.clone());
            }
        }
        self.reports.extend(summary.reports.iter().copied());
        self.speeds.extend(summary.speeds.iter().copied());
        while self.speeds.len() > MAX_PENDING_SPEEDS {
            self.speeds.pop_first();
        }
        true
    }

    /// Drops the loads of halls that fell silent.
    pub fn expire(&mut self, now_us: Micros) {
        for hall in self.halls.expire(now_us) {
            self.loads.remove(&hall);
            self.demand.remove(&hall);
        }
    }

    /// Returns whether no summary of another hall has been received.
    pub fn is_empty(&self) -> bool {
        self.halls.is_empty()
    }

    /// Returns the sum of the loads of all other halls, sorted by endpoint.
    pub fn loads(&self) -> Vec<(EndpointKey, InFlight)> {
        let mut sums: BTreeMap<EndpointKey, InFlight> = BTreeMap::new();
        for (key, load) in self.loads.values().flatten() {
            let sum = sums.entry(*key).or_default();
            sum.requests += load.requests;
            sum.prompt_tokens += load.prompt_tokens;
        }
        sums.into_iter().collect()
    }

    /// Fills in the number of instances of the other halls, and the endpoint reports and speeds received since the last
    /// call.
    pub fn fill_summary(&mut self, now_us: Micros, summary: &mut HallSummary) {
        let counts = self.halls.instance_counts(now_us);
        summary.instances = counts.all as u32;
        summary.heard = counts.heard as u32;
        summary.reports = std::mem::take(&mut self.reports).into_iter().collect();
        summary.demand = sum_reports(self.demand.values().flatten());
        summary.speeds = std::mem::take(&mut self.speeds).into_iter().collect();
    }
}
