//! The trace format: a header line, then one line per request, each a JSON object.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{
    config::{Config, model::PoolKind},
    prelude::Name,
};

/// An endpoint of a trace: an inference engine or a plain server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceEndpoint {
    /// Name.
    pub name: Name,
    /// The pool it belongs to.
    pub pool: Name,
    /// The hall it is in.
    pub hall: Name,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Prefill speed, in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Time of a decode step for a single request, in microseconds.
    pub decode_step_us: f64,
    /// Fraction by which a full batch lengthens a decode step; not known to the policy.
    #[serde(default = "default_slope")]
    pub batch_slope: f64,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u32,
}

fn default_slope() -> f64 {
    0.6
}

/// A tier of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceTier {
    /// Name.
    pub name: Name,
    /// Rank; 0 is the highest tier.
    pub rank: u8,
}

/// An organisation of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceOrganisation {
    /// Name.
    pub name: Name,
    /// Weight in the fair sharing among organisations.
    pub weight: f64,
}

/// A load event declared by operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceEvent {
    /// Name.
    pub name: Name,
    /// The pool whose load rises.
    pub pool: Name,
    /// Start, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// Duration, in milliseconds.
    pub duration_ms: u64,
    /// The lowest tier for which capacity is reserved.
    pub tier: Name,
    /// Expected number of requests.
    pub expected_requests: u32,
}

/// A fault injected during the replay. Times are in milliseconds from the start of the trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TraceFault {
    /// An engine is slower for a while.
    Slow {
        /// The engine.
        endpoint: Name,
        /// Start.
        at_ms: u64,
        /// End.
        until_ms: u64,
        /// Factor by which its steps take longer.
        factor: f64,
    },
    /// An engine is down for a while; the requests that it ran or had queued are lost.
    Death {
        /// The engine.
        endpoint: Name,
        /// Start.
        at_ms: u64,
        /// End.
        until_ms: u64,
    },
    /// Load reports are older than usual, and some cache events are lost.
    StaleReports {
        /// Age of the reports, in milliseconds.
        lag_ms: u64,
    },
    /// The leader crashes; its successor starts after a while, without its state.
    LeaderDeath {
        /// Start.
        at_ms: u64,
        /// When the successor starts to grant.
        until_ms: u64,
    },
    /// The platform accepts no writes, so no idempotency key can be claimed.
    StoreOutage {
        /// Start.
        at_ms: u64,
        /// End.
        until_ms: u64,
    },
    /// A burst without a declared event; its requests are part of the trace.
    Burst {
        /// Start.
        at_ms: u64,
    },
}

/// The header, on the first line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The workload, or `recorded`.
    pub workload: String,
    /// Seed of a generated trace; 0 for a recorded one.
    pub seed: u64,
    /// Size of a prefix block, in tokens.
    pub block_tokens: u32,
    /// Weight of goodput in the policy.
    pub goodput_weight: f64,
    /// Weight of wasted prefill in the policy.
    pub wasted_prefill_weight: f64,
    /// The pool that serves each service.
    pub services: BTreeMap<Name, Name>,
    /// Endpoints.
    pub endpoints: Vec<TraceEndpoint>,
    /// Tiers.
    pub tiers: Vec<TraceTier>,
    /// Organisations.
    pub organisations: Vec<TraceOrganisation>,
    /// Declared events.
    pub events: Vec<TraceEvent>,
    /// Faults.
    pub faults: Vec<TraceFault>,
}

/// One request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Arrival, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// Number of the request.
    pub id: u64,
    /// Organisation of the caller.
    pub organisation: Name,
    /// Tier.
    pub tier: Name,
    /// The requested service.
    pub service: Name,
    /// Prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Hash chain over the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Answer length, in tokens; not known to the policy.
    pub output_tokens: u32,
    /// Deadline, in milliseconds after the arrival.
    pub deadline_ms: u64,
    /// Whether the request can safely be run more than once.
    pub repeatable: bool,
}

/// A whole trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The header.
    pub header: Header,
    /// The requests, in order of arrival.
    pub requests: Vec<Line>,
}

/// Why a text is not a valid trace.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// The text is empty.
    #[snafu(display("the trace is empty; its first line is the header"))]
    Empty,
    /// A line is not valid JSON of the expected form.
    #[snafu(display("line {line}: {source}"))]
    Unreadable {
        /// Line number, from 1.
        line: usize,
        /// The parse error.
        source: serde_json::Error,
    },
    /// A request refers to a tier or service that the header does not define.
    #[snafu(display("line {line}: the header has no {kind} `{name}`"))]
    Unknown {
        /// Line number, from 1.
        line: usize,
        /// `tier` or `service`.
        kind: &'static str,
        /// The name.
        name: Name,
    },
    /// The requests are not in order of arrival.
    #[snafu(display("line {line}: the request arrives before the one above it"))]
    Order {
        /// Line number, from 1.
        line: usize,
    },
    /// A value is out of range.
    #[snafu(display("line {line}: {problem}"))]
    Range {
        /// Line number, from 1.
        line: usize,
        /// The problem found.
        problem: &'static str,
    },
}

