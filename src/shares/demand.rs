//! The engine time that organisations ask for at one instance, by service: moving rates, bounded in number.

use std::collections::HashMap;

use crate::prelude::{Micros, Rank, short_hash};

/// Time constant of the rates: short enough to follow a surge, long enough that an organisation's ten requests a second
/// are not taken for five or twenty.
pub const RATE_WINDOW_US: f64 = 1_000_000.0;
/// Organisations that are counted one by one; a level depends on those that ask for much.
pub const MAX_ORGANISATIONS: usize = 64;
/// Engine time a second, in microseconds, below which an organisation is forgotten.
const MIN_ASKED_US: f64 = 10.0;
/// Bits that count the distinct organisations beyond those.
const DISTINCT_BITS: usize = 2_048;
const DISTINCT_WORDS: usize = DISTINCT_BITS / 64;
/// The least urgent rank that is told apart.
const LEAST_URGENT_RANK: Rank = 2;
/// Kinds of requests within an organisation, in the order in which its share serves them.
pub const KINDS: usize = 2 * (LEAST_URGENT_RANK as usize + 1);

/// Identifies an organisation by a hash of its name. Two with the same hash are counted together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrganisationKey(pub u32);

impl OrganisationKey {
    /// Returns the key of an organisation; all requests without one count as one.
    pub fn of(name: Option<&str>) -> Self {
        Self(name.map_or(0, short_hash))
    }
}

/// A rate per second, averaged with exponentially decreasing weights.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    per_s: f64,
    at_us: Micros,
}

impl Rate {
    /// Adds an amount.
    pub fn add(&mut self, now_us: Micros, amount: f64) {
        self.per_s = self.get(now_us) + amount / (RATE_WINDOW_US / 1e6);
        self.at_us = self.at_us.max(now_us);
    }

    /// Returns the rate.
    pub fn get(&self, now_us: Micros) -> f64 {
        self.per_s * (-(now_us.saturating_sub(self.at_us) as f64) / RATE_WINDOW_US).exp()
    }
}

/// The place of a request in its organisation's share: more urgent ranks go first, and within a rank callers that were
/// refused before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind(usize);

impl Kind {
    /// Returns the kind of a request.
    pub fn of(rank: Rank, has_returned: bool) -> Self {
        Self(2 * usize::from(rank.min(LEAST_URGENT_RANK)) + usize::from(!has_returned))
    }
}

/// What one organisation asks for.
#[derive(Clone, Debug)]
pub struct OrganisationDemand {
    asked: [Rate; KINDS],
    /// The part of each kind that is let through.
    through: [f64; KINDS],
    /// Engine time that each kind may use before its next request is refused, in microseconds.
    credit_us: [f64; KINDS],
}

impl Default for OrganisationDemand {
    fn default() -> Self {
        Self {
            asked: [Rate::default(); KINDS],
            through: [1.0; KINDS],
            credit_us: [0.0; KINDS],
        }
    }
}

impl OrganisationDemand {
    /// Returns the engine time asked for, per second.
    pub fn asked(&self, now_us: Micros) -> f64 {
        self.asked.iter().map(|rate| rate.get(now_us)).sum()
    }

    /// Returns the part of `share` that is left for a rank after the demand of more urgent ones.
    pub fn left_for_rank(&self, now_us: Micros, share: f64, rank: Rank) -> f64 {
        let more_urgent = &self.asked[..2 * usize::from(rank.min(LEAST_URGENT_RANK))];
        let asked: f64 = more_urgent.iter().map(|rate| rate.get(now_us)).sum();
        (share - asked).max(0.0)
    }

    /// Counts a request.
    pub fn note_asked(&mut self, now_us: Micros, kind: Kind, engine_us: f64) {
        self.asked[kind.0].add(now_us, engine_us);
    }

    /// Divides the part of the demand that is let through among the kinds, in their order.
    pub fn set_through(&mut self, now_us: Micros, part: f64) {
        let mut left = self.asked(now_us) * part.clamp(0.0, 1.0);
        for (through, asked) in self.through.iter_mut().zip(&self.asked) {
            let asked = asked.get(now_us);
            *through = if part >= 1.0 {
                1.0
            } else {
                (left / asked.max(1e-9)).min(1.0)
            };
            left = (left - asked).max(0.0);
        }
    }

