//! Limits that all instances keep together.

pub mod organisation;
pub mod retries;
