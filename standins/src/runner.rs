//! An endpoint of the users' platform on a plain socket, so that it can misbehave byte by byte.
//!
//! It answers `POST` and `GET` on any path: whole answers, or events where the path ends in
//! `/stream`. Every answer repeats `Request-Id` and carries `Instance-Signature`.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};
use tokio_util::sync::CancellationToken;

/// Events of a whole stream.
pub const EVENTS: u64 = 8;

/// How long a stream says nothing under [`Fault::Pause`].
pub const PAUSE: Duration = Duration::from_millis(1_300);

/// How an endpoint misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Not at all.
    #[default]
    None,
    /// Turns requests away unrun.
    Full,
    /// Runs requests and resets the connection.
    ResetAfterRun,
    /// Runs requests and says nothing.
    Mute,
    /// Cuts streams in the middle of their fourth event.
    CutStream,
    /// Cuts streams there that begin with their first event; those taken up later come to their end.
    CutNewStream,
    /// Says nothing for [`PAUSE`] before the fourth event of a stream.
    Pause,
    /// Sends a second whole answer after each.
    Surplus,
    /// Sends whole answers without a length, and resets the connection inside them.
    Unframed,
    /// Answers with another endpoint's proof missing.
    Unsigned,
    /// Runs requests and answers with an error of its own.
    Error,
}

/// One request as it reached the endpoint.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When it came.
    pub at: Instant,
    /// Its first line.
    pub line: String,
    /// Its headers, with names in lower case.
    pub headers: HashMap<String, String>,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether it was turned away with a word that asks for rest.
    pub was_asked_to_rest: bool,
    /// Whether it was run.
    pub has_run: bool,
    /// Whether the caller's connection was still there at its end.
    pub finished: bool,
}

#[derive(Default)]
struct State {
    id: String,
    fault: Fault,
    /// Time between two events, and of a whole answer.
    pace: Duration,
    seen: Vec<Seen>,
    /// A request with these bytes in its body ends the endpoint.
    ended_by: Option<Vec<u8>>,
    /// What its answers name as the requests a second that it takes.
    limit: Option<String>,
    /// What its answers say of its leaving.
    leaving: Option<String>,
    /// It turns requests away unrun, and asks for so much rest.
    rest: Option<String>,
    /// The present start; cancelled when the endpoint ends.
    life: CancellationToken,
}

/// A running endpoint; it stops when this is dropped.
pub struct Runner {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.end();
    }
}

impl Runner {
    /// Starts an endpoint with an id on a free loopback port.
    ///
    /// # Panics
    /// No port can be bound.
    pub async fn start(id: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let addr = listener.local_addr().expect("a bound address");
        let state = Arc::new(Mutex::new(State {
            id: id.to_owned(),
            pace: Duration::from_millis(5),
            ..State::default()
        }));
        let runner = Self { addr, state };
        runner.accept(listener);
        runner
    }

    /// Sets bytes that end the endpoint as a crash does when a request has them in its body and begins to run:
    /// its port is closed and all its connections are reset.
    pub fn ended_by(&self, bytes: &[u8]) {
        self.lock().ended_by = Some(bytes.to_vec());
    }

    /// Ends the endpoint as a crash does.
    pub fn end(&self) {
        self.lock().life.cancel();
    }

    /// Returns whether the endpoint has ended.
    pub fn has_ended(&self) -> bool {
        self.lock().life.is_cancelled()
    }

    /// Starts it again at the same address under another id.
    ///
    /// # Panics
    /// The port is taken.
    pub async fn start_again(&self, id: &str) {
        let listener = TcpListener::bind(self.addr)
            .await
            .expect("the port is free");
        {
            let mut state = self.lock();
            state.id = id.to_owned();
            state.life = CancellationToken::new();
            state.leaving = None;
            state.rest = None;
        }
        self.accept(listener);
    }

    fn accept(&self, listener: TcpListener) {
        let shared = self.state.clone();
        let life = self.lock().life.clone();
        let accepting = async move {
            while let Ok((stream, _)) = listener.accept().await {
                // The end of a connection is its caller's leaving.
                tokio::spawn(serve_until(stream, shared.clone()));
            }
        };
        tokio::spawn(async move { life.run_until_cancelled(accepting).await });
    }

    /// Sets how it misbehaves.
    pub fn fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Sets the time between two events, and of a whole answer.
    pub fn pace(&self, pace: Duration) {
        self.lock().pace = pace;
    }

