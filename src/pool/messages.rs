//! The messages between entries and the leader of a pool.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::core::length::AnswerLength;
use crate::prelude::{Incarnation, Micros, Name, Registration, RequestId, RequestMeta, ShedReason};

/// An event at an entry that its pool's leader needs to know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// A request waits.
    Add(RequestMeta),
    /// A request is already running at the endpoint.
    Adopt(RequestMeta, Name),
    /// The length of an answer that was observed under an earlier leader.
    Seen(AnswerLength),
    /// A request was removed without an answer from an endpoint.
    Withdraw(RequestId),
    /// A grant was returned before any byte was sent; the request goes on waiting.
    Returned(RequestId),
    /// The first token arrived.
    FirstToken(RequestId),
    /// Output tokens since the last such update, and the time they took.
    Progress(RequestId, u32, Micros),
    /// The request ended at the endpoint; the number is the length of a complete answer.
    Finished(RequestId, Option<u32>),
    /// The endpoint couldn't be reached, or broke a stream that couldn't be resumed.
    EndpointFailed(Name),
}

/// Updates of one entry, in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpdateBatch {
    /// The pool slice.
    pub pool: Name,
    /// The leader that they are addressed to.
    pub leader: Incarnation,
    /// The registration they belong to.
    pub registration: Registration,
    /// Whether this batch starts the registration.
    pub attach: bool,
    /// The updates.
    pub updates: Vec<Update>,
}

/// Why a leader refused a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
pub enum UpdatesRefused {
    /// By its membership view the instance doesn't lead the pool.
    #[snafu(display("not the leader of this pool"))]
    NotLeader,
    /// The leader doesn't know the registration, or has a later one.
    #[snafu(display("the registration is not known"))]
    NotRegistered,
}

/// A leader's order to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Send the request to the endpoint.
    Grant {
        /// The registration that the order is issued under.
        registration: Registration,
        /// The request.
        id: RequestId,
        /// The endpoint to send it to.
        endpoint: Name,
        /// Prompt tokens expected to be in the endpoint's cache.
        cached_tokens: u32,
    },
    /// Refuse the request as not run.
    Shed {
        /// The registration that the order is issued under.
        registration: Registration,
        /// The request.
        id: RequestId,
        /// The reason.
        reason: ShedReason,
        /// After how many milliseconds the caller may retry.
        retry_after_ms: u32,
        /// The chain of level requests that permits it.
        chain: u64,
    },
}

impl Order {
    /// Returns the registration that the order is issued under.
    pub fn registration(&self) -> Registration {
        match self {
            Self::Grant { registration, .. } | Self::Shed { registration, .. } => *registration,
        }
    }

    /// Returns the request that the order is for.
    pub fn id(&self) -> RequestId {
        match self {
            Self::Grant { id, .. } | Self::Shed { id, .. } => *id,
        }
    }
}

/// Orders of one leader to one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderBatch {
    /// The pool slice.
    pub pool: Name,
    /// The leader that issues them.
    pub leader: Incarnation,
    /// The orders.
    pub orders: Vec<Order>,
}
