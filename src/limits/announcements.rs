//! What endpoints announce about themselves in their responses and all instances need to know: a limit on requests a
//! second, that they are leaving, and that they requested a back-off from some instance.
//!
//! A back-off binds only the instance that it was requested from. For the others it is a sign of load, so that not each
//! of them has to be rejected to learn of it: each rejection takes a retry, and callers are refused once the retries
//! are used up.
//!
//! Announcements belong to one start of an endpoint, that is, to one run of its process. That a start is leaving is
//! final: no later response, registry entry or endpoint list reverts it, and a later start has announcements of its
//! own.
//!
//! An endpoint states its limit in each response for as long as the limit holds; a response without one lifts it.
//! Responses may be reordered, at one instance and between instances, so a limit has a version. Only a response to a
//! request that was sent when the latest version was known raises or lifts the limit, because it is certainly newer. A
//! lower limit applies at once. So updates between instances may be reordered, delayed, duplicated or lost.
//!
//! Versions are comparable only within a lineage, that is, if they count from the same first response. An instance that
//! never learned that a limit was lifted counts the endpoint's next limit from its own first response; the two lineages
//! are then merged into a newer version.
//!
//! Uses no clock or socket, so that tests can drive it step by step.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::{
    balance::load::EndpointKey,
    limits::{
        back_off::MAX_BACK_OFF_US,
        dissemination::{Audience, Dissemination},
        rate::{LimitHeader, RequestRate},
    },
    prelude::Micros,
};

/// The most announcements in one datagram, about 18 bytes each: those of a service of 168 endpoints fit in three
/// rounds.
const MAX_UPDATES: usize = 64;
/// Back-offs that end within this time of each other count as the same one.
const SAME_BACK_OFF_US: Micros = 500_000;
/// The most endpoints that are stored, about 60 bytes each; more than there are in a large deployment. Of those that
/// are not listed the one that was listed longest ago is evicted first; listed endpoints are never evicted.
const MAX_ENTRIES: usize = 4_096;
/// An endpoint that was listed within this time is not evicted.
const RECENTLY_LISTED_US: Micros = 1_000_000;
/// The limit of an endpoint that is not listed is dropped after this time. An update on the limit may arrive before the
/// endpoint's entry, and an entry that expired while the store was unavailable returns some seconds later: without the
/// limit, all instances would send there until they receive it again.
const UNLISTED_EXPIRY_US: Micros = 30_000_000;

/// Returns the remaining time in milliseconds.
fn left_ms(now_us: Micros, until_us: Micros) -> u32 {
    let left_ms = until_us.saturating_sub(now_us) / 1_000;
    // A back-off is at most `MAX_BACK_OFF_US`, far below the bound of the type.
    left_ms as u32
}

/// The latest known limit of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownLimit {
    /// Rises with each response that is known to be newer than the known limit; 0 if nothing is known.
    pub version: u32,
    /// Identifies the first response that versions count from.
    pub lineage: u32,
    /// The limit; `None` if it was lifted.
    pub rate: Option<RequestRate>,
}

impl KnownLimit {
    const UNKNOWN: Self = Self {
        version: 0,
        lineage: 0,
        rate: None,
    };

    /// Returns the one with the higher version, or the stricter limit if the versions are equal.
    fn merged(self, other: Self) -> Self {
        if self.version > 0 && other.version > 0 && self.lineage != other.lineage {
            return self.reconciled(other);
        }
        match self.version.cmp(&other.version) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal => Self {
                rate: stricter(self.rate, other.rate),
                ..self
            },
        }
    }

    /// Returns a version that supersedes two of different lineages, which cannot be ordered.
    fn reconciled(self, other: Self) -> Self {
        Self {
            version: self.version.max(other.version).saturating_add(1),
            lineage: self.lineage.max(other.lineage),
            rate: stricter(self.rate, other.rate),
        }
    }
}

fn stricter(one: Option<RequestRate>, other: Option<RequestRate>) -> Option<RequestRate> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}

/// What an endpoint announced, as instances send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementUpdate {
    /// The start of the endpoint.
    pub endpoint: EndpointKey,
    /// The endpoint's limit.
    pub known: KnownLimit,
    /// It announced that it is leaving.
    pub leaves: bool,
    /// The remaining time of the latest back-off that it requested from some instance, in milliseconds.
    pub rest_ms: u32,
}

