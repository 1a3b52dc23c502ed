//! The scheduler's model of one endpoint.
//!
//! It relies first on the scheduler's own grants, then on learned speeds, then on the endpoint's load
//! reports, whose weight decreases with their age.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::core::{
    shedding::MAX_TIERS,
    types::{Micros, Name, Rank, RequestId},
};

/// Decode speed is learned separately for this many ranges of batch occupancy.
const OCCUPANCY_CLASSES: usize = 4;
/// Weight of a sample of 16 tokens in the moving average of the decode speed.
const DECODE_GAIN: f64 = 0.25;
/// Weight of a first token in the moving average of the prefill speed.
const PREFILL_GAIN: f64 = 0.15;
/// Bounds of the learned ratios of measured to declared time.
const RATIO_FLOOR: f64 = 0.25;
const RATIO_CEILING: f64 = 50.0;
/// Prior for how much a full batch slows down a decode step.
const BATCH_SLOWDOWN: f64 = 0.6;
/// Prior for how much concurrent prompt computation slows down a stream.
const PREFILL_SLOWDOWN: f64 = 2.0;
/// An endpoint whose ratio is above this counts as slow.
const SLOW_RATIO: f64 = 1.6;
/// A slow endpoint without observations for this long is probed with a single request.
const PROBE_AFTER_US: Micros = 2_000_000;
/// Prompt tokens that an engine computes in one step, next to the tokens of its streams.
const CHUNK_TOKENS: f64 = 256.0;
/// A load report older than this is ignored.
const REPORT_HORIZON_US: f64 = 3_000_000.0;

/// The configuration of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointSpec {
    /// Name in the configuration.
    pub name: Name,
    /// The hall that it is in.
    pub hall: Name,
    /// How many requests it runs at a time.
    pub slots: u32,
    /// Declared prefill speed, the prior of the learned one.
    pub prefill_tokens_per_s: f64,
    /// Declared duration of one decode step, the prior of the learned one.
    pub decode_step_us: f64,
    /// Size of its prefix cache, in tokens.
    pub cache_tokens: u32,
    /// Whether it gets no new requests.
    pub draining: bool,
}

/// The load that an endpoint reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the endpoint's batch.
    pub running: u32,
    /// Requests in the endpoint's own queue.
    pub waiting: u32,
    /// Age of the figures on arrival.
    pub age_us: Micros,
}

/// A granted request that has not ended.
#[derive(Clone, Copy, Debug)]
struct InFlightRequest {
    granted_us: Micros,
    rank: Rank,
    deadline_us: Micros,
    uncached_tokens: f64,
    predicted_first_us: Micros,
    queued_behind: bool,
    first_seen: bool,
    /// Expected length of the answer.
    output_tokens: u32,
    /// Output tokens received so far.
    seen_tokens: u32,
}

/// The part of a granted request that the endpoint model needs.
#[derive(Clone, Copy, Debug)]
pub struct GrantDetails {
    /// The request.
    pub id: RequestId,
    /// Its tier's priority.
    pub rank: Rank,
    /// Its deadline, in microseconds of the process's clock.
    pub deadline_us: Micros,
    /// Prompt tokens that are not in the endpoint's prefix cache.
    pub uncached_tokens: u32,
    /// A length that few answers exceed.
    pub output_tokens: u32,
}

/// The model of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointModel {
    /// The endpoint's configuration.
    pub spec: EndpointSpec,
    in_flight: HashMap<RequestId, InFlightRequest>,
    /// Requests that wait for their first token, by tier.
    awaiting_first: [u32; MAX_TIERS],
    /// Granted prompt tokens that are not computed yet, by tier; engines compute the highest tier first.
    pending_tokens: [f64; MAX_TIERS],
    queue_updated_us: Micros,
    prefill_ratio: f64,
    /// Measured over declared time between tokens, by occupancy of the batch.
    decode_ratio: [f64; OCCUPANCY_CLASSES],
    observed_us: Micros,
    report: Option<(LoadReport, Micros)>,
    quarantined_until_us: Micros,
}

impl EndpointModel {
    /// Creates a model from the configuration, without observations.
    pub fn new(spec: EndpointSpec) -> Self {
        Self {
            spec,
            in_flight: HashMap::new(),
            awaiting_first: [0; MAX_TIERS],
            pending_tokens: [0.0; MAX_TIERS],
            queue_updated_us: 0,
            prefill_ratio: 1.0,
            decode_ratio: [1.0; OCCUPANCY_CLASSES],
            observed_us: 0,
            report: None,
            quarantined_until_us: 0,
        }
    }

    /// Returns the number of granted requests that have not ended.
    pub fn running(&self) -> u32 {
        self.in_flight.len() as u32
    }

