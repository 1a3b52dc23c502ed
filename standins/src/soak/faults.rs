//! Overlapping random faults, drawn from a seed.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{task::JoinSet, time};

use crate::{
    broken_answer::{BreakShares, Breaks},
    proxy::Mode,
    runner::{Fault, Runner},
    soak::{Plan, World, cuts, process},
};

/// Time between the starts of two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..700;
/// Duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 300..3_000;

/// XORed into the seed, so that broken answers do not change the other faults of a given seed.
const BREAK_RNG_STREAM: u64 = 0x6272_6561_6b73;
/// Share of the answers of an endpoint that break.
const BREAK_SHARE: f64 = 0.2;
/// Share of the endpoints whose answers break at a time.
const BREAKING_ENDPOINTS: f64 = 0.3;
/// How long the store is away before it comes back from a copy.
const STORE_AWAY: Duration = Duration::from_millis(200);
/// Time after which writers repeat what the store lost.
const WRITE_AGAIN_DELAY: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
enum SoakFault {
    Kill,
    Freeze,
    Stop,
    Reload,
    StorePath(Mode),
    StoreOutage,
    HistoryLoss,
    Endpoint(Fault),
    EndpointPath(Mode),
    Cut,
    RevokeKey,
    Drain,
    StoreReturn,
}

fn draw(rng: &mut ChaCha8Rng) -> SoakFault {
    let delay = Mode::Delay(Duration::from_millis(rng.random_range(20..800)));
    let modes = [delay, Mode::Silent, Mode::NoAnswers, Mode::Reset];
    let mode = modes[rng.random_range(0..modes.len())];
    let faults = [
        Fault::Full,
        // Listed twice for more weight: a request that may have run must not be retried.
        Fault::ResetAfterRun,
        Fault::ResetAfterRun,
        Fault::Mute,
        Fault::CutNewStream,
        Fault::Surplus,
        Fault::Unframed,
        Fault::Unsigned,
    ];
    match rng.random_range(0..21) {
        0 | 1 => SoakFault::Kill,
        2 => SoakFault::Freeze,
        3 => SoakFault::Stop,
        4 => SoakFault::Reload,
        5 | 6 => SoakFault::StorePath(mode),
        7 => SoakFault::StoreOutage,
        8 => SoakFault::HistoryLoss,
        9..=13 => SoakFault::Endpoint(faults[rng.random_range(0..faults.len())]),
        14 => SoakFault::EndpointPath(mode),
        15 => SoakFault::RevokeKey,
        16 => SoakFault::Drain,
        17 | 18 => SoakFault::Cut,
        _ => SoakFault::StoreReturn,
    }
}

/// Injects faults for `faults_for` of the plan, then clears them all; returns the number of faults.
pub async fn inject(world: &Arc<World>, plan: &Plan, rng: &mut ChaCha8Rng) -> usize {
    let until = time::Instant::now() + plan.faults_for;
    let mut running = JoinSet::new();
    let mut count = 0;
    while time::Instant::now() < until {
        let soak_fault = draw(rng);
        let index = rng.random_range(0..plan.instances.max(plan.endpoints));
        let duration = Duration::from_millis(rng.random_range(DURATION_MS));
        running.spawn(inject_one(world.clone(), soak_fault, index, duration));
        count += 1;
        time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
    while running.join_next().await.is_some() {}
    clear_all(world);
    count
}

/// Lets endpoints that live on break answers off or close all their connections, during the fault phase.
pub async fn break_answers(world: Arc<World>, plan: Plan) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ BREAK_RNG_STREAM);
    let until = time::Instant::now() + plan.faults_for;
    while time::Instant::now() < until {
        let runners = world.runners.iter().chain(&world.second_runners);
        let runners = runners.filter(|_| rng.random_bool(BREAKING_ENDPOINTS));
        let runners: Vec<&Runner> = runners.collect();
        if rng.random_range(0..4) == 0 {
            runners.iter().for_each(|r| r.close_connections());
        } else {
            let shares = draw_shares(&mut rng);
            for runner in &runners {
                runner.break_answers(Breaks::new(shares, rng.random()));
            }
            time::sleep(Duration::from_millis(rng.random_range(DURATION_MS))).await;
            runners.iter().for_each(|r| r.break_answers(None));
        }
        time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
}

