//! Which requests end the endpoints that run them, as all instances together know it.
//!
//! An endpoint that ends breaks all requests that are there. One of them may be the cause, and it would end the
//! next endpoint, too; the others run there to their end. So a request is blocked once endpoints ended under it
//! wherever it ran, and is cleared of all that by one whole run, at any instance. A whole run right before counts
//! too: what many send is at many endpoints when they end, and once blocked it would have no run to clear it.
//!
//! What is known of a request is a set of endings, each cleared or not. Sets only grow and an ending once cleared
//! stays so, so instances may tell each other in any order, late and twice. Free of clock and socket, so that tests
//! drive it step by step.

use std::{cmp::Reverse, collections::HashMap};

use serde::{Deserialize, Serialize};

use crate::{
    balance::load::EndpointKey,
    limits::{
        dissemination::{Audience, Dissemination},
        fingerprint::Fingerprint,
    },
    prelude::Micros,
};

/// A request under which so many endpoints ended, and none came to the end of its run, is blocked. In a model of
/// 18 endpoints that end by themselves, one a second, 1,663 requests were at one that ended (eight runs of 35 s):
/// none was at three, 4 would have been blocked for two. In a flood of twelve that end endpoints it is 477 for two
/// and none for three.
const SURE_ENDINGS: usize = 3;
/// So many are enough while few other endpoints end: then it is no chance that it was at both. In the model one
/// request that ends endpoints reaches 2.8 of them by this, 3.5 without, and 14 others break with them, not 18.
const LIKELY_ENDINGS: usize = 2;
/// What is meant by few: less than this share of all endpoints within [`OTHERS_WINDOW_US`]. With it the model blocks
/// 2 of 5,590 others in the flood, and none of those above.
const OTHERS_SHARE: f64 = 0.2;
const OTHERS_WINDOW_US: Micros = 10_000_000;
/// A request stays blocked for this long after the last endpoint ended under it. Whoever mends the
/// endpoints need not lift anything; a request that still ends them reaches two or three of them each time.
const BLOCKED_US: Micros = 600_000_000;
/// What is about to be forgotten is not told any more, or two that forget at different moments would
/// remind each other for ever.
const TOLD_UNTIL_US: Micros = BLOCKED_US - 30_000_000;
/// That a request was cleared is remembered for this long: far longer than word of its endings is on its way.
const CLEARED_US: Micros = 60_000_000;
/// A request that ran whole so shortly before is not the cause of an ending. One that ran well and ends endpoints from
/// some moment on is blocked later by this. Of a common request beside two works that came to seven instances at
/// once and ended eight endpoints, 994 of 1,041 were refused without.
const TRUSTED_US: Micros = 2_000_000;
/// That a request ran whole is remembered for so long: others that hold endings against it say so again each 1.5 s, and
/// are told that they were right after a whole run.
const WHOLE_KEPT_US: Micros = 10_000_000;
/// Whole runs that are remembered, at some 50 bytes each: ten seconds of 400 requests a second. Naming one takes 1.4 µs
/// for a kilobyte of its body (measured over 30 KB), some 10 µs for a usual prompt.
const MOST_WHOLE: usize = 4_096;
/// Endings that are remembered of one request; more than decide.
const MOST_ENDINGS: usize = 6;
/// Requests that are remembered, at some 150 bytes each. An endpoint that ends makes suspects of some
/// tens; those with one ending give way first.
const MOST_SUSPECTS: usize = 4_096;
/// Those are dropped in numbers, so that a flood costs little: some microseconds a request.
const DROPPED_AT_ONCE: usize = MOST_SUSPECTS / 8;
/// Endpoints that ended of late, at most; more than there are in a large deployment.
const MOST_ENDED: usize = 2_048;
/// Requests of which one datagram tells, about 25 bytes each.
const MOST_TOLD: usize = 16;

/// Requests that are kept for instances that start when no other is left, at some 30 bytes each.
const MOST_KEPT: usize = 1_000;

/// An endpoint that ended while a request was there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The start of the endpoint.
    pub endpoint: EndpointKey,
    /// The request ran to its end elsewhere, so it is not the cause.
    pub is_cleared: bool,
}

/// What an instance tells of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The time since the last change of what is known of it, in seconds.
    pub age_s: u16,
    /// The endpoints that ended under it.
    #[serde(rename = "endings")]
    pub crashes: Vec<Crash>,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: Vec<Crash>,
    /// When an ending was added or cleared last.
    changed_us: Micros,
    telling: Dissemination,
}

impl Suspect {
    fn uncleared(&self) -> usize {
        self.crashes.iter().filter(|e| !e.is_cleared).count()
    }

