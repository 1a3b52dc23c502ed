//! Outcomes stated beforehand, and whether a replay meets them.

use serde::{Deserialize, Serialize};

use crate::replay::outcome::{PolicyOutcome, ReplayOutcome};

/// The outcomes that a file states, in TOML.
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
    /// The outcomes.
    #[serde(default)]
    pub expect: Vec<Expectation>,
}

/// What one policy, or one tier of it, must come to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expectation {
    /// The policy.
    pub policy: String,
    /// The tier; none means all together.
    pub tier: Option<String>,
    /// At least this many in time.
    pub min_in_time: Option<u64>,
    /// At least this share of the bound in time.
    pub min_share_of_bound: Option<f64>,
    /// At least as many in time as every other policy of the replay.
    pub not_behind_others: bool,
    /// At most this many shed.
    pub max_shed: Option<u64>,
    /// At most this much wasted prompt work, in tokens.
    pub max_wasted_prefill_tokens: Option<u64>,
    /// At most this share of the prompt work wasted.
    pub max_wasted_share: Option<f64>,
    /// At most this many breaches of the properties.
    pub max_violations: Option<u64>,
}

/// Returns what does not hold, a sentence each.
pub fn unmet(expectations: &Expectations, outcome: &ReplayOutcome) -> Vec<String> {
    let mut unmet = Vec::new();
    for expectation in &expectations.expect {
        let found = outcome
            .policies
            .iter()
            .find(|p| p.policy == expectation.policy);
        match found {
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
    let what = format!("{} {}", policy.policy, tier.unwrap_or("all tiers"));
    if let Some(tier) = tier
        && !policy.tiers.iter().any(|t| &*t.tier == tier)
    {
        unmet.push(format!("{what}: there is no such tier"));
        return;
    }
    let in_time = in_time(policy, tier);
    let mut need = |holds: bool, text: String| {
        if !holds {
            unmet.push(format!("{what}: {text}"));
        }
    };
    if let Some(least) = expectation.min_in_time {
        need(
            in_time >= least,
            format!("{in_time} in time, stated at least {least}"),
        );
    }
    if let Some(share) = expectation.min_share_of_bound {
        let bound = bound_of(outcome, tier);
        let reached = in_time as f64 / bound.max(1) as f64;
        let text = format!("{reached:.4} of the bound, stated at least {share}");
        need(reached >= share, text);
    }
    if expectation.not_behind_others {
        for other in &outcome.policies {
            let theirs = self::in_time(other, tier);
            let text = format!("{in_time} in time, {} has {theirs}", other.policy);
            need(in_time >= theirs, text);
        }
    }
    if let Some(most) = expectation.max_shed {
        let shed: u64 = selected(policy, tier).map(|t| t.shed).sum();
        need(shed <= most, format!("{shed} shed, stated at most {most}"));
    }
    let wasted = policy.wasted_prefill_tokens;
    if let Some(most) = expectation.max_wasted_prefill_tokens {
        need(
            wasted <= most,
            format!("{wasted} tokens wasted, stated at most {most}"),
        );
    }
    if let Some(most) = expectation.max_wasted_share {
        let share = wasted as f64 / policy.prefill_tokens.max(1) as f64;
        need(
            share <= most,
            format!("{share:.4} of the prompt work wasted, stated at most {most}"),
        );
    }
    if let Some(most) = expectation.max_violations {
        let count = policy.violations;
        need(
            count <= most,
            format!("{count} breaches, stated at most {most}"),
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
            let found = outcome.bound.tiers.iter().find(|t| &*t.tier == name);
            found.map_or(0, |t| t.in_time)
        }
    }
}
