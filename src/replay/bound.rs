//! An upper bound on the goodput of any policy; docs/POLICY.md has its derivation.
//!
//! The engines of a pool are modelled as one engine that can be divided without limit. Each request needs a
//! minimum amount of work between its arrival and its deadline. The amounts of work that can be scheduled within
//! these windows form a polymatroid, so a greedy pass over the requests in order of increasing work, each placed
//! as far as it fits, maximises the sum of the answered fractions of requests. No policy answers more.

use std::collections::HashSet;

use crate::{
    prelude::{Micros, Name},
    replay::{
        outcome::{Bound, TierBound},
        trace::{Header, Line, Trace, TraceEndpoint, TraceFault},
    },
};

/// Number of slots into which the time up to the last deadline is divided.
const TIME_SLOTS: usize = 400;

/// The minimum work of a request and its window. Work is in microseconds of the pool's fastest prefill speed.
struct Demand {
    work: f64,
    first_slot: usize,
    last_slot: usize,
}

/// A pool modelled as one engine that can be divided without limit.
struct FluidPool {
    /// Length of a slot.
    slot_us: Micros,
    /// Work that fits in each slot.
    capacity: Vec<f64>,
    /// Work per prompt token.
    prefill_work: f64,
    /// Least work per output token, with a full batch.
    token_work: f64,
    /// Highest prefill speed of an engine, in tokens per second.
    fastest_prefill: f64,
    /// Shortest time per output token of a request that runs alone.
    fastest_token_us: f64,
}

/// Computes the upper bound for a trace.
pub fn bound(trace: &Trace) -> Bound {
    let header = &trace.header;
    let pools: HashSet<&Name> = header.services.values().collect();
    let pool_models: Vec<(&Name, FluidPool)> = pools
        .into_iter()
        .map(|pool| (pool, FluidPool::new(trace, pool)))
        .collect();
    let max_answered = |tier: Option<&Name>| {
        let sums = pool_models.iter().map(|(pool, pool_model)| {
            let lines = trace.requests.iter().filter(|l| {
                header.services.get(&l.service) == Some(pool) && tier.is_none_or(|t| l.tier == *t)
            });
            pool_model.max_in_time(header.block_tokens, lines)
        });
        // Adds 1e-6 so that a sum just below a whole number because of rounding errors is not rounded down.
        (sums.sum::<f64>() + 1e-6).floor() as u64
    };
    let mut tiers = header.tiers.clone();
    tiers.sort_by_key(|t| t.rank);
    let tiers = tiers.iter().map(|tier| TierBound {
        tier: tier.name.clone(),
        in_time: max_answered(Some(&tier.name)),
    });
    Bound {
        tiers: tiers.collect(),
        in_time_sum: max_answered(None),
        prefill_tokens_min: min_prefill_tokens(header, trace.requests.iter()),
    }
}

/// Returns the minimum prompt work for a set of requests, in tokens: each distinct prefix block once, and the
/// uncacheable part of each request.
pub fn min_prefill_tokens<'l>(header: &Header, lines: impl Iterator<Item = &'l Line>) -> u64 {
    let mut blocks: HashSet<u64> = HashSet::new();
    let mut tokens = 0;
    for line in lines {
        tokens += u64::from(uncacheable_tokens(line, header.block_tokens));
        blocks.extend(&line.prefix);
    }
    tokens + blocks.len() as u64 * u64::from(header.block_tokens)
}

/// Returns the length of the part of a prompt that no prefix cache can hold, in tokens; at least 1.
fn uncacheable_tokens(line: &Line, block_tokens: u32) -> u32 {
    let shared = line.prefix.len() as u32 * block_tokens;
    line.prompt_tokens.saturating_sub(shared).max(1)
}

