//! One instance: everything it holds, and its start and planned stop.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use futures::{StreamExt, future};
use rand::RngExt;
use snafu::{ResultExt, Snafu};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{
    net::TcpListener,
    sync::Notify,
    task::{JoinHandle, JoinSet},
    time,
};
use tokio_util::sync::CancellationToken;

use crate::{
    clock::Clock,
    config::{Config, version::Hash},
    core::shedding::LevelRequest,
    distribution::{self, ConfigState},
    endpoint::poll,
    entry::{
        claims::{self, ClaimAnswer, ClaimAsk, Keepers},
        http,
        parse::{KeyMap, key_map},
        recorder::Recorder,
        registry::{OrderReply, Registry},
        tickets::{Ticket, TicketAnswer, Tickets},
    },
    metrics::{Metrics, Readings},
    operator::{self, drains::DrainOrder, log::CommandLog},
    peers::{
        datagram::MemberInfo,
        gossip::Gossip,
        membership::Membership,
        rpc::{ConfigCopy, MAX_FRAME_BYTES, Peer, PeerClients, QueryPart, RpcCounts, SealedCodec},
    },
    pool::{
        leader::Leaders,
        messages::{OrderBatch, UpdateBatch, UpdatesRefused},
        registrar, slice,
    },
    prelude::{Incarnation, Name, RequestId},
    settings::Settings,
    store::Store,
};

const CATCH_UP_INTERVAL: Duration = Duration::from_millis(200);
const CLAIM_CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// After its leaving is known, an instance waits this long before it stops taking requests, so that
/// the balancer sees it as not ready first.
const UNREADY_BEFORE_CLOSING: Duration = Duration::from_millis(1_500);
const CALLS_AT_ONCE: usize = 1_000;

