//! A caller of streams, which sees how its connection ends.

use std::net::SocketAddr;

use crate::{raw_caller, stream_check::Answer, streams::KEY};

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

/// Sends a request on a new connection, and reads its answer; returns `None` unless a success arrived.
pub async fn call(addr: SocketAddr, call: &Call) -> Option<Answer> {
    let got = raw_caller::exchange(addr, &call.head()).await?;
    (got.status() == Some(200)).then(|| Answer {
        request_id: call.request_id.clone(),
        after: call.after,
        is_complete: got.is_complete(),
        text: got.text,
    })
}
