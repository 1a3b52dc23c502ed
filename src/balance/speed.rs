//! Speed of endpoints, learned from their answers.

use serde::{Deserialize, Serialize};

use crate::prelude::Micros;

/// Prompt tokens over which the prompt speed is averaged: some ten prompts, which all instances
/// together send to an endpoint in about two seconds of normal load.
const PROMPT_WINDOW: f64 = 30_000.0;
/// Events over which the time between events is averaged: those of some five streams.
const EVENT_WINDOW: f64 = 250.0;
/// Requests over which the slot hold time is averaged. Lengths vary by a factor of a hundred, so
/// the mean of ten is off by half, and the endpoint that looks best is one whose mean is too low.
///
/// Ten and sixty on 85 instances (seed 11), value served on two surge days: 0.343 and 0.363, 0.576
/// and 0.592; three hundred 0.356, no better than sixty.
const HOLD_WINDOW: f64 = 60.0;
/// Weight of the initial value as a share of the window, low enough that the first samples replace
/// it.
const PRIOR_SHARE: f64 = 0.1;
/// Initial slot hold time, in milliseconds.
const PRIOR_HOLD_MS: f64 = 1_000.0;
/// Gain of one unary answer; about ten of them replace the previous estimate.
const UNARY_GAIN: f64 = 0.2;
/// Initial prompt speed, in tokens per millisecond.
const PRIOR_PROMPT_TOKENS_PER_MS: f64 = 40.0;
/// Initial time between two events of a stream, in milliseconds.
const PRIOR_EVENT_MS: f64 = 25.0;
/// Initial time of a unary request, in milliseconds.
const PRIOR_UNARY_MS: f64 = 40.0;
/// The part of the time to the first event that does not depend on the prompt, in milliseconds.
const FIXED_FIRST_EVENT_MS: f64 = 20.0;
/// Samples with fewer uncached tokens say little about the prompt speed.
const MIN_PROMPT_TOKENS: f64 = 300.0;
/// A longer gap between two events indicates a failure, not the endpoint's speed.
const MAX_GAP_MS: f64 = 1_000.0;
/// Share of failed answers above which an endpoint is avoided.
const FAILING_THRESHOLD: f64 = 0.25;
/// Gain of one answer in the failure share.
const FAILURE_GAIN: f64 = 0.15;
/// Time constant with which the failure share decays, so that an avoided endpoint is tried again.
const FAILURE_DECAY_US: f64 = 3_000_000.0;

/// Observations of an endpoint's speed, as sums, so that those of several instances can be added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedSamples {
    /// Prompt tokens processed, including those of other prompts ahead of a request's own.
    pub prompt_tokens: u32,
    /// Time to process them, in milliseconds.
    pub prompt_ms: u32,
    /// Events of streams, without the first event of each.
    pub events: u32,
    /// Time between them, in milliseconds.
    pub events_ms: u32,
    /// Requests whose slot hold time was recorded.
    pub ended: u32,
    /// Their total slot hold time, in milliseconds.
    pub held_ms: u32,
}

impl SpeedSamples {
    /// Adds other observations.
    pub fn add(&mut self, other: &Self) {
        let sums = [
            (&mut self.prompt_tokens, other.prompt_tokens),
            (&mut self.prompt_ms, other.prompt_ms),
            (&mut self.events, other.events),
            (&mut self.events_ms, other.events_ms),
            (&mut self.ended, other.ended),
            (&mut self.held_ms, other.held_ms),
        ];
        for (sum, other) in sums {
            *sum = sum.saturating_add(other);
        }
    }

    /// Returns whether there are no observations.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// A hall's estimate of the speed of one of its endpoints, sent to other halls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedSummary {
    /// Time to process a thousand prompt tokens, in milliseconds.
    pub read_ms: u16,
    /// Time between two events, in tenths of a millisecond.
    pub event_tenths_ms: u16,
    /// Slot hold time of a request, in milliseconds.
    pub hold_ms: u16,
}

/// Moving average of the time per unit of work.
#[derive(Clone, Copy, Debug)]
struct MovingAverage {
    ms_per_unit: f64,
    /// Weight of the current average in units, at most `window_units`.
    weight_units: f64,
    window_units: f64,
}

impl MovingAverage {
    fn new(prior_ms_per_unit: f64, window_units: f64) -> Self {
        Self {
            ms_per_unit: prior_ms_per_unit,
            weight_units: window_units * PRIOR_SHARE,
            window_units,
        }
    }

    /// Replaces the average by one from another instance.
    fn replace(&mut self, ms_per_unit: f64) {
        self.ms_per_unit = ms_per_unit;
        self.weight_units = self.window_units;
    }

    fn has_samples(&self) -> bool {
        self.weight_units > self.window_units * PRIOR_SHARE
    }

    fn add_sample(&mut self, took_ms: f64, units: f64) {
        if units <= 0.0 {
            return;
        }
        let gain = units / (self.weight_units + units);
        self.ms_per_unit += (took_ms / units - self.ms_per_unit) * gain;
        self.weight_units = (self.weight_units + units).min(self.window_units);
    }
}

/// What was learned about one endpoint.
#[derive(Clone, Debug)]
pub struct Speed {
    prompt: MovingAverage,
    event: MovingAverage,
    hold: MovingAverage,
    unary_ms: f64,
    failure_share: f64,
    failure_updated_us: Micros,
    /// Observations of this instance that were not sent to peers yet.
    unsent: SpeedSamples,
    /// Fraction of a millisecond between events that is not in `unsent` yet.
    event_remainder_ms: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            prompt: MovingAverage::new(1.0 / PRIOR_PROMPT_TOKENS_PER_MS, PROMPT_WINDOW),
            event: MovingAverage::new(PRIOR_EVENT_MS, EVENT_WINDOW),
            hold: MovingAverage::new(PRIOR_HOLD_MS, HOLD_WINDOW),
            unary_ms: PRIOR_UNARY_MS,
            failure_share: 0.0,
            failure_updated_us: 0,
            unsent: SpeedSamples::default(),
            event_remainder_ms: 0.0,
        }
    }
}

