//! Messages of the quota protocol.

use serde::{Deserialize, Serialize};

use crate::{
    limits::quota::partition::PartitionSet,
    prelude::{Incarnation, Micros, Rank},
};

/// The number of instances, including those that do not respond.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceCount {
    /// Number of instances; 0 if the sender does not know it.
    pub instances: u32,
    /// Time since an instance last had this many in its own view, in milliseconds.
    pub age_ms: u32,
}

/// A lease of the sender's share of the limits in some partitions.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Incarnation of the quota server; a later incarnation at its address ignores the lease.
    pub to: Incarnation,
    /// Hash of the lessor's address; leases of an earlier incarnation at this address have ended.
    pub address: u32,
    /// Sequence number, increased with each lease and release of a lessor; the server ignores older ones.
    pub seq: u64,
    /// Newest timestamp on this server's clock that the lessor has received from it; the lease runs from there.
    pub stamp_us: Micros,
    /// Duration of the lease.
    pub lasts_us: Micros,
    /// Partitions whose share is leased.
    pub partitions: PartitionSet,
    /// Subset of `partitions` that the lessor leases for the first time since it started.
    pub idle: PartitionSet,
    /// How long the shares of `idle` are known to have been unused, by the lessees of earlier incarnations too.
    pub idle_us: Micros,
    /// Number of instances by which the lessor divides each limit.
    pub count: InstanceCount,
}

/// A quota server's decision on a quota query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The units may be used.
    Granted,
    /// Not enough units are left.
    Denied {
        /// Time until there should be enough.
        wait_us: Micros,
        /// Units left; negative if the account is in debt.
        level: i64,
    },
    /// No share is leased to the server, or too few are: leases are being moved between servers.
    Unleased,
    /// The server's configuration has no limit for this organisation.
    Unknown,
}

/// A message between instances.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Announces that a process has started at the sender's address; sent to an address, whichever process has it.
    Started {
        /// Hash of the sender's address, as in [`Lease::address`].
        address: u32,
    },
    /// Acknowledges [`Message::Started`]: leases of earlier incarnations at the address have ended here.
    #[serde(rename = "Met")]
    StartAck {
        /// How long the sender has been running.
        uptime_us: Micros,
        /// The sender knew an earlier incarnation at the address, and may have used its shares until now.
        #[serde(rename = "met_earlier")]
        saw_predecessor: bool,
        /// Number of instances that the sender knows of.
        count: InstanceCount,
    },
    /// Leases shares; without partitions it only requests a timestamp.
    Lease(Lease),
    /// Leases shares and queries one account for quota.
    Ask {
        /// A lease to the queried server.
        lease: Lease,
        /// Identifies the request in the answer.
        number: u64,
        /// The organisation's name, hashed by [`crate::prelude::short_hash`].
        organisation: u32,
        /// Index of the queried account among those of the organisation.
        copy: u8,
        /// Units requested.
        units: u32,
        /// Urgency of the request; 0 is the most urgent.
        rank: Rank,
    },
    /// Answers [`Message::Ask`].
    Answer {
        /// Number of the request, from [`Message::Ask`].
        number: u64,
        /// Index of the queried account.
        copy: u8,
        /// The server's decision.
        verdict: Verdict,
        /// Timestamp on the server's clock when it answered.
        stamp_us: Micros,
        /// Number of instances that the server knows of.
        count: InstanceCount,
    },
    /// Acknowledges [`Message::Lease`].
    Leased {
        /// Sequence number of the lease.
        seq: u64,
        /// Timestamp on the server's clock when it answered.
        stamp_us: Micros,
        /// Number of instances that the server knows of.
        count: InstanceCount,
    },
    /// Requests the release of leases before they expire.
    Release {
        /// As in [`Lease::to`].
        to: Incarnation,
        /// As in [`Lease::seq`].
        seq: u64,
        /// Partitions whose leases are to end.
        partitions: PartitionSet,
    },
    /// Confirms that leases have ended.
    Released {
        /// Partitions whose leases have ended.
        partitions: PartitionSet,
        /// As in [`Message::Release`].
        seq: u64,
    },
    /// Refunds quota that was not used.
    Unused {
        /// Hash of the organisation's name.
        organisation: u32,
        /// Index of the account that granted it.
        copy: u8,
        /// Units refunded.
        units: u32,
        /// Timestamp of the grant on the server's clock.
        granted_us: Micros,
    },
}

/// The destination of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// A particular process.
    Incarnation(Incarnation),
    /// The process that runs at an address, given as in [`Lease::address`].
    Address(u32),
}

/// A message to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outgoing {
    /// Where the message is to be sent.
    pub to: Recipient,
    /// The message.
    pub message: Message,
}
