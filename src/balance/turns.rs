//! Whose turn it is to use the last places of an endpoint, in a large group.
//!
//! When nearly all places are taken, many instances hold a request for the first that comes free. All
//! hear of it in the same summary, and all send: in a surge over 295 instances some twenty came to an
//! endpoint that seemed to have one place left, and queued there for one to two seconds; of those that
//! were expected in time where one or two places were left, 40 in 100 were late. So the last places of
//! an endpoint are used in turns: in each span between summaries, by about as many instances as places
//! come free in it.
//!
//! Turns follow from a hash; nothing is said about them. Free of clock and socket.

use crate::{balance::load::EndpointKey, prelude::Micros};

/// The span of one turn: about the time between two summaries of the own hall.
const TURN_US: Micros = 100_000;
/// An endpoint with more places than this left is open to all: what is not heard of yet is about one
/// request an endpoint.
const CLEAR_PLACES: f64 = 2.0;
/// Spreads numbers that differ little; 2^64 over the golden ratio.
const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;

/// How full an endpoint is believed to be.
#[derive(Clone, Copy, Debug)]
pub struct Fill {
    /// Requests there.
    pub requests: f64,
    /// Requests that it runs at a time.
    pub slots: f64,
    /// For how long a request holds a slot, in milliseconds.
    pub hold_ms: f64,
}

/// Who competes with this instance for endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Turns {
    /// Differs by instance.
    pub salt: u64,
    /// Instances of the own hall, this one included; 0 if not known.
    pub near: usize,
    /// Instances of all halls.
    pub all: usize,
}

impl Turns {
    /// Returns whether this instance may use an endpoint now.
    pub fn is_open(&self, now_us: Micros, key: EndpointKey, same_hall: bool, fill: Fill) -> bool {
        let left = fill.slots - fill.requests;
        if left > CLEAR_PLACES {
            return true;
        }
        let coming_free = fill.slots * TURN_US as f64 / 1e3 / fill.hold_ms.max(1.0);
        let places = left.max(0.0) + coming_free;
        let competitors = if same_hall { self.near } else { self.all };
        self.draw(now_us, key) * competitors as f64 <= places
    }

    /// Returns a number from 0 to 1 that differs by instance and endpoint, the same for one turn.
    fn draw(&self, now_us: Micros, key: EndpointKey) -> f64 {
        // Endpoints change turns at different times.
        let phase_us = u64::from(key.0).wrapping_mul(GOLDEN) >> 48;
        let turn = (now_us + phase_us) / TURN_US;
        let mut mixed = (self.salt ^ u64::from(key.0)).wrapping_add(turn.wrapping_mul(GOLDEN));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        (mixed >> 11) as f64 / (1_u64 << 53) as f64
    }
}
