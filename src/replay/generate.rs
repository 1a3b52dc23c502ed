//! Makes traces in the shape of the users' workloads: a quiet base, and surges at fixed starts.

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
/// Requests of a trace if no number is given.
pub const DEFAULT_REQUESTS: usize = 4_000;

/// Whose traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Check-in: departure banks.
    Broye,
    /// Inverter diagnostics: sunrise and grid disturbances.
    Steppe,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Some engines slow down in the middle of an event.
    SlowEngine,
    /// Some engines are gone for a while.
    EndpointDeath,
    /// Load reports are old and cache events missed.
    StaleReports,
    /// A burst that nobody declared.
    Burst,
    /// The pool's leader dies in the middle of an event.
    LeaderDeath,
    /// The platform takes no writes for a while.
    StoreOutage,
}

/// Names of workloads, as they are written.
pub const WORKLOADS: [(&str, Workload); 2] =
    [("broye", Workload::Broye), ("steppe", Workload::Steppe)];

/// Names of faults, as they are written.
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

/// The numbers that shape one tier's requests.
#[derive(Clone, Copy)]
struct TierShape {
    name: &'static str,
    /// Share of the requests.
    share: f64,
    /// Shortest and longest own part of the prompt, in tokens.
    prompt: (f64, f64),
    /// Shortest and longest answer, in tokens.
    output: (f64, f64),
    /// Shortest and longest time allowed, in milliseconds.
    deadline_ms: (u64, u64),
}

/// The numbers that shape a workload.
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
    /// Blocks of an organisation's common prompt, shortest and longest.
    common_blocks: (u32, u32),
    /// Subjects (flights, sites) that many requests share, and the blocks of each.
    subjects: u64,
    subject_blocks: (u32, u32),
    /// Speeds of the slower generation; the newer is twice as fast.
    prefill_tokens_per_s: f64,
    decode_step_us: f64,
    slots: u32,
    cache_tokens: u32,
    /// Length of the trace for the default number of requests.
    span_ms: u64,
    /// Surges: start, and the time in which most of it arrives.
    surges: [(u64, u64); 2],
    /// Share of requests that come in surges.
    surge_share: f64,
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

/// Makes a trace; the same arguments make the same trace.
pub fn generate(workload: Workload, seed: u64, requests: usize, fault: Fault) -> Trace {
    let shape = shape(workload);
    let rounds = requests.div_ceil(DEFAULT_REQUESTS).max(1) as u64;
    let mut maker = Maker {
        shape,
        rng: ChaCha8Rng::seed_from_u64(seed ^ ((workload as u64) << 40)),
        rounds,
    };
    let endpoints = maker.endpoints();
    let mut lines = maker.requests(requests);
    let faults = maker.faults(fault, &endpoints);
    if fault == Fault::Burst {
        maker.add_burst(&mut lines, requests);
    }
    lines.sort_by_key(|l| l.at_ms);
    for (index, line) in lines.iter_mut().enumerate() {
        line.id = index as u64 + 1;
    }
    let header = maker.header(seed, endpoints, faults, requests);
    Trace {
        header,
        requests: lines,
    }
}

struct Maker {
    shape: &'static Shape,
    rng: ChaCha8Rng,
    rounds: u64,
}

