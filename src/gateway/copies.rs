//! Copies of the configuration and of the endpoints between instances: a few of them watch the
//! store, and the others learn from those.
//!
//! Either may be large: it is asked for part by part, so that a slow link delays it and does not lose it, and given to
//! a few at a time, so that it fills no link that smaller copies have to go through.

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
    balance::discovery::{EndpointsDelta, Revision},
    clock::Clock,
    gateway::{
        config::{ConfigVersion, GatewayConfig},
        packed::{self, UnpackError},
        protocol::Protocol,
        state::Gateway,
    },
    peers::rpc::{MAX_FRAME_BYTES, SealedCodec},
    prelude::Micros,
};

/// Time for a connection and for an answer, each.
const TIMEOUT: Duration = Duration::from_millis(800);
const CALLS_AT_ONCE: usize = 16;
/// Bytes of a copy that go in one answer: 13 ms of a link of 10 Mbit/s.
const PART_BYTES: usize = 16 << 10;
/// Takers that are given a copy of several parts at a time: what is on its way to them takes 52 ms of a link of
/// 10 Mbit/s.
const TAKERS_AT_ONCE: usize = 4;
/// Packed copies of the endpoints that are kept for those that ask for the same.
const MOST_PACKED: usize = 4;
/// A taker that asks for no more within this time has gone: it waits for [`TIMEOUT`] for each part.
const TAKER_GONE_US: Micros = 1_000_000;

/// Addresses of instances in one answer, at most: some 2 KB. Whoever asks several times, and hears from those that it
/// met, learns of the others.
const MET_TOLD: usize = 256;

/// Why no copy came.
#[derive(Debug, Snafu)]
pub enum CopyError {
    /// The instance could not be reached.
    #[snafu(display("cannot connect to {addr}: {source}"))]
    Connect {
        /// The instance.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The connection broke, or nothing came in time.
    #[snafu(display("no copy came: {source}"))]
    NoAnswer {
        /// What tarpc said.
        source: client::RpcError,
    },
    /// What came is no copy.
    #[snafu(display("{source}"))]
    Unreadable {
        /// What is wrong with it.
        source: UnpackError,
    },
}

/// What an instance says that is asked for something newer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CopyAnswer {
    /// It has nothing newer.
    NotNewer,
    /// It is giving copies to others; whoever asks comes back later, or asks another.
    Busy,
    /// A part of it.
    Part(CopyPart),
}

/// A part of a packed copy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CopyPart {
    /// The configuration's version, or the store's revision that the endpoints are up to.
    pub version: u64,
    /// How long all parts are together, in bytes.
    pub total_bytes: u64,
    /// For how long it has not been known to be the newest.
    pub age_us: Option<Micros>,
    /// The part, from the place that was asked for.
    pub bytes: Vec<u8>,
}

/// What an instance asks another for.
#[tarpc::service]
trait Copying {
    /// Returns the configuration in force from `offset` on, if it is newer than `version`.
    async fn config_part(version: ConfigVersion, offset: u64) -> CopyAnswer;
    /// Takes the address of the one who asks, and returns all that are known.
    async fn meet(me: SocketAddr) -> Vec<SocketAddr>;
    /// Returns what has changed in the endpoints since a revision, from `offset` on, of the copy up to `coming` if that is
    /// kept; 0 is the newest.
    async fn endpoints_part(since: Revision, coming: Revision, offset: u64) -> CopyAnswer;
}

/// Those that are being given a copy of several parts.
#[derive(Debug, Default)]
pub struct Takers {
    /// The number of each one's connection, and when it asked last.
    asked_us: Vec<(u64, Micros)>,
}

impl Takers {
    /// Returns whether a taker is given a part now.
    pub fn admit(&mut self, now_us: Micros, taker: u64) -> bool {
        let stays = |at_us: Micros| now_us.saturating_sub(at_us) < TAKER_GONE_US;
        self.asked_us
            .retain(|(other, at_us)| *other != taker && stays(*at_us));
        let has_room = self.asked_us.len() < TAKERS_AT_ONCE;
        if has_room {
            self.asked_us.push((taker, now_us));
        }
        has_room
    }

    /// Notes that a taker has been given all.
    pub fn finished(&mut self, taker: u64) {
        self.asked_us.retain(|(other, _)| *other != taker);
    }
}

/// What all connections to one that gives copies share.
struct Giver<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    takers: Mutex<Takers>,
    packed: Mutex<VecDeque<PackedEndpoints>>,
    connections: AtomicU64,
}

