//! How many requests a second an endpoint takes, as it says in its answers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Requests a second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate {
    milli_per_s: u32,
}

impl RequestRate {
    /// Returns the rate that a decimal number names; none if it is no decimal number. Thousandths are
    /// rounded down, and what is beyond any endpoint's reach is cut.
    pub fn parse(text: &str) -> Option<Self> {
        let is_digit_or_point = |byte: u8| byte.is_ascii_digit() || byte == b'.';
        if !text.bytes().all(is_digit_or_point) {
            // What else a float may be: signs, exponents, infinity.
            return None;
        }
        let per_s: f64 = text.parse().ok()?;
        // A cast keeps to the bounds of the type.
        let milli_per_s = (per_s * 1e3) as u32;
        Some(Self { milli_per_s })
    }

    /// Returns the rate of a number of requests a second; thousandths are rounded down.
    pub fn from_per_s(per_s: f64) -> Self {
        // A cast keeps to the bounds of the type.
        let milli_per_s = (per_s * 1e3) as u32;
        Self { milli_per_s }
    }

    /// Returns a part of it.
    pub fn scaled(self, share: f64) -> Self {
        // A cast keeps to the bounds of the type.
        let milli_per_s = (f64::from(self.milli_per_s) * share) as u32;
        Self { milli_per_s }
    }

    /// Returns it as requests a second.
    pub fn per_s(self) -> f64 {
        f64::from(self.milli_per_s) / 1e3
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.per_s())
    }
}

/// What an endpoint's answer says of its limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum LimitHeader {
    /// It has none.
    #[default]
    Absent,
    /// It has one.
    Rate(RequestRate),
    /// Something that is no rate; it counts for nothing.
    Unreadable(String),
}
