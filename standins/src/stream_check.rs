//! Checks a stream by its events as its caller received them.
//!
//! Endpoints state in each event the run and the version of their software that made it, see
//! [`Runner::state_runs`](crate::runner::Runner::state_runs).

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
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let has_data = |event: &&str| event.lines().any(|line| line.starts_with("data"));
    whole.split("\n\n").filter(has_data).map(parse).collect()
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

/// Returns what is wrong with a stream of `length` events, if anything is. `may_resume` says whether it may go on at
/// another run.
pub fn find_breach(answers: &[Answer], length: u64, may_resume: bool) -> Option<String> {
    let mut last = ReceivedEvent::default();
    let mut runs: Vec<String> = Vec::new();
    for answer in answers {
        for event in whole_events(&answer.text) {
            if event.request_id != answer.request_id {
                return Some(format!("an event of another request: {event:?}"));
            }
            if event.number <= last.number {
                return Some(format!(
                    "event {} came twice: {event:?} after {last:?}",
                    event.number
                ));
            }
            if event.number > last.number + 1 {
                return Some(format!("events are missing: {event:?} after {last:?}"));
            }
            if last.number > 0 && event.version != last.version {
                return Some(format!("two versions: {event:?} after {last:?}"));
            }
            if runs.last() != Some(&event.run) {
                if runs.contains(&event.run) {
                    return Some(format!("two runs take turns: {event:?} after {last:?}"));
                }
                runs.push(event.run.clone());
            }
            last = event;
        }
        if answer.is_complete && last.number != length {
            return Some(format!(
                "complete too early: {} of {length} events",
                last.number
            ));
        }
    }
    (runs.len() > 1 && !may_resume).then(|| format!("runs joined: {runs:?}"))
}
