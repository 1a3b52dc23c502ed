//! Which requests are blocked: those under which endpoints crashed, and those with a part of the prompt under which
//! endpoints crashed whenever they began to answer.

use std::sync::MutexGuard;

use crate::{
    balance::prefixes::PromptPart,
    gateway::{
        attempt::Job,
        crash_check::LostRun,
        protocol::Protocol,
        state::{Gateway, lock},
    },
    limits::{
        fingerprint::Fingerprint,
        part_suspects::{BlockedPart, PROVEN_AFTER_US, PartId, PartSuspects},
    },
    prelude::Micros,
};

/// Reason for refusing a request that crashed the endpoints that ran it.
pub const ENDS_ENDPOINTS: &str = "ends_endpoints";
/// Reason for refusing a request with a part of its prompt that crashed the endpoints that began to answer it.
pub const PART_ENDS_ENDPOINTS: &str = "part_ends_endpoints";

/// Why a request is blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Block {
    /// Endpoints crashed while they ran the request itself.
    Request {
        /// For how much longer it is blocked.
        left_us: Micros,
    },
    /// Endpoints crashed while they began to answer requests with a part of its prompt.
    Part(BlockedPart),
}

impl Block {
    /// Returns for how much longer it lasts.
    pub fn left_us(self) -> Micros {
        match self {
            Self::Request { left_us } => left_us,
            Self::Part(blocked) => blocked.left_us,
        }
    }

    /// Returns the reason in logs and refusals.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Request { .. } => ENDS_ENDPOINTS,
            Self::Part(_) => PART_ENDS_ENDPOINTS,
        }
    }

    /// Returns whether a reason is that of a block.
    pub fn is_reason(reason: &str) -> bool {
        [ENDS_ENDPOINTS, PART_ENDS_ENDPOINTS].contains(&reason)
    }
}

/// Whether a request that has arrived may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It is not blocked.
    Admitted,
    /// A part of its prompt is blocked, and it is to show whether that is still needed.
    Trial,
    /// It is blocked.
    Blocked(Block),
}

impl<P: Protocol> Gateway<P> {
    /// Locks the table of parts suspected of crashing endpoints. The guard must not be held across an await.
    pub fn part_suspects(&self) -> MutexGuard<'_, PartSuspects> {
        lock(&self.part_suspects)
    }

    /// Returns for how much longer a request is blocked because endpoints crashed while running it, or `None` if it is
    /// not blocked. `fingerprint` is called only while some request is suspected.
    pub fn blocked_us(&self, fingerprint: impl FnOnce() -> Fingerprint) -> Option<Micros> {
        if self.suspects().is_empty() {
            return None;
        }
        let fingerprint = fingerprint();
        let endpoints = self.balancer().endpoint_count();
        let now_us = self.clock.now_us();
        let parts = self.part_suspects();
        let is_explained = |endpoint| parts.explains(now_us, endpoint);
        let suspects = self.suspects();
        suspects.blocked_us_unless(now_us, fingerprint, endpoints, is_explained)
    }

    /// Decides on a request that has arrived.
    pub fn check_arrival(
        &self,
        parts: &[PromptPart],
        fingerprint: impl FnOnce() -> Fingerprint,
    ) -> Arrival {
        if let Some(left_us) = self.blocked_us(fingerprint) {
            return Arrival::Blocked(Block::Request { left_us });
        }
        let now_us = self.clock.now_us();
        let mut suspects = self.part_suspects();
        match suspects.blocked(now_us, parts) {
            None => Arrival::Admitted,
            Some(blocked)
                if self.leads_trials(blocked.part) && suspects.take_trial(now_us, blocked.part) =>
            {
                Arrival::Trial
            }
            Some(blocked) => Arrival::Blocked(Block::Part(blocked)),
        }
    }

    /// Returns whether this instance is the one that lets requests with a blocked part through as trials.
    fn leads_trials(&self, part: PartId) -> bool {
        self.view().leads(&format!("part {part}"))
    }

    /// Returns why a request is blocked, if it is. A trial is not blocked by the parts of its prompt.
    pub fn block_of(&self, job: &Job) -> Option<Block> {
        if let Some(left_us) = self.blocked_us(|| job.fingerprint()) {
            return Some(Block::Request { left_us });
        }
        if job.is_trial {
            return None;
        }
        let now_us = self.clock.now_us();
        let blocked = self.part_suspects().blocked(now_us, &job.head.parts);
        blocked.map(Block::Part)
    }

    /// Returns whether a request, or a part of its prompt, is suspected of crashing endpoints.
    pub fn is_suspected(&self, job: &Job) -> bool {
        // The two tables are never locked in this order at the same time.
        let is_suspected = self.suspects().is_suspected(job.fingerprint());
        is_suspected || self.part_suspects().is_suspected(&job.head.parts)
    }

    /// Notes that an endpoint crashed while a request ran there; returns the number of crashes under the request.
    pub fn note_crash(&self, job: &Job, lost: &LostRun) -> usize {
        let now_us = self.clock.now_us();
        let (fingerprint, endpoint) = (job.fingerprint(), lost.choice.key);
        let has_begun = lost.answering_us.is_some_and(|us| us >= PROVEN_AFTER_US);
        if !has_begun {
            let parts = &job.head.parts;
            self.part_suspects()
                .note_crash(now_us, parts, fingerprint, endpoint);
            self.log_blocked_parts();
        }
        let mut suspects = self.suspects();
        suspects.note_crash(now_us, fingerprint, endpoint);
        suspects.crashes(fingerprint)
    }

    /// Notes that a request ran to completion.
    pub fn note_request_completed(&self, job: &Job) {
        let now_us = self.clock.now_us();
        self.suspects().note_completed(now_us, job.fingerprint());
        self.note_parts_answered(job);
    }

    /// Notes that an endpoint has answered a request for long enough that the parts of its prompt do not crash it.
    pub fn note_parts_answered(&self, job: &Job) {
        let now_us = self.clock.now_us();
        self.part_suspects().note_answered(now_us, &job.head.parts);
    }

    /// Logs the parts that are blocked from now on.
    pub fn log_blocked_parts(&self) {
        let now_us = self.clock.now_us();
        let blocked = self.part_suspects().take_newly_blocked(now_us);
        for (part, crashes) in blocked {
            log::warn!(
                target: "ryevalve::request",
                part = part.to_string(), crashes;
                "part_blocked"
            );
        }
    }
}
