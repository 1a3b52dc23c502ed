//! A runner of a plain service, as a process: its answers lack a length and end with their channel.

use std::{
    io::{self, BufReader, Write},
    net::{TcpListener, TcpStream},
    os::fd::{FromRawFd, OwnedFd},
    thread,
    time::Duration,
};

use crate::http::{self, Message};

/// Time between the halves of a body.
const WORK: Duration = Duration::from_millis(40);

/// Returns the whole body of the answer to a request.
pub fn body_of(request_id: &str) -> Vec<u8> {
    let seed: usize = request_id.bytes().map(usize::from).sum();
    let lines = 10 + seed * 7 % 30;
    let line = |n: usize| format!("{request_id} line {n} of {lines}\n");
    (1..=lines).map(line).collect::<String>().into_bytes()
}

/// Runs at an address, or at the listening socket that its supervisor keeps open and passes as standard input (`-`).
///
/// It takes connections from its start, and serves them once it has warmed up.
pub fn run(addr: &str, id: &str, warmup: Duration) {
    let listener = match addr {
        // SAFETY: standard input is open, and nothing else uses it.
        "-" => TcpListener::from(unsafe { OwnedFd::from_raw_fd(0) }),
        addr => TcpListener::bind(addr).expect("the runner's address is free"),
    };
    say("started");
    thread::sleep(warmup);
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || serve(stream, &id));
    }
}

fn say(line: &str) {
    let mut output = io::stdout().lock();
    let _ = writeln!(output, "{line}");
    let _ = output.flush();
}

fn serve(mut stream: TcpStream, id: &str) {
    let Ok(cloned) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(cloned);
    while let Ok(Some(request)) = http::read_request(&mut reader) {
        if answer(&mut stream, id, &request).is_err() || request.target() != "/healthz" {
            return;
        }
    }
}

fn answer(stream: &mut TcpStream, id: &str, request: &Message) -> io::Result<()> {
    let request_id = request.header("request-id").unwrap_or_default();
    if request
        .header("expect-instance")
        .is_some_and(|expected| expected != id)
    {
        let headers = [("Request-Id", request_id), ("Not-Executed", "1")];
        return http::write_answer(stream, "421 Misdirected Request", &headers, b"");
    }
    if request.target() == "/healthz" {
        return http::write_answer(stream, "200 OK", &[("Instance-Id", id)], b"ok");
    }
    say(&format!("runs {request_id}"));
    let body = body_of(request_id);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nInstance-Signature: s.{id}.{}\r\n\
         Content-Type: application/octet-stream\r\nConnection: close\r\n\r\n",
        body.len()
    );
    thread::sleep(WORK);
    let half = body.len() / 2;
    stream.write_all(head.as_bytes())?;
    stream.write_all(&body[..half])?;
    say(&format!("half {request_id}"));
    thread::sleep(WORK);
    stream.write_all(&body[half..])?;
    say(&format!("whole {request_id}"));
    Ok(())
}
