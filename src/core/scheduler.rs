//! The scheduler of one pool: decides which request runs on which endpoint, waits or is refused.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    ops::Bound,
};

pub use crate::core::interface::{
    Action, EndpointView, EventWindow, Input, OrgSpec, PolicySettings, PoolSpec, WaitingView,
};
use crate::core::{
    endpoint::{EndpointModel, EndpointSpec, GrantDetails, LoadReport},
    length::{AnswerLength, LengthModel},
    prefix::{CacheEvent, PrefixMap},
    queue::{OrderKey, OrgIndex, TierQueue},
    shedding::{self, LevelRound},
    types::{Incarnation, Micros, Name, Rank, Registration, RequestId, RequestMeta, ShedReason},
};

/// How many waiting requests of a tier one decision considers.
const CANDIDATES_PER_DECISION: usize = 24;
/// How many deferred requests are checked again on each tick, per tier.
const RECHECKS_PER_TICK: usize = 32;
/// Quantile of the predicted length that is used to assess the risk of a placement.
const LONG_QUANTILE: f32 = 0.92;
/// An endpoint with more prompt computation than this queued ahead of a request isn't granted it.
const MAX_PREFILL_BACKLOG_US: f64 = 120_000.0;

/// The state of a request at the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    Waiting,
    /// Waits, but isn't expected to be in time at present; checked again in turn.
    Deferred,
    /// Waits, but couldn't be in time even at an idle endpoint.
    Infeasible,
    /// Granted to the endpoint of this index.
    Running(usize),
    /// An order to shed it was issued.
    Shedding,
}

/// A request known to the scheduler.
#[derive(Clone, Debug)]
struct Tracked {
    registration: Registration,
    meta: RequestMeta,
    organisation: OrgIndex,
    arrived_us: Micros,
    deadline_us: Micros,
    output_tokens: u32,
    /// A length that few answers exceed.
    long_output_tokens: u32,
    key: OrderKey,
    state: RequestState,
}

impl Tracked {
    fn grant_details(&self, uncached_tokens: u32) -> GrantDetails {
        GrantDetails {
            id: self.meta.id,
            rank: self.meta.rank,
            deadline_us: self.deadline_us,
            uncached_tokens,
            output_tokens: self.long_output_tokens,
        }
    }
}

#[derive(Clone, Debug)]
struct Organisation {
    spec: OrgSpec,
    running: u32,
}

/// The decision on one request.
enum Choice {
    /// Run it at the endpoint of this index, with this many uncached prompt tokens.
    Grant(usize, u32),
    /// Leave it in the queue.
    Hold,
    /// Take it out of the queue and check it again later.
    Defer(Feasibility),
}

/// Whether a request can finish before its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Feasibility {
    /// Yes, at the present load.
    Feasible,
    /// Only if endpoints become free sooner than expected.
    NotNow,
    /// Not even at an idle endpoint.
    Never,
}

/// The scheduler of one pool.
#[derive(Clone, Debug)]
pub struct Scheduler {
    leader: Incarnation,
    policy: PolicySettings,
    spec: PoolSpec,
    endpoints: Vec<EndpointModel>,
    by_name: HashMap<Name, usize>,
    prefixes: PrefixMap,
    lengths: LengthModel,
    tiers: Vec<TierQueue>,
    deferred: Vec<BTreeSet<OrderKey>>,
    infeasible: Vec<BTreeSet<OrderKey>>,
    /// The key after which the next check of deferred requests starts, by tier.
    recheck_from: Vec<OrderKey>,
    requests: HashMap<RequestId, Tracked>,
    registrations: BTreeMap<Incarnation, Registration>,
    organisations: Vec<Organisation>,
    org_by_name: HashMap<Name, OrgIndex>,
    round: LevelRound,
    confirming_instances: Vec<Incarnation>,
    /// Moving average of the time from a request's arrival to its end.
    typical_service_us: f64,
    ticked_us: Micros,
    candidates: Vec<OrderKey>,
    available_endpoints: Vec<usize>,
    has_capacity: Vec<bool>,
    spare_tokens: Vec<f64>,
    cached_blocks: Vec<u32>,
    /// Whether something changed since the last decision that may allow a grant or a shed.
    dirty: bool,
}