/// Why an instance did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be bound.
    #[snafu(display("cannot listen for {what} on {addr}"))]
    Bind {
        /// Who was to be listened for.
        what: &'static str,
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

/// Everything that one instance holds.
pub struct Instance<S: Store> {
    /// Its settings.
    pub settings: Settings,
    /// This start of it.
    pub incarnation: Incarnation,
    /// Its clock.
    pub clock: Clock,
    /// The platform.
    pub store: S,
    /// The configuration and drain orders in force.
    pub config: ConfigState,
    /// The other instances, as they are seen.
    pub gossip: Gossip,
    /// Connections to them.
    pub peers: PeerClients,
    /// The requests held here.
    pub registry: Arc<Registry>,
    /// The pools led here.
    pub leaders: Leaders,
    /// The claims kept here.
    pub claims: Keepers<S>,
    /// The tickets handed out here.
    pub tickets: Tickets,
    /// The requests that ended here.
    pub recorder: Recorder,
    /// The commands given here.
    pub commands: CommandLog,
    /// The counters.
    pub metrics: Arc<Metrics>,
    rpc_counts: Arc<RpcCounts>,
    keys: ArcSwap<KeyMap>,
    ready: AtomicBool,
    stop_requested: Notify,
    stopping: AtomicBool,
}

/// A started instance.
pub struct Running<S: Store> {
    /// The instance.
    pub instance: Arc<Instance<S>>,
    tasks: JoinSet<()>,
    caller_task: JoinHandle<()>,
    callers: CancellationToken,
    rest: CancellationToken,
}

impl<S: Store> Instance<S> {
    /// Returns whether requests are taken.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub fn request_stop(&self) {
        self.stop_requested.notify_one();
    }

    /// Returns the organisations by their keys.
    pub fn keys(&self) -> Arc<KeyMap> {
        self.keys.load_full()
    }

    /// Returns what is shown with the counters.
    pub fn readings(&self) -> Readings {
        let (waiting, running) = self.registry.counts();
        let gossip = &self.gossip.counts;
        let load = |a: &std::sync::atomic::AtomicU64| a.load(Ordering::Relaxed);
        Readings {
            waiting,
            running,
            config_version: self.config.current().version,
            control_sent_bytes: load(&gossip.sent_bytes) + load(&self.rpc_counts.sent_bytes),
            control_received_bytes: load(&gossip.received_bytes)
                + load(&self.rpc_counts.received_bytes),
            datagrams_dropped: load(&gossip.dropped),
        }
    }

    /// Carries out a leader's orders about requests held here.
    pub fn carry_out(&self, batch: &OrderBatch) -> Vec<OrderReply> {
        let config = self.config.current();
        let drains = self.config.drains();
        let replies = self.registry.carry_out(batch, |name| {
            let endpoint = config.config.endpoint(name);
            endpoint.is_none_or(|e| e.draining || drains.is_draining(&e.name, &e.hall))
        });
        let refused = replies.iter().filter(|r| **r != OrderReply::Taken).count();
        self.metrics.orders_refused.inc_by(refused as u64);
        replies
    }

    /// Claims a key with its shard's keeper, wherever that is.
    pub async fn claim(&self, ask: ClaimAsk) -> ClaimAnswer {
        let shard = claims::shard_of(&ask.key);
        let view = self.gossip.view();
        let keeper = view.leader(&claims::subject(shard));
        let away = keeper.filter(|k| k.info.incarnation != self.incarnation);
        if let Some(keeper) = away {
            let call = self.peers.call(
                keeper.info.peer_addr,
                CLAIM_CALL_TIMEOUT,
                |client, context| async move { client.claim(context, shard, vec![ask]).await },
            );
            if let Ok(answers) = call.await {
                return answers.first().copied().unwrap_or(ClaimAnswer::Unavailable);
            }
            // The keeper may have claimed it all the same: found under this id, it is ours.
        }
        self.claims.claim(shard, ask, self.remember()).await
    }

    /// Gives up a claim whose request provably did not run.
    pub fn release_claim(self: Arc<Self>, ask: ClaimAsk) {
        let shard = claims::shard_of(&ask.key);
        let view = self.gossip.view();
        let keeper = view.leader(&claims::subject(shard));
        let away = keeper.filter(|k| k.info.incarnation != self.incarnation);
        let Some(addr) = away.map(|k| k.info.peer_addr) else {
            self.claims.release(shard, ask, self.remember());
            return;
        };
        tokio::spawn(async move {
            let call = self
                .peers
                .call(addr, CLAIM_CALL_TIMEOUT, |client, context| async move {
                    client.release(context, shard, vec![ask]).await
                });
            // Lost, the key stays claimed: a later arrival is told that the outcome is unknown.
            let _ = call.await;
        });
    }

    /// Asks whoever handed out a ticket for leave to use it; none if that start cannot be asked.
    pub async fn use_ticket(&self, ticket: Ticket, by: RequestId) -> Option<TicketAnswer> {
        if ticket.issuer == self.incarnation {
            return Some(self.tickets.take(ticket, by));
        }
        let view = self.gossip.view();
        let addr = view.member(ticket.issuer)?.info.peer_addr;
        let call = self
            .peers
            .call(addr, CLAIM_CALL_TIMEOUT, |client, context| async move {
                client.use_ticket(context, ticket, by).await
            });
        call.await.ok()
    }

    fn remember(&self) -> Duration {
        Duration::from_secs(self.config.current().config.policy.remember_keys_s)
    }
}

/// Starts an instance.
///
/// # Errors
/// One of its addresses cannot be bound.
pub async fn start<S: Store>(settings: Settings, store: S) -> Result<Running<S>, StartError> {
    let clock = Clock::default();
    let incarnation = Incarnation(rand::rng().random_range(1..u64::MAX));
    let caller_listener = bind("callers", settings.caller_addr).await?;
    let operator_listener = bind("operators", settings.operator_addr).await?;
    let peer_listener = bind("peers", settings.peer_addr).await?;
    let gossip = start_gossip(&settings, incarnation, clock).await?;
    let rpc_counts = Arc::new(RpcCounts::default());
    let cluster_key = settings.cluster_key.expose().as_bytes();
    let codec = SealedCodec::new(cluster_key, rpc_counts.clone());
    let instance = Arc::new(Instance {
        incarnation,
        clock,
        config: ConfigState::default(),
        gossip,
        peers: PeerClients::new(codec.clone()),
        registry: Arc::new(Registry::new(incarnation, clock)),
        leaders: Leaders::default(),
        claims: Keepers::new(store.clone()),
        tickets: Tickets::new(incarnation),
        recorder: Recorder::new(settings.record_requests),
        commands: CommandLog::default(),
        metrics: Metrics::new(),
        rpc_counts,
        keys: ArcSwap::default(),
        ready: AtomicBool::new(false),
        stop_requested: Notify::new(),
        stopping: AtomicBool::new(false),
        store,
        settings,
    });
    let callers = CancellationToken::new();
    let serving = http::serve(instance.clone(), caller_listener, callers.clone());
    let mut running = Running {
        instance: instance.clone(),
        tasks: JoinSet::new(),
        caller_task: tokio::spawn(serving),
        callers,
        rest: CancellationToken::new(),
    };
    running.spawn_control(peer_listener, codec);
    running.spawn(operator::http::serve(instance.clone(), operator_listener));
    running.spawn(clock.watch_for_suspensions());
    running.spawn(become_ready(instance));
    Ok(running)
}

