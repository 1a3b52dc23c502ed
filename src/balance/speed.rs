//! How fast an endpoint is, learned from the answers it gave.

use crate::prelude::Micros;

/// Gain of one observation; about ten of them replace what was believed.
const GAIN: f64 = 0.2;
/// Gain of one event: there are a hundred times more of them than of first events.
const EVENT_GAIN: f64 = 0.01;
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
/// Share of failed answers above which an endpoint is avoided.
const FAILING_SHARE: f64 = 0.25;
/// Gain of one ending in the share of failures.
const FAILURE_GAIN: f64 = 0.15;
/// An endpoint that is avoided is tried again after this time.
const FAILURE_FADE_US: f64 = 3_000_000.0;

/// What was learned of one endpoint.
#[derive(Clone, Debug)]
pub struct Speed {
    prompt_ms_per_token: f64,
    event_ms: f64,
    whole_ms: f64,
    hold_ms: f64,
    failing: f64,
    failed_us: Micros,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            prompt_ms_per_token: 1.0 / PRIOR_PROMPT_TOKENS_PER_MS,
            event_ms: PRIOR_EVENT_MS,
            whole_ms: PRIOR_WHOLE_MS,
            hold_ms: 1_000.0,
            failing: 0.0,
            failed_us: 0,
        }
    }
}

impl Speed {
    /// Returns the time from the first to the last of `tokens` of prompts, in milliseconds.
    pub fn read_ms(&self, tokens: f64) -> f64 {
        tokens * self.prompt_ms_per_token
    }

    /// Returns the time to the first event of a prompt of `tokens`, in milliseconds.
    pub fn prompt_ms(&self, tokens: f64) -> f64 {
        FIRST_MS + self.read_ms(tokens)
    }

    /// Returns the time between two events of a stream, in milliseconds.
    pub fn event_ms(&self) -> f64 {
        self.event_ms
    }

    /// Returns the time that a plain request takes, in milliseconds.
    pub fn whole_ms(&self) -> f64 {
        self.whole_ms
    }

    /// Returns for how long a request holds a slot, in milliseconds.
    pub fn hold_ms(&self) -> f64 {
        self.hold_ms
    }

    /// Learns from a first event that took `took_ms` with `tokens` of prompts to read before it.
    pub fn first_event(&mut self, took_ms: f64, tokens: f64) {
        if tokens < MIN_PROMPT_TOKENS {
            return;
        }
        let seen = ((took_ms - FIRST_MS) / tokens).clamp(0.001, 1.0);
        self.prompt_ms_per_token += (seen - self.prompt_ms_per_token) * GAIN;
    }

    /// Learns from the time between two of a stream's events.
    pub fn event(&mut self, gap_ms: f64) {
        self.event_ms += (gap_ms.clamp(0.1, 1_000.0) - self.event_ms) * EVENT_GAIN;
    }

    /// Learns from a plain answer.
    pub fn whole(&mut self, took_ms: f64) {
        self.whole_ms += (took_ms - self.whole_ms) * GAIN;
    }

    /// Learns from how long a request held its slot, whatever came of it.
    pub fn held(&mut self, took_ms: f64) {
        self.hold_ms += (took_ms - self.hold_ms) * GAIN;
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

    /// Returns milliseconds a prompt token and an event, for others to learn from.
    pub fn told(&self) -> (f32, f32) {
        (self.prompt_ms_per_token as f32, self.event_ms as f32)
    }

    /// Learns from what another instance learned.
    pub fn learn_told(&mut self, prompt_ms_per_token: f32, event_ms: f32) {
        const TOLD_GAIN: f64 = 0.05;
        let sound = |v: f32| v.is_finite() && v > 0.0;
        if sound(prompt_ms_per_token) && sound(event_ms) {
            let prompt = f64::from(prompt_ms_per_token) - self.prompt_ms_per_token;
            self.prompt_ms_per_token += prompt * TOLD_GAIN;
            self.event_ms += (f64::from(event_ms) - self.event_ms) * TOLD_GAIN;
        }
    }
}
