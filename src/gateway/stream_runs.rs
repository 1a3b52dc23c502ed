//! Resumes a stream at another endpoint.

use std::sync::Arc;

use crate::{
    balance::{
        balancer::{Choice, Placement},
        load::EndpointKey,
    },
    gateway::{
        attempt::{self, AttemptError, EndpointResponse, InFlightRequest, Job},
        crash_check::{self, LostRun},
        protocol::Protocol,
        report::Trace,
        state::Gateway,
    },
    prelude::{Micros, Name},
};

/// The runs of a stream so far.
pub struct StreamRuns {
    /// Endpoints chosen so far; they are not chosen again.
    pub tried: Vec<EndpointKey>,
    /// Number of runs that an endpoint may have begun.
    pub count: u32,
    /// What happened to the request, for its log line.
    pub trace: Trace,
}

/// Why no other endpoint continues a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NotResumed {
    /// No other endpoint has a free slot.
    NoPlace,
    /// The retry budget is used up.
    NoRetry,
    /// The stream may not run again.
    NotAllowed,
}

impl NotResumed {
    fn as_str(self) -> &'static str {
        match self {
            Self::NoPlace => "no_place",
            Self::NoRetry => "no_retry",
            Self::NotAllowed => "not_allowed",
        }
    }
}

/// What came of sending a stream's request to another endpoint.
enum RunStart<P: Protocol> {
    /// The endpoint runs it.
    Accepted(Box<EndpointResponse<P>>),
    /// Nothing was sent.
    NotSent,
    /// The endpoint does not run it, or not any more.
    Failed,
}

/// Where a stream is to be resumed, and why.
pub struct Resumption<'a, P: Protocol> {
    /// The gateway.
    pub gateway: &'a Arc<Gateway<P>>,
    /// The request.
    pub job: &'a Arc<Job>,
    /// The version of the endpoint that brought the first event.
    pub began_version: Option<Name>,
    /// The id of the last event that the caller gets from the earlier runs.
    pub after: Option<u64>,
    /// Why the stream does not go on where it is.
    pub reason: &'static str,
}

