//! The set of endpoints in the platform's store, each ready, draining, lapsed or gone.

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

/// Grace period for an endpoint whose entry lapsed while the store was unreachable: entries of live
/// endpoints are back within about two seconds of the store's return.
const LAPSE_GRACE_US: Micros = 1_800_000;

/// Removals kept for instances that lag behind; more than occur in a busy minute.
const MAX_REMOVALS: usize = 512;

/// A revision of the store; orders its changes.
pub type Revision = u64;

/// The entry of an endpoint in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Its name, which a later incarnation may reuse.
    pub id: Name,
    /// Start time of this incarnation, in Unix milliseconds by its own clock; 0 if not known.
    /// Compared only among incarnations of one id, of which the latest is valid.
    pub born_ms: u64,
    /// The service it belongs to.
    pub service: Name,
    /// The address it listens on.
    pub addr: SocketAddr,
    /// The hall it runs in.
    pub hall: Name,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Whether it is about to leave and accepts no new requests.
    pub draining: bool,
    /// Remaining time for which it is cold after its start, in milliseconds.
    pub warmup_left_ms: u64,
}

impl EndpointEntry {
    /// Returns the key of this incarnation: what is learned about one incarnation does not apply to
    /// the next.
    pub fn key(&self) -> EndpointKey {
        EndpointKey::of_incarnation(&self.id, self.born_ms)
    }
}

/// An endpoint and the state of its entry.
#[derive(Clone, Debug)]
pub struct TrackedEndpoint {
    /// Its latest entry.
    pub entry: Arc<EndpointEntry>,
    /// Set while the entry is missing although the endpoint may be alive.
    lapsed_until_us: Option<Micros>,
    /// The store revision at which this was learned.
    revision: Revision,
}

/// The changes of the set after a revision, or the whole set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointsDelta {
    /// The store revision of a set to which the delta was applied.
    pub revision: Revision,
    /// Entries, each with whether it has lapsed (is missing although the endpoint may be alive).
    pub entries: Vec<(EndpointEntry, bool)>,
    /// Ids of removed endpoints.
    pub removed: Vec<Name>,
    /// Whether `entries` is a full snapshot of the set.
    pub is_whole: bool,
}

/// A change of the set, for logs and for state kept by endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new endpoint.
    Appeared,
    /// The entry of a known endpoint changed.
    Updated,
    /// A new incarnation replaced a known one; it has none of the previous one's state.
    Restarted,
    /// The entry is missing, but the endpoint may be alive.
    Lapsed,
    /// The endpoint is gone.
    Gone,
}

impl Change {
    /// Returns the name used in logs.
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

/// A removal, kept for instances that lag behind.
#[derive(Clone, Debug)]
struct Removal {
    at: Revision,
    id: Name,
    /// Start time of the latest incarnation known at the removal.
    born_ms: u64,
}

impl Removal {
    /// Returns whether an entry read at `revision` is older than this removal or belongs to an
    /// earlier incarnation.
    fn supersedes(&self, entry: &EndpointEntry, revision: Revision) -> bool {
        self.id == entry.id && (self.at > revision || self.born_ms > entry.born_ms)
    }
}

/// The set of endpoints.
#[derive(Debug, Default)]
pub struct Discovery {
    by_id: HashMap<Name, TrackedEndpoint>,
    /// Until this time a missing entry counts as lapsed, because the store was unreachable.
    grace_until_us: Micros,
    /// The store revision up to which the set is known.
    revision: Revision,
    /// The latest removals, and the revision after which the list is complete; an instance behind
    /// that revision gets a full snapshot.
    removals: VecDeque<Removal>,
    removals_complete_from: Revision,
}

impl Discovery {
    /// Returns the store revision up to which the set is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Records that the set is up to date with a revision of the store.
    pub fn advance_to(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Records that the store was unreachable until now.
    pub fn store_was_unreachable(&mut self, now_us: Micros) {
        self.grace_until_us = now_us + LAPSE_GRACE_US;
    }

    /// Adds or updates an entry read at a revision; returns what changed. Newer state is kept: a
    /// later incarnation wins whatever the revisions say, since a late write of an earlier one may
    /// arrive after it.
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

    /// Handles the absence of an entry at or before the revision `at`; returns what changed.
    pub fn mark_removed(&mut self, now_us: Micros, id: &str, at: Revision) -> Option<Change> {
        let Some(known) = self.by_id.get_mut(id) else {
            // Instances behind may still have it.
            self.record_removal(id.into(), at, 0);
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

    /// Removes an endpoint that was gone at or before the revision `at`. Instances behind that
    /// revision are sent the removal, so it must not be too low: other instances get the same
    /// changes in other batches.
    fn drop_entry(&mut self, id: &str, at: Revision) {
        if let Some((id, known)) = self.by_id.remove_entry(id) {
            self.record_removal(id, at, known.entry.born_ms);
        }
    }

    fn record_removal(&mut self, id: Name, at: Revision, born_ms: u64) {
        self.removals.push_back(Removal { at, id, born_ms });
        if self.removals.len() > MAX_REMOVALS
            && let Some(oldest) = self.removals.pop_front()
        {
            self.removals_complete_from = self.removals_complete_from.max(oldest.at);
        }
    }

    /// Returns the changes after `revision`.
    pub fn delta_since(&self, revision: Revision) -> EndpointsDelta {
        let is_whole = revision < self.removals_complete_from || revision == 0;
        let entries = self.by_id.values();
        let entries = entries.filter(|e| is_whole || e.revision > revision);
        let removals = self.removals.iter();
        // An endpoint that came back is not sent as removed: the receiver gets its new entry.
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

    /// Applies another instance's delta if it is newer; returns what changed.
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
                self.record_removal(id, delta.revision, 0);
            }
        }
        if delta.is_whole {
            self.removals_complete_from = delta.revision;
        }
        self.advance_to(delta.revision);
        changes
    }

    /// Handles all entries that are missing from a full listing at a revision; returns their ids
    /// and what changed.
    pub fn retain_listed(
        &mut self,
        now_us: Micros,
        at: Revision,
        is_listed: impl Fn(&str) -> bool,
    ) -> Vec<(Name, Change)> {
        let ids = self.by_id.keys().filter(|id| !is_listed(id));
        let missing: Vec<Name> = ids.cloned().collect();
        let changes = missing.into_iter().filter_map(|id| {
            let change = self.mark_removed(now_us, &id, at)?;
            Some((id, change))
        });
        let changes = changes.collect();
        // Endpoints that came and went since the last update of the set are not known.
        if at > self.revision {
            self.removals_complete_from = at;
        }
        changes
    }

    /// Removes endpoints whose grace period is over; returns their ids.
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

    /// Returns the latest entry of an endpoint.
    pub fn get(&self, id: &str) -> Option<&Arc<EndpointEntry>> {
        self.by_id.get(id).map(|e| &e.entry)
    }

    /// Returns the store revision at which the state of an endpoint was learned, also of one that was removed.
    pub fn revision_of(&self, id: &str) -> Option<Revision> {
        let known = self.by_id.get(id).map(|e| e.revision);
        known.or_else(|| {
            let removal = self.removals.iter().rev().find(|r| &*r.id == id)?;
            Some(removal.at)
        })
    }

    /// Returns the number of known endpoints.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
