//! Runs streams through instances while processes end, and checks each stream by what its caller received.
//!
//! Endpoints and instances are processes of their own, so that the kernel closes their sockets when they are killed.
//! Endpoints of two versions of their software serve side by side. Callers read a stream to its end, and take it up at
//! another instance if it breaks.

pub(crate) mod caller;
mod endpoint;
mod losses;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    str::FromStr,
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

pub use endpoint::{Framing, Service, serve as serve_endpoint};
pub use losses::TakenUp;

use crate::{
    broken_answer::BreakShares,
    platform::Platform,
    soak::process::{Host, Instance, send_signal_to},
    stream_check::{self, Answer, Expected},
    streams::{
        caller::{Habits, StreamCall, StreamRead},
        endpoint::EndpointProcess,
        losses::Losses,
    },
};

/// Events of a stream.
const EVENTS: u64 = 20;
/// Events of a stream beside losses of all instances; most streams then run for longer than it takes to begin one.
const LONG_EVENTS: u64 = 60;
/// Keys of two organisations.
const KEYS: [&str; 2] = ["key-of-the-streams", "another-key"];
/// The route whose streams may go on at another endpoint.
const RESUMABLE: &str = "resume";
const VERSIONS: [&str; 2] = ["v1", "v1.1"];
/// Time for new instances to learn of each other and of the endpoints.
const START_UP: Duration = Duration::from_secs(4);
/// Time in which calls end after the last disturbance.
const COOL_DOWN: Duration = Duration::from_secs(5);
/// Pause between two disturbances, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..900;
/// How long a caller is away that leaves a stream beside losses of all instances, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 0..1_500;
/// How long a process is frozen, in milliseconds.
const FREEZE_MS: std::ops::Range<u64> = 300..4_000;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which an ended process is started again.
const RESTART_AFTER: Duration = Duration::from_millis(400);

/// How processes end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ends {
    None,
    /// Endpoints are killed.
    Endpoints,
    /// Instances are killed.
    Instances,
    /// Endpoints and instances are killed.
    Both,
    /// Two releases of endpoints' software overlap; each endpoint says that it leaves, and ends.
    Releases,
    /// Instances are stopped as planned.
    Stops,
    /// All connections of an endpoint are closed, whatever is being sent on them; the endpoint lives on.
    Connections,
    /// Instances and endpoints are frozen for a while.
    Freezes,
    /// All of these.
    All,
    /// All instances are killed at once.
    Losses,
    /// As `Losses`; before each or meanwhile, another version replaces one of the two.
    Replacements,
}

impl FromStr for Ends {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        Ok(match text {
            "none" => Self::None,
            "endpoints" => Self::Endpoints,
            "instances" => Self::Instances,
            "both" => Self::Both,
            "releases" => Self::Releases,
            "stops" => Self::Stops,
            "connections" => Self::Connections,
            "freezes" => Self::Freezes,
            "all" => Self::All,
            "losses" => Self::Losses,
            "replacements" => Self::Replacements,
            _ => return Err(format!("{text}: not known")),
        })
    }
}

/// One end of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    EndpointKilled,
    InstanceKilled,
    EndpointReleased,
    InstanceStopped,
    ConnectionsClosed,
    InstanceFrozen,
    EndpointFrozen,
}

impl Ends {
    /// Returns the number of events of a stream.
    fn events(self) -> u64 {
        match self.loses_all() {
            true => LONG_EVENTS,
            false => EVENTS,
        }
    }

    /// Returns the range of the pause between two streams of a caller. Beside losses of all instances streams must not
    /// begin in step, or a loss may meet most of them just after they began.
    fn caller_pause_ms(self) -> std::ops::Range<u64> {
        match self.loses_all() {
            true => 5..900,
            false => 5..40,
        }
    }

    /// Returns whether all instances are lost at once.
    fn loses_all(self) -> bool {
        matches!(self, Self::Losses | Self::Replacements)
    }

    fn draw(self, rng: &mut ChaCha8Rng) -> Option<End> {
        let all = [
            End::EndpointKilled,
            End::InstanceKilled,
            End::EndpointReleased,
            End::InstanceStopped,
            End::ConnectionsClosed,
            End::InstanceFrozen,
            End::EndpointFrozen,
        ];
        Some(match self {
            Self::None | Self::Losses | Self::Replacements => return None,
            Self::Endpoints => End::EndpointKilled,
            Self::Instances => End::InstanceKilled,
            Self::Both if rng.random_bool(0.7) => End::EndpointKilled,
            Self::Both => End::InstanceKilled,
            Self::Releases => End::EndpointReleased,
            Self::Stops => End::InstanceStopped,
            Self::Connections => End::ConnectionsClosed,
            Self::Freezes if rng.random_bool(0.7) => End::InstanceFrozen,
            Self::Freezes => End::EndpointFrozen,
            Self::All => all[rng.random_range(0..all.len())],
        })
    }
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
    pub ends: Ends,
    /// Which answers of endpoints break off.
    pub breaks: BreakShares,
    /// Whether callers speak HTTP/1.0, whose answers end with the connection.
    pub http10: bool,
    /// Whether callers use ids again, and leave streams.
    pub shares_ids: bool,
    /// Time after which another endpoint is started at the address of one that has ended.
    pub restart_after: Duration,
}

