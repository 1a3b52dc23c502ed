//! The scheduler's settings, inputs, actions and views.

use serde::{Deserialize, Serialize};

use crate::core::{
    endpoint::{EndpointSpec, LoadReport},
    length::AnswerLength,
    prefix::CacheEvent,
    shedding::LevelRequest,
    types::{Incarnation, Micros, Name, Rank, Registration, RequestId, RequestMeta, ShedReason},
};

/// The settings of the scheduling policy. Each rule can be turned off, to measure its effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PolicySettings {
    /// Weight of goodput by tier, relative to `wasted_prefill_weight`.
    pub goodput_weight: f64,
    /// Weight of wasted prefill.
    pub wasted_prefill_weight: f64,
    /// Prefers endpoints that hold the prompt's prefix.
    pub prefix_affinity: bool,
    /// Withholds a grant if the answer is expected after the deadline.
    pub deadline_check: bool,
    /// Learns the endpoints' speeds from their streams.
    pub learn_speed: bool,
    /// Predicts the length of answers; if off, `prior_output_tokens` is used for all.
    pub predict_length: bool,
    /// Shares capacity fairly between organisations.
    pub fair_shares: bool,
    /// Reserves capacity for events.
    pub event_room: bool,
    /// Withholds a grant whose prompt computation would make running requests late.
    pub protect_streams: bool,
    /// Orders short requests before long ones of similar deadline.
    pub short_first: bool,
    /// Quantile of the predicted length that is used to check a grant against the deadline.
    pub length_quantile: f32,
    /// Weight of prompt computation relative to time, if goodput and wasted prefill weigh the same.
    pub affinity_weight: f64,
    /// Weight of the lateness of a long answer relative to time.
    pub risk_weight: f64,
    /// How far a request's own work moves it back in the queue: deadline time per unit of work.
    pub work_weight: f64,
    /// How far one organisation may get ahead of the others, in microseconds of work.
    pub fair_slack_us: u64,
    /// Requests are shed while more than this many wait.
    pub max_waiting: usize,
    /// Length assumed until enough answers have been observed.
    pub prior_output_tokens: u32,
    /// Size of a prefix block, in tokens.
    pub block_tokens: u32,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            goodput_weight: 0.6,
            wasted_prefill_weight: 0.4,
            prefix_affinity: true,
            deadline_check: true,
            learn_speed: true,
            predict_length: true,
            fair_shares: true,
            event_room: true,
            protect_streams: true,
            short_first: true,
            length_quantile: 0.6,
            affinity_weight: 1.0,
            risk_weight: 1.0,
            work_weight: 16.0,
            fair_slack_us: 400_000_000,
            max_waiting: 20_000,
            prior_output_tokens: 60,
            block_tokens: 256,
        }
    }
}

/// An organisation's share and concurrency limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrgSpec {
    /// Its name.
    pub name: Name,
    /// Its share relative to the others.
    pub weight: f64,
    /// The maximum number of its requests that run at a time; others wait.
    pub max_running: Option<u32>,
}

/// A period for which capacity is reserved.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventWindow {
    /// Its name.
    pub name: Name,
    /// When the event's load starts.
    pub starts_us: Micros,
    /// When the event ends.
    pub ends_us: Micros,
    /// The reserved capacity is for tiers of this rank and higher.
    pub rank: Rank,
    /// From when capacity is reserved.
    pub keep_from_us: Micros,
    /// Share of slots that lower tiers may not use.
    pub keep_share: f64,
}

/// The configuration of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolSpec {
    /// Number of tiers.
    pub tiers: usize,
    /// The organisations with a configured share or limit.
    pub organisations: Vec<OrgSpec>,
    /// The endpoints. An endpoint that is no longer listed gets no new requests.
    pub endpoints: Vec<EndpointSpec>,
    /// Current and future events.
    pub events: Vec<EventWindow>,
}

/// An input to the scheduler.
#[derive(Clone, Debug)]
pub enum Input {
    /// An entry registers again. Its earlier requests are dropped; it adds those that it still has.
    Attach(Registration),
    /// A request waits at the entry.
    Add(Registration, RequestMeta),
    /// A request is already running at the endpoint, granted by an earlier leader.
    Adopt(Registration, RequestMeta, Name),
    /// A request is removed: it expired, was cancelled or refused, or its grant was returned for good.
    Withdraw(RequestId),
    /// A grant was returned before any byte was sent; the request goes on waiting.
    Returned(RequestId),
    /// An entry didn't carry out an order issued under that registration; the flag says whether the
    /// request still waits. Ignored if the request has been added under a later registration, for which
    /// the order was void.
    OrderRejected(Registration, RequestId, bool),
    /// The first token arrived.
    FirstToken(RequestId),
    /// Output tokens since the last such input, and the time they took.
    Progress(RequestId, u32, Micros),
    /// The request ended at the endpoint; the number is the length of a complete answer.
    Finished(RequestId, Option<u32>),
    /// The length of an answer that was observed under an earlier leader.
    ObservedLength(AnswerLength),
    /// An endpoint's load report.
    Load(Name, LoadReport),
    /// An endpoint's cache event.
    Cache(Name, CacheEvent),
    /// An endpoint failed; it gets no new requests until the given time.
    Quarantine(Name, Micros),
    /// An instance's reply to a level request: whether it holds the level.
    LevelReply(Incarnation, LevelRequest, bool),
    /// An entry left, crashed or can't be reached; its requests are dropped.
    EntryRemoved(Incarnation),
}

/// A decision for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The entry is to send the request to the endpoint.
    Grant {
        /// The registration that the order is issued under.
        registration: Registration,
        /// The request.
        id: RequestId,
        /// The endpoint to send it to.
        endpoint: Name,
        /// Prompt tokens expected to be in the endpoint's cache.
        cached_tokens: u32,
    },
    /// The entry is to refuse the request as not run.
    Shed {
        /// The registration that the order is issued under.
        registration: Registration,
        /// The request.
        id: RequestId,
        /// The reason.
        reason: ShedReason,
        /// After how many milliseconds the caller may retry.
        retry_after_ms: u32,
        /// The chain of level requests that permits it.
        chain: u64,
    },
    /// Every instance is to be asked to hold a level.
    RequestLevel(LevelRequest),
}

/// A waiting request, as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaitingView {
    /// The request.
    pub meta: RequestMeta,
    /// Time since its arrival.
    pub waited_us: Micros,
    /// Whether not even an idle endpoint is expected to finish it in time.
    pub hopeless: bool,
}

/// An endpoint, as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointView {
    /// Its name.
    pub name: Name,
    /// Its hall.
    pub hall: Name,
    /// Granted requests that have not ended.
    pub running: u32,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Learned over declared time; 1 is as declared, more is slower.
    pub slowness: f64,
    /// Whether it gets no new requests.
    pub draining: bool,
}
