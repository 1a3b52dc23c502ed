//! How busy each endpoint is: this instance's own requests, what the others tell of theirs, and
//! what the endpoint said of itself.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::prelude::{Incarnation, Micros, short_hash};

/// What another instance, or another hall, told counts for this long: some messages may be lost.
const TOLD_US: Micros = 2_500_000;
/// An endpoint's own word counts in full when it comes and for nothing after this time.
const REPORT_US: f64 = 700_000.0;

/// Names a start of an endpoint among instances; a hash of its id and of when it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointKey(pub u32);

impl EndpointKey {
    /// Returns the key of an endpoint that does not say when it started.
    pub fn of(id: &str) -> Self {
        Self(short_hash(id))
    }

    /// Returns the key of an endpoint's start at `born_ms`, 0 if that is not known.
    pub fn of_start(id: &str, born_ms: u64) -> Self {
        match born_ms {
            0 => Self::of(id),
            born_ms => Self(short_hash(&format!("{id} {born_ms}"))),
        }
    }
}

/// Endpoints by their keys, from the first to the last. A list of loads too long for a datagram is
/// told in several, each of a part of all keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeySpan {
    /// The lowest key.
    pub first: EndpointKey,
    /// The highest key.
    pub last: EndpointKey,
}

impl KeySpan {
    /// All endpoints.
    pub const ALL: Self = Self {
        first: EndpointKey(0),
        last: EndpointKey(u32::MAX),
    };

    /// Returns whether the endpoint is one of them.
    pub fn contains(self, key: EndpointKey) -> bool {
        (self.first..=self.last).contains(&key)
    }
}

impl Default for KeySpan {
    fn default() -> Self {
        Self::ALL
    }
}

/// Cuts loads sorted by endpoint into lists of at most `most`, each with the endpoints that it is
/// of; together they are of all.
pub fn split_loads(
    loads: &[(EndpointKey, InFlight)],
    most: usize,
) -> Vec<(KeySpan, Vec<(EndpointKey, InFlight)>)> {
    let mut parts = Vec::new();
    let mut first = KeySpan::ALL.first;
    let mut chunks = loads.chunks(most.max(1)).peekable();
    while let Some(chunk) = chunks.next() {
        let last = match (chunks.peek(), chunk.last()) {
            (Some(_), Some((key, _))) => *key,
            _ => KeySpan::ALL.last,
        };
        parts.push((KeySpan { first, last }, chunk.to_vec()));
        first = EndpointKey(last.0.saturating_add(1));
    }
    if parts.is_empty() {
        parts.push((KeySpan::ALL, Vec::new()));
    }
    parts
}

/// Requests of one instance at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// Requests sent that have not ended.
    pub requests: u32,
    /// Prompt tokens sent whose first event has not come, without what the endpoint has cached.
    pub prompt_tokens: u32,
}

/// What an endpoint says of its own load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnWord {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
}

/// What is believed to be at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Believed {
    /// Requests sent there that have not ended.
    pub requests: f64,
    /// Prompt tokens that it reads before those of a new request.
    pub prompt_tokens: f64,
}

/// The load at one endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointLoad {
    /// Of this instance.
    pub own: InFlight,
    /// Of all others together.
    others: InFlight,
    /// Given to others that have not told of them yet.
    granted: InFlight,
    /// Requests that the endpoint told of and nobody else, and when.
    unaccounted: f64,
    reported_us: Micros,
    /// Its word came to this instance, and the others were not told yet.
    is_report_untold: bool,
}

impl EndpointLoad {
    /// Returns how many requests are there and what is to be read before a new one, as far as is known.
    pub fn believed(&self, now_us: Micros) -> Believed {
        self.drawn_to(now_us, Believed::default(), 1.0)
    }

    /// The same with what others have there drawn to `mean`, of which the share `trust` is believed.
    pub fn drawn_to(&self, now_us: Micros, mean: Believed, trust: f64) -> Believed {
        let drawn = |told: u32, mean: f64| mean + (f64::from(told) - mean) * trust;
        let age_us = now_us.saturating_sub(self.reported_us) as f64;
        let report_trust = (1.0 - age_us / REPORT_US).max(0.0);
        Believed {
            requests: f64::from(self.own.requests + self.granted.requests)
                + drawn(self.others.requests, mean.requests)
                + self.unaccounted * report_trust,
            prompt_tokens: f64::from(self.own.prompt_tokens + self.granted.prompt_tokens)
                + drawn(self.others.prompt_tokens, mean.prompt_tokens),
        }
    }