    /// Returns whether the endpoint can run one more request of `rank` now, with at most `backlog_us`
    /// of prompt computation queued ahead of it.
    pub fn has_capacity(&self, now_us: Micros, rank: Rank, backlog_us: f64) -> bool {
        if self.spec.draining || now_us < self.quarantined_until_us {
            return false;
        }
        let occupied = self.running() + self.unaccounted_requests(now_us);
        if occupied >= self.spec.slots {
            return false;
        }
        if self.needs_probe(now_us) {
            return self.in_flight.is_empty();
        }
        self.queue_tokens(now_us, rank) / CHUNK_TOKENS * self.chunk_us() <= backlog_us
    }

    /// Returns the time until a slot is expected to be free, in microseconds.
    pub fn slot_wait_us(&self, typical_service_us: f64) -> f64 {
        if self.running() < self.spec.slots {
            return 0.0;
        }
        typical_service_us / f64::from(self.spec.slots.max(1))
    }

    /// Returns the expected time to compute `tokens` of prompt, in microseconds.
    pub fn prefill_us(&self, tokens: u32) -> f64 {
        f64::from(tokens) / CHUNK_TOKENS * self.chunk_us()
    }

    /// Returns the expected time between two tokens of a stream with `batch` requests running, in
    /// microseconds. It is learned from streams and so includes concurrent prompt computation.
    pub fn token_us(&self, batch: u32) -> f64 {
        self.prior_token_us(batch) * self.decode_ratio[self.occupancy_class(batch)]
    }

    /// Returns the expected time from now to the last token of a new request, in microseconds.
    pub fn finish_us(
        &self,
        now_us: Micros,
        rank: Rank,
        uncached_tokens: u32,
        output_tokens: u32,
    ) -> f64 {
        let ahead = self.queue_tokens(now_us, rank) + f64::from(uncached_tokens);
        let decode = self.token_us(self.running() + 1) * f64::from(output_tokens);
        ahead / CHUNK_TOKENS * self.chunk_us() + decode
    }

    /// Returns how many more prompt tokens the endpoint can compute without making a request of `rank`
    /// or higher miss its deadline. Requests that are expected to be late in any case are ignored.
    pub fn spare_tokens(&self, now_us: Micros, rank: Rank) -> f64 {
        let pending = self.queue_tokens(now_us, Rank::MAX);
        let token_us = self.token_us(self.running() + 1);
        let chunk_us = self.chunk_us();
        let in_flight = self.in_flight.values().filter(|f| f.rank <= rank);
        let spare = in_flight.filter_map(|f| {
            let left = f64::from(f.left_tokens());
            let waiting = if f.first_seen {
                0.0
            } else {
                pending / CHUNK_TOKENS
            };
            let finish_us = left * token_us + waiting * chunk_us;
            let spare_us = f.deadline_us as f64 - now_us as f64 - finish_us;
            let max_us = left * chunk_us;
            (0.0..max_us)
                .contains(&spare_us)
                .then(|| spare_us / chunk_us * CHUNK_TOKENS)
        });
        spare.fold(f64::INFINITY, f64::min)
    }

    /// Returns the expected time to the last token on an idle endpoint, in microseconds.
    pub fn idle_finish_us(&self, uncached_tokens: u32, output_tokens: u32) -> f64 {
        self.prefill_us(uncached_tokens) + self.token_us(1) * f64::from(output_tokens)
    }

    /// Returns the ratio of learned to declared time; 1 is as declared, more is slower.
    pub fn slowness(&self) -> f64 {
        let decode: f64 = self.decode_ratio.iter().sum::<f64>() / OCCUPANCY_CLASSES as f64;
        decode.max(self.prefill_ratio)
    }

    /// Records a grant.
    pub fn grant(&mut self, now_us: Micros, granted: GrantDetails) {
        self.advance_queue(now_us);
        let rank = usize::from(granted.rank);
        let queue = self.queue_tokens(now_us, granted.rank);
        let tokens = f64::from(granted.uncached_tokens);
        let first_us = (queue + tokens) / CHUNK_TOKENS * self.chunk_us();
        self.pending_tokens[rank] += tokens;
        let request = InFlightRequest {
            predicted_first_us: now_us + first_us as Micros,
            queued_behind: queue > 0.0,
            uncached_tokens: tokens,
            ..self.new_in_flight(now_us, granted)
        };
        if self.in_flight.insert(granted.id, request).is_none() {
            self.awaiting_first[rank] += 1;
        }
    }

    /// Records a request that an entry reports as already running, after a change of leader.
    pub fn adopt(&mut self, now_us: Micros, granted: GrantDetails) {
        let request = InFlightRequest {
            queued_behind: true,
            first_seen: true,
            ..self.new_in_flight(now_us, granted)
        };
        self.in_flight.insert(granted.id, request);
    }

