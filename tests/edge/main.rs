//! The `edge` program as a process of its own, among a store and endpoints that misbehave.

mod answers;
mod change_propagation;
mod cluster;
mod control;
mod endpoint_limits;
mod evacuations;
mod homes;
mod large_cluster;
mod large_copies;
mod leaving_endpoints;
mod load_generator;
mod other_writers;
mod poison_requests;
mod reservations;
mod resting_endpoints;
mod site;
mod store_lists;
mod support;
mod suspension;
