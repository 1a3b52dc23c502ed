//! The leader of a pool, and the registration of entries with it.

pub mod leader;
pub mod messages;
pub mod registrar;
pub mod slice;
