//! What instances send each other about quota.

use serde::{Deserialize, Serialize};

use crate::{
    limits::quota::partition::PartitionSet,
    prelude::{Incarnation, Micros, Rank},
};

/// How many instances there are, those that are silent included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceCount {
    /// The number; 0 if the sender does not know it.
    pub instances: u32,
    /// How long ago somebody saw as many.
    pub age_ms: u32,
}

/// A lease of the sender's share of some partitions.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// The quota server's start; a later start at its address does not take it.
    pub to: Incarnation,
    /// The lessor's address, by a hash: what an earlier start at it leased is over.
    pub address: u32,
    /// Rises with each lease and release of a lessor; an older one is not taken.
    pub seq: u64,
    /// The newest stamp that the lessor has from this server: the lease runs from there.
    pub stamp_us: Micros,
    /// How long it runs.
    pub lasts_us: Micros,
    /// Whose share is leased.
    pub partitions: PartitionSet,
    /// Those of them that the lessor has leased to nobody since it started.
    pub idle: PartitionSet,
    /// For how long nobody used these, whoever held them before.
    pub idle_us: Micros,
    /// By how many instances the lessor divides a limit.
    pub count: InstanceCount,
}

/// What a quota server says to a question for quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It may be used.
    Granted,
    /// There is none now.
    Denied {
        /// When there will be.
        wait_us: Micros,
        /// Units left, debts below nothing.
        level: i64,
    },
    /// No share is leased to the server: leases are moving.
    Unleased,
    /// The server knows no limit of this organisation.
    Unknown,
}

/// One message.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Tells whoever is there that a process has started at the sender's address.
    Started {
        /// The address, as in [`Lease::address`].
        address: u32,
    },
    /// Answers that: leases of earlier starts at the address are over.
    #[serde(rename = "Met")]
    StartAck {
        /// For how long the sender has run.
        uptime_us: Micros,
        /// It had met an earlier start at the address, and may have used its shares till now.
        #[serde(rename = "met_earlier")]
        saw_predecessor: bool,
        /// How many instances the sender knows.
        count: InstanceCount,
    },
    /// Leases shares, or asks for a stamp only.
    Lease(Lease),
    /// Leases shares, and asks for quota.
    Ask {
        /// The lease.
        lease: Lease,
        /// Names the question in its answer.
        number: u64,
        /// The organisation, by [`crate::prelude::short_hash`].
        organisation: u32,
        /// Which of its accounts is asked.
        copy: u8,
        /// How much is wanted.
        units: u32,
        /// How urgent the request is.
        rank: Rank,
    },
    /// Answers a question.
    Answer {
        /// The question's number.
        number: u64,
        /// Which account was asked.
        copy: u8,
        /// What it says.
        verdict: Verdict,
        /// The server's clock when it answered.
        stamp_us: Micros,
        /// How many instances the server knows.
        count: InstanceCount,
    },
    /// Answers a lease.
    Leased {
        /// The lease's number.
        seq: u64,
        /// The server's clock when it answered.
        stamp_us: Micros,
        /// How many instances the server knows.
        count: InstanceCount,
    },
    /// Asks for leases back before their time.
    Release {
        /// As in [`Lease::to`].
        to: Incarnation,
        /// As in [`Lease::seq`].
        seq: u64,
        /// Which.
        partitions: PartitionSet,
    },
    /// These leases are over.
    Released {
        /// Which.
        partitions: PartitionSet,
        /// As in [`Message::Release`].
        seq: u64,
    },
    /// Gives quota back that was not used.
    Unused {
        /// The organisation.
        organisation: u32,
        /// From which account it came.
        copy: u8,
        /// How much.
        units: u32,
    },
}

/// To whom a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// That start.
    Incarnation(Incarnation),
    /// Whoever is at an address, as in [`Lease::address`].
    Address(u32),
}

/// A message to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outgoing {
    /// To whom.
    pub to: Recipient,
    /// What.
    pub message: Message,
}
