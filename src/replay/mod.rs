//! Traces, and their replay through the decision core in virtual time.

pub mod baseline;
pub mod bound;
pub mod checker;
pub mod engine;
pub mod expect;
pub mod generate;
pub mod outcome;
pub mod run;
pub mod trace;
