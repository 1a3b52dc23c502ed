//! Finds the requests that crash the endpoints that run them, and blocks them on all instances.
//!
//! An endpoint that crashes breaks all requests that run there. One of them may be the cause and would crash the next
//! endpoint as well; the others complete elsewhere. So a request is blocked once several endpoints crashed under it and
//! it completed nowhere. One completed run at any instance clears it of all crashes. A completed run shortly before a
//! crash counts as well: a request that many callers send runs on many endpoints when they crash, and once it is
//! blocked no run could clear it.
//!
//! The same table holds crashes against parts of prompts, which [`crate::limits::part_suspects`] blocks by rules of its
//! own.
//!
//! The state of a request is a set of crashes, each cleared or not. Crashes are only added, and a cleared one stays
//! cleared, so updates between instances may be reordered, delayed or duplicated. Uses no clock or socket, so that
//! tests can drive it step by step.

use std::{cmp::Reverse, collections::HashMap, hash::Hash};

use serde::{Deserialize, Serialize};

use crate::{
    balance::load::EndpointKey,
    limits::{
        dissemination::{Audience, Dissemination},
        fingerprint::Fingerprint,
    },
    prelude::Micros,
};

/// A request is blocked after this many uncleared crashes. In a simulation of 18 endpoints, one of which crashes by
/// itself each second, 1,663 requests ran on a crashing endpoint (eight runs of 35 s): none of them was at three, and 4
/// would have been blocked after two. With twelve requests that crash endpoints, 477 others would have been blocked
/// after two and none after three.
const CERTAIN_CRASHES: usize = 3;
/// This many are enough while few other endpoints crash, because then a coincidence is unlikely. In the simulation a
/// request that crashes endpoints reaches 2.8 of them with this rule and 3.5 without it, and 14 other requests break
/// instead of 18.
const LIKELY_CRASHES: usize = 2;
/// Few means less than this share of all endpoints within [`OTHERS_WINDOW_US`]. With it the simulation blocks 2 of
/// 5,590 other requests beside the twelve that crash endpoints, and none where endpoints crash by themselves.
const OTHERS_SHARE: f64 = 0.2;
const OTHERS_WINDOW_US: Micros = 10_000_000;
/// How long a request stays blocked after the last crash under it. So nobody has to unblock it once the endpoints
/// are fixed; a request that still crashes them reaches two or three of them each time.
const BLOCKED_US: Micros = 600_000_000;
/// Entries that are about to expire are no longer sent: instances that drop them at different moments would restore
/// each other's entries for ever.
const RESENT_UNTIL_US: Micros = BLOCKED_US - 30_000_000;
/// How long a cleared request is stored: far longer than updates on its crashes can be delayed.
const CLEARED_EXPIRY_US: Micros = 60_000_000;
/// A request that completed this shortly before a crash is not its cause. This delays the blocking of a request that
/// completed at first and crashes endpoints later on. In a simulation without it, two requests that came to seven
/// instances at once and crashed eight endpoints led to the refusal of 994 of 1,041 harmless requests of one kind.
const TRUST_AFTER_COMPLETION_US: Micros = 2_000_000;
/// How long a completed run is stored. Instances that suspect the request resend its crashes each 1.5 s, and receive
/// in return that those came shortly after a completed run.
const COMPLETED_EXPIRY_US: Micros = 10_000_000;
/// The most completed runs that are stored, about 50 bytes each: ten seconds of 400 requests a second. Computing a
/// fingerprint takes 1.4 µs per kilobyte for a body of 30 KB, about 10 µs for a usual prompt.
const MAX_COMPLETED: usize = 4_096;
/// The most crashes that are stored per suspect: more than are needed to block it, since those stored for a part of
/// prompts also explain the crashes under other suspects.
const MAX_CRASHES: usize = 12;
/// The most suspects that are stored, about 150 bytes each. A crashing endpoint adds some tens of them; those with
/// one crash are evicted first.
const MAX_SUSPECTS: usize = 4_096;
/// Suspects are evicted in batches, so that the cost in a flood of them is some microseconds per request.
const EVICTION_BATCH: usize = MAX_SUSPECTS / 8;
/// The most recently crashed endpoints that are stored; more than there are in a large deployment.
const MAX_CRASHED: usize = 2_048;
/// The most suspects in one datagram, about 25 bytes each.
const MAX_UPDATES: usize = 16;

