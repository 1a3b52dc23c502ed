//! Registry of the requests that this instance holds as an entry, each with its lifecycle.
//!
//! One lock covers the requests and the held shedding levels. Admitting a request, answering a
//! leader's level request and applying a shed order are therefore atomic with respect to each other.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::{
    clock::Clock,
    core::{
        length::AnswerLength,
        lifecycle::{Lifecycle, LifecycleError, Stage},
        shedding::{HeldLevel, LevelRequest, level_needed},
    },
    pool::messages::{Order, OrderBatch, Update},
    prelude::{Incarnation, Micros, Name, Registration, RequestId, RequestMeta, ShedReason},
};

/// The decision on a waiting request, made by the pool's leader or an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request may be sent to the endpoint.
    Granted {
        /// Name of the endpoint.
        endpoint: Name,
    },
    /// The request is refused without having run.
    Shed {
        /// Reason for the refusal.
        reason: ShedReason,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u32,
    },
    /// An operator cancelled the request.
    Cancelled,
}

/// A change that the pool's registrar forwards to the pool's leader.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistrarEvent {
    /// A request arrived. Its metadata is read from the registry when this event is forwarded.
    Added(RequestId),
    /// Any other update, forwarded as it is.
    Update(Update),
}

/// An arriving request, as passed to [`Registry::admit`].
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The pool slice that serves the request.
    pub pool: Name,
    /// Metadata for the scheduler. Waiting and remaining time are filled in when it is forwarded.
    pub meta: RequestMeta,
    /// Deadline on this process's clock, in microseconds.
    pub deadline_us: Micros,
    /// Number of tiers in the configuration.
    pub tiers: usize,
    /// Name of the request's tier.
    pub tier: Name,
}

struct Held {
    arrival: Arrival,
    arrived_us: Micros,
    lifecycle: Lifecycle,
    endpoint: Option<Name>,
    decisions: mpsc::UnboundedSender<Decision>,
}

/// Operator view of a held request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldView {
    /// Request id.
    pub id: RequestId,
    /// Organisation of the caller.
    pub organisation: Name,
    /// Tier of the request.
    pub tier: Name,
    /// Called service.
    pub service: Name,
    /// Pool slice that serves the request.
    pub pool: Name,
    /// Lifecycle stage.
    pub stage: Stage,
    /// Endpoint that the request was granted, if any.
    pub endpoint: Option<Name>,
    /// Prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Time since arrival, in milliseconds.
    pub age_ms: u64,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Whether the request is idempotent, so that it may run more than once.
    pub repeatable: bool,
}

#[derive(Default)]
struct Inner {
    held: HashMap<RequestId, Held>,
    levels: HashMap<Name, HeldLevel>,
    registrations: HashMap<Name, Registration>,
    registrars: HashMap<Name, mpsc::UnboundedSender<RegistrarEvent>>,
    /// Lengths of the most recent answers by pool, sent to a new leader at registration.
    answer_lengths: HashMap<Name, VecDeque<AnswerLength>>,
}

/// Maximum number of recent answer lengths kept per pool.
pub const MAX_ANSWER_LENGTHS: usize = 300;

/// The requests held by this instance, with the shedding levels and registrations by pool.
pub struct Registry {
    incarnation: Incarnation,
    clock: Clock,
    next_seq: AtomicU64,
    inner: Mutex<Inner>,
}

/// Handle to a held request. Dropping it removes the request and withdraws it from the leader.
pub struct HeldRequest {
    /// Request id.
    pub id: RequestId,
    pool: Name,
    registry: Arc<Registry>,
    decisions: mpsc::UnboundedReceiver<Decision>,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new(incarnation: Incarnation, clock: Clock) -> Self {
        Self {
            incarnation,
            clock,
            next_seq: AtomicU64::new(1),
            inner: Mutex::default(),
        }
    }