/// A local change that was caused by an update from another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementChange {
    /// The endpoint's limit changed.
    Limit(LimitChange),
    /// The endpoint is leaving.
    Leaves(EndpointKey),
}

impl AnnouncementChange {
    /// Returns the endpoint that the change is about.
    pub fn endpoint(self) -> EndpointKey {
        match self {
            Self::Limit(change) => change.endpoint,
            Self::Leaves(endpoint) => endpoint,
        }
    }
}

/// A local change of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The start of the endpoint.
    pub endpoint: EndpointKey,
    /// The previous limit.
    pub before: Option<RequestRate>,
    /// The current limit.
    pub now: Option<RequestRate>,
}

#[derive(Debug)]
struct Entry {
    known: KnownLimit,
    leaves: bool,
    /// The end of the latest back-off that it requested from some instance.
    back_off_until_us: Micros,
    /// When it was last listed, or first announced something.
    listed_us: Micros,
    dissemination: Dissemination,
}

/// The announcements of all endpoints.
#[derive(Debug)]
pub struct EndpointAnnouncements {
    /// The lineage of versions that count from a response to this instance.
    lineage: u32,
    by_endpoint: HashMap<EndpointKey, Entry>,
    /// Endpoints whose last limit header could not be parsed.
    unreadable: HashSet<EndpointKey>,
    /// Number of endpoints that have a limit.
    limited: usize,
    /// Number of endpoints that are leaving.
    leaving: usize,
    /// The end of the last known back-off of any endpoint.
    last_back_off_us: Micros,
    has_changes: bool,
}

impl Default for EndpointAnnouncements {
    fn default() -> Self {
        Self {
            lineage: rand::random(),
            by_endpoint: HashMap::new(),
            unreadable: HashSet::new(),
            limited: 0,
            leaving: 0,
            last_back_off_us: 0,
            has_changes: false,
        }
    }
}

impl EndpointAnnouncements {
    /// Returns whether any endpoint has a limit.
    pub fn has_limits(&self) -> bool {
        self.limited > 0
    }

    /// Returns an endpoint's limit; `None` if it has no limit.
    pub fn rate(&self, endpoint: EndpointKey) -> Option<RequestRate> {
        self.by_endpoint.get(&endpoint)?.known.rate
    }

    /// Returns the version of an endpoint's known limit, or 0 if it never had one. The sender of a request keeps it and
    /// passes it to [`Self::note_limit`] with the response.
    pub fn version(&self, endpoint: EndpointKey) -> u32 {
        let entry = self.by_endpoint.get(&endpoint);
        entry.map_or(0, |entry| entry.known.version)
    }

    /// Returns the number of endpoints that have a limit.
    pub fn limited(&self) -> usize {
        self.limited
    }

    /// Returns whether an endpoint announced that it is leaving.
    pub fn leaves(&self, endpoint: EndpointKey) -> bool {
        self.leaving > 0 && self.by_endpoint.get(&endpoint).is_some_and(|e| e.leaves)
    }

    /// Returns the number of endpoints that are known to be leaving, including those that have left.
    pub fn leaving(&self) -> usize {
        self.leaving
    }

    fn update_counts(&mut self) {
        let entries = self.by_endpoint.values();
        self.limited = entries.clone().filter(|e| e.known.rate.is_some()).count();
        self.leaving = entries.filter(|e| e.leaves).count();
    }

    /// Notes that an endpoint announced that it is leaving; returns whether this is new.
    pub fn note_leaving(&mut self, now_us: Micros, endpoint: EndpointKey) -> bool {
        if self.leaves(endpoint) {
            return false;
        }
        let is_stored = self.entry(now_us, endpoint).is_some_and(|entry| {
            entry.leaves = true;
            entry.dissemination.mark_changed(Audience::Peers);
            entry.dissemination.mark_changed(Audience::Hall);
            true
        });
        self.has_changes |= is_stored;
        self.update_counts();
        is_stored
    }

    /// Returns whether an endpoint requested a back-off from some instance that has not ended.
    pub fn wants_back_off(&self, now_us: Micros, endpoint: EndpointKey) -> bool {
        let until_us = || self.by_endpoint.get(&endpoint).map(|e| e.back_off_until_us);
        now_us < self.last_back_off_us && until_us().is_some_and(|until_us| now_us < until_us)
    }

