//! The event stream of a model engine: read event by event, resumed after a broken connection, checked for completeness.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, StatusCode,
    header::{self, HeaderValue},
};
use serde::Deserialize;
use snafu::Snafu;
use tokio::time::{self, Instant};

use crate::{
    endpoint::{
        body_end::BodyEnd,
        close_check,
        connection::{Answer, Connection},
        event_limit,
        framing::Framing,
        sse::{BadEvent, Event, MAX_EVENT_BYTES, Splitter},
    },
    prelude::RequestId,
};

/// The data of the last event of a stream.
pub const DONE: &str = "[DONE]";
/// A broken stream is resumed until then after its break, and for as long as its request has time.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);
/// A stream whose request has no time left is resumed until then after its break.
const LATE_RESUME_TIMEOUT: Duration = Duration::from_millis(400);
const RESUME_PAUSE: Duration = Duration::from_millis(50);
const MAX_RESUME_PAUSE: Duration = Duration::from_millis(400);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// A connect that takes longer is tried again: its packets may have been lost.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const CANCEL_PAUSE: Duration = Duration::from_millis(100);
/// The longest error of an engine that is relayed; a message and some details take far less.
const MAX_ERROR_BYTES: usize = 64 << 10;
/// Media type in which errors of engines are relayed.
pub const ERROR_TYPE: HeaderValue = HeaderValue::from_static("application/json");
/// Time for the body of an error, whose head has arrived.
const ERROR_TIMEOUT: Duration = Duration::from_secs(2);
/// A stream without data for this long counts as broken.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a stream did not yield a complete answer.
#[derive(Debug, Snafu)]
pub enum StreamError {
    /// The engine responded with an error status.
    #[snafu(display("the engine answered {status}"))]
    Refused {
        /// The HTTP status.
        status: StatusCode,
        /// The response body of a client error, unless it was broken off.
        body: Option<ErrorBody>,
    },
    /// The stream broke and could not be resumed.
    #[snafu(display("the stream broke after {events} events"))]
    Interrupted {
        /// Number of events received before.
        events: u64,
        /// Whether the engine still responded, so that other requests may be sent to it.
        reachable: bool,
    },
    /// The stream ended normally, but the answer is incomplete.
    #[snafu(display("the stream ended without being whole: {reason}"))]
    Incomplete {
        /// What is missing.
        reason: &'static str,
    },
}

/// The body of an engine's client error.
#[derive(Clone, Debug)]
pub struct ErrorBody {
    /// The bytes that have arrived.
    pub bytes: Bytes,
    /// Whether only the close of its connection delimits it, so that nothing states that these are all.
    pub is_delimited_by_close: bool,
}

/// The token counts that the engine reports in the last event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of answer tokens.
    pub completion_tokens: u32,
    /// Number of prompt tokens that were read from the engine's prefix cache.
    #[serde(default)]
    pub cached_tokens: u32,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(default, borrow)]
    choices: Vec<Choice<'a>>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(default, borrow)]
    text: Option<std::borrow::Cow<'a, str>>,
    #[serde(default, borrow)]
    delta: Option<Delta<'a>>,
    #[serde(default, borrow)]
    finish_reason: Option<std::borrow::Cow<'a, str>>,
}

#[derive(Deserialize)]
struct Delta<'a> {
    #[serde(default, borrow)]
    content: Option<std::borrow::Cow<'a, str>>,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineEvent {
    /// The event's data as the engine sent it.
    pub data: String,
    /// The text that the event adds to the answer.
    pub text: String,
    /// Whether the event carries a token.
    pub is_token: bool,
}

/// A stream in progress.
pub struct EngineStream {
    addr: SocketAddr,
    id: RequestId,
    /// None until the head of a response has arrived.
    answer: Option<Answer>,
    splitter: Splitter,
    events: u64,
    /// More of them are no answer.
    max_events: u64,
    /// Data of old events since the last new one.
    old_bytes: usize,
    tokens: u32,
    /// Whether the events come from a resumption after others, which may come again.
    is_resumed: bool,
    /// End of the request's time.
    deadline: Instant,
    /// Until when the stream is resumed; set from a break until the next event.
    resume_until: Option<Instant>,
    finish_reason: Option<String>,
    usage: Option<Usage>,
    done: bool,
}

