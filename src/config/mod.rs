//! The product's configuration: data model, TOML format, validation and versions.

pub mod check;
pub mod model;
pub mod version;

pub use check::{Fault, parse};
pub use model::Config;
pub use version::{Change, Delta, VersionError, Versioned};
