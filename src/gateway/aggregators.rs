//! Which instances of a large group sum up what their hall does.
//!
//! Everybody telling everybody grows with the square of a hall: with 49 instances a hall each spent
//! .023 of a core on it, and links of 20 Mbit/s were full. Instead, each instance tells two
//! aggregators of its hall, and they tell the hall and each other's halls in sums.
//!
//! Nothing is elected: each instance works out from its view whom it tells, and whoever is told is an
//! aggregator. One that does not answer is passed over within a second, so the loss of any of them
//! costs some words.
//!
//! Free of clock and socket, so that tests drive it step by step.

use std::{collections::HashMap, sync::Arc};

use crate::{
    peers::view::{Member, View},
    prelude::{Incarnation, Micros, Name, short_hash},
};

/// Aggregators of a hall: one may be lost, and the other's sums still come.
pub const AGGREGATORS: usize = 2;
/// One of the own hall that was told for this long and did not answer is passed over: it answers in
/// some 100 ms, and a datagram may be lost.
const OWN_HALL_TIMEOUT_US: Micros = 700_000;
/// The same for other halls, whose aggregators tell this one several times a second if they agree on
/// who it is.
const REMOTE_HALL_TIMEOUT_US: Micros = 2_200_000;
/// One that was passed over is told again after this time.
const RETRY_AFTER_US: Micros = 5_000_000;

/// Returns how a hall is named in updates.
pub fn hall_key(hall: &Name) -> u32 {
    short_hash(hall)
}

/// The members of one hall, those first that are to be its aggregators.
#[derive(Clone, Debug)]
struct Hall {
    name: Name,
    members: Vec<Member>,
}

/// Whom this instance tells, worked out from its view and from who answers.
#[derive(Debug, Default)]
pub struct Aggregators {
    /// The view that `halls` are of.
    view: Arc<View>,
    halls: Vec<Hall>,
    /// Since when those told have not answered.
    unanswered: HashMap<Incarnation, Micros>,
}

impl Aggregators {
    /// Takes a view; false if it is the one taken last, of which nothing is worked out anew.
    pub fn set_view(&mut self, view: &Arc<View>) -> bool {
        if Arc::ptr_eq(&self.view, view) {
            return false;
        }
        self.view = view.clone();
        self.halls = halls(view);
        self.unanswered.retain(|i, _| view.member(*i).is_some());
        true
    }

    /// Notes that an instance was told something that it answers.
    pub fn expect_answer(&mut self, now_us: Micros, incarnation: Incarnation) {
        self.unanswered.entry(incarnation).or_insert(now_us);
    }

    /// Notes that an instance spoke.
    pub fn record_answer(&mut self, incarnation: Incarnation) {
        self.unanswered.remove(&incarnation);
    }

    /// Returns the aggregators of a hall as this instance sees them, itself included.
    pub fn of_hall(&mut self, now_us: Micros, hall: &Name, is_own: bool) -> Vec<Member> {
        let timeout_us = if is_own {
            OWN_HALL_TIMEOUT_US
        } else {
            REMOTE_HALL_TIMEOUT_US
        };
        let retry_after_us = timeout_us + RETRY_AFTER_US;
        self.unanswered
            .retain(|_, since_us| now_us.saturating_sub(*since_us) < retry_after_us);
        let Some(hall) = self.halls.iter().find(|h| h.name == *hall) else {
            return Vec::new();
        };
        let answers = |m: &&Member| {
            let since_us = self.unanswered.get(&m.info.incarnation);
            since_us.is_none_or(|since| now_us.saturating_sub(*since) < timeout_us)
        };
        let chosen = hall.members.iter().filter(answers);
        let chosen: Vec<Member> = chosen.take(AGGREGATORS).cloned().collect();
        if chosen.is_empty() {
            // None answers: those that the membership believes to run.
            return hall.members.iter().take(AGGREGATORS).cloned().collect();
        }
        chosen
    }

    /// Returns how many instances a data centre has that may aggregate.
    pub fn members_of(&self, hall_name: &Name) -> usize {
        let known = self.halls.iter().find(|h| h.name == *hall_name);
        known.map_or(0, |h| h.members.len())
    }

    /// Returns whom this instance tells of its hall, if it is one of its aggregators: of each other
    /// hall the one of its own place, or all where it is alone in its hall.
    pub fn remote_peers(&mut self, now_us: Micros, my_hall: &Name) -> Vec<Member> {
        let me = self.view.me;
        let own = self.of_hall(now_us, my_hall, true);
        let Some(position) = own.iter().position(|m| m.info.incarnation == me) else {
            return Vec::new();
        };
        let others = self.halls.iter().map(|h| h.name.clone());
        let others: Vec<Name> = others.filter(|name| name != my_hall).collect();
        let mut peers = Vec::new();
        for hall in others {
            let theirs = self.of_hall(now_us, &hall, false);
            match own.len() {
                0 | 1 => peers.extend(theirs),
                _ => peers.extend(theirs.get(position % theirs.len().max(1)).cloned()),
            }
        }
        peers
    }

    /// Returns the aggregators of all halls, this instance left out.
    pub fn of_all_halls(&mut self, now_us: Micros, my_hall: &Name) -> Vec<Member> {
        let names: Vec<Name> = self.halls.iter().map(|h| h.name.clone()).collect();
        let me = self.view.me;
        let mut all = Vec::new();
        for name in names {
            all.extend(self.of_hall(now_us, &name, name == *my_hall));
        }
        all.retain(|m| m.info.incarnation != me);
        all
    }
}

fn halls(view: &View) -> Vec<Hall> {
    let mut names: Vec<Name> = view.present().map(|m| m.info.hall.clone()).collect();
    names.sort_unstable();
    names.dedup();
    let of_hall = |name: Name| {
        let is_able = |m: &Member| m.info.hall == name && m.can_lead();
        let members = view.chosen("aggregate", usize::MAX, is_able);
        Hall {
            members: members.into_iter().cloned().collect(),
            name,
        }
    };
    names.into_iter().map(of_hall).collect()
}
