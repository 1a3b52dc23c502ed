//! The state of one instance, its start-up and its graceful shutdown.

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
        claims::{self, ClaimAnswer, ClaimRequest, ClaimWriters},
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
/// After announcing that it leaves, an instance keeps accepting requests for this long, so that the load
/// balancer sees it as not ready first.
const UNREADY_BEFORE_CLOSING: Duration = Duration::from_millis(1_500);
const MAX_CONCURRENT_CALLS: usize = 1_000;

/// Why an instance did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be bound.
    #[snafu(display("cannot listen for {what} on {addr}"))]
    Bind {
        /// What the listener serves.
        what: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
}

/// The state of one instance, shared by all its tasks.
pub struct Instance<S: Store> {
    /// The instance's settings.
    pub settings: Settings,
    /// Random id of this start of the process.
    pub incarnation: Incarnation,
    /// The process's clock.
    pub clock: Clock,
    /// The platform's object store.
    pub store: S,
    /// The configuration and drain orders in force.
    pub config: ConfigState,
    /// Gossip and the membership view of the other instances.
    pub gossip: Gossip,
    /// RPC connections to the other instances.
    pub peers: PeerClients,
    /// The requests that this instance holds.
    pub registry: Arc<Registry>,
    /// The pools that this instance leads.
    pub leaders: Leaders,
    /// The claim shards that this instance keeps.
    pub claims: ClaimWriters<S>,
    /// The tickets that this instance issued.
    pub tickets: Tickets,
    /// Records of requests that ended on this instance.
    pub recorder: Recorder,
    /// The operator commands that this instance received.
    pub commands: CommandLog,
    /// The metrics of this process.
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
    background: CancellationToken,
}

impl<S: Store> Instance<S> {
    /// Returns whether this instance accepts requests.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Returns whether a graceful shutdown is in progress.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Requests a graceful shutdown.
    pub fn request_stop(&self) {
        self.stop_requested.notify_one();
    }

    /// Returns the map of caller keys to organisations.
    pub fn keys(&self) -> Arc<KeyMap> {
        self.keys.load_full()
    }

    /// Returns the values that are read when metrics are exported.
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

    /// Carries out a leader's orders for requests that this instance holds.
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

    /// Claims a key at its shard's keeper, which may be this instance or a peer.
    pub async fn claim(&self, claim: ClaimRequest) -> ClaimAnswer {
        let shard = claims::shard_of(&claim.key);
        let view = self.gossip.view();
        let keeper = view.leader(&claims::subject(shard));
        let remote = keeper.filter(|k| k.info.incarnation != self.incarnation);
        if let Some(keeper) = remote {
            let call = self.peers.call(
                keeper.info.peer_addr,
                CLAIM_CALL_TIMEOUT,
                |client, context| async move { client.claim(context, shard, vec![claim]).await },
            );
            if let Ok(answers) = call.await {
                return answers.first().copied().unwrap_or(ClaimAnswer::Unavailable);
            }
            // The keeper may have stored the claim although the call failed. The local attempt below then finds it
            // under the same request id and treats it as its own.
        }
        self.claims
            .claim(shard, claim, self.claim_retention())
            .await
    }

    /// Releases a claim whose request provably did not run.
    pub fn release_claim(self: Arc<Self>, claim: ClaimRequest) {
        let shard = claims::shard_of(&claim.key);
        let view = self.gossip.view();
        let keeper = view.leader(&claims::subject(shard));
        let remote = keeper.filter(|k| k.info.incarnation != self.incarnation);
        let Some(addr) = remote.map(|k| k.info.peer_addr) else {
            self.claims.release(shard, claim, self.claim_retention());
            return;
        };
        tokio::spawn(async move {
            let call = self
                .peers
                .call(addr, CLAIM_CALL_TIMEOUT, |client, context| async move {
                    client.release(context, shard, vec![claim]).await
                });
            // If this call is lost the key stays claimed, and a later request with it gets an unknown outcome.
            let _ = call.await;
        });
    }

