//! The set of endpoints in the platform's store, each ready, draining, lapsed or gone.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    balance::load::EndpointKey,
    prelude::{Micros, Name, StorePosition},
};

/// Grace period for an endpoint whose entry lapsed while the store was unreachable: entries of live
/// endpoints are back within about two seconds of the store's return.
const LAPSE_GRACE_US: Micros = 1_800_000;
/// The same after the store came back from a copy. An instance notices that up to 350 ms later, and a missing entry may
/// also be that of an endpoint that left, which must not be used for longer than two seconds.
const COPY_GRACE_US: Micros = 1_500_000;

/// Removals kept for instances that lag behind; more than occur in a busy minute.
const MAX_REMOVALS: usize = 512;

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
    /// Version of the software that it runs.
    pub version: Name,
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
    /// The position at which the entry was learned.
    position: StorePosition,
    /// Set while the entry is missing although the endpoint may be alive.
    lapse: Option<Lapse>,
}

/// The absence of an endpoint's entry.
#[derive(Clone, Copy, Debug)]
struct Lapse {
    /// Time until which the endpoint is kept.
    until_us: Micros,
    /// The latest position at which the entry was missing.
    position: StorePosition,
}

impl TrackedEndpoint {
    /// Returns whether the entry shown at `position` is older than the known one, or may be. That an endpoint drains
    /// also holds against an older state that the store shows after it came back from a copy.
    fn is_newer_than(&self, shown: &EndpointEntry, position: StorePosition) -> bool {
        if self.entry.draining && !shown.draining {
            position.may_precede(self.position)
        } else {
            position < self.position
        }
    }

    /// Returns whether the entry was missing after `position`.
    fn is_lapsed_after(&self, position: StorePosition) -> bool {
        self.lapse.is_some_and(|lapse| lapse.position > position)
    }

    /// Marks the endpoint as draining since an earlier era of the store, if it may be shown as ready only because the
    /// store came back from a copy; returns whether it was marked.
    fn mark_draining_since(&mut self, position: StorePosition) -> bool {
        if self.entry.draining || !self.position.may_precede(position) {
            return false;
        }
        Arc::make_mut(&mut self.entry).draining = true;
        self.position = position;
        true
    }
}

/// An endpoint in a delta.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeltaEntry {
    /// Its latest entry.
    pub entry: EndpointEntry,
    /// The position at which the entry was learned.
    pub position: StorePosition,
    /// Set if the entry is missing although the endpoint may be alive.
    pub lapse: Option<DeltaLapse>,
}

/// The absence of an endpoint's entry, in a delta.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeltaLapse {
    /// Remaining time for which the endpoint is kept, in microseconds.
    pub left_us: Micros,
    /// The position at which the entry was missing.
    pub position: StorePosition,
}

/// The changes of the set after a position, or the whole set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointsDelta {
    /// The position of a set to which the delta was applied.
    pub position: StorePosition,
    /// The endpoints that changed, or all.
    pub entries: Vec<DeltaEntry>,
    /// The endpoints that were removed. A full snapshot has those that left before the store came back from a copy,
    /// which may show them again.
    pub removed: Vec<Removal>,
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

/// A removed endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Removal {
    /// A position at or after the removal.
    pub position: StorePosition,
    /// The endpoint's id.
    pub id: Name,
    /// Start time of the latest incarnation known at the removal, as in [`EndpointEntry::born_ms`].
    pub born_ms: u64,
    /// Whether the endpoint left, rather than that its entry was missing for too long.
    pub has_left: bool,
}

impl Removal {
    /// Returns whether an entry read at `position` is older than this removal or belongs to an earlier incarnation. An
    /// endpoint that left does not come back because a copy of the store shows its entry.
    fn supersedes(&self, entry: &EndpointEntry, position: StorePosition) -> bool {
        if self.id != entry.id {
            return false;
        }
        let is_same_start = self.born_ms == entry.born_ms;
        let is_copied = self.has_left && is_same_start && position.may_precede(self.position);
        position < self.position || self.born_ms > entry.born_ms || is_copied
    }
}

/// The set of endpoints.
#[derive(Debug, Default)]
pub struct Discovery {
    by_id: HashMap<Name, TrackedEndpoint>,
    /// Until this time a missing entry counts as lapsed, because the store was unreachable or came back from a copy.
    grace_until_us: Micros,
    /// The position up to which the set is known.
    position: StorePosition,
    /// The latest removals, and the position after which the list is complete; an instance behind
    /// that position gets a full snapshot.
    removals: VecDeque<Removal>,
    removals_complete_from: StorePosition,
}

