//! Dispatches a request to endpoints until one of them answers.
//!
//! An endpoint that does not answer for long may be lost or only silent for a moment. Its attempt therefore goes on
//! beside the next one, and the first answer counts. Streams overlap for a short time only, see [`overlap`].
//!
//! [`overlap`]: crate::gateway::overlap

use std::{
    future::{pending, poll_fn},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    task::Poll,
    time::Duration,
};

use hyper::Response;
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use crate::{
    balance::{
        balancer::{Choice, Placement},
        cost::PlacementRequest,
        load::EndpointKey,
    },
    caller_stream::delimit_by_close,
    entry::{answer::Body, refusal::Refusal},
    gateway::{
        admission::ANSWER_MARGIN_US,
        answer_ends::{AnswerEnd, END_UNPROVEN, ENDED_EARLY, NOT_VERIFIED, NOT_VERIFIED_IN_TIME},
        attempt::{self, BufferedResponse, InFlightRequest, Job},
        blocks::Block,
        endpoint_attempt::{AttemptOutcome, EndpointAttempt, UnprovenAnswer},
        metrics::Outcome,
        overlap::Signal,
        protocol::Protocol,
        refuse,
        report::{Trace, log_answer},
        send_check::NOT_SENT_REASONS,
        state::Gateway,
        stop_deadline::STOPPING,
        stream::STREAM_VERIFICATION_TIMEOUT,
        stream_runs::StreamRuns,
    },
    prelude::Rank,
};

/// Another endpoint is tried after this many times the latency target of a request that may be repeated.
const ATTEMPT_TIMEOUT_TARGETS: f64 = 1.5;
/// The same for streams. It is longer because under load a late first event is usually on its way, and a retry would
/// process the prompt again.
const STREAM_ATTEMPT_TIMEOUT_TARGETS: f64 = 3.0;
/// No other endpoint is tried before this many times the expected time to the first event.
const ATTEMPT_TIMEOUT_EXPECTED: f64 = 4.0;
/// Minimum time before another endpoint is tried, in milliseconds.
const MIN_ATTEMPT_TIMEOUT_MS: f64 = 250.0;
/// Minimum time in which another run may show that an answer is whole.
const MIN_VERIFICATION_TIMEOUT: Duration = Duration::from_millis(100);
/// The shorter one of two compared answers is likely whole as well if it has this share of the longer one, in percent.
const MIN_WHOLE_PERCENT: usize = 75;
/// Time after which another endpoint is sought again, if none was found or the retry budget was used up.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(250);
/// The most urgent rank at which a retry is queued.
const RETRY_RANK: Rank = 2;
/// Reason for refusing a request that an endpoint refused without the statement that it did not run.
const UNPROVEN_REFUSAL: &str = "unproven_refusal";
/// How often a request is sent elsewhere after an endpoint refused it without running it.
const MAX_NOT_RUN: usize = 3;

/// An attempt that has not ended.
struct Running<F> {
    future: Pin<Box<F>>,
    choice: Choice,
    sent: Signal,
    accepted: Signal,
    replaced: CancellationToken,
    /// It was started beside another attempt.
    is_replacement: bool,
}

/// What happens next to a request with attempts that have not ended.
enum Step<P: Protocol> {
    /// The attempt with this index has ended.
    Ended(usize, AttemptOutcome<P>),
    /// The request may be sent to this endpoint, too.
    Replacement(Choice),
    /// The earlier of two attempts must end.
    OverlapEnded,
    /// No other run has shown in time that the answer is whole which is there.
    VerificationOver,
}

/// Answers to fall back on, if no other attempt brings a better one.
struct Fallback<P: Protocol> {
    /// An answer of which nothing shows that it is whole, and until when another run may; `None` if that is awaited as long
    /// as the request has time.
    unproven: Option<(UnprovenAnswer<P>, Option<Instant>)>,
    /// The last error answer of an endpoint.
    error: Option<BufferedResponse>,
}

impl<P: Protocol> Fallback<P> {
    /// Returns whether there is a success that is returned if nothing better comes.
    fn has_likely_answer(&self) -> bool {
        let answer = self.unproven.as_ref().map(|(answer, _)| answer);
        answer.is_some_and(|answer| !answer.is_suspicious())
    }

