//! Tickets: ids issued by an instance for requests that may run at most once.
//!
//! A ticket names the incarnation that issued it. Only this incarnation can redeem it, and only once, so
//! tickets need no write to the store and work while the platform is down. After the incarnation has
//! ended, it cannot be determined whether the ticket was used, so it is never accepted again.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    fmt,
    str::FromStr,
    sync::{Mutex, PoisonError},
};

use serde::{Deserialize, Serialize};

use crate::prelude::{Incarnation, RequestId};

/// Maximum number of unused tickets kept; older ones lapse.
const MAX_UNUSED: usize = 100_000;
/// Maximum number of used tickets kept, with the request that used each.
const MAX_USED: usize = 200_000;
const PREFIX: &str = "ticket-";

/// A ticket, which callers send as the idempotency key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The incarnation that issued the ticket.
    pub issuer: Incarnation,
    /// The ticket's number; random, so that it cannot be guessed.
    pub number: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{}-{:016x}", self.issuer, self.number)
    }
}

/// The error for a text that is not a ticket.
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

/// The issuer's reply to a request that redeems a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TicketAnswer {
    /// The request may run.
    Yours,
    /// Another request used the ticket.
    Used,
    /// The ticket was not issued by this incarnation, or has been dropped because of its age.
    Unknown,
}

#[derive(Default)]
struct Inner {
    unused: HashSet<u64>,
    unused_order: VecDeque<u64>,
    used: HashMap<u64, RequestId>,
    used_order: VecDeque<u64>,
}

/// The tickets issued by this incarnation.
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

    /// Issues a ticket.
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

    /// Redeems a ticket for the first request that presents it.
    ///
    /// Redeeming again for the same request gives the same answer, so a lost answer can be retried.
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
            // The ticket is now unknown, so no request can run with it.
            inner.used.remove(&oldest);
        }
        TicketAnswer::Yours
    }

    /// Makes a ticket usable again after the request that redeemed it provably did not run.
    pub fn restore(&self, ticket: Ticket, by: RequestId) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if inner.used.get(&ticket.number) == Some(&by) {
            inner.used.remove(&ticket.number);
            inner.unused.insert(ticket.number);
            inner.unused_order.push_back(ticket.number);
        }
    }
}
