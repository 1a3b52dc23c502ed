//! Limits on what an organisation uses over all instances together.
//!
//! Each instance keeps a bucket a limit, filled at the whole rate and emptied by its own use and by
//! what the others tell of theirs. Of those that say nothing it takes for granted that they use
//! their equal share, so that instances that cannot hear each other stay within the whole together.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    gateway::config::{GatewayConfig, UseLimit, UseUnit},
    prelude::{Incarnation, Micros, Name, Rank},
};

/// The share of what may be used in a window, tolerance included, that the buckets give out; the
/// rest covers what was used and not yet heard of, and requests that endpoints run later than they
/// were sent.
const GIVEN_SHARE: f64 = 0.88;
/// What an instance may use unheard is a bucket's depth divided by this and by the root of their
/// number: by the number itself, ordinary requests would be news to everybody.
const NEWS_PARTS: f64 = 8.0;
/// The span over which the rate of another instance's use is taken, in seconds.
const RATE_SPAN_S: f64 = 0.5;
/// The share of a bucket that is left to the more urgent, a rank.
const RANK_RESERVE: f64 = 0.1;
/// In groups of [`LARGE_GROUP`] instances and more, the last of a limit up to this share of a bucket
/// is given out by chance, the less of it the fewer requests: all find the same level in their buckets
/// and hear of each other's use some tenths of a second late, and what came in at once for all would
/// be given out many times.
const CHANCE_SHARE: f64 = 0.25;
/// In smaller groups that share is smaller in proportion.
const LARGE_GROUP: f64 = 50.0;
/// In groups of twice this many and more it is twice as large: their words are older. With 295 instances
/// and an organisation that sent 3.5 times its usual, levels swung by .8 M tokens around a limit of 1.36
/// M a second.
const LARGEST_GROUP: f64 = 100.0;
/// For this long after its start a process that is not among the first of all gives out only a part of
/// what was withheld as it hears of others: of the rest they are taken to have used what they have not
/// said yet. After the loss of 295 instances an organisation came 11 in 100 above its limit.
const RESTARTING_US: Micros = 4_000_000;
const RESTARTING_SHARE: f64 = 0.5;
/// A process takes over how full the buckets are from one that has run longer, in this time after
/// its start.
const LEARNING_US: Micros = 2_000_000;
/// The buckets of a process that starts later than the first do not fill for this long: until then
/// it doesn't know how many share them.
const MEETING_US: Micros = 300_000;
/// Seconds of the rate that such a process finds in its buckets, unless it hears how full they are:
/// if nobody ran on, nobody used anything while processes started again, which takes that long.
const RESTART_LEVEL_S: f64 = 1.3;
/// How long what a silent instance used is known; it may be cut off and come back.
const SILENT_KEPT_US: Micros = 60_000_000;
/// Instances that start within this time of each other have heard of all that either used.
pub const SAME_START_MS: u32 = 400;
const SAME_START_US: Micros = SAME_START_MS as Micros * 1_000;

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
    /// The part of what is left that belongs to instances that are not heard. They may use it unseen;
    /// what they did not use is given out again once they are heard and said so. Before, what was left
    /// was cut for good each time some words were lost: with 97 to 295 of 295 instances heard on a calm
    /// day, organisations below their limits were refused for seconds.
    withheld: f64,
    /// Who shared the limit when it was filled last.
    sharers: Sharers,
    /// Until then what was withheld is given out in part.
    restarting_until_us: Micros,
    filled_us: Micros,
    /// Counts the requests that asked.
    asked: u64,
    used: u64,
    /// Requests refused since the state was shown last.
    refused: u64,
    /// What was used when the state was shown last.
    shown_used: u64,
    /// Units used since everybody was told.
    untold: f64,
    /// How full it is was taken over from another instance.
    has_learned: bool,
    /// What the other instances told last.
    others: HashMap<Incarnation, OtherUse>,
    /// Units a second that they are taken to use until they tell again.
    others_rate: f64,
}

