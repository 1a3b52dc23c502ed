//! The form of a trace: a header, then one request a line, all JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{
    config::{Config, model::PoolKind},
    prelude::Name,
};

/// An engine or server, as the trace gives it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceEndpoint {
    /// Its name.
    pub name: Name,
    /// The pool it belongs to.
    pub pool: Name,
    /// The hall it stands in.
    pub hall: Name,
    /// How many requests it runs at a time.
    pub slots: u32,
    /// Prompt speed, in tokens a second.
    pub prefill_tokens_per_s: f64,
    /// Time of one decode step with one request, in microseconds.
    pub decode_step_us: f64,
    /// How much a full batch slows a step; hidden from the policy.
    #[serde(default = "default_slope")]
    pub batch_slope: f64,
    /// Size of its prefix cache, in tokens.
    pub cache_tokens: u32,
}

fn default_slope() -> f64 {
    0.6
}

/// A tier, as the trace gives it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceTier {
    /// Its name.
    pub name: Name,
    /// Its order; 0 is the highest.
    pub rank: u8,
}

/// An organisation, as the trace gives it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceOrganisation {
    /// Its name.
    pub name: Name,
    /// Its share against the others.
    pub weight: f64,
}

/// An event that operators have declared.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceEvent {
    /// Its name.
    pub name: Name,
    /// The pool that it loads.
    pub pool: Name,
    /// Its start.
    pub at_ms: u64,
    /// How long it lasts.
    pub duration_ms: u64,
    /// The lowest tier that it is about.
    pub tier: Name,
    /// How many requests are expected.
    pub expected_requests: u32,
}

/// Something that goes wrong during the trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TraceFault {
    /// An engine works slower for a while.
    Slow {
        /// The engine.
        endpoint: Name,
        /// From when.
        at_ms: u64,
        /// Until when.
        until_ms: u64,
        /// How many times slower.
        factor: f64,
    },
    /// An engine is gone for a while, with all that it ran.
    Death {
        /// The engine.
        endpoint: Name,
        /// From when.
        at_ms: u64,
        /// Until when.
        until_ms: u64,
    },
    /// Load reports are older than usual, and cache events are missed.
    StaleReports {
        /// How old.
        lag_ms: u64,
    },
    /// The leader dies; the next one knows nothing and begins after a while.
    LeaderDeath {
        /// When.
        at_ms: u64,
        /// When the next one grants.
        until_ms: u64,
    },
    /// The platform takes no writes, so no key can be claimed.
    StoreOutage {
        /// From when.
        at_ms: u64,
        /// Until when.
        until_ms: u64,
    },
    /// A burst that nobody declared; its requests are part of the trace.
    Burst {
        /// When.
        at_ms: u64,
    },
}

/// The first line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Which workload, or `recorded`.
    pub workload: String,
    /// The seed that it was made from.
    pub seed: u64,
    /// Size of a prefix block, in tokens.
    pub block_tokens: u32,
    /// Weight of goodput by tier.
    pub goodput_weight: f64,
    /// Weight of wasted prefill.
    pub wasted_prefill_weight: f64,
    /// Which pool serves a service.
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
    /// Its arrival.
    pub at_ms: u64,
    /// Its number.
    pub id: u64,
    /// Its organisation.
    pub organisation: Name,
    /// Its tier.
    pub tier: Name,
    /// The service called.
    pub service: Name,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Hash chain over the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Length of the answer; hidden from the policy.
    pub output_tokens: u32,
    /// Time allowed, from its arrival.
    pub deadline_ms: u64,
    /// Whether a second run would do no harm.
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

/// A text that is no trace.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// There is no first line.
    #[snafu(display("the trace is empty; its first line is the header"))]
    Empty,
    /// A line cannot be read.
    #[snafu(display("line {line}: {source}"))]
    Unreadable {
        /// Its number, from 1.
        line: usize,
        /// What the reader said.
        source: serde_json::Error,
    },
    /// A line names something that the header does not have.
    #[snafu(display("line {line}: the header has no {kind} `{name}`"))]
    Unknown {
        /// Its number, from 1.
        line: usize,
        /// `tier` or `service`.
        kind: &'static str,
        /// The name.
        name: Name,
    },
    /// The requests are not in order of arrival.
    #[snafu(display("line {line}: the request arrives before the one above it"))]
    Order {
        /// Its number, from 1.
        line: usize,
    },
    /// A value is out of range.
    #[snafu(display("line {line}: {problem}"))]
    Range {
        /// Its number, from 1.
        line: usize,
        /// What is wrong.
        problem: &'static str,
    },
}

impl Header {
    /// Makes the header of recorded traffic.
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

    /// Returns the order of a tier.
    pub fn rank(&self, tier: &str) -> Option<u8> {
        let found = self.tiers.iter().find(|t| &*t.name == tier);
        found.map(|t| t.rank)
    }
}

impl Trace {
    /// Reads a trace.
    ///
    /// # Errors
    /// Says which line is wrong.
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
            let before = requests.last().map_or(0, |r| r.at_ms);
            snafu::ensure!(request.at_ms >= before, OrderSnafu { line });
            requests.push(request);
        }
        Ok(Self { header, requests })
    }

    /// Writes the trace, a line at a time.
    ///
    /// # Errors
    /// What the writer says.
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
