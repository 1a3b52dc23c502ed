//! The waiting requests of one tier: ordered within an organisation, shared fairly among them.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::types::RequestId;

/// How many organisations one choice looks at, from the least served on.
const ORGANISATIONS_PER_CHOICE: usize = 16;

/// An organisation's place in the scheduler's tables.
pub type OrgIndex = usize;

/// Orders the requests of one organisation; the smallest goes first.
pub type OrderKey = (u64, RequestId);

#[derive(Clone, Debug, Default)]
struct OrgQueue {
    served: u64,
    waiting: BTreeSet<OrderKey>,
}

/// The waiting requests of one tier.
///
/// `served` counts the work given to an organisation over its weight. An organisation is passed
/// over while its count is more than `slack` above that of the least served one that waits.
#[derive(Clone, Debug, Default)]
pub struct TierQueue {
    organisations: BTreeMap<OrgIndex, OrgQueue>,
    active: BTreeSet<(u64, OrgIndex)>,
    len: usize,
}

impl TierQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request.
    pub fn insert(&mut self, organisation: OrgIndex, key: OrderKey) {
        let floor = self.active.first().map_or(0, |(served, _)| *served);
        let queue = self.organisations.entry(organisation).or_default();
        if queue.waiting.is_empty() {
            // Credit is not saved up while nothing waits.
            queue.served = queue.served.max(floor);
            self.active.insert((queue.served, organisation));
        }
        if queue.waiting.insert(key) {
            self.len += 1;
        }
    }

    /// Takes a request out; returns whether it was there.
    pub fn remove(&mut self, organisation: OrgIndex, key: OrderKey) -> bool {
        let Some(queue) = self.organisations.get_mut(&organisation) else {
            return false;
        };
        if !queue.waiting.remove(&key) {
            return false;
        }
        self.len -= 1;
        if queue.waiting.is_empty() {
            self.active.remove(&(queue.served, organisation));
        }
        true
    }

    /// Charges an organisation for `work` (already divided by its weight).
    pub fn charge(&mut self, organisation: OrgIndex, work: u64) {
        let queue = self.organisations.entry(organisation).or_default();
        let was_active = self.active.remove(&(queue.served, organisation));
        queue.served += work;
        if was_active {
            self.active.insert((queue.served, organisation));
        }
    }

    /// Fills `out` with up to `limit` requests, in the order in which they should be tried.
    ///
    /// `is_eligible` says whether an organisation is below its own ceiling.
    pub fn candidates(
        &self,
        limit: usize,
        slack: u64,
        is_eligible: impl Fn(OrgIndex) -> bool,
        out: &mut Vec<OrderKey>,
    ) {
        out.clear();
        let mut least = None;
        let mut considered = 0;
        for &(served, organisation) in &self.active {
            if !is_eligible(organisation) {
                continue;
            }
            let least = *least.get_or_insert(served);
            if served > least.saturating_add(slack) || considered == ORGANISATIONS_PER_CHOICE {
                break;
            }
            considered += 1;
            let queue = &self.organisations[&organisation];
            out.extend(queue.waiting.iter().take(limit).copied());
        }
        out.sort_unstable();
        out.truncate(limit);
    }

    /// Returns the request that would be served last.
    pub fn last(&self) -> Option<(OrgIndex, OrderKey)> {
        let (_, organisation) = self.active.last()?;
        let key = self.organisations[organisation].waiting.last()?;
        Some((*organisation, *key))
    }

    /// Iterates over all waiting requests.
    pub fn iter(&self) -> impl Iterator<Item = &OrderKey> {
        self.organisations.values().flat_map(|q| q.waiting.iter())
    }
}
