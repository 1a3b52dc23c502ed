//! Asks for permits to send to endpoints that take only so many requests a second, and gives them.
//!
//! Which instance keeps an endpoint's account for all, each works out from its view; nobody is elected. One that is
//! asked and does not believe to keep it gives none, so two give at once only while neither knows of the other.
//! A request waits some milliseconds for the answer. Where none comes it goes elsewhere: the loss of whoever
//! keeps an account costs a limited endpoint's requests until the views have changed, and nothing else.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::{sync::oneshot, time};

use crate::{
    balance::load::EndpointKey,
    gateway::{
        endpoint_words,
        protocol::Protocol,
        reserver::{Channel, Word},
        state::Gateway,
    },
    limits::{
        permits::{Permit, PermitGiver},
        rate::RequestRate,
        standings::ToldStanding,
    },
    peers::view::{Member, View},
    prelude::{Micros, Rank},
};

/// An answer is waited for so long: a datagram takes .2 ms within a hall and 1.4 ms between halls, and instances with
/// .12 of a core pause. The request goes elsewhere then, later by this.
const ANSWER: Duration = Duration::from_millis(20);
/// One that did not answer is asked again after this time.
const UNANSWERED_WAIT_US: Micros = 500_000;
/// One that does not keep an account may be asked again after this time: views are alike within some rounds.
const NOT_KEPT_WAIT_US: Micros = 200_000;
/// An instance gives itself no permits for this long after its start: until then it may know nobody, and believe to
/// keep all accounts. Of 295 that start together all know each other after some two seconds.
const MEETING_US: Micros = 1_500_000;
/// The part of a limit that is given out where some instances are not heard: this many times the share of those that
/// are. Instances that are cut off from each other each give out of the same limit; together they give 1.4 times it at
/// most, one and a half is what endpoints bear. Of seven instances two may be lost and the limit is used whole.
const HEARD_PART: f64 = 1.4;

/// What instances say to each other of permits for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum PermitWord {
    /// Asks for one, under the datagram's number.
    Ask {
        /// What is known of the endpoint's limit.
        limit: ToldStanding,
        /// How urgent the request is.
        rank: Rank,
        /// For how much longer the endpoint is cold, as far as the sender knows; 0 if it is not.
        cold_us: Micros,
    },
    /// Answers what was asked under the datagram's number.
    Answer {
        /// What is known of the endpoint's limit.
        limit: ToldStanding,
        /// The answer.
        permit: Permit,
    },
    /// Gives one back that was not used.
    Unused(EndpointKey),
}

struct State {
    view: Arc<View>,
    /// The share of the instances known that are heard.
    heard_share: f64,
    giver: PermitGiver,
    last_number: u64,
    /// Questions that are not answered, by number.
    pending: HashMap<u64, oneshot::Sender<Permit>>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            view: Arc::default(),
            heard_share: 1.0,
            giver: PermitGiver::default(),
            last_number: 0,
            pending: HashMap::new(),
        }
    }
}

/// What an instance needs to ask for permits and to give them.
#[derive(Default)]
pub struct Permits {
    state: Mutex<State>,
}

/// A question that is not answered; it is given up when this is dropped.
struct Pending<'p> {
    permits: &'p Permits,
    number: u64,
    answer: oneshot::Receiver<Permit>,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.permits.lock().pending.remove(&self.number);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Keeper {
    Me,
    Other(IpAddr),
}

impl Permits {
    /// Sets who is there.
    pub fn set_view(&self, view: &Arc<View>) {
        self.lock().view.clone_from(view);
    }

    /// Sets the share of the instances known that are heard.
    pub fn set_heard_share(&self, share: f64) {
        self.lock().heard_share = share;
    }

    /// Forgets the accounts that nobody asks of.
    pub fn expire(&self, now_us: Micros) {
        self.lock().giver.expire(now_us);
    }

    /// Returns who keeps an endpoint's account by this instance's view.
    fn keeper(&self, endpoint: EndpointKey) -> Option<Keeper> {
        let view = self.lock().view.clone();
        let keeper: &Member = view.leader(&format!("limit {}", endpoint.0))?;
        Some(match keeper.info.incarnation == view.me {
            true => Keeper::Me,
            false => Keeper::Other(keeper.info.peer_addr.ip()),
        })
    }

    fn begin(&self) -> Pending<'_> {
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

