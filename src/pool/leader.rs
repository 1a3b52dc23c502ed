//! The leader of a pool: passes updates from entries and endpoints to the scheduler and sends its
//! decisions to the entries. Its state is not persisted; entries register it again with the next leader.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{
    core::{
        endpoint::LoadReport,
        prefix::CacheEvent,
        scheduler::{Action, EndpointView, Input, Scheduler, WaitingView},
        shedding::LevelRequest,
    },
    entry::registry::OrderReply,
    instance::Instance,
    pool::{
        messages::{Order, OrderBatch, Update, UpdateBatch, UpdatesRefused},
        slice,
    },
    prelude::{Incarnation, Name, Registration, RequestId},
    store::Store,
};

/// A new leader grants nothing until all present instances have registered, or this much time has passed.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(300);
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);
/// A failed endpoint gets no new requests for this long.
const ENDPOINT_QUARANTINE_US: u64 = 1_000_000;

/// A message to the task of a leader.
enum Message {
    Updates(UpdateBatch, oneshot::Sender<Result<(), UpdatesRefused>>),
    Replies(Vec<(Order, OrderReply)>),
    /// Orders to the entry couldn't be delivered.
    Unreachable(Incarnation),
    LevelReply(Incarnation, LevelRequest, bool),
    Load(Name, LoadReport),
    Cache(Name, CacheEvent),
    View(oneshot::Sender<PoolView>),
    Explain(RequestId, oneshot::Sender<Option<String>>),
}

/// The state of a pool at its leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolView {
    /// The pool slice.
    pub pool: String,
    /// The number of waiting requests by tier, from the highest.
    pub waiting_by_tier: Vec<usize>,
    /// The endpoints.
    pub endpoints: Vec<EndpointView>,
    /// The waiting requests, up to a maximum number.
    pub waiting: Vec<WaitingView>,
    /// The registrations of the entries.
    pub entries: Vec<Registration>,
}

const MAX_WAITING_IN_VIEW: usize = 1_000;

/// The pools that this instance leads.
#[derive(Default)]
pub struct Leaders {
    tasks: Mutex<HashMap<Name, mpsc::UnboundedSender<Message>>>,
}

impl Leaders {
    /// Applies an entry's updates to a pool that this instance leads.
    ///
    /// # Errors
    /// This instance doesn't lead the pool or doesn't know the registration.
    pub async fn apply_updates<S: Store>(
        &self,
        instance: &Arc<Instance<S>>,
        batch: UpdateBatch,
    ) -> Result<(), UpdatesRefused> {
        let addressed_here = batch.leader == instance.incarnation;
        if !addressed_here
            || !instance
                .gossip
                .view()
                .leads(&slice::leader_key(&batch.pool))
        {
            return Err(UpdatesRefused::NotLeader);
        }
        let task = self.task(instance, &batch.pool);
        let (sender, answer) = oneshot::channel();
        let sent = task.send(Message::Updates(batch, sender));
        if sent.is_err() {
            return Err(UpdatesRefused::NotLeader);
        }
        answer.await.unwrap_or(Err(UpdatesRefused::NotLeader))
    }

    /// Returns the state of the pools that this instance leads.
    pub async fn views(&self) -> Vec<PoolView> {
        let tasks: Vec<_> = self.lock().values().cloned().collect();
        let mut views = Vec::new();
        for task in tasks {
            let (sender, answer) = oneshot::channel();
            if task.send(Message::View(sender)).is_ok() {
                views.extend(answer.await.ok());
            }
        }
        views.sort_by(|a, b| a.pool.cmp(&b.pool));
        views
    }

    /// Explains the state of a request, for each pool led here that knows the request.
    pub async fn explain(&self, id: RequestId) -> Vec<(Name, String)> {
        let tasks: Vec<_> = self
            .lock()
            .iter()
            .map(|(n, t)| (n.clone(), t.clone()))
            .collect();
        let mut explanations = Vec::new();
        for (pool, task) in tasks {
            let (sender, answer) = oneshot::channel();
            if task.send(Message::Explain(id, sender)).is_ok()
                && let Ok(Some(explanation)) = answer.await
            {
                explanations.push((pool, explanation));
            }
        }
        explanations
    }

