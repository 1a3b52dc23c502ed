//! Randomized soak test: runs the real binary as several processes against faulty stand-ins and
//! proxies, under load on persistent connections, and sends signals to the processes.
//!
//! A run has a phase of overlapping faults, a quiet phase with nothing but silent endpoints and planned changes, and a
//! calm phase. The last two also check guarantees that hold only without faults. The checks use only what callers and
//! endpoints observe.

mod announcements;
mod bad_parts;
mod brittle;
mod callers;
mod checks;
mod configurations;
mod cuts;
mod data_centres;
mod faults;
mod limits;
mod long_bodies;
mod lost;
mod operations;
mod organisations;
mod plain_callers;
pub mod process;
mod quiet;
mod resumptions;
mod rollouts;
mod silence;
mod slow_callers;

use std::{
    collections::{HashMap, HashSet},
    path::PathBuf,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time;

use crate::{
    platform::Platform,
    proxy::Proxy,
    runner::Runner,
    soak::{
        callers::{Caller, Sent},
        process::{Host, Instance},
    },
    stream_check::Answer,
    streams::TakenUp,
};

/// Every instance applies a configuration or a drain within this time of the write to the store.
const CONFIG_PROPAGATION: Duration = Duration::from_secs(2);
/// A revoked key may be accepted for this long, even by an instance that is partitioned or frozen.
const KEY_REVOCATION: Duration = Duration::from_secs(5);
/// Allowance for requests that are being sent while a change takes effect.
const RACE_MARGIN: Duration = Duration::from_millis(500);
/// Time for all components to recover after the last fault.
const RECOVERY: Duration = Duration::from_secs(9);
/// Length of the calm phase.
const CALM: Duration = Duration::from_secs(7);
/// Time from the start of the calm phase to its planned changes.
const BEFORE_CHANGES: Duration = Duration::from_secs(2);

/// Number of the first slow caller, above those of all others.
const SLOW_CALLERS_FROM: usize = 1_000;

/// Parameters of a soak run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the ryevalve binary.
    pub binary: PathBuf,
    /// Seed of the random choice of faults and load.
    pub seed: u64,
    /// Length of the phase with faults.
    pub faults_for: Duration,
    /// Number of ryevalve processes.
    pub instances: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Number of callers.
    pub callers: usize,
    /// Whether some callers speak HTTP/1.0, whose answers end with the connection.
    pub http10: bool,
}

/// Result of a soak run.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests that got a complete successful response.
    pub served: usize,
    /// Number of injected faults.
    pub faults: usize,
    /// Streams that were taken up after the loss of all instances while their version served.
    pub taken_up_after_loss: TakenUp,
    /// Violated guarantees, each with the request or process that shows it.
    pub breaches: Vec<String>,
    /// Directory with the logs of the instances; only if a guarantee was violated.
    pub logs: Option<PathBuf>,
}

/// State shared by the tasks of a run.
pub struct World {
    platform: Platform,
    runners: Vec<Runner>,
    /// Endpoints of the version that is rolled out.
    target_runners: Vec<Runner>,
    runner_proxies: Vec<Proxy>,
    target_proxies: Vec<Proxy>,
    /// Endpoints of the second service.
    second_runners: Vec<Runner>,
    store_proxies: Vec<Proxy>,
    /// What runs at the address of each endpoint.
    endpoint_starts: Mutex<Vec<EndpointStart>>,
    /// Held while an endpoint is started again.
    restarting: tokio::sync::Mutex<()>,
    instances: Mutex<Vec<Instance>>,
    sent: Mutex<HashMap<String, Sent>>,
    state: Mutex<RunState>,
}

/// A start of an endpoint.
#[derive(Clone, Copy, Debug)]
struct EndpointStart {
    /// Number of starts before this one.
    number: usize,
    version: &'static str,
    at: Instant,
}

impl EndpointStart {
    fn new(number: usize, version: &'static str) -> Self {
        Self {
            number,
            version,
            at: Instant::now(),
        }
    }
}