    /// Drops an answer that is shorter than another run has shown the whole one to be.
    fn drop_shorter_than(&mut self, least_size: u64) {
        let unproven = self.unproven.take();
        self.unproven = unproven.filter(|(answer, _)| !answer.is_shorter_than(least_size));
    }

    /// Lets a success of which nothing shows that it is whole be compared with an earlier one, though no other run was to
    /// show it.
    fn compare_if_unproven(&self, outcome: AttemptOutcome<P>) -> AttemptOutcome<P> {
        match outcome {
            AttemptOutcome::Answer(response)
                if self.unproven.is_some()
                    && response.status.is_success()
                    && response.end == AnswerEnd::Unproven =>
            {
                AttemptOutcome::Unproven(UnprovenAnswer::Plain(response))
            }
            outcome => outcome,
        }
    }
}

/// Waits until one of the attempts has ended; the earliest one counts first.
async fn next_ended<F: Future>(running: &mut [Running<F>]) -> (usize, F::Output) {
    poll_fn(|cx| {
        for (index, attempt) in running.iter_mut().enumerate() {
            if let Poll::Ready(outcome) = attempt.future.as_mut().poll(cx) {
                return Poll::Ready((index, outcome));
            }
        }
        Poll::Pending
    })
    .await
}

/// Waits until an instant, or forever if there is none.
pub(super) async fn wait_until(instant: Option<Instant>) {
    match instant {
        Some(instant) => time::sleep_until(instant).await,
        None => pending().await,
    }
}

/// A request that is being dispatched.
pub struct Dispatch<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    job: Arc<Job>,
    /// The request to the balancer. A retry has its own arrival time and rank.
    attempt_request: PlacementRequest,
    /// Endpoints chosen so far; they are not chosen again.
    tried: Vec<EndpointKey>,
    /// Number of attempts that have ended and that an endpoint may have run.
    runs: Arc<AtomicU32>,
    /// Number of attempts that an endpoint did not run, except those that the send check stopped.
    not_run: usize,
    /// Whether a retry of the budget was taken for an attempt that was not sent.
    has_spare_retry: bool,
    /// No other endpoint is tried beside one that has not answered before this.
    not_before: Instant,
}

impl<P: Protocol> Dispatch<P> {
    /// Starts with a request that was sent nowhere.
    pub fn new(gateway: Arc<Gateway<P>>, job: Arc<Job>) -> Self {
        Self {
            gateway,
            attempt_request: job.placement_request.clone(),
            job,
            tried: Vec::new(),
            runs: Arc::default(),
            not_run: 0,
            has_spare_retry: false,
            not_before: Instant::now(),
        }
    }

    fn runs(&self) -> u32 {
        self.runs.load(Ordering::Relaxed)
    }

    fn add_run(&self) {
        self.runs.fetch_add(1, Ordering::Relaxed);
    }

    /// Runs the request to its final answer. If the retry after an endpoint's error answer fails, that answer is
    /// returned instead of a refusal: it tells the caller what went wrong. An answer of which nothing shows that it is whole
    /// is returned before that.
    ///
    /// # Errors
    /// The refusal to return to the caller.
    pub async fn run_to_answer(mut self, trace: &mut Trace) -> Result<Response<Body>, Refusal> {
        let mut fallback = Fallback {
            unproven: None,
            error: None,
        };
        let refusal = match self.try_endpoints(trace, &mut fallback).await {
            Ok(response) => return Ok(response),
            Err(refusal) => refusal,
        };
        let unproven = fallback.unproven.map(|(answer, _)| answer);
        if let Some(unproven) = unproven.filter(|answer| !answer.is_suspicious()) {
            trace.reason = Some(refusal.reason);
            return Ok(self.deliver_unproven(unproven, trace).await);
        }
        match fallback.error {
            Some(response) => Ok(self.deliver(response, trace)),
            None => Err(refusal),
        }
    }