/// What has changed in the endpoints between two revisions, packed.
#[derive(Clone)]
struct PackedEndpoints {
    since: Revision,
    revision: Revision,
    bytes: Arc<Vec<u8>>,
}

struct CopyServer<P: Protocol> {
    giver: Arc<Giver<P>>,
    connection: u64,
}

impl<P: Protocol> Clone for CopyServer<P> {
    fn clone(&self) -> Self {
        Self {
            giver: self.giver.clone(),
            connection: self.connection,
        }
    }
}

impl<P: Protocol> CopyServer<P> {
    fn config_part(&self, version: ConfigVersion, offset: u64) -> Option<CopyAnswer> {
        let gateway = &self.giver.gateway;
        let table = gateway.config.table()?;
        if table.config().version <= version {
            return None;
        }
        let age_us = known_age_us(gateway.config_age_us());
        Some(self.part(table.config().version, age_us, table.packed(), offset))
    }

    fn endpoints_part(
        &self,
        since: Revision,
        coming: Revision,
        offset: u64,
    ) -> io::Result<CopyAnswer> {
        let gateway = &self.giver.gateway;
        let newest = gateway.balancer().endpoints_revision();
        if newest <= since {
            return Ok(CopyAnswer::NotNewer);
        }
        let packed = match self
            .kept(since, coming)
            .or_else(|| self.kept(since, newest))
        {
            Some(packed) => packed,
            None => self.pack(since)?,
        };
        // Of an older copy it is not known whether it is as the store has it.
        let is_newest = packed.revision == newest;
        let age_us = known_age_us(gateway.endpoints_age_us()).filter(|_| is_newest);
        Ok(self.part(packed.revision, age_us, &packed.bytes, offset))
    }

    fn kept(&self, since: Revision, revision: Revision) -> Option<PackedEndpoints> {
        let kept = lock(&self.giver.packed);
        let is_it = |p: &&PackedEndpoints| p.since == since && p.revision == revision;
        kept.iter().find(is_it).cloned()
    }

    fn pack(&self, since: Revision) -> io::Result<PackedEndpoints> {
        let copy = self.giver.gateway.balancer().endpoints_delta_since(since);
        let packed = PackedEndpoints {
            since,
            revision: copy.revision,
            bytes: Arc::new(packed::pack(&copy)?),
        };
        let mut kept = lock(&self.giver.packed);
        kept.push_back(packed.clone());
        if kept.len() > MOST_PACKED {
            kept.pop_front();
        }
        Ok(packed)
    }