    /// Adds an ending or learns that one was cleared; returns whether anything is new.
    fn merge(&mut self, told: Crash) -> bool {
        let known = self
            .crashes
            .iter_mut()
            .find(|e| e.endpoint == told.endpoint);
        if let Some(known) = known {
            let is_news = told.is_cleared && !known.is_cleared;
            known.is_cleared |= told.is_cleared;
            return is_news;
        }
        if self.crashes.len() >= MOST_ENDINGS {
            let cleared = self.crashes.iter().position(|e| e.is_cleared);
            let Some(cleared) = cleared else {
                // It is blocked already.
                return false;
            };
            self.crashes.remove(cleared);
        }
        self.crashes.push(told);
        true
    }

    fn told(&self, now_us: Micros, fingerprint: Fingerprint) -> SuspectUpdate {
        let age_us = now_us.saturating_sub(self.changed_us);
        SuspectUpdate {
            fingerprint,
            age_s: u16::try_from(age_us / 1_000_000).unwrap_or(u16::MAX),
            crashes: self.crashes.clone(),
        }
    }

    fn clears_more_than(&self, told: &[Crash]) -> bool {
        let cleared = self.crashes.iter().filter(|e| e.is_cleared);
        let mut cleared = cleared.map(|e| e.endpoint);
        cleared.any(|endpoint| told.iter().any(|t| t.endpoint == endpoint && !t.is_cleared))
    }

    fn is_kept(&self, now_us: Micros) -> bool {
        let age_us = now_us.saturating_sub(self.changed_us);
        let kept_us = match self.uncleared() {
            0 => CLEARED_US,
            _ => BLOCKED_US,
        };
        age_us < kept_us
    }

    /// Returns whether it is told again and again.
    fn is_retold(&self, now_us: Micros) -> bool {
        let age_us = now_us.saturating_sub(self.changed_us);
        self.uncleared() >= LIKELY_ENDINGS && age_us < TOLD_UNTIL_US
    }

    fn is_due(&self, now_us: Micros, audience: Audience) -> bool {
        self.telling
            .is_due(now_us, audience, self.is_retold(now_us))
    }
}

/// The requests under which endpoints ended of late.
#[derive(Debug, Default)]
pub struct SuspectTable {
    suspects: HashMap<Fingerprint, Suspect>,
    /// When endpoints ended of late, whatever was there.
    ended: HashMap<EndpointKey, Micros>,
    /// When requests ran whole last, of late.
    whole: HashMap<Fingerprint, Micros>,
    has_news: bool,
}

