//! Sound endpoints that are silent for about a second and then go on.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use tokio::time;

use crate::soak::{Plan, RunState, World};

/// XORed into the seed, so that these draws do not change the faults of a given seed.
const RNG_STREAM: u64 = 0x7369_6c65_6e74;
/// Length of a silence, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 800..1_600;
/// Time from the start of one silence to that of the next, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 600..3_000;
/// As `PAUSE_MS`, in the quiet phase: an endpoint that is silent twice in a row would exceed time limits.
const QUIET_PAUSE_MS: std::ops::Range<u64> = 2_400..3_000;
/// Requests that arrived while an endpoint was silent are read within this time afterwards.
const READ_AFTER: Duration = Duration::from_millis(100);

/// A period in which an endpoint was silent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Silence {
    /// Its number among all endpoints.
    endpoint: usize,
    from: Instant,
    until: Instant,
}

impl RunState {
    /// Returns whether a request that an endpoint read at `read_at` may have arrived there by `until`, because the endpoint
    /// was silent in between.
    pub(super) fn may_have_waited(
        &self,
        endpoint: usize,
        until: Instant,
        read_at: Instant,
    ) -> bool {
        self.silences
            .iter()
            .any(|s| s.endpoint == endpoint && s.from <= until && read_at < s.until + READ_AFTER)
    }
}

/// Lets endpoints fall silent during the fault phase.
pub(super) async fn fall_silent_at_random(world: Arc<World>, plan: Plan) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ RNG_STREAM);
    let until = time::Instant::now() + plan.faults_for;
    fall_silent(&world, &mut rng, PAUSE_MS, until).await;
}

/// Lets endpoints fall silent in the quiet phase.
pub(super) async fn fall_silent_in_quiet(world: &World, rng: &mut ChaCha8Rng, duration: Duration) {
    let until = time::Instant::now() + duration;
    fall_silent(world, rng, QUIET_PAUSE_MS, until).await;
}

async fn fall_silent(
    world: &World,
    rng: &mut ChaCha8Rng,
    pause_ms: std::ops::Range<u64>,
    until: time::Instant,
) {
    while time::Instant::now() < until {
        for endpoint in draw(world, rng) {
            let silence = Duration::from_millis(rng.random_range(SILENCE_MS));
            let from = Instant::now();
            let runner = world.all_runners().nth(endpoint);
            runner.expect("an endpoint").fall_silent(silence);
            world.run_state().silences.push(Silence {
                endpoint,
                from,
                until: from + silence,
            });
        }
        time::sleep(Duration::from_millis(rng.random_range(pause_ms.clone()))).await;
    }
}

/// Returns the numbers of one, several or all endpoints.
fn draw(world: &World, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let mut endpoints: Vec<usize> = (0..world.all_runners().count()).collect();
    let count = match rng.random_range(0..3) {
        0 => 1,
        1 => rng.random_range(1..endpoints.len()),
        _ => endpoints.len(),
    };
    endpoints.shuffle(rng);
    endpoints.truncate(count);
    endpoints
}