impl Maker {
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
        let each = requests as f64 * shape.surge_share / self.surges().len() as f64;
        let surges = self.surges().into_iter().enumerate();
        surges
            .map(|(index, (at_ms, span_ms))| TraceEvent {
                name: format!("surge-{}", index + 1).into(),
                pool: shape.pool.into(),
                at_ms,
                duration_ms: span_ms * 3,
                tier: shape.tiers[0].name.into(),
                expected_requests: each as u32,
            })
            .collect()
    }

    fn surges(&self) -> Vec<(u64, u64)> {
        let rounds = 0..self.rounds;
        rounds
            .flat_map(|round| {
                let shift = round * self.shape.span_ms;
                self.shape.surges.map(|(at, span)| (at + shift, span))
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
        let generation = if newer { 2.0 } else { 1.0 };
        let speed = generation * self.rng.random_range(0.75..1.3);
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
            return self.rng.random_range(0..self.shape.span_ms * self.rounds);
        }
        let surges = self.surges();
        let (start, span) = surges[self.rng.random_range(0..surges.len())];
        // Most come at once, the rest trail off.
        let late: f64 = self.rng.random_range(0.0..1.0_f64);
        start + (-(1.0 - late).ln() * span as f64 / 2.5).min(span as f64 * 3.0) as u64
    }

    fn request(&mut self, at_ms: u64) -> Line {
        let shape = self.shape;
        let organisation = self.organisation();
        if self.rng.random_bool(shape.plain_share) {
            return self.plain_request(at_ms, organisation);
        }
        let tier = self.tier();
        let mut prefix = Vec::new();
        let owner = organisation as u64;
        self.extend_chain(&mut prefix, owner << 32, shape.common_blocks, owner);
        let subject = self.subject(at_ms, owner);
        self.extend_chain(&mut prefix, subject, shape.subject_blocks, subject);
        let own = self.log_uniform(tier.prompt);
        Line {
            at_ms,
            id: 0,
            organisation: shape.organisations[organisation].0.into(),
            tier: tier.name.into(),
            service: shape.service.into(),
            prompt_tokens: prefix.len() as u32 * BLOCK_TOKENS + own,
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
        pick(&mut self.rng, &shares)
    }

    fn tier(&mut self) -> TierShape {
        let shares = self.shape.tiers.map(|t| t.share);
        self.shape.tiers[pick(&mut self.rng, &shares)]
    }

    /// Picks a flight or site; a few are called for far more often than the rest.
    fn subject(&mut self, at_ms: u64, owner: u64) -> u64 {
        let skewed: f64 = self.rng.random_range(0.0..1.0_f64);
        let index = (skewed * skewed * self.shape.subjects as f64) as u64;
        // Subjects change from one surge to the next.
        let era = at_ms / (self.shape.span_ms / 2);
        (owner << 40) | (era << 20) | (index + 1)
    }

    /// Adds the blocks of something shared; its length follows from what it is.
    fn extend_chain(&mut self, chain: &mut Vec<u64>, of: u64, blocks: (u32, u32), salt: u64) {
        let span = u64::from(blocks.1 - blocks.0 + 1);
        let count = blocks.0 + (mix(salt ^ 0x5eed) % span) as u32;
        for number in 0..count {
            let before = chain.last().copied().unwrap_or(0);
            chain.push(mix(before ^ mix(of ^ u64::from(number))));
        }
    }

    fn log_uniform(&mut self, range: (f64, f64)) -> u32 {
        let exponent: f64 = self.rng.random_range(range.0.ln()..range.1.ln());
        exponent.exp() as u32
    }

    fn faults(&mut self, fault: Fault, endpoints: &[TraceEndpoint]) -> Vec<TraceFault> {
        let (start, span) = self.shape.surges[1];
        let mid = start + span / 2;
        match fault {
            Fault::None => Vec::new(),
            Fault::SlowEngine => self
                .some_engines(endpoints, 6)
                .into_iter()
                .map(|endpoint| TraceFault::Slow {
                    endpoint,
                    at_ms: mid,
                    until_ms: mid + 15_000,
                    factor: self.rng.random_range(3.0..8.0),
                })
                .collect(),
            Fault::EndpointDeath => self
                .some_engines(endpoints, 4)
                .into_iter()
                .map(|endpoint| TraceFault::Death {
                    endpoint,
                    at_ms: mid,
                    until_ms: mid + 15_000,
                })
                .collect(),
            Fault::StaleReports => vec![TraceFault::StaleReports { lag_ms: 5_000 }],
            Fault::Burst => vec![TraceFault::Burst { at_ms: start / 2 }],
            Fault::LeaderDeath => vec![TraceFault::LeaderDeath {
                at_ms: mid,
                until_ms: mid + 1_500,
            }],
            Fault::StoreOutage => vec![TraceFault::StoreOutage {
                at_ms: start,
                until_ms: start + 20_000,
            }],
        }
    }

    fn some_engines(&mut self, endpoints: &[TraceEndpoint], count: usize) -> Vec<Name> {
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
            let shift = self.rng.random_range(0..2_000);
            let line = self.request(at_ms + shift);
            lines.push(line);
        }
    }
}

fn pick(rng: &mut ChaCha8Rng, shares: &[f64]) -> usize {
    let mut point: f64 = rng.random_range(0.0..shares.iter().sum());
    for (index, share) in shares.iter().enumerate() {
        if point < *share {
            return index;
        }
        point -= share;
    }
    shares.len() - 1
}

fn mix(value: u64) -> u64 {
    let mut hash = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
