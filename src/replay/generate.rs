//! Generates traces modelled on the users' workloads: a low base load and surges that start at fixed times.

use std::str::FromStr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    prelude::Name,
    replay::trace::{
        Header, Line, Trace, TraceEndpoint, TraceEvent, TraceFault, TraceOrganisation, TraceTier,
    },
};

/// Size of a prefix block in generated traces, in tokens.
pub const BLOCK_TOKENS: u32 = 256;
/// Number of requests of a trace if none is given.
pub const DEFAULT_REQUESTS: usize = 4_000;

/// The workload that a trace is modelled on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Airport check-in, with surges at departure banks.
    Broye,
    /// Inverter diagnostics, with surges at sunrise and at grid disturbances.
    Steppe,
}

/// The fault injected into a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Some engines slow down in the middle of an event.
    SlowEngine,
    /// Some engines crash and come back after a while.
    EndpointDeath,
    /// Load reports are older than usual, and some cache events are lost.
    StaleReports,
    /// A burst of requests without a declared event.
    Burst,
    /// The pool's leader dies in the middle of an event.
    LeaderDeath,
    /// The platform accepts no writes for a while.
    StoreOutage,
}

/// Names of the workloads on the command line and in traces.
pub const WORKLOADS: [(&str, Workload); 2] =
    [("broye", Workload::Broye), ("steppe", Workload::Steppe)];

/// Names of the faults on the command line.
pub const FAULTS: [(&str, Fault); 7] = [
    ("none", Fault::None),
    ("slow-engine", Fault::SlowEngine),
    ("endpoint-death", Fault::EndpointDeath),
    ("stale-reports", Fault::StaleReports),
    ("burst", Fault::Burst),
    ("leader-death", Fault::LeaderDeath),
    ("store-outage", Fault::StoreOutage),
];

impl FromStr for Workload {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let found = WORKLOADS.iter().find(|(name, _)| *name == text);
        found.map(|(_, workload)| *workload).ok_or(())
    }
}

impl FromStr for Fault {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let found = FAULTS.iter().find(|(name, _)| *name == text);
        found.map(|(_, fault)| *fault).ok_or(())
    }
}

/// Parameters of the requests of one tier.
#[derive(Clone, Copy)]
struct TierShape {
    name: &'static str,
    /// Share of the requests.
    share: f64,
    /// Shortest and longest part of the prompt that is not shared with other requests, in tokens.
    prompt: (f64, f64),
    /// Shortest and longest answer, in tokens.
    output: (f64, f64),
    /// Shortest and longest deadline after arrival, in milliseconds.
    deadline_ms: (u64, u64),
}

