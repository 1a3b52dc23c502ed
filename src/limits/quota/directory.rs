//! The assignment of partitions to quota servers, as computed by one instance.

use std::collections::{HashMap, HashSet};

use crate::{
    limits::quota::partition::{COPIES, PARTITIONS, Partition, PartitionSet},
    prelude::{Incarnation, Micros},
};

/// Number of quota servers in a group.
const SERVERS: usize = 8;
/// A server that has not answered for this long is excluded if another server answered a later query: if none answers,
/// all are slow or this instance is cut off.
const UNRESPONSIVE_US: Micros = 700_000;
/// After this time a server that has not answered is excluded in any case.
const MAX_UNRESPONSIVE_US: Micros = 3_200_000;
/// An excluded server is readmitted if it answers within this many times the fastest round trip of the servers in use.
const READMIT_ROUND_TRIPS: Micros = 2;
/// An answer is overdue after this many times the fastest round trip.
const OVERDUE_ROUND_TRIPS: f64 = 1.5;
/// An answer is not overdue before this time.
const MIN_OVERDUE_US: Micros = 40_000;
/// Weight of the newest sample in the moving average of round trips.
const ROUND_TRIP_GAIN: f64 = 0.25;

#[derive(Debug)]
pub(super) struct Directory {
    me: Incarnation,
    /// Members in the order in which they are to serve.
    candidates: Vec<Incarnation>,
    /// The time of the earliest unanswered query to each server.
    unanswered_since_us: HashMap<Incarnation, Micros>,
    /// When the newest query that each server answered was sent.
    newest_answered_us: HashMap<Incarnation, Micros>,
    /// Moving average of each server's round trip.
    round_trip_us: HashMap<Incarnation, f64>,
    /// Candidates that are not used because they do not answer or have ended.
    excluded: HashSet<Incarnation>,
    servers: Vec<Incarnation>,
    assignments: Vec<Incarnation>,
}

impl Directory {
    pub(super) fn new(me: Incarnation) -> Self {
        Self {
            me,
            candidates: Vec::new(),
            unanswered_since_us: HashMap::new(),
            newest_answered_us: HashMap::new(),
            round_trip_us: HashMap::new(),
            excluded: HashSet::new(),
            servers: vec![me],
            assignments: vec![me; PARTITIONS],
        }
    }

    /// Replaces the candidates: the members in the order in which they are to serve.
    pub(super) fn set_candidates(&mut self, now_us: Micros, members: &[Incarnation]) {
        if self.candidates != members {
            self.candidates = members.to_vec();
            self.refresh(now_us);
        }
    }

    /// Returns the servers in use.
    pub(super) fn servers(&self) -> &[Incarnation] {
        &self.servers
    }

    /// Returns the server of a partition.
    pub(super) fn server_of(&self, partition: Partition) -> Incarnation {
        self.assignments[partition.index()]
    }

    /// Returns the partitions of a server.
    pub(super) fn partitions_of(&self, server: Incarnation) -> PartitionSet {
        let own = Partition::all().filter(|p| self.server_of(*p) == server);
        own.collect()
    }

    /// Records that a server was sent a message that requires an answer.
    pub(super) fn record_query(&mut self, now_us: Micros, server: Incarnation) {
        self.unanswered_since_us.entry(server).or_insert(now_us);
    }

    /// Records the answer of a server to a query that was sent at `sent_us`, if that is known.
    pub(super) fn record_answer(
        &mut self,
        now_us: Micros,
        server: Incarnation,
        sent_us: Option<Micros>,
    ) {
        self.unanswered_since_us.remove(&server);
        let Some(sent_us) = sent_us else { return };
        let newest_us = self.newest_answered_us.entry(server).or_insert(sent_us);
        *newest_us = sent_us.max(*newest_us);
        let sample_us = now_us.saturating_sub(sent_us) as f64;
        let average_us = self.round_trip_us.entry(server).or_insert(sample_us);
        *average_us += ROUND_TRIP_GAIN * (sample_us - *average_us);
        if self.excluded.contains(&server) && sample_us <= self.readmit_within_us() {
            self.excluded.remove(&server);
        }
    }

    /// Returns the excluded servers, which are to be probed.
    pub(super) fn excluded(&self) -> Vec<Incarnation> {
        self.excluded.iter().copied().collect()
    }

