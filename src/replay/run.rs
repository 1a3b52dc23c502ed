//! Replays a trace through a policy in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, VecDeque},
    str::FromStr,
    time::Instant,
};

use hdrhistogram::Histogram;

use crate::{
    core::{
        endpoint::{EndpointSpec, LoadReport},
        length::AnswerLength,
        lifecycle::{Lifecycle, Stage},
        scheduler::{Action, EventWindow, Input, OrgSpec, PolicySettings, PoolSpec, Scheduler},
        shedding::{HeldLevel, LevelRequest, level_needed},
    },
    entry::registry::{MAX_ANSWER_LENGTHS, is_waiting},
    prelude::{Incarnation, Micros, Name, Registration, RequestId, RequestMeta},
    replay::{
        baseline::{Baseline, Kind},
        bound,
        checker::{Checker, FinalOutcome},
        engine::{Computed, Engine, Job, StepEvent},
        outcome::{PolicyOutcome, ReplayOutcome, TierOutcome},
        trace::{Line, Trace, TraceFault},
    },
};

const ENTRY: Incarnation = Incarnation(1);
const LEADER: Incarnation = Incarnation(1);
const TICK_INTERVAL_US: Micros = 20_000;
const REPORT_INTERVAL_US: Micros = 1_000_000;
/// Age of a load report on arrival, unless reports are stale.
const REPORT_LAG_US: Micros = 500_000;
const PROGRESS_INTERVAL_US: Micros = 200_000;
/// Delay from a grant to the first byte at the endpoint.
const SEND_DELAY_US: Micros = 1_000;
/// Extra delay to claim the idempotency key of a request that is not repeatable.
const CLAIM_DELAY_US: Micros = 20_000;
const QUARANTINE_US: Micros = 1_000_000;
/// While reports are stale, cache events whose number is a multiple of this are lost.
const MISSED_EVENT_INTERVAL: u64 = 5;
const BREACHES_SHOWN: usize = 5;
/// How long before a declared event its share of slots is reserved.
const RESERVE_LEAD_US: Micros = 5_000_000;
/// Share of slots reserved for the tiers of a declared event.
const RESERVED_SHARE: f64 = 0.3;

/// A policy that can be replayed.
#[derive(Clone, Debug, PartialEq)]
pub enum Policy {
    /// The production scheduler, with its settings.
    Scheduler(String, Box<PolicySettings>),
    /// A simple policy to compare with.
    Baseline(Kind),
}

/// Names of the policies on the command line and in the output.
pub const POLICIES: [&str; 5] = [
    "ryevalve",
    "round-robin",
    "random-two",
    "least-load",
    "fifo",
];

impl FromStr for Policy {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        Ok(match text {
            "ryevalve" => Self::Scheduler(text.to_owned(), Box::default()),
            "round-robin" => Self::Baseline(Kind::RoundRobin),
            "random-two" => Self::Baseline(Kind::RandomTwo),
            "least-load" => Self::Baseline(Kind::LeastLoad),
            "fifo" => Self::Baseline(Kind::Fifo),
            _ => return Err(()),
        })
    }
}

impl Policy {
    fn name(&self) -> &str {
        match self {
            Self::Scheduler(name, _) => name,
            Self::Baseline(Kind::RoundRobin) => "round-robin",
            Self::Baseline(Kind::RandomTwo) => "random-two",
            Self::Baseline(Kind::LeastLoad) => "least-load",
            Self::Baseline(Kind::Fifo) => "fifo",
        }
    }
}

/// Replays a trace through each of the policies and computes the upper bound.
pub fn replay(trace: &Trace, policies: &[Policy]) -> ReplayOutcome {
    ReplayOutcome {
        policies: policies.iter().map(|p| replay_one(trace, p)).collect(),
        bound: bound::bound(trace),
    }
}

/// Replays a trace through one policy.
pub fn replay_one(trace: &Trace, policy: &Policy) -> PolicyOutcome {
    Replay::new(trace, policy).run()
}

