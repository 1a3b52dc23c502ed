//! Connections to endpoints that are kept between requests.
//!
//! Only requests that may run again ride on a kept connection: one that breaks while a request is
//! written leaves open whether it was read. A new connection that fails has provably sent nothing.

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

/// A connection comes up within some milliseconds; an endpoint that is dark never answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a connection rests at most when its endpoint does not say when it closes it.
const DEFAULT_IDLE_US: Micros = 3_000_000;
/// An endpoint closes a resting connection when it said; ours is given up this long before.
const IDLE_MARGIN_US: Micros = 1_000_000;
/// Resting connections to one endpoint; about as many as it runs requests.
const MAX_IDLE_PER_ENDPOINT: usize = 8;

/// A connection to an endpoint; dropping it closes it.
pub struct EndpointConnection {
    /// Sends a request and gives its answer.
    pub sender: SendRequest<Full<Bytes>>,
    /// It has carried a request before.
    pub is_reused: bool,
    driver: AbortOnDropHandle<()>,
}

struct IdleConnection {
    connection: EndpointConnection,
    expires_us: Micros,
}

/// The resting connections, by address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Returns a resting connection, the one used last first.
    pub fn take_idle(&self, now_us: Micros, addr: SocketAddr) -> Option<EndpointConnection> {
        let mut idle = self.lock();
        let to_addr = idle.get_mut(&addr)?;
        while let Some(last) = to_addr.pop() {
            if last.expires_us > now_us && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read whole. `idle_timeout` is what the endpoint said.
    pub fn return_idle(
        &self,
        now_us: Micros,
        addr: SocketAddr,
        mut connection: EndpointConnection,
        idle_timeout: Option<Duration>,
    ) {
        let idle_us = idle_timeout.map_or(DEFAULT_IDLE_US, |after| {
            (after.as_micros() as Micros).saturating_sub(IDLE_MARGIN_US)
        });
        connection.is_reused = true;
        let mut idle = self.lock();
        let to_addr = idle.entry(addr).or_default();
        if idle_us > 0 && to_addr.len() < MAX_IDLE_PER_ENDPOINT {
            to_addr.push(IdleConnection {
                connection,
                expires_us: now_us + idle_us,
            });
        }
    }

    /// Closes the connections that rest at an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    /// Closes connections that rested for their time or were closed by the endpoint.
    pub fn remove_expired(&self, now_us: Micros) {
        self.lock().retain(|_, to_addr| {
            to_addr.retain(|r| r.expires_us > now_us && !r.connection.sender.is_closed());
            !to_addr.is_empty()
        });
    }

    /// Returns how many connections rest.
    pub fn idle_count(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        // Every step leaves the map whole, so a poisoned lock is usable.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EndpointConnection {
    /// Opens a connection; if it fails, no byte was sent.
    ///
    /// # Errors
    /// The endpoint is not reached in time, or refuses.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let connect = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let stream = connect.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        // Small requests would wait for acknowledgements; with it failing they are slower.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = AbortOnDropHandle::new(tokio::spawn(async move {
            // Its errors reach whoever reads the answer.
            let _ = connection.await;
        }));
        Ok(Self {
            sender,
            is_reused: false,
            driver,
        })
    }

    /// Returns whether the connection's task still runs.
    pub fn is_open(&self) -> bool {
        !self.driver.is_finished() && !self.sender.is_closed()
    }
}
