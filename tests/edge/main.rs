//! Tests the `edge` command with a store and endpoints that misbehave, as a separate process and as instances in the
//! test process.

mod allowed_regions;
mod answers;
mod brittle_endpoints;
mod caller_limits;
mod change_propagation;
mod cluster;
mod connections;
mod control;
mod cut_links;
mod cut_rollouts;
mod endpoint_limits;
mod evacuations;
mod large_cluster;
mod large_copies;
mod leaving_endpoints;
mod load_generator;
mod loss_of_all;
mod other_writers;
mod planned_stops;
mod poison_parts;
mod poison_requests;
mod reservations;
mod resting_endpoints;
mod rollouts;
mod shares;
mod silent_endpoints;
mod site;
mod slow_callers;
mod store_lists;
mod store_returns;
mod stream_versions;
mod support;
mod suspension;
mod unread_bodies;
