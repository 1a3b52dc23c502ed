//! Load balancing: decides which endpoint serves a request, which request waits and which is
//! refused. Every instance decides on its own, using a view of endpoint load that the instances
//! share by gossip.

pub mod balancer;
pub mod capacity;
pub mod cold;
pub mod cost;
mod delegation;
pub mod discovery;
pub mod grants;
pub mod index;
pub mod load;
pub mod load_view;
pub mod prefixes;
pub mod reachability;
pub mod readiness;
pub mod regions;
mod selection;
pub mod service_versions;
pub mod speed;
mod sync;
pub mod versions;
