//! Limits that all instances keep together.

pub mod fingerprint;
pub mod organisation;
pub mod retries;
pub mod suspects;
