//! Relays an event stream to the caller, and resumes it at another endpoint if it breaks or stalls.
//!
//! A task reads the events from the endpoint into a buffer, from which the caller takes them at its own speed. Only whole
//! events are relayed, so that another endpoint can continue after the last one. A stream that stalls keeps its run until
//! another endpoint has accepted the request: its endpoint may only be silent for a moment. A stream that cannot be
//! completed fails visibly: the connection to the caller is closed without the end mark of the chunked body.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{Response, StatusCode, header::HeaderMap};
use tokio_util::task::AbortOnDropHandle;

use crate::{
    caller_stream::delimit_by_close,
    endpoint::framing::Framing,
    entry::answer::Body,
    gateway::{
        answer_ends::{AnswerEnd, END_UNPROVEN},
        attempt::{AttemptError, EndpointResponse, Job},
        caller_buffer::{HeldAccount, StreamWriter, stream_buffer},
        crash_check::{self, LostRun},
        dispatch::wait_until,
        event_source::{EventSource, StreamEnd},
        excess::Excess,
        metrics::Outcome,
        origin_table::StreamOrigin,
        protocol::Protocol,
        refuse,
        report::{Trace, log_answer},
        state::Gateway,
        stream_runs::{Resumption, StreamRuns},
    },
    prelude::Micros,
};

/// A stream without events for this many times the target gap of its route is resumed at another endpoint, if one
/// accepts it. Otherwise the wait goes on: in a surge over 295 instances, most stalled streams had only slowed down.
const STALL_TIMEOUT_GAPS: f64 = 2.0;
/// Lower bound of that time: an endpoint that prefills long prompts pauses its streams.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which the origin of a stream that still runs is recorded again: the archive keeps records for 32 s.
const RECORD_AGAIN_US: Micros = 8_000_000;
/// Time in which another endpoint must show that a stream is whole. Its caller has all events, and waits for the end only.
pub(super) const STREAM_VERIFICATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Reason for resuming a stalled stream.
const STALLED: &str = "stream_silent";
/// Reason for giving up a stream whose time is over.
const TIME_OVER: &str = "timed_out";
/// Reason for giving up a stream that its caller does not read, or reads too slowly.
const CALLER_BEHIND: &str = "caller_behind";

/// The head of the first endpoint's response, and the first events.
pub struct StreamHead {
    status: StatusCode,
    headers: HeaderMap,
    events: Bytes,
    /// What is known of the end of a stream that has ended without an event.
    end: Option<AnswerEnd>,
}

impl StreamHead {
    /// Returns whether the stream has ended without an event, and another run should show that it is whole.
    pub fn is_unproven(&self) -> bool {
        self.end == Some(AnswerEnd::Doubtful)
    }

    /// Takes the end of the stream as proven.
    pub fn confirm_end(&mut self) {
        self.end = Some(AnswerEnd::Whole);
    }
}

/// A stream that is being relayed to a caller.
pub struct Relay<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    job: Arc<Job>,
    source: EventSource<P>,
    headers: HeaderMap,
    runs: StreamRuns,
    first_us: Micros,
    /// When the origin was last recorded, and the changes of members until then.
    origin_recorded: Option<(Micros, u64)>,
}

/// What a stream brings next.
enum Next {
    Events(Bytes),
    Complete,
    /// Nothing yet, from the same run or from another one.
    Wait,
}

impl<P: Protocol> Relay<P> {
    /// Starts with a response whose head has been received.
    pub fn new(gateway: Arc<Gateway<P>>, job: Arc<Job>, received: EndpointResponse<P>) -> Self {
        let (source, headers) = EventSource::new(gateway.clone(), job.clone(), received);
        let runs = StreamRuns {
            tried: Vec::new(),
            count: 1,
            trace: Trace::default(),
        };
        Self {
            gateway,
            job,
            source,
            headers,
            runs,
            first_us: 0,
            origin_recorded: None,
        }
    }

