//! What starts of endpoints said of themselves that all instances are to know: how many requests a second they take,
//! that they leave, and that they asked some instance for rest.
//!
//! Rest binds only the instance that was asked. To the others it is a sign of load, so that not each has to be turned
//! away to learn of it: where that takes a retry for each, callers are refused once the retries are used up.
//!
//! That a start leaves is final: no word, entry or list after it undoes it, and a later start has a standing of its own.
//!
//! An endpoint names its limit for as long as it holds: an answer without one says that it is over. Answers
//! overtake each other, at one instance and between instances, so what is known of an endpoint has a version.
//! Only an answer to a request that was sent by whoever knew the newest version raises the limit or ends it: the
//! endpoint said it later than what is known. A lower limit holds at once. So what instances tell each other may
//! come in any order, late, twice or not at all.
//!
//! Versions are comparable only if they count from the same first word. An instance that never learned that a limit is
//! over counts the endpoint's next limit from its own first word: the two are merged into a newer version.
//!
//! Free of clock and socket, so that tests drive it step by step.

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

/// Endpoints of which one datagram tells the standing, about 18 bytes each: all of a service of 168 come in three
/// rounds.
const MOST_TOLD: usize = 64;
/// Rests that end within this time of each other are one.
const SAME_REST_US: Micros = 500_000;
/// Standings that are remembered, at some 60 bytes each; more than there are endpoints in a large deployment. Of those
/// that are in no list the one that was in a list longest ago gives way first; those of listed endpoints never do.
const MOST_KNOWN: usize = 4_096;
/// An endpoint that was in a list within this time is in one, as far as room is made.
const LISTED_US: Micros = 1_000_000;
/// The limit of an endpoint that is in no list is forgotten after this time. Word of its limit may come before its
/// entry, and an entry that lapsed while the store was away is back some seconds after that: without the limit, all
/// instances would send there until they are told again.
const UNLISTED_US: Micros = 30_000_000;

/// Returns the time left, in milliseconds.
fn left_ms(now_us: Micros, until_us: Micros) -> u32 {
    let left_ms = until_us.saturating_sub(now_us) / 1_000;
    // A rest is cut long before the bound of the type.
    left_ms as u32
}

/// What is known of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownLimit {
    /// Rises with each word that is known to be later than what was known; 0 if nothing is known.
    pub version: u32,
    /// Names the first word that versions count from.
    pub lineage: u32,
    /// The limit; none if it is over.
    pub rate: Option<RequestRate>,
}

impl KnownLimit {
    const UNKNOWN: Self = Self {
        version: 0,
        lineage: 0,
        rate: None,
    };

    /// Returns whichever is later, and the stricter of two that may be of the same time.
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

    /// Returns a version after two of which it is not known which is later.
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

/// What an instance tells of an endpoint's standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementUpdate {
    /// The start of the endpoint.
    pub endpoint: EndpointKey,
    /// Its limit.
    pub known: KnownLimit,
    /// It said that it leaves.
    pub leaves: bool,
    /// For so much longer it wants rest from an instance that it asked, in milliseconds.
    pub rest_ms: u32,
}

/// A standing that changed here by what another instance told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementChange {
    /// Its limit changed.
    Limit(LimitChange),
    /// It leaves.
    Leaves(EndpointKey),
}

impl AnnouncementChange {
    /// Returns the endpoint that it is of.
    pub fn endpoint(self) -> EndpointKey {
        match self {
            Self::Limit(change) => change.endpoint,
            Self::Leaves(endpoint) => endpoint,
        }
    }
}

/// A limit that changed here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The start of the endpoint.
    pub endpoint: EndpointKey,
    /// The limit before.
    pub before: Option<RequestRate>,
    /// The limit now.
    pub now: Option<RequestRate>,
}

#[derive(Debug)]
struct Entry {
    known: KnownLimit,
    leaves: bool,
    /// It asked some instance for rest until this time.
    rests_until_us: Micros,
    /// When it was in a list last, or word of it came first.
    listed_us: Micros,
    dissemination: Dissemination,
}

/// The standings of all endpoints that said something of themselves.
#[derive(Debug)]
pub struct EndpointAnnouncements {
    /// Names the versions that count from a first word to this instance.
    lineage: u32,
    by_endpoint: HashMap<EndpointKey, Entry>,
    /// Endpoints whose last word could not be read.
    unreadable: HashSet<EndpointKey>,
    /// Endpoints that have a limit now.
    limited: usize,
    /// Endpoints that leave.
    leaving: usize,
    /// No endpoint is known to have asked for rest beyond this time.
    last_rest_us: Micros,
    has_news: bool,
}

impl Default for EndpointAnnouncements {
    fn default() -> Self {
        Self {
            lineage: rand::random(),
            by_endpoint: HashMap::new(),
            unreadable: HashSet::new(),
            limited: 0,
            leaving: 0,
            last_rest_us: 0,
            has_news: false,
        }
    }
}

impl EndpointAnnouncements {
    /// Returns whether any endpoint has a limit.
    pub fn has_limits(&self) -> bool {
        self.limited > 0
    }