impl EngineStream {
    /// Sends the request over an open connection. From here on it may have run. Its time ends at `deadline`; its answer has
    /// `max_tokens` at most, if that is known.
    ///
    /// # Errors
    /// The engine responded with an error status.
    pub async fn start(
        connection: Connection,
        addr: SocketAddr,
        id: RequestId,
        request: Request<Full<Bytes>>,
        deadline: Instant,
        max_tokens: Option<u32>,
    ) -> Result<Self, StreamError> {
        // Without a response the engine may be running the request all the same, so it is resumed like a broken stream.
        let answer = connection.send(request).await.ok();
        if let Some(answer) = answer {
            let status = answer.response.status();
            if status != StatusCode::OK {
                let body = match status.is_client_error() {
                    true => read_error(answer, addr).await,
                    false => None,
                };
                return RefusedSnafu { status, body }.fail();
            }
            return Ok(Self::new(addr, id, deadline, max_tokens, Some(answer)));
        }
        Ok(Self::new(addr, id, deadline, max_tokens, None))
    }

    fn new(
        addr: SocketAddr,
        id: RequestId,
        deadline: Instant,
        max_tokens: Option<u32>,
        answer: Option<Answer>,
    ) -> Self {
        Self {
            addr,
            id,
            answer,
            splitter: Splitter::default(),
            events: 0,
            max_events: max_tokens.map_or(u64::MAX, event_limit::max_events),
            old_bytes: 0,
            tokens: 0,
            is_resumed: false,
            deadline,
            resume_until: None,
            finish_reason: None,
            usage: None,
            done: false,
        }
    }

    /// Returns the next event, or none after a complete answer.
    ///
    /// # Errors
    /// The stream broke and could not be resumed, or ended with an incomplete answer.
    pub async fn next(&mut self) -> Result<Option<EngineEvent>, StreamError> {
        loop {
            match self.next_event().await {
                Ok(Some(event)) => {
                    if let Some(engine_event) = self.apply_event(event)? {
                        return Ok(Some(engine_event));
                    }
                }
                Ok(None) if self.done => return self.check_complete().map(|()| None),
                Ok(None) | Err(Unread::Broken) => self.resume().await?,
                // The engine continues the same run, so a resumption would bring the same event.
                Err(Unread::TooLong) => {
                    let reason = "an event is too long";
                    return IncompleteSnafu { reason }.fail();
                }
            }
        }
    }

    /// Returns the engine's token counts, once received.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// Returns the engine's reason for the end of the answer, once received.
    pub fn finish_reason(&self) -> Option<&str> {
        self.finish_reason.as_deref()
    }

    /// Returns the number of tokens received.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    async fn next_event(&mut self) -> Result<Option<Event>, Unread> {
        loop {
            if let Some(event) = self.splitter.next()? {
                return Ok(Some(event));
            }
            if self.done {
                return Ok(None);
            }
            let answer = self.answer.as_mut().ok_or(Unread::Broken)?;
            let frame = time::timeout(IDLE_TIMEOUT, answer.response.body_mut().frame()).await;
            match frame.map_err(|_| Unread::Broken)? {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                }
                Some(Err(_)) => return Err(Unread::Broken),
                None => return Ok(None),
            }
        }
    }

    /// Applies a received event. Returns none for the last event and for events that were received before a resume.
    fn apply_event(&mut self, event: Event) -> Result<Option<EngineEvent>, StreamError> {
        if event.data == DONE {
            self.done = true;
            return Ok(None);
        }
        match event.id {
            Some(id) if id <= self.events => return self.skip_old(&event).map(|()| None),
            Some(id) if id > self.events + 1 => {
                let reason = "an event is missing";
                return IncompleteSnafu { reason }.fail();
            }
            None if self.is_resumed => {
                let reason = "an event of a resumption has no id";
                return IncompleteSnafu { reason }.fail();
            }
            _ => self.events += 1,
        }
        if self.events > self.max_events {
            let reason = "it has more events than its tokens allow";
            return IncompleteSnafu { reason }.fail();
        }
        self.old_bytes = 0;
        self.resume_until = None;
        let Ok(chunk) = serde_json::from_str::<Chunk<'_>>(&event.data) else {
            let reason = "an event cannot be read";
            return IncompleteSnafu { reason }.fail();
        };
        if chunk.usage.is_some() {
            self.usage = chunk.usage;
        }
        let mut text = String::new();
        let mut finished = None;
        for choice in &chunk.choices {
            let delta = choice.delta.as_ref().and_then(|d| d.content.as_deref());
            text.push_str(choice.text.as_deref().or(delta).unwrap_or_default());
            finished = choice.finish_reason.as_deref().or(finished);
        }
        if let Some(reason) = finished {
            self.finish_reason = Some(reason.to_owned());
        }
        let is_token = !text.is_empty();
        self.tokens += u32::from(is_token);
        Ok(Some(EngineEvent {
            text,
            is_token,
            data: event.data,
        }))
    }

    /// Skips an event that was received before. An engine may send as many as a long event takes.
    fn skip_old(&mut self, event: &Event) -> Result<(), StreamError> {
        self.old_bytes += event.data.len().max(1);
        if self.old_bytes > MAX_EVENT_BYTES {
            let reason = "old events come without end";
            return IncompleteSnafu { reason }.fail();
        }
        Ok(())
    }

    fn check_complete(&self) -> Result<(), StreamError> {
        let reason = match (&self.finish_reason, self.usage) {
            (None, _) => "it has no finish reason",
            (_, Some(usage)) if usage.completion_tokens != self.tokens => "tokens are missing",
            _ => return Ok(()),
        };
        IncompleteSnafu { reason }.fail()
    }

    /// Reconnects to the stream after the last received event. The engine continues the same run, so the request is not
    /// sent again.
    async fn resume(&mut self) -> Result<(), StreamError> {
        let events = self.events;
        let now = Instant::now();
        let until = *self.resume_until.get_or_insert(
            (now + RESUME_TIMEOUT)
                .min(self.deadline)
                .max(now + LATE_RESUME_TIMEOUT),
        );
        let mut reachable = false;
        let mut pause = RESUME_PAUSE;
        while Instant::now() + pause < until {
            time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RESUME_PAUSE);
            let connecting = time::timeout(CONNECT_TIMEOUT, Connection::open(self.addr));
            let Ok(Ok(connection)) = connecting.await else {
                continue;
            };
            let Ok(answer) = connection.send(resume_request(self.id, events)).await else {
                continue;
            };
            reachable = true;
            match answer.response.status() {
                StatusCode::OK => {
                    self.answer = Some(answer);
                    self.is_resumed = events > 0;
                    self.splitter = Splitter::default();
                    return Ok(());
                }
                StatusCode::NOT_FOUND => break,
                _ => {}
            }
        }
        InterruptedSnafu { events, reachable }.fail()
    }
}