fn draw_shares(rng: &mut ChaCha8Rng) -> BreakShares {
    let mut shares = BreakShares::default();
    match rng.random_range(0..3) {
        0 => shares.closed = BREAK_SHARE,
        1 => shares.reset = BREAK_SHARE,
        _ => shares.unframed = BREAK_SHARE,
    }
    shares
}

async fn inject_one(world: Arc<World>, soak_fault: SoakFault, index: usize, duration: Duration) {
    let instance = index % world.store_proxies.len();
    let endpoint = index % world.runners.len();
    match soak_fault {
        SoakFault::Kill => process::signal(&world, instance, "KILL"),
        SoakFault::Freeze => {
            process::signal(&world, instance, "STOP");
            time::sleep(duration).await;
            process::signal(&world, instance, "CONT");
        }
        SoakFault::Stop => process::signal(&world, instance, "TERM"),
        SoakFault::Reload => {
            process::rewrite_settings(&world, instance, 40 + index as u32);
            process::signal(&world, instance, "HUP");
        }
        SoakFault::StorePath(mode) => {
            world.store_proxies[instance].set(mode);
            time::sleep(duration).await;
            world.store_proxies[instance].set(Mode::Pass);
        }
        SoakFault::StoreOutage => {
            let is_silent = index.is_multiple_of(2);
            world.platform.fault(|f| {
                f.down = !is_silent;
                f.silent = is_silent;
            });
            time::sleep(duration).await;
            world.platform.fault(|f| *f = Default::default());
        }
        SoakFault::HistoryLoss => world.platform.forget_history(),
        SoakFault::Endpoint(fault) => {
            world.runners[endpoint].fault(fault);
            time::sleep(duration).await;
            world.runners[endpoint].fault(Fault::None);
        }
        SoakFault::EndpointPath(mode) => {
            let from = Instant::now();
            world.runner_proxies[endpoint].set(mode);
            time::sleep(duration).await;
            world.runner_proxies[endpoint].set(Mode::Pass);
            let impaired = (endpoint, from, Instant::now());
            world.run_state().impaired.push(impaired);
        }
        SoakFault::Cut => cuts::cut(&world, instance, duration).await,
        SoakFault::RevokeKey => world.change_keys(|run_state| {
            if run_state.keys.len() > 2 {
                let key = run_state.keys.remove(0);
                run_state.revoked.push((key, Instant::now()));
            }
        }),
        SoakFault::Drain => {
            world.register_endpoint(endpoint, "draining");
            time::sleep(duration).await;
            world.register_endpoint(endpoint, "ready");
        }
        SoakFault::StoreReturn => return_store_to_copy(&world, duration).await,
    }
}

/// Lets the store come back from a copy that is `age` old after it was away for a moment. The writers then repeat what
/// was lost.
async fn return_store_to_copy(world: &World, age: Duration) {
    world.platform.take_copy();
    time::sleep(age).await;
    world.platform.fault(|f| f.down = true);
    time::sleep(STORE_AWAY).await;
    let lost = world.platform.return_to_copy();
    world.platform.fault(|f| f.down = false);
    time::sleep(WRITE_AGAIN_DELAY).await;
    world.platform.write_again(lost);
}

/// Clears all faults, including those that overlapping faults left in place.
fn clear_all(world: &World) {
    for proxy in world.store_proxies.iter().chain(&world.runner_proxies) {
        proxy.set(Mode::Pass);
    }
    world.platform.fault(|f| *f = Default::default());
    for (index, runner) in world.runners.iter().enumerate() {
        runner.fault(Fault::None);
        world.register_endpoint(index, "ready");
    }
    for index in 0..world.store_proxies.len() {
        process::signal(world, index, "CONT");
    }
}
