//! Reads the events of a stream from the endpoint that it currently comes from.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{StatusCode, body::Incoming, header::HeaderMap};
use tokio::time::{self, Instant};

use crate::{
    balance::balancer::Choice,
    endpoint::{
        body_end::BodyEnd,
        connection_pool::EndpointConnection,
        events::{CompleteEvents, EventSplitter, IdSteps},
        framing::Framing,
    },
    gateway::{
        answer_ends::{AnswerEnd, ClosedAnswer, ENDED_EARLY},
        attempt::{self, EndpointResponse, InFlightRequest, Job},
        caller_buffer::{HeldAccount, NoRoom},
        close_check::{self, CLOSE_UNCONFIRMED, Liveness},
        excess::{self, Excess},
        overlap::MAX_OVERLAP,
        protocol::Protocol,
        state::Gateway,
        stream::STREAM_VERIFICATION_TIMEOUT,
    },
    limits::{part_suspects::PROVEN_AFTER_US, read_pauses::ReadPauses},
    prelude::{Micros, Name},
};

/// Bytes of a run in which its first data must come, if a run that it is to replace is kept meanwhile.
const MAX_AWAITED_BYTES: usize = 64 << 10;

/// Why an endpoint brings no more events.
pub enum StreamEnd {
    /// The response is complete.
    Complete,
    /// It has ended, and nothing shows that it is complete; another run should.
    Unproven,
    /// The stream broke, for the given reason.
    Broken(&'static str),
    /// A resumed run does not continue the stream, for the given reason.
    NotContinued(&'static str),
    /// There was no event for so long that another endpoint should continue.
    Stalled,
    /// It brought more events than the stream can have: none of them can be trusted.
    TooManyEvents,
    /// The time of the request is over.
    TimeOver,
    /// What it sends cannot be held.
    NoRoom,
}

/// One run of a stream at an endpoint.
struct Upstream<P: Protocol> {
    body: Incoming,
    /// Returned to the pool when the stream is complete; dropping it cancels the run at the endpoint.
    connection: Option<EndpointConnection>,
    in_flight: InFlightRequest<P>,
    status: StatusCode,
    framing: Framing,
    reuse: Option<Option<Duration>>,
    cutter: EventSplitter,
    events_seen: u32,
    /// Whether it has brought an event with an id.
    has_ids: bool,
    /// Whether it has brought an event with data; comments have none.
    has_data: bool,
    /// Whether it has gone on for so long that the parts of the prompt do not crash the endpoint.
    has_proven_parts: bool,
    first_event_us: Micros,
    last_event_us: Micros,
    pauses: ReadPauses,
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
            framing: received.framing,
            reuse,
            cutter: EventSplitter::default(),
            events_seen: 0,
            has_ids: false,
            has_data: false,
            has_proven_parts: false,
            first_event_us: now_us,
            last_event_us: now_us,
            pauses: ReadPauses::default(),
        };
        (upstream, headers)
    }

    /// Creates a run that goes on with a stream.
    fn continuing(received: EndpointResponse<P>, now_us: Micros) -> Self {
        let (mut upstream, _) = Self::new(received, now_us);
        upstream.cutter = EventSplitter::of_continuation();
        upstream
    }