    /// Forwards an endpoint's load report to the pool's leader, if this instance leads it.
    pub fn forward_load_report(&self, pool: &Name, endpoint: Name, report: LoadReport) {
        self.send(pool, Message::Load(endpoint, report));
    }

    /// Forwards an endpoint's cache event to the pool's leader, if this instance leads it.
    pub fn forward_cache_event(&self, pool: &Name, endpoint: Name, event: CacheEvent) {
        self.send(pool, Message::Cache(endpoint, event));
    }

    fn send(&self, pool: &Name, message: Message) {
        if let Some(task) = self.lock().get(pool) {
            // Fails if the task has ended: this instance no longer leads the pool.
            let _ = task.send(message);
        }
    }

    fn task<S: Store>(
        &self,
        instance: &Arc<Instance<S>>,
        pool: &Name,
    ) -> mpsc::UnboundedSender<Message> {
        let mut tasks = self.lock();
        if let Some(task) = tasks.get(pool).filter(|t| !t.is_closed()) {
            return task.clone();
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        tasks.insert(pool.clone(), sender.clone());
        let leader = Leader::new(instance.clone(), pool.clone(), sender.downgrade());
        tokio::spawn(leader.run(receiver));
        sender
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Name, mpsc::UnboundedSender<Message>>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Leader<S: Store> {
    instance: Arc<Instance<S>>,
    pool: Name,
    scheduler: Scheduler,
    registrations: HashMap<Incarnation, Registration>,
    tx: mpsc::WeakUnboundedSender<Message>,
    started: time::Instant,
    actions: Vec<Action>,
}

impl<S: Store> Leader<S> {
    fn new(instance: Arc<Instance<S>>, pool: Name, tx: mpsc::WeakUnboundedSender<Message>) -> Self {
        let config = instance.config.current();
        let policy = slice::policy(&config.config, &pool);
        Self {
            scheduler: Scheduler::new(instance.incarnation, policy),
            instance,
            pool,
            registrations: HashMap::new(),
            tx,
            started: time::Instant::now(),
            actions: Vec::new(),
        }
    }

    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        log::info!("started leading pool {}", self.pool);
        self.instance.metrics.leads_taken.inc();
        let mut view = self.instance.gossip.watch();
        let mut config = self.instance.config.watch();
        let mut tick = time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        self.configure();
        self.apply_membership();
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                _ = view.changed() => {
                    if !view.borrow_and_update().leads(&slice::leader_key(&self.pool)) {
                        break;
                    }
                    self.apply_membership();
                }
                _ = config.changed() => self.configure(),
                _ = tick.tick() => self.scheduler.tick(self.instance.clock.now_us()),
                count = messages.recv_many(&mut batch, 256) => {
                    if count == 0 {
                        break;
                    }
                    for message in batch.drain(..) {
                        self.handle(message);
                    }
                }
            }
            self.decide();
        }
        log::info!("stopped leading pool {}", self.pool);
    }

    fn configure(&mut self) {
        let now_us = self.instance.clock.now_us();
        let config = self.instance.config.current();
        let drains = self.instance.config.drains();
        let spec = slice::pool_spec(&config.config, &drains, &self.pool, now_us);
        self.scheduler
            .set_policy(slice::policy(&config.config, &self.pool));
        self.scheduler.configure(spec);
    }

