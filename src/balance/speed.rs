//! How fast an endpoint is, learned from the answers it gave.

use serde::{Deserialize, Serialize};

use crate::prelude::Micros;

/// Prompt tokens over which the reading speed is averaged: some ten prompts, which all instances
/// together send to an endpoint in about two seconds of an ordinary load.
const PROMPT_WINDOW: f64 = 30_000.0;
/// Events over which the time between two is averaged: those of some five streams.
const EVENT_WINDOW: f64 = 250.0;
/// Requests over which the time that one holds a slot is averaged. Lengths differ a hundredfold, so the
/// mean of ten is off by half, and the endpoint that looks best is one whose mean is too low. Ten and
/// sixty, 85 instances, seed 11: worth of two days of surges .343 and .363, .576 and .592; three hundred
/// .356, no better than sixty.
const HOLD_WINDOW: f64 = 60.0;
/// What is believed before anything is learned weighs as this share of the memory, so that the first
/// observations replace it.
const PRIOR_SHARE: f64 = 0.1;
/// Milliseconds that a request holds a slot before anything is learned.
const PRIOR_HOLD_MS: f64 = 1_000.0;
/// Gain of one plain answer; about ten of them replace what was believed.
const UNARY_GAIN: f64 = 0.2;
/// Prompt tokens read in a millisecond before anything is learned.
const PRIOR_PROMPT_TOKENS_PER_MS: f64 = 40.0;
/// Milliseconds between two events of a stream before anything is learned.
const PRIOR_EVENT_MS: f64 = 25.0;
/// Milliseconds of a plain request before anything is learned.
const PRIOR_WHOLE_MS: f64 = 40.0;
/// The time before the first event that does not grow with the prompt, in milliseconds.
const FIXED_FIRST_EVENT_MS: f64 = 20.0;
/// Fewer uncached tokens than this say little of the reading speed.
const MIN_PROMPT_TOKENS: f64 = 300.0;
/// A longer pause between two events says that something broke, not how fast the endpoint is.
const MAX_GAP_MS: f64 = 1_000.0;
/// Share of failed answers above which an endpoint is avoided.
const FAILING_THRESHOLD: f64 = 0.25;
/// Gain of one ending in the share of failures.
const FAILURE_GAIN: f64 = 0.15;
/// An endpoint that is avoided is tried again after this time.
const FAILURE_DECAY_US: f64 = 3_000_000.0;

/// What was seen of an endpoint, as sums, so that what several instances saw adds up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedSamples {
    /// Prompt tokens read, those of other prompts before a request's own included.
    pub prompt_tokens: u32,
    /// The time that took, in milliseconds.
    pub prompt_ms: u32,
    /// Events of streams, but for the first of each.
    pub events: u32,
    /// The time between them, in milliseconds.
    pub events_ms: u32,
    /// Requests that ended whole.
    pub ended: u32,
    /// The time that they held their slots, in milliseconds.
    pub held_ms: u32,
}

impl SpeedSamples {
    /// Adds what was seen elsewhere or later.
    pub fn add(&mut self, more: &Self) {
        let sums = [
            (&mut self.prompt_tokens, more.prompt_tokens),
            (&mut self.prompt_ms, more.prompt_ms),
            (&mut self.events, more.events),
            (&mut self.events_ms, more.events_ms),
            (&mut self.ended, more.ended),
            (&mut self.held_ms, more.held_ms),
        ];
        for (sum, more) in sums {
            *sum = sum.saturating_add(more);
        }
    }

    /// Returns whether nothing was seen.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What a hall believes of the speed of one of its endpoints, for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedSummary {
    /// Time to read a thousand prompt tokens, in milliseconds.
    pub read_ms: u16,
    /// Time between two events, in tenths of a millisecond.
    pub event_tenths_ms: u16,
    /// Time that a request holds a slot, in milliseconds.
    pub hold_ms: u16,
}

/// A time per unit of work, averaged over the latest units.
#[derive(Clone, Copy, Debug)]
struct MovingAverage {
    ms_per_unit: f64,
    /// Units that the average stands for, at most `window_units`.
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

    /// Takes over what others know.
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

/// What was learned of one endpoint.
#[derive(Clone, Debug)]
pub struct Speed {
    prompt: MovingAverage,
    event: MovingAverage,
    hold: MovingAverage,
    unary_ms: f64,
    failure_share: f64,
    failure_updated_us: Micros,
    /// What this instance saw since it told the others.
    unsent: SpeedSamples,
    /// Parts of a millisecond between events that are not in `unsent` yet.
    event_remainder_ms: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            prompt: MovingAverage::new(1.0 / PRIOR_PROMPT_TOKENS_PER_MS, PROMPT_WINDOW),
            event: MovingAverage::new(PRIOR_EVENT_MS, EVENT_WINDOW),
            hold: MovingAverage::new(PRIOR_HOLD_MS, HOLD_WINDOW),
            unary_ms: PRIOR_WHOLE_MS,
            failure_share: 0.0,
            failure_updated_us: 0,
            unsent: SpeedSamples::default(),
            event_remainder_ms: 0.0,
        }
    }
}

