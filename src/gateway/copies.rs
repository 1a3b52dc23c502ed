//! Transfers copies of the configuration and the endpoints between instances over TCP: a few instances watch the
//! store, and the others fetch from them.
//!
//! Copies can be large. They are fetched in parts, so that a slow link delays a copy without losing it, and sent to a
//! few instances at a time, so that they do not fill a link that smaller copies need.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::StreamExt;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use tarpc::{
    client,
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{net::TcpListener, time};

use crate::{
    balance::discovery::EndpointsDelta,
    clock::Clock,
    gateway::{
        answer_history_copy::HistoryCopy,
        config::{ConfigVersion, GatewayConfig},
        packed::{self, UnpackError},
        protocol::Protocol,
        state::Gateway,
    },
    peers::rpc::{MAX_FRAME_BYTES, SealedCodec},
    prelude::{Micros, StorePosition},
};

/// Timeout of a connection attempt, and of a call.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum concurrent calls on a connection.
const MAX_CONCURRENT_CALLS: usize = 16;
/// Bytes of a copy in one response, which take 13 ms on a link of 10 Mbit/s.
const PART_BYTES: usize = 16 << 10;
/// Maximum concurrent transfers of copies with several parts; their parts in flight take 52 ms on a link of
/// 10 Mbit/s.
const MAX_TRANSFERS: usize = 4;
/// Maximum packed copies of the endpoints in the cache, for instances that request the same one.
const MAX_PACKED: usize = 4;
/// A transfer without a request for this long has ended: a client waits at most [`TIMEOUT`] for each part.
const TRANSFER_IDLE_US: Micros = 1_000_000;

/// Maximum instance addresses in one response, about 2 KB. An instance learns the others from further requests and
/// from the instances that it then knows.
const MAX_ADDRESSES: usize = 256;

/// Why a fetch failed.
#[derive(Debug, Snafu)]
pub enum CopyError {
    /// The connection failed.
    #[snafu(display("cannot connect to {addr}: {source}"))]
    Connect {
        /// The instance's control address.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The connection was lost, or the call timed out.
    #[snafu(display("cannot fetch a copy: {source}"))]
    NoAnswer {
        /// The cause.
        source: client::RpcError,
    },
    /// The received bytes are not a valid copy.
    #[snafu(display("{source}"))]
    Unreadable {
        /// The reason.
        source: UnpackError,
    },
}

/// Response to a request for a newer copy, whose state is identified by `V`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CopyAnswer<V> {
    /// The instance has nothing newer.
    NotNewer,
    /// The instance serves other transfers; the client retries later or with another instance.
    Busy,
    /// A part of the copy.
    Part(CopyPart<V>),
}

/// A part of a packed copy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CopyPart<V> {
    /// The configuration's version, or the position of the endpoints in the store's history.
    pub version: V,
    /// Total length of all parts in bytes.
    pub total_bytes: u64,
    /// Time since the copy was last known to be the newest, if it was.
    pub age_us: Option<Micros>,
    /// The part, starting at the requested offset.
    pub bytes: Vec<u8>,
}

/// Calls from one instance to another.
#[tarpc::service]
trait Copying {
    /// Returns the part at `offset` of the current configuration, if that is newer than `version`.
    async fn config_part(version: ConfigVersion, offset: u64) -> CopyAnswer<ConfigVersion>;
    /// Adds the caller's address, and returns the known addresses, or a sample of them.
    async fn meet(me: SocketAddr) -> Vec<SocketAddr>;
    /// Returns the part at `offset` of the endpoint changes since a position. The changes go up to `requested` if that
    /// copy is cached, else to the newest; [`StorePosition::START`] requests the newest.
    async fn endpoints_part(
        since: StorePosition,
        requested: StorePosition,
        offset: u64,
    ) -> CopyAnswer<StorePosition>;
    /// Returns what the instance knows of the answers of endpoints, or a part of it. Older instances lack this call and close
    /// the connection.
    async fn answer_history() -> HistoryCopy;
}

