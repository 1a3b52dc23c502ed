//! What a balancer tells other instances, and takes from them.

use crate::{
    balance::{
        balancer::Balancer,
        load::{EndpointKey, InFlight, KeySpan},
        prefixes::ChainKey,
        speed::{Evidence, ToldSpeed},
    },
    prelude::{Incarnation, Micros},
};

impl Balancer {
    /// Returns whether there is something to tell since the last time.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns what was read lately, at most `most`.
    pub fn take_news(&mut self, most: usize) -> Vec<(ChainKey, EndpointKey)> {
        let from = self.news.len().saturating_sub(most);
        let news = self.news.split_off(from);
        self.news.clear();
        news
    }

    /// Returns what was seen of the speed of endpoints and not told yet, of at most `most` of them;
    /// the others' turn comes as `turn` rises.
    pub fn take_evidence(&mut self, turn: usize, most: usize) -> Vec<(EndpointKey, Evidence)> {
        let untold = self.endpoints.iter().filter(|(_, e)| e.speed.has_untold());
        let mut keys: Vec<EndpointKey> = untold.map(|(key, _)| *key).collect();
        keys.sort_unstable();
        let begin = turn.wrapping_mul(most) % keys.len().max(1);
        keys.rotate_left(begin);
        keys.truncate(most);
        let taken = keys.into_iter().filter_map(|key| {
            let endpoint = self.endpoints.get_mut(&key)?;
            Some((key, endpoint.speed.take_untold()))
        });
        taken.collect()
    }

    /// Returns what is believed of the speed of endpoints of the own hall, of at most `most` of them;
    /// the others' turn comes as `turn` rises.
    pub fn hall_speeds(&self, turn: usize, most: usize) -> Vec<(EndpointKey, ToldSpeed)> {
        let own = self.endpoints.iter().filter(|(_, e)| e.same_hall);
        let known = own.filter(|(_, e)| e.speed.is_learned());
        let mut known: Vec<_> = known.map(|(key, e)| (*key, e.speed.told())).collect();
        known.sort_unstable_by_key(|(key, _)| *key);
        let begin = turn.wrapping_mul(most) % known.len().max(1);
        known.rotate_left(begin);
        known.truncate(most);
        known
    }

    /// Takes what another hall believes of its endpoints.
    pub fn told_speeds(&mut self, speeds: &[(EndpointKey, ToldSpeed)]) {
        for (key, told) in speeds {
            let endpoint = self.endpoints.get_mut(key);
            if let Some(endpoint) = endpoint.filter(|e| !e.same_hall) {
                endpoint.speed.adopt(*told);
            }
        }
    }

    /// Takes what another instance told.
    pub fn told(
        &mut self,
        now_us: Micros,
        from: Incarnation,
        loads: &[(EndpointKey, InFlight)],
        read: &[(ChainKey, EndpointKey)],
        seen: &[(EndpointKey, Evidence)],
    ) {
        self.picture.told_loads(now_us, from, KeySpan::ALL, loads);
        self.told_news(now_us, read, seen);
    }

    /// Takes what others read where, and how fast they saw endpoints to be.
    pub fn told_news(
        &mut self,
        now_us: Micros,
        read: &[(ChainKey, EndpointKey)],
        seen: &[(EndpointKey, Evidence)],
    ) {
        for (chain, endpoint) in read {
            self.holders.note(now_us, *chain, *endpoint);
        }
        for (key, seen) in seen {
            self.learn(*key, |s| s.learn_told(seen));
            if let Some(endpoint) = self.endpoints.get(key) {
                let service = endpoint.entry.service.clone();
                self.typical.entry(service).or_default().learn_told(seen);
            }
        }
    }
}
