//! Whether an endpoint accepts requests: departures, back-off requests (Retry-After) and rate
//! limits that endpoints announced, and evacuations of their data centres.

use crate::{
    balance::{
        balancer::{Balancer, Endpoint, Placement},
        cost::PlacementRequest,
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

/// A denial of permits for an endpoint, valid for a limited time.
#[derive(Clone, Copy, Debug)]
pub(super) struct PermitDenial {
    /// Applies to requests of this rank and less urgent ones.
    rank: Rank,
    until_us: Micros,
}

/// Refusal reason: all eligible endpoints asked this instance to back off.
pub const ENDPOINTS_BACKING_OFF: &str = "endpoints_rest";
/// Minimum retry delay, in milliseconds.
const MIN_RETRY_DELAY_MS: u32 = 150;

/// Returns the retry delay for a caller that waits for an endpoint available at `available_at_us`,
/// in milliseconds.
pub fn retry_delay_until_ms(now_us: Micros, available_at_us: Micros) -> u32 {
    let left_ms = available_at_us.saturating_sub(now_us).div_ceil(1_000);
    u32::try_from(left_ms)
        .unwrap_or(u32::MAX)
        .max(MIN_RETRY_DELAY_MS)
}

/// What an endpoint accepts from this instance now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Any request.
    Ready,
    /// Only requests with a permit: it limits its request rate, or is brittle.
    NeedsPermit,
    /// No requests before this time: it asked this instance to back off.
    BackOffUntil(Micros),
    /// No requests for now: its data centre is evacuated.
    Evacuated,
    /// No further requests: it is leaving or gone.
    Leaving,
}

impl Balancer {
    /// Returns what an endpoint accepts now.
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
        // An announced departure is final for this incarnation: the entry may be older, or may be
        // listed again.
        if endpoint.entry.draining || self.announcements.leaves(key) {
            return Readiness::Leaving;
        }
        if self.is_evacuated(&endpoint.entry.hall) {
            return Readiness::Evacuated;
        }
        let is_used = || self.load_view.has_peer_requests(key);
        if let BackOff::Until(until_us) = self.back_offs.back_off(now_us, key, is_used) {
            return Readiness::BackOffUntil(until_us);
        }
        if self.needs_permit(now_us, key) {
            return Readiness::NeedsPermit;
        }
        Readiness::Ready
    }

    /// Returns whether an endpoint gets only requests with a permit.
    pub fn needs_permit(&self, now_us: Micros, key: EndpointKey) -> bool {
        self.rate(now_us, key).is_some() || self.is_brittle(key)
    }

    /// Returns the endpoint announcements that are shared among all instances.
    pub fn announcements(&self) -> &EndpointAnnouncements {
        &self.announcements
    }

    /// Returns the back-off periods that endpoints requested from this instance.
    pub fn back_offs(&self) -> &BackOffs {
        &self.back_offs
    }

    /// Records that an endpoint announced its departure, even if it is not listed now, since its
    /// entry may return. Returns whether that is new.
    pub fn record_leaving(&mut self, now_us: Micros, key: EndpointKey) -> bool {
        self.announcements.note_leaving(now_us, key)
    }

    /// Records that an endpoint asked this instance to back off, as [`BackOffs::note_requested`].
    pub fn record_back_off(
        &mut self,
        now_us: Micros,
        key: EndpointKey,
        back_off_us: Micros,
        instances: usize,
        draw: f64,
    ) -> bool {
        self.announcements.note_back_off(now_us, key, back_off_us);
        self.back_offs
            .note_requested(now_us, key, back_off_us, instances, draw)
    }

    /// Records that an endpoint's back-off header could not be parsed; returns whether the previous
    /// one could.
    pub fn record_unreadable_back_off(&mut self, key: EndpointKey) -> bool {
        self.back_offs.note_unreadable(key)
    }

    /// Returns when the first of a service's endpoints is available again; `None` if one is
    /// available now or all are leaving or evacuated.
    pub fn earliest_available_us(&self, now_us: Micros, service: &str) -> Option<Micros> {
        if self.back_offs.is_empty() {
            return None;
        }
        let mut earliest_us: Option<Micros> = None;
        for key in self.keys_of(service) {
            match self.readiness(now_us, *key) {
                Readiness::Leaving | Readiness::Evacuated => {}
                Readiness::BackOffUntil(until_us) => {
                    earliest_us =
                        Some(earliest_us.map_or(until_us, |earliest_us| earliest_us.min(until_us)));
                }
                Readiness::Ready | Readiness::NeedsPermit => return None,
            }
        }
        earliest_us
    }

    /// Returns the refusal of a request while all eligible endpoints are backing off. Waiting would
    /// not help, and a retry when the first endpoint is available avoids the same refusal.
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

    /// Records whether an endpoint's answer announces that it crashes when it refuses many requests; returns whether
    /// that is new.
    pub fn record_brittle(&mut self, now_us: Micros, key: EndpointKey, is_brittle: bool) -> bool {
        self.brittle.note_answer(now_us, key, is_brittle)
    }

    /// Returns the slots of an endpoint, and how many requests are there as far as known; `None` if it is not brittle.
    pub fn brittle_slots(&self, now_us: Micros, key: EndpointKey) -> Option<(u32, f64)> {
        if !self.is_brittle(key) {
            return None;
        }
        let endpoint = self.endpoints.get(&key)?;
        let load = self.load_estimate(now_us, key, endpoint);
        Some((endpoint.entry.slots, load.requests))
    }

    /// Returns whether an endpoint crashes when it refuses many requests.
    pub fn is_brittle(&self, key: EndpointKey) -> bool {
        if self.brittle.is_empty() {
            return false;
        }
        let service = self.entry(key).map(|entry| &entry.service);
        service.is_some_and(|service| self.brittle.is_brittle(key, self.keys_of(service)))
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_sent(&mut self, now_us: Micros, key: EndpointKey) {
        self.back_offs.note_sent(now_us, key);
    }

    /// Records that a request sent at `sent_us` got no answer.
    pub fn record_unanswered(&mut self, key: EndpointKey, sent_us: Micros) {
        if !self.back_offs.is_empty() {
            self.back_offs.note_unanswered(key, sent_us);
        }
    }

    /// Records that a request sent at `sent_us` got an answer without a back-off request.
    pub fn record_answered(&mut self, key: EndpointKey, sent_us: Micros) {
        if !self.back_offs.is_empty() {
            self.back_offs.note_answered(key, sent_us);
        }
    }

    /// Returns the endpoint for which a permit should be requested, if it is no more expensive than
    /// every endpoint that needs no permit. Endpoints in `tried` are excluded.
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

    /// Records that no permit is available for an endpoint before `until_us`, for requests of
    /// `rank` and less urgent ones.
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
        let denial = self.permit_denials.get(&endpoint);
        denial.is_none_or(|denial| denial.until_us <= now_us || rank < denial.rank)
    }

    /// Records the rate limit that an endpoint announced, as [`EndpointAnnouncements::note_limit`]; ignored
    /// for an unknown endpoint.
    pub fn record_limit(
        &mut self,
        now_us: Micros,
        key: EndpointKey,
        sent_at: u32,
        limit: &LimitHeader,
    ) -> Option<LimitChange> {
        self.entry(key)?;
        let change = self.announcements.note_limit(now_us, key, sent_at, limit)?;
        self.permit_denials.remove(&key);
        Some(change)
    }

    /// Records that an endpoint's rate limit could not be parsed; returns whether the previous one
    /// could.
    pub fn record_unreadable_limit(&mut self, key: EndpointKey) -> bool {
        self.entry(key).is_some() && self.announcements.note_unreadable(key)
    }

    /// Applies announcements relayed by another instance; returns what changed.
    pub fn apply_peer_announcements(
        &mut self,
        now_us: Micros,
        announcements: &[AnnouncementUpdate],
    ) -> Vec<AnnouncementChange> {
        let changes = self.announcements.apply_updates(now_us, announcements);
        for change in &changes {
            self.permit_denials.remove(&change.endpoint());
        }
        changes
    }

    /// Returns whether announcements must be sent at once, and clears the mark.
    pub fn take_announcements_changed(&mut self) -> bool {
        self.announcements.take_has_changes()
    }

    /// Returns the announcements to send to an audience in this round.
    pub fn take_announcements_to_send(
        &mut self,
        now_us: Micros,
        audience: Audience,
    ) -> Vec<AnnouncementUpdate> {
        let endpoints = &self.endpoints;
        let is_known = |key: EndpointKey| endpoints.contains_key(&key);
        self.announcements
            .take_due_updates(now_us, audience, is_known)
    }

    /// Returns what is known of one endpoint, to be sent along with a permit request for it.
    pub fn announcement_to_send(&self, now_us: Micros, key: EndpointKey) -> AnnouncementUpdate {
        self.announcements.update_for(now_us, key)
    }

    /// Drops expired state, and rate limits of endpoints that are not listed.
    pub fn expire_announcements(&mut self, now_us: Micros) {
        let endpoints = &self.endpoints;
        self.back_offs
            .expire(now_us, |key| endpoints.contains_key(&key));
        self.announcements
            .expire(now_us, |key| endpoints.contains_key(&key));
        self.brittle.expire(now_us);
    }
}
