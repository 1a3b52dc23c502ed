//! A pool's leader, and each entry's registration with it.

pub mod leader;
pub mod messages;
pub mod registrar;
pub mod slice;
