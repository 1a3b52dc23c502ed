//! Cost model: the expected loss when a request is sent to an endpoint, as a share of the value of
//! its answer.

use serde::{Deserialize, Serialize};

use crate::{
    balance::{
        load::LoadEstimate, prefixes::ChainKey, regions::AllowedRegions, speed::Speed,
        versions::VersionRule,
    },
    prelude::{Micros, Name, Rank},
    shares::admission::Standing,
};

/// Weight of the time to the first event, in addition to the risk of lateness: keeps queues short.
const TIME_WEIGHT: f64 = 0.15;
/// Share of the target at which half of the answers are late: estimates err by a third.
const LATE_MIDPOINT: f64 = 0.85;
/// Slope of the risk of lateness around the midpoint.
const LATE_SLOPE: f64 = 9.0;
/// Share of its value that a late answer loses; follows the value that users assign to late
/// answers.
const LATE_LOSS: f64 = 0.7;
/// Standard deviation of the logarithm of the number of events, relative to the expected number;
/// follows the accuracy that users state for their hints.
const EVENTS_SPREAD: f64 = 0.5;
/// Share of its value that a stream loses if it has not ended at the caller's deadline: all of it.
const UNFINISHED_LOSS: f64 = 1.0;
/// Cost of processing a thousand uncached prompt tokens; other requests wait for it.
const UNCACHED_COST_PER_1K: f64 = 0.006;
/// Share of its value that a request loses at an endpoint that always fails.
const FAILING_LOSS: f64 = 1.5;

/// A request to be placed on an endpoint.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The requested service.
    pub service: Name,
    /// The hash of the route's name.
    pub route: u32,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Length of the whole prompt.
    pub prompt_tokens: u32,
    /// The chains of the prompt, the shortest first, each with its length in tokens.
    pub chains: Vec<(ChainKey, u32)>,
    /// Expected number of events of the answer, an estimate of the median.
    pub output_events: f64,
    /// Time from arrival within which the first event has its full value.
    pub target_us: Micros,
    /// Arrival time.
    pub arrived_us: Micros,
    /// Time that the caller had waited before, since its first attempt.
    pub waited_us: Micros,
    /// Time at which the caller stops waiting.
    pub deadline_us: Micros,
    /// Urgency; 0 is the most urgent.
    pub rank: Rank,
    /// Cost of sending the request to another hall, as a share of its value.
    pub other_hall_cost: f64,
    /// The standing of the caller's organisation while the service is short of room.
    pub standing: Standing,
    /// The regions in which the request may be served.
    pub allowed_regions: AllowedRegions,
    /// The versions of endpoints that may be chosen; all if there is none.
    pub versions: Option<VersionRule>,
    /// A random number; determines which endpoints are considered.
    pub draw: u64,
}

impl PlacementRequest {
    /// Returns whether the answer will be late however soon it comes.
    pub fn is_late(&self) -> bool {
        self.waited_us >= self.target_us
    }
}

/// The expected cost and timing of a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Expected {
    /// Cost, as a share of the value of the answer.
    pub cost: f64,
    /// Time to the first event, in milliseconds.
    pub first_ms: f64,
    /// The part of `first_ms` before the endpoint starts on the request, in milliseconds.
    pub queue_ms: f64,
    /// Prompt tokens that the endpoint has to process.
    pub uncached_tokens: u32,
    /// Prompt tokens of other requests that it processes before.
    pub tokens_ahead: f64,
    /// Requests in flight there, as far as known.
    pub there: f64,
    /// Whether a slot is free.
    pub has_room: bool,
    /// Time between two events of a stream, in milliseconds.
    pub event_ms: f64,
    /// Whether the endpoint is in this instance's hall.
    pub same_hall: bool,
}

/// The inputs of the cost model for one endpoint.
#[derive(Clone, Copy)]
pub struct EndpointState<'e> {
    /// Its load.
    pub load: LoadEstimate,
    /// Its speed, as far as known.
    pub speed: &'e Speed,
    /// Share of its requests that fail.
    pub failure_share: f64,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Whether it is in this instance's hall.
    pub same_hall: bool,
    /// Tokens of the request's prompt that it has cached.
    pub cached_tokens: u32,
}

/// Returns the expected cost and timing of a request at an endpoint.
pub fn estimate_cost(
    now_us: Micros,
    request: &PlacementRequest,
    state: EndpointState<'_>,
) -> Expected {
    let slots = f64::from(state.slots.max(1));
    let there = state.load.requests;
    let ahead = (there + 1.0 - slots).max(0.0);
    let wait_ms = ahead / slots * state.speed.slot_hold_ms();
    let uncached_tokens = request.prompt_tokens.saturating_sub(state.cached_tokens);
    let tokens_ahead = state.load.prompt_tokens;
    let (queue_ms, work_ms) = if request.is_stream {
        let work_ms = state.speed.first_event_ms(f64::from(uncached_tokens));
        (wait_ms + state.speed.process_ms(tokens_ahead), work_ms)
    } else {
        (wait_ms, state.speed.unary_ms() * (1.0 + there / slots))
    };
    let first_ms = queue_ms + work_ms;
    let held_us = now_us.saturating_sub(request.arrived_us);
    let waited_ms = (held_us + request.waited_us) as f64 / 1e3;
    let target_ms = (request.target_us as f64 / 1e3).max(1.0);
    let late = late_risk((waited_ms + first_ms) / target_ms);
    let unfinished = if request.is_stream {
        let left_ms = request.deadline_us.saturating_sub(now_us) as f64 / 1e3;
        let remaining_ms = request.output_events * state.speed.event_ms();
        unfinished_risk(left_ms - first_ms, remaining_ms)
    } else {
        0.0
    };
    let hall_cost = if state.same_hall {
        0.0
    } else {
        request.other_hall_cost
    };
    let uncached_cost = f64::from(uncached_tokens) / 1e3 * UNCACHED_COST_PER_1K;
    let failure_cost = state.failure_share * FAILING_LOSS;
    Expected {
        cost: late * LATE_LOSS
            + unfinished * UNFINISHED_LOSS
            + first_ms / target_ms * TIME_WEIGHT
            + hall_cost
            + uncached_cost
            + failure_cost,
        first_ms,
        queue_ms,
        uncached_tokens,
        tokens_ahead,
        there,
        has_room: ahead < 1.0,
        event_ms: state.speed.event_ms(),
        same_hall: state.same_hall,
    }
}

/// Returns the risk that an answer expected after `share` of its target is late.
pub fn late_risk(share: f64) -> f64 {
    1.0 / (1.0 + (-LATE_SLOPE * (share - LATE_MIDPOINT)).exp())
}

/// Returns the risk that a stream whose events are expected to take `remaining_ms` does not end within
/// `left_ms`.
pub fn unfinished_risk(left_ms: f64, remaining_ms: f64) -> f64 {
    /// A logistic function with this slope is close to the normal distribution.
    const NORMAL_SLOPE: f64 = 1.7;
    if left_ms <= 0.0 {
        return 1.0;
    }
    let deviations = (left_ms / remaining_ms.max(1.0)).ln() / EVENTS_SPREAD;
    1.0 / (1.0 + (NORMAL_SLOPE * deviations).exp())
}