    /// Waits for the first data; returns whether there is none. It may be cancelled at any time.
    async fn ends_without_data(&mut self) -> bool {
        while !self.cutter.has_data() && self.cutter.partial_bytes() < MAX_AWAITED_BYTES {
            match self.body.frame().await {
                Some(Ok(frame)) => self.cutter.push(frame.data_ref().unwrap_or(&Bytes::new())),
                Some(Err(_)) => return false,
                None => return true,
            }
        }
        false
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

/// The events of a stream, over all its runs.
pub struct EventSource<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    job: Arc<Job>,
    upstream: Upstream<P>,
    /// The steps between ids within the runs.
    run_steps: IdSteps,
    /// What the last events show.
    content_end: BodyEnd,
    /// The current run is to show whether the earlier ones brought the whole stream.
    verifies: bool,
    /// Until when it may show that; `None` if it has as long as the request.
    verify_until: Option<Instant>,
    /// The stream counts as complete without further proof.
    is_accepted: bool,
    /// What is known of the end of the runs before the one that verifies it.
    unverified_end: AnswerEnd,
    /// Whether the caller's answer has an end mark of its own, since that of the first run had one.
    is_marked_for_caller: bool,
    /// The id of the first event that the caller gets.
    first_id: Option<u64>,
    last_id: Option<u64>,
    /// Whether the last event with data has no id, so that another run would repeat it.
    last_lacks_id: bool,
    /// Number of runs that were begun after the first.
    resumptions: u32,
    /// The steps between the ids so far; the first one is counted from 0 or from the event after which the caller took the
    /// stream up.
    id_steps: IdSteps,
    /// The version of the endpoint that brought the first event.
    began_version: Option<Name>,
    longest_gap_us: Micros,
    /// Number of events over all runs.
    events: u32,
    /// Counts the bytes of an incomplete event, which the caller cannot take yet.
    partial_account: HeldAccount,
    partial_bytes: usize,
}

impl<P: Protocol> EventSource<P> {
    /// Starts with a response whose head has been received; returns its headers, too.
    pub fn new(
        gateway: Arc<Gateway<P>>,
        job: Arc<Job>,
        received: EndpointResponse<P>,
    ) -> (Self, HeaderMap) {
        let (upstream, headers) = Upstream::new(received, gateway.clock.now_us());
        let source = Self {
            is_marked_for_caller: upstream.framing != Framing::Close,
            partial_account: HeldAccount::open(&gateway.held_memory, job.caller_handle()),
            partial_bytes: 0,
            run_steps: IdSteps::default(),
            content_end: BodyEnd::Unknown,
            verifies: false,
            verify_until: None,
            is_accepted: false,
            unverified_end: AnswerEnd::Unproven,
            first_id: None,
            last_id: job.head.resume_after,
            last_lacks_id: false,
            resumptions: 0,
            id_steps: IdSteps::default(),
            began_version: None,
            longest_gap_us: 0,
            events: 0,
            gateway,
            job,
            upstream,
        };
        (source, headers)
    }

    /// Returns the endpoint of the current run.
    pub fn choice(&self) -> &Choice {
        &self.upstream.in_flight.choice
    }

    /// Returns the status of the current run.
    pub fn status(&self) -> StatusCode {
        self.upstream.status
    }

    /// Returns the id of the first event that the caller gets.
    pub fn first_id(&self) -> Option<u64> {
        self.first_id
    }

    /// Returns the id of the last event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the id of the event after which another run can continue; `None` if it would repeat events without ids.
    pub fn resume_point(&self) -> Option<u64> {
        self.last_id.filter(|_| !self.last_lacks_id)
    }

    /// Returns the version of the endpoint that brought the first event.
    pub fn began_version(&self) -> Option<&Name> {
        self.began_version.as_ref()
    }

    /// Returns how the answer of the current run is delimited.
    pub fn framing(&self) -> Framing {
        self.upstream.framing
    }

    /// Returns the number of events over all runs.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Returns the longest gap between two events.
    pub fn longest_gap_us(&self) -> Micros {
        self.longest_gap_us
    }

    /// Returns whether the current run has brought an event.
    pub fn has_events(&self) -> bool {
        self.upstream.events_seen > 0
    }

    /// Returns whether the current run has brought a part of an event that follows those so far.
    pub fn has_begun_event(&self) -> bool {
        let begun = self.upstream.cutter.partial_id();
        begun.is_some_and(|id| Some(id) > self.last_id)
    }

    /// Returns the time since the first event of the current run, if there was one.
    pub fn answering_us(&self, now_us: Micros) -> Option<Micros> {
        let upstream = &self.upstream;
        self.has_events()
            .then(|| now_us.saturating_sub(upstream.first_event_us))
    }

    /// Returns the pauses in which nothing was read because the caller was behind.
    pub fn pauses_mut(&mut self) -> &mut ReadPauses {
        &mut self.upstream.pauses
    }

    /// Records that the endpoint of the current run failed.
    pub fn note_failure(&mut self) {
        self.upstream.in_flight.note_failure();
    }

    /// Ends the current run, which has failed, and cancels it at its endpoint.
    pub fn end_run(&mut self) {
        self.note_failure();
        self.leave_run();
    }

    /// Ends the current run without a verdict on its endpoint, and cancels it there.
    pub fn leave_run(&mut self) {
        drop(self.upstream.connection.take());
        self.upstream.in_flight.finish();
    }

