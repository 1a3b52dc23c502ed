//! What a balancer knows of what endpoints said of themselves: that they leave, want rest, or take only so many
//! requests a second.

use crate::{
    balance::{
        balancer::{Balancer, Endpoint, Placement},
        cost::PlacementRequest,
        load::EndpointKey,
    },
    limits::{
        rate::LimitWord,
        rest::{Rest, Rests},
        standings::{EndpointStandings, LimitChange, StandingChange, ToldStanding},
        telling::Audience,
    },
    prelude::{Micros, Rank},
};

/// That there are no permits for an endpoint for a while.
#[derive(Clone, Copy, Debug)]
pub(super) struct PermitDenial {
    /// For requests of this rank, and less urgent ones.
    rank: Rank,
    until_us: Micros,
}

/// Why a request is refused: all endpoints that could take it asked this instance for rest.
pub const ENDPOINTS_BACKING_OFF: &str = "endpoints_rest";
/// No caller is told to come back sooner than this, in milliseconds.
const MIN_RETRY_DELAY_MS: u32 = 150;

/// Returns when a caller may come back for whom an endpoint is back at `available_at_us`.
pub fn retry_delay_until_ms(now_us: Micros, available_at_us: Micros) -> u32 {
    let left_ms = available_at_us.saturating_sub(now_us).div_ceil(1_000);
    u32::try_from(left_ms)
        .unwrap_or(u32::MAX)
        .max(MIN_RETRY_DELAY_MS)
}

/// What an endpoint takes from this instance now, by what it said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Requests.
    Ready,
    /// Requests for which there is a permit: it takes only so many a second.
    NeedsPermit,
    /// Nothing before this time: it asked this instance for rest.
    BackoffUntil(Micros),
    /// Nothing for now: its data centre is evacuated.
    Evacuated,
    /// Nothing more: it leaves or is gone.
    Leaving,
}

impl Balancer {
    /// Returns what an endpoint takes now.
    pub fn readiness(&self, now_us: Micros, key: EndpointKey) -> Readiness {
        match self.endpoints.get(&key) {
            Some(endpoint) => self.readiness_of(now_us, key, endpoint),
            None => Readiness::Leaving,
        }
    }

    pub(super) fn readiness_of(
        &self,
        now_us: Micros,
        key: EndpointKey,
        endpoint: &Endpoint,
    ) -> Readiness {
        // Its own word is final for this start: the entry may have been written before it, and may come back.
        if endpoint.entry.draining || self.standings.leaves(key) {
            return Readiness::Leaving;
        }
        if self.is_evacuated(&endpoint.entry.hall) {
            return Readiness::Evacuated;
        }
        let is_used = || self.load_view.has_peer_requests(key);
        if let Rest::Until(until_us) = self.rests.rest(now_us, key, is_used) {
            return Readiness::BackoffUntil(until_us);
        }
        if self.rate(now_us, key).is_some() {
            return Readiness::NeedsPermit;
        }
        Readiness::Ready
    }

    /// Returns what endpoints said that all instances are to know.
    pub fn standings(&self) -> &EndpointStandings {
        &self.standings
    }

    /// Returns the rests that endpoints asked this instance for.
    pub fn rests(&self) -> &Rests {
        &self.rests
    }

    /// Takes an endpoint's own word that it leaves, also of one that is in no list now: its entry may come back.
    /// Returns whether that is new.
    pub fn record_leaving(&mut self, now_us: Micros, key: EndpointKey) -> bool {
        self.standings.heard_leaving(now_us, key)
    }

    /// Takes an endpoint's own word that it wants rest, as [`Rests::asked`].
    pub fn record_backoff(
        &mut self,
        now_us: Micros,
        key: EndpointKey,
        rest_us: Micros,
        instances: usize,
        draw: f64,
    ) -> bool {
        self.standings.note_rest(now_us, key, rest_us);
        self.rests.asked(now_us, key, rest_us, instances, draw)
    }

    /// Notes that an endpoint's word on rest could not be read; returns whether the one before could be.
    pub fn record_unreadable_backoff(&mut self, key: EndpointKey) -> bool {
        self.rests.note_unreadable(key)
    }

    /// Returns when the first of a service's endpoints may be sent to again; none if one may be now, or all leave.
    pub fn earliest_available_us(&self, now_us: Micros, service: &str) -> Option<Micros> {
        if self.rests.is_empty() {
            return None;
        }
        let mut first_us: Option<Micros> = None;
        for key in self.keys_of(service) {
            match self.readiness(now_us, *key) {
                Readiness::Leaving | Readiness::Evacuated => {}
                Readiness::BackoffUntil(until_us) => {
                    first_us = Some(first_us.map_or(until_us, |first_us| first_us.min(until_us)));
                }
                Readiness::Ready | Readiness::NeedsPermit => return None,
            }
        }
        first_us
    }

