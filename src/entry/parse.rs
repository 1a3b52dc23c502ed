//! Parses and validates callers' requests. Each error states what is wrong with the request.

use std::collections::HashMap;

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, StatusCode,
    header::{AUTHORIZATION, HeaderName},
    http::request::Parts,
};
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::{
    config::{
        Config,
        check::suggestion,
        model::{Organisation, PoolKind, Service, Tier},
    },
    entry::refusal::Refusal,
    prelude::{Name, RequestId, RequestMeta},
};

const ORGANISATION: HeaderName = HeaderName::from_static("x-organisation");
const TIER: HeaderName = HeaderName::from_static("x-tier");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const KEY: HeaderName = HeaderName::from_static("idempotency-key");
const SERVICES_PATH: &str = "/v1/services/";
const BYTES_PER_TOKEN: usize = 4;
const MAX_KEY_BYTES: usize = 256;

/// Index of an organisation in the configuration, by the SHA-256 of its API key.
pub type KeyMap = HashMap<[u8; 32], usize>;

/// The kind of service that a call is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A model on an inference engine.
    Model {
        /// Whether this is a chat completion rather than a plain one.
        chat: bool,
        /// Whether the caller asked for a streamed answer.
        stream: bool,
    },
    /// A plain service.
    Plain {
        /// Path and query, relative to the service.
        path: String,
    },
}

/// A valid call.
#[derive(Clone, Debug)]
pub struct Call {
    /// The kind of service called, with its parameters.
    pub target: Target,
    /// Metadata for the scheduler.
    pub meta: RequestMeta,
    /// Name of the tier.
    pub tier: Name,
    /// Name of the pool that serves the call.
    pub pool: Name,
    /// Time from arrival to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Idempotency key or ticket of a request that may run at most once; `None` for other requests.
    pub key: Option<String>,
    /// The body to send to the endpoint.
    pub body: Bytes,
    /// The content type of the body.
    pub content_type: Option<hyper::header::HeaderValue>,
}

/// The route that a request's path selects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// A model completion.
    Completion {
        /// Whether this is a chat completion rather than a plain one.
        chat: bool,
    },
    /// A plain service.
    Service {
        /// Name of the service.
        name: String,
        /// Path and query, relative to the service.
        path: String,
    },
    /// A request for a new ticket.
    Ticket,
}

/// Returns the SHA-256 of an API key.
pub fn key_digest(key: &str) -> [u8; 32] {
    Sha256::digest(key).into()
}

/// Builds the map from key digests to organisations.
pub fn key_map(config: &Config) -> KeyMap {
    let mut map = KeyMap::new();
    for (index, organisation) in config.organisations.iter().enumerate() {
        for key in &organisation.key_sha256 {
            if let Ok(Ok(digest)) = hex::decode(key).map(TryInto::try_into) {
                map.insert(digest, index);
            }
        }
    }
    map
}

/// Parses the path and checks the method.
///
/// # Errors
/// Returns a refusal if the path is unknown or the method is not POST.
pub fn route(parts: &Parts) -> Result<Route, Refusal> {
    let path = parts.uri.path();
    let route = match path {
        "/v1/completions" => Route::Completion { chat: false },
        "/v1/chat/completions" => Route::Completion { chat: true },
        "/v1/tickets" => Route::Ticket,
        _ => service_route(parts)?,
    };
    if parts.method != Method::POST {
        let message = format!("{path} takes POST only");
        let status = StatusCode::METHOD_NOT_ALLOWED;
        return Err(Refusal::bad(status, "method_not_allowed", message));
    }
    Ok(route)
}

fn service_route(parts: &Parts) -> Result<Route, Refusal> {
    let full_path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let Some(rest) = full_path.strip_prefix(SERVICES_PATH) else {
        let message = format!("no such path: {}", parts.uri.path());
        return Err(Refusal::bad(StatusCode::NOT_FOUND, "no_such_path", message));
    };
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let path = &rest[end..];
    let slash = if path.starts_with('/') { "" } else { "/" };
    Ok(Route::Service {
        name: rest[..end].to_owned(),
        path: format!("{slash}{path}"),
    })
}

/// Returns the organisation that the caller's API key belongs to.
///
/// # Errors
/// Returns a refusal if the key is missing or unknown, or if the caller names another organisation.
pub fn authenticate<'c>(
    headers: &HeaderMap,
    config: &'c Config,
    keys: &KeyMap,
) -> Result<&'c Organisation, Refusal> {
    let presented = text(headers, &AUTHORIZATION).and_then(|v| v.strip_prefix("Bearer "));
    let Some(presented) = presented else {
        let message = "send `authorization: Bearer KEY`";
        return Err(Refusal::bad(StatusCode::UNAUTHORIZED, "no_key", message));
    };
    let index = keys.get(&key_digest(presented));
    let Some(organisation) = index.and_then(|i| config.organisations.get(*i)) else {
        let message = "the key is not known";
        return Err(Refusal::bad(
            StatusCode::UNAUTHORIZED,
            "unknown_key",
            message,
        ));
    };
    let named = text(headers, &ORGANISATION);
    if named.is_some_and(|n| n != &*organisation.name) {
        let message = "the key is not that organisation's";
        return Err(Refusal::bad(
            StatusCode::FORBIDDEN,
            "wrong_organisation",
            message,
        ));
    }
    Ok(organisation)
}

