//! Logging through log4rs: one JSON object or line of text per event, never interleaved with other output.
//!
//! Lines go into a bounded buffer that a separate thread writes out, so that a slow or closed reader blocks nothing.
//! Lines that do not fit are dropped and counted, and the count is logged.

use std::{
    fmt::Write as _,
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use log::{
    LevelFilter, Record,
    kv::{self, Key, Value, VisitSource},
};
use log4rs::{
    append::Append,
    config::{Appender, Config, Logger, Root},
};
use serde_json::{Map, Value as Json};

use crate::settings::LogFormat;

/// Capacity of the buffer in bytes: a burst of some thousand lines.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Lines are batched for this long, so that the writer thread of a busy process does not wake for each line.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);

/// How long an exiting process waits for its last lines to be written: one batch interval plus some time to write.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// The most bytes of whole lines in one write: the size up to which writes to a pipe are atomic (`PIPE_BUF`: at least
/// 512 in POSIX, 4,096 on Linux).
const MAX_WRITE_BYTES: usize = 4_096;

/// Where log lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogTarget {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Starts logging. A second call in the same process has no effect.
pub fn start(format: LogFormat, target: LogTarget) {
    let buffer = Arc::new(LineBuffer::new(MAX_BUFFERED_BYTES));
    let writer = buffer.clone();
    thread::spawn(move || match target {
        LogTarget::Stdout => writer.write_out(io::stdout()),
        LogTarget::Stderr => writer.write_out(io::stderr()),
    });
    let appender = BufferedAppender { format, buffer };
    let built = Config::builder()
        .appender(Appender::builder().build("lines", Box::new(appender)))
        // Libraries log every call at info level; only their warnings report a change of state.
        .logger(Logger::builder().build("ryevalve", LevelFilter::Info))
        .build(Root::builder().appender("lines").build(LevelFilter::Warn));
    if let Ok(config) = built {
        // The only error is that a logger is already installed.
        let _ = log4rs::init_config(config);
    }
}

/// A bounded buffer of lines to be written.
#[derive(Debug)]
pub struct LineBuffer {
    max_bytes: usize,
    state: Mutex<BufferState>,
    filled: Condvar,
    written: Condvar,
}

#[derive(Debug, Default)]
struct BufferState {
    bytes: Vec<u8>,
    dropped: u64,
    is_closed: bool,
    /// The writer has removed lines from the buffer and is writing them.
    is_writing: bool,
}

impl LineBuffer {
    /// Creates an empty buffer with a capacity of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            state: Mutex::default(),
            filled: Condvar::new(),
            written: Condvar::new(),
        }
    }

    /// Adds a line, or counts it as dropped if the buffer is full. Never waits for the reader.
    pub fn push(&self, line: &str) {
        let mut state = self.lock();
        if state.bytes.len() + line.len() + 1 > self.max_bytes {
            state.dropped += 1;
            return;
        }
        state.bytes.extend_from_slice(line.as_bytes());
        state.bytes.push(b'\n');
        if state.bytes.len() == line.len() + 1 {
            self.filled.notify_one();
        }
    }

    /// Returns how many lines were dropped since the last call.
    pub fn take_dropped(&self) -> u64 {
        std::mem::take(&mut self.lock().dropped)
    }

    /// Writes lines out as they arrive, until the buffer is closed or the reader is gone.
    pub fn write_out(&self, mut out: impl Write) {
        loop {
            let bytes = self.wait();
            if bytes.is_empty() {
                return;
            }
            let dropped = self.take_dropped();
            let written = write_lines(&mut out, &bytes).and_then(|()| {
                if dropped > 0 {
                    writeln!(out, "{}", dropped_line(dropped))?;
                }
                out.flush()
            });
            self.lock().is_writing = false;
            self.written.notify_all();
            if written.is_err() {
                // The reader is gone: without a writer the buffer fills up, and further lines count as dropped.
                return;
            }
            thread::sleep(BATCH_INTERVAL);
        }
    }

    /// Waits until all buffered lines are written, for at most `timeout`. Returns false on timeout.
    pub fn flush(&self, timeout: Duration) -> bool {
        let is_pending = |state: &mut BufferState| state.is_writing || !state.bytes.is_empty();
        let waited = self
            .written
            .wait_timeout_while(self.lock(), timeout, is_pending);
        let (state, result) = waited.unwrap_or_else(PoisonError::into_inner);
        drop(state);
        !result.timed_out()
    }

    /// Ends the writer once it has written the buffered lines.
    pub fn close(&self) {
        self.lock().is_closed = true;
        self.filled.notify_all();
    }

    fn wait(&self) -> Vec<u8> {
        let mut state = self.lock();
        while state.bytes.is_empty() && !state.is_closed {
            state = self
                .filled
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        state.is_writing = true;
        std::mem::take(&mut state.bytes)
    }

    fn lock(&self) -> MutexGuard<'_, BufferState> {
        // The state is consistent after every statement, so a poisoned lock is usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes whole lines in chunks that a pipe accepts atomically, so that lines of other writers are not interleaved.
/// A line longer than that is a chunk of its own.
fn write_lines(out: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let head = &rest[..rest.len().min(MAX_WRITE_BYTES)];
        let end = head.iter().rposition(|b| *b == b'\n');
        let end = end.or_else(|| rest.iter().position(|b| *b == b'\n'));
        let (chunk, left) = rest.split_at(end.map_or(rest.len(), |end| end + 1));
        out.write_all(chunk)?;
        rest = left;
    }
    Ok(())
}

fn dropped_line(dropped: u64) -> String {
    let at = now_ms();
    format!(r#"{{"at":{at},"level":"WARN","event":"log_lines_dropped","dropped":{dropped}}}"#)
}

#[derive(Debug)]
struct BufferedAppender {
    format: LogFormat,
    buffer: Arc<LineBuffer>,
}

impl Append for BufferedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let line = match self.format {
            LogFormat::Json => json_line(record),
            LogFormat::Plain => plain_line(record),
        };
        self.buffer.push(&line);
        Ok(())
    }

    fn flush(&self) {
        // Lines that are not written by then are lost when the process exits, for example if the reader is stuck.
        self.buffer.flush(FLUSH_TIMEOUT);
    }
}

struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = serde_json::to_value(&value).unwrap_or(Json::Null);
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

fn fields(record: &Record<'_>) -> Map<String, Json> {
    let mut fields = Fields(Map::new());
    // Visiting fails only if the visitor returns an error, which this one never does.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

/// Formats a record as one JSON object.
pub fn json_line(record: &Record<'_>) -> String {
    let mut line = Map::new();
    line.insert("at".into(), now_ms().into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("target".into(), record.target().into());
    line.insert("event".into(), record.args().to_string().into());
    line.extend(fields(record));
    Json::Object(line).to_string()
}

fn plain_line(record: &Record<'_>) -> String {
    let (level, target) = (record.level(), record.target());
    let mut line = format!("{} {level} {target} {}", now_ms(), record.args());
    for (key, value) in fields(record) {
        // Writing into a string cannot fail.
        let _ = write!(line, " {key}={value}");
    }
    line
}

/// Returns Unix time in milliseconds.
fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
