//! Which endpoint holds which prompt blocks, bounded and fed by grants and cache events.

use std::{
    collections::{HashMap, VecDeque},
    hash::{BuildHasherDefault, Hasher},
};

use serde::{Deserialize, Serialize};

const WORD_BITS: usize = u64::BITS as usize;

/// What an endpoint says of its prefix cache, with a sequence number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts the endpoint's events without a gap.
    pub seq: u64,
    /// Blocks that the cache took in.
    #[serde(default)]
    pub stored: Vec<u64>,
    /// Blocks that the cache dropped.
    #[serde(default)]
    pub evicted: Vec<u64>,
}

/// Takes a block's hash as it is: it is one already.
#[derive(Clone, Copy, Debug, Default)]
pub struct BlockHasher(u64);

impl Hasher for BlockHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, block: u64) {
        // Spread the low bits too: a caller may choose its prompt, and so the hash.
        self.0 = block.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    }
}

/// A map from blocks.
type BlockMap<V> = HashMap<u64, V, BuildHasherDefault<BlockHasher>>;

/// When a block was last used, and whether a grant of ours says so rather than an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct BlockUse {
    stamp: u64,
    granted: bool,
}

/// The blocks believed to be cached at one endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointBlocks {
    blocks: BlockMap<BlockUse>,
    order: VecDeque<(u64, u64)>,
    stamp: u64,
    next_seq: Option<u64>,
}

/// Maps prompt blocks to endpoints.
///
/// Memory is bounded by each endpoint's capacity. On a gap in an endpoint's cache events an eviction
/// may have been missed: what events said is forgotten, and of what was granted only the part used
/// last stays, half the cache's size, which an engine that drops what was used longest ago still has.
#[derive(Clone, Debug, Default)]
pub struct PrefixMap {
    endpoints: Vec<EndpointBlocks>,
    capacity_blocks: Vec<usize>,
    /// For each block a bit for each endpoint.
    holders: BlockMap<Vec<u64>>,
}

impl PrefixMap {
    /// Sets an endpoint's capacity, in blocks; a new endpoint starts empty.
    pub fn set_capacity(&mut self, endpoint: usize, blocks: usize) {
        if self.endpoints.len() <= endpoint {
            self.endpoints
                .resize_with(endpoint + 1, EndpointBlocks::default);
            self.capacity_blocks.resize(endpoint + 1, 0);
        }
        self.capacity_blocks[endpoint] = blocks;
    }

    /// Returns how many leading blocks of `prefix` the endpoint holds.
    pub fn cached_blocks(&self, endpoint: usize, prefix: &[u64]) -> usize {
        let endpoint_blocks = &self.endpoints[endpoint].blocks;
        prefix
            .iter()
            .take_while(|b| endpoint_blocks.contains_key(b))
            .count()
    }

    /// Writes to `depths` how many leading blocks of `prefix` each endpoint holds.
    pub fn cached_at_each(&self, prefix: &[u64], depths: &mut Vec<u32>) {
        depths.clear();
        depths.resize(self.endpoints.len(), 0);
        let words = self.endpoints.len().div_ceil(WORD_BITS);
        let mut matching = [u64::MAX; MAX_HOLDER_WORDS];
        let matching = &mut matching[..words.min(MAX_HOLDER_WORDS)];
        for (index, block) in prefix.iter().enumerate() {
            let Some(holders) = self.holders.get(block) else {
                break;
            };
            let mut any = 0;
            for (word, bits) in matching.iter_mut().enumerate() {
                *bits &= holders.get(word).copied().unwrap_or(0);
                any |= *bits;
                for_each_bit(*bits, |bit| {
                    depths[word * WORD_BITS + bit] = index as u32 + 1;
                });
            }
            if any == 0 {
                break;
            }
        }
    }

    /// Takes note that the endpoint works on `prefix` and will hold it.
    pub fn touch(&mut self, endpoint: usize, prefix: &[u64]) {
        for &block in prefix.iter().rev() {
            self.insert(endpoint, block, true);
        }
    }

