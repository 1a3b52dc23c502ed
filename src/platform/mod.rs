//! Adapter to the users' platform: its settings file, its object store and its headers.
//!
//! The platform's names for files, objects, fields and headers appear only here; the rest of the
//! crate uses its own types.

pub mod configuration;
pub mod edge;
pub mod endpoints;
pub mod evacuations;
pub mod headers;
pub mod object_target;
pub mod objects;
pub mod rollouts;
pub mod settings;
pub mod store;
pub mod store_era;
pub mod store_watch;
