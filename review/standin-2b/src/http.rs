//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether something shows that the body is whole.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let field = line.trim_end();
        if field.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = field.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_sized(reader: &mut BufReader<TcpStream>, size: usize) -> io::Result<Vec<u8>> {
    let mut body = vec![0; size];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut request) = read_head(reader)? else {
        return Ok(None);
    };
    if let Some(size) = request.header("content-length") {
        let size = size.parse().map_err(io::Error::other)?;
        request.body = read_sized(reader, size)?;
    } else if request.header("transfer-encoding").is_some() {
        read_chunks(reader, &mut request.body)?;
    }
    request.is_whole = true;
    Ok(Some(request))
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim_end(), 16).map_err(io::Error::other)?;
        body.extend(read_sized(reader, size)?);
        read_sized(reader, 2)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads an answer. Where the close of the connection delimits it, a close in order shows that it is whole, and a reset
/// that it is not.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut answer) = read_head(reader)? else {
        return Ok(None);
    };
    if let Some(size) = answer.header("content-length") {
        let size = size.parse().map_err(io::Error::other)?;
        let read = reader.take(size).read_to_end(&mut answer.body);
        answer.is_whole = read.is_ok() && answer.body.len() as u64 == size;
    } else if answer.header("transfer-encoding").is_some() {
        answer.is_whole = read_chunks(reader, &mut answer.body).is_ok();
    } else {
        answer.is_whole = reader.read_to_end(&mut answer.body).is_ok();
    }
    Ok(Some(answer))
}

pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
