//! Bounds the events of a stream by the tokens that it may have.

/// Events per token: engines count the tokens of a text differently.
const EVENTS_PER_TOKEN: u64 = 2;
/// Events that bring no token, such as the role at the start and the usage at the end.
const TOKENLESS_EVENTS: u64 = 32;

/// Returns the most events of a stream of at most `max_tokens`; one that brings more is no answer.
pub fn max_events(max_tokens: u32) -> u64 {
    u64::from(max_tokens) * EVENTS_PER_TOKEN + TOKENLESS_EVENTS
}
