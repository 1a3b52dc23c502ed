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
/// While a proven part is blocked, a request with it is let through at these times after the block, so that a wrong block
/// ends. Each may crash one more endpoint.
const TRIALS_US: [Micros; 2] = [5_000_000, 20_000_000];
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

/// The trials of a blocked part.
#[derive(Clone, Copy, Debug)]
struct Trials {
    /// When the part was first refused.
    since_us: Micros,
    /// Number of requests let through since.
    taken: usize,
}

/// The parts of prompts under which endpoints crashed recently.
#[derive(Debug, Default)]
pub struct PartSuspects {
    table: SuspectTable<PartId>,
    /// When a request with a part was last answered.
    proven: HashMap<PartId, Micros>,
    /// The trials of blocked parts at this instance.
    trials: HashMap<PartId, Trials>,
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

    /// Returns whether a request with a blocked part is let through as a trial. Only one instance of a group takes
    /// trials, and parts that were never answered get none.
    pub fn take_trial(&mut self, now_us: Micros, part: PartId) -> bool {
        if !self.is_proven(now_us, part) {
            return false;
        }
        let trials = self.trials.entry(part).or_insert(Trials {
            since_us: now_us,
            taken: 0,
        });
        let due_us = TRIALS_US.get(trials.taken);
        let is_due = due_us.is_some_and(|due_us| now_us >= trials.since_us + due_us);
        trials.taken += usize::from(is_due);
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
        let explained = self.crashes_of_stronger(part, crashes);
        let own = self.table.uncleared_crashes(part);
        let unexplained = own.filter(|c| !explained.contains(&c.endpoint));
        unexplained.count() >= needed
    }

    /// Returns the endpoints that crashed under other parts with more crashes than `crashes`.
    fn crashes_of_stronger(&self, part: PartId, crashes: usize) -> HashSet<EndpointKey> {
        let stronger = self.table.with_crashes(crashes + 1);
        let stronger = stronger.filter(|other| *other != part && self.requests(*other) >= CRASHES);
        let crashes = stronger.flat_map(|other| self.table.uncleared_crashes(other));
        crashes.map(|crash| crash.endpoint).collect()
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
        let table = &self.table;
        self.trials.retain(|part, _| table.is_suspected(*part));
    }
}

/// Returns the parts of a prompt that a crash may be held against.
fn candidates(parts: &[PromptPart]) -> impl Iterator<Item = PartId> {
    let shared = prefixes::shared_parts(parts).iter().take(MAX_PARTS);
    shared.map(|part| PartId(part.id))
}
