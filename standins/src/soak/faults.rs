//! Faults in series that overlap, drawn from a seed.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::{task::JoinSet, time};

use crate::{
    proxy::Mode,
    runner::Fault,
    soak::{Plan, World, process},
};

/// The pause between the beginnings of two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..700;
/// How long a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 300..3_000;

#[derive(Clone, Copy, Debug)]
enum Kind {
    Kill,
    Freeze,
    Stop,
    Reload,
    StoreOfOne(Mode),
    StoreOfAll,
    History,
    Endpoint(Fault),
    EndpointPath(Mode),
    Keys,
    Drain,
}

fn draw(rng: &mut ChaCha8Rng) -> Kind {
    let delay = Mode::Delay(Duration::from_millis(rng.random_range(20..800)));
    let modes = [delay, Mode::Silent, Mode::NoAnswers, Mode::Reset];
    let mode = modes[rng.random_range(0..modes.len())];
    let faults = [
        Fault::Full,
        // Twice: what may have run must not be sent again.
        Fault::ResetAfterRun,
        Fault::ResetAfterRun,
        Fault::Mute,
        Fault::CutNewStream,
        Fault::Surplus,
        Fault::Unframed,
        Fault::Unsigned,
    ];
    match rng.random_range(0..17) {
        0 | 1 => Kind::Kill,
        2 => Kind::Freeze,
        3 => Kind::Stop,
        4 => Kind::Reload,
        5 | 6 => Kind::StoreOfOne(mode),
        7 => Kind::StoreOfAll,
        8 => Kind::History,
        9..=13 => Kind::Endpoint(faults[rng.random_range(0..faults.len())]),
        14 => Kind::EndpointPath(mode),
        15 => Kind::Keys,
        _ => Kind::Drain,
    }
}

/// Brings faults for as long as the plan says, and ends them all; returns how many there were.
pub async fn bring(world: &Arc<World>, plan: &Plan, rng: &mut ChaCha8Rng) -> usize {
    let until = time::Instant::now() + plan.faults_for;
    let mut running = JoinSet::new();
    let mut count = 0;
    while time::Instant::now() < until {
        let kind = draw(rng);
        let index = rng.random_range(0..plan.instances.max(plan.endpoints));
        let lasts = Duration::from_millis(rng.random_range(LASTS_MS));
        running.spawn(one(world.clone(), kind, index, lasts));
        count += 1;
        time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
    while running.join_next().await.is_some() {}
    end_all(world);
    count
}

async fn one(world: Arc<World>, kind: Kind, index: usize, lasts: Duration) {
    let instance = index % world.store_proxies.len();
    let endpoint = index % world.runners.len();
    match kind {
        Kind::Kill => process::signal(&world, instance, "KILL"),
        Kind::Freeze => {
            process::signal(&world, instance, "STOP");
            time::sleep(lasts).await;
            process::signal(&world, instance, "CONT");
        }
        Kind::Stop => process::signal(&world, instance, "TERM"),
        Kind::Reload => {
            process::rewrite_settings(&world, instance, 40 + index as u32);
            process::signal(&world, instance, "HUP");
        }
        Kind::StoreOfOne(mode) => {
            world.store_proxies[instance].set(mode);
            time::sleep(lasts).await;
            world.store_proxies[instance].set(Mode::Pass);
        }
        Kind::StoreOfAll => {
            let is_silent = index.is_multiple_of(2);
            world.platform.fault(|f| {
                f.down = !is_silent;
                f.silent = is_silent;
            });
            time::sleep(lasts).await;
            world.platform.fault(|f| *f = Default::default());
        }
        Kind::History => world.platform.forget_history(),
        Kind::Endpoint(fault) => {
            world.runners[endpoint].fault(fault);
            time::sleep(lasts).await;
            world.runners[endpoint].fault(Fault::None);
        }
        Kind::EndpointPath(mode) => {
            let from = Instant::now();
            world.runner_proxies[endpoint].set(mode);
            time::sleep(lasts).await;
            world.runner_proxies[endpoint].set(Mode::Pass);
            let held_up = (endpoint, from, Instant::now());
            world.promised().held_up.push(held_up);
        }
        Kind::Keys => world.change_keys(|promised| {
            if promised.keys.len() > 2 {
                let key = promised.keys.remove(0);
                promised.revoked.push((key, Instant::now()));
            }
        }),
        Kind::Drain => {
            world.endpoint(endpoint, "draining");
            time::sleep(lasts).await;
            world.endpoint(endpoint, "ready");
        }
    }
}

/// Whatever overlapping faults left behind ends.
fn end_all(world: &World) {
    for proxy in world.store_proxies.iter().chain(&world.runner_proxies) {
        proxy.set(Mode::Pass);
    }
    world.platform.fault(|f| *f = Default::default());
    for (index, runner) in world.runners.iter().enumerate() {
        runner.fault(Fault::None);
        world.endpoint(index, "ready");
    }
    for index in 0..world.store_proxies.len() {
        process::signal(world, index, "CONT");
    }
}
