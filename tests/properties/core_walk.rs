//! Random walks over the scheduler, the request state machine and the levels of shedding: entries
//! register again, leaders are replaced, and orders to grant or shed arrive late, reordered or never.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use ryevalve::{
    core::{
        endpoint::EndpointSpec,
        lifecycle::{Lifecycle, Stage},
        scheduler::{Action, Input, PolicySettings, PoolSpec, Scheduler},
        shedding::{HeldLevel, LevelRequest, level_needed},
    },
    prelude::*,
};

const ENTRIES: u64 = 2;
const TIERS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Arrive(u64, Rank, u64),
    Register(u64),
    NewLeader,
    Deliver(usize),
    Decide,
    Finish(usize, bool),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..ENTRIES, 0..TIERS as Rank, 1_000..3_000_000_u64)
            .prop_map(|(e, r, left)| Step::Arrive(e, r, left)),
        1 => (0..ENTRIES).prop_map(Step::Register),
        1 => Just(Step::NewLeader),
        6 => any::<usize>().prop_map(Step::Deliver),
        4 => Just(Step::Decide),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(n, whole)| Step::Finish(n, whole)),
        2 => (1_000..400_000_u64).prop_map(Step::Wait),
    ]
}

struct Simulation {
    now_us: Micros,
    leader: Scheduler,
    epochs: BTreeMap<u64, u64>,
    requests: BTreeMap<RequestId, (Rank, Lifecycle, u32)>,
    levels: BTreeMap<u64, HeldLevel>,
    /// Orders in flight; they arrive in any order or never.
    orders: Vec<(Incarnation, Action)>,
    leaders: u64,
}

