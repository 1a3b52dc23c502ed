//! Compares strategies for blocking requests under which endpoints crashed, by what callers lose.
//!
//! A simulation in virtual time with the suspect tables of the instances: endpoints with seven slots and a queue,
//! requests that are retried once by their instance and once by their caller, requests that crash each endpoint where
//! they start to run and return at any instance, and endpoints that crash by themselves. An endpoint restarts after
//! four to five seconds; instances receive each other's crashes .1 to .3 s later, and one in ten only after 1.5 s more.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet},
    fmt,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryevalve::{
    balance::load::EndpointKey,
    limits::{dissemination::Audience, fingerprint::Fingerprint, suspects::SuspectTable},
};

const SECOND: u64 = 1_000_000;
const DURATION_US: u64 = 40 * SECOND;
const SLOTS: usize = 7;
/// Time until a request's first event, and the mean time from then to the last one.
const FIRST_EVENT_US: u64 = 150_000;
const RUN_US: f64 = 900_000.0;
/// How long after the third crash under a request the strategy has to take effect: from then on the request may reach
/// at most three more endpoints.
const TAKE_EFFECT_US: u64 = 3 * SECOND;
/// Requests that crash endpoints have numbers from here on.
const FIRST_CRASHING: u64 = 1 << 32;
/// The request that many callers send.
const COMMON: u64 = 1 << 40;
/// Interval of the rounds in which instances send updates, in scenarios with a common request.
const ROUND_US: u64 = 250_000;
/// Interval at which synchronised requests return to all instances.
const SYNCHRONISED_INTERVAL_US: u64 = 700_000;
/// From this time on, about one second after the first crash, no common request may be refused.
const COMMON_FROM_US: u64 = 6 * SECOND;

#[derive(Clone, Copy, Debug)]
enum Strategy {
    Never,
    AtTwo,
    AtThree,
    Current,
}

#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    instances: usize,
    endpoints: usize,
    requests_per_s: f64,
    /// Number of requests that crash endpoints, and how often each is sent.
    crashing: u64,
    attempts_per_s: f64,
    /// Endpoints a second that crash by themselves.
    crashes_per_s: f64,
    /// All instances lose their state at this second.
    lost_at_s: u64,
    /// The state is persisted in the store and restored after that.
    is_persisted: bool,
    /// Requests a second that are all the common request.
    common_per_s: f64,
    /// The requests that crash endpoints arrive at all instances at the same moments.
    synchronised: bool,
}

const BASE: Scenario = Scenario {
    name: "one crashing, 6 instances",
    instances: 6,
    endpoints: 18,
    requests_per_s: 92.0,
    crashing: 1,
    attempts_per_s: 1.7,
    crashes_per_s: 0.0,
    lost_at_s: u64::MAX,
    is_persisted: false,
    common_per_s: 0.0,
    synchronised: false,
};

/// Synchronised requests that crash endpoints, beside a common request.
const fn synchronised(
    name: &'static str,
    instances: usize,
    endpoints: usize,
    crashing: u64,
    common_per_s: f64,
) -> Scenario {
    Scenario {
        name,
        instances,
        endpoints,
        crashing,
        common_per_s,
        synchronised: true,
        requests_per_s: 20.0,
        ..BASE
    }
}

const COMMON_SCENARIOS: [Scenario; 5] = [
    synchronised("common, 7, one crashing", 7, 8, 1, 20.0),
    synchronised("common, 7, two crashing", 7, 8, 2, 20.0),
    synchronised("common, 18, eight crashing", 18, 18, 8, 40.0),
    synchronised("common, 18 on 8, two crashing", 18, 8, 2, 20.0),
    synchronised("common, 85, eight crashing", 85, 60, 8, 120.0),
];

