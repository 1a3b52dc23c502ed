//! Connections to endpoints: model engines, which stream tokens, and plain services.

pub mod close_check;
pub mod connection;
pub mod connection_pool;
pub mod engine;
pub mod events;
pub mod framing;
pub mod poll;
pub mod sse;
