//! The state machine of one request at the entry that accepted it.
//!
//! A request is dispatched at most once, because only its entry can send it, [`Lifecycle::send`] is
//! the only transition to [`Stage::Sent`], and that call succeeds only once.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::core::types::Registration;

/// The stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The request waits for a grant; it has provably not run.
    Waiting,
    /// The request has a grant. Its idempotency key is being claimed or the endpoint connected to;
    /// no byte was sent.
    Granted,
    /// Bytes may have reached an endpoint; the request is never sent again.
    Sent,
    /// The request has its final answer.
    Ended(Ending),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The complete answer went to the caller.
    Whole,
    /// The request was refused and did not run.
    NotRun,
    /// The request was sent, and whether it ran to completion is not known.
    OutcomeUnknown,
}

/// A transition that the state machine does not allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum LifecycleError {
    /// The grant was issued under a registration that has been replaced.
    #[snafu(display(
        "the grant was issued under {offered:?}, but the current registration is {current:?}"
    ))]
    StaleRegistration {
        /// The registration that the grant was issued under.
        offered: Registration,
        /// The current registration.
        current: Registration,
    },
    /// The request is not in the stage that the transition starts from.
    #[snafu(display("the transition is not allowed in stage {stage:?}"))]
    WrongStage {
        /// The request's stage.
        stage: Stage,
    },
}

/// The state of a request at its entry.
///
/// ```
/// use ryevalve::core::lifecycle::{Lifecycle, Stage};
/// use ryevalve::prelude::*;
/// let registration = Registration { entry: Incarnation(1), epoch: 1 };
/// let mut request = Lifecycle::new(registration);
/// request.grant(registration).unwrap();
/// request.send().unwrap();
/// assert_eq!(request.stage(), Stage::Sent);
/// assert!(request.send().is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lifecycle {
    stage: Stage,
    registration: Registration,
}

impl Lifecycle {
    /// Creates the state of a request that waits under `registration`.
    pub fn new(registration: Registration) -> Self {
        Self {
            stage: Stage::Waiting,
            registration,
        }
    }

    /// Returns the request's stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns the registration under which it waits.
    pub fn registration(&self) -> Registration {
        self.registration
    }

    /// Replaces the registration; grants under the earlier one are rejected from now on.
    pub fn reregister(&mut self, registration: Registration) {
        self.registration = registration;
    }

    /// Accepts a grant.
    ///
    /// # Errors
    /// The grant's registration is not the current one, or the request does not wait.
    pub fn grant(&mut self, offered: Registration) -> Result<(), LifecycleError> {
        if offered != self.registration {
            return Err(LifecycleError::StaleRegistration {
                offered,
                current: self.registration,
            });
        }
        self.transition(Stage::Waiting, Stage::Granted)
    }

    /// Gives a grant back, after a failed claim or connect that provably reached no endpoint.
    ///
    /// # Errors
    /// The request has no grant.
    pub fn return_grant(&mut self) -> Result<(), LifecycleError> {
        self.transition(Stage::Granted, Stage::Waiting)
    }

    /// Marks the request as sent, just before the first byte; succeeds at most once.
    ///
    /// # Errors
    /// The request has no grant, or was sent before.
    pub fn send(&mut self) -> Result<(), LifecycleError> {
        self.transition(Stage::Granted, Stage::Sent)
    }

    /// Refuses the request as not run.
    ///
    /// # Errors
    /// The request was sent or has ended.
    pub fn refuse(&mut self) -> Result<(), LifecycleError> {
        match self.stage {
            Stage::Waiting | Stage::Granted => {
                self.stage = Stage::Ended(Ending::NotRun);
                Ok(())
            }
            stage => Err(LifecycleError::WrongStage { stage }),
        }
    }

    /// Sheds the request on the leader's order; only possible while it waits.
    ///
    /// # Errors
    /// The request has a grant, was sent or has ended.
    pub fn shed(&mut self) -> Result<(), LifecycleError> {
        self.transition(Stage::Waiting, Stage::Ended(Ending::NotRun))
    }

    /// Ends a sent request; `complete` says whether the complete answer reached the caller.
    ///
    /// # Errors
    /// The request was not sent.
    pub fn finish(&mut self, complete: bool) -> Result<(), LifecycleError> {
        let ending = if complete {
            Ending::Whole
        } else {
            Ending::OutcomeUnknown
        };
        self.transition(Stage::Sent, Stage::Ended(ending))
    }

    fn transition(&mut self, from: Stage, to: Stage) -> Result<(), LifecycleError> {
        if self.stage != from {
            return Err(LifecycleError::WrongStage { stage: self.stage });
        }
        self.stage = to;
        Ok(())
    }
}