impl Plan {
    /// Returns whether endpoints that live on may end an answer early which its connection alone delimits.
    fn may_end_unframed(&self) -> bool {
        let closes = self.breaks.closed > 0.0 || matches!(self.ends, Ends::Connections | Ends::All);
        let may_end = closes && matches!(self.framing, Framing::Close | Framing::Mixed);
        !self.http10 && (may_end || self.breaks.unframed > 0.0)
    }
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
    /// Processes that were killed or stopped.
    pub ended: usize,
    /// Streams that were taken up after losses of all instances while their version served.
    pub taken_up_after_loss: TakenUp,
    /// Streams of the route that may not resume which ended early with their connection, which alone delimited them.
    pub unproven: usize,
    /// What is wrong with streams, by route.
    pub breaches: Vec<(&'static str, String)>,
}

impl Report {
    /// Adds the answers that a caller got for a stream; returns whether they were right.
    fn add(
        &mut self,
        route: &'static str,
        answers: &[Answer],
        events: u64,
        may_end_unframed: bool,
    ) -> bool {
        self.streams += 1;
        self.whole += usize::from(answers.last().is_some_and(|a| a.is_complete));
        self.broken += answers.iter().filter(|a| !a.is_complete).count();
        self.taken_up += answers.iter().filter(|a| a.after > 0).count();
        let expected = Expected {
            events,
            padding_bytes: 0,
            may_resume: route == RESUMABLE,
            may_end_unframed: false,
        };
        let lenient = Expected {
            may_end_unframed,
            ..expected
        };
        let breach = stream_check::find_breach(answers, &lenient);
        let is_short = stream_check::find_breach(answers, &expected).is_some();
        self.unproven += usize::from(breach.is_none() && is_short);
        if let Some(breach) = &breach {
            let id = &answers[0].request_id;
            self.breaches.push((route, format!("{breach} ({id})")));
        }
        breach.is_none()
    }

    /// Returns whether each stream was right for its caller, and enough went on after losses.
    pub fn passes(&self) -> bool {
        self.breaches.is_empty() && self.taken_up_after_loss.holds()
    }

    /// Returns the number of streams that were joined from two versions.
    pub fn joined(&self) -> usize {
        let counts = self.breach_counts().into_iter();
        let joined = counts.filter(|((_, kind), _)| *kind == "two versions");
        joined.map(|(_, count)| count).sum()
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
    losses: Mutex<Losses>,
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
    match plan.ends.loses_all() {
        true => world.lose_instances(&mut rng).await,
        false => world.disturb(&mut rng).await,
    }
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
            let endpoint = EndpointProcess::start(index, version, plan).await;
            platform.set("servers", &endpoint.id, endpoint.entry("ready"));
            endpoints.push(endpoint);
        }
        Self {
            plan: plan.clone(),
            platform,
            callers: instances.iter().map(Instance::callers).collect(),
            endpoints: Mutex::new(endpoints),
            instances: Mutex::new(instances),
            report: Mutex::default(),
            losses: Mutex::default(),
            is_over: AtomicBool::new(false),
        }
    }