/// The most suspects that are persisted for instances that start when no other is left, about 30 bytes each.
const MAX_PERSISTED: usize = 1_000;

/// A time on this process's clock, in microseconds; negative before the start of the clock. What others noted may be older
/// than this process.
type SignedMicros = i64;

/// Returns the time since `at_us`, 0 if that is in the future.
fn age_us(now_us: Micros, at_us: SignedMicros) -> Micros {
    let age_us = (now_us as SignedMicros).saturating_sub(at_us);
    Micros::try_from(age_us).unwrap_or(0)
}

/// What a crash is held against: a request, or a part of prompts.
pub trait SuspectKey: Copy + Ord + Hash {}

impl SuspectKey for Fingerprint {}

/// A crash of an endpoint while a request ran there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The start of the endpoint.
    pub endpoint: EndpointKey,
    /// The request completed elsewhere, so it is not the cause.
    pub is_cleared: bool,
    /// Tells requests apart where the suspect is a part of several. Not sent with this struct.
    #[serde(skip)]
    pub request_tag: u32,
}

/// What is known of a suspect, as instances send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate<K = Fingerprint> {
    /// The suspect.
    #[serde(rename = "fingerprint")]
    pub key: K,
    /// The time since its set of crashes last changed, in seconds.
    pub age_s: u16,
    /// The crashes under it.
    #[serde(rename = "endings")]
    pub crashes: Vec<Crash>,
}

impl<K: PartialEq> SuspectUpdate<K> {
    /// Returns whether it says the same of the same suspect, whatever its age.
    pub fn has_same_crashes(&self, other: &Self) -> bool {
        self.key == other.key && self.crashes == other.crashes
    }

    /// Returns it with its age increased.
    pub fn aged(mut self, by_s: u64) -> Self {
        self.age_s = u16::try_from(by_s + u64::from(self.age_s)).unwrap_or(u16::MAX);
        self
    }
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: Vec<Crash>,
    /// When a crash was last added or cleared.
    changed_us: SignedMicros,
    dissemination: Dissemination,
}

impl Suspect {
    fn uncleared(&self) -> usize {
        self.crashes.iter().filter(|c| !c.is_cleared).count()
    }

    /// Adds a crash, or marks a known one as cleared; returns whether anything changed.
    fn merge(&mut self, new: Crash) -> bool {
        let known = self.crashes.iter_mut().find(|c| c.endpoint == new.endpoint);
        if let Some(known) = known {
            let is_newly_cleared = new.is_cleared && !known.is_cleared;
            known.is_cleared |= new.is_cleared;
            return is_newly_cleared;
        }
        if self.crashes.len() >= MAX_CRASHES {
            let cleared = self.crashes.iter().position(|c| c.is_cleared);
            let Some(cleared) = cleared else {
                // All stored crashes are uncleared, so the request is blocked already.
                return false;
            };
            self.crashes.remove(cleared);
        }
        self.crashes.push(new);
        true
    }

    fn to_update<K>(&self, now_us: Micros, key: K) -> SuspectUpdate<K> {
        let age_us = age_us(now_us, self.changed_us);
        SuspectUpdate {
            key,
            age_s: u16::try_from(age_us / 1_000_000).unwrap_or(u16::MAX),
            crashes: self.crashes.clone(),
        }
    }