#[derive(Clone, Copy, Debug)]
struct OtherUse {
    used: u64,
    told_us: Micros,
    rate_per_s: f64,
}

/// Why a limit left no room for a request: what was believed of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsedUp {
    /// When there will be room, in milliseconds from now.
    pub wait_ms: u32,
    /// Units left here; below nothing after others used more than was known.
    pub level: i64,
    /// Units that were left to more urgent requests or other instances.
    pub reserve: i64,
    /// Units that instances which are not heard may use.
    pub withheld: i64,
    /// Who shares the limit.
    pub sharers: Sharers,
    /// Age of the oldest word on others' use that counts, in milliseconds.
    pub oldest_word_ms: Micros,
}

/// What an instance believes of a limit, for its log.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitState {
    /// The organisation.
    pub organisation: Name,
    /// The limit in force here.
    pub limit: UseLimit,
    /// Units that the bucket holds at most.
    pub depth: f64,
    /// Units left here; below nothing after others used more than was known.
    pub level: f64,
    /// Units that instances which are not heard may use.
    pub withheld: f64,
    /// Units used here since the bucket was made.
    pub used: u64,
    /// Units that others reported, since their starts.
    pub others_used: u64,
    /// Age of the oldest report that counts, in milliseconds.
    pub oldest_report_ms: Micros,
    /// Requests refused here since the state before.
    pub refused: u64,
}

/// How a configuration changed a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The organisation.
    pub organisation: Name,
    /// The limit before; none if there was none.
    pub before: Option<UseLimit>,
    /// The limit from now on; none if there is none any more.
    pub after: Option<UseLimit>,
    /// Units left before.
    pub level_before: f64,
    /// Units left after.
    pub level: f64,
}

/// What an instance tells of its use of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ToldUse {
    /// The organisation, by [`short_hash`].
    pub organisation: u32,
    /// Units used since the instance's start.
    pub used: u64,
    /// How full its bucket is, in percent.
    pub level_percent: u8,
}

/// Whose word is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Teller {
    /// The instance's start.
    pub incarnation: Incarnation,
    /// For how long it has run.
    pub uptime_us: Micros,
}

/// The buckets of all organisations with a limit.
#[derive(Debug)]
pub struct OrganisationLimits {
    tolerance: Tolerance,
    buckets: HashMap<Name, Bucket>,
    /// The organisations by [`short_hash`], as instances name them to each other.
    by_hash: HashMap<u32, Name>,
    started_us: Micros,
    /// Nothing was used before this process started, by anybody.
    is_first_start: bool,
}

