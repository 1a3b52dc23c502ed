//! The body of a caller's request, of which the rest is discarded when the request is refused.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response,
    body::{Body, Frame, Incoming, SizeHint},
    header::{CONNECTION, EXPECT, HeaderValue},
};
use tokio::time;
use tokio_util::sync::CancellationToken;

/// Bytes of a refused body that are discarded before its connection is closed. Callers that read only after they have
/// written rarely send more.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// Time for the rest of a refused body. A planned stop waits for it, so it is far shorter than any grace period.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(3);

/// How the discarding of a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DiscardEnd {
    /// The whole body was read.
    Whole,
    /// The caller closed the connection.
    CallerLeft,
    /// The rest is longer than [`MAX_DISCARDED_BYTES`].
    TooLong,
    /// The rest took longer than [`MAX_DISCARD_TIME`].
    TooSlow,
}

/// The body of a request.
#[derive(Debug)]
pub struct CallerBody {
    incoming: Incoming,
    /// The caller sends the body only once it is asked for.
    awaits_continue: bool,
    has_ended: bool,
}

impl CallerBody {
    /// Takes the body of a request with these headers.
    pub fn new(headers: &HeaderMap, incoming: Incoming) -> Self {
        Self {
            awaits_continue: headers.contains_key(EXPECT),
            incoming,
            has_ended: false,
        }
    }

    /// Reads and discards the rest of a refused body while the refusal is sent. Closing a connection with unread bytes
    /// resets it, and the reset can overtake the refusal. If there is more than the limits allow, `cut` is cancelled,
    /// which must close the connection. A body that the caller was not asked for may never come, so that nothing can
    /// follow it on its connection.
    pub fn discard_rest<B>(self, refusal: &mut Response<B>, cut: CancellationToken) {
        if self.is_end_stream() {
            return;
        }
        if self.awaits_continue {
            let close = HeaderValue::from_static("close");
            refusal.headers_mut().insert(CONNECTION, close);
            return;
        }
        tokio::spawn(async move {
            let discarding = discard(self.incoming, MAX_DISCARDED_BYTES);
            let end = time::timeout(MAX_DISCARD_TIME, discarding).await;
            let end = end.unwrap_or(DiscardEnd::TooSlow);
            if matches!(end, DiscardEnd::TooLong | DiscardEnd::TooSlow) {
                log::info!(target: "ryevalve::request", end:?; "refused_body_cut");
                cut.cancel();
            }
        });
    }
}

async fn discard<B>(mut body: B, max_bytes: usize) -> DiscardEnd
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut discarded_bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return DiscardEnd::CallerLeft;
        };
        discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
        if discarded_bytes > max_bytes {
            return DiscardEnd::TooLong;
        }
    }
    DiscardEnd::Whole
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        // hyper asks for the body when it is first polled.
        self.awaits_continue = false;
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        self.has_ended |= matches!(polled, Poll::Ready(None | Some(Err(_))));
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.has_ended || self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