    /// Tries endpoints until one answers. Answers to return if none does are stored in `fallback`.
    async fn try_endpoints(
        &mut self,
        trace: &mut Trace,
        fallback: &mut Fallback<P>,
    ) -> Result<Response<Body>, Refusal> {
        let mut running = Vec::new();
        loop {
            let verify_until = fallback.unproven.as_ref().and_then(|(_, until)| *until);
            if running.is_empty() {
                self.prepare_retry(trace);
                let choice = tokio::select! {
                    biased;
                    choice = self.place() => choice?,
                    () = wait_until(verify_until) => {
                        return Err(refuse::unknown(NOT_VERIFIED_IN_TIME));
                    }
                };
                running.push(self.start(choice, false, trace));
            }
            let step = self.next_step(&mut running, verify_until).await;
            let (index, outcome) = match step {
                Step::Ended(index, outcome) => (index, outcome),
                Step::Replacement(choice) => {
                    self.has_spare_retry = false;
                    self.prepare_retry(trace);
                    running.push(self.start(choice, true, trace));
                    continue;
                }
                Step::OverlapEnded => {
                    running.remove(0).replaced.cancel();
                    self.add_run();
                    continue;
                }
                Step::VerificationOver => return Err(refuse::unknown(NOT_VERIFIED_IN_TIME)),
            };
            let ended = running.remove(index);
            let is_last = running.is_empty();
            self.not_before = Instant::now() + REPLACEMENT_INTERVAL;
            match fallback.compare_if_unproven(outcome) {
                AttemptOutcome::Answer(response)
                    if !response.status.is_success() && fallback.has_likely_answer() =>
                {
                    self.add_run();
                    return Err(refuse::unknown(END_UNPROVEN));
                }
                AttemptOutcome::Answer(response) => {
                    self.note_answered_by(&ended, &running[..index], trace);
                    return Ok(self.deliver(response, trace));
                }
                AttemptOutcome::Stream(relay, head) => {
                    self.note_answered_by(&ended, &running[..index], trace);
                    let others = running.iter().filter(|r| r.sent.is_set()).count();
                    let runs = StreamRuns {
                        tried: self.tried.clone(),
                        count: self.runs() + 1 + others as u32,
                        trace: trace.clone(),
                    };
                    return Ok(relay.into_response(head, runs).await);
                }
                AttemptOutcome::Unproven(answer) => {
                    trace.reason = Some(END_UNPROVEN);
                    self.add_run();
                    if let Some((earlier, _)) = fallback.unproven.take() {
                        return self.compare(earlier, answer, trace).await;
                    }
                    let until = answer
                        .should_be_in_time()
                        .then(|| Instant::now() + self.verification_timeout());
                    fallback.unproven = Some((answer, until));
                    if is_last && !self.may_run_again() {
                        return Err(refuse::unknown(NOT_VERIFIED));
                    }
                }
                AttemptOutcome::NotRun { was_sent, reason } => {
                    trace.reason = Some(reason);
                    // A request stopped by the send check was not sent, and each endpoint stops it only once.
                    let is_stopped = NOT_SENT_REASONS.contains(&reason);
                    self.not_run += usize::from(!is_stopped);
                    // Only replacements take their retry before they are sent.
                    self.has_spare_retry |= !was_sent && ended.is_replacement;
                    if is_last {
                        self.check_resend(was_sent, reason)?;
                    }
                }
                AttemptOutcome::Failed {
                    refusal,
                    least_size,
                } => {
                    fallback.drop_shorter_than(least_size);
                    trace.reason = Some(refusal.reason);
                    trace.fingerprint = Some(self.job.fingerprint());
                    self.add_run();
                    if is_last && !self.may_run_again() {
                        return Err(*refusal);
                    }
                }
                AttemptOutcome::GivenUp { refusal } => {
                    trace.reason = Some(refusal.reason);
                    self.add_run();
                    if is_last {
                        return Err(*refusal);
                    }
                }
                AttemptOutcome::Error(response) => {
                    fallback.error = Some(response);
                    self.note_endpoint_failure("endpoint_error", is_last, fallback, trace)?;
                }
                AttemptOutcome::UnprovenRefusal => {
                    self.note_endpoint_failure(UNPROVEN_REFUSAL, is_last, fallback, trace)?;
                }
            }
        }
    }

