//! How fast an endpoint is, learned from the answers it gave.

use serde::{Deserialize, Serialize};

use crate::prelude::Micros;

/// Prompt tokens over which the reading speed is averaged: some ten prompts, which all instances
/// together send to an endpoint in about two seconds of an ordinary load.
const PROMPT_MEMORY: f64 = 30_000.0;
/// Events over which the time between two is averaged: those of some five streams.
const EVENT_MEMORY: f64 = 250.0;
/// Requests over which the time that one holds a slot is averaged. Lengths differ a hundredfold, so the
/// mean of ten is off by half, and the endpoint that looks best is one whose mean is too low. Ten and
/// sixty, 85 instances, seed 11: worth of two days of surges .343 and .363, .576 and .592; three hundred
/// .356, no better than sixty.
const HOLD_MEMORY: f64 = 60.0;
/// What is believed before anything is learned weighs as this share of the memory, so that the first
/// observations replace it.
const PRIOR_SHARE: f64 = 0.1;
/// Milliseconds that a request holds a slot before anything is learned.
const PRIOR_HOLD_MS: f64 = 1_000.0;
/// Gain of one plain answer; about ten of them replace what was believed.
const GAIN: f64 = 0.2;
/// Prompt tokens read in a millisecond before anything is learned.
const PRIOR_PROMPT_TOKENS_PER_MS: f64 = 40.0;
/// Milliseconds between two events of a stream before anything is learned.
const PRIOR_EVENT_MS: f64 = 25.0;
/// Milliseconds of a plain request before anything is learned.
const PRIOR_WHOLE_MS: f64 = 40.0;
/// The time before the first event that does not grow with the prompt, in milliseconds.
const FIRST_MS: f64 = 20.0;
/// Fewer uncached tokens than this say little of the reading speed.
const MIN_PROMPT_TOKENS: f64 = 300.0;
/// A longer pause between two events says that something broke, not how fast the endpoint is.
const MAX_GAP_MS: f64 = 1_000.0;
/// Share of failed answers above which an endpoint is avoided.
const FAILING_SHARE: f64 = 0.25;
/// Gain of one ending in the share of failures.
const FAILURE_GAIN: f64 = 0.15;
/// An endpoint that is avoided is tried again after this time.
const FAILURE_FADE_US: f64 = 3_000_000.0;

/// What was seen of an endpoint, as sums, so that what several instances saw adds up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
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

impl Evidence {
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
pub struct ToldSpeed {
    /// Time to read a thousand prompt tokens, in milliseconds.
    pub read_ms: u16,
    /// Time between two events, in tenths of a millisecond.
    pub event_tenths_ms: u16,
    /// Time that a request holds a slot, in milliseconds.
    pub hold_ms: u16,
}

/// A time per unit of work, averaged over the latest units.
#[derive(Clone, Copy, Debug)]
struct Pace {
    ms_per_unit: f64,
    /// Units that the average stands for, at most `memory_units`.
    weight_units: f64,
    memory_units: f64,
}

impl Pace {
    fn new(prior_ms_per_unit: f64, memory_units: f64) -> Self {
        Self {
            ms_per_unit: prior_ms_per_unit,
            weight_units: memory_units * PRIOR_SHARE,
            memory_units,
        }
    }

    /// Takes over what others know.
    fn adopt(&mut self, ms_per_unit: f64) {
        self.ms_per_unit = ms_per_unit;
        self.weight_units = self.memory_units;
    }

    fn is_learned(&self) -> bool {
        self.weight_units > self.memory_units * PRIOR_SHARE
    }

    fn learn(&mut self, took_ms: f64, units: f64) {
        if units <= 0.0 {
            return;
        }
        let gain = units / (self.weight_units + units);
        self.ms_per_unit += (took_ms / units - self.ms_per_unit) * gain;
        self.weight_units = (self.weight_units + units).min(self.memory_units);
    }
}

/// What was learned of one endpoint.
#[derive(Clone, Debug)]
pub struct Speed {
    prompt: Pace,
    event: Pace,
    hold: Pace,
    whole_ms: f64,
    failing: f64,
    failed_us: Micros,
    /// What this instance saw since it told the others.
    untold: Evidence,
    /// Parts of a millisecond between events that are not in `untold` yet.
    event_rest_ms: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            prompt: Pace::new(1.0 / PRIOR_PROMPT_TOKENS_PER_MS, PROMPT_MEMORY),
            event: Pace::new(PRIOR_EVENT_MS, EVENT_MEMORY),
            hold: Pace::new(PRIOR_HOLD_MS, HOLD_MEMORY),
            whole_ms: PRIOR_WHOLE_MS,
            failing: 0.0,
            failed_us: 0,
            untold: Evidence::default(),
            event_rest_ms: 0.0,
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
        FIRST_MS + self.read_ms(tokens)
    }

