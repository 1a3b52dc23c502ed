//! What an aggregator knows of its hall, and its sums.
//!
//! Free of clock and socket, so that tests drive it step by step.

use std::{
    collections::{BTreeMap, HashMap},
    net::IpAddr,
};

use crate::{
    balance::{
        load::{EndpointKey, InFlight},
        prefixes::ChainKey,
        speed::SpeedSamples,
    },
    gateway::heard::{HEARD_US, SHARER_US},
    peers::update::{HallSummary, Update, address_key},
    prelude::{Incarnation, Micros},
};

/// Chains of prompts that a summary tells at most; about 14 bytes each.
const READS_TOLD: usize = 48;
/// What was read lately and the hall was not told, at most: some seconds of it.
const MOST_READS: usize = 1_024;
/// Endpoints of which a summary tells what was seen of their speed; about 18 bytes each.
const SEEN_TOLD: usize = 8;
/// Summaries of other halls that wait to be passed on, at most: some seconds of them.
const MOST_TO_PASS_ON: usize = 64;

/// What the hall's instances said since their hall was told last.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observations {
    /// As in [`Update::reports`].
    pub reports: Vec<(EndpointKey, i8)>,
    /// As in [`Update::read`].
    pub read: Vec<(ChainKey, EndpointKey)>,
    /// As in [`Update::seen`], summed by endpoint.
    pub seen: Vec<(EndpointKey, SpeedSamples)>,
    /// As in [`Update::dead`].
    pub dead: Vec<EndpointKey>,
}

#[derive(Debug)]
struct Member {
    from: Incarnation,
    seq: u64,
    heard_us: Micros,
    loads: Vec<(EndpointKey, InFlight)>,
}

/// How many instances a hall has, as its aggregator sees it; itself included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HallInstanceCounts {
    /// That ran of late.
    pub instances: u32,
    /// That are heard.
    pub heard: u32,
}

/// The instances of a hall that report to this one, and what they did.
#[derive(Debug, Default)]
pub struct HallAggregate {
    members: HashMap<IpAddr, Member>,
    news: Observations,
    seen: BTreeMap<EndpointKey, SpeedSamples>,
    /// What endpoints said and other halls were not told.
    far_reports: HashMap<EndpointKey, i8>,
    to_pass_on: Vec<HallSummary>,
}

impl HallAggregate {
    /// Takes a report.
    pub fn apply_report(&mut self, now_us: Micros, addr: IpAddr, report: &Update) {
        let member = self.members.entry(addr).or_insert_with(|| Member {
            from: Incarnation(0),
            seq: 0,
            heard_us: now_us,
            loads: Vec::new(),
        });
        member.from = report.from;
        member.seq = report.seq;
        member.heard_us = now_us;
        member.loads.clone_from(&report.loads);
        self.note_observations(&report.reports, &report.read, &report.seen, &report.dead);
    }

    /// Takes what this instance or another of the hall saw.
    pub fn note_observations(
        &mut self,
        reports: &[(EndpointKey, i8)],
        read: &[(ChainKey, EndpointKey)],
        seen: &[(EndpointKey, SpeedSamples)],
        dead: &[EndpointKey],
    ) {
        self.news.reports.extend(reports);
        self.far_reports.extend(reports.iter().copied());
        self.news.read.extend(read);
        if self.news.read.len() > MOST_READS {
            self.news.read.drain(..MOST_READS / 2);
        }
        for (key, seen) in seen {
            self.seen.entry(*key).or_default().add(seen);
        }
        self.news.dead.extend(dead);
    }

    /// Takes a summary of another hall, to be passed on.
    pub fn queue_for_relay(&mut self, summary: HallSummary) {
        if self.to_pass_on.len() >= MOST_TO_PASS_ON {
            // Nobody of the own hall is there to be told.
            self.to_pass_on.remove(0);
        }
        self.to_pass_on.push(summary);
    }

    /// Returns summaries of other halls that the own hall was not told, at most `most`, oldest first.
    pub fn take_relay_queue(&mut self, most: usize) -> Vec<HallSummary> {
        let taken = self.to_pass_on.len().min(most);
        self.to_pass_on.drain(..taken).collect()
    }

    /// Returns whether other halls' summaries wait to be passed on.
    pub fn has_relay_queue(&self) -> bool {
        !self.to_pass_on.is_empty()
    }

    /// Returns what is new, for the hall: of reads and speeds as much as a datagram takes, the rest
    /// in turn.
    pub fn take_observations(&mut self) -> Observations {
        let mut news = std::mem::take(&mut self.news);
        news.reports.sort_unstable_by_key(|(key, _)| *key);
        // Of several words on one endpoint the last stands.
        news.reports.reverse();
        news.reports.dedup_by_key(|(key, _)| *key);
        if news.read.len() > READS_TOLD {
            self.news.read = news.read.split_off(READS_TOLD);
        }
        while news.seen.len() < SEEN_TOLD {
            let Some(first) = self.seen.pop_first() else {
                break;
            };
            news.seen.push(first);
        }
        news
    }

    /// Returns what endpoints said, for other halls.
    pub fn take_reports_for_other_halls(&mut self) -> Vec<(EndpointKey, i8)> {
        self.far_reports.drain().collect()
    }

    /// Forgets those that fell silent long ago.
    pub fn expire(&mut self, now_us: Micros) {
        self.members
            .retain(|_, m| now_us.saturating_sub(m.heard_us) < SHARER_US);
    }

    /// Returns whether anybody reports here.
    pub fn is_aggregator(&self, now_us: Micros) -> bool {
        self.heard(now_us).next().is_some()
    }

    /// Returns who reports here.
    pub fn reporters(&self, now_us: Micros) -> Vec<IpAddr> {
        self.heard(now_us).map(|(addr, _)| *addr).collect()
    }

    /// Returns the newest number of each that reports, for [`Update::echoes`].
    pub fn echoes(&self, now_us: Micros) -> Vec<(u16, u64)> {
        let heard = self.heard(now_us);
        heard.map(|(a, m)| (address_key(*a), m.seq)).collect()
    }

    /// Returns how many instances the hall has.
    pub fn instance_counts(&self, now_us: Micros) -> HallInstanceCounts {
        HallInstanceCounts {
            instances: self.members.len() as u32 + 1,
            heard: self.heard(now_us).count() as u32 + 1,
        }
    }

    /// Returns the requests at endpoints of all that report and those in `own`, sorted by endpoint.
    pub fn loads(
        &self,
        now_us: Micros,
        own: &[(EndpointKey, InFlight)],
    ) -> Vec<(EndpointKey, InFlight)> {
        let mut sums: BTreeMap<EndpointKey, InFlight> = own.iter().copied().collect();
        for (key, load) in self.heard(now_us).flat_map(|(_, m)| &m.loads) {
            let sum = sums.entry(*key).or_default();
            sum.requests += load.requests;
            sum.prompt_tokens += load.prompt_tokens;
        }
        sums.into_iter().collect()
    }

    fn heard(&self, now_us: Micros) -> impl Iterator<Item = (&IpAddr, &Member)> {
        let is_heard = move |m: &Member| now_us.saturating_sub(m.heard_us) < HEARD_US;
        self.members.iter().filter(move |(_, m)| is_heard(m))
    }
}