    fn new_in_flight(&self, now_us: Micros, granted: GrantDetails) -> InFlightRequest {
        InFlightRequest {
            granted_us: now_us,
            rank: granted.rank,
            deadline_us: granted.deadline_us,
            uncached_tokens: 0.0,
            predicted_first_us: now_us,
            queued_behind: false,
            first_seen: false,
            output_tokens: granted.output_tokens,
            seen_tokens: 0,
        }
    }

    /// Updates the prefill speed from the arrival of a request's first token.
    pub fn first_token(&mut self, now_us: Micros, id: RequestId) {
        self.advance_queue(now_us);
        let Some(request) = self.in_flight.get_mut(&id) else {
            return;
        };
        if request.first_seen {
            return;
        }
        request.first_seen = true;
        request.seen_tokens = 1;
        let request = *request;
        self.awaiting_first[usize::from(request.rank)] -= 1;
        self.observed_us = now_us;
        let elapsed_us = now_us.saturating_sub(request.granted_us) as f64;
        let planned_us = request
            .predicted_first_us
            .saturating_sub(request.granted_us)
            .max(1) as f64;
        if request.uncached_tokens > CHUNK_TOKENS {
            let ratio = self.prefill_ratio * (elapsed_us / planned_us).clamp(0.2, 5.0);
            let share = if request.queued_behind { 0.3 } else { 1.0 };
            self.prefill_ratio = smooth(self.prefill_ratio, ratio, PREFILL_GAIN * share);
        }
        self.correct_queue(now_us, &request);
    }

    /// Updates the decode speed from `tokens` output tokens that arrived within `span_us`.
    pub fn progress(&mut self, now_us: Micros, id: RequestId, tokens: u32, span_us: Micros) {
        self.advance_queue(now_us);
        let Some(request) = self.in_flight.get_mut(&id).filter(|_| tokens > 0) else {
            return;
        };
        request.seen_tokens += tokens;
        self.observed_us = now_us;
        let batch = self.running();
        let occupancy_class = self.occupancy_class(batch);
        let ratio = span_us as f64 / f64::from(tokens) / self.prior_token_us(batch);
        let gain = (DECODE_GAIN * f64::from(tokens) / 16.0).min(0.5);
        for (index, learned) in self.decode_ratio.iter_mut().enumerate() {
            // A slow class suggests that the whole engine is slow, so the other classes follow with a quarter
            // of the gain.
            let gain = if index == occupancy_class {
                gain
            } else {
                gain / 4.0
            };
            *learned = smooth(*learned, ratio, gain);
        }
    }

    /// Removes a request; returns whether it was in flight.
    pub fn end(&mut self, now_us: Micros, id: RequestId) -> bool {
        let Some(request) = self.in_flight.remove(&id) else {
            return false;
        };
        if !request.first_seen {
            self.awaiting_first[usize::from(request.rank)] -= 1;
            self.correct_queue(now_us, &request);
        }
        true
    }

    /// Stores the endpoint's latest load report.
    pub fn record_load_report(&mut self, now_us: Micros, report: LoadReport) {
        self.report = Some((report, now_us));
    }

    /// Grants the endpoint no requests until `until_us`, after a failed connect or a broken stream.
    pub fn quarantine(&mut self, until_us: Micros) {
        self.quarantined_until_us = self.quarantined_until_us.max(until_us);
    }

    /// Lowers the learned prefill speed when first tokens are overdue, without waiting for a report.
    /// Moves the learned speeds back to the declared ones after a time without observations.
    pub fn tick(&mut self, now_us: Micros, since_us: Micros) {
        self.advance_queue(now_us);
        let overdue = self
            .in_flight
            .values()
            .filter(|f| !f.first_seen && !f.queued_behind)
            .filter_map(|f| overdue_factor(f, now_us))
            .fold(1.0, f64::max);
        if overdue > 2.0 {
            let floor = (overdue / 2.0).min(RATIO_CEILING);
            self.prefill_ratio = self.prefill_ratio.max(floor);
            self.observed_us = now_us;
        }
        if now_us.saturating_sub(self.observed_us) > PROBE_AFTER_US {
            let fade = (-(since_us as f64) / 4e6).exp();
            self.prefill_ratio = 1.0 + (self.prefill_ratio - 1.0) * fade;
            for ratio in &mut self.decode_ratio {
                *ratio = 1.0 + (*ratio - 1.0) * fade;
            }
        }
    }

