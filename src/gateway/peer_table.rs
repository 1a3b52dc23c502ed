//! Which instances are heard from themselves, and when they were heard last.
//!
//! Free of clock and socket, so that tests drive it step by step.

use std::{collections::HashMap, net::IpAddr};

use crate::{
    limits::instance_counts::InstanceCounts,
    peers::update::Update,
    prelude::{Incarnation, Micros},
};

/// An instance whose last word is older may use its share of a limit without being heard.
pub const PEER_SILENT_US: Micros = 2_200_000;
/// One that is silent for longer is no sharer any more.
pub const PEER_EXPIRY_US: Micros = 20_000_000;

/// What is known of an instance from its words.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    /// Its start; 0 until it spoke.
    pub incarnation: Incarnation,
    /// Its newest round that came from itself.
    pub last_seq: u64,
    /// Its hall, by its key; 0 until it spoke itself.
    pub hall: u32,
    /// When it was heard last, or met.
    pub last_seen_us: Micros,
    /// It fell silent, and its rate of use was forgotten.
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

/// The instances that are heard, by address.
#[derive(Debug, Default)]
pub struct PeerTable {
    by_addr: HashMap<IpAddr, Peer>,
}

impl PeerTable {
    /// Notes an instance that was met or is a seed, and may have said nothing yet. It is taken to
    /// share limits.
    pub fn add_unseen(&mut self, now_us: Micros, addr: IpAddr) {
        self.by_addr.entry(addr).or_insert(Peer::unseen(now_us));
    }

    /// Notes a datagram; false if it is older than one that came before.
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

    /// Returns the newest round that came from an address itself, or 0.
    pub fn last_seq(&self, addr: IpAddr) -> u64 {
        self.by_addr.get(&addr).map_or(0, |p| p.last_seq)
    }

    /// Returns all that were heard or met of late.
    pub fn iter(&self) -> impl Iterator<Item = (&IpAddr, &Peer)> {
        self.by_addr.iter()
    }

    /// Returns their number.
    pub fn len(&self) -> usize {
        self.by_addr.len()
    }

    /// Returns whether nobody was heard or met of late.
    pub fn is_empty(&self) -> bool {
        self.by_addr.is_empty()
    }

    /// Drops those that were silent for long; returns those that fell silent since this was asked
    /// last, whose use is not known any more.
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

    /// Counts the sharers, and those of them that are heard, this instance
    /// included.
    pub fn sharers(&self, now_us: Micros) -> InstanceCounts {
        let is_heard = |p: &&Peer| now_us.saturating_sub(p.last_seen_us) < PEER_SILENT_US;
        InstanceCounts {
            all: self.by_addr.len() + 1,
            heard: self.seen().filter(is_heard).count() + 1,
        }
    }

    /// The same without those that were met and never heard: a seed may be long gone.
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
