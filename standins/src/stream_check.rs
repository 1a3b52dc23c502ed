//! Checks a stream by its events as its caller received them.
//!
//! Endpoints state in each event the run and the version of their software that made it, see
//! [`Runner::state_runs`](crate::runner::Runner::state_runs).

use crate::runner::stated_event;

/// Length of the text shown of an event that is not as it was sent.
const SHOWN_CHARS: usize = 120;

/// One answer that brought events of a stream.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The id of the request.
    pub request_id: String,
    /// The event after which the caller took the stream up; 0 for its first answer.
    pub after: u64,
    /// The events, as far as they arrived.
    pub text: String,
    /// Whether the answer was complete for its caller.
    pub is_complete: bool,
    /// Whether it was delimited by a length or chunks, and not by the close of its connection alone.
    pub is_framed: bool,
}

/// What a stream should be.
#[derive(Clone, Copy, Debug)]
pub struct Expected {
    /// Number of its events.
    pub events: u64,
    /// Bytes added to each event.
    pub padding_bytes: usize,
    /// Whether it may go on at another run.
    pub may_resume: bool,
    /// Whether an answer that the close of its connection alone delimits may end early, if it brought an event.
    pub may_end_unframed: bool,
}

/// An event as a caller received it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedEvent {
    /// Its number in the stream.
    pub number: u64,
    /// The id of the request that it answers.
    pub request_id: String,
    /// The run that made it.
    pub run: String,
    /// The version of the endpoint's software that made it.
    pub version: String,
}

/// Returns the whole events of an answer's text, without comments.
pub fn whole_events(text: &str) -> Vec<ReceivedEvent> {
    let has_data = |event: &&str| event.lines().any(|line| line.starts_with("data"));
    pieces(text).0.filter(has_data).map(parse).collect()
}

/// Returns the texts of the whole events, and the part of another one after them.
fn pieces(text: &str) -> (impl Iterator<Item = &str>, &str) {
    let end = text.rfind("\n\n").map_or(0, |at| at + 2);
    let (whole, part) = text.split_at(end);
    (whole.split_inclusive("\n\n"), part)
}

fn parse(event: &str) -> ReceivedEvent {
    let mut received = ReceivedEvent::default();
    for line in event.lines() {
        let (field, value) = line.split_once(": ").unwrap_or((line, ""));
        match field {
            "id" => received.number = value.parse().unwrap_or(0),
            "data" => received.request_id = value.split(' ').next().unwrap_or("").to_owned(),
            "run" => received.run = value.to_owned(),
            "version" => received.version = value.to_owned(),
            _ => {}
        }
    }
    received
}

/// Returns the number of the last whole event of a stream's answers so far.
pub fn last_number(answers: &[Answer]) -> u64 {
    let events = answers.iter().flat_map(|a| whole_events(&a.text));
    events.map(|e| e.number).max().unwrap_or(0)
}

/// Returns the version that made the first event of a stream, if its caller has one.
pub fn began_version(answers: &[Answer]) -> Option<String> {
    let mut events = answers.iter().flat_map(|a| whole_events(&a.text));
    events.next().map(|event| event.version)
}

/// Returns what is wrong with a stream, if anything is.
pub fn find_breach(answers: &[Answer], expected: &Expected) -> Option<String> {
    let mut stream = Stream {
        expected: *expected,
        last: ReceivedEvent::default(),
        runs: Vec::new(),
    };
    answers
        .iter()
        .try_for_each(|answer| stream.add(answer))
        .err()
}

/// A stream as far as its caller has it.
struct Stream {
    expected: Expected,
    last: ReceivedEvent,
    /// The runs that brought its events, in order.
    runs: Vec<String>,
}

impl Stream {
    fn add(&mut self, answer: &Answer) -> Result<(), String> {
        let (whole, part) = pieces(&answer.text);
        for text in whole {
            self.add_event(answer, text)?;
        }
        self.check_part(answer, part)?;
        let (last, all) = (self.last.number, self.expected.events);
        let may_be_short = self.expected.may_end_unframed && !answer.is_framed && last > 0;
        match answer.is_complete {
            true if last != all && !may_be_short => {
                Err(format!("complete too early: {last} of {all} events"))
            }
            true if !part.is_empty() => Err(format!("complete within an event: {part:?}")),
            _ => Ok(()),
        }
    }

    fn add_event(&mut self, answer: &Answer, text: &str) -> Result<(), String> {
        let event = parse(text);
        let last = &self.last;
        let beside = format!("{event:?} after {last:?}");
        let (number, padding_bytes) = (event.number, self.expected.padding_bytes);
        if event.request_id != answer.request_id {
            return Err(format!("an event of another request: {beside}"));
        }
        if number <= last.number {
            return Err(format!("event {number} came twice: {beside}"));
        }
        if number > last.number + 1 {
            return Err(format!("events are missing: {beside}"));
        }
        if number > self.expected.events {
            return Err(format!("more events than the stream has: {beside}"));
        }
        if event.run.is_empty() || event.version.is_empty() {
            return Err(format!("an event without its run and version: {beside}"));
        }
        if last.number > 0 && event.version != last.version {
            return Err(format!("two versions: {beside}"));
        }
        if text != stated_event(&event, padding_bytes) {
            let shown: String = text.chars().take(SHOWN_CHARS).collect();
            return Err(format!("an event not as sent: {shown:?} after {last:?}"));
        }
        self.add_run(&event.run, &beside)?;
        self.last = event;
        Ok(())
    }

    fn add_run(&mut self, run: &str, beside: &str) -> Result<(), String> {
        if self.runs.last().is_some_and(|last| last == run) {
            return Ok(());
        }
        if self.runs.iter().any(|earlier| earlier == run) {
            return Err(format!("two runs take turns: {beside}"));
        }
        self.runs.push(run.to_owned());
        match self.runs.len() > 1 && !self.expected.may_resume {
            true => Err(format!("runs joined: {beside}")),
            false => Ok(()),
        }
    }

    /// Checks the part of an event with which a broken answer ends.
    fn check_part(&self, answer: &Answer, part: &str) -> Result<(), String> {
        let next = ReceivedEvent {
            number: self.last.number + 1,
            request_id: answer.request_id.clone(),
            ..ReceivedEvent::default()
        };
        let next = stated_event(&next, self.expected.padding_bytes);
        // The run and the version that it states are not known.
        let known = next.split_inclusive("run: ").next().unwrap_or_default();
        if part.starts_with(known) || known.starts_with(part) {
            return Ok(());
        }
        let shown: String = part.chars().take(SHOWN_CHARS).collect();
        let last = &self.last;
        Err(format!(
            "a part that is not of the next event: {shown:?} after {last:?}"
        ))
    }
}
