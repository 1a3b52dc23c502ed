//! Callers that leave streams and take them up at any instance, while endpoints of two software versions serve side by
//! side. Each stream is checked by its events over all its answers. Endpoints state their version in each event, so
//! that the runs of a stream are compared with the version whose events its caller has.

use std::{
    collections::HashMap,
    ops::Range,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{net::TcpStream, task::JoinSet, time};

use crate::{
    runner::EVENTS,
    soak::{
        EndpointStart, Plan, Report, RunState, World,
        callers::{self, Path, Sent},
        checks,
    },
    stream_check::{self, Answer, Expected, whole_events},
    streams::TakenUp,
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
/// Time after a loss of all instances in which a caller tries again if its connection breaks.
const RETURN: Duration = Duration::from_secs(2);
/// Upper bound on the time for which an endpoint drains and is down before the next start at its address.
const ENDPOINT_LEAVES_FOR: Duration = Duration::from_millis(1_400);
/// Share of the streams taken up without faults that must go on. New streams are served at .9.
const CALM_SHARE: f64 = 0.45;
/// From so many streams on, the share counts.
const MIN_STREAMS: usize = 12;

/// Returns the version of the software with which an endpoint starts.
pub(super) fn first_version_of(endpoint: usize) -> &'static str {
    match endpoint % 3 {
        0 => "v1.1",
        _ => "v1",
    }
}

/// A stream that its caller left, and may have taken up again.
#[derive(Clone, Debug, Default)]
pub(super) struct LeftStream {
    /// The answers that brought events, or could have.
    answers: Vec<Answer>,
    /// When its first request was sent and its last answer ended.
    period: Option<(Instant, Instant)>,
    /// Whether its last attempt was refused.
    was_refused: bool,
    /// When it was first taken up.
    taken_up_at: Option<Instant>,
    /// Whether it was taken up and one answer brought the rest of it.
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
        let mut stream = LeftStream::default();
        let first = format!("left-{number}-{count}");
        let events = rng.random_range(1..EVENTS);
        let began_at = Instant::now();
        // However it ends, the events that arrived count.
        let _ = stream.read(&world, &mut rng, first, events).await;
        let is_over = stream.answers.iter().any(|a| a.is_complete);
        if stream_check::last_number(&stream.answers) > 0 && !is_over {
            time::sleep(Duration::from_millis(rng.random_range(AWAY_MS))).await;
            stream.take_up(&world, &mut rng).await;
        }
        stream.period = Some((began_at, Instant::now()));
        world.run_state().left.push(stream);
    }
}

impl LeftStream {
    async fn take_up(&mut self, world: &World, rng: &mut ChaCha8Rng) {
        self.taken_up_at = Some(Instant::now());
        for attempt in 0..ATTEMPTS {
            let id = format!("{}-{attempt}", self.answers[0].request_id);
            let reading = self.read(world, rng, id, u64::MAX).await;
            self.was_refused = matches!(reading, Ok(Reading::Refused));
            match reading {
                Ok(Reading::Answered) => {
                    self.is_whole = true;
                    break;
                }
                Ok(Reading::Refused) => time::sleep(Duration::from_millis(300)).await,
                Err(Lost) if world.run_state().has_just_lost_all() => {
                    time::sleep(Duration::from_millis(300)).await;
                }
                // The share of streams that go on counts attempts that are refused only.
                Err(Lost) => break,
            }
        }
    }

    /// Sends a request with this id for the stream, or for the rest of it, and reads until it ends or that many events
    /// have arrived.
    async fn read(
        &mut self,
        world: &World,
        rng: &mut ChaCha8Rng,
        id: String,
        events: u64,
    ) -> Result<Reading, Lost> {
        world.run_state().other_ids.insert(id.clone());
        let after = stream_check::last_number(&self.answers);
        let mut answer = Answer {
            request_id: id.clone(),
            after,
            text: String::new(),
            is_complete: false,
            is_framed: false,
        };
        let last_event = after.to_string();
        let first = self.answers.first();
        let headers = first.map(|first| {
            [
                ("last-event-id", &*last_event),
                ("resumes", &*first.request_id),
            ]
        });
        let reading = async {
            let headers = headers.as_ref().map_or(&[][..], |h| &h[..]);
            let Some(response) = send(world, rng, &id, headers).await? else {
                return Ok(Reading::Refused);
            };
            answer.is_framed = callers::is_framed(response.headers());
            let mut body = response.into_body();
            while (whole_events(&answer.text).len() as u64) < events {
                let Some(frame) = body.frame().await else {
                    answer.is_complete = true;
                    break;
                };
                let bytes = frame.map_err(|_| Lost)?.into_data().unwrap_or_default();
                answer.text.push_str(&String::from_utf8_lossy(&bytes));
            }
            Ok(Reading::Answered)
        };
        let read = time::timeout(TIMEOUT, reading).await;
        self.answers.push(answer);
        read.unwrap_or(Err(Lost))
    }
}

