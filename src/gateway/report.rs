//! Logs the outcome of requests: a line for each that was refused, late, failed or retried, and for a sample of the
//! rest.

use hyper::{StatusCode, header::HeaderValue};
use rand::RngExt;

use crate::{
    balance::{
        cost::Expected,
        prefixes::{self, PromptPart},
    },
    endpoint::framing::Framing,
    entry::refusal::Refusal,
    gateway::{
        attempt::{self, Job},
        blocks::Block,
        crash_check::LostRun,
        metrics::Outcome,
        protocol::Protocol,
        state::Gateway,
    },
    limits::{fingerprint::Fingerprint, part_suspects::PartId, quota::Denied},
    prelude::{Micros, Name},
    shares::admission::ShareRefusal,
};

/// Most parts of a prompt in a log line; prompts have two or three.
const MAX_LOGGED_PARTS: usize = 8;

/// What happened to a request, for its log line.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// The name of its route.
    pub route: Option<Name>,
    /// Whether its body was read.
    pub is_read: bool,
    /// The timeout that its caller declared, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// How long its caller had waited in earlier attempts, as estimated, in milliseconds.
    pub waited_ms: u64,
    /// The organisation of its caller.
    pub organisation: Option<Name>,
    /// The denial by the organisation's usage limit, if any.
    pub denied: Option<Denied>,
    /// The refusal by the organisation's share of the service's room, if any.
    pub share: Option<ShareRefusal>,
    /// Whether its Retry-After is a place in the order in which refused callers return.
    pub has_return_place: bool,
    /// The id of the endpoint that it was sent to last.
    pub endpoint: Option<Name>,
    /// Number of endpoints that it was placed at.
    pub attempts: u32,
    /// Why the last failed attempt, or the request, failed.
    pub reason: Option<&'static str>,
    /// The fingerprint that identifies a repetition of the request, if an endpoint failed while running it.
    pub fingerprint: Option<Fingerprint>,
    /// The blocked part of its prompt, if it was refused for that.
    pub part: Option<PartId>,
    /// The expected performance at the last endpoint.
    pub expected: Option<Expected>,
    /// The longest gap between two events of a stream.
    pub longest_gap_us: Micros,
    /// How the last answer of an endpoint is delimited.
    pub framing: Option<Framing>,
    /// Bytes of the body of an answer that is no stream.
    pub body_bytes: usize,
    /// Number of events of a stream.
    pub events: u32,
    /// The id of a stream's first event.
    pub first_event: Option<u64>,
    /// The id of a stream's last event.
    pub last_event: Option<u64>,
    /// The version of the endpoint that brought a stream's first event.
    pub began_version: Option<Name>,
}

impl Trace {
    fn fingerprint_for_log(&self) -> String {
        self.fingerprint
            .map_or_else(|| "-".to_owned(), |f| f.to_string())
    }
}

/// Logs that an endpoint crashed while it ran a request; `endings` is the number of crashes under this request so far.
pub fn log_crash<P: Protocol>(gateway: &Gateway<P>, job: &Job, lost: &LostRun, endings: usize) {
    let endpoint = &*lost.choice.id;
    let answering_ms = lost.answering_us.map(|us| us / 1_000);
    let parts = shared_parts_text(&job.head.parts);
    let blocked_us = gateway.block_of(job).map(Block::left_us);
    let fingerprint = job.fingerprint().to_string();
    log::info!(
        target: "ryevalve::request",
        request_id = job.request_id(),
        route = &*job.route.name,
        organisation = job.organisation.as_deref().unwrap_or("-"),
        endpoint, fingerprint, endings, parts,
        answering_ms:serde = answering_ms,
        blocked_ms = blocked_us.unwrap_or(0) / 1_000,
        endpoints_age_ms:serde = gateway.endpoints_age_ms();
        "endpoint_ended"
    );
}

/// Returns the ids of a prompt's parts that other prompts may share, for logs.
fn shared_parts_text(parts: &[PromptPart]) -> String {
    let shared = prefixes::shared_parts(parts).iter().take(MAX_LOGGED_PARTS);
    let ids: Vec<String> = shared.map(|part| format!("{:x}", part.id)).collect();
    ids.join(",")
}

