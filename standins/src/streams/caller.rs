//! A caller on a plain socket, which sees how its connection ends.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use crate::stream_check::{self, Answer};

/// Answers of one stream: the first, and those of attempts to take it up.
pub const MAX_ANSWERS: usize = 4;
/// Pause before a stream is taken up, or a refused one is sent again.
const RETRY_AFTER: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_secs(6);

/// A stream that a caller reads.
pub struct StreamCall {
    pub path: String,
    pub first_id: String,
    pub key: String,
    /// Whether its caller takes it up when it breaks.
    pub may_resume: bool,
    pub http10: bool,
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
            let after = self.after;
            head += &format!("Last-Event-Id: {after}\r\nResumes: {began_as}\r\n");
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
    let mut answers: Vec<Answer> = Vec::new();
    for attempt in 0..MAX_ANSWERS {
        let after = stream_check::last_number(&answers);
        let began_as = answers.first().filter(|_| after > 0);
        let request = Call {
            stream,
            request_id: attempt_id(&stream.first_id, attempt),
            took_up: began_as.map(|a| a.request_id.clone()),
            after,
        };
        let answer = call(next_instance(), &request).await;
        let is_over = answer.as_ref().is_some_and(|a| a.is_complete);
        answers.extend(answer);
        let has_begun = stream_check::last_number(&answers) > 0;
        if is_over || (has_begun && !stream.may_resume) {
            break;
        }
        time::sleep(RETRY_AFTER).await;
    }
    answers
}

/// Sends a request on a new connection, and reads until it ends; returns `None` unless a success arrived.
async fn call(addr: SocketAddr, call: &Call<'_>) -> Option<Answer> {
    let mut bytes = Vec::new();
    let reading = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        stream.write_all(call.head().as_bytes()).await.ok()?;
        Some(stream.read_to_end(&mut bytes).await.is_ok())
    };
    let is_closed = time::timeout(TIMEOUT, reading).await.ok().flatten() == Some(true);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let is_success = head.split(' ').nth(1) == Some("200");
    if !is_success {
        return None;
    }
    let is_chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    let (text, has_end) = match is_chunked {
        true => decode_chunks(body),
        false => (body.to_owned(), is_closed),
    };
    Some(Answer {
        request_id: call.request_id.clone(),
        after: call.after,
        text,
        is_complete: has_end,
    })
}

/// Returns the data of chunks, and whether the last chunk has arrived.
fn decode_chunks(mut rest: &str) -> (String, bool) {
    let mut text = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return (text, false);
        };
        if size == 0 {
            return (text, after.starts_with("\r\n"));
        }
        text.push_str(&after[..size.min(after.len())]);
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (text, false)
}
