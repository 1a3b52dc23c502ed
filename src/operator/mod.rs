//! Operators' queries and commands: language, listener, execution, reports and drains.

pub mod drains;
pub mod execute;
pub mod http;
pub mod language;
pub mod log;
pub mod orders;
pub mod query;
pub mod report;
pub mod table;

pub use query::answer_part;
