//! What the scheduler believes of one endpoint: its own ledger of grants first, then learned
//! speeds, then load reports discounted by their age.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::core::types::{Micros, Name, RequestId};

const OCCUPANCY_CLASSES: usize = 4;
const DECODE_GAIN: f64 = 0.25;
const PREFILL_GAIN: f64 = 0.15;
const RATIO_FLOOR: f64 = 0.25;
const RATIO_CEILING: f64 = 50.0;
/// Prior for how much a full batch slows a decode step.
const BATCH_SLOWDOWN: f64 = 0.6;
/// A ratio above this marks the endpoint as slow.
const SLOW_RATIO: f64 = 1.6;
/// With no observation for this long, a slow endpoint may be tried with one request.
const PROBE_AFTER_US: Micros = 2_000_000;
/// A load report older than this counts for nothing.
const REPORT_HORIZON_US: f64 = 3_000_000.0;

/// How an endpoint is declared.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointSpec {
    /// Its name in the configuration.
    pub name: Name,
    /// The hall it stands in.
    pub hall: Name,
    /// How many requests it runs at a time.
    pub slots: u32,
    /// Declared prompt speed, the prior for what is learned.
    pub prefill_tokens_per_s: f64,
    /// Declared time of one decode step, the prior for what is learned.
    pub decode_step_us: f64,
    /// Size of its prefix cache.
    pub cache_tokens: u32,
    /// Takes no new work.
    pub draining: bool,
}

/// What an endpoint says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in its batch.
    pub running: u32,
    /// Requests in its own queue.
    pub waiting: u32,
    /// How old the figures are on arrival.
    pub age_us: Micros,
}

/// One granted request that has not ended.
#[derive(Clone, Copy, Debug)]
struct Flight {
    granted_us: Micros,
    prefill_us: f64,
    predicted_first_us: Micros,
    queued_behind: bool,
    first_seen: bool,
}

/// The belief about one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointModel {
    /// The declaration.
    pub spec: EndpointSpec,
    flights: HashMap<RequestId, Flight>,
    awaiting_first: u32,
    prefill_free_us: Micros,
    prefill_ratio: f64,
    decode_ratio: [f64; OCCUPANCY_CLASSES],
    observed_us: Micros,
    report: Option<(LoadReport, Micros)>,
    suspect_until_us: Micros,
}

impl EndpointModel {
    /// Starts from the declaration, with nothing observed.
    pub fn new(spec: EndpointSpec) -> Self {
        Self {
            spec,
            flights: HashMap::new(),
            awaiting_first: 0,
            prefill_free_us: 0,
            prefill_ratio: 1.0,
            decode_ratio: [1.0; OCCUPANCY_CLASSES],
            observed_us: 0,
            report: None,
            suspect_until_us: 0,
        }
    }

    /// Returns the number of granted requests that have not ended.
    pub fn running(&self) -> u32 {
        self.flights.len() as u32
    }

    /// Returns whether it may take one more request now, with at most `backlog_us` of prompt work
    /// granted ahead.
    pub fn has_room(&self, now_us: Micros, backlog_us: Micros) -> bool {
        if self.spec.draining || now_us < self.suspect_until_us {
            return false;
        }
        let occupied = self.running() + self.foreign(now_us);
        if occupied >= self.spec.slots {
            return false;
        }
        if self.needs_probe(now_us) {
            return self.flights.is_empty();
        }
        self.prefill_free_us <= now_us + backlog_us
    }

    /// Returns the time until a slot and the prompt queue are expected to be free, in microseconds.
    pub fn wait_us(&self, now_us: Micros, typical_service_us: f64) -> f64 {
        let queue = self.prefill_free_us.saturating_sub(now_us) as f64;
        if self.running() < self.spec.slots {
            return queue;
        }
        queue.max(typical_service_us / f64::from(self.spec.slots.max(1)))
    }

    /// Returns the expected time to compute `tokens` of prompt, in microseconds.
    pub fn prefill_us(&self, tokens: u32) -> f64 {
        f64::from(tokens) * 1e6 / self.spec.prefill_tokens_per_s * self.prefill_ratio
    }

