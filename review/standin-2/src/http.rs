//! As much of HTTP/1.1 and JSON as the stand-ins need.

use std::{
    io::{self, BufRead},
    time::{Duration, Instant},
};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn broken(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, reason)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.last() != Some(&b'\n') {
        return Err(broken("the connection ended"));
    }
    Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
}

/// Reads a first line and headers.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message { first_line: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(message);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("no header"))?;
        message.headers.push((name.to_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a message whose body has a length or chunks; without either it has none.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some() || message.header("content-length").is_some() {
        read_body(reader, &mut message)?;
    }
    Ok(message)
}

/// Reads a body by its chunks or its length; without either, to the end of the channel.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding") == Some("chunked") {
        loop {
            let size = usize::from_str_radix(&read_line(reader)?, 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            read_line(reader)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    let Some(length) = message.header("content-length") else {
        return reader.read_to_end(&mut message.body).map(drop);
    };
    message.body = vec![0; length.parse().map_err(io::Error::other)?];
    reader.read_exact(&mut message.body)
}

/// Returns the value of a field at the top level of a JSON object, as it is written.
pub fn json_value<'a>(object: &'a str, field: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let (mut depth, mut in_text, mut escaped, mut start) = (0, false, false, 0);
    let mut value_from = None;
    for (at, byte) in bytes.iter().enumerate() {
        if in_text {
            in_text = escaped || *byte != b'"';
            escaped = !escaped && *byte == b'\\';
            continue;
        }
        match byte {
            b'"' => {
                in_text = true;
                if depth == 1 && value_from.is_none() {
                    start = at;
                }
            }
            b':' if depth == 1 && value_from.is_none() => {
                let name = object[start..at].trim().trim_matches('"');
                if name == field {
                    value_from = Some(at + 1);
                }
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' | b',' => {
                if depth == 1 {
                    if let Some(from) = value_from {
                        return Some(object[from..at].trim());
                    }
                    start = at + 1;
                }
                depth -= i32::from(*byte != b',');
            }
            _ => {}
        }
    }
    None
}

/// Waits until a condition holds, or fails after `timeout`.
pub fn wait_until(what: &str, timeout: Duration, mut holds: impl FnMut() -> bool) -> Result<(), String> {
    let end = Instant::now() + timeout;
    while !holds() {
        if Instant::now() >= end {
            return Err(format!("not in time: {what}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
