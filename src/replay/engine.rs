//! Simulation of an inference engine in virtual time: continuous batching in steps, chunked prefill and a
//! bounded prefix cache.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use crate::{
    core::prefix::CacheEvent,
    prelude::{Micros, Rank},
    replay::trace::TraceEndpoint,
};

/// Prompt tokens that one step can process, over its whole batch.
const STEP_PREFILL_TOKENS: u32 = 256;
/// Cache events kept for readers; the oldest are dropped.
const MAX_CACHE_EVENTS: usize = 4_096;

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the request in the trace.
    pub request: usize,
    /// Rank of its tier; 0 is the highest.
    pub rank: Rank,
    /// Hash chain over the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Answer length, in tokens.
    pub output_tokens: u32,
    /// Whether the cached part of the prompt has been looked up.
    prefill_started: bool,
    /// Prompt tokens still to compute.
    prefill_left: u32,
    /// Prompt tokens computed.
    computed: u32,
    /// Output tokens generated.
    generated: u32,
    /// Position in the order of admission to the batch.
    admission_seq: u64,
}

impl Job {
    /// Creates a job on which no work has been done.
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
            prefill_started: false,
            prefill_left: 0,
            computed: 0,
            generated: 0,
            admission_seq: 0,
        }
    }
}

/// A result of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepEvent {
    /// A request's first token.
    FirstToken(usize),
    /// A further token of a request.
    Token(usize),
    /// A request's last token, with the number of prompt tokens that were computed for it.
    Done(usize, u32),
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Capacity and speed.
    pub spec: TraceEndpoint,
    /// Factor by which steps take longer; 1 is full speed.
    pub slowdown: f64,
    /// Whether the engine has crashed: it then accepts and answers nothing.
    pub down: bool,
    block_tokens: u32,
    queue: VecDeque<Job>,
    batch: Vec<Job>,
    prefill_chunks: Vec<u32>,
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
            slowdown: 1.0,
            down: false,
            block_tokens,
            queue: VecDeque::new(),
            batch: Vec::new(),
            prefill_chunks: Vec::new(),
            stepping: false,
            cache,
            events: VecDeque::new(),
            event_seq: 0,
            admissions: 0,
        }
    }

    /// Returns the numbers of running and of waiting requests.
    pub fn load(&self) -> (u32, u32) {
        (self.batch.len() as u32, self.queue.len() as u32)
    }

    /// Queues a request, ordered by tier and then by arrival.
    pub fn submit(&mut self, job: Job) {
        let at = self.queue.partition_point(|j| j.rank <= job.rank);
        self.queue.insert(at, job);
    }

    /// Crashes the engine; returns the requests it held, with the prompt tokens computed for each.
    pub fn crash(&mut self) -> Vec<(usize, u32)> {
        self.down = true;
        self.stepping = false;
        self.prefill_chunks.clear();
        self.cache = Cache::new(self.cache.capacity);
        let batch = std::mem::take(&mut self.batch);
        let queue = std::mem::take(&mut self.queue);
        let held = batch.into_iter().chain(queue);
        held.map(|j| (j.request, j.computed)).collect()
    }

    /// Starts a step if there is work and no step is in progress; returns when the step ends.
    pub fn begin_step(&mut self, now_us: Micros) -> Option<Micros> {
        if self.stepping || self.down {
            return None;
        }
        self.admit();
        if self.batch.is_empty() {
            return None;
        }
        let budget = self.assign_prefill();
        self.stepping = true;
        let occupancy = self.batch.len() as f64 / f64::from(self.spec.slots);
        let decode_us = self.spec.decode_step_us * (1.0 + self.spec.batch_slope * occupancy);
        let prefilled = f64::from(STEP_PREFILL_TOKENS - budget);
        let prefill_us = prefilled * 1e6 / self.spec.prefill_tokens_per_s;
        Some(now_us + ((decode_us + prefill_us) * self.slowdown) as Micros)
    }

    /// Divides the step's prefill budget, the highest tiers first; returns the unused budget in tokens.
    fn assign_prefill(&mut self) -> u32 {
        let mut budget = STEP_PREFILL_TOKENS;
        self.prefill_chunks.clear();
        self.prefill_chunks.resize(self.batch.len(), 0);
        let mut order: Vec<usize> = (0..self.batch.len()).collect();
        order.sort_by_key(|index| (self.batch[*index].rank, self.batch[*index].admission_seq));
        for index in order {
            if budget == 0 {
                break;
            }
            let job = &mut self.batch[index];
            if !job.prefill_started {
                // The cache is looked up only when prefill starts, so that it holds the prompts ahead of this one.
                job.prefill_started = true;
                let cached = self.cache.lookup_prefix(&job.prefix) as u32 * self.block_tokens;
                job.prefill_left = job.prompt_tokens.saturating_sub(cached).max(1);
            }
            let chunk = job.prefill_left.min(budget);
            budget -= chunk;
            self.prefill_chunks[index] = chunk;
        }
        budget
    }

    /// Completes the step in progress.
    pub fn end_step(&mut self, computed: &mut Computed, out: &mut Vec<StepEvent>) {
        if !self.stepping {
            return;
        }
        self.stepping = false;
        let mut finished = Vec::new();
        for (index, chunk) in self.prefill_chunks.iter().enumerate() {
            let job = &mut self.batch[index];
            job.prefill_left -= chunk;
            job.computed += chunk;
            computed.total += u64::from(*chunk);
            if !job.prefill_started || job.prefill_left > 0 {
                continue;
            }
            job.generated += 1;
            out.push(match job.generated {
                1 => StepEvent::FirstToken(job.request),
                _ => StepEvent::Token(job.request),
            });
            if job.generated == 1 {
                let (stored, evicted) = self.cache.store(&job.prefix);
                computed.record_blocks(&stored, self.block_tokens);
                self.event_seq += 1;
                self.events.push_back(CacheEvent {
                    seq: self.event_seq,
                    stored,
                    evicted,
                });
            }
            if job.generated >= job.output_tokens {
                out.push(StepEvent::Done(job.request, job.computed));
                finished.push(index);
            }
        }
        for index in finished.into_iter().rev() {
            self.batch.swap_remove(index);
        }
        while self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the kept cache events with a sequence number above `seq`.
    pub fn events_after(&self, seq: u64) -> impl Iterator<Item = &CacheEvent> {
        self.events.iter().filter(move |e| e.seq > seq)
    }

    fn admit(&mut self) {
        while self.batch.len() < self.spec.slots as usize {
            let Some(mut job) = self.queue.pop_front() else {
                return;
            };
            self.admissions += 1;
            job.admission_seq = self.admissions;
            self.batch.push(job);
        }
    }
}

