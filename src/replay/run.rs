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
        checker::{Checker, LastWord},
        engine::{Computed, Engine, Job, StepEvent},
        outcome::{PolicyOutcome, ReplayOutcome, TierOutcome},
        trace::{Line, Trace, TraceFault},
    },
};

const ENTRY: Incarnation = Incarnation(1);
const LEADER: Incarnation = Incarnation(1);
const TICK_US: Micros = 20_000;
const REPORT_US: Micros = 1_000_000;
const REPORT_LAG_US: Micros = 500_000;
const PROGRESS_US: Micros = 200_000;
/// From a grant to the first byte at the endpoint.
const SEND_US: Micros = 1_000;
/// More for the claim of a key.
const CLAIM_US: Micros = 20_000;
const SUSPECT_US: Micros = 1_000_000;
/// Every n-th cache event is missed under stale reports.
const MISSED_EVENT: u64 = 5;
const BREACHES_SHOWN: usize = 5;
const KEEP_ROOM_US: Micros = 5_000_000;
const KEEP_SHARE: f64 = 0.3;

/// A policy that can be replayed.
#[derive(Clone, Debug, PartialEq)]
pub enum Policy {
    /// The scheduler that serves, with its settings.
    Scheduler(String, Box<PolicySettings>),
    /// A simple one.
    Baseline(Kind),
}

/// Names of policies, as they are written.
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

/// Replays a trace through some policies.
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

/// One pool's decider.
enum Decider {
    Scheduler(Box<Scheduler>),
    Baseline(Box<Baseline>),
}

impl Decider {
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Step(usize, u32),
    Send(usize, usize),
    Deadline(usize),
    Fault(usize, bool),
    Report,
    Tick,
}

/// One request at the entry.
struct Entry {
    lifecycle: Lifecycle,
    rank: u8,
    pool: usize,
    endpoint: Option<usize>,
    first_us: Option<Micros>,
    reported_us: Micros,
    tokens: u32,
}

struct Replay<'t> {
    trace: &'t Trace,
    policy: &'t Policy,
    pools: Vec<Name>,
    deciders: Vec<Decider>,
    specs: Vec<PoolSpec>,
    priors: Vec<u32>,
    engines: Vec<Engine>,
    generations: Vec<u32>,
    by_name: HashMap<Name, usize>,
    loads: Vec<VecDeque<(Micros, u32, u32)>>,
    events_seen: Vec<u64>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    next_event: u64,
    entries: BTreeMap<usize, Entry>,
    registration: Registration,
    levels: Vec<HeldLevel>,
    leaderless: bool,
    store_down: bool,
    checker: Checker,
    computed: Computed,
    thrown_away: u64,
    tiers: Vec<TierOutcome>,
    answered: Vec<usize>,
    decisions: Histogram<u64>,
    actions: Vec<Action>,
    open: usize,
    /// Lengths that the entry remembers, for the next leader.
    seen: VecDeque<(usize, AnswerLength)>,
}

