//! A stand-in for a runner. It answers status checks, turns away requests that are meant for another one, and runs the
//! others by a script.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Instant,
};

use crate::http::{self, Message};

/// A request that a runner began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub runner: String,
    pub id: String,
    pub path: String,
}

/// What a runner does with a request; returns whether it keeps the channel.
pub type Script = Arc<dyn Fn(&str, &Message, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

/// A runner that listens.
pub struct Runner {
    pub id: String,
    pub addr: SocketAddr,
}

/// The requests that all runners began to work on.
pub type Runs = Arc<Mutex<Vec<Run>>>;

impl Runner {
    pub fn start(id: &str, ip: &str, runs: &Runs, script: Script) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let addr = listener.local_addr()?;
        let (name, runs) = (id.to_owned(), runs.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let (name, runs, script) = (name.clone(), runs.clone(), script.clone());
                // An error means that the channel has ended.
                thread::spawn(move || serve(&name, &runs, &script, stream));
            }
        });
        Ok(Self { id: id.to_owned(), addr })
    }

    /// Returns the entry in the store.
    pub fn entry(&self, service: &str, state: &str) -> String {
        format!(
            "{{\"backend\":\"{service}\",\"address\":\"{}\",\"zone\":\"hall-a\",\"version\":\"v1\",\"capacity\":6,\
             \"state\":\"{state}\",\"warmupLeftMs\":0,\"sequence\":1}}",
            self.addr
        )
    }
}

fn serve(runner: &str, runs: &Runs, script: &Script, mut stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let request = http::read_message(&mut reader)?;
        let path = request.first_line.split(' ').nth(1).unwrap_or("").to_owned();
        let id = request.header("request-id").unwrap_or("").to_owned();
        if path == "/healthz" {
            let head = format!("HTTP/1.1 200 OK\r\nInstance-Id: {runner}\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(head.as_bytes())?;
            continue;
        }
        if request.header("expect-instance").is_some_and(|expected| expected != runner) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {runner}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
            continue;
        }
        let run = Run { at: Instant::now(), runner: runner.to_owned(), id, path };
        runs.lock().unwrap().push(run);
        if !script(runner, &request, &mut stream)? {
            return Ok(());
        }
    }
}

/// Returns the body by which a caller knows the answer to its request again.
pub fn body_of(id: &str) -> String {
    format!("answer to {id}")
}

/// Returns a whole answer to a request.
pub fn whole_answer(runner: &str, request: &Message) -> String {
    let id = request.header("request-id").unwrap_or("");
    let body = body_of(id);
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nInstance-Signature: {runner}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Answers each request at once.
pub fn sound() -> Script {
    Arc::new(|runner, request, stream| {
        stream.write_all(whole_answer(runner, request).as_bytes())?;
        Ok(true)
    })
}
