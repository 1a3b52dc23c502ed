//! All instances of a group are killed at once and started again under load.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::Duration,
};

use hyper::StatusCode;
use serde_json::{Value, json};
use standins::{platform::Platform, runner::Runner};
use tokio::{task::JoinHandle, time};

use crate::support::{config, entry, exchange, request};

const INSTANCES: usize = 16;
const SEEDS: usize = 3;
/// How long all instances are down.
const DOWNTIME: Duration = Duration::from_millis(1_500);
/// The instances start this long after each other, the seeds last.
const START_INTERVAL: Duration = Duration::from_millis(3);
/// Each caller sends a request this often.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the answered list of endpoints to the first answered request with a limit. It counts from the list of the
/// last instance, as it takes a busy machine longer than this to start all processes.
const MAX_FIRST_ANSWER_MS: i64 = 200;

/// A group of instances, each a separate process, with their store and endpoints.
struct Group {
    platform: Platform,
    /// They serve until they are dropped.
    _runners: Vec<Runner>,
    processes: Vec<Child>,
    dir: PathBuf,
    starts: usize,
}

impl Group {
    async fn start() -> Self {
        let platform = Platform::start().await;
        let mut content = config(3, &["key-of-the-tests"]);
        content["tenants"][0]["ratePerS"] = json!(100_000);
        content["tenants"][0]["burst"] = json!(100_000);
        platform.set("config", "main", content);
        let mut runners = Vec::new();
        for index in 0..4 {
            let id = format!("i-{index}");
            let runner = Runner::start(&id).await;
            platform.set("servers", &id, entry(runner.addr, "ready"));
            runners.push(runner);
        }
        let dir = std::env::temp_dir().join(format!("ryevalve-loss-{}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        let mut group = Self {
            platform,
            _runners: runners,
            processes: Vec::new(),
            dir,
            starts: 0,
        };
        group.start_all().await;
        group
    }

    fn log(&self, instance: usize) -> PathBuf {
        self.dir.join(format!("log-{}-{instance}", self.starts))
    }

    /// Starts all instances; after the first time they know that others ran before.
    async fn start_all(&mut self) {
        let is_first_start = self.starts == 0;
        self.starts += 1;
        for instance in (0..INSTANCES).rev() {
            time::sleep(START_INTERVAL).await;
            let settings = self.dir.join(format!("{instance}.toml"));
            let text = settings_text(instance, self.platform.addr(), is_first_start);
            fs::write(&settings, text).unwrap();
            let process = start_process(&settings, &self.log(instance));
            self.processes.push(process);
        }
    }

    fn kill_all(&mut self) {
        for mut process in self.processes.drain(..) {
            // An error means that the process has exited already.
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Returns the complete lines that an instance logged since the last start.
    fn lines_of(&self, instance: usize) -> Vec<Value> {
        let text = fs::read_to_string(self.log(instance)).unwrap();
        let lines = text.lines().filter_map(|l| serde_json::from_str(l).ok());
        lines.collect()
    }

    /// Returns when instances logged an event, by time.
    fn times_ms(&self, event: &str) -> Vec<u64> {
        let lines = (0..INSTANCES).flat_map(|instance| self.lines_of(instance));
        let lines = lines.filter(|l| l["event"] == event);
        let mut times: Vec<u64> = lines.filter_map(|l| l["at"].as_u64()).collect();
        times.sort_unstable();
        times
    }

    /// Returns when each instance got its first list of endpoints, by time.
    fn first_lists_ms(&self) -> Vec<u64> {
        let first = |instance| {
            let mut lines = self.lines_of(instance).into_iter();
            let line = lines.find(|l| l["event"] == "endpoint_changed");
            line.and_then(|l| l["at"].as_u64()).expect("a list")
        };
        let mut times: Vec<u64> = (0..INSTANCES).map(first).collect();
        times.sort_unstable();
        times
    }

    async fn until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        for _ in 0..1_500 {
            if holds(self) {
                return;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        panic!("not in time: {what}");
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.kill_all();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn start_process(settings: &Path, log: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_ryevalve"))
        .arg("edge")
        .env("RYEVALVE_CONFIG", settings)
        .env("RYEVALVE_CLUSTER_KEY", "cluster-key-of-the-tests")
        .stdout(fs::File::create(log).unwrap())
        .stderr(Stdio::inherit())
        .spawn()
        .unwrap()
}

fn ip(instance: usize) -> String {
    format!("127.78.{}.{}", std::process::id() % 250 + 1, instance + 1)
}

fn settings_text(instance: usize, store: SocketAddr, is_first_start: bool) -> String {
    let own = ip(instance);
    let seeds: Vec<String> = (0..SEEDS).map(|s| format!("{}:8229", ip(s))).collect();
    format!(
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
    )
}

/// Calls one instance until aborted, and records when requests were answered and how.
async fn call(instance: usize, answered: Arc<Mutex<Vec<(u64, StatusCode)>>>) {
    let addr: SocketAddr = format!("{}:8221", ip(instance)).parse().unwrap();
    let mut interval = time::interval(CALL_INTERVAL);
    for number in 0.. {
        interval.tick().await;
        let answered = answered.clone();
        tokio::spawn(async move {
            let id = format!("{instance:04x}{number:012x}");
            if let Some(response) = exchange(addr, request("/often/w", &id, &[])).await {
                let answer = (unix_ms(), response.status);
                answered.lock().unwrap().push(answer);
            }
        });
    }
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH).unwrap();
    since.as_millis() as u64
}

/// Guards against refusing every request with a limit until the last instance has been met, a second after the start.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_limit_are_answered_soon_after_the_loss_of_all() {
    let mut group = Group::start().await;
    let is_counted = |group: &Group| !group.times_ms("instance_count_written").is_empty();
    group
        .until("the stored number of instances", is_counted)
        .await;
    group.kill_all();
    time::sleep(DOWNTIME).await;
    let answered = Arc::new(Mutex::new(Vec::new()));
    group.start_all().await;
    let callers: Vec<JoinHandle<()>> = (0..INSTANCES)
        .map(|instance| tokio::spawn(call(instance, answered.clone())))
        .collect();
    let all_lease = |group: &Group| group.times_ms("quota_leases_begun").len() == INSTANCES;
    group.until("the leases of all", all_lease).await;
    time::sleep(Duration::from_millis(500)).await;
    callers.iter().for_each(JoinHandle::abort);

    let answered = answered.lock().unwrap().clone();
    let first_answer = answered.iter().find(|(_, s)| *s == StatusCode::OK);
    let first_answer_ms = first_answer.expect("an answered request").0;
    let lists_ms = group.first_lists_ms();
    let last_list_ms = *lists_ms.last().expect("a list");
    let leases_ms = group.times_ms("quota_leases_begun");
    let since_last_list = |at_ms: u64| at_ms as i64 - last_list_ms as i64;
    println!(
        "after the last instance's list: first list {} ms, first answer {} ms, first and last lease {} and {} ms",
        since_last_list(lists_ms[0]),
        since_last_list(first_answer_ms),
        since_last_list(leases_ms[0]),
        since_last_list(leases_ms[INSTANCES - 1]),
    );
    for instance in 0..INSTANCES {
        let lines = group.lines_of(instance);
        let at = |event: &str| {
            let line = lines.iter().find(|l| l["event"] == event);
            line.and_then(|l| l["at"].as_u64()).map(since_last_list)
        };
        let events = [
            "started",
            "endpoint_changed",
            "instance_count_read",
            "quota_leases_begun",
        ];
        println!("instance {instance}: {:?}", events.map(at));
    }
    assert!(since_last_list(first_answer_ms) <= MAX_FIRST_ANSWER_MS);
    assert!(since_last_list(leases_ms[INSTANCES - 1]) <= MAX_FIRST_ANSWER_MS);
}
