//! Relays an event stream to the caller, and resumes it at another endpoint if it breaks or stalls.
//!
//! A task reads the events from the endpoint into a buffer, from which the caller takes them at its own speed. Only whole
//! events are relayed, so that another endpoint can continue after the last one. A stream that cannot be completed fails visibly: the connection to the caller is closed without the end mark of the chunked body.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode, body::Incoming, header::HeaderMap};
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::{
    balance::{
        balancer::{Choice, Placement},
        load::EndpointKey,
    },
    endpoint::{connection_pool::EndpointConnection, events::EventSplitter},
    entry::answer::Body,
    gateway::{
        attempt::{self, AttemptDeadline, AttemptError, EndpointResponse, InFlightRequest, Job},
        caller_buffer::{HeldAccount, NoRoom, StreamWriter, stream_buffer},
        crash_check::{self, LostRun},
        metrics::Outcome,
        origin_table::StreamOrigin,
        protocol::Protocol,
        refuse,
        report::{Trace, log_answer},
        state::Gateway,
    },
    limits::{part_suspects::PROVEN_AFTER_US, read_pauses::ReadPauses},
    prelude::{Micros, Name},
};

/// A stream without events for this many times the target gap of its route is resumed at another endpoint, if one has
/// a free slot. Otherwise the wait goes on: in a surge over 295 instances, streams that had only slowed down were cut
/// 160 ms later because no slot had been found.
const STALL_TIMEOUT_GAPS: f64 = 2.0;
/// Lower bound of that time: an endpoint that prefills long prompts pauses its streams.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Reason for resuming a stalled stream.
const STALLED: &str = "stream_silent";
/// Reason for giving up a stream whose time is over.
const TIME_OVER: &str = "timed_out";
/// Reason for giving up a stream that its caller does not read, or reads too slowly.
const CALLER_BEHIND: &str = "caller_behind";

/// Cause that a stream is not resumed: no other endpoint has a free slot.
const NO_PLACE: &str = "no_place";
/// Cause that a stream is not resumed: the retry budget is used up.
const NO_RETRY: &str = "no_retry";
/// Cause that a stream is not resumed: it may not be, or no other endpoint accepted it.
const NOT_ACCEPTED: &str = "not_accepted";

/// The head of the first endpoint's response, and the first events.
pub struct StreamHead {
    status: StatusCode,
    headers: HeaderMap,
    events: Bytes,
}

/// The endpoint that the stream currently comes from.
struct Upstream<P: Protocol> {
    body: Incoming,
    /// Returned to the pool when the stream is complete; dropping it cancels the run at the endpoint.
    connection: Option<EndpointConnection>,
    in_flight: InFlightRequest<P>,
    status: StatusCode,
    reuse: Option<Option<Duration>>,
    cutter: EventSplitter,
    events_seen: u32,
    /// Whether it has gone on for so long that the parts of the prompt do not crash the endpoint.
    has_proven_parts: bool,
    first_event_us: Micros,
    last_event_us: Micros,
    pauses: ReadPauses,
}

/// A stream that is being relayed to a caller.
pub struct Relay<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    job: Arc<Job>,
    upstream: Upstream<P>,
    headers: HeaderMap,
    last_id: Option<u64>,
    tried: Vec<EndpointKey>,
    runs: u32,
    first_us: Micros,
    /// The version of the endpoint that brought the first event.
    began_version: Option<Name>,
    has_recorded_origin: bool,
    trace: Trace,
    /// Counts the bytes of an incomplete event, which the caller cannot take yet.
    partial_account: HeldAccount,
    partial_bytes: usize,
}