impl FluidPool {
    fn new(trace: &Trace, pool: &Name) -> Self {
        let endpoints: Vec<&TraceEndpoint> = trace
            .header
            .endpoints
            .iter()
            .filter(|e| e.pool == *pool)
            .collect();
        let reference = endpoints
            .iter()
            .map(|e| e.prefill_tokens_per_s)
            .fold(1.0, f64::max);
        let ends = trace
            .requests
            .iter()
            .map(|l| (l.at_ms + l.deadline_ms) * 1_000);
        let slot_us = (ends.max().unwrap_or(0) / TIME_SLOTS as u64 + 1).max(1_000);
        let full_us =
            |e: &TraceEndpoint| e.decode_step_us * (1.0 + e.batch_slope) / f64::from(e.slots);
        let alone_us =
            |e: &TraceEndpoint| e.decode_step_us * (1.0 + e.batch_slope / f64::from(e.slots));
        let speed = |e: &TraceEndpoint| e.prefill_tokens_per_s / reference;
        let minimum = |values: &mut dyn Iterator<Item = f64>| values.fold(f64::INFINITY, f64::min);
        let capacity = (0..=TIME_SLOTS)
            .map(|slot| {
                let at_us = slot as u64 * slot_us;
                let rates = endpoints.iter().map(|e| {
                    speed(e) * max_speed_share(&trace.header, &e.name, at_us, at_us + slot_us)
                });
                rates.sum::<f64>() * slot_us as f64
            })
            .collect();
        Self {
            slot_us,
            capacity,
            prefill_work: 1e6 / reference,
            token_work: minimum(&mut endpoints.iter().map(|e| speed(e) * full_us(e))),
            fastest_prefill: reference,
            fastest_token_us: minimum(&mut endpoints.iter().map(|e| alone_us(e))),
        }
    }

    /// Returns the demand of a request, or `None` if it would miss its deadline even alone on the fastest engine.
    fn demand(&self, line: &Line, block_tokens: u32) -> Option<Demand> {
        let uncacheable = f64::from(uncacheable_tokens(line, block_tokens));
        let output = f64::from(line.output_tokens);
        let alone_us = uncacheable * 1e6 / self.fastest_prefill + output * self.fastest_token_us;
        if alone_us > line.deadline_ms as f64 * 1e3 {
            return None;
        }
        let slot = |at_us: u64| ((at_us / self.slot_us) as usize).min(TIME_SLOTS);
        Some(Demand {
            work: uncacheable * self.prefill_work + output * self.token_work,
            first_slot: slot(line.at_ms * 1_000),
            last_slot: slot((line.at_ms + line.deadline_ms) * 1_000),
        })
    }

    /// Returns the maximum sum of the answered fractions of the requests.
    fn max_in_time<'l>(&self, block_tokens: u32, lines: impl Iterator<Item = &'l Line>) -> f64 {
        let mut demands: Vec<Demand> = lines.filter_map(|l| self.demand(l, block_tokens)).collect();
        demands.sort_by(|a, b| a.work.total_cmp(&b.work));
        let mut slack = Slack::new(&self.capacity);
        let shares = demands.iter().map(|demand| {
            let placed = slack.place(demand.first_slot, demand.last_slot, demand.work);
            placed / demand.work.max(f64::MIN_POSITIVE)
        });
        shares.sum()
    }
}

/// Returns the largest fraction of its full speed that an engine reaches at some point of a time span.
fn max_speed_share(header: &Header, endpoint: &Name, from_us: u64, to_us: u64) -> f64 {
    // A fault counts only where it covers the whole span; otherwise the result would no longer be an upper bound.
    let covers = |at_ms: u64, until_ms: u64| at_ms * 1_000 <= from_us && to_us <= until_ms * 1_000;
    let mut share = 1.0;
    for fault in &header.faults {
        match fault {
            TraceFault::Slow {
                endpoint: name,
                at_ms,
                until_ms,
                factor,
            } if name == endpoint && covers(*at_ms, *until_ms) => share /= factor.max(1.0),
            TraceFault::Death {
                endpoint: name,
                at_ms,
                until_ms,
            } if name == endpoint && covers(*at_ms, *until_ms) => share = 0.0,
            _ => {}
        }
    }
    share
}

/// For each span of slots, the work that can still be placed for requests whose window lies within it.
struct Slack {
    width: usize,
    /// Remaining work by first slot (row) and last slot (column).
    left: Vec<f64>,
}

impl Slack {
    fn new(capacity: &[f64]) -> Self {
        let width = capacity.len();
        let mut left = vec![0.0; width * width];
        for from in 0..width {
            let mut sum = 0.0;
            for to in from..width {
                sum += capacity[to];
                left[from * width + to] = sum;
            }
        }
        Self { width, left }
    }

    /// Places up to `work` within the window of slots; returns how much was placed.
    fn place(&mut self, first: usize, last: usize, work: f64) -> f64 {
        let mut placed = work;
        for from in 0..=first {
            let row = &self.left[from * self.width + last..(from + 1) * self.width];
            placed = row.iter().copied().fold(placed, f64::min);
        }
        let placed = placed.max(0.0);
        for from in 0..=first {
            let row = &mut self.left[from * self.width + last..(from + 1) * self.width];
            row.iter_mut().for_each(|left| *left -= placed);
        }
        placed
    }
}
