//! Instances as the deploy file starts them, with settings like those of a small deployment.

use std::{
    fs::{self, File},
    io::{self, BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http;

const FRONTEND_PORT: u16 = 8221;
const READY_PORT: u16 = 8224;
const CONTROL_PORT: u16 = 8229;
/// As in `deploy/system.toml`.
const PROGRAM: &str = "target/release/ryevalve";
const CLUSTER_KEY: &str = "one-key-for-all-instances";

/// An instance; its process is killed on drop.
pub struct Instance {
    ip: Ipv4Addr,
    dir: PathBuf,
    settings: String,
    child: Option<Child>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns loopback addresses at which nothing listens on the ports of the instances.
pub fn free_addresses(count: u8) -> io::Result<Vec<Ipv4Addr>> {
    let first = (std::process::id() % 250) as u8;
    for offset in 0..=250 {
        let net = first.wrapping_add(offset) % 250 + 1;
        let ips: Vec<Ipv4Addr> = (1..=count).map(|n| Ipv4Addr::new(127, 93, net, n)).collect();
        let ports = [FRONTEND_PORT, READY_PORT, CONTROL_PORT, 7600, 7601, 9464];
        let mut addrs = ips.iter().flat_map(|ip| ports.map(|port| (*ip, port)));
        if addrs.all(|addr| TcpListener::bind(addr).is_ok()) {
            return Ok(ips);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

impl Instance {
    /// Starts an instance for the first time.
    pub fn start(number: usize, ips: &[Ipv4Addr], zone: &str, store: SocketAddr, dir: &Path) -> io::Result<Self> {
        let ip = ips[number];
        let dir = dir.join(format!("edge-{number}"));
        fs::create_dir_all(&dir)?;
        let seeds = ips.iter().take(3).map(|ip| format!("\"{ip}:{CONTROL_PORT}\""));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let mut instance = Self {
            settings: settings(number, ip, zone, &seeds, store),
            ip,
            dir,
            child: None,
        };
        instance.spawn(true)?;
        Ok(instance)
    }

    /// Starts the process again after it was killed.
    pub fn restart(&mut self) -> io::Result<()> {
        self.spawn(false)
    }

    fn spawn(&mut self, is_first_start: bool) -> io::Result<()> {
        let path = self.dir.join("boot.toml");
        fs::write(&path, format!("bootstrap = {is_first_start}\n{}", self.settings))?;
        let log = File::options().create(true).append(true).open(self.dir.join("log"))?;
        let mut command = Command::new(PROGRAM);
        command.arg("edge").env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command
            .env("RYEVALVE_CONFIG", &path)
            .env("RYEVALVE_CLUSTER_KEY", CLUSTER_KEY)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // An error means that the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the address for requesters.
    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), FRONTEND_PORT)
    }

    /// Returns whether the readiness question is answered with 200.
    pub fn is_ready(&self) -> bool {
        let addr = SocketAddr::new(IpAddr::V4(self.ip), READY_PORT);
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&addr, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let head = http::read_head(&mut BufReader::new(stream))?;
            Ok(head.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }
}

/// Waits until all instances are ready; returns false if that takes too long.
pub fn wait_until_ready(instances: &[Instance], timeout: Duration) -> bool {
    let until = Instant::now() + timeout;
    while !instances.iter().all(Instance::is_ready) {
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
    true
}

fn settings(number: usize, ip: Ipv4Addr, zone: &str, seeds: &str, store: SocketAddr) -> String {
    format!(
        r#"nodeName = "edge-{zone}-{number}"
role = "gateway"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "broye"
internalPorts = [7600,7615]
seeds = [{seeds}]
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]
[zones]
payerne-hall = "broye"
moudon-hall = "broye"
estavayer-hall = "broye"
lucens-hall = "broye"
[listen]
frontend = "{ip}:{FRONTEND_PORT}"
ready = "{ip}:{READY_PORT}"
control = "{ip}:{CONTROL_PORT}"
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
    )
}
