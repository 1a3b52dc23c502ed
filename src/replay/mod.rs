//! Request traces: their format and generation, and their replay through the decision core in virtual time, against
//! baseline policies and an upper bound.

pub mod baseline;
pub mod bound;
pub mod checker;
pub mod engine;
pub mod expect;
pub mod generate;
pub mod outcome;
pub mod run;
pub mod trace;
