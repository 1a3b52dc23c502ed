//! A small deployment: instances of the gateway, started as the deploy file says, in a temporary folder.

use std::{
    fs::{self, File},
    io::{self, BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http::{self, Message};

pub const FRONTEND: u16 = 8221;
const READY: u16 = 8224;
const CONTROL: u16 = 8229;

/// What is sent, answered and run, with the milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            started: Instant::now(),
        })
    }

    pub fn note(&self, line: &str) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>6} ms  {line}");
    }
}

/// Returns a number that differs between runs.
pub fn run_number() -> u32 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.subsec_nanos() ^ std::process::id().rotate_left(13)
}

pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

pub struct Site {
    net: [u8; 2],
    folder: PathBuf,
    program: PathBuf,
    store: SocketAddr,
    seeds: Vec<usize>,
    running: Mutex<Vec<(usize, Child)>>,
}

/// Returns an address of the site's network.
pub fn address(net: [u8; 2], host: u8) -> IpAddr {
    Ipv4Addr::new(127, net[0], net[1], host).into()
}

pub fn network() -> [u8; 2] {
    let number = run_number();
    [20 + (number % 200) as u8, 1 + (number / 200 % 250) as u8]
}

impl Site {
    pub fn new(net: [u8; 2], store: SocketAddr, seeds: Vec<usize>) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), net[1]));
        fs::create_dir_all(&folder)?;
        let root = std::env::var("REVIEW_ROOT").unwrap_or_else(|_| ".".into());
        Ok(Self {
            net,
            folder,
            program: Path::new(&root).join("target/release/ryevalve"),
            store,
            seeds,
            running: Mutex::default(),
        })
    }

    pub fn ip(&self, index: usize) -> IpAddr {
        address(self.net, 10 + index as u8)
    }

    fn settings(&self, index: usize, is_first: bool) -> String {
        let ip = self.ip(index);
        let seeds = self
            .seeds
            .iter()
            .map(|s| format!("\"{}:{CONTROL}\"", self.ip(*s)));
        let seeds: Vec<String> = seeds.collect();
        let (seeds, store) = (seeds.join(","), self.store);
        format!(
            r#"nodeName = "edge-{index}"
role = "gateway"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "hall-a"
region = "broye"
internalPorts = [7600,7615]
seeds = [{seeds}]
bootstrap = {is_first}
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
hall-a = "broye"
[listen]
frontend = "{ip}:{FRONTEND}"
ready = "{ip}:{READY}"
control = "{ip}:{CONTROL}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 110
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
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

    /// Starts an instance.
    pub fn start(&self, index: usize, is_first: bool) -> io::Result<()> {
        let path = self.folder.join(format!("boot-{index}.toml"));
        fs::write(&path, self.settings(index, is_first))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("edge-{index}.log")))?;
        let child = Command::new(&self.program)
            .arg("edge")
            .env("RYEVALVE_CONFIG", &path)
            .env("RYEVALVE_CLUSTER_KEY", "one-key-for-all-instances")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.running.lock().unwrap().push((index, child));
        Ok(())
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let answer = call(
            (self.ip(index), READY).into(),
            "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n",
            500,
        );
        answer.is_ok_and(|a| a.status() == 200)
    }

    pub fn wait_until_ready(&self, indices: &[usize]) -> bool {
        let until = Instant::now() + Duration::from_secs(25);
        let mut in_a_row = 0;
        while Instant::now() < until {
            let all = indices.iter().all(|i| self.is_ready(*i));
            in_a_row = if all { in_a_row + 1 } else { 0 };
            if in_a_row >= 5 {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    pub fn frontend(&self, index: usize) -> SocketAddr {
        (self.ip(index), FRONTEND).into()
    }

    pub fn log(&self, index: usize) -> String {
        let path = self.folder.join(format!("edge-{index}.log"));
        fs::read_to_string(path).unwrap_or_default()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for (_, child) in self.running.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Sends a request on a new connection, and reads its answer.
pub fn call(addr: SocketAddr, request: &str, timeout_ms: u64) -> io::Result<Message> {
    let timeout = Duration::from_millis(timeout_ms);
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    match http::read_answer(&mut reader)? {
        Some(answer) => Ok(answer),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}