const SCENARIOS: [Scenario; 7] = [
    BASE,
    Scenario {
        name: "one crashing, 85 instances",
        instances: 85,
        endpoints: 60,
        requests_per_s: 300.0,
        ..BASE
    },
    Scenario {
        name: "twelve crashing",
        crashing: 12,
        ..BASE
    },
    Scenario {
        name: "crashes by themselves",
        crashing: 0,
        crashes_per_s: 1.0,
        ..BASE
    },
    Scenario {
        name: "both",
        crashing: 2,
        crashes_per_s: 0.5,
        ..BASE
    },
    Scenario {
        name: "one, all instances lost",
        lost_at_s: 15,
        ..BASE
    },
    Scenario {
        name: "the same, persisted",
        lost_at_s: 15,
        is_persisted: true,
        ..BASE
    },
];

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// Arrivals of requests that crash endpoints, and the most of one request after its third crash and the time to
    /// take effect.
    reached: usize,
    max_after: usize,
    crashed: usize,
    /// Other requests: those that ran on crashing endpoints, were blocked, and were not served.
    hit: usize,
    blocked: usize,
    lost: usize,
    /// Common requests, and those that were refused after [`COMMON_FROM_US`].
    common: usize,
    common_refused: usize,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "reached {:5} after {:3} crashed {:4} others: hit {:5} blocked {:4} lost {:5}, common {:5} refused {:5}",
            self.reached,
            self.max_after,
            self.crashed,
            self.hit,
            self.blocked,
            self.lost,
            self.common,
            self.common_refused
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    request: u64,
    /// Remaining retries by the instance, and then by the caller.
    instance_retries: u8,
    caller_retries: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(Attempt),
    Returns(u64),
    Crashes {
        endpoint: usize,
        start: u32,
    },
    CrashesByItself,
    Restarted {
        endpoint: usize,
    },
    Completed {
        endpoint: usize,
        run: u64,
    },
    CrashReceived {
        instance: usize,
        generation: u32,
        request: u64,
        key: u32,
    },
    Round,
    Common,
    AllLost,
}

#[derive(Default)]
struct Endpoint {
    start: u32,
    is_down: bool,
    runs: HashMap<u64, (Attempt, usize)>,
}

struct Simulation {
    scenario: Scenario,
    strategy: Strategy,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    endpoints: Vec<Endpoint>,
    tables: Vec<SuspectTable>,
    generation: u32,
    number: u64,
    starts: u32,
    crashes_under: HashMap<u64, Vec<u64>>,
    after: HashMap<u64, usize>,
    counts: Counts,
}

