//! A request scheduler for engines of unlike speed.

pub mod core;
pub mod prelude;
