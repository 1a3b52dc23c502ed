//! Stand-in for a requester of the check-in deployment.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http;

/// The key that all requesters use.
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
/// The host of all routes.
pub const HOST: &str = "ficu95.example";
const TOKENS_PER_EVENT: u64 = 7;

/// A small generator of random numbers (SplitMix64).
pub struct Random(pub u64);

impl Random {
    /// Returns a number from 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns one of `count` numbers from 0.
    pub fn below(&mut self, count: usize) -> usize {
        (self.unit() * count as f64) as usize
    }
}

/// The rebooking notice of the check-in deployment's sheet.
const NAME: &str = "rebook-notice";
const DEADLINE_MS: u64 = 10_000;
const PROMPT_TOKENS: u64 = 60 + 628;
const EVENTS: u64 = 42;

/// Returns the configuration's only route.
pub fn route(service: &str) -> String {
    format!(
        r#"{{"name":"r-8m82thh","hostname":"{HOST}","pathPrefix":"/{NAME}/","type":"streaming","timeoutMs":{DEADLINE_MS},"targetLatencyMs":1000,"priority":1,"backend":"{service}","maxAttempts":1,"public":false,"sessionAffinity":true,"streamResume":false,"targetGapMs":600}}"#
    )
}

/// A request that can be sent.
pub struct Request {
    /// Its id.
    pub id: String,
    text: String,
}

impl Request {
    /// Makes a request with an id of its own.
    pub fn new(id: String, random: &mut Random) -> Self {
        let output = EVENTS * TOKENS_PER_EVENT;
        let (own_part, own_tokens) = ((random.unit() * 1e15) as u64, PROMPT_TOKENS - 60);
        let text = format!(
            "POST /{NAME}/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Usage: {PROMPT_TOKENS},{output}\r\nPrefix-Hash: 5c1e07a2:60,{own_part:x}:{own_tokens}\r\nDeadline-Ms: {DEADLINE_MS}\r\nAuthorization: Token {KEY}\r\nContent-Length: 8\r\n\r\na prompt"
        );
        Self { id, text }
    }

    /// Opens a channel, sends the request and waits for its answer.
    pub fn call(&self, addr: SocketAddr) -> Outcome {
        let exchange = || -> io::Result<Outcome> {
            let mut stream = open(addr)?;
            self.send(&mut stream)?;
            self.read_answer(stream)
        };
        exchange().unwrap_or_else(|error| Outcome::NoAnswer(error.kind().to_string()))
    }

    /// Sends the request on a channel.
    pub fn send(&self, stream: &mut TcpStream) -> io::Result<()> {
        stream.write_all(self.text.as_bytes())
    }

    /// Reads the answer from a channel.
    pub fn read_answer(&self, stream: TcpStream) -> io::Result<Outcome> {
        let deadline = Duration::from_millis(DEADLINE_MS + 500);
        stream.set_read_timeout(Some(deadline))?;
        let mut reader = BufReader::new(stream);
        let Some(head) = http::read_head(&mut reader)? else {
            return Ok(Outcome::NoAnswer("closed".into()));
        };
        let status = head.status();
        let body = http::read_body(&mut reader, &head);
        let is_whole = body.as_ref().is_ok_and(|body| {
            let events = body.windows(2).filter(|w| w == b"\n\n").count() as u64;
            events == EVENTS
        });
        Ok(match (status, is_whole) {
            (200, true) if head.get("instance-signature").is_some() => Outcome::Served,
            (200, _) => Outcome::NoAnswer("cut in the answer".into()),
            _ => Outcome::Status(status),
        })
    }
}

/// Opens a channel.
pub fn open(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// What came of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole stream of a runner.
    Served,
    /// Another status.
    Status(u16),
    /// No whole answer.
    NoAnswer(String),
}

impl Outcome {
    /// Returns its name in the record.
    pub fn text(&self) -> String {
        match self {
            Self::Served => "served".into(),
            Self::Status(status) => status.to_string(),
            Self::NoAnswer(why) => format!("no answer ({why})"),
        }
    }
}
