//! Limits: those that all instances keep together, and the rest that endpoints ask of one.

pub mod announcements;
pub mod back_off;
pub mod dissemination;
pub mod fingerprint;
pub mod instance_counts;
pub mod permits;
pub mod quota;
pub mod rate;
pub mod retries;
pub mod suspects;
