//! The client side of quota: grants, denials and their caches.

use std::collections::HashMap;

use crate::prelude::{Incarnation, Micros, Rank};

/// Number of ranks that are distinguished; less urgent ones count as the last.
const RANKS: usize = 3;

/// Quota for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Hash of the organisation's name.
    pub organisation: u32,
    /// Units granted.
    pub units: u32,
    /// The account that granted it; none if it is made up of several grants.
    pub from: Option<GrantSource>,
}

/// The account that made a grant, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantSource {
    /// The quota server.
    pub server: Incarnation,
    /// Index of the account among those of the organisation.
    pub copy: u8,
    /// Time of the grant on the server's clock.
    pub granted_us: Micros,
}

/// The reason why a request got no quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    /// Time until a retry may succeed.
    pub wait_us: Micros,
    /// Units left in the account that answered with the shortest wait; none if there was no such answer.
    pub level: Option<i64>,
    /// No server was queried, because a similar request was denied shortly before.
    pub is_cached: bool,
    /// No share is leased to the queried server, or not yet all: leases are being moved, and there may be quota in a
    /// moment.
    pub is_unleased: bool,
}

/// The outcome of a quota request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run.
    Granted(Grant),
    /// The request may not run now.
    Denied(Denied),
}

/// A grant that arrived after its request had been given up, kept for later requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct LateGrant {
    pub(super) units: u32,
    pub(super) until_us: Micros,
    pub(super) from: GrantSource,
}

/// Until a time, requests of a size and above are denied without a query.
#[derive(Clone, Copy, Debug, Default)]
struct Denial {
    until_us: Micros,
    units: u32,
    /// As in [`Denied::is_unleased`].
    is_unleased: bool,
}

#[derive(Debug, Default)]
struct OrganisationState {
    late_grants: Vec<LateGrant>,
    /// Indexed by rank.
    denials: [Denial; RANKS],
}

/// Late grants for reuse, and denials that are still in force.
#[derive(Debug, Default)]
pub(super) struct Client {
    organisations: HashMap<u32, OrganisationState>,
}

impl Client {
    /// Takes units from late grants; none if they do not cover the request.
    pub(super) fn use_late_grants(
        &mut self,
        now_us: Micros,
        organisation: u32,
        units: u32,
    ) -> Option<Grant> {
        let state = self.organisations.get_mut(&organisation)?;
        let is_valid = |c: &LateGrant| c.until_us > now_us;
        let valid = state.late_grants.iter().filter(|c| is_valid(c));
        let left: u64 = valid.map(|c| u64::from(c.units)).sum();
        if left < u64::from(units) {
            return None;
        }
        let mut needed = units;
        for late_grant in state.late_grants.iter_mut().filter(|c| is_valid(c)) {
            let used = late_grant.units.min(needed);
            late_grant.units -= used;
            needed -= used;
        }
        state.late_grants.retain(|c| c.units > 0);
        Some(Grant {
            organisation,
            units,
            from: None,
        })
    }

    /// Stores a grant for later requests.
    pub(super) fn store_late_grant(&mut self, organisation: u32, late_grant: LateGrant) {
        let state = self.organisations.entry(organisation).or_default();
        state.late_grants.push(late_grant);
    }

    /// Removes and returns the late grants that expired unused.
    pub(super) fn take_expired(&mut self, now_us: Micros) -> Vec<Grant> {
        let mut expired = Vec::new();
        for (organisation, state) in &mut self.organisations {
            let removed = state.late_grants.extract_if(.., |c| c.until_us <= now_us);
            expired.extend(removed.map(|late_grant| Grant {
                organisation: *organisation,
                units: late_grant.units,
                from: Some(late_grant.from),
            }));
        }
        expired
    }

    /// Returns the denial of a request that is denied without a query; none if it is not.
    pub(super) fn cached_denial(
        &self,
        now_us: Micros,
        organisation: u32,
        units: u32,
        rank: Rank,
    ) -> Option<Denied> {
        let state = self.organisations.get(&organisation)?;
        let denial = state.denials[rank_index(rank)];
        let holds = denial.until_us > now_us && units >= denial.units;
        holds.then(|| Denied {
            wait_us: denial.until_us - now_us,
            level: None,
            is_cached: true,
            is_unleased: denial.is_unleased,
        })
    }

    /// Records a denial: until it expires, requests that are at least as large and no more urgent are denied as well.
    pub(super) fn record_denial(
        &mut self,
        now_us: Micros,
        organisation: u32,
        units: u32,
        rank: Rank,
        denied: &Denied,
    ) {
        let until_us = now_us + denied.wait_us;
        let is_unleased = denied.is_unleased;
        let state = self.organisations.entry(organisation).or_default();
        for denial in &mut state.denials[rank_index(rank)..] {
            let has_expired = denial.until_us <= now_us;
            if has_expired || units <= denial.units {
                *denial = Denial {
                    until_us,
                    units,
                    is_unleased,
                };
            }
        }
    }

    /// Removes the state of organisations that are not kept.
    pub(super) fn retain(&mut self, is_kept: impl Fn(u32) -> bool) {
        self.organisations
            .retain(|organisation, _| is_kept(*organisation));
    }
}

fn rank_index(rank: Rank) -> usize {
    usize::from(rank).min(RANKS - 1)
}