    /// Returns a new request id, unique across instances and restarts.
    pub fn next_id(&self) -> RequestId {
        RequestId {
            entry: self.incarnation,
            seq: self.next_seq.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Adds a request and reports it to the pool's registrar.
    ///
    /// # Errors
    /// Returns [`ShedReason::TierShed`] if the pool is shedding the request's tier. The request is not added.
    pub fn admit(self: &Arc<Self>, arrival: Arrival) -> Result<HeldRequest, ShedReason> {
        let now_us = self.clock.now_us();
        let id = arrival.meta.id;
        let pool = arrival.pool.clone();
        let (sender, decisions) = mpsc::unbounded_channel();
        let mut inner = self.lock();
        let rank = arrival.meta.rank;
        let level = inner.levels.get(&pool);
        if level.is_some_and(|l| l.refuses(now_us, rank, arrival.tiers)) {
            return Err(ShedReason::TierShed);
        }
        let registration = inner.registration(self.incarnation, &pool);
        let held = Held {
            arrival,
            arrived_us: now_us,
            lifecycle: Lifecycle::new(registration),
            endpoint: None,
            decisions: sender,
        };
        inner.held.insert(id, held);
        inner.notify_registrar(&pool, RegistrarEvent::Added(id));
        Ok(HeldRequest {
            id,
            pool,
            registry: self.clone(),
            decisions,
        })
    }

    /// Subscribes to a pool's registrar events, replacing any earlier subscription.
    pub fn subscribe(&self, pool: &Name) -> mpsc::UnboundedReceiver<RegistrarEvent> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.lock().registrars.insert(pool.clone(), sender);
        receiver
    }

    /// Starts a new registration for a pool. Returns it with the updates that describe the whole state:
    /// recent answer lengths and all held requests.
    pub fn reregister(&self, pool: &Name) -> (Registration, Vec<Update>) {
        let now_us = self.clock.now_us();
        let mut inner = self.lock();
        let mut registration = inner.registration(self.incarnation, pool);
        registration.epoch += 1;
        inner.registrations.insert(pool.clone(), registration);
        let answer_lengths = inner
            .answer_lengths
            .get(pool)
            .into_iter()
            .flatten()
            .cloned();
        let mut updates: Vec<Update> = answer_lengths.map(Update::Seen).collect();
        for held in inner.held.values_mut().filter(|h| h.arrival.pool == *pool) {
            held.lifecycle.reregister(registration);
            updates.extend(held.update(now_us));
        }
        (registration, updates)
    }

    /// Returns the metadata of a request, or `None` if it is not waiting any more.
    pub fn waiting_meta(&self, id: RequestId) -> Option<RequestMeta> {
        let now_us = self.clock.now_us();
        let inner = self.lock();
        let held = inner.held.get(&id)?;
        (held.lifecycle.stage() == Stage::Waiting).then(|| held.meta(now_us))
    }

    /// Applies a leader's orders and returns one reply per order.
    ///
    /// `is_draining` returns whether this instance knows that an endpoint accepts no new requests.
    pub fn carry_out(
        &self,
        batch: &OrderBatch,
        is_draining: impl Fn(&Name) -> bool,
    ) -> Vec<OrderReply> {
        let now_us = self.clock.now_us();
        let mut inner = self.lock();
        let orders = batch.orders.iter();
        orders
            .map(|order| inner.carry_out(now_us, batch, order, &is_draining))
            .collect()
    }

    /// Tries to hold a shedding level for a pool on a leader's request; returns whether it is held.
    pub fn hold_level(&self, pool: &Name, request: LevelRequest) -> bool {
        let now_us = self.clock.now_us();
        let mut inner = self.lock();
        let holds_waiting_at_level = inner.held.values().any(|h| {
            let kept = is_waiting(h.lifecycle.stage());
            let needed = level_needed(h.arrival.meta.rank, h.arrival.tiers) + 1;
            kept && h.arrival.pool == *pool && needed <= request.level
        });
        let level = inner.levels.entry(pool.clone()).or_default();
        level.try_hold(now_us, request, holds_waiting_at_level)
    }

    /// Cancels a request for an operator; returns whether the request was held.
    pub fn cancel(&self, id: RequestId) -> bool {
        let inner = self.lock();
        let held = inner.held.get(&id);
        held.is_some_and(|h| h.decisions.send(Decision::Cancelled).is_ok())
    }

    /// Forwards an update to a pool's leader through the pool's registrar.
    pub fn notify_leader(&self, pool: &Name, update: Update) {
        self.lock()
            .notify_registrar(pool, RegistrarEvent::Update(update));
    }

    /// Returns the current registration for a pool.
    pub fn registration(&self, pool: &Name) -> Registration {
        self.lock().registration(self.incarnation, pool)
    }

    /// Returns the current registrations by pool slice.
    pub fn registrations(&self) -> BTreeMap<Name, Registration> {
        let inner = self.lock();
        inner
            .registrations
            .iter()
            .map(|(pool, r)| (pool.clone(), *r))
            .collect()
    }

    /// Returns the number of held requests.
    pub fn len(&self) -> usize {
        self.lock().held.len()
    }

    /// Returns whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of waiting and of running requests.
    pub fn counts(&self) -> (usize, usize) {
        let inner = self.lock();
        let held = inner.held.values();
        let waiting = held.filter(|h| is_waiting(h.lifecycle.stage())).count();
        (waiting, inner.held.len() - waiting)
    }

    /// Returns the number of waiting requests by tier.
    pub fn waiting_by_tier(&self) -> BTreeMap<Name, usize> {
        let inner = self.lock();
        let mut counts = BTreeMap::new();
        for held in inner
            .held
            .values()
            .filter(|h| is_waiting(h.lifecycle.stage()))
        {
            *counts.entry(held.arrival.tier.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the ids of all held requests.
    pub fn ids(&self) -> Vec<RequestId> {
        self.lock().held.keys().copied().collect()
    }

    /// Returns operator views of those requests that are still held.
    ///
    /// Callers split large sets into several calls, so that each holds the lock only briefly.
    pub fn views_of(&self, ids: &[RequestId]) -> Vec<HeldView> {
        let now_us = self.clock.now_us();
        let inner = self.lock();
        let held = ids.iter().filter_map(|id| inner.held.get(id));
        held.map(|h| h.view(now_us)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Every operation leaves the state consistent, so a poisoned lock is usable.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The result of one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The order was applied.
    Taken,
    /// The order was not applied; the request is still waiting on this instance.
    Waits,
    /// The order was not applied; the request is not waiting under the order's registration.
    Gone,
}

impl Inner {
    fn registration(&self, incarnation: Incarnation, pool: &Name) -> Registration {
        let none = Registration {
            entry: incarnation,
            epoch: 0,
        };
        self.registrations.get(pool).copied().unwrap_or(none)
    }

    fn record_answer_length(&mut self, id: RequestId, output_tokens: u32) {
        let Some(held) = self.held.get(&id) else {
            return;
        };
        let meta = &held.arrival.meta;
        let length = AnswerLength {
            organisation: meta.organisation.clone(),
            rank: meta.rank,
            prompt_tokens: meta.prompt_tokens,
            output_tokens,
        };
        let answer_lengths = self
            .answer_lengths
            .entry(held.arrival.pool.clone())
            .or_default();
        if answer_lengths.len() == MAX_ANSWER_LENGTHS {
            answer_lengths.pop_front();
        }
        answer_lengths.push_back(length);
    }

    fn notify_registrar(&self, pool: &Name, event: RegistrarEvent) {
        if let Some(registrar) = self.registrars.get(pool) {
            // A send fails if the registrar has stopped. The next one reads the whole state when it registers.
            let _ = registrar.send(event);
        }
    }

    fn carry_out(
        &mut self,
        now_us: Micros,
        batch: &OrderBatch,
        order: &Order,
        is_draining: impl Fn(&Name) -> bool,
    ) -> OrderReply {
        let level = self.levels.get(&batch.pool).cloned().unwrap_or_default();
        let Some(held) = self.held.get_mut(&order.id()) else {
            return OrderReply::Gone;
        };
        let outcome = match order {
            Order::Grant { endpoint, .. } if is_draining(endpoint) => {
                return held.rejection_reply(order);
            }
            Order::Grant {
                registration,
                endpoint,
                ..
            } => held.grant(*registration, endpoint),
            Order::Shed {
                registration,
                reason,
                retry_after_ms,
                chain,
                ..
            } => {
                let (rank, tiers) = (held.arrival.meta.rank, held.arrival.tiers);
                if !level.may_shed(now_us, batch.leader, *chain, rank, tiers) {
                    return held.rejection_reply(order);
                }
                held.shed(*registration, *reason, *retry_after_ms)
            }
        };
        if outcome.is_ok() {
            OrderReply::Taken
        } else {
            OrderReply::Gone
        }
    }
}

impl Held {
    fn meta(&self, now_us: Micros) -> RequestMeta {
        RequestMeta {
            waited_us: now_us.saturating_sub(self.arrived_us),
            remaining_us: self.arrival.deadline_us.saturating_sub(now_us),
            ..self.arrival.meta.clone()
        }
    }

    fn update(&self, now_us: Micros) -> Option<Update> {
        match self.lifecycle.stage() {
            Stage::Waiting => Some(Update::Add(self.meta(now_us))),
            Stage::Granted | Stage::Sent => {
                let endpoint = self.endpoint.clone()?;
                Some(Update::Adopt(self.meta(now_us), endpoint))
            }
            Stage::Ended(_) => None,
        }
    }

    fn grant(&mut self, offered: Registration, endpoint: &Name) -> Result<(), LifecycleError> {
        self.lifecycle.grant(offered)?;
        self.endpoint = Some(endpoint.clone());
        let endpoint = endpoint.clone();
        // The receiver is dropped only together with the request, so there is nobody left to notify.
        let _ = self.decisions.send(Decision::Granted { endpoint });
        Ok(())
    }

    fn shed(
        &mut self,
        offered: Registration,
        reason: ShedReason,
        retry_after_ms: u32,
    ) -> Result<(), LifecycleError> {
        let current = self.lifecycle.registration();
        if offered != current {
            return Err(LifecycleError::StaleRegistration { offered, current });
        }
        self.lifecycle.shed()?;
        let _ = self.decisions.send(Decision::Shed {
            reason,
            retry_after_ms,
        });
        Ok(())
    }

    fn rejection_reply(&self, order: &Order) -> OrderReply {
        let waits = self.lifecycle.stage() == Stage::Waiting;
        if waits && order.registration() == self.lifecycle.registration() {
            OrderReply::Waits
        } else {
            OrderReply::Gone
        }
    }

    fn view(&self, now_us: Micros) -> HeldView {
        let meta = &self.arrival.meta;
        HeldView {
            id: meta.id,
            organisation: meta.organisation.clone(),
            tier: self.arrival.tier.clone(),
            service: meta.service.clone(),
            pool: self.arrival.pool.clone(),
            stage: self.lifecycle.stage(),
            endpoint: self.endpoint.clone(),
            prompt_tokens: meta.prompt_tokens,
            age_ms: now_us.saturating_sub(self.arrived_us) / 1_000,
            left_ms: self.arrival.deadline_us.saturating_sub(now_us) / 1_000,
            repeatable: meta.repeatable,
        }
    }
}

impl HeldRequest {
    /// Waits for the next decision of the leader or an operator.
    pub async fn decision(&mut self) -> Decision {
        match self.decisions.recv().await {
            Some(decision) => decision,
            // Does not happen: the registry keeps the sender for as long as this handle exists.
            None => std::future::pending().await,
        }
    }

    /// Marks the request as sent. From then on it is never sent again.
    ///
    /// # Errors
    /// The request holds no grant or was sent before.
    pub fn send(&self) -> Result<(), LifecycleError> {
        self.step(Lifecycle::send)
    }

    /// Returns an unused grant to the leader; no byte of the request was sent.
    ///
    /// # Errors
    /// The request holds no grant.
    pub fn return_grant(&self) -> Result<(), LifecycleError> {
        self.step(Lifecycle::return_grant)?;
        self.notify_leader(Update::Returned(self.id));
        Ok(())
    }

    /// Ends the request as not run.
    ///
    /// # Errors
    /// The request was sent, so it may have run.
    pub fn refuse(&self) -> Result<(), LifecycleError> {
        self.step(Lifecycle::refuse)
    }

    /// Ends a sent request and records the answer's length, if known. `whole` says whether the answer was
    /// received completely.
    ///
    /// # Errors
    /// The request was not sent.
    pub fn finish(&self, whole: bool, output_tokens: Option<u32>) -> Result<(), LifecycleError> {
        self.step(|l| l.finish(whole))?;
        if let Some(tokens) = output_tokens {
            self.registry.lock().record_answer_length(self.id, tokens);
        }
        self.notify_leader(Update::Finished(self.id, output_tokens));
        Ok(())
    }

    /// Returns the request's lifecycle stage.
    pub fn stage(&self) -> Stage {
        let inner = self.registry.lock();
        let ended = Stage::Ended(crate::core::lifecycle::Ending::NotRun);
        inner
            .held
            .get(&self.id)
            .map_or(ended, |h| h.lifecycle.stage())
    }

    /// Forwards an update to the pool's leader through the registrar.
    pub fn notify_leader(&self, update: Update) {
        self.registry.notify_leader(&self.pool, update);
    }

    fn step(
        &self,
        step: impl FnOnce(&mut Lifecycle) -> Result<(), LifecycleError>,
    ) -> Result<(), LifecycleError> {
        let mut inner = self.registry.lock();
        let stage = Stage::Ended(crate::core::lifecycle::Ending::NotRun);
        let held = inner.held.get_mut(&self.id);
        let held = held.ok_or(LifecycleError::WrongStage { stage })?;
        step(&mut held.lifecycle)
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        let mut inner = self.registry.lock();
        inner.held.remove(&self.id);
        // The leader ignores a withdrawal after `Finished`.
        inner.notify_registrar(
            &self.pool,
            RegistrarEvent::Update(Update::Withdraw(self.id)),
        );
    }
}

/// Returns whether a request at this stage is waiting, which proves that it has not run.
pub fn is_waiting(stage: Stage) -> bool {
    matches!(stage, Stage::Waiting | Stage::Granted)
}
