//! A small model of one engine in virtual time: continuous batching by steps, prompt work in chunks,
//! a bounded prefix cache.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use crate::{
    core::prefix::CacheEvent,
    prelude::{Micros, Rank},
    replay::trace::TraceEndpoint,
};

/// Prompt tokens that one step takes in.
const CHUNK_TOKENS: u32 = 256;
const KEPT_EVENTS: usize = 4_096;

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its place in the trace.
    pub request: usize,
    /// Its tier's order.
    pub rank: Rank,
    /// Hash chain of its prompt.
    pub prefix: Vec<u64>,
    /// Length of its prompt.
    pub prompt_tokens: u32,
    /// Length of its answer.
    pub output_tokens: u32,
    begun: bool,
    prefill_left: u32,
    computed: u32,
    made: u32,
    /// Its place in the order of admission.
    admitted: u64,
}

impl Job {
    /// Makes a job that has not begun.
    pub fn new(
        request: usize,
        rank: Rank,
        prefix: Vec<u64>,
        prompt_tokens: u32,
        output_tokens: u32,
    ) -> Self {
        Self {
            request,
            rank,
            prefix,
            prompt_tokens,
            output_tokens,
            begun: false,
            prefill_left: 0,
            computed: 0,
            made: 0,
            admitted: 0,
        }
    }
}

/// What a step brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepEvent {
    /// A request's first token.
    FirstToken(usize),
    /// One more token.
    Token(usize),
    /// A request's last token, with the prompt tokens that were computed for it.
    Done(usize, u32),
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its numbers.
    pub spec: TraceEndpoint,
    /// Multiplies its times.
    pub slow: f64,
    /// Takes nothing and answers nothing.
    pub dead: bool,
    block_tokens: u32,
    queue: VecDeque<Job>,
    batch: Vec<Job>,
    chunks: Vec<u32>,
    stepping: bool,
    cache: Cache,
    events: VecDeque<CacheEvent>,
    event_seq: u64,
    admissions: u64,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(spec: TraceEndpoint, block_tokens: u32) -> Self {
        let cache = Cache::new((spec.cache_tokens / block_tokens) as usize);
        Self {
            spec,
            slow: 1.0,
            dead: false,
            block_tokens,
            queue: VecDeque::new(),
            batch: Vec::new(),
            chunks: Vec::new(),
            stepping: false,
            cache,
            events: VecDeque::new(),
            event_seq: 0,
            admissions: 0,
        }
    }

    /// Returns how many requests run and wait here.
    pub fn load(&self) -> (u32, u32) {
        (self.batch.len() as u32, self.queue.len() as u32)
    }

    /// Takes a request; it waits here by its tier.
    pub fn submit(&mut self, job: Job) {
        let at = self.queue.partition_point(|j| j.rank <= job.rank);
        self.queue.insert(at, job);
    }

    /// Ends at once; returns what was held, with the prompt tokens computed for each.
    pub fn die(&mut self) -> Vec<(usize, u32)> {
        self.dead = true;
        self.stepping = false;
        self.chunks.clear();
        self.cache = Cache::new(self.cache.capacity);
        let batch = std::mem::take(&mut self.batch);
        let queue = std::mem::take(&mut self.queue);
        let held = batch.into_iter().chain(queue);
        held.map(|j| (j.request, j.computed)).collect()
    }

    /// Begins a step if there is work and none is under way; returns when it ends.
    pub fn begin_step(&mut self, now_us: Micros) -> Option<Micros> {
        if self.stepping || self.dead {
            return None;
        }
        self.admit();
        if self.batch.is_empty() {
            return None;
        }
        let budget = self.share_chunk();
        self.stepping = true;
        let occupancy = self.batch.len() as f64 / f64::from(self.spec.slots);
        let decode_us = self.spec.decode_step_us * (1.0 + self.spec.batch_slope * occupancy);
        let prefilled = f64::from(CHUNK_TOKENS - budget);
        let prefill_us = prefilled * 1e6 / self.spec.prefill_tokens_per_s;
        Some(now_us + ((decode_us + prefill_us) * self.slow) as Micros)
    }

    /// Gives the step's prompt work to the highest tiers first; returns what is left of it.
    fn share_chunk(&mut self) -> u32 {
        let mut budget = CHUNK_TOKENS;
        self.chunks.clear();
        self.chunks.resize(self.batch.len(), 0);
        let mut order: Vec<usize> = (0..self.batch.len()).collect();
        order.sort_by_key(|index| (self.batch[*index].rank, self.batch[*index].admitted));
        for index in order {
            if budget == 0 {
                break;
            }
            let job = &mut self.batch[index];
            if !job.begun {
                // Looked up when its own turn comes, after the prompts ahead of it.
                job.begun = true;
                let cached = self.cache.leading(&job.prefix) as u32 * self.block_tokens;
                job.prefill_left = job.prompt_tokens.saturating_sub(cached).max(1);
            }
            let chunk = job.prefill_left.min(budget);
            budget -= chunk;
            self.chunks[index] = chunk;
        }
        budget
    }

    /// Ends the step that is under way.
    pub fn end_step(&mut self, computed: &mut Computed, out: &mut Vec<StepEvent>) {
        if !self.stepping {
            return;
        }
        self.stepping = false;
        let mut ended = Vec::new();
        for (index, chunk) in self.chunks.iter().enumerate() {
            let job = &mut self.batch[index];
            job.prefill_left -= chunk;
            job.computed += chunk;
            computed.total += u64::from(*chunk);
            if !job.begun || job.prefill_left > 0 {
                continue;
            }
            job.made += 1;
            out.push(match job.made {
                1 => StepEvent::FirstToken(job.request),
                _ => StepEvent::Token(job.request),
            });
            if job.made == 1 {
                let (stored, evicted) = self.cache.store(&job.prefix);
                computed.note_blocks(&stored, self.block_tokens);
                self.event_seq += 1;
                self.events.push_back(CacheEvent {
                    seq: self.event_seq,
                    stored,
                    evicted,
                });
            }
            if job.made >= job.output_tokens {
                out.push(StepEvent::Done(job.request, job.computed));
                ended.push(index);
            }
        }
        for index in ended.into_iter().rev() {
            self.batch.swap_remove(index);
        }
        while self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the cache events after a number.
    pub fn events_after(&self, seq: u64) -> impl Iterator<Item = &CacheEvent> {
        self.events.iter().filter(move |e| e.seq > seq)
    }

    fn admit(&mut self) {
        while self.batch.len() < self.spec.slots as usize {
            let Some(mut job) = self.queue.pop_front() else {
                return;
            };
            self.admissions += 1;
            job.admitted = self.admissions;
            self.batch.push(job);
        }
    }
}

