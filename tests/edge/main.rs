//! Tests the `edge` command with a store and endpoints that misbehave, as a separate process and as instances in the
//! test process.

mod allowed_regions;
mod answers;
mod brittle_endpoints;
mod caller_limits;
mod carried_answers;
mod change_propagation;
mod close_delimited_callers;
mod cluster;
mod connections;
mod control;
mod cut_answers;
mod cut_links;
mod cut_rollouts;
mod doubtful_ends;
mod endless_answers;
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
mod silent_carriers;
mod silent_endpoints;
mod silent_stops;
mod site;
mod slow_callers;
mod store_lists;
mod store_returns;
mod stream_versions;
mod support;
mod suspension;
mod unread_bodies;
