//! What entries and a pool's leader tell each other.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::core::length::AnswerLength;
use crate::prelude::{Incarnation, Micros, Name, Registration, RequestId, RequestMeta, ShedReason};

/// Something that happened at an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// A request waits.
    Add(RequestMeta),
    /// A request runs already at the endpoint.
    Adopt(RequestMeta, Name),
    /// The length of an answer that was seen under an earlier leader.
    Seen(AnswerLength),
    /// A request is gone without an answer from an endpoint.
    Withdraw(RequestId),
    /// A grant was given back before any byte was sent; the request waits on.
    Returned(RequestId),
    /// The first token was seen.
    FirstToken(RequestId),
    /// Output tokens, and the time they took.
    Progress(RequestId, u32, Micros),
    /// The endpoint is done with it; the length of a whole answer.
    Finished(RequestId, Option<u32>),
    /// The endpoint could not be reached, or cut a stream that could not be resumed.
    EndpointFailed(Name),
}

/// Updates of one entry, in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpdateBatch {
    /// The pool slice.
    pub pool: Name,
    /// The leader they are for.
    pub leader: Incarnation,
    /// The registration they belong to.
    pub registration: Registration,
    /// Whether this batch begins the registration.
    pub attach: bool,
    /// The updates.
    pub updates: Vec<Update>,
}

/// Why a leader did not take a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
pub enum UpdatesRefused {
    /// It does not lead the pool, as it sees things.
    #[snafu(display("not the leader of this pool"))]
    NotLeader,
    /// It does not know the registration.
    #[snafu(display("the registration is not known"))]
    NotRegistered,
}

/// What a leader tells an entry to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Send the request to the endpoint.
    Grant {
        /// Under which registration.
        registration: Registration,
        /// The request.
        id: RequestId,
        /// Where to.
        endpoint: Name,
        /// Prompt tokens believed to be cached there.
        cached_tokens: u32,
    },
    /// Refuse the request as not run.
    Shed {
        /// Under which registration.
        registration: Registration,
        /// The request.
        id: RequestId,
        /// Why.
        reason: ShedReason,
        /// When the caller may come back, in milliseconds.
        retry_after_ms: u32,
        /// The chain of level asks that allows it.
        chain: u64,
    },
}

impl Order {
    /// Returns the registration that it was given under.
    pub fn registration(&self) -> Registration {
        match self {
            Self::Grant { registration, .. } | Self::Shed { registration, .. } => *registration,
        }
    }

    /// Returns the request that it is about.
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
    /// The leader that gives them.
    pub leader: Incarnation,
    /// The orders.
    pub orders: Vec<Order>,
}
