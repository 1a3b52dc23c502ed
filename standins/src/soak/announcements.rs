//! Endpoints that announce their departure or request a back-off during the faults; the check is for each instance.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time;

use crate::{
    runner::Seen,
    soak::{Plan, Report, RunState, World, callers::Sent},
};

/// XORed into the seed, so that these draws do not change the faults of a given seed.
const RNG_STREAM: u64 = 0x0077_6f72_6473;
/// Values of `Retry-After`, in seconds; some are invalid or zero.
const RETRY_AFTER_VALUES: [&str; 6] = ["0.3", "1", "2.5", "4", "0", "later"];
/// How long an endpoint requests a back-off, or serves on after announcing its departure, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 500..3_500;
/// Time between the end of an endpoint and its restart.
const DOWNTIME: Duration = Duration::from_millis(300);
/// Pause between two announcements, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..800;
/// How long an endpoint may get requests after announcing its departure: the instances' bound plus a margin.
const LEAVING_BOUND: Duration = Duration::from_millis(2_500);
/// Requests already in flight reach a backed-off endpoint within this time.
const IN_FLIGHT_BOUND: Duration = Duration::from_millis(500);
/// Requests that one instance may send to a backed-off endpoint after that.
const MAX_DURING_BACK_OFF: usize = 2;

/// Announcement of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) enum Announcement {
    /// The endpoint is leaving.
    Leaves,
    /// The endpoint refuses requests and asks each refused instance to back off for this long.
    Rests(Duration),
}

/// Period for which an endpoint made an announcement.
#[derive(Clone, Copy, Debug)]
pub(super) struct Period {
    endpoint: usize,
    announcement: Announcement,
    from: Instant,
    until: Instant,
}

/// Makes random endpoints leave or request a back-off, one at a time, during the fault phase.
pub async fn announce_at_random(world: Arc<World>, plan: Plan) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ RNG_STREAM);
    let until = time::Instant::now() + plan.faults_for;
    while time::Instant::now() < until {
        let endpoint = rng.random_range(0..world.runners.len());
        let duration = Duration::from_millis(rng.random_range(DURATION_MS));
        match rng.random_range(0..3) {
            0 => leave(&world, endpoint, duration).await,
            _ => {
                request_back_off(
                    &world,
                    endpoint,
                    RETRY_AFTER_VALUES[rng.random_range(0..RETRY_AFTER_VALUES.len())],
                    duration,
                )
                .await
            }
        }
        time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
}

/// Makes an endpoint announce its departure, serve on, end and restart under a new id.
async fn leave(world: &World, endpoint: usize, duration: Duration) {
    let from = Instant::now();
    world.runners[endpoint].announce_leaving(Some("1"));
    time::sleep(duration).await;
    world.runners[endpoint].end();
    world.record_period(endpoint, Announcement::Leaves, from);
    time::sleep(DOWNTIME).await;
    world.restart_endpoint(endpoint).await;
}

/// Makes an endpoint refuse requests and request a back-off for `duration`.
async fn request_back_off(world: &World, endpoint: usize, retry_after: &str, duration: Duration) {
    let from = Instant::now();
    world.runners[endpoint].set_retry_after(Some(retry_after));
    time::sleep(duration).await;
    world.runners[endpoint].set_retry_after(None);
    if let Ok(back_off_s) = retry_after.parse() {
        let back_off = Duration::from_secs_f64(back_off_s);
        world.record_period(endpoint, Announcement::Rests(back_off), from);
    }
}

impl World {
    fn record_period(&self, endpoint: usize, announcement: Announcement, from: Instant) {
        self.run_state().announcements.push(Period {
            endpoint,
            announcement,
            from,
            until: Instant::now(),
        });
    }
}

/// Checks that no instance kept sending to an endpoint that had announced its departure to it or asked it to back off.
pub(super) fn check(
    world: &World,
    sent: &HashMap<String, Sent>,
    run_state: &RunState,
    report: &mut Report,
) {
    for period in &run_state.announcements {
        let runner = &world.runners[period.endpoint];
        let (seen, ends) = (runner.seen(), runner.ended_at());
        let mut by_instance: HashMap<usize, Vec<&Seen>> = HashMap::new();
        for one in &seen {
            let id = one.headers.get("request-id");
            if let Some(sent) = id.and_then(|id| sent.get(id)) {
                by_instance.entry(sent.instance).or_default().push(one);
            }
        }
        for (instance, seen) in by_instance {
            let late = match period.announcement {
                Announcement::Leaves => {
                    late_after_leaving(period, &ends, instance, &seen, run_state)
                }
                Announcement::Rests(back_off) => {
                    late_during_back_off(period, back_off, &ends, instance, &seen, run_state)
                }
            };
            if late > 0 {
                report.breaches.push(format!(
                    "{late} requests of instance {instance} reached endpoint {} against its word: {:?}",
                    period.endpoint, period.announcement
                ));
            }
        }
    }
}

/// Returns the earlier of `until` and the first of an endpoint's ends after `from`: what is started at its address then has
/// announced nothing.
fn before_end(ends: &[Instant], from: Instant, until: Instant) -> Instant {
    let end = ends.iter().copied().find(|end| *end > from);
    end.map_or(until, |end| end.min(until))
}

/// Counts requests from an instance that arrived more than [`LEAVING_BOUND`] after the endpoint announced its departure
/// to that instance.
fn late_after_leaving(
    period: &Period,
    ends: &[Instant],
    instance: usize,
    seen: &[&Seen],
    run_state: &RunState,
) -> usize {
    let until = before_end(ends, period.from, period.until);
    let in_span = seen.iter().filter(|s| s.at > period.from && s.at < until);
    let answered = in_span.clone().filter(|s| s.finished);
    let Some(notified_at) = answered.map(|s| s.at).min() else {
        return 0;
    };
    if run_state.is_exempt(instance, period.endpoint, notified_at, until) {
        return 0;
    }
    let bound = notified_at + LEAVING_BOUND;
    in_span
        .filter(|s| s.at > bound && !run_state.may_have_waited(period.endpoint, bound, s.at))
        .count()
}

/// Returns the largest excess of requests from an instance over those allowed during one back-off.
fn late_during_back_off(
    period: &Period,
    back_off: Duration,
    ends: &[Instant],
    instance: usize,
    seen: &[&Seen],
    run_state: &RunState,
) -> usize {
    let is_in_span = |s: &&&Seen| s.at > period.from && s.at < period.until;
    let refusals = seen.iter().filter(is_in_span);
    let refusals = refusals.filter(|s| s.was_backed_off);
    let late_counts = refusals.map(|refusal| {
        let end = before_end(ends, refusal.at, refusal.at + back_off);
        if run_state.is_exempt(instance, period.endpoint, refusal.at, end) {
            return 0;
        }
        let bound = refusal.at + IN_FLIGHT_BOUND;
        let is_late = |s: &&&Seen| {
            let may_have_waited = run_state.may_have_waited(period.endpoint, bound, s.at);
            s.at > bound && s.at < end && !may_have_waited
        };
        seen.iter().filter(is_late).count()
    });
    late_counts
        .max()
        .unwrap_or(0)
        .saturating_sub(MAX_DURING_BACK_OFF)
}
