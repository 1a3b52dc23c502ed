//! Runs streams through instances while processes end, and checks each stream by what its caller received.
//!
//! Endpoints and instances are processes of their own, so that the kernel closes their sockets when they are killed.
//! Endpoints of two versions of their software serve side by side. Callers read a stream to its end, and take it up at
//! another instance if it breaks.

mod caller;
mod endpoint;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::{task::JoinSet, time};

pub use endpoint::{Framing, serve as serve_endpoint};

use crate::{
    platform::Platform,
    soak::process::{Host, Instance},
    stream_check::{self, Answer},
    streams::{caller::Call, endpoint::EndpointProcess},
};

/// Events of a stream.
pub const EVENTS: u64 = 20;
const KEY: &str = "key-of-the-streams";
/// The route whose streams may go on at another endpoint.
const RESUMABLE: &str = "resume";
const VERSIONS: [&str; 2] = ["v1", "v1.1"];
/// Time for new instances to learn of each other and of the endpoints.
const START_UP: Duration = Duration::from_secs(4);
/// Time in which calls end after the last disturbance.
const COOL_DOWN: Duration = Duration::from_secs(5);
/// Pause between two disturbances, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..900;
/// Time after which a killed process is started again.
const RESTART_AFTER: Duration = Duration::from_millis(400);
/// Answers of one stream: the first, and those of attempts to take it up.
const MAX_ANSWERS: usize = 4;
/// Pause before a stream is taken up, or a refused one is sent again.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Which processes are killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kills {
    None,
    Endpoints,
    Instances,
    Both,
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the ryevalve binary.
    pub binary: PathBuf,
    pub seed: u64,
    pub instances: usize,
    pub endpoints: usize,
    pub callers: usize,
    pub lasts: Duration,
    pub framing: Framing,
    pub kills: Kills,
    /// Whether callers speak HTTP/1.0, whose answers end with the connection.
    pub http10: bool,
}

/// What callers saw.
#[derive(Debug, Default)]
pub struct Report {
    pub streams: usize,
    /// Streams that arrived whole, over all their answers.
    pub whole: usize,
    /// Answers that broke visibly.
    pub broken: usize,
    /// Answers of which callers took up the rest.
    pub taken_up: usize,
    /// Processes killed.
    pub killed: usize,
    /// What is wrong with streams, by route.
    pub breaches: Vec<(&'static str, String)>,
}

impl Report {
    /// Adds the answers that a caller got for a stream.
    fn add(&mut self, route: &'static str, answers: &[Answer]) {
        self.streams += 1;
        self.whole += usize::from(answers.last().is_some_and(|a| a.is_complete));
        self.broken += answers.iter().filter(|a| !a.is_complete).count();
        self.taken_up += answers.iter().filter(|a| a.after > 0).count();
        if let Some(breach) = stream_check::find_breach(answers, EVENTS, route == RESUMABLE) {
            let id = &answers[0].request_id;
            self.breaches.push((route, format!("{breach} ({id})")));
        }
    }

    /// Returns the number of breaches of each kind.
    pub fn breach_counts(&self) -> BTreeMap<(&'static str, &str), usize> {
        let mut counts = BTreeMap::new();
        for (route, breach) in &self.breaches {
            let kind = breach.split(':').next().unwrap_or_default();
            *counts.entry((*route, kind)).or_default() += 1;
        }
        counts
    }
}

struct World {
    plan: Plan,
    platform: Platform,
    endpoints: Mutex<Vec<EndpointProcess>>,
    instances: Mutex<Vec<Instance>>,
    callers: Vec<SocketAddr>,
    report: Mutex<Report>,
    is_over: AtomicBool,
}

/// Runs streams as planned.
///
/// # Panics
/// Panics if a process cannot be started.
pub async fn run(plan: &Plan) -> Report {
    let world = Arc::new(World::start(plan).await);
    time::sleep(START_UP).await;
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut callers = JoinSet::new();
    for number in 0..plan.callers {
        callers.spawn(call_until_over(world.clone(), number, rng.random()));
    }
    world.disturb(&mut rng).await;
    world.is_over.store(true, Ordering::Relaxed);
    let _ = time::timeout(COOL_DOWN, async {
        while callers.join_next().await.is_some() {}
    })
    .await;
    callers.abort_all();
    std::mem::take(&mut *world.report())
}

impl World {
    async fn start(plan: &Plan) -> Self {
        let platform = Platform::start().await;
        platform.set("config", "main", config());
        let hosts = Host::all(plan.seed, plan.instances);
        let instances: Vec<_> = hosts
            .iter()
            .map(|host| Instance::start(&plan.binary, host, &hosts, platform.addr()))
            .collect();
        let mut endpoints = Vec::new();
        for index in 0..plan.endpoints {
            let version = VERSIONS[index % VERSIONS.len()];
            let endpoint = EndpointProcess::start(index, version, plan.framing).await;
            platform.set("servers", &endpoint.id, endpoint.entry());
            endpoints.push(endpoint);
        }
        Self {
            plan: plan.clone(),
            platform,
            callers: instances.iter().map(Instance::callers).collect(),
            endpoints: Mutex::new(endpoints),
            instances: Mutex::new(instances),
            report: Mutex::default(),
            is_over: AtomicBool::new(false),
        }
    }

