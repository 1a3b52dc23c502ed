//! Keeps the most recently ended requests, for operators and as a trace to replay.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

use serde::{Deserialize, Serialize};

use crate::prelude::{Name, RequestId};

/// A request that ended. Contains no text of the caller's prompt or body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedRequest {
    /// Request id.
    pub id: RequestId,
    /// Organisation of the caller.
    pub organisation: Name,
    /// Tier of the request.
    pub tier: Name,
    /// Called service.
    pub service: Name,
    /// Pool slice that served the request.
    pub pool: Name,
    /// Endpoint that the request was sent to, if any.
    pub endpoint: Option<Name>,
    /// Outcome: `in_time`, `late`, `not_run`, `outcome_unknown` or `caller_left`.
    pub outcome: Name,
    /// Reason code, if it was refused or failed.
    pub reason: Option<Name>,
    /// Arrival time, in milliseconds of the process's clock.
    pub at_ms: u64,
    /// Time from arrival until the request was sent or refused, in milliseconds.
    pub waited_ms: u64,
    /// Time from arrival until the request ended, in milliseconds.
    pub took_ms: u64,
    /// Time from arrival to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Hash chain over the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Answer length, in tokens; 0 if the request did not finish.
    pub output_tokens: u32,
    /// Number of prompt tokens that the engine computed rather than took from its cache. If the engine did not
    /// report it, the prompt length or, if nothing was computed, 0.
    pub prefill_tokens: u32,
    /// Whether the request is idempotent, so that it may run more than once.
    pub repeatable: bool,
}

/// A bounded buffer of the most recently ended requests.
#[derive(Debug)]
pub struct Recorder {
    capacity: usize,
    ended: Mutex<VecDeque<EndedRequest>>,
}

impl Recorder {
    /// Creates a recorder that keeps up to `capacity` requests; 0 turns recording off.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ended: Mutex::default(),
        }
    }

    /// Records a request and drops the oldest if the recorder is full.
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

    /// Returns the recorded requests, oldest first.
    pub fn snapshot(&self) -> Vec<EndedRequest> {
        let ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        ended.iter().cloned().collect()
    }
}
