//! The endpoints there are, as the platform's store tells: ready, draining, lapsed or gone.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    balance::load::EndpointKey,
    prelude::{Micros, Name},
};

/// How long an endpoint whose entry lapsed while the store was away is still used: entries of
/// living endpoints are back within about two seconds of the store's return.
const LAPSE_GRACE_US: Micros = 1_800_000;

/// Removals remembered for those that lag behind; more than a busy minute has.
const MAX_REMOVALS: usize = 512;

/// Orders the changes of the store.
pub type Revision = u64;

/// What an endpoint's entry in the store says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Its name, which a later start of it may bear again.
    pub id: Name,
    /// When this start of it began, in Unix milliseconds by its own clock; 0 if it does not say. Only
    /// compared among starts under one id, where the later one is the endpoint.
    pub born_ms: u64,
    /// The service it belongs to.
    pub service: Name,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The hall it stands in.
    pub hall: Name,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is about to leave and takes no new work.
    pub draining: bool,
    /// How much longer it is slow from its start, in milliseconds.
    pub warmup_left_ms: u64,
}

impl EndpointEntry {
    /// Returns the key of this start of the endpoint: what is learned of one start says nothing of the next.
    pub fn key(&self) -> EndpointKey {
        EndpointKey::of_incarnation(&self.id, self.born_ms)
    }
}

/// An endpoint as far as it is known.
#[derive(Clone, Debug)]
pub struct TrackedEndpoint {
    /// Its newest entry.
    pub entry: Arc<EndpointEntry>,
    /// Set while its entry is missing though it may live.
    lapsed_until_us: Option<Micros>,
    /// The store's revision when this was learned.
    revision: Revision,
}

/// What has changed in the set since a revision, or all of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointsDelta {
    /// The store's revision that the copy brings its taker to.
    pub revision: Revision,
    /// Entries, each with whether it is missing though its endpoint may live.
    pub entries: Vec<(EndpointEntry, bool)>,
    /// Endpoints that are gone.
    pub removed: Vec<Name>,
    /// Nothing else is in the set.
    pub is_whole: bool,
}

/// A change of the set, for the log and for whoever keeps state by endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// An endpoint that was not known.
    Appeared,
    /// A known endpoint's entry changed.
    Updated,
    /// Another start of a known endpoint took its place; it has and knows nothing of before.
    Restarted,
    /// Its entry is gone, but it may live.
    Lapsed,
    /// It is gone.
    Gone,
}

impl Change {
    /// Returns its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Appeared => "appeared",
            Self::Updated => "updated",
            Self::Restarted => "restarted",
            Self::Lapsed => "lapsed",
            Self::Gone => "gone",
        }
    }
}

/// A removal that those who lag behind are told of.
#[derive(Clone, Debug)]
struct Removal {
    at: Revision,
    id: Name,
    /// The latest start that was known then.
    born_ms: u64,
}

impl Removal {
    /// Returns whether an entry as it was at a revision is older than this removal, or of an earlier start.
    fn supersedes(&self, entry: &EndpointEntry, revision: Revision) -> bool {
        self.id == entry.id && (self.at > revision || self.born_ms > entry.born_ms)
    }
}

/// The set of endpoints.
#[derive(Debug, Default)]
pub struct Discovery {
    by_id: HashMap<Name, TrackedEndpoint>,
    /// Until when a missing entry may have lapsed because the store was away.
    grace_until_us: Micros,
    /// The store's revision that the set is up to.
    revision: Revision,
    /// The last removals, and the revision after which none is missing here; who is behind that gets
    /// the whole set.
    removals: VecDeque<Removal>,
    removals_complete_from: Revision,
}

