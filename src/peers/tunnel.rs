//! Tunnels: connections to endpoints through another instance, over TCP.
//!
//! The instance that carries a tunnel first sends a challenge, so that a recorded handshake is of no use to others. The
//! call and its reply are authenticated by the cluster's key. After that, bytes to the endpoint are sent as they are,
//! and bytes from it in frames: a tunnel that breaks must not look like a connection that the endpoint has closed.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures::{SinkExt, Stream, StreamExt};
use rand::RngExt;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, Join},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time,
};
use tokio_util::{
    codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
    io::StreamReader,
    sync::CancellationToken,
};

use crate::{
    balance::load::EndpointKey,
    peers::datagram::{Authenticator, DatagramError},
    prelude::Micros,
};

/// Bytes of the endpoint in one frame.
const CHUNK_BYTES: usize = 16 << 10;
/// The longest frame, with its tag.
const MAX_FRAME_BYTES: usize = CHUNK_BYTES + 1;
const CHALLENGE_BYTES: usize = 16;
/// An idle connection between instances is probed after this time, and then each second.
const KEEP_ALIVE_AFTER: Duration = Duration::from_secs(3);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// A connection between instances is given up when bytes or probes stay unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(6);
/// How long bytes to an endpoint that has closed its connection are still read, so that its last bytes are not lost by
/// a reset.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Tags of the frames from the endpoint.
mod frame {
    /// Bytes of the endpoint follow.
    pub const DATA: u8 = 0;
    /// The endpoint has closed its connection.
    pub const END: u8 = 1;
    /// The carrying instance stops: no further request is to be sent through this tunnel.
    pub const RETIRING: u8 = 2;
}

/// What an instance asks of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelCall {
    /// Connects to an endpoint, and carries the connection.
    Connect(EndpointKey),
    /// States what an endpoint announced in an answer that came through a tunnel: it holds for the instance from whose
    /// address the request came.
    Announce {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Whether it announced that it leaves.
        leaves: bool,
        /// The back-off that it requested, in microseconds; 0 for none.
        back_off_us: Micros,
    },
}

/// The reply to a [`TunnelCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelReply {
    /// The call is carried out; a connect has succeeded.
    Done,
    /// The call is not carried out.
    Declined(TunnelRefusal),
}

/// Why an instance carries no connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelRefusal {
    /// The endpoint refuses connections, while the instance reaches others.
    EndpointRefuses,
    /// The endpoint does not answer, while the instance reaches others.
    EndpointSilent,
    /// The instance does not reach the service's endpoints itself.
    CutOff,
    /// The endpoint leaves or asked the instance to back off, or its data centre is evacuated.
    Withheld,
    /// The instance does not know the endpoint.
    UnknownEndpoint,
    /// The instance carries as many connections as it may.
    Full,
    /// The instance stops.
    Stopping,
}

/// Why a tunnel was not opened.
#[derive(Debug, Snafu)]
pub enum TunnelError {
    /// The other instance was not reached, or the connection to it broke.
    #[snafu(display("cannot reach the instance at {addr}: {source}"))]
    Link {
        /// The instance.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The other instance closed the connection in the handshake.
    #[snafu(display("the handshake was broken off"))]
    BrokenOff,
    /// A message is not authentic or cannot be decoded.
    #[snafu(display("invalid message: {source}"))]
    Invalid {
        /// The reason.
        source: DatagramError,
    },
    /// A message answers another challenge.
    #[snafu(display("the message answers another challenge"))]
    Replayed,
    /// The other instance declined.
    #[snafu(display("declined: {refusal:?}"))]
    Declined {
        /// The reason.
        refusal: TunnelRefusal,
    },
}

/// Seals and opens the messages of one handshake.
struct Handshake<'a> {
    authenticator: &'a Authenticator,
    challenge: Bytes,
}

impl Handshake<'_> {
    fn seal<T: Serialize>(&self, message: &T) -> Bytes {
        // Encoding plain data into a vector does not fail.
        let mut bytes = postcard::to_stdvec(&(&*self.challenge, message)).unwrap_or_default();
        self.authenticator.seal(&mut bytes);
        bytes.into()
    }

    fn open<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<T, TunnelError> {
        let body = self.authenticator.open(bytes).context(InvalidSnafu)?;
        let decoded = postcard::from_bytes::<(Vec<u8>, T)>(body);
        let (challenge, message) = decoded
            .map_err(|source| DatagramError::Unreadable { source })
            .context(InvalidSnafu)?;
        snafu::ensure!(challenge == *self.challenge, ReplayedSnafu);
        Ok(message)
    }
}