/// Why an endpoint brings no more events.
enum StreamEnd {
    /// The response is complete.
    Complete,
    /// The stream broke, for the given reason.
    Broken(&'static str),
    /// There was no event for so long that another endpoint should continue.
    Stalled,
    /// What it sends cannot be held.
    NoRoom,
}

impl<P: Protocol> Upstream<P> {
    fn new(received: EndpointResponse<P>, now_us: Micros) -> (Self, HeaderMap) {
        let (parts, body) = received.response.into_parts();
        let mut headers = parts.headers;
        let reuse = attempt::connection_reuse(&headers, parts.status);
        attempt::strip_connection_headers(&mut headers);
        let upstream = Self {
            body,
            connection: Some(received.connection),
            in_flight: received.in_flight,
            status: parts.status,
            reuse,
            cutter: EventSplitter::default(),
            events_seen: 0,
            has_proven_parts: false,
            first_event_us: now_us,
            last_event_us: now_us,
            pauses: ReadPauses::default(),
        };
        (upstream, headers)
    }
}

impl<P: Protocol> Upstream<P> {
    /// Returns the time since the first event of this run, if there was one.
    fn answering_us(&self, now_us: Micros) -> Option<Micros> {
        (self.events_seen > 0).then(|| now_us.saturating_sub(self.first_event_us))
    }

    /// Notes the mean time between the events of a complete stream, which a slow version stretches.
    fn note_mean_gap(&self) {
        if self.events_seen > 1 {
            let took_us = self.last_event_us.saturating_sub(self.first_event_us);
            let gaps = f64::from(self.events_seen - 1);
            self.in_flight.note_rollout_gap(took_us as f64 / 1e3 / gaps);
        }
    }
}

impl<P: Protocol> Relay<P> {
    /// Starts with a response whose head has been received; `runs` counts the earlier attempts that may have run.
    pub fn new(
        gateway: Arc<Gateway<P>>,
        job: Arc<Job>,
        received: EndpointResponse<P>,
        tried: Vec<EndpointKey>,
        runs: u32,
        trace: Trace,
    ) -> Self {
        let (upstream, headers) = Upstream::new(received, gateway.clock.now_us());
        let partial_account = HeldAccount::open(&gateway.held_memory, job.caller_handle());
        Self {
            partial_account,
            partial_bytes: 0,
            last_id: job.head.resume_after,
            gateway,
            job,
            upstream,
            headers,
            tried,
            runs: runs + 1,
            first_us: 0,
            began_version: None,
            has_recorded_origin: false,
            trace,
        }
    }

    /// Returns the endpoint that the stream comes from.
    pub fn choice(&self) -> &Choice {
        &self.upstream.in_flight.choice
    }

    /// Waits until `deadline` for the first events. Nothing is sent to the caller before that.
    ///
    /// # Errors
    /// There was no event; the endpoint may have run the request.
    pub async fn wait_first_event(
        &mut self,
        deadline: AttemptDeadline,
    ) -> Result<StreamHead, AttemptError> {
        let clock = self.gateway.clock;
        let events = match deadline.wait(clock, self.next_events()).await {
            Some(Ok(events)) => events,
            // A response without events is complete as well.
            Some(Err(StreamEnd::Complete)) => Bytes::new(),
            Some(Err(StreamEnd::Broken(reason))) => {
                self.upstream.in_flight.note_failure();
                return Err(AttemptError::ConnectionLost(reason));
            }
            Some(Err(StreamEnd::NoRoom)) => return Err(AttemptError::NoRoom),
            Some(Err(StreamEnd::Stalled)) | None => {
                self.upstream.in_flight.note_failure();
                return Err(AttemptError::Unknown("no_first_event"));
            }
        };
        // Before the caller has an event, after which it may leave.
        self.record_origin().await;
        let now_us = self.gateway.clock.now_us();
        self.first_us = now_us.saturating_sub(self.job.placement_request.arrived_us);
        let seconds = self.first_us as f64 / 1e6;
        self.gateway.metrics.first_seconds.observe(seconds);
        Ok(StreamHead {
            status: self.upstream.status,
            headers: std::mem::take(&mut self.headers),
            events,
        })
    }

