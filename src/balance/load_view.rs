//! This instance's view of the load of all endpoints.

use std::{collections::HashMap, sync::LazyLock};

use crate::{
    balance::load::{
        EndpointKey, EndpointLoad, EndpointLoadReport, InFlight, KeyRange, LoadEstimate, PeerLoads,
    },
    prelude::{Incarnation, Micros, Name},
};

/// Weight of the reported load of endpoints in other halls in a large cluster. The rest is the mean
/// over the service's endpoints in that hall, which changes slowly: reports arrive every 200 ms and
/// are older than the requests that have since gone to whichever endpoint looked idle.
///
/// Of the placements in other halls 40 in 100 were late in a surge over 78 instances. Value served
/// with weights of 1.0, 0.6 and 0.25: in that surge (two seeds) 0.486, 0.515 and 0.517, on a day
/// without surges 0.809, 0.825 and 0.800.
const REMOTE_LOAD_WEIGHT: f64 = 0.6;
/// The means are recomputed at this interval, one gossip round.
const MEANS_INTERVAL_US: Micros = 40_000;

/// Endpoints by service and hall.
pub type EndpointsByServiceAndHall = HashMap<Name, HashMap<Name, Vec<EndpointKey>>>;

/// How many instances place requests, which decides how they exchange loads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ClusterSize {
    /// Few enough that every instance reports to all others in each round.
    #[default]
    Small,
    /// Halls exchange sums, and many instances place requests before they learn of each other's.
    Large,
}

/// The load at all endpoints.
#[derive(Debug, Default)]
pub struct LoadView {
    cluster_size: ClusterSize,
    is_hall_aggregator: bool,
    loads: HashMap<EndpointKey, EndpointLoad>,
    peer_loads: PeerLoads,
    /// Mean load from peers on one endpoint, by service and hall, and when it was computed.
    means: HashMap<Name, HashMap<Name, LoadEstimate>>,
    means_at_us: Micros,
}

impl LoadView {
    /// Sets the size class of the cluster.
    pub fn set_cluster_size(&mut self, cluster_size: ClusterSize) {
        if std::mem::replace(&mut self.cluster_size, cluster_size) != cluster_size {
            // Loads of single instances are part of the hall sums from now on, or the other way
            // round.
            self.peer_loads.clear(&mut self.loads);
        }
    }

    /// Returns the size class of the cluster.
    pub fn cluster_size(&self) -> ClusterSize {
        self.cluster_size
    }

    /// Returns the estimated load of an endpoint of `service` in `hall`.
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
            // Here all requests of the hall are counted exactly; the unaccounted load that others
            // report is mostly part of that count.
            return load.accounted();
        }
        let is_current = same_hall || self.cluster_size == ClusterSize::Small;
        let mean = self.means.get(service).and_then(|halls| halls.get(hall));
        match mean {
            Some(mean) if !is_current => load.shrunk_towards(now_us, *mean, REMOTE_LOAD_WEIGHT),
            _ => load.estimate(now_us),
        }
    }

    /// Recomputes the means per service and hall if they are older than one interval.
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

    /// Sets whether this instance is the aggregator of its hall: it grants requests at the hall's
    /// endpoints to the other instances, and each of them reports its own load to it.
    pub fn set_hall_aggregator(&mut self, is_hall_aggregator: bool) {
        if std::mem::replace(&mut self.is_hall_aggregator, is_hall_aggregator) != is_hall_aggregator
        {
            // From now on, reports are per instance instead of sums of the hall, or the other way
            // round.
            self.peer_loads.clear(&mut self.loads);
        }
    }

    /// Returns whether this instance is the aggregator of its hall.
    pub fn is_hall_aggregator(&self) -> bool {
        self.is_hall_aggregator
    }

    /// Adds a request granted to another instance.
    pub fn add_grant(&mut self, key: EndpointKey, uncached_tokens: u32) {
        self.loads
            .entry(key)
            .or_default()
            .add_grant(uncached_tokens);
    }

    /// Removes a request granted to another instance.
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

    /// Records that the endpoint has processed the prompt of a request of this instance.
    pub fn record_prompt_processed(&mut self, key: EndpointKey, uncached_tokens: u32) {
        if let Some(load) = self.loads.get_mut(&key) {
            let tokens = &mut load.own.prompt_tokens;
            *tokens = tokens.saturating_sub(uncached_tokens);
        }
    }

    /// Removes a request of this instance, with its prompt tokens that were not processed.
    pub fn record_ended(&mut self, key: EndpointKey, waiting_tokens: u32) {
        if let Some(load) = self.loads.get_mut(&key) {
            load.own.requests = load.own.requests.saturating_sub(1);
            load.own.prompt_tokens = load.own.prompt_tokens.saturating_sub(waiting_tokens);
        }
    }

    /// Returns the number of in-flight requests of this instance at an endpoint.
    pub fn own_requests(&self, key: EndpointKey) -> u32 {
        self.loads.get(&key).map_or(0, |load| load.own.requests)
    }

    /// Returns whether other instances reported requests at an endpoint.
    pub fn has_peer_requests(&self, key: EndpointKey) -> bool {
        let load = self.loads.get(&key);
        load.is_some_and(|load| load.peers().requests > 0)
    }

    /// Records the load that an endpoint reported of itself.
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

    /// Returns the load that endpoints reported beyond the requests known to the instances, since
    /// the last call.
    pub fn take_unaccounted_load(&mut self) -> Vec<(EndpointKey, i8)> {
        let loads = self.loads.iter_mut();
        let reports = loads.filter_map(|(key, load)| Some((*key, load.take_unaccounted()?)));
        reports.collect()
    }

    /// Applies unaccounted load that other instances learned from endpoints.
    pub fn apply_unaccounted_load(&mut self, now_us: Micros, reports: &[(EndpointKey, i8)]) {
        for (key, unaccounted) in reports {
            let load = self.loads.entry(*key).or_default();
            load.set_unaccounted(now_us, f64::from(*unaccounted));
        }
    }

    /// Returns this instance's load by endpoint, to be sent to peers.
    pub fn own_loads(&self) -> Vec<(EndpointKey, InFlight)> {
        let own = self.loads.iter().map(|(k, l)| (*k, l.own));
        let mut own: Vec<_> = own.filter(|(_, l)| l.requests > 0).collect();
        own.sort_unstable_by_key(|(k, _)| *k);
        own
    }

    /// Replaces the load reported by another instance, or by another hall under a key of its own,
    /// for the endpoints in `span`.
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

    /// Drops the loads of instances that stopped reporting; returns those instances.
    pub fn expire(&mut self, now_us: Micros) -> Vec<Incarnation> {
        self.peer_loads.expire(now_us, &mut self.loads)
    }

    /// Returns the number of other instances whose reports are current.
    pub fn reporting_peers(&self) -> usize {
        self.peer_loads.reporting_peers()
    }
}