    /// Returns whether a server's answer to a query sent at `sent_us` is overdue while another server answered a later
    /// query.
    pub(super) fn is_overdue(&self, now_us: Micros, server: Incarnation, sent_us: Micros) -> bool {
        let fastest_us = self.fastest_round_trip_us().unwrap_or(0.0) * OVERDUE_ROUND_TRIPS;
        let due_us = sent_us + MIN_OVERDUE_US.max(fastest_us as Micros);
        now_us >= due_us && self.has_another_answered(server, sent_us)
    }

    /// Returns the shortest of the other servers' average round trips.
    pub(super) fn fastest_round_trip_us(&self) -> Option<f64> {
        let others = self.servers.iter().filter(|s| **s != self.me);
        let known = others.filter_map(|s| self.round_trip_us.get(s).copied());
        known.min_by(f64::total_cmp)
    }

    /// Returns the round trip within which an excluded server has to answer to be readmitted.
    fn readmit_within_us(&self) -> f64 {
        match self.fastest_round_trip_us() {
            Some(fastest_us) => {
                (fastest_us * READMIT_ROUND_TRIPS as f64).max(UNRESPONSIVE_US as f64)
            }
            None => f64::INFINITY,
        }
    }

    fn has_another_answered(&self, server: Incarnation, after_us: Micros) -> bool {
        let mut answered = self.newest_answered_us.iter();
        answered.any(|(other, at_us)| *other != server && *at_us > after_us)
    }

    /// Records that a server has terminated, which the membership view may not show yet.
    pub(super) fn record_end(&mut self, now_us: Micros, server: Incarnation) {
        self.unanswered_since_us.remove(&server);
        if self.candidates.contains(&server) {
            self.excluded.insert(server);
            self.refresh(now_us);
        }
    }

    /// Excludes servers that do not answer and updates the assignment.
    pub(super) fn refresh(&mut self, now_us: Micros) {
        let candidates: HashSet<Incarnation> = self.candidates.iter().copied().collect();
        self.excluded.retain(|server| candidates.contains(server));
        self.newest_answered_us
            .retain(|server, _| candidates.contains(server));
        self.round_trip_us
            .retain(|server, _| candidates.contains(server));
        let unanswered = self.unanswered_since_us.iter();
        let unresponsive = unanswered.filter(|(server, since_us)| {
            let unresponsive_us = now_us.saturating_sub(**since_us);
            let others_answer = || self.has_another_answered(**server, **since_us);
            unresponsive_us >= MAX_UNRESPONSIVE_US
                || (unresponsive_us >= UNRESPONSIVE_US && others_answer())
        });
        let unresponsive: Vec<Incarnation> = unresponsive.map(|(server, _)| *server).collect();
        for server in unresponsive {
            self.unanswered_since_us.remove(&server);
            self.excluded.insert(server);
        }
        let responsive = self.candidates.iter().copied();
        let responsive = responsive.filter(|c| *c == self.me || !self.excluded.contains(c));
        let mut servers: Vec<Incarnation> = responsive.take(SERVERS).collect();
        if servers.is_empty() {
            servers.push(self.me);
        }
        if servers != self.servers {
            self.servers = servers;
            self.assign();
        }
    }

    fn assign(&mut self) {
        for partition in Partition::all().filter(|p| p.copy() == 0) {
            let mut used = Vec::new();
            for copy in 0..COPIES {
                let partition = partition.with_copy(copy);
                let server = self.highest_scoring(partition, &used);
                self.assignments[partition.index()] = server;
                used.push(server);
            }
        }
    }

    /// Returns the server with the highest score for a partition, preferring those that are not in `used`.
    fn highest_scoring(&self, partition: Partition, used: &[Incarnation]) -> Incarnation {
        let score = |server: &&Incarnation| score(partition, **server);
        let unused = self.servers.iter().filter(|s| !used.contains(s));
        let highest_scoring = unused.max_by_key(score);
        let highest_scoring = highest_scoring.or_else(|| self.servers.iter().max_by_key(score));
        highest_scoring.copied().unwrap_or(self.me)
    }
}

/// Returns the rendezvous hash of a partition and a server, mixed as in SplitMix64.
fn score(partition: Partition, server: Incarnation) -> u64 {
    let mut hash = server.0 ^ (partition.index() as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