/// Counts and logs a refusal.
pub fn note_refusal<P: Protocol>(
    gateway: &Gateway<P>,
    trace: &Trace,
    refusal: &Refusal,
    request_id: Option<&HeaderValue>,
    arrived_us: Micros,
) {
    let route = trace.route.as_deref().unwrap_or("-");
    gateway.metrics.record_outcome(route, Outcome::of(refusal));
    // A blocked request is refused whatever the load, so it does not count as a sign of overload.
    if refusal.retry_after_ms.is_some() && !Block::is_reason(refusal.reason) {
        gateway.note_refused();
    }
    let held_ms = gateway.clock.now_us().saturating_sub(arrived_us) / 1_000;
    let counts = gateway.instance_counts();
    log::info!(
        target: "ryevalve::request",
        request_id = attempt::header_for_log(request_id),
        route,
        outcome = Outcome::of(refusal).as_str(),
        status = refusal.status.as_u16(),
        reason = refusal.reason,
        last_failure = trace.reason.unwrap_or("-"),
        fingerprint = trace.fingerprint_for_log(),
        blocked_part:serde = trace.part.map(|part| part.to_string()),
        endpoint = trace.endpoint.as_deref().unwrap_or("-"),
        attempts = trace.attempts,
        is_read = trace.is_read,
        held_ms,
        deadline_ms = trace.deadline_ms.unwrap_or(0),
        waited_before_ms = trace.waited_ms,
        retry_after_ms = refusal.retry_after_ms.unwrap_or(0),
        config_version = gateway.config.version(),
        config_age_ms:serde = gateway.config_age_ms(),
        endpoints_age_ms:serde = gateway.endpoints_age_ms(),
        organisation = trace.organisation.as_deref().unwrap_or("-"),
        limit_level:serde = trace.denied.and_then(|d| d.level),
        limit_wait_ms:serde = trace.denied.map(|d| d.wait_us / 1_000),
        share_asked_slots:serde = trace.share.map(|s| to_tenths(s.asked_slots)),
        share_slots:serde = trace.share.map(|s| to_tenths(s.share_slots)),
        share_of_slots:serde = trace.share.map(|s| to_tenths(s.room_slots)),
        share_late:serde = trace.share.map(|s| s.is_late),
        limit_asked = trace.denied.is_some_and(|d| !d.is_cached),
        limit_unleased = trace.denied.is_some_and(|d| d.is_unleased),
        instances = counts.all,
        instances_heard = counts.heard;
        "request_refused"
    );
}

/// Rounds to tenths, for log lines.
pub(super) fn to_tenths(slots: f64) -> f64 {
    (slots * 10.0).round() / 10.0
}

/// One in this many answers that met their targets at the first attempt is logged; all others are logged.
pub const SAMPLE_INTERVAL: u32 = 16;

/// Logs an answer that came from an endpoint.
pub fn log_answer<P: Protocol>(
    gateway: &Gateway<P>,
    job: &Job,
    outcome: Outcome,
    status: StatusCode,
    first_us: Micros,
    trace: &Trace,
) {
    let attempts = trace.attempts;
    let held_us = gateway
        .clock
        .now_us()
        .saturating_sub(job.placement_request.arrived_us);
    let target_gap_us = job.route.target_gap.as_micros() as Micros;
    let in_time =
        first_us <= job.placement_request.target_us && trace.longest_gap_us <= target_gap_us;
    let is_sampled = outcome == Outcome::Served && in_time && attempts <= 1;
    if is_sampled && rand::rng().random_range(0..SAMPLE_INTERVAL) > 0 {
        return;
    }
    log::info!(
        target: "ryevalve::request",
        request_id = job.request_id(),
        route = &*job.route.name,
        organisation = job.organisation.as_deref().unwrap_or("-"),
        outcome = outcome.as_str(),
        status = status.as_u16(),
        first_ms = first_us / 1_000,
        target_ms = job.placement_request.target_us / 1_000,
        longest_gap_ms = trace.longest_gap_us / 1_000,
        target_gap_ms = target_gap_us / 1_000,
        attempts,
        held_ms = held_us / 1_000,
        budget_ms = job.budget_us() / 1_000,
        deadline_ms = trace.deadline_ms.unwrap_or(0),
        waited_before_ms = trace.waited_ms,
        endpoint = trace.endpoint.as_deref().unwrap_or("-"),
        framing = trace.framing.map_or("-", Framing::as_str),
        body_bytes = trace.body_bytes,
        events = trace.events,
        after_event:serde = job.resumes_after(),
        first_event:serde = trace.first_event,
        last_event:serde = trace.last_event,
        began_version = trace.began_version.as_deref().unwrap_or("-"),
        carrier = job.carrier.get().map_or("-", |c| &**c),
        last_failure = trace.reason.unwrap_or("-"),
        fingerprint = trace.fingerprint_for_log(),
        expected_first_ms = trace.expected.map_or(0.0, |e| e.first_ms.round()),
        endpoint_requests = trace.expected.map_or(0.0, |e| e.there.round()),
        endpoint_event_ms = trace.expected.map_or(0.0, |e| e.event_ms.round()),
        same_hall = trace.expected.is_some_and(|e| e.same_hall),
        uncached_tokens = trace.expected.map_or(0, |e| e.uncached_tokens),
        prompt_tokens = job.placement_request.prompt_tokens,
        config_version = gateway.config.version(),
        config_age_ms:serde = gateway.config_age_ms(),
        endpoints_age_ms:serde = gateway.endpoints_age_ms();
        "request_answered"
    );
}
