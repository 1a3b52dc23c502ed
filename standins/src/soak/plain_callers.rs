//! Callers on plain sockets, which see how their connections end. They read streams of the side routes, and take them up
//! where they may go on.

use std::{net::SocketAddr, ops::Range, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{task::JoinSet, time};

use crate::{
    soak::{Plan, World, callers::Path, configurations::SIDE_ROUTES},
    streams::caller::{self, Habits, MAX_ANSWERS, StreamCall},
};

/// XORed into the seed, so that these draws do not change the faults of a given seed.
const RNG_STREAM: u64 = 0x0070_6c61_696e;
/// Number of these callers.
const CALLERS: usize = 6;
/// Pause between two streams of a caller, in milliseconds.
const PAUSE_MS: Range<u64> = 50..200;

/// Starts the callers.
pub(super) fn spawn_callers(world: &Arc<World>, plan: &Plan, tasks: &mut JoinSet<()>) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ RNG_STREAM);
    for number in 0..CALLERS {
        let http10 = plan.http10 && number % 2 == 1;
        tasks.spawn(run(world.clone(), number, http10, rng.random()));
    }
}

/// Reads streams until the calm phase, whose checks count on the load of the others.
async fn run(world: Arc<World>, number: usize, http10: bool, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let streams = SIDE_ROUTES.iter().enumerate();
    let streams = streams.filter(|(_, route)| route.is_stream());
    let streams: Vec<usize> = streams.map(|(number, _)| number).collect();
    for count in 0.. {
        time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        if world.run_state().calm_since.is_some() {
            return;
        }
        let route = streams[rng.random_range(0..streams.len())];
        let first_id = format!("plain-{number}-{count}");
        let key = {
            let mut run_state = world.run_state();
            let ids = (0..MAX_ANSWERS).map(|attempt| caller::attempt_id(&first_id, attempt));
            run_state.other_ids.extend(ids);
            run_state.keys.last().cloned().unwrap_or_default()
        };
        let call = StreamCall {
            path: SIDE_ROUTES[route].path.to_owned(),
            first_id,
            key,
            may_resume: SIDE_ROUTES[route].may_resume,
            http10,
            habits: Habits::default(),
        };
        let read = caller::read_stream(&call, || pick_instance(&world, &mut rng)).await;
        let mut run_state = world.run_state();
        run_state
            .plain_streams
            .push((Path::Side(route), read.answers));
    }
}

fn pick_instance(world: &World, rng: &mut ChaCha8Rng) -> SocketAddr {
    let instances = world.instances.lock().expect("no holder panics");
    instances[rng.random_range(0..instances.len())].callers()
}
