//! Back-off periods that endpoints request from this instance (503 with `Retry-After`), and how requests resume after
//! them. Log events and metrics call such a period a rest.
//!
//! A back-off binds only the instance that it was requested from; for the others it is a sign of load
//! ([`crate::limits::announcements`]). All back-offs from an endpoint may end at the same moment, and the endpoint
//! looks idle to every instance until then. So instances resume at staggered times, each with a single probe request,
//! whose response shows whether the endpoint has recovered.
//!
//! Uses no clock, socket or random source, so that tests can drive it step by step.

use std::collections::{HashMap, HashSet};

use crate::{balance::load::EndpointKey, prelude::Micros};

/// Longer back-offs are cut to this. One corrupted header must not take an endpoint out of service for good.
pub const MAX_BACK_OFF_US: Micros = 600_000_000;
/// Mean time between the instances that resume: the others learn a few such steps later what one of them sent.
const STAGGER_US: Micros = 10_000;
/// The longest delay of an instance after the end of the back-off.
const MAX_STAGGER_US: Micros = 3_000_000;
/// An instance that sees no requests of others at an endpoint this long after its back-off does not wait out its own
/// delay: most instances have no requests for it, and one that has some should send within a second.
const UNUSED_US: Micros = 500_000;
/// A probe request without a response after this time no longer blocks the next one.
const PROBE_TIMEOUT_US: Micros = 1_000_000;
/// A back-off is dropped this long after its end if no request was sent to the endpoint.
const EXPIRY_US: Micros = 10_000_000;
/// The most back-offs that are stored, about 40 bytes each; more than there are endpoints in a large deployment.
const MAX_BACK_OFFS: usize = 4_096;

/// The back-off header of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum BackOffHeader {
    /// No back-off is requested.
    #[default]
    None,
    /// This instance is to send nothing for this time, in microseconds.
    Period(Micros),
    /// The value is not a time; it is ignored.
    Unreadable(String),
}

/// Whether this instance may send to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackOff {
    /// It may send now.
    Over,
    /// It may not send before this time.
    Until(Micros),
}

/// The back-off of one endpoint.
#[derive(Clone, Copy, Debug)]
struct PendingBackOff {
    until_us: Micros,
    /// How long after the end this instance resumes.
    stagger_us: Micros,
    /// When the probe request was sent.
    probed_us: Option<Micros>,
}

/// The back-offs that endpoints requested from this instance.
#[derive(Debug, Default)]
pub struct BackOffs {
    by_endpoint: HashMap<EndpointKey, PendingBackOff>,
    /// Endpoints whose last back-off header could not be parsed.
    unreadable: HashSet<EndpointKey>,
}

impl BackOffs {
    /// Notes that an endpoint requested a back-off of `period_us`; returns whether it had none before. Of several
    /// requested periods the one that ends last applies, because responses may be reordered.
    ///
    /// `draw`, from 0 to 1, staggers this instance among the `instances` that may resume at the same moment.
    pub fn note_requested(
        &mut self,
        now_us: Micros,
        endpoint: EndpointKey,
        period_us: Micros,
        instances: usize,
        draw: f64,
    ) -> bool {
        self.unreadable.remove(&endpoint);
        if period_us == 0 {
            return false;
        }
        self.make_room(endpoint);
        let spread_us = (instances as Micros * STAGGER_US).min(MAX_STAGGER_US);
        let pending = PendingBackOff {
            until_us: now_us + period_us.min(MAX_BACK_OFF_US),
            stagger_us: (spread_us as f64 * draw) as Micros,
            probed_us: None,
        };
        let known = self.by_endpoint.entry(endpoint);
        let is_new = matches!(known, std::collections::hash_map::Entry::Vacant(_));
        let known = known.or_insert(pending);
        if pending.until_us >= known.until_us {
            *known = pending;
        }
        is_new
    }

