//! What a balancer knows of endpoints that take only so many requests a second, and when to ask for a permit to send to one.

use crate::{
    balance::{balancer::Balancer, cost::Ask, load::EndpointKey},
    limits::{
        rate::LimitWord,
        standings::{EndpointStandings, KnownLimit, LimitChange, ToldStanding},
        telling::Audience,
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

impl Balancer {
    /// Returns the limits that endpoints named.
    pub fn limits(&self) -> &EndpointStandings {
        &self.limits
    }

    /// Returns the endpoint for which a request would need a permit, if one is worth asking for: none that
    /// needs no permit would be better. Those in `tried` are not chosen.
    pub fn wanted_permit(
        &self,
        now_us: Micros,
        ask: &Ask,
        tried: &[EndpointKey],
    ) -> Option<EndpointKey> {
        if self.limits.is_empty() {
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

    /// Takes an endpoint's own word on its limit, as [`EndpointStandings::heard`]; one that is gone has none.
    pub fn heard_limit(
        &mut self,
        now_us: Micros,
        key: EndpointKey,
        sent_at: u32,
        word: &LimitWord,
    ) -> Option<LimitChange> {
        self.entry(key)?;
        let change = self.limits.heard(now_us, key, sent_at, word)?;
        self.no_permits.remove(&key);
        Some(change)
    }

    /// Notes that an endpoint's word on its limit could not be read; returns whether the one before could be.
    pub fn note_unreadable_limit(&mut self, key: EndpointKey) -> bool {
        self.entry(key).is_some() && self.limits.note_unreadable(key)
    }

    /// Takes limits that another instance told; returns what changed.
    pub fn told_limits(&mut self, now_us: Micros, told: &[ToldStanding]) -> Vec<LimitChange> {
        let changes = self.limits.told(now_us, told);
        for change in &changes {
            self.no_permits.remove(&change.endpoint);
        }
        changes
    }

    /// Returns whether limits are to be told at once, if that was not asked since.
    pub fn take_limit_news(&mut self) -> bool {
        self.limits.take_news()
    }

    /// Returns the limits that an audience is to be told in this round.
    pub fn take_told_limits(&mut self, now_us: Micros, audience: Audience) -> Vec<ToldStanding> {
        let endpoints = &self.endpoints;
        let is_listed = |key: EndpointKey| endpoints.contains_key(&key);
        self.limits.take_told(now_us, audience, is_listed)
    }

    /// Returns what is known of one endpoint's limit, to be told beside a question on it.
    pub fn told_limit(&self, key: EndpointKey) -> ToldStanding {
        ToldStanding {
            endpoint: key,
            known: KnownLimit {
                version: self.limits.version(key),
                rate: self.limits.rate(key),
            },
        }
    }

    /// Forgets limits of endpoints that are in no list.
    pub fn expire_limits(&mut self, now_us: Micros) {
        let endpoints = &self.endpoints;
        self.limits
            .expire(now_us, |key| endpoints.contains_key(&key));
    }
}