/// Parameters of a workload.
struct Shape {
    name: &'static str,
    service: &'static str,
    pool: &'static str,
    plain_service: &'static str,
    plain_pool: &'static str,
    plain_share: f64,
    halls: [&'static str; 4],
    engines: usize,
    plain_servers: usize,
    organisations: [(&'static str, f64); 5],
    tiers: [TierShape; 3],
    /// Fewest and most blocks of the prompt prefix that all requests of an organisation share.
    common_blocks: (u32, u32),
    /// Number of subjects (flights, sites) of each organisation; requests about the same subject share a prefix.
    subjects: u64,
    /// Fewest and most blocks of the prefix of a subject.
    subject_blocks: (u32, u32),
    /// Speeds of the older generation of engines; the newer one is twice as fast.
    prefill_tokens_per_s: f64,
    decode_step_us: f64,
    slots: u32,
    cache_tokens: u32,
    /// Length of the trace for the default number of requests.
    span_ms: u64,
    /// Start of each surge, and the time in which most of it arrives, both in milliseconds.
    surges: [(u64, u64); 2],
    /// Share of requests that come in surges.
    surge_share: f64,
    /// Weights of goodput and of wasted prefill.
    weights: (f64, f64),
}

const BROYE: Shape = Shape {
    name: "broye",
    service: "agent-llm",
    pool: "agent",
    plain_service: "departure-ctl",
    plain_pool: "departure",
    plain_share: 0.08,
    halls: ["nord", "sud", "est", "ouest"],
    engines: 46,
    plain_servers: 4,
    organisations: [
        ("airline-a", 0.42),
        ("airline-b", 0.28),
        ("handling", 0.15),
        ("airport", 0.1),
        ("rail", 0.05),
    ],
    tiers: [
        TierShape {
            name: "gate",
            share: 0.25,
            prompt: (60.0, 2_500.0),
            output: (15.0, 250.0),
            deadline_ms: (2_000, 4_000),
        },
        TierShape {
            name: "counter",
            share: 0.4,
            prompt: (80.0, 8_000.0),
            output: (30.0, 600.0),
            deadline_ms: (4_000, 8_000),
        },
        TierShape {
            name: "kiosk",
            share: 0.35,
            prompt: (80.0, 8_000.0),
            output: (40.0, 900.0),
            deadline_ms: (6_000, 12_000),
        },
    ],
    common_blocks: (4, 8),
    subjects: 90,
    subject_blocks: (3, 10),
    prefill_tokens_per_s: 9_000.0,
    decode_step_us: 5_000.0,
    slots: 12,
    cache_tokens: 40_000,
    span_ms: 100_000,
    surges: [(25_000, 4_000), (65_000, 4_000)],
    surge_share: 0.75,
    weights: (0.7, 0.3),
};

const STEPPE: Shape = Shape {
    name: "steppe",
    service: "lm-advisor",
    pool: "advisor",
    plain_service: "field-gateway",
    plain_pool: "gateway",
    plain_share: 0.05,
    halls: ["almaty-1", "almaty-2", "almaty-3", "almaty-4"],
    engines: 51,
    plain_servers: 4,
    organisations: [
        ("steppe-west", 0.4),
        ("steppe-east", 0.3),
        ("grid", 0.15),
        ("warranty", 0.1),
        ("research", 0.05),
    ],
    tiers: [
        TierShape {
            name: "alarm",
            share: 0.35,
            prompt: (100.0, 3_000.0),
            output: (12.0, 120.0),
            deadline_ms: (3_000, 6_000),
        },
        TierShape {
            name: "guidance",
            share: 0.4,
            prompt: (300.0, 12_000.0),
            output: (60.0, 800.0),
            deadline_ms: (10_000, 20_000),
        },
        TierShape {
            name: "summary",
            share: 0.25,
            prompt: (1_500.0, 40_000.0),
            output: (150.0, 1_500.0),
            deadline_ms: (25_000, 45_000),
        },
    ],
    common_blocks: (4, 12),
    subjects: 60,
    subject_blocks: (8, 30),
    prefill_tokens_per_s: 7_000.0,
    decode_step_us: 8_000.0,
    slots: 12,
    cache_tokens: 60_000,
    span_ms: 160_000,
    surges: [(30_000, 12_000), (100_000, 6_000)],
    surge_share: 0.75,
    weights: (0.4, 0.6),
};

fn shape(workload: Workload) -> &'static Shape {
    match workload {
        Workload::Broye => &BROYE,
        Workload::Steppe => &STEPPE,
    }
}

/// Generates a trace. The same arguments always give the same trace.
pub fn generate(workload: Workload, seed: u64, requests: usize, fault: Fault) -> Trace {
    let shape = shape(workload);
    let repetitions = requests.div_ceil(DEFAULT_REQUESTS).max(1) as u64;
    let mut generator = Generator {
        shape,
        rng: ChaCha8Rng::seed_from_u64(seed ^ ((workload as u64) << 40)),
        repetitions,
    };
    let endpoints = generator.endpoints();
    let mut lines = generator.requests(requests);
    let faults = generator.faults(fault, &endpoints);
    if fault == Fault::Burst {
        generator.add_burst(&mut lines, requests);
    }
    lines.sort_by_key(|l| l.at_ms);
    for (index, line) in lines.iter_mut().enumerate() {
        line.id = index as u64 + 1;
    }
    let header = generator.header(seed, endpoints, faults, requests);
    Trace {
        header,
        requests: lines,
    }
}

/// Generator of one trace.
struct Generator {
    shape: &'static Shape,
    rng: ChaCha8Rng,
    /// How often the time span of the workload and its surges are repeated.
    repetitions: u64,
}

impl Generator {
    fn header(
        &self,
        seed: u64,
        endpoints: Vec<TraceEndpoint>,
        faults: Vec<TraceFault>,
        requests: usize,
    ) -> Header {
        let shape = self.shape;
        let services = [
            (shape.service.into(), shape.pool.into()),
            (shape.plain_service.into(), shape.plain_pool.into()),
        ];
        let tiers = shape.tiers.iter().enumerate();
        let organisations = shape.organisations.iter();
        Header {
            workload: shape.name.to_owned(),
            seed,
            block_tokens: BLOCK_TOKENS,
            goodput_weight: shape.weights.0,
            wasted_prefill_weight: shape.weights.1,
            services: services.into_iter().collect(),
            endpoints,
            tiers: tiers
                .map(|(rank, t)| TraceTier {
                    name: t.name.into(),
                    rank: rank as u8,
                })
                .collect(),
            organisations: organisations
                .map(|(name, _)| TraceOrganisation {
                    name: (*name).into(),
                    weight: 1.0,
                })
                .collect(),
            events: self.events(requests),
            faults,
        }
    }

    fn events(&self, requests: usize) -> Vec<TraceEvent> {
        let shape = self.shape;
        let requests_per_surge = requests as f64 * shape.surge_share / self.surges().len() as f64;
        let surges = self.surges().into_iter().enumerate();
        surges
            .map(|(index, (at_ms, span_ms))| TraceEvent {
                name: format!("surge-{}", index + 1).into(),
                pool: shape.pool.into(),
                at_ms,
                duration_ms: span_ms * 3,
                tier: shape.tiers[0].name.into(),
                expected_requests: requests_per_surge as u32,
            })
            .collect()
    }

    fn surges(&self) -> Vec<(u64, u64)> {
        let repetitions = 0..self.repetitions;
        repetitions
            .flat_map(|repetition| {
                let offset_ms = repetition * self.shape.span_ms;
                self.shape.surges.map(|(at, span)| (at + offset_ms, span))
            })
            .collect()
    }

    fn endpoints(&mut self) -> Vec<TraceEndpoint> {
        let shape = self.shape;
        let mut endpoints: Vec<TraceEndpoint> =
            (0..shape.engines).map(|index| self.engine(index)).collect();
        for index in 0..shape.plain_servers {
            endpoints.push(TraceEndpoint {
                name: format!("{}-{:02}", shape.plain_pool, index + 1).into(),
                pool: shape.plain_pool.into(),
                hall: shape.halls[index % 4].into(),
                slots: 16,
                prefill_tokens_per_s: 1e6,
                decode_step_us: 40_000.0,
                batch_slope: 0.0,
                cache_tokens: 0,
            });
        }
        endpoints
    }

    fn engine(&mut self, index: usize) -> TraceEndpoint {
        let shape = self.shape;
        let newer = index.is_multiple_of(2);
        let generation_factor = if newer { 2.0 } else { 1.0 };
        let speed = generation_factor * self.rng.random_range(0.75..1.3);
        TraceEndpoint {
            name: format!("{}-{:02}", shape.pool, index + 1).into(),
            pool: shape.pool.into(),
            hall: shape.halls[index % 4].into(),
            slots: if newer {
                shape.slots * 4 / 3
            } else {
                shape.slots
            },
            prefill_tokens_per_s: (shape.prefill_tokens_per_s * speed).round(),
            decode_step_us: (shape.decode_step_us / speed).round(),
            batch_slope: self.rng.random_range(0.4..0.8),
            cache_tokens: if newer {
                shape.cache_tokens * 3 / 2
            } else {
                shape.cache_tokens
            },
        }
    }

    fn requests(&mut self, count: usize) -> Vec<Line> {
        (0..count)
            .map(|_| {
                let at_ms = self.arrival();
                self.request(at_ms)
            })
            .collect()
    }

    fn arrival(&mut self) -> u64 {
        if !self.rng.random_bool(self.shape.surge_share) {
            return self
                .rng
                .random_range(0..self.shape.span_ms * self.repetitions);
        }
        let surges = self.surges();
        let (start, span) = surges[self.rng.random_range(0..surges.len())];
        // Delays after the start of the surge are exponentially distributed.
        let sample: f64 = self.rng.random_range(0.0..1.0_f64);
        start + (-(1.0 - sample).ln() * span as f64 / 2.5).min(span as f64 * 3.0) as u64
    }

    fn request(&mut self, at_ms: u64) -> Line {
        let shape = self.shape;
        let organisation = self.organisation();
        if self.rng.random_bool(shape.plain_share) {
            return self.plain_request(at_ms, organisation);
        }
        let tier = self.tier();
        let mut prefix = Vec::new();
        let organisation_id = organisation as u64;
        self.extend_chain(
            &mut prefix,
            organisation_id << 32,
            shape.common_blocks,
            organisation_id,
        );
        let subject = self.subject(at_ms, organisation_id);
        self.extend_chain(&mut prefix, subject, shape.subject_blocks, subject);
        let unshared_tokens = self.log_uniform(tier.prompt);
        Line {
            at_ms,
            id: 0,
            organisation: shape.organisations[organisation].0.into(),
            tier: tier.name.into(),
            service: shape.service.into(),
            prompt_tokens: prefix.len() as u32 * BLOCK_TOKENS + unshared_tokens,
            prefix,
            output_tokens: self.log_uniform(tier.output),
            deadline_ms: self
                .rng
                .random_range(tier.deadline_ms.0..tier.deadline_ms.1),
            repeatable: true,
        }
    }

    fn plain_request(&mut self, at_ms: u64, organisation: usize) -> Line {
        let shape = self.shape;
        let tier = self.tier();
        Line {
            at_ms,
            id: 0,
            organisation: shape.organisations[organisation].0.into(),
            tier: tier.name.into(),
            service: shape.plain_service.into(),
            prompt_tokens: 1,
            prefix: Vec::new(),
            output_tokens: 1,
            deadline_ms: self
                .rng
                .random_range(tier.deadline_ms.0..tier.deadline_ms.1),
            repeatable: self.rng.random_bool(0.4),
        }
    }

    fn organisation(&mut self) -> usize {
        let shares = self.shape.organisations.map(|(_, share)| share);
        pick_weighted(&mut self.rng, &shares)
    }

    fn tier(&mut self) -> TierShape {
        let shares = self.shape.tiers.map(|t| t.share);
        self.shape.tiers[pick_weighted(&mut self.rng, &shares)]
    }

    /// Picks a flight or site; a few are requested far more often than the others.
    fn subject(&mut self, at_ms: u64, organisation_id: u64) -> u64 {
        let uniform: f64 = self.rng.random_range(0.0..1.0_f64);
        let index = (uniform * uniform * self.shape.subjects as f64) as u64;
        // Each half of the time span, with one surge each, has its own subjects.
        let period = at_ms / (self.shape.span_ms / 2);
        (organisation_id << 40) | (period << 20) | (index + 1)
    }

    /// Appends the blocks of a shared part of a prompt. Their number, within `blocks`, depends on `length_seed` only.
    fn extend_chain(
        &mut self,
        chain: &mut Vec<u64>,
        content: u64,
        blocks: (u32, u32),
        length_seed: u64,
    ) {
        let span = u64::from(blocks.1 - blocks.0 + 1);
        let count = blocks.0 + (splitmix64(length_seed ^ 0x5eed) % span) as u32;
        for number in 0..count {
            let previous = chain.last().copied().unwrap_or(0);
            chain.push(splitmix64(
                previous ^ splitmix64(content ^ u64::from(number)),
            ));
        }
    }

    fn log_uniform(&mut self, range: (f64, f64)) -> u32 {
        let exponent: f64 = self.rng.random_range(range.0.ln()..range.1.ln());
        exponent.exp() as u32
    }

    fn faults(&mut self, fault: Fault, endpoints: &[TraceEndpoint]) -> Vec<TraceFault> {
        let (start, span) = self.shape.surges[1];
        let mid_surge_ms = start + span / 2;
        match fault {
            Fault::None => Vec::new(),
            Fault::SlowEngine => self
                .pick_engines(endpoints, 6)
                .into_iter()
                .map(|endpoint| TraceFault::Slow {
                    endpoint,
                    at_ms: mid_surge_ms,
                    until_ms: mid_surge_ms + 15_000,
                    factor: self.rng.random_range(3.0..8.0),
                })
                .collect(),
            Fault::EndpointDeath => self
                .pick_engines(endpoints, 4)
                .into_iter()
                .map(|endpoint| TraceFault::Death {
                    endpoint,
                    at_ms: mid_surge_ms,
                    until_ms: mid_surge_ms + 15_000,
                })
                .collect(),
            Fault::StaleReports => vec![TraceFault::StaleReports { lag_ms: 5_000 }],
            Fault::Burst => vec![TraceFault::Burst { at_ms: start / 2 }],
            Fault::LeaderDeath => vec![TraceFault::LeaderDeath {
                at_ms: mid_surge_ms,
                until_ms: mid_surge_ms + 1_500,
            }],
            Fault::StoreOutage => vec![TraceFault::StoreOutage {
                at_ms: start,
                until_ms: start + 20_000,
            }],
        }
    }

    fn pick_engines(&mut self, endpoints: &[TraceEndpoint], count: usize) -> Vec<Name> {
        let engines = self.shape.engines;
        let first = self.rng.random_range(0..engines);
        let step = 7;
        (0..count)
            .map(|n| endpoints[(first + n * step) % engines].name.clone())
            .collect()
    }

    fn add_burst(&mut self, lines: &mut Vec<Line>, requests: usize) {
        let at_ms = self.shape.surges[1].0 / 2;
        for _ in 0..requests / 6 {
            let offset_ms = self.rng.random_range(0..2_000);
            let line = self.request(at_ms + offset_ms);
            lines.push(line);
        }
    }
}

/// Returns a random index, weighted by `shares`.
fn pick_weighted(rng: &mut ChaCha8Rng, shares: &[f64]) -> usize {
    let mut remaining: f64 = rng.random_range(0.0..shares.iter().sum());
    for (index, share) in shares.iter().enumerate() {
        if remaining < *share {
            return index;
        }
        remaining -= share;
    }
    shares.len() - 1
}

/// Hashes a value with the SplitMix64 step.
fn splitmix64(value: u64) -> u64 {
    let mut hash = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
