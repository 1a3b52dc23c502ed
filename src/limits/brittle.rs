//! Endpoints that announce that they crash when they refuse more than some requests in a second for want of room.
//!
//! From some time after the announcement such an endpoint may let fewer requests wait than before, and it does not say
//! how many. So nothing is queued there: it gets as many requests as it has slots. Instances know of each other's
//! requests some tenths of a second late, and many would take the same free slot, so one instance issues the slots of
//! an endpoint for all and counts them as it does so.
//!
//! Uses no clock or socket, so that tests can drive it step by step.

use std::collections::{HashMap, VecDeque};

use crate::{balance::load::EndpointKey, limits::permits::Permit, prelude::Micros};

/// An announcement holds for this long without a further answer of the endpoint. Answers come with each request, and
/// an endpoint that is not used cannot be crashed by refusals.
const ANNOUNCEMENT_TTL_US: Micros = 5_000_000;
/// The most endpoints that are stored; more than there are in a large deployment.
const MAX_ENTRIES: usize = 4_096;
/// Reports are at most this late. A slot issued longer ago has been returned if no request is reported there: the
/// message that returns it may be lost.
const REPORT_DELAY_US: Micros = 2_000_000;
/// After a refusal no slot is issued for this long: the endpoint has fewer than it states, or more requests than known.
const PAUSE_AFTER_REFUSAL_US: Micros = 500_000;
/// How long an instance that was denied a slot does not ask again. Slots of small requests are free again within some
/// milliseconds.
const DENIED_WAIT_US: Micros = 10_000;

/// What one endpoint announced last.
#[derive(Clone, Copy, Debug)]
struct Announced {
    is_brittle: bool,
    at_us: Micros,
}

/// The endpoints that announce that they are brittle, and those of their services that have been heard since.
#[derive(Debug, Default)]
pub struct BrittleEndpoints {
    by_endpoint: HashMap<EndpointKey, Announced>,
}

impl BrittleEndpoints {
    /// Returns whether no endpoint is known to be brittle.
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }

    /// Notes whether an endpoint's answer announces that it is brittle; returns whether that is new.
    pub fn note_answer(&mut self, now_us: Micros, endpoint: EndpointKey, is_brittle: bool) -> bool {
        if self.is_empty() && !is_brittle {
            return false;
        }
        if self.by_endpoint.len() >= MAX_ENTRIES && !self.by_endpoint.contains_key(&endpoint) {
            return false;
        }
        let known = self.by_endpoint.entry(endpoint).or_insert(Announced {
            is_brittle: false,
            at_us: now_us,
        });
        known.at_us = now_us;
        std::mem::replace(&mut known.is_brittle, is_brittle) != is_brittle
    }

    /// Returns whether an endpoint is brittle. One that has not been heard counts as the others of its service, which
    /// all announce it together.
    pub fn is_brittle(&self, endpoint: EndpointKey, of_service: &[EndpointKey]) -> bool {
        if self.is_empty() {
            return false;
        }
        if let Some(known) = self.by_endpoint.get(&endpoint) {
            return known.is_brittle;
        }
        let mut announced = of_service.iter().filter_map(|e| self.by_endpoint.get(e));
        announced.any(|known| known.is_brittle)
    }

    /// Drops expired announcements, and all once none is left that says brittle.
    pub fn expire(&mut self, now_us: Micros) {
        self.by_endpoint
            .retain(|_, known| now_us.saturating_sub(known.at_us) < ANNOUNCEMENT_TTL_US);
        if !self.by_endpoint.values().any(|known| known.is_brittle) {
            self.by_endpoint.clear();
        }
    }
}

/// The least number of slots that were issued at the same time during the last [`REPORT_DELAY_US`], or up to twice that.
#[derive(Debug)]
struct LeastIssued {
    period_began_us: Micros,
    in_period: usize,
    in_period_before: usize,
}

impl LeastIssued {
    /// No slot was issued before `now_us`.
    fn new(now_us: Micros) -> Self {
        Self {
            period_began_us: now_us,
            in_period: 0,
            in_period_before: 0,
        }
    }

    fn get(&self) -> usize {
        self.in_period.min(self.in_period_before)
    }

