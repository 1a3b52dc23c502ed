//! What a balancer knows of what endpoints said of themselves: that they leave, want rest, or take only so many
//! requests a second.

use crate::{
    balance::{
        balancer::{Balancer, Endpoint, Placement},
        cost::Ask,
        load::EndpointKey,
    },
    limits::{
        announcements::{
            AnnouncementChange, AnnouncementUpdate, EndpointAnnouncements, LimitChange,
        },
        back_off::{BackOff, BackOffs},
        dissemination::Audience,
        rate::LimitHeader,
    },
    prelude::{Micros, Rank},
};

/// That there are no permits for an endpoint for a while.
#[derive(Clone, Copy, Debug)]
pub(super) struct NoPermits {
    /// For requests of this rank, and less urgent ones.
    rank: Rank,
    until_us: Micros,
}

/// Why a request is refused: all endpoints that could take it asked this instance for rest.
pub const ENDPOINTS_REST: &str = "endpoints_rest";
/// No caller is told to come back sooner than this, in milliseconds.
const LEAST_BACK_MS: u32 = 150;

/// Returns when a caller may come back for whom an endpoint is back at `back_us`.
pub fn back_ms(now_us: Micros, back_us: Micros) -> u32 {
    let left_ms = back_us.saturating_sub(now_us).div_ceil(1_000);
    u32::try_from(left_ms)
        .unwrap_or(u32::MAX)
        .max(LEAST_BACK_MS)
}

/// What an endpoint takes from this instance now, by what it said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Requests.
    Serves,
    /// Requests for which there is a permit: it takes only so many a second.
    NeedsPermit,
    /// Nothing before this time: it asked this instance for rest.
    RestsUntil(Micros),
    /// Nothing for now: its data centre is evacuated.
    Evacuated,
    /// Nothing more: it leaves or is gone.
    Leaves,
}

impl Balancer {
    /// Returns what an endpoint takes now.
    pub fn standing(&self, now_us: Micros, key: EndpointKey) -> Standing {
        match self.endpoints.get(&key) {
            Some(endpoint) => self.standing_of(now_us, key, endpoint),
            None => Standing::Leaves,
        }
    }

    pub(super) fn standing_of(
        &self,
        now_us: Micros,
        key: EndpointKey,
        endpoint: &Endpoint,
    ) -> Standing {
        // Its own word is final for this start: the entry may have been written before it, and may come back.
        if endpoint.entry.draining || self.standings.leaves(key) {
            return Standing::Leaves;
        }
        if self.is_evacuated(&endpoint.entry.hall) {
            return Standing::Evacuated;
        }
        let is_used = || self.picture.has_others(key);
        if let BackOff::Until(until_us) = self.rests.back_off(now_us, key, is_used) {
            return Standing::RestsUntil(until_us);
        }
        if self.rate(now_us, key).is_some() {
            return Standing::NeedsPermit;
        }
        Standing::Serves
    }

    /// Returns what endpoints said that all instances are to know.
    pub fn standings(&self) -> &EndpointAnnouncements {
        &self.standings
    }

    /// Returns the rests that endpoints asked this instance for.
    pub fn rests(&self) -> &BackOffs {
        &self.rests
    }

    /// Takes an endpoint's own word that it leaves, also of one that is in no list now: its entry may come back.
    /// Returns whether that is new.
    pub fn heard_leaving(&mut self, now_us: Micros, key: EndpointKey) -> bool {
        self.standings.note_leaving(now_us, key)
    }

    /// Takes an endpoint's own word that it wants rest, as [`BackOffs::note_requested`].
    pub fn heard_rest(
        &mut self,
        now_us: Micros,
        key: EndpointKey,
        rest_us: Micros,
        instances: usize,
        draw: f64,
    ) -> bool {
        self.standings.note_back_off(now_us, key, rest_us);
        self.rests
            .note_requested(now_us, key, rest_us, instances, draw)
    }

    /// Notes that an endpoint's word on rest could not be read; returns whether the one before could be.
    pub fn note_unreadable_rest(&mut self, key: EndpointKey) -> bool {
        self.rests.note_unreadable(key)
    }

    /// Returns when the first of a service's endpoints may be sent to again; none if one may be now, or all leave.
    pub fn first_back_us(&self, now_us: Micros, service: &str) -> Option<Micros> {
        if self.rests.is_empty() {
            return None;
        }
        let mut first_us: Option<Micros> = None;
        for key in self.keys_of(service) {
            match self.standing(now_us, *key) {
                Standing::Leaves | Standing::Evacuated => {}
                Standing::RestsUntil(until_us) => {
                    first_us = Some(first_us.map_or(until_us, |first_us| first_us.min(until_us)));
                }
                Standing::Serves | Standing::NeedsPermit => return None,
            }
        }
        first_us
    }

