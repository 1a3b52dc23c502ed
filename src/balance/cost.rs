//! What it costs to send a request to an endpoint, as a share of what its answer is worth.

use serde::{Deserialize, Serialize};

use crate::{
    balance::{load::LoadEstimate, prefixes::ChainKey, regions::AllowedRegions, speed::Speed},
    prelude::{Micros, Name, Rank},
};

/// Weight of the time to the first event, beside the risk that it is late: it keeps queues short.
const TIME_WEIGHT: f64 = 0.15;
/// The share of the target at which half of the answers are late: what is expected errs by a third.
const LATE_MIDPOINT: f64 = 0.85;
/// How steeply the risk of a late answer rises around the midpoint.
const LATE_SLOPE: f64 = 9.0;
/// What a late answer loses of its worth; from the users' sheets of worth.
const LATE_LOSS: f64 = 0.7;
/// The spread of the expected number of events, as the standard deviation of its logarithm; from the
/// users' sheets of hints.
const EVENTS_SPREAD: f64 = 0.5;
/// What a stream loses that is not at its end when its caller stops waiting: all.
const UNFINISHED_LOSS: f64 = 1.0;
/// What a prompt costs that is read again, a thousand tokens; other requests wait for it.
const UNCACHED_COST_PER_1K: f64 = 0.006;
/// The share of its worth that a request loses at an endpoint that fails always.
const FAILING_LOSS: f64 = 1.5;

/// A request to be placed.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The service that serves it.
    pub service: Name,
    /// Its answer is a series of events.
    pub is_stream: bool,
    /// The whole prompt.
    pub prompt_tokens: u32,
    /// The prompt's chains of parts, the shortest first.
    pub chains: Vec<(ChainKey, u32)>,
    /// How many events the answer is expected to have: right in the median.
    pub output_events: f64,
    /// The time from the arrival within which the first event is of full use.
    pub target_us: Micros,
    /// When it arrived.
    pub arrived_us: Micros,
    /// For how long its caller had waited before, from its first try.
    pub waited_us: Micros,
    /// When its caller stops waiting.
    pub deadline_us: Micros,
    /// Its rank; 0 is the most urgent.
    pub rank: Rank,
    /// What sending it to another hall costs, as a share of its worth.
    pub other_hall_cost: f64,
    /// The regions in which it may be served.
    pub homes: AllowedRegions,
    /// A number drawn for it; decides which endpoints of other halls are looked at.
    pub draw: u64,
}

impl PlacementRequest {
    /// Returns whether its answer is late, however soon it comes.
    pub fn is_late(&self) -> bool {
        self.waited_us >= self.target_us
    }
}

/// What is expected of a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Expected {
    /// What it costs, as a share of what the answer is worth.
    pub cost: f64,
    /// Time to the first event, in milliseconds.
    pub first_ms: f64,
    /// The part of that time that passes before the endpoint begins with it, in milliseconds.
    pub queue_ms: f64,
    /// Prompt tokens that the endpoint has to read.
    pub uncached_tokens: u32,
    /// Prompt tokens of others that it reads before.
    pub tokens_ahead: f64,
    /// Requests that are there already, as far as is known.
    pub there: f64,
    /// Whether a slot is free.
    pub has_room: bool,
    /// Time between two events of a stream there, in milliseconds.
    pub event_ms: f64,
    /// Whether it stands in this instance's hall.
    pub same_hall: bool,
}

/// What is known of an endpoint.
#[derive(Clone, Copy)]
pub struct EndpointState<'e> {
    /// Its load.
    pub load: LoadEstimate,
    /// Its speed, as far as it is known.
    pub speed: &'e Speed,
    /// The share of its requests that fail.
    pub failure_share: f64,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it stands in this instance's hall.
    pub same_hall: bool,
    /// Prompt tokens that it holds of the request's.
    pub cached_tokens: u32,
}

/// Returns what is expected of a request at an endpoint.
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
        let work_ms = state.speed.prompt_ms(f64::from(uncached_tokens));
        (wait_ms + state.speed.read_ms(tokens_ahead), work_ms)
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
        let rest_ms = request.output_events * state.speed.event_ms();
        unfinished_risk(left_ms - first_ms, rest_ms)
    } else {
        0.0
    };
    let hall_cost = if state.same_hall {
        0.0
    } else {
        request.other_hall_cost
    };
    let uncached_cost = f64::from(uncached_tokens) / 1e3 * UNCACHED_COST_PER_1K;
    let failure_share = state.failure_share * FAILING_LOSS;
    Expected {
        cost: late * LATE_LOSS
            + unfinished * UNFINISHED_LOSS
            + first_ms / target_ms * TIME_WEIGHT
            + hall_cost
            + uncached_cost
            + failure_share,
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

/// Returns the risk that an answer is late which is expected after `share` of its target.
pub fn late_risk(share: f64) -> f64 {
    1.0 / (1.0 + (-LATE_SLOPE * (share - LATE_MIDPOINT)).exp())
}

/// Returns the risk that a stream whose events are expected to take `rest_ms` does not end within
/// `left_ms`.
pub fn unfinished_risk(left_ms: f64, rest_ms: f64) -> f64 {
    /// A logistic curve with this slope is close to the normal one.
    const NORMAL_SLOPE: f64 = 1.7;
    if left_ms <= 0.0 {
        return 1.0;
    }
    let deviations = (left_ms / rest_ms.max(1.0)).ln() / EVENTS_SPREAD;
    1.0 / (1.0 + (NORMAL_SLOPE * deviations).exp())
}