    /// Applies the membership view: drops the requests of absent entries and sets the instances that
    /// must confirm a level before requests are shed.
    fn apply_membership(&mut self) {
        let view = self.instance.gossip.view();
        let now_us = self.instance.clock.now_us();
        let absent: Vec<Incarnation> = self
            .registrations
            .keys()
            .filter(|i| !view.member(**i).is_some_and(|m| m.is_present()))
            .copied()
            .collect();
        for entry in absent {
            self.registrations.remove(&entry);
            self.scheduler.handle(now_us, Input::EntryRemoved(entry));
        }
        self.scheduler
            .set_confirming_instances(view.may_hold_requests());
    }

    fn is_settled(&self) -> bool {
        if self.started.elapsed() > SETTLE_TIMEOUT {
            return true;
        }
        let view = self.instance.gossip.view();
        view.present()
            .all(|m| self.registrations.contains_key(&m.info.incarnation))
    }

    fn handle(&mut self, message: Message) {
        let now_us = self.instance.clock.now_us();
        match message {
            Message::Updates(batch, answer) => {
                let result = self.handle_updates(now_us, batch);
                // Fails if the entry no longer waits for the answer; it will register again.
                let _ = answer.send(result);
            }
            Message::Replies(replies) => self.handle_replies(now_us, replies),
            Message::Unreachable(entry) => {
                // Which orders the entry received is unknown, so it has to register again.
                self.registrations.remove(&entry);
                self.scheduler.handle(now_us, Input::EntryRemoved(entry));
            }
            Message::LevelReply(from, request, held) => {
                self.scheduler
                    .handle(now_us, Input::LevelReply(from, request, held));
            }
            Message::Load(endpoint, report) => {
                self.scheduler.handle(now_us, Input::Load(endpoint, report));
            }
            Message::Cache(endpoint, event) => {
                self.scheduler.handle(now_us, Input::Cache(endpoint, event));
            }
            Message::Explain(id, answer) => {
                let _ = answer.send(self.scheduler.explain(now_us, id));
            }
            Message::View(answer) => {
                let _ = answer.send(self.view(now_us));
            }
        }
    }

    fn handle_updates(&mut self, now_us: u64, batch: UpdateBatch) -> Result<(), UpdatesRefused> {
        let registration = batch.registration;
        let known = self.registrations.get(&registration.entry);
        if batch.attach {
            if known.is_some_and(|k| k.epoch >= registration.epoch) {
                return Err(UpdatesRefused::NotRegistered);
            }
            self.registrations.insert(registration.entry, registration);
            self.scheduler.handle(now_us, Input::Attach(registration));
        } else if known != Some(&registration) {
            return Err(UpdatesRefused::NotRegistered);
        }
        for update in batch.updates {
            let input = scheduler_input(now_us, registration, update);
            self.scheduler.handle(now_us, input);
        }
        Ok(())
    }

    fn handle_replies(&mut self, now_us: u64, replies: Vec<(Order, OrderReply)>) {
        for (order, reply) in replies {
            let waits = match reply {
                OrderReply::Taken => continue,
                OrderReply::Waits => true,
                OrderReply::Gone => false,
            };
            let input = Input::OrderRejected(order.registration(), order.id(), waits);
            self.scheduler.handle(now_us, input);
        }
    }

    fn decide(&mut self) {
        if !self.is_settled() {
            return;
        }
        let now_us = self.instance.clock.now_us();
        let decision_start = std::time::Instant::now();
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.decide(now_us, &mut actions);
        if !actions.is_empty() {
            let each = decision_start.elapsed().as_secs_f64() / actions.len() as f64;
            self.instance.metrics.decision_seconds.observe(each);
        }
        let mut by_entry: BTreeMap<Incarnation, Vec<Order>> = BTreeMap::new();
        for action in actions.drain(..) {
            match order_for(action) {
                Ok((entry, order)) => by_entry.entry(entry).or_default().push(order),
                Err(request) => self.request_level(request),
            }
        }
        self.actions = actions;
        for (entry, orders) in by_entry {
            self.send_orders(entry, orders);
        }
    }

