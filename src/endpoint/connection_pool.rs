//! A pool of idle connections to endpoints.
//!
//! If a reused connection breaks while a request is written, it is unknown whether the endpoint read it; if a new one
//! cannot be opened, provably nothing was sent. A request that may run once only is therefore sent over a reused
//! connection only shortly after its last answer.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};
use tokio_util::task::AbortOnDropHandle;

use crate::prelude::Micros;

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
    driver: AbortOnDropHandle<()>,
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
        let mut idle = self.lock();
        let to_addr = idle.get_mut(&addr)?;
        while let Some(last) = to_addr.pop_if(|last| {
            let is_usable = last.expires_us > now_us && last.connection.sender.is_ready();
            !is_usable || now_us.saturating_sub(last.idle_since_us) <= max_idle_us
        }) {
            if last.expires_us > now_us && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
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
            to_addr.retain(|r| r.expires_us > now_us && !r.connection.sender.is_closed());
            !to_addr.is_empty()
        });
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

impl EndpointConnection {
    /// Opens a connection.
    ///
    /// # Errors
    /// The endpoint was not reached in time or refused the connection; no byte was sent.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let connect = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let stream = connect.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        // Disables Nagle's algorithm, which delays small messages until an acknowledgement arrives. A failure only costs
        // latency.
        let _ = stream.set_nodelay(true);
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = AbortOnDropHandle::new(tokio::spawn(async move {
            // Errors also reach the reader of the response.
            let _ = connection.await;
        }));
        Ok(Self {
            sender,
            is_reused: false,
            driver,
        })
    }

    /// Returns whether the connection is still open.
    pub fn is_open(&self) -> bool {
        !self.driver.is_finished() && !self.sender.is_closed()
    }
}