/// The policy instance that decides for one pool.
enum PoolPolicy {
    Scheduler(Box<Scheduler>),
    Baseline(Box<Baseline>),
}

impl PoolPolicy {
    fn new(policy: &Policy, trace: &Trace, spec: PoolSpec, prior_tokens: u32) -> Self {
        match policy {
            Policy::Scheduler(_, settings) => {
                let settings = PolicySettings {
                    goodput_weight: trace.header.goodput_weight,
                    wasted_prefill_weight: trace.header.wasted_prefill_weight,
                    block_tokens: trace.header.block_tokens,
                    prior_output_tokens: prior_tokens,
                    ..PolicySettings::clone(settings)
                };
                let mut scheduler = Scheduler::new(LEADER, settings);
                scheduler.configure(spec);
                scheduler.set_confirming_instances(vec![ENTRY]);
                Self::Scheduler(Box::new(scheduler))
            }
            Policy::Baseline(kind) => {
                Self::Baseline(Box::new(Baseline::new(*kind, &spec, prior_tokens)))
            }
        }
    }

    fn handle(&mut self, now_us: Micros, input: Input) {
        match self {
            Self::Scheduler(scheduler) => scheduler.handle(now_us, input),
            Self::Baseline(baseline) => baseline.handle(now_us, input),
        }
    }

    fn returned(&mut self, now_us: Micros, registration: Registration, meta: RequestMeta) {
        match self {
            Self::Scheduler(scheduler) => scheduler.handle(now_us, Input::Returned(meta.id)),
            Self::Baseline(baseline) => baseline.returned(now_us, registration, meta),
        }
    }

    fn tick(&mut self, now_us: Micros) {
        if let Self::Scheduler(scheduler) = self {
            scheduler.tick(now_us);
        }
    }

    fn decide(&mut self, now_us: Micros, out: &mut Vec<Action>) {
        match self {
            Self::Scheduler(scheduler) => scheduler.decide(now_us, out),
            Self::Baseline(baseline) => baseline.decide(now_us, out),
        }
    }
}

/// An event at a point in virtual time. Requests, engines and faults are given by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives.
    Arrival(usize),
    /// A step ends at an engine of this generation.
    Step(usize, u32),
    /// A granted request reaches an engine.
    Send(usize, usize),
    /// The deadline of a request passes.
    Deadline(usize),
    /// A fault starts (`true`) or ends.
    Fault(usize, bool),
    /// The endpoints report their load and cache events.
    Report,
    /// The policies handle their periodic work.
    Tick,
}

/// State of an unfinished request at the instance that received it.
struct RequestState {
    lifecycle: Lifecycle,
    rank: u8,
    pool: usize,
    endpoint: Option<usize>,
    /// Time of the first token.
    first_us: Option<Micros>,
    /// Time of the last progress report to the policy.
    reported_us: Micros,
    /// Tokens generated since that report.
    tokens: u32,
}

/// A replay in progress. Pools, engines and requests are referred to by index.
struct Replay<'t> {
    trace: &'t Trace,
    policy: &'t Policy,
    pools: Vec<Name>,
    pool_policies: Vec<PoolPolicy>,
    specs: Vec<PoolSpec>,
    /// Answer length assumed at first in each pool, in tokens.
    prior_answer_tokens: Vec<u32>,
    engines: Vec<Engine>,
    /// Number of crashes of each engine; a step scheduled before a crash is ignored.
    generations: Vec<u32>,
    engine_by_name: HashMap<Name, usize>,
    /// Time, running and waiting requests of the load samples of each engine, the oldest first.
    loads: Vec<VecDeque<(Micros, u32, u32)>>,
    /// Number of the last cache event read from each engine.
    last_cache_seq: Vec<u64>,
    /// Scheduled events, ordered by time and then by the order in which they were scheduled.
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    next_event: u64,
    request_states: BTreeMap<usize, RequestState>,
    registration: Registration,
    /// Shedding levels that the receiving instance holds, for each pool.
    levels: Vec<HeldLevel>,
    /// Whether the leader has crashed and no successor has started.
    leaderless: bool,
    store_down: bool,
    checker: Checker,
    computed: Computed,
    /// Prompt tokens computed for answers that were late or cut off.
    discarded_tokens: u64,
    tiers: Vec<TierOutcome>,
    /// Requests answered in time.
    answered_in_time: Vec<usize>,
    /// Wall-clock time per action of a decision, in nanoseconds.
    decision_ns: Histogram<u64>,
    actions: Vec<Action>,
    /// Requests of the trace without a final outcome.
    unfinished: usize,
    /// Pool and length of recent answers, which the receiving instance passes to the next leader.
    observed_lengths: VecDeque<(usize, AnswerLength)>,
}

