//! The part of an instance that serves callers: parses and registers their requests, sends granted ones to
//! endpoints and relays the answers.

pub mod answer;
pub mod claims;
pub mod http;
pub mod parse;
pub mod plain_answer;
pub mod recorder;
pub mod refusal;
pub mod registry;
pub mod run;
pub mod tickets;
