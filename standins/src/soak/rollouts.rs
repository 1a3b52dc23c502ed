//! A roll-out of a version, good or bad, during the fault phase.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time;

use crate::{
    runner::{BadAnswer, BadVersion, Runner, Seen},
    soak::{CONFIG_PROPAGATION, Plan, RACE_MARGIN, Report, RunState, World},
};

/// Number of endpoints of the target version.
pub const ENDPOINTS: usize = 3;
/// The target version.
pub const TARGET_VERSION: &str = "v2";
/// Separates the random choices here from those of the faults.
const RNG_STREAM: u64 = 0x7011;
const KIND: &str = "rollouts";
const SERVICE: &str = "svc";
const DURATION_S: f64 = 8.0;
/// Time by which the state is final: the store may come back from a copy near the end of the duration, and the order
/// then begins anew.
const FINAL_WITHIN: Duration = Duration::from_secs(22);
/// `exposureShare`, `exposureSlack` and `rollbackMs` of the settings of the instances.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const ROLLBACK: Duration = Duration::from_secs(5);
/// Bad answers from which on `ROLLBACK` counts.
const BAD_ANSWERS: usize = 50;

/// The roll-out of a run.
#[derive(Clone, Debug)]
pub struct Rollout {
    bad: Option<BadVersion>,
    from: Instant,
    until: Instant,
    state: String,
}

/// Orders a roll-out at a random time, lists the endpoints of the version, and takes both away once its state is final.
pub async fn order_at_random(world: Arc<World>, plan: Plan) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ RNG_STREAM);
    time::sleep(Duration::from_millis(rng.random_range(500..2_000))).await;
    let bad = match rng.random_range(0..3) {
        0 => None,
        1 => Some(BadVersion::new(BadAnswer::Fails, 2)),
        _ => {
            let late = BadAnswer::Slow(Duration::from_millis(300));
            Some(BadVersion::new(late, 1))
        }
    };
    for runner in &world.target_runners {
        runner.run_version(bad);
    }
    let from = Instant::now();
    let spec =
        json!({"backend": SERVICE, "targetVersion": TARGET_VERSION, "durationS": DURATION_S});
    world.platform.set(KIND, SERVICE, spec);
    time::sleep(Duration::from_millis(rng.random_range(300..1_000))).await;
    register(&world, "ready");
    let state = final_state(&world, from + FINAL_WITHIN).await;
    world.run_state().rollout = Some(Rollout {
        bad,
        from,
        until: Instant::now(),
        state,
    });
    register(&world, "draining");
    time::sleep(CONFIG_PROPAGATION + RACE_MARGIN).await;
    world.platform.remove(KIND, SERVICE);
    for index in 0..ENDPOINTS {
        world.platform.remove("servers", &target_id(index));
    }
}

/// Returns the id of an endpoint of the target version.
pub fn target_id(index: usize) -> String {
    format!("i-target{index}")
}

fn register(world: &World, state: &str) {
    for (index, proxy) in world.target_proxies.iter().enumerate() {
        let spec = json!({"backend": SERVICE, "address": proxy.addr, "zone": format!("site-t{index}"),
            "version": TARGET_VERSION, "capacity": 8, "state": state, "warmupLeftMs": 0, "sequence": 1});
        world.platform.set("servers", &target_id(index), spec);
    }
}

async fn final_state(world: &World, until: Instant) -> String {
    loop {
        let status = world.platform.status(KIND, SERVICE);
        let state = status["state"].as_str().unwrap_or("none").to_owned();
        if state == "completed" || state == "rolled_back" || Instant::now() >= until {
            return state;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// Checks the state of the roll-out, and the bounds on requests to a bad version.
pub fn check(world: &World, run_state: &RunState, report: &mut Report) {
    let Some(rollout) = &run_state.rollout else {
        report.breaches.push("the roll-out did not end".into());
        return;
    };
    let mut breach = |what: String| {
        let bad = rollout.bad;
        report.breaches.push(format!("roll-out: {what}: {bad:?}"));
    };
    let is_final = match rollout.bad {
        Some(_) => rollout.state == "rolled_back",
        // Faults can make a good version look bad, or leave too little evidence.
        None => rollout.state == "completed" || rollout.state == "rolled_back",
    };
    if !is_final {
        breach(format!("its state is {}", rollout.state));
    }
    if rollout.bad.is_none() {
        return;
    }
    let during = |seen: &Seen| (rollout.from..rollout.until).contains(&seen.at);
    let first = world.runners.len();
    let to_target = world.target_runners.iter().enumerate();
    let to_target = to_target.flat_map(|(index, runner)| {
        let seen = runner.seen().into_iter();
        seen.map(move |seen| (first + index, seen))
    });
    let mut to_target: Vec<(usize, Seen)> = to_target.collect();
    to_target.sort_by_key(|(_, seen)| seen.at);
    let others = world.runners.iter().flat_map(Runner::seen);
    let exposed = to_target.iter().filter(|(_, seen)| during(seen)).count();
    let all = exposed + others.filter(during).count();
    let bound = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
    if exposed as f64 > bound {
        breach(format!("{exposed} of {all} requests, {bound:.0} allowed"));
    }
    let mut bad = to_target.iter().filter(|(_, seen)| seen.was_bad);
    if let Some((_, condemned)) = bad.nth(BAD_ANSWERS - 1) {
        let end = condemned.at + ROLLBACK;
        let late = to_target.iter().filter(|(endpoint, seen)| {
            seen.at > end && !run_state.may_have_waited(*endpoint, end, seen.at)
        });
        let late = late.count();
        if late > 0 {
            breach(format!("{late} requests too late after the bad answers"));
        }
    }
}
