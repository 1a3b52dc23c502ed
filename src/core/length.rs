//! Predicts the length of answers from organisation, tier and prompt size.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::core::types::{Name, Rank};

/// The observed length of one answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerLength {
    /// The organisation.
    pub organisation: Name,
    /// The tier's priority.
    pub rank: Rank,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Length of the answer, in tokens.
    pub output_tokens: u32,
}

const BUCKETS: usize = 40;
const BUCKETS_PER_DOUBLING: f64 = 3.0;
/// A histogram with less decayed weight than this is not used.
const MIN_SAMPLES: f32 = 5.0;
/// Factor by which each sample reduces the weight of the earlier ones.
const DECAY: f32 = 0.995;

/// A decaying histogram of answer lengths, with three logarithmic buckets per doubling.
#[derive(Clone, Debug)]
struct Histogram {
    counts: [f32; BUCKETS],
    total: f32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            total: 0.0,
        }
    }
}

impl Histogram {
    fn add(&mut self, tokens: u32) {
        for count in &mut self.counts {
            *count *= DECAY;
        }
        self.counts[bucket(tokens)] += 1.0;
        self.total = self.total * DECAY + 1.0;
    }

    fn quantile(&self, q: f32) -> u32 {
        let target = self.total * q;
        let mut cumulative = 0.0;
        for (index, count) in self.counts.iter().enumerate() {
            cumulative += count;
            if cumulative >= target {
                return upper_edge(index);
            }
        }
        upper_edge(BUCKETS - 1)
    }
}

fn bucket(tokens: u32) -> usize {
    let position = f64::from(tokens.max(1)).log2() * BUCKETS_PER_DOUBLING;
    (position as usize).min(BUCKETS - 1)
}

fn upper_edge(index: usize) -> u32 {
    ((index as f64 + 1.0) / BUCKETS_PER_DOUBLING).exp2() as u32
}

/// Predicts quantiles of answer lengths from observed ones.
///
/// Uses the most specific histogram with enough samples: by organisation, tier and prompt size; by tier
/// and prompt size; or by tier alone.
///
/// ```
/// use ryevalve::core::length::{LengthModel, AnswerLength};
/// let mut model = LengthModel::new(200);
/// assert_eq!(model.predict(&"a".into(), 0, 100, 0.5), 200);
/// for _ in 0..50 {
///     let organisation = "a".into();
///     model.observe(&AnswerLength { organisation, rank: 0, prompt_tokens: 100, output_tokens: 30 });
/// }
/// assert!(model.predict(&"a".into(), 0, 100, 0.5) < 40);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LengthModel {
    prior_tokens: u32,
    fine: HashMap<(Name, Rank, u8), Histogram>,
    coarse: HashMap<(Rank, u8), Histogram>,
    all: HashMap<Rank, Histogram>,
}

impl LengthModel {
    /// Creates a model that predicts `prior_tokens` until it has enough samples.
    pub fn new(prior_tokens: u32) -> Self {
        Self {
            prior_tokens,
            ..Self::default()
        }
    }

    /// Records the length of an answer.
    pub fn observe(&mut self, answer: &AnswerLength) {
        let size = size_class(answer.prompt_tokens);
        let (rank, tokens) = (answer.rank, answer.output_tokens);
        let fine = (answer.organisation.clone(), rank, size);
        self.fine.entry(fine).or_default().add(tokens);
        self.coarse.entry((rank, size)).or_default().add(tokens);
        self.all.entry(rank).or_default().add(tokens);
    }

    /// Returns the `q` quantile of the length of such answers, in tokens.
    pub fn predict(&self, organisation: &Name, rank: Rank, prompt_tokens: u32, q: f32) -> u32 {
        let size = size_class(prompt_tokens);
        let fine = self.fine.get(&(organisation.clone(), rank, size));
        let coarse = self.coarse.get(&(rank, size));
        let all = self.all.get(&rank);
        [fine, coarse, all]
            .into_iter()
            .flatten()
            .find(|h| h.total >= MIN_SAMPLES)
            .map_or(self.prior_tokens, |h| h.quantile(q))
    }
}

fn size_class(prompt_tokens: u32) -> u8 {
    prompt_tokens.max(1).ilog2() as u8
}
