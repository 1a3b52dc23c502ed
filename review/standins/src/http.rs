//! The little of HTTP/1.1 and JSON that the stand-ins need.

use std::io::{self, BufRead};

/// The head of a request or an answer.
pub struct Head {
    /// The request line or the status line.
    pub first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, v)| &**v)
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the channel was closed before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match lines.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let mut lines = lines.into_iter();
    let first_line = lines.next().unwrap_or_default();
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_ascii_lowercase(), value.trim().to_owned()))
    });
    Ok(Some(Head {
        first_line,
        headers: headers.collect(),
    }))
}

/// Reads a body with a length or in chunks. An error means that it is not whole.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding") == Some("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let length = usize::from_str_radix(line.trim(), 16);
            let length = length.map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                return Ok(body);
            }
        }
    }
    let length = head.get("content-length").and_then(|l| l.parse().ok());
    body.resize(length.unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Returns a number in a query.
pub fn query(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(n, _)| *n == name)?.1.parse().ok()
}

/// Returns the raw JSON of a field at the top level of an object.
pub fn json_field<'j>(json: &'j str, name: &str) -> Option<&'j str> {
    let bytes = json.as_bytes();
    let (mut depth, mut at, mut key) = (0, 0, None);
    let mut value_from = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                let from = at;
                at += 1;
                while at < bytes.len() && bytes[at] != b'"' {
                    at += 1 + usize::from(bytes[at] == b'\\');
                }
                let is_key = json[at + 1..].trim_start().starts_with(':');
                if depth == 1 && key.is_none() && is_key {
                    key = Some(&json[from + 1..at]);
                }
            }
            b':' if depth == 1 && value_from == 0 => value_from = at + 1,
            b'{' | b'[' => depth += 1,
            b',' | b'}' | b']' if depth == 1 => {
                if key == Some(name) {
                    return Some(json[value_from..at].trim());
                }
                (key, value_from) = (None, 0);
                depth -= i32::from(bytes[at] != b',');
            }
            b'}' | b']' => depth -= 1,
            _ => {}
        }
        at += 1;
    }
    None
}