impl<'t> Replay<'t> {
    fn new(trace: &'t Trace, policy: &'t Policy) -> Self {
        let header = &trace.header;
        let mut pools: Vec<Name> = header.services.values().cloned().collect();
        pools.sort_unstable();
        pools.dedup();
        let specs: Vec<PoolSpec> = pools.iter().map(|p| pool_spec(trace, p)).collect();
        let prior_answer_tokens: Vec<u32> = pools.iter().map(|p| prior_tokens(trace, p)).collect();
        let pool_policies = specs.iter().zip(&prior_answer_tokens);
        let pool_policies =
            pool_policies.map(|(s, prior)| PoolPolicy::new(policy, trace, s.clone(), *prior));
        let engines = header.endpoints.iter();
        let engines: Vec<Engine> = engines
            .map(|e| Engine::new(e.clone(), header.block_tokens))
            .collect();
        let names = header.endpoints.iter().enumerate();
        let mut tiers = header.tiers.clone();
        tiers.sort_by_key(|t| t.rank);
        Self {
            trace,
            policy,
            pool_policies: pool_policies.collect(),
            levels: vec![HeldLevel::default(); pools.len()],
            pools,
            specs,
            prior_answer_tokens,
            generations: vec![0; engines.len()],
            loads: vec![VecDeque::new(); engines.len()],
            last_cache_seq: vec![0; engines.len()],
            engines,
            engine_by_name: names.map(|(index, e)| (e.name.clone(), index)).collect(),
            events: BinaryHeap::new(),
            next_event: 0,
            request_states: BTreeMap::new(),
            registration: Registration {
                entry: ENTRY,
                epoch: 1,
            },
            leaderless: false,
            store_down: false,
            checker: Checker::default(),
            computed: Computed::default(),
            discarded_tokens: 0,
            tiers: tiers
                .into_iter()
                .map(|t| TierOutcome {
                    tier: t.name,
                    ..TierOutcome::default()
                })
                .collect(),
            answered_in_time: Vec::new(),
            decision_ns: Histogram::new_with_bounds(1, 10_000_000_000, 2)
                .unwrap_or_else(|_| unreachable!("the bounds are valid")),
            actions: Vec::new(),
            unfinished: trace.requests.len(),
            observed_lengths: VecDeque::new(),
        }
    }

    fn run(mut self) -> PolicyOutcome {
        for pool in 0..self.pools.len() {
            let attach = Input::Attach(self.registration);
            self.pool_policies[pool].handle(0, attach);
        }
        for (index, line) in self.trace.requests.iter().enumerate() {
            self.schedule(line.at_ms * 1_000, Event::Arrival(index));
        }
        for (index, fault) in self.trace.header.faults.iter().enumerate() {
            if let Some((from_ms, until_ms)) = fault_period(fault) {
                self.schedule(from_ms * 1_000, Event::Fault(index, true));
                self.schedule(until_ms * 1_000, Event::Fault(index, false));
            }
        }
        self.schedule(0, Event::Tick);
        self.schedule(REPORT_INTERVAL_US, Event::Report);
        while self.unfinished > 0 {
            let Some(Reverse((now_us, _, event))) = self.events.pop() else {
                break;
            };
            self.handle_event(now_us, event);
            // All events of one instant are applied before the policies decide.
            let next_us = self.events.peek().map(|Reverse((at_us, ..))| *at_us);
            if next_us != Some(now_us) {
                self.decide(now_us);
            }
        }
        self.finish()
    }