    /// Returns an endpoint's limit, if it has one.
    pub fn rate(&self, endpoint: EndpointKey) -> Option<RequestRate> {
        self.by_endpoint.get(&endpoint)?.known.rate
    }

    /// Returns the version of what is known of an endpoint's limit, 0 if it never had one: whoever sends a
    /// request there keeps it, for [`Self::note_limit`].
    pub fn version(&self, endpoint: EndpointKey) -> u32 {
        let entry = self.by_endpoint.get(&endpoint);
        entry.map_or(0, |entry| entry.known.version)
    }

    /// Returns how many endpoints have a limit.
    pub fn limited(&self) -> usize {
        self.limited
    }

    /// Returns whether an endpoint said that it leaves.
    pub fn leaves(&self, endpoint: EndpointKey) -> bool {
        self.leaving > 0 && self.by_endpoint.get(&endpoint).is_some_and(|e| e.leaves)
    }

    /// Returns how many endpoints are known to leave, those that have left among them.
    pub fn leaving(&self) -> usize {
        self.leaving
    }

    fn count(&mut self) {
        let entries = self.by_endpoint.values();
        self.limited = entries.clone().filter(|e| e.known.rate.is_some()).count();
        self.leaving = entries.filter(|e| e.leaves).count();
    }

    /// Takes an endpoint's own word that it leaves; returns whether that is new.
    pub fn note_leaving(&mut self, now_us: Micros, endpoint: EndpointKey) -> bool {
        if self.leaves(endpoint) {
            return false;
        }
        let is_known = self.entry(now_us, endpoint).is_some_and(|entry| {
            entry.leaves = true;
            entry.dissemination.renew(Audience::Peers);
            entry.dissemination.renew(Audience::Hall);
            true
        });
        self.has_news |= is_known;
        self.count();
        is_known
    }

    /// Returns whether an endpoint asked some instance for rest that is not over.
    pub fn wants_back_off(&self, now_us: Micros, endpoint: EndpointKey) -> bool {
        let until_us = || self.by_endpoint.get(&endpoint).map(|e| e.rests_until_us);
        now_us < self.last_rest_us && until_us().is_some_and(|until_us| now_us < until_us)
    }

    /// Notes that an endpoint asked an instance for rest.
    pub fn note_back_off(&mut self, now_us: Micros, endpoint: EndpointKey, rest_us: Micros) {
        let until_us = now_us + rest_us.min(MAX_BACK_OFF_US);
        let Some(entry) = self.entry(now_us, endpoint) else {
            return;
        };
        if until_us <= entry.rests_until_us + SAME_REST_US {
            // Many are asked one after the other: the first word is news, the rest of them is not.
            return;
        }
        entry.rests_until_us = until_us;
        entry.dissemination.renew(Audience::Peers);
        entry.dissemination.renew(Audience::Hall);
        self.last_rest_us = self.last_rest_us.max(until_us);
        self.has_news = true;
    }

    /// Returns the entry of an endpoint, a new one if there is none; none if there is no room.
    fn entry(&mut self, now_us: Micros, endpoint: EndpointKey) -> Option<&mut Entry> {
        let is_new = !self.by_endpoint.contains_key(&endpoint);
        if is_new && self.by_endpoint.len() >= MOST_KNOWN {
            self.make_room(now_us)?;
        }
        let entry = self.by_endpoint.entry(endpoint).or_insert(Entry {
            known: KnownLimit::UNKNOWN,
            leaves: false,
            rests_until_us: 0,
            listed_us: now_us,
            dissemination: Dissemination::default(),
        });
        Some(entry)
    }

    /// Drops the entry that was in a list longest ago; none if all are in one.
    fn make_room(&mut self, now_us: Micros) -> Option<()> {
        let (endpoint, oldest) = self.by_endpoint.iter().min_by_key(|(_, e)| e.listed_us)?;
        if now_us.saturating_sub(oldest.listed_us) < LISTED_US {
            return None;
        }
        let endpoint = *endpoint;
        self.by_endpoint.remove(&endpoint);
        Some(())
    }

