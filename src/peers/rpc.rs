//! Calls between instances: tarpc over TCP; each frame is postcard with an authentication tag.

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
        claims::{ClaimAnswer, ClaimRequest},
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

/// The reply to a request for a newer configuration: a delta or a full copy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigCopy {
    /// The requester's version is not older than the one installed here.
    NothingNewer,
    /// The delta from the requester's version.
    Step(Delta),
    /// A full copy.
    Whole {
        /// The version of the configuration.
        version: u64,
        /// The objects of the configuration.
        objects: Objects,
    },
}

/// One instance's part of the result of an operator's query, as JSON rows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueryPart {
    /// The rows, each a JSON object.
    pub rows: Vec<String>,
    /// The number of rows that were omitted.
    pub left_out: u64,
}

/// The calls between instances.
#[tarpc::service]
pub trait Peer {
    /// Sends the updates of an entry, an instance that holds requests, to the pool's leader.
    async fn updates(batch: UpdateBatch) -> Result<(), UpdatesRefused>;
    /// Sends a leader's orders to an entry.
    async fn orders(batch: OrderBatch) -> Vec<OrderReply>;
    /// Requests an instance to hold a shedding level for a pool.
    async fn hold_level(pool: Name, request: LevelRequest) -> bool;
    /// Requests a configuration newer than the given version with the given hash.
    async fn config_after(version: u64, hash: Hash) -> ConfigCopy;
    /// Exchanges drain orders: the recipient merges those of the caller and replies with all that it knows.
    async fn exchange_drains(orders: Vec<DrainOrder>) -> Vec<DrainOrder>;
    /// Claims keys of a shard.
    async fn claim(shard: u16, requests: Vec<ClaimRequest>) -> Vec<ClaimAnswer>;
    /// Releases claims whose request provably did not run.
    async fn release(shard: u16, requests: Vec<ClaimRequest>);
    /// Redeems a ticket at the instance that issued it.
    async fn use_ticket(ticket: Ticket, by: RequestId) -> TicketAnswer;
    /// Evaluates an operator's query for this instance alone.
    async fn query(text: String) -> QueryPart;
    /// Cancels a request; returns whether the instance held it.
    async fn cancel(id: RequestId) -> bool;
    /// Starts a planned stop.
    async fn stop();
}

/// Why a call failed; it may have been executed all the same.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The peer could not be reached; the call was not executed.
    #[snafu(display("cannot connect to {addr}"))]
    Connect {
        /// The peer's address.
        addr: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// No response arrived in time, or the connection was lost; the call may have been executed.
    #[snafu(display("no answer"))]
    NoAnswer {
        /// The error of tarpc.
        source: client::RpcError,
    },
}

/// Byte counters of the calls between instances.
#[derive(Debug, Default)]
pub struct RpcCounts {
    /// Bytes sent.
    pub sent_bytes: AtomicU64,
    /// Bytes received.
    pub received_bytes: AtomicU64,
}

/// The frame codec: postcard followed by an authentication tag.
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

/// Client connections to the other instances, opened on first use.
pub struct PeerClients {
    codec: SealedCodec,
    clients: Mutex<HashMap<SocketAddr, PeerClient>>,
}

impl PeerClients {
    /// Creates a set without connections.
    pub fn new(codec: SealedCodec) -> Self {
        Self {
            codec,
            clients: Mutex::default(),
        }
    }

    /// Calls a peer. After a failed call the connection is dropped, and the next call opens a new one.
    ///
    /// # Errors
    /// The variant distinguishes calls that were not executed from those that may have been; see [`CallError`].
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