/// The transfers in progress of copies with several parts.
#[derive(Debug, Default)]
pub struct Transfers {
    /// Each transfer's connection number and the time of its last request.
    last_request_us: Vec<(u64, Micros)>,
}

impl Transfers {
    /// Returns whether a connection may get a part now, and if so records its transfer.
    pub fn admit(&mut self, now_us: Micros, connection: u64) -> bool {
        let is_active = |at_us: Micros| now_us.saturating_sub(at_us) < TRANSFER_IDLE_US;
        self.last_request_us
            .retain(|(other, at_us)| *other != connection && is_active(*at_us));
        let has_room = self.last_request_us.len() < MAX_TRANSFERS;
        if has_room {
            self.last_request_us.push((connection, now_us));
        }
        has_room
    }

    /// Removes the transfer of a connection that has been sent its last part.
    pub fn finish(&mut self, connection: u64) {
        self.last_request_us
            .retain(|(other, _)| *other != connection);
    }
}

/// State shared by all connections to an instance that serves copies.
struct CopySource<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    transfers: Mutex<Transfers>,
    packed: Mutex<VecDeque<PackedEndpoints>>,
    connections: AtomicU64,
}

/// The changes of the endpoints between two positions, packed.
#[derive(Clone)]
struct PackedEndpoints {
    since: StorePosition,
    position: StorePosition,
    bytes: Arc<Vec<u8>>,
}

struct CopyServer<P: Protocol> {
    source: Arc<CopySource<P>>,
    connection: u64,
}

impl<P: Protocol> Clone for CopyServer<P> {
    fn clone(&self) -> Self {
        Self {
            source: self.source.clone(),
            connection: self.connection,
        }
    }
}

impl<P: Protocol> CopyServer<P> {
    fn config_part(
        &self,
        version: ConfigVersion,
        offset: u64,
    ) -> Option<CopyAnswer<ConfigVersion>> {
        let gateway = &self.source.gateway;
        let table = gateway.config.table()?;
        if table.config().version <= version {
            return None;
        }
        let age_us = known_age_us(gateway.config_age_us());
        Some(self.part(table.config().version, age_us, table.packed(), offset))
    }

    fn endpoints_part(
        &self,
        since: StorePosition,
        requested: StorePosition,
        offset: u64,
    ) -> io::Result<CopyAnswer<StorePosition>> {
        let gateway = &self.source.gateway;
        let newest = gateway.balancer().endpoints_position();
        if newest <= since {
            return Ok(CopyAnswer::NotNewer);
        }
        let packed = match self
            .cached(since, requested)
            .or_else(|| self.cached(since, newest))
        {
            Some(packed) => packed,
            None => self.pack(since)?,
        };
        // An older copy is not known to match the store.
        let is_newest = packed.position == newest;
        let age_us = known_age_us(gateway.endpoints_age_us()).filter(|_| is_newest);
        Ok(self.part(packed.position, age_us, &packed.bytes, offset))
    }

    fn cached(&self, since: StorePosition, position: StorePosition) -> Option<PackedEndpoints> {
        let cached = lock(&self.source.packed);
        let is_match = |p: &&PackedEndpoints| p.since == since && p.position == position;
        cached.iter().find(is_match).cloned()
    }

    fn pack(&self, since: StorePosition) -> io::Result<PackedEndpoints> {
        let gateway = &self.source.gateway;
        let now_us = gateway.clock.now_us();
        let copy = gateway.balancer().endpoints_delta_since(now_us, since);
        let packed = PackedEndpoints {
            since,
            position: copy.position,
            bytes: Arc::new(packed::pack(&copy)?),
        };
        let mut cached = lock(&self.source.packed);
        cached.push_back(packed.clone());
        if cached.len() > MAX_PACKED {
            cached.pop_front();
        }
        Ok(packed)
    }

