//! The endpoints there are, as the platform's store tells: ready, draining, lapsed or gone.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use crate::prelude::{Micros, Name};

/// How long an endpoint whose entry lapsed while the store was away is still used: entries of
/// living endpoints are back within about two seconds of the store's return.
const LAPSE_US: Micros = 1_800_000;

/// What an endpoint's entry in the store says.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// This start of the endpoint; no two starts share it.
    pub id: Name,
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

/// An endpoint as far as it is known.
#[derive(Clone, Debug)]
pub struct LiveEndpoint {
    /// Its newest entry.
    pub entry: Arc<EndpointEntry>,
    /// Set while its entry is missing though it may live.
    lapsed_until_us: Option<Micros>,
}

/// A change of the set, for the log and for whoever keeps state by endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// An endpoint that was not known.
    Appeared,
    /// A known endpoint's entry changed.
    Updated,
    /// Its entry is gone, but it may live.
    Lapsed,
    /// It is gone.
    Gone,
}

/// The set of endpoints.
#[derive(Debug, Default)]
pub struct Discovery {
    by_id: HashMap<Name, LiveEndpoint>,
    /// Until when a missing entry may have lapsed because the store was away.
    forgiving_until_us: Micros,
}

impl Discovery {
    /// Notes that the store could not be reached until now.
    pub fn store_was_away(&mut self, now_us: Micros) {
        self.forgiving_until_us = now_us + LAPSE_US;
    }

    /// Takes an entry; returns what changed.
    pub fn seen(&mut self, entry: EndpointEntry) -> Option<Change> {
        let id = entry.id.clone();
        let live = LiveEndpoint {
            entry: Arc::new(entry),
            lapsed_until_us: None,
        };
        let Some(known) = self.by_id.get_mut(&id) else {
            self.by_id.insert(id, live);
            return Some(Change::Appeared);
        };
        let changed = known.entry != live.entry || known.lapsed_until_us.is_some();
        *known = live;
        changed.then_some(Change::Updated)
    }

    /// Takes word that an entry is gone; returns what changed.
    pub fn removed(&mut self, now_us: Micros, id: &str) -> Option<Change> {
        let known = self.by_id.get_mut(id)?;
        if now_us >= self.forgiving_until_us || known.entry.draining {
            self.by_id.remove(id);
            return Some(Change::Gone);
        }
        if known.lapsed_until_us.is_some() {
            return None;
        }
        known.lapsed_until_us = Some(self.forgiving_until_us);
        Some(Change::Lapsed)
    }

    /// Takes a whole list; returns the ids that are not on it and what became of each.
    pub fn retain_listed(
        &mut self,
        now_us: Micros,
        listed: impl Fn(&str) -> bool,
    ) -> Vec<(Name, Change)> {
        let ids = self.by_id.keys().filter(|id| !listed(id));
        let missing: Vec<Name> = ids.cloned().collect();
        let changes = missing.into_iter().filter_map(|id| {
            let change = self.removed(now_us, &id)?;
            Some((id, change))
        });
        changes.collect()
    }

    /// Removes those whose lapse is over; returns their ids.
    pub fn expire(&mut self, now_us: Micros) -> Vec<Name> {
        let over = |e: &LiveEndpoint| e.lapsed_until_us.is_some_and(|until| until <= now_us);
        let expired = self.by_id.iter().filter(|(_, e)| over(e));
        let expired: Vec<Name> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.by_id.remove(id);
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