    /// Sets what its answers name as the requests a second that it takes from all together; none ends that.
    pub fn name_limit(&self, limit: Option<&str>) {
        self.lock().limit = limit.map(str::to_owned);
    }

    /// Sets what its answers say of its leaving: `1` that it leaves; none takes the word out of them.
    pub fn say_leaving(&self, word: Option<&str>) {
        self.lock().leaving = word.map(str::to_owned);
    }

    /// Turns requests away unrun and asks for rest in their refusals, in seconds or as a date; none ends that.
    pub fn ask_for_rest(&self, rest: Option<&str>) {
        self.lock().rest = rest.map(str::to_owned);
    }

    /// Goes on under another id, as a new start at the same address does.
    pub fn replace(&self, id: &str) {
        self.lock().id = id.to_owned();
    }

    /// Returns the requests that reached it.
    pub fn seen(&self) -> Vec<Seen> {
        self.lock().seen.clone()
    }

    /// Returns how often it ran a request.
    pub fn runs(&self, request_id: &str) -> usize {
        let seen = self.lock();
        let runs = seen.seen.iter().filter(|s| s.has_run);
        runs.filter(|s| {
            s.headers
                .get("request-id")
                .is_some_and(|id| id == request_id)
        })
        .count()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// Returns the body of a whole answer to a request.
pub fn whole_body(request_id: &str) -> String {
    format!("the answer to {request_id}")
}

/// Returns an event of a request's stream.
pub fn event(request_id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {request_id} {number}\n\n")
}

/// How a connection ends.
enum End {
    Closed,
    Reset,
}

/// Serves a connection until it ends, or the endpoint does.
async fn serve_until(mut stream: TcpStream, state: Arc<Mutex<State>>) -> std::io::Result<()> {
    let life = state.lock().expect("no holder panics").life.clone();
    let served = life.run_until_cancelled(serve(&mut stream, state)).await;
    match served.unwrap_or(Ok(End::Reset))? {
        End::Closed => Ok(()),
        End::Reset => reset(stream),
    }
}

async fn serve(stream: &mut TcpStream, state: Arc<Mutex<State>>) -> std::io::Result<End> {
    while let Some(seen) = read(stream).await? {
        let request_id = seen.headers.get("request-id").cloned().unwrap_or_default();
        let (fault, pace, id, index) = {
            let mut state = state.lock().expect("no holder panics");
            state.seen.push(seen.clone());
            (
                state.fault,
                state.pace,
                state.id.clone(),
                state.seen.len() - 1,
            )
        };
        // As it is when an answer begins.
        let words = || word_lines(&state.lock().expect("no holder panics"));
        let mark = |change: fn(&mut Seen)| {
            change(&mut state.lock().expect("no holder panics").seen[index]);
        };
        let expected = seen.headers.get("expect-instance");
        if expected.is_some_and(|e| *e != id) {
            refuse(
                stream,
                "421 Misdirected Request",
                &request_id,
                &(words() + FULL_LOAD),
            )
            .await?;
            continue;
        }
        let rest = state.lock().expect("no holder panics").rest.clone();
        if let Some(rest) = rest {
            mark(|s| s.was_asked_to_rest = true);
            let lines = format!("{}Retry-After: {rest}\r\n", words());
            refuse(stream, "503 Service Unavailable", &request_id, &lines).await?;
            continue;
        }
        if fault == Fault::Full {
            refuse(
                stream,
                "503 Service Unavailable",
                &request_id,
                &(words() + FULL_LOAD),
            )
            .await?;
            continue;
        }
        mark(|s| s.has_run = true);
        let life = life_ended_by(&state, &seen.body);
        if let Some(life) = life {
            time::sleep(pace).await;
            life.cancel();
            return Ok(End::Reset);
        }
        match fault {
            Fault::Mute => std::future::pending::<()>().await,
            Fault::ResetAfterRun => return Ok(End::Reset),
            _ => {}
        }
        if seen
            .line
            .split(' ')
            .nth(1)
            .is_some_and(|p| p.ends_with("/stream"))
        {
            let from = seen.headers.get("last-event-id");
            let from: u64 = from.and_then(|f| f.parse().ok()).unwrap_or(0);
            let answer = Answer {
                request_id: &request_id,
                fault,
                words: &words(),
            };
            if !events(stream, answer, from, pace).await? {
                return Ok(End::Closed);
            }
        } else {
            time::sleep(pace).await;
            let answer = Answer {
                request_id: &request_id,
                fault,
                words: &words(),
            };
            if !whole(stream, answer).await? {
                return Ok(End::Reset);
            }
        }
        mark(|s| s.finished = true);
    }
    Ok(End::Closed)
}

/// Returns the endpoint's present start if a request with this body ends it.
fn life_ended_by(state: &Mutex<State>, body: &[u8]) -> Option<CancellationToken> {
    let state = state.lock().expect("no holder panics");
    let bytes = state.ended_by.as_deref()?;
    let is_ended = body.windows(bytes.len()).any(|w| w == bytes);
    is_ended.then(|| state.life.clone())
}

fn reset(stream: TcpStream) -> std::io::Result<()> {
    let stream = stream.into_std()?;
    // Dropping it with a linger of zero sends a reset.
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))
}

