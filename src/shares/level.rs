//! Divides room among claims: max-min fair ("water-filling"), with priorities.

use crate::prelude::Rank;

/// The part of its equal share that a claim keeps whatever the priority of others. A strict order would starve whoever
/// comes last for as long as the others ask for all.
const GUARANTEED_SHARE: f64 = 0.25;

/// What one organisation, or a group of organisations, asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Engine time a second.
    pub asked: f64,
    /// The number of organisations; equal weights get equal shares.
    pub weight: f64,
    /// The priority; 0 goes first.
    pub priority: Rank,
}

/// Returns what each claim gets of `room`: at most what it asks for, in all at most the room.
///
/// In order of priority each class of claims is served from the room that is left, so that its smallest claims are
/// served first. Each claim is sure of a quarter of its equal share.
pub fn divide(room: f64, claims: &[Claim]) -> Vec<f64> {
    let weights: f64 = claims.iter().map(|c| c.weight).sum();
    let equal_share = room.max(0.0) / weights.max(f64::MIN_POSITIVE);
    let sure = |c: &Claim| c.asked.min(c.weight * equal_share * GUARANTEED_SHARE);
    let mut left = room.max(0.0) - claims.iter().map(sure).sum::<f64>();
    let mut order: Vec<usize> = (0..claims.len()).collect();
    let fullness = |i: &usize| claims[*i].asked / claims[*i].weight.max(f64::MIN_POSITIVE);
    order.sort_by(|a, b| {
        let priorities = claims[*a].priority.cmp(&claims[*b].priority);
        priorities.then(fullness(a).total_cmp(&fullness(b)))
    });
    let mut given = vec![0.0; claims.len()];
    for class in order.chunk_by(|a, b| claims[*a].priority == claims[*b].priority) {
        let sure_of_class: f64 = class.iter().map(|i| sure(&claims[*i])).sum();
        let room_of_class = left.max(0.0) + sure_of_class;
        left = room_of_class - fill(room_of_class, claims, class, &mut given);
    }
    given
}

/// Divides room among claims of one priority, sorted by what they ask for by weight; returns what they get in all.
fn fill(room: f64, claims: &[Claim], sorted: &[usize], given: &mut [f64]) -> f64 {
    let mut left = room;
    let mut weights: f64 = sorted.iter().map(|i| claims[*i].weight).sum();
    for index in sorted {
        let claim = claims[*index];
        let level = left / weights.max(f64::MIN_POSITIVE);
        given[*index] = claim.asked.min(claim.weight * level);
        left = (left - given[*index]).max(0.0);
        weights -= claim.weight;
    }
    room - left
}
