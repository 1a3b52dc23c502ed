//! Limits that endpoints announce: random ones during the faults, and one that is checked in the calm phase.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time;

use crate::soak::{Plan, Report, RunState, World};

/// XORed into the seed, so that these draws do not change the faults of a given seed.
const RNG_STREAM: u64 = 0x6c69_6d69_7473;
/// Announced limits; some are invalid.
const LIMIT_VALUES: [&str; 7] = ["0.4", "2", "8", "0", "3,5", "many", "1e3"];
/// How long a limit is announced, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 300..2_500;
/// Limit announced in the calm phase, in requests per second.
const CALM_LIMIT: &str = "2.5";
const CALM_LIMIT_PER_S: f64 = 2.5;
/// Time until instances must comply with an announced limit.
const LIMIT_PROPAGATION: Duration = Duration::from_secs(3);
/// In any window of this length an endpoint gets at most `OVERAGE_FACTOR` times its limit plus `OVERAGE_SLACK`
/// requests.
const WINDOW: Duration = Duration::from_secs(4);
const OVERAGE_FACTOR: f64 = 1.5;
const OVERAGE_SLACK: f64 = 5.0;

/// Makes random endpoints announce limits, one at a time, during the fault phase.
pub async fn announce_at_random(world: Arc<World>, plan: Plan) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ RNG_STREAM);
    let until = time::Instant::now() + plan.faults_for;
    while time::Instant::now() < until {
        let runner = &world.runners[rng.random_range(0..world.runners.len())];
        runner.announce_limit(Some(LIMIT_VALUES[rng.random_range(0..LIMIT_VALUES.len())]));
        let duration = Duration::from_millis(rng.random_range(DURATION_MS));
        time::sleep(duration).await;
        runner.announce_limit(None);
    }
}

/// Makes an endpoint announce the limit that [`check`] verifies.
pub fn announce_calm_limit(world: &World, endpoint: usize) {
    world.runners[endpoint].announce_limit(Some(CALM_LIMIT));
    world.run_state().limited = Some((endpoint, Instant::now()));
}

/// Checks that the endpoint got no more than its limit allows after propagation.
pub fn check(world: &World, run_state: &RunState, report: &mut Report) {
    let Some((endpoint, announced_at)) = run_state.limited else {
        return;
    };
    let seen = world.runners[endpoint].seen();
    let at: Vec<Instant> = seen.iter().map(|s| s.at).collect();
    let window_starts = at
        .iter()
        .filter(|at| **at >= announced_at + LIMIT_PROPAGATION);
    let most = window_starts.map(|from| {
        let in_window = |at: &&Instant| **at >= *from && at.duration_since(*from) < WINDOW;
        at.iter().filter(in_window).count()
    });
    let most = most.max().unwrap_or(0);
    let allowed = CALM_LIMIT_PER_S * WINDOW.as_secs_f64() * OVERAGE_FACTOR + OVERAGE_SLACK;
    if most as f64 > allowed {
        report.breaches.push(format!(
            "endpoint {endpoint} got {most} requests in 4 s, its limit allows {allowed}"
        ));
    }
}
