//! Checks invariants of a replay independently of the policy: each request gets exactly one final outcome, and
//! no request is shed while the same pool keeps one of a lower tier.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::{Micros, Rank};

/// Progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Kept,
    Sent,
    Ended,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The whole answer.
    Answer,
    /// Refused or expired without having run.
    NotRun,
    /// Cut off after it was sent; whether it ran is not known.
    OutcomeUnknown,
}

/// Follows the requests of a replay and collects breaches of the invariants.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    requests: BTreeMap<usize, (Rank, String, Stage)>,
    /// Requests of each pool and tier that have arrived and are neither sent nor ended.
    kept: BTreeMap<(String, Rank), BTreeSet<usize>>,
    breaches: Vec<String>,
}

impl Checker {
    /// Records an arrival; the request is kept until it is sent or ends.
    pub fn arrived(&mut self, request: usize, rank: Rank, pool: &str) {
        let stage = (rank, pool.to_owned(), Stage::Kept);
        if self.requests.insert(request, stage).is_some() {
            self.breach(format!("request {request} arrived twice"));
        }
        self.kept
            .entry((pool.to_owned(), rank))
            .or_default()
            .insert(request);
    }

    /// Records that a request's first byte went to an endpoint.
    pub fn sent(&mut self, request: usize, endpoint_accepts_work: bool) {
        self.transition(request, Stage::Kept, Stage::Sent, "sent");
        if !endpoint_accepts_work {
            self.breach(format!(
                "request {request} went to an endpoint that takes no work"
            ));
        }
    }

    /// Records that a request was shed: refused early because of load.
    pub fn shed(&mut self, now_us: Micros, request: usize) {
        let Some((rank, pool, _)) = self.requests.get(&request).cloned() else {
            return self.breach(format!("request {request} was shed but never came"));
        };
        let below = self
            .kept
            .iter()
            .filter(|((p, r), _)| *p == pool && *r > rank);
        let lower: usize = below.map(|(_, kept)| kept.len()).sum();
        if lower > 0 {
            self.breach(format!(
                "at {now_us} request {request} of rank {rank} was shed while {lower} lower ones \
                 were kept"
            ));
        }
        self.finish_request(request, FinalOutcome::NotRun);
    }

    /// Records the final outcome of a request.
    pub fn finish_request(&mut self, request: usize, outcome: FinalOutcome) {
        let from = match outcome {
            FinalOutcome::NotRun => Stage::Kept,
            FinalOutcome::Answer | FinalOutcome::OutcomeUnknown => Stage::Sent,
        };
        self.transition(request, from, Stage::Ended, "answered");
    }

    /// Ends the check; returns the breaches, including each request without a final outcome.
    pub fn finish(mut self) -> Vec<String> {
        let unfinished: Vec<usize> = self
            .requests
            .iter()
            .filter(|(_, (.., stage))| *stage != Stage::Ended)
            .map(|(request, _)| *request)
            .collect();
        for request in unfinished {
            self.breach(format!("request {request} got no final answer"));
        }
        self.breaches
    }

    fn transition(&mut self, request: usize, from: Stage, to: Stage, what: &str) {
        let Some((rank, pool, stage)) = self.requests.get_mut(&request) else {
            return self.breach(format!("request {request} was {what} but never came"));
        };
        if *stage != from {
            let message = format!("request {request} was {what} when {stage:?}");
            return self.breach(message);
        }
        *stage = to;
        if from == Stage::Kept
            && let Some(kept) = self.kept.get_mut(&(pool.clone(), *rank))
        {
            kept.remove(&request);
        }
    }

    fn breach(&mut self, what: String) {
        self.breaches.push(what);
    }
}