    /// Counts a run that ended with a failure of its endpoint.
    ///
    /// # Errors
    /// It was the last attempt, and the request is not run again.
    fn note_endpoint_failure(
        &self,
        reason: &'static str,
        is_last: bool,
        fallback: &Fallback<P>,
        trace: &mut Trace,
    ) -> Result<(), Refusal> {
        trace.reason = Some(reason);
        self.add_run();
        if is_last && (fallback.has_likely_answer() || !self.may_run_again()) {
            return Err(refuse::unknown(reason));
        }
        Ok(())
    }

    /// Waits for what happens next to the attempts that have not ended, of which there is one at least.
    async fn next_step<F>(
        &self,
        running: &mut [Running<F>],
        verify_until: Option<Instant>,
    ) -> Step<P>
    where
        F: Future<Output = AttemptOutcome<P>>,
    {
        let count = running.len();
        let newest = &running[count - 1];
        let (sent, accepted) = (newest.sent.clone(), newest.accepted.clone());
        let timeout = self.attempt_timeout(&newest.choice);
        tokio::select! {
            biased;
            (index, outcome) = next_ended(running) => Step::Ended(index, outcome),
            choice = self.choose_replacement(&sent, timeout, count) => Step::Replacement(choice),
            () = accepted.wait_for_overlap_end(), if count > 1 => Step::OverlapEnded,
            () = wait_until(verify_until) => Step::VerificationOver,
        }
    }

    /// Lowers the priority of a further attempt.
    fn prepare_retry(&mut self, trace: &Trace) {
        if trace.attempts > 0 {
            self.attempt_request = self.retry_request();
        }
    }

    /// Returns the request to the balancer for a further attempt.
    fn retry_request(&self) -> PlacementRequest {
        let mut request = self.attempt_request.clone();
        request.arrived_us = self.gateway.clock.now_us();
        // Under load, retries at the original rank would delay the first attempts of other requests.
        request.rank = request.rank.max(RETRY_RANK);
        request
    }

    /// Starts an attempt at an endpoint.
    fn start(
        &mut self,
        choice: Choice,
        is_replacement: bool,
        trace: &mut Trace,
    ) -> Running<impl Future<Output = AttemptOutcome<P>> + Send + use<P>> {
        trace.endpoint = Some(choice.id.clone());
        trace.attempts += 1;
        trace.expected = Some(choice.expected);
        self.tried.push(choice.key);
        self.log_resumption(&choice);
        let replaced = CancellationToken::new();
        let attempt = EndpointAttempt {
            gateway: self.gateway.clone(),
            job: self.job.clone(),
            runs: self.runs.clone(),
            sent: Signal::default(),
            accepted: Signal::default(),
            least_size: AtomicU64::default(),
        };
        let in_flight =
            InFlightRequest::new(self.gateway.clone(), choice.clone(), replaced.clone());
        Running {
            choice,
            sent: attempt.sent.clone(),
            accepted: attempt.accepted.clone(),
            replaced,
            is_replacement,
            future: Box::pin(attempt.run(in_flight)),
        }
    }

    /// Waits until another endpoint may run the request beside the one that has not answered for long, and returns it.
    async fn choose_replacement(&self, sent: &Signal, timeout: Duration, running: usize) -> Choice {
        let mut at = sent.wait().await + timeout;
        loop {
            time::sleep_until(at).await;
            if self.may_start_another(running)
                && let Placement::Send(choice) = self.place_replacement().await
            {
                if self.gateway.take_retry(&self.job.placement_request.service) {
                    return choice;
                }
                self.gateway.give_up_place(&choice);
            }
            at = Instant::now() + REPLACEMENT_INTERVAL;
        }
    }

    /// Returns whether the request may run at one more endpoint beside those that run it.
    fn may_start_another(&self, running: usize) -> bool {
        let service = &self.job.placement_request.service;
        running < 2
            && self.job.is_repeatable()
            && !self.job.is_trial
            && self.runs() + (running as u32) < self.job.route.max_attempts
            && self.not_run <= MAX_NOT_RUN
            && self.has_time()
            && self.gateway.block_of(&self.job).is_none()
            && (self.has_spare_retry || self.gateway.retries_left(service) >= 1.0)
    }