    /// Goes on with the response of another endpoint.
    pub fn begin_run(&mut self, received: EndpointResponse<P>) {
        let upstream = Upstream::continuing(received, self.gateway.clock.now_us());
        self.set_run(upstream);
    }

    /// Makes a run the current one, which shows nothing of the end of those before it.
    fn set_run(&mut self, upstream: Upstream<P>) {
        self.resumptions += 1;
        self.verifies = false;
        self.unverified_end = AnswerEnd::Unproven;
        self.upstream = upstream;
    }

    /// Ends the current run, which may be whole, and lets the response of another endpoint show whether it is.
    pub fn begin_verification(&mut self, received: EndpointResponse<P>, until: Option<Instant>) {
        self.leave_run();
        let unverified_end = self.unverified_end;
        self.begin_run(received);
        self.verifies = true;
        self.verify_until = until;
        self.unverified_end = unverified_end;
    }

    /// Returns until when another run may show that the stream is whole. One that was most likely broken off has no such end:
    /// it is not returned without the other run.
    pub fn verification_end(&self) -> Option<Instant> {
        let is_likely_whole = self.unverified_end != AnswerEnd::Suspicious;
        is_likely_whole.then(|| Instant::now() + STREAM_VERIFICATION_TIMEOUT)
    }

    /// Returns whether the current run has brought nothing yet that the earlier ones lack.
    pub fn is_verifying(&self) -> bool {
        let upstream = &self.upstream;
        let has_more = upstream.has_data || upstream.cutter.has_partial_event();
        self.verifies && (!has_more || self.is_behind())
    }

    /// Returns whether the current run repeats events and has not come to the last one yet.
    fn is_behind(&self) -> bool {
        let skipped = self.upstream.cutter.last_skipped();
        !self.upstream.has_data && skipped.is_some_and(|id| Some(id) < self.last_id)
    }

    /// Takes the stream as complete with what it has brought so far, as no other run shows whether it is.
    ///
    /// # Errors
    /// It was most likely broken off; its caller may ask for the rest.
    pub fn accept_end(&mut self) -> Result<(), &'static str> {
        if self.unverified_end == AnswerEnd::Suspicious {
            return Err(ENDED_EARLY);
        }
        self.is_accepted = true;
        Ok(())
    }

    /// Goes on with the response of another endpoint, and ends the current run, unless the response ends at once without
    /// data.
    pub async fn replace_run(&mut self, received: EndpointResponse<P>) {
        let mut upstream = Upstream::continuing(received, self.gateway.clock.now_us());
        let ended = time::timeout(MAX_OVERLAP, upstream.ends_without_data()).await;
        if ended == Ok(true) {
            return;
        }
        self.end_run();
        self.set_run(upstream);
    }

