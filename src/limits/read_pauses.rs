//! Tells what an endpoint does from what a slow caller does to it.
//!
//! The load that this answers: a caller reads slower than its endpoint sends. Once the bytes held for it have reached their
//! bound, the endpoint's answer is left unread, and the endpoint may pause or cut it.

use crate::prelude::Micros;

/// Endpoints cut an answer that is left unread for some seconds; pauses shorter than this in all explain no cut.
const MIN_UNREAD_US: Micros = 500_000;
/// After a pause, what was sent during it is read within this time; what is seen later is the endpoint's own doing.
const BACKLOG_US: Micros = 1_000_000;

/// The times for which the answer of one endpoint was not read because its caller was behind.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadPauses {
    unread_us: Micros,
    resumed_us: Option<Micros>,
}

impl ReadPauses {
    /// Records that nothing was read from `since_us` until now.
    pub fn record(&mut self, since_us: Micros, now_us: Micros) {
        self.unread_us += now_us.saturating_sub(since_us);
        self.resumed_us = Some(now_us);
    }

    /// Returns whether the answer was ever left unread.
    pub fn any(&self) -> bool {
        self.resumed_us.is_some()
    }

    /// Returns whether times between events show the speed of the endpoint, and not a backlog.
    pub fn show_speed(&self, now_us: Micros) -> bool {
        !self.reads_backlog(now_us)
    }

    /// Returns whether a break or a silence of the endpoint is put down to the caller.
    pub fn explain_break(&self, now_us: Micros) -> bool {
        self.unread_us >= MIN_UNREAD_US && self.reads_backlog(now_us)
    }

    fn reads_backlog(&self, now_us: Micros) -> bool {
        let resumed = self.resumed_us;
        resumed.is_some_and(|at_us| now_us.saturating_sub(at_us) < BACKLOG_US)
    }
}