    fn schedule(&mut self, at_us: Micros, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at_us, self.next_event, event)));
    }

    fn handle_event(&mut self, now_us: Micros, event: Event) {
        match event {
            Event::Arrival(request) => self.handle_arrival(now_us, request),
            Event::Step(engine, generation) => self.complete_step(now_us, engine, generation),
            Event::Send(request, engine) => self.send(now_us, request, engine),
            Event::Deadline(request) => self.handle_deadline(now_us, request),
            Event::Fault(index, active) => self.apply_fault(now_us, index, active),
            Event::Report => self.report_endpoints(now_us),
            Event::Tick => {
                self.pool_policies.iter_mut().for_each(|p| p.tick(now_us));
                self.schedule(now_us + TICK_INTERVAL_US, Event::Tick);
            }
        }
    }

    fn line(&self, request: usize) -> &'t Line {
        &self.trace.requests[request]
    }

    fn meta(&self, now_us: Micros, request: usize) -> RequestMeta {
        let line = self.line(request);
        let arrived_us = line.at_ms * 1_000;
        let deadline_us = arrived_us + line.deadline_ms * 1_000;
        RequestMeta {
            id: request_id(request),
            organisation: line.organisation.clone(),
            rank: self.request_states[&request].rank,
            service: line.service.clone(),
            prompt_tokens: line.prompt_tokens,
            prefix: line.prefix.clone(),
            max_output_tokens: None,
            repeatable: line.repeatable,
            waited_us: now_us - arrived_us,
            remaining_us: deadline_us.saturating_sub(now_us),
        }
    }

    fn handle_arrival(&mut self, now_us: Micros, request: usize) {
        let line = self.line(request);
        let rank = self.trace.header.rank(&line.tier).unwrap_or(0);
        let pool = self.trace.header.services.get(&line.service);
        let pool = pool.and_then(|p| self.pools.iter().position(|known| known == p));
        let pool = pool.unwrap_or(0);
        self.tiers[usize::from(rank)].offered += 1;
        let pool_name = self.pools[pool].clone();
        self.checker.arrived(request, rank, &pool_name);
        let state = RequestState {
            lifecycle: Lifecycle::new(self.registration),
            rank,
            pool,
            endpoint: None,
            first_us: None,
            reported_us: 0,
            tokens: 0,
        };
        self.request_states.insert(request, state);
        if self.levels[pool].refuses(now_us, rank, self.tiers.len()) {
            return self.shed(now_us, request);
        }
        self.schedule(now_us + line.deadline_ms * 1_000, Event::Deadline(request));
        if !self.leaderless {
            let add = Input::Add(self.registration, self.meta(now_us, request));
            self.pool_policies[pool].handle(now_us, add);
        }
    }

    fn decide(&mut self, now_us: Micros) {
        if self.leaderless {
            return;
        }
        for pool in 0..self.pool_policies.len() {
            let mut actions = std::mem::take(&mut self.actions);
            let started_at = Instant::now();
            self.pool_policies[pool].decide(now_us, &mut actions);
            if !actions.is_empty() {
                let ns_per_action = started_at.elapsed().as_nanos() as u64 / actions.len() as u64;
                self.decision_ns.saturating_record(ns_per_action.max(1));
            }
            for action in actions.drain(..) {
                self.apply_action(now_us, pool, action);
            }
            self.actions = actions;
        }
    }

    fn apply_action(&mut self, now_us: Micros, pool: usize, action: Action) {
        match action {
            Action::Grant {
                registration,
                id,
                endpoint,
                ..
            } => self.grant(now_us, request_index(id), registration, &endpoint),
            Action::Shed { id, chain, .. } => {
                let request = request_index(id);
                let rank = self.request_states[&request].rank;
                let tiers = self.tiers.len();
                if self.levels[pool].may_shed(now_us, LEADER, chain, rank, tiers) {
                    self.shed(now_us, request);
                }
            }
            Action::RequestLevel(level_request) => {
                let held = self.hold_level(now_us, pool, level_request);
                self.pool_policies[pool]
                    .handle(now_us, Input::LevelReply(ENTRY, level_request, held));
            }
        }
    }

    fn hold_level(&mut self, now_us: Micros, pool: usize, level_request: LevelRequest) -> bool {
        let tiers = self.tiers.len();
        // Requests of the tiers that the level covers.
        let has_waiting = self.request_states.values().any(|s| {
            let cleared = level_needed(s.rank, tiers) < level_request.level;
            s.pool == pool && cleared && is_waiting(s.lifecycle.stage())
        });
        self.levels[pool].try_hold(now_us, level_request, has_waiting)
    }

    fn grant(
        &mut self,
        now_us: Micros,
        request: usize,
        granted_under: Registration,
        endpoint: &Name,
    ) {
        let repeatable = self.line(request).repeatable;
        let Some(state) = self.request_states.get_mut(&request) else {
            return;
        };
        if state.lifecycle.grant(granted_under).is_err() {
            return;
        }
        let engine = self.engine_by_name[endpoint];
        state.endpoint = Some(engine);
        if !repeatable && self.store_down {
            // The key cannot be claimed, so the request is refused at once without having run.
            return self.refuse(now_us, request);
        }
        let claim_us = if repeatable { 0 } else { CLAIM_DELAY_US };
        self.schedule(
            now_us + SEND_DELAY_US + claim_us,
            Event::Send(request, engine),
        );
    }

    fn send(&mut self, now_us: Micros, request: usize, engine: usize) {
        let Some(state) = self.request_states.get_mut(&request) else {
            return;
        };
        if state.lifecycle.stage() != Stage::Granted {
            return;
        }
        if self.engines[engine].down {
            let returned = state.lifecycle.return_grant().is_ok();
            let pool = state.pool;
            let meta = self.meta(now_us, request);
            let name = self.engines[engine].spec.name.clone();
            if returned && !self.leaderless {
                let quarantine = Input::Quarantine(name, now_us + QUARANTINE_US);
                self.pool_policies[pool].handle(now_us, quarantine);
                self.pool_policies[pool].returned(now_us, self.registration, meta);
            }
            return;
        }
        if state.lifecycle.send().is_err() {
            return;
        }
        let rank = state.rank;
        self.checker.sent(request, true);
        let line = self.line(request);
        let job = Job::new(
            request,
            rank,
            line.prefix.clone(),
            line.prompt_tokens,
            line.output_tokens,
        );
        self.engines[engine].submit(job);
        self.begin_step(now_us, engine);
    }

    fn begin_step(&mut self, now_us: Micros, engine: usize) {
        if let Some(end_us) = self.engines[engine].begin_step(now_us) {
            let generation = self.generations[engine];
            self.schedule(end_us, Event::Step(engine, generation));
        }
    }

    fn complete_step(&mut self, now_us: Micros, engine: usize, generation: u32) {
        if generation != self.generations[engine] {
            return;
        }
        let mut events = Vec::new();
        self.engines[engine].end_step(&mut self.computed, &mut events);
        for event in events {
            match event {
                StepEvent::FirstToken(request) => self.handle_first_token(now_us, request),
                StepEvent::Token(request) => self.handle_token(now_us, request),
                StepEvent::Done(request, computed) => {
                    self.handle_completion(now_us, request, computed)
                }
            }
        }
        self.begin_step(now_us, engine);
    }

    fn handle_first_token(&mut self, now_us: Micros, request: usize) {
        let Some(state) = self.request_states.get_mut(&request) else {
            return;
        };
        state.first_us = Some(now_us);
        state.reported_us = now_us;
        let pool = state.pool;
        self.notify_policy(now_us, pool, Input::FirstToken(request_id(request)));
    }

    fn handle_token(&mut self, now_us: Micros, request: usize) {
        let Some(state) = self.request_states.get_mut(&request) else {
            return;
        };
        state.tokens += 1;
        let span_us = now_us - state.reported_us;
        if span_us < PROGRESS_INTERVAL_US {
            return;
        }
        state.reported_us = now_us;
        let tokens = std::mem::take(&mut state.tokens);
        let pool = state.pool;
        self.notify_policy(
            now_us,
            pool,
            Input::Progress(request_id(request), tokens, span_us),
        );
    }

    fn handle_completion(&mut self, now_us: Micros, request: usize, computed: u32) {
        let line = self.line(request);
        let Some(state) = self.request_states.remove(&request) else {
            return;
        };
        let rank = usize::from(state.rank);
        let in_time = now_us <= (line.at_ms + line.deadline_ms) * 1_000;
        if in_time {
            self.tiers[rank].in_time += 1;
            self.answered_in_time.push(request);
        } else {
            self.tiers[rank].late += 1;
            self.discarded_tokens += u64::from(computed);
        }
        self.checker.finish_request(request, FinalOutcome::Answer);
        self.unfinished -= 1;
        self.observed_lengths
            .push_back((state.pool, observed_length(line, state.rank)));
        if self.observed_lengths.len() > MAX_ANSWER_LENGTHS {
            self.observed_lengths.pop_front();
        }
        let tokens = Some(line.output_tokens);
        self.notify_policy(
            now_us,
            state.pool,
            Input::Finished(request_id(request), tokens),
        );
    }

    /// Passes an input to the policy of a pool; it is lost while there is no leader.
    fn notify_policy(&mut self, now_us: Micros, pool: usize, input: Input) {
        if !self.leaderless {
            self.pool_policies[pool].handle(now_us, input);
        }
    }

    fn shed(&mut self, now_us: Micros, request: usize) {
        let Some(mut state) = self.request_states.remove(&request) else {
            return;
        };
        if state.lifecycle.shed().is_err() {
            self.request_states.insert(request, state);
            return;
        }
        self.tiers[usize::from(state.rank)].shed += 1;
        self.checker.shed(now_us, request);
        self.unfinished -= 1;
        self.notify_policy(now_us, state.pool, Input::Withdraw(request_id(request)));
    }

    /// Refuses a request whose key could not be claimed: it did not run, and it does not count as shed.
    fn refuse(&mut self, now_us: Micros, request: usize) {
        if let Some(state) = self.request_states.remove(&request) {
            self.tiers[usize::from(state.rank)].refused += 1;
            self.checker.finish_request(request, FinalOutcome::NotRun);
            self.unfinished -= 1;
            self.notify_policy(now_us, state.pool, Input::Withdraw(request_id(request)));
        }
    }

    fn handle_deadline(&mut self, now_us: Micros, request: usize) {
        let unsent = |state: &&RequestState| is_waiting(state.lifecycle.stage());
        if self.request_states.get(&request).filter(unsent).is_none() {
            return;
        }
        if let Some(state) = self.request_states.remove(&request) {
            self.tiers[usize::from(state.rank)].expired += 1;
            self.checker.finish_request(request, FinalOutcome::NotRun);
            self.unfinished -= 1;
            self.notify_policy(now_us, state.pool, Input::Withdraw(request_id(request)));
        }
    }

    fn apply_fault(&mut self, now_us: Micros, index: usize, active: bool) {
        match &self.trace.header.faults[index] {
            TraceFault::Slow {
                endpoint, factor, ..
            } => {
                let engine = self.engine_by_name[endpoint];
                self.engines[engine].slowdown = if active { *factor } else { 1.0 };
            }
            TraceFault::Death { endpoint, .. } => {
                let engine = self.engine_by_name[endpoint];
                if active {
                    self.crash_engine(now_us, engine);
                } else {
                    self.engines[engine].down = false;
                }
            }
            TraceFault::LeaderDeath { .. } if active => self.leaderless = true,
            TraceFault::LeaderDeath { .. } => self.start_next_leader(now_us),
            TraceFault::StoreOutage { .. } => self.store_down = active,
            TraceFault::StaleReports { .. } | TraceFault::Burst { .. } => {}
        }
    }

    fn crash_engine(&mut self, now_us: Micros, engine: usize) {
        self.generations[engine] += 1;
        let name = self.engines[engine].spec.name.clone();
        for (request, computed) in self.engines[engine].crash() {
            self.discarded_tokens += u64::from(computed);
            if let Some(state) = self.request_states.remove(&request) {
                self.tiers[usize::from(state.rank)].unknown += 1;
                self.checker
                    .finish_request(request, FinalOutcome::OutcomeUnknown);
                self.unfinished -= 1;
                let quarantine = Input::Quarantine(name.clone(), now_us + QUARANTINE_US);
                self.notify_policy(now_us, state.pool, quarantine);
                self.notify_policy(
                    now_us,
                    state.pool,
                    Input::Finished(request_id(request), None),
                );
            }
        }
    }

    /// Starts the next leader, which knows only what the receiving instance registers with it.
    fn start_next_leader(&mut self, now_us: Micros) {
        self.leaderless = false;
        self.registration.epoch += 1;
        for pool in 0..self.pools.len() {
            let spec = self.specs[pool].clone();
            self.pool_policies[pool] = PoolPolicy::new(
                self.policy,
                self.trace,
                spec,
                self.prior_answer_tokens[pool],
            );
            let attach = Input::Attach(self.registration);
            self.pool_policies[pool].handle(now_us, attach);
            for (length_pool, length) in &self.observed_lengths {
                if *length_pool == pool {
                    self.pool_policies[pool].handle(now_us, Input::ObservedLength(length.clone()));
                }
            }
        }
        let to_register: Vec<usize> = self.request_states.keys().copied().collect();
        for request in to_register {
            let meta = self.meta(now_us, request);
            let registration = self.registration;
            let Some(state) = self.request_states.get_mut(&request) else {
                continue;
            };
            state.lifecycle.reregister(registration);
            let input = match (state.lifecycle.stage(), state.endpoint) {
                (Stage::Waiting, _) => Input::Add(registration, meta),
                (_, Some(engine)) => {
                    let name = self.engines[engine].spec.name.clone();
                    Input::Adopt(registration, meta, name)
                }
                _ => continue,
            };
            self.pool_policies[state.pool].handle(now_us, input);
        }
    }

    fn report_endpoints(&mut self, now_us: Micros) {
        self.schedule(now_us + REPORT_INTERVAL_US, Event::Report);
        let stale = self.trace.header.faults.iter().find_map(|f| match f {
            TraceFault::StaleReports { lag_ms } => Some(lag_ms * 1_000),
            _ => None,
        });
        let lag_us = stale.unwrap_or(REPORT_LAG_US);
        for engine in 0..self.engines.len() {
            self.report_load(now_us, engine, lag_us);
            self.report_cache(now_us, engine, stale.is_some());
        }
    }

    fn report_load(&mut self, now_us: Micros, engine: usize, lag_us: Micros) {
        let (running, waiting) = self.engines[engine].load();
        let loads = &mut self.loads[engine];
        loads.push_back((now_us, running, waiting));
        while loads.len() > 1 && loads[1].0 + lag_us <= now_us {
            loads.pop_front();
        }
        let Some(&(at_us, running, waiting)) = loads.front() else {
            return;
        };
        if self.engines[engine].down {
            return;
        }
        let report = LoadReport {
            running,
            waiting,
            age_us: now_us - at_us,
        };
        let name = self.engines[engine].spec.name.clone();
        let pool = self.pool_of(engine);
        self.notify_policy(now_us, pool, Input::Load(name, report));
    }

    fn report_cache(&mut self, now_us: Micros, engine: usize, lossy: bool) {
        let after_seq = self.last_cache_seq[engine];
        let events: Vec<_> = self.engines[engine]
            .events_after(after_seq)
            .cloned()
            .collect();
        let name = self.engines[engine].spec.name.clone();
        let pool = self.pool_of(engine);
        for event in events {
            self.last_cache_seq[engine] = event.seq;
            if lossy && event.seq.is_multiple_of(MISSED_EVENT_INTERVAL) {
                continue;
            }
            self.notify_policy(now_us, pool, Input::Cache(name.clone(), event));
        }
    }

    fn pool_of(&self, engine: usize) -> usize {
        let pool = &self.engines[engine].spec.pool;
        self.pools.iter().position(|p| p == pool).unwrap_or(0)
    }

    fn finish(mut self) -> PolicyOutcome {
        for tier in &mut self.tiers {
            tier.goodput = tier.in_time as f64 / tier.offered.max(1) as f64;
        }
        let breaches = self.checker.finish();
        let answered_in_time = self
            .answered_in_time
            .iter()
            .map(|r| &self.trace.requests[*r]);
        let us = |nanos: u64| nanos as f64 / 1e3;
        PolicyOutcome {
            policy: self.policy.name().to_owned(),
            tiers: self.tiers,
            wasted_prefill_tokens: self.discarded_tokens + self.computed.recomputed,
            thrown_away_tokens: self.discarded_tokens,
            computed_again_tokens: self.computed.recomputed,
            prefill_tokens: self.computed.total,
            prefill_tokens_min_of_answered: bound::min_prefill_tokens(
                &self.trace.header,
                answered_in_time,
            ),
            violations: breaches.len() as u64,
            breaches: breaches.into_iter().take(BREACHES_SHOWN).collect(),
            decision_us_p50: us(self.decision_ns.value_at_quantile(0.5)),
            decision_us_p99: us(self.decision_ns.value_at_quantile(0.99)),
        }
    }
}

