//! What callers and endpoints say in headers, decoded once.

use std::time::{Duration, SystemTime};

use hyper::{
    HeaderMap, StatusCode,
    header::{self, AUTHORIZATION, DATE, HeaderName, HeaderValue, RETRY_AFTER},
};

use crate::{
    balance::{load::EndpointLoadReport, prefixes::PromptPart},
    gateway::protocol::{
        AnnouncementHeaders, AnswerHead, CallHead, Forward, Protocol, TokenCounts,
    },
    limits::{
        back_off::BackOffHeader,
        rate::{LimitHeader, RequestRate},
    },
    prelude::Micros,
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
/// Says that the endpoint leaves.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
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

/// Headers of answers that are read here or by the HTTP library, or passed on as they are for the caller to read.
/// Of any other it is not known what an endpoint says by it.
const KNOWN_OF_ANSWERS: [HeaderName; 25] = [
    REQUEST_ID,
    SIGNATURE,
    LOAD,
    LIMIT,
    LEAVING,
    NOT_EXECUTED,
    RETRY_AFTER,
    DATE,
    HeaderName::from_static("keep-alive"),
    header::ACCEPT_RANGES,
    header::AGE,
    header::ALLOW,
    header::CACHE_CONTROL,
    header::CONNECTION,
    header::CONTENT_ENCODING,
    header::CONTENT_LANGUAGE,
    header::CONTENT_LENGTH,
    header::CONTENT_TYPE,
    header::ETAG,
    header::LAST_MODIFIED,
    header::LOCATION,
    header::SERVER,
    header::TRANSFER_ENCODING,
    header::VARY,
    header::WWW_AUTHENTICATE,
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
            expected_output_tokens: text(headers, LENGTH_HINT).and_then(|t| t.parse().ok()),
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

    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead {
        AnswerHead {
            request_id: headers.get(REQUEST_ID).cloned(),
            is_signed: headers.contains_key(SIGNATURE),
            not_executed: headers.contains_key(NOT_EXECUTED),
            load: text(headers, LOAD).and_then(load),
            announcements: AnnouncementHeaders {
                leaves: leaves(headers),
                back_off: rest(status, headers),
                limit: limit(headers),
            },
            unread: unread(headers),
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

/// Returns the headers of an answer that nothing here knows.
fn unread(headers: &HeaderMap) -> Vec<HeaderName> {
    let is_unread = |name: &&HeaderName| !KNOWN_OF_ANSWERS.contains(name);
    headers.keys().filter(is_unread).cloned().collect()
}

/// Returns whether an answer says that its endpoint leaves: `1` does, other words do not.
fn leaves(headers: &HeaderMap) -> bool {
    let values = headers.get_all(LEAVING).iter();
    let mut words = values.filter_map(|value| value.to_str().ok());
    words.any(|word| word.trim() == "1")
}

/// Returns the rest that an answer asks for; the longest of several. Only with 503 does the time to come back say
/// something of the endpoint: with another status it is the caller's alone.
fn rest(status: StatusCode, headers: &HeaderMap) -> BackOffHeader {
    let mut longest = BackOffHeader::None;
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return longest;
    }
    let answered = text(headers, DATE).and_then(|date| httpdate::parse_http_date(date).ok());
    for value in headers.get_all(RETRY_AFTER) {
        let word = value.to_str().ok().map(str::trim);
        let rest_us = word.and_then(|word| seconds(word).or_else(|| until_date(word, answered)));
        longest = match (rest_us, longest) {
            (Some(rest_us), BackOffHeader::Period(longer_us)) => {
                BackOffHeader::Period(rest_us.max(longer_us))
            }
            (Some(rest_us), _) => BackOffHeader::Period(rest_us),
            (None, asked @ BackOffHeader::Period(_)) => asked,
            (None, _) => {
                BackOffHeader::Unreadable(String::from_utf8_lossy(value.as_bytes()).into_owned())
            }
        };
    }
    longest
}

/// Returns seconds with or without a fraction, in microseconds.
fn seconds(word: &str) -> Option<Micros> {
    let is_digit_or_point = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    if !word.bytes().all(is_digit_or_point) {
        // What else a float may be: signs, exponents, infinity.
        return None;
    }
    let seconds: f64 = word.parse().ok()?;
    // A cast keeps to the bounds of the type.
    Some((seconds * 1e6) as Micros)
}

/// Returns the time until a date as HTTP has them, from when the answer was made if it says so: clocks differ.
fn until_date(word: &str, answered: Option<SystemTime>) -> Option<Micros> {
    let until = httpdate::parse_http_date(word).ok()?;
    let from = answered.unwrap_or_else(SystemTime::now);
    // A date that has passed asks for no rest.
    let rest = until.duration_since(from).unwrap_or(Duration::ZERO);
    Some(rest.as_micros() as Micros)
}

/// Returns the limit that an answer names; the lowest of several.
fn limit(headers: &HeaderMap) -> LimitHeader {
    let mut lowest = LimitHeader::Absent;
    for value in headers.get_all(LIMIT) {
        let rate = value
            .to_str()
            .ok()
            .map(str::trim)
            .and_then(RequestRate::parse);
        let Some(rate) = rate else {
            return LimitHeader::Unreadable(String::from_utf8_lossy(value.as_bytes()).into_owned());
        };
        lowest = match lowest {
            LimitHeader::Rate(lower) => LimitHeader::Rate(lower.min(rate)),
            _ => LimitHeader::Rate(rate),
        };
    }
    lowest
}

fn load(text: &str) -> Option<EndpointLoadReport> {
    let mut numbers = text.split(',').map(|n| n.trim().parse().ok());
    Some(EndpointLoadReport {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}
