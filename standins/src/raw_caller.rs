//! A caller on a plain socket, which sees how its answers and its connection end.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{self, Instant},
};

/// Time for an answer. It is above the time limit of any request that is read this way.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
const HEAD_END: &[u8] = b"\r\n\r\n";

/// How fast a caller reads.
#[derive(Clone, Copy, Debug)]
pub struct ReadPace {
    /// Bytes that it reads at most at a time.
    pub bytes: usize,
    /// Pause before each read.
    pub pause: Duration,
}

impl ReadPace {
    /// Reads whatever has arrived.
    pub const AT_ONCE: Self = Self {
        bytes: 64 << 10,
        pause: Duration::ZERO,
    };
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// All bytes of its length arrived, or its last chunk.
    Marked,
    /// The connection was closed.
    Closed,
    /// The connection was reset.
    Reset,
    /// Nothing more arrived in time.
    TimedOut,
    /// The caller had enough.
    Left,
}

/// How an answer is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    Close,
}

impl Framing {
    fn of(head: &str) -> Self {
        let head = head.to_ascii_lowercase();
        if head.split(' ').nth(1) == Some("204") {
            return Self::Length(0);
        }
        let value = |name: &str| head.lines().find_map(|l| l.strip_prefix(name));
        if value("transfer-encoding: chunked").is_some() {
            return Self::Chunked;
        }
        let length = value("content-length: ").and_then(|v| v.trim().parse().ok());
        length.map_or(Self::Close, Self::Length)
    }
}

/// An answer as its caller received it.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// Status line and headers.
    pub head: String,
    /// The body, as far as it arrived.
    pub text: String,
    /// How it ended.
    pub end: AnswerEnd,
    framing: Framing,
}

impl RawAnswer {
    /// Returns the status code.
    pub fn status(&self) -> Option<u16> {
        self.head.split(' ').nth(1)?.parse().ok()
    }

    /// Returns whether the close of its connection is its only end.
    pub fn is_delimited_by_close(&self) -> bool {
        self.framing == Framing::Close
    }

    /// Returns whether it is complete for its caller.
    pub fn is_complete(&self) -> bool {
        match self.framing {
            Framing::Close => self.end == AnswerEnd::Closed,
            Framing::Length(_) | Framing::Chunked => self.end == AnswerEnd::Marked,
        }
    }
}

/// A caller's connection.
pub struct RawCaller {
    stream: TcpStream,
    received: Vec<u8>,
    pace: ReadPace,
}

impl RawCaller {
    /// Connects to an address.
    ///
    /// # Errors
    /// Returns the error of the connect.
    pub async fn connect(addr: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            stream: TcpStream::connect(addr).await?,
            received: Vec::new(),
            pace: ReadPace::AT_ONCE,
        })
    }

    /// Sets how fast it reads from now on.
    pub fn set_pace(&mut self, pace: ReadPace) {
        self.pace = pace;
    }

    /// Sends bytes.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes()).await
    }

    /// Closes its sending side.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn close_sending(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Reads an answer to its end, and leaves what follows it; returns `None` if its head did not arrive.
    pub async fn read_answer(&mut self) -> Option<RawAnswer> {
        self.read_part(None::<fn(&str) -> bool>).await
    }

    /// Like [`Self::read_answer`], and ends early once there is enough of the body.
    pub async fn read_answer_until(
        &mut self,
        has_enough: impl Fn(&str) -> bool,
    ) -> Option<RawAnswer> {
        self.read_part(Some(has_enough)).await
    }

    async fn read_part(&mut self, has_enough: Option<impl Fn(&str) -> bool>) -> Option<RawAnswer> {
        let until = Instant::now() + ANSWER_TIMEOUT;
        let head_len = loop {
            let position = self.received.windows(4).position(|w| w == HEAD_END);
            if let Some(position) = position {
                break position + HEAD_END.len();
            }
            if self.read(until).await.is_some() {
                return None;
            }
        };
        let head: Vec<u8> = self.received.drain(..head_len).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let framing = Framing::of(&head);
        let (text, end) = loop {
            if let Some(text) = self.take_marked(framing) {
                break (text, AnswerEnd::Marked);
            }
            let has_enough = has_enough.as_ref();
            if has_enough.is_some_and(|enough| enough(&decode(&self.received, framing))) {
                break (self.take_rest(framing), AnswerEnd::Left);
            }
            if let Some(end) = self.read(until).await {
                break (self.take_rest(framing), end);
            }
        };
        Some(RawAnswer {
            head,
            text,
            end,
            framing,
        })
    }

    /// Returns whether the connection has been closed or reset, with nothing left to read.
    pub async fn is_closed_within(&mut self, timeout: Duration) -> bool {
        let end = self.read(Instant::now() + timeout).await;
        matches!(end, Some(AnswerEnd::Closed | AnswerEnd::Reset))
    }

    /// Reads some bytes; returns how the connection ended, if it did.
    async fn read(&mut self, until: Instant) -> Option<AnswerEnd> {
        time::sleep(self.pace.pause).await;
        let mut part = vec![0; self.pace.bytes];
        match time::timeout_at(until, self.stream.read(&mut part)).await {
            Ok(Ok(0)) => Some(AnswerEnd::Closed),
            Ok(Ok(count)) => {
                self.received.extend_from_slice(&part[..count]);
                None
            }
            Ok(Err(_)) => Some(AnswerEnd::Reset),
            Err(_) => Some(AnswerEnd::TimedOut),
        }
    }

    /// Takes a body whose end has arrived.
    fn take_marked(&mut self, framing: Framing) -> Option<String> {
        let (bytes, len) = match framing {
            Framing::Length(length) if self.received.len() >= length => {
                (self.received[..length].to_vec(), length)
            }
            Framing::Chunked => {
                let (bytes, end) = decode_chunks(&self.received);
                (bytes, end?)
            }
            Framing::Length(_) | Framing::Close => return None,
        };
        self.received.drain(..len);
        Some(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Takes what arrived of a body.
    fn take_rest(&mut self, framing: Framing) -> String {
        decode(&std::mem::take(&mut self.received), framing)
    }
}

/// Returns the text of a body, as far as it has arrived.
fn decode(received: &[u8], framing: Framing) -> String {
    match framing {
        Framing::Chunked => String::from_utf8_lossy(&decode_chunks(received).0).into_owned(),
        Framing::Length(_) | Framing::Close => String::from_utf8_lossy(received).into_owned(),
    }
}

/// Sends a request on a new connection and reads its answer; returns `None` if the head of none arrived.
pub async fn exchange(addr: SocketAddr, request: &str) -> Option<RawAnswer> {
    let mut caller = RawCaller::connect(addr).await.ok()?;
    caller.send(request).await.ok()?;
    caller.read_answer().await
}

/// Returns the data of chunks, and where the last chunk ends, if it has arrived.
fn decode_chunks(bytes: &[u8]) -> (Vec<u8>, Option<usize>) {
    let mut data = Vec::new();
    let mut at = 0;
    while let Some(line_len) = bytes[at..].windows(2).position(|w| w == b"\r\n") {
        let size = str::from_utf8(&bytes[at..at + line_len]).ok();
        let Some(size) = size.and_then(|s| usize::from_str_radix(s, 16).ok()) else {
            break;
        };
        at += line_len + 2;
        if size == 0 {
            let has_end = bytes[at..].starts_with(b"\r\n");
            return (data, has_end.then_some(at + 2));
        }
        data.extend_from_slice(&bytes[at..bytes.len().min(at + size)]);
        at = bytes.len().min(at + size + 2);
    }
    (data, None)
}