    /// Waits for the next whole events; the run has stalled if it brings no part of one within `stall_timeout`. It may be
    /// cancelled at any time without losing any.
    ///
    /// # Errors
    /// The current run brings none.
    pub async fn next_events(
        &mut self,
        stall_timeout: Option<Duration>,
    ) -> Result<Bytes, StreamEnd> {
        let mut progress_at = Instant::now();
        if self.is_accepted {
            self.leave_run();
            self.gateway.note_request_completed(&self.job);
            return Err(StreamEnd::Complete);
        }
        loop {
            let complete_events = self.upstream.cutter.take_complete(self.last_id);
            self.count_partial_event().map_err(|_| StreamEnd::NoRoom)?;
            match complete_events {
                Ok(Some(events)) if self.exceeds(events.count) => {
                    self.note_excess(Excess::Events);
                    return Err(StreamEnd::TooManyEvents);
                }
                Ok(Some(events)) => {
                    if self.leaves_gap(&events) {
                        return Err(StreamEnd::NotContinued("resumed_with_gap"));
                    }
                    self.note_run_steps(&events);
                    self.note_ids(&events);
                    self.content_end = BodyEnd::of_events(&events.bytes);
                    self.note_events(events.count);
                    return Ok(events.bytes);
                }
                Ok(None) if self.upstream.cutter.has_partial_event() => {
                    progress_at = Instant::now();
                }
                // Comments alone are no progress.
                Ok(None) => {}
                Err(_) => {
                    self.note_excess(Excess::Event);
                    return Err(StreamEnd::Broken(Excess::Event.as_str()));
                }
            }
            let clock = self.gateway.clock;
            let mut deadline = self.job.deadline();
            if let Some(stall_timeout) = stall_timeout {
                deadline.attempt_end = progress_at + stall_timeout;
            }
            if let Some(until) = self.verify_until.filter(|_| self.is_verifying()) {
                deadline.attempt_end = deadline.attempt_end.min(until);
            }
            match deadline.wait(clock, self.upstream.body.frame()).await {
                Some(Some(Ok(frame))) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.upstream.cutter.push(bytes);
                    }
                }
                Some(Some(Err(_))) => return Err(StreamEnd::Broken("stream_broke")),
                // The events that were held are all there is.
                Some(None) if self.upstream.cutter.stop_awaiting_id() => {}
                Some(None) => {
                    let comments = self.upstream.cutter.take_trailing_comments();
                    if comments.is_empty() {
                        return Err(self.judge_end().await);
                    }
                    return Ok(comments);
                }
                None if clock.now_us() < self.job.until_us => return Err(StreamEnd::Stalled),
                None => return Err(StreamEnd::TimeOver),
            }
        }
    }

    /// Returns what the end of the current run's answer means.
    async fn judge_end(&mut self) -> StreamEnd {
        if self.upstream.cutter.has_partial_event() {
            return StreamEnd::Broken("ended_inside_event");
        }
        let liveness = self.check_close().await;
        match liveness {
            Liveness::Ended => return StreamEnd::Broken(CLOSE_UNCONFIRMED),
            Liveness::Alive => {}
            _ if self.is_verifying() => return StreamEnd::Broken(CLOSE_UNCONFIRMED),
            // Only another run could show that it is whole.
            _ if !self.job.is_repeatable() => return StreamEnd::NotContinued(CLOSE_UNCONFIRMED),
            Liveness::LikelyEnded | Liveness::Unknown => {}
        }
        if self.is_verifying() {
            if !self.confirms_end() {
                return StreamEnd::Broken(ENDED_EARLY);
            }
            if self.job.resumes_after().is_none() {
                let events = self.events.into();
                self.gateway.note_whole_answer(&self.job, events);
            }
            self.note_mark();
            return self.complete();
        }
        if self.is_resumed_without_data() {
            // An endpoint that cannot resume streams ends them like that.
            return StreamEnd::NotContinued("resumed_without_events");
        }
        let end = self.judge_content(liveness);
        match end {
            AnswerEnd::BrokenOff => StreamEnd::Broken(ENDED_EARLY),
            AnswerEnd::Doubtful | AnswerEnd::Short | AnswerEnd::Suspicious => {
                self.unverified_end = end;
                StreamEnd::Unproven
            }
            AnswerEnd::Whole => {
                self.note_mark();
                self.complete()
            }
            AnswerEnd::Unproven => self.complete(),
        }
    }

    /// Notes whether the stream, which is whole, has ended with an end mark.
    fn note_mark(&self) {
        let is_marked = self.content_end == BodyEnd::Shown;
        self.gateway.note_stream_mark(&self.job, is_marked);
    }

    /// Returns whether a run that has ended without an event agrees with the earlier ones on where the stream ends. One that
    /// was most likely broken off itself, and one that repeats events up to an earlier one, do not; nor does one without an
    /// end mark where the caller is to get one.
    fn confirms_end(&self) -> bool {
        let is_marked = self.upstream.framing != Framing::Close;
        let owes_mark =
            self.is_marked_for_caller || self.gateway.lacks_framing(&self.job, self.choice());
        !self.is_behind() && (is_marked || !owes_mark)
    }

    /// Returns whether a run has brought the whole rest of the stream, whose connection has ended in order.
    fn judge_content(&self, liveness: Liveness) -> AnswerEnd {
        match self.judge_events(liveness) {
            // An end mark for the caller would state more than is known.
            AnswerEnd::Doubtful | AnswerEnd::Unproven
                if self.is_marked_for_caller && self.upstream.framing == Framing::Close =>
            {
                AnswerEnd::Suspicious
            }
            end => end,
        }
    }

    fn judge_events(&self, liveness: Liveness) -> AnswerEnd {
        let (gateway, job) = (&self.gateway, &self.job);
        let is_taken_up = job.resumes_after().is_some();
        if self.events == 0 && is_taken_up {
            // Nothing may be left, but an endpoint that cannot resume streams ends them like that, too.
            return match self.confirms_end() {
                true => AnswerEnd::Doubtful,
                false => AnswerEnd::BrokenOff,
            };
        }
        if self.upstream.framing == Framing::Close {
            let events = (!is_taken_up).then_some(u64::from(self.events));
            let content = self.content_end;
            let closed = ClosedAnswer { content, liveness };
            return match events {
                Some(0) => AnswerEnd::BrokenOff,
                _ => gateway.judge_closed_stream(job, self.choice(), events, closed),
            };
        }
        if !is_taken_up {
            gateway.note_framed_answer(job, self.choice(), self.events.into());
        }
        AnswerEnd::Whole
    }

    /// Returns whether events seem to be missing between the last one that the caller has and the first ones of a run that
    /// goes on after it: the ids of the stream, or else of its service, have risen by the same step so far.
    fn leaves_gap(&self, events: &CompleteEvents) -> bool {
        let (Some(last), Some(first)) = (self.last_id, events.first_id) else {
            return false;
        };
        let goes_on = self.resumptions > 0 || self.job.resumes_after().is_some();
        if !goes_on || self.upstream.has_ids {
            return false;
        }
        let of_service = self.gateway.id_steps(&self.job);
        if of_service.are_uneven() {
            return false;
        }
        let own = self.id_steps.uniform().or(of_service.uniform());
        let step = own.or(events.steps.uniform());
        step.is_some_and(|step| first.saturating_sub(last) > step)
    }

    /// Notes by which steps ids rise within a run, for the streams of the same service.
    fn note_run_steps(&mut self, events: &CompleteEvents) {
        let mut steps = self.run_steps;
        if let (Some(last), Some(first), true) =
            (self.last_id, events.first_id, self.upstream.has_ids)
        {
            steps.add(last, first);
        }
        steps.merge(events.steps);
        if steps != self.run_steps {
            self.run_steps = steps;
            self.gateway.note_id_steps(&self.job, steps);
        }
    }

    fn note_ids(&mut self, events: &CompleteEvents) {
        if let Some(first) = events.first_id {
            self.id_steps.add(self.last_id.unwrap_or(0), first);
        }
        self.id_steps.merge(events.steps);
        self.first_id = self.first_id.or(events.first_id);
        self.upstream.has_ids |= events.first_id.is_some();
        self.last_id = events.last_id.or(self.last_id);
        if let Some(is_numbered) = events.last_has_id {
            self.last_lacks_id = !is_numbered;
            self.upstream.has_data = true;
        }
    }

    fn is_resumed_without_data(&self) -> bool {
        self.resumptions > 0 && !self.upstream.has_data
    }

    /// Returns whether the stream cannot have as many more events as these.
    fn exceeds(&self, more: u32) -> bool {
        let max_events = excess::max_events(self.job.head.tokens);
        max_events.is_some_and(|max| u64::from(self.events) + u64::from(more) > max)
    }

    fn note_excess(&self, excess: Excess) {
        excess::note(&self.gateway, &self.job, self.choice(), excess);
    }

    /// Returns what is known of the endpoint of the current run at the end of its answer. It does not matter where an end
    /// mark shows that the answer is whole.
    async fn check_close(&self) -> Liveness {
        if self.upstream.framing != Framing::Close {
            return Liveness::Alive;
        }
        let liveness = close_check::check(&self.gateway, &self.job, self.choice()).await;
        match self.content_end {
            BodyEnd::Shown => Liveness::Alive,
            BodyEnd::Missing | BodyEnd::Unknown => liveness,
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
            self.longest_gap_us = self.longest_gap_us.max(gap_us);
            let gap_ms = gap_us as f64 / 1e3;
            let per_event = gap_ms / f64::from(count.max(1));
            let mut balancer = self.gateway.balancer();
            balancer.record_event_gap(upstream.in_flight.choice.key, per_event);
        }
        upstream.events_seen += count;
        self.events += count;
        upstream.last_event_us = now_us;
        let answering_us = now_us.saturating_sub(upstream.first_event_us);
        if answering_us >= PROVEN_AFTER_US && !upstream.has_proven_parts {
            upstream.has_proven_parts = true;
            self.gateway.note_parts_answered(&self.job);
        }
    }
}