    /// Returns a part of a copy, if its taker is among those that are given one now.
    fn part(&self, version: u64, age_us: Option<Micros>, packed: &[u8], offset: u64) -> CopyAnswer {
        let gateway = &self.giver.gateway;
        let from = usize::try_from(offset).map_or(packed.len(), |o| o.min(packed.len()));
        let to = packed.len().min(from + PART_BYTES);
        if packed.len() > PART_BYTES {
            let now_us = gateway.clock.now_us();
            let mut takers = lock(&self.giver.takers);
            if !takers.admit(now_us, self.connection) {
                gateway.metrics.copies_put_off.inc();
                return CopyAnswer::Busy;
            }
            if to == packed.len() {
                takers.finished(self.connection);
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
    // Every step leaves the list whole, so a poisoned lock is usable.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns an age, if anything is known.
fn known_age_us(age_us: Micros) -> Option<Micros> {
    (age_us < Micros::MAX).then_some(age_us)
}

impl<P: Protocol> Copying for CopyServer<P> {
    async fn config_part(self, _: Context, version: ConfigVersion, offset: u64) -> CopyAnswer {
        let part = CopyServer::config_part(&self, version, offset);
        part.unwrap_or(CopyAnswer::NotNewer)
    }

    async fn meet(self, _: Context, me: SocketAddr) -> Vec<SocketAddr> {
        sample(self.giver.gateway.note_addresses(&[me]), MET_TOLD)
    }

    async fn endpoints_part(
        self,
        _: Context,
        since: Revision,
        coming: Revision,
        offset: u64,
    ) -> CopyAnswer {
        match CopyServer::endpoints_part(&self, since, coming, offset) {
            Ok(answer) => answer,
            Err(error) => {
                let reason = error.to_string();
                log::error!(target: "ryevalve::process", reason; "endpoints_not_packed");
                CopyAnswer::NotNewer
            }
        }
    }
}

/// Returns some of the addresses, drawn if there are more.
pub fn sample(mut addrs: Vec<SocketAddr>, most: usize) -> Vec<SocketAddr> {
    if addrs.len() > most {
        addrs.shuffle(&mut rand::rng());
        addrs.truncate(most);
    }
    addrs
}

/// Gives copies to others until dropped.
///
/// # Errors
/// The listener cannot be used.
pub async fn serve<P: Protocol>(
    gateway: Arc<Gateway<P>>,
    listener: TcpListener,
    codec: SealedCodec,
) -> io::Result<()> {
    let codec = move || codec.clone();
    let mut incoming = tarpc::serde_transport::tcp::listen_on(listener, codec).await?;
    incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let giver = Arc::new(Giver {
        gateway,
        takers: Mutex::default(),
        packed: Mutex::default(),
        connections: AtomicU64::default(),
    });
    while let Some(transport) = incoming.next().await {
        let Ok(transport) = transport else { continue };
        let server = CopyServer {
            giver: giver.clone(),
            connection: giver.connections.fetch_add(1, Ordering::Relaxed),
        };
        let channel = BaseChannel::with_defaults(transport);
        tokio::spawn(
            channel
                .execute(server.serve())
                .for_each_concurrent(CALLS_AT_ONCE, |call| call),
        );
    }
    Ok(())
}

/// A copy that came from another instance.
#[derive(Debug)]
pub struct Taken<T> {
    /// What came.
    pub value: T,
    /// When it was known to be the newest, by the clock of the one that asked.
    pub fresh_at_us: Option<Micros>,
}

/// Asks an instance for a configuration newer than `version`; none if it has none, or is busy giving copies to
/// others.
///
/// # Errors
/// It did not come whole.
pub async fn fetch_config(
    addr: SocketAddr,
    codec: SealedCodec,
    version: ConfigVersion,
    clock: Clock,
) -> Result<Option<Taken<GatewayConfig>>, CopyError> {
    let client = connect(addr, codec).await?;
    let mut coming = Coming::default();
    loop {
        let asked_us = clock.now_us();
        let asked = client.config_part(context(), version, coming.offset());
        let answer = asked.await.context(NoAnswerSnafu)?;
        if let Some(taken) = coming.take(answer, asked_us)? {
            return Ok(taken);
        }
    }
}

/// Asks an instance for what has changed in the endpoints since `revision`; none as for a configuration.
///
/// # Errors
/// It did not come whole.
pub async fn fetch_endpoints(
    addr: SocketAddr,
    codec: SealedCodec,
    revision: Revision,
    clock: Clock,
) -> Result<Option<Taken<EndpointsDelta>>, CopyError> {
    let client = connect(addr, codec).await?;
    let mut coming = Coming::default();
    loop {
        let asked_us = clock.now_us();
        let asked = client.endpoints_part(context(), revision, coming.version, coming.offset());
        let answer = asked.await.context(NoAnswerSnafu)?;
        if let Some(taken) = coming.take(answer, asked_us)? {
            return Ok(taken);
        }
    }
}

/// The parts of a copy that have come.
#[derive(Debug, Default)]
struct Coming {
    version: u64,
    bytes: Vec<u8>,
}

impl Coming {
    /// Returns the place to go on from.
    fn offset(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Takes an answer to a question that was sent at `asked_us`; none if more is to come, else the copy, if there
    /// is one.
    fn take<T: DeserializeOwned>(
        &mut self,
        answer: CopyAnswer,
        asked_us: Micros,
    ) -> Result<Option<Option<Taken<T>>>, CopyError> {
        let CopyAnswer::Part(part) = answer else {
            return Ok(Some(None));
        };
        let is_other = part.version != self.version && !self.bytes.is_empty();
        self.version = part.version;
        if is_other {
            // A newer one came there meanwhile: this part does not belong to what is here.
            self.bytes.clear();
            return Ok(None);
        }
        // Without more to come it is all there is, and unpacking it says whether that is whole.
        let is_last = part.bytes.is_empty();
        self.bytes.extend(part.bytes);
        if !is_last && self.offset() < part.total_bytes {
            return Ok(None);
        }
        let value = packed::unpack(&self.bytes).context(UnreadableSnafu)?;
        let fresh_at_us = part.age_us.map(|age_us| asked_us.saturating_sub(age_us));
        Ok(Some(Some(Taken { value, fresh_at_us })))
    }
}

/// Tells an instance this one's address; returns those that it knows.
///
/// # Errors
/// It did not answer.
pub async fn meet(
    addr: SocketAddr,
    codec: SealedCodec,
    me: SocketAddr,
) -> Result<Vec<SocketAddr>, CopyError> {
    let client = connect(addr, codec).await?;
    client.meet(context(), me).await.context(NoAnswerSnafu)
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
