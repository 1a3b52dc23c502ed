//! Which organisations' use goes into an update: all of it would not fit a datagram.
//!
//! Free of clock and socket, so that tests drive it step by step.

use std::collections::HashMap;

use crate::{limits::organisation::ToldUse, prelude::Micros};

/// What changed is told in all updates of this time, so that the loss of one costs little.
const RESENT_US: Micros = 400_000;
/// What did not change is told again after this time, for those that have just come.
const REPEATED_US: Micros = 1_000_000;
/// Organisations in an update at most; about 9 bytes each. With 1,800 of them, all that are busy are
/// told within a second.
const MOST_TOLD: usize = 160;

#[derive(Clone, Copy, Debug)]
struct Turn {
    used: u64,
    changed_us: Micros,
    told_us: Micros,
}

/// What one kind of update said of each organisation, and when.
#[derive(Debug, Default)]
pub struct UseTurns {
    by_organisation: HashMap<u32, Turn>,
}

impl UseTurns {
    /// Returns what of `used` is to be told now: what changed of late, and the rest now and then.
    pub fn select(&mut self, now_us: Micros, used: &[ToldUse]) -> Vec<ToldUse> {
        let mut due = Vec::new();
        for told in used {
            let turn = self.by_organisation.entry(told.organisation);
            let turn = turn.or_insert(Turn {
                used: told.used,
                changed_us: now_us,
                told_us: 0,
            });
            if turn.used != told.used {
                turn.used = told.used;
                turn.changed_us = now_us;
            }
            let is_news = now_us.saturating_sub(turn.changed_us) < RESENT_US;
            let is_old = now_us.saturating_sub(turn.told_us) >= REPEATED_US;
            if is_news || is_old {
                due.push((turn.told_us, *told));
            }
        }
        due.sort_unstable_by_key(|(told_us, told)| (*told_us, told.organisation));
        due.truncate(MOST_TOLD);
        for (_, told) in &due {
            if let Some(turn) = self.by_organisation.get_mut(&told.organisation) {
                turn.told_us = now_us;
            }
        }
        due.into_iter().map(|(_, told)| told).collect()
    }
}
