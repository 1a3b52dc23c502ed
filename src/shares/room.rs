//! The room of a service: the engine time a second that its endpoints can give.
//!
//! The slots of the endpoints are the first estimate. What requests are taken to cost may be wrong for all of them
//! alike, so the estimate is corrected by what is seen: requests that were let through and found no place lower it, and
//! free slots raise it.

use crate::prelude::Micros;

/// The part of what is let through that may find no place: requests come at random, so the endpoints are kept full only
/// if a few more come than they take.
const UNPLACED_SHARE: f64 = 0.1;
/// Change of the correction, in e-folds a second, for each unit of free slots and of that part beyond its value. The rates are averaged over
/// a second and some tenths of a second old, so a faster correction swings.
const GAIN_PER_S: f64 = 1.0;
/// Time from the start of a shortage until the level holds in all instances: reports may be over a second old. Requests that find no place before say
/// nothing of the room.
const SETTLING_US: Micros = 2_000_000;
/// Bounds of the correction. Requests that find no place for another reason, such as a cut connection, must not lower it
/// further.
const MIN_FACTOR: f64 = 0.5;
const MAX_FACTOR: f64 = 4.0;

/// The slots of a service's usable endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Slots {
    /// Requests that they run at a time.
    pub all: f64,
    /// Those that are free, as far as known.
    pub free: f64,
}

/// The corrected estimate of a service's room.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    factor: f64,
    started_us: Micros,
    updated_us: Micros,
}

impl Room {
    /// Begins with the slots as they are.
    pub fn new(now_us: Micros) -> Self {
        Self {
            factor: 1.0,
            started_us: now_us,
            updated_us: now_us,
        }
    }

    /// Returns whether the shortage has lasted long enough for a correction.
    pub fn is_settled(&self, now_us: Micros) -> bool {
        now_us.saturating_sub(self.started_us) >= SETTLING_US
    }

    /// Corrects the estimate by the engine time that found a place and that found none, in all instances, and returns
    /// the room. It is never below what finds a place.
    pub fn update(&mut self, now_us: Micros, slots: Slots, placed: f64, unplaced: f64) -> f64 {
        let elapsed_s = now_us.saturating_sub(self.updated_us).min(1_000_000) as f64 / 1e6;
        self.updated_us = now_us;
        let elapsed_s = if self.is_settled(now_us) {
            elapsed_s
        } else {
            0.0
        };
        let share = unplaced / (placed + unplaced).max(f64::MIN_POSITIVE);
        let free_share = slots.free / slots.all.max(1.0);
        let change = (UNPLACED_SHARE - share + free_share) * GAIN_PER_S * elapsed_s;
        self.factor = (self.factor * change.exp()).clamp(MIN_FACTOR, MAX_FACTOR);
        let slots_us = slots.all * 1e6;
        let room = (slots_us * self.factor).max(placed);
        if slots_us > 0.0 {
            // Otherwise the correction would fall on and on while the placed demand holds the room up.
            self.factor = (room / slots_us).clamp(MIN_FACTOR, MAX_FACTOR);
        }
        room
    }
}
