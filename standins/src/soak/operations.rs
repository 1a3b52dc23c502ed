//! Operations that overlap in the fault phase: two releases of the endpoints' software, kills of endpoints, planned stops
//! and reloads of instances, and a kill of all instances at once. Changes of the configuration run beside them.

use std::{ops::Range, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{self, Instant};

use crate::{
    proxy::Mode,
    runner::RunnerFraming,
    soak::{Plan, World, configurations, process},
};

/// XORed into the seed, so that these draws do not change the faults of a given seed.
const RNG_STREAM: u64 = 0x6f70_6572_6174;
/// Pause between two endpoints of a release, in milliseconds.
const RELEASE_PAUSE_MS: Range<u64> = 800..2_000;
/// Time for which an endpoint drains before a release ends it, in milliseconds.
const DRAIN_MS: Range<u64> = 200..1_000;
const KILL_PAUSE_MS: Range<u64> = 800..2_500;
const SIGNAL_PAUSE_MS: Range<u64> = 2_500..5_000;
/// When all instances are killed at once, if the phase is long enough, in milliseconds.
const LOSS_AT_MS: Range<u64> = 3_000..16_000;
/// Time until an endpoint that has ended is started again.
const DOWN_FOR: Duration = Duration::from_millis(400);

/// Draws what delimits the answers of each endpoint. Only those of the second service may end them with their connections:
/// those of the first are reached through proxies, which accept connections even if the endpoint is down, so that the end of
/// an answer could not be told.
pub(super) fn draw_framing(world: &World, plan: &Plan) {
    use RunnerFraming::{Chunks, Close, Length};
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ RNG_STREAM);
    for runner in &world.second_runners {
        if rng.random() {
            runner.delimit_by(Close);
        }
    }
    for runner in world.runners.iter().chain(&world.target_runners) {
        match rng.random_range(0..3) {
            0 => runner.delimit_by(Length),
            1 => runner.delimit_by(Chunks),
            // Streams in chunks, and plain answers with a length.
            _ => {}
        }
    }
}

/// Runs the operations during the fault phase.
pub(super) async fn run(world: Arc<World>, plan: Plan) {
    let rng = |number: u64| ChaCha8Rng::seed_from_u64(plan.seed ^ RNG_STREAM ^ number);
    let until = Instant::now() + plan.faults_for;
    tokio::join!(
        release(&world, rng(1), "v1.1", until),
        release(&world, rng(2), "v1", until),
        kill_endpoints(&world, rng(3), until),
        kill_second_endpoints(&world, rng(4), until),
        signal_instances(&world, rng(5), until),
        lose_instances(&world, rng(6), until),
    );
}

async fn pause(rng: &mut ChaCha8Rng, range_ms: Range<u64>) {
    time::sleep(Duration::from_millis(rng.random_range(range_ms))).await;
}

/// Replaces the software of one endpoint after the other by this version: each drains, ends and is started again.
async fn release(world: &World, mut rng: ChaCha8Rng, version: &'static str, until: Instant) {
    while Instant::now() < until {
        pause(&mut rng, RELEASE_PAUSE_MS).await;
        let index = rng.random_range(0..world.runners.len());
        world.register_endpoint(index, "draining");
        pause(&mut rng, DRAIN_MS).await;
        end_as_process(world, index).await;
        world.restart_with_version(index, Some(version)).await;
    }
}

async fn kill_endpoints(world: &World, mut rng: ChaCha8Rng, until: Instant) {
    while Instant::now() < until {
        pause(&mut rng, KILL_PAUSE_MS).await;
        let index = rng.random_range(0..world.runners.len());
        end_as_process(world, index).await;
        world.restart_endpoint(index).await;
    }
}

/// Ends an endpoint so that its sockets are closed as the kernel does it, and waits until it may start again.
async fn end_as_process(world: &World, index: usize) {
    world.runner_proxies[index].set(Mode::RefuseNew);
    world.runners[index].kill();
    time::sleep(DOWN_FOR).await;
    world.runner_proxies[index].set(Mode::Pass);
}

async fn kill_second_endpoints(world: &World, mut rng: ChaCha8Rng, until: Instant) {
    let mut starts = vec![0; world.second_runners.len()];
    while Instant::now() < until {
        pause(&mut rng, KILL_PAUSE_MS).await;
        let index = rng.random_range(0..starts.len());
        let runner = &world.second_runners[index];
        runner.kill();
        time::sleep(DOWN_FOR).await;
        let old = configurations::second_id(index, starts[index]);
        world.platform.remove("servers", &old);
        starts[index] += 1;
        runner
            .restart(&configurations::second_id(index, starts[index]))
            .await;
        configurations::register_second(&world.platform, runner.addr, index, starts[index]);
    }
}

/// Stops instances as planned and reloads others.
async fn signal_instances(world: &World, mut rng: ChaCha8Rng, until: Instant) {
    while Instant::now() < until {
        for name in ["TERM", "HUP"] {
            pause(&mut rng, SIGNAL_PAUSE_MS).await;
            let instance = rng.random_range(0..world.store_proxies.len());
            process::signal(world, instance, name);
        }
    }
}

/// Kills all instances at once; they are started again as others that have ended.
async fn lose_instances(world: &World, mut rng: ChaCha8Rng, until: Instant) {
    pause(&mut rng, LOSS_AT_MS).await;
    if Instant::now() >= until {
        return;
    }
    world.run_state().lost_all_at = Some(std::time::Instant::now());
    for instance in 0..world.store_proxies.len() {
        process::signal(world, instance, "KILL");
    }
}