    /// Returns the time between two events of a stream, in milliseconds.
    pub fn event_ms(&self) -> f64 {
        self.event.ms_per_unit
    }

    /// Returns the time that a plain request takes, in milliseconds.
    pub fn whole_ms(&self) -> f64 {
        self.whole_ms
    }

    /// Returns for how long a request holds a slot, in milliseconds.
    pub fn hold_ms(&self) -> f64 {
        self.hold.ms_per_unit
    }

    /// Learns from a first event that took `took_ms` with `tokens` of prompts to read before it.
    pub fn first_event(&mut self, took_ms: f64, tokens: f64) {
        if tokens < MIN_PROMPT_TOKENS {
            return;
        }
        let read_ms = (took_ms - FIRST_MS).max(0.0);
        self.prompt.learn(read_ms, tokens);
        self.untold.prompt_tokens = self.untold.prompt_tokens.saturating_add(tokens as u32);
        self.untold.prompt_ms = self.untold.prompt_ms.saturating_add(read_ms as u32);
    }

    /// Learns from the time between two of a stream's events.
    pub fn event(&mut self, gap_ms: f64) {
        let gap_ms = gap_ms.clamp(0.1, MAX_GAP_MS);
        self.event.learn(gap_ms, 1.0);
        let told_ms = gap_ms + self.event_rest_ms;
        self.event_rest_ms = told_ms.fract();
        self.untold.events = self.untold.events.saturating_add(1);
        self.untold.events_ms = self.untold.events_ms.saturating_add(told_ms as u32);
    }

    /// Learns from a plain answer.
    pub fn whole(&mut self, took_ms: f64) {
        self.whole_ms += (took_ms - self.whole_ms) * GAIN;
    }

    /// Learns from how long a request held its slot, whatever came of it.
    pub fn held(&mut self, took_ms: f64) {
        self.hold.learn(took_ms, 1.0);
        self.untold.ended = self.untold.ended.saturating_add(1);
        self.untold.held_ms = self.untold.held_ms.saturating_add(took_ms as u32);
    }

    /// Learns from how a request ended.
    pub fn ended(&mut self, now_us: Micros, failed: bool) {
        let seen = if failed { 1.0 } else { 0.0 };
        self.failing = self.failing_now(now_us);
        self.failing += (seen - self.failing) * FAILURE_GAIN;
        self.failed_us = now_us;
    }

    /// Learns that the endpoint does not answer at all.
    pub fn unreachable(&mut self, now_us: Micros) {
        self.failing = 1.0;
        self.failed_us = now_us;
    }

    /// Returns whether the endpoint is better avoided.
    pub fn is_failing(&self, now_us: Micros) -> bool {
        self.failing_now(now_us) > FAILING_SHARE
    }

    /// Returns the share of its requests that fail; without news it fades, so that the endpoint is
    /// tried again.
    pub fn failing_now(&self, now_us: Micros) -> f64 {
        let since_us = now_us.saturating_sub(self.failed_us) as f64;
        self.failing * (-since_us / FAILURE_FADE_US).exp()
    }

    /// Returns whether anything was learned of how fast it reads.
    pub fn is_learned(&self) -> bool {
        self.prompt.is_learned()
    }

    /// Returns what is believed, for other halls.
    pub fn told(&self) -> ToldSpeed {
        ToldSpeed {
            read_ms: self.read_ms(1e3) as u16,
            event_tenths_ms: (self.event_ms() * 10.0) as u16,
            hold_ms: self.hold_ms() as u16,
        }
    }

    /// Takes over what the endpoint's own hall believes.
    pub fn adopt(&mut self, told: ToldSpeed) {
        self.prompt.adopt(f64::from(told.read_ms) / 1e3);
        self.event.adopt(f64::from(told.event_tenths_ms) / 10.0);
        self.hold.adopt(f64::from(told.hold_ms));
    }

    /// Returns what was seen here since this was asked last, to tell the others.
    pub fn take_untold(&mut self) -> Evidence {
        std::mem::take(&mut self.untold)
    }

    /// Returns whether something was seen here that the others were not told.
    pub fn has_untold(&self) -> bool {
        !self.untold.is_empty()
    }

    /// Learns from what another instance saw.
    pub fn learn_told(&mut self, seen: &Evidence) {
        let pairs = [
            (&mut self.prompt, seen.prompt_ms, seen.prompt_tokens),
            (&mut self.event, seen.events_ms, seen.events),
            (&mut self.hold, seen.held_ms, seen.ended),
        ];
        for (pace, ms, units) in pairs {
            pace.learn(f64::from(ms), f64::from(units));
        }
    }
}
