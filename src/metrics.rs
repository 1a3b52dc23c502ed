//! Counters, in Prometheus text form on the operators' listener.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::prelude::Name;

/// Labels of what is counted by tier.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TierLabels {
    /// The tier's name.
    pub tier: String,
}

/// Labels of what is counted by tier and outcome or reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The tier's name.
    pub tier: String,
    /// What came of it.
    pub outcome: String,
}

/// Labels of what is counted by stage.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StageLabels {
    /// `waiting` or `running`.
    pub stage: String,
}

/// Everything that this process counts.
#[derive(Default)]
pub struct Metrics {
    registry: Registry,
    /// Requests by tier and outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Whole answers before their deadline, by tier: the goodput.
    pub in_time: Family<TierLabels, Counter>,
    /// Whole answers after their deadline, by tier.
    pub late: Family<TierLabels, Counter>,
    /// Requests shed, by tier and reason.
    pub sheds: Family<OutcomeLabels, Counter>,
    /// Requests whose deadline passed while they waited, by tier.
    pub expiries: Family<TierLabels, Counter>,
    /// Prompt tokens computed for answers that were then not whole or not in time.
    pub wasted_prefill_tokens: Counter,
    /// Prompt tokens computed.
    pub prefill_tokens: Counter,
    /// Prompt tokens found in caches.
    pub cached_tokens: Counter,
    /// Time of one decision.
    pub decision_seconds: DecisionTime,
    /// Time to the first token.
    pub first_token_seconds: DecisionTime,
    /// Times this instance began to lead a pool.
    pub leads_taken: Counter,
    /// Registrations begun with leaders.
    pub registrations: Counter,
    /// Platform calls that brought no answer.
    pub platform_errors: Counter,
    /// Configuration steps whose result was not what they named.
    pub config_steps_refused: Counter,
    /// Requests refused before they were taken, for what they were.
    pub bad_requests: Counter,
    /// Orders that this entry did not follow.
    pub orders_refused: Counter,
    held: Family<StageLabels, Gauge>,
    waiting: Family<TierLabels, Gauge>,
    config_version: Gauge,
    control_sent_bytes: Counter,
    control_received_bytes: Counter,
    datagrams_dropped: Counter,
}

/// A histogram of short times.
#[derive(Clone)]
pub struct DecisionTime(Histogram);

impl Default for DecisionTime {
    fn default() -> Self {
        Self(Histogram::new(exponential_buckets(1e-6, 2.0, 26)))
    }
}

impl DecisionTime {
    /// Takes a time in, in seconds.
    pub fn observe(&self, seconds: f64) {
        self.0.observe(seconds);
    }
}

/// What is read from elsewhere when the counters are shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct Readings {
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that run.
    pub running: usize,
    /// The configuration in force.
    pub config_version: u64,
    /// Bytes sent to other instances.
    pub control_sent_bytes: u64,
    /// Bytes received from them.
    pub control_received_bytes: u64,
    /// Datagrams dropped.
    pub datagrams_dropped: u64,
}

impl Metrics {
    /// Creates all counters at zero.
    pub fn new() -> Arc<Self> {
        let mut metrics = Self::default();
        let mut registry = Registry::with_prefix("ryevalve");
        let m = &metrics;
        registry.register(
            "requests",
            "Requests by tier and outcome",
            m.requests.clone(),
        );
        registry.register(
            "in_time",
            "Whole answers in time, by tier",
            m.in_time.clone(),
        );
        registry.register("late", "Whole answers after their deadline", m.late.clone());
        registry.register(
            "sheds",
            "Requests shed, by tier and reason",
            m.sheds.clone(),
        );
        registry.register(
            "expiries",
            "Deadlines passed while waiting",
            m.expiries.clone(),
        );
        registry.register(
            "wasted_prefill_tokens",
            "Prompt tokens computed for nothing",
            m.wasted_prefill_tokens.clone(),
        );
        registry.register(
            "prefill_tokens",
            "Prompt tokens computed",
            m.prefill_tokens.clone(),
        );
        registry.register(
            "cached_tokens",
            "Prompt tokens cached",
            m.cached_tokens.clone(),
        );
        registry.register(
            "decision_seconds",
            "One decision",
            m.decision_seconds.0.clone(),
        );
        registry.register(
            "first_token_seconds",
            "From arrival to the first token",
            m.first_token_seconds.0.clone(),
        );
        registry.register("leads_taken", "Leads of pools begun", m.leads_taken.clone());
        registry.register(
            "registrations",
            "Registrations begun",
            m.registrations.clone(),
        );
        registry.register(
            "platform_errors",
            "Platform calls failed",
            m.platform_errors.clone(),
        );
        registry.register(
            "config_steps_refused",
            "Configuration steps refused",
            m.config_steps_refused.clone(),
        );
        registry.register(
            "bad_requests",
            "Requests refused as bad",
            m.bad_requests.clone(),
        );
        registry.register(
            "orders_refused",
            "Orders not followed",
            m.orders_refused.clone(),
        );
        registry.register("held_requests", "Requests held, by stage", m.held.clone());
        registry.register("waiting", "Queue length, by tier", m.waiting.clone());
        registry.register(
            "config_version",
            "Configuration in force",
            m.config_version.clone(),
        );
        registry.register(
            "control_sent_bytes",
            "Bytes sent to other instances",
            m.control_sent_bytes.clone(),
        );
        registry.register(
            "control_received_bytes",
            "Bytes received from other instances",
            m.control_received_bytes.clone(),
        );
        registry.register(
            "datagrams_dropped",
            "Datagrams forged, replayed or unreadable",
            m.datagrams_dropped.clone(),
        );
        metrics.registry = registry;
        Arc::new(metrics)
    }

    /// Returns the text form.
    ///
    /// # Errors
    /// A label could not be written.
    pub fn text(&self, readings: Readings) -> Result<String, fmt::Error> {
        self.set_held("waiting", readings.waiting);
        self.set_held("running", readings.running);
        self.config_version.set(readings.config_version as i64);
        raise(&self.control_sent_bytes, readings.control_sent_bytes);
        raise(
            &self.control_received_bytes,
            readings.control_received_bytes,
        );
        raise(&self.datagrams_dropped, readings.datagrams_dropped);
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    /// Sets a tier's queue length, as it is shown next.
    pub fn set_waiting(&self, tier: &Name, count: usize) {
        self.waiting
            .get_or_create(&tier_label(tier))
            .set(count as i64);
    }

    /// Counts a request's end.
    pub fn ended(&self, tier: &Name, outcome: &str) {
        self.requests.get_or_create(&labels(tier, outcome)).inc();
    }

    /// Counts a shed.
    pub fn shed(&self, tier: &Name, reason: &str) {
        self.sheds.get_or_create(&labels(tier, reason)).inc();
    }

    fn set_held(&self, stage: &str, count: usize) {
        let stage = stage.to_owned();
        self.held
            .get_or_create(&StageLabels { stage })
            .set(count as i64);
    }
}

/// Returns the label of a tier.
pub fn tier_label(tier: &Name) -> TierLabels {
    TierLabels {
        tier: tier.to_string(),
    }
}

fn labels(tier: &Name, outcome: &str) -> OutcomeLabels {
    OutcomeLabels {
        tier: tier.to_string(),
        outcome: outcome.to_owned(),
    }
}

/// Brings a counter up to a value that is counted elsewhere.
fn raise(counter: &Counter, value: u64) {
    let counter: &AtomicU64 = counter.inner();
    counter.fetch_max(value, Ordering::Relaxed);
}
