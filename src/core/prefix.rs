//! Tracks which endpoints have which prompt blocks cached, from grants and from cache events.

use std::{
    collections::{HashMap, VecDeque},
    hash::{BuildHasherDefault, Hasher},
};

use serde::{Deserialize, Serialize};

const WORD_BITS: usize = u64::BITS as usize;

/// A change of an endpoint's prefix cache, with a sequence number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; an endpoint's events are numbered without gaps.
    pub seq: u64,
    /// Blocks added to the cache.
    #[serde(default)]
    pub stored: Vec<u64>,
    /// Blocks evicted from the cache.
    #[serde(default)]
    pub evicted: Vec<u64>,
}

/// A cheap hasher for block hashes, which are hashes already.
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
        // Spread the low bits as well: callers choose their prompts and thereby the hashes.
        self.0 = block.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    }
}

/// A map keyed by block hash.
type BlockMap<V> = HashMap<u64, V, BuildHasherDefault<BlockHasher>>;

/// When a block was last used, and whether it is known from a grant rather than only from an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct BlockUse {
    /// Value of [`EndpointBlocks::stamp`] at the last use.
    stamp: u64,
    granted: bool,
}

/// The blocks that are expected to be in one endpoint's cache.
#[derive(Clone, Debug, Default)]
struct EndpointBlocks {
    blocks: BlockMap<BlockUse>,
    /// Blocks with the stamps of their uses, oldest first. May contain stale pairs.
    order: VecDeque<(u64, u64)>,
    /// Counts the uses of blocks.
    stamp: u64,
    next_seq: Option<u64>,
}

/// Maps prompt blocks to the endpoints that have them cached.
///
/// Memory is bounded by the endpoints' cache capacities. After a gap in an endpoint's cache events an
/// eviction may have been missed: blocks known only from events are removed, and of those known from
/// grants only the most recently used stay, up to half the cache's size. An engine with LRU eviction
/// still has these.
#[derive(Clone, Debug, Default)]
pub struct PrefixMap {
    endpoints: Vec<EndpointBlocks>,
    capacity_blocks: Vec<usize>,
    /// For each block, a bit set of the endpoints that have it.
    holders: BlockMap<Vec<u64>>,
}

impl PrefixMap {
    /// Sets an endpoint's cache capacity, in blocks, and adds the endpoint if it is new.
    pub fn set_capacity(&mut self, endpoint: usize, blocks: usize) {
        if self.endpoints.len() <= endpoint {
            self.endpoints
                .resize_with(endpoint + 1, EndpointBlocks::default);
            self.capacity_blocks.resize(endpoint + 1, 0);
        }
        self.capacity_blocks[endpoint] = blocks;
    }

    /// Returns how many leading blocks of `prefix` the endpoint has cached.
    pub fn cached_blocks(&self, endpoint: usize, prefix: &[u64]) -> usize {
        let cached = &self.endpoints[endpoint].blocks;
        prefix.iter().take_while(|b| cached.contains_key(b)).count()
    }

    /// Writes to `depths` how many leading blocks of `prefix` each endpoint has cached.
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

    /// Marks the blocks of `prefix` as used by a grant to the endpoint, which will cache them.
    pub fn touch(&mut self, endpoint: usize, prefix: &[u64]) {
        for &block in prefix.iter().rev() {
            self.insert(endpoint, block, true);
        }
    }

    /// Applies a cache event; returns false if events were missed and uncertain blocks were removed.
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

    /// Removes all blocks of the endpoint.
    pub fn clear_endpoint(&mut self, endpoint: usize) {
        let cached = std::mem::take(&mut self.endpoints[endpoint]);
        for block in cached.blocks.keys() {
            self.drop_holder(*block, endpoint);
        }
    }

    /// Removes the blocks that may have been evicted by a missed event.
    fn remove_uncertain(&mut self, endpoint: usize) {
        let cached = &self.endpoints[endpoint];
        let cutoff = cached
            .stamp
            .saturating_sub(self.capacity_blocks[endpoint] as u64 / 2);
        let uncertain = cached
            .blocks
            .iter()
            .filter(|(_, block_use)| !block_use.granted || block_use.stamp <= cutoff);
        let uncertain: Vec<u64> = uncertain.map(|(block, _)| *block).collect();
        for block in uncertain {
            self.remove(endpoint, block);
        }
    }

    fn insert(&mut self, endpoint: usize, block: u64, granted: bool) {
        let cached = &mut self.endpoints[endpoint];
        cached.stamp += 1;
        let stamp = cached.stamp;
        cached.order.push_back((block, stamp));
        let previous = cached.blocks.get(&block).copied();
        let granted = granted || previous.is_some_and(|block_use| block_use.granted);
        cached.blocks.insert(block, BlockUse { stamp, granted });
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
            let cached = &mut self.endpoints[endpoint];
            let over_capacity = cached.blocks.len() > capacity;
            // A pair in `order` is stale if its block was used again later; too many of them are removed too.
            if !over_capacity && cached.order.len() <= 4 * capacity + 16 {
                return;
            }
            let Some((block, stamp)) = cached.order.pop_front() else {
                return;
            };
            if cached.blocks.get(&block).map(|block_use| block_use.stamp) != Some(stamp) {
                continue;
            }
            if over_capacity {
                self.remove(endpoint, block);
            } else {
                cached.order.push_back((block, stamp));
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

/// Endpoints beyond this many 64-bit words of the bit set are assumed to have nothing cached.
const MAX_HOLDER_WORDS: usize = 64;

fn for_each_bit(mut bits: u64, mut each: impl FnMut(usize)) {
    while bits != 0 {
        each(bits.trailing_zeros() as usize);
        bits &= bits - 1;
    }
}
