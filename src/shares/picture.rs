//! The demand that other instances tell of, and the message that tells it.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::{
    prelude::{Incarnation, Micros},
    shares::demand::OrganisationKey,
};

/// How long the demand that another instance or hall told of counts; covers the loss of some messages.
const PICTURE_TTL_US: Micros = 2_500_000;
/// Organisations named in one message; the rest is told as one sum. The largest matter to the level.
pub const MAX_NAMED: usize = 16;
/// Services named in one message, at about 150 bytes each.
const MAX_SERVICES: usize = 4;
/// Steps of an encoded rate for each doubling: a precision of half a permille over the whole range of 16 bits.
const STEPS_PER_DOUBLING: f64 = 1_500.0;

/// An engine time a second in 16 bits, on a logarithmic scale.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedRate(u16);

impl PackedRate {
    /// Encodes a rate in microseconds a second.
    pub fn new(rate: f64) -> Self {
        // A cast to an integer saturates.
        Self((rate.max(0.0).ln_1p() / 2.0_f64.ln() * STEPS_PER_DOUBLING).round() as u16)
    }

    /// Returns the rate in microseconds a second.
    pub fn get(self) -> f64 {
        (f64::from(self.0) / STEPS_PER_DOUBLING * 2.0_f64.ln()).exp_m1()
    }
}

/// What is asked of one service that is short of room, as told to other instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// A hash of the service's name.
    pub service: u32,
    /// The engine time asked for by the organisations that ask for most.
    pub organisations: Vec<(u32, PackedRate)>,
    /// The engine time asked for by all others.
    pub others: PackedRate,
    /// The number of others.
    pub others_count: u16,
    /// The engine time asked for by requests that will be late.
    pub late: PackedRate,
    /// The engine time that found a place at an endpoint.
    pub placed: PackedRate,
    /// The engine time that was let through and found no place.
    pub unplaced: PackedRate,
    /// Whether the reporting instances themselves refused requests for want of room within the last second.
    pub is_short: bool,
}

/// What is asked of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// As in [`ServiceReport::organisations`].
    pub organisations: BTreeMap<OrganisationKey, f64>,
    /// As in [`ServiceReport::others`].
    pub others: f64,
    /// As in [`ServiceReport::others_count`].
    pub others_count: f64,
    /// As in [`ServiceReport::late`].
    pub late: f64,
    /// As in [`ServiceReport::placed`].
    pub placed: f64,
    /// As in [`ServiceReport::unplaced`].
    pub unplaced: f64,
    /// As in [`ServiceReport::is_short`].
    pub is_short: bool,
}

impl ServiceDemand {
    /// Adds the demand of other instances.
    pub fn add(&mut self, report: &ServiceReport) {
        for (key, asked) in &report.organisations {
            *self.organisations.entry(OrganisationKey(*key)).or_default() += asked.get();
        }
        self.others += report.others.get();
        // The instances' others are mostly the same organisations.
        self.others_count = self.others_count.max(f64::from(report.others_count));
        self.late += report.late.get();
        self.placed += report.placed.get();
        self.unplaced += report.unplaced.get();
        self.is_short |= report.is_short;
    }

    /// Subtracts what one instance reported, as far as it is contained.
    pub fn subtract(&mut self, report: &ServiceReport) {
        for (key, asked) in &report.organisations {
            if let Some(sum) = self.organisations.get_mut(&OrganisationKey(*key)) {
                *sum = (*sum - asked.get()).max(0.0);
            }
        }
        let pairs = [
            (&mut self.others, report.others),
            (&mut self.late, report.late),
            (&mut self.placed, report.placed),
            (&mut self.unplaced, report.unplaced),
        ];
        for (sum, part) in pairs {
            *sum = (*sum - part.get()).max(0.0);
        }
    }

    /// Returns the message that tells of this demand; organisations beyond [`MAX_NAMED`] count among the others.
    pub fn report(&self, service: u32) -> ServiceReport {
        let mut largest: Vec<_> = self.organisations.iter().map(|(k, v)| (*k, *v)).collect();
        largest.sort_by(|a, b| b.1.total_cmp(&a.1));
        let rest = largest.split_off(largest.len().min(MAX_NAMED));
        let others = self.others + rest.iter().map(|(_, asked)| asked).sum::<f64>();
        ServiceReport {
            service,
            organisations: largest
                .iter()
                .map(|(k, v)| (k.0, PackedRate::new(*v)))
                .collect(),
            others: PackedRate::new(others),
            others_count: (self.others_count + rest.len() as f64).round() as u16,
            late: PackedRate::new(self.late),
            placed: PackedRate::new(self.placed),
            unplaced: PackedRate::new(self.unplaced),
            is_short: self.is_short,
        }
    }
}

/// Returns the sum of the reports of several instances, by service; at most a few services are named.
pub fn sum_reports<'r>(reports: impl Iterator<Item = &'r ServiceReport>) -> Vec<ServiceReport> {
    let mut sums: BTreeMap<u32, ServiceDemand> = BTreeMap::new();
    for report in reports {
        sums.entry(report.service).or_default().add(report);
    }
    largest_services(
        sums.iter()
            .map(|(service, sum)| sum.report(*service))
            .collect(),
    )
}

/// Returns the reports of the services with the most unmet demand, as many as fit a message.
pub fn largest_services(mut reports: Vec<ServiceReport>) -> Vec<ServiceReport> {
    reports.sort_by(|a, b| b.unplaced.get().total_cmp(&a.unplaced.get()));
    reports.truncate(MAX_SERVICES);
    reports
}

/// The demand that other instances, or whole halls, told of.
#[derive(Debug, Default)]
pub struct Picture {
    sources: HashMap<Incarnation, Source>,
}

#[derive(Debug)]
struct Source {
    at_us: Micros,
    demand: HashMap<u32, ServiceDemand>,
}

impl Picture {
    /// Replaces what a source told of. `own` is what this instance itself contributed to it.
    pub fn replace(
        &mut self,
        now_us: Micros,
        from: Incarnation,
        reports: &[ServiceReport],
        own: &[ServiceReport],
    ) {
        if reports.is_empty() {
            self.sources.remove(&from);
            return;
        }
        let mut demand: HashMap<u32, ServiceDemand> = HashMap::new();
        for report in reports {
            demand.entry(report.service).or_default().add(report);
        }
        for report in own {
            if let Some(sum) = demand.get_mut(&report.service) {
                sum.subtract(report);
            }
        }
        let at_us = now_us;
        self.sources.insert(from, Source { at_us, demand });
    }

    /// Drops sources that told nothing for long.
    pub fn expire(&mut self, now_us: Micros) {
        self.sources
            .retain(|_, source| now_us.saturating_sub(source.at_us) < PICTURE_TTL_US);
    }

    /// Returns whether nothing was told.
    pub fn is_empty(&self) -> bool {
        self.sources.is_empty()
    }

    /// Returns what the sources told of a service.
    pub fn of_service(&self, service: u32) -> impl Iterator<Item = &ServiceDemand> {
        let demands = self.sources.values().map(move |s| s.demand.get(&service));
        demands.flatten()
    }
}
