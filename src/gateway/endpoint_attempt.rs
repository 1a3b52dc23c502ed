//! One attempt at a request that has no answer yet: sends it to an endpoint, and says what came of it.

use std::sync::{
    Arc,
    atomic::{AtomicU32, AtomicU64, Ordering},
};

use hyper::StatusCode;
use tokio::time::Instant;

use crate::{
    balance::balancer::Choice,
    entry::refusal::{self, Refusal},
    gateway::{
        answer_ends::AnswerEnd,
        attempt::{self, AttemptError, BufferedResponse, EndpointResponse, InFlightRequest, Job},
        crash_check::{self, LostRun},
        overlap::Signal,
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
    /// An answer that has ended, of which nothing shows that it is whole; another run should.
    Unproven(UnprovenAnswer<P>),
    /// The endpoint did not run it. `was_sent` says whether it was sent there at all.
    NotRun {
        was_sent: bool,
        reason: &'static str,
    },
    /// The endpoint may have run it, but no usable answer arrived.
    Failed {
        refusal: Box<Refusal>,
        /// What the answer has at least, as far as it has arrived: bytes, or events of a stream.
        least_size: u64,
    },
    /// The endpoint ran it and answered with a server error.
    Error(BufferedResponse),
    /// The endpoint answered with a status that promises callers that the request did not run, and does not state that.
    UnprovenRefusal,
    /// The endpoint ran it, and running it again would not help.
    GivenUp { refusal: Box<Refusal> },
}

/// An answer of which nothing shows that it is whole.
pub enum UnprovenAnswer<P: Protocol> {
    /// A plain answer.
    Plain(BufferedResponse),
    /// A stream without events, which its caller takes up.
    Stream(Box<Relay<P>>, StreamHead),
}

impl<P: Protocol> UnprovenAnswer<P> {
    /// Returns whether it was most likely broken off.
    pub fn is_suspicious(&self) -> bool {
        matches!(self, Self::Plain(answer) if answer.end == AnswerEnd::Suspicious)
    }

    /// Returns whether it should be returned in time, although no other run has shown that it is whole.
    pub fn should_be_in_time(&self) -> bool {
        match self {
            Self::Plain(answer) => answer.end == AnswerEnd::Doubtful,
            Self::Stream(..) => true,
        }
    }

    /// Returns the number of its bytes, or of its events if it is a stream.
    pub fn len(&self) -> usize {
        match self {
            Self::Plain(answer) => answer.body.len(),
            Self::Stream(..) => 0,
        }
    }

    /// Returns whether a run has shown that the answer has more than this.
    pub fn is_shorter_than(&self, least_size: u64) -> bool {
        (self.len() as u64) < least_size
    }

    /// Returns whether two endpoints agree on the length of the answer.
    pub fn agrees_with(&self, other: &Self) -> bool {
        self.len() == other.len()
    }

    /// Takes a stream as whole on whose end another endpoint agrees.
    pub fn confirm_end(&mut self) {
        if let Self::Stream(_, head) = self {
            head.confirm_end();
        }
    }

    /// Returns the answer that has more of the two: a part of an answer is shorter than the whole.
    pub fn or_longer(self, other: Self) -> Self {
        if self.len() > other.len() {
            return self;
        }
        other
    }
}

/// An attempt at one endpoint.
pub struct EndpointAttempt<P: Protocol> {
    /// The gateway.
    pub gateway: Arc<Gateway<P>>,
    /// The request.
    pub job: Arc<Job>,
    /// Number of attempts of the request that have ended and that an endpoint may have run.
    pub runs: Arc<AtomicU32>,
    /// Says when the request was sent.
    pub sent: Signal,
    /// Says when the endpoint accepted the request of a stream.
    pub accepted: Signal,
    /// What the answer has at least, as far as it has arrived: bytes, or events of a stream.
    pub least_size: AtomicU64,
}

impl<P: Protocol> EndpointAttempt<P> {
    /// Runs the request at the endpoint until there is an answer, the first events of a stream, or a failure.
    pub async fn run(self, in_flight: InFlightRequest<P>) -> AttemptOutcome<P> {
        let sent_to = in_flight.choice.clone();
        match self.receive(in_flight).await {
            Ok(outcome) => outcome,
            Err(error) => self.handle_failure(error, sent_to).await,
        }
    }

    async fn receive(
        &self,
        in_flight: InFlightRequest<P>,
    ) -> Result<AttemptOutcome<P>, AttemptError> {
        let (gateway, job) = (&self.gateway, &self.job);
        let deadline = job.deadline();
        let prepared = attempt::prepare(gateway, job, in_flight).await?;
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
            self.accepted.set(Instant::now());
            let mut relay = Relay::new(gateway.clone(), job.clone(), received);
            let head = relay.wait_first_event().await.inspect_err(|_| {
                let events = u64::from(relay.has_begun_event());
                self.least_size.store(events, Ordering::Relaxed);
            })?;
            let relay = Box::new(relay);
            return Ok(match head.is_unproven() {
                true => AttemptOutcome::Unproven(UnprovenAnswer::Stream(relay, head)),
                false => AttemptOutcome::Stream(relay, head),
            });
        }
        let buffered =
            attempt::buffer_response(gateway, job, received, deadline, &self.least_size).await?;
        if refusal::promises_not_run(buffered.status) {
            return Ok(AttemptOutcome::UnprovenRefusal);
        }
        if buffered.status.is_server_error() {
            return Ok(AttemptOutcome::Error(buffered));
        }
        if buffered.status.is_success() {
            gateway.note_request_completed(job);
        }
        Ok(match buffered.end {
            AnswerEnd::Doubtful | AnswerEnd::Short | AnswerEnd::Suspicious => {
                AttemptOutcome::Unproven(UnprovenAnswer::Plain(buffered))
            }
            _ => AttemptOutcome::Answer(buffered),
        })
    }

    /// Returns the outcome of a failed attempt; a lost connection starts a check of whether the endpoint crashed.
    async fn handle_failure(&self, error: AttemptError, sent_to: Choice) -> AttemptOutcome<P> {
        if matches!(error, AttemptError::ConnectionLost(_)) {
            let lost = LostRun {
                choice: sent_to,
                lost_before: self.runs.load(Ordering::Relaxed) > 0,
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
                    least_size: self.least_size.load(Ordering::Relaxed),
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
