//! A caller's connection, which is reset unless the answer that it delimits is complete.
//!
//! A caller of HTTP/1.0 gets no chunks: an answer without a length ends for it with its connection, and one that breaks
//! must not end like a complete one. So the kernel is told to reset the connection when it is closed, before the first
//! byte of such an answer is written, and not to do so any more once the answer is complete. This holds however the
//! connection ends: with a failed body, a task that is dropped, or a process that is killed.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, BodyStream, StreamBody};
use hyper::{
    Response, Version,
    body::{Body as HttpBody, Frame, SizeHint},
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue},
};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::entry::answer::Body;

/// Answers are delimited by their length or by chunks.
const MARKED: u8 = 0;
/// The last answer is delimited by the close of the connection, and is not complete.
const INCOMPLETE: u8 = 1;
/// The last answer is delimited by the close of the connection, and has been taken from its body whole.
const COMPLETE: u8 = 2;

/// Whether the close of a connection delimits its last answer, and whether that is complete.
#[derive(Clone, Debug, Default)]
pub struct CloseDelimited(Arc<AtomicU8>);

impl CloseDelimited {
    /// Notes the answer to a request of this version; returns it with a body that notes its end.
    pub fn watch(&self, requested: Version, response: Response<Body>) -> Response<Body> {
        if !is_delimited_by_close(requested, &response) {
            return response;
        }
        self.set(INCOMPLETE);
        let close_delimited = self.clone();
        response.map(|inner| {
            let watched = WatchedBody {
                inner,
                close_delimited,
            };
            watched.boxed_unsync()
        })
    }

    fn is_begun(&self) -> bool {
        self.0.load(Ordering::Relaxed) != MARKED
    }

    fn is_complete(&self) -> bool {
        self.0.load(Ordering::Relaxed) == COMPLETE
    }

    fn set(&self, state: u8) {
        self.0.store(state, Ordering::Relaxed);
    }
}

fn is_delimited_by_close(requested: Version, response: &Response<Body>) -> bool {
    let body = response.body();
    requested.min(response.version()) < Version::HTTP_11
        && !body.is_end_stream()
        && body.size_hint().exact().is_none()
        && !response.headers().contains_key(CONTENT_LENGTH)
}

/// Lets the close of the connection delimit an answer, without a length or chunks: as hyper does for one of HTTP/1.0.
pub fn delimit_by_close(response: Response<Body>) -> Response<Body> {
    // The frames alone tell neither the length of the body nor that it is empty.
    let mut response = response.map(|body| StreamBody::new(BodyStream::new(body)).boxed_unsync());
    *response.version_mut() = Version::HTTP_10;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// The body of an answer that the close of its connection delimits.
struct WatchedBody {
    inner: Body,
    close_delimited: CloseDelimited,
}

impl HttpBody for WatchedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        let is_last = match &frame {
            None => true,
            // A body that says so is not polled again.
            Some(Ok(_)) => self.inner.is_end_stream(),
            Some(Err(_)) => false,
        };
        if is_last {
            self.close_delimited.set(COMPLETE);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A caller's connection.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    close_delimited: CloseDelimited,
    resets_on_close: bool,
}

impl CallerStream {
    /// Wraps a connection whose answers are noted in `close_delimited`.
    pub fn new(stream: TcpStream, close_delimited: CloseDelimited) -> Self {
        Self {
            stream,
            close_delimited,
            resets_on_close: false,
        }
    }

    /// Prepares the connection for the answer that is about to be written.
    fn begin_write(&mut self) -> io::Result<()> {
        if self.resets_on_close || !self.close_delimited.is_begun() {
            return Ok(());
        }
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
        self.resets_on_close = true;
        Ok(())
    }

    /// Lets the connection end in order, if its answer is complete.
    fn begin_shutdown(&mut self) -> io::Result<()> {
        if !self.resets_on_close {
            return Ok(());
        }
        if !self.close_delimited.is_complete() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        SockRef::from(&self.stream).set_linger(None)?;
        self.resets_on_close = false;
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_write()?;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.begin_shutdown()?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