impl<'t> Replay<'t> {
    fn new(trace: &'t Trace, policy: &'t Policy) -> Self {
        let header = &trace.header;
        let mut pools: Vec<Name> = header.services.values().cloned().collect();
        pools.sort_unstable();
        pools.dedup();
        let specs: Vec<PoolSpec> = pools.iter().map(|p| pool_spec(trace, p)).collect();
        let priors: Vec<u32> = pools.iter().map(|p| prior_tokens(trace, p)).collect();
        let deciders = specs.iter().zip(&priors);
        let deciders = deciders.map(|(s, prior)| Decider::new(policy, trace, s.clone(), *prior));
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
            deciders: deciders.collect(),
            levels: vec![HeldLevel::default(); pools.len()],
            pools,
            specs,
            priors,
            generations: vec![0; engines.len()],
            loads: vec![VecDeque::new(); engines.len()],
            events_seen: vec![0; engines.len()],
            engines,
            by_name: names.map(|(index, e)| (e.name.clone(), index)).collect(),
            events: BinaryHeap::new(),
            next_event: 0,
            entries: BTreeMap::new(),
            registration: Registration {
                entry: ENTRY,
                epoch: 1,
            },
            leaderless: false,
            store_down: false,
            checker: Checker::default(),
            computed: Computed::default(),
            thrown_away: 0,
            tiers: tiers
                .into_iter()
                .map(|t| TierOutcome {
                    tier: t.name,
                    ..TierOutcome::default()
                })
                .collect(),
            answered: Vec::new(),
            decisions: Histogram::new_with_bounds(1, 10_000_000_000, 2)
                .unwrap_or_else(|_| unreachable!("the bounds are valid")),
            actions: Vec::new(),
            open: trace.requests.len(),
            seen: VecDeque::new(),
        }
    }

    fn run(mut self) -> PolicyOutcome {
        for pool in 0..self.pools.len() {
            let attach = Input::Attach(self.registration);
            self.deciders[pool].handle(0, attach);
        }
        for (index, line) in self.trace.requests.iter().enumerate() {
            self.at(line.at_ms * 1_000, Event::Arrival(index));
        }
        for (index, fault) in self.trace.header.faults.iter().enumerate() {
            if let Some((from_ms, until_ms)) = fault_span(fault) {
                self.at(from_ms * 1_000, Event::Fault(index, true));
                self.at(until_ms * 1_000, Event::Fault(index, false));
            }
        }
        self.at(0, Event::Tick);
        self.at(REPORT_US, Event::Report);
        while self.open > 0 {
            let Some(Reverse((now_us, _, event))) = self.events.pop() else {
                break;
            };
            self.take(now_us, event);
            // Everything of one instant is known before anything is decided.
            let next_us = self.events.peek().map(|Reverse((at_us, ..))| *at_us);
            if next_us != Some(now_us) {
                self.decide(now_us);
            }
        }
        self.finish()
    }

    fn at(&mut self, at_us: Micros, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at_us, self.next_event, event)));
    }

    fn take(&mut self, now_us: Micros, event: Event) {
        match event {
            Event::Arrival(request) => self.arrive(now_us, request),
            Event::Step(engine, generation) => self.step(now_us, engine, generation),
            Event::Send(request, engine) => self.send(now_us, request, engine),
            Event::Deadline(request) => self.expire(now_us, request),
            Event::Fault(index, begins) => self.fault(now_us, index, begins),
            Event::Report => self.report(now_us),
            Event::Tick => {
                self.deciders.iter_mut().for_each(|d| d.tick(now_us));
                self.at(now_us + TICK_US, Event::Tick);
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
            id: id_of(request),
            organisation: line.organisation.clone(),
            rank: self.entries[&request].rank,
            service: line.service.clone(),
            prompt_tokens: line.prompt_tokens,
            prefix: line.prefix.clone(),
            max_output_tokens: None,
            repeatable: line.repeatable,
            waited_us: now_us - arrived_us,
            remaining_us: deadline_us.saturating_sub(now_us),
        }
    }

    fn arrive(&mut self, now_us: Micros, request: usize) {
        let line = self.line(request);
        let rank = self.trace.header.rank(&line.tier).unwrap_or(0);
        let pool = self.trace.header.services.get(&line.service);
        let pool = pool.and_then(|p| self.pools.iter().position(|known| known == p));
        let pool = pool.unwrap_or(0);
        self.tiers[usize::from(rank)].offered += 1;
        let pool_name = self.pools[pool].clone();
        self.checker.arrived(request, rank, &pool_name);
        let entry = Entry {
            lifecycle: Lifecycle::new(self.registration),
            rank,
            pool,
            endpoint: None,
            first_us: None,
            reported_us: 0,
            tokens: 0,
        };
        self.entries.insert(request, entry);
        if self.levels[pool].refuses(now_us, rank, self.tiers.len()) {
            return self.shed(now_us, request);
        }
        self.at(now_us + line.deadline_ms * 1_000, Event::Deadline(request));
        if !self.leaderless {
            let add = Input::Add(self.registration, self.meta(now_us, request));
            self.deciders[pool].handle(now_us, add);
        }
    }

    fn decide(&mut self, now_us: Micros) {
        if self.leaderless {
            return;
        }
        for pool in 0..self.deciders.len() {
            let mut actions = std::mem::take(&mut self.actions);
            let began = Instant::now();
            self.deciders[pool].decide(now_us, &mut actions);
            if !actions.is_empty() {
                let each = began.elapsed().as_nanos() as u64 / actions.len() as u64;
                self.decisions.saturating_record(each.max(1));
            }
            for action in actions.drain(..) {
                self.act(now_us, pool, action);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, now_us: Micros, pool: usize, action: Action) {
        match action {
            Action::Grant {
                registration,
                id,
                endpoint,
                ..
            } => self.grant(now_us, request_of(id), registration, &endpoint),
            Action::Shed { id, chain, .. } => {
                let request = request_of(id);
                let rank = self.entries[&request].rank;
                let tiers = self.tiers.len();
                if self.levels[pool].may_shed(now_us, LEADER, chain, rank, tiers) {
                    self.shed(now_us, request);
                }
            }
            Action::RequestLevel(ask) => {
                let held = self.hold_level(now_us, pool, ask);
                self.deciders[pool].handle(now_us, Input::LevelReply(ENTRY, ask, held));
            }
        }
    }

    fn hold_level(&mut self, now_us: Micros, pool: usize, ask: LevelRequest) -> bool {
        let tiers = self.tiers.len();
        let keeps = self.entries.values().any(|e| {
            let cleared = level_needed(e.rank, tiers) < ask.level;
            e.pool == pool && cleared && is_waiting(e.lifecycle.stage())
        });
        self.levels[pool].try_hold(now_us, ask, keeps)
    }

    fn grant(&mut self, now_us: Micros, request: usize, under: Registration, endpoint: &Name) {
        let repeatable = self.line(request).repeatable;
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        if entry.lifecycle.grant(under).is_err() {
            return;
        }
        let engine = self.by_name[endpoint];
        entry.endpoint = Some(engine);
        if !repeatable && self.store_down {
            // The key cannot be claimed: refused at once, and it did not run.
            return self.refuse(now_us, request);
        }
        let claim_us = if repeatable { 0 } else { CLAIM_US };
        self.at(now_us + SEND_US + claim_us, Event::Send(request, engine));
    }

    fn send(&mut self, now_us: Micros, request: usize, engine: usize) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        if entry.lifecycle.stage() != Stage::Granted {
            return;
        }
        if self.engines[engine].dead {
            let returned = entry.lifecycle.return_grant().is_ok();
            let pool = entry.pool;
            let meta = self.meta(now_us, request);
            let name = self.engines[engine].spec.name.clone();
            if returned && !self.leaderless {
                let suspect = Input::Quarantine(name, now_us + SUSPECT_US);
                self.deciders[pool].handle(now_us, suspect);
                self.deciders[pool].returned(now_us, self.registration, meta);
            }
            return;
        }
        if entry.lifecycle.send().is_err() {
            return;
        }
        let rank = entry.rank;
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
            self.at(end_us, Event::Step(engine, generation));
        }
    }

    fn step(&mut self, now_us: Micros, engine: usize, generation: u32) {
        if generation != self.generations[engine] {
            return;
        }
        let mut events = Vec::new();
        self.engines[engine].end_step(&mut self.computed, &mut events);
        for event in events {
            match event {
                StepEvent::FirstToken(request) => self.first_token(now_us, request),
                StepEvent::Token(request) => self.token(now_us, request),
                StepEvent::Done(request, computed) => self.done(now_us, request, computed),
            }
        }
        self.begin_step(now_us, engine);
    }

    fn first_token(&mut self, now_us: Micros, request: usize) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        entry.first_us = Some(now_us);
        entry.reported_us = now_us;
        let pool = entry.pool;
        self.tell(now_us, pool, Input::FirstToken(id_of(request)));
    }

    fn token(&mut self, now_us: Micros, request: usize) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        entry.tokens += 1;
        let span_us = now_us - entry.reported_us;
        if span_us < PROGRESS_US {
            return;
        }
        entry.reported_us = now_us;
        let tokens = std::mem::take(&mut entry.tokens);
        let pool = entry.pool;
        self.tell(
            now_us,
            pool,
            Input::Progress(id_of(request), tokens, span_us),
        );
    }

    fn done(&mut self, now_us: Micros, request: usize, computed: u32) {
        let line = self.line(request);
        let Some(entry) = self.entries.remove(&request) else {
            return;
        };
        let rank = usize::from(entry.rank);
        let in_time = now_us <= (line.at_ms + line.deadline_ms) * 1_000;
        if in_time {
            self.tiers[rank].in_time += 1;
            self.answered.push(request);
        } else {
            self.tiers[rank].late += 1;
            self.thrown_away += u64::from(computed);
        }
        self.checker.last_word(request, LastWord::Answer);
        self.open -= 1;
        self.seen
            .push_back((entry.pool, seen_length(line, entry.rank)));
        if self.seen.len() > MAX_ANSWER_LENGTHS {
            self.seen.pop_front();
        }
        let tokens = Some(line.output_tokens);
        self.tell(now_us, entry.pool, Input::Finished(id_of(request), tokens));
    }

    fn tell(&mut self, now_us: Micros, pool: usize, input: Input) {
        if !self.leaderless {
            self.deciders[pool].handle(now_us, input);
        }
    }

    fn shed(&mut self, now_us: Micros, request: usize) {
        let Some(mut entry) = self.entries.remove(&request) else {
            return;
        };
        if entry.lifecycle.shed().is_err() {
            self.entries.insert(request, entry);
            return;
        }
        self.tiers[usize::from(entry.rank)].shed += 1;
        self.checker.shed(now_us, request);
        self.open -= 1;
        self.tell(now_us, entry.pool, Input::Withdraw(id_of(request)));
    }

    /// The claim failed: refused as not run, which is no shedding.
    fn refuse(&mut self, now_us: Micros, request: usize) {
        if let Some(entry) = self.entries.remove(&request) {
            self.tiers[usize::from(entry.rank)].refused += 1;
            self.checker.last_word(request, LastWord::NotRun);
            self.open -= 1;
            self.tell(now_us, entry.pool, Input::Withdraw(id_of(request)));
        }
    }

    fn expire(&mut self, now_us: Micros, request: usize) {
        let unsent = |e: &&Entry| is_waiting(e.lifecycle.stage());
        if self.entries.get(&request).filter(unsent).is_none() {
            return;
        }
        if let Some(entry) = self.entries.remove(&request) {
            self.tiers[usize::from(entry.rank)].expired += 1;
            self.checker.last_word(request, LastWord::NotRun);
            self.open -= 1;
            self.tell(now_us, entry.pool, Input::Withdraw(id_of(request)));
        }
    }

    fn fault(&mut self, now_us: Micros, index: usize, begins: bool) {
        match &self.trace.header.faults[index] {
            TraceFault::Slow {
                endpoint, factor, ..
            } => {
                let engine = self.by_name[endpoint];
                self.engines[engine].slow = if begins { *factor } else { 1.0 };
            }
            TraceFault::Death { endpoint, .. } => {
                let engine = self.by_name[endpoint];
                if begins {
                    self.kill(now_us, engine);
                } else {
                    self.engines[engine].dead = false;
                }
            }
            TraceFault::LeaderDeath { .. } if begins => self.leaderless = true,
            TraceFault::LeaderDeath { .. } => self.next_leader(now_us),
            TraceFault::StoreOutage { .. } => self.store_down = begins,
            TraceFault::StaleReports { .. } | TraceFault::Burst { .. } => {}
        }
    }

    fn kill(&mut self, now_us: Micros, engine: usize) {
        self.generations[engine] += 1;
        let name = self.engines[engine].spec.name.clone();
        for (request, computed) in self.engines[engine].die() {
            self.thrown_away += u64::from(computed);
            if let Some(entry) = self.entries.remove(&request) {
                self.tiers[usize::from(entry.rank)].unknown += 1;
                self.checker.last_word(request, LastWord::OutcomeUnknown);
                self.open -= 1;
                let suspect = Input::Quarantine(name.clone(), now_us + SUSPECT_US);
                self.tell(now_us, entry.pool, suspect);
                self.tell(now_us, entry.pool, Input::Finished(id_of(request), None));
            }
        }
    }

    /// The next leader knows only what the entry registers with it.
    fn next_leader(&mut self, now_us: Micros) {
        self.leaderless = false;
        self.registration.epoch += 1;
        for pool in 0..self.pools.len() {
            let spec = self.specs[pool].clone();
            self.deciders[pool] = Decider::new(self.policy, self.trace, spec, self.priors[pool]);
            let attach = Input::Attach(self.registration);
            self.deciders[pool].handle(now_us, attach);
            for (of, seen) in &self.seen {
                if *of == pool {
                    self.deciders[pool].handle(now_us, Input::ObservedLength(seen.clone()));
                }
            }
        }
        let held: Vec<usize> = self.entries.keys().copied().collect();
        for request in held {
            let meta = self.meta(now_us, request);
            let registration = self.registration;
            let Some(entry) = self.entries.get_mut(&request) else {
                continue;
            };
            entry.lifecycle.reregister(registration);
            let input = match (entry.lifecycle.stage(), entry.endpoint) {
                (Stage::Waiting, _) => Input::Add(registration, meta),
                (_, Some(engine)) => {
                    let name = self.engines[engine].spec.name.clone();
                    Input::Adopt(registration, meta, name)
                }
                _ => continue,
            };
            self.deciders[entry.pool].handle(now_us, input);
        }
    }

    fn report(&mut self, now_us: Micros) {
        self.at(now_us + REPORT_US, Event::Report);
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
        if self.engines[engine].dead {
            return;
        }
        let report = LoadReport {
            running,
            waiting,
            age_us: now_us - at_us,
        };
        let name = self.engines[engine].spec.name.clone();
        let pool = self.pool_of(engine);
        self.tell(now_us, pool, Input::Load(name, report));
    }

    fn report_cache(&mut self, now_us: Micros, engine: usize, gaps: bool) {
        let seen = self.events_seen[engine];
        let events: Vec<_> = self.engines[engine].events_after(seen).cloned().collect();
        let name = self.engines[engine].spec.name.clone();
        let pool = self.pool_of(engine);
        for event in events {
            self.events_seen[engine] = event.seq;
            if gaps && event.seq.is_multiple_of(MISSED_EVENT) {
                continue;
            }
            self.tell(now_us, pool, Input::Cache(name.clone(), event));
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
        let answered = self.answered.iter().map(|r| &self.trace.requests[*r]);
        let us = |nanos: u64| nanos as f64 / 1e3;
        PolicyOutcome {
            policy: self.policy.name().to_owned(),
            tiers: self.tiers,
            wasted_prefill_tokens: self.thrown_away + self.computed.again,
            thrown_away_tokens: self.thrown_away,
            computed_again_tokens: self.computed.again,
            prefill_tokens: self.computed.total,
            prefill_tokens_min_of_answered: bound::least_prefill(&self.trace.header, answered),
            violations: breaches.len() as u64,
            breaches: breaches.into_iter().take(BREACHES_SHOWN).collect(),
            decision_us_p50: us(self.decisions.value_at_quantile(0.5)),
            decision_us_p99: us(self.decisions.value_at_quantile(0.99)),
        }
    }
}

fn seen_length(line: &Line, rank: u8) -> AnswerLength {
    AnswerLength {
        organisation: line.organisation.clone(),
        rank,
        prompt_tokens: line.prompt_tokens,
        output_tokens: line.output_tokens,
    }
}

fn id_of(request: usize) -> RequestId {
    RequestId {
        entry: ENTRY,
        seq: request as u64,
    }
}

fn request_of(id: RequestId) -> usize {
    id.seq as usize
}

fn fault_span(fault: &TraceFault) -> Option<(u64, u64)> {
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

/// Returns the length assumed before any answer was seen: plain services answer one token.
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
                keep_from_us: (e.at_ms * 1_000).saturating_sub(KEEP_ROOM_US),
                keep_share: KEEP_SHARE,
            })
            .collect(),
    }
}
