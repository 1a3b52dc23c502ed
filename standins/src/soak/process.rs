//! Starts, signals and restarts the ryevalve processes.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use crate::soak::World;

const KEY: &str = "cluster-key-of-the-soak";
/// Name of an instance's log file.
const LOG: &str = "log.jsonl";
/// Names of the settings files of an instance's first start and of the later ones.
const SETTINGS: [&str; 2] = ["boot.toml", "later.toml"];
/// Delay before a restart, as on the platform.
const RESTART_AFTER: Duration = Duration::from_millis(300);
/// Upper bound on a freeze: the longest duration of a fault.
const LONGEST_FREEZE: Duration = Duration::from_secs(3);
/// Upper bound on a planned stop: `graceS` of the settings plus a margin.
const LONGEST_STOP: Duration = Duration::from_secs(9);

/// Number and loopback address of an instance; all instances use the same ports.
#[derive(Clone, Debug)]
pub struct Host {
    number: usize,
    ip: String,
}

impl Host {
    /// Returns the hosts of a run; the addresses depend on the process id and the seed to separate parallel runs.
    pub fn all(seed: u64, count: usize) -> Vec<Self> {
        let process = std::process::id();
        let net = (u64::from(process) + seed * 7) % 250 + 1;
        let ip = |number: usize| format!("127.{}.{net}.{}", 78 + seed % 100, number + 1);
        (0..count)
            .map(|number| Self {
                number,
                ip: ip(number),
            })
            .collect()
    }
}

/// A running instance; its process is killed on drop.
pub struct Instance {
    host: Host,
    binary: PathBuf,
    dir: PathBuf,
    child: Child,
    /// Whether it was sent a signal that ends it.
    pub may_end: bool,
    /// Whether it is frozen by `SIGSTOP`.
    pub is_frozen: bool,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Instance {
    /// Starts an instance that reaches the store at `store`.
    ///
    /// # Panics
    /// Panics if it cannot be started.
    pub fn start(binary: &Path, host: &Host, all: &[Host], store: SocketAddr) -> Self {
        let name = format!("ryevalve-soak-{}", host.ip);
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).expect("a directory");
        let seeds = all.iter().take(3).map(|p| format!("\"{}:8229\"", p.ip));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let settings = settings(host, &seeds, store);
        let later = settings.replace("bootstrap = true", "bootstrap = false");
        for (name, text) in SETTINGS.iter().zip([settings, later]) {
            fs::write(dir.join(name), text).expect("settings");
        }
        let child = Start::of(binary, &dir, host, SETTINGS[0]).spawn();
        Self {
            host: host.clone(),
            binary: binary.to_owned(),
            dir,
            child,
            may_end: false,
            is_frozen: false,
        }
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.address(8221)
    }

    /// Returns the address from which it connects to endpoints.
    pub fn source(&self) -> Ipv4Addr {
        self.host.ip.parse().expect("an address")
    }

    fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.host.ip)
            .parse()
            .expect("an address")
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.begin_kill();
        let _ = self.child.wait();
    }

    /// Kills the process without waiting for its end.
    pub fn begin_kill(&mut self) {
        // An error means that the process has already ended.
        let _ = self.child.kill();
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Asks the process to end as planned.
    pub fn terminate(&self) {
        send_signal(&self.child, "TERM");
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        let child = self.next_start().spawn();
        self.run_as(child);
    }

    /// Returns the next start of a process that has ended.
    fn next_start(&self) -> Start {
        Start::of(&self.binary, &self.dir, &self.host, SETTINGS[1])
    }

    /// Replaces the process, which has ended, by its next start.
    fn run_as(&mut self, child: Child) {
        self.child = child;
        self.may_end = false;
        self.is_frozen = false;
    }
}

/// A start of an instance's process.
struct Start {
    binary: PathBuf,
    dir: PathBuf,
    ip: String,
    settings: &'static str,
}

impl Start {
    fn of(binary: &Path, dir: &Path, host: &Host, settings: &'static str) -> Self {
        Self {
            binary: binary.to_owned(),
            dir: dir.to_owned(),
            ip: host.ip.clone(),
            settings,
        }
    }

    fn spawn(&self) -> Child {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(LOG))
            .expect("a log file");
        Command::new(&self.binary)
            .arg("edge")
            .env("RYEVALVE_CONFIG", self.dir.join(self.settings))
            .env("RYEVALVE_CLUSTER_KEY", KEY)
            .env("RYEVALVE_SOURCE_ADDRESS", &self.ip)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the program starts")
    }
}

fn settings(host: &Host, seeds: &str, store: SocketAddr) -> String {
    let Host { number, ip } = host;
    format!(
        r#"
nodeName = "edge-{number}"
zone = "hall-{}"
region = "city"
internalPorts = [7600, 7615]
seeds = [{seeds}]
bootstrap = true
[listen]
frontend = "{ip}:8221"
ready = "{ip}:8224"
control = "{ip}:8229"
[limits]
memoryMb = 110
maxFds = 4100
[bounds]
graceS = 8
revokeMs = 5000
retryBudgetRatio = 0.2
budgetSlack = 50
evacuateMs = 2000
warmupOverage = 1.5
warmupSlack = 5
exposureShare = 0.1
exposureSlack = 50
rollbackMs = 5000
[platform]
address = "{store}"
"#,
        number % 2
    )
}

