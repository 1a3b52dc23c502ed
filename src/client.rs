//! The HTTP client of an instance's operator listener, used by `ryevalve command` and `ryevalve dump`.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST},
};
use snafu::{ResultExt, Snafu};
use tokio::time;

use crate::{
    endpoint::connection::{ConnectError, Connection, SendError},
    operator::{http::CommandBody, log::Reply},
    settings::Secret,
};

const TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call to an instance failed.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The connection could not be opened.
    #[snafu(display("{source}"))]
    Connect {
        /// The underlying error.
        source: ConnectError,
    },
    /// The instance did not answer; the command may have been carried out.
    #[snafu(display("no answer came; an order may have been carried out"))]
    NoAnswer {
        /// The underlying error.
        source: SendError,
    },
    /// The call timed out; the command may have been carried out.
    #[snafu(display("no answer came in time; an order may have been carried out"))]
    Late,
    /// The connection broke before the answer was complete.
    #[snafu(display("the answer broke off"))]
    Cut {
        /// The underlying error.
        source: hyper::Error,
    },
    /// The operator key is missing or unknown.
    #[snafu(display("the key is missing or not known (--key or RYEVALVE_OPERATOR_KEY)"))]
    WrongKey,
    /// The instance answered with an error status.
    #[snafu(display("answered {status}: {text}"))]
    Refused {
        /// The HTTP status.
        status: StatusCode,
        /// The body of the answer.
        text: String,
    },
    /// The command or the answer is not valid JSON.
    #[snafu(display("the answer cannot be read"))]
    Unreadable {
        /// The JSON error.
        source: serde_json::Error,
    },
    /// The async runtime could not be started.
    #[snafu(display("cannot start"))]
    Runtime {
        /// The operating system's error.
        source: io::Error,
    },
}

impl ClientError {
    /// Returns whether the command may have been carried out in spite of the error.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::NoAnswer { .. } | Self::Late | Self::Cut { .. })
    }
}

/// Sends a command and returns the reply.
///
/// # Errors
/// [`ClientError::is_unknown`] tells whether the command may have been carried out.
pub async fn command(
    at: SocketAddr,
    key: &Secret,
    body: &CommandBody,
) -> Result<Reply, ClientError> {
    let json = serde_json::to_vec(body).context(UnreadableSnafu)?;
    let text = call(at, key, Method::POST, "/command", json).await?;
    serde_json::from_slice(&text).context(UnreadableSnafu)
}

/// Fetches the state of an instance as JSON.
///
/// # Errors
/// The instance could not be reached, or did not give a readable answer.
pub async fn dump(at: SocketAddr, key: &Secret) -> Result<serde_json::Value, ClientError> {
    let text = call(at, key, Method::GET, "/dump", Vec::new()).await?;
    serde_json::from_slice(&text).context(UnreadableSnafu)
}

async fn call(
    at: SocketAddr,
    key: &Secret,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<Bytes, ClientError> {
    let connection = Connection::open(at).await.context(ConnectSnafu)?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, at.to_string())
        .header(AUTHORIZATION, format!("Bearer {}", key.expose()))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .unwrap_or_default();
    let exchange = async {
        let answer = connection.send(request).await.context(NoAnswerSnafu)?;
        let status = answer.response.status();
        let body = answer
            .response
            .into_body()
            .collect()
            .await
            .context(CutSnafu)?;
        Ok((status, body.to_bytes()))
    };
    let (status, text) = time::timeout(TIMEOUT, exchange)
        .await
        .unwrap_or(LateSnafu.fail())?;
    match status {
        StatusCode::OK => Ok(text),
        StatusCode::UNAUTHORIZED => WrongKeySnafu.fail(),
        _ => {
            let text = String::from_utf8_lossy(&text).trim().to_owned();
            RefusedSnafu { status, text }.fail()
        }
    }
}