    /// Returns what the instances have there, without the endpoint's own word.
    pub fn counted(&self) -> Believed {
        let all = [self.own, self.others, self.granted];
        Believed {
            requests: all.iter().map(|l| f64::from(l.requests)).sum(),
            prompt_tokens: all.iter().map(|l| f64::from(l.prompt_tokens)).sum(),
        }
    }

    /// Returns what others have there, as they told.
    pub fn others(&self) -> InFlight {
        self.others
    }

    /// Adds a place given to another instance.
    pub fn grant(&mut self, uncached_tokens: u32) {
        self.granted.requests += 1;
        self.granted.prompt_tokens += uncached_tokens;
    }

    /// Takes away a place given to another instance.
    pub fn settle(&mut self, uncached_tokens: u32) {
        let granted = &mut self.granted;
        granted.requests = granted.requests.saturating_sub(1);
        granted.prompt_tokens = granted.prompt_tokens.saturating_sub(uncached_tokens);
    }

    /// Takes the endpoint's own word: what it has beside the requests that the instances know of.
    pub fn report(&mut self, now_us: Micros, word: OwnWord) {
        let known = f64::from(self.own.requests + self.others.requests);
        let told = f64::from(word.running + word.waiting);
        self.correct(now_us, told - known);
        self.is_report_untold = true;
    }

    /// Takes what another instance found an endpoint to have beside the requests known of.
    pub fn correct(&mut self, now_us: Micros, unaccounted: f64) {
        // Less than is known of is no news: requests are on their way there.
        self.unaccounted = unaccounted.max(0.0);
        self.reported_us = now_us;
    }

    /// Returns what the endpoint's own word was beside the requests known of, if it came since this
    /// was asked last.
    pub fn take_report(&mut self) -> Option<i8> {
        let is_untold = std::mem::take(&mut self.is_report_untold);
        is_untold.then_some(self.unaccounted.min(f64::from(i8::MAX)) as i8)
    }
}

#[derive(Debug, Default)]
struct Told {
    at_us: Micros,
    loads: Vec<(EndpointKey, InFlight)>,
}

/// What the other instances told, by instance.
#[derive(Debug, Default)]
pub struct ToldLoads {
    by_instance: HashMap<Incarnation, Told>,
}

impl ToldLoads {
    /// Replaces what an instance told of its requests at the endpoints of `span`.
    pub fn replace(
        &mut self,
        now_us: Micros,
        from: Incarnation,
        span: KeySpan,
        loads: &[(EndpointKey, InFlight)],
        endpoints: &mut HashMap<EndpointKey, EndpointLoad>,
    ) {
        let told = self.by_instance.entry(from).or_default();
        told.at_us = now_us;
        for (key, load) in told.loads.extract_if(.., |(key, _)| span.contains(*key)) {
            if let Some(endpoint) = endpoints.get_mut(&key) {
                endpoint.others.requests -= load.requests.min(endpoint.others.requests);
                let tokens = load.prompt_tokens.min(endpoint.others.prompt_tokens);
                endpoint.others.prompt_tokens -= tokens;
            }
        }
        let within = loads.iter().filter(|(key, _)| span.contains(*key));
        for (key, load) in within {
            let endpoint = endpoints.entry(*key).or_default();
            endpoint.others.requests += load.requests;
            endpoint.others.prompt_tokens += load.prompt_tokens;
            told.loads.push((*key, *load));
        }
    }

    /// Forgets instances that have said nothing for long; returns them.
    pub fn expire(
        &mut self,
        now_us: Micros,
        endpoints: &mut HashMap<EndpointKey, EndpointLoad>,
    ) -> Vec<Incarnation> {
        let silent = |t: &Told| now_us.saturating_sub(t.at_us) > TOLD_US;
        let gone = self.by_instance.iter().filter(|(_, t)| silent(t));
        let gone: Vec<Incarnation> = gone.map(|(i, _)| *i).collect();
        for instance in &gone {
            self.replace(now_us, *instance, KeySpan::ALL, &[], endpoints);
            self.by_instance.remove(instance);
        }
        gone
    }

    /// Forgets all that was told.
    pub fn clear(&mut self, endpoints: &mut HashMap<EndpointKey, EndpointLoad>) {
        self.by_instance.clear();
        for endpoint in endpoints.values_mut() {
            endpoint.others = InFlight::default();
        }
    }

    /// Returns how many instances are heard, beside this one.
    pub fn heard(&self) -> usize {
        self.by_instance.len()
    }
}
