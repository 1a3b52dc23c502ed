//! Communication between instances: membership and gossip by UDP, calls by TCP.

pub mod datagram;
pub mod gossip;
pub mod membership;
pub mod rpc;
pub mod tunnel;
pub mod update;
pub mod view;
