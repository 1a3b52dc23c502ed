//! The requests that this instance holds, each with its state machine.
//!
//! One lock covers the requests and the levels held for shedding, so that an arrival, a question
//! about what is kept and an order to shed never interleave.

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

/// What was decided about a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It may be sent to the endpoint.
    Granted {
        /// Where to.
        endpoint: Name,
    },
    /// It is refused as not run.
    Shed {
        /// Why.
        reason: ShedReason,
        /// When the caller may come back, in milliseconds.
        retry_after_ms: u32,
    },
    /// An operator cancelled it.
    Cancelled,
}

/// Something that a registrar has to tell its leader.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistrarEvent {
    /// A request has come; its data are looked up when this is sent.
    Added(RequestId),
    /// Anything else.
    Update(Update),
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The pool slice it is for.
    pub pool: Name,
    /// What the scheduler is to know; times are filled in when it is sent.
    pub meta: RequestMeta,
    /// Its deadline on this process's clock.
    pub deadline_us: Micros,
    /// Number of tiers in the configuration.
    pub tiers: usize,
    /// The name of its tier.
    pub tier: Name,
}

struct Held {
    arrival: Arrival,
    arrived_us: Micros,
    lifecycle: Lifecycle,
    endpoint: Option<Name>,
    decisions: mpsc::UnboundedSender<Decision>,
}

/// One held request, as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldView {
    /// Its id.
    pub id: RequestId,
    /// Its organisation.
    pub organisation: Name,
    /// Its tier.
    pub tier: Name,
    /// The service called.
    pub service: Name,
    /// The pool slice.
    pub pool: Name,
    /// Where it stands.
    pub stage: Stage,
    /// Where it runs, if it does.
    pub endpoint: Option<Name>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Time since its arrival, in milliseconds.
    pub age_ms: u64,
    /// Time left to its deadline, in milliseconds.
    pub left_ms: u64,
    /// Whether a second run would do no harm.
    pub repeatable: bool,
}

#[derive(Default)]
struct Inner {
    held: HashMap<RequestId, Held>,
    levels: HashMap<Name, HeldLevel>,
    registrations: HashMap<Name, Registration>,
    registrars: HashMap<Name, mpsc::UnboundedSender<RegistrarEvent>>,
    /// Lengths of the last answers, for the next leader of each pool.
    answer_lengths: HashMap<Name, VecDeque<AnswerLength>>,
}

/// How many lengths of answers an entry remembers for each pool.
pub const MAX_ANSWER_LENGTHS: usize = 300;

/// The requests that this instance holds.
pub struct Registry {
    incarnation: Incarnation,
    clock: Clock,
    next_seq: AtomicU64,
    inner: Mutex<Inner>,
}

/// A held request's place in the registry; dropping it withdraws the request.
pub struct HeldRequest {
    /// Its id.
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

