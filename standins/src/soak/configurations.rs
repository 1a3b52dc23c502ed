//! Changes of the configuration, alone and in storms: routes that come and go, weights of services, time limits, limits of
//! connections, keys and the size of the configuration.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::time;

use crate::{
    platform::Platform,
    runner::Runner,
    soak::{
        CONFIG_PROPAGATION, Plan, RACE_MARGIN, RunState, World, callers::Path, data_centres,
        organisations,
    },
};

/// XORed into the seed, so that these draws do not change the faults of a given seed.
const RNG_STREAM: u64 = 0x0063_6f6e_6669_6700;
/// Time between two changes outside of storms, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..1_500;
/// Time between two changes of a storm, in milliseconds.
const STORM_PAUSE_MS: std::ops::Range<u64> = 200..400;
/// Length of a storm, in milliseconds.
const STORM_MS: std::ops::Range<u64> = 1_500..4_000;
/// One in this many changes begins a storm.
const CHANGES_PER_STORM: u32 = 4;
/// Time limits of routes during faults, in milliseconds.
const TIMEOUTS_MS: [u64; 5] = [1_500, 2_000, 3_000, 4_000, 6_000];
/// Time limits of routes in the quiet phase, above what an answer of a silent endpoint takes.
const QUIET_TIMEOUTS_MS: [u64; 3] = [3_000, 4_000, 6_000];
const IDLE_TIMEOUTS_MS: [u64; 4] = [500, 1_000, 15_000, 30_000];
const HEADER_TIMEOUTS_MS: [u64; 3] = [500, 1_000, 3_000];
/// Organisations and routes without requests that make a configuration big.
const BIG: usize = 800;
/// Maximum number of keys besides the usual ones.
const MAX_SIDE_KEYS: usize = 3;
/// Number of endpoints of the second service.
const SECOND_ENDPOINTS: usize = 2;
const SECOND_SERVICE: &str = "second";
/// Not a version of the first service, so that a stream of both shows.
const SECOND_VERSION: &str = "s1";

/// A route that is added and removed during a run.
#[derive(Debug)]
pub(super) struct SideRoute {
    name: &'static str,
    kind: &'static str,
    pub attempts: u32,
    pub may_resume: bool,
    pub path: &'static str,
}

impl SideRoute {
    pub(super) fn is_stream(&self) -> bool {
        self.kind == "streaming"
    }
}

/// Routes that are added and removed, one of each kind.
pub(super) const SIDE_ROUTES: [SideRoute; 4] = [
    SideRoute {
        name: "side-once",
        kind: "non_idempotent",
        attempts: 1,
        may_resume: false,
        path: "/side-once/x",
    },
    SideRoute {
        name: "side-again",
        kind: "idempotent",
        attempts: 2,
        may_resume: false,
        path: "/side-again/x",
    },
    SideRoute {
        name: "side-resume",
        kind: "streaming",
        attempts: 2,
        may_resume: true,
        path: "/side-resume/stream",
    },
    SideRoute {
        name: "side-fixed",
        kind: "streaming",
        attempts: 1,
        may_resume: false,
        path: "/side-fixed/stream",
    },
];

/// The part of the configuration that varies, besides the usual keys and the limits of organisations.
#[derive(Clone, Debug)]
pub(super) struct Variation {
    has_side_route: [bool; SIDE_ROUTES.len()],
    /// Share of the second service in the requests of the side routes.
    second_weight: f64,
    timeout_ms: u64,
    side_timeout_ms: u64,
    pub idle_timeout_ms: u64,
    header_timeout_ms: u64,
    /// Keys besides the usual ones.
    pub side_keys: Vec<String>,
    is_big: bool,
}

impl Default for Variation {
    fn default() -> Self {
        Self {
            has_side_route: [true; SIDE_ROUTES.len()],
            second_weight: 0.5,
            timeout_ms: 3_000,
            side_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
            header_timeout_ms: 3_000,
            side_keys: Vec::new(),
            is_big: false,
        }
    }
}

/// Time limits of the routes from a time on.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimeLimits {
    pub from: Instant,
    timeout_ms: u64,
    side_timeout_ms: u64,
    idle_timeout_ms: u64,
}