/// Changes and disturbances made so far, which the checks take into account.
#[derive(Debug, Default)]
struct RunState {
    version: u64,
    /// What else varies in the configuration.
    variation: configurations::Variation,
    /// Time limits of the routes, each from its time on.
    time_limits: Vec<configurations::TimeLimits>,
    /// Factor on the limits of the organisations that exceed them.
    limit_factor: f64,
    /// Valid keys.
    keys: Vec<String>,
    /// Revoked keys and the time of revocation.
    revoked: Vec<(String, Instant)>,
    /// Endpoints set to draining in the calm phase, and when.
    draining: Vec<(usize, Instant)>,
    /// Instances stopped as planned in the calm phase, and when.
    stopped: Vec<(usize, Instant)>,
    /// The endpoint that announces a limit in the calm phase, and since when.
    limited: Option<(usize, Instant)>,
    /// The evacuation and the cold endpoint of the calm phase.
    data_centres: Option<data_centres::Calm>,
    /// The roll-out of the fault phase, once its state is final.
    rollout: Option<rollouts::Rollout>,
    /// Announcements of endpoints, with the period for which each was valid.
    announcements: Vec<announcements::Period>,
    /// Signals sent to instances.
    signals: Vec<process::SentSignal>,
    /// Periods in which endpoints were silent.
    silences: Vec<silence::Silence>,
    /// Whether the quiet phase is running.
    is_quiet: bool,
    /// The part of the quiet phase in which no request may be lost.
    quiet: Option<quiet::Period>,
    /// Instances that lost their state or were frozen, with the start and end.
    disturbed: Vec<(usize, Instant, Instant)>,
    /// Instances that were cut off from all endpoints.
    cuts: Vec<cuts::Cut>,
    /// Endpoints whose network path had a fault, with the start and end.
    impaired: Vec<(usize, Instant, Instant)>,
    /// Ids of requests that are not among those sent by the usual callers.
    other_ids: HashSet<String>,
    /// Starts of endpoints that have ended, and when the next ones began.
    ended_starts: Vec<(EndpointStart, Instant)>,
    /// When all instances were killed at once.
    lost_all_at: Option<Instant>,
    /// Streams that callers left.
    left: Vec<resumptions::LeftStream>,
    /// Streams of callers on plain sockets.
    plain_streams: Vec<(callers::Path, Vec<Answer>)>,
    /// Start of the calm phase.
    calm_since: Option<Instant>,
    breaches: Vec<String>,
}

impl RunState {
    /// Returns whether an instance has lost its state or was frozen a short while ago.
    fn is_disturbed(&self, instance: usize) -> bool {
        let now = Instant::now();
        let mut disturbed = self.disturbed.iter();
        disturbed.any(|(i, start, end)| {
            *i == instance && *start < now && now < *end + CONFIG_PROPAGATION
        })
    }

    /// Returns whether an instance may have ignored an endpoint's announcement between `from` and `until`, because it
    /// was disturbed or its network path to the endpoint had a fault.
    fn is_exempt(&self, instance: usize, endpoint: usize, from: Instant, until: Instant) -> bool {
        let overlaps = |start: Instant, end: Instant| start < until && end + RACE_MARGIN > from;
        let mut disturbed = self.disturbed.iter();
        let mut impaired = self.impaired.iter();
        let mut cuts = self.cuts.iter();
        disturbed.any(|(i, start, end)| *i == instance && overlaps(*start, *end))
            || impaired.any(|(e, start, end)| *e == endpoint && overlaps(*start, *end))
            || cuts.any(|c| c.instance == instance && overlaps(c.from, c.until))
    }
}

