//! Stand-in for a model runner: it runs `CAPACITY` requests at a time, queues a few more and rejects the rest, and
//! answers with a stream of events.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

/// Requests that run at a time.
pub const CAPACITY: usize = 7;
/// Requests that wait.
const QUEUE: usize = 42;
/// Prompt tokens that are read in a millisecond.
const TOKENS_PER_MS: u64 = 48;
/// Time from the end of the prompt to the first event.
const FIRST_STEP: Duration = Duration::from_millis(20);
/// Time between two events.
const STEP: Duration = Duration::from_millis(100);
/// Tokens in an event.
const TOKENS_PER_EVENT: u64 = 7;
/// How often a run looks whether its channel was closed.
const TICK: Duration = Duration::from_millis(6);

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// A running runner.
#[derive(Clone)]
pub struct Runner {
    /// Its address.
    pub addr: SocketAddr,
    id: String,
    record: Record,
    load: Arc<(Mutex<Load>, Condvar)>,
}

impl Runner {
    /// Starts a runner on a free port.
    pub fn start(id: &str, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.1.0.1", 0))?;
        let runner = Self {
            addr: listener.local_addr()?,
            id: id.to_owned(),
            record: record.clone(),
            load: Arc::default(),
        };
        let serving = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = serving.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
        Ok(runner)
    }

    /// Returns the requests that run and wait.
    pub fn load(&self) -> (usize, usize) {
        let load = self.load.0.lock().unwrap();
        (load.running, load.waiting)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(head) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &head)?;
            let id = head.get("request-id").unwrap_or("-").to_owned();
            if head.get("expect-instance") != Some(&self.id) {
                self.reject(&mut stream, 421, &id)?;
                continue;
            }
            if !self.enter() {
                self.reject(&mut stream, 503, &id)?;
                continue;
            }
            let is_let_in = self.wait_for_slot(&stream);
            let ran = if is_let_in { self.run(&mut stream, &head, &id) } else { Ok(false) };
            self.leave(is_let_in);
            if !ran? {
                self.record.note(&format!("runner {} {id} dropped: its channel was closed", self.id));
                return Ok(());
            }
        }
        Ok(())
    }

    fn reject(&self, stream: &mut TcpStream, status: u16, id: &str) -> io::Result<()> {
        self.record.note(&format!("runner {} {id} rejected {status}", self.id));
        let answer = format!(
            "HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(answer.as_bytes())
    }

    fn enter(&self) -> bool {
        let mut load = self.load.0.lock().unwrap();
        let has_room = load.running + load.waiting < CAPACITY + QUEUE;
        load.waiting += usize::from(has_room);
        has_room
    }

    /// Waits for a slot; returns false if the channel was closed before.
    fn wait_for_slot(&self, stream: &TcpStream) -> bool {
        let (load, changed) = &*self.load;
        let mut load = load.lock().unwrap();
        while load.running >= CAPACITY {
            load = changed.wait_timeout(load, TICK).unwrap().0;
            if is_closed(stream) {
                return false;
            }
        }
        load.running += 1;
        load.waiting -= 1;
        true
    }

    fn leave(&self, was_running: bool) {
        let (load, changed) = &*self.load;
        let mut load = load.lock().unwrap();
        match was_running {
            true => load.running -= 1,
            false => load.waiting -= 1,
        }
        changed.notify_all();
    }

    /// Runs a request; returns false if its channel was closed, which drops it.
    fn run(&self, stream: &mut TcpStream, head: &http::Head, id: &str) -> io::Result<bool> {
        self.record.note(&format!("runner {} {id} runs", self.id));
        let usage = head.get("token-usage").unwrap_or("0,7");
        let (prompt, output) = usage.split_once(',').unwrap_or(("0", "7"));
        let prompt: u64 = prompt.parse().unwrap_or(0);
        let events = output.parse::<u64>().unwrap_or(7).div_ceil(TOKENS_PER_EVENT);
        if !work(stream, Duration::from_millis(prompt / TOKENS_PER_MS) + FIRST_STEP) {
            return Ok(false);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nInstance-Signature: {}.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for number in 1..=events {
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            if number < events && !work(stream, STEP) {
                return Ok(false);
            }
        }
        stream.write_all(b"0\r\n\r\n")?;
        self.record.note(&format!("runner {} {id} ends: {events} events", self.id));
        Ok(true)
    }
}

/// Works for a time; returns false if the channel was closed meanwhile.
fn work(stream: &TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(TICK));
        if is_closed(stream) {
            return false;
        }
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let is_open = matches!(&peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock) || matches!(peeked, Ok(1..));
    stream.set_nonblocking(false).is_err() || !is_open
}
