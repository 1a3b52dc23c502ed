//! The queue of one tier: ordered within each organisation, fair between organisations.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::types::RequestId;

/// How many organisations one selection considers, starting from the least served.
const ORGANISATIONS_PER_CHOICE: usize = 16;

/// Index of an organisation in the scheduler's table.
pub type OrgIndex = usize;

/// Sort key of a waiting request; the smallest goes first.
pub type OrderKey = (u64, RequestId);

#[derive(Clone, Debug, Default)]
struct OrgQueue {
    served: u64,
    waiting: BTreeSet<OrderKey>,
}

/// The waiting requests of one tier.
///
/// `served` is the work granted to an organisation, divided by its weight. An organisation is skipped
/// while its value is more than `slack` above that of the least served organisation that waits.
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

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request.
    pub fn insert(&mut self, organisation: OrgIndex, key: OrderKey) {
        let floor = self.active.first().map_or(0, |(served, _)| *served);
        let queue = self.organisations.entry(organisation).or_default();
        if queue.waiting.is_empty() {
            // An organisation builds up no credit while none of its requests wait.
            queue.served = queue.served.max(floor);
            self.active.insert((queue.served, organisation));
        }
        if queue.waiting.insert(key) {
            self.len += 1;
        }
    }

    /// Removes a request; returns whether it was in the queue.
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

    /// Adds `work`, already divided by the organisation's weight, to what it has been served.
    pub fn charge(&mut self, organisation: OrgIndex, work: u64) {
        let queue = self.organisations.entry(organisation).or_default();
        let was_active = self.active.remove(&(queue.served, organisation));
        queue.served += work;
        if was_active {
            self.active.insert((queue.served, organisation));
        }
    }

    /// Fills `out` with up to `limit` requests, in the order in which to try them.
    ///
    /// `is_eligible` says whether an organisation is below its concurrency limit.
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