    /// Notes that `issued` slots are issued at `now_us`.
    fn note(&mut self, now_us: Micros, issued: usize) {
        self.in_period = self.in_period.min(issued);
        if now_us.saturating_sub(self.period_began_us) >= REPORT_DELAY_US {
            self.in_period_before = self.in_period;
            self.in_period = issued;
            self.period_began_us = now_us;
        }
    }
}

/// The slots of one endpoint that are issued.
#[derive(Debug)]
struct SlotAccount {
    opened_us: Micros,
    /// Requests that were there before the account was opened: those of the issuer before, and those that were sent
    /// before the announcement.
    inherited: usize,
    /// When the issued slots were issued, the first one first.
    issued_us: VecDeque<Micros>,
    least_issued: LeastIssued,
    paused_until_us: Micros,
}

impl SlotAccount {
    fn new(now_us: Micros, reported: usize) -> Self {
        Self {
            opened_us: now_us,
            inherited: reported,
            issued_us: VecDeque::new(),
            least_issued: LeastIssued::new(now_us),
            paused_until_us: 0,
        }
    }

    /// Drops slots that were issued so long ago that their requests would be among the `reported` ones, and requests
    /// from before that have ended.
    fn apply_report(&mut self, now_us: Micros, reported: usize) {
        let is_old = |at_us: &Micros| now_us.saturating_sub(*at_us) >= REPORT_DELAY_US;
        let old = self.issued_us.partition_point(is_old);
        self.issued_us.drain(..old.saturating_sub(reported));
        self.least_issued.note(now_us, self.issued_us.len());
        // The report shows a moment of the last `REPORT_DELAY_US`, at which at least so many of these slots were issued.
        let of_issued = self.least_issued.get().max(old.min(reported));
        let of_inherited = reported.saturating_sub(of_issued);
        self.inherited = self.inherited.min(of_inherited);
    }

    /// Returns the slot that was issued at `issued_us`. One that another issuer issued counts among the inherited
    /// requests; one that was dropped before frees no other.
    fn return_slot(&mut self, now_us: Micros, issued_us: Micros) {
        if let Some(index) = self.issued_us.iter().position(|at| *at == issued_us) {
            self.issued_us.remove(index);
            self.least_issued.note(now_us, self.issued_us.len());
        } else if !self.may_have_dropped(now_us, issued_us) {
            self.inherited = self.inherited.saturating_sub(1);
        }
    }

    /// Returns whether a slot that was issued at `issued_us` may have been one of this account that was dropped as old.
    fn may_have_dropped(&self, now_us: Micros, issued_us: Micros) -> bool {
        issued_us >= self.opened_us && now_us.saturating_sub(issued_us) >= REPORT_DELAY_US
    }

    fn used(&self) -> usize {
        self.issued_us.len() + self.inherited
    }
}

/// The slots of brittle endpoints that this instance issues for all instances.
#[derive(Debug, Default)]
pub struct SlotIssuer {
    by_endpoint: HashMap<EndpointKey, SlotAccount>,
}

impl SlotIssuer {
    /// Issues one of an endpoint's `slots`, if one is free; `reported` requests are there as far as known.
    pub fn issue(
        &mut self,
        now_us: Micros,
        endpoint: EndpointKey,
        slots: usize,
        reported: usize,
    ) -> Permit {
        let account = self
            .by_endpoint
            .entry(endpoint)
            .or_insert_with(|| SlotAccount::new(now_us, reported));
        account.apply_report(now_us, reported);
        if now_us < account.paused_until_us || account.used() >= slots {
            return Permit::Denied {
                wait_us: DENIED_WAIT_US,
            };
        }
        account.issued_us.push_back(now_us);
        Permit::Given
    }

    /// Returns the slot that was issued at `issued_us`, by this issuer or one before it, as its request has ended. If
    /// the endpoint refused the request, none is issued for a while.
    pub fn return_slot(
        &mut self,
        now_us: Micros,
        endpoint: EndpointKey,
        issued_us: Micros,
        is_refused: bool,
    ) {
        if let Some(account) = self.by_endpoint.get_mut(&endpoint) {
            account.return_slot(now_us, issued_us);
            if is_refused {
                account.paused_until_us = now_us + PAUSE_AFTER_REFUSAL_US;
            }
        }
    }

    /// Drops the accounts of endpoints that are not brittle any more.
    pub fn retain(&mut self, is_brittle: impl Fn(EndpointKey) -> bool) {
        self.by_endpoint.retain(|endpoint, _| is_brittle(*endpoint));
    }
}
