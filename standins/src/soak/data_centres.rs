//! Evacuation of a data centre and warm-up of a cold endpoint in the calm phase.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::soak::{CONFIG_PROPAGATION, RACE_MARGIN, Report, World};

/// The service's rate limit for cold endpoints, in requests per second.
pub const COLD_PER_S: f64 = 2.0;
/// Warm-up time of an endpoint after its start, in seconds.
pub const COLD_FOR_S: f64 = 1.0;
/// `warmupOverage` and `warmupSlack` of the settings of the instances.
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// Warm-up time of the endpoint that turns cold in the calm phase.
const COLD: Duration = Duration::from_secs(6);

/// The evacuated data centre and the cold endpoint of the calm phase.
#[derive(Clone, Copy, Debug)]
pub struct Calm {
    evacuated: usize,
    cold: usize,
    from: Instant,
}

/// Returns the data centre of an endpoint; each endpoint has a separate one.
pub fn of_endpoint(endpoint: usize) -> String {
    format!("site-{endpoint}")
}

/// Evacuates the data centre of one endpoint and marks another endpoint as cold.
pub fn start_calm(world: &World, evacuated: usize, cold: usize) {
    let data_centre = of_endpoint(evacuated);
    world.platform.set("evacuations", &data_centre, json!({}));
    world.register_with_warmup(cold, "ready", COLD.as_millis() as u64);
    world.run_state().data_centres = Some(Calm {
        evacuated,
        cold,
        from: Instant::now(),
    });
}

/// Checks that, after propagation, the evacuated endpoint got no requests and the cold one no more than its limit.
pub fn check(world: &World, calm: Option<Calm>, report: &mut Report) {
    let Some(calm) = calm else { return };
    let in_force = calm.from + CONFIG_PROPAGATION + RACE_MARGIN;
    let arrivals = |endpoint: usize, until: Instant| {
        let seen = world.runners[endpoint].seen();
        let at = seen.iter().map(|s| s.at);
        let at: Vec<Instant> = at.filter(|at| (in_force..until).contains(at)).collect();
        at
    };
    let end = in_force + COLD * 10;
    let late = arrivals(calm.evacuated, end).len();
    if late > 0 {
        report.breaches.push(format!(
            "{late} requests reached endpoint {} in an evacuated data centre",
            calm.evacuated
        ));
    }
    let at = arrivals(calm.cold, calm.from + COLD);
    let in_a_second = |from: &Instant| {
        let until = *from + Duration::from_secs(1);
        at.iter().filter(|at| (*from..until).contains(at)).count()
    };
    let max_per_s = at.iter().map(in_a_second).max().unwrap_or(0) as f64;
    let allowed = COLD_PER_S * COLD_OVERAGE + COLD_SLACK;
    if max_per_s > allowed {
        report.breaches.push(format!(
            "cold endpoint {} got {max_per_s} requests in a second, it bears {allowed}",
            calm.cold
        ));
    }
}