    /// Returns the response to the caller. Its body takes the events that a task reads from the endpoint; the task ends
    /// with the body.
    pub fn into_response(self, head: StreamHead) -> Response<Body> {
        let account = HeldAccount::open(&self.gateway.held_memory, self.job.caller_handle());
        let (writer, reader) = stream_buffer(account);
        // Buffered before the task runs, so that they are written together with the head.
        writer.push(head.events);
        let relay = AbortOnDropHandle::new(tokio::spawn(self.run(writer)));
        let mut response = Response::new(reader.into_body(relay));
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        response
    }

    /// Reads the events into the buffer until the stream ends. Without its end mark the buffer fails visibly.
    async fn run(mut self, writer: StreamWriter) {
        match self.fill(&writer).await {
            Ok(()) => {
                self.record_outcome(Outcome::Served);
                writer.end();
            }
            Err(reason) => {
                self.trace.reason = Some(reason);
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
            // The stream may have begun before its service had several versions.
            self.record_origin().await;
            writer.push(events);
            if !self.wait_for_room(writer).await {
                return Err(CALLER_BEHIND);
            }
        }
        Ok(())
    }

    /// Writes where the stream began, if its caller may take it up and its service has several versions.
    async fn record_origin(&mut self) {
        let service = &self.job.placement_request.service;
        if self.has_recorded_origin
            || !self.job.is_repeatable()
            || !self.gateway.has_several_versions(service)
        {
            return;
        }
        let Some(version) = self.began_version.clone() else {
            return;
        };
        self.has_recorded_origin = true;
        let origin = StreamOrigin {
            service: service.clone(),
            version,
        };
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
        self.upstream.pauses.record(since_us, clock.now_us());
        room.is_some()
    }

    /// Returns the next events, or `None` after a complete stream.
    ///
    /// # Errors
    /// The stream is lost for good, for the returned reason.
    async fn next(&mut self) -> Result<Option<Bytes>, &'static str> {
        loop {
            let end = match self.next_events().await {
                Ok(events) => return Ok(Some(events)),
                Err(end) => end,
            };
            let now_us = self.gateway.clock.now_us();
            let is_callers_doing = self.upstream.pauses.explain_break(now_us);
            let (reason, alternative) = match end {
                StreamEnd::Complete => return Ok(None),
                StreamEnd::NoRoom => return Err(refuse::NO_MEMORY),
                StreamEnd::Broken(_) if is_callers_doing => return Err(CALLER_BEHIND),
                StreamEnd::Broken(reason) => (reason, None),
                StreamEnd::Stalled if is_callers_doing => continue,
                StreamEnd::Stalled => match self.choose_other_endpoint().await {
                    Some(other) => (STALLED, Some(other)),
                    None => continue,
                },
            };
            self.upstream.in_flight.note_failure();
            // Cancels the run there before another one starts.
            drop(self.upstream.connection.take());
            self.upstream.in_flight.finish();
            if reason != STALLED {
                let answering_us = self.upstream.answering_us(now_us);
                self.on_connection_lost(self.choice().clone(), answering_us)
                    .await;
            }
            self.trace.reason = Some(reason);
            if !self.resume(reason, alternative).await {
                return Err(reason);
            }
        }
    }

    /// Starts the check whether the endpoint has crashed.
    async fn on_connection_lost(&mut self, choice: Choice, answering_us: Option<Micros>) {
        self.trace.fingerprint = Some(self.job.fingerprint());
        let lost = LostRun {
            choice,
            lost_before: self.runs > 1,
            answering_us,
        };
        crash_check::on_connection_lost(&self.gateway, &self.job, lost).await;
    }

    fn record_outcome(&self, outcome: Outcome) {
        self.gateway
            .metrics
            .record_outcome(&self.job.route.name, outcome);
        let (gateway, status) = (&self.gateway, self.upstream.status);
        log_answer(
            gateway,
            &self.job,
            outcome,
            status,
            self.first_us,
            &self.trace,
        );
    }

