//! Limits on what an organisation uses over all instances together, bounded whatever the delay between them.
//!
//! Every instance owns an equal share of each limit. It leases its share to the quota server that serves the
//! organisation's partition, for a stated time, and never to two at once. A quota server grants from an account that
//! fills at the rate of the shares leased to it. So whatever instances believe of each other, the sum of
//! all grants is within the limit; who is cut off has the share that was leased to it, and no more.
//!
//! Free of clock and socket, so that tests drive it step by step.

mod account;
mod client;
mod delegation;
mod directory;
mod message;
mod node;
mod partition;
mod server;
mod shares;

pub use self::{
    account::{Bounds, Tolerance},
    client::{Decision, Denied, Grant},
    message::{InstanceCount, Lease, Message, Outgoing, Recipient, Verdict},
    node::{Acquisition, LimitChange, Node},
    partition::{COPIES, Partition, PartitionSet},
    server::AccountState,
};