/// The frames of a connection between two instances.
type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
type FrameWriter = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Splits a connection between two instances into frames, and bounds how long it may be silent.
fn split(stream: TcpStream) -> (FrameReader, FrameWriter) {
    let socket = SockRef::from(&stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_AFTER)
        .with_interval(KEEP_ALIVE_INTERVAL);
    // Without these options a connection only takes longer to be given up, or its small messages to be sent.
    let _ = socket.set_tcp_keepalive(&keep_alive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let reader = FramedRead::new(reader, codec());
    (reader, FramedWrite::new(writer, codec()))
}

async fn next_frame(reader: &mut FrameReader, addr: SocketAddr) -> Result<BytesMut, TunnelError> {
    let frame = reader.next().await.context(BrokenOffSnafu)?;
    frame.context(LinkSnafu { addr })
}

/// The state of a tunnel, as the instance at its caller's side sees it.
#[derive(Clone, Debug, Default)]
pub struct TunnelState {
    retires: Arc<AtomicBool>,
}

impl TunnelState {
    /// Returns whether the carrying instance stops, so that no further request may be sent through the tunnel.
    pub fn retires(&self) -> bool {
        self.retires.load(Ordering::Relaxed)
    }
}

/// A connection to an endpoint through another instance.
pub type TunnelStream = Join<StreamReader<TunnelFrames, Bytes>, OwnedWriteHalf>;

/// The bytes of an endpoint that come through a tunnel.
pub struct TunnelFrames {
    frames: FrameReader,
    state: TunnelState,
    has_ended: bool,
}

impl TunnelFrames {
    /// Returns the bytes of a frame, `None` for the end of the endpoint's connection, and no bytes for a notice.
    fn read_frame(&mut self, frame: BytesMut) -> io::Result<Option<Bytes>> {
        let mut frame = frame.freeze();
        match frame.try_get_u8() {
            Ok(frame::DATA) => Ok(Some(frame)),
            Ok(frame::END) => Ok(None),
            Ok(frame::RETIRING) => {
                self.state.retires.store(true, Ordering::Relaxed);
                Ok(Some(Bytes::new()))
            }
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

impl Stream for TunnelFrames {
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            if self.has_ended {
                return Poll::Ready(None);
            }
            let frame = ready!(self.frames.poll_next_unpin(cx));
            // The connection to the other instance ended without the endpoint's.
            let frame = frame.unwrap_or_else(|| Err(io::ErrorKind::ConnectionReset.into()));
            match frame.and_then(|frame| self.read_frame(frame)) {
                Ok(Some(bytes)) if bytes.is_empty() => {}
                Ok(Some(bytes)) => return Poll::Ready(Some(Ok(bytes))),
                Ok(None) => self.has_ended = true,
                Err(error) => {
                    self.has_ended = true;
                    return Poll::Ready(Some(Err(error)));
                }
            }
        }
    }
}

/// Asks the instance at `addr` to carry a connection to an endpoint.
///
/// # Errors
/// There is no tunnel, and nothing was sent to the endpoint.
pub async fn open(
    addr: SocketAddr,
    authenticator: &Authenticator,
    endpoint: EndpointKey,
) -> Result<(TunnelStream, TunnelState), TunnelError> {
    let call = TunnelCall::Connect(endpoint);
    let (frames, writer) = send_call(addr, authenticator, call).await?;
    let state = TunnelState::default();
    let frames = TunnelFrames {
        frames,
        state: state.clone(),
        has_ended: false,
    };
    let stream = tokio::io::join(StreamReader::new(frames), writer.into_inner());
    Ok((stream, state))
}

/// Sends a call to the instance at `addr`, and waits for its reply.
///
/// # Errors
/// The instance was not reached, or declined.
pub async fn send_call(
    addr: SocketAddr,
    authenticator: &Authenticator,
    call: TunnelCall,
) -> Result<(FrameReader, FrameWriter), TunnelError> {
    let stream = TcpStream::connect(addr).await.context(LinkSnafu { addr })?;
    let (mut reader, mut writer) = split(stream);
    let handshake = Handshake {
        authenticator,
        challenge: next_frame(&mut reader, addr).await?.freeze(),
    };
    let sent = writer.send(handshake.seal(&call)).await;
    sent.context(LinkSnafu { addr })?;
    let reply = next_frame(&mut reader, addr).await?;
    match handshake.open(&reply)? {
        TunnelReply::Done => Ok((reader, writer)),
        TunnelReply::Declined(refusal) => DeclinedSnafu { refusal }.fail(),
    }
}

/// A call received from another instance, which waits for its reply.
pub struct IncomingCall<'a> {
    /// What the other instance asks.
    pub call: TunnelCall,
    handshake: Handshake<'a>,
    reader: FrameReader,
    writer: FrameWriter,
}

impl<'a> IncomingCall<'a> {
    /// Receives the call on a connection of another instance at `from`.
    ///
    /// # Errors
    /// The connection broke, or the other instance does not have the cluster's key.
    pub async fn receive(
        stream: TcpStream,
        from: SocketAddr,
        authenticator: &'a Authenticator,
    ) -> Result<Self, TunnelError> {
        let (mut reader, mut writer) = split(stream);
        let challenge: [u8; CHALLENGE_BYTES] = rand::rng().random();
        let handshake = Handshake {
            authenticator,
            challenge: Bytes::copy_from_slice(&challenge),
        };
        let sent = writer.send(handshake.challenge.clone()).await;
        sent.context(LinkSnafu { addr: from })?;
        let call = next_frame(&mut reader, from).await?;
        Ok(Self {
            call: handshake.open(&call)?,
            handshake,
            reader,
            writer,
        })
    }

    /// Sends the reply.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn reply(&mut self, reply: TunnelReply) -> io::Result<()> {
        let reply = self.handshake.seal(&reply);
        self.writer.send(reply).await
    }

    /// Carries the connection to `endpoint` until either side ends it. Once `retiring` is cancelled, the other
    /// instance is told to send no further request.
    pub async fn carry(self, endpoint: TcpStream, retiring: &CancellationToken) {
        let (from_endpoint, to_endpoint) = endpoint.into_split();
        let upward = send_up(self.reader, to_endpoint);
        let downward = send_down(from_endpoint, self.writer, retiring);
        tokio::pin!(upward);
        let has_ended = tokio::select! {
            // The other instance has closed the tunnel, so the connection to the endpoint is dropped, too.
            () = &mut upward => false,
            has_ended = downward => has_ended,
        };
        if has_ended {
            let _ = time::timeout(DRAIN_TIMEOUT, upward).await;
        }
    }
}

