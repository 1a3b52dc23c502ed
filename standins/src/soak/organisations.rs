//! Organisations with limits: two that send far above theirs and one that stays below, through all faults, while limits
//! change.

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
    Plan, Promised, Report, World,
    callers::{self, Caller, Outcome, Sent},
};

/// Draws apart from those of the faults, so that a seed's faults stay what they are.
const OWN_SERIES: u64 = 0x006f_7267_7300;
/// A limited organisation's name is its key, too.
const ABOVE: [&str; 2] = ["above", "far-above"];
const BELOW: &str = "below";
/// Callers of each organisation above its limit.
const PRESSING: usize = 4;
const PRESSING_PAUSE_MS: std::ops::Range<u64> = 5..40;
const CALM_PAUSE_MS: std::ops::Range<u64> = 300..600;
/// What a request counts, in units of the limits.
const UNITS: f64 = 200.0;
const RATE_PER_S: f64 = 2_000.0;
const BURST: f64 = 2_000.0;
/// Limits change by one of these, but never above 1.
const TIMES: [f64; 4] = [0.3, 0.5, 0.8, 1.0];
/// The time between two changes, in milliseconds.
const STANDS_MS: std::ops::Range<u64> = 400..3_000;
/// As the settings of the instances say.
const WINDOW: Duration = Duration::from_secs(8);
const OVERAGE: f64 = 0.1;

/// Returns the limited organisations of a configuration; `times` is what is in force of the limits of those above theirs.
pub(super) fn tenants(times: f64) -> Vec<Value> {
    let tenant = |name: &str, times: f64| {
        json!({"name": name, "apiKeys": [name], "unit": "token_count", "uncachedTokens": UNITS,
            "ratePerS": RATE_PER_S * times, "burst": BURST * times})
    };
    let mut tenants = vec![tenant(BELOW, 1.0)];
    tenants.extend(ABOVE.map(|name| tenant(name, times)));
    tenants
}

/// Returns whether a key is of an organisation with a limit.
pub(super) fn is_limited(key: &str) -> bool {
    key == BELOW || ABOVE.contains(&key)
}

/// Starts the callers of limited organisations; `first` is the number of the first.
pub(super) fn call(world: &Arc<World>, plan: &Plan, first: usize, calls: &mut JoinSet<()>) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ OWN_SERIES);
    let pressing = ABOVE
        .into_iter()
        .flat_map(|key| [const { PRESSING_PAUSE_MS }; PRESSING].map(|pause_ms| (key, pause_ms)));
    let all = pressing.chain([(BELOW, CALM_PAUSE_MS)]);
    for (number, (key, pause_ms)) in all.enumerate() {
        let caller = Caller {
            number: first + number,
            key: Some(key),
            pause_ms,
        };
        calls.spawn(callers::run(world.clone(), caller, rng.random()));
    }
}

/// Changes the limits of those above theirs for as long as there are faults.
pub(super) async fn change_in_series(world: Arc<World>, plan: Plan) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ OWN_SERIES ^ 1);
    let until = time::Instant::now() + plan.faults_for;
    while time::Instant::now() < until {
        let stands = Duration::from_millis(rng.random_range(STANDS_MS));
        time::sleep(stands).await;
        let times = TIMES[rng.random_range(0..TIMES.len())];
        world.change_keys(|promised| promised.limit_times = times);
    }
    world.change_keys(|promised| promised.limit_times = 1.0);
}

/// Checks what endpoints ran of each organisation in any window, and that one below its limit is refused nothing while all is
/// calm.
pub(super) fn check(
    world: &World,
    sent: &HashMap<String, Sent>,
    promised: &Promised,
    report: &mut Report,
) {
    let allowed = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERAGE);
    for name in ABOVE.into_iter().chain([BELOW]) {
        let most = most_in_window(&arrivals(world, name)) as f64 * UNITS;
        if most > allowed {
            report.breaches.push(format!(
                "organisation {name} had {most} units run in 8 s, its limit allows {allowed}"
            ));
        }
    }
    let Some(calm_from) = promised.calm_from else {
        return;
    };
    let over_limit = sent.values().filter(|s| {
        let is_refused = matches!(&s.outcome, Some(Outcome::Answered { status, .. }) if *status == StatusCode::TOO_MANY_REQUESTS);
        s.key == BELOW && s.at > calm_from && is_refused
    });
    let refused = over_limit.count();
    if refused > 0 {
        report.breaches.push(format!(
            "organisation {BELOW} was refused {refused} requests below its limit while all was calm"
        ));
    }
}

/// Returns when endpoints began to run an organisation's requests, in order.
fn arrivals(world: &World, name: &str) -> Vec<Instant> {
    let mut at = Vec::new();
    for runner in &world.runners {
        let seen = runner.seen().into_iter();
        let own = seen.filter(|s| s.has_run && s.headers.get("tenant").is_some_and(|t| t == name));
        at.extend(own.map(|s| s.at));
    }
    at.sort_unstable();
    at
}

fn most_in_window(at: &[Instant]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, until) in at.iter().enumerate() {
        while until.duration_since(at[first]) >= WINDOW {
            first += 1;
        }
        most = most.max(last - first + 1);
    }
    most
}