    fn send_orders(&self, entry: Incarnation, orders: Vec<Order>) {
        let batch = OrderBatch {
            pool: self.pool.clone(),
            leader: self.instance.incarnation,
            orders,
        };
        let Some(tx) = self.tx.upgrade() else { return };
        if entry == self.instance.incarnation {
            let replies = self.instance.carry_out(&batch);
            let replies = batch.orders.into_iter().zip(replies).collect();
            let _ = tx.send(Message::Replies(replies));
            return;
        }
        let view = self.instance.gossip.view();
        let Some(addr) = view.member(entry).map(|m| m.info.peer_addr) else {
            let _ = tx.send(Message::Unreachable(entry));
            return;
        };
        let instance = self.instance.clone();
        tokio::spawn(async move {
            let orders = batch.orders.clone();
            let call = instance
                .peers
                .call(addr, ORDER_TIMEOUT, |client, context| async move {
                    client.orders(context, batch).await
                });
            let message = match call.await {
                Ok(replies) => Message::Replies(orders.into_iter().zip(replies).collect()),
                Err(_) => Message::Unreachable(entry),
            };
            let _ = tx.send(message);
        });
    }

    fn request_level(&self, request: LevelRequest) {
        let view = self.instance.gossip.view();
        for entry in view.may_hold_requests() {
            let Some(tx) = self.tx.upgrade() else { return };
            if entry == self.instance.incarnation {
                let held = self.instance.registry.hold_level(&self.pool, request);
                let _ = tx.send(Message::LevelReply(entry, request, held));
                continue;
            }
            // An instance that can't be reached never confirms, so no level is confirmed without it.
            let Some(addr) = view.member(entry).map(|m| m.info.peer_addr) else {
                continue;
            };
            let (instance, pool) = (self.instance.clone(), self.pool.clone());
            tokio::spawn(async move {
                let call = instance
                    .peers
                    .call(addr, ORDER_TIMEOUT, |client, context| async move {
                        client.hold_level(context, pool, request).await
                    });
                if let Ok(held) = call.await {
                    let _ = tx.send(Message::LevelReply(entry, request, held));
                }
            });
        }
    }

    fn view(&self, now_us: u64) -> PoolView {
        PoolView {
            pool: self.pool.to_string(),
            waiting_by_tier: self.scheduler.waiting_by_tier(),
            endpoints: self.scheduler.endpoints().collect(),
            waiting: self
                .scheduler
                .waiting(now_us)
                .take(MAX_WAITING_IN_VIEW)
                .collect(),
            entries: self.registrations.values().copied().collect(),
        }
    }
}

fn scheduler_input(now_us: u64, registration: Registration, update: Update) -> Input {
    match update {
        Update::Add(meta) => Input::Add(registration, meta),
        Update::Adopt(meta, endpoint) => Input::Adopt(registration, meta, endpoint),
        Update::Seen(seen) => Input::ObservedLength(seen),
        Update::Withdraw(id) => Input::Withdraw(id),
        Update::Returned(id) => Input::Returned(id),
        Update::FirstToken(id) => Input::FirstToken(id),
        Update::Progress(id, tokens, span_us) => Input::Progress(id, tokens, span_us),
        Update::Finished(id, tokens) => Input::Finished(id, tokens),
        Update::EndpointFailed(name) => Input::Quarantine(name, now_us + ENDPOINT_QUARANTINE_US),
    }
}

fn order_for(action: Action) -> Result<(Incarnation, Order), LevelRequest> {
    match action {
        Action::Grant {
            registration,
            id,
            endpoint,
            cached_tokens,
        } => {
            let order = Order::Grant {
                registration,
                id,
                endpoint,
                cached_tokens,
            };
            Ok((registration.entry, order))
        }
        Action::Shed {
            registration,
            id,
            reason,
            retry_after_ms,
            chain,
        } => {
            let order = Order::Shed {
                registration,
                id,
                reason,
                retry_after_ms,
                chain,
            };
            Ok((registration.entry, order))
        }
        Action::RequestLevel(request) => Err(request),
    }
}