    fn clears_more_than(&self, theirs: &[Crash]) -> bool {
        let cleared = self.crashes.iter().filter(|c| c.is_cleared);
        let mut cleared = cleared.map(|c| c.endpoint);
        cleared.any(|endpoint| {
            theirs
                .iter()
                .any(|t| t.endpoint == endpoint && !t.is_cleared)
        })
    }

    fn is_current(&self, now_us: Micros) -> bool {
        let expiry_us = match self.uncleared() {
            0 => CLEARED_EXPIRY_US,
            _ => BLOCKED_US,
        };
        age_us(now_us, self.changed_us) < expiry_us
    }

    /// Returns whether it is resent periodically.
    fn is_resent(&self, now_us: Micros) -> bool {
        let age_us = age_us(now_us, self.changed_us);
        self.uncleared() >= LIKELY_CRASHES && age_us < RESENT_UNTIL_US
    }

    fn is_due(&self, now_us: Micros, audience: Audience) -> bool {
        self.dissemination
            .is_due(now_us, audience, self.is_resent(now_us))
    }
}

/// The requests, or other suspects, under which endpoints crashed recently.
#[derive(Debug)]
pub struct SuspectTable<K = Fingerprint> {
    suspects: HashMap<K, Suspect>,
    /// When endpoints crashed recently, whichever requests ran there.
    crashed: HashMap<EndpointKey, SignedMicros>,
    /// When requests last completed, for those that did recently.
    completed: HashMap<K, Micros>,
    has_changes: bool,
}

impl<K> Default for SuspectTable<K> {
    fn default() -> Self {
        Self {
            suspects: HashMap::new(),
            crashed: HashMap::new(),
            completed: HashMap::new(),
            has_changes: false,
        }
    }
}

impl<K: SuspectKey> SuspectTable<K> {
    /// Returns whether no request is stored.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of stored requests, cleared ones included.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether a request has uncleared crashes.
    pub fn is_suspected(&self, key: K) -> bool {
        self.crashes(key) > 0
    }

    /// Returns the number of uncleared crashes of a request.
    pub fn crashes(&self, key: K) -> usize {
        let suspect = self.suspects.get(&key);
        suspect.map_or(0, Suspect::uncleared)
    }

    /// Returns for how much longer a request is blocked, in microseconds; `None` if it is not. `endpoints` is the
    /// number of endpoints.
    pub fn blocked_us(&self, now_us: Micros, key: K, endpoints: usize) -> Option<Micros> {
        self.blocked_us_unless(now_us, key, endpoints, |_| false)
    }

    /// Like [`Self::blocked_us`], without the crashes of endpoints for which `is_explained` holds: they have another
    /// cause.
    pub fn blocked_us_unless(
        &self,
        now_us: Micros,
        key: K,
        endpoints: usize,
        is_explained: impl Fn(EndpointKey) -> bool,
    ) -> Option<Micros> {
        let left_us = self.block_left_us(now_us, key)?;
        let suspect = self.suspects.get(&key)?;
        let crashes = suspect.crashes.iter().filter(|c| !c.is_cleared);
        let crashes = crashes.filter(|c| !is_explained(c.endpoint)).count();
        let few = endpoints as f64 * OTHERS_SHARE;
        let is_blocked = crashes >= CERTAIN_CRASHES
            || (crashes >= LIKELY_CRASHES && (self.other_crashes(now_us, suspect) as f64) < few);
        is_blocked.then_some(left_us)
    }

    /// Returns how long it takes until a suspect is forgotten, if it does not change before.
    pub fn block_left_us(&self, now_us: Micros, key: K) -> Option<Micros> {
        let suspect = self.suspects.get(&key)?;
        BLOCKED_US.checked_sub(age_us(now_us, suspect.changed_us))
    }

    /// Returns the uncleared crashes of a suspect.
    pub fn uncleared_crashes(&self, key: K) -> impl Iterator<Item = &Crash> {
        let suspect = self.suspects.get(&key).into_iter();
        suspect.flat_map(|s| &s.crashes).filter(|c| !c.is_cleared)
    }