/// Runs a soak.
///
/// # Panics
/// Panics if the stand-ins or the binary cannot be started.
pub async fn run(plan: &Plan) -> Report {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let world = Arc::new(World::start(plan).await);
    world.wait_until_ready().await;
    operations::draw_framing(&world, plan);
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..plan.callers {
        let caller = Caller::with_any_key(number);
        callers.spawn(callers::run(world.clone(), caller, rng.random()));
    }
    organisations::spawn_callers(&world, plan, plan.callers, &mut callers);
    slow_callers::spawn_callers(&world, plan, plan.callers + SLOW_CALLERS_FROM, &mut callers);
    resumptions::spawn_callers(&world, plan, &mut callers);
    plain_callers::spawn_callers(&world, plan, &mut callers);
    long_bodies::spawn_callers(&world, plan, &mut callers);
    bad_parts::spawn(&world, plan, &mut callers);
    let supervisor = tokio::spawn(process::keep_running(world.clone()));
    let limit_task = tokio::spawn(limits::announce_at_random(world.clone(), plan.clone()));
    let announcement_task = tokio::spawn(announcements::announce_at_random(
        world.clone(),
        plan.clone(),
    ));
    let organisation_task = organisations::vary_limits(world.clone(), plan.clone());
    let organisation_task = tokio::spawn(organisation_task);
    let configuration_task = configurations::change_at_random(world.clone(), plan.clone());
    let configuration_task = tokio::spawn(configuration_task);
    let silence_task = tokio::spawn(silence::fall_silent_at_random(world.clone(), plan.clone()));
    let rollout_task = tokio::spawn(rollouts::order_at_random(world.clone(), plan.clone()));
    let operation_task = tokio::spawn(operations::run(world.clone(), plan.clone()));
    let break_task = tokio::spawn(faults::break_answers(world.clone(), plan.clone()));
    let faults = faults::inject(&world, plan, &mut rng).await;
    // These tasks end with the fault phase, the roll-out within the recovery; an error here means that one of them
    // panicked.
    let _ = limit_task.await;
    let _ = announcement_task.await;
    let _ = organisation_task.await;
    let _ = configuration_task.await;
    let _ = silence_task.await;
    let _ = operation_task.await;
    let _ = break_task.await;
    time::sleep(RECOVERY).await;
    let _ = rollout_task.await;
    quiet::run(&world, plan).await;
    world.run_calm_phase(&mut rng).await;
    callers.abort_all();
    while callers.join_next().await.is_some() {}
    // Waits to catch refused requests that are run later.
    time::sleep(Duration::from_secs(1)).await;
    supervisor.abort();
    let mut report = checks::check(&world);
    report.faults = faults;
    if !report.breaches.is_empty() {
        report.logs = Some(process::keep_logs(&world, plan.seed));
    }
    report
}

impl World {
    async fn start(plan: &Plan) -> Self {
        let platform = Platform::start().await;
        let mut runners = Vec::new();
        let mut runner_proxies = Vec::new();
        let mut endpoint_starts = Vec::new();
        for index in 0..plan.endpoints {
            let runner = Runner::start(&runner_id(index, 0)).await;
            let version = resumptions::first_version_of(index);
            runner.state_runs(version);
            endpoint_starts.push(EndpointStart::new(0, version));
            runner.pace(Duration::from_millis(15));
            runner_proxies.push(Proxy::start(runner.addr).await);
            runners.push(runner);
        }
        let mut target_runners = Vec::new();
        let mut target_proxies = Vec::new();
        for index in 0..rollouts::ENDPOINTS {
            let runner = Runner::start(&rollouts::target_id(index)).await;
            runner.state_runs(rollouts::TARGET_VERSION);
            runner.pace(Duration::from_millis(15));
            target_proxies.push(Proxy::start(runner.addr).await);
            target_runners.push(runner);
        }
        let second_runners = configurations::start_second_service(&platform).await;
        let mut store_proxies = Vec::new();
        let mut instances = Vec::new();
        let hosts = Host::all(plan.seed, plan.instances);
        for host in &hosts {
            let proxy = Proxy::start(platform.addr()).await;
            let instance = Instance::start(&plan.binary, host, &hosts, proxy.addr);
            store_proxies.push(proxy);
            instances.push(instance);
        }
        let world = Self {
            platform,
            runners,
            target_runners,
            runner_proxies,
            target_proxies,
            second_runners,
            store_proxies,
            endpoint_starts: Mutex::new(endpoint_starts),
            restarting: tokio::sync::Mutex::default(),
            instances: Mutex::new(instances),
            sent: Mutex::default(),
            state: Mutex::new(RunState {
                limit_factor: 1.0,
                ..RunState::default()
            }),
        };
        for index in 0..plan.endpoints {
            world.register_endpoint(index, "ready");
        }
        for _ in 0..3 {
            world.change_keys(|_| {});
        }
        world
    }