    fn report(&self) -> MutexGuard<'_, Report> {
        self.report.lock().expect("no holder panics")
    }

    fn losses(&self) -> MutexGuard<'_, Losses> {
        self.losses.lock().expect("no holder panics")
    }

    /// Adds a stream to the report.
    fn add(&self, route: &'static str, read: &StreamRead) {
        let owed = self.losses().age_if_owed(read);
        let mut report = self.report();
        let may_end_unframed = route != RESUMABLE && self.plan.may_end_unframed();
        let events = self.plan.ends.events();
        let is_right = report.add(route, &read.answers, events, may_end_unframed);
        if let Some(age) = owed.filter(|_| route == RESUMABLE) {
            report.taken_up_after_loss.add(read, is_right, age);
        }
    }

    /// Ends processes and starts them again until the time is over.
    async fn disturb(self: &Arc<Self>, rng: &mut ChaCha8Rng) {
        let until = time::Instant::now() + self.plan.lasts;
        let mut planned = JoinSet::new();
        while time::Instant::now() < until {
            time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
            let Some(end) = self.plan.ends.draw(rng) else {
                continue;
            };
            let endpoint = rng.random_range(0..self.plan.endpoints);
            let instance = rng.random_range(0..self.plan.instances);
            let version = VERSIONS[rng.random_range(0..VERSIONS.len())];
            match end {
                End::EndpointKilled => self.end_endpoint(endpoint, version, false).await,
                End::InstanceKilled => self.end_instance(instance, false).await,
                End::ConnectionsClosed => {
                    let endpoints = self.endpoints.lock().expect("no holder panics");
                    endpoints[endpoint].close_connections();
                }
                End::InstanceFrozen | End::EndpointFrozen => {
                    let pid = match end {
                        End::InstanceFrozen => {
                            self.instances.lock().expect("no holder panics")[instance].pid()
                        }
                        _ => self.endpoints.lock().expect("no holder panics")[endpoint].pid(),
                    };
                    let lasts = Duration::from_millis(rng.random_range(FREEZE_MS));
                    planned.spawn(freeze(pid, lasts));
                }
                // Planned ends take longer, and overlap.
                End::EndpointReleased => {
                    let world = self.clone();
                    planned.spawn(async move { world.end_endpoint(endpoint, version, true).await });
                }
                End::InstanceStopped => {
                    let world = self.clone();
                    planned.spawn(async move { world.end_instance(instance, true).await });
                }
            }
        }
        planned.join_all().await;
    }

    /// Kills an endpoint or lets it leave, and starts another one at its address, of this version.
    async fn end_endpoint(&self, index: usize, version: &str, is_planned: bool) {
        let old = {
            let mut endpoints = self.endpoints.lock().expect("no holder panics");
            let endpoint = &mut endpoints[index];
            if endpoint.has_ended() {
                return;
            }
            if is_planned {
                let entry = endpoint.entry("draining");
                self.platform.set("servers", &endpoint.id, entry);
                endpoint.terminate();
            } else {
                endpoint.kill();
            }
            endpoint.id.clone()
        };
        self.report().ended += 1;
        self.wait_for_end(|world| {
            let mut endpoints = world.endpoints.lock().expect("no holder panics");
            endpoints[index].has_ended()
        })
        .await;
        time::sleep(self.plan.restart_after).await;
        let (id, entry) = {
            let mut endpoints = self.endpoints.lock().expect("no holder panics");
            if endpoints[index].id != old {
                return;
            }
            self.platform.remove("servers", &old);
            endpoints[index].restart(version);
            (endpoints[index].id.clone(), endpoints[index].entry("ready"))
        };
        time::sleep(RESTART_AFTER).await;
        self.platform.set("servers", &id, entry);
    }

    /// Kills an instance or stops it as planned, and starts it again.
    async fn end_instance(&self, index: usize, is_planned: bool) {
        {
            let mut instances = self.instances.lock().expect("no holder panics");
            let instance = &mut instances[index];
            if instance.has_ended() {
                return;
            }
            match is_planned {
                true => instance.terminate(),
                false => instance.kill(),
            }
        }
        self.report().ended += 1;
        self.wait_for_end(|world| {
            let mut instances = world.instances.lock().expect("no holder panics");
            instances[index].has_ended()
        })
        .await;
        time::sleep(RESTART_AFTER).await;
        let mut instances = self.instances.lock().expect("no holder panics");
        if instances[index].has_ended() {
            instances[index].restart();
        }
    }

    async fn wait_for_end(&self, has_ended: impl Fn(&Self) -> bool) {
        while !has_ended(self) {
            time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Stops a process for a while.
async fn freeze(pid: u32, lasts: Duration) {
    send_signal_to(pid, "STOP");
    time::sleep(lasts).await;
    send_signal_to(pid, "CONT");
}

/// Reads streams until the run is over.
async fn call_until_over(world: Arc<World>, number: usize, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let shares_ids = world.plan.shares_ids;
    let pause_ms = world.plan.ends.caller_pause_ms();
    if world.plan.ends.loses_all() {
        time::sleep(Duration::from_millis(rng.random_range(pause_ms.clone()))).await;
    }
    for count in 0.. {
        if world.is_over.load(Ordering::Relaxed) {
            return;
        }
        let route = match rng.random_bool(0.7) {
            true => RESUMABLE,
            false => "fixed",
        };
        let call = StreamCall {
            path: format!("/{route}/stream"),
            first_id: match shares_ids {
                // Callers of two organisations use the same ids.
                true => format!("s-{}-{count}", number / KEYS.len()),
                false => format!("s-{number}-{count}"),
            },
            key: KEYS[number % KEYS.len()].to_owned(),
            may_resume: route == RESUMABLE,
            http10: world.plan.http10,
            habits: draw_habits(&world.plan, &mut rng),
        };
        let addrs = &world.callers;
        let read = caller::read_stream(&call, || addrs[rng.random_range(0..addrs.len())]).await;
        world.add(route, &read);
        time::sleep(Duration::from_millis(rng.random_range(pause_ms.clone()))).await;
    }
}

fn draw_habits(plan: &Plan, rng: &mut ChaCha8Rng) -> Habits {
    let mut habits = Habits::default();
    let events = plan.ends.events();
    if plan.shares_ids {
        habits.leaves_after = rng.random_bool(0.7).then(|| rng.random_range(1..events));
        habits.sends_twice = rng.random_bool(0.3);
        habits.omits_resumes = rng.random_bool(0.2);
    }
    if plan.ends.loses_all() {
        habits.is_patient = true;
        habits.leaves_after = rng.random_bool(0.3).then(|| rng.random_range(1..events));
        habits.away_for = Duration::from_millis(rng.random_range(AWAY_MS));
    }
    habits
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
        "tenants": KEYS.map(|key| json!({"name": format!("org of {key}"), "apiKeys": [key],
            "unit": "token_count", "uncachedTokens": 200, "ratePerS": 0, "burst": 0})),
    })
}