    /// Returns the refusal of a request while all endpoints that could take it are at rest: waiting would not help, and
    /// whoever is told when the first is back does not come into the same refusal.
    pub fn refuse_while_backing_off(
        &self,
        now_us: Micros,
        request: &PlacementRequest,
    ) -> Option<Placement> {
        let available_at_us = self.earliest_available_us(now_us, &request.service)?;
        Some(Placement::Refuse {
            reason: ENDPOINTS_BACKING_OFF,
            retry_after_ms: retry_delay_until_ms(now_us, available_at_us),
        })
    }

    /// Notes that a request goes to an endpoint.
    pub fn record_sent(&mut self, now_us: Micros, key: EndpointKey) {
        self.rests.note_sent(now_us, key);
    }

    /// Notes that what was sent at `sent_us` brought no answer.
    pub fn record_unanswered(&mut self, key: EndpointKey, sent_us: Micros) {
        if !self.rests.is_empty() {
            self.rests.note_unanswered(key, sent_us);
        }
    }

    /// Notes an answer without a word of rest to a request that was sent at `sent_us`.
    pub fn record_answered(&mut self, key: EndpointKey, sent_us: Micros) {
        if !self.rests.is_empty() {
            self.rests.note_answered(key, sent_us);
        }
    }

    /// Returns the endpoint for which a request would need a permit, if one is worth asking for: none that
    /// needs no permit would be better. Those in `tried` are not chosen.
    pub fn permit_candidate(
        &self,
        now_us: Micros,
        request: &PlacementRequest,
        tried: &[EndpointKey],
    ) -> Option<EndpointKey> {
        if !self.has_limits() {
            return None;
        }
        self.select(now_us, request, tried, None).limited
    }

    /// Notes that there is no permit for an endpoint before `until_us`, for requests of `rank` and less urgent ones.
    pub fn record_permit_denial(&mut self, endpoint: EndpointKey, rank: Rank, until_us: Micros) {
        if self.endpoints.contains_key(&endpoint) {
            self.permit_denials
                .insert(endpoint, PermitDenial { rank, until_us });
        }
    }

    pub(super) fn may_request_permit(
        &self,
        now_us: Micros,
        endpoint: EndpointKey,
        rank: Rank,
    ) -> bool {
        let none = self.permit_denials.get(&endpoint);
        none.is_none_or(|none| none.until_us <= now_us || rank < none.rank)
    }

    /// Takes an endpoint's own word on its limit, as [`EndpointStandings::heard`]; one that is gone has none.
    pub fn record_limit(
        &mut self,
        now_us: Micros,
        key: EndpointKey,
        sent_at: u32,
        word: &LimitWord,
    ) -> Option<LimitChange> {
        self.entry(key)?;
        let change = self.standings.heard(now_us, key, sent_at, word)?;
        self.permit_denials.remove(&key);
        Some(change)
    }

    /// Notes that an endpoint's word on its limit could not be read; returns whether the one before could be.
    pub fn record_unreadable_limit(&mut self, key: EndpointKey) -> bool {
        self.entry(key).is_some() && self.standings.note_unreadable(key)
    }

    /// Takes standings that another instance told; returns what changed.
    pub fn apply_peer_standings(
        &mut self,
        now_us: Micros,
        told: &[ToldStanding],
    ) -> Vec<StandingChange> {
        let changes = self.standings.told(now_us, told);
        for change in &changes {
            self.permit_denials.remove(&change.endpoint());
        }
        changes
    }

    /// Returns whether standings are to be told at once, if that was not asked since.
    pub fn take_standings_changed(&mut self) -> bool {
        self.standings.take_news()
    }

    /// Returns the standings that an audience is to be told in this round.
    pub fn take_standings_to_send(
        &mut self,
        now_us: Micros,
        audience: Audience,
    ) -> Vec<ToldStanding> {
        let endpoints = &self.endpoints;
        let is_listed = |key: EndpointKey| endpoints.contains_key(&key);
        self.standings.take_told(now_us, audience, is_listed)
    }

    /// Returns what is known of one endpoint, to be told beside a question on it.
    pub fn standing_to_send(&self, now_us: Micros, key: EndpointKey) -> ToldStanding {
        self.standings.told_one(now_us, key)
    }

    /// Forgets what is over, and limits of endpoints that are in no list.
    pub fn expire_standings(&mut self, now_us: Micros) {
        let endpoints = &self.endpoints;
        self.rests
            .expire(now_us, |key| endpoints.contains_key(&key));
        self.standings
            .expire(now_us, |key| endpoints.contains_key(&key));
    }
}
