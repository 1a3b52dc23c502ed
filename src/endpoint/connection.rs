//! One connection to an endpoint, for one request.
//!
//! The connect and the sending are two steps: a connect that fails has provably sent nothing, and
//! anything after it may have run. Connections are not shared among requests, since one that was
//! idle may break at a moment that leaves open whether the request was read.

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

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The endpoint could not be reached; provably no byte was sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The connect failed.
    #[snafu(display("cannot connect to {addr}"))]
    Refused {
        /// The endpoint.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The connect took too long.
    #[snafu(display("connecting to {addr} took too long"))]
    TimedOut {
        /// The endpoint.
        addr: SocketAddr,
    },
    /// The connection was lost before anything was sent.
    #[snafu(display("the connection was lost before anything was sent"))]
    Lost {
        /// What hyper said.
        source: hyper::Error,
    },
}

/// The request was sent, or part of it, and no answer came.
#[derive(Debug, Snafu)]
#[snafu(display("sent, but not answered"))]
pub struct SendError {
    source: hyper::Error,
}

/// An open connection, nothing sent yet.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortOnDropHandle<()>,
}

/// An answer's head, with the connection that its body comes through.
pub struct Answer {
    /// The answer.
    pub response: Response<Incoming>,
    /// Keeps the connection going for as long as the body is read.
    pub driver: AbortOnDropHandle<()>,
}

impl Connection {
    /// Connects to an endpoint.
    ///
    /// # Errors
    /// It could not be reached; no byte was sent.
    pub async fn open(addr: SocketAddr) -> Result<Self, ConnectError> {
        let connect = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        let Ok(connected) = connect.await else {
            return TimedOutSnafu { addr }.fail();
        };
        let stream = connected.context(RefusedSnafu { addr })?;
        // Without this small answers wait for acknowledgements; with it failing they are late.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.context(LostSnafu)?;
        let driver = AbortOnDropHandle::new(tokio::spawn(async move {
            // Its errors reach whoever reads the answer.
            let _ = connection.await;
        }));
        Ok(Self { sender, driver })
    }

    /// Sends the request.
    ///
    /// # Errors
    /// No answer came; the request may have run.
    pub async fn send(mut self, request: Request<Full<Bytes>>) -> Result<Answer, SendError> {
        let response = self.sender.send_request(request).await.context(SendSnafu)?;
        Ok(Answer {
            response,
            driver: self.driver,
        })
    }
}
