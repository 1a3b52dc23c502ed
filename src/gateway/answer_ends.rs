//! Decides whether an answer is whole, from what delimits it and what it holds.
//!
//! Where only the close of its connection delimits an answer, an endpoint that breaks it off and lives on ends it in the
//! same way: a worker dies, a proxy on the way gives up, or the head has lost the header that delimits the body.

use hyper::{
    Method, StatusCode,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    http::response::Parts,
};

use crate::{
    balance::balancer::Choice,
    endpoint::{
        body_end::{BodyEnd, needs_body},
        events::IdSteps,
    },
    gateway::{
        answer_history::{AnswerSource, Doubt, SizeRank},
        answer_history_copy::HistoryCopy,
        attempt::{Job, header_for_log},
        close_check::Liveness,
        protocol::Protocol,
        state::{Gateway, lock},
    },
};

/// Reason for not taking an answer as complete: its connection was closed before its end.
pub const ENDED_EARLY: &str = "ended_early";
/// Reason for running a request again: nothing shows that its answer is whole.
pub const END_UNPROVEN: &str = "end_unproven";
/// Reason for returning an answer of which nothing shows that it is whole: no other run ended in time.
pub const NOT_VERIFIED_IN_TIME: &str = "not_verified_in_time";
/// Reason for the same: the request may not run again, or the retry budget is used up.
pub const NOT_VERIFIED: &str = "not_verified";

/// What is known of an answer that has ended with its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedAnswer {
    /// What it holds shows.
    pub content: BodyEnd,
    /// Whether its endpoint lives on.
    pub liveness: Liveness,
}

impl ClosedAnswer {
    /// One whose content tells, whatever has become of its endpoint.
    pub fn shown(content: BodyEnd) -> Self {
        Self {
            content,
            liveness: Liveness::Unknown,
        }
    }
}

/// Whether an answer is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// What delimits it, or what it holds, shows that it is.
    Whole,
    /// It was broken off.
    BrokenOff,
    /// Nothing shows it; another run should.
    Doubtful,
    /// As `Doubtful`, but it is shorter than all known ones: another run is awaited as long as the request has time.
    Short,
    /// As `Doubtful`, but it was most likely broken off: unless another run agrees, it counts as that.
    Suspicious,
    /// Nothing shows it, and no other run should.
    Unproven,
}

impl<P: Protocol> Gateway<P> {
    /// Returns whether a plain answer of so many bytes is whole; `closed` is set if only its close delimits it.
    pub(super) fn judge_plain_answer(
        &self,
        job: &Job,
        choice: &Choice,
        head: &Parts,
        size: u64,
        closed: Option<ClosedAnswer>,
    ) -> AnswerEnd {
        let is_success = head.status.is_success();
        let Some(ClosedAnswer { content, liveness }) = closed else {
            if is_success && shows_framing(&job.method, head) {
                self.note_framed_answer(job, choice, size);
            }
            return AnswerEnd::Whole;
        };
        let end = match content {
            _ if size == 0 && needs_body(head.status) => AnswerEnd::BrokenOff,
            _ if size == 0 => AnswerEnd::Unproven,
            BodyEnd::Shown => AnswerEnd::Whole,
            BodyEnd::Missing => AnswerEnd::BrokenOff,
            BodyEnd::Unknown if !is_success => AnswerEnd::Unproven,
            BodyEnd::Unknown => self.judge_by_history(job, choice, liveness, Some(size)),
        };
        self.note_end(job, choice, end, Some(size));
        if is_success && size > 0 {
            self.note_unframed_answer(job, choice, end, size);
        }
        end
    }

    /// Notes steps between the ids of events that one run of a stream brought.
    pub(super) fn note_id_steps(&self, job: &Job, steps: IdSteps) {
        lock(&self.answer_history).note_id_steps(&job.placement_request.service, steps);
    }

    /// Returns the steps between the ids of events that streams of the same service brought.
    pub(super) fn id_steps(&self, job: &Job) -> IdSteps {
        lock(&self.answer_history).id_steps(&job.placement_request.service)
    }

    /// Adds what another instance knew of the answers of the endpoints that this one knows.
    pub(super) fn add_older_answers(&self, mut copy: HistoryCopy) {
        let balancer = self.balancer();
        copy.retain_starts(|start| balancer.key_of(start).is_some());
        drop(balancer);
        let (routes, starts) = (copy.route_count(), copy.start_count());
        lock(&self.answer_history).add_older(copy);
        log::info!(target: "ryevalve::process", routes, starts; "answer_history_fetched");
    }

    /// Notes a whole answer that is delimited by its length or by chunks; `size` is its bytes, or its events if it is a
    /// stream.
    pub(super) fn note_framed_answer(&self, job: &Job, choice: &Choice, size: u64) {
        let mut history = lock(&self.answer_history);
        history.note_framed(answer_source(job, choice), size);
        history.note_whole(&job.route.name, size);
    }

    fn note_unframed_answer(&self, job: &Job, choice: &Choice, end: AnswerEnd, size: u64) {
        let source = answer_source(job, choice);
        lock(&self.answer_history).note_unframed(source, size, end == AnswerEnd::Whole);
    }

    /// Notes whether a whole stream has ended with an end mark.
    pub(super) fn note_stream_mark(&self, job: &Job, is_marked: bool) {
        lock(&self.answer_history).note_stream_mark(&job.route.name, is_marked);
    }