    async fn place_replacement(&self) -> Placement {
        let request = self.retry_request();
        self.gateway.place(&request, &self.tried).await
    }

    /// Records which endpoint has answered. Those which were sent the request `before` count as failed when their attempts
    /// are dropped.
    fn note_answered_by<F>(&self, ended: &Running<F>, before: &[Running<F>], trace: &mut Trace) {
        trace.endpoint = Some(ended.choice.id.clone());
        trace.expected = Some(ended.choice.expected);
        for attempt in before {
            attempt.replaced.cancel();
        }
    }

    /// Logs that a stream which an earlier attempt of the caller began is sent on to an endpoint.
    fn log_resumption(&self, choice: &Choice) {
        let Some(after_event) = self.job.resumes_after() else {
            return;
        };
        self.gateway.metrics.streams_taken_up.inc();
        log::info!(
            target: "ryevalve::request",
            request_id = self.job.request_id(),
            resumes = attempt::header_for_log(self.job.head.resumes.as_ref()),
            after_event,
            endpoint = &*choice.id,
            version = &*choice.version;
            "stream_taken_up"
        );
    }

    /// Waits for a place at an endpoint; refuses once the request's time budget is spent.
    async fn place(&self) -> Result<Choice, Refusal> {
        let placing = self.gateway.place(&self.attempt_request, &self.tried);
        let clock = self.gateway.clock;
        match clock.timeout_at(self.job.until_us, placing).await {
            Some(Placement::Send(choice)) => self.check_stop(choice),
            Some(Placement::Refuse {
                reason,
                retry_after_ms,
            }) if self.runs() == 0 => Err(refuse::not_run(reason, retry_after_ms)),
            Some(_) | None if self.runs() == 0 => Err(refuse::not_run("no_time_left", 500)),
            // An endpoint may have run the request in an earlier attempt.
            _ => Err(refuse::unknown("no_other_endpoint")),
        }
    }

    /// Returns the endpoint of a request that can be answered before this instance stops.
    ///
    /// # Errors
    /// It cannot, and is refused before it runs.
    fn check_stop(&self, choice: Choice) -> Result<Choice, Refusal> {
        let now_us = self.gateway.clock.now_us();
        let deadline = &self.gateway.stop_deadline;
        if deadline.leaves_time_for(now_us, &self.job, &choice.expected) {
            return Ok(choice);
        }
        self.gateway.give_up_place(&choice);
        match self.runs() {
            0 => Err(refuse::not_run(STOPPING, 0)),
            _ => Err(refuse::unknown(STOPPING)),
        }
    }

    /// Returns an error if a request that was not run must not be sent to another endpoint.
    ///
    /// # Errors
    /// The refusal to return to the caller.
    fn check_resend(&self, was_sent: bool, reason: &'static str) -> Result<(), Refusal> {
        let may_resend = self.not_run <= MAX_NOT_RUN
            && self.has_time()
            && !Block::is_reason(reason)
            && (!was_sent || self.gateway.take_retry(&self.job.placement_request.service));
        match may_resend {
            true => Ok(()),
            false if self.runs() == 0 && Block::is_reason(reason) => {
                let block = self.gateway.block_of(&self.job);
                Err(block.map_or_else(|| refuse::not_run(reason, 0), refuse::blocked))
            }
            false if self.runs() == 0 => {
                let retry_after_ms = self
                    .gateway
                    .retry_after_rejections_ms(&self.job.placement_request.service);
                Err(refuse::not_run(reason, retry_after_ms))
            }
            false => Err(refuse::unknown(reason)),
        }
    }

    /// Returns whether a request that an endpoint may have run can be run again; takes a retry of the budget if so.
    fn may_run_again(&self) -> bool {
        self.job.is_repeatable()
            && !self.job.is_trial
            && self.runs() < self.job.route.max_attempts
            && self.has_time()
            && self.gateway.block_of(&self.job).is_none()
            && self.gateway.take_retry(&self.job.placement_request.service)
    }

    fn has_time(&self) -> bool {
        self.gateway.clock.now_us() + ANSWER_MARGIN_US < self.job.until_us
    }

