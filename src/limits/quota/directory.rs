//! Which quota server serves which partition, as one instance sees it.

use std::collections::HashMap;

use crate::{
    limits::quota::partition::{COPIES, PARTITIONS, Partition, PartitionSet},
    prelude::{Incarnation, Micros},
};

/// Quota servers of a group.
const SERVERS: usize = 8;
/// A server that was asked for this long and did not answer is passed over.
const SILENT_US: Micros = 700_000;

#[derive(Debug)]
pub(super) struct Directory {
    me: Incarnation,
    /// Members in the order in which they are to serve.
    candidates: Vec<Incarnation>,
    /// Since when those asked have not answered.
    unanswered_since_us: HashMap<Incarnation, Micros>,
    /// Those that are passed over, with the newest question that each was sent meanwhile, and when.
    passed_over: HashMap<Incarnation, (u64, Micros)>,
    servers: Vec<Incarnation>,
    assigned: Vec<Incarnation>,
}

impl Directory {
    pub(super) fn new(me: Incarnation) -> Self {
        Self {
            me,
            candidates: Vec::new(),
            unanswered_since_us: HashMap::new(),
            passed_over: HashMap::new(),
            servers: vec![me],
            assigned: vec![me; PARTITIONS],
        }
    }

    /// Takes the members in the order in which they are to serve.
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

    /// Returns who serves a partition.
    pub(super) fn server_of(&self, partition: Partition) -> Incarnation {
        self.assigned[partition.index()]
    }

    /// Returns what a server serves.
    pub(super) fn partitions_of(&self, server: Incarnation) -> PartitionSet {
        let own = Partition::all().filter(|p| self.server_of(*p) == server);
        own.collect()
    }

    /// Notes that a server was sent something that it answers.
    pub(super) fn asked(&mut self, now_us: Micros, server: Incarnation) {
        self.unanswered_since_us.entry(server).or_insert(now_us);
    }

    /// Notes that a server answered.
    pub(super) fn answered(&mut self, server: Incarnation) {
        self.unanswered_since_us.remove(&server);
    }

    /// Returns those that are passed over and are to be asked whether they answer again.
    pub(super) fn passed_over(&self) -> Vec<Incarnation> {
        self.passed_over.keys().copied().collect()
    }

    /// Notes the question that one which is passed over was sent.
    pub(super) fn probed(&mut self, now_us: Micros, server: Incarnation, seq: u64) {
        if let Some(probe) = self.passed_over.get_mut(&server) {
            *probe = (seq, now_us);
        }
    }

    /// Takes the answer to such a question: one that comes in time brings the server back.
    pub(super) fn probe_answered(&mut self, now_us: Micros, server: Incarnation, seq: u64) {
        let probe = self.passed_over.get(&server);
        let is_in_time =
            probe.is_some_and(|(s, at_us)| *s == seq && now_us.saturating_sub(*at_us) < SILENT_US);
        if is_in_time {
            self.passed_over.remove(&server);
        }
    }

    /// Passes over those that do not answer.
    pub(super) fn refresh(&mut self, now_us: Micros) {
        let candidates = &self.candidates;
        let passed_over = &mut self.passed_over;
        passed_over.retain(|server, _| candidates.contains(server));
        self.unanswered_since_us.retain(|server, since_us| {
            let is_silent = now_us.saturating_sub(*since_us) >= SILENT_US;
            if is_silent {
                passed_over.entry(*server).or_insert((0, now_us));
            }
            !is_silent
        });
        let answering = self.candidates.iter().copied();
        let answering = answering.filter(|c| *c == self.me || !passed_over.contains_key(c));
        let mut servers: Vec<Incarnation> = answering.take(SERVERS).collect();
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
            let mut taken = Vec::new();
            for copy in 0..COPIES {
                let partition = partition.of_copy(copy);
                let server = self.best(partition, &taken);
                self.assigned[partition.index()] = server;
                taken.push(server);
            }
        }
    }

    /// Returns the server with the highest score for a partition, none of those `taken` if there are others.
    fn best(&self, partition: Partition, taken: &[Incarnation]) -> Incarnation {
        let score = |server: &&Incarnation| score(partition, **server);
        let free = self.servers.iter().filter(|s| !taken.contains(s));
        let best = free.max_by_key(score);
        let best = best.or_else(|| self.servers.iter().max_by_key(score));
        best.copied().unwrap_or(self.me)
    }
}

/// Mixes a partition and a start as splitmix does.
fn score(partition: Partition, server: Incarnation) -> u64 {
    let mut hash = server.0 ^ (partition.index() as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
