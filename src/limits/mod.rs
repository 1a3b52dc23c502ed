//! Limits: those that all instances keep together, and the rest that endpoints ask of one.

pub mod fingerprint;
pub mod permits;
pub mod quota;
pub mod rate;
pub mod rest;
pub mod retries;
pub mod sharers;
pub mod standings;
pub mod suspects;
pub mod telling;
