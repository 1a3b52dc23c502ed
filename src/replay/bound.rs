//! An upper bound on goodput that no policy can pass; docs/POLICY.md has its derivation.
//!
//! All engines of a pool are taken as one that can be divided at will. Each request needs at least
//! some work within its own window of time. Work that fits its windows is a polymatroid, so taking
//! the requests from the least work on, each as far as it fits, gives the largest sum of answered
//! shares, and no policy answers more.

use std::collections::HashSet;

use crate::{
    prelude::{Micros, Name},
    replay::{
        outcome::{Bound, TierBound},
        trace::{Header, Line, Trace, TraceEndpoint, TraceFault},
    },
};

const TIME_SLOTS: usize = 400;

/// One request, reduced to what the bound needs.
struct Need {
    work: f64,
    first_slot: usize,
    last_slot: usize,
}

/// One pool as a single divisible engine.
struct Fluid {
    slot_us: Micros,
    /// Work that fits in each slot.
    capacity: Vec<f64>,
    prefill_work: f64,
    token_work: f64,
    fastest_prefill: f64,
    fastest_token_us: f64,
}

/// Works out the bound of a trace.
pub fn bound(trace: &Trace) -> Bound {
    let header = &trace.header;
    let pools: HashSet<&Name> = header.services.values().collect();
    let fluids: Vec<(&Name, Fluid)> = pools
        .into_iter()
        .map(|pool| (pool, Fluid::new(trace, pool)))
        .collect();
    let answered = |tier: Option<&Name>| {
        let sums = fluids.iter().map(|(pool, fluid)| {
            let lines = trace.requests.iter().filter(|l| {
                header.services.get(&l.service) == Some(pool) && tier.is_none_or(|t| l.tier == *t)
            });
            fluid.most_in_time(header.block_tokens, lines)
        });
        // A hair over a whole number is rounding.
        (sums.sum::<f64>() + 1e-6).floor() as u64
    };
    let mut tiers = header.tiers.clone();
    tiers.sort_by_key(|t| t.rank);
    let tiers = tiers.iter().map(|tier| TierBound {
        tier: tier.name.clone(),
        in_time: answered(Some(&tier.name)),
    });
    Bound {
        tiers: tiers.collect(),
        in_time_sum: answered(None),
        prefill_tokens_min: least_prefill(header, trace.requests.iter()),
    }
}

/// Returns the least prompt work for a set of requests: each shared block once, each own part once.
pub fn least_prefill<'l>(header: &Header, lines: impl Iterator<Item = &'l Line>) -> u64 {
    let mut blocks: HashSet<u64> = HashSet::new();
    let mut tokens = 0;
    for line in lines {
        tokens += u64::from(own_tokens(line, header.block_tokens));
        blocks.extend(&line.prefix);
    }
    tokens + blocks.len() as u64 * u64::from(header.block_tokens)
}

/// Returns the part of a prompt that no cache can hold.
fn own_tokens(line: &Line, block_tokens: u32) -> u32 {
    let shared = line.prefix.len() as u32 * block_tokens;
    line.prompt_tokens.saturating_sub(shared).max(1)
}

impl Fluid {
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
        let least = |values: &mut dyn Iterator<Item = f64>| values.fold(f64::INFINITY, f64::min);
        let capacity = (0..=TIME_SLOTS)
            .map(|slot| {
                let at_us = slot as u64 * slot_us;
                let rates = endpoints
                    .iter()
                    .map(|e| speed(e) * best_share(&trace.header, &e.name, at_us, at_us + slot_us));
                rates.sum::<f64>() * slot_us as f64
            })
            .collect();
        Self {
            slot_us,
            capacity,
            prefill_work: 1e6 / reference,
            token_work: least(&mut endpoints.iter().map(|e| speed(e) * full_us(e))),
            fastest_prefill: reference,
            fastest_token_us: least(&mut endpoints.iter().map(|e| alone_us(e))),
        }
    }

    fn need(&self, line: &Line, block_tokens: u32) -> Option<Need> {
        let own = f64::from(own_tokens(line, block_tokens));
        let output = f64::from(line.output_tokens);
        let alone_us = own * 1e6 / self.fastest_prefill + output * self.fastest_token_us;
        if alone_us > line.deadline_ms as f64 * 1e3 {
            return None;
        }
        let slot = |at_us: u64| ((at_us / self.slot_us) as usize).min(TIME_SLOTS);
        Some(Need {
            work: own * self.prefill_work + output * self.token_work,
            first_slot: slot(line.at_ms * 1_000),
            last_slot: slot((line.at_ms + line.deadline_ms) * 1_000),
        })
    }

    /// Returns the largest sum of answered shares.
    fn most_in_time<'l>(&self, block_tokens: u32, lines: impl Iterator<Item = &'l Line>) -> f64 {
        let mut needs: Vec<Need> = lines.filter_map(|l| self.need(l, block_tokens)).collect();
        needs.sort_by(|a, b| a.work.total_cmp(&b.work));
        let mut slack = Slack::new(&self.capacity);
        let shares = needs.iter().map(|need| {
            let fits = slack.fit(need.first_slot, need.last_slot, need.work);
            fits / need.work.max(f64::MIN_POSITIVE)
        });
        shares.sum()
    }
}

/// Returns the largest share of its speed that an engine has at some time of a span.
fn best_share(header: &Header, endpoint: &Name, from_us: u64, to_us: u64) -> f64 {
    // A fault counts only where it covers the whole span, which keeps the bound one.
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

/// For each span of slots, the work that still fits among requests whose window lies within it.
struct Slack {
    width: usize,
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

    /// Places up to `work` within the window; returns how much fits.
    fn fit(&mut self, first: usize, last: usize, work: f64) -> f64 {
        let mut fits = work;
        for from in 0..=first {
            let row = &self.left[from * self.width + last..(from + 1) * self.width];
            fits = row.iter().copied().fold(fits, f64::min);
        }
        let fits = fits.max(0.0);
        for from in 0..=first {
            let row = &mut self.left[from * self.width + last..(from + 1) * self.width];
            row.iter_mut().for_each(|left| *left -= fits);
        }
        fits
    }
}