async fn bind(what: &'static str, addr: SocketAddr) -> Result<TcpListener, StartError> {
    http::bind(addr).await.context(BindSnafu { what, addr })
}

async fn start_gossip(
    settings: &Settings,
    incarnation: Incarnation,
    clock: Clock,
) -> Result<Gossip, StartError> {
    let info = MemberInfo {
        name: settings.name.clone(),
        incarnation,
        peer_addr: settings.peer_addr,
        hall: settings.hall.clone(),
        data_centre: settings.data_centre.clone(),
        beat: 1,
        leaving: false,
    };
    let membership = Membership::new(info, settings.seeds.clone(), incarnation.0);
    let key = settings.cluster_key.expose().as_bytes();
    let addr = settings.peer_addr;
    let bound = Gossip::bind(addr, membership, key, clock).await;
    bound.context(BindSnafu {
        what: "datagrams",
        addr,
    })
}

async fn become_ready<S: Store>(instance: Arc<Instance<S>>) {
    while !distribution::catch_up(&instance).await {
        time::sleep(CATCH_UP_INTERVAL).await;
    }
    if !instance.is_stopping() {
        log::info!("ready, configuration {}", instance.config.current().version);
        instance.ready.store(true, Ordering::Relaxed);
    }
}

/// Keeps the map of keys, and a registrar for each pool slice that this entry uses.
async fn follow_config<S: Store>(instance: Arc<Instance<S>>, stop: CancellationToken) {
    let mut changed = instance.config.watch();
    let mut registrars: std::collections::HashMap<Name, CancellationToken> = Default::default();
    loop {
        let current = instance.config.current();
        instance.keys.store(Arc::new(key_map(&current.config)));
        let wanted = own_slices(&current.config, &instance.settings.data_centre);
        for pool in &wanted {
            if !registrars.contains_key(pool) {
                let token = stop.child_token();
                registrars.insert(pool.clone(), token.clone());
                tokio::spawn(registrar::run(instance.clone(), pool.clone(), token));
            }
        }
        // A pool that is gone keeps its registrar until its last request has ended.
        if changed.changed().await.is_err() {
            return;
        }
    }
}

fn own_slices(config: &Config, data_centre: &str) -> Vec<Name> {
    let pools = config.pools.iter();
    pools
        .map(|p| slice::slice_for(config, p, data_centre))
        .collect()
}

