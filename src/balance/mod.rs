//! Which endpoint a request goes to, which waits and which is refused, decided by each instance
//! over a picture of all endpoints that the instances share.

pub mod balancer;
pub mod cold;
pub mod cost;
mod delegation;
pub mod discovery;
pub mod grants;
pub mod index;
pub mod load;
pub mod load_view;
pub mod prefixes;
pub mod readiness;
pub mod regions;
mod selection;
pub mod speed;
mod sync;
