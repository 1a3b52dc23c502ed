//! Answers whose bytes never end, as an endpoint with a fault sends them.

use std::{
    convert::Infallible,
    io,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use tokio::{
    io::{AsyncWrite, AsyncWriteExt},
    time,
};

use crate::{runner::event, scripted_answer::chunk};

/// Bytes per write, and per chunk of a body.
const BLOCK_BYTES: usize = 4 << 10;
/// Time between two bytes of [`Flood::SlowHeader`].
const SLOW_BYTE_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two comments of [`Flood::SlowComments`].
const COMMENT_INTERVAL: Duration = Duration::from_millis(100);
/// A length that no answer has.
const FALSE_LENGTH_BYTES: u64 = 1 << 40;

/// What an answer brings without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    /// The reason in the status line.
    StatusLine,
    /// The value of one header.
    Header,
    /// Headers.
    Headers,
    /// The value of one header, byte by byte.
    SlowHeader,
    /// Interim answers of status 103.
    InterimAnswers,
    /// The extension of a chunk's size.
    ChunkExtension,
    /// Trailers.
    Trailers,
    /// A chunked body without line breaks.
    ChunkedBody,
    /// The same body in an answer of status 500.
    ErrorBody,
    /// The same body with neither length nor chunks.
    UnframedBody,
    /// The same body with a length that is never reached.
    FalseLength,
    /// One event.
    Event,
    /// Events without ids.
    EventsWithoutIds,
    /// Events with rising ids.
    EventsWithIds,
    /// The same event again.
    OldEvents,
    /// Events of a model, with rising ids.
    Tokens,
    /// Comments.
    Comments,
    /// Three sound events, and then a comment now and then.
    SlowComments,
}

impl Flood {
    /// Answers the request with this id until the connection is closed; counts the bytes that were sent.
    ///
    /// # Errors
    /// The connection was closed, which is the only end.
    pub async fn send(
        self,
        socket: &mut (impl AsyncWrite + Unpin),
        request_id: &str,
        sent_bytes: &AtomicUsize,
    ) -> io::Result<Infallible> {
        socket.write_all(self.start(request_id).as_bytes()).await?;
        let mut number = 0;
        loop {
            if self == Self::SlowHeader {
                time::sleep(SLOW_BYTE_INTERVAL).await;
                socket.write_all(b"x").await?;
                continue;
            }
            if self == Self::SlowComments {
                time::sleep(COMMENT_INTERVAL).await;
                socket.write_all(b"5\r\n: x\n\n\r\n").await?;
                continue;
            }
            let mut block = String::new();
            while block.len() < BLOCK_BYTES {
                number += 1;
                block += &self.piece(number);
            }
            if self.is_chunked() {
                block = chunk(&block);
            }
            socket.write_all(block.as_bytes()).await?;
            sent_bytes.fetch_add(block.len(), Ordering::Relaxed);
        }
    }

    /// Returns what comes before the bytes that never end.
    fn start(self, request_id: &str) -> String {
        let head = |framing: &str| {
            format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nInstance-Signature: 3e1b.07\r\n{framing}\r\n\r\n"
            )
        };
        let chunked = || head("Transfer-Encoding: chunked");
        match self {
            Self::StatusLine => "HTTP/1.1 200 ".to_owned(),
            Self::Header | Self::SlowHeader => "HTTP/1.1 200 OK\r\nX-Flood: ".to_owned(),
            Self::Headers => "HTTP/1.1 200 OK\r\n".to_owned(),
            Self::InterimAnswers => String::new(),
            Self::ChunkExtension => chunked() + "1;",
            Self::Trailers => chunked() + "0\r\n",
            Self::ErrorBody => chunked().replacen("200 OK", "500 Internal Server Error", 1),
            Self::UnframedBody => head("Connection: close"),
            Self::FalseLength => head(&format!("Content-Length: {FALSE_LENGTH_BYTES}")),
            Self::SlowComments => {
                let events: String = (1..=3).map(|n| event(request_id, n)).collect();
                chunked() + &chunk(&events)
            }
            Self::Event => chunked() + "b\r\nid: 1\ndata:\r\n",
            Self::ChunkedBody
            | Self::EventsWithoutIds
            | Self::EventsWithIds
            | Self::OldEvents
            | Self::Tokens
            | Self::Comments => chunked(),
        }
    }

    /// Returns one of the pieces that follow each other without end.
    fn piece(self, number: u64) -> String {
        match self {
            Self::Headers | Self::Trailers => format!("X-Flood-{number}: x\r\n"),
            Self::InterimAnswers => "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n".to_owned(),
            Self::EventsWithoutIds => format!("data: {number}\n\n"),
            Self::EventsWithIds => format!("id: {number}\ndata: {number}\n\n"),
            Self::OldEvents => "id: 1\ndata: {\"choices\":[]}\n\n".to_owned(),
            Self::Tokens => {
                format!("id: {number}\ndata: {{\"choices\":[{{\"text\":\"x\"}}]}}\n\n")
            }
            Self::Comments => ": x\n\n".to_owned(),
            _ => "x".repeat(64),
        }
    }

    /// Returns whether the pieces are sent in chunks.
    fn is_chunked(self) -> bool {
        matches!(
            self,
            Self::ChunkedBody
                | Self::ErrorBody
                | Self::Event
                | Self::EventsWithoutIds
                | Self::EventsWithIds
                | Self::OldEvents
                | Self::Tokens
                | Self::Comments
        )
    }
}