    /// If the table is full, drops the back-off that ends first.
    fn make_room(&mut self, endpoint: EndpointKey) {
        if self.by_endpoint.len() < MAX_BACK_OFFS || self.by_endpoint.contains_key(&endpoint) {
            return;
        }
        let first = self.by_endpoint.iter().min_by_key(|(_, a)| a.until_us);
        if let Some(first) = first.map(|(endpoint, _)| *endpoint) {
            self.by_endpoint.remove(&first);
        }
    }

    /// Returns whether an endpoint's back-off is over for this instance; `is_used` tells whether other instances have
    /// requests there.
    pub fn back_off(
        &self,
        now_us: Micros,
        endpoint: EndpointKey,
        is_used: impl FnOnce() -> bool,
    ) -> BackOff {
        let Some(pending) = self.by_endpoint.get(&endpoint) else {
            return BackOff::Over;
        };
        if now_us < pending.until_us {
            return BackOff::Until(pending.until_us);
        }
        if let Some(probed_us) = pending.probed_us {
            let next_probe_us = probed_us + PROBE_TIMEOUT_US;
            return if now_us < next_probe_us {
                BackOff::Until(next_probe_us)
            } else {
                BackOff::Over
            };
        }
        let resume_us = pending.until_us + pending.stagger_us;
        let unused_us = pending.until_us + UNUSED_US;
        if now_us >= resume_us || (now_us >= unused_us && !is_used()) {
            return BackOff::Over;
        }
        BackOff::Until(resume_us.min(unused_us.max(now_us + STAGGER_US)))
    }

    /// Notes that a request is sent to an endpoint.
    pub fn note_sent(&mut self, now_us: Micros, endpoint: EndpointKey) {
        if let Some(pending) = self.by_endpoint.get_mut(&endpoint) {
            pending.probed_us = Some(now_us);
        }
    }

    /// Notes an endpoint's response without a back-off header to a request that was sent at `sent_us`. If the request
    /// was sent after the back-off, this ends it; returns whether it did.
    pub fn note_answered(&mut self, endpoint: EndpointKey, sent_us: Micros) -> bool {
        let pending = self.by_endpoint.get(&endpoint);
        let is_recovered = pending.is_some_and(|pending| sent_us >= pending.until_us);
        if is_recovered {
            self.by_endpoint.remove(&endpoint);
        }
        is_recovered
    }

    /// Notes that the probe request after a back-off failed without a response, so that another may be sent.
    pub fn note_unanswered(&mut self, endpoint: EndpointKey, sent_us: Micros) {
        if let Some(pending) = self.by_endpoint.get_mut(&endpoint)
            && pending.probed_us == Some(sent_us)
        {
            pending.probed_us = None;
        }
    }

    /// Returns the number of endpoints that are in back-off or not known to have recovered from it.
    pub fn len(&self) -> usize {
        self.by_endpoint.len()
    }

    /// Returns whether no endpoint is in back-off and all are known to have recovered from it.
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }

    /// Returns the endpoints whose back-off has not ended, those with the latest end first.
    pub fn in_back_off(&self, now_us: Micros) -> Vec<EndpointKey> {
        let active = self.by_endpoint.iter();
        let active = active.filter(|(_, pending)| now_us < pending.until_us);
        let mut active: Vec<_> = active.collect();
        active.sort_by_key(|(_, pending)| std::cmp::Reverse(pending.until_us));
        active.into_iter().map(|(endpoint, _)| *endpoint).collect()
    }

    /// Notes that an endpoint's back-off header could not be parsed; returns whether the previous one could be.
    pub fn note_unreadable(&mut self, endpoint: EndpointKey) -> bool {
        self.unreadable.len() < MAX_BACK_OFFS && self.unreadable.insert(endpoint)
    }

    /// Drops back-offs that ended long ago, and parse failures of endpoints that are not listed any more.
    pub fn expire(&mut self, now_us: Micros, is_listed: impl Fn(EndpointKey) -> bool) {
        self.by_endpoint
            .retain(|_, pending| now_us < pending.until_us + EXPIRY_US);
        self.unreadable.retain(|endpoint| is_listed(*endpoint));
    }
}
