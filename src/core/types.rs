//! Identifiers and the metadata of a request, as the decision core sees them.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// A point in time or a span, in microseconds of the process's monotonic clock.
pub type Micros = u64;

/// A shared name from the configuration.
pub type Name = Arc<str>;

/// The order of a tier; 0 is the highest.
pub type Rank = u8;

/// Names one start of one instance; random, so no two starts share it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Names one arrival of a request at one instance, for all time.
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
    /// The start of the instance that took the request.
    pub entry: Incarnation,
    /// Counts that instance's requests.
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

/// A text that is not a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseIdError;

/// Names one registration of an entry with a pool's leader.
///
/// An entry raises `epoch` each time it registers anew, so a grant under an earlier registration
/// is told apart and not taken.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Registration {
    /// The start of the entry instance.
    pub entry: Incarnation,
    /// Counts the entry's registrations for one pool.
    pub epoch: u64,
}

/// What the scheduler knows of a request; never its text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestMeta {
    /// The arrival's id.
    pub id: RequestId,
    /// The organisation whose key the caller showed.
    pub organisation: Name,
    /// The tier's order; 0 is the highest.
    pub rank: Rank,
    /// The service that was called.
    pub service: Name,
    /// Length of the prompt, as counted or estimated by the entry.
    pub prompt_tokens: u32,
    /// Hash chain over the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// The caller's own limit on the answer, if it set one.
    pub max_output_tokens: Option<u32>,
    /// Whether a second run would do no harm.
    pub repeatable: bool,
    /// How long the request has waited when this was sent.
    pub waited_us: Micros,
    /// Time left to its deadline when this was sent.
    pub remaining_us: Micros,
}

/// Why a request was refused without being run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShedReason {
    /// The pool's queue is over its limit and this is its lowest tier.
    QueueFull,
    /// No endpoint could finish the answer before its deadline.
    DeadlineUnreachable,
    /// Arrived while its tier was being shed for the pool.
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

/// Shortens a name to what instances call it among themselves.
pub fn short_hash(name: &str) -> u32 {
    let mut hash = 0x811c_9dc5_u32;
    for byte in name.bytes() {
        hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    hash
}
