//! One of two instances leaves for good, and its callers keep their channels at the other, whose memory is limited.

use std::{
    collections::HashSet,
    fs,
    io::{self, BufReader, Write},
    net::TcpStream,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cases::config,
    http,
    runner::{whole_answer, Script},
    site::{Record, Site, KEY},
};

const RUNNERS: usize = 8;
const WORK: Duration = Duration::from_millis(60);
/// Each thread plays callers in turn, half of them at each instance at first.
const THREADS: usize = 56;
const CALLERS_PER_THREAD: usize = 50;
/// Pause of a thread between two requests, so that a channel rests for some 7 s between its own.
const PAUSE: Duration = Duration::from_millis(80);
/// Bytes of the headers of a request; `maxHeaderBytes` is 16,384.
const HEAD_BYTES: usize = 14_600;
/// All callers have sent a request or two.
const BEFORE: Duration = Duration::from_secs(12);
/// The platform has missed two readiness checks, and passes on no more channels to the instance that leaves.
const TAKEN_OUT: Duration = Duration::from_millis(2_500);
const AFTER: Duration = Duration::from_secs(35);
/// `memoryMb`, in bytes as the larger of its two readings.
const MEMORY_BYTES: u64 = 110 * 1024 * 1024;

fn working() -> Script {
    Arc::new(|runner, request, stream| {
        thread::sleep(WORK);
        stream.write_all(whole_answer(runner, request).as_bytes())?;
        Ok(true)
    })
}

/// What the callers share.
struct Shared {
    record: Record,
    addresses: [String; 2],
    /// New channels lead to instance 1.
    is_taken_out: AtomicBool,
    /// The platform has killed an instance that went over its memory.
    has_ended: AtomicBool,
    next_id: AtomicU64,
    /// Requests whose channels, which the callers keep, instance 1 closed without an answer.
    unanswered: Mutex<Vec<String>>,
}

/// A caller with the channel that it keeps.
struct Kept {
    instance: usize,
    stream: Option<TcpStream>,
    uses: usize,
}

impl Kept {
    fn call(&mut self, shared: &Shared) -> io::Result<()> {
        // A channel that is open stays with its instance.
        if self.stream.is_none() {
            self.uses = 0;
            if shared.is_taken_out.load(Ordering::SeqCst) {
                self.instance = 1;
            }
            let stream = TcpStream::connect((shared.addresses[self.instance].as_str(), 8221))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_secs(3)))?;
            self.stream = Some(stream);
        }
        let stream = self.stream.as_ref().expect("it is open");
        let id = format!("m{}", shared.next_id.fetch_add(1, Ordering::Relaxed));
        let parts = "5c1e07a2:800,".repeat(HEAD_BYTES / 13);
        let request = format!(
            "POST /mino21/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n\
             Authorization: Token {KEY}\r\nPrefix-Hash: {parts}\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        let mut writer: &TcpStream = stream;
        let answer = writer.write_all(request.as_bytes());
        let answer = answer.and_then(|()| http::read_message(&mut BufReader::new(stream)));
        let status = answer.as_ref().map_or(0, http::Message::status);
        let is_last = answer.as_ref().is_ok_and(|answer| answer.header("connection") == Some("close"));
        let is_late = answer.is_err_and(|e| [io::ErrorKind::WouldBlock, io::ErrorKind::TimedOut].contains(&e.kind()));
        shared.record.write(&format!("{id} to {}, use {}: {status}", self.instance, self.uses));
        if status == 0 {
            if self.instance == 1 && !is_late {
                shared.unanswered.lock().unwrap().push(id);
            }
            self.stream = None;
        }
        if is_last {
            self.stream = None;
        }
        self.uses += 1;
        Ok(())
    }
}

/// Plays some callers until `end`, or until an instance has been killed for its memory.
fn play_callers(shared: &Shared, thread: usize, end: Instant) {
    // Threads run in step; half of them begin with a caller of the other instance.
    let callers = (0..CALLERS_PER_THREAD).map(|number| Kept { instance: (thread + number) % 2, stream: None, uses: 0 });
    let mut callers: Vec<Kept> = callers.collect();
    while Instant::now() < end {
        for caller in &mut callers {
            if Instant::now() >= end || shared.has_ended.load(Ordering::SeqCst) {
                return;
            }
            // An instance that is down refuses channels.
            let _ = caller.call(shared);
            thread::sleep(PAUSE);
        }
    }
}

/// Returns the anonymous memory of a process, in bytes: without its program's pages, and without unread bytes.
fn memory_of(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.trim().trim_end_matches(" kB").parse::<u64>().ok().map(|kb| kb * 1024)
}

pub fn play(record: Record, is_troubled: bool) -> Result<usize, String> {
    let services: Vec<_> = (0..RUNNERS).map(|_| ("wuno96b", working())).collect();
    let site = Site::start(record, 2, &config(7, "wuno96b", 16_384), &services)?;
    let shared = Arc::new(Shared {
        record: site.record.clone(),
        addresses: [site.address(0), site.address(1)],
        is_taken_out: AtomicBool::new(false),
        has_ended: AtomicBool::new(false),
        next_id: AtomicU64::new(0),
        unanswered: Mutex::default(),
    });
    let began = Instant::now();
    let end = began + BEFORE + AFTER;
    let callers: Vec<_> = (0..THREADS)
        .map(|thread| {
            let shared = shared.clone();
            thread::spawn(move || play_callers(&shared, thread, end))
        })
        .collect();
    let mut is_leaving = false;
    let mut most = [0; 2];
    let mut told = Instant::now();
    while Instant::now() < end && !shared.has_ended.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(20));
        let since = began.elapsed();
        if is_troubled && since >= BEFORE && !is_leaving {
            site.signal(0, "TERM")?;
            is_leaving = true;
        }
        if is_troubled && since >= BEFORE + TAKEN_OUT && !shared.is_taken_out.swap(true, Ordering::SeqCst) {
            site.record.write("new channels lead to instance 1");
        }
        for (index, most) in most.iter_mut().enumerate() {
            let Some(bytes) = memory_of(site.pid(index)) else { continue };
            *most = bytes.max(*most);
            if bytes > MEMORY_BYTES {
                site.record.write(&format!("instance {index} holds {bytes} bytes, over its memoryMb: the platform kills it"));
                site.signal(index, "KILL")?;
                shared.has_ended.store(true, Ordering::SeqCst);
            }
        }
        if told.elapsed() >= Duration::from_secs(1) {
            told = Instant::now();
            site.record.write(&format!("the instances have held up to {most:?} bytes"));
        }
    }
    for caller in callers {
        caller.join().map_err(|_| "a caller failed".to_owned())?;
    }
    site.record_runs();
    let runs = site.runs.lock().unwrap();
    let runs: HashSet<&str> = runs.iter().map(|run| run.id.as_str()).collect();
    let unanswered = shared.unanswered.lock().unwrap();
    let lost: Vec<_> = unanswered.iter().filter(|id| runs.contains(id.as_str())).collect();
    for id in &lost {
        site.record.write(&format!("LOST: {id} was passed on, and its channel closed without an answer"));
    }
    site.record.write(&format!("the instances have held up to {most:?} bytes; LOST: {}, allowed are 3", lost.len()));
    Ok(if lost.len() > 3 { lost.len() } else { 0 })
}