/// What came of a request that was answered or refused.
enum Reading {
    Answered,
    Refused,
}

/// The connection broke.
struct Lost;

/// Sends a request to any instance; returns a success, or `None` for a refusal.
async fn send(
    world: &World,
    rng: &mut ChaCha8Rng,
    id: &str,
    headers: &[(&str, &str)],
) -> Result<Option<Response<Incoming>>, Lost> {
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
        StatusCode::OK => Ok(Some(response)),
        _ => Ok(None),
    }
}

impl RunState {
    fn has_just_lost_all(&self) -> bool {
        self.lost_all_at.is_some_and(|at| at.elapsed() < RETURN)
    }

    /// Returns whether one endpoint of a version served between `from` and `until`.
    fn served(
        &self,
        current: &[EndpointStart],
        version: &str,
        from: Instant,
        until: Instant,
    ) -> bool {
        let mut ended = self.ended_starts.iter();
        let is_of = |start: &EndpointStart| start.version == version && start.at < from;
        current.iter().any(is_of)
            || ended.any(|(start, end)| is_of(start) && *end > until + ENDPOINT_LEAVES_FOR)
    }
}

/// Counts streams that began before the loss of all instances and were taken up after it, whose version served.
fn count_after_loss(world: &World, run_state: &RunState) -> TakenUp {
    let mut counts = TakenUp::default();
    let Some(lost_at) = run_state.lost_all_at else {
        return counts;
    };
    let current = world.endpoint_starts.lock().expect("no holder panics");
    for stream in &run_state.left {
        let (Some((began_at, ended_at)), Some(_)) = (stream.period, stream.taken_up_at) else {
            continue;
        };
        let served = stream_check::began_version(&stream.answers)
            .is_some_and(|version| run_state.served(&current, &version, lost_at, ended_at));
        if began_at < lost_at && lost_at < ended_at && served {
            counts.streams += 1;
            counts.whole += usize::from(stream.is_whole);
            counts.refused += usize::from(stream.was_refused);
        }
    }
    counts
}

/// A run that was to continue a stream.
struct Resumption {
    id: String,
    version: String,
    after: String,
}

/// Returns the runs that were to continue streams.
fn resumptions(world: &World) -> Vec<Resumption> {
    let seen = world.all_runners().flat_map(|runner| runner.seen());
    let run = seen.filter(|seen| seen.has_run);
    run.filter_map(|seen| {
        Some(Resumption {
            id: seen.headers.get("request-id")?.clone(),
            version: seen.version.clone(),
            after: seen.headers.get("last-event-id")?.clone(),
        })
    })
    .collect()
}

/// Checks all streams that were left, that no run was to continue a stream of another version, and that enough streams
/// went on without faults.
pub(super) fn check(world: &World, sent: &HashMap<String, Sent>, report: &mut Report) {
    let run_state = world.run_state();
    let left = run_state.left.iter();
    let left = left.map(|stream| (Path::Resume, &stream.answers));
    let plain = run_state.plain_streams.iter();
    let plain = plain.map(|(path, answers)| (*path, answers));
    let broken_unframed = checks::broken_unframed(world);
    let mut began: HashMap<&str, String> = HashMap::new();
    for (path, answers) in left.chain(plain) {
        let may_end_unframed = path.runs_once()
            && answers
                .iter()
                .all(|a| broken_unframed.contains(&a.request_id));
        let breach = path.stream().and_then(|expected| {
            let expected = Expected {
                may_end_unframed,
                ..expected
            };
            stream_check::find_breach(answers, &expected)
        });
        if let Some(breach) = breach {
            let id = &answers[0].request_id;
            report
                .breaches
                .push(format!("{id}: not its stream: {breach}"));
        }
        if let Some(version) = stream_check::began_version(answers) {
            began.extend(answers.iter().map(|a| (&*a.request_id, version.clone())));
        }
    }
    for (id, one) in sent {
        let version = one.stream_answer(id);
        let version = version.and_then(|answer| stream_check::began_version(&[answer]));
        began.extend(version.map(|version| (&**id, version)));
    }
    for run in resumptions(world) {
        // Without an event at its caller, a stream has no version that can be told.
        let Some(began) = began.get(&*run.id) else {
            continue;
        };
        if *began != run.version {
            report.breaches.push(format!(
                "{}: a stream of {began} went on at {} after event {}",
                run.id, run.version, run.after
            ));
        }
    }
    report.taken_up_after_loss = count_after_loss(world, &run_state);
    let calm_since = run_state.calm_since;
    let calm: Vec<_> = run_state
        .left
        .iter()
        .filter(|s| calm_since.is_some_and(|since| s.taken_up_at.is_some_and(|at| at > since)))
        .collect();
    let whole = calm.iter().filter(|s| s.is_whole).count();
    if calm.len() >= MIN_STREAMS && (whole as f64) < calm.len() as f64 * CALM_SHARE {
        report.breaches.push(format!(
            "{whole} of {} streams went on that were taken up without faults",
            calm.len()
        ));
    }
}
