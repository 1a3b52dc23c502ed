//! The configuration: its objects, its TOML form, its checks and its versions.

pub mod check;
pub mod model;
pub mod version;

pub use check::{Fault, parse};
pub use model::Config;
pub use version::{Change, Delta, VersionError, Versioned};
