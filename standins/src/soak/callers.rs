//! Callers that keep their connections until those end, and remember what they got.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, StatusCode,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{net::TcpStream, time};

use crate::soak::World;

/// A caller's patience; routes answer within 3 s.
const PATIENCE: Duration = Duration::from_secs(5);
/// Between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 10..80;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// May run once only.
    Once,
    /// May run again.
    Again,
    /// A stream that may be taken up elsewhere.
    Resume,
}

impl Path {
    fn as_str(self) -> &'static str {
        match self {
            Self::Once => "/once/x",
            Self::Again => "/again/x",
            Self::Resume => "/resume/stream",
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// An answer came; whether its body came to its end.
    Answered {
        /// Its status.
        status: StatusCode,
        /// Its body, as far as it came.
        body: Bytes,
        /// The body came to its end.
        is_whole: bool,
        /// It has an endpoint's proof.
        is_signed: bool,
    },
    /// The connection broke, or nothing came.
    Lost,
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// What it asked for.
    pub path: Path,
    /// The key it showed.
    pub key: String,
    /// The instance that took it.
    pub instance: usize,
    /// When it was sent.
    pub at: Instant,
    /// How it ended; none while it is under way.
    pub outcome: Option<Outcome>,
}

/// Who calls.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Tells its requests from those of others.
    pub number: usize,
    /// The key that it shows; any in force if there is none.
    pub key: Option<&'static str>,
    /// Between two of its requests, in milliseconds.
    pub pause_ms: std::ops::Range<u64>,
}

impl Caller {
    /// Returns one that shows any key in force.
    pub fn of_any_key(number: usize) -> Self {
        Self {
            number,
            key: None,
            pause_ms: PAUSE_MS,
        }
    }
}

/// Calls until aborted.
pub async fn run(world: Arc<World>, caller: Caller, seed: u64) {
    let Caller {
        number,
        key: own_key,
        pause_ms,
    } = caller;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut kept: Option<(usize, SendRequest<Full<Bytes>>)> = None;
    for count in 0.. {
        time::sleep(Duration::from_millis(rng.random_range(pause_ms.clone()))).await;
        let (index, mut sender) = match kept.take() {
            Some(kept) => kept,
            None => {
                let index = rng.random_range(0..world.store_proxies.len());
                let addr = world.instances.lock().expect("no holder panics")[index].callers();
                let Some(sender) = connect(addr).await else {
                    continue;
                };
                (index, sender)
            }
        };
        if time::timeout(PATIENCE, sender.ready())
            .await
            .map_or(true, |r| r.is_err())
        {
            continue;
        }
        let path = [Path::Once, Path::Again, Path::Resume][rng.random_range(0..3)];
        let key = match own_key {
            Some(key) => key.to_owned(),
            None => pick_key(&world, &mut rng),
        };
        let id = format!("{number}-{count}");
        let sent = Sent {
            path,
            key: key.clone(),
            instance: index,
            at: Instant::now(),
            outcome: None,
        };
        let sent_to = |sent: Sent| {
            world
                .sent
                .lock()
                .expect("no holder panics")
                .insert(id.clone(), sent);
        };
        sent_to(sent.clone());
        let exchange = exchange(&mut sender, path, &id, &key);
        let got = time::timeout(PATIENCE, exchange).await;
        let outcome = got.unwrap_or(Outcome::Lost);
        let stays = matches!(outcome, Outcome::Answered { is_whole: true, .. });
        sent_to(Sent {
            outcome: Some(outcome),
            ..sent
        });
        if stays {
            kept = Some((index, sender));
        }
    }
}

/// Mostly a key in force, at times one that was taken away.
fn pick_key(world: &World, rng: &mut ChaCha8Rng) -> String {
    let promised = world.promised();
    let revoked = &promised.revoked;
    if !revoked.is_empty() && rng.random_range(0..8) == 0 {
        return revoked[rng.random_range(0..revoked.len())].0.clone();
    }
    promised.keys[rng.random_range(0..promised.keys.len())].clone()
}

async fn connect(addr: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let connecting = TcpStream::connect(addr);
    let stream = time::timeout(Duration::from_secs(1), connecting)
        .await
        .ok()?
        .ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // Its errors reach whoever waits for an answer.
    tokio::spawn(connection);
    Some(sender)
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    path: Path,
    id: &str,
    key: &str,
) -> Outcome {
    let request = Request::post(path.as_str())
        .header("host", "h.example")
        .header("request-id", id)
        .header("deadline-ms", "4000")
        .header("authorization", format!("Token {key}"))
        .body(Full::from("a prompt"))
        .expect("a sound request");
    let Ok(response) = sender.send_request(request).await else {
        return Outcome::Lost;
    };
    let (parts, mut rest) = response.into_parts();
    let mut body = Vec::new();
    let is_whole = loop {
        match rest.frame().await {
            None => break true,
            Some(Ok(frame)) => body.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
            Some(Err(_)) => break false,
        }
    };
    Outcome::Answered {
        status: parts.status,
        body: body.into(),
        is_whole,
        is_signed: parts.headers.contains_key("instance-signature"),
    }
}
