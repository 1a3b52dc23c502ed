//! The gateway's parts by themselves: routes, freshness, limits, discovery, placement, logs.

mod balancer;
mod discovery;
mod events;
mod explain;
mod forwarding;
mod freshness;
mod headers;
mod heard;
mod limits;
mod logs;
mod patience;
mod prefixes;
mod retries;
mod routes;
mod settings;
mod summary;
mod support;
