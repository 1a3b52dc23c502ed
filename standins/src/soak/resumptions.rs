//! Callers that leave streams and take them up at any instance, while endpoints of two software versions serve side by
//! side; the check is that no stream holds events of both.

use std::{
    collections::{HashMap, HashSet},
    ops::Range,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{net::TcpStream, task::JoinSet, time};

use crate::{
    runner::{EVENTS, event},
    soak::{Plan, Report, World},
};

/// XORed into the seed, so that these draws do not change the faults of a given seed.
const RNG_STREAM: u64 = 0x7265_7375_6d65;
/// Number of these callers.
const CALLERS: usize = 3;
/// Pause between two streams of a caller, in milliseconds.
const PAUSE_MS: Range<u64> = 50..200;
/// Time for which a caller is away before it takes its stream up, in milliseconds.
const AWAY_MS: Range<u64> = 0..400;
/// Attempts to take up one stream.
const ATTEMPTS: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(4);
/// Share of the streams taken up without faults that must go on. New streams are served at .9.
const CALM_SHARE: f64 = 0.45;
/// From so many streams on, the share counts.
const MIN_STREAMS: usize = 12;

/// Returns the version of an endpoint's software.
pub(super) fn version_of(endpoint: usize) -> &'static str {
    match endpoint % 3 {
        0 => "v1.1",
        _ => "v1",
    }
}

/// A stream that its caller left and took up again.
#[derive(Clone, Debug)]
pub(super) struct TakenUp {
    /// The id of the attempt that began it.
    first: String,
    /// The ids of the attempts to take it up.
    others: Vec<String>,
    /// When the first of them was sent.
    at: Instant,
    /// Whether one brought the rest of the stream.
    is_whole: bool,
}

/// Starts the callers.
pub(super) fn spawn_callers(world: &Arc<World>, plan: &Plan, tasks: &mut JoinSet<()>) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ RNG_STREAM);
    for number in 0..CALLERS {
        tasks.spawn(run(world.clone(), number, rng.random()));
    }
}

async fn run(world: Arc<World>, number: usize, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for count in 0.. {
        time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let first = format!("left-{number}-{count}");
        world.run_state().other_ids.insert(first.clone());
        let events = rng.random_range(1..EVENTS);
        let Some(after) = begin(&world, &mut rng, &first, events).await else {
            continue;
        };
        time::sleep(Duration::from_millis(rng.random_range(AWAY_MS))).await;
        take_up(&world, &mut rng, first, after).await;
    }
}

/// Begins a stream and leaves it after some events; returns the last whole event that arrived, if any did.
async fn begin(world: &World, rng: &mut ChaCha8Rng, id: &str, events: u64) -> Option<u64> {
    let mut text = String::new();
    let reading = async {
        let mut body = send(world, rng, id, &[]).await.ok()??;
        while whole_events(&text) < events {
            let frame = body.frame().await?.ok()?;
            let bytes = frame.into_data().unwrap_or_else(|_| Bytes::new());
            text.push_str(&String::from_utf8_lossy(&bytes));
        }
        Some(())
    };
    // However it ends, the events that arrived count.
    let _ = time::timeout(TIMEOUT, reading).await;
    Some(whole_events(&text)).filter(|last| *last > 0)
}

fn whole_events(text: &str) -> u64 {
    text.matches("\n\n").count() as u64
}

async fn take_up(world: &World, rng: &mut ChaCha8Rng, first: String, after: u64) {
    let mut taken_up = TakenUp {
        others: Vec::new(),
        at: Instant::now(),
        is_whole: false,
        first,
    };
    for attempt in 0..ATTEMPTS {
        let id = format!("{}-{attempt}", taken_up.first);
        world.run_state().other_ids.insert(id.clone());
        taken_up.others.push(id.clone());
        let last_event = after.to_string();
        let headers = [
            ("last-event-id", &*last_event),
            ("resumes", &taken_up.first),
        ];
        let reading = async {
            let body = send(world, rng, &id, &headers).await?;
            let Some(body) = body else { return Ok(None) };
            let whole = body.collect().await.map_err(|_| Lost)?;
            Ok(Some(whole.to_bytes()))
        };
        let read = time::timeout(TIMEOUT, reading).await;
        match read.unwrap_or(Err(Lost)) {
            Ok(Some(bytes)) => {
                let expected: String = (after + 1..=EVENTS).map(|n| event(&id, n)).collect();
                if *bytes != *expected.as_bytes() {
                    let breach = format!("{id}: not the rest of {}", taken_up.first);
                    world.run_state().breaches.push(breach);
                }
                taken_up.is_whole = true;
                break;
            }
            Ok(None) => time::sleep(Duration::from_millis(300)).await,
            // Events that were received would have to be counted for another attempt.
            Err(Lost) => break,
        }
    }
    world.run_state().taken_up.push(taken_up);
}

