//! Service after the loss of all instances, while the store, its entries or the machines are not as they were.
//!
//! Guards against instances that wait at their start for something that does not come: each case restarts all processes
//! of a group and bounds the time until callers are served again.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU16, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::StatusCode;
use serde_json::{Value, json};
use standins::{platform::Platform, runner::Runner};
use tokio::{
    sync::{Mutex, MutexGuard},
    task::JoinSet,
    time,
};

use crate::support::{config, entry, exchange, request};

const INSTANCES: usize = 6;
const SEEDS: usize = 3;
const ENDPOINTS: usize = 6;
const DOWNTIME: Duration = Duration::from_millis(1_200);
/// `recoverS` of the deployments: from this time after the return on, a quarter of the requests must be served.
const RECOVER: Duration = Duration::from_secs(12);
const MIN_SERVED: f64 = 0.25;
/// Requests are counted in spans of this length.
const SPAN: Duration = Duration::from_millis(500);
/// Spans in a row with enough served requests after which service is back.
const STEADY_SPANS: usize = 4;
const CALL_INTERVAL: Duration = Duration::from_millis(50);
const PATHS: [&str; 4] = ["/often/w", "/once/w", "/fixed/stream", "/resume/stream"];
/// Kind of the product's own objects.
const OWN_KIND: &str = "ryevalve";

static NEXT: AtomicU16 = AtomicU16::new(1);
/// One group runs at a time: the processes of several would slow other tests down.
static TURN: Mutex<()> = Mutex::const_new(());

/// When requests were sent, and whether they were served.
type Answered = Arc<std::sync::Mutex<Vec<(Duration, bool)>>>;

struct Group {
    _turn: MutexGuard<'static, ()>,
    platform: Platform,
    runners: Vec<Runner>,
    processes: Vec<Option<Child>>,
    dir: PathBuf,
    net: String,
}

impl Group {
    /// Starts a group, and waits until it serves and has written its state to the store.
    async fn start() -> Self {
        let turn = TURN.lock().await;
        let platform = Platform::start().await;
        let mut content = config(3, &["key-of-the-tests"]);
        content["tenants"][0]["ratePerS"] = json!(100_000);
        content["tenants"][0]["burst"] = json!(100_000);
        platform.set("config", "main", content);
        let mut runners = Vec::new();
        for index in 0..ENDPOINTS {
            let id = format!("i-{index}");
            let runner = Runner::start(&id).await;
            runner.pace(Duration::from_millis(5));
            platform.set("servers", &id, entry_of(&runner));
            runners.push(runner);
        }
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let dir = std::env::temp_dir().join(format!("ryevalve-recovery-{process}-{number}"));
        fs::create_dir_all(&dir).unwrap();
        let mut group = Self {
            _turn: turn,
            platform,
            runners,
            processes: (0..INSTANCES).map(|_| None).collect(),
            dir,
            net: format!("127.{}.{}", 90 + number, process % 250 + 1),
        };
        for instance in 0..INSTANCES {
            group.start_instance(instance, true);
        }
        let served = group.time_to_service().await;
        served.expect("the group to serve at first");
        group
    }

    fn ip(&self, instance: usize) -> String {
        format!("{}.{}", self.net, instance + 1)
    }

