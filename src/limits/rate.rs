//! The request rate that an endpoint states as its limit in a response header.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A rate of requests a second, stored in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate {
    milli_per_s: u32,
}

impl RequestRate {
    /// Parses a decimal number of requests a second; returns `None` for anything else. The value is rounded down to
    /// thousandths, and capped at the largest rate that the type can hold.
    pub fn parse(text: &str) -> Option<Self> {
        let is_digit_or_point = |byte: u8| byte.is_ascii_digit() || byte == b'.';
        if !text.bytes().all(is_digit_or_point) {
            // `f64` would also accept signs, exponents and infinity.
            return None;
        }
        let per_s: f64 = text.parse().ok()?;
        // The cast saturates at the bounds of the type.
        let milli_per_s = (per_s * 1e3) as u32;
        Some(Self { milli_per_s })
    }

    /// Returns the rate for a number of requests a second, rounded down to thousandths.
    pub fn from_per_s(per_s: f64) -> Self {
        // The cast saturates at the bounds of the type.
        let milli_per_s = (per_s * 1e3) as u32;
        Self { milli_per_s }
    }

    /// Returns this rate multiplied by `factor`.
    pub fn scaled(self, factor: f64) -> Self {
        // The cast saturates at the bounds of the type.
        let milli_per_s = (f64::from(self.milli_per_s) * factor) as u32;
        Self { milli_per_s }
    }

    /// Returns the number of requests a second.
    pub fn per_s(self) -> f64 {
        f64::from(self.milli_per_s) / 1e3
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.per_s())
    }
}

/// The limit header of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum LimitHeader {
    /// There is no such header: the endpoint has no limit.
    #[default]
    Absent,
    /// The endpoint's limit.
    Rate(RequestRate),
    /// The value is not a rate; it is ignored.
    Unreadable(String),
}
