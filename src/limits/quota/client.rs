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
pub(super) struct Credit {
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
struct Account {
    credits: Vec<Credit>,
    /// By rank.
    denials: [Denial; RANKS],
}

/// Grants that came late, and denials that still hold.
#[derive(Debug, Default)]
pub(super) struct Client {
    accounts: HashMap<u32, Account>,
}

impl Client {
    /// Takes quota that was granted before; none if there is not enough.
    pub(super) fn use_credit(
        &mut self,
        now_us: Micros,
        organisation: u32,
        units: u32,
    ) -> Option<Grant> {
        let account = self.accounts.get_mut(&organisation)?;
        let is_sound = |c: &Credit| c.until_us > now_us;
        let sound = account.credits.iter().filter(|c| is_sound(c));
        let left: u64 = sound.map(|c| u64::from(c.units)).sum();
        if left < u64::from(units) {
            return None;
        }
        let mut needed = units;
        for credit in account.credits.iter_mut().filter(|c| is_sound(c)) {
            let taken = credit.units.min(needed);
            credit.units -= taken;
            needed -= taken;
        }
        account.credits.retain(|c| c.units > 0);
        Some(Grant {
            organisation,
            units,
            from: None,
        })
    }

    /// Keeps quota for a later request.
    pub(super) fn keep(&mut self, organisation: u32, credit: Credit) {
        let account = self.accounts.entry(organisation).or_default();
        account.credits.push(credit);
    }

    /// Returns the quota that was not used in its time.
    pub(super) fn take_expired(&mut self, now_us: Micros) -> Vec<Grant> {
        let mut expired = Vec::new();
        for (organisation, account) in &mut self.accounts {
            let gone = account.credits.extract_if(.., |c| c.until_us <= now_us);
            expired.extend(gone.map(|credit| Grant {
                organisation: *organisation,
                units: credit.units,
                from: Some(credit.from),
            }));
        }
        expired
    }

    /// Returns for how much longer a request is denied without a question.
    pub(super) fn denied_us(
        &self,
        now_us: Micros,
        organisation: u32,
        units: u32,
        rank: Rank,
    ) -> Option<Micros> {
        let account = self.accounts.get(&organisation)?;
        let denial = account.denials[index(rank)];
        let holds = denial.until_us > now_us && units >= denial.units;
        holds.then(|| denial.until_us - now_us)
    }

    /// Notes that requests like a denied one are denied for a while: those that are as large, and as urgent at most.
    pub(super) fn note_denied(
        &mut self,
        now_us: Micros,
        organisation: u32,
        units: u32,
        rank: Rank,
        until_us: Micros,
    ) {
        let account = self.accounts.entry(organisation).or_default();
        for denial in &mut account.denials[index(rank)..] {
            let is_over = denial.until_us <= now_us;
            if is_over || units <= denial.units {
                *denial = Denial { until_us, units };
            }
        }
    }

    /// Forgets organisations without a limit.
    pub(super) fn retain(&mut self, is_kept: impl Fn(u32) -> bool) {
        self.accounts
            .retain(|organisation, _| is_kept(*organisation));
    }
}

fn index(rank: Rank) -> usize {
    usize::from(rank).min(RANKS - 1)
}
