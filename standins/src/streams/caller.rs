//! A caller of streams, which sees how its connection ends.

use std::{net::SocketAddr, time::Duration};

use tokio::{io::AsyncWriteExt, net::TcpStream, time};

use crate::{
    raw_caller::RawCaller,
    stream_check::{self, Answer},
};

/// Answers of one stream: the first, and those of attempts to take it up.
pub const MAX_ANSWERS: usize = 4;
/// Pause before a stream is taken up, or a refused one is sent again.
const RETRY_AFTER: Duration = Duration::from_millis(300);

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
) -> Vec<Answer> {
    let habits = &stream.habits;
    let mut answers: Vec<Answer> = Vec::new();
    let _left = match habits.sends_twice {
        true => send_and_leave(stream, next_instance()).await,
        false => None,
    };
    for attempt in 0..MAX_ANSWERS {
        let after = stream_check::last_number(&answers);
        let began_as = answers.first().filter(|_| after > 0);
        let request = Call {
            stream,
            request_id: attempt_id(&stream.first_id, attempt),
            took_up: began_as.map(|a| a.request_id.clone()),
            after,
        };
        let until = habits.leaves_after.filter(|_| attempt == 0);
        let answer = call(next_instance(), &request, until).await;
        let is_over = answer.as_ref().is_some_and(|a| a.is_complete);
        answers.extend(answer);
        let has_begun = stream_check::last_number(&answers) > 0;
        if is_over || (has_begun && !stream.may_resume) {
            break;
        }
        if until.is_none() {
            time::sleep(RETRY_AFTER).await;
        }
    }
    answers
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

/// Sends a request on a new connection, and reads until it ends or so many events have arrived; returns `None` unless a
/// success arrived.
async fn call(addr: SocketAddr, call: &Call<'_>, until: Option<u64>) -> Option<Answer> {
    let has_enough = |text: &str| {
        until.is_some_and(|events| stream_check::whole_events(text).len() as u64 >= events)
    };
    let mut caller = RawCaller::connect(addr).await.ok()?;
    caller.send(&call.head()).await.ok()?;
    let got = caller.read_answer_until(has_enough).await?;
    (got.status() == Some(200)).then(|| Answer {
        request_id: call.request_id.clone(),
        after: call.after,
        is_complete: got.is_complete(),
        text: got.text,
    })
}
