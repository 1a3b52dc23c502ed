//! Callers whose requests have long bodies, sent slowly with a length or in chunks, also on routes and with keys that have
//! just been taken away. They use plain sockets, so that it is known when a request had been sent whole.

use std::{
    future::Future,
    io::ErrorKind,
    ops::Range,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::StatusCode;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    task::JoinSet,
    time,
};

use crate::soak::{
    Plan, World,
    callers::{Outcome, Path, Sent},
    configurations::SIDE_ROUTES,
};

/// XORed into the seed, so that these draws do not change the faults of a given seed.
const RNG_STREAM: u64 = 0x626f_6469_6573;
/// Number of these callers.
const CALLERS: usize = 8;
/// Bytes of a body; the configuration allows 100,000.
const BODY_BYTES: Range<usize> = 8_000..200_000;
const PIECE_BYTES: Range<usize> = 2_000..32_000;
/// Pause before each piece of a body, in milliseconds.
const PIECE_PAUSE_MS: Range<u64> = 0..40;
/// Pause between two requests, in milliseconds; `LONG_PAUSE_MS` is around the idle limits of the instances.
const PAUSE_MS: Range<u64> = 10..200;
const LONG_PAUSE_MS: Range<u64> = 3_000..4_500;
/// One in this many pauses is a long one.
const PAUSES_PER_LONG_PAUSE: u32 = 12;
const TIMEOUT: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts the callers.
pub(super) fn spawn_callers(world: &Arc<World>, plan: &Plan, tasks: &mut JoinSet<()>) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ RNG_STREAM);
    for number in 0..CALLERS {
        tasks.spawn(run(world.clone(), number, rng.random()));
    }
}

/// An open connection without a request.
struct Idle {
    instance: usize,
    stream: TcpStream,
    /// When its last response was complete; `None` for a new connection.
    since: Option<Instant>,
}

/// A request to be sent.
#[derive(Clone, Debug)]
struct Request {
    id: String,
    path: Path,
    key: String,
    body_bytes: usize,
    piece_bytes: usize,
    piece_pause: Duration,
    is_chunked: bool,
    /// Whether the caller reads while it sends. Otherwise it sends as much as it can and reads then.
    reads_early: bool,
}

/// Sends requests until the calm phase.
async fn run(world: Arc<World>, number: usize, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut idle = None;
    for count in 0.. {
        let pause_ms = match rng.random_range(0..PAUSES_PER_LONG_PAUSE) {
            0 => LONG_PAUSE_MS,
            _ => PAUSE_MS,
        };
        time::sleep(Duration::from_millis(rng.random_range(pause_ms))).await;
        if world.run_state().calm_since.is_some() {
            return;
        }
        let connection = match idle.take() {
            Some(connection) => Some(connection),
            None => connect(&world, &mut rng).await,
        };
        let Some(Idle {
            instance,
            mut stream,
            since,
        }) = connection
        else {
            continue;
        };
        let request = draw(&world, &mut rng, format!("long-{number}-{count}"));
        let mut sent = Sent::now(request.path, &request.key, instance, since);
        world.record(&request.id, &sent);
        let mut whole_at = None;
        if is_closed(&stream) {
            sent.outcome = Some(Outcome::NotSent);
            world.record(&request.id, &sent);
            continue;
        }
        let exchange = exchange(&mut stream, &request, &mut whole_at);
        let response = time::timeout(TIMEOUT, exchange).await.ok().flatten();
        let now = Instant::now();
        sent.ended_at = Some(now);
        sent.whole_at = whole_at;
        let is_reusable =
            sent.whole_at.is_some() && response.as_ref().is_some_and(|r| r.is_whole && !r.closes);
        sent.outcome = Some(response.map_or(Outcome::Lost, Response::into_outcome));
        world.record(&request.id, &sent);
        if is_reusable {
            idle = Some(Idle {
                instance,
                stream,
                since: Some(now),
            });
        }
    }
}

async fn connect(world: &World, rng: &mut ChaCha8Rng) -> Option<Idle> {
    let instance = rng.random_range(0..world.store_proxies.len());
    let addr = world.instances.lock().expect("no holder panics")[instance].callers();
    let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let stream = connecting.await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Idle {
        instance,
        stream,
        since: None,
    })
}

/// Returns whether the other side has closed a connection on which no response is due.
fn is_closed(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0]);
    !read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

fn draw(world: &World, rng: &mut ChaCha8Rng, id: String) -> Request {
    let path = match rng.random_range(0..SIDE_ROUTES.len() + 3) {
        0 => Path::Once,
        1 => Path::Again,
        2 => Path::Resume,
        number => Path::Side(number - 3),
    };
    let key = {
        let run_state = world.run_state();
        let newest = run_state.keys.last().into_iter();
        let side = run_state.variation.side_keys.iter();
        let revoked = run_state.revoked.last().map(|(key, _)| key);
        let keys: Vec<&String> = newest.chain(side).chain(revoked).collect();
        keys[rng.random_range(0..keys.len())].clone()
    };
    Request {
        id,
        path,
        key,
        body_bytes: rng.random_range(BODY_BYTES),
        piece_bytes: rng.random_range(PIECE_BYTES),
        piece_pause: Duration::from_millis(rng.random_range(PIECE_PAUSE_MS)),
        is_chunked: rng.random(),
        reads_early: rng.random(),
    }
}

