//! Decides when a fact is sent to other instances: in a few rounds right after a change, and periodically after that.

use crate::prelude::Micros;

/// A change is sent in this many rounds because datagrams may be lost.
const CHANGE_ROUNDS: u8 = 3;
/// A fact that still holds is sent again after this time, so that instances that started or were partitioned
/// meanwhile learn it within 3 s of being in contact.
const RESEND_US: Micros = 1_500_000;

/// The recipients of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// All instances of a small group, or the aggregators of a large one.
    Peers = 0,
    /// The instances that report to this one, and the aggregators of other halls.
    Hall = 1,
}

/// The sending state of one fact, by audience.
#[derive(Clone, Copy, Debug, Default)]
pub struct Dissemination {
    /// Rounds in which the latest change is still to be sent.
    rounds_left: [u8; 2],
    sent_us: [Micros; 2],
}

impl Dissemination {
    /// Schedules the fact to be sent to an audience as a change.
    pub fn mark_changed(&mut self, audience: Audience) {
        self.rounds_left[audience as usize] = CHANGE_ROUNDS;
    }

    /// Returns whether the fact is to be sent to an audience now; if `is_repeated`, it is also resent periodically.
    pub fn is_due(&self, now_us: Micros, audience: Audience, is_repeated: bool) -> bool {
        let since_us = now_us.saturating_sub(self.sent_us[audience as usize]);
        self.rounds_left[audience as usize] > 0 || (since_us >= RESEND_US && is_repeated)
    }

    /// Returns the sort key of facts that are due: changes first, then the one that was sent longest ago.
    pub fn sort_key(&self, audience: Audience) -> (bool, Micros) {
        let is_unchanged = self.rounds_left[audience as usize] == 0;
        (is_unchanged, self.sent_us[audience as usize])
    }

    /// Notes that the fact is sent to an audience.
    pub fn note_sent(&mut self, now_us: Micros, audience: Audience) {
        let rounds_left = &mut self.rounds_left[audience as usize];
        *rounds_left = rounds_left.saturating_sub(1);
        self.sent_us[audience as usize] = now_us;
    }
}