    /// Waits for the first events. Nothing is sent to the caller before that.
    ///
    /// # Errors
    /// There was no event; the endpoint may have run the request.
    pub async fn wait_first_event(&mut self) -> Result<StreamHead, AttemptError> {
        let mut end = None;
        let events = match self.source.next_events(None).await {
            Ok(events) => events,
            // A response without events is complete as well.
            Err(StreamEnd::Complete) => Bytes::new(),
            Err(StreamEnd::Unproven) => {
                end = Some(AnswerEnd::Doubtful);
                self.source.leave_run();
                Bytes::new()
            }
            Err(StreamEnd::NoRoom) => return Err(AttemptError::NoRoom),
            Err(end) => {
                self.source.note_failure();
                return Err(match end {
                    StreamEnd::Broken(reason) => AttemptError::ConnectionLost(reason),
                    StreamEnd::TooManyEvents => AttemptError::Unknown(Excess::Events.as_str()),
                    StreamEnd::NotContinued(reason) => AttemptError::Unknown(reason),
                    _ => AttemptError::Unknown("no_first_event"),
                });
            }
        };
        let now_us = self.gateway.clock.now_us();
        self.first_us = now_us.saturating_sub(self.job.placement_request.arrived_us);
        let seconds = self.first_us as f64 / 1e6;
        self.gateway.metrics.first_seconds.observe(seconds);
        Ok(StreamHead {
            status: self.source.status(),
            headers: std::mem::take(&mut self.headers),
            events,
            end,
        })
    }

    /// Returns whether the run has brought a part of an event that its caller does not have.
    pub fn has_begun_event(&self) -> bool {
        self.source.has_begun_event()
    }

    /// Returns the response to the caller, after these runs of the request. Its body takes the events that a task reads
    /// from the endpoint; the task ends with the body.
    pub async fn into_response(mut self, head: StreamHead, runs: StreamRuns) -> Response<Body> {
        self.runs = runs;
        if head.end.is_some() {
            // Without an event it is not suspicious, so this does not fail.
            let _ = self.source.accept_end();
        }
        let framing = match head.end {
            // An end mark would state more than is known.
            Some(AnswerEnd::Doubtful) => Framing::Close,
            _ => self.source.framing(),
        };
        // Before the caller has an event, after which it may leave, and not by a run that another one has overtaken.
        self.record_origin().await;
        let account = HeldAccount::open(&self.gateway.held_memory, self.job.caller_handle());
        let (writer, reader) = stream_buffer(account);
        // Buffered before the task runs, so that they are written together with the head.
        writer.push(head.events);
        let relay = AbortOnDropHandle::new(tokio::spawn(self.run(writer)));
        let mut response = Response::new(reader.into_body(relay));
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        match framing {
            Framing::Close => delimit_by_close(response),
            Framing::Length | Framing::Chunked => response,
        }
    }

    /// Reads the events into the buffer until the stream ends. Without its end mark the buffer fails visibly.
    async fn run(mut self, writer: StreamWriter) {
        match self.fill(&writer).await {
            Ok(()) => {
                self.record_outcome(Outcome::Served);
                writer.end();
            }
            Err(reason) => {
                self.runs.trace.reason = Some(reason);
                self.record_outcome(Outcome::Broken);
            }
        }
    }

