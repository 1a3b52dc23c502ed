//! When refused callers of one organisation may come back, so that each comes once, into room.

use crate::prelude::Micros;

/// The soonest return: a caller that comes back at once finds the room as it was.
pub const MIN_RETURN_US: Micros = 150_000;
/// The part of an organisation's share that is kept for callers who were told to come back; the rest serves new ones.
const RETURN_SHARE: f64 = 0.5;

/// The next free return place of an organisation at one instance. Places that nobody takes pass with the time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnOrder {
    next_us: Micros,
}

impl ReturnOrder {
    /// Returns the time until a refused caller's return place, and takes it; none if that would be after `latest_us`
    /// from now. `share` is the organisation's engine time a second at this instance, in microseconds.
    pub fn take(
        &mut self,
        now_us: Micros,
        engine_us: f64,
        share: f64,
        latest_us: Micros,
    ) -> Option<Micros> {
        let place_us = self.next_us.max(now_us + MIN_RETURN_US);
        let delay_us = place_us - now_us;
        let rate = share * RETURN_SHARE / 1e6;
        if delay_us > latest_us || rate <= 0.0 {
            return None;
        }
        self.next_us = place_us + (engine_us / rate) as Micros;
        Some(delay_us)
    }
}