fn scheduler(leader: u64) -> Scheduler {
    let policy = PolicySettings {
        max_waiting: 4,
        prior_output_tokens: 5,
        ..PolicySettings::default()
    };
    let mut scheduler = Scheduler::new(Incarnation(leader), policy);
    let endpoint = |name: &str| EndpointSpec {
        name: name.into(),
        hall: "h".into(),
        slots: 2,
        prefill_tokens_per_s: 10_000.0,
        decode_step_us: 2_000.0,
        cache_tokens: 0,
        draining: false,
    };
    scheduler.configure(PoolSpec {
        tiers: TIERS,
        endpoints: vec![endpoint("a"), endpoint("b")],
        ..PoolSpec::default()
    });
    scheduler.set_confirming_instances((0..ENTRIES).map(Incarnation).collect());
    scheduler
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            now_us: 1_000_000,
            leader: scheduler(100),
            epochs: BTreeMap::new(),
            requests: BTreeMap::new(),
            levels: BTreeMap::new(),
            orders: Vec::new(),
            leaders: 100,
        };
        (0..ENTRIES).for_each(|e| simulation.register(e));
        simulation
    }

    fn meta(&self, id: RequestId, rank: Rank, remaining_us: u64) -> RequestMeta {
        RequestMeta {
            id,
            organisation: "o".into(),
            rank,
            service: "s".into(),
            prompt_tokens: 50,
            prefix: vec![1, 2],
            max_output_tokens: None,
            repeatable: true,
            waited_us: 0,
            remaining_us,
        }
    }

    fn registration(&self, entry: u64) -> Registration {
        Registration {
            entry: Incarnation(entry),
            epoch: self.epochs.get(&entry).copied().unwrap_or(0),
        }
    }

    fn register(&mut self, entry: u64) {
        *self.epochs.entry(entry).or_default() += 1;
        let registration = self.registration(entry);
        self.leader.handle(self.now_us, Input::Attach(registration));
        let held: Vec<RequestId> = self
            .requests
            .keys()
            .filter(|id| id.entry.0 == entry)
            .copied()
            .collect();
        for id in held {
            let (rank, lifecycle, _) = self.requests.get_mut(&id).unwrap();
            lifecycle.reregister(registration);
            let (rank, stage) = (*rank, lifecycle.stage());
            let meta = self.meta(id, rank, 1_000_000);
            match stage {
                Stage::Waiting => self
                    .leader
                    .handle(self.now_us, Input::Add(registration, meta)),
                Stage::Sent => {
                    let adopt = Input::Adopt(registration, meta, "a".into());
                    self.leader.handle(self.now_us, adopt);
                }
                _ => {}
            }
        }
    }

    fn is_waiting_below(&self, entry: Option<u64>, rank: Rank) -> bool {
        self.requests.iter().any(|(id, (r, lifecycle, _))| {
            let here = entry.is_none_or(|e| id.entry.0 == e);
            here && *r > rank && lifecycle.stage() == Stage::Waiting
        })
    }

    fn request_level(&mut self, request: LevelRequest) {
        for entry in 0..ENTRIES {
            let has_waiting = self.requests.iter().any(|(id, (rank, lifecycle, _))| {
                id.entry.0 == entry
                    && lifecycle.stage() == Stage::Waiting
                    && level_needed(*rank, TIERS) < request.level
            });
            let held =
                self.levels
                    .entry(entry)
                    .or_default()
                    .try_hold(self.now_us, request, has_waiting);
            let level = Input::LevelReply(Incarnation(entry), request, held);
            self.leader.handle(self.now_us, level);
        }
    }

    fn deliver(&mut self, which: usize) -> Result<(), TestCaseError> {
        if self.orders.is_empty() {
            return Ok(());
        }
        let (leader, action) = self.orders.remove(which % self.orders.len());
        match action {
            Action::Grant {
                registration, id, ..
            } => {
                let Some((_, lifecycle, sent)) = self.requests.get_mut(&id) else {
                    return Ok(());
                };
                if lifecycle.grant(registration).is_ok() {
                    lifecycle.send().unwrap();
                    *sent += 1;
                    prop_assert_eq!(*sent, 1, "dispatched twice");
                } else {
                    let rejected = Input::OrderRejected(registration, id, false);
                    self.leader.handle(self.now_us, rejected);
                }
            }
            Action::Shed {
                registration,
                id,
                chain,
                ..
            } => {
                let Some((rank, lifecycle, sent)) = self.requests.get_mut(&id) else {
                    return Ok(());
                };
                let rank = *rank;
                let level = self.levels.entry(id.entry.0).or_default();
                let allowed = level.may_shed(self.now_us, leader, chain, rank, TIERS);
                let current = registration == lifecycle.registration();
                if allowed && current && lifecycle.shed().is_ok() {
                    prop_assert_eq!(*sent, 0, "refused as not run after it was sent");
                    prop_assert!(
                        !self.is_waiting_below(None, rank),
                        "shed while a lower tier waits"
                    );
                }
            }
            Action::RequestLevel(_) => {}
        }
        Ok(())
    }

    fn apply(&mut self, step: Step, seq: u64) -> Result<(), TestCaseError> {
        match step {
            Step::Arrive(entry, rank, remaining_us) => {
                let level = self.levels.entry(entry).or_default();
                if level.refuses(self.now_us, rank, TIERS) {
                    prop_assert!(
                        !self.is_waiting_below(None, rank),
                        "refused while a lower tier waits"
                    );
                    return Ok(());
                }
                let id = RequestId {
                    entry: Incarnation(entry),
                    seq,
                };
                let registration = self.registration(entry);
                self.requests
                    .insert(id, (rank, Lifecycle::new(registration), 0));
                let add = Input::Add(registration, self.meta(id, rank, remaining_us));
                self.leader.handle(self.now_us, add);
            }
            Step::Register(entry) => self.register(entry),
            Step::NewLeader => {
                self.leaders += 1;
                self.leader = scheduler(self.leaders);
                (0..ENTRIES).for_each(|e| self.register(e));
            }
            Step::Deliver(which) => self.deliver(which)?,
            Step::Decide => {
                self.leader.tick(self.now_us);
                let mut actions = Vec::new();
                self.leader.decide(self.now_us, &mut actions);
                let leader = Incarnation(self.leaders);
                for action in actions {
                    match action {
                        Action::RequestLevel(request) => self.request_level(request),
                        order => self.orders.push((leader, order)),
                    }
                }
            }
            Step::Finish(which, whole) => {
                let sent: Vec<RequestId> = self
                    .requests
                    .iter()
                    .filter(|(_, (_, l, _))| l.stage() == Stage::Sent)
                    .map(|(id, _)| *id)
                    .collect();
                if let Some(id) = sent.get(which % sent.len().max(1)) {
                    self.requests.get_mut(id).unwrap().1.finish(whole).unwrap();
                    let finished = Input::Finished(*id, whole.then_some(5));
                    self.leader.handle(self.now_us, finished);
                }
            }
            Step::Wait(us) => self.now_us += us,
        }
        Ok(())
    }

    /// Once every entry has registered again, the leader knows exactly the requests that wait.
    fn check_waiting_known(mut self) -> Result<(), TestCaseError> {
        (0..ENTRIES).for_each(|e| self.register(e));
        let waiting: BTreeSet<RequestId> = self
            .requests
            .iter()
            .filter(|(_, (_, l, _))| l.stage() == Stage::Waiting)
            .map(|(id, _)| *id)
            .collect();
        let known: BTreeSet<RequestId> = self
            .leader
            .waiting(self.now_us)
            .map(|w| w.meta.id)
            .collect();
        prop_assert_eq!(
            waiting,
            known,
            "the leader doesn't know exactly the waiting requests"
        );
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_walk_preserves_invariants(steps in prop::collection::vec(step(), 1..120)) {
        let mut simulation = Simulation::new();
        for (seq, step) in steps.into_iter().enumerate() {
            simulation.apply(step, seq as u64)?;
        }
        simulation.check_waiting_known()?;
    }
}
