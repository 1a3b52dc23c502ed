//! State exchange with other instances: what a balancer sends to them and applies from them.

use crate::{
    balance::{
        balancer::Balancer,
        load::{EndpointKey, InFlight, KeyRange},
        prefixes::ChainKey,
        speed::{SpeedSamples, SpeedSummary},
    },
    prelude::{Incarnation, Micros},
};

impl Balancer {
    /// Returns whether anything has changed that peers should learn, since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the chains recorded since the last call, at most `max_entries`, the latest ones.
    pub fn take_cached_chains(&mut self, max_entries: usize) -> Vec<(ChainKey, EndpointKey)> {
        let from = self.unsent_chains.len().saturating_sub(max_entries);
        let chains = self.unsent_chains.split_off(from);
        self.unsent_chains.clear();
        chains
    }

    /// Returns unsent speed observations of at most `max_entries` endpoints; increasing `round`
    /// rotates through all of them.
    pub fn take_speed_samples(
        &mut self,
        round: usize,
        max_entries: usize,
    ) -> Vec<(EndpointKey, SpeedSamples)> {
        let unsent = self.endpoints.iter().filter(|(_, e)| e.speed.has_unsent());
        let mut keys: Vec<EndpointKey> = unsent.map(|(key, _)| *key).collect();
        keys.sort_unstable();
        let begin = round.wrapping_mul(max_entries) % keys.len().max(1);
        keys.rotate_left(begin);
        keys.truncate(max_entries);
        let samples = keys.into_iter().filter_map(|key| {
            let endpoint = self.endpoints.get_mut(&key)?;
            Some((key, endpoint.speed.take_unsent()))
        });
        samples.collect()
    }

    /// Returns the speed estimates of at most `max_entries` endpoints in the own hall; increasing
    /// `round` rotates through all of them.
    pub fn hall_speeds(
        &self,
        round: usize,
        max_entries: usize,
    ) -> Vec<(EndpointKey, SpeedSummary)> {
        let own = self.endpoints.iter().filter(|(_, e)| e.same_hall);
        let known = own.filter(|(_, e)| e.speed.has_samples());
        let mut known: Vec<_> = known.map(|(key, e)| (*key, e.speed.summary())).collect();
        known.sort_unstable_by_key(|(key, _)| *key);
        let begin = round.wrapping_mul(max_entries) % known.len().max(1);
        known.rotate_left(begin);
        known.truncate(max_entries);
        known
    }

    /// Applies another hall's speed estimates of its own endpoints.
    pub fn apply_speed_summaries(&mut self, speeds: &[(EndpointKey, SpeedSummary)]) {
        for (key, summary) in speeds {
            let endpoint = self.endpoints.get_mut(key);
            if let Some(endpoint) = endpoint.filter(|e| !e.same_hall) {
                endpoint.speed.apply_summary(*summary);
            }
        }
    }

    /// Applies an update of another instance.
    pub fn apply_peer_update(
        &mut self,
        now_us: Micros,
        from: Incarnation,
        loads: &[(EndpointKey, InFlight)],
        cached_chains: &[(ChainKey, EndpointKey)],
        samples: &[(EndpointKey, SpeedSamples)],
    ) {
        self.load_view
            .apply_peer_loads(now_us, from, KeyRange::ALL, loads);
        self.apply_peer_observations(now_us, cached_chains, samples);
    }

    /// Applies the cached chains and speed observations of other instances.
    pub fn apply_peer_observations(
        &mut self,
        now_us: Micros,
        cached_chains: &[(ChainKey, EndpointKey)],
        samples: &[(EndpointKey, SpeedSamples)],
    ) {
        for (chain, endpoint) in cached_chains {
            self.holders.record(now_us, *chain, *endpoint);
        }
        for (key, samples) in samples {
            self.update_speed(*key, |s| s.merge_samples(samples));
            if let Some(endpoint) = self.endpoints.get(key) {
                let service = endpoint.entry.service.clone();
                self.service_speeds
                    .entry(service)
                    .or_default()
                    .merge_samples(samples);
            }
        }
    }
}