impl TimeLimits {
    fn of(&self, path: Path) -> Duration {
        Duration::from_millis(match path {
            Path::Side(_) => self.side_timeout_ms,
            _ => self.timeout_ms,
        })
    }
}

impl RunState {
    /// Records the time limits of the configuration that is about to be written.
    pub(super) fn record_time_limits(&mut self) {
        self.time_limits.push(TimeLimits {
            from: Instant::now(),
            timeout_ms: self.variation.timeout_ms,
            side_timeout_ms: self.variation.side_timeout_ms,
            idle_timeout_ms: self.variation.idle_timeout_ms,
        });
    }

    /// Returns the limits that an instance may have applied at a time between `from` and `until`.
    fn limits_between(&self, from: Instant, until: Instant) -> impl Iterator<Item = &TimeLimits> {
        let ends = self.time_limits.iter().skip(1).map(|limits| limits.from);
        let ends = ends.map(Some).chain([None]);
        let limits = self.time_limits.iter().zip(ends);
        let limits = limits.filter(move |(limits, end)| {
            let is_replaced = |end: Instant| end + CONFIG_PROPAGATION + RACE_MARGIN < from;
            limits.from < until && !end.is_some_and(is_replaced)
        });
        limits.map(|(limits, _)| limits)
    }

    /// Returns the shortest time limit that a request sent at this time may have got.
    pub(super) fn shortest_timeout(&self, path: Path, at: Instant) -> Duration {
        let limits = self.limits_between(at, at + RACE_MARGIN);
        limits.map(|l| l.of(path)).min().unwrap_or(Duration::MAX)
    }

    /// Returns the shortest idle limit that a connection may have had which became idle at this time. It keeps the limit of
    /// its start.
    pub(super) fn shortest_idle_timeout(&self, until: Instant) -> Duration {
        let limits = self.time_limits.iter().filter(|l| l.from < until);
        let shortest_ms = limits.map(|l| l.idle_timeout_ms).min();
        Duration::from_millis(shortest_ms.unwrap_or(u64::MAX))
    }
}

/// Changes the configuration at random during the fault phase.
pub(super) async fn change_at_random(world: Arc<World>, plan: Plan) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ RNG_STREAM);
    let until = time::Instant::now() + plan.faults_for;
    while time::Instant::now() < until {
        time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        if rng.random_range(0..CHANGES_PER_STORM) == 0 {
            let duration = Duration::from_millis(rng.random_range(STORM_MS));
            storm(&world, &mut rng, duration, &TIMEOUTS_MS).await;
        } else {
            change(&world, &mut rng, &TIMEOUTS_MS);
        }
    }
    reset(&world);
}

/// Changes the configuration every few hundred milliseconds in the quiet phase.
pub(super) async fn storm_in_quiet(world: &World, rng: &mut ChaCha8Rng, duration: Duration) {
    storm(world, rng, duration, &QUIET_TIMEOUTS_MS).await;
    reset(world);
}

async fn storm(world: &World, rng: &mut ChaCha8Rng, duration: Duration, timeouts_ms: &[u64]) {
    let until = time::Instant::now() + duration;
    while time::Instant::now() < until {
        change(world, rng, timeouts_ms);
        time::sleep(Duration::from_millis(rng.random_range(STORM_PAUSE_MS))).await;
    }
}

/// Restores the initial configuration, except for the keys.
pub(super) fn reset(world: &World) {
    world.change_keys(|run_state| {
        run_state.variation = Variation {
            side_keys: std::mem::take(&mut run_state.variation.side_keys),
            ..Variation::default()
        };
    });
}

/// Makes one change of a random kind.
fn change(world: &World, rng: &mut ChaCha8Rng, timeouts_ms: &[u64]) {
    world.change_keys(|run_state| {
        let key = format!("side-key-{}", run_state.version);
        let variation = &mut run_state.variation;
        match rng.random_range(0..9) {
            0 | 1 => {
                let route = rng.random_range(0..SIDE_ROUTES.len());
                variation.has_side_route[route] ^= true;
            }
            2 => variation.second_weight = rng.random_range(0.0..1.0),
            3 => variation.timeout_ms = pick(rng, timeouts_ms),
            4 => variation.side_timeout_ms = pick(rng, timeouts_ms),
            5 => variation.idle_timeout_ms = pick(rng, &IDLE_TIMEOUTS_MS),
            6 => variation.header_timeout_ms = pick(rng, &HEADER_TIMEOUTS_MS),
            7 => variation.is_big ^= true,
            _ => {
                variation.side_keys.push(key);
                if variation.side_keys.len() > MAX_SIDE_KEYS {
                    let key = variation.side_keys.remove(0);
                    run_state.revoked.push((key, Instant::now()));
                }
            }
        }
    });
}