/// Sends a request and reads its response; `None` if none begins. `whole_at` is set once the request was sent whole.
async fn exchange(
    stream: &mut TcpStream,
    request: &Request,
    whole_at: &mut Option<Instant>,
) -> Option<Response> {
    let (mut receiving, mut sending) = stream.split();
    let sending = async {
        // A response may have been sent before the connection broke.
        if send(&mut sending, request).await.is_ok() {
            *whole_at = Some(Instant::now());
        }
    };
    let reading = read(&mut receiving);
    if !request.reads_early {
        sending.await;
        return reading.await;
    }
    join_until_read(sending, reading).await
}

/// Runs both and returns what was read; sending ends with that.
async fn join_until_read<T>(
    sending: impl Future<Output = ()>,
    reading: impl Future<Output = T>,
) -> T {
    let mut reading = pin!(reading);
    tokio::select! {
        biased;
        read = &mut reading => read,
        () = sending => reading.await,
    }
}

async fn send(sending: &mut WriteHalf<'_>, request: &Request) -> std::io::Result<()> {
    let framing = match request.is_chunked {
        true => "transfer-encoding: chunked".to_owned(),
        false => format!("content-length: {}", request.body_bytes),
    };
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: h.example\r\nrequest-id: {}\r\ndeadline-ms: 4000\r\nauthorization: Token {}\r\n{framing}\r\n\r\n",
        request.path.as_str(),
        request.id,
        request.key,
    );
    sending.write_all(head.as_bytes()).await?;
    let body = vec![b'x'; request.body_bytes];
    for piece in body.chunks(request.piece_bytes) {
        time::sleep(request.piece_pause).await;
        if !request.is_chunked {
            sending.write_all(piece).await?;
            continue;
        }
        let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
        chunk.extend_from_slice(piece);
        chunk.extend_from_slice(b"\r\n");
        sending.write_all(&chunk).await?;
    }
    if request.is_chunked {
        sending.write_all(b"0\r\n\r\n").await?;
    }
    Ok(())
}

/// A response, as far as it arrived.
struct Response {
    status: StatusCode,
    body: Vec<u8>,
    is_whole: bool,
    is_framed: bool,
    is_signed: bool,
    /// Whether the connection cannot be used again.
    closes: bool,
}

impl Response {
    fn into_outcome(self) -> Outcome {
        Outcome::Answered {
            status: self.status,
            body: Bytes::from(self.body),
            is_whole: self.is_whole,
            is_framed: self.is_framed,
            is_signed: self.is_signed,
        }
    }
}

/// Reads a response; returns `None` if the connection ends before its head is complete.
async fn read(receiving: &mut ReadHalf<'_>) -> Option<Response> {
    let mut bytes = Vec::new();
    let head_bytes = loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        receiving
            .read_buf(&mut bytes)
            .await
            .ok()
            .filter(|n| *n > 0)?;
    };
    let head = String::from_utf8_lossy(&bytes[..head_bytes]).to_ascii_lowercase();
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(':'));
        lines
            .find(|(n, _)| *n == name)
            .map(|(_, value)| value.trim())
    };
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = header("content-length").and_then(|l| l.parse().ok());
    let is_framed = length.is_some() || header("transfer-encoding").is_some();
    let body_at = |bytes: &[u8]| match length {
        Some(length) => with_length(&bytes[head_bytes..], length),
        None if is_framed => dechunked(&bytes[head_bytes..]),
        None => (bytes[head_bytes..].to_vec(), false),
    };
    let (body, is_whole) = loop {
        let (body, is_whole) = body_at(&bytes);
        if is_whole {
            break (body, true);
        }
        match receiving.read_buf(&mut bytes).await {
            Ok(1..) => {}
            end => break (body, end.is_ok() && !is_framed),
        }
    };
    Some(Response {
        status,
        body,
        is_whole,
        is_framed,
        is_signed: header("instance-signature").is_some(),
        closes: header("connection") == Some("close"),
    })
}

/// Returns the part of a body that arrived, and whether it is complete.
fn with_length(bytes: &[u8], length: usize) -> (Vec<u8>, bool) {
    (
        bytes[..length.min(bytes.len())].to_vec(),
        bytes.len() >= length,
    )
}

/// As [`with_length`], for a body in chunks.
fn dechunked(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(end) = bytes.windows(2).position(|w| w == b"\r\n") {
        let length = std::str::from_utf8(&bytes[..end]).ok();
        let Some(length) = length.and_then(|l| usize::from_str_radix(l, 16).ok()) else {
            break;
        };
        let chunk = &bytes[end + 2..];
        if length == 0 {
            return (body, chunk.starts_with(b"\r\n"));
        }
        body.extend_from_slice(&chunk[..length.min(chunk.len())]);
        let Some(rest) = chunk.get(length + 2..) else {
            break;
        };
        bytes = rest;
    }
    (body, false)
}
