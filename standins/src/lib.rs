//! Small stand-ins for the systems around ryevalve: the platform, a model engine, a plain service.
//!
//! They implement the published protocols of those systems and can inject faults.
//!
//! Stand-ins for endpoints of `ryevalve edge`, and what a test of their answers uses:
//!
//! | module | what it is for |
//! | --- | --- |
//! | [`runner`] | an endpoint that serves on its own, with faults; a script may replace some of its answers |
//! | [`scripted_endpoint`] | an endpoint all of whose answers a test gives as bytes, also for `ryevalve serve` |
//! | [`scripted_answer`] | such an answer: its bytes, its pause, and how its connection ends |
//! | [`answer_bytes`] | builds the bytes of answers in all framings, with the places where a break matters |
//! | [`broken_answer`] | draws breaks of answers from a seed, in the soak and in `streams` |
//! | [`received_request`] | reads requests from a plain socket |
//! | [`raw_caller`] | a caller on a plain socket, which sees how answers end |

pub mod answer_bytes;
pub mod broken_answer;
pub mod engine;
pub mod flood;
pub mod http;
pub mod plain;
pub mod platform;
pub mod proxy;
pub mod raw_caller;
pub mod received_request;
pub mod runner;
pub mod scripted_answer;
pub mod scripted_endpoint;
pub mod soak;
pub mod stopping_relay;
pub mod stream_check;
pub mod streams;
pub mod upload;
