//! Copies of the configuration and of the endpoints between instances: a few of them watch the
//! store, and the others learn from those.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use futures::StreamExt;
use snafu::{ResultExt, Snafu};
use tarpc::{
    client,
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{net::TcpListener, time};

use crate::{
    balance::discovery::{EndpointsCopy, Revision},
    gateway::{
        config::{ConfigVersion, GatewayConfig},
        protocol::Protocol,
        state::Gateway,
    },
    peers::rpc::{MAX_FRAME_BYTES, SealedCodec},
};

/// Time for a connection and for a copy, each.
const TIMEOUT: Duration = Duration::from_millis(800);
const CALLS_AT_ONCE: usize = 16;

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
}

/// What an instance asks another for.
#[tarpc::service]
trait Copying {
    /// Returns the configuration in force if it is newer than `version`.
    async fn config_after(version: ConfigVersion) -> Option<GatewayConfig>;
    /// Takes the address of the one who asks, and returns all that are known.
    async fn meet(me: SocketAddr) -> Vec<SocketAddr>;
    /// Returns what has changed in the endpoints since `revision`.
    async fn endpoints_after(revision: Revision) -> EndpointsCopy;
}

struct CopyServer<P: Protocol> {
    gateway: Arc<Gateway<P>>,
}

impl<P: Protocol> Clone for CopyServer<P> {
    fn clone(&self) -> Self {
        Self {
            gateway: self.gateway.clone(),
        }
    }
}

impl<P: Protocol> Copying for CopyServer<P> {
    async fn config_after(self, _: Context, version: ConfigVersion) -> Option<GatewayConfig> {
        let table = self.gateway.config.table()?;
        let config = table.config();
        (config.version > version).then(|| config.clone())
    }

    async fn meet(self, _: Context, me: SocketAddr) -> Vec<SocketAddr> {
        self.gateway.meet(&[me])
    }

    async fn endpoints_after(self, _: Context, revision: Revision) -> EndpointsCopy {
        self.gateway.balancer().endpoints_since(revision)
    }
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
    while let Some(transport) = incoming.next().await {
        let Ok(transport) = transport else { continue };
        let server = CopyServer {
            gateway: gateway.clone(),
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

/// What an instance lacks; none where it is not behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lacks {
    /// It has this version of the configuration, and another has a newer one.
    pub config_after: Option<ConfigVersion>,
    /// It has the endpoints up to this revision, and another is ahead.
    pub endpoints_after: Option<Revision>,
}

/// What an instance was given.
#[derive(Debug, Default)]
pub struct Copies {
    /// A newer configuration.
    pub config: Option<GatewayConfig>,
    /// What has changed in the endpoints.
    pub endpoints: Option<EndpointsCopy>,
}

/// Asks an instance for what this one lacks.
///
/// # Errors
/// None came.
pub async fn fetch(
    addr: SocketAddr,
    codec: SealedCodec,
    lacks: Lacks,
) -> Result<Copies, CopyError> {
    let client = connect(addr, codec).await?;
    let mut copies = Copies::default();
    if let Some(version) = lacks.config_after {
        let asked = client.config_after(context(), version).await;
        copies.config = asked.context(NoAnswerSnafu)?;
    }
    if let Some(revision) = lacks.endpoints_after {
        let asked = client.endpoints_after(context(), revision).await;
        copies.endpoints = Some(asked.context(NoAnswerSnafu)?);
    }
    Ok(copies)
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
