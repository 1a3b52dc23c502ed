//! Holds what was read of an endpoint's answer until its caller takes it, within the limits of [`HeldBytes`].
//!
//! The endpoint's answer is read independently of the caller, so that the endpoint is free as soon as its run ends.

use std::{
    collections::VecDeque,
    convert::Infallible,
    io::{self, Read},
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    body::{Frame, SizeHint},
    header::HeaderValue,
};
use prometheus_client::metrics::counter::Counter;
use tokio::{
    sync::{Notify, mpsc},
    time,
};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};

use crate::{
    clock::Clock,
    entry::answer::Body,
    gateway::{attempt, caller_idle::ConnectionActivity, state::lock, unanswered::UnansweredSlot},
    limits::held_bytes::{CutHolder, HeldBytes, HeldLimits, HolderId},
    prelude::Name,
};

/// Memory that a part takes beside its bytes.
const PART_OVERHEAD_BYTES: usize = 64;
/// Time for the last events to reach the caller before its connection is closed.
const FLUSH_DELAY: Duration = Duration::from_millis(30);

/// A caller's connection, which can be cut.
#[derive(Clone, Debug, Default)]
pub struct CallerConnection {
    /// Closes the connection, whatever is written to it.
    pub cut: CancellationToken,
    /// The request that the connection leaves without a complete answer.
    pub unanswered: UnansweredSlot,
    /// Its requests in progress.
    pub activity: ConnectionActivity,
}

/// Cuts a caller, and names its request in the log.
#[derive(Clone, Debug)]
pub struct CallerHandle {
    /// The connection.
    pub connection: CallerConnection,
    /// The id of the request, if it has one.
    pub request_id: Option<HeaderValue>,
    /// The route of the request.
    pub route: Name,
}

/// The total of bytes held is used up, and no other caller can be cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// The bytes that a gateway holds for its callers.
pub struct HeldMemory {
    clock: Clock,
    held: Mutex<HeldBytes<CallerHandle>>,
    callers_cut: Counter,
}

impl HeldMemory {
    /// Creates the account of a gateway; `callers_cut` counts the callers that are cut.
    pub fn new(clock: Clock, limits: HeldLimits, callers_cut: Counter) -> Self {
        Self {
            clock,
            held: Mutex::new(HeldBytes::new(limits)),
            callers_cut,
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&self, limits: HeldLimits) {
        lock(&self.held).set_limits(limits);
    }

    /// Returns the bytes held in all.
    pub fn total_bytes(&self) -> usize {
        lock(&self.held).total_bytes()
    }

    fn cut(&self, holder: &CutHolder<CallerHandle>) {
        self.callers_cut.inc();
        let (total_bytes, limits) = {
            let held = lock(&self.held);
            (held.total_bytes(), held.limits())
        };
        log::warn!(
            target: "ryevalve::request",
            request_id = attempt::header_for_log(holder.handle.request_id.as_ref()),
            route = &*holder.handle.route,
            held_bytes = holder.bytes,
            idle_ms = holder.idle_us / 1_000,
            held_in_all_bytes = total_bytes,
            limit_bytes = limits.total_bytes;
            "caller_cut"
        );
        holder.handle.connection.cut.cancel();
    }
}

/// The bytes held of one request or answer; they are released on drop.
pub struct HeldAccount {
    memory: Arc<HeldMemory>,
    id: HolderId,
}

impl HeldAccount {
    /// Opens an account without bytes.
    pub fn open(memory: &Arc<HeldMemory>, handle: CallerHandle) -> Self {
        let now_us = memory.clock.now_us();
        Self {
            id: lock(&memory.held).open(now_us, handle),
            memory: memory.clone(),
        }
    }

    /// Holds more bytes, and cuts other callers where that is needed.
    ///
    /// # Errors
    /// The bytes must not be held.
    pub fn hold(&self, bytes: usize) -> Result<(), NoRoom> {
        let now_us = self.memory.clock.now_us();
        let outcome = lock(&self.memory.held).hold(now_us, self.id, bytes);
        for holder in &outcome.cut {
            self.memory.cut(holder);
        }
        if outcome.is_held { Ok(()) } else { Err(NoRoom) }
    }

    /// Releases bytes that the caller has taken.
    pub fn take(&self, bytes: usize) {
        let now_us = self.memory.clock.now_us();
        lock(&self.memory.held).take(now_us, self.id, bytes);
    }

    /// Releases bytes without progress of the caller.
    pub fn release(&self, bytes: usize) {
        lock(&self.memory.held).release(self.id, bytes);
    }

    /// Notes that the caller sends.
    pub fn note_progress(&self) {
        let now_us = self.memory.clock.now_us();
        lock(&self.memory.held).note_progress(now_us, self.id);
    }

    /// Sets whether the caller is to read or send now, so that it can be cut.
    pub fn wait_for_caller(&self, waits: bool) {
        let now_us = self.memory.clock.now_us();
        lock(&self.memory.held).wait_for_caller(now_us, self.id, waits);
    }

