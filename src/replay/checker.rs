//! Watches a replay for breaches of the properties; knows nothing of the policy.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::{Micros, Rank};

/// What a request's story has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Story {
    Kept,
    Sent,
    Ended,
}

/// The last word a request got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastWord {
    /// The whole answer.
    Answer,
    /// Refused; it did not run.
    NotRun,
    /// Whether it ran is not known.
    OutcomeUnknown,
}

/// Counts breaches.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    stories: BTreeMap<usize, (Rank, String, Story)>,
    /// Kept requests of each pool and tier.
    kept: BTreeMap<(String, Rank), BTreeSet<usize>>,
    breaches: Vec<String>,
}

impl Checker {
    /// A request arrived; it is kept from now on.
    pub fn arrived(&mut self, request: usize, rank: Rank, pool: &str) {
        let story = (rank, pool.to_owned(), Story::Kept);
        if self.stories.insert(request, story).is_some() {
            self.breach(format!("request {request} arrived twice"));
        }
        self.kept
            .entry((pool.to_owned(), rank))
            .or_default()
            .insert(request);
    }

    /// A request's first byte went to an endpoint.
    pub fn sent(&mut self, request: usize, endpoint_takes_work: bool) {
        self.move_on(request, Story::Kept, Story::Sent, "sent");
        if !endpoint_takes_work {
            self.breach(format!(
                "request {request} went to an endpoint that takes no work"
            ));
        }
    }

    /// A request was shed: refused early, on account of load.
    pub fn shed(&mut self, now_us: Micros, request: usize) {
        let Some((rank, pool, _)) = self.stories.get(&request).cloned() else {
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
        self.last_word(request, LastWord::NotRun);
    }

    /// A request got its final answer.
    pub fn last_word(&mut self, request: usize, word: LastWord) {
        let from = match word {
            LastWord::NotRun => Story::Kept,
            LastWord::Answer | LastWord::OutcomeUnknown => Story::Sent,
        };
        self.move_on(request, from, Story::Ended, "answered");
    }

    /// The replay is over; returns the breaches.
    pub fn finish(mut self) -> Vec<String> {
        let open: Vec<usize> = self
            .stories
            .iter()
            .filter(|(_, (.., story))| *story != Story::Ended)
            .map(|(request, _)| *request)
            .collect();
        for request in open {
            self.breach(format!("request {request} got no final answer"));
        }
        self.breaches
    }

    fn move_on(&mut self, request: usize, from: Story, to: Story, what: &str) {
        let Some((rank, pool, story)) = self.stories.get_mut(&request) else {
            return self.breach(format!("request {request} was {what} but never came"));
        };
        if *story != from {
            let message = format!("request {request} was {what} when {story:?}");
            return self.breach(message);
        }
        *story = to;
        if from == Story::Kept
            && let Some(kept) = self.kept.get_mut(&(pool.clone(), *rank))
        {
            kept.remove(&request);
        }
    }

    fn breach(&mut self, what: String) {
        self.breaches.push(what);
    }
}
