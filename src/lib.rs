//! A request scheduler for endpoints of different speeds.
//!
//! The scheduling logic is in [`core`] and uses no clocks or sockets. [`instance`] connects it to callers ([`entry`]),
//! endpoints ([`endpoint`]), other instances ([`peers`], [`pool`]), the platform ([`platform`]) and operators
//! ([`operator`]). [`replay`] runs the same logic in virtual time.

pub mod balance;
pub mod caller_body;
pub mod caller_stream;
pub mod cli;
pub mod client;
pub mod clock;
pub mod config;
pub mod core;
pub mod distribution;
pub mod endpoint;
pub mod entry;
pub mod explain;
pub mod gateway;
pub mod instance;
pub mod limit_history;
pub mod limits;
pub mod listener;
pub mod logs;
pub mod metrics;
pub mod operator;
pub mod peers;
pub mod platform;
pub mod pool;
pub mod prelude;
pub mod replay;
pub mod rollouts;
pub mod settings;
pub mod shares;
pub mod store;
pub mod store_position;
pub mod summary;