    /// Returns the refusal of a request while all endpoints that could take it are at rest: waiting would not help, and
    /// whoever is told when the first is back does not come into the same refusal.
    pub fn refuse_at_rest(&self, now_us: Micros, ask: &Ask) -> Option<Placement> {
        let back_us = self.first_back_us(now_us, &ask.service)?;
        Some(Placement::Refuse {
            reason: ENDPOINTS_REST,
            retry_after_ms: back_ms(now_us, back_us),
        })
    }

    /// Notes that a request goes to an endpoint.
    pub fn note_sent(&mut self, now_us: Micros, key: EndpointKey) {
        self.rests.note_sent(now_us, key);
    }

    /// Notes that what was sent at `sent_us` brought no answer.
    pub fn note_unanswered(&mut self, key: EndpointKey, sent_us: Micros) {
        if !self.rests.is_empty() {
            self.rests.note_unanswered(key, sent_us);
        }
    }

    /// Notes an answer without a word of rest to a request that was sent at `sent_us`.
    pub fn note_answered(&mut self, key: EndpointKey, sent_us: Micros) {
        if !self.rests.is_empty() {
            self.rests.note_answered(key, sent_us);
        }
    }

    /// Returns the endpoint for which a request would need a permit, if one is worth asking for: none that
    /// needs no permit would be better. Those in `tried` are not chosen.
    pub fn wanted_permit(
        &self,
        now_us: Micros,
        ask: &Ask,
        tried: &[EndpointKey],
    ) -> Option<EndpointKey> {
        if !self.has_limits() {
            return None;
        }
        self.best(now_us, ask, tried, None).limited
    }

    /// Notes that there is no permit for an endpoint before `until_us`, for requests of `rank` and less urgent ones.
    pub fn note_no_permit(&mut self, endpoint: EndpointKey, rank: Rank, until_us: Micros) {
        if self.endpoints.contains_key(&endpoint) {
            self.no_permits
                .insert(endpoint, NoPermits { rank, until_us });
        }
    }

    pub(super) fn may_ask_for_permit(
        &self,
        now_us: Micros,
        endpoint: EndpointKey,
        rank: Rank,
    ) -> bool {
        let none = self.no_permits.get(&endpoint);
        none.is_none_or(|none| none.until_us <= now_us || rank < none.rank)
    }

    /// Takes an endpoint's own word on its limit, as [`EndpointAnnouncements::note_limit`]; one that is gone has none.
    pub fn heard_limit(
        &mut self,
        now_us: Micros,
        key: EndpointKey,
        sent_at: u32,
        word: &LimitHeader,
    ) -> Option<LimitChange> {
        self.entry(key)?;
        let change = self.standings.note_limit(now_us, key, sent_at, word)?;
        self.no_permits.remove(&key);
        Some(change)
    }

    /// Notes that an endpoint's word on its limit could not be read; returns whether the one before could be.
    pub fn note_unreadable_limit(&mut self, key: EndpointKey) -> bool {
        self.entry(key).is_some() && self.standings.note_unreadable(key)
    }

    /// Takes standings that another instance told; returns what changed.
    pub fn told_standings(
        &mut self,
        now_us: Micros,
        told: &[AnnouncementUpdate],
    ) -> Vec<AnnouncementChange> {
        let changes = self.standings.apply_updates(now_us, told);
        for change in &changes {
            self.no_permits.remove(&change.endpoint());
        }
        changes
    }

    /// Returns whether standings are to be told at once, if that was not asked since.
    pub fn take_standing_news(&mut self) -> bool {
        self.standings.take_has_changes()
    }

    /// Returns the standings that an audience is to be told in this round.
    pub fn take_told_standings(
        &mut self,
        now_us: Micros,
        audience: Audience,
    ) -> Vec<AnnouncementUpdate> {
        let endpoints = &self.endpoints;
        let is_listed = |key: EndpointKey| endpoints.contains_key(&key);
        self.standings.take_due_updates(now_us, audience, is_listed)
    }

    /// Returns what is known of one endpoint, to be told beside a question on it.
    pub fn told_standing(&self, now_us: Micros, key: EndpointKey) -> AnnouncementUpdate {
        self.standings.update_for(now_us, key)
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
