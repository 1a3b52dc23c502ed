//! Aggregates the load reports of a hall's instances at one of the hall's aggregators.
//!
//! Uses neither clock nor sockets, so that tests can drive it step by step.

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
    gateway::peer_table::{PEER_EXPIRY_US, PEER_SILENT_US},
    peers::update::{HallSummary, Update, address_key},
    prelude::{Incarnation, Micros},
    shares::picture::{ServiceReport, sum_reports},
};

/// Maximum number of prompt chains in a summary, at about 14 bytes each.
const MAX_READS_PER_SUMMARY: usize = 48;
/// Maximum number of prompt chains that wait for a summary: a few seconds' worth.
const MAX_PENDING_READS: usize = 1_024;
/// Maximum number of endpoints in a summary with speed samples, at about 18 bytes each.
const MAX_SPEEDS_PER_SUMMARY: usize = 8;
/// Maximum number of summaries of other halls that wait to be relayed: a few seconds' worth.
const MAX_RELAY_QUEUE: usize = 64;

/// Observations of the hall's instances that no summary has included yet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observations {
    /// As in [`Update::reports`].
    pub reports: Vec<(EndpointKey, i8)>,
    /// As in [`Update::read`].
    pub read: Vec<(ChainKey, EndpointKey)>,
    /// As in [`Update::seen`], as one sum per endpoint.
    pub seen: Vec<(EndpointKey, SpeedSamples)>,
    /// As in [`Update::dead`].
    pub dead: Vec<EndpointKey>,
}

/// An instance that reports to this one, and its last report.
#[derive(Debug)]
struct Member {
    from: Incarnation,
    seq: u64,
    last_seen_us: Micros,
    loads: Vec<(EndpointKey, InFlight)>,
    demand: Vec<ServiceReport>,
}

/// The number of instances of a hall as its aggregator sees it, including itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HallInstanceCounts {
    /// Instances that ran recently, whether they report or not.
    pub instances: u32,
    /// Instances that report, including the aggregator.
    pub heard: u32,
}

/// The instances of a hall that report to this one, with their loads and observations.
#[derive(Debug, Default)]
pub struct HallAggregate {
    members: HashMap<IpAddr, Member>,
    pending: Observations,
    pending_speeds: BTreeMap<EndpointKey, SpeedSamples>,
    /// Load reports of endpoints that were not sent to other halls yet.
    reports_for_other_halls: HashMap<EndpointKey, i8>,
    relay_queue: Vec<HallSummary>,
}

impl HallAggregate {
    /// Applies a report of the instance at `addr`.
    pub fn apply_report(&mut self, now_us: Micros, addr: IpAddr, report: &Update) {
        let member = self.members.entry(addr).or_insert_with(|| Member {
            from: Incarnation(0),
            seq: 0,
            last_seen_us: now_us,
            loads: Vec::new(),
            demand: Vec::new(),
        });
        member.from = report.from;
        member.seq = report.seq;
        member.last_seen_us = now_us;
        member.loads.clone_from(&report.loads);
        member.demand.clone_from(&report.demand);
        self.note_observations(&report.reports, &report.read, &report.seen, &report.dead);
    }

    /// Adds observations of this instance or another one of the hall.
    pub fn note_observations(
        &mut self,
        reports: &[(EndpointKey, i8)],
        read: &[(ChainKey, EndpointKey)],
        seen: &[(EndpointKey, SpeedSamples)],
        dead: &[EndpointKey],
    ) {
        self.pending.reports.extend(reports);
        self.reports_for_other_halls.extend(reports.iter().copied());
        self.pending.read.extend(read);
        if self.pending.read.len() > MAX_PENDING_READS {
            self.pending.read.drain(..MAX_PENDING_READS / 2);
        }
        for (key, samples) in seen {
            self.pending_speeds.entry(*key).or_default().add(samples);
        }
        self.pending.dead.extend(dead);
    }

    /// Queues a summary of another hall for relaying to the own hall.
    pub fn queue_for_relay(&mut self, summary: HallSummary) {
        if self.relay_queue.len() >= MAX_RELAY_QUEUE {
            // No instance of the own hall is there to receive the queue, so the oldest summary is dropped.
            self.relay_queue.remove(0);
        }
        self.relay_queue.push(summary);
    }