impl<S: Store> Running<S> {
    fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.rest.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task => {}
            }
        });
    }

    fn spawn_control(&mut self, peer_listener: TcpListener, codec: SealedCodec) {
        let instance = self.instance.clone();
        let stop = self.rest.clone();
        self.spawn({
            let (instance, stop) = (instance.clone(), stop.clone());
            async move { instance.gossip.run(stop).await }
        });
        self.spawn(serve_peers(instance.clone(), peer_listener, codec));
        self.spawn(follow_config(instance.clone(), stop));
        self.spawn(distribution::watch_platform(instance.clone()));
        self.spawn(distribution::follow_peers(instance.clone()));
        self.spawn(distribution::follow_instance_list(instance.clone()));
        self.spawn(distribution::persist_drains(instance.clone()));
        self.spawn(poll::run(instance));
    }

    /// Waits until a planned stop is asked for by a command.
    pub async fn stop_requested(&self) {
        self.instance.stop_requested.notified().await;
    }

    /// Stops as planned: is seen as not ready, hands on what it leads, lets every request here come
    /// to its end, says goodbye. Returns whether all came to their end in time.
    pub async fn stop(mut self) -> bool {
        let instance = &self.instance;
        log::info!("planned stop begins");
        instance.stopping.store(true, Ordering::Relaxed);
        instance.ready.store(false, Ordering::Relaxed);
        instance.gossip.leave();
        time::sleep(UNREADY_BEFORE_CLOSING).await;
        self.callers.cancel();
        let timeout = Duration::from_millis(instance.settings.stop_timeout_ms);
        // Ends when the last connection does, which is after the last answer's last byte.
        let whole = time::timeout(timeout, &mut self.caller_task).await.is_ok();
        instance.gossip.goodbye().await;
        self.rest.cancel();
        while self.tasks.join_next().await.is_some() {}
        log::info!("stopped");
        whole
    }

    /// Ends at once, as a crash would; for tests.
    pub fn kill(mut self) {
        self.caller_task.abort();
        self.rest.cancel();
        self.tasks.abort_all();
    }
}

async fn serve_peers<S: Store>(
    instance: Arc<Instance<S>>,
    listener: TcpListener,
    codec: SealedCodec,
) {
    let incoming = tarpc::serde_transport::tcp::listen_on(listener, move || codec.clone()).await;
    let Ok(mut incoming) = incoming else {
        log::error!("peers cannot be listened for");
        return;
    };
    incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let mut channels = JoinSet::new();
    while let Some(transport) = incoming.next().await {
        let Ok(transport) = transport else { continue };
        let server = PeerServer {
            instance: instance.clone(),
        };
        let channel = BaseChannel::with_defaults(transport);
        channels.spawn(
            channel
                .execute(server.serve())
                .for_each_concurrent(CALLS_AT_ONCE, |call| call),
        );
        while channels.try_join_next().is_some() {}
    }
    future::pending::<()>().await;
}

struct PeerServer<S: Store> {
    instance: Arc<Instance<S>>,
}

impl<S: Store> Clone for PeerServer<S> {
    fn clone(&self) -> Self {
        Self {
            instance: self.instance.clone(),
        }
    }
}

impl<S: Store> Peer for PeerServer<S> {
    async fn updates(self, _: Context, batch: UpdateBatch) -> Result<(), UpdatesRefused> {
        self.instance
            .leaders
            .apply_updates(&self.instance, batch)
            .await
    }

    async fn orders(self, _: Context, batch: OrderBatch) -> Vec<OrderReply> {
        self.instance.carry_out(&batch)
    }

    async fn hold_level(self, _: Context, pool: Name, ask: LevelRequest) -> bool {
        self.instance.registry.hold_level(&pool, ask)
    }

    async fn config_after(self, _: Context, version: u64, hash: Hash) -> ConfigCopy {
        self.instance.config.copy_after(version, hash)
    }

    async fn exchange_drains(self, _: Context, orders: Vec<DrainOrder>) -> Vec<DrainOrder> {
        self.instance.config.merge_drains(orders);
        self.instance.config.drains().orders().cloned().collect()
    }

    async fn claim(self, _: Context, shard: u16, asks: Vec<ClaimAsk>) -> Vec<ClaimAnswer> {
        let remember = self.instance.remember();
        let claims = &self.instance.claims;
        let answers = asks
            .into_iter()
            .map(|ask| claims.claim(shard, ask, remember));
        future::join_all(answers).await
    }

    async fn release(self, _: Context, shard: u16, asks: Vec<ClaimAsk>) {
        let remember = self.instance.remember();
        for ask in asks {
            self.instance.claims.release(shard, ask, remember);
        }
    }

    async fn use_ticket(self, _: Context, ticket: Ticket, by: RequestId) -> TicketAnswer {
        self.instance.tickets.take(ticket, by)
    }

    async fn query(self, _: Context, text: String) -> QueryPart {
        operator::answer_part(&self.instance, &text).await
    }

    async fn cancel(self, _: Context, id: RequestId) -> bool {
        self.instance.registry.cancel(id)
    }

    async fn stop(self, _: Context) {
        self.instance.request_stop();
    }
}
