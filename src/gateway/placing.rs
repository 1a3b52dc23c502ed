//! Decides where a request goes: by the instance that gives places at the hall's endpoints, or by what this instance knows,
//! with a permit where one is needed.

use tokio::sync::oneshot;

use crate::{
    balance::{
        balancer::{BUSY, ENDPOINT_LIMITS, Placement, WaitKey, refuse_for_capacity},
        cost::PlacementRequest,
        load::EndpointKey,
        readiness::retry_delay_until_ms,
    },
    gateway::{
        permits,
        protocol::Protocol,
        reserver::PlaceAnswer,
        state::{Gateway, lock},
    },
    prelude::Name,
};

/// So many endpoints that take only so many requests a second are asked permits for, one after the other, for one
/// request: two milliseconds each, and after that whoever refuses is not asked for a while.
const MOST_PERMITS_ASKED: usize = 3;
/// When a caller may come back whose request endpoints turned away, where others have not.
const TURNED_AWAY_BACK_MS: u32 = 500;
/// Endpoints at rest that are named when a place is asked for, at most, at 5 bytes each. A place at another of them is not
/// taken.
const MOST_CLOSED_TOLD: usize = 128;

impl<P: Protocol> Gateway<P> {
    /// Decides on a request, waiting for a slot if it must. Those in `tried` are not chosen.
    pub async fn place(&self, ask: &PlacementRequest, tried: &[EndpointKey]) -> Placement {
        self.endpoints_settled().await;
        self.evacuations_settled().await;
        let now_us = self.clock.now_us();
        let refusal = self.balancer().refuse_while_backing_off(now_us, ask);
        if let Some(refusal) = refusal {
            return refusal;
        }
        if let Some(placement) = self.reserve(ask, tried).await {
            return placement;
        }
        self.place_here(ask, tried).await
    }

    /// Asks the instance that gives places at the hall's endpoints for one; none if there is none, it does
    /// not answer in time, or knows an endpoint that this instance does not.
    async fn reserve(&self, ask: &PlacementRequest, tried: &[EndpointKey]) -> Option<Placement> {
        // Whoever gives places does not know the regions in which a request may be served.
        if !ask.is_stream || ask.homes.is_restricted() {
            return None;
        }
        let ledger = self.reserver.ledger(self.clock.now_us())?;
        self.metrics.places_asked.inc();
        let closed = self.closed_to_me(tried);
        let answer = self.reserver.ask(self.clock, ledger, ask, &closed).await;
        let placement = answer.and_then(|answer| self.take_answer(ask, answer));
        if placement.is_none() {
            self.metrics.places_unanswered.inc();
        }
        placement
    }

    /// Returns the endpoints that a place is not to be given at: those tried, and those that rest from this instance.
    fn closed_to_me(&self, tried: &[EndpointKey]) -> Vec<EndpointKey> {
        let now_us = self.clock.now_us();
        let at_rest = self.balancer().rests().at_rest(now_us);
        let mut closed = tried.to_vec();
        closed.extend(at_rest.into_iter().take(MOST_CLOSED_TOLD));
        closed
    }

    /// Returns when a caller may come back whose request endpoints turned away.
    pub fn turned_away_back_ms(&self, service: &Name) -> u32 {
        let now_us = self.clock.now_us();
        let back_us = self.balancer().earliest_available_us(now_us, service);
        back_us.map_or(TURNED_AWAY_BACK_MS, |back_us| {
            retry_delay_until_ms(now_us, back_us)
        })
    }

    /// Does what another instance decided on a request; none if it knows an endpoint that is not known here.
    fn take_answer(&self, ask: &PlacementRequest, answer: PlaceAnswer) -> Option<Placement> {
        let now_us = self.clock.now_us();
        match answer {
            PlaceAnswer::Granted {
                key,
                expected,
                by_permit,
            } => {
                let mut balancer = self.balancer();
                if !by_permit && balancer.rate(now_us, key).is_some() {
                    // Whoever gave the place has not heard of the limit.
                    return None;
                }
                balancer.place_granted(now_us, ask, key, expected)
            }
            PlaceAnswer::Refused => Some(refuse_for_capacity(now_us, ask, BUSY)),
            PlaceAnswer::OverEndpointLimits => {
                Some(refuse_for_capacity(now_us, ask, ENDPOINT_LIMITS))
            }
        }
    }

    /// Asks for a permit, if a request had best go to an endpoint that takes only so many a second; one after the
    /// other for some such endpoints.
    async fn permit_for(
        &self,
        ask: &PlacementRequest,
        tried: &[EndpointKey],
    ) -> Option<EndpointKey> {
        for _ in 0..MOST_PERMITS_ASKED {
            let now_us = self.clock.now_us();
            let wanted = self.balancer().permit_candidate(now_us, ask, tried)?;
            if permits::ask(self, wanted, ask.rank).await {
                return Some(wanted);
            }
        }
        None
    }

    /// Decides on a request by what this instance knows, waiting for a slot if it must.
    pub async fn place_here(&self, ask: &PlacementRequest, tried: &[EndpointKey]) -> Placement {
        let permit = self.permit_for(ask, tried).await;
        let now_us = self.clock.now_us();
        let placement = self
            .balancer()
            .place_with_permit(now_us, ask, tried, permit);
        if let Some(permit) = permit.filter(|permit| !is_sent_to(&placement, *permit)) {
            permits::give_back(self, permit).await;
        }
        if !matches!(placement, Placement::Wait) {
            return placement;
        }
        self.wait_for_place(ask).await
    }

    /// Waits for a place for a request, or until it may wait no longer.
    pub async fn wait_for_place(&self, ask: &PlacementRequest) -> Placement {
        let (sender, receiver) = oneshot::channel();
        let key = self.balancer().enqueue(ask.clone());
        lock(&self.waiters).insert(key, sender);
        let waiting = Waiting { gateway: self, key };
        let placement = receiver.await;
        drop(waiting);
        placement.unwrap_or(Placement::Refuse {
            reason: BUSY,
            retry_after_ms: 500,
        })
    }

    /// Decides anew on the requests that wait.
    pub fn reconsider(&self) {
        let now_us = self.clock.now_us();
        let decided = {
            let mut balancer = self.balancer();
            if balancer.waiting_count() == 0 {
                return;
            }
            balancer.reconsider(now_us)
        };
        for (key, placement) in decided {
            let sender = lock(&self.waiters).remove(&key);
            let undelivered = match sender {
                Some(sender) => sender.send(placement).err(),
                None => Some(placement),
            };
            if let Some(Placement::Send(choice)) = undelivered {
                // The caller has left meanwhile: nothing is sent.
                let tokens = choice.expected.uncached_tokens;
                self.balancer().end(choice.key, tokens, None);
            }
        }
    }
}

fn is_sent_to(placement: &Placement, endpoint: EndpointKey) -> bool {
    matches!(placement, Placement::Send(choice) if choice.key == endpoint)
}

/// A request in the queue; leaves it when its caller does.
struct Waiting<'g, P: Protocol> {
    gateway: &'g Gateway<P>,
    key: WaitKey,
}

impl<P: Protocol> Drop for Waiting<'_, P> {
    fn drop(&mut self) {
        self.gateway.balancer().dequeue(self.key);
        lock(&self.gateway.waiters).remove(&self.key);
    }
}
