//! Notes requests whose connection ends before their answer is complete.

use std::{
    error::Error,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    thread,
};

use hyper::{
    Response,
    body::{Body as HttpBody, Bytes, Frame, SizeHint},
    header::HeaderValue,
};

use crate::{
    entry::answer::Body,
    gateway::{
        attempt::header_for_log,
        protocol::Protocol,
        state::{Gateway, lock},
    },
    prelude::Micros,
};

/// How far a request had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its body was being read.
    Reading,
    /// It had been read, and there was no answer yet.
    Running,
    /// Its answer was being sent.
    Answering,
}

impl Stage {
    fn as_str(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Running => "running",
            Self::Answering => "answering",
        }
    }
}

/// A request whose task ended before its answer was complete.
#[derive(Clone, Debug)]
struct Unanswered {
    request_id: Option<HeaderValue>,
    arrived_us: Micros,
    stage: Stage,
}

/// Where a connection finds the request that it left without a complete answer.
#[derive(Clone, Debug, Default)]
pub struct UnansweredSlot(Arc<Mutex<Option<Unanswered>>>);

/// How a caller's connection ended.
#[derive(Debug)]
pub enum ConnectionEnd {
    /// The caller or this instance closed it.
    Closed,
    /// It broke, or the caller left.
    Failed(hyper::Error),
    /// This instance cut it for want of memory.
    Cut,
}

impl ConnectionEnd {
    /// Returns the label of the counter.
    fn cause(&self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Cut => "cut",
            Self::Failed(error) if error.is_incomplete_message() => "caller_left",
            Self::Failed(error) if error.is_timeout() => "timed_out",
            Self::Failed(error) if error.is_user() => "answer_failed",
            Self::Failed(_) => "broke",
        }
    }

    /// Returns the error with its sources.
    fn error(&self) -> String {
        let Self::Failed(error) = self else {
            return "-".to_owned();
        };
        match error.source() {
            Some(source) => format!("{error}: {source}"),
            None => error.to_string(),
        }
    }
}

/// A request that has no complete answer yet. If it is dropped before [`Self::complete`], it is unanswered.
pub struct PendingAnswer<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    slot: UnansweredSlot,
    request: Option<Unanswered>,
}

impl<P: Protocol> PendingAnswer<P> {
    /// Begins with a request that arrived at `arrived_us`.
    pub fn new(
        gateway: Arc<Gateway<P>>,
        slot: UnansweredSlot,
        request_id: Option<HeaderValue>,
        arrived_us: Micros,
    ) -> Self {
        let request = Some(Unanswered {
            request_id,
            arrived_us,
            stage: Stage::Reading,
        });
        Self {
            gateway,
            slot,
            request,
        }
    }

    /// Sets how far the request has come.
    pub fn set_stage(&mut self, stage: Stage) {
        if let Some(request) = &mut self.request {
            request.stage = stage;
        }
    }

    /// Returns the response with a body that completes the answer when it ends.
    pub fn watch(mut self, response: Response<Body>) -> Response<Body> {
        self.set_stage(Stage::Answering);
        if response.body().is_end_stream() {
            // An empty body is never polled.
            self.complete();
        }
        response.map(|inner| {
            let watched = WatchedBody {
                pending: self,
                inner,
            };
            Body::new(watched)
        })
    }

    fn complete(&mut self) {
        self.request = None;
    }
}

impl<P: Protocol> Drop for PendingAnswer<P> {
    fn drop(&mut self) {
        let Some(request) = self.request.take() else {
            return;
        };
        if thread::panicking() {
            // The task of the connection ends with the panic.
            self.gateway.note_unanswered(&request, "panic", "-");
            return;
        }
        *lock(&self.slot.0) = Some(request);
    }
}

/// The body of an answer.
struct WatchedBody<P: Protocol> {
    pending: PendingAnswer<P>,
    inner: Body,
}

impl<P: Protocol> HttpBody for WatchedBody<P> {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        // A body that fails was cut by this instance, which has logged it.
        let has_ended = matches!(&polled, Poll::Ready(None | Some(Err(_))));
        if has_ended || (polled.is_ready() && self.inner.is_end_stream()) {
            self.pending.complete();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<P: Protocol> Gateway<P> {
    /// Counts and logs the request that a connection left without a complete answer, if there is one.
    pub fn note_connection_end(&self, slot: &UnansweredSlot, end: &ConnectionEnd) {
        let left = lock(&slot.0).take();
        if let Some(request) = left {
            self.note_unanswered(&request, end.cause(), &end.error());
        }
    }

    fn note_unanswered(&self, request: &Unanswered, cause: &'static str, error: &str) {
        self.metrics.count_unanswered(request.stage.as_str(), cause);
        let now_us = self.clock.now_us();
        let decision = lock(&self.unanswered_lines).admit(now_us);
        if decision.left_out > 0 {
            let left_out = decision.left_out;
            log::info!(target: "ryevalve::request", left_out; "requests_unanswered_left_out");
        }
        if !decision.is_written {
            return;
        }
        log::info!(
            target: "ryevalve::request",
            request_id = header_for_log(request.request_id.as_ref()),
            stage = request.stage.as_str(),
            cause, error,
            held_ms = now_us.saturating_sub(request.arrived_us) / 1_000,
            config_version = self.config.version();
            "request_unanswered"
        );
    }
}