    fn needs_probe(&self, now_us: Micros) -> bool {
        let stale = now_us.saturating_sub(self.observed_us) > PROBE_AFTER_US;
        stale && self.slowness() > SLOW_RATIO
    }

    /// Estimates from the load report, weighted by its age, how many requests run at the endpoint that
    /// this scheduler didn't grant.
    fn unaccounted_requests(&self, now_us: Micros) -> u32 {
        let Some((report, at_us)) = self.report else {
            return 0;
        };
        let age_us = (report.age_us + now_us.saturating_sub(at_us)) as f64;
        let freshness_weight = (1.0 - age_us / REPORT_HORIZON_US).max(0.0);
        let surplus = (report.running + report.waiting).saturating_sub(self.running());
        // Reports lag behind the requests that have ended here, so only an excess of more than half
        // the slots counts.
        let excess = f64::from(surplus) - f64::from(self.spec.slots) * 0.5;
        (excess.max(0.0) * freshness_weight) as u32
    }

    fn occupancy_class(&self, batch: u32) -> usize {
        let slots = self.spec.slots.max(1) as usize;
        ((batch.max(1) as usize - 1) * OCCUPANCY_CLASSES / slots).min(OCCUPANCY_CLASSES - 1)
    }

    fn prior_token_us(&self, batch: u32) -> f64 {
        let occupancy = f64::from(batch.max(1)) / f64::from(self.spec.slots.max(1));
        self.spec.decode_step_us * PREFILL_SLOWDOWN * (1.0 + BATCH_SLOWDOWN * occupancy)
    }

    /// Returns the time that the engine takes to compute a chunk of a prompt, in microseconds.
    fn chunk_us(&self) -> f64 {
        CHUNK_TOKENS * 1e6 / self.spec.prefill_tokens_per_s * self.prefill_ratio
    }

    /// Returns how many prompt tokens the engine computes per microsecond while any are queued.
    fn prefill_tokens_per_us(&self) -> f64 {
        CHUNK_TOKENS / self.chunk_us()
    }

    /// Returns how many queued prompt tokens the engine computes before those of a new request of `rank`.
    fn queue_tokens(&self, now_us: Micros, rank: Rank) -> f64 {
        let tiers = (usize::from(rank) + 1).min(MAX_TIERS);
        let pending: f64 = self.pending_tokens[..tiers].iter().sum();
        if pending <= 0.0 {
            return 0.0;
        }
        let since_us = now_us.saturating_sub(self.queue_updated_us) as f64;
        (pending - since_us * self.prefill_tokens_per_us()).max(0.0)
    }

    /// Subtracts the prompt tokens computed since the last call from the queue, the highest tier's first.
    fn advance_queue(&mut self, now_us: Micros) {
        let since_us = now_us.saturating_sub(self.queue_updated_us) as f64;
        let mut done = since_us * self.prefill_tokens_per_us();
        self.queue_updated_us = now_us;
        for pending in &mut self.pending_tokens {
            let computed = pending.min(done);
            *pending -= computed;
            done -= computed;
        }
    }

    /// Removes a request's remaining prompt tokens from the queue, on its first token or its end.
    fn correct_queue(&mut self, now_us: Micros, request: &InFlightRequest) {
        self.advance_queue(now_us);
        let rank = usize::from(request.rank);
        if self.awaiting_first[rank] == 0 {
            self.pending_tokens[rank] = 0.0;
        } else if request.predicted_first_us > now_us {
            let early_us = (request.predicted_first_us - now_us) as f64;
            let early = (early_us * self.prefill_tokens_per_us()).min(request.uncached_tokens);
            let pending = &mut self.pending_tokens[rank];
            *pending = (*pending - early).max(0.0);
        }
    }
}

impl InFlightRequest {
    /// Returns the output tokens still expected. A request that has exceeded its expected length is
    /// assumed to go on for a quarter of what it has produced.
    fn left_tokens(&self) -> u32 {
        let passed = self.seen_tokens / 4;
        self.output_tokens
            .saturating_sub(self.seen_tokens)
            .max(passed)
    }
}

/// Returns by what factor a first token exceeds its predicted time; none if it isn't overdue.
fn overdue_factor(request: &InFlightRequest, now_us: Micros) -> Option<f64> {
    let planned_us = request
        .predicted_first_us
        .saturating_sub(request.granted_us);
    let waited = now_us.saturating_sub(request.granted_us);
    let slack = 20_000;
    (waited > planned_us + slack).then(|| waited as f64 / (planned_us + slack) as f64)
}

/// Moves `old` towards `new` by the share `gain`, within the bounds of the ratios.
fn smooth(old: f64, new: f64, gain: f64) -> f64 {
    (old + (new - old) * gain).clamp(RATIO_FLOOR, RATIO_CEILING)
}