    fn limits(&self) -> HeldLimits {
        lock(&self.memory.held).limits()
    }
}

impl Drop for HeldAccount {
    fn drop(&mut self) {
        lock(&self.memory.held).close(self.id);
    }
}

/// A part of a buffered stream.
enum Part {
    Events(Bytes),
    /// The stream is complete.
    End,
}

struct Shared {
    account: HeldAccount,
    /// Bytes that the caller can take.
    queued_bytes: AtomicUsize,
    has_taken: Notify,
}

/// Creates the buffer of a stream.
pub fn stream_buffer(account: HeldAccount) -> (StreamWriter, StreamReader) {
    account.wait_for_caller(true);
    let shared = Arc::new(Shared {
        account,
        queued_bytes: AtomicUsize::new(0),
        has_taken: Notify::new(),
    });
    let (sender, parts) = mpsc::unbounded_channel();
    let writer = StreamWriter {
        shared: shared.clone(),
        sender,
    };
    (writer, StreamReader { shared, parts })
}

/// The end of a stream's buffer at which events are added. If it is dropped before [`StreamWriter::end`], the stream
/// visibly fails.
pub struct StreamWriter {
    shared: Arc<Shared>,
    sender: mpsc::UnboundedSender<Part>,
}

impl StreamWriter {
    /// Adds events. They are always held, because the caller itself can be cut.
    pub fn push(&self, events: Bytes) {
        if events.is_empty() {
            return;
        }
        let bytes = events.len() + PART_OVERHEAD_BYTES;
        self.shared.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let _ = self.shared.account.hold(bytes);
        // An error means that the caller has left.
        let _ = self.sender.send(Part::Events(events));
    }

    /// Marks the stream as complete.
    pub fn end(self) {
        // An error means that the caller has left.
        let _ = self.sender.send(Part::End);
    }

    /// Returns whether the caller is so far behind that nothing more is read for it.
    pub fn is_full(&self) -> bool {
        let limits = self.shared.account.limits();
        self.shared.queued_bytes.load(Ordering::Relaxed) >= limits.per_caller_bytes
    }

    /// Waits until the caller has taken enough for more to be read.
    pub async fn wait_for_room(&self) {
        while self.is_full() {
            self.shared.has_taken.notified().await;
        }
    }
}

/// The end of a stream's buffer from which the caller takes events.
pub struct StreamReader {
    shared: Arc<Shared>,
    parts: mpsc::UnboundedReceiver<Part>,
}

impl StreamReader {
    /// Returns the body that the caller gets. `relay` fills the buffer; it is aborted if the caller leaves.
    pub fn into_body(self, relay: AbortOnDropHandle<()>) -> Body {
        let parts = stream::unfold(Some((self, relay)), |state| async move {
            let (mut reader, relay) = state?;
            match reader.parts.recv().await {
                Some(Part::Events(events)) => {
                    reader.note_taken(events.len());
                    Some((Ok(Frame::data(events)), Some((reader, relay))))
                }
                Some(Part::End) => None,
                None => {
                    // hyper discards unwritten data when a body fails, so it gets time to write first.
                    time::sleep(FLUSH_DELAY).await;
                    Some((Err(io::Error::other("the stream was cut off")), None))
                }
            }
        });
        StreamBody::new(parts).boxed_unsync()
    }

    fn note_taken(&self, event_bytes: usize) {
        let bytes = event_bytes + PART_OVERHEAD_BYTES;
        self.shared.account.take(bytes);
        self.shared.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.shared.has_taken.notify_one();
    }
}

/// A whole answer that is held until its caller has taken it.
pub struct HeldAnswer {
    chunks: VecDeque<Bytes>,
    bytes: usize,
    account: HeldAccount,
}

impl HeldAnswer {
    /// Creates an empty answer.
    pub fn new(account: HeldAccount) -> Self {
        Self {
            chunks: VecDeque::new(),
            bytes: 0,
            account,
        }
    }

    /// Returns the bytes held.
    pub fn len(&self) -> usize {
        self.bytes
    }

    /// Returns whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Appends bytes as they are read from the endpoint.
    ///
    /// # Errors
    /// There is no room for them.
    pub fn push(&mut self, chunk: Bytes) -> Result<(), NoRoom> {
        if chunk.is_empty() {
            return Ok(());
        }
        self.account.hold(chunk.len())?;
        self.bytes += chunk.len();
        self.chunks.push_back(chunk);
        Ok(())
    }

    /// Returns a reader of the bytes.
    pub fn reader(&self) -> impl Read + '_ {
        ChunkReader {
            chunks: self.chunks.iter(),
            rest: &[],
        }
    }

    /// Returns the body that the caller gets.
    pub fn into_body(self) -> Body {
        self.account.wait_for_caller(true);
        self.map_err(|e: Infallible| match e {}).boxed_unsync()
    }
}

/// Reads chunks one after the other.
struct ChunkReader<'a, I: Iterator<Item = &'a Bytes>> {
    chunks: I,
    rest: &'a [u8],
}

impl<'a, I: Iterator<Item = &'a Bytes>> Read for ChunkReader<'a, I> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.rest.is_empty() {
            let Some(chunk) = self.chunks.next() else {
                return Ok(0);
            };
            self.rest = chunk;
        }
        self.rest.read(buffer)
    }
}

impl hyper::body::Body for HeldAnswer {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(chunk) = self.chunks.pop_front() else {
            return Poll::Ready(None);
        };
        self.bytes -= chunk.len();
        self.account.take(chunk.len());
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes as u64)
    }
}
