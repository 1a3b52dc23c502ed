//! Endpoints that are brittle in the calm phase: they crash when they refuse many requests in a second, and let no
//! request wait some time after they have announced it.

use crate::soak::{Report, World};

/// Requests that an endpoint runs at a time: enough that few usable endpoints have room for the load.
pub const SLOTS: usize = 16;
/// Refusals in a second that an endpoint bears.
const REFUSALS: usize = 4;
/// At most so many crashes, and one more for each of these endpoints.
const CRASHES: usize = 2;
const ENDPOINTS_PER_CRASH: usize = 10;

/// Lets all endpoints announce that they are brittle.
pub fn announce(world: &World) {
    for runner in &world.runners {
        runner.set_slots(SLOTS);
        runner.set_brittle(Some(REFUSALS));
    }
}

/// Lets no request wait at an endpoint any more.
pub fn shrink(world: &World) {
    for runner in &world.runners {
        runner.set_waiting_room(0);
    }
}

/// Checks that few endpoints crashed.
pub fn check(world: &World, report: &mut Report) {
    let crashes: usize = world.runners.iter().map(|runner| runner.falls()).sum();
    let allowed = CRASHES + world.runners.len() / ENDPOINTS_PER_CRASH;
    if crashes > allowed {
        report.breaches.push(format!(
            "brittle endpoints crashed {crashes} times, {allowed} are allowed"
        ));
    }
}