/// The load that an endpoint names that has no room.
const FULL_LOAD: &str = "Instance-Load: 4,9,4\r\n";

/// What an answer is like.
#[derive(Clone, Copy)]
struct Answer<'a> {
    request_id: &'a str,
    fault: Fault,
    /// The lines of its head by which the endpoint speaks of itself.
    words: &'a str,
}

fn word_lines(state: &State) -> String {
    let line = |name: &str, word: &Option<String>| {
        let word = word.as_ref();
        word.map_or_else(String::new, |word| format!("{name}: {word}\r\n"))
    };
    line("Server-Limit", &state.limit) + &line("Server-Leaving", &state.leaving)
}

async fn refuse(
    stream: &mut TcpStream,
    status: &str,
    request_id: &str,
    words: &str,
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\nNot-Executed: 1\r\n{words}\
         Content-Length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await
}

fn head(answer: Answer<'_>, rest: &str) -> String {
    let Answer {
        request_id,
        fault,
        words,
    } = answer;
    let proof = if fault == Fault::Unsigned {
        ""
    } else {
        "Instance-Signature: 3e1b.07\r\n"
    };
    let status = match fault {
        Fault::Error => "500 Internal Server Error",
        _ => "200 OK",
    };
    format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\n{proof}{words}Instance-Load: 1,0,4\r\n{rest}\r\n\r\n"
    )
}

async fn whole(stream: &mut TcpStream, answer: Answer<'_>) -> std::io::Result<bool> {
    let fault = answer.fault;
    let body = whole_body(answer.request_id);
    if fault == Fault::Unframed {
        let text = head(answer, "Connection: close") + &body[..body.len() / 2];
        stream.write_all(text.as_bytes()).await?;
        stream.flush().await?;
        time::sleep(Duration::from_millis(20)).await;
        return Ok(false);
    }
    let length = format!("Content-Length: {}", body.len());
    let mut text = head(answer, &length) + &body;
    if fault == Fault::Surplus {
        text = text.repeat(2);
    }
    stream.write_all(text.as_bytes()).await?;
    Ok(true)
}

async fn events(
    stream: &mut TcpStream,
    answer: Answer<'_>,
    from: u64,
    pace: Duration,
) -> std::io::Result<bool> {
    let Answer {
        request_id, fault, ..
    } = answer;
    let kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
    stream.write_all(head(answer, kind).as_bytes()).await?;
    for number in from + 1..=EVENTS {
        time::sleep(pace).await;
        if fault == Fault::Pause && number == 4 {
            time::sleep(PAUSE).await;
        }
        let event = event(request_id, number);
        let cuts = fault == Fault::CutStream || (fault == Fault::CutNewStream && from == 0);
        if cuts && number == 4 {
            let half = &event[..event.len() / 2];
            let chunk = format!("{:x}\r\n{half}\r\n", half.len());
            stream.write_all(chunk.as_bytes()).await?;
            return Ok(false);
        }
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await?;
    }
    stream.write_all(b"0\r\n\r\n").await?;
    Ok(true)
}

/// Reads a request with a length or without a body; none at the connection's end.
async fn read(stream: &mut TcpStream) -> std::io::Result<Option<Seen>> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.lines();
    let mut seen = Seen {
        at: Instant::now(),
        line: lines.next().unwrap_or_default().to_owned(),
        headers: HashMap::new(),
        body: Vec::new(),
        was_asked_to_rest: false,
        has_run: false,
        finished: false,
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let name = name.to_ascii_lowercase();
            seen.headers.insert(name, value.trim().to_owned());
        }
    }
    let length = seen.headers.get("content-length");
    let length: usize = length.and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = bytes.split_off(end);
    while body.len() < length {
        if stream.read_buf(&mut body).await? == 0 {
            return Ok(None);
        }
    }
    seen.body = body;
    Ok(Some(seen))
}
