//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs, io,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Collects lines; copies share them.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    /// Starts an empty record.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the seconds since the start.
    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn note(&self, line: &str) {
        let line = format!("{:9.3} {line}", self.now_s());
        self.lines.lock().unwrap().push(line);
    }

    /// Adds a line, and prints it.
    pub fn say(&self, line: &str) {
        println!("{:9.3} {line}", self.now_s());
        self.note(line);
    }

    /// Writes the record to a file.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        fs::write(path, text)
    }
}