    /// Returns the expected time of one output token with `batch` requests running, in
    /// microseconds.
    pub fn token_us(&self, batch: u32) -> f64 {
        let class = self.class(batch);
        self.prior_token_us(batch) * self.decode_ratio[class]
    }

    /// Returns the expected time from now to the last token, in microseconds.
    pub fn finish_us(&self, now_us: Micros, uncached_tokens: u32, output_tokens: u32) -> f64 {
        let queue = self.prefill_free_us.saturating_sub(now_us) as f64;
        let decode = self.token_us(self.running() + 1) * f64::from(output_tokens);
        queue + self.prefill_us(uncached_tokens) + decode
    }

    /// Returns the time to the last token if the endpoint were idle, in microseconds.
    pub fn idle_finish_us(&self, uncached_tokens: u32, output_tokens: u32) -> f64 {
        self.prefill_us(uncached_tokens) + self.token_us(1) * f64::from(output_tokens)
    }

    /// Returns the learned slowness against the declaration; 1 is as declared.
    pub fn slowness(&self) -> f64 {
        let decode: f64 = self.decode_ratio.iter().sum::<f64>() / OCCUPANCY_CLASSES as f64;
        decode.max(self.prefill_ratio)
    }

    /// Enters a grant in the ledger.
    pub fn grant(&mut self, now_us: Micros, id: RequestId, uncached_tokens: u32) {
        let prefill_us = self.prefill_us(uncached_tokens);
        let start_us = self.prefill_free_us.max(now_us);
        self.prefill_free_us = start_us + prefill_us as Micros;
        let flight = Flight {
            granted_us: now_us,
            prefill_us,
            predicted_first_us: self.prefill_free_us,
            queued_behind: start_us > now_us,
            first_seen: false,
        };
        if self.flights.insert(id, flight).is_none() {
            self.awaiting_first += 1;
        }
    }

    /// Enters a request that an entry reports as running, after a change of leader.
    pub fn adopt(&mut self, now_us: Micros, id: RequestId) {
        let flight = Flight {
            granted_us: now_us,
            prefill_us: 0.0,
            predicted_first_us: now_us,
            queued_behind: true,
            first_seen: true,
        };
        self.flights.insert(id, flight);
    }

    /// Learns from a first token.
    pub fn first_token(&mut self, now_us: Micros, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if flight.first_seen {
            return;
        }
        flight.first_seen = true;
        let flight = *flight;
        self.awaiting_first -= 1;
        self.observed_us = now_us;
        let took = now_us.saturating_sub(flight.granted_us) as f64;
        let planned = flight
            .predicted_first_us
            .saturating_sub(flight.granted_us)
            .max(1) as f64;
        if flight.prefill_us > 1_000.0 && !flight.queued_behind {
            let ratio = self.prefill_ratio * (took / planned).clamp(0.2, 5.0);
            self.prefill_ratio = blend(self.prefill_ratio, ratio, PREFILL_GAIN);
        }
        self.correct_prefill_queue(now_us, flight.predicted_first_us);
    }

    /// Learns from `tokens` output tokens that took `span_us`.
    pub fn progress(&mut self, now_us: Micros, id: RequestId, tokens: u32, span_us: Micros) {
        if tokens == 0 || !self.flights.contains_key(&id) {
            return;
        }
        self.observed_us = now_us;
        let batch = self.running();
        let class = self.class(batch);
        let ratio = span_us as f64 / f64::from(tokens) / self.prior_token_us(batch);
        let gain = (DECODE_GAIN * f64::from(tokens) / 16.0).min(0.5);
        self.decode_ratio[class] = blend(self.decode_ratio[class], ratio, gain);
        // One slow class says the engine is slow: let the others follow at a distance.
        for other in 0..OCCUPANCY_CLASSES {
            if other != class {
                self.decode_ratio[other] = blend(self.decode_ratio[other], ratio, gain / 4.0);
            }
        }
    }

