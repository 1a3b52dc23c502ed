//! The scheduling logic, without clocks, sockets or random sources: inputs go in, actions come out.
//!
//! The server, the replay and the property tests all run this code.

pub mod endpoint;
pub mod interface;
pub mod length;
pub mod lifecycle;
pub mod prefix;
pub mod queue;
pub mod scheduler;
pub mod shedding;
pub mod types;