impl<P: Protocol> Resumption<'_, P> {
    /// Resumes the stream at another endpoint, and returns that endpoint's response once it has accepted the request.
    /// Runs that were begun are counted in `runs` even if this is cancelled.
    pub async fn resume(&self, runs: &mut StreamRuns) -> Option<EndpointResponse<P>> {
        // A retry that was taken is used for the next endpoint if the request was not sent to the first.
        let mut has_retry = false;
        let cause = loop {
            let is_in_time = self.gateway.clock.now_us() < self.job.until_us;
            if !runs.may_resume(self.gateway, self.job, self.after) || !is_in_time {
                break NotResumed::NotAllowed;
            }
            if !has_retry && self.retries_left() < 1.0 {
                break NotResumed::NoRetry;
            }
            let Some(choice) = self.choose_endpoint(&runs.tried).await else {
                break NotResumed::NoPlace;
            };
            runs.tried.push(choice.key);
            has_retry = has_retry || self.gateway.take_retry(&self.job.placement_request.service);
            if !has_retry {
                self.gateway.give_up_place(&choice);
                break NotResumed::NoRetry;
            }
            match self.run_at(choice, runs).await {
                RunStart::Accepted(received) => return Some(*received),
                RunStart::NotSent => {}
                RunStart::Failed => has_retry = false,
            }
        };
        self.note_not_resumed(runs, cause);
        None
    }

    /// Chooses another endpoint, if one has a free slot soon.
    async fn choose_endpoint(&self, tried: &[EndpointKey]) -> Option<Choice> {
        // The queueing time of a resumption counts from now: the first event was long ago.
        let mut request = self.job.placement_request.clone();
        request.arrived_us = self.gateway.clock.now_us();
        if let Some(version) = &self.began_version {
            self.gateway.bind_to_version(&mut request, version);
        }
        match self.gateway.place(&request, tried).await {
            Placement::Send(choice) => Some(choice),
            Placement::Wait | Placement::Refuse { .. } => None,
        }
    }

    /// Sends the request to an endpoint.
    async fn run_at(&self, choice: Choice, runs: &mut StreamRuns) -> RunStart<P> {
        runs.trace.attempts += 1;
        runs.trace.endpoint = Some(choice.id.clone());
        runs.trace.reason = Some(self.reason);
        self.note_resumption(&choice);
        let (gateway, job) = (self.gateway, self.job);
        let attempted = choice.clone();
        let in_flight = InFlightRequest::new(gateway.clone(), choice, Default::default());
        let Ok(prepared) = attempt::prepare(gateway, job, in_flight).await else {
            return RunStart::NotSent;
        };
        runs.count += 1;
        let received = attempt::send(gateway, job, prepared, self.after, job.deadline()).await;
        match received {
            Ok(received) if received.response.status().is_success() && received.is_signed => {
                return RunStart::Accepted(Box::new(received));
            }
            Ok(received) if received.not_executed => runs.count -= 1,
            Err(AttemptError::NotSent(_)) => {
                runs.count -= 1;
                return RunStart::NotSent;
            }
            Err(AttemptError::ConnectionLost(_)) => {
                runs.note_connection_lost(gateway, job, attempted, None)
                    .await;
            }
            Ok(_) | Err(AttemptError::Unknown(_) | AttemptError::NoRoom) => {}
        }
        RunStart::Failed
    }

    fn retries_left(&self) -> f64 {
        self.gateway
            .retries_left(&self.job.placement_request.service)
    }

    /// Counts and logs that the stream is sent to another endpoint.
    fn note_resumption(&self, choice: &Choice) {
        let began_version = self.began_version.as_deref();
        self.gateway
            .metrics
            .count_resumption(began_version, &choice.version);
        log::info!(
            target: "ryevalve::request",
            request_id = self.job.request_id(),
            reason = self.reason,
            after_event = self.after.unwrap_or(0),
            endpoint = &*choice.id,
            version = &*choice.version,
            began_version = began_version.unwrap_or("-"),
            retries_left = self.retries_left();
            "stream_resumed"
        );
    }

    /// Counts and logs that no other endpoint continues the stream.
    fn note_not_resumed(&self, runs: &StreamRuns, cause: NotResumed) {
        let cause = cause.as_str();
        self.gateway.metrics.count_not_resumed(cause);
        let now_us = self.gateway.clock.now_us();
        log::info!(
            target: "ryevalve::request",
            request_id = self.job.request_id(),
            reason = self.reason,
            cause,
            after_event = self.after.unwrap_or(0),
            runs = runs.count,
            max_attempts = self.job.route.max_attempts,
            left_ms = self.job.until_us.saturating_sub(now_us) / 1_000,
            retries_left = self.retries_left();
            "stream_not_resumed"
        );
    }
}

impl StreamRuns {
    /// Returns whether a stream may run again that its caller has up to the event with id `after`, apart from the retry
    /// budget.
    pub fn may_resume<P: Protocol>(
        &self,
        gateway: &Gateway<P>,
        job: &Job,
        after: Option<u64>,
    ) -> bool {
        job.is_repeatable()
            && !job.is_trial
            && gateway.block_of(job).is_none()
            && self.count < job.route.max_attempts
            && after.is_some()
    }

    /// Starts the check whether an endpoint has crashed.
    pub async fn note_connection_lost<P: Protocol>(
        &mut self,
        gateway: &Arc<Gateway<P>>,
        job: &Arc<Job>,
        choice: Choice,
        answering_us: Option<Micros>,
    ) {
        self.trace.fingerprint = Some(job.fingerprint());
        let lost = LostRun {
            choice,
            lost_before: self.count > 1,
            answering_us,
        };
        crash_check::on_connection_lost(gateway, job, lost).await;
    }
}