impl Simulation {
    fn new(scenario: Scenario, strategy: Strategy, seed: u64) -> Self {
        let mut simulation = Self {
            scenario,
            strategy,
            random: ChaCha8Rng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            endpoints: (0..scenario.endpoints)
                .map(|_| Endpoint::default())
                .collect(),
            tables: (0..scenario.instances)
                .map(|_| SuspectTable::default())
                .collect(),
            generation: 0,
            number: 0,
            starts: scenario.endpoints as u32,
            crashes_under: HashMap::new(),
            after: HashMap::new(),
            counts: Counts::default(),
        };
        for (index, endpoint) in simulation.endpoints.iter_mut().enumerate() {
            endpoint.start = index as u32;
        }
        let mut at_us = 0;
        while at_us < DURATION_US {
            at_us += simulation.interval_us(scenario.requests_per_s);
            let attempt = Attempt {
                request: simulation.number,
                instance_retries: 1,
                caller_retries: 1,
            };
            simulation.schedule(at_us, Event::Arrives(attempt));
        }
        for request in 0..scenario.crashing {
            let at_us = match scenario.synchronised {
                true => 5 * SECOND,
                false => 5 * SECOND + simulation.random.random_range(0..SECOND),
            };
            simulation.schedule(at_us, Event::Returns(FIRST_CRASHING + request));
        }
        if scenario.common_per_s > 0.0 {
            simulation.schedule(0, Event::Common);
            simulation.schedule(0, Event::Round);
        }
        if scenario.crashes_per_s > 0.0 {
            simulation.schedule(5 * SECOND, Event::CrashesByItself);
        }
        if scenario.lost_at_s < DURATION_US / SECOND {
            simulation.schedule(scenario.lost_at_s * SECOND, Event::AllLost);
        }
        simulation
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at_us, self.number, event)));
    }

    fn interval_us(&mut self, per_s: f64) -> u64 {
        let draw: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        (-draw.ln() / per_s * SECOND as f64) as u64 + 1
    }

    fn run(mut self) -> Counts {
        while let Some(Reverse((now_us, _, event))) = self.events.pop() {
            match event {
                Event::Arrives(arrived) => self.send(now_us, arrived),
                Event::Returns(request) => {
                    let arrived = Attempt {
                        request,
                        instance_retries: 0,
                        caller_retries: 0,
                    };
                    if self.scenario.synchronised {
                        for instance in 0..self.scenario.instances {
                            self.send_by(now_us, instance, arrived);
                        }
                    } else {
                        self.send(now_us, arrived);
                    }
                    let next_us = match self.scenario.synchronised {
                        true => now_us + SYNCHRONISED_INTERVAL_US,
                        false => now_us + self.interval_us(self.scenario.attempts_per_s),
                    };
                    if next_us < DURATION_US {
                        self.schedule(next_us, Event::Returns(request));
                    }
                }
                Event::Crashes { endpoint, start } if self.endpoints[endpoint].start == start => {
                    self.crash(now_us, endpoint);
                }
                Event::Crashes { .. } => {}
                Event::CrashesByItself => {
                    let endpoint = self.random.random_range(0..self.endpoints.len());
                    self.crash(now_us, endpoint);
                    let next_us = now_us + self.interval_us(self.scenario.crashes_per_s);
                    if next_us < DURATION_US {
                        self.schedule(next_us, Event::CrashesByItself);
                    }
                }
                Event::Restarted { endpoint } => {
                    self.starts += 1;
                    self.endpoints[endpoint].start = self.starts;
                    self.endpoints[endpoint].is_down = false;
                }
                Event::Completed { endpoint, run } => {
                    if let Some((completed, instance)) = self.endpoints[endpoint].runs.remove(&run)
                    {
                        self.tables[instance]
                            .note_completed(now_us, Fingerprint(completed.request));
                    }
                }
                Event::CrashReceived {
                    instance,
                    generation,
                    request,
                    key,
                } if generation == self.generation => {
                    self.tables[instance].note_crash(
                        now_us,
                        Fingerprint(request),
                        EndpointKey(key),
                    );
                }
                Event::Round => {
                    self.exchange_updates(now_us);
                    if now_us + ROUND_US < DURATION_US {
                        self.schedule(now_us + ROUND_US, Event::Round);
                    }
                }
                Event::Common => {
                    let arrived = Attempt {
                        request: COMMON,
                        instance_retries: 0,
                        caller_retries: 0,
                    };
                    self.send(now_us, arrived);
                    let next_us = now_us + self.interval_us(self.scenario.common_per_s);
                    if next_us < DURATION_US {
                        self.schedule(next_us, Event::Common);
                    }
                }
                Event::CrashReceived { .. } => {}
                Event::AllLost => {
                    self.generation += 1;
                    let persisted = self.tables[0].to_persist(now_us);
                    self.tables.fill_with(SuspectTable::default);
                    for table in self
                        .tables
                        .iter_mut()
                        .filter(|_| self.scenario.is_persisted)
                    {
                        table.apply_updates(now_us, &persisted);
                    }
                }
            }
        }
        self.counts.max_after = self.after.values().copied().max().unwrap_or(0);
        self.counts
    }

    fn is_blocked(&self, now_us: u64, instance: usize, request: u64) -> bool {
        let (table, request) = (&self.tables[instance], Fingerprint(request));
        match self.strategy {
            Strategy::Never => false,
            Strategy::AtTwo => table.crashes(request) >= 2,
            Strategy::AtThree => table.crashes(request) >= 3,
            Strategy::Current => table
                .blocked_us(now_us, request, self.scenario.endpoints)
                .is_some(),
        }
    }

    /// Each instance sends the others its updates of a round; one in ten is lost.
    fn exchange_updates(&mut self, now_us: u64) {
        for sender in 0..self.tables.len() {
            let updates = self.tables[sender].take_due_updates(now_us, Audience::Peers);
            for to in (0..self.tables.len()).filter(|to| *to != sender) {
                if !updates.is_empty() && self.random.random_range(0..10) > 0 {
                    self.tables[to].apply_updates(now_us, &updates);
                }
            }
        }
    }

    /// Sends an attempt through a random instance.
    fn send(&mut self, now_us: u64, arrived: Attempt) {
        let instance = self.random.random_range(0..self.scenario.instances);
        self.send_by(now_us, instance, arrived);
    }

    /// Sends an attempt to one of the endpoints with the shortest queues.
    fn send_by(&mut self, now_us: u64, instance: usize, arrived: Attempt) {
        let is_crashing = (FIRST_CRASHING..COMMON).contains(&arrived.request);
        let is_common = arrived.request == COMMON;
        self.counts.common += usize::from(is_common);
        if self.is_blocked(now_us, instance, arrived.request) {
            let is_late = is_common && now_us >= COMMON_FROM_US;
            self.counts.common_refused += usize::from(is_late);
            self.counts.blocked += usize::from(!is_crashing);
            self.counts.lost += usize::from(!is_crashing);
            return;
        }
        let available = (0..self.endpoints.len()).filter(|e| !self.endpoints[*e].is_down);
        let available: Vec<usize> = available.collect();
        let length = |e: &usize| self.endpoints[*e].runs.len();
        let Some(shortest) = available.iter().map(length).min() else {
            self.counts.lost += usize::from(!is_crashing);
            return;
        };
        let candidates: Vec<usize> = available
            .iter()
            .copied()
            .filter(|e| length(e) <= shortest + 1)
            .collect();
        let endpoint = candidates[self.random.random_range(0..candidates.len())];
        let queued = length(&endpoint).saturating_sub(SLOTS) as f64;
        let wait_us = (queued * RUN_US / SLOTS as f64) as u64;
        let first_us = now_us + wait_us + FIRST_EVENT_US;
        self.number += 1;
        let run = self.number;
        self.endpoints[endpoint]
            .runs
            .insert(run, (arrived, instance));
        if is_crashing {
            self.counts.reached += 1;
            let crashed = self.crashes_under.entry(arrived.request).or_default();
            if crashed
                .get(2)
                .is_some_and(|third_us| now_us > third_us + TAKE_EFFECT_US)
            {
                *self.after.entry(arrived.request).or_default() += 1;
            }
            let start = self.endpoints[endpoint].start;
            self.schedule(first_us, Event::Crashes { endpoint, start });
        } else {
            let run_us = self.interval_us(SECOND as f64 / RUN_US);
            self.schedule(first_us + run_us, Event::Completed { endpoint, run });
        }
    }

    fn crash(&mut self, now_us: u64, endpoint: usize) {
        if std::mem::replace(&mut self.endpoints[endpoint].is_down, true) {
            return;
        }
        self.counts.crashed += 1;
        let restart_us = now_us + self.random.random_range(4 * SECOND..5 * SECOND);
        self.schedule(restart_us, Event::Restarted { endpoint });
        let key = self.endpoints[endpoint].start;
        let mut runs: Vec<_> = std::mem::take(&mut self.endpoints[endpoint].runs)
            .into_iter()
            .collect();
        runs.sort_unstable_by_key(|(run, _)| *run);
        let mut noted = HashSet::new();
        for (_, (interrupted, instance)) in runs {
            if noted.insert(interrupted.request) {
                self.schedule_notes(now_us, instance, interrupted.request, key);
            }
            if (FIRST_CRASHING..COMMON).contains(&interrupted.request) {
                self.crashes_under
                    .entry(interrupted.request)
                    .or_default()
                    .push(now_us);
                continue;
            }
            self.counts.hit += 1;
            match (interrupted.instance_retries, interrupted.caller_retries) {
                (1.., _) => self.schedule(
                    now_us + 5_000,
                    Event::Arrives(Attempt {
                        instance_retries: 0,
                        ..interrupted
                    }),
                ),
                (0, 1..) => {
                    let retried = Attempt {
                        request: interrupted.request,
                        instance_retries: 1,
                        caller_retries: 0,
                    };
                    self.schedule(now_us + 20_000, Event::Arrives(retried));
                }
                (0, 0) => self.counts.lost += 1,
            }
        }
    }

    /// The instance that sent the request notices the crash after 50 ms; the others receive it from there.
    fn schedule_notes(&mut self, now_us: u64, sender: usize, request: u64, key: u32) {
        let generation = self.generation;
        let has_rounds = self.scenario.common_per_s > 0.0;
        let receives = |instance: &usize| !has_rounds || *instance == sender;
        for instance in (0..self.scenario.instances).filter(receives) {
            let mut delay_us = 50_000;
            if instance != sender {
                delay_us += self.random.random_range(100_000..300_000);
                delay_us += u64::from(self.random.random_range(0..10) == 0) * 1_500_000;
            }
            self.schedule(
                now_us + delay_us,
                Event::CrashReceived {
                    instance,
                    generation,
                    request,
                    key,
                },
            );
        }
    }
}