/// Returns the share of a bucket that is given out by chance in a group of `instances`.
fn chance_share(instances: usize) -> f64 {
    let instances = instances as f64;
    CHANCE_SHARE * (instances / LARGE_GROUP).min(1.0) * (instances / LARGEST_GROUP).clamp(1.0, 2.0)
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
    /// Starts without limits. Buckets are full at the first start of all; later, a process knows
    /// nothing of what was used before it and starts with little.
    pub fn new(now_us: Micros, tolerance: Tolerance, is_first_start: bool) -> Self {
        Self {
            tolerance,
            buckets: HashMap::new(),
            by_hash: HashMap::new(),
            started_us: now_us,
            is_first_start,
        }
    }

    /// Returns for how long this process has run.
    pub fn uptime_us(&self, now_us: Micros) -> Micros {
        now_us.saturating_sub(self.started_us)
    }

    /// Replaces the tolerance; it counts from the next configuration on.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Takes the limits of a configuration; what was used stays counted. Returns the limits that changed.
    pub fn configure(&mut self, now_us: Micros, config: &GatewayConfig) -> Vec<LimitChange> {
        let mut buckets = HashMap::new();
        let mut changes = Vec::new();
        for organisation in &config.organisations {
            let Some(limit) = organisation.limit else {
                continue;
            };
            let known = self.buckets.remove(&organisation.name);
            let before = known.as_ref().map(|k| k.limit);
            let level_before = known.as_ref().map_or(0.0, |k| k.level);
            let bucket = self.bucket(now_us, limit, known);
            if before != Some(limit) {
                changes.push(LimitChange {
                    organisation: organisation.name.clone(),
                    before,
                    after: Some(limit),
                    level_before,
                    level: bucket.level,
                });
            }
            buckets.insert(organisation.name.clone(), bucket);
        }
        let names = buckets.keys().map(|name| (short_hash(name), name.clone()));
        self.by_hash = names.collect();
        let removed = std::mem::replace(&mut self.buckets, buckets);
        changes.extend(
            removed
                .into_iter()
                .map(|(organisation, known)| LimitChange {
                    organisation,
                    before: Some(known.limit),
                    after: None,
                    level_before: known.level,
                    level: 0.0,
                }),
        );
        changes
    }

    /// Returns the state of the limits that are used to half since this was asked last, `most` at most, those
    /// that refused most requests first.
    pub fn take_states(&mut self, now_us: Micros, most: usize) -> Vec<LimitState> {
        let is_scarce = |b: &Bucket| b.used != b.shown_used && b.level < b.depth / 2.0;
        let scarce = self.buckets.iter_mut();
        let scarce = scarce.filter(|(_, b)| b.refused > 0 || is_scarce(b));
        let mut states: Vec<LimitState> = scarce
            .map(|(name, bucket)| bucket.take_state(now_us, name))
            .collect();
        states.sort_by_key(|s| std::cmp::Reverse(s.refused));
        states.truncate(most);
        states
    }

    fn bucket(&self, now_us: Micros, limit: UseLimit, known: Option<Bucket>) -> Bucket {
        let in_window = limit.rate_per_s * self.tolerance.window_s;
        let allowed = (in_window + limit.burst) * (1.0 + self.tolerance.overage);
        let depth = (allowed + self.tolerance.slack) * GIVEN_SHARE - in_window;
        // With a narrow tolerance the burst would be lost: the limit itself is always given out.
        let depth = depth.max(limit.burst);
        match known {
            Some(known) => {
                // The share that was left is kept.
                let share = known.level / known.depth.max(1.0);
                Bucket {
                    limit,
                    depth,
                    level: share * depth,
                    withheld: known.withheld / known.depth.max(1.0) * depth,
                    ..known
                }
            }
            None => Bucket {
                limit,
                depth,
                level: if self.is_first_start {
                    depth
                } else {
                    (limit.rate_per_s * RESTART_LEVEL_S).min(depth)
                },
                filled_us: if self.is_first_start {
                    now_us
                } else {
                    now_us.max(self.started_us + MEETING_US)
                },
                withheld: 0.0,
                sharers: Sharers { all: 1, heard: 1 },
                restarting_until_us: if self.is_first_start {
                    0
                } else {
                    self.started_us + RESTARTING_US
                },
                asked: 0,
                used: 0,
                refused: 0,
                shown_used: 0,
                untold: 0.0,
                has_learned: false,
                others: HashMap::new(),
                others_rate: 0.0,
            },
        }
    }

    /// Takes `tokens` (or one request) of an organisation's limit; none left is an error that says
    /// when there will be, and what decided. It is spent by [`Self::spend`], or given back.
    ///
    /// # Errors
    /// The limit is used up.
    pub fn take(
        &mut self,
        now_us: Micros,
        organisation: &str,
        tokens: Option<u32>,
        rank: Rank,
        sharers: Sharers,
    ) -> Result<(), UsedUp> {
        let Some(bucket) = self.buckets.get_mut(organisation) else {
            return Ok(());
        };
        let units = bucket.units(tokens);
        bucket.fill(now_us, sharers);
        // The last of a limit is for the most urgent. What fits is not asked: the long requests
        // would never find room beside the short ones.
        let chance = chance_share(sharers.all);
        let reserve_share = match tokens {
            Some(_) => RANK_RESERVE * f64::from(rank.min(2)) + chance * bucket.draw(),
            // Next to nothing.
            None => 0.0,
        };
        let reserve = bucket.depth * sharers.share() * reserve_share;
        if bucket.level <= reserve {
            bucket.refused += 1;
            let missing = reserve - bucket.level + units;
            let rate = (bucket.limit.rate_per_s * sharers.share()).max(1.0);
            return Err(UsedUp {
                wait_ms: (missing / rate * 1e3).clamp(50.0, 60_000.0) as u32,
                level: bucket.level as i64,
                reserve: reserve as i64,
                withheld: bucket.withheld as i64,
                sharers,
                oldest_word_ms: bucket.oldest_word_us(now_us) / 1_000,
            });
        }
        bucket.level -= units;
        Ok(())
    }

    /// Notes that what a request took is used: it is sent. Only from now on the others are told.
    pub fn spend(&mut self, organisation: &str, tokens: Option<u32>) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            let units = bucket.units(tokens);
            bucket.used += units as u64;
            bucket.untold += units;
        }
    }

    /// Gives back what a request took that did not run. What was spent stays told: a total that falls
    /// would confuse the others.
    pub fn give_back(&mut self, organisation: &str, tokens: Option<u32>) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.level += bucket.units(tokens);
        }
    }

    /// Returns whether so much was used since this was last true that everybody should be told.
    ///
    /// With `n` instances, what they use unheard is then at most √n / [`NEWS_PARTS`] of a bucket's
    /// depth, however suddenly the organisation comes to all of them.
    pub fn take_news(&mut self, sharers: Sharers) -> bool {
        let parts = NEWS_PARTS * (sharers.all.max(1) as f64).sqrt();
        let has_news = self.buckets.values().any(|b| b.untold > b.depth / parts);
        if has_news {
            for bucket in self.buckets.values_mut() {
                bucket.untold = 0.0;
            }
        }
        has_news
    }

    /// Returns what each organisation used here since this process started.
    pub fn used(&self) -> Vec<ToldUse> {
        let used = self.buckets.iter().filter(|(_, b)| b.used > 0);
        let used = used.map(|(name, bucket)| ToldUse {
            organisation: short_hash(name),
            used: bucket.used,
            level_percent: (bucket.level / bucket.depth.max(1.0) * 100.0).clamp(0.0, 100.0) as u8,
        });
        used.collect()
    }

    /// Takes what another instance used since it started.
    ///
    /// Of the first word from a process that has run longer than this one nothing counts as use: it
    /// may be long past. Instead, how full its buckets are is taken over.
    pub fn told(&mut self, now_us: Micros, from: Teller, told: ToldUse, sharers: Sharers) {
        let uptime_us = self.uptime_us(now_us);
        let is_older = from.uptime_us > uptime_us + SAME_START_US;
        let name = self.by_hash.get(&told.organisation);
        let Some(bucket) = name.and_then(|name| self.buckets.get_mut(name)) else {
            return;
        };
        bucket.fill(now_us, sharers);
        let is_first = !bucket.others.contains_key(&from.incarnation);
        if is_first && is_older && uptime_us < LEARNING_US && !bucket.has_learned {
            bucket.has_learned = true;
            let level = bucket.depth * f64::from(told.level_percent) / 100.0;
            bucket.level = bucket.level.max(level);
        }
        let unknown = if is_older { told.used } else { 0 };
        bucket.other_used(now_us, from.incarnation, told.used, unknown);
    }

    /// Takes an instance that fell silent to use nothing. What it used stays known for a while, so
    /// that it does not count again should it speak.
    pub fn forget(&mut self, now_us: Micros, silent: Incarnation) {
        for bucket in self.buckets.values_mut() {
            if let Some(other) = bucket.others.get_mut(&silent) {
                bucket.others_rate = (bucket.others_rate - other.rate_per_s).max(0.0);
                other.rate_per_s = 0.0;
            }
            let is_long_silent = |o: &OtherUse| now_us.saturating_sub(o.told_us) > SILENT_KEPT_US;
            bucket.others.retain(|_, other| !is_long_silent(other));
        }
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

    fn take_state(&mut self, now_us: Micros, name: &Name) -> LimitState {
        self.shown_used = self.used;
        LimitState {
            organisation: name.clone(),
            limit: self.limit,
            depth: self.depth,
            level: self.level,
            withheld: self.withheld,
            used: self.used,
            others_used: self.others.values().map(|o| o.used).sum(),
            oldest_report_ms: self.oldest_word_us(now_us) / 1_000,
            refused: std::mem::take(&mut self.refused),
        }
    }

    /// Returns the age of the oldest word of those whose use is extrapolated.
    fn oldest_word_us(&self, now_us: Micros) -> Micros {
        let using = self.others.values().filter(|o| o.rate_per_s > 0.0);
        let ages = using.map(|o| now_us.saturating_sub(o.told_us));
        ages.max().unwrap_or(0)
    }

    /// Returns a number from 0 to 1 that differs by request and instance.
    fn draw(&mut self) -> f64 {
        /// 2^64 over the golden ratio: its multiples are spread evenly.
        const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
        self.asked += 1;
        let mixed = (self.asked ^ self.filled_us).wrapping_mul(GOLDEN);
        (mixed >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn fill(&mut self, now_us: Micros, sharers: Sharers) {
        let since_s = now_us.saturating_sub(self.filled_us) as f64 / 1e6;
        self.filled_us = self.filled_us.max(now_us);
        let share = sharers.share();
        self.set_sharers(sharers);
        let gained = self.limit.rate_per_s * since_s;
        let filled = (self.level + gained * share).min(self.depth * share);
        self.level = filled - self.others_rate * since_s;
        let unheard = 1.0 - share;
        self.withheld = (self.withheld + gained * unheard).min(self.depth * unheard);
    }

    /// Moves what is left between what may be given out here and what is withheld.
    fn set_sharers(&mut self, sharers: Sharers) {
        let before = std::mem::replace(&mut self.sharers, sharers);
        let (share, share_before) = (sharers.share(), before.share());
        if share < share_before {
            let moved = self.level.max(0.0) * (1.0 - share / share_before);
            self.level -= moved;
            self.withheld += moved;
        } else if share > share_before {
            let moved = self.withheld * (share - share_before) / (1.0 - share_before);
            self.withheld -= moved;
            // Of those that are not counted any more it is not known what they used.
            if sharers.heard > before.heard {
                let is_restarting = self.filled_us < self.restarting_until_us;
                let given = if is_restarting { RESTARTING_SHARE } else { 1.0 };
                self.level += moved * given;
            }
        }
    }

    /// Corrects what an instance was taken to use since its last word by what it says. `unknown` is
    /// the part of a first word that does not count.
    fn other_used(&mut self, now_us: Micros, from: Incarnation, used: u64, unknown: u64) {
        let before = self.others.get(&from).copied().unwrap_or(OtherUse {
            used: unknown,
            told_us: now_us,
            rate_per_s: 0.0,
        });
        let since_s = now_us.saturating_sub(before.told_us) as f64 / 1e6;
        let actual = used.saturating_sub(before.used) as f64;
        self.level -= actual - before.rate_per_s * since_s;
        let mut rate_per_s = before.rate_per_s;
        if since_s > 0.0 {
            // Short spans say little: a rate follows over about half a second.
            let gain = (since_s / RATE_SPAN_S).min(1.0);
            rate_per_s += (actual / since_s - rate_per_s) * gain;
        }
        self.others_rate = (self.others_rate + rate_per_s - before.rate_per_s).max(0.0);
        let other = OtherUse {
            used,
            told_us: now_us,
            rate_per_s,
        };
        self.others.insert(from, other);
    }
}
