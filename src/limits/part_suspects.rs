//! Finds the parts of prompts that crash the endpoints which begin to answer a request with them.
//!
//! Requests with a bad part may differ in everything else, and requests of others share their other parts. At a crash
//! each part of the requests that had just begun there is a candidate; the next answer to a request with the part
//! clears it. A part is blocked once several endpoints crashed under different requests with it and none was answered.
//! Parts that are in use all the time are cleared all the time; those that were at the same crashes by chance are
//! explained by the one that was at more of them.

use std::{
    collections::{HashMap, HashSet},
    fmt,
};

use serde::{Deserialize, Serialize};

use crate::{
    balance::{
        load::EndpointKey,
        prefixes::{self, PromptPart},
    },
    limits::{
        dissemination::Audience,
        fingerprint::Fingerprint,
        suspects::{SuspectKey, SuspectTable, SuspectUpdate},
    },
    prelude::Micros,
};

/// A part is blocked after this many crashes under as many different requests.
const CRASHES: usize = 3;
/// The same for a part with which requests were answered before: the endpoints may crash for a reason of their own.
const CRASHES_OF_PROVEN_PART: usize = 6;
/// How long a part counts as proven after a request with it was answered.
const PROVEN_US: Micros = 60_000_000;
/// While a proven part is blocked, one request with it is let through after this time, so that a wrong block ends.
const TRIAL_INTERVAL_US: Micros = 5_000_000;
/// The most proven parts that are stored, about 50 bytes each.
const MAX_PROVEN: usize = 8_192;
/// The most parts of one prompt that are looked at; prompts have two or three.
const MAX_PARTS: usize = 32;
/// A request that is lost later than this after its answer began is no sign against its parts; one that lasts longer
/// clears them. Endpoints that crash at the start of an answer may have sent its first event.
pub const PROVEN_AFTER_US: Micros = 500_000;

/// The id of a part of prompts.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct PartId(pub u64);

impl SuspectKey for PartId {}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// What is known of a part, as instances send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartUpdate {
    suspect: SuspectUpdate<PartId>,
    /// The tags of the requests, one for each crash.
    request_tags: Vec<u32>,
}

impl PartUpdate {
    /// Returns whether it says the same of the same part, whatever its age.
    pub fn has_same_crashes(&self, other: &Self) -> bool {
        self.suspect.has_same_crashes(&other.suspect) && self.request_tags == other.request_tags
    }

    /// Returns it with its age increased.
    pub fn aged(mut self, by_s: u64) -> Self {
        self.suspect = self.suspect.aged(by_s);
        self
    }
}

impl From<SuspectUpdate<PartId>> for PartUpdate {
    fn from(mut suspect: SuspectUpdate<PartId>) -> Self {
        let crashes = suspect.crashes.iter_mut();
        let request_tags = crashes
            .map(|c| std::mem::take(&mut c.request_tag))
            .collect();
        Self {
            suspect,
            request_tags,
        }
    }
}

impl From<PartUpdate> for SuspectUpdate<PartId> {
    fn from(update: PartUpdate) -> Self {
        let mut suspect = update.suspect;
        for (crash, tag) in suspect.crashes.iter_mut().zip(update.request_tags) {
            crash.request_tag = tag;
        }
        suspect
    }
}

/// A part that is blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockedPart {
    /// Its id.
    pub part: PartId,
    /// For how much longer it is blocked.
    pub left_us: Micros,
}

/// The parts of prompts under which endpoints crashed recently.
#[derive(Debug, Default)]
pub struct PartSuspects {
    table: SuspectTable<PartId>,
    /// When a request with a part was last answered.
    proven: HashMap<PartId, Micros>,
    /// When a request with a blocked part was last let through.
    trials: HashMap<PartId, Micros>,
    /// Parts that were blocked when this was last asked.
    reported: HashSet<PartId>,
}

impl PartSuspects {
    /// Returns whether no part is suspected.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the number of stored parts, cleared ones included.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether a part of a prompt has uncleared crashes.
    pub fn is_suspected(&self, parts: &[PromptPart]) -> bool {
        !self.is_empty() && candidates(parts).any(|part| self.table.is_suspected(part))
    }

    /// Notes that an endpoint crashed while it began to answer a request, or before.
    pub fn note_crash(
        &mut self,
        now_us: Micros,
        parts: &[PromptPart],
        request: Fingerprint,
        endpoint: EndpointKey,
    ) {
        for part in candidates(parts) {
            self.table
                .note_crash_of(now_us, part, endpoint, request.0 as u32);
        }
    }

    /// Notes that an endpoint has answered a request, or has gone on answering it for [`PROVEN_AFTER_US`].
    pub fn note_answered(&mut self, now_us: Micros, parts: &[PromptPart]) {
        for part in candidates(parts) {
            if self.proven.len() < MAX_PROVEN || self.proven.contains_key(&part) {
                self.proven.insert(part, now_us);
            }
            self.table.note_completed(now_us, part);
        }
    }

