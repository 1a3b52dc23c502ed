//! Requests as stand-ins on plain sockets read them.

use std::{collections::HashMap, future, io};

use tokio::io::{AsyncRead, AsyncReadExt};

const HEAD_END: &[u8] = b"\r\n\r\n";

/// A request as its endpoint received it.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// Request line.
    pub line: String,
    /// Headers, with names in lower case.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Reads a request, whose body, if any, must have a `Content-Length`; returns `None` at the end of the connection.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn read(input: &mut (impl AsyncRead + Unpin)) -> io::Result<Option<Self>> {
        Self::read_with(input, || future::ready(())).await
    }

    /// Like [`Self::read`], and waits for `pause` after each read.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn read_with<P: Future<Output = ()>>(
        input: &mut (impl AsyncRead + Unpin),
        pause: impl Fn() -> P,
    ) -> io::Result<Option<Self>> {
        let mut bytes = Vec::new();
        let head_end = loop {
            if let Some(end) = bytes.windows(4).position(|w| w == HEAD_END) {
                break end + HEAD_END.len();
            }
            let count = input.read_buf(&mut bytes).await?;
            pause().await;
            if count == 0 {
                return Ok(None);
            }
        };
        let mut request = Self::parse_head(&String::from_utf8_lossy(&bytes[..head_end]));
        request.body = bytes.split_off(head_end);
        let body_bytes = request.number("content-length").unwrap_or(0) as usize;
        while request.body.len() < body_bytes {
            let count = input.read_buf(&mut request.body).await?;
            pause().await;
            if count == 0 {
                return Ok(None);
            }
        }
        Ok(Some(request))
    }

    fn parse_head(head: &str) -> Self {
        let mut lines = head.lines();
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Self {
            line,
            headers: headers.collect(),
            body: Vec::new(),
        }
    }

    /// Returns its path, without the query.
    pub fn path(&self) -> &str {
        self.line.split(['?', ' ']).nth(1).unwrap_or_default()
    }

    /// Returns its id, which is empty if it has none.
    pub fn id(&self) -> &str {
        self.headers.get("request-id").map_or("", |id| id)
    }

    /// Returns the event after which a stream is to begin; 0 if it begins anew.
    pub fn after(&self) -> u64 {
        self.number("last-event-id").unwrap_or(0)
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.headers.get(name)?.parse().ok()
    }
}
