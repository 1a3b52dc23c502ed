//! What a scheduler is told, what it says, and how it is seen.

use serde::{Deserialize, Serialize};

use crate::core::{
    endpoint::{EndpointSpec, LoadReport},
    length::AnswerLength,
    prefix::CacheEvent,
    shedding::LevelRequest,
    types::{Incarnation, Micros, Name, Rank, Registration, RequestId, RequestMeta, ShedReason},
};

/// The settings of the policy; each rule can be turned off for the ablation table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PolicySettings {
    /// Weight of goodput by tier, against `wasted_prefill_weight`.
    pub goodput_weight: f64,
    /// Weight of wasted prefill.
    pub wasted_prefill_weight: f64,
    /// Prefers endpoints that hold the prompt's prefix.
    pub prefix_affinity: bool,
    /// Withholds a grant whose answer could not be in time.
    pub deadline_check: bool,
    /// Learns speeds from streams.
    pub learn_speed: bool,
    /// Predicts lengths; off means one prior for all.
    pub predict_length: bool,
    /// Keeps shares of organisations even.
    pub fair_shares: bool,
    /// Keeps room before events.
    pub event_room: bool,
    /// Grants no prompt work that running streams cannot spare.
    pub protect_streams: bool,
    /// Puts short requests before long ones of like deadline.
    pub short_first: bool,
    /// Share of answers that the predicted length covers when a grant is checked.
    pub length_quantile: f32,
    /// How much prompt work weighs against time, at even weights of the two measures.
    pub affinity_weight: f64,
    /// How much a long answer's lateness weighs against time.
    pub risk_weight: f64,
    /// How much a request's own work counts against it in the order, in deadline time.
    pub work_weight: f64,
    /// How far one organisation may run ahead of the others, in microseconds of work.
    pub fair_slack_us: u64,
    /// Shed above this many waiting requests.
    pub max_waiting: usize,
    /// Length assumed before any answer was seen.
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

/// An organisation's share and ceiling.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrgSpec {
    /// Its name.
    pub name: Name,
    /// Its share against the others.
    pub weight: f64,
    /// The most requests it may have running; more wait.
    pub max_running: Option<u32>,
}

/// A time for which room is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventWindow {
    /// Its name.
    pub name: Name,
    /// When its load starts.
    pub starts_us: Micros,
    /// When it is over.
    pub ends_us: Micros,
    /// Tiers up to this rank are meant by it.
    pub rank: Rank,
    /// From when room is kept.
    pub keep_from_us: Micros,
    /// Share of slots kept free of lower tiers.
    pub keep_share: f64,
}

/// What the scheduler is told to work with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolSpec {
    /// Number of tiers.
    pub tiers: usize,
    /// Organisations.
    pub organisations: Vec<OrgSpec>,
    /// Endpoints; those no longer listed get no new work.
    pub endpoints: Vec<EndpointSpec>,
    /// Events that are on or to come.
    pub events: Vec<EventWindow>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// An entry registers anew; all it held before is replaced by what it adds after.
    Attach(Registration),
    /// A request waits at its entry.
    Add(Registration, RequestMeta),
    /// A request runs already, granted by an earlier leader.
    Adopt(Registration, RequestMeta, Name),
    /// A request is gone: expired, cancelled, refused or a grant given back for good.
    Withdraw(RequestId),
    /// A grant was given back before any byte was sent; the request waits on.
    Returned(RequestId),
    /// An entry did not follow an order under that registration; it says whether the request waits
    /// on. Under a later registration the order means nothing, and neither does this.
    OrderRejected(Registration, RequestId, bool),
    /// The first token was seen.
    FirstToken(RequestId),
    /// Output tokens and the time they took since the last such report.
    Progress(RequestId, u32, Micros),
    /// The request ended at the endpoint; `tokens` is the length of a whole answer.
    Finished(RequestId, Option<u32>),
    /// The length of an answer that was seen under an earlier leader.
    ObservedLength(AnswerLength),
    /// An endpoint's load.
    Load(Name, LoadReport),
    /// An endpoint's cache event.
    Cache(Name, CacheEvent),
    /// An endpoint failed; no new work until the time.
    Quarantine(Name, Micros),
    /// An instance's answer to a level ask.
    LevelReply(Incarnation, LevelRequest, bool),
    /// An entry is gone with all it held.
    EntryRemoved(Incarnation),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell the entry to send the request to the endpoint.
    Grant {
        /// Under which registration.
        registration: Registration,
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: Name,
        /// Prompt tokens believed to be cached there.
        cached_tokens: u32,
    },
    /// Tell the entry to refuse the request as not run.
    Shed {
        /// Under which registration.
        registration: Registration,
        /// The request.
        id: RequestId,
        /// Why.
        reason: ShedReason,
        /// When the caller may come back, in milliseconds.
        retry_after_ms: u32,
        /// The chain of level asks that allows it.
        chain: u64,
    },
    /// Ask every instance to hold a level.
    RequestLevel(LevelRequest),
}

/// One waiting request, as the operators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaitingView {
    /// The request.
    pub meta: RequestMeta,
    /// Time since its arrival.
    pub waited_us: Micros,
    /// Whether no endpoint could finish it in time as things stand.
    pub hopeless: bool,
}

/// One endpoint, as the operators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointView {
    /// Its name.
    pub name: Name,
    /// Its hall.
    pub hall: Name,
    /// Requests in the ledger.
    pub running: u32,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Learned slowness; 1 is as declared.
    pub slowness: f64,
    /// Takes no new work.
    pub draining: bool,
}
