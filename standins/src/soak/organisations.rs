//! Organisations with limits: two send far above their limits and one stays below, during all faults and while the
//! limits change.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::{task::JoinSet, time};

use crate::soak::{
    Plan, Report, RunState, World,
    callers::{self, Caller, Outcome, Sent},
};

/// XORed into the seed, so that these draws do not change the faults of a given seed.
const RNG_STREAM: u64 = 0x006f_7267_7300;
/// Names of the organisations; each is also the organisation's API key.
const ABOVE_LIMIT: [&str; 2] = ["above", "far-above"];
const BELOW_LIMIT: &str = "below";
/// Number of callers of each organisation above its limit.
const CALLERS_ABOVE_LIMIT: usize = 4;
const ABOVE_LIMIT_PAUSE_MS: std::ops::Range<u64> = 5..40;
const BELOW_LIMIT_PAUSE_MS: std::ops::Range<u64> = 300..600;
/// Cost of a request, in units of the limits.
const UNITS: f64 = 200.0;
const RATE_PER_S: f64 = 2_000.0;
const BURST: f64 = 2_000.0;
/// Factors on the limits; none exceeds 1.
const LIMIT_FACTORS: [f64; 4] = [0.3, 0.5, 0.8, 1.0];
/// Time between two changes of limits, in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 400..3_000;
/// Window and permitted overage of the quota, as in the settings of the instances.
const WINDOW: Duration = Duration::from_secs(8);
const OVERAGE: f64 = 0.1;

/// Returns the limited organisations of a configuration; `factor` scales the limits of those above theirs.
pub(super) fn tenants(factor: f64) -> Vec<Value> {
    let tenant = |name: &str, factor: f64| {
        json!({"name": name, "apiKeys": [name], "unit": "token_count", "uncachedTokens": UNITS,
            "ratePerS": RATE_PER_S * factor, "burst": BURST * factor})
    };
    let mut tenants = vec![tenant(BELOW_LIMIT, 1.0)];
    tenants.extend(ABOVE_LIMIT.map(|name| tenant(name, factor)));
    tenants
}

/// Returns whether a key belongs to an organisation with a limit.
pub(super) fn is_limited(key: &str) -> bool {
    key == BELOW_LIMIT || ABOVE_LIMIT.contains(&key)
}

/// Starts the callers of limited organisations, numbered from `first`.
pub(super) fn spawn_callers(
    world: &Arc<World>,
    plan: &Plan,
    first: usize,
    tasks: &mut JoinSet<()>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ RNG_STREAM);
    let above_limit = ABOVE_LIMIT.into_iter().flat_map(|key| {
        [const { ABOVE_LIMIT_PAUSE_MS }; CALLERS_ABOVE_LIMIT].map(|pause_ms| (key, pause_ms))
    });
    let all = above_limit.chain([(BELOW_LIMIT, BELOW_LIMIT_PAUSE_MS)]);
    for (number, (key, pause_ms)) in all.enumerate() {
        let caller = Caller {
            number: first + number,
            key: Some(key),
            pause_ms,
            reads_slowly: false,
        };
        tasks.spawn(callers::run(world.clone(), caller, rng.random()));
    }
}

/// Varies the limits of the organisations above theirs during the fault phase.
pub(super) async fn vary_limits(world: Arc<World>, plan: Plan) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ RNG_STREAM ^ 1);
    let until = time::Instant::now() + plan.faults_for;
    while time::Instant::now() < until {
        let interval = Duration::from_millis(rng.random_range(INTERVAL_MS));
        time::sleep(interval).await;
        let factor = LIMIT_FACTORS[rng.random_range(0..LIMIT_FACTORS.len())];
        world.change_keys(|run_state| run_state.limit_factor = factor);
    }
    world.change_keys(|run_state| run_state.limit_factor = 1.0);
}

/// Checks that no organisation exceeds its limit in any window, and that the one below its limit is not refused in the
/// calm phase.
pub(super) fn check(
    world: &World,
    sent: &HashMap<String, Sent>,
    run_state: &RunState,
    report: &mut Report,
) {
    let allowed = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERAGE);
    for name in ABOVE_LIMIT.into_iter().chain([BELOW_LIMIT]) {
        let peak = peak_in_window(&arrivals(world, sent, name)) as f64 * UNITS;
        if peak > allowed {
            report.breaches.push(format!(
                "organisation {name} had {peak} units run in 8 s, its limit allows {allowed}"
            ));
        }
    }
    let Some(calm_since) = run_state.calm_since else {
        return;
    };
    let is_over_limit = |s: &Sent| matches!(&s.outcome, Some(Outcome::Answered { status, .. }) if *status == StatusCode::TOO_MANY_REQUESTS);
    let calm = sent
        .iter()
        .filter(|(_, s)| s.key == BELOW_LIMIT && s.at > calm_since);
    let refused: Vec<_> = calm.filter(|(_, s)| is_over_limit(s)).collect();
    if let Some((id, first)) = refused.first() {
        report.breaches.push(format!(
            "organisation {BELOW_LIMIT} was refused {} requests below its limit while all was calm, as {id} {:?} after the faults: {first:?}",
            refused.len(),
            first.at - calm_since,
        ));
    }
}

/// Returns when the requests of an organisation were sent and when they arrived at the endpoints that ran them.
fn arrivals(world: &World, sent: &HashMap<String, Sent>, name: &str) -> Vec<(Instant, Instant)> {
    let mut arrivals = Vec::new();
    for seen in world.runners.iter().flat_map(|r| r.seen()) {
        let is_own = seen.has_run && seen.headers.get("tenant").is_some_and(|t| t == name);
        let sent = seen.headers.get("request-id").and_then(|id| sent.get(id));
        if is_own {
            arrivals.push((sent.map_or(seen.at, |s| s.at), seen.at));
        }
    }
    arrivals
}

/// Returns the maximum number of requests that were both sent and run within a window.
fn peak_in_window(arrivals: &[(Instant, Instant)]) -> usize {
    let in_window = |from: Instant| {
        let until = from + WINDOW;
        let is_in_window = |(sent, run): &&(Instant, Instant)| *sent >= from && *run < until;
        arrivals.iter().filter(is_in_window).count()
    };
    let from = arrivals.iter().map(|(sent, _)| *sent);
    from.map(in_window).max().unwrap_or(0)
}
