//! Relays a series of events as they come, and takes it up at another endpoint if it breaks.
//!
//! Only whole events are passed on, so that another endpoint can go on after the last one. An
//! answer that cannot be brought to its end fails visibly: its connection is closed without the
//! mark of a whole body.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Response, StatusCode,
    body::{Frame, Incoming},
    header::HeaderMap,
};
use tokio::time::{self, Instant};

use crate::{
    balance::{
        balancer::{Choice, Placement},
        load::EndpointKey,
    },
    endpoint::{events::EventCutter, kept::EndpointConnection},
    entry::answer::Body,
    gateway::{
        attempt::{self, Answered, Failed, Job, Sent, Until},
        endings,
        metrics::Outcome,
        protocol::Protocol,
        report::{Trace, log_answer},
        state::Gateway,
    },
    prelude::Micros,
};

/// A stream that says nothing for this many times its useful pause is taken up elsewhere, if another
/// endpoint has room. Else it is waited for on: in a surge over 295 instances streams that had only
/// slowed down were cut 160 ms later, when no room had been found.
const SILENCE_GAPS: f64 = 2.0;
/// And not before this time: an endpoint that reads long prompts pauses its streams.
const SILENCE_MIN: Duration = Duration::from_millis(800);
/// Why a stream was taken up elsewhere that said nothing.
const SILENT: &str = "stream_silent";
/// The last events reach the caller before its connection is cut.
const BEFORE_CUT: Duration = Duration::from_millis(30);

/// The head of the first endpoint's answer, and the events that came with it.
pub struct StreamHead {
    status: StatusCode,
    headers: HeaderMap,
    events: Bytes,
}

struct Source<P: Protocol> {
    body: Incoming,
    /// Given back when the stream ends; dropping it ends the run at the endpoint.
    connection: Option<EndpointConnection>,
    sent: Sent<P>,
    status: StatusCode,
    rests: Option<Option<Duration>>,
    cutter: EventCutter,
    events_seen: u32,
    last_event_us: Micros,
}

/// A stream under way.
pub struct Relay<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    job: Arc<Job>,
    source: Source<P>,
    headers: HeaderMap,
    last_id: Option<u64>,
    tried: Vec<EndpointKey>,
    runs: u32,
    first_us: Micros,
    is_over: bool,
    trace: Trace,
}

/// Why a stream brings no more.
enum End {
    /// It is whole.
    Whole,
    /// It broke.
    Broken(&'static str),
    /// Nothing has come for so long that another endpoint had better go on.
    Silent,
}

impl<P: Protocol> Source<P> {
    fn new(answered: Answered<P>, now_us: Micros) -> (Self, HeaderMap) {
        let (parts, body) = answered.response.into_parts();
        let mut headers = parts.headers;
        let rests = attempt::may_rest(&headers, parts.status);
        attempt::strip_connection_headers(&mut headers);
        let source = Self {
            body,
            connection: Some(answered.connection),
            sent: answered.sent,
            status: parts.status,
            rests,
            cutter: EventCutter::default(),
            events_seen: 0,
            last_event_us: now_us,
        };
        (source, headers)
    }
}

impl<P: Protocol> Relay<P> {
    /// Begins with an answer of which the head has come.
    pub fn new(
        gateway: Arc<Gateway<P>>,
        job: Arc<Job>,
        answered: Answered<P>,
        tried: Vec<EndpointKey>,
        runs: u32,
        trace: Trace,
    ) -> Self {
        let (source, headers) = Source::new(answered, gateway.clock.now_us());
        Self {
            last_id: job.head.resume_after,
            gateway,
            job,
            source,
            headers,
            tried,
            runs: runs + 1,
            first_us: 0,
            is_over: false,
            trace,
        }
    }

    /// Returns the endpoint that the stream comes from.
    pub fn choice(&self) -> &Choice {
        &self.source.sent.choice
    }