    fn report(&self) -> MutexGuard<'_, Report> {
        self.report.lock().expect("no holder panics")
    }

    /// Kills processes and starts them again until the time is over.
    async fn disturb(&self, rng: &mut ChaCha8Rng) {
        let until = time::Instant::now() + self.plan.lasts;
        while time::Instant::now() < until {
            time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
            match self.plan.kills {
                Kills::None => {}
                Kills::Endpoints => self.kill_endpoint(rng).await,
                Kills::Instances => self.kill_instance(rng).await,
                Kills::Both if rng.random_bool(0.7) => self.kill_endpoint(rng).await,
                Kills::Both => self.kill_instance(rng).await,
            }
        }
    }

    /// Kills an endpoint, and starts another one at its address, of either version.
    async fn kill_endpoint(&self, rng: &mut ChaCha8Rng) {
        let index = rng.random_range(0..self.plan.endpoints);
        let version = VERSIONS[rng.random_range(0..VERSIONS.len())];
        let old = {
            let mut endpoints = self.endpoints.lock().expect("no holder panics");
            endpoints[index].kill();
            endpoints[index].id.clone()
        };
        self.report().killed += 1;
        time::sleep(RESTART_AFTER).await;
        self.platform.remove("servers", &old);
        let (id, entry) = {
            let mut endpoints = self.endpoints.lock().expect("no holder panics");
            endpoints[index].restart(version);
            (endpoints[index].id.clone(), endpoints[index].entry())
        };
        time::sleep(RESTART_AFTER).await;
        self.platform.set("servers", &id, entry);
    }

    async fn kill_instance(&self, rng: &mut ChaCha8Rng) {
        let index = rng.random_range(0..self.plan.instances);
        self.instances.lock().expect("no holder panics")[index].kill();
        self.report().killed += 1;
        time::sleep(RESTART_AFTER).await;
        self.instances.lock().expect("no holder panics")[index].restart();
    }
}

/// Reads streams until the run is over.
async fn call_until_over(world: Arc<World>, number: usize, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for count in 0.. {
        if world.is_over.load(Ordering::Relaxed) {
            return;
        }
        let route = match rng.random_bool(0.7) {
            true => RESUMABLE,
            false => "fixed",
        };
        let answers = read_stream(&world, &mut rng, route, &format!("s-{number}-{count}")).await;
        world.report().add(route, &answers);
        time::sleep(Duration::from_millis(rng.random_range(5..40))).await;
    }
}

/// Reads a stream, and takes it up at any instance as long as it breaks and may go on.
async fn read_stream(
    world: &World,
    rng: &mut ChaCha8Rng,
    route: &'static str,
    first_id: &str,
) -> Vec<Answer> {
    let mut answers: Vec<Answer> = Vec::new();
    for attempt in 0..MAX_ANSWERS {
        let after = stream_check::last_number(&answers);
        let call = Call {
            path: format!("/{route}/stream"),
            request_id: format!("{first_id}-{attempt}"),
            took_up: answers
                .first()
                .filter(|_| after > 0)
                .map(|a| a.request_id.clone()),
            after,
            http10: world.plan.http10,
        };
        let addr = world.callers[rng.random_range(0..world.callers.len())];
        let answer = caller::call(addr, &call).await;
        let is_over = answer.as_ref().is_some_and(|a| a.is_complete);
        answers.extend(answer);
        let has_begun = stream_check::last_number(&answers) > 0;
        if is_over || (has_begun && route != RESUMABLE) {
            break;
        }
        time::sleep(RETRY_AFTER).await;
    }
    answers
}

/// Returns a configuration with the routes `/resume/` and `/fixed/`.
fn config() -> Value {
    let route = |name: &str, attempts: u32, resume: bool| {
        json!({
            "name": name, "hostname": "h.example", "pathPrefix": format!("/{name}/"),
            "type": "streaming", "timeoutMs": 4_000, "targetLatencyMs": 500, "targetGapMs": 300,
            "priority": 0, "maxAttempts": attempts, "public": false, "streamResume": resume,
            "backend": "svc",
        })
    };
    json!({
        "version": 3,
        "routes": [route(RESUMABLE, 3, true), route("fixed", 1, false)],
        "backends": [{"name": "svc", "healthCheck": "/healthz", "maxConnections": 1_000}],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000},
        "tenants": [{"name": "org", "apiKeys": [KEY], "unit": "token_count",
            "uncachedTokens": 200, "ratePerS": 0, "burst": 0}],
    })
}
