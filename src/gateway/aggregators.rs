//! Selects the aggregators of each hall in a large cluster.
//!
//! All-to-all updates grow with the square of a hall's size: with 49 instances per hall they took .023 of a core on
//! each instance and filled links of 20 Mbit/s. Instead, each instance reports to two aggregators of its hall, which
//! send summaries to their hall and to the aggregators of other halls.
//!
//! There is no election: each instance selects aggregators from its own membership view, and an instance that gets
//! reports acts as an aggregator. One that does not answer is skipped within a second, so the failure of an
//! aggregator loses only a few updates.
//!
//! Uses neither clock nor socket, so that tests can drive it step by step.

use std::{collections::HashMap, sync::Arc};

use crate::{
    peers::view::{Member, View},
    prelude::{Incarnation, Micros, Name, short_hash},
};

/// Aggregators per hall; if one fails, the summaries of the other still arrive.
pub const AGGREGATORS: usize = 2;
/// An aggregator of this hall that has not answered for this long is skipped. It normally answers within about
/// 100 ms; the margin allows for a lost datagram.
const OWN_HALL_TIMEOUT_US: Micros = 700_000;
/// The same for other halls, whose aggregators send to this instance several times a second if they also select it.
const REMOTE_HALL_TIMEOUT_US: Micros = 2_200_000;
/// Time after which a skipped instance is tried again.
const RETRY_AFTER_US: Micros = 5_000_000;

/// Returns the key that identifies a hall in updates.
pub fn hall_key(hall: &Name) -> u32 {
    short_hash(hall)
}

/// The members of a hall that can aggregate, in order of preference.
#[derive(Clone, Debug)]
struct Hall {
    name: Name,
    members: Vec<Member>,
}

/// Selects aggregators from the membership view and from which instances answer.
#[derive(Debug, Default)]
pub struct Aggregators {
    /// The view from which `halls` was built.
    view: Arc<View>,
    halls: Vec<Hall>,
    /// When the oldest unanswered update to each instance was sent.
    unanswered: HashMap<Incarnation, Micros>,
}

impl Aggregators {
    /// Sets the view and rebuilds the halls; returns false and does nothing if the view is the current one.
    pub fn set_view(&mut self, view: &Arc<View>) -> bool {
        if Arc::ptr_eq(&self.view, view) {
            return false;
        }
        self.view = view.clone();
        self.halls = halls(view);
        self.unanswered.retain(|i, _| view.member(*i).is_some());
        true
    }

    /// Records that an instance was sent an update that it is expected to answer.
    pub fn expect_answer(&mut self, now_us: Micros, incarnation: Incarnation) {
        self.unanswered.entry(incarnation).or_insert(now_us);
    }

    /// Records that an instance sent an update.
    pub fn record_answer(&mut self, incarnation: Incarnation) {
        self.unanswered.remove(&incarnation);
    }

    /// Returns the aggregators of a hall that this instance selects, possibly including itself.
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
            // None answers, so rely on the membership alone.
            return hall.members.iter().take(AGGREGATORS).cloned().collect();
        }
        chosen
    }

    /// Returns the number of a hall's instances that can aggregate.
    pub fn members_of(&self, hall_name: &Name) -> usize {
        let known = self.halls.iter().find(|h| h.name == *hall_name);
        known.map_or(0, |h| h.members.len())
    }

    /// Returns the aggregators of other halls that this instance sends its hall's summaries to; none if it is not
    /// an aggregator. In each hall it selects the one of its own rank, or all if it is its hall's only aggregator.
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

    /// Returns the aggregators of all halls, without this instance.
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
        let members = view.rank_members("aggregate", usize::MAX, is_able);
        Hall {
            members: members.into_iter().cloned().collect(),
            name,
        }
    };
    names.into_iter().map(of_hall).collect()
}
