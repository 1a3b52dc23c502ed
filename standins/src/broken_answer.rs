//! Answers that an endpoint breaks off while it lives on: a worker that dies, a handler that panics, a proxy in front that
//! gives up.

use std::{fmt, io, str::FromStr};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::scripted_answer::ConnectionEnd;

/// Bytes of the size line of a chunk, and of the whole last one.
const CHUNK_LINE_BYTES: usize = 5;
/// Share of the answers with a wrong head that are sent whole.
const WHOLE_SHARE: f64 = 0.2;

/// Where an answer stops.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BreakPlace {
    /// Before a part that is sent at once; part 0 is its head.
    Before(usize),
    /// After the first bytes of a part: in the status line, in the size line of a chunk or in the last chunk.
    FirstBytes(usize, usize),
    /// Within a part, after this share of its bytes.
    Within(usize, f64),
    /// It is sent whole.
    Nowhere,
}

/// A break of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Break {
    /// Where the answer stops.
    pub place: BreakPlace,
    /// How the connection ends.
    pub end: ConnectionEnd,
    /// Whether its head lacks what delimits the answer.
    pub is_unframed: bool,
}

impl BreakPlace {
    /// Draws a place in an answer of so many parts. Half of the places lie between two parts, and half in the head or the
    /// last part.
    fn draw(rng: &mut ChaCha8Rng, parts: usize) -> Self {
        let part = match rng.random_range(0..4) {
            0 => 0,
            1 => parts.saturating_sub(1),
            _ => rng.random_range(0..parts.max(1)),
        };
        match rng.random_range(0..4) {
            0 | 1 => Self::Before(part),
            2 => Self::FirstBytes(part, rng.random_range(1..CHUNK_LINE_BYTES)),
            _ => Self::Within(part, rng.random()),
        }
    }

    /// Returns the number of bytes sent of a part, unless all are.
    fn bytes_of(self, index: usize, part: &[u8]) -> Option<usize> {
        let (stops_in, bytes) = match self {
            Self::Before(part) => (part, 0),
            Self::FirstBytes(part, bytes) => (part, bytes),
            Self::Within(stops_in, share) => (stops_in, (part.len() as f64 * share) as usize),
            Self::Nowhere => return None,
        };
        (stops_in == index && bytes < part.len()).then_some(bytes)
    }
}

/// Which answers break.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BreakShares {
    /// Share of answers whose connection is closed in them.
    pub closed: f64,
    /// Share of answers whose connection is reset in them.
    pub reset: f64,
    /// Share of answers whose connection is closed in them, and whose head lacks what delimits them.
    pub unframed: f64,
}

impl FromStr for BreakShares {
    type Err = String;

    /// Parses `CLOSED,RESET,UNFRAMED`, in percent.
    fn from_str(text: &str) -> Result<Self, String> {
        let shares: Result<Vec<f64>, _> = text.split(',').map(str::parse).collect();
        match shares.as_deref() {
            Ok([closed, reset, unframed]) => Ok(Self {
                closed: closed / 100.0,
                reset: reset / 100.0,
                unframed: unframed / 100.0,
            }),
            _ => Err(format!("{text}: not three percentages")),
        }
    }
}

impl fmt::Display for BreakShares {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [closed, reset, unframed] = [self.closed, self.reset, self.unframed].map(|s| s * 100.0);
        write!(formatter, "{closed},{reset},{unframed}")
    }
}

/// Draws breaks from a seed.
#[derive(Debug)]
pub struct Breaks {
    shares: BreakShares,
    rng: ChaCha8Rng,
}

impl Breaks {
    /// Creates the breaks of an endpoint.
    pub fn new(shares: BreakShares, seed: u64) -> Self {
        Self {
            shares,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Draws whether and where the next answer breaks, which is sent in so many parts.
    pub fn draw(&mut self, parts: usize) -> Option<Break> {
        let BreakShares {
            closed,
            reset,
            unframed,
        } = self.shares;
        let draw: f64 = self.rng.random();
        if draw >= closed + reset + unframed {
            return None;
        }
        let is_reset = (closed..closed + reset).contains(&draw);
        let is_unframed = draw >= closed + reset;
        let is_whole = is_unframed && self.rng.random_bool(WHOLE_SHARE);
        Some(Break {
            place: match is_whole {
                true => BreakPlace::Nowhere,
                false => BreakPlace::draw(&mut self.rng, parts),
            },
            end: match is_reset {
                true => ConnectionEnd::Reset,
                false => ConnectionEnd::Closed,
            },
            is_unframed,
        })
    }
}

/// An answer that is being sent, and where it breaks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentParts {
    sent: usize,
    planned: Option<Break>,
}

impl SentParts {
    /// Begins an answer.
    pub fn begin(planned: Option<Break>) -> Self {
        Self { sent: 0, planned }
    }

    /// Returns whether a break is planned.
    pub fn may_break(&self) -> bool {
        self.planned.is_some()
    }

    /// Returns what of the next part is sent, and how the connection ends after it, if it does.
    pub fn next<'b>(&mut self, part: &'b [u8]) -> (&'b [u8], Option<ConnectionEnd>) {
        let index = self.sent;
        self.sent += 1;
        let stop = self.planned.and_then(|planned| {
            let bytes = planned.place.bytes_of(index, part)?;
            Some((&part[..bytes], Some(planned.end)))
        });
        stop.unwrap_or((part, None))
    }
}

/// Returns the error with which sending ends at a break.
pub fn broken_off(end: ConnectionEnd) -> io::Error {
    io::Error::other(BrokenOff(end))
}

/// Returns how the connection ends, if this error is a break.
pub fn break_end(error: &io::Error) -> Option<ConnectionEnd> {
    let broken = error.get_ref()?.downcast_ref::<BrokenOff>()?;
    Some(broken.0)
}

#[derive(Debug)]
struct BrokenOff(ConnectionEnd);

impl fmt::Display for BrokenOff {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the answer was broken off")
    }
}

impl std::error::Error for BrokenOff {}