/// The connection broke.
struct Lost;

/// Sends a request to any instance; returns the body of a success, or `None` for a refusal.
async fn send(
    world: &World,
    rng: &mut ChaCha8Rng,
    id: &str,
    headers: &[(&str, &str)],
) -> Result<Option<Incoming>, Lost> {
    let (addr, key) = {
        let instances = world.instances.lock().expect("no holder panics");
        let addr = instances[rng.random_range(0..instances.len())].callers();
        let keys = world.run_state().keys.clone();
        (addr, keys.last().cloned().unwrap_or_default())
    };
    let stream = TcpStream::connect(addr).await.map_err(|_| Lost)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| Lost)?;
    // Errors of the connection are also returned to the pending request.
    tokio::spawn(connection);
    let mut request = Request::post("/resume/stream")
        .header("host", "h.example")
        .header("request-id", id)
        .header("deadline-ms", "4000")
        .header("authorization", format!("Token {key}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::<Bytes>::from("a prompt"))
        .expect("a sound request");
    let response = sender.send_request(request).await.map_err(|_| Lost)?;
    match response.status() {
        StatusCode::OK => Ok(Some(response.into_body())),
        _ => Ok(None),
    }
}

/// A run of an attempt at an endpoint.
struct Run {
    at: Instant,
    /// When the instance left it.
    left_at: Option<Instant>,
    version: &'static str,
    is_resumption: bool,
}

/// Returns the runs of streams by id, in order.
fn runs_by_id(world: &World) -> HashMap<String, Vec<Run>> {
    let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
    let own = world.runners.iter().enumerate();
    let own = own.map(|(index, runner)| (version_of(index), runner));
    let target = world.target_runners.iter().map(|runner| ("v2", runner));
    for (version, runner) in own.chain(target) {
        for seen in runner.seen().into_iter().filter(|s| s.has_run) {
            let id = seen.headers.get("request-id").cloned().unwrap_or_default();
            runs.entry(id).or_default().push(Run {
                at: seen.at,
                left_at: seen.left_at,
                version,
                is_resumption: seen.headers.contains_key("last-event-id"),
            });
        }
    }
    for runs in runs.values_mut() {
        runs.sort_by_key(|run| run.at);
    }
    runs
}

fn describe(runs: &[Run]) -> String {
    let lines = runs.iter().map(|run| {
        let after = run.at - runs[0].at;
        let held = run.left_at.map(|at| at - run.at);
        format!("{} after {after:?}, left after {held:?}", run.version)
    });
    lines.collect::<Vec<_>>().join("; ")
}

/// Checks that streams went on at the version that began them, and that enough went on without faults.
pub(super) fn check(world: &World, report: &mut Report) {
    let run_state = world.run_state();
    let runs = runs_by_id(world);
    let later_ids: HashMap<&str, &[String]> = run_state
        .taken_up
        .iter()
        .map(|t| (&*t.first, &*t.others))
        .collect();
    let others: HashSet<&str> = later_ids
        .values()
        .flat_map(|ids| ids.iter().map(|id| &**id))
        .collect();
    for (id, own) in runs.iter().filter(|(id, _)| !others.contains(&***id)) {
        // A run that began anew brought no event, unless it is the last one.
        let Some(began) = own.iter().rfind(|run| !run.is_resumption) else {
            continue;
        };
        let later = later_ids.get(&**id).copied().unwrap_or_default();
        let later = later.iter().filter_map(|id| runs.get(id)).flatten();
        let went_on = own.iter().chain(later).filter(|run| run.is_resumption);
        for run in went_on.filter(|run| run.version != began.version) {
            report.breaches.push(format!(
                "{id}: a stream of {} went on at {} after {:?}; its runs: {}",
                began.version,
                run.version,
                run.at - own[0].at,
                describe(own)
            ));
        }
    }
    let calm_since = run_state.calm_since;
    let calm: Vec<_> = run_state
        .taken_up
        .iter()
        .filter(|t| calm_since.is_some_and(|since| t.at > since))
        .collect();
    let whole = calm.iter().filter(|t| t.is_whole).count();
    if calm.len() >= MIN_STREAMS && (whole as f64) < calm.len() as f64 * CALM_SHARE {
        report.breaches.push(format!(
            "{whole} of {} streams went on that were taken up without faults",
            calm.len()
        ));
    }
}
