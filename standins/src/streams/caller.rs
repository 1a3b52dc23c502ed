//! A caller of streams, which sees how its connection ends.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{self, Instant},
};

use crate::{
    raw_caller::RawCaller,
    stream_check::{self, Answer},
};

/// Answers of one stream: the first, and those of attempts to take it up.
pub const MAX_ANSWERS: usize = 4;
/// Pause before a stream is taken up, or a refused one is sent again.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Upper bound on the pause that a refusal asks for.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// For how long a patient caller tries to reach an instance.
const PATIENCE: Duration = Duration::from_secs(5);

/// A stream that a caller reads.
pub struct StreamCall {
    pub path: String,
    pub first_id: String,
    pub key: String,
    /// Whether its caller takes it up when it breaks.
    pub may_resume: bool,
    pub http10: bool,
    pub habits: Habits,
}

/// What a caller does that others do not.
#[derive(Clone, Copy, Debug, Default)]
pub struct Habits {
    /// It leaves its first answer after so many events, and takes the stream up at once.
    pub leaves_after: Option<u64>,
    /// Before its first request it sends one with the same id, and leaves it.
    pub sends_twice: bool,
    /// It does not say which request began the stream.
    pub omits_resumes: bool,
    /// How long it is away after it left its first answer.
    pub away_for: Duration,
    /// It has one more attempt, instances that cannot be reached cost it none, and it pauses as refusals ask.
    pub is_patient: bool,
}

/// A stream as its caller read it.
pub struct StreamRead {
    pub answers: Vec<Answer>,
    /// When the request was sent that brought the first event.
    pub began_at: Option<Instant>,
    /// When the last attempt ended.
    pub ended_at: Instant,
    /// Whether the last attempt was refused.
    pub was_refused: bool,
}

/// What came of a request.
enum Outcome {
    Answered(Answer),
    /// Refused, with the pause that the refusal asks for.
    Refused(Duration),
    /// The connection broke before a response began.
    Lost,
    /// No connection was made.
    Unreached,
}

/// A request for a stream, or for the rest of it.
struct Call<'a> {
    stream: &'a StreamCall,
    request_id: String,
    /// The id of the request that began the stream, if this one takes it up.
    took_up: Option<String>,
    /// The last event that the caller has.
    after: u64,
}

impl Call<'_> {
    fn head(&self) -> String {
        let stream = self.stream;
        let version = if stream.http10 { "1.0" } else { "1.1" };
        let mut head = format!(
            "POST {} HTTP/{version}\r\nHost: h.example\r\nRequest-Id: {}\r\nDeadline-Ms: 5000\r\n\
             Authorization: Token {}\r\nConnection: close\r\nContent-Length: 8\r\n",
            stream.path, self.request_id, stream.key
        );
        if let Some(began_as) = &self.took_up {
            head += &format!("Last-Event-Id: {}\r\n", self.after);
            if !stream.habits.omits_resumes {
                head += &format!("Resumes: {began_as}\r\n");
            }
        }
        head + "\r\na prompt"
    }
}

/// Returns the id of a request for a stream.
pub fn attempt_id(first_id: &str, attempt: usize) -> String {
    format!("{first_id}-{attempt}")
}

/// Reads a stream, and takes it up at the next instance as long as it breaks and may go on.
pub async fn read_stream(
    stream: &StreamCall,
    mut next_instance: impl FnMut() -> SocketAddr,
) -> StreamRead {
    let habits = &stream.habits;
    let mut read = StreamRead {
        answers: Vec::new(),
        began_at: None,
        ended_at: Instant::now(),
        was_refused: false,
    };
    let _left = match habits.sends_twice {
        true => send_and_leave(stream, next_instance()).await,
        false => None,
    };
    let give_up_at = Instant::now() + PATIENCE;
    let attempts = MAX_ANSWERS + usize::from(habits.is_patient);
    let mut attempt = 0;
    while attempt < attempts {
        let until = habits.leaves_after.filter(|_| attempt == 0);
        let outcome = read.attempt(stream, next_instance(), attempt, until).await;
        let is_over = read.answers.last().is_some_and(|a| a.is_complete);
        if is_over || (read.began_at.is_some() && !stream.may_resume) {
            break;
        }
        let may_wait = habits.is_patient && Instant::now() < give_up_at;
        attempt += usize::from(!(may_wait && matches!(outcome, Outcome::Unreached)));
        time::sleep(match outcome {
            Outcome::Refused(pause) if habits.is_patient => pause,
            Outcome::Unreached if habits.is_patient => RETRY_AFTER,
            _ if until.is_some() => habits.away_for,
            _ => RETRY_AFTER,
        })
        .await;
    }
    read
}

impl StreamRead {
    /// Sends a request for the stream, or for the rest of it, and reads its answer.
    async fn attempt(
        &mut self,
        stream: &StreamCall,
        addr: SocketAddr,
        attempt: usize,
        until: Option<u64>,
    ) -> Outcome {
        let after = stream_check::last_number(&self.answers);
        let began_as = self.answers.first().filter(|_| after > 0);
        let request = Call {
            stream,
            request_id: attempt_id(&stream.first_id, attempt),
            took_up: began_as.map(|a| a.request_id.clone()),
            after,
        };
        let sent_at = Instant::now();
        let outcome = call(addr, &request, until).await;
        self.was_refused = matches!(outcome, Outcome::Refused(_));
        self.ended_at = Instant::now();
        if let Outcome::Answered(answer) = &outcome {
            self.answers.push(answer.clone());
        }
        if self.began_at.is_none() && stream_check::last_number(&self.answers) > 0 {
            self.began_at = Some(sent_at);
        }
        outcome
    }
}

/// Sends the first request for a stream, of which nothing is read; the connection ends when it is dropped.
async fn send_and_leave(stream: &StreamCall, addr: SocketAddr) -> Option<TcpStream> {
    let request = Call {
        stream,
        request_id: attempt_id(&stream.first_id, 0),
        took_up: None,
        after: 0,
    };
    let mut connection = TcpStream::connect(addr).await.ok()?;
    connection.write_all(request.head().as_bytes()).await.ok()?;
    Some(connection)
}

/// Sends a request on a new connection, and reads until it ends or so many events have arrived.
async fn call(addr: SocketAddr, call: &Call<'_>, until: Option<u64>) -> Outcome {
    let has_enough = |text: &str| {
        until.is_some_and(|events| stream_check::whole_events(text).len() as u64 >= events)
    };
    let Ok(mut caller) = RawCaller::connect(addr).await else {
        return Outcome::Unreached;
    };
    if caller.send(&call.head()).await.is_err() {
        return Outcome::Lost;
    }
    let Some(got) = caller.read_answer_until(has_enough).await else {
        return Outcome::Lost;
    };
    if got.status() != Some(200) {
        return Outcome::Refused(retry_after(&got.head));
    }
    Outcome::Answered(Answer {
        request_id: call.request_id.clone(),
        after: call.after,
        is_complete: got.is_complete(),
        is_framed: !got.is_delimited_by_close(),
        text: got.text,
    })
}

/// Returns the pause that a refusal asks for.
fn retry_after(head: &str) -> Duration {
    let head = head.to_ascii_lowercase();
    let seconds = head.lines().find_map(|l| l.strip_prefix("retry-after: "));
    let seconds = seconds.and_then(|s| s.trim().parse().ok());
    let pause = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
    pause.unwrap_or(RETRY_AFTER).min(LONGEST_PAUSE)
}