    /// Returns an id that no other arrival has.
    pub fn next_id(&self) -> RequestId {
        RequestId {
            entry: self.incarnation,
            seq: self.next_seq.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Takes a request in.
    ///
    /// # Errors
    /// Its tier is being shed for the pool; it was not taken.
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

    /// Returns the channel on which a pool's notes come, and from then on sends them there.
    pub fn subscribe(&self, pool: &Name) -> mpsc::UnboundedReceiver<RegistrarEvent> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.lock().registrars.insert(pool.clone(), sender);
        receiver
    }

    /// Begins a new registration for a pool; returns it with all that is held.
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

    /// Returns the data of a request that still waits.
    pub fn waiting_meta(&self, id: RequestId) -> Option<RequestMeta> {
        let now_us = self.clock.now_us();
        let inner = self.lock();
        let held = inner.held.get(&id)?;
        (held.lifecycle.stage() == Stage::Waiting).then(|| held.meta(now_us))
    }

    /// Carries out a leader's orders; says of each whether it was taken.
    ///
    /// `is_draining` says whether an endpoint is known here to take no new work.
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

    /// Answers a leader that asks to hold a level for a pool.
    pub fn hold_level(&self, pool: &Name, request: LevelRequest) -> bool {
        let now_us = self.clock.now_us();
        let mut inner = self.lock();
        let holds_such_request = inner.held.values().any(|h| {
            let kept = is_waiting(h.lifecycle.stage());
            let needed = level_needed(h.arrival.meta.rank, h.arrival.tiers) + 1;
            kept && h.arrival.pool == *pool && needed <= request.level
        });
        let level = inner.levels.entry(pool.clone()).or_default();
        level.try_hold(now_us, request, holds_such_request)
    }

    /// Cancels a request on an operator's word; returns whether it was held.
    pub fn cancel(&self, id: RequestId) -> bool {
        let inner = self.lock();
        let held = inner.held.get(&id);
        held.is_some_and(|h| h.decisions.send(Decision::Cancelled).is_ok())
    }

    /// Returns the registration in force for a pool.
    pub fn registration(&self, pool: &Name) -> Registration {
        self.lock().registration(self.incarnation, pool)
    }

    /// Returns the registrations in force, by pool slice.
    pub fn registrations(&self) -> BTreeMap<Name, Registration> {
        let inner = self.lock();
        inner
            .registrations
            .iter()
            .map(|(pool, r)| (pool.clone(), *r))
            .collect()
    }

    /// Returns the number of requests held.
    pub fn len(&self) -> usize {
        self.lock().held.len()
    }

    /// Returns whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many wait and how many run.
    pub fn counts(&self) -> (usize, usize) {
        let inner = self.lock();
        let held = inner.held.values();
        let waiting = held.filter(|h| is_waiting(h.lifecycle.stage())).count();
        (waiting, inner.held.len() - waiting)
    }

    /// Returns how many wait, by tier.
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

    /// Returns the ids of all that is held.
    pub fn ids(&self) -> Vec<RequestId> {
        self.lock().held.keys().copied().collect()
    }

    /// Returns those of the requests that are still held, as operators see them.
    ///
    /// Large sets are asked for in parts, so that the lock is held for a short time only.
    pub fn views_of(&self, ids: &[RequestId]) -> Vec<HeldView> {
        let now_us = self.clock.now_us();
        let inner = self.lock();
        let held = ids.iter().filter_map(|id| inner.held.get(id));
        held.map(|h| h.view(now_us)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Every step leaves the state whole, so a poisoned lock is usable.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What became of one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// It was carried out.
    Taken,
    /// It was not, and the request waits on here.
    Waits,
    /// It was not, and the request does not wait under that registration.
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
            // Without a registrar the next one reads the whole state when it registers.
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
        // The task that waits for this drops its end only together with the request.
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
    /// Waits for what the leader, or an operator, decides.
    pub async fn decision(&mut self) -> Decision {
        match self.decisions.recv().await {
            Some(decision) => decision,
            // The registry holds the other end for as long as this exists.
            None => std::future::pending().await,
        }
    }

    /// Marks the request as sent; the one step after which it is never sent again.
    ///
    /// # Errors
    /// It holds no grant, or was sent before.
    pub fn send(&self) -> Result<(), LifecycleError> {
        self.step(Lifecycle::send)
    }

    /// Gives a grant back, no byte having been sent.
    ///
    /// # Errors
    /// It holds no grant.
    pub fn return_grant(&self) -> Result<(), LifecycleError> {
        self.step(Lifecycle::return_grant)?;
        self.notify_leader(Update::Returned(self.id));
        Ok(())
    }

    /// Refuses the request as not run.
    ///
    /// # Errors
    /// It was sent, so this cannot be said.
    pub fn refuse(&self) -> Result<(), LifecycleError> {
        self.step(Lifecycle::refuse)
    }

    /// Ends a sent request.
    ///
    /// # Errors
    /// It was not sent.
    pub fn finish(&self, whole: bool, output_tokens: Option<u32>) -> Result<(), LifecycleError> {
        self.step(|l| l.finish(whole))?;
        if let Some(tokens) = output_tokens {
            self.registry.lock().record_answer_length(self.id, tokens);
        }
        self.notify_leader(Update::Finished(self.id, output_tokens));
        Ok(())
    }

    /// Returns where it stands.
    pub fn stage(&self) -> Stage {
        let inner = self.registry.lock();
        let ended = Stage::Ended(crate::core::lifecycle::Ending::NotRun);
        inner
            .held
            .get(&self.id)
            .map_or(ended, |h| h.lifecycle.stage())
    }

    /// Passes something on to the pool's leader.
    pub fn notify_leader(&self, update: Update) {
        self.registry
            .lock()
            .notify_registrar(&self.pool, RegistrarEvent::Update(update));
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
        // After a `Finished` this changes nothing.
        inner.notify_registrar(
            &self.pool,
            RegistrarEvent::Update(Update::Withdraw(self.id)),
        );
    }
}

/// Returns whether a request at this stage waits; it has provably not run.
pub fn is_waiting(stage: Stage) -> bool {
    matches!(stage, Stage::Waiting | Stage::Granted)
}
