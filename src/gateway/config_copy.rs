//! Copies of the configuration between instances, for those that the store turns away.

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
    gateway::{config::GatewayConfig, protocol::Protocol, state::Gateway},
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
trait ConfigCopies {
    /// Returns the configuration in force if it is newer than `version`.
    async fn newer_than(version: u64) -> Option<GatewayConfig>;
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

impl<P: Protocol> ConfigCopies for CopyServer<P> {
    async fn newer_than(self, _: Context, version: u64) -> Option<GatewayConfig> {
        let table = self.gateway.config.table()?;
        let config = table.config();
        (config.version > version).then(|| config.clone())
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

/// Asks an instance for a configuration newer than `version`.
///
/// # Errors
/// None came.
pub async fn fetch(
    addr: SocketAddr,
    codec: SealedCodec,
    version: u64,
) -> Result<Option<GatewayConfig>, CopyError> {
    let mut connect = tarpc::serde_transport::tcp::connect(addr, move || codec.clone());
    connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let connected = time::timeout(TIMEOUT, connect).await;
    let transport = connected
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        .context(ConnectSnafu { addr })?;
    let client = ConfigCopiesClient::new(client::Config::default(), transport).spawn();
    let mut context = Context::current();
    context.deadline = std::time::Instant::now() + TIMEOUT;
    client
        .newer_than(context, version)
        .await
        .context(NoAnswerSnafu)
}
