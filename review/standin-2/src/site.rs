//! A small deployment: a store, runners, instances of the program under review, and callers.

use std::{
    fs::{self, File},
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    runner::{Runner, Runs, Script},
    store::{Door, Store},
};

pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Writes what happens to `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, began: Instant::now() })
    }

    pub fn write(&self, text: &str) {
        self.write_at(Instant::now(), text);
    }

    pub fn write_at(&self, at: Instant, text: &str) {
        let ms = at.saturating_duration_since(self.began).as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>7} ms  {text}");
    }
}

/// A deployment, which ends with its processes when it is dropped.
pub struct Site {
    pub record: Record,
    pub store: Store,
    pub door: Door,
    pub runners: Vec<Runner>,
    pub runs: Runs,
    net: u32,
    dir: PathBuf,
    instances: Vec<Child>,
}

impl Site {
    /// Starts the store, with a configuration and runners of a service, and instances that are ready.
    pub fn start(record: Record, instances: usize, config: &str, services: &[(&str, Script)]) -> Result<Self, String> {
        // Runs beside each other use different loopback addresses.
        let first = std::process::id();
        let mut nets = (first..first + 200).map(|number| number % 200 + 20);
        let net = nets.find(|net| is_free(*net)).ok_or("no loopback addresses are free")?;
        let dir = std::env::temp_dir().join(format!("ryevalve-review-{}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let store = Store::default();
        store.put("config", "main", config);
        let door = store.open(&format!("127.{net}.0.1")).map_err(|e| e.to_string())?;
        let runs = Runs::default();
        let mut runners = Vec::new();
        for (index, (service, script)) in services.iter().enumerate() {
            let ip = format!("127.{net}.1.{}", index + 1);
            let runner = Runner::start(&format!("i-{index}"), &ip, &runs, script.clone());
            let runner = runner.map_err(|e| e.to_string())?;
            store.put("servers", &runner.id, &runner.entry(service, "ready"));
            runners.push(runner);
        }
        let mut site = Self { record, store, door, runners, runs, net, dir, instances: Vec::new() };
        for index in 0..instances {
            site.write_settings(index, instances, site.door.addr, true)?;
            let child = site.spawn(index)?;
            site.instances.push(child);
        }
        for index in 0..instances {
            http::wait_until("an instance to be ready", READY_TIMEOUT, || site.is_ready(index))?;
        }
        // All instances have met and know the number of instances.
        std::thread::sleep(Duration::from_secs(4));
        site.record.write("all instances are ready");
        Ok(site)
    }

    fn ip(&self, index: usize) -> String {
        format!("127.{}.2.{}", self.net, index + 1)
    }

    /// Writes the settings file of an instance, in one step.
    pub fn write_settings(&self, index: usize, instances: usize, store: SocketAddr, bootstrap: bool) -> Result<(), String> {
        let ip = self.ip(index);
        let seeds = (0..instances.min(3)).map(|i| format!("\"{}:8229\"", self.ip(i)));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let text = format!(
            r#"nodeName = "edge-hall-a-{index}"
role = "gateway"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "hall-a"
region = "almaty"
internalPorts = [7600,7615]
seeds = [{seeds}]
bootstrap = {bootstrap}
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]
[zones]
hall-a = "almaty"
[listen]
frontend = "{ip}:8221"
ready = "{ip}:8224"
control = "{ip}:8229"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 110
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevocation = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 140000
recoverS = 12
iterationMs = 120
retryAfterS = 10
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#
        );
        let new = self.dir.join(format!("new-{index}.toml"));
        fs::write(&new, text).map_err(|e| e.to_string())?;
        fs::rename(&new, self.settings(index)).map_err(|e| e.to_string())
    }

    fn settings(&self, index: usize) -> PathBuf {
        self.dir.join(format!("boot-{index}.toml"))
    }

    /// Starts an instance as the deploy file says.
    fn spawn(&self, index: usize) -> Result<Child, String> {
        let log = File::create(self.dir.join(format!("log-{index}.txt"))).map_err(|e| e.to_string())?;
        let child = Command::new("target/release/ryevalve")
            .arg("edge")
            .env("RYEVALVE_CONFIG", self.settings(index))
            .env("RYEVALVE_CLUSTER_KEY", "one-key-for-all-instances")
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn();
        child.map_err(|e| format!("target/release/ryevalve: {e}"))
    }

    /// Returns the process id of an instance.
    pub fn pid(&self, index: usize) -> u32 {
        self.instances[index].id()
    }

    /// Sends a signal to an instance.
    pub fn signal(&self, index: usize, name: &str) -> Result<(), String> {
        let pid = self.instances[index].id();
        self.record.write(&format!("SIG{name} to instance {index}"));
        let status = Command::new("sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
        match status {
            Ok(status) if status.success() => Ok(()),
            _ => Err(format!("no SIG{name} to {pid}")),
        }
    }

    /// Asks an instance whether it is ready, as the platform does.
    pub fn is_ready(&self, index: usize) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect((self.ip(index).as_str(), 8224))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            Ok(http::read_head(&mut BufReader::new(stream))?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Opens a channel of a caller to an instance.
    pub fn connect(&self, index: usize) -> io::Result<Caller> {
        Caller::connect(&self.ip(index))
    }

    /// Returns the address of an instance.
    pub fn address(&self, index: usize) -> String {
        self.ip(index)
    }

    /// Writes all runs to the record.
    pub fn record_runs(&self) {
        for run in self.runs.lock().unwrap().iter() {
            let text = format!("runner {} runs request {} ({})", run.runner, run.id, run.path);
            self.record.write_at(run.at, &text);
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            let _ = instance.kill();
            let _ = instance.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Returns whether no other run uses the addresses of this number.
fn is_free(net: u32) -> bool {
    [8221, 8224, 8229].iter().all(|port| TcpListener::bind((format!("127.{net}.2.1"), *port)).is_ok())
}

/// A caller's channel.
pub struct Caller {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// A request of a caller.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    /// Further headers, each with its line end.
    pub lines: &'a str,
    pub body: &'a str,
}

impl Caller {
    pub fn connect(ip: &str) -> io::Result<Self> {
        let stream = TcpStream::connect((ip, 8221))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn send(&mut self, call: &Call) -> io::Result<()> {
        let Call { method, path, id, deadline_ms, lines, body } = call;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
             Authorization: Token {KEY}\r\n{lines}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(head.as_bytes())
    }

    /// Reads the next answer, within the time.
    pub fn receive(&mut self, timeout: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(timeout))?;
        http::read_message(&mut self.reader)
    }

    /// Reads an answer to its end: that of its chunks, or else that of the channel. Returns what arrived, and whether it
    /// ended in order.
    pub fn receive_to_end(&mut self, timeout: Duration) -> io::Result<(Message, io::Result<()>)> {
        self.stream.set_read_timeout(Some(timeout))?;
        let mut answer = http::read_head(&mut self.reader)?;
        let end = http::read_body(&mut self.reader, &mut answer);
        Ok((answer, end))
    }
}