    /// Hands an answer to whoever asked; false if nobody waits for it.
    fn answer(&self, number: u64, permit: Permit) -> bool {
        let asker = self.lock().pending.remove(&number);
        asker.is_some_and(|asker| asker.send(permit).is_ok())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Every step leaves the state whole, so a poisoned lock is usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Asks for a permit to send a request of `rank` to an endpoint; returns whether it was given.
pub(super) async fn ask<P: Protocol>(
    gateway: &Gateway<P>,
    endpoint: EndpointKey,
    rank: Rank,
) -> bool {
    gateway.metrics.permits_asked.inc();
    let permit = match gateway.permits.keeper(endpoint) {
        Some(Keeper::Me) if gateway.clock.now_us() < MEETING_US => None,
        Some(Keeper::Me) => Some(give(gateway, endpoint, rank)),
        Some(Keeper::Other(keeper)) => ask_other(gateway, keeper, endpoint, rank).await,
        // This process has met nobody yet.
        None => None,
    };
    if permit.is_none() {
        gateway.metrics.permits_unanswered.inc();
    }
    let wait_us = match permit {
        Some(Permit::Given) => return true,
        Some(Permit::Denied { wait_us }) => wait_us,
        None => UNANSWERED_WAIT_US,
    };
    let until_us = gateway.clock.now_us() + wait_us;
    gateway
        .balancer()
        .record_permit_denial(endpoint, rank, until_us);
    false
}

async fn ask_other<P: Protocol>(
    gateway: &Gateway<P>,
    keeper: IpAddr,
    endpoint: EndpointKey,
    rank: Rank,
) -> Option<Permit> {
    let channel = gateway.reserver.channel()?;
    let mut pending = gateway.permits.begin();
    let now_us = gateway.clock.now_us();
    let (limit, cold_us) = {
        let balancer = gateway.balancer();
        let limit = balancer.standing_to_send(now_us, endpoint);
        (limit, balancer.remaining_cold_us(now_us, endpoint))
    };
    let word = Word::Permits(PermitWord::Ask {
        limit,
        rank,
        cold_us,
    });
    channel.send(keeper, pending.number, word).await;
    let answered = time::timeout(ANSWER, &mut pending.answer).await;
    answered.ok()?.ok()
}

/// Gives a permit back that was not used.
pub(super) async fn give_back<P: Protocol>(gateway: &Gateway<P>, endpoint: EndpointKey) {
    gateway.metrics.permits_unused.inc();
    match (gateway.permits.keeper(endpoint), gateway.reserver.channel()) {
        (Some(Keeper::Me), _) => take_back(gateway, endpoint),
        (Some(Keeper::Other(keeper)), Some(channel)) => {
            let word = Word::Permits(PermitWord::Unused(endpoint));
            channel.send(keeper, 0, word).await;
        }
        _ => {}
    }
}

/// Takes another instance's word; `number` is that of its datagram.
pub(super) async fn take<P: Protocol>(
    gateway: &Gateway<P>,
    channel: &Channel,
    from: IpAddr,
    number: u64,
    word: PermitWord,
) {
    match word {
        PermitWord::Ask {
            limit,
            rank,
            cold_us,
        } => {
            endpoint_words::told(gateway, &[limit]);
            let endpoint = limit.endpoint;
            if cold_us > 0 {
                let now_us = gateway.clock.now_us();
                gateway.balancer().mark_cold(now_us, endpoint, cold_us);
            }
            let permit = match gateway.permits.keeper(endpoint) {
                Some(Keeper::Me) => give(gateway, endpoint, rank),
                _ => Permit::Denied {
                    wait_us: NOT_KEPT_WAIT_US,
                },
            };
            let now_us = gateway.clock.now_us();
            let limit = gateway.balancer().standing_to_send(now_us, endpoint);
            let answer = Word::Permits(PermitWord::Answer { limit, permit });
            channel.send(from, number, answer).await;
        }
        PermitWord::Answer { limit, permit } => {
            endpoint_words::told(gateway, &[limit]);
            let is_taken = gateway.permits.answer(number, permit);
            if !is_taken && permit == Permit::Given {
                // It came too late: its request went elsewhere.
                give_back(gateway, limit.endpoint).await;
            }
        }
        PermitWord::Unused(endpoint) => take_back(gateway, endpoint),
    }
}

/// Gives a permit from the account that this instance keeps.
fn give<P: Protocol>(gateway: &Gateway<P>, endpoint: EndpointKey, rank: Rank) -> Permit {
    let Some(rate) = rate_given(gateway, endpoint) else {
        // The limit is over: a permit does no harm, and the answer says so, too.
        return Permit::Given;
    };
    let now_us = gateway.clock.now_us();
    let permit = {
        let giver = &mut gateway.permits.lock().giver;
        giver.give(now_us, endpoint, rate, rank)
    };
    if permit == Permit::Given {
        gateway.metrics.permits_given.inc();
    }
    permit
}

fn take_back<P: Protocol>(gateway: &Gateway<P>, endpoint: EndpointKey) {
    if let Some(rate) = rate_given(gateway, endpoint) {
        gateway.permits.lock().giver.take_back(endpoint, rate);
    }
}

/// Returns the part of an endpoint's limit that this instance gives out, if it has one.
fn rate_given<P: Protocol>(gateway: &Gateway<P>, endpoint: EndpointKey) -> Option<RequestRate> {
    let now_us = gateway.clock.now_us();
    let rate = gateway.balancer().rate(now_us, endpoint)?;
    let part = gateway.permits.lock().heard_share * HEARD_PART;
    Some(rate.part(part.min(1.0)))
}