    fn run_state(&self) -> std::sync::MutexGuard<'_, RunState> {
        self.state.lock().expect("no holder panics")
    }

    /// Adds a key, applies `change` and writes the next version of the configuration to the store.
    fn change_keys(&self, change: impl FnOnce(&mut RunState)) {
        let mut run_state = self.run_state();
        run_state.version += 1 + run_state.version % 3;
        let key = format!("key-{}", run_state.version);
        run_state.keys.push(key);
        change(&mut run_state);
        let config = configurations::config(&run_state);
        run_state.record_time_limits();
        self.platform.set("config", "main", config);
    }

    /// Returns all endpoints, those of the second service last.
    fn all_runners(&self) -> impl Iterator<Item = &Runner> {
        let first = self.runners.iter().chain(&self.target_runners);
        first.chain(&self.second_runners)
    }

    fn register_endpoint(&self, index: usize, state: &str) {
        self.register_with_warmup(index, state, 0);
    }

    fn register_with_warmup(&self, index: usize, state: &str, cold_ms: u64) {
        let starts = self.endpoint_starts.lock().expect("no holder panics");
        let EndpointStart {
            number, version, ..
        } = starts[index];
        let spec = json!({"backend": "svc", "address": self.runner_proxies[index].addr,
            "zone": data_centres::of_endpoint(index), "version": version, "capacity": brittle::SLOTS,
            "state": state, "warmupLeftMs": cold_ms, "sequence": 1});
        self.platform
            .set("servers", &runner_id(index, number), spec);
    }

    /// Restarts an endpoint that has ended, under a new id, unless it was restarted meanwhile.
    async fn restart_endpoint(&self, index: usize) {
        self.restart_with_version(index, None).await;
    }

    /// As `restart_endpoint`, with other software if a version is given.
    async fn restart_with_version(&self, index: usize, version: Option<&'static str>) {
        let _restarting = self.restarting.lock().await;
        if !self.runners[index].has_ended() {
            return;
        }
        let (id, ended) = {
            let mut starts = self.endpoint_starts.lock().expect("no holder panics");
            let start = &mut starts[index];
            self.platform
                .remove("servers", &runner_id(index, start.number));
            let next = EndpointStart::new(start.number + 1, version.unwrap_or(start.version));
            let ended = (std::mem::replace(start, next), next.at);
            self.runners[index].state_runs(start.version);
            (runner_id(index, start.number), ended)
        };
        self.run_state().ended_starts.push(ended);
        self.runners[index].restart(&id).await;
        self.register_endpoint(index, "ready");
    }

    async fn wait_until_ready(&self) {
        let count = self.instances.lock().expect("no holder panics").len();
        for index in 0..count {
            while !process::is_ready(self, index).await {
                time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Runs the phase without faults: brittle endpoints, an endpoint's limit, a drain, a key revocation and a planned stop.
    async fn run_calm_phase(&self, rng: &mut ChaCha8Rng) {
        self.run_state().calm_since = Some(Instant::now());
        let drained = rng.random_range(0..self.runners.len());
        let endpoints = self.runners.len();
        brittle::announce(self);
        limits::announce_calm_limit(self, (drained + 1) % endpoints);
        if endpoints > 5 {
            // Enough other endpoints remain to serve the load.
            data_centres::start_calm(self, (drained + 2) % endpoints, (drained + 3) % endpoints);
        }
        time::sleep(BEFORE_CHANGES).await;
        brittle::shrink(self);
        self.register_endpoint(drained, "draining");
        self.run_state().draining.push((drained, Instant::now()));
        self.change_keys(|run_state| {
            let key = run_state.keys.remove(0);
            run_state.revoked.push((key, Instant::now()));
        });
        let count = self.instances.lock().expect("no holder panics").len();
        let stopped = rng.random_range(0..count);
        self.run_state().stopped.push((stopped, Instant::now()));
        process::signal(self, stopped, "TERM");
        let lasts = CALM - BEFORE_CHANGES;
        tokio::join!(time::sleep(lasts), cuts::cut_in_calm(self, rng));
    }
}

fn runner_id(index: usize, start: usize) -> String {
    format!("i-soak{index}-{start}")
}