impl Scheduler {
    /// Creates a scheduler without endpoints; `leader` is the run of this instance.
    pub fn new(leader: Incarnation, policy: PolicySettings) -> Self {
        let lengths = LengthModel::new(policy.prior_output_tokens);
        Self {
            leader,
            policy,
            spec: PoolSpec::default(),
            endpoints: Vec::new(),
            by_name: HashMap::new(),
            prefixes: PrefixMap::default(),
            lengths,
            tiers: Vec::new(),
            deferred: Vec::new(),
            infeasible: Vec::new(),
            recheck_from: Vec::new(),
            requests: HashMap::new(),
            registrations: BTreeMap::new(),
            organisations: Vec::new(),
            org_by_name: HashMap::new(),
            round: LevelRound::default(),
            confirming_instances: Vec::new(),
            typical_service_us: 500_000.0,
            ticked_us: 0,
            candidates: Vec::new(),
            available_endpoints: Vec::new(),
            has_capacity: Vec::new(),
            spare_tokens: Vec::new(),
            cached_blocks: Vec::new(),
            dirty: true,
        }
    }

    /// Applies a configuration. Running requests are not affected.
    pub fn configure(&mut self, spec: PoolSpec) {
        self.dirty = true;
        let tiers = spec.tiers.max(self.tiers.len());
        self.tiers.resize_with(tiers, TierQueue::default);
        self.deferred.resize_with(tiers, BTreeSet::new);
        self.infeasible.resize_with(tiers, BTreeSet::new);
        self.recheck_from.resize(tiers, OrderKey::default());
        for known in &mut self.endpoints {
            if !spec.endpoints.iter().any(|e| e.name == known.spec.name) {
                known.spec.draining = true;
            }
        }
        for endpoint in &spec.endpoints {
            self.set_endpoint(endpoint);
        }
        for organisation in &spec.organisations {
            let index = self.org_index(&organisation.name);
            self.organisations[index].spec = organisation.clone();
        }
        self.spec = spec;
    }

    /// Replaces the policy's settings.
    pub fn set_policy(&mut self, policy: PolicySettings) {
        self.policy = policy;
    }

    /// Sets the instances that must confirm a level before a tier above the lowest is shed.
    pub fn set_confirming_instances(&mut self, confirming_instances: Vec<Incarnation>) {
        self.confirming_instances = confirming_instances;
    }

    /// Applies an input; [`Scheduler::decide`] returns the resulting actions.
    pub fn handle(&mut self, now_us: Micros, input: Input) {
        self.dirty |= !matches!(input, Input::Progress(..));
        match input {
            Input::Attach(registration) => self.attach(now_us, registration),
            Input::Add(registration, meta) => self.add(now_us, registration, meta),
            Input::Adopt(registration, meta, endpoint) => {
                self.adopt(now_us, registration, meta, &endpoint);
            }
            Input::Withdraw(id) => self.remove_request(now_us, id),
            Input::Returned(id) => self.requeue(now_us, id),
            Input::OrderRejected(registration, id, waits) => {
                self.order_rejected(now_us, registration, id, waits);
            }
            Input::FirstToken(id) => self.first_token(now_us, id),
            Input::Progress(id, tokens, span_us) => self.progress(now_us, id, tokens, span_us),
            Input::Finished(id, tokens) => self.finished(now_us, id, tokens),
            Input::ObservedLength(length) => self.lengths.observe(&length),
            Input::Load(endpoint, report) => self.load(now_us, &endpoint, report),
            Input::Cache(endpoint, event) => self.cache(&endpoint, &event),
            Input::Quarantine(endpoint, until_us) => self.quarantine(&endpoint, until_us),
            Input::LevelReply(from, request, held) => {
                self.round.record_reply(now_us, from, request, held)
            }
            Input::EntryRemoved(entry) => self.remove_entry(now_us, entry),
        }
    }

    /// Applies the passing of time: checks for overdue first tokens and checks deferred requests again.
    pub fn tick(&mut self, now_us: Micros) {
        self.dirty = true;
        let elapsed_us = now_us.saturating_sub(self.ticked_us);
        self.ticked_us = now_us;
        if self.policy.learn_speed {
            for endpoint in &mut self.endpoints {
                endpoint.tick(now_us, elapsed_us);
            }
        }
        self.recheck_deferred(now_us);
    }

