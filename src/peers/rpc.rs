//! Calls between instances: tarpc over TCP, postcard, with an authentication tag on each frame.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tarpc::{client, context::Context};
use tokio::sync::Mutex;

use crate::{
    config::version::{Delta, Hash, Objects},
    core::shedding::LevelRequest,
    entry::{
        claims::{ClaimAnswer, ClaimAsk},
        registry::OrderReply,
        tickets::{Ticket, TicketAnswer},
    },
    operator::drains::DrainOrder,
    peers::datagram::Authenticator,
    pool::messages::{OrderBatch, UpdateBatch, UpdatesRefused},
    prelude::{Name, RequestId},
};

/// The longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A copy of the configuration, as a step or whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigCopy {
    /// The one who asked has the newest known here.
    NothingNewer,
    /// The step from the version that the one who asked has.
    Step(Delta),
    /// The whole.
    Whole {
        /// Its version.
        version: u64,
        /// Its objects.
        objects: Objects,
    },
}

/// What an instance answers to a question of an operator, as JSON rows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueryPart {
    /// The rows, each a JSON object.
    pub rows: Vec<String>,
    /// How many more there are than were sent.
    pub left_out: u64,
}

/// What instances ask of each other.
#[tarpc::service]
pub trait Peer {
    /// Gives a pool's leader what happened at an entry.
    async fn updates(batch: UpdateBatch) -> Result<(), UpdatesRefused>;
    /// Gives an entry a leader's orders.
    async fn orders(batch: OrderBatch) -> Vec<OrderReply>;
    /// Asks an instance to hold a level for a pool.
    async fn hold_level(pool: Name, ask: LevelRequest) -> bool;
    /// Asks for a configuration newer than the one at hand.
    async fn config_after(version: u64, hash: Hash) -> ConfigCopy;
    /// Exchanges drain orders: takes some, answers all.
    async fn exchange_drains(orders: Vec<DrainOrder>) -> Vec<DrainOrder>;
    /// Claims keys of a shard.
    async fn claim(shard: u16, asks: Vec<ClaimAsk>) -> Vec<ClaimAnswer>;
    /// Gives claims up whose request provably did not run.
    async fn release(shard: u16, asks: Vec<ClaimAsk>);
    /// Asks the instance that handed out a ticket for leave to use it.
    async fn use_ticket(ticket: Ticket, by: RequestId) -> TicketAnswer;
    /// Answers an operator's question about this instance alone.
    async fn query(text: String) -> QueryPart;
    /// Cancels a request held here; answers whether it was.
    async fn cancel(id: RequestId) -> bool;
    /// Begins a planned stop.
    async fn stop();
}

/// Why a call brought no answer; it may have been carried out.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The peer could not be reached; it was not carried out.
    #[snafu(display("cannot connect to {addr}"))]
    Connect {
        /// The peer.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// No answer came in time, or the connection broke.
    #[snafu(display("no answer"))]
    NoAnswer {
        /// What tarpc said.
        source: client::RpcError,
    },
}

/// Bytes that calls between instances took.
#[derive(Debug, Default)]
pub struct RpcCounts {
    /// Bytes sent.
    pub sent_bytes: AtomicU64,
    /// Bytes received.
    pub received_bytes: AtomicU64,
}

/// The frame codec: postcard, then a tag.
#[derive(Clone)]
pub struct SealedCodec {
    authenticator: Authenticator,
    counts: Arc<RpcCounts>,
}

impl SealedCodec {
    /// Creates a codec for the cluster's key.
    pub fn new(cluster_key: &[u8], counts: Arc<RpcCounts>) -> Self {
        Self {
            authenticator: Authenticator::new(cluster_key, "ryevalve call"),
            counts,
        }
    }
}

impl<T: Serialize> tokio_serde::Serializer<T> for SealedCodec {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<Bytes, io::Error> {
        let mut bytes = postcard::to_stdvec(item).map_err(io::Error::other)?;
        self.authenticator.seal(&mut bytes);
        let len = bytes.len() as u64;
        self.counts.sent_bytes.fetch_add(len, Ordering::Relaxed);
        Ok(bytes.into())
    }
}

impl<T: for<'de> Deserialize<'de>> tokio_serde::Deserializer<T> for SealedCodec {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, frame: &BytesMut) -> Result<T, io::Error> {
        let len = frame.len() as u64;
        self.counts.received_bytes.fetch_add(len, Ordering::Relaxed);
        let body = self.authenticator.open(frame).map_err(io::Error::other)?;
        postcard::from_bytes(body).map_err(io::Error::other)
    }
}

/// Connections to the other instances, made when first needed.
pub struct PeerClients {
    codec: SealedCodec,
    clients: Mutex<HashMap<SocketAddr, PeerClient>>,
}

impl PeerClients {
    /// Creates an empty set.
    pub fn new(codec: SealedCodec) -> Self {
        Self {
            codec,
            clients: Mutex::default(),
        }
    }

    /// Calls a peer; a connection that fails is dropped, and the next call makes a new one.
    ///
    /// # Errors
    /// Says whether the call may have been carried out.
    pub async fn call<T, F>(
        &self,
        addr: SocketAddr,
        timeout: Duration,
        call: impl FnOnce(PeerClient, Context) -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, client::RpcError>>,
    {
        let client = self.client(addr).await?;
        let mut context = Context::current();
        context.deadline = Instant::now() + timeout;
        match call(client, context).await {
            Ok(answer) => Ok(answer),
            Err(source) => {
                self.clients.lock().await.remove(&addr);
                Err(CallError::NoAnswer { source })
            }
        }
    }

    async fn client(&self, addr: SocketAddr) -> Result<PeerClient, CallError> {
        if let Some(client) = self.clients.lock().await.get(&addr) {
            return Ok(client.clone());
        }
        let codec = self.codec.clone();
        let mut connect = tarpc::serde_transport::tcp::connect(addr, move || codec.clone());
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
        let transport = connected
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map_err(|source| CallError::Connect { addr, source })?;
        let client = PeerClient::new(client::Config::default(), transport).spawn();
        self.clients.lock().await.insert(addr, client.clone());
        Ok(client)
    }
}
