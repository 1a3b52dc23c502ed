//! Instances that are cut off from all endpoints, while callers, the store and the other instances reach them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::time;

use crate::soak::{
    Report, RunState, World,
    callers::{Outcome, Sent},
};

/// From this time after a cut on, callers of the instance are served as those of the others are.
const DETECTION: Duration = Duration::from_millis(1_500);
/// Length of the cut in the calm phase, which ends before the instance's last requests do.
const CALM_CUT: Duration = Duration::from_secs(4);
/// Minimum share of the requests that must be served at the instance that is cut off in the calm phase.
const SERVED_SHARE: f64 = 0.9;

/// A cut of an instance.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    pub instance: usize,
    pub from: Instant,
    pub until: Instant,
}

/// Cuts an instance off from all endpoints for a time.
pub async fn cut(world: &World, instance: usize, duration: Duration) {
    let source = world.instances.lock().expect("no holder panics")[instance].source();
    let set = |is_cut: bool| {
        for proxy in world.runner_proxies.iter().chain(&world.target_proxies) {
            proxy.cut_source(source, is_cut);
        }
    };
    let from = Instant::now();
    set(true);
    time::sleep(duration).await;
    set(false);
    let until = Instant::now();
    world.run_state().cuts.push(Cut {
        instance,
        from,
        until,
    });
}

/// Cuts one instance off in the calm phase, other than the one that stops. Others must remain.
pub async fn cut_in_calm(world: &World, rng: &mut ChaCha8Rng) {
    let count = world.instances.lock().expect("no holder panics").len();
    let stopped = world.run_state().stopped.last().map(|(index, _)| *index);
    let others: Vec<usize> = (0..count).filter(|index| Some(*index) != stopped).collect();
    if others.len() > 1 {
        cut(world, others[rng.random_range(0..others.len())], CALM_CUT).await;
    }
}

/// Checks that callers of the instance that is cut off in the calm phase are served.
pub fn check(sent: &HashMap<String, Sent>, run_state: &RunState, report: &mut Report) {
    let calm_since = run_state.calm_since;
    let calm = run_state.cuts.iter();
    for cut in calm.filter(|cut| calm_since.is_some_and(|since| cut.from >= since)) {
        let sent = sent.values().filter(|s| {
            s.instance == cut.instance
                && s.at > cut.from + DETECTION
                && s.at < cut.until
                && s.outcome.is_some()
                && run_state.keys.contains(&s.key)
        });
        let is_served = |s: &&Sent| matches!(&s.outcome, Some(Outcome::Answered { status, is_whole: true, .. }) if status.is_success());
        let sent: Vec<&Sent> = sent.collect();
        let served = sent.iter().copied().filter(is_served).count();
        if (served as f64) < sent.len() as f64 * SERVED_SHARE {
            let unserved = sent.iter().copied().find(|s| !is_served(s));
            let after = unserved.map(|s| s.at - cut.from);
            report.breaches.push(format!(
                "{served} of {} served by instance {}, which was cut off from the endpoints, as {unserved:?}, sent {after:?} after the cut",
                sent.len(),
                cut.instance
            ));
        }
    }
}
