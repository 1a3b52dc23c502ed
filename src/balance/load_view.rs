//! The load at all endpoints, as far as this instance knows it.

use std::{collections::HashMap, sync::LazyLock};

use crate::{
    balance::load::{
        EndpointKey, EndpointLoad, EndpointLoadReport, InFlight, KeyRange, LoadEstimate, PeerLoads,
    },
    prelude::{Incarnation, Micros, Name},
};

/// In a large group, what was told of endpoints in other halls is believed by this share, and for the
/// rest they are taken to be like the service's endpoints of their hall in the mean, which changes
/// slowly: told each 200 ms, it is older
/// than the requests that meanwhile came to whoever looked idle. Of placements in other halls 40 in
/// 100 were late in a surge over 78 instances. Worth of that surge, two seeds, by share: 1.0 .486,
/// 0.6 .515, 0.25 .517; of a calm day .809, .825, .800.
const REMOTE_LOAD_WEIGHT: f64 = 0.6;
/// The means follow what is told within this time: one round of words.
const MEANS_INTERVAL_US: Micros = 40_000;

/// Endpoints by service and hall.
pub type EndpointsByServiceAndHall = HashMap<Name, HashMap<Name, Vec<EndpointKey>>>;

/// How many instances place requests by pictures like this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ClusterSize {
    /// So few that all tell each other each round.
    #[default]
    Small,
    /// More: halls tell each other sums, and many place requests before they hear of each other.
    Large,
}

/// The load at all endpoints.
#[derive(Debug, Default)]
pub struct LoadView {
    cluster_size: ClusterSize,
    is_hall_aggregator: bool,
    loads: HashMap<EndpointKey, EndpointLoad>,
    peer_loads: PeerLoads,
    /// What an endpoint of each service and hall has from others in the mean, and when that was worked
    /// out.
    means: HashMap<Name, HashMap<Name, LoadEstimate>>,
    means_at_us: Micros,
}

impl LoadView {
    /// Sets how many instances place requests by pictures like this one.
    pub fn set_cluster_size(&mut self, cluster_size: ClusterSize) {
        if std::mem::replace(&mut self.cluster_size, cluster_size) != cluster_size {
            // What single instances told is in the sums of halls from now on, or the other way round.
            self.peer_loads.clear(&mut self.loads);
        }
    }

    /// Returns how many instances place requests by pictures like this one.
    pub fn cluster_size(&self) -> ClusterSize {
        self.cluster_size
    }

    /// Returns what is believed to be at an endpoint of `service` in `hall`.
    pub fn estimate(
        &self,
        now_us: Micros,
        key: EndpointKey,
        service: &Name,
        hall: &Name,
        same_hall: bool,
    ) -> LoadEstimate {
        static IDLE: LazyLock<EndpointLoad> = LazyLock::new(EndpointLoad::default);
        let load = self.loads.get(&key).unwrap_or(&IDLE);
        if same_hall && self.is_hall_aggregator {
            // What endpoints have beside what the tellers knew of is mostly what is known here besides.
            return load.accounted();
        }
        let is_current = same_hall || self.cluster_size == ClusterSize::Small;
        let mean = self.means.get(service).and_then(|halls| halls.get(hall));
        match mean {
            Some(mean) if !is_current => load.shrunk_towards(now_us, *mean, REMOTE_LOAD_WEIGHT),
            _ => load.estimate(now_us),
        }
    }

    /// Works out the means of the services anew if they are old.
    pub fn refresh_means(&mut self, now_us: Micros, services: &EndpointsByServiceAndHall) {
        let age_us = now_us.saturating_sub(self.means_at_us);
        if self.cluster_size == ClusterSize::Small || age_us < MEANS_INTERVAL_US {
            return;
        }
        self.means_at_us = now_us;
        let mut means: HashMap<Name, HashMap<Name, LoadEstimate>> = HashMap::new();
        for (service, halls) in services {
            let of_service = means.entry(service.clone()).or_default();
            for (hall, keys) in halls {
                of_service.insert(hall.clone(), self.mean(keys));
            }
        }
        self.means = means;
    }

    fn mean(&self, keys: &[EndpointKey]) -> LoadEstimate {
        let loads = keys.iter().filter_map(|key| self.loads.get(key));
        let mut sum = LoadEstimate::default();
        for peers in loads.map(EndpointLoad::peers) {
            sum.requests += f64::from(peers.requests);
            sum.prompt_tokens += f64::from(peers.prompt_tokens);
        }
        let count = keys.len().max(1) as f64;
        LoadEstimate {
            requests: sum.requests / count,
            prompt_tokens: sum.prompt_tokens / count,
        }
    }