impl Discovery {
    /// Returns the position up to which the set is known.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Records that the set is up to date with a position.
    pub fn advance_to(&mut self, position: StorePosition) {
        self.position = self.position.max(position);
    }

    /// Records that the store was unreachable until now.
    pub fn store_was_unreachable(&mut self, now_us: Micros) {
        self.grace_until_us = now_us + LAPSE_GRACE_US;
    }

    /// Records that the store came back from a copy, which may lack entries of live endpoints.
    pub fn store_returned_from_copy(&mut self, now_us: Micros) {
        self.grace_until_us = self.grace_until_us.max(now_us + COPY_GRACE_US);
    }

    /// Adds or updates an entry read at a position; returns what changed. Newer state is kept: a
    /// later incarnation wins whatever the positions say, since a late write of an earlier one may
    /// arrive after it.
    pub fn upsert(&mut self, entry: EndpointEntry, position: StorePosition) -> Option<Change> {
        let id = entry.id.clone();
        if self.removals.iter().any(|r| r.supersedes(&entry, position)) {
            return None;
        }
        let mut live = TrackedEndpoint {
            entry: Arc::new(entry),
            position,
            lapse: None,
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
        if known_born_ms > live.entry.born_ms {
            return None;
        }
        if known.is_newer_than(&live.entry, position) {
            let is_marked = live.entry.draining && known.mark_draining_since(position);
            return is_marked.then_some(Change::Updated);
        }
        live.lapse = known.lapse.filter(|lapse| lapse.position > position);
        let is_back = known.lapse.is_some() && live.lapse.is_none();
        let changed = known.entry != live.entry || is_back;
        *known = live;
        changed.then_some(Change::Updated)
    }

    /// Handles the absence of an entry at or before the position `at`; returns what changed.
    pub fn mark_removed(&mut self, now_us: Micros, id: &str, at: StorePosition) -> Option<Change> {
        let Some(known) = self.by_id.get_mut(id) else {
            // Instances behind may still have it.
            let earlier = self.removals.iter().filter(|r| &*r.id == id);
            let born_ms = earlier.map(|r| r.born_ms).max().unwrap_or(0);
            self.record_removal(Removal {
                position: at,
                id: id.into(),
                born_ms,
                has_left: true,
            });
            return None;
        };
        if known.position > at {
            return None;
        }
        if let Some(lapse) = &mut known.lapse
            && !known.entry.draining
        {
            // Instances whose position is between the two may have the entry.
            lapse.position = lapse.position.max(at);
            return None;
        }
        if now_us >= self.grace_until_us || known.entry.draining {
            self.drop_entry(id, at, true);
            return Some(Change::Gone);
        }
        known.lapse = Some(Lapse {
            until_us: self.grace_until_us,
            position: at,
        });
        Some(Change::Lapsed)
    }

    /// Removes an endpoint that was gone at or before the position `at`. Instances behind that
    /// position are sent the removal, so it must not be too low: other instances get the same
    /// changes in other batches.
    fn drop_entry(&mut self, id: &str, at: StorePosition, has_left: bool) {
        if let Some((id, known)) = self.by_id.remove_entry(id) {
            self.record_removal(Removal {
                position: at,
                id,
                born_ms: known.entry.born_ms,
                has_left: has_left || known.entry.draining,
            });
        }
    }

    fn record_removal(&mut self, removal: Removal) {
        self.removals.push_back(removal);
        if self.removals.len() > MAX_REMOVALS
            && let Some(oldest) = self.removals.pop_front()
        {
            self.removals_complete_from = self.removals_complete_from.max(oldest.position);
        }
    }

    /// Returns the changes after a position.
    pub fn delta_since(&self, now_us: Micros, since: StorePosition) -> EndpointsDelta {
        let is_whole = since < self.removals_complete_from
            || since == StorePosition::START
            || since.era() != self.position.era();
        let entries = self.by_id.values();
        let has_changed = |e: &&TrackedEndpoint| e.position > since || e.is_lapsed_after(since);
        let entries = entries.filter(|e| is_whole || has_changed(e));
        let entries = entries.map(|e| DeltaEntry {
            entry: (*e.entry).clone(),
            position: e.position,
            lapse: e.lapse.map(|lapse| DeltaLapse {
                left_us: lapse.until_us.saturating_sub(now_us),
                position: lapse.position,
            }),
        });
        let is_sent = |r: &&Removal| match is_whole {
            true => r.has_left && r.position.era() < self.position.era(),
            false => r.position > since,
        };
        // An endpoint that came back is not sent as removed: the receiver gets its new entry.
        let removed = self.removals.iter().filter(is_sent);
        let removed = removed.filter(|r| !self.by_id.contains_key(&r.id));
        EndpointsDelta {
            position: self.position,
            entries: entries.collect(),
            removed: removed.cloned().collect(),
            is_whole,
        }
    }

    /// Applies another instance's delta if it is newer; returns what changed.
    pub fn apply_delta(&mut self, now_us: Micros, delta: EndpointsDelta) -> Vec<(Name, Change)> {
        if delta.position <= self.position {
            return Vec::new();
        }
        let mut changes = match delta.is_whole {
            true => self.drop_unlisted(&delta),
            false => Vec::new(),
        };
        for changed in delta.entries {
            let id = changed.entry.id.clone();
            let change = self.upsert(changed.entry, changed.position);
            changes.extend(change.map(|c| (id.clone(), c)));
            if let Some(lapse) = changed.lapse
                && let Some(known) = self.by_id.get_mut(&id)
                && known.position <= lapse.position
                && !known.is_lapsed_after(lapse.position)
            {
                known.lapse = Some(Lapse {
                    until_us: now_us + lapse.left_us,
                    position: lapse.position,
                });
            }
        }
        for mut removal in delta.removed {
            if !delta.is_whole {
                removal.position = delta.position;
            }
            if let Some(id) = self.apply_removal(removal) {
                changes.push((id, Change::Gone));
            }
        }
        if delta.is_whole {
            self.removals_complete_from = delta.position;
        }
        self.advance_to(delta.position);
        changes
    }

    /// Removes the endpoints that a full snapshot does not have; returns what changed.
    fn drop_unlisted(&mut self, snapshot: &EndpointsDelta) -> Vec<(Name, Change)> {
        let listed: HashSet<&Name> = snapshot.entries.iter().map(|e| &e.entry.id).collect();
        let is_unlisted = |(id, known): &(&Name, &TrackedEndpoint)| {
            !listed.contains(id) && known.position <= snapshot.position
        };
        let unlisted = self.by_id.iter().filter(is_unlisted);
        let unlisted: Vec<Name> = unlisted.map(|(id, _)| id.clone()).collect();
        for id in &unlisted {
            self.drop_entry(id, snapshot.position, false);
        }
        let changes = unlisted.into_iter().map(|id| (id, Change::Gone));
        changes.collect()
    }

    /// Applies another instance's removal; returns the id if the endpoint was known and is gone now.
    fn apply_removal(&mut self, mut removal: Removal) -> Option<Name> {
        let id = removal.id.clone();
        let known = self.by_id.get(&id);
        if known.is_some_and(|e| !removal.supersedes(&e.entry, e.position)) {
            return None;
        }
        let dropped = self.by_id.remove(&id);
        if let Some(known) = &dropped {
            removal.has_left |= known.entry.draining;
            removal.born_ms = removal.born_ms.max(known.entry.born_ms);
        }
        self.record_removal(removal);
        dropped.map(|_| id)
    }

    /// Handles all entries that are missing from a full listing at a position; returns their ids
    /// and what changed.
    pub fn retain_listed(
        &mut self,
        now_us: Micros,
        at: StorePosition,
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
        if at > self.position {
            self.removals_complete_from = at;
        }
        changes
    }

    /// Removes endpoints whose grace period is over; returns their ids.
    pub fn expire(&mut self, now_us: Micros) -> Vec<Name> {
        let has_expired =
            |e: &TrackedEndpoint| e.lapse.is_some_and(|lapse| lapse.until_us <= now_us);
        let expired = self.by_id.iter().filter(|(_, e)| has_expired(e));
        let expired: Vec<Name> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.drop_entry(id, self.position.next(), false);
        }
        expired
    }

    /// Returns the latest entry of an endpoint.
    pub fn get(&self, id: &str) -> Option<&Arc<EndpointEntry>> {
        self.by_id.get(id).map(|e| &e.entry)
    }

    /// Returns the position at which the state of an endpoint was learned, also of one that was removed.
    pub fn position_of(&self, id: &str) -> Option<StorePosition> {
        let known = self.by_id.get(id).map(|e| e.position);
        known.or_else(|| {
            let removal = self.removals.iter().rev().find(|r| &*r.id == id)?;
            Some(removal.position)
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
