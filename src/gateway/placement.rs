//! Decides where a request runs: by a reservation from the instance that assigns slots at the hall's endpoints, or
//! else from this instance's own view of the endpoints, with a permit for those that limit their request rate.

use std::sync::Arc;

use tokio::sync::oneshot;

use crate::{
    balance::{
        balancer::{BUSY, Choice, ENDPOINT_LIMITS, Placement, WaitKey, refuse_for_capacity},
        cost::PlacementRequest,
        load::EndpointKey,
        readiness::retry_delay_until_ms,
    },
    gateway::{
        permits::{self, HeldPermit},
        protocol::Protocol,
        reservation_client::ReservationReply,
        rollouts::VERSION_WITHHELD,
        state::{Gateway, lock},
    },
    prelude::Name,
};

/// Permits of rate-limited endpoints that are requested for one request, one after the other. Each takes about two
/// milliseconds, and an endpoint whose permit was denied is skipped for a while.
const MAX_PERMIT_REQUESTS: usize = 3;
/// Retry-After of a request that endpoints rejected, unless all endpoints of its service are in back-off.
const REJECTED_RETRY_AFTER_MS: u32 = 500;
/// Most endpoints in back-off that a reservation request lists, at 5 bytes each. A reservation at one that is not
/// listed is not used.
const MAX_BACKING_OFF_EXCLUDED: usize = 128;

impl<P: Protocol> Gateway<P> {
    /// Chooses an endpoint for a request that is not in `tried`, waiting for a free slot if needed.
    pub async fn place(&self, request: &PlacementRequest, tried: &[EndpointKey]) -> Placement {
        self.wait_for_fresh_endpoints().await;
        self.wait_for_fresh_evacuations().await;
        self.wait_for_known_rollouts().await;
        if !self.knows_rollouts() {
            return Placement::Refuse {
                reason: VERSION_WITHHELD,
                retry_after_ms: REJECTED_RETRY_AFTER_MS,
            };
        }
        let rule = self.version_rule(request);
        if let (Some(bound), Some(rule)) = (&request.versions, &rule)
            && !rule.allows(&bound.target_version)
        {
            // The roll-out gives the version that began the stream no requests.
            return Placement::Refuse {
                reason: VERSION_WITHHELD,
                retry_after_ms: REJECTED_RETRY_AFTER_MS,
            };
        }
        let rule = rule.filter(|_| request.versions.is_none());
        let with_rule = rule.map(|rule| {
            let versions = Some(rule);
            PlacementRequest {
                versions,
                ..request.clone()
            }
        });
        let request = with_rule.as_ref().unwrap_or(request);
        let now_us = self.clock.now_us();
        let refusal = self.balancer().refuse_while_backing_off(now_us, request);
        if let Some(refusal) = refusal {
            return refusal;
        }
        if let Some(placement) = self.reserve_place(request, tried).await {
            return placement;
        }
        self.place_locally(request, tried).await
    }

    /// Requests a reservation from the instance that assigns slots at the hall's endpoints. Returns `None` if there is
    /// no such instance, it does not answer in time, or its choice cannot be used here.
    async fn reserve_place(
        &self,
        request: &PlacementRequest,
        tried: &[EndpointKey],
    ) -> Option<Placement> {
        // A reservation request does not carry the regions in which the request may be served.
        if !request.is_stream || request.allowed_regions.is_restricted() {
            return None;
        }
        let issuer = self.reservation_client.issuer(self.clock.now_us())?;
        self.metrics.places_asked.inc();
        let excluded = self.excluded_endpoints(tried);
        let reply = self
            .reservation_client
            .request(self.clock, issuer, request, &excluded)
            .await;
        let placement = reply.and_then(|reply| self.apply_reservation_reply(request, reply));
        if placement.is_none() {
            self.metrics.places_unanswered.inc();
            if let Some(slot) = reply.and_then(|reply| reply.slot()) {
                permits::release(self, slot).await;
            }
        }
        placement
    }

    /// Returns the endpoints to exclude from a reservation: those tried, and those this instance must back off from.
    fn excluded_endpoints(&self, tried: &[EndpointKey]) -> Vec<EndpointKey> {
        let now_us = self.clock.now_us();
        let in_back_off = self.balancer().back_offs().in_back_off(now_us);
        let mut excluded = tried.to_vec();
        excluded.extend(in_back_off.into_iter().take(MAX_BACKING_OFF_EXCLUDED));
        excluded
    }

    /// Returns the Retry-After, in milliseconds, of a request that endpoints of `service` rejected.
    pub fn retry_after_rejections_ms(&self, service: &Name) -> u32 {
        let now_us = self.clock.now_us();
        let retry_at_us = self.balancer().earliest_available_us(now_us, service);
        retry_at_us.map_or(REJECTED_RETRY_AFTER_MS, |retry_at_us| {
            retry_delay_until_ms(now_us, retry_at_us)
        })
    }