    /// Reads all events into the buffer, as far as there is room.
    ///
    /// # Errors
    /// The stream is lost for good, for the returned reason.
    async fn fill(&mut self, writer: &StreamWriter) -> Result<(), &'static str> {
        while let Some(events) = self.next().await? {
            // The stream may have begun before its service had several versions, or its route another service.
            self.record_origin().await;
            writer.push(events);
            if !self.wait_for_room(writer).await {
                return Err(CALLER_BEHIND);
            }
        }
        Ok(())
    }

    /// Writes where the stream began, if its caller may take it up and it could have begun elsewhere.
    async fn record_origin(&mut self) {
        let now_us = self.gateway.clock.now_us();
        // Other instances hold and archive it after a change of members.
        let is_current = |(at_us, changes_then)| {
            changes_then == self.gateway.member_changes()
                && now_us.saturating_sub(at_us) < RECORD_AGAIN_US
        };
        if self.origin_recorded.is_some_and(is_current) || !self.job.is_repeatable() {
            return;
        }
        let Some(version) = self.source.began_version() else {
            return;
        };
        let service = &self.job.placement_request.service;
        let (route, path) = (&self.job.route, self.job.uri.path());
        if self.gateway.is_only_origin(route, path, service, version) {
            return;
        }
        let is_first = self.origin_recorded.is_none();
        self.origin_recorded = Some((now_us, self.gateway.member_changes()));
        let origin = StreamOrigin {
            service: service.clone(),
            version: version.clone(),
        };
        self.write_origin(&origin).await;
        if is_first && self.gateway.is_joining() {
            self.gateway.wait_until_joined().await;
            self.write_origin(&origin).await;
        }
    }

    /// Writes where the stream began, under the ids by which its caller may name it.
    async fn write_origin(&self, origin: &StreamOrigin) {
        let head = &self.job.head;
        // The id under which an earlier attempt began the stream is the one that its caller names again.
        let began_as = head.resumes.iter().filter(|_| head.resume_after.is_some());
        let organisation = self.job.organisation.as_deref();
        for id in head.request_id.iter().chain(began_as) {
            self.gateway
                .record_origin(organisation, id, origin.clone())
                .await;
        }
    }

    /// Waits while the caller is so far behind that nothing more is read for it; returns false if the time of its request
    /// ends meanwhile.
    async fn wait_for_room(&mut self, writer: &StreamWriter) -> bool {
        if !writer.is_full() {
            return true;
        }
        self.gateway.metrics.reads_paused.inc();
        let clock = self.gateway.clock;
        let since_us = clock.now_us();
        let room = clock
            .timeout_at(self.job.until_us, writer.wait_for_room())
            .await;
        self.source.pauses_mut().record(since_us, clock.now_us());
        room.is_some()
    }

    /// Returns the next events, or `None` after a complete stream.
    ///
    /// # Errors
    /// The stream is lost for good, for the returned reason.
    async fn next(&mut self) -> Result<Option<Bytes>, &'static str> {
        loop {
            let stall_timeout = self.stall_timeout();
            let end = match self.source.next_events(stall_timeout).await {
                Ok(events) => return Ok(Some(events)),
                Err(end) => end,
            };
            let now_us = self.gateway.clock.now_us();
            let is_callers_doing = self.source.pauses_mut().explain_break(now_us);
            let next = match end {
                StreamEnd::Complete => return Ok(None),
                StreamEnd::Unproven => {
                    self.verify_end().await?;
                    Next::Wait
                }
                StreamEnd::Broken(_) | StreamEnd::Stalled | StreamEnd::TimeOver
                    if self.source.is_verifying() =>
                {
                    self.source.accept_end()?;
                    Next::Wait
                }
                StreamEnd::NoRoom => return Err(refuse::NO_MEMORY),
                StreamEnd::TimeOver => {
                    self.source.end_run();
                    return Err(TIME_OVER);
                }
                StreamEnd::TooManyEvents => {
                    self.source.end_run();
                    return Err(Excess::Events.as_str());
                }
                StreamEnd::Broken(_) if is_callers_doing => return Err(CALLER_BEHIND),
                StreamEnd::Broken(reason) => {
                    self.end_broken_run(reason).await;
                    self.resume(reason).await?;
                    Next::Wait
                }
                StreamEnd::NotContinued(reason) => {
                    self.source.leave_run();
                    self.resume(reason).await?;
                    Next::Wait
                }
                StreamEnd::Stalled if is_callers_doing => Next::Wait,
                StreamEnd::Stalled => {
                    let next = self.take_over().await?;
                    self.runs.trace.endpoint = Some(self.source.choice().id.clone());
                    next
                }
            };
            match next {
                Next::Events(events) => return Ok(Some(events)),
                Next::Complete => return Ok(None),
                Next::Wait => {}
            }
        }
    }

    /// Ends a run whose connection broke.
    async fn end_broken_run(&mut self, reason: &'static str) {
        let choice = self.source.choice().clone();
        let answering_us = self.source.answering_us(self.gateway.clock.now_us());
        self.source.end_run();
        self.runs.trace.reason = Some(reason);
        self.runs
            .note_connection_lost(&self.gateway, &self.job, choice, answering_us)
            .await;
    }

    /// Resumes a stream that has no run any more.
    ///
    /// # Errors
    /// No other endpoint continues it.
    async fn resume(&mut self, reason: &'static str) -> Result<(), &'static str> {
        let resumption = Self::resumption(&self.gateway, &self.job, &self.source, reason);
        let received = resumption.resume(&mut self.runs).await.ok_or(reason)?;
        self.source.begin_run(received);
        Ok(())
    }

    /// Lets another endpoint show whether the stream is whole, whose run has ended.
    ///
    /// # Errors
    /// None can, and the stream was most likely broken off.
    async fn verify_end(&mut self) -> Result<(), &'static str> {
        let resumption = Self::resumption(&self.gateway, &self.job, &self.source, END_UNPROVEN);
        let until = self.source.verification_end();
        let received = tokio::select! {
            received = resumption.resume(&mut self.runs) => received,
            () = wait_until(until) => None,
        };
        match received {
            Some(received) => {
                self.source.begin_verification(received, until);
                Ok(())
            }
            None => self.source.accept_end(),
        }
    }

    /// Resumes a stalled stream at another endpoint. The stalled run goes on until that endpoint has accepted the
    /// request and has not ended it at once, and then ends; if it brings an event first, the other run ends.
    ///
    /// # Errors
    /// The stalled run has ended, and no other endpoint continues the stream.
    async fn take_over(&mut self) -> Result<Next, &'static str> {
        let resumption = Self::resumption(&self.gateway, &self.job, &self.source, STALLED);
        let runs_before = self.runs.count;
        let mut resuming = std::pin::pin!(resumption.resume(&mut self.runs));
        let mut has_run = true;
        let mut is_verifying = false;
        let mut verify_until = None;
        loop {
            tokio::select! {
                biased;
                events = self.source.next_events(None), if has_run => match events {
                    Ok(events) => return Ok(Next::Events(events)),
                    Err(StreamEnd::Complete) => return Ok(Next::Complete),
                    Err(StreamEnd::NoRoom) => return Err(refuse::NO_MEMORY),
                    Err(StreamEnd::TimeOver) => return Err(TIME_OVER),
                    Err(StreamEnd::Unproven) => {
                        has_run = false;
                        is_verifying = true;
                        verify_until = self.source.verification_end();
                        self.source.leave_run();
                    }
                    Err(StreamEnd::NotContinued(_)) => {
                        has_run = false;
                        self.source.leave_run();
                    }
                    Err(StreamEnd::TooManyEvents) => {
                        self.source.end_run();
                        return Err(Excess::Events.as_str());
                    }
                    Err(StreamEnd::Broken(_) | StreamEnd::Stalled) => {
                        has_run = false;
                        let lost = LostRun {
                            choice: self.source.choice().clone(),
                            lost_before: runs_before > 1,
                            answering_us: self.source.answering_us(self.gateway.clock.now_us()),
                        };
                        self.source.end_run();
                        crash_check::on_connection_lost(&self.gateway, &self.job, lost).await;
                    }
                },
                () = wait_until(verify_until) => {
                    self.source.accept_end()?;
                    return Ok(Next::Wait);
                }
                received = &mut resuming => {
                    match received {
                        None if is_verifying => self.source.accept_end()?,
                        None if has_run => {}
                        None => return Err(STALLED),
                        Some(received) if is_verifying => {
                            self.source.begin_verification(received, verify_until);
                        }
                        Some(received) if has_run => self.source.replace_run(received).await,
                        Some(received) => self.source.begin_run(received),
                    }
                    return Ok(Next::Wait);
                }
            }
        }
    }

    fn resumption<'a>(
        gateway: &'a Arc<Gateway<P>>,
        job: &'a Arc<Job>,
        source: &EventSource<P>,
        reason: &'static str,
    ) -> Resumption<'a, P> {
        Resumption {
            gateway,
            job,
            began_version: source.began_version().cloned(),
            after: source.resume_point(),
            reason,
        }
    }

    fn record_outcome(&self, outcome: Outcome) {
        self.gateway
            .metrics
            .record_outcome(&self.job.route.name, outcome);
        let trace = Trace {
            longest_gap_us: self.source.longest_gap_us(),
            framing: Some(self.source.framing()),
            events: self.source.events(),
            first_event: self.source.first_id(),
            last_event: self.source.last_id(),
            began_version: self.source.began_version().cloned(),
            ..self.runs.trace.clone()
        };
        let (gateway, status) = (&self.gateway, self.source.status());
        log_answer(gateway, &self.job, outcome, status, self.first_us, &trace);
    }

    /// Returns the time without events after which another endpoint should continue, if that is allowed.
    fn stall_timeout(&self) -> Option<Duration> {
        let (gateway, job) = (&self.gateway, &self.job);
        let may_resume = self
            .runs
            .may_resume(gateway, job, self.source.resume_point());
        let gap = self.job.route.target_gap.mul_f64(STALL_TIMEOUT_GAPS);
        (self.source.has_events() && may_resume).then(|| gap.max(MIN_STALL_TIMEOUT))
    }
}
