//! Property tests over random inputs: scheduling, membership, the operators' language, and decoders.

mod core_walk;
mod decoders;
mod language;
mod membership;
mod suspects;
