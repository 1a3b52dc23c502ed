//! What callers and endpoints say in headers, decoded once.

use hyper::{
    HeaderMap,
    header::{AUTHORIZATION, HeaderName, HeaderValue},
};

use crate::{
    balance::{load::OwnWord, prefixes::PromptPart},
    gateway::protocol::{AnswerHead, CallHead, Forward, Protocol, TokenCounts},
    limits::rate::{LimitWord, RequestRate},
};

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Milliseconds that the sender will wait.
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// The parts of the prompt, as `ID:TOKENS` with the id in hex, separated by commas.
const PROMPT_PARTS: HeaderName = HeaderName::from_static("prefix-hash");
/// The event after which a stream goes on.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Proof that an answer is an endpoint's own.
const SIGNATURE: HeaderName = HeaderName::from_static("instance-signature");
/// The organisation, set by the gateway alone.
const ORGANISATION: HeaderName = HeaderName::from_static("tenant");
/// The start of an endpoint that the request is meant for, set by the gateway alone.
const EXPECTED_ENDPOINT: HeaderName = HeaderName::from_static("expect-instance");
/// Requests running, requests waiting and slots, separated by commas.
const LOAD: HeaderName = HeaderName::from_static("instance-load");
/// Requests a second that the endpoint takes from all instances together, for as long as it says so.
const LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Says that the endpoint did not run the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// Tokens of the prompt, and the most of the answer.
const TOKENS: HeaderName = HeaderName::from_static("token-usage");
/// The caller's guess of the answer's tokens.
const LENGTH_HINT: HeaderName = HeaderName::from_static("length-hint");
const AUTHORIZATION_SCHEME: &str = "Token ";

/// Headers that only the gateway may set towards an endpoint: from a caller they would reach into
/// what is another's.
const GATEWAY_ONLY: [HeaderName; 10] = [
    ORGANISATION,
    EXPECTED_ENDPOINT,
    DEADLINE_MS,
    AUTHORIZATION,
    HeaderName::from_static("expect-version"),
    HeaderName::from_static("retention"),
    HeaderName::from_static("pin-ms"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
    HeaderName::from_static("kv-backup"),
];

/// The platform's headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformProtocol;

impl Protocol for PlatformProtocol {
    fn read_call(&self, headers: &HeaderMap) -> CallHead {
        CallHead {
            request_id: headers.get(REQUEST_ID).cloned(),
            deadline_ms: text(headers, DEADLINE_MS).and_then(|t| t.parse().ok()),
            key: text(headers, AUTHORIZATION)
                .and_then(|t| t.strip_prefix(AUTHORIZATION_SCHEME))
                .map(|k| k.trim().into()),
            resume_after: text(headers, LAST_EVENT_ID).and_then(|t| t.parse().ok()),
            tokens: text(headers, TOKENS).and_then(token_counts),
            parts: text(headers, PROMPT_PARTS)
                .map(prompt_parts)
                .unwrap_or_default(),
            output_guess: text(headers, LENGTH_HINT).and_then(|t| t.parse().ok()),
        }
    }

    fn write_forward(&self, headers: &mut HeaderMap, forward: &Forward<'_>) {
        for name in GATEWAY_ONLY {
            headers.remove(name);
        }
        set(headers, EXPECTED_ENDPOINT, forward.endpoint);
        set(headers, DEADLINE_MS, &forward.left_ms.to_string());
        if let Some(organisation) = forward.organisation {
            set(headers, ORGANISATION, organisation);
        }
        if let Some(event) = forward.resume_after {
            set(headers, LAST_EVENT_ID, &event.to_string());
        }
    }

    fn read_answer(&self, headers: &HeaderMap) -> AnswerHead {
        AnswerHead {
            request_id: headers.get(REQUEST_ID).cloned(),
            is_signed: headers.contains_key(SIGNATURE),
            not_executed: headers.contains_key(NOT_EXECUTED),
            load: text(headers, LOAD).and_then(load),
            limit: limit(headers),
        }
    }

    fn write_refusal(&self, headers: &mut HeaderMap, request_id: Option<&HeaderValue>) {
        if let Some(id) = request_id {
            headers.insert(REQUEST_ID, id.clone());
        }
    }
}

fn text(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    // Ids and names come from the store's JSON; one that is no header value is left out, and the
    // endpoint refuses the request unrun.
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn token_counts(text: &str) -> Option<TokenCounts> {
    let (prompt, output) = text.split_once(',')?;
    Some(TokenCounts {
        prompt: prompt.trim().parse().ok()?,
        max_output: output.trim().parse().ok()?,
    })
}

fn prompt_parts(text: &str) -> Vec<PromptPart> {
    let parts = text.split(',').map_while(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        // Ids longer than a number are told apart by their end.
        let tail = &id[id.len().saturating_sub(16)..];
        Some(PromptPart {
            id: u64::from_str_radix(tail, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    });
    parts.collect()
}

/// Returns the limit that an answer names; the lowest of several.
fn limit(headers: &HeaderMap) -> LimitWord {
    let mut lowest = LimitWord::Free;
    for value in headers.get_all(LIMIT) {
        let rate = value
            .to_str()
            .ok()
            .map(str::trim)
            .and_then(RequestRate::parse);
        let Some(rate) = rate else {
            return LimitWord::Unreadable(String::from_utf8_lossy(value.as_bytes()).into_owned());
        };
        lowest = match lowest {
            LimitWord::Named(lower) => LimitWord::Named(lower.min(rate)),
            _ => LimitWord::Named(rate),
        };
    }
    lowest
}

fn load(text: &str) -> Option<OwnWord> {
    let mut numbers = text.split(',').map(|n| n.trim().parse().ok());
    Some(OwnWord {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}
