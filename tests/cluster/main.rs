//! Instances as processes among stand-ins, under failure.

mod answers;
mod configuration;
mod failures;
mod not_repeatable;
mod operators;
mod shedding;
mod support;