    /// Returns the blocked part of a prompt, if there is one.
    pub fn blocked(&self, now_us: Micros, parts: &[PromptPart]) -> Option<BlockedPart> {
        if self.is_empty() {
            return None;
        }
        let blocked = candidates(parts).find(|part| self.is_blocked(now_us, *part));
        blocked.and_then(|part| {
            let left_us = self.table.block_left_us(now_us, part)?;
            Some(BlockedPart { part, left_us })
        })
    }

    /// Returns whether a request with a blocked part is let through as a trial. Parts that were never answered get
    /// none: each trial may crash one more endpoint.
    pub fn take_trial(&mut self, now_us: Micros, part: PartId) -> bool {
        if !self.is_proven(now_us, part) {
            return false;
        }
        let last_us = *self.trials.entry(part).or_insert(now_us);
        let is_due = now_us.saturating_sub(last_us) >= TRIAL_INTERVAL_US;
        if is_due {
            self.trials.insert(part, now_us);
        }
        is_due
    }

    /// Returns whether a crash of an endpoint is explained by a blocked part.
    pub fn explains(&self, now_us: Micros, endpoint: EndpointKey) -> bool {
        let mut blocked = self
            .table
            .with_crashes(CRASHES)
            .filter(|part| self.is_blocked(now_us, *part));
        blocked.any(|part| {
            self.table
                .uncleared_crashes(part)
                .any(|c| c.endpoint == endpoint)
        })
    }

    /// Returns the parts that are blocked and were not when this was last called, each with its number of crashes.
    pub fn take_newly_blocked(&mut self, now_us: Micros) -> Vec<(PartId, usize)> {
        if self.is_empty() && self.reported.is_empty() {
            return Vec::new();
        }
        let blocked = self.table.with_crashes(CRASHES);
        let blocked: HashSet<PartId> = blocked.filter(|p| self.is_blocked(now_us, *p)).collect();
        let new = blocked.difference(&self.reported);
        let new = new.map(|part| (*part, self.table.crashes(*part))).collect();
        self.reported = blocked;
        new
    }

    fn is_proven(&self, now_us: Micros, part: PartId) -> bool {
        let answered_us = self.proven.get(&part);
        answered_us.is_some_and(|at_us| now_us.saturating_sub(*at_us) < PROVEN_US)
    }

    fn is_blocked(&self, now_us: Micros, part: PartId) -> bool {
        let needed = match self.is_proven(now_us, part) {
            true => CRASHES_OF_PROVEN_PART,
            false => CRASHES,
        };
        let crashes = self.table.crashes(part);
        if crashes < needed || self.requests(part) < CRASHES {
            return false;
        }
        let own = self.table.uncleared_crashes(part);
        let unexplained = own.filter(|c| !self.is_explained(part, crashes, c.endpoint));
        unexplained.count() >= needed
    }

    /// Returns whether another part was at an endpoint's crash that was at more crashes than `crashes`.
    fn is_explained(&self, part: PartId, crashes: usize, endpoint: EndpointKey) -> bool {
        let mut others = self.table.with_crashes(crashes + 1);
        others.any(|other| {
            other != part
                && self.requests(other) >= CRASHES
                && self
                    .table
                    .uncleared_crashes(other)
                    .any(|c| c.endpoint == endpoint)
        })
    }

    /// Returns the number of different requests with a part under which endpoints crashed.
    fn requests(&self, part: PartId) -> usize {
        let crashes = self.table.uncleared_crashes(part);
        let tags: HashSet<u32> = crashes.map(|c| c.request_tag).collect();
        tags.len()
    }

    /// Returns whether something changed that should be sent at once, and resets that flag.
    pub fn take_has_changes(&mut self) -> bool {
        self.table.take_has_changes()
    }

    /// Returns the updates that are due to an audience in this round.
    pub fn take_due_updates(&mut self, now_us: Micros, audience: Audience) -> Vec<PartUpdate> {
        let due = self.table.take_due_updates(now_us, audience);
        due.into_iter().map(PartUpdate::from).collect()
    }

    /// Merges updates from another instance.
    pub fn apply_updates(&mut self, now_us: Micros, updates: Vec<PartUpdate>) {
        let updates: Vec<_> = updates.into_iter().map(SuspectUpdate::from).collect();
        self.table.apply_updates(now_us, &updates);
    }

    /// Returns what to persist for instances that start when no other is left.
    pub fn to_persist(&self, now_us: Micros) -> Vec<PartUpdate> {
        let persisted = self.table.to_persist(now_us).into_iter();
        persisted.map(PartUpdate::from).collect()
    }

    /// Drops everything that is too old to matter.
    pub fn expire(&mut self, now_us: Micros) {
        self.table.expire(now_us);
        let is_current = |at_us: Micros| now_us.saturating_sub(at_us) < PROVEN_US;
        self.proven.retain(|_, at_us| is_current(*at_us));
        self.trials.retain(|_, at_us| is_current(*at_us));
    }
}

/// Returns the parts of a prompt that a crash may be held against.
fn candidates(parts: &[PromptPart]) -> impl Iterator<Item = PartId> {
    let shared = prefixes::shared_parts(parts).iter().take(MAX_PARTS);
    shared.map(|part| PartId(part.id))
}
