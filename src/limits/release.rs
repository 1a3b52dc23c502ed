//! Lets in the callers that waited for the start of leases.
//!
//! Load: when all instances start at once, callers arrive for some hundred milliseconds before limits can be used. Let
//! in at one moment, they are more than the endpoints of their service run or queue, and most are refused as busy
//! although there is room for them some moments later.

use std::collections::{BTreeMap, HashMap};

use crate::prelude::{Name, Rank};

/// Callers are let in regardless of room after this time, in milliseconds: their own time to wait for quota is limited.
pub const MAX_RELEASE_MS: u64 = 400;

/// Identifies a waiting caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    rank: Rank,
    /// Callers of an organisation get ascending turns, so that each organisation is let in once in a turn.
    turn: u64,
    number: u64,
}

/// The callers of one service that wait to be let in: the most urgent first, and organisations by turns.
#[derive(Debug, Default)]
pub struct Release {
    waiting: BTreeMap<Ticket, Name>,
    /// The last turn given to each organisation at each rank.
    last_turns: HashMap<(Rank, Name), u64>,
    last_number: u64,
}

impl Release {
    /// Adds a caller.
    pub fn enter(&mut self, organisation: &Name, rank: Rank) -> Ticket {
        let current_turn = self.waiting.keys().find(|t| t.rank == rank);
        let current_turn = current_turn.map_or(0, |ticket| ticket.turn);
        let last_turn = self.last_turns.entry((rank, organisation.clone()));
        let turn = last_turn
            .and_modify(|turn| *turn += 1)
            .or_insert(current_turn);
        *turn = current_turn.max(*turn);
        self.last_number += 1;
        let ticket = Ticket {
            rank,
            turn: *turn,
            number: self.last_number,
        };
        self.waiting.insert(ticket, organisation.clone());
        ticket
    }

    /// Removes a caller that does not wait any longer.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
        self.forget_turns_if_empty();
    }

    /// Removes and returns at most `room` callers that may go on.
    pub fn take(&mut self, room: usize) -> Vec<Ticket> {
        let taken = std::iter::from_fn(|| self.waiting.pop_first());
        let taken = taken.take(room).map(|(ticket, _)| ticket).collect();
        self.forget_turns_if_empty();
        taken
    }

    /// Returns whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn forget_turns_if_empty(&mut self) {
        if self.waiting.is_empty() {
            self.last_turns.clear();
        }
    }
}

/// Returns how many callers one of `instances` may let in now: its part of the free slots of the service, less the
/// requests that wait at it already.
pub fn room(free_slots: f64, instances: usize, queued: usize) -> usize {
    // Rounded up, so that each instance gets on with few endpoints.
    let part = (free_slots / instances.max(1) as f64).ceil();
    // The cast saturates.
    (part as usize).saturating_sub(queued)
}