    /// Returns the suspects that have at least so many uncleared crashes.
    pub fn with_crashes(&self, at_least: usize) -> impl Iterator<Item = K> {
        let suspects = self.suspects.iter();
        let suspects = suspects.filter(move |(_, s)| s.uncleared() >= at_least);
        suspects.map(|(key, _)| *key)
    }

    /// Returns how many endpoints crashed recently without this request running there.
    fn other_crashes(&self, now_us: Micros, suspect: &Suspect) -> usize {
        let is_recent = |at_us| age_us(now_us, at_us) < OTHERS_WINDOW_US;
        let recent = self.crashed.iter().filter(|(_, at_us)| is_recent(**at_us));
        let others = recent.filter(|(key, _)| suspect.crashes.iter().all(|c| c.endpoint != **key));
        others.count()
    }

    /// Notes that an endpoint crashed while a request ran there.
    pub fn note_crash(&mut self, now_us: Micros, key: K, endpoint: EndpointKey) {
        self.note_crash_of(now_us, key, endpoint, 0);
    }

    /// Notes that an endpoint crashed while a request ran there of which the suspect is a part.
    pub fn note_crash_of(
        &mut self,
        now_us: Micros,
        key: K,
        endpoint: EndpointKey,
        request_tag: u32,
    ) {
        let at_us = now_us as SignedMicros;
        let crash = Crash {
            endpoint,
            is_cleared: self.is_trusted(at_us, key),
            request_tag,
        };
        if self.merge(at_us, key, &[crash]) {
            self.schedule_update(key, Audience::Peers);
        }
    }

    /// Notes that a request completed, and clears it of its crashes.
    pub fn note_completed(&mut self, now_us: Micros, key: K) {
        if self.completed.len() < MAX_COMPLETED || self.completed.contains_key(&key) {
            self.completed.insert(key, now_us);
        }
        self.clear(now_us, key);
    }

    /// Returns whether a request completed here shortly before `at_us`, or later.
    fn is_trusted(&self, at_us: SignedMicros, key: K) -> bool {
        let completed_us = self.completed.get(&key);
        completed_us.is_some_and(|completed_us| {
            at_us < (*completed_us + TRUST_AFTER_COMPLETION_US) as SignedMicros
        })
    }

    fn clear(&mut self, now_us: Micros, key: K) {
        let Some(suspect) = self.suspects.get_mut(&key) else {
            return;
        };
        if suspect.uncleared() == 0 {
            return;
        }
        for crash in &mut suspect.crashes {
            crash.is_cleared = true;
        }
        suspect.changed_us = now_us as SignedMicros;
        suspect.dissemination.mark_changed(Audience::Hall);
        self.schedule_update(key, Audience::Peers);
    }

    /// Merges updates from another instance. Changes are passed on to the hall; other peers receive them from the
    /// instance that found them. If the sender counts crashes that are cleared here, an update is scheduled for it.
    pub fn apply_updates(&mut self, now_us: Micros, updates: &[SuspectUpdate<K>]) {
        for update in updates {
            let changed_us = now_us as SignedMicros - SignedMicros::from(update.age_s) * 1_000_000;
            self.merge(changed_us, update.key, &update.crashes);
            if self.is_trusted(changed_us, update.key) {
                self.clear(now_us, update.key);
            }
            let known = self.suspects.get(&update.key);
            if known.is_some_and(|known| known.clears_more_than(&update.crashes)) {
                self.schedule_update(update.key, Audience::Peers);
                self.schedule_update(update.key, Audience::Hall);
            }
        }
    }