    /// Appends all actions that are possible now to `out`.
    pub fn decide(&mut self, now_us: Micros, out: &mut Vec<Action>) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        for rank in 0..self.tiers.len() {
            while !self.tiers[rank].is_empty() && self.grant_one(now_us, rank, out) {}
        }
        self.shed(now_us, out);
    }

    /// Returns how many requests wait in each tier.
    pub fn waiting_by_tier(&self) -> Vec<usize> {
        (0..self.tiers.len())
            .map(|r| self.waiting_count(r))
            .collect()
    }

    /// Returns the endpoints, for operators.
    pub fn endpoints(&self) -> impl Iterator<Item = EndpointView> + '_ {
        self.endpoints.iter().map(|e| EndpointView {
            name: e.spec.name.clone(),
            hall: e.spec.hall.clone(),
            running: e.running(),
            slots: e.spec.slots,
            slowness: e.slowness(),
            draining: e.spec.draining,
        })
    }

    /// Returns the waiting requests, for operators.
    pub fn waiting(&self, now_us: Micros) -> impl Iterator<Item = WaitingView> + '_ {
        let waits = |t: &&Tracked| {
            matches!(
                t.state,
                RequestState::Waiting | RequestState::Deferred | RequestState::Infeasible
            )
        };
        self.requests.values().filter(waits).map(move |t| {
            let waited_us = now_us.saturating_sub(t.arrived_us);
            WaitingView {
                meta: t.meta.clone(),
                waited_us,
                hopeless: t.state == RequestState::Infeasible,
            }
        })
    }

    /// Explains the state of a request; none if the request is unknown.
    pub fn explain(&self, now_us: Micros, id: RequestId) -> Option<String> {
        let tracked = self.requests.get(&id)?;
        let left_ms = tracked.deadline_us.saturating_sub(now_us) / 1_000;
        Some(match tracked.state {
            RequestState::Running(endpoint) => {
                format!("granted to {}", self.endpoints[endpoint].spec.name)
            }
            RequestState::Shedding => "being shed".to_owned(),
            RequestState::Infeasible => format!(
                "no endpoint is expected to finish its {} prompt and about {} output tokens in the \
                 {left_ms} ms left; kept while a lower tier is kept, or until its deadline",
                tracked.meta.prompt_tokens, tracked.output_tokens
            ),
            RequestState::Waiting | RequestState::Deferred => {
                let available = self.endpoints.iter();
                let available = available
                    .filter(|e| e.has_capacity(now_us, tracked.meta.rank, MAX_PREFILL_BACKLOG_US))
                    .count();
                let above: usize = (0..usize::from(tracked.meta.rank))
                    .map(|r| self.waiting_count(r))
                    .sum();
                let organisation = &self.organisations[tracked.organisation];
                let capped = organisation
                    .spec
                    .max_running
                    .is_some_and(|m| organisation.running >= m);
                let cap = if capped {
                    "; its organisation is at its ceiling"
                } else {
                    ""
                };
                format!(
                    "waits with {} of its tier, {above} above; {available} of {} endpoints have room; \
                     {left_ms} ms left{cap}",
                    self.waiting_count(usize::from(tracked.meta.rank)),
                    self.endpoints.len()
                )
            }
        })
    }

    fn waiting_count(&self, rank: usize) -> usize {
        self.tiers[rank].len() + self.deferred[rank].len() + self.infeasible[rank].len()
    }

    fn set_endpoint(&mut self, spec: &EndpointSpec) {
        let blocks = (spec.cache_tokens / self.policy.block_tokens.max(1)) as usize;
        let index = match self.by_name.get(&spec.name) {
            Some(&index) => {
                self.endpoints[index].spec = spec.clone();
                index
            }
            None => {
                self.endpoints.push(EndpointModel::new(spec.clone()));
                let index = self.endpoints.len() - 1;
                self.by_name.insert(spec.name.clone(), index);
                index
            }
        };
        self.prefixes.set_capacity(index, blocks);
    }

    fn org_index(&mut self, name: &Name) -> OrgIndex {
        if let Some(&index) = self.org_by_name.get(name) {
            return index;
        }
        let spec = OrgSpec {
            name: name.clone(),
            weight: 1.0,
            max_running: None,
        };
        self.organisations.push(Organisation { spec, running: 0 });
        let index = self.organisations.len() - 1;
        self.org_by_name.insert(name.clone(), index);
        index
    }

    fn attach(&mut self, now_us: Micros, registration: Registration) {
        let held: Vec<RequestId> = self
            .requests
            .values()
            .filter(|t| t.registration.entry == registration.entry)
            .map(|t| t.meta.id)
            .collect();
        for id in held {
            self.remove_request(now_us, id);
        }
        self.registrations.insert(registration.entry, registration);
    }

    fn is_current(&self, registration: Registration) -> bool {
        self.registrations.get(&registration.entry) == Some(&registration)
    }

    fn track(&mut self, now_us: Micros, registration: Registration, meta: RequestMeta) -> Tracked {
        let organisation = self.org_index(&meta.organisation);
        let arrived_us = now_us.saturating_sub(meta.waited_us);
        let deadline_us = now_us + meta.remaining_us;
        let output_tokens = self.predict_length(&meta, self.policy.length_quantile);
        let long_output_tokens = self.predict_length(&meta, LONG_QUANTILE);
        let work_us = self.work_us(&meta, output_tokens);
        let weight = if self.policy.short_first {
            self.policy.work_weight
        } else {
            0.0
        };
        let order = deadline_us + (work_us * weight) as u64;
        Tracked {
            registration,
            organisation,
            arrived_us,
            deadline_us,
            output_tokens,
            long_output_tokens,
            key: (order, meta.id),
            state: RequestState::Waiting,
            meta,
        }
    }

    fn predict_length(&self, meta: &RequestMeta, q: f32) -> u32 {
        let predicted = if self.policy.predict_length {
            self.lengths
                .predict(&meta.organisation, meta.rank, meta.prompt_tokens, q)
        } else {
            self.policy.prior_output_tokens
        };
        predicted.min(meta.max_output_tokens.unwrap_or(u32::MAX))
    }

    /// Returns the work of a request in microseconds, by the declared speeds of the first endpoint.
    fn work_us(&self, meta: &RequestMeta, output_tokens: u32) -> f64 {
        let Some(endpoint) = self.endpoints.first() else {
            return 0.0;
        };
        let prefill = f64::from(meta.prompt_tokens) * 1e6 / endpoint.spec.prefill_tokens_per_s;
        prefill
            + f64::from(output_tokens) * endpoint.spec.decode_step_us
                / f64::from(endpoint.spec.slots.max(1))
    }

    fn add(&mut self, now_us: Micros, registration: Registration, meta: RequestMeta) {
        let known = self.requests.contains_key(&meta.id);
        let rank = usize::from(meta.rank);
        if known || !self.is_current(registration) || rank >= self.tiers.len() {
            return;
        }
        let tracked = self.track(now_us, registration, meta);
        self.tiers[rank].insert(tracked.organisation, tracked.key);
        self.requests.insert(tracked.meta.id, tracked);
    }

    fn adopt(
        &mut self,
        now_us: Micros,
        registration: Registration,
        meta: RequestMeta,
        endpoint: &Name,
    ) {
        let Some(&index) = self.by_name.get(endpoint) else {
            return;
        };
        if !self.is_current(registration) {
            return;
        }
        let mut tracked = self.track(now_us, registration, meta);
        tracked.state = RequestState::Running(index);
        self.endpoints[index].adopt(now_us, tracked.grant_details(0));
        self.organisations[tracked.organisation].running += 1;
        self.requests.insert(tracked.meta.id, tracked);
    }

    fn remove_request(&mut self, now_us: Micros, id: RequestId) {
        let Some(tracked) = self.requests.remove(&id) else {
            return;
        };
        let rank = usize::from(tracked.meta.rank);
        match tracked.state {
            RequestState::Waiting => {
                self.tiers[rank].remove(tracked.organisation, tracked.key);
            }
            RequestState::Deferred => {
                self.deferred[rank].remove(&tracked.key);
            }
            RequestState::Infeasible => {
                self.infeasible[rank].remove(&tracked.key);
            }
            RequestState::Running(endpoint) => self.release(now_us, endpoint, &tracked),
            RequestState::Shedding => {}
        }
    }

    fn release(&mut self, now_us: Micros, endpoint: usize, tracked: &Tracked) {
        self.endpoints[endpoint].end(now_us, tracked.meta.id);
        let organisation = &mut self.organisations[tracked.organisation];
        organisation.running = organisation.running.saturating_sub(1);
    }

    fn requeue(&mut self, now_us: Micros, id: RequestId) {
        let Some(mut tracked) = self.requests.remove(&id) else {
            return;
        };
        if let RequestState::Running(endpoint) = tracked.state {
            self.release(now_us, endpoint, &tracked);
        }
        let rank = usize::from(tracked.meta.rank);
        self.deferred[rank].remove(&tracked.key);
        self.infeasible[rank].remove(&tracked.key);
        tracked.state = RequestState::Waiting;
        self.tiers[rank].insert(tracked.organisation, tracked.key);
        self.requests.insert(id, tracked);
    }

    fn order_rejected(
        &mut self,
        now_us: Micros,
        registration: Registration,
        id: RequestId,
        waits: bool,
    ) {
        let known = self.requests.get(&id);
        if known.is_none_or(|t| t.registration != registration) {
            return;
        }
        if waits {
            self.requeue(now_us, id);
        } else {
            self.remove_request(now_us, id);
        }
    }

    fn first_token(&mut self, now_us: Micros, id: RequestId) {
        if let Some(endpoint) = self.running_at(id) {
            self.endpoints[endpoint].first_token(now_us, id);
        }
    }

    fn progress(&mut self, now_us: Micros, id: RequestId, tokens: u32, span_us: Micros) {
        let Some(endpoint) = self.running_at(id) else {
            return;
        };
        if self.policy.learn_speed {
            self.endpoints[endpoint].progress(now_us, id, tokens, span_us);
        }
    }

    fn running_at(&self, id: RequestId) -> Option<usize> {
        match self.requests.get(&id)?.state {
            RequestState::Running(endpoint) => Some(endpoint),
            _ => None,
        }
    }

    fn finished(&mut self, now_us: Micros, id: RequestId, tokens: Option<u32>) {
        let Some(tracked) = self.requests.get(&id) else {
            return;
        };
        if let Some(tokens) = tokens {
            let meta = &tracked.meta;
            self.lengths.observe(&AnswerLength {
                organisation: meta.organisation.clone(),
                rank: meta.rank,
                prompt_tokens: meta.prompt_tokens,
                output_tokens: tokens,
            });
            let took_us = now_us.saturating_sub(tracked.arrived_us) as f64;
            self.typical_service_us += (took_us - self.typical_service_us) * 0.02;
        }
        self.remove_request(now_us, id);
    }

    fn load(&mut self, now_us: Micros, endpoint: &Name, report: LoadReport) {
        if let Some(&index) = self.by_name.get(endpoint) {
            self.endpoints[index].record_load_report(now_us, report);
        }
    }

    fn cache(&mut self, endpoint: &Name, event: &CacheEvent) {
        if let Some(&index) = self.by_name.get(endpoint) {
            self.prefixes.apply(index, event);
        }
    }

    fn quarantine(&mut self, endpoint: &Name, until_us: Micros) {
        if let Some(&index) = self.by_name.get(endpoint) {
            self.endpoints[index].quarantine(until_us);
            self.prefixes.clear_endpoint(index);
        }
    }

    fn remove_entry(&mut self, now_us: Micros, entry: Incarnation) {
        let registration = Registration { entry, epoch: 0 };
        self.attach(now_us, registration);
        self.registrations.remove(&entry);
    }

    fn grant_one(&mut self, now_us: Micros, rank: usize, out: &mut Vec<Action>) -> bool {
        self.find_available_endpoints(now_us, rank as Rank);
        if self.available_endpoints.is_empty() {
            return false;
        }
        let mut candidates = std::mem::take(&mut self.candidates);
        self.list_candidates(rank, &mut candidates);
        let mut granted = false;
        for &(order, id) in &candidates {
            self.look_up_cached(id);
            match self.choose(now_us, &self.requests[&id]) {
                Choice::Grant(endpoint, uncached) => {
                    self.grant(now_us, id, endpoint, uncached, out);
                    granted = true;
                    break;
                }
                Choice::Defer(feasibility) => self.defer(rank, (order, id), feasibility),
                Choice::Hold => {}
            }
        }
        self.candidates = candidates;
        granted
    }

    fn find_available_endpoints(&mut self, now_us: Micros, rank: Rank) {
        self.available_endpoints.clear();
        self.has_capacity.clear();
        self.spare_tokens.clear();
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            let has_capacity = endpoint.has_capacity(now_us, rank, MAX_PREFILL_BACKLOG_US);
            self.has_capacity.push(has_capacity);
            let spare = if has_capacity {
                endpoint.spare_tokens(now_us, rank)
            } else {
                0.0
            };
            self.spare_tokens.push(spare);
            if has_capacity {
                self.available_endpoints.push(index);
            }
        }
    }

    fn list_candidates(&self, rank: usize, out: &mut Vec<OrderKey>) {
        let slack = if self.policy.fair_shares {
            self.policy.fair_slack_us
        } else {
            u64::MAX
        };
        let is_eligible = |index: OrgIndex| {
            let organisation = &self.organisations[index];
            let ceiling = organisation.spec.max_running.unwrap_or(u32::MAX);
            organisation.running < ceiling
        };
        self.tiers[rank].candidates(CANDIDATES_PER_DECISION, slack, is_eligible, out);
    }

    /// Chooses an endpoint for a request, or decides that it keeps its place or is deferred.
    fn choose(&self, now_us: Micros, tracked: &Tracked) -> Choice {
        let left_us = tracked.deadline_us.saturating_sub(now_us) as f64;
        let mut best: Option<(f64, usize, u32)> = None;
        for &index in &self.available_endpoints {
            if !self.respects_event_reserve(now_us, tracked, index) {
                continue;
            }
            let uncached = self.uncached_tokens(index, &tracked.meta);
            let finish_us = self.endpoints[index].finish_us(
                now_us,
                tracked.meta.rank,
                uncached,
                tracked.output_tokens,
            );
            if self.policy.deadline_check && finish_us > left_us {
                continue;
            }
            if self.policy.protect_streams && !self.fits_spare_tokens(index, uncached) {
                continue;
            }
            let long_us = self.long_finish_us(now_us, tracked, index, uncached);
            let over_us = (long_us - left_us).max(0.0);
            let cost =
                self.cost(index, finish_us, left_us, uncached) + over_us * self.policy.risk_weight;
            if best.is_none_or(|(least, ..)| cost < least) {
                best = Some((cost, index, uncached));
            }
        }
        let Some((cost, index, uncached)) = best else {
            return match self.feasibility(now_us, tracked, left_us) {
                Feasibility::Feasible => Choice::Hold,
                feasibility => Choice::Defer(feasibility),
            };
        };
        if self.policy.prefix_affinity && self.is_worth_waiting(now_us, tracked, cost, left_us) {
            return Choice::Hold;
        }
        Choice::Grant(index, uncached)
    }

    /// Looks up how much of the request's prefix each endpoint has cached, for
    /// [`Scheduler::uncached_tokens`].
    fn look_up_cached(&mut self, id: RequestId) {
        if let Some(tracked) = self.requests.get(&id) {
            let prefix = &tracked.meta.prefix;
            self.prefixes
                .cached_at_each(prefix, &mut self.cached_blocks);
        }
    }

    fn uncached_tokens(&self, endpoint: usize, meta: &RequestMeta) -> u32 {
        if !self.policy.prefix_affinity {
            return meta.prompt_tokens;
        }
        let blocks = self.cached_blocks.get(endpoint).copied().unwrap_or(0);
        meta.prompt_tokens
            .saturating_sub(blocks * self.policy.block_tokens)
            .max(1)
    }

    /// Returns whether the endpoint can compute the prompt without making running requests late.
    fn fits_spare_tokens(&self, index: usize, uncached: u32) -> bool {
        f64::from(uncached) <= self.spare_tokens[index]
    }

    fn long_finish_us(
        &self,
        now_us: Micros,
        tracked: &Tracked,
        index: usize,
        uncached: u32,
    ) -> f64 {
        let tokens = tracked.long_output_tokens;
        self.endpoints[index].finish_us(now_us, tracked.meta.rank, uncached, tokens)
    }

    /// Returns the cost of a placement: the time to its end, and the prompt computation, which delays
    /// other requests and is weighted by the configured weight of wasted prefill.
    fn cost(&self, endpoint: usize, finish_us: f64, left_us: f64, uncached: u32) -> f64 {
        let prefill_us = self.endpoints[endpoint].prefill_us(uncached);
        let ratio = self.policy.wasted_prefill_weight / self.policy.goodput_weight.max(0.01);
        // Finishing early has no value by itself, so time counts only in proportion to how much of the
        // time left to the deadline it uses.
        let urgency = (finish_us / left_us.max(1.0)).min(1.0);
        finish_us * urgency + prefill_us * (1.0 + self.policy.affinity_weight * ratio)
    }

    /// Returns whether to wait for an endpoint that has the prefix cached but no capacity now.
    fn is_worth_waiting(&self, now_us: Micros, tracked: &Tracked, cost: f64, left_us: f64) -> bool {
        let service_us = self.typical_service_us;
        self.endpoints.iter().enumerate().any(|(index, endpoint)| {
            let has_prefix = self.cached_blocks[index] > 0;
            if !has_prefix || endpoint.spec.draining || self.has_capacity[index] {
                return false;
            }
            let uncached = self.uncached_tokens(index, &tracked.meta);
            let wait_us = endpoint.slot_wait_us(service_us);
            let finish_us = wait_us
                + endpoint.finish_us(now_us, tracked.meta.rank, uncached, tracked.output_tokens);
            finish_us * 1.3 < left_us && self.cost(index, finish_us, left_us, uncached) < cost
        })
    }

    fn feasibility(&self, now_us: Micros, tracked: &Tracked, left_us: f64) -> Feasibility {
        if !self.policy.deadline_check {
            return Feasibility::Feasible;
        }
        let mut feasibility = Feasibility::Never;
        let output_tokens = tracked.output_tokens;
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            if endpoint.spec.draining {
                continue;
            }
            let uncached = self.uncached_tokens(index, &tracked.meta);
            if endpoint.idle_finish_us(uncached, output_tokens) > left_us {
                continue;
            }
            feasibility = Feasibility::NotNow;
            let wait_us = endpoint.slot_wait_us(self.typical_service_us);
            let finish_us = endpoint.finish_us(now_us, tracked.meta.rank, uncached, output_tokens);
            if wait_us + finish_us <= left_us {
                return Feasibility::Feasible;
            }
        }
        feasibility
    }

    /// Returns whether a grant leaves the capacity reserved for events free.
    fn respects_event_reserve(&self, now_us: Micros, tracked: &Tracked, index: usize) -> bool {
        if !self.policy.event_room {
            return true;
        }
        let endpoint = &self.endpoints[index];
        self.spec.events.iter().all(|event| {
            let applies = now_us >= event.keep_from_us && now_us < event.ends_us;
            if !applies || tracked.meta.rank <= event.rank {
                return true;
            }
            let unreserved_slots = f64::from(endpoint.spec.slots) * (1.0 - event.keep_share);
            if f64::from(endpoint.running()) < unreserved_slots {
                return true;
            }
            let uncached = self.uncached_tokens(index, &tracked.meta);
            let finish_us =
                endpoint.finish_us(now_us, tracked.meta.rank, uncached, tracked.output_tokens);
            now_us + finish_us as u64 <= event.starts_us
        })
    }

    fn grant(
        &mut self,
        now_us: Micros,
        id: RequestId,
        endpoint: usize,
        uncached: u32,
        out: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        let rank = usize::from(tracked.meta.rank);
        tracked.state = RequestState::Running(endpoint);
        self.tiers[rank].remove(tracked.organisation, tracked.key);
        let model = &mut self.endpoints[endpoint];
        model.grant(now_us, tracked.grant_details(uncached));
        self.prefixes.touch(endpoint, &tracked.meta.prefix);
        let organisation = &mut self.organisations[tracked.organisation];
        organisation.running += 1;
        let work_us = model.prefill_us(uncached)
            + model.token_us(model.running()) * f64::from(tracked.output_tokens);
        let charge = (work_us / organisation.spec.weight.max(0.001)) as u64;
        self.tiers[rank].charge(tracked.organisation, charge);
        out.push(Action::Grant {
            registration: tracked.registration,
            id,
            endpoint: model.spec.name.clone(),
            cached_tokens: tracked.meta.prompt_tokens.saturating_sub(uncached),
        });
    }

    fn defer(&mut self, rank: usize, key: OrderKey, feasibility: Feasibility) {
        let Some(tracked) = self.requests.get_mut(&key.1) else {
            return;
        };
        self.tiers[rank].remove(tracked.organisation, key);
        self.deferred[rank].remove(&key);
        self.infeasible[rank].remove(&key);
        if feasibility == Feasibility::Never {
            tracked.state = RequestState::Infeasible;
            self.infeasible[rank].insert(key);
        } else {
            tracked.state = RequestState::Deferred;
            self.deferred[rank].insert(key);
        }
    }

    fn recheck_deferred(&mut self, now_us: Micros) {
        for rank in 0..self.deferred.len() {
            for key in self.next_rechecks(rank) {
                self.look_up_cached(key.1);
                let tracked = &self.requests[&key.1];
                let left_us = tracked.deadline_us.saturating_sub(now_us) as f64;
                match self.feasibility(now_us, tracked, left_us) {
                    Feasibility::Feasible => self.requeue(now_us, key.1),
                    feasibility => self.defer(rank, key, feasibility),
                }
            }
        }
    }

    /// Returns the next deferred requests to check, in turn.
    fn next_rechecks(&mut self, rank: usize) -> Vec<OrderKey> {
        let from = self.recheck_from[rank];
        let deferred = self.deferred[rank].range((Bound::Excluded(from), Bound::Unbounded));
        let mut keys: Vec<OrderKey> = deferred.take(RECHECKS_PER_TICK).copied().collect();
        // Starts over after the last one. One infeasible request is checked as well, as it may become
        // feasible when an endpoint recovers.
        self.recheck_from[rank] = keys.last().copied().unwrap_or_default();
        keys.extend(self.infeasible[rank].iter().next_back());
        keys
    }

    /// Sheds infeasible requests and those above the limit, lowest tier first.
    fn shed(&mut self, now_us: Micros, out: &mut Vec<Action>) {
        let Some(rank) = (0..self.tiers.len())
            .rev()
            .find(|r| self.waiting_count(*r) > 0)
        else {
            return;
        };
        let waiting: usize = (0..self.tiers.len()).map(|r| self.waiting_count(r)).sum();
        let over = waiting.saturating_sub(self.policy.max_waiting);
        let needed = shedding::level_needed(rank as Rank, self.spec.tiers);
        if self.round.confirmed(now_us) < needed {
            if over > 0 {
                let confirming_instances = self.confirming_instances.iter().copied();
                let request =
                    self.round
                        .next_request(now_us, self.leader, needed, confirming_instances);
                out.extend(request.map(Action::RequestLevel));
            }
            return;
        }
        while let Some(key) = self.infeasible[rank].pop_first() {
            self.shed_one(key.1, ShedReason::DeadlineUnreachable, out);
        }
        let left = waiting - (waiting - self.total_waiting());
        for _ in self.policy.max_waiting..left {
            let Some((_, key)) = self.tiers[rank].last() else {
                break;
            };
            self.shed_one(key.1, ShedReason::QueueFull, out);
        }
        if self.waiting_count(rank) == 0 && rank > 0 {
            self.shed(now_us, out);
        }
    }

    fn total_waiting(&self) -> usize {
        (0..self.tiers.len()).map(|r| self.waiting_count(r)).sum()
    }

    fn shed_one(&mut self, id: RequestId, reason: ShedReason, out: &mut Vec<Action>) {
        let retry_after_ms = self.retry_after_ms(id);
        let chain = self.round.chain();
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        let rank = usize::from(tracked.meta.rank);
        self.tiers[rank].remove(tracked.organisation, tracked.key);
        tracked.state = RequestState::Shedding;
        out.push(Action::Shed {
            registration: tracked.registration,
            id,
            reason,
            retry_after_ms,
            chain,
        });
    }

    /// Returns after how many milliseconds a refused caller may retry: the time to work off the queue,
    /// with a jitter from the request's id so that callers refused together don't retry together.
    fn retry_after_ms(&self, id: RequestId) -> u32 {
        let slots: u32 = self.endpoints.iter().map(|e| e.spec.slots).sum();
        let waves = self.total_waiting() as f64 / f64::from(slots.max(1));
        let base_ms = (self.typical_service_us / 1e3 * (1.0 + waves)).clamp(250.0, 60_000.0);
        let jitter = id.seq.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 48;
        (base_ms * (1.0 + jitter as f64 / 65_536.0)) as u32
    }
}