    /// Notes that an endpoint requested a back-off from some instance.
    pub fn note_back_off(&mut self, now_us: Micros, endpoint: EndpointKey, period_us: Micros) {
        let until_us = now_us + period_us.min(MAX_BACK_OFF_US);
        let Some(entry) = self.entry(now_us, endpoint) else {
            return;
        };
        if until_us <= entry.back_off_until_us + SAME_BACK_OFF_US {
            // An endpoint requests it from many instances one after the other; only the first is worth an update.
            return;
        }
        entry.back_off_until_us = until_us;
        entry.dissemination.mark_changed(Audience::Peers);
        entry.dissemination.mark_changed(Audience::Hall);
        self.last_back_off_us = self.last_back_off_us.max(until_us);
        self.has_changes = true;
    }

    /// Returns an endpoint's entry, creating it if needed; `None` if the table is full.
    fn entry(&mut self, now_us: Micros, endpoint: EndpointKey) -> Option<&mut Entry> {
        let is_new = !self.by_endpoint.contains_key(&endpoint);
        if is_new && self.by_endpoint.len() >= MAX_ENTRIES {
            self.make_room(now_us)?;
        }
        let entry = self.by_endpoint.entry(endpoint).or_insert(Entry {
            known: KnownLimit::UNKNOWN,
            leaves: false,
            back_off_until_us: 0,
            listed_us: now_us,
            dissemination: Dissemination::default(),
        });
        Some(entry)
    }

    /// Evicts the entry that was listed longest ago; returns `None` if all are listed.
    fn make_room(&mut self, now_us: Micros) -> Option<()> {
        let (endpoint, oldest) = self.by_endpoint.iter().min_by_key(|(_, e)| e.listed_us)?;
        if now_us.saturating_sub(oldest.listed_us) < RECENTLY_LISTED_US {
            return None;
        }
        let endpoint = *endpoint;
        self.by_endpoint.remove(&endpoint);
        Some(())
    }

    /// Notes the limit header of an endpoint's response to a request that was sent when `sent_at` was the version of
    /// its known limit. Returns the change, if there is one.
    pub fn note_limit(
        &mut self,
        now_us: Micros,
        endpoint: EndpointKey,
        sent_at: u32,
        header: &LimitHeader,
    ) -> Option<LimitChange> {
        let stated = match header {
            LimitHeader::Absent => None,
            LimitHeader::Rate(rate) => Some(*rate),
            LimitHeader::Unreadable(_) => return None,
        };
        self.unreadable.remove(&endpoint);
        let known = self.by_endpoint.get(&endpoint).map(|entry| entry.known);
        let Some(known) = known.filter(|known| known.version > 0) else {
            let first = KnownLimit {
                version: 1,
                lineage: self.lineage,
                rate: stated,
            };
            return stated.and_then(|_| self.replace(now_us, endpoint, first));
        };
        if stated == known.rate {
            return None;
        }
        // If no limit is known, a stated one applies even if it may be older: if that is wrong, it costs the time of
        // one request; the opposite mistake would cost a burst.
        let is_later = sent_at >= known.version || known.rate.is_none();
        let next = match (is_later, stated) {
            (true, _) => KnownLimit {
                version: known.version.saturating_add(1),
                rate: stated,
                ..known
            },
            (false, None) => return None,
            (false, Some(_)) => KnownLimit {
                rate: stricter(known.rate, stated),
                ..known
            },
        };
        if next == known {
            return None;
        }
        self.replace(now_us, endpoint, next)
    }

    /// Notes that an endpoint's limit header could not be parsed; returns whether the previous one could be.
    pub fn note_unreadable(&mut self, endpoint: EndpointKey) -> bool {
        self.unreadable.len() < MAX_ENTRIES && self.unreadable.insert(endpoint)
    }

    /// Merges updates from another instance and returns the changes. If the sender lacks something, an update is
    /// scheduled.
    pub fn apply_updates(
        &mut self,
        now_us: Micros,
        updates: &[AnnouncementUpdate],
    ) -> Vec<AnnouncementChange> {
        let mut changes = Vec::new();
        for update in updates {
            if update.leaves && self.note_leaving(now_us, update.endpoint) {
                changes.push(AnnouncementChange::Leaves(update.endpoint));
            }
            if update.rest_ms > 0 {
                let period_us = Micros::from(update.rest_ms) * 1_000;
                self.note_back_off(now_us, update.endpoint, period_us);
            }
            let limit = self.apply_limit(now_us, update);
            changes.extend(limit.map(AnnouncementChange::Limit));
        }
        changes
    }

