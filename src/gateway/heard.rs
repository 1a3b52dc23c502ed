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
pub const HEARD_US: Micros = 2_200_000;
/// One that is silent for longer is no sharer any more.
pub const SHARER_US: Micros = 20_000_000;

/// What is known of an instance from its words.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    /// Its start; 0 until it spoke.
    pub incarnation: Incarnation,
    /// Its newest round that came from itself.
    pub direct_seq: u64,
    /// Its hall, by its key; 0 until it spoke itself.
    pub hall: u32,
    /// When it was heard last, or met.
    pub at_us: Micros,
    /// It fell silent, and its rate of use was forgotten.
    is_forgotten: bool,
}

impl Heard {
    fn met(now_us: Micros) -> Self {
        Self {
            incarnation: Incarnation(0),
            direct_seq: 0,
            hall: 0,
            at_us: now_us,
            is_forgotten: false,
        }
    }

    fn spoke(&mut self, now_us: Micros) {
        self.at_us = now_us;
        self.is_forgotten = false;
    }
}

/// The instances that are heard, by address.
#[derive(Debug, Default)]
pub struct HeardInstances {
    by_addr: HashMap<IpAddr, Heard>,
}

impl HeardInstances {
    /// Notes an instance that was met or is a seed, and may have said nothing yet. It is taken to
    /// share limits.
    pub fn meet(&mut self, now_us: Micros, addr: IpAddr) {
        self.by_addr.entry(addr).or_insert(Heard::met(now_us));
    }

    /// Notes a datagram; false if it is older than one that came before.
    pub fn note_direct(&mut self, now_us: Micros, addr: IpAddr, update: &Update) -> bool {
        let met = Heard::met(now_us);
        let heard = self.by_addr.entry(addr).or_insert(met);
        if heard.incarnation != update.from {
            *heard = met;
            heard.incarnation = update.from;
        } else if heard.direct_seq >= update.seq {
            return false;
        }
        heard.direct_seq = update.seq;
        heard.hall = update.hall;
        heard.spoke(now_us);
        true
    }

    /// Returns the newest round that came from an address itself, or 0.
    pub fn direct_seq(&self, addr: IpAddr) -> u64 {
        self.by_addr.get(&addr).map_or(0, |h| h.direct_seq)
    }

    /// Returns all that were heard or met of late.
    pub fn iter(&self) -> impl Iterator<Item = (&IpAddr, &Heard)> {
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
        let age = |h: &Heard| now_us.saturating_sub(h.at_us);
        self.by_addr.retain(|_, h| age(h) < SHARER_US);
        let silent = self.by_addr.values_mut();
        let silent = silent.filter(|h| age(h) >= HEARD_US && !h.is_forgotten);
        let forgotten = silent.map(|h| {
            h.is_forgotten = true;
            h.incarnation
        });
        forgotten.collect()
    }

    /// Counts the sharers, and those of them that are heard, this instance
    /// included.
    pub fn sharers(&self, now_us: Micros) -> InstanceCounts {
        let is_heard = |h: &&Heard| now_us.saturating_sub(h.at_us) < HEARD_US;
        InstanceCounts {
            all: self.by_addr.len() + 1,
            heard: self.spoken().filter(is_heard).count() + 1,
        }
    }

    /// The same without those that were met and never heard: a seed may be long gone.
    pub fn spoken_sharers(&self, now_us: Micros) -> InstanceCounts {
        InstanceCounts {
            all: self.spoken().count() + 1,
            ..self.sharers(now_us)
        }
    }

    fn spoken(&self) -> impl Iterator<Item = &Heard> {
        let heard = self.by_addr.values();
        heard.filter(|h| h.incarnation != Incarnation(0))
    }
}
