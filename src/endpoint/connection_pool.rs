//! A pool of idle connections to endpoints.
//!
//! If a reused connection breaks while a request is written, it is unknown whether the endpoint read it; if a new one
//! cannot be opened, provably nothing was sent. A request that may run once only is therefore sent over a reused
//! connection only shortly after its last answer.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpSocket, TcpStream},
    time,
};
use tokio_util::task::AbortOnDropHandle;

use crate::{
    endpoint::head_limit::{HeadLimit, HeadLimited},
    peers::tunnel::{TunnelState, TunnelStream},
    prelude::{Micros, Name},
};

/// Connecting usually takes a few milliseconds; an unreachable endpoint never responds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time that a connection stays idle if the endpoint does not announce its idle timeout.
const DEFAULT_IDLE_US: Micros = 3_000_000;
/// An idle connection is closed this long before the idle timeout that the endpoint announced, so that no request is sent
/// while the endpoint closes it.
const IDLE_MARGIN_US: Micros = 1_000_000;
/// What is read ahead of an answer whose caller does not read; also the longest head of an answer.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;
/// Most idle connections to one endpoint: about as many as it runs requests.
const MAX_IDLE_PER_ENDPOINT: usize = 8;

/// A connection to an endpoint; dropping it closes it.
pub struct EndpointConnection {
    /// Sends a request and returns the response.
    pub sender: SendRequest<Full<Bytes>>,
    /// The connection has carried a request before.
    pub is_reused: bool,
    /// Set if it leads through another instance.
    pub tunnel: Option<TunnelRoute>,
    /// Bounds the heads of its answers.
    pub head_limit: HeadLimit,
    driver: AbortOnDropHandle<()>,
}

/// The way of a connection that leads through another instance.
#[derive(Clone, Debug)]
pub struct TunnelRoute {
    /// The name of the instance that carries it.
    pub carrier: Name,
    /// The hall of that instance.
    pub carrier_hall: Name,
    /// The address of that instance.
    pub carrier_ip: IpAddr,
    /// What that instance says of the tunnel.
    pub state: TunnelState,
}

struct IdleConnection {
    connection: EndpointConnection,
    idle_since_us: Micros,
    expires_us: Micros,
}

/// The idle connections by address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Removes and returns the idle connection that was used last, unless it has been idle for more than `max_idle_us`.
    pub fn take_idle(
        &self,
        now_us: Micros,
        addr: SocketAddr,
        max_idle_us: Micros,
    ) -> Option<EndpointConnection> {
        self.take_idle_if(now_us, addr, max_idle_us, |_| true)
    }

    /// Like [`Self::take_idle`], of the connections that `suits` accepts.
    pub fn take_idle_if(
        &self,
        now_us: Micros,
        addr: SocketAddr,
        max_idle_us: Micros,
        suits: impl Fn(&EndpointConnection) -> bool,
    ) -> Option<EndpointConnection> {
        let mut idle = self.lock();
        let to_addr = idle.get_mut(&addr)?;
        to_addr.retain(|idle| {
            idle.expires_us > now_us
                && idle.connection.sender.is_ready()
                && idle.connection.is_open()
        });
        let last = to_addr.iter().rposition(|idle| {
            now_us.saturating_sub(idle.idle_since_us) <= max_idle_us && suits(&idle.connection)
        })?;
        Some(to_addr.remove(last).connection)
    }

    /// Returns a connection to the pool after its response was read completely. `idle_timeout` is the one that the
    /// endpoint announced. If the pool is full or the timeout too short, the connection is closed.
    pub fn return_idle(
        &self,
        now_us: Micros,
        addr: SocketAddr,
        mut connection: EndpointConnection,
        idle_timeout: Option<Duration>,
    ) {
        let idle_us = idle_timeout.map_or(DEFAULT_IDLE_US, |announced| {
            (announced.as_micros() as Micros).saturating_sub(IDLE_MARGIN_US)
        });
        connection.is_reused = true;
        let mut idle = self.lock();
        let to_addr = idle.entry(addr).or_default();
        if idle_us > 0 && to_addr.len() < MAX_IDLE_PER_ENDPOINT {
            to_addr.push(IdleConnection {
                connection,
                idle_since_us: now_us,
                expires_us: now_us + idle_us,
            });
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    /// Removes idle connections that have expired or were closed by the endpoint.
    pub fn remove_expired(&self, now_us: Micros) {
        self.lock().retain(|_, to_addr| {
            to_addr.retain(|r| r.expires_us > now_us && r.connection.is_open());
            !to_addr.is_empty()
        });
    }

    /// Closes the idle connections that lead through other instances.
    pub fn close_idle_tunnels(&self) {
        for to_addr in self.lock().values_mut() {
            to_addr.retain(|idle| idle.connection.tunnel.is_none());
        }
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        // Every step leaves the map consistent, so it is usable after a panic in another thread.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Connects to an endpoint from the address `source`, or from the one that the system chooses.
///
/// # Errors
/// The endpoint was not reached in time or refused the connection.
pub async fn connect(source: Option<IpAddr>, addr: SocketAddr) -> io::Result<TcpStream> {
    let connecting = async {
        match source {
            Some(source) => socket_at(source)?.connect(addr).await,
            None => TcpStream::connect(addr).await,
        }
    };
    let connect = time::timeout(CONNECT_TIMEOUT, connecting).await;
    let stream = connect.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    // Disables Nagle's algorithm, which delays small messages until an acknowledgement arrives. A failure only costs
    // latency.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Returns a socket that connects from an address. It may use a port whose last connection has just ended.
fn socket_at(source: IpAddr) -> io::Result<TcpSocket> {
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::new(source, 0))?;
    Ok(socket)
}

impl EndpointConnection {
    /// Opens a connection.
    ///
    /// # Errors
    /// The endpoint was not reached in time or refused the connection; no byte was sent.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        Self::over(connect(None, addr).await?).await
    }

    /// Uses a stream that is connected to the endpoint.
    ///
    /// # Errors
    /// The connection was lost before anything was sent.
    pub async fn over(stream: TcpStream) -> io::Result<Self> {
        Self::handshake(stream, None).await
    }

    /// Uses a tunnel to the endpoint through another instance.
    ///
    /// # Errors
    /// The tunnel was lost before anything was sent.
    pub async fn through(stream: TunnelStream, route: TunnelRoute) -> io::Result<Self> {
        Self::handshake(stream, Some(route)).await
    }

    async fn handshake<S>(stream: S, tunnel: Option<TunnelRoute>) -> io::Result<Self>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let head_limit = HeadLimit::default();
        let limit = head_limit.clone();
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(HeadLimited { stream, limit }))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = AbortOnDropHandle::new(tokio::spawn(async move {
            // Errors also reach the reader of the response.
            let _ = connection.await;
        }));
        Ok(Self {
            sender,
            is_reused: false,
            tunnel,
            head_limit,
            driver,
        })
    }

    /// Returns whether the connection is still open and may carry a further request.
    pub fn is_open(&self) -> bool {
        let retires = self.tunnel.as_ref().is_some_and(|t| t.state.retires());
        !self.driver.is_finished() && !self.sender.is_closed() && !retires
    }
}