impl Discovery {
    /// Returns the store's revision that the set is up to.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Notes that the set is up to a revision of the store.
    pub fn advance_to(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Notes that the store could not be reached until now.
    pub fn store_was_unreachable(&mut self, now_us: Micros) {
        self.grace_until_us = now_us + LAPSE_GRACE_US;
    }

    /// Takes an entry as it was at a revision; returns what changed. What is known to be newer stays: an
    /// entry of a later start, whatever the revisions say, since what an earlier one wrote may land late.
    pub fn upsert(&mut self, entry: EndpointEntry, revision: Revision) -> Option<Change> {
        let id = entry.id.clone();
        if self.removals.iter().any(|r| r.supersedes(&entry, revision)) {
            return None;
        }
        let live = TrackedEndpoint {
            entry: Arc::new(entry),
            lapsed_until_us: None,
            revision,
        };
        let Some(known) = self.by_id.get_mut(&id) else {
            self.by_id.insert(id, live);
            return Some(Change::Appeared);
        };
        let known_born_ms = known.entry.born_ms;
        if known_born_ms < live.entry.born_ms {
            *known = live;
            return Some(Change::Restarted);
        }
        if known_born_ms > live.entry.born_ms || known.revision > revision {
            return None;
        }
        let changed = known.entry != live.entry || known.lapsed_until_us.is_some();
        *known = live;
        changed.then_some(Change::Updated)
    }

    /// Takes word that an entry was gone at a revision of the store, or before; returns what changed.
    pub fn mark_removed(&mut self, now_us: Micros, id: &str, at: Revision) -> Option<Change> {
        let Some(known) = self.by_id.get_mut(id) else {
            // Others may have it.
            self.note_removal(id.into(), at, 0);
            return None;
        };
        if known.revision > at {
            return None;
        }
        if now_us >= self.grace_until_us || known.entry.draining {
            self.drop_entry(id, at);
            return Some(Change::Gone);
        }
        if known.lapsed_until_us.is_some() {
            return None;
        }
        known.lapsed_until_us = Some(self.grace_until_us);
        known.revision = at;
        Some(Change::Lapsed)
    }

    /// Removes an endpoint that was gone at a revision, or before. Whoever is behind that revision is
    /// told, so it must not be taken too low: others get the same changes in other portions.
    fn drop_entry(&mut self, id: &str, at: Revision) {
        if let Some((id, known)) = self.by_id.remove_entry(id) {
            self.note_removal(id, at, known.entry.born_ms);
        }
    }

    fn note_removal(&mut self, id: Name, at: Revision, born_ms: u64) {
        self.removals.push_back(Removal { at, id, born_ms });
        if self.removals.len() > MAX_REMOVALS
            && let Some(oldest) = self.removals.pop_front()
        {
            self.removals_complete_from = self.removals_complete_from.max(oldest.at);
        }
    }

    /// Returns what whoever is at `revision` lacks.
    pub fn delta_since(&self, revision: Revision) -> EndpointsDelta {
        let is_whole = revision < self.removals_complete_from || revision == 0;
        let entries = self.by_id.values();
        let entries = entries.filter(|e| is_whole || e.revision > revision);
        let removals = self.removals.iter();
        // One that came back since is no removal to whoever was not told of either.
        let removals =
            removals.filter(|r| !is_whole && r.at > revision && !self.by_id.contains_key(&r.id));
        EndpointsDelta {
            revision: self.revision,
            entries: entries
                .map(|e| ((*e.entry).clone(), e.lapsed_until_us.is_some()))
                .collect(),
            removed: removals.map(|r| r.id.clone()).collect(),
            is_whole,
        }
    }

    /// Takes another instance's copy, if it is ahead; returns what changed.
    pub fn apply_delta(&mut self, now_us: Micros, delta: EndpointsDelta) -> Vec<(Name, Change)> {
        if delta.revision <= self.revision {
            return Vec::new();
        }
        let mut changes = Vec::new();
        let kept: HashSet<Name> = match delta.is_whole {
            true => delta.entries.iter().map(|(e, _)| e.id.clone()).collect(),
            false => HashSet::new(),
        };
        for (entry, has_lapsed) in delta.entries {
            let id = entry.id.clone();
            let change = self.upsert(entry, delta.revision);
            changes.extend(change.map(|c| (id.clone(), c)));
            if has_lapsed && let Some(known) = self.by_id.get_mut(&id) {
                known.lapsed_until_us = Some(now_us + LAPSE_GRACE_US);
            }
        }
        let missing: Vec<Name> = match delta.is_whole {
            true => {
                let ids = self.by_id.keys().filter(|id| !kept.contains(*id));
                ids.cloned().collect()
            }
            false => Vec::new(),
        };
        for id in delta.removed.into_iter().chain(missing) {
            if self.by_id.contains_key(&id) {
                self.drop_entry(&id, delta.revision);
                changes.push((id, Change::Gone));
            } else {
                self.note_removal(id, delta.revision, 0);
            }
        }
        if delta.is_whole {
            self.removals_complete_from = delta.revision;
        }
        self.advance_to(delta.revision);
        changes
    }

    /// Takes a whole list as it was at a revision; returns the ids that are not on it and what became
    /// of each.
    pub fn retain_listed(
        &mut self,
        now_us: Micros,
        at: Revision,
        listed: impl Fn(&str) -> bool,
    ) -> Vec<(Name, Change)> {
        let ids = self.by_id.keys().filter(|id| !listed(id));
        let missing: Vec<Name> = ids.cloned().collect();
        let changes = missing.into_iter().filter_map(|id| {
            let change = self.mark_removed(now_us, &id, at)?;
            Some((id, change))
        });
        let changes = changes.collect();
        // What came and went since the set was last up to date is not known.
        if at > self.revision {
            self.removals_complete_from = at;
        }
        changes
    }

    /// Removes those whose lapse is over; returns their ids.
    pub fn expire(&mut self, now_us: Micros) -> Vec<Name> {
        let has_expired =
            |e: &TrackedEndpoint| e.lapsed_until_us.is_some_and(|until| until <= now_us);
        let expired = self.by_id.iter().filter(|(_, e)| has_expired(e));
        let expired: Vec<Name> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.drop_entry(id, self.revision + 1);
        }
        expired
    }

    /// Returns an endpoint's newest entry.
    pub fn get(&self, id: &str) -> Option<&Arc<EndpointEntry>> {
        self.by_id.get(id).map(|e| &e.entry)
    }

    /// Returns the number of endpoints known.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