impl Speed {
    /// Returns the time from the first to the last of `tokens` of prompts, in milliseconds.
    pub fn read_ms(&self, tokens: f64) -> f64 {
        tokens * self.prompt.ms_per_unit
    }

    /// Returns the time to the first event of a prompt of `tokens`, in milliseconds.
    pub fn prompt_ms(&self, tokens: f64) -> f64 {
        FIXED_FIRST_EVENT_MS + self.read_ms(tokens)
    }

    /// Returns the time between two events of a stream, in milliseconds.
    pub fn event_ms(&self) -> f64 {
        self.event.ms_per_unit
    }

    /// Returns the time that a plain request takes, in milliseconds.
    pub fn unary_ms(&self) -> f64 {
        self.unary_ms
    }

    /// Returns for how long a request holds a slot, in milliseconds.
    pub fn slot_hold_ms(&self) -> f64 {
        self.hold.ms_per_unit
    }

    /// Learns from a first event that took `took_ms` with `tokens` of prompts to read before it.
    pub fn first_event(&mut self, took_ms: f64, tokens: f64) {
        if tokens < MIN_PROMPT_TOKENS {
            return;
        }
        let read_ms = (took_ms - FIXED_FIRST_EVENT_MS).max(0.0);
        self.prompt.add_sample(read_ms, tokens);
        self.unsent.prompt_tokens = self.unsent.prompt_tokens.saturating_add(tokens as u32);
        self.unsent.prompt_ms = self.unsent.prompt_ms.saturating_add(read_ms as u32);
    }

    /// Learns from the time between two of a stream's events.
    pub fn event(&mut self, gap_ms: f64) {
        let gap_ms = gap_ms.clamp(0.1, MAX_GAP_MS);
        self.event.add_sample(gap_ms, 1.0);
        let total_ms = gap_ms + self.event_remainder_ms;
        self.event_remainder_ms = total_ms.fract();
        self.unsent.events = self.unsent.events.saturating_add(1);
        self.unsent.events_ms = self.unsent.events_ms.saturating_add(total_ms as u32);
    }

    /// Learns from a plain answer.
    pub fn record_unary(&mut self, took_ms: f64) {
        self.unary_ms += (took_ms - self.unary_ms) * UNARY_GAIN;
    }

    /// Learns from how long a request held its slot, whatever came of it.
    pub fn record_slot_hold(&mut self, took_ms: f64) {
        self.hold.add_sample(took_ms, 1.0);
        self.unsent.ended = self.unsent.ended.saturating_add(1);
        self.unsent.held_ms = self.unsent.held_ms.saturating_add(took_ms as u32);
    }

    /// Learns from how a request ended.
    pub fn record_outcome(&mut self, now_us: Micros, failed: bool) {
        let seen = if failed { 1.0 } else { 0.0 };
        self.failure_share = self.decayed_failure_share(now_us);
        self.failure_share += (seen - self.failure_share) * FAILURE_GAIN;
        self.failure_updated_us = now_us;
    }

    /// Learns that the endpoint does not answer at all.
    pub fn unreachable(&mut self, now_us: Micros) {
        self.failure_share = 1.0;
        self.failure_updated_us = now_us;
    }

    /// Returns whether the endpoint is better avoided.
    pub fn is_failing(&self, now_us: Micros) -> bool {
        self.decayed_failure_share(now_us) > FAILING_THRESHOLD
    }

    /// Returns the share of its requests that fail; without news it fades, so that the endpoint is
    /// tried again.
    pub fn decayed_failure_share(&self, now_us: Micros) -> f64 {
        let since_us = now_us.saturating_sub(self.failure_updated_us) as f64;
        self.failure_share * (-since_us / FAILURE_DECAY_US).exp()
    }

    /// Returns whether anything was learned of how fast it reads.
    pub fn has_samples(&self) -> bool {
        self.prompt.has_samples()
    }

    /// Returns what is believed, for other halls.
    pub fn summary(&self) -> SpeedSummary {
        SpeedSummary {
            read_ms: self.read_ms(1e3) as u16,
            event_tenths_ms: (self.event_ms() * 10.0) as u16,
            hold_ms: self.slot_hold_ms() as u16,
        }
    }

    /// Takes over what the endpoint's own hall believes.
    pub fn apply_summary(&mut self, summary: SpeedSummary) {
        self.prompt.replace(f64::from(summary.read_ms) / 1e3);
        self.event
            .replace(f64::from(summary.event_tenths_ms) / 10.0);
        self.hold.replace(f64::from(summary.hold_ms));
    }

    /// Returns what was seen here since this was asked last, to tell the others.
    pub fn take_unsent(&mut self) -> SpeedSamples {
        std::mem::take(&mut self.unsent)
    }

    /// Returns whether something was seen here that the others were not told.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Learns from what another instance saw.
    pub fn merge_samples(&mut self, seen: &SpeedSamples) {
        let pairs = [
            (&mut self.prompt, seen.prompt_ms, seen.prompt_tokens),
            (&mut self.event, seen.events_ms, seen.events),
            (&mut self.hold, seen.held_ms, seen.ended),
        ];
        for (pace, ms, units) in pairs {
            pace.add_sample(f64::from(ms), f64::from(units));
        }
    }
}
