//! Connections to endpoints: model engines, which stream tokens, and plain services.

pub mod body_end;
pub mod close_check;
pub mod connection;
pub mod connection_pool;
pub mod engine;
pub mod event_limit;
pub mod events;
pub mod framing;
pub mod head_limit;
pub mod poll;
pub mod sse;
pub mod status;
