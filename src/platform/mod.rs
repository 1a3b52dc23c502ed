//! The users' platform: everything that translates between its words and the product's, and
//! nothing else. No other module knows a name from its wire.

pub mod configuration;
pub mod edge;
pub mod endpoints;
pub mod evacuations;
pub mod headers;
pub mod objects;
pub mod settings;
pub mod store;
pub mod store_watch;