    fn apply_limit(&mut self, now_us: Micros, update: &AnnouncementUpdate) -> Option<LimitChange> {
        let Some(entry) = self.by_endpoint.get_mut(&update.endpoint) else {
            // The sender may not know of a limit, either: an update also comes with each permit request.
            let states_limit = update.known.version > 0;
            return states_limit
                .then(|| self.replace(now_us, update.endpoint, update.known))
                .flatten();
        };
        let merged = entry.known.merged(update.known);
        if merged != update.known || entry.leaves != update.leaves {
            entry.dissemination.mark_changed(Audience::Peers);
            entry.dissemination.mark_changed(Audience::Hall);
            self.has_changes = true;
        }
        if merged == entry.known {
            return None;
        }
        self.replace(now_us, update.endpoint, merged)
    }

    fn replace(
        &mut self,
        now_us: Micros,
        endpoint: EndpointKey,
        known: KnownLimit,
    ) -> Option<LimitChange> {
        let entry = self.entry(now_us, endpoint)?;
        let before = std::mem::replace(&mut entry.known, known).rate;
        entry.dissemination.mark_changed(Audience::Peers);
        entry.dissemination.mark_changed(Audience::Hall);
        self.has_changes = true;
        self.update_counts();
        (before != known.rate).then_some(LimitChange {
            endpoint,
            before,
            now: known.rate,
        })
    }

    /// Returns whether something changed that should be sent at once, and resets that flag.
    pub fn take_has_changes(&mut self) -> bool {
        std::mem::take(&mut self.has_changes)
    }

    /// Returns what is known of one endpoint, to be sent with a permit request or its response.
    pub fn update_for(&self, now_us: Micros, endpoint: EndpointKey) -> AnnouncementUpdate {
        let entry = self.by_endpoint.get(&endpoint);
        AnnouncementUpdate {
            endpoint,
            known: entry.map_or(KnownLimit::UNKNOWN, |e| e.known),
            leaves: entry.is_some_and(|e| e.leaves),
            rest_ms: entry.map_or(0, |e| left_ms(now_us, e.back_off_until_us)),
        }
    }

    /// Returns the updates that are due to an audience in this round, only of endpoints that are listed here: otherwise
    /// two instances would keep each other's entries of removed endpoints alive for ever. Limits, back-offs and leaving
    /// endpoints are resent periodically; that a limit was lifted is sent in a few rounds, and to instances that do not
    /// know it.
    pub fn take_due_updates(
        &mut self,
        now_us: Micros,
        audience: Audience,
        is_listed: impl Fn(EndpointKey) -> bool,
    ) -> Vec<AnnouncementUpdate> {
        let listed = self.by_endpoint.iter_mut();
        let listed = listed.filter(|(endpoint, _)| is_listed(**endpoint));
        let is_due = |e: &Entry| {
            let holds = e.leaves || e.known.rate.is_some() || now_us < e.back_off_until_us;
            e.dissemination.is_due(now_us, audience, holds)
        };
        let mut due: Vec<_> = listed.filter(|(_, entry)| is_due(entry)).collect();
        due.sort_by_key(|(_, entry)| entry.dissemination.sort_key(audience));
        let updates = due.into_iter().take(MAX_UPDATES);
        let updates = updates.map(|(endpoint, entry)| {
            entry.dissemination.note_sent(now_us, audience);
            AnnouncementUpdate {
                endpoint: *endpoint,
                known: entry.known,
                leaves: entry.leaves,
                rest_ms: left_ms(now_us, entry.back_off_until_us),
            }
        });
        updates.collect()
    }

    /// Removes a start of an endpoint that has ended: a later start has announcements of its own.
    pub fn remove_endpoint(&mut self, endpoint: EndpointKey) {
        if self.by_endpoint.remove(&endpoint).is_none() {
            return;
        }
        self.unreadable.remove(&endpoint);
        self.update_counts();
    }

    /// Drops endpoints that are no longer listed, except those that are leaving: their registry entry may still return.
    pub fn expire(&mut self, now_us: Micros, is_listed: impl Fn(EndpointKey) -> bool) {
        self.by_endpoint.retain(|endpoint, entry| {
            if is_listed(*endpoint) {
                entry.listed_us = now_us;
            }
            let is_recently_listed = now_us.saturating_sub(entry.listed_us) < UNLISTED_EXPIRY_US;
            entry.leaves || is_recently_listed
        });
        self.unreadable.retain(|endpoint| is_listed(*endpoint));
        self.update_counts();
    }
}