    /// Returns the time in which another run may show that an answer is whole. A plain one is there, and should be in time.
    fn verification_timeout(&self) -> Duration {
        if self.job.route.kind.is_stream() {
            return STREAM_VERIFICATION_TIMEOUT;
        }
        let target = Duration::from_micros(self.job.placement_request.target_us);
        (target / 2).max(MIN_VERIFICATION_TIMEOUT)
    }

    /// Returns the time after which another endpoint is tried beside one that has not answered.
    fn attempt_timeout(&self, choice: &Choice) -> Duration {
        let target_ms = self.job.placement_request.target_us as f64 / 1e3;
        let timeout_targets = if self.job.route.kind.is_stream() {
            STREAM_ATTEMPT_TIMEOUT_TARGETS
        } else {
            ATTEMPT_TIMEOUT_TARGETS
        };
        let timeout_ms = (target_ms * timeout_targets)
            .max(choice.expected.first_ms * ATTEMPT_TIMEOUT_EXPECTED)
            .max(MIN_ATTEMPT_TIMEOUT_MS);
        Duration::from_secs_f64(timeout_ms / 1e3)
    }

    /// Returns one of two answers of which nothing else shows that they are whole.
    ///
    /// # Errors
    /// Both were most likely broken off.
    async fn compare(
        &self,
        earlier: UnprovenAnswer<P>,
        later: UnprovenAnswer<P>,
        trace: &Trace,
    ) -> Result<Response<Body>, Refusal> {
        let agree = earlier.agrees_with(&later);
        let shorter = earlier.len().min(later.len());
        let mut answer = earlier.or_longer(later);
        if agree {
            answer.confirm_end();
        }
        if let (false, UnprovenAnswer::Plain(answer)) = (answer.is_suspicious(), &answer) {
            self.note_compared_sizes(shorter, answer.body.len());
        }
        match answer.is_suspicious() && !agree {
            true => Err(refuse::unknown(ENDED_EARLY)),
            false => Ok(self.deliver_unproven(answer, trace).await),
        }
    }

    /// Notes the sizes of two answers that were compared. If they vary, the longer ones alone would make others seem short.
    fn note_compared_sizes(&self, shorter: usize, longer: usize) {
        self.gateway.note_whole_answer(&self.job, longer as u64);
        if shorter * 100 >= longer * MIN_WHOLE_PERCENT {
            self.gateway.note_whole_answer(&self.job, shorter as u64);
        }
    }

    /// Returns an answer of which nothing shows that it is whole.
    async fn deliver_unproven(&self, answer: UnprovenAnswer<P>, trace: &Trace) -> Response<Body> {
        match answer {
            UnprovenAnswer::Plain(response) => self.deliver(response, trace),
            UnprovenAnswer::Stream(relay, head) => {
                let runs = StreamRuns {
                    tried: self.tried.clone(),
                    count: self.runs(),
                    trace: trace.clone(),
                };
                relay.into_response(head, runs).await
            }
        }
    }

    /// Counts and logs an endpoint's complete answer, and returns it for the caller.
    fn deliver(&self, buffered: BufferedResponse, trace: &Trace) -> Response<Body> {
        let outcome = if buffered.status.is_success() {
            Outcome::Served
        } else {
            Outcome::EndpointError
        };
        let gateway = &self.gateway;
        gateway
            .metrics
            .record_outcome(&self.job.route.name, outcome);
        let took_us = gateway.clock.now_us() - self.job.placement_request.arrived_us;
        gateway.metrics.first_seconds.observe(took_us as f64 / 1e6);
        let trace = Trace {
            framing: Some(buffered.framing),
            body_bytes: buffered.body.len(),
            ..trace.clone()
        };
        log_answer(
            gateway,
            &self.job,
            outcome,
            buffered.status,
            took_us,
            &trace,
        );
        let mut response = Response::new(buffered.body.into_body());
        *response.status_mut() = buffered.status;
        *response.headers_mut() = buffered.headers;
        match buffered.end {
            AnswerEnd::Whole => response,
            // The caller learns no more of its end than is known.
            _ => delimit_by_close(response),
        }
    }
}
