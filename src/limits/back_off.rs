//! Rest that endpoints ask this instance for: how long each is to be sent nothing, and how requests come back after it.
//!
//! Rest is asked of one instance, so each keeps to its own; to the others it is a sign of load
//! ([`crate::limits::announcements`]). All rests may end in the same moment, and an endpoint at rest looks idle to all. So instances come back by turns, each with one request first; only its
//! answer says whether the endpoint is well.
//!
//! Free of clock, socket and random source, so that tests drive it step by step.

use std::collections::{HashMap, HashSet};

use crate::{balance::load::EndpointKey, prelude::Micros};

/// The longest rest that is kept. One word that was spoiled on its way must not lose an endpoint for good.
pub const MAX_BACK_OFF_US: Micros = 600_000_000;
/// Instances that come back are this far apart in the mean: what one of them sent is known to the others some turns later.
const TURN_US: Micros = 10_000;
/// Nobody's turn comes later than this.
const LAST_TURN_US: Micros = 3_000_000;
/// One that sees nobody else's requests at an endpoint so long after its rest does not wait for its turn: most have none
/// to send, and whoever has some is to send within a second.
const UNUSED_US: Micros = 500_000;
/// A first request that has no answer after this time is not waited for any more.
const UNANSWERED_US: Micros = 1_000_000;
/// An endpoint that nobody wanted for this long after its rest serves as before.
const FORGOTTEN_US: Micros = 10_000_000;
/// Rests that are kept, at some 40 bytes each; more than there are endpoints in a large deployment.
const MOST_KEPT: usize = 4_096;

/// What an endpoint's answer says of rest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum BackOffHeader {
    /// Nothing.
    #[default]
    Absent,
    /// It wants nothing from this instance for so long, in microseconds.
    Period(Micros),
    /// Something that is no time; it counts for nothing.
    Unreadable(String),
}

/// When this instance may send to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackOff {
    /// Now.
    Over,
    /// Not before this time.
    Until(Micros),
}

/// What is known of one endpoint's rest.
#[derive(Clone, Copy, Debug)]
struct Requested {
    until_us: Micros,
    /// This instance's turn comes so long after that.
    turn_us: Micros,
    /// When the first request after it was sent.
    tried_us: Option<Micros>,
}

/// The rests that endpoints asked this instance for.
#[derive(Debug, Default)]
pub struct BackOffs {
    by_endpoint: HashMap<EndpointKey, Requested>,
    /// Endpoints whose last word could not be read.
    unreadable: HashSet<EndpointKey>,
}

impl BackOffs {
    /// Takes an endpoint's word that it wants nothing for `rest_us`; returns whether it served until then. Of several
    /// words the one that lasts longest holds: answers overtake each other, and each asks for itself.
    ///
    /// `draw`, from 0 to 1, places this instance among `instances` that may come back in the same moment.
    pub fn note_requested(
        &mut self,
        now_us: Micros,
        endpoint: EndpointKey,
        rest_us: Micros,
        instances: usize,
        draw: f64,
    ) -> bool {
        self.unreadable.remove(&endpoint);
        if rest_us == 0 {
            return false;
        }
        self.make_room(endpoint);
        let spread_us = (instances as Micros * TURN_US).min(LAST_TURN_US);
        let asked = Requested {
            until_us: now_us + rest_us.min(MAX_BACK_OFF_US),
            turn_us: (spread_us as f64 * draw) as Micros,
            tried_us: None,
        };
        let known = self.by_endpoint.entry(endpoint);
        let is_new = matches!(known, std::collections::hash_map::Entry::Vacant(_));
        let known = known.or_insert(asked);
        if asked.until_us >= known.until_us {
            *known = asked;
        }
        is_new
    }

    /// Where too many are kept, the one that ends first gives way.
    fn make_room(&mut self, endpoint: EndpointKey) {
        if self.by_endpoint.len() < MOST_KEPT || self.by_endpoint.contains_key(&endpoint) {
            return;
        }
        let first = self.by_endpoint.iter().min_by_key(|(_, a)| a.until_us);
        if let Some(first) = first.map(|(endpoint, _)| *endpoint) {
            self.by_endpoint.remove(&first);
        }
    }

    /// Returns whether an endpoint's rest is over for this instance; `is_used` says that others have requests there.
    pub fn back_off(
        &self,
        now_us: Micros,
        endpoint: EndpointKey,
        is_used: impl FnOnce() -> bool,
    ) -> BackOff {
        let Some(asked) = self.by_endpoint.get(&endpoint) else {
            return BackOff::Over;
        };
        if now_us < asked.until_us {
            return BackOff::Until(asked.until_us);
        }
        if let Some(tried_us) = asked.tried_us {
            let again_us = tried_us + UNANSWERED_US;
            return if now_us < again_us {
                BackOff::Until(again_us)
            } else {
                BackOff::Over
            };
        }
        let turn_us = asked.until_us + asked.turn_us;
        let unused_us = asked.until_us + UNUSED_US;
        if now_us >= turn_us || (now_us >= unused_us && !is_used()) {
            return BackOff::Over;
        }
        BackOff::Until(turn_us.min(unused_us.max(now_us + TURN_US)))
    }

    /// Notes that a request goes to an endpoint.
    pub fn note_sent(&mut self, now_us: Micros, endpoint: EndpointKey) {
        if let Some(asked) = self.by_endpoint.get_mut(&endpoint) {
            asked.tried_us = Some(now_us);
        }
    }

    /// Notes an endpoint's answer without a word of rest to a request that was sent at `sent_us`. If that was after the
    /// rest, the endpoint serves as before; returns whether it does from now on.
    pub fn note_answered(&mut self, endpoint: EndpointKey, sent_us: Micros) -> bool {
        let asked = self.by_endpoint.get(&endpoint);
        let is_well = asked.is_some_and(|asked| sent_us >= asked.until_us);
        if is_well {
            self.by_endpoint.remove(&endpoint);
        }
        is_well
    }

    /// Notes that the first request after a rest brought no answer: another may go.
    pub fn note_unanswered(&mut self, endpoint: EndpointKey, sent_us: Micros) {
        if let Some(asked) = self.by_endpoint.get_mut(&endpoint)
            && asked.tried_us == Some(sent_us)
        {
            asked.tried_us = None;
        }
    }

    /// Returns how many endpoints are at rest, or not known to serve again.
    pub fn len(&self) -> usize {
        self.by_endpoint.len()
    }

    /// Returns whether no endpoint is at rest.
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }

    /// Returns the endpoints that may not be sent to now, those that rest longest first.
    pub fn in_back_off(&self, now_us: Micros) -> Vec<EndpointKey> {
        let at_rest = self.by_endpoint.iter();
        let at_rest = at_rest.filter(|(_, asked)| now_us < asked.until_us);
        let mut at_rest: Vec<_> = at_rest.collect();
        at_rest.sort_by_key(|(_, asked)| std::cmp::Reverse(asked.until_us));
        at_rest.into_iter().map(|(endpoint, _)| *endpoint).collect()
    }

    /// Notes that an endpoint's word could not be read; returns whether the one before could be.
    pub fn note_unreadable(&mut self, endpoint: EndpointKey) -> bool {
        self.unreadable.len() < MOST_KEPT && self.unreadable.insert(endpoint)
    }

    /// Forgets rests that ended long ago.
    pub fn expire(&mut self, now_us: Micros, is_listed: impl Fn(EndpointKey) -> bool) {
        self.by_endpoint
            .retain(|_, asked| now_us < asked.until_us + FORGOTTEN_US);
        self.unreadable.retain(|endpoint| is_listed(*endpoint));
    }
}
