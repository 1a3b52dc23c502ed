//! Acquires permits for requests to endpoints that limit their request rate or are brittle, and issues them.
//!
//! Each instance derives an endpoint's issuer from its membership view by rendezvous hashing; there is no election. An
//! instance that does not see itself as the issuer denies the request, so two instances issue permits for the same
//! endpoint only while neither has the other in its view. A request waits some milliseconds for the answer and goes to
//! another endpoint if none arrives. When an issuer fails, its rate-limited endpoints get no requests until the views
//! have changed; nothing else is affected.

use std::{
    collections::{HashMap, VecDeque},
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::{sync::oneshot, time};

use crate::{
    balance::load::EndpointKey,
    gateway::{
        endpoint_announcements,
        protocol::Protocol,
        reservation_client::{Channel, DirectMessage},
        state::Gateway,
    },
    limits::{
        announcements::AnnouncementUpdate,
        brittle::SlotIssuer,
        permits::{Permit, PermitIssuer},
        rate::RequestRate,
    },
    peers::view::{Member, View},
    prelude::{Micros, Rank},
};

/// How long a request waits for the issuer's answer before it goes to another endpoint. A datagram takes .2 ms within a
/// hall and 1.4 ms between halls, but instances that have .12 of a core pause.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);
/// The same for a brittle endpoint: all endpoints of its service need permits at once, so that requests have no other
/// one to go to.
const BRITTLE_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// After a timeout no permit is requested for the endpoint for this long.
const TIMEOUT_BACKOFF_US: Micros = 500_000;
/// The same for a brittle endpoint.
const BRITTLE_TIMEOUT_BACKOFF_US: Micros = 50_000;
/// The back-off that an instance answers with if it is not the issuer: views converge within some gossip rounds.
const NOT_ISSUER_BACKOFF_US: Micros = 200_000;
/// The same for a brittle endpoint, for the reason of [`BRITTLE_ANSWER_TIMEOUT`].
const BRITTLE_NOT_ISSUER_BACKOFF_US: Micros = 20_000;
/// An instance issues no permits to itself for this long after its start: its view may still lack all other instances,
/// and it would see itself as the issuer for all endpoints. 295 instances that start together all know each other after
/// some two seconds.
const STARTUP_GRACE_US: Micros = 1_500_000;
/// An issuer grants an endpoint's limit times this factor and the share of instances that it can reach, up to the whole
/// limit. The sides of a network partition each issue from the same limit: together they issue at most 1.4 times the
/// limit, and endpoints tolerate one and a half times. With two of seven instances lost the whole limit is still used.
const REACHABLE_FACTOR: f64 = 1.4;

/// A message between instances about permits for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum PermitMessage {
    /// Requests a permit. The answer carries the same datagram number.
    Ask {
        /// The endpoint's limit as the sender knows it.
        limit: AnnouncementUpdate,
        /// The priority of the request.
        rank: Rank,
        /// How much longer the endpoint is cold, as far as the sender knows; 0 if it is not cold.
        cold_us: Micros,
        /// Whether the endpoint is brittle, as the sender knows it.
        is_brittle: bool,
    },
    /// Answers the request that had the same datagram number.
    Answer {
        /// The endpoint's limit as the issuer knows it.
        limit: AnnouncementUpdate,
        /// The issuer's decision.
        permit: Permit,
        /// When it was issued, on the issuer's clock.
        issued_us: Micros,
    },
    /// Returns an unused permit.
    Unused(HeldPermit),
    /// Returns the slot of a brittle endpoint whose request has ended.
    Ended {
        /// The permit by which it got the slot.
        held: HeldPermit,
        /// Whether the endpoint refused the request for want of room.
        is_refused: bool,
    },
}

/// A permit that was issued to this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldPermit {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// When it was issued, on the issuer's clock, by which the issuer knows it again.
    pub issued_us: Micros,
}

/// The most slots of one endpoint that are held, far more than an endpoint has.
const MAX_HELD_SLOTS: usize = 1_024;

struct State {
    view: Arc<View>,
    /// The share of the known instances that this one receives messages from.
    reachable_share: f64,
    accounts: PermitIssuer,
    slots: SlotIssuer,
    /// Slots of brittle endpoints that this instance's requests have, the first one first.
    held_slots: HashMap<EndpointKey, VecDeque<HeldPermit>>,
    last_number: u64,
    /// Unanswered permit requests, by number.
    pending: HashMap<u64, oneshot::Sender<(Permit, Micros)>>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            view: Arc::default(),
            reachable_share: 1.0,
            accounts: PermitIssuer::default(),
            slots: SlotIssuer::default(),
            held_slots: HashMap::new(),
            last_number: 0,
            pending: HashMap::new(),
        }
    }
}