    /// Removes and returns up to `max` summaries of other halls to relay to the own hall, oldest first.
    pub fn take_relay_queue(&mut self, max: usize) -> Vec<HallSummary> {
        let count = self.relay_queue.len().min(max);
        self.relay_queue.drain(..count).collect()
    }

    /// Returns whether summaries of other halls wait to be relayed.
    pub fn has_relay_queue(&self) -> bool {
        !self.relay_queue.is_empty()
    }

    /// Removes and returns the pending observations for the next summary. Prompt chains and speeds are limited to what
    /// fits a datagram; the rest stays pending for later summaries.
    pub fn take_observations(&mut self) -> Observations {
        let mut observations = std::mem::take(&mut self.pending);
        observations.reports.sort_unstable_by_key(|(key, _)| *key);
        // Of several reports on one endpoint the last one is kept.
        observations.reports.reverse();
        observations.reports.dedup_by_key(|(key, _)| *key);
        if observations.read.len() > MAX_READS_PER_SUMMARY {
            self.pending.read = observations.read.split_off(MAX_READS_PER_SUMMARY);
        }
        while observations.seen.len() < MAX_SPEEDS_PER_SUMMARY {
            let Some(first) = self.pending_speeds.pop_first() else {
                break;
            };
            observations.seen.push(first);
        }
        observations
    }

    /// Removes and returns the load reports of endpoints that other halls have not received.
    pub fn take_reports_for_other_halls(&mut self) -> Vec<(EndpointKey, i8)> {
        self.reports_for_other_halls.drain().collect()
    }

    /// Drops members that have been silent for long.
    pub fn expire(&mut self, now_us: Micros) {
        self.members
            .retain(|_, m| now_us.saturating_sub(m.last_seen_us) < PEER_EXPIRY_US);
    }

    /// Returns whether any other instance reports to this one, which makes it an aggregator.
    pub fn is_aggregator(&self, now_us: Micros) -> bool {
        self.reporting(now_us).next().is_some()
    }

    /// Returns the addresses of the instances that report to this one.
    pub fn reporters(&self, now_us: Micros) -> Vec<IpAddr> {
        self.reporting(now_us).map(|(addr, _)| *addr).collect()
    }

    /// Returns the latest sequence number of each reporting instance, for [`Update::echoes`].
    pub fn echoes(&self, now_us: Micros) -> Vec<(u16, u64)> {
        let reporting = self.reporting(now_us);
        reporting.map(|(a, m)| (address_key(*a), m.seq)).collect()
    }

    /// Returns the number of instances of the hall.
    pub fn instance_counts(&self, now_us: Micros) -> HallInstanceCounts {
        HallInstanceCounts {
            instances: self.members.len() as u32 + 1,
            heard: self.reporting(now_us).count() as u32 + 1,
        }
    }

    /// Returns the sum of the loads of all reporting instances and of `own`, sorted by endpoint.
    pub fn loads(
        &self,
        now_us: Micros,
        own: &[(EndpointKey, InFlight)],
    ) -> Vec<(EndpointKey, InFlight)> {
        let mut sums: BTreeMap<EndpointKey, InFlight> = own.iter().copied().collect();
        for (key, load) in self.reporting(now_us).flat_map(|(_, m)| &m.loads) {
            let sum = sums.entry(*key).or_default();
            sum.requests += load.requests;
            sum.prompt_tokens += load.prompt_tokens;
        }
        sums.into_iter().collect()
    }

    /// Returns what the callers of all reporting instances and of this one ask of services that are short of room.
    pub fn demand(&self, now_us: Micros, own: &[ServiceReport]) -> Vec<ServiceReport> {
        let members = self.reporting(now_us).flat_map(|(_, m)| &m.demand);
        sum_reports(members.chain(own))
    }

    /// Returns the members whose last report is recent.
    fn reporting(&self, now_us: Micros) -> impl Iterator<Item = (&IpAddr, &Member)> {
        let is_reporting = move |m: &Member| now_us.saturating_sub(m.last_seen_us) < PEER_SILENT_US;
        self.members.iter().filter(move |(_, m)| is_reporting(m))
    }
}