impl SuspectTable {
    /// Returns whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns of how many requests something is known.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether endpoints ended under a request of which it has not been cleared.
    pub fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        self.crashes(fingerprint) > 0
    }

    /// Returns how many endpoints ended under a request of which it has not been cleared.
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(0, Suspect::uncleared)
    }

    /// Returns for how much longer a request is to reach no endpoint, if it is blocked; `endpoints` is how
    /// many there are.
    pub fn blocked_us(
        &self,
        now_us: Micros,
        fingerprint: Fingerprint,
        endpoints: usize,
    ) -> Option<Micros> {
        let suspect = self.suspects.get(&fingerprint)?;
        let left_us = (suspect.changed_us + BLOCKED_US).checked_sub(now_us)?;
        let endings = suspect.uncleared();
        let few = endpoints as f64 * OTHERS_SHARE;
        let is_blocked = endings >= SURE_ENDINGS
            || (endings >= LIKELY_ENDINGS && (self.others_ended(now_us, suspect) as f64) < few);
        is_blocked.then_some(left_us)
    }

    /// Returns how many endpoints ended of late where a request was not.
    fn others_ended(&self, now_us: Micros, suspect: &Suspect) -> usize {
        let is_recent = |at_us: Micros| now_us.saturating_sub(at_us) < OTHERS_WINDOW_US;
        let recent = self.ended.iter().filter(|(_, at_us)| is_recent(**at_us));
        let others = recent.filter(|(key, _)| suspect.crashes.iter().all(|e| e.endpoint != **key));
        others.count()
    }

    /// Notes that an endpoint ended while a request was there.
    pub fn note_crash(&mut self, now_us: Micros, fingerprint: Fingerprint, endpoint: EndpointKey) {
        let ending = Crash {
            endpoint,
            is_cleared: self.is_trusted(now_us, fingerprint),
        };
        if self.merge(now_us, fingerprint, &[ending]) {
            self.tell(fingerprint, Audience::Peers);
        }
    }

    /// Notes that a request ran to its end: it is not the cause of the endings.
    pub fn note_completed(&mut self, now_us: Micros, fingerprint: Fingerprint) {
        if self.whole.len() < MOST_WHOLE || self.whole.contains_key(&fingerprint) {
            self.whole.insert(fingerprint, now_us);
        }
        self.clear(now_us, fingerprint);
    }

    /// Returns whether a request ran whole here right before `at_us`, or later.
    fn is_trusted(&self, at_us: Micros, fingerprint: Fingerprint) -> bool {
        let whole_us = self.whole.get(&fingerprint);
        whole_us.is_some_and(|whole_us| at_us.saturating_sub(*whole_us) < TRUSTED_US)
    }

    fn clear(&mut self, now_us: Micros, fingerprint: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        if suspect.uncleared() == 0 {
            return;
        }
        for ending in &mut suspect.crashes {
            ending.is_cleared = true;
        }
        suspect.changed_us = now_us;
        suspect.telling.renew(Audience::Hall);
        self.tell(fingerprint, Audience::Peers);
    }

    /// Takes what another instance told. What is new goes on to the hall; its other peers hear it from
    /// whoever found it. One that holds against a request what it was cleared of has not heard, and is told.
    pub fn receive(&mut self, now_us: Micros, told: &[SuspectUpdate]) {
        for told in told {
            let changed_us = now_us.saturating_sub(Micros::from(told.age_s) * 1_000_000);
            self.merge(changed_us, told.fingerprint, &told.crashes);
            if self.is_trusted(changed_us, told.fingerprint) {
                self.clear(now_us, told.fingerprint);
            }
            let known = self.suspects.get(&told.fingerprint);
            if known.is_some_and(|known| known.clears_more_than(&told.crashes)) {
                self.tell(told.fingerprint, Audience::Peers);
                self.tell(told.fingerprint, Audience::Hall);
            }
        }
    }

    /// Adds endings to what is known of a request; returns whether anything is new.
    fn merge(&mut self, at_us: Micros, fingerprint: Fingerprint, endings: &[Crash]) -> bool {
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room();
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        let mut is_new = false;
        for ending in endings {
            is_new |= suspect.merge(*ending);
        }
        if is_new {
            suspect.changed_us = suspect.changed_us.max(at_us);
            suspect.telling.renew(Audience::Hall);
            self.has_news = true;
        }
        for ending in endings {
            self.note_ended(at_us, ending.endpoint);
        }
        is_new
    }

    fn note_ended(&mut self, at_us: Micros, endpoint: EndpointKey) {
        // Of so many it is not the number that matters.
        if self.ended.len() < MOST_ENDED {
            self.ended.entry(endpoint).or_insert(at_us);
        }
    }

    fn tell(&mut self, fingerprint: Fingerprint, audience: Audience) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.telling.renew(audience);
            self.has_news = true;
        }
    }

    /// Drops the requests of which least is known, and those longest ago, if there is no room for another.
    fn make_room(&mut self) {
        if self.suspects.len() < MOST_SUSPECTS {
            return;
        }
        let weight = |s: &Suspect| (s.uncleared().min(SURE_ENDINGS), s.changed_us);
        let all = self.suspects.iter();
        let mut all: Vec<_> = all.map(|(f, s)| (weight(s), *f)).collect();
        all.select_nth_unstable(DROPPED_AT_ONCE);
        for (_, fingerprint) in &all[..DROPPED_AT_ONCE] {
            self.suspects.remove(fingerprint);
        }
    }

    /// Returns whether something is to be told at once, if that was not asked since.
    pub fn take_has_changes(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Returns what an audience is to be told in this round.
    pub fn take_due_updates(&mut self, now_us: Micros, audience: Audience) -> Vec<SuspectUpdate> {
        let due = self.suspects.iter_mut();
        let due = due.filter(|(_, s)| s.is_due(now_us, audience));
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(_, s)| s.telling.order(audience));
        let told = due.into_iter().take(MOST_TOLD);
        let told = told.map(|(fingerprint, suspect)| {
            suspect.telling.note_told(now_us, audience);
            suspect.told(now_us, *fingerprint)
        });
        told.collect()
    }

    /// Returns what instances are to know that start when none is left to tell them: what is blocked, or nearly
    /// so, the latest if there is much of it; by fingerprint.
    pub fn to_persist(&self, now_us: Micros) -> Vec<SuspectUpdate> {
        let kept = self.suspects.iter().filter(|(_, s)| s.is_retold(now_us));
        let mut kept: Vec<_> = kept.collect();
        kept.sort_unstable_by_key(|(_, s)| Reverse(s.changed_us));
        kept.truncate(MOST_KEPT);
        kept.sort_unstable_by_key(|(fingerprint, _)| **fingerprint);
        let told = kept.into_iter().map(|(f, s)| s.told(now_us, *f));
        told.collect()
    }

    /// Forgets what happened long ago.
    pub fn expire(&mut self, now_us: Micros) {
        self.suspects.retain(|_, suspect| suspect.is_kept(now_us));
        let is_recent = |at_us: Micros| now_us.saturating_sub(at_us) < OTHERS_WINDOW_US;
        self.ended.retain(|_, at_us| is_recent(*at_us));
        let is_kept = |at_us: Micros| now_us.saturating_sub(at_us) < WHOLE_KEPT_US;
        self.whole.retain(|_, at_us| is_kept(*at_us));
    }
}
