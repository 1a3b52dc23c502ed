//! The request path over routes, discovered endpoints and organisations' limits: [`caller_listener`] accepts
//! callers, [`run`] runs a request, and [`crate::balance`] chooses its endpoint.
//!
//! A [`protocol::Protocol`] reads and writes the headers of callers and endpoints.

pub mod admission;
pub mod aggregators;
pub mod attempt;
pub mod block_list;
pub mod caller_buffer;
pub mod caller_listener;
pub mod caller_timeouts;
pub mod config;
pub mod copies;
pub mod crash_check;
pub mod current_config;
pub mod endpoint_announcements;
pub mod endpoint_connect;
pub mod evacuations;
pub mod exchange;
mod fetching;
mod freshness_checks;
mod freshness_queries;
pub mod hall_aggregate;
pub mod halls;
pub mod instance_count;
pub mod limit_log;
pub mod line_budget;
mod link_probes;
pub mod metrics;
pub mod other_halls;
pub mod packed;
pub mod peer_table;
pub mod permits;
mod placement;
pub mod probes;
pub mod protocol;
pub mod quota;
mod receiving;
pub mod refuse;
pub mod report;
pub mod report_intervals;
pub mod reservation_client;
pub mod reservation_server;
pub mod rollout_loop;
mod rollout_requests;
pub mod rollouts;
pub mod routes;
pub mod run;
pub mod send_check;
mod sending;
pub mod shares;
pub mod staleness;
pub mod state;
pub mod stop;
pub mod stream;
pub mod tunnel_server;
pub mod tunnels;
