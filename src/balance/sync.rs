//! What a balancer tells other instances, and takes from them.

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
    /// Returns whether there is something to tell since the last time.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns what was read lately, at most `max`.
    pub fn take_cached_chains(&mut self, max_entries: usize) -> Vec<(ChainKey, EndpointKey)> {
        let from = self.unsent_chains.len().saturating_sub(max_entries);
        let chains = self.unsent_chains.split_off(from);
        self.unsent_chains.clear();
        chains
    }

    /// Returns what was seen of the speed of endpoints and not told yet, of at most `max` of them;
    /// the others' turn comes as `round` rises.
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

    /// Returns what is believed of the speed of endpoints of the own hall, of at most `max` of them;
    /// the others' turn comes as `round` rises.
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

    /// Takes what another hall believes of its endpoints.
    pub fn apply_speed_summaries(&mut self, speeds: &[(EndpointKey, SpeedSummary)]) {
        for (key, told) in speeds {
            let endpoint = self.endpoints.get_mut(key);
            if let Some(endpoint) = endpoint.filter(|e| !e.same_hall) {
                endpoint.speed.apply_summary(*told);
            }
        }
    }

    /// Takes what another instance told.
    pub fn apply_peer_update(
        &mut self,
        now_us: Micros,
        from: Incarnation,
        loads: &[(EndpointKey, InFlight)],
        read: &[(ChainKey, EndpointKey)],
        seen: &[(EndpointKey, SpeedSamples)],
    ) {
        self.load_view
            .apply_peer_loads(now_us, from, KeyRange::ALL, loads);
        self.apply_peer_observations(now_us, read, seen);
    }

    /// Takes what others read where, and how fast they saw endpoints to be.
    pub fn apply_peer_observations(
        &mut self,
        now_us: Micros,
        read: &[(ChainKey, EndpointKey)],
        seen: &[(EndpointKey, SpeedSamples)],
    ) {
        for (chain, endpoint) in read {
            self.holders.record(now_us, *chain, *endpoint);
        }
        for (key, seen) in seen {
            self.update_speed(*key, |s| s.merge_samples(seen));
            if let Some(endpoint) = self.endpoints.get(key) {
                let service = endpoint.entry.service.clone();
                self.service_speeds
                    .entry(service)
                    .or_default()
                    .merge_samples(seen);
            }
        }
    }
}