/// The state for acquiring and issuing permits.
#[derive(Default)]
pub struct Permits {
    state: Mutex<State>,
}

/// An unanswered permit request. Dropping it cancels the request.
struct Pending<'p> {
    permits: &'p Permits,
    number: u64,
    answer: oneshot::Receiver<(Permit, Micros)>,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.permits.lock().pending.remove(&self.number);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Issuer {
    Local,
    Remote(IpAddr),
}

impl Permits {
    /// Sets the membership view.
    pub fn set_view(&self, view: &Arc<View>) {
        self.lock().view.clone_from(view);
    }

    /// Sets the share of the known instances that this one receives messages from.
    pub fn set_reachable_share(&self, share: f64) {
        self.lock().reachable_share = share;
    }

    /// Evicts the accounts that have had no requests for a while.
    pub fn expire(&self, now_us: Micros) {
        self.lock().accounts.expire(now_us);
    }

    /// Drops the slots of endpoints that are not brittle any more.
    pub fn retain_slots(&self, is_brittle: impl Fn(EndpointKey) -> bool) {
        self.lock().slots.retain(is_brittle);
    }

    /// Returns which instance issues permits for an endpoint by this instance's view, or `None` if the view is empty.
    fn issuer(&self, endpoint: EndpointKey) -> Option<Issuer> {
        let view = self.lock().view.clone();
        let issuer: &Member = view.leader(&format!("limit {}", endpoint.0))?;
        Some(match issuer.info.incarnation == view.me {
            true => Issuer::Local,
            false => Issuer::Remote(issuer.info.peer_addr.ip()),
        })
    }

