//! Organisation limits that hold over all instances together, whatever the network delay between them.
//!
//! Every instance owns an equal share of each limit. It leases its share, for a fixed time and to one server at once,
//! to the quota server that serves the organisation's partition. A quota server grants from token buckets (accounts)
//! that fill at the rate of the shares leased to it. The sum of all grants therefore stays within the limit even if
//! instances have different membership views; a server that is cut off can grant from the shares leased to it and no
//! more.
//!
//! These modules read no clock and open no socket, so that tests can drive them step by step.

mod account;
mod client;
mod delegation;
mod directory;
mod message;
mod node;
mod partition;
mod refunds;
mod server;
mod shares;

pub use self::{
    account::{Bounds, Tolerance},
    client::{Decision, Denied, Grant, GrantSource},
    message::{InstanceCount, Lease, Message, Outgoing, Recipient, Verdict},
    node::{Acquisition, LimitChange, Node},
    partition::{COPIES, Partition, PartitionSet},
    server::AccountState,
};
