//! What an instance was granted and denied.

use std::collections::HashMap;

use crate::prelude::{Incarnation, Micros, Rank};

/// The least urgent rank that is told apart.
const RANKS: usize = 3;

/// Quota for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The organisation, by its hash.
    pub organisation: u32,
    /// How much.
    pub units: u32,
    /// Where it came from, if it came whole from one account.
    pub from: Option<(Incarnation, u8)>,
}

/// Why there is no quota for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    /// When there will be some.
    pub wait_us: Micros,
    /// Units left where it was asked, the most of them; none if nobody answered.
    pub level: Option<i64>,
    /// It was not asked for: a question shortly before was denied.
    pub is_cached: bool,
    /// No share is leased where it was asked: leases are moving, and there may be some in a moment.
    pub is_unleased: bool,
}

/// What came of asking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent.
    Granted(Grant),
    /// It may not.
    Denied(Denied),
}

/// A grant that came after whoever asked had given up, and is kept for a later request.
#[derive(Clone, Copy, Debug)]
pub(super) struct LateGrant {
    pub(super) units: u32,
    pub(super) until_us: Micros,
    /// Who granted it, and from which account.
    pub(super) from: (Incarnation, u8),
}

/// There is no quota until a time for requests of some size and above.
#[derive(Clone, Copy, Debug, Default)]
struct Denial {
    until_us: Micros,
    units: u32,
}

#[derive(Debug, Default)]
struct OrganisationState {
    late_grants: Vec<LateGrant>,
    /// By rank.
    denials: [Denial; RANKS],
}

/// Grants that came late, and denials that still hold.
#[derive(Debug, Default)]
pub(super) struct Client {
    organisations: HashMap<u32, OrganisationState>,
}

impl Client {
    /// Takes quota that was granted before; none if there is not enough.
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

    /// Keeps quota for a later request.
    pub(super) fn store_late_grant(&mut self, organisation: u32, late_grant: LateGrant) {
        let state = self.organisations.entry(organisation).or_default();
        state.late_grants.push(late_grant);
    }

    /// Returns the quota that was not used in its time.
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

    /// Returns for how much longer a request is denied without a question.
    pub(super) fn denied_for_us(
        &self,
        now_us: Micros,
        organisation: u32,
        units: u32,
        rank: Rank,
    ) -> Option<Micros> {
        let state = self.organisations.get(&organisation)?;
        let denial = state.denials[rank_index(rank)];
        let holds = denial.until_us > now_us && units >= denial.units;
        holds.then(|| denial.until_us - now_us)
    }

    /// Notes that requests like a denied one are denied for a while: those that are as large, and as urgent at most.
    pub(super) fn record_denial(
        &mut self,
        now_us: Micros,
        organisation: u32,
        units: u32,
        rank: Rank,
        until_us: Micros,
    ) {
        let state = self.organisations.entry(organisation).or_default();
        for denial in &mut state.denials[rank_index(rank)..] {
            let has_expired = denial.until_us <= now_us;
            if has_expired || units <= denial.units {
                *denial = Denial { until_us, units };
            }
        }
    }

    /// Forgets organisations without a limit.
    pub(super) fn retain(&mut self, is_kept: impl Fn(u32) -> bool) {
        self.organisations
            .retain(|organisation, _| is_kept(*organisation));
    }
}

fn rank_index(rank: Rank) -> usize {
    usize::from(rank).min(RANKS - 1)
}
