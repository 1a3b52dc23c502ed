//! The platform's object API over HTTP.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /objects/KEY` | 200 with `x-version`, or 404 |
//! | `GET /objects/KEY?after=V&wait_ms=W` | 200 once past `V`, or 304 after `W` |
//! | `PUT /objects/KEY` with `x-if-version: V` | 200 with `x-version`, 409, 413, 429 or 503 |
//! | `GET /instances` | 200 with a JSON list |

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use tokio::{net::TcpStream, time};

use crate::store::{ListedInstance, Object, ReadError, Store, WriteError};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const READ_TRIES: u32 = 3;
const RETRY_BASE_MS: u64 = 40;
const MAX_ANSWER_BYTES: usize = 4 << 20;
const VERSION_HEADER: &str = "x-version";
const EXPECTED_HEADER: &str = "x-if-version";

/// A client of the platform; each call has its own connection, so a stuck one holds up no other.
#[derive(Clone, Debug)]
pub struct HttpStore {
    addr: SocketAddr,
}

/// How far a call that failed had come.
enum CallError {
    /// No byte reached the platform.
    NotSent(String),
    /// It may have been carried out.
    NoAnswer(String),
}

impl CallError {
    fn into_reason(self) -> String {
        match self {
            Self::NotSent(reason) | Self::NoAnswer(reason) => reason,
        }
    }
}

impl HttpStore {
    /// Creates a client of the platform at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(StatusCode, u64, Bytes), CallError> {
        let stream = match time::timeout(CALL_TIMEOUT, TcpStream::connect(self.addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(CallError::NotSent(error.to_string())),
            Err(_) => return Err(CallError::NotSent("connect timed out".to_owned())),
        };
        match time::timeout(timeout, exchange(stream, request)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(reason)) => Err(CallError::NoAnswer(reason)),
            Err(_) => Err(CallError::NoAnswer("timed out".to_owned())),
        }
    }

    /// Reads with a few retries; reading twice does no harm.
    async fn get(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<(StatusCode, u64, Bytes), ReadError> {
        let mut reason = String::new();
        for attempt in 0..READ_TRIES {
            if attempt > 0 {
                time::sleep(backoff(attempt)).await;
            }
            match self.call(get_request(path), timeout).await {
                Ok((status, ..)) if is_busy(status) => reason = status.to_string(),
                Ok(answer) => return Ok(answer),
                Err(error) => reason = error.into_reason(),
            }
        }
        Err(ReadError::Unavailable { reason })
    }
}

impl Store for HttpStore {
    async fn read(&self, key: &str) -> Result<Option<Object>, ReadError> {
        let path = format!("/objects/{key}");
        let (status, version, value) = self.get(&path, CALL_TIMEOUT).await?;
        match status {
            StatusCode::OK => Ok(Some(Object { version, value })),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(unexpected(other)),
        }
    }

    async fn write(&self, key: &str, value: Bytes, expected: u64) -> Result<u64, WriteError> {
        let request = put_request(&format!("/objects/{key}"), value, expected);
        match self.call(request, CALL_TIMEOUT).await {
            Ok((StatusCode::OK, version, _)) => Ok(version),
            Ok((StatusCode::CONFLICT, ..)) => Err(WriteError::Conflict),
            Ok((status, ..)) if status.is_client_error() || is_busy(status) => {
                let reason = status.to_string();
                Err(WriteError::NotWritten { reason })
            }
            Ok((status, ..)) => Err(WriteError::Unknown {
                reason: status.to_string(),
            }),
            Err(CallError::NotSent(reason)) => Err(WriteError::NotWritten { reason }),
            Err(CallError::NoAnswer(reason)) => Err(WriteError::Unknown { reason }),
        }
    }

    async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Object>, ReadError> {
        let wait_ms = wait.as_millis();
        let path = format!("/objects/{key}?after={after}&wait_ms={wait_ms}");
        // A watch is not retried here: its caller paces the next one.
        let request = get_request(&path);
        let answer = self.call(request, wait + CALL_TIMEOUT).await;
        match answer {
            Ok((StatusCode::OK, version, value)) => Ok(Some(Object { version, value })),
            Ok((StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND, ..)) => Ok(None),
            Ok((status, ..)) => Err(unexpected(status)),
            Err(error) => Err(ReadError::Unavailable {
                reason: error.into_reason(),
            }),
        }
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, ReadError> {
        let (status, _, value) = self.get("/instances", CALL_TIMEOUT).await?;
        if status != StatusCode::OK {
            return Err(unexpected(status));
        }
        serde_json::from_slice(&value).map_err(|error| ReadError::Unavailable {
            reason: format!("unreadable instance list: {error}"),
        })
    }
}

/// Returns a random wait that grows with each attempt.
pub fn backoff(attempt: u32) -> Duration {
    let ceiling = RETRY_BASE_MS << attempt.min(7);
    Duration::from_millis(rand::rng().random_range(ceiling / 2..=ceiling))
}

fn is_busy(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn unexpected(status: StatusCode) -> ReadError {
    ReadError::Unavailable {
        reason: format!("answered {status}"),
    }
}

fn get_request(path: &str) -> Request<Full<Bytes>> {
    build(
        Request::builder().method(Method::GET).uri(path),
        Bytes::new(),
    )
}

fn put_request(path: &str, value: Bytes, expected: u64) -> Request<Full<Bytes>> {
    let builder = Request::builder()
        .method(Method::PUT)
        .uri(path)
        .header(EXPECTED_HEADER, expected);
    build(builder, value)
}

fn build(builder: hyper::http::request::Builder, body: Bytes) -> Request<Full<Bytes>> {
    builder
        .header(hyper::header::HOST, "platform")
        .body(Full::new(body))
        .unwrap_or_default()
}

async fn exchange(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, u64, Bytes), String> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    let driver = tokio::spawn(connection);
    let answer = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(|e| e.to_string())?;
        read_answer(response).await
    }
    .await;
    driver.abort();
    answer
}

async fn read_answer(response: Response<Incoming>) -> Result<(StatusCode, u64, Bytes), String> {
    let status = response.status();
    let version = response
        .headers()
        .get(VERSION_HEADER)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(|e| e.to_string())?;
    Ok((status, version, body.to_bytes()))
}