/// Parses and validates a call.
///
/// # Errors
/// Returns a refusal that states what is wrong with the request.
pub fn call(
    config: &Config,
    organisation: &Organisation,
    id: RequestId,
    route: Route,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Call, Refusal> {
    let tier = tier(config, organisation, headers)?;
    let deadline_ms = deadline_ms(tier, headers)?;
    let parser = CallParser {
        config,
        organisation,
        id,
        tier,
        deadline_ms,
        headers,
    };
    match route {
        Route::Completion { chat } => parser.completion(chat, &body),
        Route::Service { name, path } => parser.plain(&name, path, body),
        Route::Ticket => {
            let message = "a ticket takes no call";
            Err(Refusal::bad(StatusCode::BAD_REQUEST, "no_call", message))
        }
    }
}

struct CallParser<'a> {
    config: &'a Config,
    organisation: &'a Organisation,
    id: RequestId,
    tier: &'a Tier,
    deadline_ms: u64,
    headers: &'a HeaderMap,
}

impl CallParser<'_> {
    fn completion(&self, chat: bool, body: &[u8]) -> Result<Call, Refusal> {
        let mut body: Value = serde_json::from_slice(body).map_err(|error| {
            let message = format!("the body is not JSON: {error}");
            Refusal::bad(StatusCode::BAD_REQUEST, "malformed_json", message)
        })?;
        let Some(model) = body["model"].as_str().map(str::to_owned) else {
            return Err(bad_field("`model` is missing or no text"));
        };
        let prompt = prompt_text(&body, chat)?;
        let stream = match &body["stream"] {
            Value::Null => false,
            Value::Bool(stream) => *stream,
            _ => return Err(bad_field("`stream` is neither true nor false")),
        };
        let max_output_tokens = max_tokens(&body)?;
        let service = self.service(&model, PoolKind::Model)?;
        body["stream"] = Value::Bool(true);
        let target = Target::Model { chat, stream };
        let mut call = self.call(target, service, "", body.to_string().into())?;
        call.meta.prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u32;
        call.meta.prefix = prefix_hashes(prompt.as_bytes(), self.config.policy.block_tokens);
        call.meta.max_output_tokens = max_output_tokens;
        call.content_type = Some(hyper::header::HeaderValue::from_static("application/json"));
        Ok(call)
    }

    fn plain(&self, name: &str, path: String, body: Bytes) -> Result<Call, Refusal> {
        let service = self.service(name, PoolKind::Plain)?;
        let path_only = path.split('?').next().unwrap_or_default().to_owned();
        let mut call = self.call(Target::Plain { path }, service, &path_only, body)?;
        call.meta.prompt_tokens = 1;
        call.meta.max_output_tokens = Some(1);
        call.content_type = self.headers.get(hyper::header::CONTENT_TYPE).cloned();
        Ok(call)
    }

    fn service(&self, name: &str, kind: PoolKind) -> Result<&Service, Refusal> {
        let service = self.config.service(name);
        let pool = service.and_then(|s| self.config.pool(&s.pool));
        match (service, pool) {
            (Some(service), Some(pool)) if pool.kind == kind => Ok(service),
            _ => {
                let known = self.config.services.iter();
                let known = known.filter(|s| {
                    let pool = self.config.pool(&s.pool);
                    pool.is_some_and(|p| p.kind == kind)
                });
                let hint = suggestion(name, known.map(|s| &*s.name));
                let message = format!("no such service: `{name}`; {hint}");
                Err(Refusal::bad(
                    StatusCode::NOT_FOUND,
                    "unknown_service",
                    message,
                ))
            }
        }
    }

    fn call(
        &self,
        target: Target,
        service: &Service,
        path: &str,
        body: Bytes,
    ) -> Result<Call, Refusal> {
        let not_repeatable = service.not_repeatable_paths.iter();
        let not_repeatable = not_repeatable.into_iter().any(|p| is_below(path, p));
        let repeatable = service.repeatable && !not_repeatable;
        let meta = RequestMeta {
            id: self.id,
            organisation: self.organisation.name.clone(),
            rank: self.tier.rank,
            service: service.name.clone(),
            prompt_tokens: 0,
            prefix: Vec::new(),
            max_output_tokens: None,
            repeatable,
            waited_us: 0,
            remaining_us: self.deadline_ms * 1_000,
        };
        Ok(Call {
            target,
            meta,
            tier: self.tier.name.clone(),
            pool: service.pool.clone(),
            deadline_ms: self.deadline_ms,
            key: self.key(repeatable)?,
            body,
            content_type: None,
        })
    }

    fn key(&self, repeatable: bool) -> Result<Option<String>, Refusal> {
        let key = text(self.headers, &KEY).filter(|k| !k.is_empty());
        if repeatable {
            return Ok(None);
        }
        match key {
            Some(key) if key.len() <= MAX_KEY_BYTES => Ok(Some(key.to_owned())),
            Some(_) => {
                let message = format!("idempotency-key is longer than {MAX_KEY_BYTES} bytes");
                Err(Refusal::bad(
                    StatusCode::BAD_REQUEST,
                    "key_too_long",
                    message,
                ))
            }
            None => {
                let message = "this request may run at most once: send an idempotency-key";
                Err(Refusal::bad(
                    StatusCode::BAD_REQUEST,
                    "key_required",
                    message,
                ))
            }
        }
    }
}