    /// Redeems a ticket at the instance that issued it. Returns none if that incarnation cannot be reached.
    pub async fn use_ticket(&self, ticket: Ticket, by: RequestId) -> Option<TicketAnswer> {
        if ticket.issuer == self.incarnation {
            return Some(self.tickets.redeem(ticket, by));
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

    fn claim_retention(&self) -> Duration {
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
        claims: ClaimWriters::new(store.clone()),
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
        background: CancellationToken::new(),
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

/// Keeps the key map up to date with the configuration, and runs a registrar for each pool slice that this
/// instance sends requests to.
async fn follow_config<S: Store>(instance: Arc<Instance<S>>, stop: CancellationToken) {
    let mut changed = instance.config.watch();
    let mut registrars: std::collections::HashMap<Name, CancellationToken> = Default::default();
    loop {
        let current = instance.config.current();
        instance.keys.store(Arc::new(key_map(&current.config)));
        let used_slices = local_slices(&current.config, &instance.settings.data_centre);
        for pool in &used_slices {
            if !registrars.contains_key(pool) {
                let token = stop.child_token();
                registrars.insert(pool.clone(), token.clone());
                tokio::spawn(registrar::run(instance.clone(), pool.clone(), token));
            }
        }
        // The registrar of a removed pool keeps running until the pool's last request has ended.
        if changed.changed().await.is_err() {
            return;
        }
    }
}

fn local_slices(config: &Config, data_centre: &str) -> Vec<Name> {
    let pools = config.pools.iter();
    pools
        .map(|p| slice::slice_for(config, p, data_centre))
        .collect()
}

impl<S: Store> Running<S> {
    fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.background.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task => {}
            }
        });
    }

    fn spawn_control(&mut self, peer_listener: TcpListener, codec: SealedCodec) {
        let instance = self.instance.clone();
        let stop = self.background.clone();
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

    /// Waits until a command requests a graceful shutdown.
    pub async fn stop_requested(&self) {
        self.instance.stop_requested.notified().await;
    }

    /// Shuts down gracefully: reports itself as not ready, hands over the pools it leads, waits for its requests to
    /// end and announces its departure to the peers. Returns whether all requests ended before the timeout.
    pub async fn stop(mut self) -> bool {
        let instance = &self.instance;
        log::info!("planned stop begins");
        instance.stopping.store(true, Ordering::Relaxed);
        instance.ready.store(false, Ordering::Relaxed);
        instance.gossip.leave();
        time::sleep(UNREADY_BEFORE_CLOSING).await;
        self.callers.cancel();
        let timeout = Duration::from_millis(instance.settings.stop_timeout_ms);
        // The task ends with the last connection, after the last byte of the last answer.
        let completed = time::timeout(timeout, &mut self.caller_task).await.is_ok();
        instance.gossip.goodbye().await;
        self.background.cancel();
        while self.tasks.join_next().await.is_some() {}
        log::info!("stopped");
        completed
    }

    /// Aborts all tasks at once, as a crash would. For tests.
    pub fn kill(mut self) {
        self.caller_task.abort();
        self.background.cancel();
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
        log::error!("cannot listen for peers");
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
                .for_each_concurrent(MAX_CONCURRENT_CALLS, |call| call),
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

    async fn hold_level(self, _: Context, pool: Name, request: LevelRequest) -> bool {
        self.instance.registry.hold_level(&pool, request)
    }

    async fn config_after(self, _: Context, version: u64, hash: Hash) -> ConfigCopy {
        self.instance.config.copy_after(version, hash)
    }

    async fn exchange_drains(self, _: Context, orders: Vec<DrainOrder>) -> Vec<DrainOrder> {
        self.instance.config.merge_drains(orders);
        self.instance.config.drains().orders().cloned().collect()
    }

    async fn claim(self, _: Context, shard: u16, requests: Vec<ClaimRequest>) -> Vec<ClaimAnswer> {
        let retention = self.instance.claim_retention();
        let claims = &self.instance.claims;
        let answers = requests
            .into_iter()
            .map(|claim| claims.claim(shard, claim, retention));
        future::join_all(answers).await
    }

    async fn release(self, _: Context, shard: u16, requests: Vec<ClaimRequest>) {
        let retention = self.instance.claim_retention();
        for claim in requests {
            self.instance.claims.release(shard, claim, retention);
        }
    }

    async fn use_ticket(self, _: Context, ticket: Ticket, by: RequestId) -> TicketAnswer {
        self.instance.tickets.redeem(ticket, by)
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