    /// Applies the reservation or refusal of another instance; returns `None` if its endpoint cannot be used here.
    fn apply_reservation_reply(
        &self,
        request: &PlacementRequest,
        reply: ReservationReply,
    ) -> Option<Placement> {
        let now_us = self.clock.now_us();
        match reply {
            ReservationReply::Granted {
                key,
                expected,
                by_permit,
                ..
            } => {
                let mut balancer = self.balancer();
                if !by_permit && balancer.needs_permit(now_us, key) {
                    // The other instance does not know yet that this endpoint needs permits.
                    return None;
                }
                let placement = balancer.place_granted(now_us, request, key, expected);
                drop(balancer);
                if let (Some(_), Some(slot)) = (&placement, reply.slot()) {
                    self.hold_slot(slot);
                }
                placement
            }
            ReservationReply::Refused => Some(refuse_for_capacity(now_us, request, BUSY)),
            ReservationReply::OverEndpointLimits => {
                Some(refuse_for_capacity(now_us, request, ENDPOINT_LIMITS))
            }
        }
    }

    /// Acquires a permit if the best endpoint for a request limits its request rate, trying several such endpoints in
    /// turn.
    async fn acquire_permit(
        &self,
        request: &PlacementRequest,
        tried: &[EndpointKey],
    ) -> Option<HeldPermit> {
        for _ in 0..MAX_PERMIT_REQUESTS {
            let now_us = self.clock.now_us();
            let candidate = self.balancer().permit_candidate(now_us, request, tried)?;
            let permit = permits::acquire(self, candidate, request.rank).await;
            if permit.is_some() {
                return permit;
            }
        }
        None
    }

    /// Chooses an endpoint from this instance's own view, waiting for a free slot if needed.
    pub async fn place_locally(
        &self,
        request: &PlacementRequest,
        tried: &[EndpointKey],
    ) -> Placement {
        let permit = self.acquire_permit(request, tried).await;
        let now_us = self.clock.now_us();
        let placement =
            self.balancer()
                .place_with_permit(now_us, request, tried, permit.map(|p| p.endpoint));
        if let Some(permit) = permit {
            match is_sent_to(&placement, permit.endpoint) {
                true => self.hold_slot(permit),
                false => permits::release(self, permit).await,
            }
        }
        if !matches!(placement, Placement::Wait) {
            return placement;
        }
        self.wait_for_place(request, tried).await
    }

    /// Notes that a request got a slot with its permit, if the endpoint is brittle.
    pub(super) fn hold_slot(&self, permit: HeldPermit) {
        if self.balancer().is_brittle(permit.endpoint) {
            self.permits.hold_slot(permit);
        }
    }

    /// Gives up a chosen endpoint that nothing was sent to, with the slot that came with its permit if it is brittle.
    pub(super) fn give_up_place(self: &Arc<Self>, choice: &Choice) {
        let is_brittle = {
            let mut balancer = self.balancer();
            balancer.end(choice.key, choice.expected.uncached_tokens, None);
            balancer.is_brittle(choice.key)
        };
        if is_brittle {
            permits::end_at_brittle(self, choice.key, false);
        }
        self.reconsider();
    }

    /// Queues a request until it gets a slot at an endpoint that is not in `tried` or the balancer refuses it.
    pub async fn wait_for_place(
        &self,
        request: &PlacementRequest,
        tried: &[EndpointKey],
    ) -> Placement {
        let (sender, decision) = oneshot::channel();
        let key = {
            let mut balancer = self.balancer();
            let key = balancer.enqueue(request.clone(), tried);
            // Before a decision can be made on it.
            lock(&self.waiters).insert(key, sender);
            key
        };
        let mut queued = QueuedRequest {
            gateway: self,
            key,
            decision,
        };
        let placement = (&mut queued.decision).await;
        placement.unwrap_or(Placement::Refuse {
            reason: BUSY,
            retry_after_ms: 500,
        })
    }

    /// Tries again to place the queued requests, and delivers the decisions to their tasks.
    pub fn reconsider(&self) {
        let now_us = self.clock.now_us();
        let decisions = {
            let mut balancer = self.balancer();
            if balancer.waiting_count() == 0 {
                return;
            }
            balancer.reconsider(now_us)
        };
        for (key, placement) in decisions {
            let sender = lock(&self.waiters).remove(&key);
            let undelivered = match sender {
                Some(sender) => sender.send(placement).err(),
                None => Some(placement),
            };
            // The caller has disconnected.
            undelivered.inspect(|placement| self.release_unused(placement));
        }
    }

    /// Releases the slot of a placement to which nothing is sent.
    fn release_unused(&self, placement: &Placement) {
        if let Placement::Send(choice) = placement {
            let tokens = choice.expected.uncached_tokens;
            self.balancer().end(choice.key, tokens, None);
        }
    }
}

fn is_sent_to(placement: &Placement, endpoint: EndpointKey) -> bool {
    matches!(placement, Placement::Send(choice) if choice.key == endpoint)
}

/// A request in the queue. On drop, such as when its caller disconnects, it leaves the queue and releases a slot that it
/// was given and has not taken.
struct QueuedRequest<'g, P: Protocol> {
    gateway: &'g Gateway<P>,
    key: WaitKey,
    decision: oneshot::Receiver<Placement>,
}

impl<P: Protocol> Drop for QueuedRequest<'_, P> {
    fn drop(&mut self) {
        self.gateway.balancer().dequeue(self.key);
        lock(&self.gateway.waiters).remove(&self.key);
        // Nothing can be sent any more once it is closed.
        self.decision.close();
        if let Ok(unused) = self.decision.try_recv() {
            self.gateway.release_unused(&unused);
            self.gateway.reconsider();
        }
    }
}
