//! Limits on what an organisation uses over all instances together.
//!
//! Each instance keeps a bucket a limit, filled at the whole rate and emptied by its own use and by
//! what the others tell of theirs. Of those that say nothing it takes for granted that they use
//! their equal share, so that instances that cannot hear each other stay within the whole together.

use std::collections::HashMap;

use crate::{
    gateway::config::{GatewayConfig, UseLimit, UseUnit},
    prelude::{Incarnation, Micros, Name},
};

/// The share of a bucket's depth that a fresh process starts with: what was used before it started
/// is not known to it.
const START_SHARE: f64 = 0.25;
/// The share of the tolerance above a limit that the buckets make use of; the rest covers what was
/// used and not yet heard of.
const TOLERANCE_SHARE: f64 = 0.4;

/// How far above its limit an organisation may come in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Share of the limit.
    pub overage: f64,
    /// Units on top.
    pub slack: f64,
}

/// How many instances share a limit, and how many of them are heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharers {
    /// All, this one included.
    pub all: usize,
    /// Those whose use is known, this one included.
    pub heard: usize,
}

#[derive(Debug)]
struct Bucket {
    limit: UseLimit,
    depth: f64,
    level: f64,
    filled_us: Micros,
    used: u64,
}

/// The buckets of all organisations with a limit.
#[derive(Debug)]
pub struct OrganisationLimits {
    tolerance: Tolerance,
    buckets: HashMap<Name, Bucket>,
    /// What each other instance told last, by organisation.
    told: HashMap<(Incarnation, u32), u64>,
}

/// Shortens a name to what instances tell each other.
pub fn short_hash(name: &str) -> u32 {
    let mut hash = 0x811c_9dc5_u32;
    for byte in name.bytes() {
        hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    hash
}

impl OrganisationLimits {
    /// Starts without limits.
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            buckets: HashMap::new(),
            told: HashMap::new(),
        }
    }

    /// Replaces the tolerance; it counts from the next configuration on.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Takes the limits of a configuration; what was used stays counted.
    pub fn configure(&mut self, now_us: Micros, config: &GatewayConfig) {
        let mut buckets = HashMap::new();
        for organisation in &config.organisations {
            let Some(limit) = organisation.limit else {
                continue;
            };
            let known = self.buckets.remove(&organisation.name);
            let bucket = self.bucket(now_us, limit, known);
            buckets.insert(organisation.name.clone(), bucket);
        }
        self.buckets = buckets;
    }

    fn bucket(&self, now_us: Micros, limit: UseLimit, known: Option<Bucket>) -> Bucket {
        let window_total = limit.rate_per_s * self.tolerance.window_s + limit.burst;
        let tolerance = window_total * self.tolerance.overage + self.tolerance.slack;
        let depth = limit.burst + tolerance * TOLERANCE_SHARE;
        match known {
            Some(known) => {
                // The share that was left is kept.
                let share = known.level / known.depth.max(1.0);
                Bucket {
                    limit,
                    depth,
                    level: share * depth,
                    ..known
                }
            }
            None => Bucket {
                limit,
                depth,
                level: depth * START_SHARE,
                filled_us: now_us,
                used: 0,
            },
        }
    }

    /// Takes `tokens` (or one request) of an organisation's limit; none left is an error that says
    /// in how many milliseconds there will be.
    ///
    /// # Errors
    /// The limit is used up.
    pub fn take(
        &mut self,
        now_us: Micros,
        organisation: &str,
        tokens: Option<u32>,
        sharers: Sharers,
    ) -> Result<(), u32> {
        let Some(bucket) = self.buckets.get_mut(organisation) else {
            return Ok(());
        };
        let units = bucket.units(tokens);
        bucket.fill(now_us, sharers);
        if bucket.level < units {
            let missing = units - bucket.level;
            let rate = (bucket.limit.rate_per_s * sharers.share()).max(1.0);
            return Err((missing / rate * 1e3).clamp(50.0, 60_000.0) as u32);
        }
        bucket.level -= units;
        bucket.used += units as u64;
        Ok(())
    }

    /// Gives back what a request took that did not run.
    pub fn give_back(&mut self, organisation: &str, tokens: Option<u32>) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            let units = bucket.units(tokens);
            // `used` stays: the others have counted it, and a total that falls would confuse them.
            bucket.level += units;
        }
    }

    /// Returns what each organisation used here since this process started, by short hash.
    pub fn used(&self) -> Vec<(u32, u64)> {
        let used = self.buckets.iter().filter(|(_, b)| b.used > 0);
        used.map(|(name, b)| (short_hash(name), b.used)).collect()
    }

    /// Takes what another instance used since it started. Of the first word from a start nothing
    /// counts: this process may be the newer one, and the use long past.
    pub fn told(&mut self, from: Incarnation, organisation: u32, used: u64, is_first: bool) {
        let known = self.told.insert((from, organisation), used);
        let before = known.unwrap_or(if is_first { used } else { 0 });
        let units = used.saturating_sub(before) as f64;
        let named = self
            .buckets
            .iter_mut()
            .find(|(n, _)| short_hash(n) == organisation);
        if let Some((_, bucket)) = named {
            bucket.level -= units;
        }
    }

    /// Forgets an instance that is gone.
    pub fn forget(&mut self, gone: Incarnation) {
        self.told.retain(|(from, _), _| *from != gone);
    }
}

impl Sharers {
    /// Returns the share of a limit that those heard may use together.
    pub fn share(self) -> f64 {
        self.heard as f64 / self.all.max(self.heard).max(1) as f64
    }
}

impl Bucket {
    fn units(&self, tokens: Option<u32>) -> f64 {
        match self.limit.unit {
            UseUnit::Requests => 1.0,
            UseUnit::Tokens { without_tokens } => f64::from(tokens.unwrap_or(without_tokens)),
        }
    }

    fn fill(&mut self, now_us: Micros, sharers: Sharers) {
        let since_s = now_us.saturating_sub(self.filled_us) as f64 / 1e6;
        self.filled_us = now_us;
        let gained = self.limit.rate_per_s * sharers.share() * since_s;
        self.level = (self.level + gained).min(self.depth * sharers.share());
    }
}
