//! Tickets: ids handed out by an instance, for requests that may run at most once.
//!
//! A ticket names the start of the instance that handed it out. Only that start gives leave to use
//! it, once, so it needs no write and works while the platform is down. Once that start is gone, no
//! one can know whether the ticket was used: it is never used again.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    fmt,
    str::FromStr,
    sync::{Mutex, PoisonError},
};

use serde::{Deserialize, Serialize};

use crate::prelude::{Incarnation, RequestId};

/// How many unused tickets an instance remembers; older ones lapse.
const MAX_UNUSED: usize = 100_000;
/// How many used tickets an instance remembers by who used them.
const MAX_USED: usize = 200_000;
const PREFIX: &str = "ticket-";

/// A ticket, as it is written in a request's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The start that handed it out.
    pub issuer: Incarnation,
    /// Its number there; random, so that it cannot be guessed.
    pub number: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{}-{:016x}", self.issuer, self.number)
    }
}

/// A text that is not a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseTicketError;

impl FromStr for Ticket {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Self, ParseTicketError> {
        let rest = text.strip_prefix(PREFIX).ok_or(ParseTicketError)?;
        let (issuer, number) = rest.split_once('-').ok_or(ParseTicketError)?;
        let parse = |hex| u64::from_str_radix(hex, 16).map_err(|_| ParseTicketError);
        Ok(Self {
            issuer: Incarnation(parse(issuer)?),
            number: parse(number)?,
        })
    }
}

/// What the issuer says of a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TicketAnswer {
    /// The arrival may run.
    Yours,
    /// Another arrival used it.
    Used,
    /// Not handed out here, or so long ago that it is forgotten.
    Unknown,
}

#[derive(Default)]
struct Inner {
    unused: HashSet<u64>,
    unused_order: VecDeque<u64>,
    used: HashMap<u64, RequestId>,
    used_order: VecDeque<u64>,
}

/// The tickets of this start.
pub struct Tickets {
    incarnation: Incarnation,
    inner: Mutex<Inner>,
}

impl Tickets {
    /// Creates an empty set.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            inner: Mutex::default(),
        }
    }

    /// Hands out a ticket.
    pub fn issue(&self) -> Ticket {
        let number = rand::random();
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.unused.insert(number);
        inner.unused_order.push_back(number);
        if inner.unused_order.len() > MAX_UNUSED
            && let Some(oldest) = inner.unused_order.pop_front()
        {
            inner.unused.remove(&oldest);
        }
        Ticket {
            issuer: self.incarnation,
            number,
        }
    }

    /// Gives leave to use a ticket, to the first arrival that asks.
    ///
    /// Asking again for the same arrival gives the same answer, so a lost answer does no harm.
    pub fn redeem(&self, ticket: Ticket, by: RequestId) -> TicketAnswer {
        if ticket.issuer != self.incarnation {
            return TicketAnswer::Unknown;
        }
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(user) = inner.used.get(&ticket.number) {
            return if *user == by {
                TicketAnswer::Yours
            } else {
                TicketAnswer::Used
            };
        }
        if !inner.unused.remove(&ticket.number) {
            return TicketAnswer::Unknown;
        }
        inner.used.insert(ticket.number, by);
        inner.used_order.push_back(ticket.number);
        if inner.used_order.len() > MAX_USED
            && let Some(oldest) = inner.used_order.pop_front()
        {
            // From now on unknown, which lets nobody run it again.
            inner.used.remove(&oldest);
        }
        TicketAnswer::Yours
    }

    /// Takes leave back from an arrival that provably did not run, so that the next may use it.
    pub fn restore(&self, ticket: Ticket, by: RequestId) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if inner.used.get(&ticket.number) == Some(&by) {
            inner.used.remove(&ticket.number);
            inner.unused.insert(ticket.number);
            inner.unused_order.push_back(ticket.number);
        }
    }
}
