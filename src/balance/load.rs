//! Load of single endpoints: this instance's own requests, the loads that peers report, and what
//! the endpoint reports of itself.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::prelude::{Incarnation, Micros, short_hash};

/// How long the load reported by another instance or hall counts; covers the loss of some messages.
const PEER_LOAD_TTL_US: Micros = 2_500_000;
/// An endpoint's own report loses weight linearly and counts for nothing after this time.
const LOAD_REPORT_TTL_US: f64 = 700_000.0;

/// Identifies one incarnation (process start) of an endpoint: a hash of its id and start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointKey(pub u32);

impl EndpointKey {
    /// Returns the key of an endpoint whose start time is not known.
    pub fn of(id: &str) -> Self {
        Self(short_hash(id))
    }

    /// Returns the key of an endpoint that started at `born_ms`; 0 if that is not known.
    pub fn of_incarnation(id: &str, born_ms: u64) -> Self {
        match born_ms {
            0 => Self::of(id),
            born_ms => Self(short_hash(&format!("{id} {born_ms}"))),
        }
    }
}

/// A range of endpoint keys, both ends included. A list of loads too long for one datagram is sent
/// in several, each for a range of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// The lowest key.
    pub first: EndpointKey,
    /// The highest key.
    pub last: EndpointKey,
}

impl KeyRange {
    /// All keys.
    pub const ALL: Self = Self {
        first: EndpointKey(0),
        last: EndpointKey(u32::MAX),
    };

    /// Returns whether a key is in the range.
    pub fn contains(self, key: EndpointKey) -> bool {
        (self.first..=self.last).contains(&key)
    }
}

impl Default for KeyRange {
    fn default() -> Self {
        Self::ALL
    }
}

/// Splits loads sorted by key into lists of at most `max_entries`, each with its range of keys;
/// together the ranges cover all keys.
pub fn split_loads(
    loads: &[(EndpointKey, InFlight)],
    max_entries: usize,
) -> Vec<(KeyRange, Vec<(EndpointKey, InFlight)>)> {
    let mut parts = Vec::new();
    let mut first = KeyRange::ALL.first;
    let mut chunks = loads.chunks(max_entries.max(1)).peekable();
    while let Some(chunk) = chunks.next() {
        let last = match (chunks.peek(), chunk.last()) {
            (Some(_), Some((key, _))) => *key,
            _ => KeyRange::ALL.last,
        };
        parts.push((KeyRange { first, last }, chunk.to_vec()));
        first = EndpointKey(last.0.saturating_add(1));
    }
    if parts.is_empty() {
        parts.push((KeyRange::ALL, Vec::new()));
    }
    parts
}

/// In-flight requests of one instance at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// Requests sent that have not ended.
    pub requests: u32,
    /// Uncached prompt tokens of requests whose first event has not come.
    pub prompt_tokens: u32,
}

/// The load that an endpoint reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointLoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
}

/// Estimated load of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadEstimate {
    /// Requests in flight there.
    pub requests: f64,
    /// Prompt tokens to be processed before those of a new request.
    pub prompt_tokens: f64,
}

/// The load at one endpoint, by source.
#[derive(Clone, Debug, Default)]
pub struct EndpointLoad {
    /// Requests of this instance.
    pub own: InFlight,
    /// Requests of all other instances together.
    peers: InFlight,
    /// Requests granted to other instances that their reports do not show yet.
    granted: InFlight,
    /// Requests that the endpoint reported beyond those known to the instances, and when.
    unaccounted: f64,
    reported_us: Micros,
    /// The endpoint reported to this instance, and `unaccounted` was not sent to peers yet.
    is_unaccounted_unsent: bool,
}

impl EndpointLoad {
    /// Returns the estimated load.
    pub fn estimate(&self, now_us: Micros) -> LoadEstimate {
        self.shrunk_towards(now_us, LoadEstimate::default(), 1.0)
    }

    /// Like [`Self::estimate`], with the load of peers shrunk towards `mean`: `weight` is the
    /// weight of the reported value.
    pub fn shrunk_towards(&self, now_us: Micros, mean: LoadEstimate, weight: f64) -> LoadEstimate {
        let shrink = |count: u32, mean: f64| mean + (f64::from(count) - mean) * weight;
        let age_us = now_us.saturating_sub(self.reported_us) as f64;
        let report_weight = (1.0 - age_us / LOAD_REPORT_TTL_US).max(0.0);
        LoadEstimate {
            requests: f64::from(self.own.requests + self.granted.requests)
                + shrink(self.peers.requests, mean.requests)
                + self.unaccounted * report_weight,
            prompt_tokens: f64::from(self.own.prompt_tokens + self.granted.prompt_tokens)
                + shrink(self.peers.prompt_tokens, mean.prompt_tokens),
        }
    }