    /// Takes a request out of the ledger; returns whether it was there.
    pub fn end(&mut self, now_us: Micros, id: RequestId) -> bool {
        let Some(flight) = self.flights.remove(&id) else {
            return false;
        };
        if !flight.first_seen {
            self.awaiting_first -= 1;
        }
        if self.awaiting_first == 0 {
            self.prefill_free_us = self.prefill_free_us.min(now_us);
        }
        true
    }

    /// Takes a load report.
    pub fn report(&mut self, now_us: Micros, report: LoadReport) {
        self.report = Some((report, now_us));
    }

    /// Keeps new work away for a while, after a failed connect or a cut stream.
    pub fn suspect(&mut self, until_us: Micros) {
        self.suspect_until_us = self.suspect_until_us.max(until_us);
    }

    /// Notices first tokens that are overdue, before any report says so; lets a slow mark fade
    /// once nothing has been seen for a while.
    pub fn tick(&mut self, now_us: Micros, since_us: Micros) {
        let overdue = self
            .flights
            .values()
            .filter(|f| !f.first_seen && !f.queued_behind)
            .filter_map(|f| overdue_factor(f, now_us))
            .fold(1.0, f64::max);
        if overdue > 2.0 {
            let floor = (overdue / 2.0).min(RATIO_CEILING);
            self.prefill_ratio = self.prefill_ratio.max(floor);
            self.observed_us = now_us;
        }
        if now_us.saturating_sub(self.observed_us) > PROBE_AFTER_US {
            let fade = (-(since_us as f64) / 4e6).exp();
            self.prefill_ratio = 1.0 + (self.prefill_ratio - 1.0) * fade;
            for ratio in &mut self.decode_ratio {
                *ratio = 1.0 + (*ratio - 1.0) * fade;
            }
        }
    }

    fn needs_probe(&self, now_us: Micros) -> bool {
        let stale = now_us.saturating_sub(self.observed_us) > PROBE_AFTER_US;
        stale && self.slowness() > SLOW_RATIO
    }

    /// Returns how many requests, beyond the ledger's, a fresh enough report lets expect.
    fn foreign(&self, now_us: Micros) -> u32 {
        let Some((report, at_us)) = self.report else {
            return 0;
        };
        let age_us = (report.age_us + now_us.saturating_sub(at_us)) as f64;
        let trust = (1.0 - age_us / REPORT_HORIZON_US).max(0.0);
        let beyond = (report.running + report.waiting).saturating_sub(self.running());
        // Only a clear excess counts: the report lags behind the ledger's own ends.
        let excess = f64::from(beyond) - f64::from(self.spec.slots) * 0.5;
        (excess.max(0.0) * trust) as u32
    }

    fn class(&self, batch: u32) -> usize {
        let slots = self.spec.slots.max(1) as usize;
        ((batch.max(1) as usize - 1) * OCCUPANCY_CLASSES / slots).min(OCCUPANCY_CLASSES - 1)
    }

    fn prior_token_us(&self, batch: u32) -> f64 {
        let occupancy = f64::from(batch.max(1)) / f64::from(self.spec.slots.max(1));
        self.spec.decode_step_us * (1.0 + BATCH_SLOWDOWN * occupancy)
    }

    fn correct_prefill_queue(&mut self, now_us: Micros, predicted_us: Micros) {
        if self.awaiting_first == 0 {
            self.prefill_free_us = now_us;
        } else if predicted_us > now_us {
            let early = predicted_us - now_us;
            self.prefill_free_us = self.prefill_free_us.saturating_sub(early).max(now_us);
        } else {
            self.prefill_free_us += now_us - predicted_us;
        }
    }
}

fn overdue_factor(flight: &Flight, now_us: Micros) -> Option<f64> {
    let planned = flight.predicted_first_us.saturating_sub(flight.granted_us);
    let waited = now_us.saturating_sub(flight.granted_us);
    let slack = 20_000;
    (waited > planned + slack).then(|| waited as f64 / (planned + slack) as f64)
}

fn blend(old: f64, new: f64, gain: f64) -> f64 {
    (old + (new - old) * gain).clamp(RATIO_FLOOR, RATIO_CEILING)
}
