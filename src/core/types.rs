//! Identifiers and request metadata used by the scheduling logic.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// A point in time or a duration, in microseconds of the process's monotonic clock.
pub type Micros = u64;

/// A name from the configuration; cheap to clone.
pub type Name = Arc<str>;

/// The priority of a tier; 0 is the highest.
pub type Rank = u8;

/// Identifies one run of one instance: drawn at random at each start, so that no two runs share it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one arrival of a request at one instance; never reused.
///
/// ```
/// use ryevalve::prelude::*;
/// let id = RequestId { entry: Incarnation(0xab), seq: 7 };
/// assert_eq!(id.to_string(), "00000000000000ab-7");
/// assert_eq!("00000000000000ab-7".parse(), Ok(id));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RequestId {
    /// The instance run that accepted the request.
    pub entry: Incarnation,
    /// Sequence number of the request at that instance.
    pub seq: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.entry, self.seq)
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (entry, seq) = text.split_once('-').ok_or(ParseIdError)?;
        let entry = u64::from_str_radix(entry, 16).map_err(|_| ParseIdError)?;
        let seq = seq.parse().map_err(|_| ParseIdError)?;
        Ok(Self {
            entry: Incarnation(entry),
            seq,
        })
    }
}

/// The text is not a valid request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseIdError;

/// Identifies one registration of an entry with a pool's leader.
///
/// An entry increments `epoch` each time it registers again, so that it can recognise and reject a
/// grant issued under an earlier registration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Registration {
    /// The run of the entry instance.
    pub entry: Incarnation,
    /// Counts the entry's registrations with one pool.
    pub epoch: u64,
}

/// The metadata of a request that the scheduler works with; the request's text is not part of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestMeta {
    /// The request's id.
    pub id: RequestId,
    /// The organisation that the caller's API key belongs to.
    pub organisation: Name,
    /// The tier's priority; 0 is the highest.
    pub rank: Rank,
    /// The service that the request is for.
    pub service: Name,
    /// Length of the prompt, counted or estimated by the entry.
    pub prompt_tokens: u32,
    /// Hash chain over the prompt's leading blocks, for prefix cache lookups.
    pub prefix: Vec<u64>,
    /// The caller's limit on the answer's length, if it set one.
    pub max_output_tokens: Option<u32>,
    /// Whether the request may safely run a second time.
    pub repeatable: bool,
    /// How long the request had waited when this was sent.
    pub waited_us: Micros,
    /// Time left until its deadline when this was sent.
    pub remaining_us: Micros,
}

/// Why a request was refused without running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShedReason {
    /// The pool's queue is over its limit and the request is of the lowest tier that waits.
    QueueFull,
    /// No endpoint can finish the answer before the deadline.
    DeadlineUnreachable,
    /// The request arrived while its tier was being shed for the pool.
    TierShed,
}

impl ShedReason {
    /// Returns the name used in answers and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::QueueFull => "queue_full",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::TierShed => "tier_shed",
        }
    }
}

/// Returns a 32-bit FNV-1a hash of a name, which instances send each other in its place.
pub fn short_hash(name: &str) -> u32 {
    let mut hash = 0x811c_9dc5_u32;
    for byte in name.bytes() {
        hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    hash
}
