//! Requests with a part of their prompts that crashes the endpoints which begin to answer it, no two alike; the check is
//! that they reach hardly any endpoint once the faults are over.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http_body_util::Full;
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{net::TcpStream, task::JoinSet, time};

use crate::{
    proxy::{Mode, Proxy},
    runner::Runner,
    soak::{Plan, Report, World, rollouts},
};

/// XORed into the seed, so that these draws do not change the faults of a given seed.
const RNG_STREAM: u64 = 0x0062_6164;
/// Part of the body of every bad request.
const MARK: &str = "crashes what answers it";
/// Time until the first bad request, and between two of them.
const FROM: Duration = Duration::from_secs(2);
const PAUSE_MS: std::ops::Range<u64> = 100..500;
/// Time after which a crashed endpoint is started again. Endpoints that leave are started again sooner.
const DOWN_FOR: Duration = Duration::from_secs(1);
/// How often it is checked whether endpoints have crashed: an instance probes the address after 40 ms.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const TIMEOUT: Duration = Duration::from_secs(4);
/// Bad requests that may reach endpoints without faults.
const MAX_CALM: usize = 3;

// An instance that has just started learns of blocked parts within two seconds. Endpoints that crash in the calm phase
// stay down, so that none of these requests is sent to such an instance then.

/// Starts what sends the requests and what starts crashed endpoints again.
pub(super) fn spawn(world: &Arc<World>, plan: &Plan, tasks: &mut JoinSet<()>) {
    for runner in world.runners.iter().chain(&world.target_runners) {
        runner.crash_on(MARK.as_bytes());
    }
    let rng = ChaCha8Rng::seed_from_u64(plan.seed ^ RNG_STREAM);
    tasks.spawn(send_all(world.clone(), rng));
    tasks.spawn(restart_crashed(world.clone()));
}

async fn send_all(world: Arc<World>, mut rng: ChaCha8Rng) {
    time::sleep(FROM).await;
    let mut calls = JoinSet::new();
    for number in 0.. {
        time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let id = format!("bad-{number}");
        let (addr, key) = {
            let instances = world.instances.lock().expect("no holder panics");
            let index = rng.random_range(0..instances.len());
            let addr = instances[index].callers();
            let mut run_state = world.run_state();
            let is_disturbed = run_state.calm_since.is_some() && run_state.is_disturbed(index);
            if run_state.is_quiet || is_disturbed {
                continue;
            }
            run_state.other_ids.insert(id.clone());
            (addr, run_state.keys.last().cloned().unwrap_or_default())
        };
        let request = Request::post("/once/x")
            .header("host", "h.example")
            .header("request-id", &id)
            .header("deadline-ms", "3000")
            .header("authorization", format!("Token {key}"))
            .header("prefix-hash", format!("c0:10,bad0:10,{number:x}:5"))
            .body(Full::from(format!("{MARK} {number}")))
            .expect("a sound request");
        calls.spawn(time::timeout(TIMEOUT, send(addr, request)));
        while calls.try_join_next().is_some() {}
    }
}

/// Sends a request; its outcome does not matter.
async fn send(addr: std::net::SocketAddr, request: Request<Full<bytes::Bytes>>) -> Option<()> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    sender.send_request(request).await.ok()?;
    driver.abort();
    Some(())
}

/// An endpoint that may crash: those of the roll-out's target version have numbers of their own.
#[derive(Clone, Copy, Debug)]
enum Endpoint {
    Usual(usize),
    Target(usize),
}

impl Endpoint {
    fn runner(self, world: &World) -> &Runner {
        match self {
            Self::Usual(index) => &world.runners[index],
            Self::Target(index) => &world.target_runners[index],
        }
    }

    fn proxy(self, world: &World) -> &Proxy {
        match self {
            Self::Usual(index) => &world.runner_proxies[index],
            Self::Target(index) => &world.target_proxies[index],
        }
    }

    async fn restart(self, world: &World) {
        match self {
            Self::Usual(index) => world.restart_endpoint(index).await,
            Self::Target(index) => {
                let id = rollouts::target_id(index);
                world.target_runners[index].restart(&id).await;
            }
        }
    }
}

/// Closes the address of crashed endpoints, and starts them again until the calm phase.
async fn restart_crashed(world: Arc<World>) {
    let usual = (0..world.runners.len()).map(Endpoint::Usual);
    let target = (0..world.target_runners.len()).map(Endpoint::Target);
    let mut endpoints: Vec<(Endpoint, Option<Instant>)> = usual
        .chain(target)
        .map(|endpoint| (endpoint, None))
        .collect();
    loop {
        time::sleep(POLL_INTERVAL).await;
        let is_calm = world.run_state().calm_since.is_some();
        for (endpoint, ended_at) in &mut endpoints {
            let proxy = endpoint.proxy(&world);
            if !endpoint.runner(&world).has_ended() {
                if ended_at.take().is_some() {
                    proxy.set(Mode::Pass);
                }
                continue;
            }
            if ended_at.is_none() {
                proxy.set(Mode::Refuse);
            }
            let down_for = ended_at.get_or_insert_with(Instant::now).elapsed();
            if down_for > DOWN_FOR && !is_calm {
                endpoint.restart(&world).await;
            }
        }
    }
}

/// Checks that few bad requests reached endpoints in the calm phase.
pub(super) fn check(world: &World, report: &mut Report) {
    let Some(calm_since) = world.run_state().calm_since else {
        return;
    };
    let runners = world.runners.iter().chain(&world.target_runners);
    let seen = runners.flat_map(|r| r.seen());
    let bad = seen.filter(|s| s.has_run && String::from_utf8_lossy(&s.body).contains(MARK));
    let bad: Vec<Instant> = bad.map(|s| s.at).collect();
    let calm = bad.iter().filter(|at| **at > calm_since).count();
    if calm > MAX_CALM {
        report.breaches.push(format!(
            "{calm} of {} requests with a bad part reached endpoints without faults",
            bad.len()
        ));
    }
}