    /// Returns whether the next request of a kind is let through, so that over time the part set by
    /// [`Self::set_through`] is. `draw`, from 0 to 1, sets where a kind begins that has asked for nothing lately.
    pub fn take(&mut self, kind: Kind, engine_us: f64, draw: f64) -> bool {
        let (through, credit_us) = (self.through[kind.0], &mut self.credit_us[kind.0]);
        if through >= 1.0 {
            // Begins anew with the next shortage, so that instances with few requests differ.
            *credit_us = -draw * engine_us;
            return true;
        }
        *credit_us += through * engine_us;
        let is_through = *credit_us >= 0.0;
        if is_through {
            *credit_us -= engine_us;
        }
        is_through
    }
}

/// What all organisations ask for of one service at this instance.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    organisations: HashMap<OrganisationKey, OrganisationDemand>,
    /// All organisations that are not counted one by one.
    others: OrganisationDemand,
    distinct: Distinct,
}

impl DemandTable {
    /// Returns the entry in which an organisation is counted. A full table counts one that is new together with the
    /// others, unless one of the table asks for nothing any more.
    pub fn entry(&mut self, now_us: Micros, key: OrganisationKey) -> &mut OrganisationDemand {
        let is_known = self.organisations.contains_key(&key);
        if is_known || self.organisations.len() < MAX_ORGANISATIONS {
            return self.organisations.entry(key).or_default();
        }
        self.distinct.note(now_us, key);
        &mut self.others
    }

    /// Returns the entry for which a level is kept, without creating one.
    pub fn known(&self, key: OrganisationKey) -> &OrganisationDemand {
        self.organisations.get(&key).unwrap_or(&self.others)
    }

    /// Returns the organisations that are counted one by one.
    pub fn organisations(&self) -> impl Iterator<Item = (OrganisationKey, &OrganisationDemand)> {
        self.organisations
            .iter()
            .map(|(key, demand)| (*key, demand))
    }

    /// Returns the demand of all others, and their number.
    pub fn others(&self, now_us: Micros) -> (f64, f64) {
        (self.others.asked(now_us), self.distinct.count(now_us))
    }

    /// Drops organisations that ask for next to nothing, or in a full table for less than the mean of the others, so
    /// that those get their place.
    pub fn expire(&mut self, now_us: Micros) {
        let (asked, count) = self.others(now_us);
        let is_full = self.organisations.len() >= MAX_ORGANISATIONS && count > 0.0;
        let mean_asked = if is_full { asked / count } else { 0.0 };
        let min_asked = mean_asked.max(MIN_ASKED_US);
        self.organisations
            .retain(|_, demand| demand.asked(now_us) >= min_asked);
    }

    /// Sets the part of each organisation's demand that is let through.
    pub fn set_through(&mut self, now_us: Micros, part: impl Fn(Option<OrganisationKey>) -> f64) {
        for (key, demand) in &mut self.organisations {
            demand.set_through(now_us, part(Some(*key)));
        }
        self.others.set_through(now_us, part(None));
    }
}

/// Counts distinct organisations of the last one to two seconds in a fixed space, by linear counting.
#[derive(Clone, Debug)]
struct Distinct {
    current: [u64; DISTINCT_WORDS],
    previous: [u64; DISTINCT_WORDS],
    since_us: Micros,
}

impl Default for Distinct {
    fn default() -> Self {
        Self {
            current: [0; DISTINCT_WORDS],
            previous: [0; DISTINCT_WORDS],
            since_us: 0,
        }
    }
}

impl Distinct {
    fn note(&mut self, now_us: Micros, key: OrganisationKey) {
        let age_us = now_us.saturating_sub(self.since_us) as f64;
        if age_us >= RATE_WINDOW_US {
            let is_recent = age_us < 2.0 * RATE_WINDOW_US;
            let current = std::mem::replace(&mut self.current, [0; DISTINCT_WORDS]);
            self.previous = if is_recent {
                current
            } else {
                [0; DISTINCT_WORDS]
            };
            self.since_us = now_us;
        }
        let bit = key.0 as usize % DISTINCT_BITS;
        self.current[bit / 64] |= 1 << (bit % 64);
    }

    fn count(&self, now_us: Micros) -> f64 {
        if now_us.saturating_sub(self.since_us) as f64 >= 2.0 * RATE_WINDOW_US {
            return 0.0;
        }
        let words = self.current.iter().zip(&self.previous);
        let set: u32 = words.map(|(a, b)| (a | b).count_ones()).sum();
        let free = (DISTINCT_BITS as f64 - f64::from(set)).max(1.0);
        -(DISTINCT_BITS as f64) * (free / DISTINCT_BITS as f64).ln()
    }
}
