//! Shares a service's room among organisations while it is short: each gets a fair share of the engine time (max-min),
//! over all instances.
//!
//! The load that it answers: one organisation asks for several times the room of a service. Without shares the room
//! goes by the number of attempts, so the organisations that ask for little are refused as often as that one.
//!
//! Every instance decides on the requests that come to it, from a [`picture`] of the [`demand`] of all instances. From
//! the same picture all of them work out the same [`level`]; [`admission`] lets requests through up to it.
//!
//! Uses no clock, socket or random source, so tests can drive it step by step.

pub mod admission;
pub mod demand;
pub mod level;
pub mod picture;
pub mod return_order;
pub mod room;
