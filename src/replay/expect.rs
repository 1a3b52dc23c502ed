//! Expected results of a replay, and the check that a replay meets them.

use serde::{Deserialize, Serialize};

use crate::replay::outcome::{PolicyOutcome, ReplayOutcome};

/// The contents of a TOML file of expectations.
///
/// ```
/// use ryevalve::replay::expect::Expectations;
/// let text = "[[expect]]\npolicy = 'ryevalve'\nmax_violations = 0\n";
/// let parsed: Expectations = toml::from_str(text).unwrap();
/// assert_eq!(parsed.expect.len(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectations {
    /// The expectations.
    #[serde(default)]
    pub expect: Vec<Expectation>,
}

/// Limits that the results of a policy, or of one of its tiers, must meet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expectation {
    /// The policy.
    pub policy: String,
    /// The tier; `None` stands for all tiers together.
    pub tier: Option<String>,
    /// Least number of answers in time.
    pub min_in_time: Option<u64>,
    /// Least number of answers in time, as a fraction of the upper bound.
    pub min_share_of_bound: Option<f64>,
    /// Whether at least as many answers must be in time as under every other policy of the replay.
    pub not_behind_others: bool,
    /// Most requests shed.
    pub max_shed: Option<u64>,
    /// Most wasted prompt work of the policy, in tokens.
    pub max_wasted_prefill_tokens: Option<u64>,
    /// Most wasted prompt work of the policy, as a fraction of its total prompt work.
    pub max_wasted_share: Option<f64>,
    /// Most breaches of the invariants.
    pub max_violations: Option<u64>,
}

/// Returns a description of each expectation that is not met.
pub fn unmet(expectations: &Expectations, outcome: &ReplayOutcome) -> Vec<String> {
    let mut unmet = Vec::new();
    for expectation in &expectations.expect {
        let policy_outcome = outcome
            .policies
            .iter()
            .find(|p| p.policy == expectation.policy);
        match policy_outcome {
            Some(policy) => check(expectation, policy, outcome, &mut unmet),
            None => unmet.push(format!("policy `{}` was not replayed", expectation.policy)),
        }
    }
    unmet
}

fn check(
    expectation: &Expectation,
    policy: &PolicyOutcome,
    outcome: &ReplayOutcome,
    unmet: &mut Vec<String>,
) {
    let tier = expectation.tier.as_deref();
    let subject = format!("{} {}", policy.policy, tier.unwrap_or("all tiers"));
    if let Some(tier) = tier
        && !policy.tiers.iter().any(|t| &*t.tier == tier)
    {
        unmet.push(format!("{subject}: there is no such tier"));
        return;
    }
    let in_time = in_time(policy, tier);
    let mut require = |holds: bool, text: String| {
        if !holds {
            unmet.push(format!("{subject}: {text}"));
        }
    };
    if let Some(min) = expectation.min_in_time {
        require(
            in_time >= min,
            format!("{in_time} in time, stated at least {min}"),
        );
    }
    if let Some(share) = expectation.min_share_of_bound {
        let bound = bound_of(outcome, tier);
        let share_reached = in_time as f64 / bound.max(1) as f64;
        let text = format!("{share_reached:.4} of the bound, stated at least {share}");
        require(share_reached >= share, text);
    }
    if expectation.not_behind_others {
        for other in &outcome.policies {
            let other_in_time = self::in_time(other, tier);
            let text = format!("{in_time} in time, {} has {other_in_time}", other.policy);
            require(in_time >= other_in_time, text);
        }
    }
    if let Some(limit) = expectation.max_shed {
        let shed: u64 = selected(policy, tier).map(|t| t.shed).sum();
        require(
            shed <= limit,
            format!("{shed} shed, stated at most {limit}"),
        );
    }
    let wasted = policy.wasted_prefill_tokens;
    if let Some(limit) = expectation.max_wasted_prefill_tokens {
        require(
            wasted <= limit,
            format!("{wasted} tokens wasted, stated at most {limit}"),
        );
    }
    if let Some(limit) = expectation.max_wasted_share {
        let share = wasted as f64 / policy.prefill_tokens.max(1) as f64;
        require(
            share <= limit,
            format!("{share:.4} of the prompt work wasted, stated at most {limit}"),
        );
    }
    if let Some(limit) = expectation.max_violations {
        let count = policy.violations;
        require(
            count <= limit,
            format!("{count} breaches, stated at most {limit}"),
        );
    }
}

fn selected<'p>(
    policy: &'p PolicyOutcome,
    tier: Option<&'p str>,
) -> impl Iterator<Item = &'p crate::replay::outcome::TierOutcome> {
    policy
        .tiers
        .iter()
        .filter(move |t| tier.is_none_or(|name| &*t.tier == name))
}

fn in_time(policy: &PolicyOutcome, tier: Option<&str>) -> u64 {
    policy
        .tiers
        .iter()
        .filter(|t| tier.is_none_or(|name| &*t.tier == name))
        .map(|t| t.in_time)
        .sum()
}

fn bound_of(outcome: &ReplayOutcome, tier: Option<&str>) -> u64 {
    match tier {
        None => outcome.bound.in_time_sum,
        Some(name) => {
            let tier_bound = outcome.bound.tiers.iter().find(|t| &*t.tier == name);
            tier_bound.map_or(0, |t| t.in_time)
        }
    }
}
