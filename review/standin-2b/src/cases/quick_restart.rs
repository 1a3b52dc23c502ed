//! A runner crashes midway in an answer that lacks a length, and starts again: at once, or some time later where its
//! supervisor keeps its listening socket open, as service managers and servers with worker processes do.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader},
    net::{SocketAddr, TcpListener},
    os::fd::OwnedFd,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    runner::body_of,
    site::{self, Record, Site, unix_ms},
    store::Store,
};

/// Runners of each service.
const RUNNERS: u8 = 7;
/// Time until a runner starts again whose supervisor keeps its socket.
const HELD_RESTART: Duration = Duration::from_millis(100);
/// Time after which the entry goes of a start that has ended: three liveness reports.
const ENTRY_GOES: Duration = Duration::from_millis(3_600);
const REQUESTS: usize = 60;
/// Each request with a number that is a multiple of this crashes its runner.
const CRASH_EACH: usize = 10;
const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-pass","hostname":"app.example",
"pathPrefix":"/pass/","type":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":0,
"backend":"app","maxAttempts":1,"public":true},{"name":"r-held","hostname":"app.example",
"pathPrefix":"/held/","type":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":0,
"backend":"held","maxAttempts":1,"public":true}],"backends":[{"name":"app","healthCheck":"/healthz",
"maxConnections":100,"protocol":"h1","tls":false},{"name":"held","healthCheck":"/healthz",
"maxConnections":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,
"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}"#;

/// How runners start.
#[derive(Clone, Copy)]
pub struct Starts {
    /// Each start has an id of its own.
    has_new_id: bool,
    /// Time from a start until the first request is served.
    warmup_ms: u64,
}

/// A runner keeps its id.
pub const SAME_IDS: Starts = Starts {
    has_new_id: false,
    warmup_ms: 0,
};
/// Each start of a runner has a new id, and is slow at first.
pub const NEW_IDS: Starts = Starts {
    has_new_id: true,
    warmup_ms: 500,
};

/// A runner that is started again when it has ended.
struct Supervised {
    name: String,
    starts: Starts,
    service: &'static str,
    addr: SocketAddr,
    /// The listening socket, if the supervisor keeps it.
    socket: Option<TcpListener>,
    child: Mutex<Option<Child>>,
    ends: AtomicBool,
}

fn enter(store: &Store, runner: &Supervised, id: &str) {
    let (service, addr, born) = (runner.service, runner.addr, unix_ms());
    let warmup_ms = runner.starts.warmup_ms;
    let entry = format!(
        r#"{{"backend":"{service}","address":"{addr}","zone":"hall-a","version":"v1","capacity":6,"state":"ready","warmupLeftMs":{warmup_ms},"sequence":1,"born":{born}}}"#
    );
    store.put("servers", id, &entry);
}

fn supervise(
    store: &Arc<Store>,
    runner: &Supervised,
    record: &Record,
    crash: &dyn Fn(&str) -> bool,
) {
    let program = std::env::current_exe().expect("the program has a path");
    let mut start = 0;
    while !runner.ends.load(Ordering::Relaxed) {
        start += 1;
        let id = match runner.starts.has_new_id {
            true => format!("{}-{start}", runner.name),
            false => runner.name.clone(),
        };
        let held = runner
            .socket
            .as_ref()
            .map(|s| s.try_clone().expect("a socket can be cloned"));
        let addr = match held {
            Some(_) => "-".to_owned(),
            None => runner.addr.to_string(),
        };
        let child = Command::new(&program)
            .args(["runner", &addr, &id, &runner.starts.warmup_ms.to_string()])
            .stdin(held.map_or_else(Stdio::null, |socket| OwnedFd::from(socket).into()))
            .stdout(Stdio::piped())
            .spawn();
        let Ok(mut child) = child else { return };
        let output = child.stdout.take().expect("the output is piped");
        *runner.child.lock().unwrap() = Some(child);
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            if line == "started" {
                enter(store, runner, &id);
            }
            let crashes = line.strip_prefix("half ").is_some_and(crash);
            if crashes && let Some(child) = runner.child.lock().unwrap().as_mut() {
                let _ = child.kill();
            }
            record.note(&format!("runner {id}: {line}"));
            if crashes {
                record.note(&format!("runner {id}: killed"));
            }
        }
        if let Some(mut child) = runner.child.lock().unwrap().take() {
            let _ = child.wait();
        }
        if runner.starts.has_new_id {
            let store = store.clone();
            thread::spawn(move || {
                thread::sleep(ENTRY_GOES);
                store.remove("servers", &id);
            });
        }
        if runner.socket.is_some() {
            thread::sleep(HELD_RESTART);
        }
    }
}

fn runner(
    service: &'static str,
    number: u8,
    addr: SocketAddr,
    starts: Starts,
) -> io::Result<Arc<Supervised>> {
    let socket = match service {
        "held" => Some(TcpListener::bind(addr)?),
        _ => None,
    };
    Ok(Arc::new(Supervised {
        name: format!("i-{service}-{number}"),
        starts,
        service,
        addr,
        socket,
        child: Mutex::default(),
        ends: AtomicBool::new(false),
    }))
}

pub fn play(record: &Record, has_trouble: bool, starts: Starts) -> io::Result<bool> {
    let net = site::network();
    let store = Store::start(site::address(net, 2))?;
    store.put("config", "main", CONFIG);
    let mut runners = Vec::new();
    for number in 0..RUNNERS {
        let addr = |host: u8| SocketAddr::from((site::address(net, host + number), 8300));
        runners.push(runner("app", number, addr(100), starts)?);
        runners.push(runner("held", number, addr(150), starts)?);
    }
    let site = Site::new(net, store.addr, vec![0, 1, 2])?;
    let result = thread::scope(|scope| {
        let mut supervisors = Vec::new();
        for runner in &runners {
            let store = &store;
            let crash = move |id: &str| {
                let number = id.split('-').nth(1).and_then(|n| n.parse::<usize>().ok());
                has_trouble && number.is_some_and(|n| n > 20 && n % CRASH_EACH == 0)
            };
            supervisors.push(scope.spawn(move || supervise(store, runner, record, &crash)));
        }
        let result = send_requests(&site, record);
        for runner in &runners {
            runner.ends.store(true, Ordering::Relaxed);
        }
        // A runner may just be starting again.
        while supervisors.iter().any(|s| !s.is_finished()) {
            for runner in &runners {
                if let Some(child) = runner.child.lock().unwrap().as_mut() {
                    let _ = child.kill();
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        result
    });
    if std::env::var_os("REVIEW_LOG").is_some() {
        for index in 0..3 {
            println!("{}", site.log(index));
        }
    }
    result
}

fn send_requests(site: &Site, record: &Record) -> io::Result<bool> {
    for index in 0..3 {
        site.start(index, true)?;
    }
    if !site.wait_until_ready(&[0, 1, 2]) {
        return Err(io::Error::other("the instances are not ready"));
    }
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    let mut broken = HashMap::from([("app", 0), ("held", 0)]);
    for number in 1..=REQUESTS {
        for (path, service) in [("pass", "app"), ("held", "held")] {
            let id = format!("{path}-{number}");
            let request = format!(
                "POST /{path}/issue HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {id}\r\n\
                 Deadline-Ms: 1500\r\nContent-Length: 5\r\n\r\nissue"
            );
            let answer = match site::call(site.frontend(number % 3), &request, 3_000) {
                Ok(answer) => answer,
                Err(error) => {
                    record.note(&format!("caller {id}: {error}"));
                    continue;
                }
            };
            let status = answer.status();
            *statuses.entry(status).or_default() += 1;
            let whole = body_of(&id);
            let is_cut = status == 200 && answer.is_whole && answer.body != whole;
            *broken.entry(service).or_default() += usize::from(is_cut);
            record.note(&format!(
                "caller {id}: {status}, {} of {} bytes, ended in order: {}{}",
                answer.body.len(),
                whole.len(),
                answer.is_whole,
                if is_cut {
                    ", MIXED: it looks whole and is not"
                } else {
                    ""
                }
            ));
        }
        thread::sleep(Duration::from_millis(40));
    }
    record.note(&format!(
        "answers by status: {statuses:?}; cut ones that look whole, by service: {broken:?}"
    ));
    if statuses.get(&200).copied().unwrap_or(0) < REQUESTS {
        return Err(io::Error::other("too few requests were served"));
    }
    Ok(broken.values().all(|count| *count == 0))
}