    /// Sets whether this instance gives places at its hall's endpoints to the others, and so hears from
    /// each of them what it has there.
    pub fn set_hall_aggregator(&mut self, is_hall_aggregator: bool) {
        if std::mem::replace(&mut self.is_hall_aggregator, is_hall_aggregator) != is_hall_aggregator
        {
            // Sums of the hall, or of its instances one by one, are not told from now on.
            self.peer_loads.clear(&mut self.loads);
        }
    }

    /// Returns whether this instance gives places at its hall's endpoints to the others.
    pub fn is_hall_aggregator(&self) -> bool {
        self.is_hall_aggregator
    }

    /// Adds a place given to another instance.
    pub fn add_grant(&mut self, key: EndpointKey, uncached_tokens: u32) {
        self.loads
            .entry(key)
            .or_default()
            .add_grant(uncached_tokens);
    }

    /// Takes away a place given to another instance.
    pub fn release_grant(&mut self, key: EndpointKey, uncached_tokens: u32) {
        if let Some(load) = self.loads.get_mut(&key) {
            load.release_grant(uncached_tokens);
        }
    }

    /// Adds a request of this instance at an endpoint.
    pub fn record_sent(&mut self, key: EndpointKey, uncached_tokens: u32) {
        let own = &mut self.loads.entry(key).or_default().own;
        own.requests += 1;
        own.prompt_tokens += uncached_tokens;
    }

    /// Notes that the prompt of a request of this instance was read.
    pub fn record_prompt_processed(&mut self, key: EndpointKey, uncached_tokens: u32) {
        if let Some(load) = self.loads.get_mut(&key) {
            let tokens = &mut load.own.prompt_tokens;
            *tokens = tokens.saturating_sub(uncached_tokens);
        }
    }

    /// Takes a request of this instance away, with the tokens of its prompt that were not read.
    pub fn record_ended(&mut self, key: EndpointKey, waiting_tokens: u32) {
        if let Some(load) = self.loads.get_mut(&key) {
            load.own.requests = load.own.requests.saturating_sub(1);
            load.own.prompt_tokens = load.own.prompt_tokens.saturating_sub(waiting_tokens);
        }
    }

    /// Returns how many requests of this instance are at an endpoint.
    pub fn own_requests(&self, key: EndpointKey) -> u32 {
        self.loads.get(&key).map_or(0, |load| load.own.requests)
    }

    /// Returns whether others have requests at an endpoint, as far as they told.
    pub fn has_peer_requests(&self, key: EndpointKey) -> bool {
        let load = self.loads.get(&key);
        load.is_some_and(|load| load.peers().requests > 0)
    }

    /// Takes an endpoint's own word on its load.
    pub fn record_load_report(
        &mut self,
        now_us: Micros,
        key: EndpointKey,
        report: EndpointLoadReport,
    ) {
        self.loads
            .entry(key)
            .or_default()
            .record_report(now_us, report);
    }

    /// Returns what endpoints said of their load since this was asked last, beside the requests that
    /// are known of.
    pub fn take_unaccounted_load(&mut self) -> Vec<(EndpointKey, i8)> {
        let loads = self.loads.iter_mut();
        let reports = loads.filter_map(|(key, load)| Some((*key, load.take_unaccounted()?)));
        reports.collect()
    }

    /// Takes what other instances heard from endpoints of their load.
    pub fn apply_unaccounted_load(&mut self, now_us: Micros, reports: &[(EndpointKey, i8)]) {
        for (key, unaccounted) in reports {
            let load = self.loads.entry(*key).or_default();
            load.set_unaccounted(now_us, f64::from(*unaccounted));
        }
    }

    /// Returns this instance's requests by endpoint, to tell the others.
    pub fn own_loads(&self) -> Vec<(EndpointKey, InFlight)> {
        let own = self.loads.iter().map(|(k, l)| (*k, l.own));
        let mut own: Vec<_> = own.filter(|(_, l)| l.requests > 0).collect();
        own.sort_unstable_by_key(|(k, _)| *k);
        own
    }

    /// Takes what another instance, or another hall under a key of its own, told of its requests at
    /// the endpoints of `span`.
    pub fn apply_peer_loads(
        &mut self,
        now_us: Micros,
        from: Incarnation,
        span: KeyRange,
        loads: &[(EndpointKey, InFlight)],
    ) {
        self.peer_loads
            .replace(now_us, from, span, loads, &mut self.loads);
    }

    /// Forgets the instances that fell silent; returns them.
    pub fn expire(&mut self, now_us: Micros) -> Vec<Incarnation> {
        self.peer_loads.expire(now_us, &mut self.loads)
    }

    /// Returns how many other instances are heard.
    pub fn reporting_peers(&self) -> usize {
        self.peer_loads.reporting_peers()
    }
}