    async fn next_events(&mut self) -> Result<Bytes, StreamEnd> {
        loop {
            let complete_events = self.upstream.cutter.take_complete(self.last_id);
            self.count_partial_event().map_err(|_| StreamEnd::NoRoom)?;
            match complete_events {
                Ok(Some(events)) => {
                    self.last_id = events.last_id.or(self.last_id);
                    self.note_events(events.count);
                    return Ok(events.bytes);
                }
                Ok(None) => {}
                Err(_) => return Err(StreamEnd::Broken("event_too_long")),
            }
            let deadline = self.next_event_deadline();
            let clock = self.gateway.clock;
            match deadline.wait(clock, self.upstream.body.frame()).await {
                Some(Some(Ok(frame))) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.upstream.cutter.push(bytes);
                    }
                }
                Some(Some(Err(_))) => return Err(StreamEnd::Broken("stream_broke")),
                Some(None) if self.upstream.cutter.has_partial_event() => {
                    return Err(StreamEnd::Broken("ended_inside_event"));
                }
                Some(None) => return Err(self.complete()),
                None if self.is_in_time() => return Err(StreamEnd::Stalled),
                None => return Err(StreamEnd::Broken(TIME_OVER)),
            }
        }
    }

    /// Updates the account of the incomplete event.
    fn count_partial_event(&mut self) -> Result<(), NoRoom> {
        let bytes = self.upstream.cutter.partial_bytes();
        let before = std::mem::replace(&mut self.partial_bytes, bytes);
        if bytes < before {
            self.partial_account.release(before - bytes);
        }
        match bytes.saturating_sub(before) {
            0 => Ok(()),
            more => self.partial_account.hold(more),
        }
    }

    fn complete(&mut self) -> StreamEnd {
        // A caller that was behind held the slot for longer than the run took.
        let held_by_caller = self.upstream.pauses.any();
        self.upstream.in_flight.note_complete(!held_by_caller);
        if !held_by_caller {
            self.upstream.note_mean_gap();
        }
        self.gateway.note_request_completed(&self.job);
        if let (Some(idle_timeout), Some(connection)) =
            (self.upstream.reuse, self.upstream.connection.take())
        {
            attempt::keep_connection(
                &self.gateway,
                &self.upstream.in_flight,
                connection,
                idle_timeout,
            );
        }
        StreamEnd::Complete
    }

    fn note_events(&mut self, count: u32) {
        let now_us = self.gateway.clock.now_us();
        let upstream = &mut self.upstream;
        self.began_version
            .get_or_insert_with(|| upstream.in_flight.choice.version.clone());
        if upstream.events_seen == 0 {
            upstream.in_flight.note_first_event();
            upstream.first_event_us = now_us;
        } else if upstream.pauses.show_speed(now_us) {
            let gap_us = now_us.saturating_sub(upstream.last_event_us);
            self.trace.longest_gap_us = self.trace.longest_gap_us.max(gap_us);
            let gap_ms = gap_us as f64 / 1e3;
            let per_event = gap_ms / f64::from(count.max(1));
            let mut balancer = self.gateway.balancer();
            balancer.record_event_gap(upstream.in_flight.choice.key, per_event);
        }
        upstream.events_seen += count;
        upstream.last_event_us = now_us;
        let answering_us = now_us.saturating_sub(upstream.first_event_us);
        if answering_us >= PROVEN_AFTER_US && !upstream.has_proven_parts {
            upstream.has_proven_parts = true;
            self.gateway.note_parts_answered(&self.job);
        }
    }

    /// Returns the deadline of the next event.
    fn next_event_deadline(&self) -> AttemptDeadline {
        let mut deadline = self.job.deadline();
        if self.upstream.events_seen > 0 && self.may_resume() {
            let gap = self.job.route.target_gap.mul_f64(STALL_TIMEOUT_GAPS);
            deadline.attempt_end = Instant::now() + gap.max(MIN_STALL_TIMEOUT);
        }
        deadline
    }

    fn is_in_time(&self) -> bool {
        self.gateway.clock.now_us() < self.job.until_us
    }

    fn may_resume(&self) -> bool {
        self.job.is_repeatable()
            && !self.job.is_trial
            && self.gateway.block_of(&self.job).is_none()
            && self.runs < self.job.route.max_attempts
            && self.last_id.is_some()
            && self
                .gateway
                .retries_left(&self.job.placement_request.service)
                >= 1.0
    }

    /// Chooses another endpoint to resume at, if one has a free slot soon.
    async fn choose_other_endpoint(&self) -> Option<Choice> {
        // The queueing time of a resumption counts from now: the first event was long ago.
        let mut request = self.job.placement_request.clone();
        request.arrived_us = self.gateway.clock.now_us();
        if let Some(version) = &self.began_version {
            self.gateway.bind_to_version(&mut request, version);
        }
        match self.gateway.place(&request, &self.tried).await {
            Placement::Send(choice) => Some(choice),
            Placement::Wait | Placement::Refuse { .. } => None,
        }
    }

    /// Resumes the stream at another endpoint, trying `chosen` first; returns false if that fails.
    async fn resume(&mut self, reason: &'static str, mut chosen: Option<Choice>) -> bool {
        while self.may_resume() && self.is_in_time() {
            let choice = match chosen.take() {
                Some(choice) => choice,
                None => match self.choose_other_endpoint().await {
                    Some(choice) => choice,
                    None => {
                        self.note_not_resumed(reason, NO_PLACE);
                        return false;
                    }
                },
            };
            self.tried.push(choice.key);
            self.trace.attempts += 1;
            self.trace.endpoint = Some(choice.id.clone());
            self.trace.reason = Some(reason);
            if !self.gateway.take_retry(&self.job.placement_request.service) {
                let tokens = choice.expected.uncached_tokens;
                self.gateway.balancer().end(choice.key, tokens, None);
                self.note_not_resumed(reason, NO_RETRY);
                return false;
            }
            let began_version = self.began_version.as_deref().unwrap_or("-");
            self.gateway
                .metrics
                .count_resumption(self.began_version.as_deref(), &choice.version);
            log::info!(
                target: "ryevalve::request",
                request_id = self.job.request_id(),
                reason,
                after_event = self.last_id.unwrap_or(0),
                endpoint = &*choice.id,
                version = &*choice.version,
                began_version,
                retries_left = self.gateway.retries_left(&self.job.placement_request.service);
                "stream_resumed"
            );
            let attempted = choice.clone();
            let deadline = self.job.deadline();
            let result =
                attempt::send(&self.gateway, &self.job, choice, self.last_id, deadline).await;
            match result {
                Ok(received) if received.response.status().is_success() && received.is_signed => {
                    self.runs += 1;
                    (self.upstream, _) = Upstream::new(received, self.gateway.clock.now_us());
                    return true;
                }
                Ok(received) if received.not_executed => {}
                Ok(_) => self.runs += 1,
                Err(AttemptError::NotSent(_)) => {}
                Err(AttemptError::ConnectionLost(_)) => {
                    self.runs += 1;
                    self.on_connection_lost(attempted, None).await;
                }
                Err(AttemptError::Unknown(_) | AttemptError::NoRoom) => self.runs += 1,
            }
        }
        if let Some(unused) = chosen {
            let tokens = unused.expected.uncached_tokens;
            self.gateway.balancer().end(unused.key, tokens, None);
        }
        self.note_not_resumed(reason, NOT_ACCEPTED);
        false
    }

    /// Counts and logs that no other endpoint continues the stream.
    fn note_not_resumed(&self, reason: &'static str, cause: &'static str) {
        self.gateway.metrics.count_not_resumed(cause);
        let now_us = self.gateway.clock.now_us();
        log::info!(
            target: "ryevalve::request",
            request_id = self.job.request_id(),
            reason, cause,
            after_event = self.last_id.unwrap_or(0),
            runs = self.runs,
            max_attempts = self.job.route.max_attempts,
            left_ms = self.job.until_us.saturating_sub(now_us) / 1_000,
            retries_left = self.gateway.retries_left(&self.job.placement_request.service);
            "stream_not_resumed"
        );
    }
}
