//! Remembers the last requests that ended: for operators, and as a trace to replay.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

use serde::{Deserialize, Serialize};

use crate::prelude::{Name, RequestId};

/// A request that ended; no text of the caller's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedRequest {
    /// Its id.
    pub id: RequestId,
    /// Its organisation.
    pub organisation: Name,
    /// Its tier.
    pub tier: Name,
    /// The service called.
    pub service: Name,
    /// The pool slice.
    pub pool: Name,
    /// Where it ran, if it did.
    pub endpoint: Option<Name>,
    /// What came of it: `in_time`, `late`, `not_run`, `outcome_unknown` or `caller_left`.
    pub outcome: Name,
    /// Why, if it was refused.
    pub reason: Option<Name>,
    /// Arrival, in milliseconds of the process's clock.
    pub at_ms: u64,
    /// Time from arrival to being sent, or to the refusal.
    pub waited_ms: u64,
    /// Time from arrival to the end.
    pub took_ms: u64,
    /// Time allowed.
    pub deadline_ms: u64,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Hash chain over the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Length of the answer, as far as it came.
    pub output_tokens: u32,
    /// Prompt tokens computed, as the engine said.
    pub prefill_tokens: u32,
    /// Whether a second run would do no harm.
    pub repeatable: bool,
}

/// The last requests that ended.
#[derive(Debug)]
pub struct Recorder {
    capacity: usize,
    ended: Mutex<VecDeque<EndedRequest>>,
}

impl Recorder {
    /// Creates one that keeps up to `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ended: Mutex::default(),
        }
    }

    /// Takes a request in.
    pub fn add(&self, request: EndedRequest) {
        if self.capacity == 0 {
            return;
        }
        let mut ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        if ended.len() == self.capacity {
            ended.pop_front();
        }
        ended.push_back(request);
    }

    /// Returns the requests, the oldest first.
    pub fn snapshot(&self) -> Vec<EndedRequest> {
        let ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        ended.iter().cloned().collect()
    }
}
