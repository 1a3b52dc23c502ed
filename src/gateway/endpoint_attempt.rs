//! One attempt at a request that has no answer yet: sends it to an endpoint, and says what came of it.

use std::sync::Arc;

use hyper::StatusCode;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::{
    balance::balancer::Choice,
    entry::refusal::Refusal,
    gateway::{
        attempt::{self, AttemptError, BufferedResponse, EndpointResponse, Job},
        crash_check::{self, LostRun},
        overlap::SentSignal,
        protocol::Protocol,
        refuse,
        state::Gateway,
        stream::{Relay, StreamHead},
    },
};

/// The outcome of an attempt.
pub enum AttemptOutcome<P: Protocol> {
    /// The endpoint's whole answer.
    Answer(BufferedResponse),
    /// A stream that has begun.
    Stream(Box<Relay<P>>, StreamHead),
    /// The endpoint did not run it. `was_sent` says whether it was sent there at all.
    NotRun {
        was_sent: bool,
        reason: &'static str,
    },
    /// The endpoint may have run it, but no usable answer arrived.
    Failed { refusal: Box<Refusal> },
    /// The endpoint ran it and answered with a server error.
    Error(BufferedResponse),
    /// The endpoint ran it, and running it again would not help.
    GivenUp { refusal: Box<Refusal> },
}

/// An attempt at one endpoint.
pub struct EndpointAttempt<P: Protocol> {
    /// The gateway.
    pub gateway: Arc<Gateway<P>>,
    /// The request.
    pub job: Arc<Job>,
    /// Whether an earlier attempt may have run the request.
    pub lost_before: bool,
    /// Says when the request was sent.
    pub sent: SentSignal,
    /// Cancelled once another endpoint has taken the request over.
    pub replaced: CancellationToken,
}

impl<P: Protocol> EndpointAttempt<P> {
    /// Runs the request at the endpoint until there is an answer, the first events of a stream, or a failure.
    pub async fn run(self, choice: Choice) -> AttemptOutcome<P> {
        let sent_to = choice.clone();
        match self.receive(choice).await {
            Ok(outcome) => outcome,
            Err(error) => self.handle_failure(error, sent_to).await,
        }
    }

    async fn receive(&self, choice: Choice) -> Result<AttemptOutcome<P>, AttemptError> {
        let (gateway, job) = (&self.gateway, &self.job);
        let deadline = job.deadline();
        let prepared = attempt::prepare(gateway, job, choice, self.replaced.clone()).await?;
        self.sent.set(Instant::now());
        let mut received = attempt::send(gateway, job, prepared, None, deadline).await?;
        let status = received.response.status();
        if received.not_executed || status == StatusCode::MISDIRECTED_REQUEST {
            return Ok(self.handle_rejection(received));
        }
        if status.is_success() && !received.is_signed {
            received.in_flight.note_failure();
            return Err(AttemptError::Unknown("unsigned_answer"));
        }
        if status.is_success() && job.route.kind.is_stream() {
            let mut relay = Relay::new(gateway.clone(), job.clone(), received);
            let head = relay.wait_first_event(deadline).await?;
            return Ok(AttemptOutcome::Stream(Box::new(relay), head));
        }
        let buffered = attempt::buffer_response(gateway, job, received, deadline).await?;
        if buffered.status.is_server_error() {
            return Ok(AttemptOutcome::Error(buffered));
        }
        if buffered.status.is_success() {
            gateway.note_request_completed(job);
        }
        Ok(AttemptOutcome::Answer(buffered))
    }

    /// Returns the outcome of a failed attempt; a lost connection starts a check of whether the endpoint crashed.
    async fn handle_failure(&self, error: AttemptError, sent_to: Choice) -> AttemptOutcome<P> {
        if matches!(error, AttemptError::ConnectionLost(_)) {
            let lost = LostRun {
                choice: sent_to,
                lost_before: self.lost_before,
                answering_us: None,
            };
            crash_check::on_connection_lost(&self.gateway, &self.job, lost).await;
        }
        match error {
            AttemptError::NotSent(reason) => AttemptOutcome::NotRun {
                was_sent: false,
                reason,
            },
            AttemptError::NoRoom => AttemptOutcome::GivenUp {
                refusal: Box::new(refuse::unknown(refuse::NO_MEMORY)),
            },
            AttemptError::ConnectionLost(reason) | AttemptError::Unknown(reason) => {
                let is_timed_out = self.gateway.clock.now_us() >= self.job.until_us;
                let refusal = if is_timed_out {
                    refuse::timed_out()
                } else {
                    refuse::unknown(reason)
                };
                AttemptOutcome::Failed {
                    refusal: Box::new(refusal),
                }
            }
        }
    }

    /// Returns the outcome of an attempt that the endpoint rejected without running the request.
    fn handle_rejection(&self, mut received: EndpointResponse<P>) -> AttemptOutcome<P> {
        let reason = match received.response.status() {
            StatusCode::MISDIRECTED_REQUEST => {
                let key = received.in_flight.choice.key;
                self.gateway.balancer().mark_endpoint_replaced(key);
                "another_endpoint_there"
            }
            StatusCode::SERVICE_UNAVAILABLE => {
                received.in_flight.note_refused();
                "endpoint_full"
            }
            _ => "endpoint_refused",
        };
        AttemptOutcome::NotRun {
            was_sent: true,
            reason,
        }
    }
}
