//! Limits that all instances keep together.

pub mod endpoint;
pub mod fingerprint;
pub mod organisation;
pub mod permits;
pub mod retries;
pub mod suspects;
pub mod telling;
