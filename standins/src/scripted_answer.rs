//! Answers that a test gives as bytes, and how their connections end.
//!
//! [`Runner`](crate::runner::Runner) sends them in place of some of its own answers, and
//! [`ScriptedEndpoint`](crate::scripted_endpoint::ScriptedEndpoint) sends nothing else.

use std::{io, sync::Arc, time::Duration};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::TcpStream,
    time,
};

use crate::runner::Seen;

/// Bytes sent at a time by a slow answer.
const SLOW_BYTES: usize = 7;
/// Pause after each part of a slow answer.
const SLOW_PAUSE: Duration = Duration::from_millis(1);
/// How long a half-closed connection is held open for its peer to close it.
const HALF_CLOSED_TIMEOUT: Duration = Duration::from_millis(500);

/// What becomes of a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It is kept for the next request.
    Kept,
    /// It is closed.
    Closed,
    /// Its sending side is closed.
    HalfClosed,
    /// It is reset at once, which may discard what the peer has not read.
    Reset,
    /// The answer is sent slowly, then the connection is closed.
    SlowThenClosed,
}

impl ConnectionEnd {
    /// The ways in which a broken answer ends.
    pub const BREAKS: [Self; 4] = [
        Self::Closed,
        Self::HalfClosed,
        Self::Reset,
        Self::SlowThenClosed,
    ];

    /// Ends a connection on which nothing more is sent.
    ///
    /// # Errors
    /// The peer has left.
    pub async fn apply(self, mut stream: TcpStream) -> io::Result<()> {
        match self {
            // It is closed on drop.
            Self::Kept | Self::Closed | Self::SlowThenClosed => {}
            Self::HalfClosed => {
                stream.shutdown().await?;
                let mut rest = Vec::new();
                // It is closed afterwards in any case.
                let _ = time::timeout(HALF_CLOSED_TIMEOUT, stream.read_to_end(&mut rest)).await;
            }
            // A drop with zero linger sends a reset.
            Self::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO))?,
        }
        Ok(())
    }
}

/// An answer whose bytes are sent as they are.
#[derive(Clone, Debug)]
pub struct ScriptedAnswer {
    /// Status line, headers and body, or a part of them.
    pub bytes: Vec<u8>,
    /// Bytes that are sent later.
    pub late: Option<LateBytes>,
    /// What follows them.
    pub end: ConnectionEnd,
}

/// Bytes that follow an answer after a while. Without any, the end of the connection is late.
#[derive(Clone, Debug)]
pub struct LateBytes {
    /// Time after the answer.
    pub after: Duration,
    /// The bytes.
    pub bytes: Vec<u8>,
}

impl ScriptedAnswer {
    /// Returns an answer of these bytes.
    pub fn new(bytes: impl Into<Vec<u8>>, end: ConnectionEnd) -> Self {
        Self {
            bytes: bytes.into(),
            late: None,
            end,
        }
    }

    /// Returns an answer with status 200 to a request with this id; `lines` are the headers that delimit it.
    pub fn signed(request_id: &str, lines: &str, body: &str, end: ConnectionEnd) -> Self {
        let lines = lines.trim_end();
        let lines = match lines {
            "" => String::new(),
            lines => format!("{lines}\r\n"),
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nInstance-Signature: 3e1b.07\r\n\
             Instance-Load: 1,0,64\r\n{lines}\r\n{body}"
        );
        Self::new(text, end)
    }

    /// Returns the answer cut off after so many bytes.
    #[must_use]
    pub fn cut_after(mut self, bytes: usize, end: ConnectionEnd) -> Self {
        self.bytes.truncate(bytes);
        self.end = end;
        self
    }

    /// Returns the answer with a pause after so many bytes; after all of them, it precedes the end of the connection.
    #[must_use]
    pub fn paused_after(mut self, bytes: usize, pause: Duration) -> Self {
        self.late = Some(LateBytes {
            after: pause,
            bytes: self.bytes.split_off(bytes),
        });
        self
    }

    /// Sends the answer, and leaves its connection as it is.
    ///
    /// # Errors
    /// The peer has left.
    pub async fn send(&self, output: &mut (impl AsyncWrite + Unpin)) -> io::Result<()> {
        if self.end == ConnectionEnd::SlowThenClosed {
            for part in self.bytes.chunks(SLOW_BYTES) {
                output.write_all(part).await?;
                time::sleep(SLOW_PAUSE).await;
            }
        } else {
            output.write_all(&self.bytes).await?;
        }
        if let Some(late) = &self.late {
            time::sleep(late.after).await;
            output.write_all(&late.bytes).await?;
        }
        Ok(())
    }
}

/// Returns text as one chunk.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

type Answers = dyn Fn(&Seen) -> Option<ScriptedAnswer> + Send + Sync;

/// Gives some answers of a [`Runner`](crate::runner::Runner); it answers the other requests as usual.
#[derive(Clone)]
pub struct Script(Arc<Answers>);

impl Script {
    /// Creates a script.
    pub fn new(answers: impl Fn(&Seen) -> Option<ScriptedAnswer> + Send + Sync + 'static) -> Self {
        Self(Arc::new(answers))
    }

    /// Returns the answer to a request, if there is one.
    pub fn answer(&self, seen: &Seen) -> Option<ScriptedAnswer> {
        (self.0)(seen)
    }
}