fn pick(rng: &mut ChaCha8Rng, values: &[u64]) -> u64 {
    *values.choose(rng).expect("some values")
}

/// Starts and registers the endpoints of the second service.
pub(super) async fn start_second_service(platform: &Platform) -> Vec<Runner> {
    let mut runners = Vec::new();
    for index in 0..SECOND_ENDPOINTS {
        let runner = Runner::start(&second_id(index, 0)).await;
        runner.pace(Duration::from_millis(15));
        runner.state_runs(SECOND_VERSION);
        register_second(platform, runner.addr, index, 0);
        runners.push(runner);
    }
    runners
}

/// Returns the id of an endpoint of the second service after a number of earlier starts.
pub(super) fn second_id(index: usize, start: usize) -> String {
    format!("i-second{index}-{start}")
}

/// Registers an endpoint of the second service.
pub(super) fn register_second(platform: &Platform, addr: SocketAddr, index: usize, start: usize) {
    let spec = json!({"backend": SECOND_SERVICE, "address": addr, "zone": format!("site-s{index}"),
        "version": SECOND_VERSION, "capacity": 32, "state": "ready", "warmupLeftMs": 0, "sequence": 1});
    platform.set("servers", &second_id(index, start), spec);
}

/// Returns the configuration: the routes `/once/`, `/again/` and `/resume/`, the side routes that are present, and, if it is
/// big, many routes and organisations without requests. All routes require a key.
pub(super) fn config(run_state: &RunState) -> Value {
    let variation = &run_state.variation;
    let mut tenants = organisations::tenants(run_state.limit_factor);
    let keys = run_state.keys.iter().chain(&variation.side_keys);
    let keys: Vec<&String> = keys.collect();
    tenants.push(
        json!({"name": "org", "apiKeys": keys, "unit": "token_count",
        "uncachedTokens": 200, "ratePerS": 0, "burst": 0}),
    );
    let route = |name: &str, kind: &str, attempts: u32, resume: bool| {
        json!({
            "name": name, "hostname": "h.example", "pathPrefix": format!("/{name}/"),
            "type": kind, "timeoutMs": variation.timeout_ms, "targetLatencyMs": 500,
            "targetGapMs": 300, "priority": 0, "maxAttempts": attempts, "public": false,
            "streamResume": resume, "backend": "svc",
        })
    };
    let mut routes = vec![
        route("once", "non_idempotent", 1, false),
        route("again", "idempotent", 2, false),
        route("resume", "streaming", 2, true),
    ];
    for (side, is_present) in SIDE_ROUTES.iter().zip(variation.has_side_route) {
        let mut spec = route(side.name, side.kind, side.attempts, side.may_resume);
        spec["timeoutMs"] = json!(variation.side_timeout_ms);
        spec["trafficSplit"] = json!([
            {"backend": "svc", "weight": 1.0 - variation.second_weight},
            {"backend": SECOND_SERVICE, "weight": variation.second_weight},
        ]);
        if is_present {
            routes.push(spec);
        }
    }
    for number in 0..if variation.is_big { BIG } else { 0 } {
        let name = format!("unused-{number}");
        routes.push(route(&name, "idempotent", 2, false));
        tenants.push(json!({"name": name, "apiKeys": [name], "unit": "requests",
            "uncachedTokens": 0, "ratePerS": 0, "burst": 0}));
    }
    json!({
        "version": run_state.version,
        "routes": routes,
        "backends": [
            {"name": "svc", "healthCheck": "/healthz", "maxConnections": 1_000,
                "warmupS": data_centres::COLD_FOR_S, "warmupPerS": data_centres::COLD_PER_S},
            {"name": SECOND_SERVICE, "healthCheck": "/healthz", "maxConnections": 1_000},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 100_000,
            "headerTimeoutMs": variation.header_timeout_ms,
            "idleTimeoutMs": variation.idle_timeout_ms},
        "tenants": tenants,
    })
}