    /// Waits until `until` for the first event; before it nothing has been passed on.
    ///
    /// # Errors
    /// None came: the request may have run.
    pub async fn first(&mut self, until: Until) -> Result<StreamHead, Failed> {
        let clock = self.gateway.clock;
        let events = match until.wait(clock, self.next_events()).await {
            Some(Ok(events)) => events,
            // An answer without any event is whole, too.
            Some(Err(End::Whole)) => Bytes::new(),
            Some(Err(End::Broken(reason))) => {
                self.source.sent.failed();
                return Err(Failed::Broke(reason));
            }
            Some(Err(End::Silent)) | None => {
                self.source.sent.failed();
                return Err(Failed::Unknown("no_first_event"));
            }
        };
        let now_us = self.gateway.clock.now_us();
        self.first_us = now_us.saturating_sub(self.job.ask.arrived_us);
        let seconds = self.first_us as f64 / 1e6;
        self.gateway.metrics.first_seconds.observe(seconds);
        Ok(StreamHead {
            status: self.source.status,
            headers: std::mem::take(&mut self.headers),
            events,
        })
    }

    /// Returns the answer that relays the rest.
    pub fn into_response(self, head: StreamHead) -> Response<Body> {
        let first = (!head.events.is_empty()).then_some(head.events);
        let parts = stream::unfold((first, Some(self)), |(first, relay)| async move {
            if let Some(events) = first {
                return Some((Ok(Frame::data(events)), (None, relay)));
            }
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(events)) => Some((Ok(Frame::data(events)), (None, Some(relay)))),
                Some(Err(error)) => Some((Err(error), (None, None))),
                None => None,
            }
        });
        let mut response = Response::new(StreamBody::new(parts).boxed_unsync());
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        response
    }

    /// Returns the next events, none after a whole answer, or an error once the stream is lost.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if self.is_over {
                return None;
            }
            let (reason, other) = match self.next_events().await {
                Ok(events) => return Some(Ok(events)),
                Err(End::Whole) => {
                    self.ended(Outcome::Served);
                    return None;
                }
                Err(End::Broken(reason)) => (reason, None),
                Err(End::Silent) => match self.other_endpoint().await {
                    Some(other) => (SILENT, Some(other)),
                    None => continue,
                },
            };
            self.source.sent.failed();
            // Ends the run there before another one begins.
            drop(self.source.connection.take());
            self.source.sent.end();
            if reason != SILENT {
                self.connection_broke(self.choice().clone()).await;
            }
            self.trace.reason = Some(reason);
            if !self.resume(reason, other).await {
                self.ended(Outcome::Broken);
                // hyper drops what it has not written when a body fails: let it write first.
                time::sleep(BEFORE_CUT).await;
                return Some(Err(io::Error::other(reason)));
            }
        }
    }

    /// Finds out whether the endpoint has ended.
    async fn connection_broke(&mut self, choice: Choice) {
        self.trace.fingerprint = Some(self.job.fingerprint());
        let broke_before = self.runs > 1;
        endings::connection_broke(&self.gateway, &self.job, choice, broke_before).await;
    }

    fn ended(&mut self, outcome: Outcome) {
        self.is_over = true;
        self.gateway.metrics.ended(&self.job.route.name, outcome);
        let (gateway, status) = (&self.gateway, self.source.status);
        log_answer(
            gateway,
            &self.job,
            outcome,
            status,
            self.first_us,
            &self.trace,
        );
    }

    async fn next_events(&mut self) -> Result<Bytes, End> {
        loop {
            let taken = self.source.cutter.take(self.last_id);
            match taken {
                Ok(Some(events)) => {
                    self.last_id = events.last_id.or(self.last_id);
                    self.note_events(events.count);
                    return Ok(events.bytes);
                }
                Ok(None) => {}
                Err(_) => return Err(End::Broken("event_too_long")),
            }
            let until = self.silence_until();
            let clock = self.gateway.clock;
            match until.wait(clock, self.source.body.frame()).await {
                Some(Some(Ok(frame))) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.source.cutter.push(bytes);
                    }
                }
                Some(Some(Err(_))) => return Err(End::Broken("stream_broke")),
                Some(None) if self.source.cutter.has_rest() => {
                    return Err(End::Broken("ended_inside_event"));
                }
                Some(None) => return Err(self.whole()),
                None if self.is_in_time() => return Err(End::Silent),
                None => return Err(End::Broken(SILENT)),
            }
        }
    }

    fn whole(&mut self) -> End {
        self.source.sent.whole();
        self.gateway.note_whole(|| self.job.fingerprint());
        if let (Some(closes_after), Some(connection)) =
            (self.source.rests, self.source.connection.take())
        {
            attempt::keep(&self.gateway, &self.source.sent, connection, closes_after);
        }
        End::Whole
    }

    fn note_events(&mut self, count: u32) {
        let now_us = self.gateway.clock.now_us();
        let source = &mut self.source;
        if source.events_seen == 0 {
            source.sent.first_event();
        } else {
            let gap_us = now_us.saturating_sub(source.last_event_us);
            self.trace.longest_gap_us = self.trace.longest_gap_us.max(gap_us);
            let gap_ms = gap_us as f64 / 1e3;
            let per_event = gap_ms / f64::from(count.max(1));
            let mut balancer = self.gateway.balancer();
            balancer.record_event_gap(source.sent.choice.key, per_event);
        }
        source.events_seen += count;
        source.last_event_us = now_us;
    }

    /// Returns until when the next event is waited for.
    fn silence_until(&self) -> Until {
        let mut until = self.job.until();
        if self.source.events_seen > 0 && self.may_resume() {
            let gap = self.job.route.target_gap.mul_f64(SILENCE_GAPS);
            until.patient_until = Instant::now() + gap.max(SILENCE_MIN);
        }
        until
    }

    fn is_in_time(&self) -> bool {
        self.gateway.clock.now_us() < self.job.until_us
    }

    fn may_resume(&self) -> bool {
        self.job.is_repeatable()
            && self.gateway.blocked_us(|| self.job.fingerprint()).is_none()
            && self.runs < self.job.route.max_attempts
            && self.last_id.is_some()
            && self.gateway.retries_left(&self.job.ask.service) >= 1.0
    }

    /// Chooses another endpoint to go on at, if one has room soon.
    async fn other_endpoint(&self) -> Option<Choice> {
        // Going on has its own time to wait: the first event came long ago.
        let mut ask = self.job.ask.clone();
        ask.arrived_us = self.gateway.clock.now_us();
        match self.gateway.place(&ask, &self.tried).await {
            Placement::Send(choice) => Some(choice),
            Placement::Wait | Placement::Refuse { .. } => None,
        }
    }

    /// Takes the stream up at another endpoint, first at `chosen`; false if it cannot be.
    async fn resume(&mut self, reason: &'static str, mut chosen: Option<Choice>) -> bool {
        while self.may_resume() && self.is_in_time() {
            let choice = match chosen.take() {
                Some(choice) => choice,
                None => match self.other_endpoint().await {
                    Some(choice) => choice,
                    None => return false,
                },
            };
            self.tried.push(choice.key);
            self.trace.attempts += 1;
            self.trace.endpoint = Some(choice.id.clone());
            self.trace.reason = Some(reason);
            if !self.gateway.take_retry(&self.job.ask.service) {
                let tokens = choice.expected.uncached_tokens;
                self.gateway.balancer().end(choice.key, tokens, None);
                return false;
            }
            log::info!(
                target: "ryevalve::request",
                request_id = self.job.id(),
                reason,
                after_event = self.last_id.unwrap_or(0),
                endpoint = &*choice.id,
                retries_left = self.gateway.retries_left(&self.job.ask.service);
                "stream_resumed"
            );
            let tried = choice.clone();
            let until = self.job.until();
            let sent = attempt::send(&self.gateway, &self.job, choice, self.last_id, until).await;
            match sent {
                Ok(answered) if answered.response.status().is_success() && answered.is_signed => {
                    self.runs += 1;
                    (self.source, _) = Source::new(answered, self.gateway.clock.now_us());
                    return true;
                }
                Ok(answered) if answered.not_executed => {}
                Ok(_) => self.runs += 1,
                Err(Failed::NotSent(_)) => {}
                Err(Failed::Broke(_)) => {
                    self.runs += 1;
                    self.connection_broke(tried).await;
                }
                Err(Failed::Unknown(_)) => self.runs += 1,
            }
        }
        if let Some(unused) = chosen {
            let tokens = unused.expected.uncached_tokens;
            self.gateway.balancer().end(unused.key, tokens, None);
        }
        false
    }
}
