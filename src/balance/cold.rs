//! Cold endpoints: limits the request rate of endpoints that have just started or were idle, over
//! all instances together.
//!
//! An endpoint's entry says for how much longer it is cold. Endpoints of a data centre whose
//! evacuation ended may have gone cold shortly before, which their entries may not show yet; they
//! are treated as cold for as long as a newly started endpoint.

use std::collections::HashMap;

use crate::{
    balance::{balancer::Balancer, load::EndpointKey},
    gateway::evacuations::EvacuationChange,
    limits::rate::RequestRate,
    prelude::{Micros, Name},
};

/// Request rate limit of a service's cold endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRate {
    /// Requests per second, for all instances together.
    pub rate: RequestRate,
    /// How long an endpoint is cold after its start.
    pub duration_us: Micros,
}

/// When an endpoint stops being cold.
#[derive(Clone, Copy, Debug)]
enum Cold {
    /// After this time, counted from the next tick.
    For(Micros),
    Until(Micros),
}

/// The cold endpoints, and the rate limits by service.
#[derive(Debug, Default)]
pub(super) struct ColdEndpoints {
    by_endpoint: HashMap<EndpointKey, Cold>,
    rates: HashMap<Name, ColdRate>,
}

impl ColdEndpoints {
    /// Sets the remaining cold time from an endpoint's entry. It counts from the next
    /// [`Self::tick`], which is later than the write of the entry.
    pub(super) fn set_from_entry(&mut self, key: EndpointKey, left_us: Micros) {
        if left_us > 0 {
            self.by_endpoint.insert(key, Cold::For(left_us));
        }
    }

    fn set_cold_for(&mut self, now_us: Micros, key: EndpointKey, left_us: Micros) {
        let until_us = now_us.saturating_add(left_us);
        let known = self.by_endpoint.entry(key).or_insert(Cold::Until(until_us));
        if let Cold::Until(known_us) = known {
            *known_us = until_us.max(*known_us);
        }
    }

    fn remaining_us(&self, now_us: Micros, key: EndpointKey) -> Micros {
        match self.by_endpoint.get(&key) {
            Some(Cold::For(left_us)) => *left_us,
            Some(Cold::Until(until_us)) => until_us.saturating_sub(now_us),
            None => 0,
        }
    }

    /// Starts the countdowns that begin now, and drops expired ones.
    pub(super) fn tick(&mut self, now_us: Micros) {
        for cold in self.by_endpoint.values_mut() {
            if let Cold::For(left_us) = *cold {
                *cold = Cold::Until(now_us.saturating_add(left_us));
            }
        }
        let is_cold = |cold: &Cold| !matches!(cold, Cold::Until(until_us) if *until_us <= now_us);
        self.by_endpoint.retain(|_, cold| is_cold(cold));
    }

    pub(super) fn clear(&mut self, key: EndpointKey) {
        self.by_endpoint.remove(&key);
    }
}

impl Balancer {
    /// Sets the rate limits of cold endpoints, for the services that have one.
    pub fn set_cold_rates(&mut self, rates: HashMap<Name, ColdRate>) {
        self.cold.rates = rates;
    }

    /// Marks an endpoint as cold for `left_us`, unless it is already cold for longer.
    pub fn mark_cold(&mut self, now_us: Micros, key: EndpointKey, left_us: Micros) {
        self.cold.set_cold_for(now_us, key, left_us);
    }

    /// Returns the remaining time for which an endpoint is cold; 0 if it is not.
    pub fn remaining_cold_us(&self, now_us: Micros, key: EndpointKey) -> Micros {
        self.cold.remaining_us(now_us, key)
    }

    /// Returns the rate limit of an endpoint, for all instances together; `None` if it has none.
    pub fn rate(&self, now_us: Micros, key: EndpointKey) -> Option<RequestRate> {
        let announced = self.announcements.rate(key);
        let cold = self.cold_rate(now_us, key);
        match (announced, cold) {
            (Some(announced), Some(cold)) => Some(announced.min(cold)),
            (announced, cold) => announced.or(cold),
        }
    }

    fn cold_rate(&self, now_us: Micros, key: EndpointKey) -> Option<RequestRate> {
        if self.cold.remaining_us(now_us, key) == 0 {
            return None;
        }
        let service = &self.entry(key)?.service;
        self.cold.rates.get(service).map(|cold| cold.rate)
    }

    /// Returns whether any endpoint may need permits.
    pub(super) fn has_limits(&self) -> bool {
        let has_cold = !self.cold.rates.is_empty() && !self.cold.by_endpoint.is_empty();
        has_cold || self.announcements.has_limits() || !self.brittle.is_empty()
    }

    /// Returns whether a data centre is evacuated.
    pub(super) fn is_evacuated(&self, data_centre: &Name) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Applies a change of the set of evacuated data centres.
    pub fn apply_evacuation_change(&mut self, now_us: Micros, change: &EvacuationChange) {
        self.evacuated.extend(change.started.iter().cloned());
        for data_centre in &change.ended {
            self.evacuated.remove(data_centre);
            self.mark_data_centre_cold(now_us, data_centre);
        }
    }

    /// Marks the endpoints of a data centre as cold.
    fn mark_data_centre_cold(&mut self, now_us: Micros, data_centre: &Name) {
        let rates = &self.cold.rates;
        let endpoints = self.endpoints.iter();
        let own = endpoints.filter(|(_, endpoint)| endpoint.entry.hall == *data_centre);
        let cold = own.filter_map(|(key, endpoint)| {
            let cold = rates.get(&endpoint.entry.service)?;
            Some((*key, cold.duration_us))
        });
        let cold: Vec<(EndpointKey, Micros)> = cold.collect();
        for (key, duration_us) in cold {
            self.cold.set_cold_for(now_us, key, duration_us);
        }
    }
}