/// Why the next event was not read.
enum Unread {
    /// The connection broke, or its data cannot be parsed.
    Broken,
    /// The event is too long.
    TooLong,
}

impl From<BadEvent> for Unread {
    fn from(error: BadEvent) -> Self {
        match error {
            BadEvent::TooLong => Self::TooLong,
            BadEvent::NotUtf8 => Self::Broken,
        }
    }
}

/// Cancels a request at the engine, which may be silent for a moment. Failures are ignored.
pub async fn cancel(addr: SocketAddr, id: RequestId) {
    let cancelling = async {
        while !try_cancel(addr, id).await {
            time::sleep(CANCEL_PAUSE).await;
        }
    };
    // An engine that cannot be reached completes the request in vain; nothing more can be done about it.
    let _ = time::timeout(CANCEL_TIMEOUT, cancelling).await;
}

/// Tries to cancel a request; returns whether the engine answered.
async fn try_cancel(addr: SocketAddr, id: RequestId) -> bool {
    let connecting = time::timeout(CONNECT_TIMEOUT, Connection::open(addr));
    let Ok(Ok(connection)) = connecting.await else {
        return false;
    };
    let request = stream_request(Method::DELETE, id, None);
    connection.send(request).await.is_ok()
}

fn resume_request(id: RequestId, after: u64) -> Request<Full<Bytes>> {
    stream_request(Method::GET, id, Some(after))
}

fn stream_request(method: Method, id: RequestId, after: Option<u64>) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("/v1/streams/{id}"))
        .header(header::HOST, "engine");
    if let Some(after) = after {
        builder = builder.header("last-event-id", after);
    }
    builder.body(Full::default()).unwrap_or_default()
}

/// Reads the body of an error, which callers get as JSON; returns `None` if it was broken off.
async fn read_error(answer: Answer, addr: SocketAddr) -> Option<ErrorBody> {
    let Answer { response, driver } = answer;
    let is_delimited_by_close = Framing::of(&response) == Framing::Close;
    let body = Limited::new(response.into_body(), MAX_ERROR_BYTES).collect();
    let collected = time::timeout(ERROR_TIMEOUT, body).await.ok()?.ok()?;
    drop(driver);
    let bytes = collected.to_bytes();
    if is_delimited_by_close {
        let is_whole = match BodyEnd::of_body(Some(&ERROR_TYPE), &*bytes) {
            BodyEnd::Shown => true,
            BodyEnd::Missing => false,
            BodyEnd::Unknown => close_check::is_confirmed(addr).await,
        };
        if !is_whole {
            return None;
        }
    }
    Some(ErrorBody {
        bytes,
        is_delimited_by_close,
    })
}