impl Speed {
    /// Returns the time to process `tokens` of prompts, in milliseconds.
    pub fn process_ms(&self, tokens: f64) -> f64 {
        tokens * self.prompt.ms_per_unit
    }

    /// Returns the time to the first event for a prompt of `tokens`, in milliseconds.
    pub fn first_event_ms(&self, tokens: f64) -> f64 {
        FIXED_FIRST_EVENT_MS + self.process_ms(tokens)
    }

    /// Returns the time between two events of a stream, in milliseconds.
    pub fn event_ms(&self) -> f64 {
        self.event.ms_per_unit
    }

    /// Returns the time of a unary request, in milliseconds.
    pub fn unary_ms(&self) -> f64 {
        self.unary_ms
    }

    /// Returns how long a request holds a slot, in milliseconds.
    pub fn slot_hold_ms(&self) -> f64 {
        self.hold.ms_per_unit
    }

    /// Records a first event that came after `took_ms`, with `tokens` of prompts to process before
    /// it.
    pub fn record_first_event(&mut self, took_ms: f64, tokens: f64) {
        if tokens < MIN_PROMPT_TOKENS {
            return;
        }
        let process_ms = (took_ms - FIXED_FIRST_EVENT_MS).max(0.0);
        self.prompt.add_sample(process_ms, tokens);
        self.unsent.prompt_tokens = self.unsent.prompt_tokens.saturating_add(tokens as u32);
        self.unsent.prompt_ms = self.unsent.prompt_ms.saturating_add(process_ms as u32);
    }

    /// Records the time between two events of a stream.
    pub fn record_event_gap(&mut self, gap_ms: f64) {
        let gap_ms = gap_ms.clamp(0.1, MAX_GAP_MS);
        self.event.add_sample(gap_ms, 1.0);
        let total_ms = gap_ms + self.event_remainder_ms;
        self.event_remainder_ms = total_ms.fract();
        self.unsent.events = self.unsent.events.saturating_add(1);
        self.unsent.events_ms = self.unsent.events_ms.saturating_add(total_ms as u32);
    }

    /// Records the time of a unary answer.
    pub fn record_unary(&mut self, took_ms: f64) {
        self.unary_ms += (took_ms - self.unary_ms) * UNARY_GAIN;
    }

    /// Records how long a request held its slot, whatever its outcome.
    pub fn record_slot_hold(&mut self, took_ms: f64) {
        self.hold.add_sample(took_ms, 1.0);
        self.unsent.ended = self.unsent.ended.saturating_add(1);
        self.unsent.held_ms = self.unsent.held_ms.saturating_add(took_ms as u32);
    }

    /// Records whether a request failed.
    pub fn record_outcome(&mut self, now_us: Micros, failed: bool) {
        let outcome = if failed { 1.0 } else { 0.0 };
        self.failure_share = self.decayed_failure_share(now_us);
        self.failure_share += (outcome - self.failure_share) * FAILURE_GAIN;
        self.failure_updated_us = now_us;
    }

    /// Records that the endpoint cannot be reached.
    pub fn record_unreachable(&mut self, now_us: Micros) {
        self.failure_share = 1.0;
        self.failure_updated_us = now_us;
    }

    /// Forgets failures.
    pub fn forget_failures(&mut self) {
        self.failure_share = 0.0;
    }

    /// Returns whether the endpoint should be avoided.
    pub fn is_failing(&self, now_us: Micros) -> bool {
        self.decayed_failure_share(now_us) > FAILING_THRESHOLD
    }

    /// Returns the share of its requests that fail. It decays while nothing is recorded, so that
    /// the endpoint is tried again.
    pub fn decayed_failure_share(&self, now_us: Micros) -> f64 {
        let since_us = now_us.saturating_sub(self.failure_updated_us) as f64;
        self.failure_share * (-since_us / FAILURE_DECAY_US).exp()
    }

    /// Returns whether there are samples of the prompt speed.
    pub fn has_samples(&self) -> bool {
        self.prompt.has_samples()
    }

    /// Returns the current estimate, for other halls.
    pub fn summary(&self) -> SpeedSummary {
        SpeedSummary {
            read_ms: self.process_ms(1e3) as u16,
            event_tenths_ms: (self.event_ms() * 10.0) as u16,
            hold_ms: self.slot_hold_ms() as u16,
        }
    }

    /// Replaces the estimate by that of the endpoint's own hall.
    pub fn apply_summary(&mut self, summary: SpeedSummary) {
        self.prompt.replace(f64::from(summary.read_ms) / 1e3);
        self.event
            .replace(f64::from(summary.event_tenths_ms) / 10.0);
        self.hold.replace(f64::from(summary.hold_ms));
    }

    /// Returns this instance's observations since the last call, to be sent to peers.
    pub fn take_unsent(&mut self) -> SpeedSamples {
        std::mem::take(&mut self.unsent)
    }

    /// Returns whether there are observations that were not sent to peers.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Adds the observations of another instance.
    pub fn merge_samples(&mut self, samples: &SpeedSamples) {
        let pairs = [
            (&mut self.prompt, samples.prompt_ms, samples.prompt_tokens),
            (&mut self.event, samples.events_ms, samples.events),
            (&mut self.hold, samples.held_ms, samples.ended),
        ];
        for (average, ms, units) in pairs {
            average.add_sample(f64::from(ms), f64::from(units));
        }
    }
}
