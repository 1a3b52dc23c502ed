//! Tests that log lines are written whole, and that a slow or stuck reader does not block the program.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    thread,
    time::{Duration, Instant},
};

use log::{Level, Record};
use ryevalve::logs::{LineBuffer, json_line};
use serde_json::Value;

#[test]
fn a_record_is_one_json_object_on_one_line() {
    let fields = [("request_id", "a\"b\nc"), ("reason", "busy")];
    let record = Record::builder()
        .level(Level::Info)
        .target("ryevalve::request")
        .args(format_args!("request_refused"))
        .key_values(&fields)
        .build();
    let line = json_line(&record);
    assert!(!line.contains('\n'));
    let json: Value = serde_json::from_str(&line).unwrap();
    assert_eq!(json["event"], "request_refused");
    assert_eq!(json["request_id"], "a\"b\nc");
    assert_eq!(json["level"], "INFO");
    assert!(json["at"].as_u64().is_some());
}

/// A writer that blocks until `resume` is signalled or closed.
struct StuckWriter {
    resume: mpsc::Receiver<()>,
    seen: Arc<Mutex<Vec<u8>>>,
}

impl Write for StuckWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // An error means that the sender was dropped, which unblocks the writer.
        let _ = self.resume.recv();
        self.seen.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stuck_reader_does_not_block_and_dropped_lines_are_reported() {
    let buffer = Arc::new(LineBuffer::new(10_000));
    let (resume, wait) = mpsc::channel();
    let seen = Arc::new(Mutex::new(Vec::new()));
    let stuck = StuckWriter {
        resume: wait,
        seen: seen.clone(),
    };
    let writer = buffer.clone();
    let thread = thread::spawn(move || writer.write_out(stuck));
    let started = Instant::now();
    for number in 0..100_000 {
        buffer.push(&format!("line {number}"));
    }
    assert!(started.elapsed() < Duration::from_secs(5), "pushing waited");
    drop(resume);
    buffer.close();
    thread.join().unwrap();
    let text = String::from_utf8(seen.lock().unwrap().clone()).unwrap();
    assert!(text.ends_with('\n'));
    assert!(
        text.contains("log_lines_dropped"),
        "dropped lines are not reported"
    );
    let written = text.lines().filter(|l| l.starts_with("line "));
    assert!(written.clone().count() > 100);
    assert!(written.clone().all(|l| l[5..].parse::<u32>().is_ok()));
}

struct ClosedPipe;

impl Write for ClosedPipe {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_closed_reader_ends_the_writer_and_the_buffer_stays_bounded() {
    let buffer = Arc::new(LineBuffer::new(1_000));
    buffer.push("first");
    buffer.write_out(ClosedPipe);
    for number in 0..10_000 {
        buffer.push(&format!("line {number}"));
    }
    assert!(buffer.take_dropped() > 9_000);
}

/// Records each write separately.
struct WriteRecorder(Arc<Mutex<Vec<Vec<u8>>>>);

impl Write for WriteRecorder {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_are_written_whole_in_atomic_pipe_writes() {
    let buffer = Arc::new(LineBuffer::new(1 << 20));
    for number in 0..1_000 {
        buffer.push(&format!("line {number} {}", "x".repeat(number % 300)));
    }
    buffer.push(&"y".repeat(10_000));
    let writes = Arc::new(Mutex::new(Vec::new()));
    buffer.close();
    buffer.write_out(WriteRecorder(writes.clone()));
    let writes = writes.lock().unwrap();
    assert!(writes.iter().all(|w| w.ends_with(b"\n")));
    assert!(
        writes
            .iter()
            .all(|w| w.len() <= 4_096 || w.starts_with(b"yyy"))
    );
    let lines: usize = writes
        .iter()
        .map(|w| w.iter().filter(|b| **b == b'\n').count())
        .sum();
    assert_eq!(lines, 1_001);
}

#[test]
fn flush_writes_the_last_lines_and_times_out_on_a_stuck_reader() {
    let buffer = Arc::new(LineBuffer::new(10_000));
    let writes = Arc::new(Mutex::new(Vec::new()));
    let (writer, recorded) = (buffer.clone(), writes.clone());
    thread::spawn(move || writer.write_out(WriteRecorder(recorded)));
    buffer.push("the first");
    thread::sleep(Duration::from_millis(50));
    // The writer is in its batch interval: without a flush this line would be lost.
    buffer.push("the last");
    assert!(buffer.flush(Duration::from_secs(5)));
    assert_eq!(writes.lock().unwrap().concat(), b"the first\nthe last\n");

    let buffer = Arc::new(LineBuffer::new(10_000));
    let (_resume, wait) = mpsc::channel();
    let stuck = StuckWriter {
        resume: wait,
        seen: Arc::default(),
    };
    let writer = buffer.clone();
    thread::spawn(move || writer.write_out(stuck));
    buffer.push("a line");
    assert!(!buffer.flush(Duration::from_millis(100)));
}