/// Returns for how long a signal disturbs a process by loss of state or a freeze; `None` if it does neither.
fn disturbance_duration(signal: &str) -> Option<Duration> {
    match signal {
        "KILL" | "CONT" => Some(Duration::ZERO),
        "STOP" => Some(LONGEST_FREEZE),
        // The process ends within this time and is restarted.
        "TERM" => Some(LONGEST_STOP),
        _ => None,
    }
}

/// Signal that was sent to an instance.
#[derive(Clone, Copy, Debug)]
pub struct SentSignal {
    pub instance: usize,
    pub name: &'static str,
    pub at: Instant,
}

/// Sends a signal to an instance's process, if it runs.
pub fn signal(world: &World, index: usize, name: &'static str) {
    let mut instances = world.instances.lock().expect("no holder panics");
    let instance = &mut instances[index];
    if instance.has_ended() {
        return;
    }
    let now = Instant::now();
    world.run_state().signals.push(SentSignal {
        instance: index,
        name,
        at: now,
    });
    if let Some(duration) = disturbance_duration(name) {
        let disturbed = (index, now, now + duration);
        world.run_state().disturbed.push(disturbed);
    }
    match name {
        "KILL" | "TERM" => instance.may_end = true,
        "STOP" => instance.is_frozen = true,
        "CONT" => instance.is_frozen = false,
        _ => {}
    }
    send_signal(&instance.child, name);
}

/// Sends a signal to a process.
pub fn send_signal(process: &Child, name: &str) {
    send_signal_to(process.id(), name);
}

/// Sends a signal to the process with this id, which a child of this process has or had.
pub fn send_signal_to(pid: u32, name: &str) {
    // The process may end between a check and the signal.
    let _ = Command::new("kill")
        .args(["-s", name, &pid.to_string()])
        .status();
}

/// Copies the logs of all instances to a directory that outlives the run, and returns it.
///
/// # Panics
/// Panics if the directory cannot be created or a log cannot be copied.
pub fn keep_logs(world: &World, seed: u64) -> PathBuf {
    let name = format!("ryevalve-soak-failed-{seed}-{}", std::process::id());
    let kept = std::env::temp_dir().join(name);
    fs::create_dir_all(&kept).expect("a directory");
    let instances = world.instances.lock().expect("no holder panics");
    for instance in instances.iter() {
        let log = format!("edge-{}.jsonl", instance.host.number);
        fs::copy(instance.dir.join(LOG), kept.join(log)).expect("a copied log");
    }
    kept
}

/// Rewrites an instance's settings files.
pub fn rewrite_settings(world: &World, index: usize, slack: u32) {
    let dir = {
        let instances = world.instances.lock().expect("no holder panics");
        instances[index].dir.clone()
    };
    for settings in SETTINGS.map(|name| dir.join(name)) {
        let text = fs::read_to_string(&settings).expect("settings");
        let lines = text
            .lines()
            .map(|line| match line.starts_with("budgetSlack") {
                true => format!("budgetSlack = {slack}"),
                false => line.to_owned(),
            });
        let text = lines.collect::<Vec<_>>().join("\n");
        fs::write(&settings, text).expect("settings");
    }
}

/// Restarts processes that have ended, as the platform does; an unexpected end counts as a breach.
pub async fn keep_running(world: Arc<World>) {
    loop {
        time::sleep(RESTART_AFTER).await;
        for (index, start) in next_starts(&world) {
            let world = world.clone();
            // Callers need the lock, which is not held meanwhile: a start takes seconds on a busy machine.
            let starting = tokio::task::spawn_blocking(move || {
                let child = start.spawn();
                world.instances.lock().expect("no holder panics")[index].run_as(child);
            });
            starting.await.expect("the process starts");
        }
    }
}

/// Returns the next starts of processes that have ended, by index of the instance.
fn next_starts(world: &World) -> Vec<(usize, Start)> {
    let mut starts = Vec::new();
    let mut breaches = Vec::new();
    let mut instances = world.instances.lock().expect("no holder panics");
    for (index, instance) in instances.iter_mut().enumerate() {
        let Ok(Some(status)) = instance.child.try_wait() else {
            continue;
        };
        if !instance.may_end {
            let number = instance.host.number;
            breaches.push(format!("instance {number} ended by itself: {status}"));
        }
        starts.push((index, instance.next_start()));
    }
    world.run_state().breaches.append(&mut breaches);
    starts
}

/// Returns whether an instance's readiness probe succeeds.
pub async fn is_ready(world: &World, index: usize) -> bool {
    let addr = {
        let instances = world.instances.lock().expect("no holder panics");
        instances[index].address(8224)
    };
    let probe = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        let request = b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(request).await.ok()?;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.ok()?;
        response.starts_with(b"HTTP/1.1 200").then_some(())
    };
    let result = time::timeout(Duration::from_secs(1), probe).await;
    result.is_ok_and(|response| response.is_some())
}
