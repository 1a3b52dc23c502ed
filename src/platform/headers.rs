//! The headers of callers and endpoints: decodes them once and writes those of forwarded requests.

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
/// Time that the sender waits for the answer, in milliseconds.
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// The parts of the prompt, as comma-separated `ID:TOKENS` with the id in hexadecimal.
const PROMPT_PARTS: HeaderName = HeaderName::from_static("prefix-hash");
/// The event after which a stream is resumed.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The id of the attempt that began the stream which is resumed.
const RESUMES: HeaderName = HeaderName::from_static("resumes");
/// Proof that an answer comes from the endpoint itself.
const SIGNATURE: HeaderName = HeaderName::from_static("instance-signature");
/// The organisation of the caller; only the gateway may set it.
const ORGANISATION: HeaderName = HeaderName::from_static("tenant");
/// The endpoint that the request is meant for; only the gateway may set it.
const EXPECTED_ENDPOINT: HeaderName = HeaderName::from_static("expect-instance");
/// The load of an endpoint: running requests, waiting requests and slots, separated by commas.
const LOAD: HeaderName = HeaderName::from_static("instance-load");
/// Rate limit of the endpoint over all instances together, in requests a second; it holds while answers carry it.
const LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Announces that the endpoint is shutting down.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Announces that the endpoint crashes when it refuses more requests than this in a second for want of room.
const BRITTLE: HeaderName = HeaderName::from_static("server-brittle");
/// States that the endpoint did not run the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// Tokens of the prompt and maximum tokens of the answer.
const TOKENS: HeaderName = HeaderName::from_static("token-usage");
/// The caller's estimate of the answer's tokens.
const LENGTH_HINT: HeaderName = HeaderName::from_static("length-hint");
const AUTHORIZATION_SCHEME: &str = "Token ";

/// Headers towards an endpoint that only the gateway may set. Those of a caller are removed: they would give it
/// access to resources of other callers.
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

/// Headers of answers that are handled here or by the HTTP library, or passed through to the caller.
/// Any other header may be a signal of the endpoint that this version does not know, and is reported.
const KNOWN_OF_ANSWERS: [HeaderName; 26] = [
    REQUEST_ID,
    SIGNATURE,
    LOAD,
    LIMIT,
    LEAVING,
    BRITTLE,
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

/// The headers of the platform.
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
            resumes: headers.get(RESUMES).cloned(),
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

    fn write_status_check(&self, headers: &mut HeaderMap, endpoint: &str) {
        set(headers, EXPECTED_ENDPOINT, endpoint);
    }

    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead {
        AnswerHead {
            request_id: headers.get(REQUEST_ID).cloned(),
            is_signed: headers.contains_key(SIGNATURE),
            not_executed: headers.contains_key(NOT_EXECUTED),
            load: text(headers, LOAD).and_then(load_report),
            announcements: AnnouncementHeaders {
                leaves: is_leaving(headers),
                back_off: back_off(status, headers),
                limit: rate_limit(headers),
                brittle: refusals_borne(headers),
            },
            unread: unknown_headers(headers),
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
    // Endpoints whose id is no header value are not used. Requests of an organisation whose name is none carry no
    // organisation.
    if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
        headers.insert(name, value);
    }
}

/// Returns whether a request can say that it is for the endpoint of this id.
pub fn can_name_endpoint(id: &str) -> bool {
    !id.is_empty() && HeaderValue::from_bytes(id.as_bytes()).is_ok()
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
        // Of ids longer than 64 bits only the last 16 digits are used.
        let tail = &id[id.len().saturating_sub(16)..];
        Some(PromptPart {
            id: u64::from_str_radix(tail, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    });
    parts.collect()
}

/// Returns the names of unknown headers of an answer.
fn unknown_headers(headers: &HeaderMap) -> Vec<HeaderName> {
    let is_unknown = |name: &&HeaderName| !KNOWN_OF_ANSWERS.contains(name);
    headers.keys().filter(is_unknown).cloned().collect()
}

/// Returns whether the endpoint announces its shutdown, which only the value `1` does.
fn is_leaving(headers: &HeaderMap) -> bool {
    let values = headers.get_all(LEAVING).iter();
    let mut flags = values.filter_map(|value| value.to_str().ok());
    flags.any(|flag| flag.trim() == "1")
}

/// Returns how many refusals a second a brittle endpoint bears; the lowest of several. A value that is no number says
/// no more than that it is brittle.
fn refusals_borne(headers: &HeaderMap) -> Option<u32> {
    let values = headers.get_all(BRITTLE).iter();
    let borne = values.map(|value| value.to_str().ok().and_then(|n| n.trim().parse().ok()));
    borne.map(Option::unwrap_or_default).min()
}

/// Returns the back-off period that an answer requests; the longest of several. Retry-After concerns the endpoint
/// only with status 503: with any other status it is meant for the caller alone.
fn back_off(status: StatusCode, headers: &HeaderMap) -> BackOffHeader {
    let mut longest = BackOffHeader::None;
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return longest;
    }
    let answered_at = text(headers, DATE).and_then(|date| httpdate::parse_http_date(date).ok());
    for value in headers.get_all(RETRY_AFTER) {
        let period = value.to_str().ok().map(str::trim);
        let period_us =
            period.and_then(|period| seconds(period).or_else(|| until_date(period, answered_at)));
        longest = match (period_us, longest) {
            (Some(period_us), BackOffHeader::Period(longest_us)) => {
                BackOffHeader::Period(period_us.max(longest_us))
            }
            (Some(period_us), _) => BackOffHeader::Period(period_us),
            (None, known @ BackOffHeader::Period(_)) => known,
            (None, _) => {
                BackOffHeader::Unreadable(String::from_utf8_lossy(value.as_bytes()).into_owned())
            }
        };
    }
    longest
}

/// Parses seconds with an optional fraction; returns microseconds.
fn seconds(period: &str) -> Option<Micros> {
    let is_digit_or_point = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    if !period.bytes().all(is_digit_or_point) {
        // `parse` would also accept signs, exponents and infinity.
        return None;
    }
    let seconds: f64 = period.parse().ok()?;
    // The cast saturates.
    Some((seconds * 1e6) as Micros)
}

/// Returns the time until an HTTP date, in microseconds, counted from the Date header of the answer if there is one
/// because clocks differ.
fn until_date(date: &str, answered_at: Option<SystemTime>) -> Option<Micros> {
    let until = httpdate::parse_http_date(date).ok()?;
    let from = answered_at.unwrap_or_else(SystemTime::now);
    // A date in the past requests no back-off.
    let left = until.duration_since(from).unwrap_or(Duration::ZERO);
    Some(left.as_micros() as Micros)
}

/// Returns the rate limit that an answer states; the lowest of several.
fn rate_limit(headers: &HeaderMap) -> LimitHeader {
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
            LimitHeader::Rate(lowest_rate) => LimitHeader::Rate(lowest_rate.min(rate)),
            _ => LimitHeader::Rate(rate),
        };
    }
    lowest
}

fn load_report(text: &str) -> Option<EndpointLoadReport> {
    let mut numbers = text.split(',').map(|n| n.trim().parse().ok());
    Some(EndpointLoadReport {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}
