//! How the instances know and call each other.

pub mod datagram;
pub mod gossip;
pub mod membership;
pub mod rpc;
pub mod update;
pub mod view;