    fn register(&self) -> Pending<'_> {
        let (sender, answer) = oneshot::channel();
        let mut state = self.lock();
        state.last_number += 1;
        let number = state.last_number;
        state.pending.insert(number, sender);
        Pending {
            permits: self,
            number,
            answer,
        }
    }

    /// Delivers an answer to the request that waits for it; returns false if none does.
    fn deliver(&self, number: u64, permit: Permit, issued_us: Micros) -> bool {
        let waiter = self.lock().pending.remove(&number);
        waiter.is_some_and(|waiter| waiter.send((permit, issued_us)).is_ok())
    }

    /// Notes that a request has the slot of a brittle endpoint.
    pub(super) fn hold_slot(&self, held: HeldPermit) {
        let mut state = self.lock();
        let of_endpoint = state.held_slots.entry(held.endpoint).or_default();
        if of_endpoint.len() < MAX_HELD_SLOTS {
            of_endpoint.push_back(held);
        }
    }

    /// Returns a slot to give up when a request at an endpoint ends. Any will do: slots differ only in when they were
    /// issued.
    pub(super) fn take_held_slot(&self, endpoint: EndpointKey) -> Option<HeldPermit> {
        let mut state = self.lock();
        let of_endpoint = state.held_slots.get_mut(&endpoint)?;
        let held = of_endpoint.pop_front();
        if of_endpoint.is_empty() {
            state.held_slots.remove(&endpoint);
        }
        held
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No critical section can leave the state inconsistent, so a poisoned lock is still usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tries to acquire a permit to send a request of priority `rank` to an endpoint. If it is not granted, the balancer
/// records until when no permit is available.
pub(super) async fn acquire<P: Protocol>(
    gateway: &Gateway<P>,
    endpoint: EndpointKey,
    rank: Rank,
) -> Option<HeldPermit> {
    gateway.metrics.permits_asked.inc();
    let permit = match gateway.permits.issuer(endpoint) {
        Some(Issuer::Local) if gateway.clock.now_us() < STARTUP_GRACE_US => None,
        Some(Issuer::Local) => {
            let issued_us = gateway.clock.now_us();
            Some((issue(gateway, issued_us, endpoint, rank), issued_us))
        }
        Some(Issuer::Remote(issuer)) => request_from(gateway, issuer, endpoint, rank).await,
        // The view is still empty.
        None => None,
    };
    if permit.is_none() {
        gateway.metrics.permits_unanswered.inc();
    }
    let wait_us = match permit {
        Some((Permit::Given, issued_us)) => {
            return Some(HeldPermit {
                endpoint,
                issued_us,
            });
        }
        Some((Permit::Denied { wait_us }, _)) => wait_us,
        None if gateway.balancer().is_brittle(endpoint) => BRITTLE_TIMEOUT_BACKOFF_US,
        None => TIMEOUT_BACKOFF_US,
    };
    let until_us = gateway.clock.now_us() + wait_us;
    gateway
        .balancer()
        .record_permit_denial(endpoint, rank, until_us);
    None
}

async fn request_from<P: Protocol>(
    gateway: &Gateway<P>,
    issuer: IpAddr,
    endpoint: EndpointKey,
    rank: Rank,
) -> Option<(Permit, Micros)> {
    let channel = gateway.reservation_client.channel()?;
    let mut pending = gateway.permits.register();
    let now_us = gateway.clock.now_us();
    let (ask, is_brittle) = {
        let balancer = gateway.balancer();
        let is_brittle = balancer.is_brittle(endpoint);
        let ask = PermitMessage::Ask {
            limit: balancer.announcement_to_send(now_us, endpoint),
            rank,
            cold_us: balancer.remaining_cold_us(now_us, endpoint),
            is_brittle,
        };
        (ask, is_brittle)
    };
    let message = DirectMessage::Permits(ask);
    channel.send(issuer, pending.number, message).await;
    let timeout = match is_brittle {
        true => BRITTLE_ANSWER_TIMEOUT,
        false => ANSWER_TIMEOUT,
    };
    let answered = time::timeout(timeout, &mut pending.answer).await;
    answered.ok()?.ok()
}

/// Returns an unused permit to its issuer.
pub(super) async fn release<P: Protocol>(gateway: &Gateway<P>, unused: HeldPermit) {
    gateway.metrics.permits_unused.inc();
    match (
        gateway.permits.issuer(unused.endpoint),
        gateway.reservation_client.channel(),
    ) {
        (Some(Issuer::Local), _) => reclaim(gateway, unused),
        (Some(Issuer::Remote(issuer)), Some(channel)) => {
            let message = DirectMessage::Permits(PermitMessage::Unused(unused));
            channel.send(issuer, 0, message).await;
        }
        _ => {}
    }
}

/// Handles a message from another instance; `number` is that of its datagram.
pub(super) async fn receive<P: Protocol>(
    gateway: &Gateway<P>,
    channel: &Channel,
    from: IpAddr,
    number: u64,
    message: PermitMessage,
) {
    match message {
        PermitMessage::Ask {
            limit,
            rank,
            cold_us,
            is_brittle,
        } => {
            endpoint_announcements::apply_from_peer(gateway, &[limit]);
            let endpoint = limit.endpoint;
            if cold_us > 0 {
                let now_us = gateway.clock.now_us();
                gateway.balancer().mark_cold(now_us, endpoint, cold_us);
            }
            if is_brittle {
                let now_us = gateway.clock.now_us();
                gateway.balancer().record_brittle(now_us, endpoint, true);
            }
            let issued_us = gateway.clock.now_us();
            let permit = match gateway.permits.issuer(endpoint) {
                Some(Issuer::Local) => issue(gateway, issued_us, endpoint, rank),
                _ => Permit::Denied {
                    wait_us: not_issuer_wait_us(is_brittle),
                },
            };
            let now_us = gateway.clock.now_us();
            let limit = gateway.balancer().announcement_to_send(now_us, endpoint);
            let answer = DirectMessage::Permits(PermitMessage::Answer {
                limit,
                permit,
                issued_us,
            });
            channel.send(from, number, answer).await;
        }
        PermitMessage::Answer {
            limit,
            permit,
            issued_us,
        } => {
            endpoint_announcements::apply_from_peer(gateway, &[limit]);
            if !gateway.permits.deliver(number, permit, issued_us) && permit == Permit::Given {
                gateway.metrics.permits_unused.inc();
                let held = HeldPermit {
                    endpoint: limit.endpoint,
                    issued_us,
                };
                return_late(gateway, channel, from, held).await;
            }
        }
        PermitMessage::Unused(unused) => reclaim(gateway, unused),
        PermitMessage::Ended { held, is_refused } => return_slot(gateway, held, is_refused),
    }
}

/// Returns how long an instance that asked another one than the issuer waits before it asks again.
fn not_issuer_wait_us(is_brittle: bool) -> Micros {
    match is_brittle {
        true => BRITTLE_NOT_ISSUER_BACKOFF_US,
        false => NOT_ISSUER_BACKOFF_US,
    }
}

/// Returns the slot that came with a permit after the request had stopped waiting for it. The permit itself is lost:
/// returned ones would be issued again beside those that are due.
async fn return_late<P: Protocol>(
    gateway: &Gateway<P>,
    channel: &Channel,
    issuer: IpAddr,
    held: HeldPermit,
) {
    if !gateway.balancer().is_brittle(held.endpoint) {
        return;
    }
    let ended = PermitMessage::Ended {
        held,
        is_refused: false,
    };
    channel.send(issuer, 0, DirectMessage::Permits(ended)).await;
}

/// Returns the slot of a brittle endpoint to its issuer when the request there has ended.
pub(super) fn end_at_brittle<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    endpoint: EndpointKey,
    is_refused: bool,
) {
    let Some(held) = gateway.permits.take_held_slot(endpoint) else {
        return;
    };
    match gateway.permits.issuer(endpoint) {
        Some(Issuer::Local) => return_slot(gateway, held, is_refused),
        Some(Issuer::Remote(issuer)) => {
            let gateway = gateway.clone();
            tokio::spawn(async move {
                let Some(channel) = gateway.reservation_client.channel() else {
                    return;
                };
                let message = PermitMessage::Ended { held, is_refused };
                let message = DirectMessage::Permits(message);
                channel.send(issuer, 0, message).await;
            });
        }
        None => {}
    }
}

