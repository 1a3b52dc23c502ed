//! A caller on a plain socket, which sees how its connection ends.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use crate::{stream_check::Answer, streams::KEY};

const TIMEOUT: Duration = Duration::from_secs(6);

/// A request for a stream.
pub struct Call {
    pub path: String,
    pub request_id: String,
    /// The id of the request that began the stream, if this one takes it up.
    pub took_up: Option<String>,
    /// The last event that the caller has.
    pub after: u64,
    pub http10: bool,
}

impl Call {
    fn head(&self) -> String {
        let version = if self.http10 { "1.0" } else { "1.1" };
        let mut head = format!(
            "POST {} HTTP/{version}\r\nHost: h.example\r\nRequest-Id: {}\r\nDeadline-Ms: 5000\r\n\
             Authorization: Token {KEY}\r\nConnection: close\r\nContent-Length: 8\r\n",
            self.path, self.request_id
        );
        if let Some(began_as) = &self.took_up {
            let after = self.after;
            head += &format!("Last-Event-Id: {after}\r\nResumes: {began_as}\r\n");
        }
        head + "\r\na prompt"
    }
}

/// Sends a request on a new connection, and reads until it ends; returns `None` unless a success arrived.
pub async fn call(addr: SocketAddr, call: &Call) -> Option<Answer> {
    let mut bytes = Vec::new();
    let reading = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        stream.write_all(call.head().as_bytes()).await.ok()?;
        Some(stream.read_to_end(&mut bytes).await.is_ok())
    };
    let is_closed = time::timeout(TIMEOUT, reading).await.ok().flatten() == Some(true);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let is_success = head.split(' ').nth(1) == Some("200");
    if !is_success {
        return None;
    }
    let is_chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    let (text, has_end) = match is_chunked {
        true => decode_chunks(body),
        false => (body.to_owned(), is_closed),
    };
    Some(Answer {
        request_id: call.request_id.clone(),
        after: call.after,
        text,
        is_complete: has_end,
    })
}

/// Returns the data of chunks, and whether the last chunk has arrived.
fn decode_chunks(mut rest: &str) -> (String, bool) {
    let mut text = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return (text, false);
        };
        if size == 0 {
            return (text, after.starts_with("\r\n"));
        }
        text.push_str(&after[..size.min(after.len())]);
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (text, false)
}
