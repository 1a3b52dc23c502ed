//! Bounds the head of an answer, together with the interim answers before it.
//!
//! hyper bounds each head, but reads and drops any number of interim ones.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The most bytes read until an answer's head is known. What was read of the body by then counts, too: a few buffers of
/// hyper, of 64 KB each.
const MAX_HEAD_BYTES: usize = 512 << 10;
/// No head is awaited.
const UNLIMITED: usize = usize::MAX;

/// The bytes that may be read of a connection until the head of its next answer is known.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    left_bytes: Arc<AtomicUsize>,
}

impl Default for HeadLimit {
    fn default() -> Self {
        Self {
            left_bytes: Arc::new(AtomicUsize::new(UNLIMITED)),
        }
    }
}

impl HeadLimit {
    /// Begins to count, when a request is sent.
    pub fn begin(&self) {
        self.left_bytes.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the count, when the head is known.
    pub fn end(&self) {
        self.left_bytes.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Returns whether the connection has broken because the head is too long.
    pub fn is_used_up(&self) -> bool {
        self.left_bytes.load(Ordering::Relaxed) == 0
    }

    fn count(&self, bytes: usize) -> io::Result<()> {
        let update = |left| (left != UNLIMITED).then(|| usize::saturating_sub(left, bytes));
        let relaxed = Ordering::Relaxed;
        // An error means that no head is awaited.
        let _ = self.left_bytes.fetch_update(relaxed, relaxed, update);
        match self.is_used_up() {
            true => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the head of the answer is too long",
            )),
            false => Ok(()),
        }
    }
}

/// A stream whose reads count against a [`HeadLimit`].
#[derive(Debug)]
pub struct HeadLimited<S> {
    /// The stream.
    pub stream: S,
    /// The limit.
    pub limit: HeadLimit,
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        Poll::Ready(self.limit.count(buffer.filled().len() - filled_before))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