/// Forwards bytes to the endpoint until the other instance closes the tunnel.
async fn send_up(reader: FrameReader, mut to_endpoint: OwnedWriteHalf) {
    let buffered = reader.read_buffer().clone();
    let mut from_instance = reader.into_inner();
    let mut accepts = to_endpoint.write_all(&buffered).await.is_ok();
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(len @ 1..) = from_instance.read(&mut buffer).await {
        // After the endpoint has closed its connection, its last bytes may still be on their way to the instance.
        accepts = accepts && to_endpoint.write_all(&buffer[..len]).await.is_ok();
    }
}

/// Forwards bytes from the endpoint until it closes its connection; returns false if the connection or the tunnel broke.
async fn send_down(
    mut from_endpoint: OwnedReadHalf,
    mut writer: FrameWriter,
    retiring: &CancellationToken,
) -> bool {
    let mut is_retiring = false;
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(CHUNK_BYTES + 1);
        buffer.put_u8(frame::DATA);
        let mut chunk = (&mut buffer).limit(CHUNK_BYTES);
        let frame = tokio::select! {
            read = from_endpoint.read_buf(&mut chunk) => match read {
                Ok(0) => Bytes::from_static(&[frame::END]),
                Ok(_) => buffer.split().freeze(),
                Err(_) => return false,
            },
            () = retiring.cancelled(), if !is_retiring => {
                is_retiring = true;
                buffer.clear();
                Bytes::from_static(&[frame::RETIRING])
            }
        };
        let is_end = frame[0] == frame::END;
        if writer.send(frame).await.is_err() {
            return false;
        }
        if is_end {
            return writer.get_mut().shutdown().await.is_ok();
        }
    }
}
