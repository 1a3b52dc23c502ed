//! A connection to an endpoint for a single request.
//!
//! Connecting and sending are separate steps: if connecting fails, provably nothing was sent; after that the request may
//! have run. Connections are not reused, since an idle connection may break at a moment that leaves open whether the
//! endpoint read the request.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpStream, time};
use tokio_util::task::AbortOnDropHandle;

use crate::endpoint::head_limit::{HeadLimit, HeadLimited};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The connection could not be opened; provably no byte was sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The operating system reported an error.
    #[snafu(display("cannot connect to {addr}"))]
    Refused {
        /// The endpoint's address.
        addr: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The connection was not established in time.
    #[snafu(display("connecting to {addr} took too long"))]
    TimedOut {
        /// The endpoint's address.
        addr: SocketAddr,
    },
    /// The connection was lost before anything was sent.
    #[snafu(display("the connection was lost before anything was sent"))]
    Lost {
        /// The error of hyper.
        source: hyper::Error,
    },
}

/// The request was sent at least in part, and no response arrived; it may have run.
#[derive(Debug, Snafu)]
#[snafu(display("sent, but not answered"))]
pub struct SendError {
    source: hyper::Error,
}

/// An open connection on which nothing has been sent yet.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
    driver: AbortOnDropHandle<()>,
}

/// A response whose body is still being received, with its connection.
pub struct Answer {
    /// The response.
    pub response: Response<Incoming>,
    /// The task that drives the connection; it has to be kept until the body has been read.
    pub driver: AbortOnDropHandle<()>,
}

impl Connection {
    /// Connects to an endpoint.
    ///
    /// # Errors
    /// The connection could not be opened; no byte was sent.
    pub async fn open(addr: SocketAddr) -> Result<Self, ConnectError> {
        let connect = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        let Ok(connected) = connect.await else {
            return TimedOutSnafu { addr }.fail();
        };
        let stream = connected.context(RefusedSnafu { addr })?;
        // Disables Nagle's algorithm, which delays small messages until an acknowledgement arrives. A failure only costs
        // latency.
        let _ = stream.set_nodelay(true);
        let head_limit = HeadLimit::default();
        let limit = head_limit.clone();
        let handshake = http1::handshake(TokioIo::new(HeadLimited { stream, limit })).await;
        let (sender, connection) = handshake.context(LostSnafu)?;
        let driver = AbortOnDropHandle::new(tokio::spawn(async move {
            // Errors also reach the reader of the response.
            let _ = connection.await;
        }));
        Ok(Self {
            sender,
            head_limit,
            driver,
        })
    }

    /// Sends the request and waits for the head of the response.
    ///
    /// # Errors
    /// No response arrived; the request may have run.
    pub async fn send(mut self, request: Request<Full<Bytes>>) -> Result<Answer, SendError> {
        self.head_limit.begin();
        let response = self.sender.send_request(request).await.context(SendSnafu)?;
        self.head_limit.end();
        Ok(Answer {
            response,
            driver: self.driver,
        })
    }
}
