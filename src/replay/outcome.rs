//! Results of a replay.

use serde::{Deserialize, Serialize};

use crate::prelude::Name;

/// Results of one tier, as numbers of requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TierOutcome {
    /// The tier.
    pub tier: Name,
    /// Requests that arrived.
    pub offered: u64,
    /// Answered completely by their deadline.
    pub in_time: u64,
    /// Answered completely, but after their deadline.
    pub late: u64,
    /// Refused early because of load.
    pub shed: u64,
    /// Reached their deadline while they waited.
    pub expired: u64,
    /// Refused for another reason, without having run.
    pub refused: u64,
    /// Cut off after they were sent.
    pub unknown: u64,
    /// Fraction of the arrived requests that were answered completely by their deadline.
    pub goodput: f64,
}

/// Results of one policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyOutcome {
    /// The policy.
    pub policy: String,
    /// Tiers, the highest first.
    pub tiers: Vec<TierOutcome>,
    /// Wasted prompt work, discarded or computed again, in tokens.
    pub wasted_prefill_tokens: u64,
    /// Of this, tokens computed for answers that were late or cut off.
    pub thrown_away_tokens: u64,
    /// Of this, tokens of blocks that had already been computed.
    pub computed_again_tokens: u64,
    /// Total prompt work, in tokens.
    pub prefill_tokens: u64,
    /// Minimum prompt work for the requests that the policy answered in time, in tokens.
    pub prefill_tokens_min_of_answered: u64,
    /// Number of breaches of the invariants that the checker watches.
    pub violations: u64,
    /// The first few breaches, as text.
    pub breaches: Vec<String>,
    /// Median wall-clock time of a decision, in microseconds.
    pub decision_us_p50: f64,
    /// 99th percentile of the wall-clock time of a decision, in microseconds.
    pub decision_us_p99: f64,
}

/// Upper bound for one tier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TierBound {
    /// The tier.
    pub tier: Name,
    /// Most answers in time that any policy could reach if the tier had all endpoints to itself.
    pub in_time: u64,
}

/// Upper bounds that hold for every policy, and the minimum prompt work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bound {
    /// Bound for each tier.
    pub tiers: Vec<TierBound>,
    /// Most answers in time over all tiers together.
    pub in_time_sum: u64,
    /// Minimum prompt work for all requests of the trace, in tokens.
    pub prefill_tokens_min: u64,
}

/// The results of a replay, in the form in which they are printed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplayOutcome {
    /// Results of each policy.
    pub policies: Vec<PolicyOutcome>,
    /// The upper bound.
    pub bound: Bound,
}
