//! A group of instances, each a separate process, with their store and endpoints.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use ryevalve::platform::edge::METRICS_PORT;
use serde_json::{Value, json};
use standins::{platform::Platform, runner::Runner};
use tokio::{
    sync::{Mutex, MutexGuard},
    time,
};

use crate::support::{config, entry, exchange, request};

/// The first instances of a group.
pub const SEEDS: usize = 3;
/// Slots of an endpoint, far above what it is sent.
const SLOTS: u32 = 64;

static NEXT: AtomicU16 = AtomicU16::new(1);
/// One group runs at a time: the processes of several would slow other tests down.
static TURN: Mutex<()> = Mutex::const_new(());

pub struct ProcessGroup {
    _turn: MutexGuard<'static, ()>,
    pub platform: Platform,
    pub runners: Vec<Runner>,
    processes: Vec<Option<Child>>,
    dir: PathBuf,
    net: String,
}

impl ProcessGroup {
    /// Starts instances and endpoints of version `v1`, for the first time.
    pub async fn start(instances: usize, endpoints: usize) -> Self {
        let turn = TURN.lock().await;
        let platform = Platform::start().await;
        let mut content = config(3, &["key-of-the-tests"]);
        content["tenants"][0]["ratePerS"] = json!(100_000);
        content["tenants"][0]["burst"] = json!(100_000);
        platform.set("config", "main", content);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let dir = std::env::temp_dir().join(format!("ryevalve-group-{process}-{number}"));
        fs::create_dir_all(&dir).unwrap();
        let mut group = Self {
            _turn: turn,
            platform,
            runners: Vec::new(),
            processes: (0..instances).map(|_| None).collect(),
            dir,
            net: format!("127.{}.{}", 90 + number, process % 250 + 1),
        };
        for _ in 0..endpoints {
            group.add_endpoint("v1").await;
        }
        for instance in 0..instances {
            group.start_instance(instance, true);
        }
        group
    }

    /// Starts one more endpoint, and enters it in the store.
    pub async fn add_endpoint(&mut self, version: &str) {
        let id = format!("i-{}", self.runners.len());
        let runner = Runner::start(&id).await;
        runner.pace(Duration::from_millis(5));
        let mut spec = entry(runner.addr, "ready");
        spec["capacity"] = SLOTS.into();
        spec["version"] = version.into();
        self.platform.set("servers", &id, spec);
        self.runners.push(runner);
    }

    /// Returns the number of instances, running or not.
    pub fn instances(&self) -> usize {
        self.processes.len()
    }

    pub fn is_running(&self, instance: usize) -> bool {
        self.processes[instance].is_some()
    }

    /// Returns the address at which an instance takes callers.
    pub fn callers(&self, instance: usize) -> SocketAddr {
        let addr = format!("{}:8221", self.ip(instance));
        addr.parse().expect("an address")
    }

    fn ip(&self, instance: usize) -> String {
        format!("{}.{}", self.net, instance + 1)
    }

    pub fn start_instance(&mut self, instance: usize, is_first_start: bool) {
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
            .open(self.log(instance));
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

    fn log(&self, instance: usize) -> PathBuf {
        self.dir.join(format!("log-{instance}"))
    }

    /// Returns the lines that an instance has logged.
    pub fn lines(&self, instance: usize) -> Vec<Value> {
        let text = fs::read_to_string(self.log(instance)).unwrap();
        let lines = text.lines().filter_map(|l| serde_json::from_str(l).ok());
        lines.collect()
    }

    /// Sends a signal to the process of an instance.
    pub fn signal(&self, instance: usize, name: &str) {
        let process = self.processes[instance].as_ref().expect("a process");
        let pid = process.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(status.unwrap().success());
    }

    /// Waits until the process of an instance has exited.
    pub async fn until_exited(&mut self, instance: usize) {
        while let Some(process) = &mut self.processes[instance] {
            if process.try_wait().unwrap().is_some() {
                self.processes[instance] = None;
            }
            time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Returns the value of a counter of an instance.
    pub async fn counter(&self, instance: usize, name: &str) -> u64 {
        let addr = format!("{}:{METRICS_PORT}", self.ip(instance));
        let addr = addr.parse().expect("an address");
        let metrics = exchange(addr, request("/metrics", "m-1", &[])).await;
        let metrics = metrics.expect("the metrics").text();
        let of_name = |line: &str| {
            line.split_once(name)?
                .1
                .strip_prefix("_total ")?
                .parse()
                .ok()
        };
        metrics.lines().find_map(of_name).expect("a counter")
    }

    pub fn kill_all(&mut self) {
        for process in &mut self.processes {
            if let Some(mut process) = process.take() {
                // An error means that the process has exited already.
                let _ = process.kill();
                let _ = process.wait();
            }
        }
    }
}

impl Drop for ProcessGroup {
    fn drop(&mut self) {
        self.kill_all();
        let _ = fs::remove_dir_all(&self.dir);
    }
}
