//! The gateway's parts by themselves: routes, freshness, limits, discovery, placement, logs.

mod aggregators;
mod balancer;
mod copies;
mod discovery;
mod events;
mod explain;
mod far_book;
mod freshness;
mod grants;
mod hall_book;
mod halls;
mod headers;
mod heard;
mod limits;
mod logs;
mod packed;
mod patience;
mod prefixes;
mod restarts;
mod retries;
mod routes;
mod settings;
mod staleness;
mod summary;
mod support;
mod use_turns;
