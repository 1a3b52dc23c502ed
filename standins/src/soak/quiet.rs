//! The quiet phase: endpoints fall silent while the configuration changes and instances are restarted as planned, and
//! nothing else is wrong.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time;

use crate::soak::{Plan, World, configurations, process, silence};

/// XORed into the seed, so that these draws do not change the faults of a given seed.
const RNG_STREAM: u64 = 0x7175_6965_7400;
/// Time until endpoints that crashed before have been started again.
const BEFORE: Duration = Duration::from_secs(3);
const DURATION: Duration = Duration::from_secs(5);
/// Time for the requests of the phase to end and for everything to recover from the silence.
const AFTER: Duration = Duration::from_secs(4);
/// Time from the start to a planned stop or a reload, in milliseconds.
const SIGNAL_AFTER_MS: std::ops::Range<u64> = 200..3_000;

/// Period in which no request may be lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Period {
    from: Instant,
    until: Instant,
}

impl Period {
    pub(super) fn contains(&self, at: Instant) -> bool {
        (self.from..self.until).contains(&at)
    }
}

/// Runs the phase.
pub(super) async fn run(world: &World, plan: &Plan) {
    let rng = |number: u64| ChaCha8Rng::seed_from_u64(plan.seed ^ RNG_STREAM ^ number);
    let (mut silence_rng, mut storm_rng, mut signal_rng) = (rng(0), rng(1), rng(2));
    world.run_state().is_quiet = true;
    time::sleep(BEFORE).await;
    let from = Instant::now();
    tokio::join!(
        silence::fall_silent_in_quiet(world, &mut silence_rng, DURATION),
        configurations::storm_in_quiet(world, &mut storm_rng, DURATION),
        signal_one(world, &mut signal_rng),
    );
    let until = Instant::now();
    time::sleep(AFTER).await;
    let mut run_state = world.run_state();
    run_state.quiet = Some(Period { from, until });
    run_state.is_quiet = false;
}

/// Stops one instance as planned and reloads another.
async fn signal_one(world: &World, rng: &mut ChaCha8Rng) {
    let count = world.store_proxies.len();
    let first = rng.random_range(0..count);
    for (instance, name) in [(first, "TERM"), ((first + 1) % count, "HUP")] {
        time::sleep(Duration::from_millis(rng.random_range(SIGNAL_AFTER_MS))).await;
        process::signal(world, instance, name);
    }
}
