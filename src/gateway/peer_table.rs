//! The peers that this instance gets updates from, and when each was last seen.
//!
//! Uses neither clock nor socket, so that tests can drive it step by step.

use std::{collections::HashMap, net::IpAddr};

use crate::{
    limits::instance_counts::InstanceCounts,
    peers::update::Update,
    prelude::{Incarnation, Micros},
};

/// A peer that was last seen longer ago counts as silent: it may use its share of a limit unobserved.
pub const PEER_SILENT_US: Micros = 2_200_000;
/// A peer that was last seen longer ago no longer shares limits and is dropped.
pub const PEER_EXPIRY_US: Micros = 20_000_000;

/// The state of a peer, from its updates.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    /// Its incarnation; 0 until its first update.
    pub incarnation: Incarnation,
    /// The sequence number of its newest update.
    pub last_seq: u64,
    /// The key of its hall; 0 until its first update.
    pub hall: u32,
    /// When it was last seen or, before its first update, added.
    pub last_seen_us: Micros,
    /// Whether [`PeerTable::expire`] has returned it as silent.
    is_reported_silent: bool,
}

impl Peer {
    fn unseen(now_us: Micros) -> Self {
        Self {
            incarnation: Incarnation(0),
            last_seq: 0,
            hall: 0,
            last_seen_us: now_us,
            is_reported_silent: false,
        }
    }

    fn mark_seen(&mut self, now_us: Micros) {
        self.last_seen_us = now_us;
        self.is_reported_silent = false;
    }
}

/// Known peers by address.
#[derive(Debug, Default)]
pub struct PeerTable {
    by_addr: HashMap<IpAddr, Peer>,
}

impl PeerTable {
    /// Adds a peer known by address only, such as a seed, unless it is present. It counts as sharing limits.
    pub fn add_unseen(&mut self, now_us: Micros, addr: IpAddr) {
        self.by_addr.entry(addr).or_insert(Peer::unseen(now_us));
    }

    /// Records an update from a peer; returns false if it is no newer than the last one.
    pub fn record_update(&mut self, now_us: Micros, addr: IpAddr, update: &Update) -> bool {
        let unseen = Peer::unseen(now_us);
        let peer = self.by_addr.entry(addr).or_insert(unseen);
        if peer.incarnation != update.from {
            *peer = unseen;
            peer.incarnation = update.from;
        } else if peer.last_seq >= update.seq {
            return false;
        }
        peer.last_seq = update.seq;
        peer.hall = update.hall;
        peer.mark_seen(now_us);
        true
    }

    /// Returns the sequence number of the newest update from an address, or 0.
    pub fn last_seq(&self, addr: IpAddr) -> u64 {
        self.by_addr.get(&addr).map_or(0, |p| p.last_seq)
    }

    /// Returns all peers that have not expired.
    pub fn iter(&self) -> impl Iterator<Item = (&IpAddr, &Peer)> {
        self.by_addr.iter()
    }

    /// Returns the number of peers that have not expired.
    pub fn len(&self) -> usize {
        self.by_addr.len()
    }

    /// Returns whether there are no peers.
    pub fn is_empty(&self) -> bool {
        self.by_addr.is_empty()
    }

    /// Drops expired peers and returns the ones that became silent since the last call, whose usage is now unknown.
    pub fn expire(&mut self, now_us: Micros) -> Vec<Incarnation> {
        let age = |p: &Peer| now_us.saturating_sub(p.last_seen_us);
        self.by_addr.retain(|_, p| age(p) < PEER_EXPIRY_US);
        let silent = self.by_addr.values_mut();
        let silent = silent.filter(|p| age(p) >= PEER_SILENT_US && !p.is_reported_silent);
        let newly_silent = silent.map(|p| {
            p.is_reported_silent = true;
            p.incarnation
        });
        newly_silent.collect()
    }

    /// Counts the instances that share limits and those that are not silent, this instance included.
    pub fn sharers(&self, now_us: Micros) -> InstanceCounts {
        let is_fresh = |p: &&Peer| now_us.saturating_sub(p.last_seen_us) < PEER_SILENT_US;
        InstanceCounts {
            all: self.by_addr.len() + 1,
            heard: self.seen().filter(is_fresh).count() + 1,
        }
    }

    /// Like [`Self::sharers`], without peers that never sent an update: a seed may no longer run.
    pub fn seen_sharers(&self, now_us: Micros) -> InstanceCounts {
        InstanceCounts {
            all: self.seen().count() + 1,
            ..self.sharers(now_us)
        }
    }

    fn seen(&self) -> impl Iterator<Item = &Peer> {
        let peers = self.by_addr.values();
        peers.filter(|p| p.incarnation != Incarnation(0))
    }
}
