//! Callers that reuse their connections and record the outcome of each request.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, StatusCode,
    client::conn::http1::{self, SendRequest},
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{net::TcpSocket, time};

use crate::{
    runner::{EVENTS, LONG_PADDING},
    soak::{World, configurations, slow_callers},
    stream_check::{Answer, Expected},
};

/// Timeout of a request; the routes' own timeout is 3 s.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 10..80;

/// Route of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// Non-idempotent: may run only once.
    Once,
    /// Idempotent: may be retried.
    Again,
    /// Streaming: another endpoint may resume it.
    Resume,
    /// As `Resume`, with long events.
    Long,
    /// A route that comes and goes, with its number.
    Side(usize),
}

impl Path {
    /// Returns the path of a request.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Once => "/once/x",
            Self::Again => "/again/x",
            Self::Resume => "/resume/stream",
            Self::Long => "/resume/long/stream",
            Self::Side(number) => configurations::SIDE_ROUTES[number].path,
        }
    }

    /// Returns what a response is if it is a stream.
    pub fn stream(self) -> Option<Expected> {
        let (padding_bytes, may_resume) = match self {
            Self::Once | Self::Again => return None,
            Self::Resume => (0, true),
            Self::Long => (LONG_PADDING, true),
            Self::Side(number) => {
                let route = &configurations::SIDE_ROUTES[number];
                if !route.is_stream() {
                    return None;
                }
                (0, route.may_resume)
            }
        };
        Some(Expected {
            events: EVENTS,
            padding_bytes,
            may_resume,
            may_end_unframed: false,
        })
    }

    /// Returns whether a request may run only once.
    pub fn runs_once(self) -> bool {
        match self {
            Self::Side(number) => configurations::SIDE_ROUTES[number].attempts == 1,
            _ => self == Self::Once,
        }
    }
}

/// Outcome of a request as its caller saw it.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A response arrived, possibly incomplete.
    Answered {
        /// Status code.
        status: StatusCode,
        /// Body, as far as it arrived.
        body: Bytes,
        /// Whether the body is complete.
        is_whole: bool,
        /// Whether a length or chunks delimit it, and not the close of the connection alone.
        is_framed: bool,
        /// Whether the response has an endpoint's signature.
        is_signed: bool,
    },
    /// The connection broke or the request timed out before a response began.
    Lost,
    /// The caller learned that the connection was closed before it had sent anything.
    NotSent,
}

impl Outcome {
    /// Returns whether a complete response arrived.
    pub fn is_whole(&self) -> bool {
        matches!(self, Self::Answered { is_whole: true, .. })
    }
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Route.
    pub path: Path,
    /// API key.
    pub key: String,
    /// Index of the instance that it was sent to.
    pub instance: usize,
    /// When the caller began to send it.
    pub at: Instant,
    /// When it had been sent whole; `None` if the connection broke before.
    pub whole_at: Option<Instant>,
    /// For how long its connection had been idle; `None` for a new one.
    pub idle_for: Option<Duration>,
    /// Outcome; `None` while it is in flight.
    pub outcome: Option<Outcome>,
    /// When the outcome was known.
    pub ended_at: Option<Instant>,
}

impl Sent {
    /// Returns the answer, if it is a stream that began with success.
    pub fn stream_answer(&self, id: &str) -> Option<Answer> {
        let Some(Outcome::Answered {
            status,
            body,
            is_whole,
            is_framed,
            ..
        }) = &self.outcome
        else {
            return None;
        };
        let is_stream = self.path.stream().is_some() && status.is_success();
        is_stream.then(|| Answer {
            request_id: id.to_owned(),
            after: 0,
            text: String::from_utf8_lossy(body).into_owned(),
            is_complete: *is_whole,
            is_framed: *is_framed,
        })
    }

    /// Returns a request that is sent now.
    pub fn now(path: Path, key: &str, instance: usize, idle_since: Option<Instant>) -> Self {
        let at = Instant::now();
        Self {
            path,
            key: key.to_owned(),
            instance,
            at,
            whole_at: None,
            idle_for: idle_since.map(|since| at - since),
            outcome: None,
            ended_at: None,
        }
    }
}

/// Parameters of a caller.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Number that makes its request ids unique.
    pub number: usize,
    /// Its API key; `None` picks one for each request.
    pub key: Option<&'static str>,
    /// Pause between two of its requests, in milliseconds.
    pub pause_ms: std::ops::Range<u64>,
    /// Whether it requests long streams and reads them slowly.
    pub reads_slowly: bool,
}

impl Caller {
    /// Returns a caller that picks a key for each request.
    pub fn with_any_key(number: usize) -> Self {
        Self {
            number,
            key: None,
            pause_ms: PAUSE_MS,
            reads_slowly: false,
        }
    }
}

