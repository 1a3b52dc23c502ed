//! How endpoints are reached: model engines that stream tokens, and plain services.

pub mod connection;
pub mod engine;
pub mod events;
pub mod kept;
pub mod poll;
pub mod sse;