    /// Returns a part of a copy, or `Busy` if the copy has several parts and the limit of transfers is reached.
    fn part<V>(
        &self,
        version: V,
        age_us: Option<Micros>,
        packed: &[u8],
        offset: u64,
    ) -> CopyAnswer<V> {
        let gateway = &self.source.gateway;
        let from = usize::try_from(offset).map_or(packed.len(), |o| o.min(packed.len()));
        let to = packed.len().min(from + PART_BYTES);
        if packed.len() > PART_BYTES {
            let now_us = gateway.clock.now_us();
            let mut transfers = lock(&self.source.transfers);
            if !transfers.admit(now_us, self.connection) {
                gateway.metrics.copies_put_off.inc();
                return CopyAnswer::Busy;
            }
            if to == packed.len() {
                transfers.finish(self.connection);
            }
        }
        CopyAnswer::Part(CopyPart {
            version,
            total_bytes: packed.len() as u64,
            age_us,
            bytes: packed[from..to].to_vec(),
        })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Every update leaves the list consistent, so a poisoned lock remains usable.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns an age, or `None` for the age of state that was never confirmed.
fn known_age_us(age_us: Micros) -> Option<Micros> {
    (age_us < Micros::MAX).then_some(age_us)
}

impl<P: Protocol> Copying for CopyServer<P> {
    async fn config_part(
        self,
        _: Context,
        version: ConfigVersion,
        offset: u64,
    ) -> CopyAnswer<ConfigVersion> {
        let part = CopyServer::config_part(&self, version, offset);
        part.unwrap_or(CopyAnswer::NotNewer)
    }

    async fn meet(self, _: Context, me: SocketAddr) -> Vec<SocketAddr> {
        sample(self.source.gateway.note_addresses(&[me]), MAX_ADDRESSES)
    }

    async fn endpoints_part(
        self,
        _: Context,
        since: StorePosition,
        requested: StorePosition,
        offset: u64,
    ) -> CopyAnswer<StorePosition> {
        match CopyServer::endpoints_part(&self, since, requested, offset) {
            Ok(answer) => answer,
            Err(error) => {
                let reason = error.to_string();
                log::error!(target: "ryevalve::process", reason; "endpoints_not_packed");
                CopyAnswer::NotNewer
            }
        }
    }

    async fn answer_history(self, _: Context) -> HistoryCopy {
        lock(&self.source.gateway.answer_history).copy(PART_BYTES)
    }
}

/// Returns all addresses, or a random sample of `max` if there are more.
pub fn sample(mut addrs: Vec<SocketAddr>, max: usize) -> Vec<SocketAddr> {
    if addrs.len() > max {
        addrs.shuffle(&mut rand::rng());
        addrs.truncate(max);
    }
    addrs
}

/// Serves copies to other instances until dropped.
///
/// # Errors
/// Fails if the listener cannot be used.
pub async fn serve<P: Protocol>(
    gateway: Arc<Gateway<P>>,
    listener: TcpListener,
    codec: SealedCodec,
) -> io::Result<()> {
    let codec = move || codec.clone();
    let mut incoming = tarpc::serde_transport::tcp::listen_on(listener, codec).await?;
    incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let source = Arc::new(CopySource {
        gateway,
        transfers: Mutex::default(),
        packed: Mutex::default(),
        connections: AtomicU64::default(),
    });
    while let Some(transport) = incoming.next().await {
        let Ok(transport) = transport else { continue };
        let server = CopyServer {
            source: source.clone(),
            connection: source.connections.fetch_add(1, Ordering::Relaxed),
        };
        let channel = BaseChannel::with_defaults(transport);
        tokio::spawn(
            channel
                .execute(server.serve())
                .for_each_concurrent(MAX_CONCURRENT_CALLS, |call| call),
        );
    }
    Ok(())
}

/// A copy fetched from another instance.
#[derive(Debug)]
pub struct Fetched<T> {
    /// The unpacked copy.
    pub value: T,
    /// When the copy was last known to be the newest, by the local clock.
    pub fresh_at_us: Option<Micros>,
}

/// Fetches a configuration newer than `version` from an instance; returns `None` if it has none or is busy with other
/// transfers.
///
/// # Errors
/// Fails if the configuration is not received completely.
pub async fn fetch_config(
    addr: SocketAddr,
    codec: SealedCodec,
    version: ConfigVersion,
    clock: Clock,
) -> Result<Option<Fetched<GatewayConfig>>, CopyError> {
    let client = connect(addr, codec).await?;
    let mut partial = PartialCopy::default();
    loop {
        let asked_us = clock.now_us();
        let call = client.config_part(context(), version, partial.offset());
        let answer = call.await.context(NoAnswerSnafu)?;
        if let Some(fetched) = partial.append(answer, asked_us)? {
            return Ok(fetched);
        }
    }
}

/// Fetches the changes of the endpoints since a position from an instance; returns `None` if it has none or is busy
/// with other transfers.
///
/// # Errors
/// Fails if the changes are not received completely.
pub async fn fetch_endpoints(
    addr: SocketAddr,
    codec: SealedCodec,
    since: StorePosition,
    clock: Clock,
) -> Result<Option<Fetched<EndpointsDelta>>, CopyError> {
    let client = connect(addr, codec).await?;
    let mut partial = PartialCopy::default();
    loop {
        let asked_us = clock.now_us();
        let call = client.endpoints_part(context(), since, partial.version, partial.offset());
        let answer = call.await.context(NoAnswerSnafu)?;
        if let Some(fetched) = partial.append(answer, asked_us)? {
            return Ok(fetched);
        }
    }
}

/// The parts of a copy received so far.
#[derive(Debug, Default)]
struct PartialCopy<V> {
    version: V,
    bytes: Vec<u8>,
}

impl<V: PartialEq> PartialCopy<V> {
    /// Returns the offset of the next part.
    fn offset(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Appends the response to a call that was sent at `asked_us`. Returns `None` if more parts are needed, else the
    /// copy, or `Some(None)` if the instance did not send one.
    fn append<T: DeserializeOwned>(
        &mut self,
        answer: CopyAnswer<V>,
        asked_us: Micros,
    ) -> Result<Option<Option<Fetched<T>>>, CopyError> {
        let CopyAnswer::Part(part) = answer else {
            return Ok(Some(None));
        };
        let is_other_version = part.version != self.version && !self.bytes.is_empty();
        self.version = part.version;
        if is_other_version {
            // The source has a newer copy by now, and this part does not continue the one received so far.
            self.bytes.clear();
            return Ok(None);
        }
        // An empty part ends the copy; unpacking detects whether it is complete.
        let is_last = part.bytes.is_empty();
        self.bytes.extend(part.bytes);
        if !is_last && self.offset() < part.total_bytes {
            return Ok(None);
        }
        let value = packed::unpack(&self.bytes).context(UnreadableSnafu)?;
        let fresh_at_us = part.age_us.map(|age_us| asked_us.saturating_sub(age_us));
        Ok(Some(Some(Fetched { value, fresh_at_us })))
    }
}

/// Sends this instance's address to another instance, and returns the addresses that it knows.
///
/// # Errors
/// Fails if the instance does not answer.
pub async fn exchange_addresses(
    addr: SocketAddr,
    codec: SealedCodec,
    me: SocketAddr,
) -> Result<Vec<SocketAddr>, CopyError> {
    let client = connect(addr, codec).await?;
    client.meet(context(), me).await.context(NoAnswerSnafu)
}

/// Fetches what an instance knows of the answers of endpoints.
///
/// # Errors
/// Fails if the instance does not answer, or does not know the call.
pub async fn fetch_answer_history(
    addr: SocketAddr,
    codec: SealedCodec,
) -> Result<HistoryCopy, CopyError> {
    let client = connect(addr, codec).await?;
    client
        .answer_history(context())
        .await
        .context(NoAnswerSnafu)
}

async fn connect(addr: SocketAddr, codec: SealedCodec) -> Result<CopyingClient, CopyError> {
    let mut connect = tarpc::serde_transport::tcp::connect(addr, move || codec.clone());
    connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let connected = time::timeout(TIMEOUT, connect).await;
    let transport = connected
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        .context(ConnectSnafu { addr })?;
    Ok(CopyingClient::new(client::Config::default(), transport).spawn())
}

fn context() -> Context {
    let mut context = Context::current();
    context.deadline = std::time::Instant::now() + TIMEOUT;
    context
}
