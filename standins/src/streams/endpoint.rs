//! Endpoints as processes of their own.

use std::{
    net::SocketAddr,
    process::{Child, Command, Stdio},
    str::FromStr,
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    time,
};

use crate::{
    broken_answer::{BreakShares, Breaks},
    runner::{Runner, RunnerFraming},
    soak::process::send_signal,
    streams::Plan,
};

/// Requests that an endpoint runs at a time.
const SLOTS: u32 = 16;
/// Time from the announcement that an endpoint leaves to its end.
const LEAVING_FOR: Duration = Duration::from_millis(700);
const EVENT_INTERVAL: Duration = Duration::from_millis(15);

/// How an endpoint delimits its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By chunks.
    Chunked,
    /// By a length.
    Length,
    /// By the end of the connection.
    Close,
    /// Either, by endpoint.
    Mixed,
}

impl FromStr for Framing {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "chunked" => Ok(Self::Chunked),
            "length" => Ok(Self::Length),
            "close" => Ok(Self::Close),
            "mixed" => Ok(Self::Mixed),
            _ => Err(format!("{text}: not chunked, length, close or mixed")),
        }
    }
}

impl Framing {
    fn of_endpoint(self, index: usize) -> Self {
        match self {
            // Endpoints of both versions have either.
            Self::Mixed if index % 4 < 2 => Self::Chunked,
            Self::Mixed => Self::Close,
            framing => framing,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Chunked => "chunked",
            Self::Length => "length",
            Self::Close => "close",
            Self::Mixed => "mixed",
        }
    }
}

/// How an endpoint serves.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// How it delimits its answers.
    pub framing: Framing,
    /// Events of a stream.
    pub events: u64,
    /// Which of its answers break off.
    pub breaks: BreakShares,
    /// Decides where they break.
    pub seed: u64,
}

/// Serves as an endpoint until the process is killed. After a SIGTERM it announces that it leaves, and ends; at a SIGUSR1
/// it closes its connections.
///
/// # Panics
/// Panics if the address cannot be bound.
pub async fn serve(addr: SocketAddr, id: &str, version: &str, service: Service) {
    let runner = Runner::start_at(addr, id).await;
    let Service {
        framing, events, ..
    } = service;
    runner.break_answers(Breaks::new(service.breaks, service.seed));
    runner.pace(EVENT_INTERVAL);
    runner.long_responses(events, 0);
    runner.state_runs(version);
    match framing {
        Framing::Length => runner.delimit_by(RunnerFraming::Length),
        Framing::Close => runner.delimit_by(RunnerFraming::Close),
        Framing::Chunked | Framing::Mixed => {}
    }
    let mut terminated = signal(SignalKind::terminate()).expect("a signal handler");
    let mut closing = signal(SignalKind::user_defined1()).expect("a signal handler");
    loop {
        tokio::select! {
            _ = terminated.recv() => break,
            _ = closing.recv() => runner.close_connections(),
        }
    }
    runner.announce_leaving(Some("1"));
    time::sleep(LEAVING_FOR).await;
}

/// An endpoint's process; it is killed on drop.
pub struct EndpointProcess {
    pub id: String,
    index: usize,
    starts: usize,
    addr: SocketAddr,
    pub version: String,
    service: Service,
    child: Child,
}

impl Drop for EndpointProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl EndpointProcess {
    /// Starts an endpoint on a free loopback port.
    ///
    /// # Panics
    /// Panics if there is none, or the process cannot be started.
    pub async fn start(index: usize, version: &str, plan: &Plan) -> Self {
        // Other sockets do not use this address, so the port stays free while nothing runs at it.
        let address = format!("127.1.{}.2:0", std::process::id() % 250);
        let listener = TcpListener::bind(address).await.expect("a port");
        let addr = listener.local_addr().expect("a bound address");
        drop(listener);
        let id = format!("i-{index}-0");
        let service = Service {
            framing: plan.framing.of_endpoint(index),
            events: plan.ends.events(),
            breaks: plan.breaks,
            seed: plan.seed.wrapping_mul(1_000) + index as u64,
        };
        Self {
            child: service.spawn(addr, &id, version),
            id,
            index,
            starts: 0,
            addr,
            version: version.to_owned(),
            service,
        }
    }

    /// Returns the entry of the endpoint in the store.
    pub fn entry(&self, state: &str) -> Value {
        json!({"backend": "svc", "address": self.addr, "zone": "hall-0", "version": self.version,
            "capacity": SLOTS, "state": state, "warmupLeftMs": 0, "sequence": 1})
    }

    /// Kills the process; the kernel closes its sockets.
    pub fn kill(&mut self) {
        // An error means that the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to leave and end.
    pub fn terminate(&self) {
        send_signal(&self.child, "TERM");
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Starts another endpoint at the address of this one, which has ended.
    pub fn restart(&mut self, version: &str) {
        self.starts += 1;
        self.id = format!("i-{}-{}", self.index, self.starts);
        self.version = version.to_owned();
        // The next start breaks its answers elsewhere.
        self.service.seed += 100;
        self.child = self.service.spawn(self.addr, &self.id, version);
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Lets the process close all its connections.
    pub fn close_connections(&self) {
        send_signal(&self.child, "USR1");
    }
}

impl Service {
    /// Starts a process that serves so.
    fn spawn(self, addr: SocketAddr, id: &str, version: &str) -> Child {
        let program = std::env::current_exe().expect("the path of this program");
        Command::new(program)
            .args(["endpoint", &addr.to_string(), id, version])
            .args(self.to_args())
            .stdin(Stdio::null())
            .spawn()
            .expect("the endpoint starts")
    }

    fn to_args(self) -> [String; 4] {
        let Self {
            framing,
            events,
            breaks,
            seed,
        } = self;
        [
            framing.as_str().to_owned(),
            events.to_string(),
            breaks.to_string(),
            seed.to_string(),
        ]
    }

    /// Parses the arguments of an endpoint's process.
    ///
    /// # Errors
    /// Names the argument that is wrong.
    pub fn from_args([framing, events, breaks, seed]: [&str; 4]) -> Result<Self, String> {
        let number = |text: &str| text.parse().map_err(|_| format!("{text}: not a number"));
        Ok(Self {
            framing: framing.parse()?,
            events: number(events)?,
            breaks: breaks.parse()?,
            seed: number(seed)?,
        })
    }
}