fn simulate(scenario: Scenario, strategy: Strategy) -> Counts {
    let mut sum = Counts::default();
    // Scenarios in which instances send updates in rounds take a hundred times as long to simulate.
    let seeds = if scenario.synchronised { 2 } else { 8 };
    for seed in 0..seeds {
        let counts = Simulation::new(scenario, strategy, seed).run();
        sum.reached += counts.reached;
        sum.max_after = sum.max_after.max(counts.max_after);
        sum.crashed += counts.crashed;
        sum.hit += counts.hit;
        sum.blocked += counts.blocked;
        sum.lost += counts.lost;
        sum.common += counts.common;
        sum.common_refused += counts.common_refused;
    }
    println!("{:28} {strategy:8?} {sum}", scenario.name);
    sum
}

/// The current strategy: requests that crash endpoints reach few of them in every scenario, also where all instances
/// are lost and the state is persisted, and hardly any other request is blocked. Prints the table.
#[test]
fn requests_that_crash_endpoints_are_blocked_and_bystanders_are_not() {
    for scenario in SCENARIOS {
        let never = simulate(scenario, Strategy::Never);
        simulate(scenario, Strategy::AtTwo);
        simulate(scenario, Strategy::AtThree);
        let current = simulate(scenario, Strategy::Current);
        // The loss of all instances without persisted state is not checked: the simulation leaves out the time in which
        // the new instances have no contact yet.
        let is_checked = scenario.lost_at_s == u64::MAX || scenario.is_persisted;
        assert!(
            current.max_after <= 3 || !is_checked,
            "{}: {current}",
            scenario.name
        );
        assert!(
            current.lost <= never.lost,
            "{}: {current} and {never}",
            scenario.name
        );
        // At most one in a hundred of those that ran on a crashing endpoint.
        assert!(
            current.blocked * 100 <= current.hit,
            "{}: {current}",
            scenario.name
        );
    }
}

/// The current strategy: a request that many callers send is not refused because of others that crash endpoints.
#[test]
fn a_common_request_is_not_refused_because_of_synchronised_crashing_requests() {
    for scenario in COMMON_SCENARIOS {
        let current = simulate(scenario, Strategy::Current);
        assert_eq!(current.common_refused, 0, "{}: {current}", scenario.name);
    }
}