impl Header {
    /// Returns the header for traffic recorded under a configuration.
    pub fn of_config(config: &Config) -> Self {
        let now_s = crate::clock::unix_s();
        Self {
            workload: "recorded".to_owned(),
            seed: 0,
            block_tokens: config.policy.block_tokens,
            goodput_weight: config.policy.goodput_weight,
            wasted_prefill_weight: config.policy.wasted_prefill_weight,
            services: config
                .services
                .iter()
                .map(|s| (s.name.clone(), s.pool.clone()))
                .collect(),
            endpoints: config
                .endpoints
                .iter()
                .map(|e| {
                    let plain = config
                        .pool(&e.pool)
                        .is_some_and(|p| p.kind == PoolKind::Plain);
                    TraceEndpoint {
                        name: e.name.clone(),
                        pool: e.pool.clone(),
                        hall: e.hall.clone(),
                        slots: e.slots,
                        prefill_tokens_per_s: e.prefill_tokens_per_s,
                        decode_step_us: e.decode_step_us,
                        batch_slope: if plain { 0.0 } else { default_slope() },
                        cache_tokens: e.cache_tokens,
                    }
                })
                .collect(),
            tiers: config
                .tiers
                .iter()
                .map(|t| TraceTier {
                    name: t.name.clone(),
                    rank: t.rank,
                })
                .collect(),
            organisations: config
                .organisations
                .iter()
                .map(|o| TraceOrganisation {
                    name: o.name.clone(),
                    weight: o.weight,
                })
                .collect(),
            events: config
                .events
                .iter()
                .filter(|e| e.starts_at_s >= now_s)
                .map(|e| TraceEvent {
                    name: e.name.clone(),
                    pool: e.pool.clone(),
                    at_ms: (e.starts_at_s - now_s) * 1_000,
                    duration_ms: e.duration_s * 1_000,
                    tier: e.tier.clone(),
                    expected_requests: e.expected_requests,
                })
                .collect(),
            faults: Vec::new(),
        }
    }

    /// Returns the rank of a tier, or `None` if the trace has no such tier.
    pub fn rank(&self, tier: &str) -> Option<u8> {
        let found = self.tiers.iter().find(|t| &*t.name == tier);
        found.map(|t| t.rank)
    }
}

impl Trace {
    /// Parses a trace.
    ///
    /// # Errors
    /// Returns the first invalid line and its problem.
    pub fn read(text: &str) -> Result<Self, TraceError> {
        let mut lines = text
            .lines()
            .enumerate()
            .filter(|(_, l)| !l.trim().is_empty());
        let (_, first) = lines.next().context(EmptySnafu)?;
        let header: Header =
            serde_json::from_str(first).context(UnreadableSnafu { line: 1_usize })?;
        check_header(&header)?;
        let mut requests: Vec<Line> = Vec::new();
        for (index, text) in lines {
            let line = index + 1;
            let request: Line = serde_json::from_str(text).context(UnreadableSnafu { line })?;
            check_line(&header, &request, line)?;
            let previous_ms = requests.last().map_or(0, |r| r.at_ms);
            snafu::ensure!(request.at_ms >= previous_ms, OrderSnafu { line });
            requests.push(request);
        }
        Ok(Self { header, requests })
    }

    /// Writes the trace line by line.
    ///
    /// # Errors
    /// Returns the error of the writer.
    pub fn write(&self, mut to: impl std::io::Write) -> std::io::Result<()> {
        serde_json::to_writer(&mut to, &self.header)?;
        writeln!(to)?;
        for request in &self.requests {
            serde_json::to_writer(&mut to, request)?;
            writeln!(to)?;
        }
        Ok(())
    }
}

fn check_header(header: &Header) -> Result<(), TraceError> {
    let line = 1_usize;
    let problem = if header.tiers.is_empty() {
        "no tier"
    } else if header.block_tokens == 0 {
        "block_tokens is 0"
    } else if header
        .tiers
        .iter()
        .any(|t| usize::from(t.rank) >= header.tiers.len())
    {
        "a tier's rank is out of range"
    } else if header
        .endpoints
        .iter()
        .any(|e| e.slots == 0 || e.prefill_tokens_per_s <= 0.0 || e.decode_step_us <= 0.0)
    {
        "an endpoint's slots or speed is not above 0"
    } else {
        return Ok(());
    };
    RangeSnafu { line, problem }.fail()
}

fn check_line(header: &Header, request: &Line, line: usize) -> Result<(), TraceError> {
    if header.rank(&request.tier).is_none() {
        let (kind, name) = ("tier", request.tier.clone());
        return UnknownSnafu { line, kind, name }.fail();
    }
    if !header.services.contains_key(&request.service) {
        let (kind, name) = ("service", request.service.clone());
        return UnknownSnafu { line, kind, name }.fail();
    }
    if request.output_tokens == 0 || request.prompt_tokens == 0 {
        let problem = "prompt_tokens or output_tokens is 0";
        return RangeSnafu { line, problem }.fail();
    }
    Ok(())
}