fn observed_length(line: &Line, rank: u8) -> AnswerLength {
    AnswerLength {
        organisation: line.organisation.clone(),
        rank,
        prompt_tokens: line.prompt_tokens,
        output_tokens: line.output_tokens,
    }
}

fn request_id(request: usize) -> RequestId {
    RequestId {
        entry: ENTRY,
        seq: request as u64,
    }
}

fn request_index(id: RequestId) -> usize {
    id.seq as usize
}

fn fault_period(fault: &TraceFault) -> Option<(u64, u64)> {
    match fault {
        TraceFault::Slow {
            at_ms, until_ms, ..
        }
        | TraceFault::Death {
            at_ms, until_ms, ..
        }
        | TraceFault::LeaderDeath { at_ms, until_ms }
        | TraceFault::StoreOutage { at_ms, until_ms } => Some((*at_ms, *until_ms)),
        TraceFault::StaleReports { .. } | TraceFault::Burst { .. } => None,
    }
}

/// Returns the answer length, in tokens, assumed before any answer was observed. Plain services answer one token.
fn prior_tokens(trace: &Trace, pool: &Name) -> u32 {
    let plain = trace
        .header
        .endpoints
        .iter()
        .any(|e| e.pool == *pool && e.batch_slope == 0.0);
    if plain { 1 } else { 60 }
}

