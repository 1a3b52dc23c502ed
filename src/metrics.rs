//! Metrics, exported in the Prometheus text format on the operator listener.

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

/// Labels of metrics by tier.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TierLabels {
    /// The tier's name.
    pub tier: String,
}

/// Labels of metrics by tier and outcome or reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The tier's name.
    pub tier: String,
    /// The request's outcome, or the reason for which it was shed.
    pub outcome: String,
}

/// Labels of metrics by stage.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StageLabels {
    /// `waiting` or `running`.
    pub stage: String,
}

/// All metrics of this process.
#[derive(Default)]
pub struct Metrics {
    registry: Registry,
    /// Requests by tier and outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Complete answers before their deadline, by tier: the goodput.
    pub in_time: Family<TierLabels, Counter>,
    /// Complete answers after their deadline, by tier.
    pub late: Family<TierLabels, Counter>,
    /// Requests shed, by tier and reason.
    pub sheds: Family<OutcomeLabels, Counter>,
    /// Requests whose deadline passed while they waited, by tier.
    pub expiries: Family<TierLabels, Counter>,
    /// Prompt tokens computed for answers that were then incomplete or late.
    pub wasted_prefill_tokens: Counter,
    /// Prompt tokens computed.
    pub prefill_tokens: Counter,
    /// Prompt tokens found in caches.
    pub cached_tokens: Counter,
    /// Duration of one scheduling decision.
    pub decision_seconds: DurationHistogram,
    /// Time from a request's arrival to its first token.
    pub first_token_seconds: DurationHistogram,
    /// How often this instance became the leader of a pool.
    pub leads_taken: Counter,
    /// Registrations started with pool leaders.
    pub registrations: Counter,
    /// Platform calls that failed.
    pub platform_errors: Counter,
    /// Configuration steps refused because their result did not match the hash they carry.
    pub config_steps_refused: Counter,
    /// Requests refused as invalid before they were accepted.
    pub bad_requests: Counter,
    /// Leaders' orders that this instance did not carry out.
    pub orders_refused: Counter,
    held: Family<StageLabels, Gauge>,
    waiting: Family<TierLabels, Gauge>,
    config_version: Gauge,
    control_sent_bytes: Counter,
    control_received_bytes: Counter,
    datagrams_dropped: Counter,
}

/// A histogram of short durations, with buckets from 1 µs, each twice the one before.
#[derive(Clone)]
pub struct DurationHistogram(Histogram);

impl Default for DurationHistogram {
    fn default() -> Self {
        Self(Histogram::new(exponential_buckets(1e-6, 2.0, 26)))
    }
}

impl DurationHistogram {
    /// Records a duration in seconds.
    pub fn observe(&self, seconds: f64) {
        self.0.observe(seconds);
    }
}

/// Values that are read from other components when metrics are exported.
#[derive(Clone, Copy, Debug, Default)]
pub struct Readings {
    /// Requests waiting.
    pub waiting: usize,
    /// Requests running.
    pub running: usize,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Bytes sent to other instances.
    pub control_sent_bytes: u64,
    /// Bytes received from other instances.
    pub control_received_bytes: u64,
    /// Datagrams dropped because they were forged, replayed or unreadable.
    pub datagrams_dropped: u64,
}

impl Metrics {
    /// Creates and registers all metrics, at zero.
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

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// A label could not be encoded.
    pub fn text(&self, readings: Readings) -> Result<String, fmt::Error> {
        self.set_held("waiting", readings.waiting);
        self.set_held("running", readings.running);
        self.config_version.set(readings.config_version as i64);
        raise_to(&self.control_sent_bytes, readings.control_sent_bytes);
        raise_to(
            &self.control_received_bytes,
            readings.control_received_bytes,
        );
        raise_to(&self.datagrams_dropped, readings.datagrams_dropped);
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    /// Sets the gauge of a tier's queue length.
    pub fn set_waiting(&self, tier: &Name, count: usize) {
        self.waiting
            .get_or_create(&tier_label(tier))
            .set(count as i64);
    }

    /// Counts a finished request.
    pub fn ended(&self, tier: &Name, outcome: &str) {
        self.requests.get_or_create(&labels(tier, outcome)).inc();
    }

    /// Counts a shed request.
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

/// Raises a counter to a value that another component counts. Never lowers it.
fn raise_to(counter: &Counter, value: u64) {
    let counter: &AtomicU64 = counter.inner();
    counter.fetch_max(value, Ordering::Relaxed);
}
