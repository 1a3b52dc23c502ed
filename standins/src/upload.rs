//! Callers that upload bodies, and read the answer meanwhile or afterwards.

use std::{convert::Infallible, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::stream;
use http_body_util::StreamBody;
use hyper::{Request, body::Frame, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

/// Bytes that a caller writes at a time.
const PIECE_BYTES: usize = 16 << 10;
/// More than any answer takes.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// How a body is sent.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// With `Content-Length`.
    Length,
    /// In chunks.
    Chunked,
}

/// A request with a long body.
#[derive(Clone, Copy, Debug)]
pub struct Upload {
    /// Path of the request.
    pub path: &'static str,
    /// Its `Authorization`.
    pub key: &'static str,
    /// Length of the body.
    pub bytes: usize,
    /// How the body is sent.
    pub framing: Framing,
    /// Time between two pieces of the body.
    pub pause: Duration,
}

impl Upload {
    /// Creates an upload that is sent as fast as it can be.
    pub fn new(path: &'static str, key: &'static str, bytes: usize, framing: Framing) -> Self {
        Self {
            path,
            key,
            bytes,
            framing,
            pause: Duration::ZERO,
        }
    }

    fn pieces(self) -> impl Iterator<Item = Bytes> + Send {
        let starts = (0..self.bytes).step_by(PIECE_BYTES);
        starts.map(move |at| Bytes::from(vec![b'x'; PIECE_BYTES.min(self.bytes - at)]))
    }

    /// Returns the head of the request.
    pub fn head(self) -> String {
        let framing = match self.framing {
            Framing::Length => format!("content-length: {}", self.bytes),
            Framing::Chunked => "transfer-encoding: chunked".to_owned(),
        };
        let Self { path, key, .. } = self;
        format!(
            "POST {path} HTTP/1.1\r\nhost: h.example\r\nrequest-id: u-1\r\ndeadline-ms: 5000\r\n\
             authorization: {key}\r\n{framing}\r\n\r\n"
        )
    }

    fn written_piece(self, piece: &Bytes) -> Vec<u8> {
        match self.framing {
            Framing::Length => piece.to_vec(),
            Framing::Chunked => {
                let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
                chunk.extend_from_slice(piece);
                chunk.extend_from_slice(b"\r\n");
                chunk
            }
        }
    }

    /// Writes the whole request.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn write(self, stream: &mut TcpStream) -> io::Result<()> {
        stream.write_all(self.head().as_bytes()).await?;
        for piece in self.pieces() {
            stream.write_all(&self.written_piece(&piece)).await?;
            time::sleep(self.pause).await;
        }
        match self.framing {
            Framing::Length => Ok(()),
            Framing::Chunked => stream.write_all(b"0\r\n\r\n").await,
        }
    }
}

/// Reads the next answer, whose body must have a length. Returns `None` if the connection ends first.
pub async fn read_answer(stream: &mut TcpStream) -> Option<u16> {
    let mut received = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&received);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let field = |name: &str| head.lines().find_map(|l| l.strip_prefix(name));
            let length: usize = field("content-length: ")?.parse().ok()?;
            if body.len() >= length {
                return head.split(' ').nth(1)?.parse().ok();
            }
        }
        let count = stream.read(&mut chunk).await.ok().filter(|c| *c > 0)?;
        received.extend_from_slice(&chunk[..count]);
    }
}

/// Sends a request from a caller that writes all of it before it reads.
async fn write_then_read(addr: SocketAddr, upload: Upload) -> Option<u16> {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    // Most callers of this kind do not read after a write that failed.
    upload.write(&mut stream).await.ok()?;
    read_answer(&mut stream).await
}

/// Sends a request from a caller that reads while it writes.
async fn write_and_read(addr: SocketAddr, upload: Upload) -> Option<u16> {
    let parts = stream::unfold(upload.pieces(), move |mut pieces| async move {
        let piece = pieces.next()?;
        time::sleep(upload.pause).await;
        Some((Ok::<_, Infallible>(Frame::data(piece)), pieces))
    });
    let mut builder = Request::post(upload.path)
        .header("host", "h.example")
        .header("request-id", "u-1")
        .header("deadline-ms", "5000")
        .header("authorization", upload.key);
    if matches!(upload.framing, Framing::Length) {
        builder = builder.header("content-length", upload.bytes);
    }
    let body = StreamBody::new(Box::pin(parts));
    let request = builder.body(body).expect("a request");
    let stream = TcpStream::connect(addr).await.expect("a connection");
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let answer = sender.send_request(request).await;
    driver.abort();
    Some(answer.ok()?.status().as_u16())
}

/// When a caller reads.
#[derive(Clone, Copy, Debug)]
pub enum Caller {
    /// After it has written the whole request.
    WritesThenReads,
    /// From the start.
    WritesAndReads,
}

/// Sends a request over a new connection, and returns the status of its answer, if there is one.
///
/// # Panics
/// Neither an answer nor the end of the connection came within [`ANSWER_TIMEOUT`].
pub async fn send(caller: Caller, addr: SocketAddr, upload: Upload) -> Option<u16> {
    let answered = async {
        match caller {
            Caller::WritesThenReads => write_then_read(addr, upload).await,
            Caller::WritesAndReads => write_and_read(addr, upload).await,
        }
    };
    time::timeout(ANSWER_TIMEOUT, answered)
        .await
        .expect("an answer or the end of the connection")
}