    /// Returns the load known to the instances, without the endpoint's own report.
    pub fn accounted(&self) -> LoadEstimate {
        let all = [self.own, self.peers, self.granted];
        LoadEstimate {
            requests: all.iter().map(|l| f64::from(l.requests)).sum(),
            prompt_tokens: all.iter().map(|l| f64::from(l.prompt_tokens)).sum(),
        }
    }

    /// Returns the load reported by other instances.
    pub fn peers(&self) -> InFlight {
        self.peers
    }

    /// Adds a request granted to another instance.
    pub fn add_grant(&mut self, uncached_tokens: u32) {
        self.granted.requests += 1;
        self.granted.prompt_tokens += uncached_tokens;
    }

    /// Removes a request granted to another instance.
    pub fn release_grant(&mut self, uncached_tokens: u32) {
        let granted = &mut self.granted;
        granted.requests = granted.requests.saturating_sub(1);
        granted.prompt_tokens = granted.prompt_tokens.saturating_sub(uncached_tokens);
    }

    /// Records the endpoint's own report: what it has beyond the requests known to the instances.
    pub fn record_report(&mut self, now_us: Micros, report: EndpointLoadReport) {
        let known = f64::from(self.own.requests + self.peers.requests);
        let reported = f64::from(report.running + report.waiting);
        self.set_unaccounted(now_us, reported - known);
        self.is_unaccounted_unsent = true;
    }

    /// Sets the unaccounted load found by this or another instance.
    pub fn set_unaccounted(&mut self, now_us: Micros, unaccounted: f64) {
        // A lower count than known is ignored: requests are on their way there.
        self.unaccounted = unaccounted.max(0.0);
        self.reported_us = now_us;
    }

    /// Returns the unaccounted load if the endpoint reported since the last call.
    pub fn take_unaccounted(&mut self) -> Option<i8> {
        let is_unsent = std::mem::take(&mut self.is_unaccounted_unsent);
        is_unsent.then_some(self.unaccounted.min(f64::from(i8::MAX)) as i8)
    }
}

#[derive(Debug, Default)]
struct PeerReport {
    at_us: Micros,
    loads: Vec<(EndpointKey, InFlight)>,
}

/// The loads reported by other instances.
#[derive(Debug, Default)]
pub struct PeerLoads {
    by_peer: HashMap<Incarnation, PeerReport>,
}

impl PeerLoads {
    /// Replaces the load that an instance reported for the endpoints in `span`.
    pub fn replace(
        &mut self,
        now_us: Micros,
        from: Incarnation,
        span: KeyRange,
        loads: &[(EndpointKey, InFlight)],
        endpoints: &mut HashMap<EndpointKey, EndpointLoad>,
    ) {
        let peer_report = self.by_peer.entry(from).or_default();
        peer_report.at_us = now_us;
        for (key, load) in peer_report
            .loads
            .extract_if(.., |(key, _)| span.contains(*key))
        {
            if let Some(endpoint) = endpoints.get_mut(&key) {
                endpoint.peers.requests -= load.requests.min(endpoint.peers.requests);
                let tokens = load.prompt_tokens.min(endpoint.peers.prompt_tokens);
                endpoint.peers.prompt_tokens -= tokens;
            }
        }
        let within = loads.iter().filter(|(key, _)| span.contains(*key));
        for (key, load) in within {
            let endpoint = endpoints.entry(*key).or_default();
            endpoint.peers.requests += load.requests;
            endpoint.peers.prompt_tokens += load.prompt_tokens;
            peer_report.loads.push((*key, *load));
        }
    }

    /// Drops instances that have not reported for long; returns them.
    pub fn expire(
        &mut self,
        now_us: Micros,
        endpoints: &mut HashMap<EndpointKey, EndpointLoad>,
    ) -> Vec<Incarnation> {
        let silent = |t: &PeerReport| now_us.saturating_sub(t.at_us) > PEER_LOAD_TTL_US;
        let gone = self.by_peer.iter().filter(|(_, t)| silent(t));
        let gone: Vec<Incarnation> = gone.map(|(i, _)| *i).collect();
        for instance in &gone {
            self.replace(now_us, *instance, KeyRange::ALL, &[], endpoints);
            self.by_peer.remove(instance);
        }
        gone
    }

    /// Drops all reports.
    pub fn clear(&mut self, endpoints: &mut HashMap<EndpointKey, EndpointLoad>) {
        self.by_peer.clear();
        for endpoint in endpoints.values_mut() {
            endpoint.peers = InFlight::default();
        }
    }

    /// Returns the number of other instances with current reports.
    pub fn reporting_peers(&self) -> usize {
        self.by_peer.len()
    }
}