/// Returns whether `path` equals `prefix` or is below it.
fn is_below(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|r| r.is_empty() || r.starts_with('/'))
}

fn text<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

fn tier<'c>(
    config: &'c Config,
    organisation: &Organisation,
    headers: &HeaderMap,
) -> Result<&'c Tier, Refusal> {
    let allowed =
        |tier: &&Tier| organisation.tiers.is_empty() || organisation.tiers.contains(&tier.name);
    let Some(name) = text(headers, &TIER) else {
        // The default is the lowest tier that the organisation may use.
        let lowest = config.tiers.iter().filter(allowed).max_by_key(|t| t.rank);
        return lowest.ok_or_else(|| unknown_tier("the organisation may use no tier".to_owned()));
    };
    let Some(tier) = config.tier(name) else {
        let hint = suggestion(name, config.tiers.iter().map(|t| &*t.name));
        return Err(unknown_tier(format!("no such tier: `{name}`; {hint}")));
    };
    if !allowed(&tier) {
        let message = format!("the organisation may not use tier `{name}`");
        return Err(Refusal::bad(
            StatusCode::FORBIDDEN,
            "tier_not_allowed",
            message,
        ));
    }
    Ok(tier)
}

fn unknown_tier(message: String) -> Refusal {
    Refusal::bad(StatusCode::BAD_REQUEST, "unknown_tier", message)
}

fn deadline_ms(tier: &Tier, headers: &HeaderMap) -> Result<u64, Refusal> {
    let Some(value) = headers.get(&DEADLINE) else {
        return Ok(tier.default_deadline_ms);
    };
    let value = value.to_str().ok().and_then(|v| v.parse::<u64>().ok());
    match value {
        Some(ms) if (1..=tier.max_deadline_ms).contains(&ms) => Ok(ms),
        _ => {
            let message = format!("x-deadline-ms takes 1 to {}", tier.max_deadline_ms);
            Err(Refusal::bad(
                StatusCode::BAD_REQUEST,
                "bad_deadline",
                message,
            ))
        }
    }
}

fn bad_field(message: &str) -> Refusal {
    Refusal::bad(StatusCode::BAD_REQUEST, "bad_field", message)
}

fn max_tokens(body: &Value) -> Result<Option<u32>, Refusal> {
    match &body["max_tokens"] {
        Value::Null => Ok(None),
        value => match value.as_u64().and_then(|n| u32::try_from(n).ok()) {
            Some(tokens) if tokens > 0 => Ok(Some(tokens)),
            _ => Err(bad_field("`max_tokens` is no whole number above 0")),
        },
    }
}

fn prompt_text(body: &Value, chat: bool) -> Result<String, Refusal> {
    if !chat {
        let prompt = body["prompt"].as_str();
        return prompt
            .map(str::to_owned)
            .ok_or_else(|| bad_field("`prompt` is missing or no text"));
    }
    let messages = body["messages"].as_array();
    let messages = messages.filter(|m| !m.is_empty());
    let messages = messages.ok_or_else(|| bad_field("`messages` is missing or empty"))?;
    let contents: Option<Vec<&str>> = messages.iter().map(|m| m["content"].as_str()).collect();
    let contents = contents.ok_or_else(|| bad_field("a message's `content` is no text"))?;
    Ok(contents.join("\n"))
}

/// Returns the hash chain over the complete blocks of a prompt, in the form that the engines publish: FNV-1a
/// over each block, seeded with the hash of the previous block.
pub fn prefix_hashes(prompt: &[u8], block_tokens: u32) -> Vec<u64> {
    let block_bytes = (block_tokens as usize * BYTES_PER_TOKEN).max(1);
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    prompt
        .chunks_exact(block_bytes)
        .map(|block| {
            for byte in block {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
            }
            hash
        })
        .collect()
}
