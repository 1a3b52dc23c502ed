//! Log lines are whole, and nobody who reads slowly or not at all holds the program up.

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

/// A reader that does not read until it is told to.
struct Stuck {
    go_on: mpsc::Receiver<()>,
    seen: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // An error only says that nobody holds it back any more.
        let _ = self.go_on.recv();
        self.seen.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_does_not_read_holds_nothing_up_and_losses_are_said() {
    let buffer = Arc::new(LineBuffer::new(10_000));
    let (go_on, wait) = mpsc::channel();
    let seen = Arc::new(Mutex::new(Vec::new()));
    let stuck = Stuck {
        go_on: wait,
        seen: seen.clone(),
    };
    let writer = buffer.clone();
    let thread = thread::spawn(move || writer.write_out(stuck));
    let begun = Instant::now();
    for number in 0..100_000 {
        buffer.push(&format!("line {number}"));
    }
    assert!(begun.elapsed() < Duration::from_secs(5), "pushing waited");
    drop(go_on);
    buffer.close();
    thread.join().unwrap();
    let text = String::from_utf8(seen.lock().unwrap().clone()).unwrap();
    assert!(text.ends_with('\n'));
    assert!(
        text.contains("log_lines_dropped"),
        "the losses are not said"
    );
    let whole = text.lines().filter(|l| l.starts_with("line "));
    assert!(whole.clone().count() > 100);
    assert!(whole.clone().all(|l| l[5..].parse::<u32>().is_ok()));
}

struct Closed;

impl Write for Closed {
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
    buffer.write_out(Closed);
    for number in 0..10_000 {
        buffer.push(&format!("line {number}"));
    }
    assert!(buffer.take_dropped() > 9_000);
}
