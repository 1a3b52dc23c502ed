//! What a replay comes to.

use serde::{Deserialize, Serialize};

use crate::prelude::Name;

/// One tier's requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TierOutcome {
    /// The tier.
    pub tier: Name,
    /// Requests that came.
    pub offered: u64,
    /// Whole answers in time.
    pub in_time: u64,
    /// Whole answers after their deadline.
    pub late: u64,
    /// Refused early, on account of load.
    pub shed: u64,
    /// Deadlines that passed while the request waited.
    pub expired: u64,
    /// Refused for another reason, not run.
    pub refused: u64,
    /// Sent, and then cut off.
    pub unknown: u64,
    /// Share of those that came that were answered whole and in time.
    pub goodput: f64,
}

/// One policy's replay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyOutcome {
    /// The policy.
    pub policy: String,
    /// Its tiers, the highest first.
    pub tiers: Vec<TierOutcome>,
    /// Prompt work thrown away or computed twice, in tokens.
    pub wasted_prefill_tokens: u64,
    /// Of it, computed for answers that were not whole and in time.
    pub thrown_away_tokens: u64,
    /// Of it, blocks computed more than once.
    pub computed_again_tokens: u64,
    /// Prompt work, in tokens.
    pub prefill_tokens: u64,
    /// The least prompt work for the requests that it answered in time, in tokens.
    pub prefill_tokens_min_of_answered: u64,
    /// Breaches of the properties.
    pub violations: u64,
    /// The first of them.
    pub breaches: Vec<String>,
    /// Median time of a decision, in microseconds of this machine.
    pub decision_us_p50: f64,
    /// 99th percentile.
    pub decision_us_p99: f64,
}

/// The most that any policy could reach in one tier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TierBound {
    /// The tier.
    pub tier: Name,
    /// Whole answers in time, if the tier had everything to itself.
    pub in_time: u64,
}

/// What no policy can pass.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bound {
    /// Tier by tier.
    pub tiers: Vec<TierBound>,
    /// All tiers together.
    pub in_time_sum: u64,
    /// The least prompt work for all requests that could be in time, in tokens.
    pub prefill_tokens_min: u64,
}

/// Everything that a replay prints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplayOutcome {
    /// The policies.
    pub policies: Vec<PolicyOutcome>,
    /// The bound.
    pub bound: Bound,
}
