//! Takes callers' requests, holds them, sends them and relays the answers.

pub mod answer;
pub mod claims;
pub mod http;
pub mod parse;
pub mod recorder;
pub mod refusal;
pub mod registry;
pub mod run;
pub mod tickets;
