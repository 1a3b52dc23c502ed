//! Answers of an endpoint as bytes, with the places in them where a break matters.

use crate::runner::{EVENTS, event, whole_body};

/// The event after which callers and tests look at a stream.
pub const MIDDLE_EVENT: u64 = 4;
/// Sent by some engines as the last event of a stream.
pub const DONE: &str = "data: [DONE]\n\n";

/// How an answer is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFraming {
    /// By its length, the last header.
    LengthLast,
    /// By its length, the first header.
    LengthFirst,
    /// By chunks.
    Chunked,
    /// By chunks, with a trailer.
    ChunkedWithTrailer,
    /// By its length, after an informational answer.
    LengthAfterEarlyHints,
    /// By the close of its connection.
    Close,
    /// By the close of its connection, as of HTTP/1.0.
    CloseOfHttp10,
}

impl AnswerFraming {
    /// All of them.
    pub const ALL: [Self; 7] = [
        Self::LengthLast,
        Self::LengthFirst,
        Self::Chunked,
        Self::ChunkedWithTrailer,
        Self::LengthAfterEarlyHints,
        Self::Close,
        Self::CloseOfHttp10,
    ];

    /// Returns whether only the close of the connection delimits the answer.
    pub fn is_close(self) -> bool {
        matches!(self, Self::Close | Self::CloseOfHttp10)
    }

    fn is_chunked(self) -> bool {
        matches!(self, Self::Chunked | Self::ChunkedWithTrailer)
    }
}

/// What an answer brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// A text.
    Plain,
    /// A JSON object.
    Json,
    /// Events.
    Stream,
    /// Events, the last of which marks the end.
    MarkedStream,
}

impl Content {
    fn media_type(self) -> &'static str {
        match self {
            Self::Plain => "text/plain",
            Self::Json => "application/json",
            Self::Stream | Self::MarkedStream => "text/event-stream",
        }
    }

    /// Returns the parts of the body that answers a request; a stream begins after this event.
    fn parts(self, request_id: &str, after: u64) -> Vec<String> {
        let events = || (after + 1..=EVENTS).map(|number| event(request_id, number));
        match self {
            Self::Plain => vec![whole_body(request_id)],
            Self::Json => vec![format!(
                "{{\"id\": \"{request_id}\", \"text\": \"{}\"}}",
                whole_body(request_id)
            )],
            Self::Stream => events().collect(),
            Self::MarkedStream => events().chain([DONE.to_owned()]).collect(),
        }
    }

    /// Returns the whole body that answers a request.
    pub fn body(self, request_id: &str) -> String {
        self.parts(request_id, 0).concat()
    }
}

/// An answer as its endpoint sends it.
#[derive(Clone, Debug)]
pub struct AnswerBytes {
    /// All of it.
    pub bytes: Vec<u8>,
    /// Where its head ends.
    pub head_end: usize,
    /// Where the parts of its body end, without what delimits them.
    pub part_ends: Vec<usize>,
    /// Where the lines of chunks begin and end.
    chunk_lines: Vec<usize>,
}

impl AnswerBytes {
    /// Builds the answer to a request; a stream begins after this event.
    pub fn new(framing: AnswerFraming, content: Content, request_id: &str, after: u64) -> Self {
        let parts = content.parts(request_id, after);
        let body_bytes = parts.iter().map(String::len).sum();
        let head = head(framing, content, request_id, body_bytes);
        let mut answer = Self {
            head_end: head.len(),
            bytes: head.into_bytes(),
            part_ends: Vec::new(),
            chunk_lines: Vec::new(),
        };
        for part in &parts {
            answer.push_part(framing, part);
        }
        answer.push_end(framing);
        answer
    }

    fn push_part(&mut self, framing: AnswerFraming, part: &str) {
        if framing.is_chunked() {
            self.chunk_lines.push(self.bytes.len());
            self.push(&format!("{:x}\r\n", part.len()));
            self.chunk_lines.push(self.bytes.len());
        }
        self.push(part);
        self.part_ends.push(self.bytes.len());
        if framing.is_chunked() {
            self.push("\r\n");
        }
    }

    fn push_end(&mut self, framing: AnswerFraming) {
        if !framing.is_chunked() {
            return;
        }
        self.chunk_lines.push(self.bytes.len());
        self.push("0\r\n");
        self.chunk_lines.push(self.bytes.len());
        if framing == AnswerFraming::ChunkedWithTrailer {
            self.push("Server-Note: served\r\n");
        }
        self.push("\r\n");
    }

    fn push(&mut self, text: &str) {
        self.bytes.extend_from_slice(text.as_bytes());
    }

    /// Returns the number of bytes after which an answer may break: all of them if they are no more than `max`, else
    /// those around the ends of its head, middle and last parts, chunk lines between them, and evenly spread others.
    pub fn places(&self, max: usize) -> Vec<usize> {
        let all = self.bytes.len();
        let ends = &self.part_ends;
        let middle = ends[(MIDDLE_EVENT as usize).min(ends.len()) - 1];
        let last_lines = self.chunk_lines.iter().rev().take(2).copied();
        let next_line = self.chunk_lines.iter().find(|line| **line > middle);
        let marks = [self.head_end, middle, ends[ends.len() - 1]];
        let marks = marks
            .into_iter()
            .chain(last_lines)
            .chain(next_line.copied());
        let mut places: Vec<usize> = marks.flat_map(|mark| mark - 2..=mark + 2).collect();
        places.extend([1, all - 1]);
        let spread = max.saturating_sub(places.len()).min(all);
        places.extend((0..spread).map(|n| 1 + n * (all - 1) / spread.max(1)));
        places.retain(|place| *place < all);
        places.sort_unstable();
        places.dedup();
        places
    }
}

fn head(framing: AnswerFraming, content: Content, request_id: &str, body_bytes: usize) -> String {
    let status = match framing {
        AnswerFraming::CloseOfHttp10 => "HTTP/1.0 200 OK\r\n",
        AnswerFraming::LengthAfterEarlyHints => {
            "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\nHTTP/1.1 200 OK\r\n"
        }
        _ => "HTTP/1.1 200 OK\r\n",
    };
    let length = format!("Content-Length: {body_bytes}\r\n");
    let (first, last) = match framing {
        AnswerFraming::LengthFirst => (&*length, ""),
        AnswerFraming::LengthLast | AnswerFraming::LengthAfterEarlyHints => ("", &*length),
        AnswerFraming::Chunked | AnswerFraming::ChunkedWithTrailer => {
            ("", "Transfer-Encoding: chunked\r\n")
        }
        AnswerFraming::Close => ("", "Connection: close\r\n"),
        AnswerFraming::CloseOfHttp10 => ("", ""),
    };
    format!(
        "{status}{first}Request-Id: {request_id}\r\nInstance-Signature: 3e1b.07\r\nInstance-Load: 1,0,8\r\n\
         Content-Type: {}\r\n{last}\r\n",
        content.media_type()
    )
}