fn return_slot<P: Protocol>(gateway: &Gateway<P>, held: HeldPermit, is_refused: bool) {
    let now_us = gateway.clock.now_us();
    let slots = &mut gateway.permits.lock().slots;
    slots.return_slot(now_us, held.endpoint, held.issued_us, is_refused);
}

/// Issues a permit from the endpoint's accounts at this instance: within its rate, and one of its slots if it is brittle.
fn issue<P: Protocol>(
    gateway: &Gateway<P>,
    now_us: Micros,
    endpoint: EndpointKey,
    rank: Rank,
) -> Permit {
    let permit = issue_by_rate(gateway, now_us, endpoint, rank);
    if permit != Permit::Given {
        return permit;
    }
    let slot = issue_slot(gateway, now_us, endpoint);
    if slot != Permit::Given {
        let issued_us = now_us;
        refund(
            gateway,
            HeldPermit {
                endpoint,
                issued_us,
            },
        );
    }
    slot
}

/// Issues a slot of an endpoint if it is brittle.
fn issue_slot<P: Protocol>(gateway: &Gateway<P>, now_us: Micros, endpoint: EndpointKey) -> Permit {
    let Some((slots, reported)) = gateway.balancer().brittle_slots(now_us, endpoint) else {
        return Permit::Given;
    };
    let mut state = gateway.permits.lock();
    let part = (state.reachable_share * REACHABLE_FACTOR).min(1.0);
    let slots = (f64::from(slots) * part).floor().max(1.0) as usize;
    let reported = reported.round() as usize;
    state.slots.issue(now_us, endpoint, slots, reported)
}

fn issue_by_rate<P: Protocol>(
    gateway: &Gateway<P>,
    now_us: Micros,
    endpoint: EndpointKey,
    rank: Rank,
) -> Permit {
    let Some(rate) = issued_rate(gateway, endpoint) else {
        // The endpoint has no limit any more: a permit does no harm, and the answer carries the new state.
        return Permit::Given;
    };
    let permit = {
        let accounts = &mut gateway.permits.lock().accounts;
        accounts.issue(now_us, endpoint, rate, rank)
    };
    if permit == Permit::Given {
        gateway.metrics.permits_given.inc();
    }
    permit
}

fn reclaim<P: Protocol>(gateway: &Gateway<P>, unused: HeldPermit) {
    refund(gateway, unused);
    return_slot(gateway, unused, false);
}

fn refund<P: Protocol>(gateway: &Gateway<P>, unused: HeldPermit) {
    let HeldPermit {
        endpoint,
        issued_us,
    } = unused;
    if let Some(rate) = issued_rate(gateway, endpoint) {
        let now_us = gateway.clock.now_us();
        let accounts = &mut gateway.permits.lock().accounts;
        accounts.refund(now_us, endpoint, rate, issued_us);
    }
}

/// Returns the part of an endpoint's limit that this instance issues permits for, or `None` if it has no limit.
fn issued_rate<P: Protocol>(gateway: &Gateway<P>, endpoint: EndpointKey) -> Option<RequestRate> {
    let now_us = gateway.clock.now_us();
    let rate = gateway.balancer().rate(now_us, endpoint)?;
    let part = gateway.permits.lock().reachable_share * REACHABLE_FACTOR;
    Some(rate.scaled(part.min(1.0)))
}
