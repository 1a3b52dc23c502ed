//! What a roll-out means for one request: which versions it may use, and what its answer says about them.

use std::{sync::Arc, time::Duration};

use tokio::time;

use crate::{
    balance::{
        balancer::Choice,
        cost::PlacementRequest,
        load::EndpointKey,
        versions::{VersionCounts, VersionRule},
    },
    gateway::{
        attempt::InFlightRequest, config::Route, protocol::Protocol, rollouts::SentInRollout,
        state::Gateway,
    },
    prelude::{Name, short_hash},
    rollouts::{AnswerQuality, AnswerTime, TimeSpan},
};

/// Time after the loss of a request before the links of this instance are checked: most often another connect has
/// succeeded by then.
const LOSS_CHECK_DELAY: Duration = Duration::from_millis(100);

/// A request that was sent during a roll-out of its service.
#[derive(Clone, Copy, Debug)]
pub struct RolloutRequest {
    sent: SentInRollout,
    /// The hash of its route.
    route: u32,
    is_stream: bool,
}

impl<P: Protocol> Gateway<P> {
    /// Returns the rule by which an endpoint is chosen for a request during a roll-out of its service.
    pub(super) fn version_rule(&self, request: &PlacementRequest) -> Option<VersionRule> {
        if self.rollouts.is_empty() {
            return None;
        }
        let counts = self.version_counts(&request.service)?;
        let is_fresh = self.are_rollouts_fresh();
        self.rollouts
            .rule(&request.service, request.route, is_fresh, counts)
    }

    fn version_counts(&self, service: &Name) -> Option<VersionCounts> {
        let target = self.rollouts.target(service)?;
        Some(self.balancer().count_versions(service, &target))
    }

    /// Checks that a request may be sent to an endpoint of the version of the chosen one, and counts it if its service
    /// has a roll-out.
    ///
    /// # Errors
    /// The version may not be used now.
    pub(super) fn admit_version(
        &self,
        choice: &Choice,
        route: &Arc<Route>,
    ) -> Result<Option<RolloutRequest>, &'static str> {
        if self.rollouts.is_empty() {
            return Ok(None);
        }
        let entry = self.balancer().entry(choice.key).cloned();
        let Some(entry) = entry else {
            return Ok(None);
        };
        let Some(counts) = self.version_counts(&entry.service) else {
            return Ok(None);
        };
        let route_hash = short_hash(&route.name);
        let is_fresh = self.are_rollouts_fresh();
        let sent =
            self.rollouts
                .admit(&entry.service, &entry.version, route_hash, is_fresh, counts)?;
        Ok(sent.map(|sent| RolloutRequest {
            sent,
            route: route_hash,
            is_stream: route.kind.is_stream(),
        }))
    }
}

impl<P: Protocol> InFlightRequest<P> {
    /// Notes the time to the first event, or to the whole answer where it is not a stream.
    pub(super) fn note_rollout_time(&self, took_ms: f64) {
        if let Some(request) = self.rollout {
            let span = match request.is_stream {
                true => TimeSpan::FirstEvent,
                false => TimeSpan::WholeAnswer,
            };
            let quality = match self.is_slow(request, span, took_ms) {
                Some(true) => AnswerQuality::Slow,
                Some(false) => AnswerQuality::Good,
                None => return,
            };
            self.note_quality(request, quality);
        }
    }

    /// Notes the mean time between the events of a complete stream. A stream whose events came in the usual time was
    /// noted with its first event.
    pub(super) fn note_rollout_gap(&self, gap_ms: f64) {
        if let Some(request) = self.rollout
            && self.is_slow(request, TimeSpan::EventGap, gap_ms) == Some(true)
        {
            self.note_quality(request, AnswerQuality::Slow);
        }
    }

    /// Notes that the request brought no answer, once it is clear that the links of this instance are not to blame.
    pub(super) fn note_rollout_loss(&self) {
        let Some(request) = self.rollout else {
            return;
        };
        let (gateway, endpoint) = (self.gateway.clone(), self.choice.key);
        tokio::spawn(async move {
            let lost_us = gateway.clock.now_us();
            time::sleep(LOSS_CHECK_DELAY).await;
            let Some(service) = gateway.balancer().service_of(endpoint) else {
                return;
            };
            if gateway.reaches_service(&service, endpoint, lost_us).await {
                note_quality(&gateway, request, endpoint, AnswerQuality::Failed);
            }
        });
    }

    /// Notes that the endpoint failed the request.
    pub(super) fn note_rollout_failure(&self) {
        if let Some(request) = self.rollout {
            self.note_quality(request, AnswerQuality::Failed);
        }
    }

    /// Notes a request whose caller left before the first event, if it had waited for longer than is usual.
    pub(super) fn note_rollout_end(&self) {
        if let Some(request) = self.rollout.filter(|_| !self.has_first_event) {
            let span = match request.is_stream {
                true => TimeSpan::FirstEvent,
                false => TimeSpan::WholeAnswer,
            };
            if self.is_slow(request, span, self.age_ms()) == Some(true) {
                self.note_quality(request, AnswerQuality::Slow);
            }
        }
    }

    fn is_slow(&self, request: RolloutRequest, span: TimeSpan, took_ms: f64) -> Option<bool> {
        let expected = &self.choice.expected;
        let time = AnswerTime {
            route: request.route,
            span,
            took_ms,
            tokens: expected.tokens_ahead + f64::from(expected.uncached_tokens),
        };
        self.gateway.rollouts.is_slow(request.sent, time)
    }

    fn note_quality(&self, request: RolloutRequest, quality: AnswerQuality) {
        note_quality(&self.gateway, request, self.choice.key, quality);
    }
}

/// Notes the quality of an endpoint's answer, unless the endpoint has announced that it leaves.
fn note_quality<P: Protocol>(
    gateway: &Gateway<P>,
    request: RolloutRequest,
    endpoint: EndpointKey,
    quality: AnswerQuality,
) {
    if gateway.balancer().is_leaving(endpoint) {
        return;
    }
    gateway
        .rollouts
        .note_answer(request.sent, request.route, endpoint, quality);
}
