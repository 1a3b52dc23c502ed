//! What `ryevalve command` and `ryevalve dump` use to reach an instance's operator listener.

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

/// Why an instance could not be asked.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// It could not be reached.
    #[snafu(display("{source}"))]
    Connect {
        /// How it failed.
        source: ConnectError,
    },
    /// It did not answer; an order may have been carried out.
    #[snafu(display("no answer came; an order may have been carried out"))]
    NoAnswer {
        /// How it failed.
        source: SendError,
    },
    /// The answer did not come in time; an order may have been carried out.
    #[snafu(display("no answer came in time; an order may have been carried out"))]
    Late,
    /// The answer broke off.
    #[snafu(display("the answer broke off"))]
    Cut {
        /// How it failed.
        source: hyper::Error,
    },
    /// The key is missing or not known.
    #[snafu(display("the key is missing or not known (--key or RYEVALVE_OPERATOR_KEY)"))]
    WrongKey,
    /// It answered with an error.
    #[snafu(display("answered {status}: {text}"))]
    Refused {
        /// Its status.
        status: StatusCode,
        /// Its text.
        text: String,
    },
    /// The answer cannot be read.
    #[snafu(display("the answer cannot be read"))]
    Unreadable {
        /// What the reader said.
        source: serde_json::Error,
    },
    /// The runtime could not be started.
    #[snafu(display("cannot start"))]
    Runtime {
        /// What the system said.
        source: io::Error,
    },
}

impl ClientError {
    /// Returns whether an order may have been carried out all the same.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::NoAnswer { .. } | Self::Late | Self::Cut { .. })
    }
}

/// Gives a command.
///
/// # Errors
/// Says whether it may have been carried out.
pub async fn command(
    at: SocketAddr,
    key: &Secret,
    body: &CommandBody,
) -> Result<Reply, ClientError> {
    let json = serde_json::to_vec(body).context(UnreadableSnafu)?;
    let text = call(at, key, Method::POST, "/command", json).await?;
    serde_json::from_slice(&text).context(UnreadableSnafu)
}

/// Fetches the state of an instance, as JSON.
///
/// # Errors
/// It could not be reached or did not answer.
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