    /// Applies a cache event; returns false if a gap made it forget the endpoint.
    pub fn apply(&mut self, endpoint: usize, event: &CacheEvent) -> bool {
        let expected = self.endpoints[endpoint].next_seq;
        let in_sequence = expected.is_none_or(|seq| seq == event.seq);
        if !in_sequence {
            self.remove_uncertain(endpoint);
        }
        self.endpoints[endpoint].next_seq = Some(event.seq + 1);
        for &block in &event.evicted {
            self.remove(endpoint, block);
        }
        for &block in event.stored.iter().rev() {
            self.insert(endpoint, block, false);
        }
        in_sequence
    }

    /// Forgets all that is believed of the endpoint.
    pub fn clear_endpoint(&mut self, endpoint: usize) {
        let endpoint_blocks = std::mem::take(&mut self.endpoints[endpoint]);
        for block in endpoint_blocks.blocks.keys() {
            self.drop_holder(*block, endpoint);
        }
    }

    /// Forgets what a missed event may have made untrue.
    fn remove_uncertain(&mut self, endpoint: usize) {
        let endpoint_blocks = &self.endpoints[endpoint];
        let cutoff = endpoint_blocks
            .stamp
            .saturating_sub(self.capacity_blocks[endpoint] as u64 / 2);
        let uncertain = endpoint_blocks
            .blocks
            .iter()
            .filter(|(_, block_use)| !block_use.granted || block_use.stamp <= cutoff);
        let uncertain: Vec<u64> = uncertain.map(|(block, _)| *block).collect();
        for block in uncertain {
            self.remove(endpoint, block);
        }
    }

    fn insert(&mut self, endpoint: usize, block: u64, granted: bool) {
        let endpoint_blocks = &mut self.endpoints[endpoint];
        endpoint_blocks.stamp += 1;
        let stamp = endpoint_blocks.stamp;
        endpoint_blocks.order.push_back((block, stamp));
        let previous = endpoint_blocks.blocks.get(&block).copied();
        let granted = granted || previous.is_some_and(|block_use| block_use.granted);
        endpoint_blocks
            .blocks
            .insert(block, BlockUse { stamp, granted });
        if previous.is_none() {
            let holders = self.holders.entry(block).or_default();
            let word = endpoint / WORD_BITS;
            if holders.len() <= word {
                holders.resize(word + 1, 0);
            }
            holders[word] |= 1 << (endpoint % WORD_BITS);
        }
        self.evict_over_capacity(endpoint);
    }

    fn evict_over_capacity(&mut self, endpoint: usize) {
        let capacity = self.capacity_blocks[endpoint];
        loop {
            let endpoint_blocks = &mut self.endpoints[endpoint];
            let over_capacity = endpoint_blocks.blocks.len() > capacity;
            // Entries of `order` that were touched again later are stale; sweep them too.
            if !over_capacity && endpoint_blocks.order.len() <= 4 * capacity + 16 {
                return;
            }
            let Some((block, stamp)) = endpoint_blocks.order.pop_front() else {
                return;
            };
            if endpoint_blocks
                .blocks
                .get(&block)
                .map(|block_use| block_use.stamp)
                != Some(stamp)
            {
                continue;
            }
            if over_capacity {
                self.remove(endpoint, block);
            } else {
                endpoint_blocks.order.push_back((block, stamp));
                return;
            }
        }
    }

    fn remove(&mut self, endpoint: usize, block: u64) {
        if self.endpoints[endpoint].blocks.remove(&block).is_some() {
            self.drop_holder(block, endpoint);
        }
    }

    fn drop_holder(&mut self, block: u64, endpoint: usize) {
        if let Some(holders) = self.holders.get_mut(&block) {
            holders[endpoint / WORD_BITS] &= !(1 << (endpoint % WORD_BITS));
            if holders.iter().all(|word| *word == 0) {
                self.holders.remove(&block);
            }
        }
    }
}

/// Endpoints beyond this many words of bits are taken as holding nothing.
const MAX_HOLDER_WORDS: usize = 64;

fn for_each_bit(mut bits: u64, mut each: impl FnMut(usize)) {
    while bits != 0 {
        each(bits.trailing_zeros() as usize);
        bits &= bits - 1;
    }
}
