//! A runner breaks off a stream that lacks a length, and the other runners take as long to their first event as usual.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Message},
    site::{self, Record, Site},
    store::Store,
};

const RUNNERS: u8 = 5;
/// Runners that break answers off.
const BREAKING: u8 = 3;
/// Time to the first event, and between events.
const FIRST_EVENT: Duration = Duration::from_millis(1_700);
const EVENT_GAP: Duration = Duration::from_millis(40);
const EVENTS: u64 = 12;
/// They do so with one in this many.
const BREAK_EACH: usize = 20;
/// The last event of an answer that is broken off.
const BROKEN_AFTER: u64 = 7;
const CALLERS: usize = 4;
const STREAMS_EACH: usize = 22;
const PAUSE: Duration = Duration::from_millis(200);
const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-doc","hostname":"app.example",
"pathPrefix":"/doc/","type":"streaming","timeoutMs":12000,"targetLatencyMs":2000,"targetGapMs":600,
"priority":0,"backend":"llm","maxAttempts":2,"public":true,"streamResume":true}],"backends":[{"name":"llm",
"healthCheck":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{"capacity":16,
"kvCapacity":356902,"stride":7}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}"#;

struct Runner {
    id: String,
    record: Arc<Record>,
    breaks: bool,
    /// Streams begun at all runners that break some off.
    begun: Arc<AtomicUsize>,
}

impl Runner {
    fn serve(&self, mut stream: TcpStream) {
        let Ok(cloned) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(cloned);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if request.target() == "/healthz" {
                let headers = [("Instance-Id", self.id.as_str())];
                if http::write_answer(&mut stream, "200 OK", &headers, b"ok").is_err() {
                    return;
                }
                continue;
            }
            let _ = self.run(&mut stream, &request);
            return;
        }
    }

    fn run(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let request_id = request.header("request-id").unwrap_or_default();
        let after = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        let first = after.map_or(1, |after: u64| after + 1);
        let may_break = self.breaks && after.is_none();
        let breaks = may_break
            && (self.begun.fetch_add(1, Ordering::Relaxed) + 1).is_multiple_of(BREAK_EACH);
        let last = if breaks { BROKEN_AFTER } else { EVENTS };
        self.record.note(&format!(
            "runner {}: runs {request_id} from event {first}{}",
            self.id,
            if breaks { ", and breaks it off" } else { "" }
        ));
        thread::sleep(FIRST_EVENT);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nInstance-Signature: s.{}\r\n\
             Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for event in first..=last {
            let event = format!("id: {event}\ndata: {request_id} {event} of {EVENTS}\n\n");
            stream.write_all(event.as_bytes())?;
            thread::sleep(EVENT_GAP);
        }
        Ok(())
    }
}

/// Reads a stream; returns the id of its last event, and whether it ended in order.
fn read_stream(addr: SocketAddr, id: &str) -> io::Result<(u16, u64, bool)> {
    let request = format!(
        "POST /doc/check HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Usage: 1800,84\r\nPrefix-Hash: 5c1e07a2:60,{:x}:1740\r\nDeadline-Ms: 12000\r\n\
         Content-Length: 5\r\n\r\ncheck",
        id.bytes().fold(7_u64, |hash, b| hash * 31 + u64::from(b))
    );
    let mut stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(13)))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let answer = http::read_answer(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let ids = answer.body.lines().map_while(Result::ok);
    let ids = ids.filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    Ok((answer.status(), ids.last().unwrap_or(0), answer.is_whole))
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let net = site::network();
    let store = Store::start(site::address(net, 2))?;
    store.put("config", "main", CONFIG);
    let begun = Arc::new(AtomicUsize::new(0));
    for number in 0..RUNNERS {
        let addr = SocketAddr::from((site::address(net, 100 + number), 8300));
        let listener = TcpListener::bind(addr)?;
        let runner = Arc::new(Runner {
            id: format!("i-llm-{number}"),
            record: record.clone(),
            breaks: has_trouble && number < BREAKING,
            begun: begun.clone(),
        });
        let entry = format!(
            r#"{{"backend":"llm","address":"{addr}","zone":"hall-a","version":"v1","capacity":16,"state":"ready","warmupLeftMs":0,"sequence":1}}"#
        );
        store.put("servers", &runner.id, &entry);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = runner.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
    }
    let site = Site::new(net, store.addr, vec![0, 1, 2])?;
    for index in 0..3 {
        site.start(index, true)?;
    }
    if !site.wait_until_ready(&[0, 1, 2]) {
        return Err(io::Error::other("the instances are not ready"));
    }
    let (whole, short, other) = (
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (site, whole, short, other) = (&site, &whole, &short, &other);
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(130 * caller as u64));
                for number in 0..STREAMS_EACH {
                    let id = format!("doc-{caller}-{number}");
                    let read = read_stream(site.frontend(caller % 3), &id);
                    let (line, counter) = match read {
                        Ok((200, EVENTS, true)) => ("whole".to_owned(), whole),
                        Ok((200, last, true)) => (
                            format!("ORDER: ends as complete after event {last} of {EVENTS}"),
                            short,
                        ),
                        Ok((status, last, _)) => {
                            (format!("{status}, cut after event {last}"), other)
                        }
                        Err(error) => (error.to_string(), other),
                    };
                    counter.fetch_add(1, Ordering::Relaxed);
                    record.note(&format!("caller {id}: {line}"));
                    thread::sleep(PAUSE);
                }
            });
        }
    });
    if std::env::var_os("REVIEW_LOG").is_some() {
        (0..3).for_each(|index| println!("{}", site.log(index)));
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    let (whole, short, other) = (count(&whole), count(&short), count(&other));
    record.note(&format!(
        "streams: {whole} whole, {short} short that end as complete, {other} others"
    ));
    if whole < CALLERS * STREAMS_EACH / 2 {
        return Err(io::Error::other("too few streams were served"));
    }
    Ok(short == 0)
}
