//! Callers that read long streams slowly, during all faults; the check is that endpoints do not wait for them.

use std::{collections::HashMap, ops::Range, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::soak::{
    Plan, Report, RunState, World,
    callers::{self, Caller, Path, Sent},
};

/// XORed into the seed, so that these draws do not change the faults of a given seed.
const RNG_STREAM: u64 = 0x0073_6c6f_7700;
/// Number of slow callers.
const CALLERS: usize = 4;
/// Pause between two requests of a caller, in milliseconds.
const PAUSE_MS: Range<u64> = 10..300;
/// Receive buffer of a slow caller, far smaller than its answer.
pub(super) const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
/// Pause before a slow caller reads on, in milliseconds.
pub(super) const READ_PAUSE_MS: Range<u64> = 300..700;
/// Number of these pauses in an answer.
pub(super) const READ_PAUSES: usize = 5;
/// A run takes some 40 ms, its caller 1.5 s or more: an endpoint that takes this long has waited for the caller.
const RUN_BOUND: Duration = Duration::from_millis(1_000);

/// Starts the slow callers, numbered from `first`.
pub(super) fn spawn_callers(
    world: &Arc<World>,
    plan: &Plan,
    first: usize,
    tasks: &mut JoinSet<()>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ RNG_STREAM);
    for number in 0..CALLERS {
        let caller = Caller {
            number: first + number,
            key: None,
            pause_ms: PAUSE_MS,
            reads_slowly: true,
        };
        tasks.spawn(callers::run(world.clone(), caller, rng.random()));
    }
}

/// Checks that no endpoint waited for a slow caller in the calm phase, and that there were such callers.
pub(super) fn check(
    world: &World,
    sent: &HashMap<String, Sent>,
    run_state: &RunState,
    report: &mut Report,
) {
    let Some(calm_since) = run_state.calm_since else {
        return;
    };
    let mut runs = 0;
    for seen in world.runners.iter().flat_map(|r| r.seen()) {
        let id = seen.headers.get("request-id");
        let is_slow = id
            .and_then(|id| sent.get(id))
            .is_some_and(|s| s.path == Path::Long && s.at > calm_since);
        let Some(finished_at) = seen.finished_at.filter(|_| is_slow) else {
            continue;
        };
        runs += 1;
        let took = finished_at.duration_since(seen.at);
        if took > RUN_BOUND {
            report.breaches.push(format!(
                "{}: an endpoint waited {took:?} for its caller",
                id.map_or("-", String::as_str)
            ));
        }
    }
    if runs == 0 {
        let none = "no run of a slow caller was finished without faults";
        report.breaches.push(none.to_owned());
    }
}