    fn start_instance(&mut self, instance: usize, is_first_start: bool) {
        let seeds: Vec<String> = (0..SEEDS).map(|s| format!("{}:8229", self.ip(s))).collect();
        let (own, store) = (self.ip(instance), self.platform.addr());
        let text = format!(
            r#"
nodeName = "edge-{instance}"
zone = "hall"
region = "city"
internalPorts = [7600, 7615]
seeds = {seeds:?}
bootstrap = {is_first_start}
[listen]
frontend = "{own}:8221"
ready = "{own}:8224"
control = "{own}:8229"
[limits]
memoryMb = 110
maxFds = 4100
[bounds]
graceS = 8
retryBudgetRatio = 0.2
budgetSlack = 50
quotaSlack = 20000
[platform]
address = "{store}"
"#
        );
        let settings = self.dir.join(format!("{instance}.toml"));
        fs::write(&settings, text).unwrap();
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("log-{instance}")));
        let process = Command::new(env!("CARGO_BIN_EXE_ryevalve"))
            .arg("edge")
            .env("RYEVALVE_CONFIG", &settings)
            .env("RYEVALVE_CLUSTER_KEY", "cluster-key-of-the-tests")
            .stdout(log.unwrap())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        self.processes[instance] = Some(process);
    }

    fn restart_all(&mut self) {
        for instance in 0..INSTANCES {
            self.start_instance(instance, false);
        }
    }

    fn kill_all(&mut self) {
        for process in &mut self.processes {
            if let Some(mut process) = process.take() {
                // An error means that the process has exited already.
                let _ = process.kill();
                let _ = process.wait();
            }
        }
    }

    async fn lose_all(&mut self) {
        self.kill_all();
        time::sleep(DOWNTIME).await;
    }

    /// Calls all running instances, and returns when enough of the requests are served for good; `None` if that is not
    /// in time.
    async fn time_to_service(&self) -> Option<Duration> {
        let began = Instant::now();
        let answered = Answered::default();
        let mut calling = JoinSet::new();
        for instance in 0..INSTANCES {
            if self.processes[instance].is_some() {
                let addr = format!("{}:8221", self.ip(instance)).parse().unwrap();
                calling.spawn(call(addr, instance, began, answered.clone()));
            }
        }
        while began.elapsed() < RECOVER + SPAN * STEADY_SPANS as u32 {
            time::sleep(SPAN / 5).await;
            let answered = answered.lock().expect("no holder panics");
            if let Some(at) = service_began(&answered, began.elapsed()) {
                return (at <= RECOVER).then_some(at);
            }
        }
        None
    }

    /// Asserts that the group serves in time.
    async fn check(&self, what: &str) {
        let took = self.time_to_service().await;
        println!("{what}: served after {took:?}");
        if took.is_none() {
            self.print_waits();
        }
        assert!(took.is_some(), "{what}: not served within {RECOVER:?}");
    }

    /// Prints how often the first instance logged each event and reason.
    fn print_waits(&self) {
        let text = fs::read_to_string(self.dir.join("log-0")).unwrap();
        let mut counts = std::collections::BTreeMap::new();
        for line in text.lines() {
            let line: Value = serde_json::from_str(line).unwrap_or_default();
            let key = format!("{} {}", line["event"], line["reason"]);
            *counts.entry(key).or_insert(0) += 1;
        }
        println!("{counts:#?}");
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.kill_all();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn entry_of(runner: &Runner) -> Value {
    let mut spec = entry(runner.addr, "ready");
    spec["capacity"] = json!(64);
    spec
}

/// Returns the first time since which enough requests of each span are served.
fn service_began(answered: &[(Duration, bool)], now: Duration) -> Option<Duration> {
    // The answers of the last span may not have come yet.
    let spans = (now.as_millis() / SPAN.as_millis()).saturating_sub(1) as usize;
    let is_served = |span: usize| {
        let from = SPAN * span as u32;
        let of_span = answered
            .iter()
            .filter(|(at, _)| (from..from + SPAN).contains(at));
        let (mut all, mut served) = (0, 0);
        for (_, is_ok) in of_span {
            all += 1;
            served += usize::from(*is_ok);
        }
        all > 0 && served as f64 >= MIN_SERVED * f64::from(all)
    };
    let steady = (0..spans).rev().take_while(|span| is_served(*span)).count();
    (steady >= STEADY_SPANS).then(|| SPAN * (spans - steady) as u32)
}

/// Calls an instance until aborted, and records when requests were sent and whether they were served.
async fn call(addr: SocketAddr, instance: usize, began: Instant, answered: Answered) {
    let mut interval = time::interval(CALL_INTERVAL);
    let mut calls = JoinSet::new();
    for number in 0_usize.. {
        interval.tick().await;
        let answered = answered.clone();
        let path = PATHS[number % PATHS.len()];
        let start = began.elapsed();
        calls.spawn(async move {
            let id = format!(
                "{instance:04x}{:012x}",
                start.as_micros() as u64 + number as u64
            );
            let got = exchange(addr, request(path, &id, &[])).await;
            let is_ok = got.is_some_and(|got| got.status == StatusCode::OK && got.is_whole);
            answered
                .lock()
                .expect("no holder panics")
                .push((start, is_ok));
        });
        while calls.try_join_next().is_some() {}
    }
}

/// Nothing else is wrong.
#[tokio::test(flavor = "multi_thread")]
async fn group_serves_after_a_loss_of_all() {
    let mut group = Group::start().await;
    group.lose_all().await;
    group.restart_all();
    group.check("loss of all").await;
}

/// The list of endpoints has several pages, one of which ends with a name that has a meaning in a URL.
#[tokio::test(flavor = "multi_thread")]
async fn group_serves_after_a_loss_of_all_beside_an_odd_name() {
    let mut group = Group::start().await;
    group.platform.fault(|f| f.page_items = Some(2));
    for name in ["&b", " ", "%zz", "#", "i-2+"] {
        let entry = json!({"state": "unknown"});
        group.platform.set("servers", name, entry);
    }
    group.lose_all().await;
    group.restart_all();
    group.check("odd names").await;
}

/// The store refuses, delays, ignores or loses calls from the loss on, for as long as it may be away.
#[tokio::test(flavor = "multi_thread")]
async fn group_serves_after_a_loss_of_all_beside_a_bad_store() {
    const AWAY: Duration = Duration::from_millis(4_500);
    let mut group = Group::start().await;
    for what in ["down", "silent", "slow", "refusing", "losing"] {
        group.platform.fault(|f| match what {
            "down" => f.down = true,
            "silent" => f.silent = true,
            "slow" => f.delay = Duration::from_millis(900),
            "refusing" => f.refuse_every_nth = 2,
            _ => f.lose_write_answers = 40,
        });
        group.lose_all().await;
        group.restart_all();
        time::sleep(AWAY).await;
        group.platform.fault(|f| *f = Default::default());
        group.check(what).await;
    }
}

/// The store goes on refusing half of the reads, or answers after most of a second.
#[tokio::test(flavor = "multi_thread")]
async fn group_serves_after_a_loss_of_all_while_the_store_stays_bad() {
    let mut group = Group::start().await;
    for what in ["slow", "refusing", "losing", "late"] {
        group.platform.fault(|f| {
            *f = Default::default();
            match what {
                "slow" => f.delay = Duration::from_millis(400),
                "refusing" => f.refuse_every_nth = 2,
                "losing" => f.lose_write_answers = u32::MAX,
                _ => {
                    f.lose_write_answers = u32::MAX;
                    f.lost_write_delay = Duration::from_secs(4);
                }
            }
        });
        group.lose_all().await;
        group.restart_all();
        group.check(what).await;
    }
}

/// The store comes back from a copy, or without its history.
#[tokio::test(flavor = "multi_thread")]
async fn group_serves_after_a_loss_of_all_and_a_return_of_the_store_from_a_copy() {
    let mut group = Group::start().await;
    group.platform.take_copy();
    group.lose_all().await;
    let lost = group.platform.return_to_copy();
    group.platform.write_again(lost);
    group.restart_all();
    group.check("copy").await;
    group.lose_all().await;
    group.platform.forget_history();
    group.restart_all();
    group.check("history").await;
    // Once more, while the processes start.
    group.platform.take_copy();
    group.lose_all().await;
    group.restart_all();
    time::sleep(Duration::from_millis(300)).await;
    group.platform.return_to_copy();
    group.platform.forget_history();
    group.check("copy at the start").await;
}

/// The machines return one after the other, seeds last, or some of them not at all.
#[tokio::test(flavor = "multi_thread")]
async fn group_serves_after_a_loss_of_all_whose_machines_return_in_turn() {
    let mut group = Group::start().await;
    group.lose_all().await;
    for instance in (0..INSTANCES).rev() {
        group.start_instance(instance, false);
        time::sleep(Duration::from_millis(1_500)).await;
    }
    group.check("in turn").await;
    for missing in [0..1, 0..SEEDS, 1..INSTANCES, SEEDS..INSTANCES] {
        group.lose_all().await;
        for instance in 0..INSTANCES {
            if !missing.contains(&instance) {
                group.start_instance(instance, false);
            }
        }
        group.check(&format!("without {missing:?}")).await;
    }
}

/// The product's own objects are gone, or were written over by another writer.
#[tokio::test(flavor = "multi_thread")]
async fn group_serves_after_a_loss_of_all_without_its_own_objects() {
    let mut group = Group::start().await;
    for content in [
        None,
        Some(Value::Null),
        Some(json!({"another": "writer"})),
        Some(json!({"base64": "no base64"})),
        Some(json!({"json": {"of": "another writer"}})),
    ] {
        group.lose_all().await;
        for key in ["service-versions", "instance-count", "blocked-requests"] {
            match &content {
                None => group.platform.remove(OWN_KIND, key),
                Some(content) => {
                    group.platform.set(OWN_KIND, key, content.clone());
                }
            }
        }
        group.restart_all();
        group.check(&format!("own objects {content:?}")).await;
    }
}

/// All endpoints are replaced by those of another version while no instance runs, and the configuration has changed.
#[tokio::test(flavor = "multi_thread")]
async fn group_serves_after_a_loss_of_all_and_a_release_meanwhile() {
    let mut group = Group::start().await;
    group.lose_all().await;
    let mut content = config(9, &["key-of-the-tests"]);
    let routes = content["routes"].as_array_mut().unwrap();
    for number in 0..350 {
        let mut route = routes[0].clone();
        route["name"] = json!(format!("more-{number}"));
        route["pathPrefix"] = json!(format!("/more-{number}/"));
        routes.push(route);
    }
    group.platform.set("config", "main", content);
    for index in 0..ENDPOINTS {
        group.platform.remove("servers", &format!("i-{index}"));
        let id = format!("j-{index}");
        let runner = Runner::start(&id).await;
        runner.pace(Duration::from_millis(5));
        let mut spec = entry_of(&runner);
        spec["version"] = json!("v2");
        group.platform.set("servers", &id, spec);
        group.runners.push(runner);
    }
    group.restart_all();
    group.check("release").await;
}
