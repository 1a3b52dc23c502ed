//! The request path over routes, discovered endpoints and organisations' limits: [`caller_listener`] accepts
//! callers, [`run`] runs a request, and [`crate::balance`] chooses its endpoint.
//!
//! A [`protocol::Protocol`] reads and writes the headers of callers and endpoints.

mod acting;
pub mod admission;
pub mod aggregators;
mod asking;
pub mod attempt;
pub mod block_list;
pub mod caller_listener;
pub mod caller_timeouts;
pub mod config;
pub mod copies;
pub mod crash_check;
pub mod endpoint_announcements;
pub mod evacuations;
pub mod exchange;
mod fetching;
pub mod freshness;
pub mod hall_aggregate;
pub mod halls;
pub mod heard;
mod hearing;
pub mod instance_count;
pub mod limit_log;
pub mod line_budget;
pub mod metrics;
pub mod other_halls;
pub mod pace;
pub mod packed;
pub mod permits;
mod placement;
pub mod probes;
pub mod protocol;
pub mod quota;
pub mod refuse;
pub mod report;
pub mod reservation_client;
pub mod reservation_server;
mod rounds;
pub mod routes;
pub mod run;
pub mod send_check;
pub mod staleness;
pub mod state;
pub mod stop;
pub mod stream;
