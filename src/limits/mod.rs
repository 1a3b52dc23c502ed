//! Limits that all instances enforce together, and the back-off periods that an endpoint asks of a single instance.

pub mod announcements;
pub mod back_off;
pub mod brittle;
pub mod dissemination;
pub mod fingerprint;
pub mod held_bytes;
pub mod instance_counts;
pub mod part_suspects;
pub mod permits;
pub mod quota;
pub mod rate;
pub mod read_pauses;
pub mod release;
pub mod retries;
pub mod suspects;