/// Prompt work of all engines together.
#[derive(Clone, Debug, Default)]
pub struct Computed {
    /// Prompt tokens computed.
    pub total: u64,
    /// Of these, tokens of blocks that had already been computed, on any engine.
    pub recomputed: u64,
    blocks: HashSet<u64>,
}

impl Computed {
    fn record_blocks(&mut self, blocks: &[u64], block_tokens: u32) {
        for block in blocks {
            if !self.blocks.insert(*block) {
                self.recomputed += u64::from(block_tokens);
            }
        }
    }
}

/// A prefix cache with least-recently-used eviction.
#[derive(Clone, Debug)]
struct Cache {
    capacity: usize,
    last_stamp: u64,
    /// Stamp of the last use of each block.
    blocks: HashMap<u64, u64>,
    block_by_stamp: BTreeMap<u64, u64>,
}

impl Cache {
    fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_stamp: 0,
            blocks: HashMap::new(),
            block_by_stamp: BTreeMap::new(),
        }
    }

    /// Returns how many leading blocks of the chain are cached, and marks them as used.
    fn lookup_prefix(&mut self, chain: &[u64]) -> usize {
        let held = chain
            .iter()
            .take_while(|b| self.blocks.contains_key(b))
            .count();
        for block in chain[..held].iter().rev() {
            self.touch(*block);
        }
        held
    }

    /// Stores a chain; returns the blocks that were added and the blocks that were evicted.
    fn store(&mut self, chain: &[u64]) -> (Vec<u64>, Vec<u64>) {
        let mut stored = Vec::new();
        for block in chain.iter().rev() {
            if self.touch(*block) {
                stored.push(*block);
            }
        }
        let mut evicted = Vec::new();
        while self.blocks.len() > self.capacity {
            let Some((_, block)) = self.block_by_stamp.pop_first() else {
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
        self.last_stamp += 1;
        let previous = self.blocks.insert(block, self.last_stamp);
        if let Some(previous) = previous {
            self.block_by_stamp.remove(&previous);
        }
        self.block_by_stamp.insert(self.last_stamp, block);
        previous.is_none()
    }
}