fn pool_spec(trace: &Trace, pool: &Name) -> PoolSpec {
    let header = &trace.header;
    let endpoints = header.endpoints.iter().filter(|e| e.pool == *pool);
    PoolSpec {
        tiers: header.tiers.len(),
        organisations: header
            .organisations
            .iter()
            .map(|o| OrgSpec {
                name: o.name.clone(),
                weight: o.weight,
                max_running: None,
            })
            .collect(),
        endpoints: endpoints
            .map(|e| EndpointSpec {
                name: e.name.clone(),
                hall: e.hall.clone(),
                slots: e.slots,
                prefill_tokens_per_s: e.prefill_tokens_per_s,
                decode_step_us: e.decode_step_us,
                cache_tokens: e.cache_tokens,
                draining: false,
            })
            .collect(),
        events: header
            .events
            .iter()
            .filter(|e| e.pool == *pool)
            .map(|e| EventWindow {
                name: e.name.clone(),
                starts_us: e.at_ms * 1_000,
                ends_us: (e.at_ms + e.duration_ms) * 1_000,
                rank: header.rank(&e.tier).unwrap_or(0),
                keep_from_us: (e.at_ms * 1_000).saturating_sub(RESERVE_LEAD_US),
                keep_share: RESERVED_SHARE,
            })
            .collect(),
    }
}