/// The prompt work of all engines together.
#[derive(Clone, Debug, Default)]
pub struct Computed {
    /// Prompt tokens computed.
    pub total: u64,
    /// Of them, tokens of blocks that had been computed before, anywhere.
    pub again: u64,
    blocks: HashSet<u64>,
}

impl Computed {
    fn note_blocks(&mut self, blocks: &[u64], block_tokens: u32) {
        for block in blocks {
            if !self.blocks.insert(*block) {
                self.again += u64::from(block_tokens);
            }
        }
    }
}

/// A prefix cache that drops what was used least recently.
#[derive(Clone, Debug)]
struct Cache {
    capacity: usize,
    stamp: u64,
    blocks: HashMap<u64, u64>,
    by_stamp: BTreeMap<u64, u64>,
}

impl Cache {
    fn new(capacity: usize) -> Self {
        Self {
            capacity,
            stamp: 0,
            blocks: HashMap::new(),
            by_stamp: BTreeMap::new(),
        }
    }

    /// Returns how many leading blocks are held, and marks them as used.
    fn leading(&mut self, chain: &[u64]) -> usize {
        let held = chain
            .iter()
            .take_while(|b| self.blocks.contains_key(b))
            .count();
        for block in chain[..held].iter().rev() {
            self.touch(*block);
        }
        held
    }

    /// Takes a chain in; returns what is new and what was dropped.
    fn store(&mut self, chain: &[u64]) -> (Vec<u64>, Vec<u64>) {
        let mut stored = Vec::new();
        for block in chain.iter().rev() {
            if self.touch(*block) {
                stored.push(*block);
            }
        }
        let mut evicted = Vec::new();
        while self.blocks.len() > self.capacity {
            let Some((_, block)) = self.by_stamp.pop_first() else {
                break;
            };
            self.blocks.remove(&block);
            evicted.push(block);
        }
        stored.reverse();
        (stored, evicted)
    }

    /// Marks a block as used; returns whether it is new.
    fn touch(&mut self, block: u64) -> bool {
        self.stamp += 1;
        let before = self.blocks.insert(block, self.stamp);
        if let Some(before) = before {
            self.by_stamp.remove(&before);
        }
        self.by_stamp.insert(self.stamp, block);
        before.is_none()
    }
}