    /// Notes a whole answer.
    pub(super) fn note_whole_answer(&self, job: &Job, size: u64) {
        lock(&self.answer_history).note_whole(&job.route.name, size);
    }

    /// Returns whether a stream is whole whose last run ended with its connection. `events` is `None` if its caller has some
    /// from earlier.
    pub(super) fn judge_closed_stream(
        &self,
        job: &Job,
        choice: &Choice,
        events: Option<u64>,
        closed: ClosedAnswer,
    ) -> AnswerEnd {
        let end = match closed.content {
            BodyEnd::Shown => AnswerEnd::Whole,
            BodyEnd::Missing => AnswerEnd::BrokenOff,
            BodyEnd::Unknown => self.judge_by_history(job, choice, closed.liveness, events),
        };
        self.note_end(job, choice, end, events);
        if let Some(events) = events {
            self.note_unframed_answer(job, choice, end, events);
        }
        end
    }

    fn judge_by_history(
        &self,
        job: &Job,
        choice: &Choice,
        liveness: Liveness,
        size: Option<u64>,
    ) -> AnswerEnd {
        let is_alive = liveness == Liveness::Alive;
        let doubt = self.doubt(job, choice, size);
        let has_spare_retries = self.has_spare_retry(&job.placement_request.service);
        let may_run_again = job.is_repeatable() && job.route.max_attempts > 1;
        let is_stream = job.route.kind.is_stream();
        let is_shortest = doubt.size == SizeRank::Shortest;
        // The caller of a stream may ask for the rest.
        if is_stream && job.is_repeatable() && doubt.is_suspicious() {
            return AnswerEnd::Suspicious;
        }
        let end = match may_run_again {
            true if doubt.is_suspicious() => AnswerEnd::Suspicious,
            true if liveness == Liveness::LikelyEnded => AnswerEnd::Suspicious,
            true if !is_alive && doubt.size != SizeRank::Usual => AnswerEnd::Suspicious,
            true if is_stream && (!is_alive || is_shortest) => AnswerEnd::Suspicious,
            // Another run of it brings the rest only.
            true if is_stream && doubt.size == SizeRank::StandsOut => AnswerEnd::Doubtful,
            true if is_shortest => AnswerEnd::Short,
            true if !is_alive => AnswerEnd::Doubtful,
            true if doubt.calls_for_another_run(has_spare_retries) => AnswerEnd::Doubtful,
            true if is_stream && self.take_first_comparison(job) => AnswerEnd::Doubtful,
            false if !is_alive || doubt.is_broken_off() => AnswerEnd::BrokenOff,
            _ => AnswerEnd::Unproven,
        };
        if let (AnswerEnd::Unproven, Some(size)) = (end, size) {
            lock(&self.answer_history).note_unproven(&job.route.name, size);
        }
        end
    }

    fn take_first_comparison(&self, job: &Job) -> bool {
        lock(&self.answer_history).take_first_comparison(&job.route.name)
    }

    fn doubt(&self, job: &Job, choice: &Choice, size: Option<u64>) -> Doubt {
        lock(&self.answer_history).doubt(answer_source(job, choice), size)
    }

    /// Returns whether an answer that is delimited by its close lacks the framing of other answers of its endpoint.
    pub(super) fn lacks_framing(&self, job: &Job, choice: &Choice) -> bool {
        self.doubt(job, choice, None).lacks_framing
    }

    /// Counts and logs what was decided on an answer that ended with its connection.
    fn note_end(&self, job: &Job, choice: &Choice, end: AnswerEnd, size: Option<u64>) {
        self.metrics.count_closed_answer(end.as_str());
        if end == AnswerEnd::Whole {
            if let Some(size) = size {
                self.note_whole_answer(job, size);
            }
            return;
        }
        let doubt = self.doubt(job, choice, size);
        log::info!(
            target: "ryevalve::request",
            request_id = header_for_log(job.head.request_id.as_ref()),
            route = &*job.route.name,
            endpoint = &*choice.id,
            end = end.as_str(),
            size:serde = size,
            lacks_framing = doubt.lacks_framing,
            lacks_mark = doubt.lacks_mark,
            size_rank = doubt.size.as_str();
            "answer_ended_with_connection"
        );
    }
}

fn answer_source<'a>(job: &'a Job, choice: &'a Choice) -> AnswerSource<'a> {
    AnswerSource {
        service: &job.placement_request.service,
        start: &choice.id,
        route: &job.route.name,
        is_stream: job.route.kind.is_stream(),
    }
}

/// Returns whether an answer shows that its endpoint frames bodies: one that has none by its method or status says nothing
/// of others.
fn shows_framing(method: &Method, head: &Parts) -> bool {
    let bodiless = [
        StatusCode::NO_CONTENT,
        StatusCode::RESET_CONTENT,
        StatusCode::NOT_MODIFIED,
    ];
    let has_header = [CONTENT_LENGTH, TRANSFER_ENCODING]
        .iter()
        .any(|name| head.headers.contains_key(name));
    has_header && method != Method::HEAD && !bodiless.contains(&head.status)
}

impl AnswerEnd {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::BrokenOff => "broken_off",
            Self::Doubtful => "doubtful",
            Self::Short => "short",
            Self::Suspicious => "suspicious",
            Self::Unproven => "unproven",
        }
    }
}
