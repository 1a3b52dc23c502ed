//! The leases that this instance has issued: the lessee and expiry of its share in each partition.

use std::collections::HashMap;

use crate::{
    limits::quota::{
        message::{InstanceCount, Lease},
        partition::{PARTITIONS, Partition, PartitionSet},
    },
    prelude::{Incarnation, Micros},
};

/// Renewal interval per instance of the group: it grows with the group, as servers then get more renewals.
const RENEWAL_PER_INSTANCE_US: Micros = 4_000;
const MIN_RENEWAL_US: Micros = 400_000;
const MAX_RENEWAL_US: Micros = 4_000_000;
/// The longest round trip at which leases still cover the time between renewals. A lease runs from a server timestamp
/// that travelled to the lessor and back, so a round trip of its duration is lost.
const MAX_ROUND_TRIP_US: Micros = 2_800_000;
/// Renewal intervals that a lease covers, so that the loss of one renewal does not end it.
const RENEWALS_PER_LEASE: Micros = 2;

/// Returns the duration of leases in a group of `instances`.
fn lease_duration_us(instances: u32) -> Micros {
    MAX_ROUND_TRIP_US + RENEWALS_PER_LEASE * renewal_interval_us(instances)
}

/// Returns the interval at which leases are renewed in a group of `instances`.
pub(super) fn renewal_interval_us(instances: u32) -> Micros {
    (Micros::from(instances) * RENEWAL_PER_INSTANCE_US).clamp(MIN_RENEWAL_US, MAX_RENEWAL_US)
}

#[derive(Clone, Copy, Debug)]
struct IssuedLease {
    to: Incarnation,
    seq: u64,
    until_us: Micros,
}

/// The leases that this instance has issued as a lessor.
#[derive(Debug)]
pub(super) struct Delegation {
    /// Hash of this instance's address.
    pub(super) address: u32,
    started_us: Micros,
    /// No lease of an earlier incarnation at this address is held any more, and this one may issue leases.
    is_leasing: bool,
    /// Since when shares that are leased for the first time have been unused; none if that is not known.
    idle_since_us: Option<Micros>,
    ever_leased: PartitionSet,
    seq: u64,
    leased: Vec<Option<IssuedLease>>,
    /// Newest timestamp received from each server, on that server's clock.
    stamps: HashMap<Incarnation, Micros>,
}

impl Delegation {
    pub(super) fn new(started_us: Micros) -> Self {
        Self {
            address: 0,
            started_us,
            is_leasing: false,
            idle_since_us: None,
            ever_leased: PartitionSet::default(),
            seq: 0,
            leased: vec![None; PARTITIONS],
            stamps: HashMap::new(),
        }
    }

    /// Starts to issue leases: none of an earlier incarnation is held any more, nor has been used since
    /// `idle_since_us`, if that is known.
    pub(super) fn start_leasing(&mut self, idle_since_us: Option<Micros>) {
        self.is_leasing = true;
        self.idle_since_us = idle_since_us;
    }

    /// Returns whether this instance issues leases.
    pub(super) fn is_leasing(&self) -> bool {
        self.is_leasing
    }

    /// Returns whether all leases of earlier incarnations have expired, in a group of `instances`.
    pub(super) fn have_predecessor_leases_expired(&self, now_us: Micros, instances: u32) -> bool {
        now_us >= self.started_us + lease_duration_us(instances)
    }

    /// Records a timestamp of a server.
    pub(super) fn record_stamp(&mut self, server: Incarnation, stamp_us: Micros) {
        let newest_us = self.stamps.entry(server).or_default();
        *newest_us = stamp_us.max(*newest_us);
    }

    /// Leases to `server` those of the `wanted` partitions that are not leased to another server. Without a timestamp
    /// of the server the lease is empty; the server's answer brings a timestamp.
    pub(super) fn lease(
        &mut self,
        now_us: Micros,
        server: Incarnation,
        wanted: PartitionSet,
        count: InstanceCount,
    ) -> Lease {
        self.seq += 1;
        let stamp_us = self.stamps.get(&server).copied().unwrap_or(0);
        let mut partitions = PartitionSet::default();
        if stamp_us > 0 && self.is_leasing {
            partitions = wanted
                .iter()
                .filter(|p| self.can_lease_to(now_us, *p, server))
                .collect();
        }
        let lasts_us = lease_duration_us(count.instances);
        let mut idle = PartitionSet::default();
        for partition in partitions.iter() {
            self.leased[partition.index()] = Some(IssuedLease {
                to: server,
                seq: self.seq,
                until_us: now_us + lasts_us,
            });
            if !self.ever_leased.contains(partition) {
                self.ever_leased.insert(partition);
                idle.insert(partition);
            }
        }
        let idle_us = self.idle_since_us.map_or(0, |since_us| now_us - since_us);
        Lease {
            to: server,
            address: self.address,
            seq: self.seq,
            stamp_us,
            lasts_us,
            partitions,
            idle,
            idle_us,
            count,
        }
    }

    /// Returns, by lessee, the partitions that are leased to another server than the one that serves them now.
    pub(super) fn misplaced(
        &self,
        now_us: Micros,
        server_of: impl Fn(Partition) -> Incarnation,
    ) -> HashMap<Incarnation, PartitionSet> {
        let mut misplaced: HashMap<Incarnation, PartitionSet> = HashMap::new();
        for partition in Partition::all() {
            let Some(leased) = self.leased[partition.index()] else {
                continue;
            };
            if leased.until_us > now_us && leased.to != server_of(partition) {
                misplaced.entry(leased.to).or_default().insert(partition);
            }
        }
        misplaced
    }

    /// Returns the sequence number for a release request.
    pub(super) fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Records that a lessee has released leases, as requested under `seq`; newer leases stay.
    pub(super) fn confirm_release(
        &mut self,
        from: Incarnation,
        seq: u64,
        partitions: PartitionSet,
    ) {
        for partition in partitions.iter() {
            let leased = &mut self.leased[partition.index()];
            leased.take_if(|l| l.to == from && l.seq < seq);
        }
    }

    /// Ends the leases to a lessee that has terminated; returns whether there were any.
    pub(super) fn end_leases_to(&mut self, lessee: Incarnation) -> bool {
        let leases = self.leased.iter_mut();
        let ended = leases.filter_map(|leased| leased.take_if(|l| l.to == lessee));
        ended.count() > 0
    }

    fn can_lease_to(&self, now_us: Micros, partition: Partition, server: Incarnation) -> bool {
        let leased = self.leased[partition.index()];
        leased.is_none_or(|l| l.to == server || l.until_us <= now_us)
    }
}
