//! Properties over random inputs: the core, the protocol's messages, the language, the decoders.

mod core_walk;
mod decoders;
mod language;
mod membership;
mod suspects;
