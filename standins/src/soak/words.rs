//! Endpoints that leave and endpoints that ask for rest, in series among faults; both are checked for each instance.

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
    soak::{Plan, Promised, Report, World, callers::Sent},
};

/// Draws apart from those of the faults, so that a seed's faults stay what they are.
const OWN_SERIES: u64 = 0x0077_6f72_6473;
/// What endpoints ask for, in seconds; some of it is no time.
const RESTS: [&str; 6] = ["0.3", "1", "2.5", "4", "0", "later"];
/// How long an endpoint asks for rest, or serves on after its word that it leaves, in milliseconds.
const STANDS_MS: std::ops::Range<u64> = 500..3_500;
/// An endpoint that left is away for so long.
const AWAY: Duration = Duration::from_millis(300);
/// The pause between two words, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..800;
/// After its word an endpoint may be sent requests for so long, which is the instances' bound and some more.
const LEAVING: Duration = Duration::from_millis(2_500);
/// What is on its way reaches an endpoint at rest within this time; after it so many do from one instance.
const ON_THEIR_WAY: Duration = Duration::from_millis(500);
const MOST_IN_REST: usize = 2;

/// What an endpoint said for a while.
#[derive(Clone, Copy, Debug)]
pub(super) enum Word {
    /// It leaves.
    Leaves,
    /// It wants so much rest of each instance that it turns away.
    Rests(Duration),
}

/// A word that stood.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stood {
    endpoint: usize,
    word: Word,
    from: Instant,
    until: Instant,
}

/// Lets endpoints leave and ask for rest, one at a time, for as long as there are faults.
pub async fn say_in_series(world: Arc<World>, plan: Plan) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ OWN_SERIES);
    let until = time::Instant::now() + plan.faults_for;
    while time::Instant::now() < until {
        let endpoint = rng.random_range(0..world.runners.len());
        let stands = Duration::from_millis(rng.random_range(STANDS_MS));
        match rng.random_range(0..3) {
            0 => leave(&world, endpoint, stands).await,
            _ => {
                rest(
                    &world,
                    endpoint,
                    RESTS[rng.random_range(0..RESTS.len())],
                    stands,
                )
                .await
            }
        }
        time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
}

/// An endpoint says that it leaves, serves on for a while, ends, and starts again under a new id.
async fn leave(world: &World, endpoint: usize, stands: Duration) {
    let from = Instant::now();
    world.runners[endpoint].say_leaving(Some("1"));
    time::sleep(stands).await;
    world.runners[endpoint].end();
    world.note_stood(endpoint, Word::Leaves, from);
    time::sleep(AWAY).await;
    world.start_again(endpoint).await;
}

async fn rest(world: &World, endpoint: usize, word: &str, stands: Duration) {
    let from = Instant::now();
    world.runners[endpoint].ask_for_rest(Some(word));
    time::sleep(stands).await;
    world.runners[endpoint].ask_for_rest(None);
    if let Ok(rest_s) = word.parse() {
        let rest = Duration::from_secs_f64(rest_s);
        world.note_stood(endpoint, Word::Rests(rest), from);
    }
}

impl World {
    fn note_stood(&self, endpoint: usize, word: Word, from: Instant) {
        self.promised().words.push(Stood {
            endpoint,
            word,
            from,
            until: Instant::now(),
        });
    }
}

/// Checks that no instance sent on to an endpoint that had told it that it leaves, or that wants rest of it.
pub(super) fn check(
    world: &World,
    sent: &HashMap<String, Sent>,
    promised: &Promised,
    report: &mut Report,
) {
    for stood in &promised.words {
        let seen = world.runners[stood.endpoint].seen();
        let mut by_instance: HashMap<usize, Vec<&Seen>> = HashMap::new();
        for one in &seen {
            let id = one.headers.get("request-id");
            if let Some(sent) = id.and_then(|id| sent.get(id)) {
                by_instance.entry(sent.instance).or_default().push(one);
            }
        }
        for (instance, seen) in by_instance {
            let late = match stood.word {
                Word::Leaves => late_after_leaving(stood, instance, &seen, promised),
                Word::Rests(rest) => late_in_rest(stood, rest, instance, &seen, promised),
            };
            if late > 0 {
                report.breaches.push(format!(
                    "{late} requests of instance {instance} reached endpoint {} against its word: {:?}",
                    stood.endpoint, stood.word
                ));
            }
        }
    }
}

/// Counts what reached an endpoint of an instance that it had told long before that it leaves.
fn late_after_leaving(
    stood: &Stood,
    instance: usize,
    seen: &[&Seen],
    promised: &Promised,
) -> usize {
    let in_span = seen
        .iter()
        .filter(|s| s.at > stood.from && s.at < stood.until);
    let answered = in_span.clone().filter(|s| s.finished);
    let Some(told) = answered.map(|s| s.at).min() else {
        return 0;
    };
    if promised.is_excused(instance, stood.endpoint, told, stood.until) {
        return 0;
    }
    in_span.filter(|s| s.at > told + LEAVING).count()
}

/// Returns the most that reached an endpoint of an instance in a rest, beyond what is allowed.
fn late_in_rest(
    stood: &Stood,
    rest: Duration,
    instance: usize,
    seen: &[&Seen],
    promised: &Promised,
) -> usize {
    let is_in_span = |s: &&&Seen| s.at > stood.from && s.at < stood.until;
    let asked = seen.iter().filter(is_in_span);
    let asked = asked.filter(|s| s.was_asked_to_rest);
    let in_rest = asked.map(|asked| {
        let end = asked.at + rest;
        if promised.is_excused(instance, stood.endpoint, asked.at, end) {
            return 0;
        }
        let is_late = |s: &&&Seen| s.at > asked.at + ON_THEIR_WAY && s.at < end;
        seen.iter().filter(is_late).count()
    });
    in_rest.max().unwrap_or(0).saturating_sub(MOST_IN_REST)
}