/// Sends requests until aborted.
pub async fn run(world: Arc<World>, caller: Caller, seed: u64) {
    let Caller {
        number,
        key: own_key,
        pause_ms,
        reads_slowly,
    } = caller;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut idle_connection: Option<(usize, SendRequest<Full<Bytes>>)> = None;
    let mut idle_since = None;
    for count in 0.. {
        time::sleep(Duration::from_millis(rng.random_range(pause_ms.clone()))).await;
        let (index, mut sender) = match idle_connection.take() {
            Some(idle_connection) => idle_connection,
            None => {
                let index = rng.random_range(0..world.store_proxies.len());
                let addr = world.instances.lock().expect("no holder panics")[index].callers();
                let Some(sender) = connect(addr, reads_slowly).await else {
                    continue;
                };
                idle_since = None;
                (index, sender)
            }
        };
        if time::timeout(TIMEOUT, sender.ready())
            .await
            .map_or(true, |r| r.is_err())
        {
            continue;
        }
        let path = match reads_slowly {
            true => Path::Long,
            false => [Path::Once, Path::Again, Path::Resume][rng.random_range(0..3)],
        };
        let key = match own_key {
            Some(key) => key.to_owned(),
            None => pick_key(&world, &mut rng),
        };
        let id = format!("{number}-{count}");
        let mut sent = Sent::now(path, &key, index, idle_since);
        world.record(&id, &sent);
        let read_pause = reads_slowly
            .then(|| Duration::from_millis(rng.random_range(slow_callers::READ_PAUSE_MS)));
        let outcome = exchange(&mut sender, path, &id, &key, read_pause).await;
        let is_reusable = outcome.is_whole();
        sent.ended_at = Some(Instant::now());
        // Its few bytes are sent at once, or not at all.
        sent.whole_at = (!matches!(outcome, Outcome::NotSent)).then_some(sent.at);
        sent.outcome = Some(outcome);
        world.record(&id, &sent);
        if is_reusable {
            idle_connection = Some((index, sender));
            idle_since = sent.ended_at;
        }
    }
}

impl World {
    /// Records the state of a request.
    pub fn record(&self, id: &str, request: &Sent) {
        let mut sent = self.sent.lock().expect("no holder panics");
        sent.insert(id.to_owned(), request.clone());
    }
}

/// Picks a valid key, or in one of 8 cases a revoked one.
fn pick_key(world: &World, rng: &mut ChaCha8Rng) -> String {
    let run_state = world.run_state();
    let revoked = &run_state.revoked;
    if !revoked.is_empty() && rng.random_range(0..8) == 0 {
        return revoked[rng.random_range(0..revoked.len())].0.clone();
    }
    run_state.keys[rng.random_range(0..run_state.keys.len())].clone()
}

async fn connect(addr: SocketAddr, reads_slowly: bool) -> Option<SendRequest<Full<Bytes>>> {
    let connecting = async {
        let socket = TcpSocket::new_v4()?;
        if reads_slowly {
            socket.set_recv_buffer_size(slow_callers::RECEIVE_BUFFER_BYTES)?;
        }
        socket.connect(addr).await
    };
    let stream = time::timeout(Duration::from_secs(1), connecting)
        .await
        .ok()?
        .ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // Errors of the connection are also returned to the pending request.
    tokio::spawn(connection);
    Some(sender)
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    path: Path,
    id: &str,
    key: &str,
    read_pause: Option<Duration>,
) -> Outcome {
    let request = Request::post(path.as_str())
        .header("host", "h.example")
        .header("request-id", id)
        .header("deadline-ms", "4000")
        .header("authorization", format!("Token {key}"))
        .body(Full::from("a prompt"))
        .expect("a sound request");
    let until = time::Instant::now() + TIMEOUT;
    let response = match time::timeout_at(until, sender.send_request(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.is_canceled() => return Outcome::NotSent,
        Ok(Err(_)) | Err(_) => return Outcome::Lost,
    };
    let (parts, mut incoming) = response.into_parts();
    let mut body = Vec::new();
    let mut pauses_left = slow_callers::READ_PAUSES;
    let is_whole = loop {
        if let Some(pause) = read_pause.filter(|_| pauses_left > 0) {
            pauses_left -= 1;
            time::sleep(pause).await;
        }
        match time::timeout_at(until, incoming.frame()).await {
            Ok(None) => break true,
            Ok(Some(Ok(frame))) => {
                body.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
            }
            Ok(Some(Err(_))) | Err(_) => break false,
        }
    };
    Outcome::Answered {
        status: parts.status,
        body: body.into(),
        is_whole,
        is_framed: is_framed(&parts.headers),
        is_signed: parts.headers.contains_key("instance-signature"),
    }
}

/// Returns whether a length or chunks delimit a response with these headers.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
