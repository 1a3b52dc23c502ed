//! Limits that endpoints name, in series among faults, and one that is checked in the calm part.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time;

use crate::soak::{Plan, Promised, Report, World};

/// Draws apart from those of the faults, so that a seed's faults stay what they are.
const OWN_SERIES: u64 = 0x6c69_6d69_7473;
/// What endpoints name; some of it is no limit.
const WORDS: [&str; 7] = ["0.4", "2", "8", "0", "3,5", "many", "1e3"];
/// How long a word stands, in milliseconds.
const STANDS_MS: std::ops::Range<u64> = 300..2_500;
/// The limit of the calm part, in requests a second.
const CALM_LIMIT: &str = "2.5";
const CALM_LIMIT_PER_S: f64 = 2.5;
/// It binds this long after it was named.
const CONTACT: Duration = Duration::from_secs(3);
/// An endpoint gets in any span of this length so many times what its limit allows and so many more at most.
const WINDOW: Duration = Duration::from_secs(4);
const MORE_SHARE: f64 = 1.5;
const MORE: f64 = 5.0;

/// Lets endpoints name limits, one at a time, for as long as there are faults.
pub async fn name_in_series(world: Arc<World>, plan: Plan) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ OWN_SERIES);
    let until = time::Instant::now() + plan.faults_for;
    while time::Instant::now() < until {
        let runner = &world.runners[rng.random_range(0..world.runners.len())];
        runner.name_limit(Some(WORDS[rng.random_range(0..WORDS.len())]));
        let stands = Duration::from_millis(rng.random_range(STANDS_MS));
        time::sleep(stands).await;
        runner.name_limit(None);
    }
}

/// Lets an endpoint name the limit that is checked.
pub fn name_for_calm(world: &World, endpoint: usize) {
    world.runners[endpoint].name_limit(Some(CALM_LIMIT));
    world.promised().limited = Some((endpoint, Instant::now()));
}

/// Checks that the endpoint got no more than its limit allows once that was to be known.
pub fn check(world: &World, promised: &Promised, report: &mut Report) {
    let Some((endpoint, named)) = promised.limited else {
        return;
    };
    let seen = world.runners[endpoint].seen();
    let at: Vec<Instant> = seen.iter().map(|s| s.at).collect();
    let bound = at.iter().filter(|at| **at >= named + CONTACT);
    let most = bound.map(|from| {
        let in_window = |at: &&Instant| **at >= *from && at.duration_since(*from) < WINDOW;
        at.iter().filter(in_window).count()
    });
    let most = most.max().unwrap_or(0);
    let allowed = CALM_LIMIT_PER_S * WINDOW.as_secs_f64() * MORE_SHARE + MORE;
    if most as f64 > allowed {
        report.breaches.push(format!(
            "endpoint {endpoint} got {most} requests in 4 s, its limit allows {allowed}"
        ));
    }
}
