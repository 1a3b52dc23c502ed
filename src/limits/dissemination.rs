//! When something that all instances are to know is told: a few times at once, and then now and then.

use crate::prelude::Micros;

/// What is new is told in so many rounds: some datagrams are lost.
const TELLINGS: u8 = 3;
/// What is to stay known is told again after this time: instances that started or were cut off meanwhile
/// are to know before they have been in touch for 3 s.
const RETOLD_US: Micros = 1_500_000;

/// Who is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// All instances of a small group, or the aggregators of a large one.
    Peers = 0,
    /// The instances that report to this one, and the aggregators of other halls.
    Hall = 1,
}

/// What was told of one thing, by audience.
#[derive(Clone, Copy, Debug, Default)]
pub struct Dissemination {
    /// Rounds in which it is still to be told as news.
    untold: [u8; 2],
    told_us: [Micros; 2],
}

impl Dissemination {
    /// Makes it news to an audience.
    pub fn renew(&mut self, audience: Audience) {
        self.untold[audience as usize] = TELLINGS;
    }

    /// Returns whether an audience is to be told now; what `is_repeated` is told again and again.
    pub fn is_due(&self, now_us: Micros, audience: Audience, is_repeated: bool) -> bool {
        let since_us = now_us.saturating_sub(self.told_us[audience as usize]);
        self.untold[audience as usize] > 0 || (since_us >= RETOLD_US && is_repeated)
    }

    /// Orders what is due: news first, then what was not told for longest.
    pub fn order(&self, audience: Audience) -> (bool, Micros) {
        let is_old = self.untold[audience as usize] == 0;
        (is_old, self.told_us[audience as usize])
    }

    /// Notes that an audience is told.
    pub fn note_told(&mut self, now_us: Micros, audience: Audience) {
        let untold = &mut self.untold[audience as usize];
        *untold = untold.saturating_sub(1);
        self.told_us[audience as usize] = now_us;
    }
}