    /// Adds crashes to a request; returns whether anything changed.
    fn merge(&mut self, at_us: SignedMicros, key: K, crashes: &[Crash]) -> bool {
        if !self.suspects.contains_key(&key) {
            self.make_room();
        }
        let suspect = self.suspects.entry(key).or_insert_with(|| Suspect {
            changed_us: at_us,
            ..Suspect::default()
        });
        let mut is_new = false;
        for crash in crashes {
            is_new |= suspect.merge(*crash);
        }
        if is_new {
            suspect.changed_us = suspect.changed_us.max(at_us);
            suspect.dissemination.mark_changed(Audience::Hall);
            self.has_changes = true;
        }
        for crash in crashes {
            self.note_crashed(at_us, crash.endpoint);
        }
        is_new
    }

    fn note_crashed(&mut self, at_us: SignedMicros, endpoint: EndpointKey) {
        // Beyond this number the exact count makes no difference.
        if self.crashed.len() < MAX_CRASHED {
            self.crashed.entry(endpoint).or_insert(at_us);
        }
    }

    fn schedule_update(&mut self, key: K, audience: Audience) {
        if let Some(suspect) = self.suspects.get_mut(&key) {
            suspect.dissemination.mark_changed(audience);
            self.has_changes = true;
        }
    }

    /// If the table is full, evicts the requests with the fewest crashes, and of these the ones that changed longest
    /// ago.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let eviction_key = |s: &Suspect| (s.uncleared().min(CERTAIN_CRASHES), s.changed_us);
        let all = self.suspects.iter();
        let mut all: Vec<_> = all.map(|(k, s)| (eviction_key(s), *k)).collect();
        all.select_nth_unstable(EVICTION_BATCH);
        for (_, key) in &all[..EVICTION_BATCH] {
            self.suspects.remove(key);
        }
    }

    /// Returns whether something changed that should be sent at once, and resets that flag.
    pub fn take_has_changes(&mut self) -> bool {
        std::mem::take(&mut self.has_changes)
    }

    /// Returns the updates that are due to an audience in this round.
    pub fn take_due_updates(
        &mut self,
        now_us: Micros,
        audience: Audience,
    ) -> Vec<SuspectUpdate<K>> {
        let due = self.suspects.iter_mut();
        let due = due.filter(|(_, s)| s.is_due(now_us, audience));
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(_, s)| {
            let (is_unchanged, sent_us) = s.dissemination.sort_key(audience);
            // What is nearest to being blocked is not delayed by the many others that ran on the same endpoints.
            (is_unchanged, Reverse(s.uncleared()), sent_us)
        });
        let updates = due.into_iter().take(MAX_UPDATES);
        let updates = updates.map(|(key, suspect)| {
            suspect.dissemination.note_sent(now_us, audience);
            suspect.to_update(now_us, *key)
        });
        updates.collect()
    }

    /// Returns what to persist for instances that start when no other is left: the suspects that are blocked or one
    /// crash away from it, the latest ones if there are many, sorted by key.
    pub fn to_persist(&self, now_us: Micros) -> Vec<SuspectUpdate<K>> {
        let persisted = self.suspects.iter().filter(|(_, s)| s.is_resent(now_us));
        let mut persisted: Vec<_> = persisted.collect();
        persisted.sort_unstable_by_key(|(_, s)| Reverse(s.changed_us));
        persisted.truncate(MAX_PERSISTED);
        persisted.sort_unstable_by_key(|(key, _)| **key);
        let updates = persisted.into_iter().map(|(k, s)| s.to_update(now_us, *k));
        updates.collect()
    }

    /// Drops everything that is too old to matter.
    pub fn expire(&mut self, now_us: Micros) {
        self.suspects
            .retain(|_, suspect| suspect.is_current(now_us));
        let is_recent = |at_us| age_us(now_us, at_us) < OTHERS_WINDOW_US;
        self.crashed.retain(|_, at_us| is_recent(*at_us));
        let is_current = |at_us: Micros| now_us.saturating_sub(at_us) < COMPLETED_EXPIRY_US;
        self.completed.retain(|_, at_us| is_current(*at_us));
    }
}
