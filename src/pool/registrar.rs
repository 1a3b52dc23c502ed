//! Keeps this entry registered with the leader of a pool and sends it updates.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time};
use tokio_util::sync::CancellationToken;

use crate::{
    entry::registry::RegistrarEvent,
    instance::Instance,
    peers::view::Member,
    pool::{
        messages::{Update, UpdateBatch, UpdatesRefused},
        slice,
    },
    prelude::{Incarnation, Name, Registration},
    store::Store,
};

/// An entry without updates sends an empty batch at this interval.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
const RETRY_DELAY: Duration = Duration::from_millis(30);
const MAX_BATCH: usize = 2_000;

/// Runs one pool's registrar until cancelled.
pub async fn run<S: Store>(instance: Arc<Instance<S>>, pool: Name, stop: CancellationToken) {
    let notes = instance.registry.subscribe(&pool);
    let registrar = Registrar {
        instance,
        pool,
        notes,
        registered: None,
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = registrar.run() => {}
    }
}

struct Registrar<S: Store> {
    instance: Arc<Instance<S>>,
    pool: Name,
    notes: mpsc::UnboundedReceiver<RegistrarEvent>,
    registered: Option<(Incarnation, Registration)>,
}

impl<S: Store> Registrar<S> {
    async fn run(mut self) {
        let mut view = self.instance.gossip.watch();
        loop {
            let leader = view
                .borrow_and_update()
                .leader(&slice::leader_key(&self.pool))
                .cloned();
            let Some(leader) = leader else {
                // There is no leader while every instance is leaving; requests wait until there is one.
                let _ = time::timeout(KEEPALIVE_INTERVAL, view.changed()).await;
                continue;
            };
            let current = self.instance.registry.registration(&self.pool);
            let valid = self.registered.filter(|(to, registration)| {
                *to == leader.info.incarnation && *registration == current
            });
            match valid {
                None => self.register(&leader).await,
                Some((_, registration)) => {
                    tokio::select! {
                        _ = view.changed() => {}
                        updates = collect_updates(&self.instance, &mut self.notes) => {
                            self.send_updates(&leader, registration, updates).await;
                        }
                    }
                }
            }
        }
    }

    async fn register(&mut self, leader: &Member) {
        // Earlier notes are contained in the state that is read below.
        while self.notes.try_recv().is_ok() {}
        // From here on grants under earlier registrations are rejected, so there is no valid registration.
        self.registered = None;
        let (registration, updates) = self.instance.registry.reregister(&self.pool);
        self.instance.metrics.registrations.inc();
        let batch = self.batch(leader, registration, updates, true);
        if self.send(leader, batch).await {
            self.registered = Some((leader.info.incarnation, registration));
        } else {
            time::sleep(RETRY_DELAY).await;
        }
    }

    async fn send_updates(
        &mut self,
        leader: &Member,
        registration: Registration,
        updates: Vec<Update>,
    ) {
        let batch = self.batch(leader, registration, updates, false);
        if !self.send(leader, batch).await {
            // The leader may or may not have applied the batch, so register again with the full state.
            self.registered = None;
            time::sleep(RETRY_DELAY).await;
        }
    }

    fn batch(
        &self,
        leader: &Member,
        registration: Registration,
        updates: Vec<Update>,
        attach: bool,
    ) -> UpdateBatch {
        UpdateBatch {
            pool: self.pool.clone(),
            leader: leader.info.incarnation,
            registration,
            attach,
            updates,
        }
    }

    async fn send(&self, leader: &Member, batch: UpdateBatch) -> bool {
        let result = if leader.info.incarnation == self.instance.incarnation {
            self.instance
                .leaders
                .apply_updates(&self.instance, batch)
                .await
        } else {
            let addr = leader.info.peer_addr;
            let call = self
                .instance
                .peers
                .call(addr, CALL_TIMEOUT, |client, context| async move {
                    client.updates(context, batch).await
                });
            // The leader may have applied the batch in spite of an error; registering again resolves that.
            call.await.unwrap_or(Err(UpdatesRefused::NotRegistered))
        };
        result.is_ok()
    }
}

/// Waits for updates; returns an empty batch after [`KEEPALIVE_INTERVAL`].
async fn collect_updates<S: Store>(
    instance: &Instance<S>,
    notes: &mut mpsc::UnboundedReceiver<RegistrarEvent>,
) -> Vec<Update> {
    let mut batch = Vec::new();
    // `recv_many` is cancel safe: no note is lost.
    let _ = time::timeout(KEEPALIVE_INTERVAL, notes.recv_many(&mut batch, MAX_BATCH)).await;
    let updates = batch.into_iter().filter_map(|note| match note {
        RegistrarEvent::Added(id) => instance.registry.waiting_meta(id).map(Update::Add),
        RegistrarEvent::Update(update) => Some(update),
    });
    updates.collect()
}
