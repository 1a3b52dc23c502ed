//! Tests of the scheduling logic.

mod lifecycle;
mod prefix;
mod queue;
mod scheduler;
mod shedding;
