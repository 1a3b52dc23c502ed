//! Tests of the decision core.

mod lifecycle;
mod prefix;
mod queue;
mod scheduler;
mod shedding;