    /// Takes an endpoint's own word from the answer to a request that was sent when `sent_at` was the version.
    pub fn note_limit(
        &mut self,
        now_us: Micros,
        endpoint: EndpointKey,
        sent_at: u32,
        word: &LimitHeader,
    ) -> Option<LimitChange> {
        let said = match word {
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
                rate: said,
            };
            return said.and_then(|_| self.replace(now_us, endpoint, first));
        };
        if said == known.rate {
            return None;
        }
        // Where it is free by what is known, the word that it is not counts even if it may be the older: it costs a
        // request's time to be wrong that way, a burst the other way.
        let is_later = sent_at >= known.version || known.rate.is_none();
        let next = match (is_later, said) {
            (true, _) => KnownLimit {
                version: known.version.saturating_add(1),
                rate: said,
                ..known
            },
            (false, None) => return None,
            (false, Some(_)) => KnownLimit {
                rate: stricter(known.rate, said),
                ..known
            },
        };
        if next == known {
            return None;
        }
        self.replace(now_us, endpoint, next)
    }

    /// Notes that an endpoint's word could not be read; returns whether the one before could be.
    pub fn note_unreadable(&mut self, endpoint: EndpointKey) -> bool {
        self.unreadable.len() < MOST_KNOWN && self.unreadable.insert(endpoint)
    }

    /// Takes what another instance told; returns what changed. One that knows less is told.
    pub fn receive(
        &mut self,
        now_us: Micros,
        told: &[AnnouncementUpdate],
    ) -> Vec<AnnouncementChange> {
        let mut changes = Vec::new();
        for told in told {
            if told.leaves && self.note_leaving(now_us, told.endpoint) {
                changes.push(AnnouncementChange::Leaves(told.endpoint));
            }
            if told.rest_ms > 0 {
                let rest_us = Micros::from(told.rest_ms) * 1_000;
                self.note_back_off(now_us, told.endpoint, rest_us);
            }
            let limit = self.receive_limit(now_us, told);
            changes.extend(limit.map(AnnouncementChange::Limit));
        }
        changes
    }

    fn receive_limit(&mut self, now_us: Micros, told: &AnnouncementUpdate) -> Option<LimitChange> {
        let Some(entry) = self.by_endpoint.get_mut(&told.endpoint) else {
            // Whoever asked may know of no limit, either.
            let names_limit = told.known.version > 0;
            return names_limit
                .then(|| self.replace(now_us, told.endpoint, told.known))
                .flatten();
        };
        let merged = entry.known.merged(told.known);
        if merged != told.known || entry.leaves != told.leaves {
            entry.dissemination.renew(Audience::Peers);
            entry.dissemination.renew(Audience::Hall);
            self.has_news = true;
        }
        if merged == entry.known {
            return None;
        }
        self.replace(now_us, told.endpoint, merged)
    }

    fn replace(
        &mut self,
        now_us: Micros,
        endpoint: EndpointKey,
        known: KnownLimit,
    ) -> Option<LimitChange> {
        let entry = self.entry(now_us, endpoint)?;
        let before = std::mem::replace(&mut entry.known, known).rate;
        entry.dissemination.renew(Audience::Peers);
        entry.dissemination.renew(Audience::Hall);
        self.has_news = true;
        self.count();
        (before != known.rate).then_some(LimitChange {
            endpoint,
            before,
            now: known.rate,
        })
    }

    /// Returns whether something is to be told at once, if that was not asked since.
    pub fn take_has_changes(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Returns what is known of one endpoint, to be told beside a question on it.
    pub fn update_for(&self, now_us: Micros, endpoint: EndpointKey) -> AnnouncementUpdate {
        let entry = self.by_endpoint.get(&endpoint);
        AnnouncementUpdate {
            endpoint,
            known: entry.map_or(KnownLimit::UNKNOWN, |e| e.known),
            leaves: entry.is_some_and(|e| e.leaves),
            rest_ms: entry.map_or(0, |e| left_ms(now_us, e.rests_until_us)),
        }
    }

    /// Returns what an audience is to be told in this round of the endpoints that are listed here: of others two
    /// instances would remind each other for ever. A limit is told again and again, and that one leaves; that a limit
    /// is over, a few times and to whoever does not know.
    pub fn take_due_updates(
        &mut self,
        now_us: Micros,
        audience: Audience,
        is_listed: impl Fn(EndpointKey) -> bool,
    ) -> Vec<AnnouncementUpdate> {
        let listed = self.by_endpoint.iter_mut();
        let listed = listed.filter(|(endpoint, _)| is_listed(**endpoint));
        let is_due = |e: &Entry| {
            let stands = e.leaves || e.known.rate.is_some() || now_us < e.rests_until_us;
            e.dissemination.is_due(now_us, audience, stands)
        };
        let mut due: Vec<_> = listed.filter(|(_, entry)| is_due(entry)).collect();
        due.sort_by_key(|(_, entry)| entry.dissemination.order(audience));
        let told = due.into_iter().take(MOST_TOLD);
        let told = told.map(|(endpoint, entry)| {
            entry.dissemination.note_told(now_us, audience);
            AnnouncementUpdate {
                endpoint: *endpoint,
                known: entry.known,
                leaves: entry.leaves,
                rest_ms: left_ms(now_us, entry.rests_until_us),
            }
        });
        told.collect()
    }

    /// Forgets a start of an endpoint that is gone: a later one has a standing of its own.
    pub fn remove(&mut self, endpoint: EndpointKey) {
        if self.by_endpoint.remove(&endpoint).is_none() {
            return;
        }
        self.unreadable.remove(&endpoint);
        self.count();
    }

    /// Forgets the limits of endpoints that are in no list. That one leaves is kept: an entry may come back late.
    pub fn expire(&mut self, now_us: Micros, is_listed: impl Fn(EndpointKey) -> bool) {
        self.by_endpoint.retain(|endpoint, entry| {
            if is_listed(*endpoint) {
                entry.listed_us = now_us;
            }
            let is_listed_of_late = now_us.saturating_sub(entry.listed_us) < UNLISTED_US;
            entry.leaves || is_listed_of_late
        });
        self.unreadable.retain(|endpoint| is_listed(*endpoint));
        self.count();
    }
}
