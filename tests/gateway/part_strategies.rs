//! Simulates requests with a part that crashes endpoints beside others, over instances that lose messages, and counts
//! what callers lose with and without blocking parts.

use std::{cmp::Reverse, collections::BinaryHeap, fmt};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryevalve::{
    balance::{load::EndpointKey, prefixes::PromptPart},
    limits::{dissemination::Audience, fingerprint::Fingerprint, part_suspects::PartSuspects},
};

use crate::support::SECOND;

const BAD: u64 = 0xbad;
const COMMON: u64 = 0xa0;
const LASTS_US: u64 = 20 * SECOND;
/// When the bad requests begin.
const BAD_FROM_US: u64 = 4 * SECOND;
/// Interval of the rounds in which instances send updates.
const ROUND_US: u64 = 40_000;
/// Time from the fifth crash until all instances must know of the part, and the bad requests that may come later.
const TAKES_EFFECT_US: u64 = SECOND;
const MAX_LATE: usize = 3;
const SEEDS: u64 = 4;

#[derive(Clone, Copy, Debug)]
struct Scenario {
    instances: usize,
    endpoints: usize,
    sound_per_s: f64,
    bad_per_s: f64,
    /// Sessions of the sound requests, each with a part of its own.
    sessions: u64,
    /// Endpoints that crash by themselves in a second.
    crashes_per_s: f64,
    /// Time for which a crashed endpoint is down.
    down_us: u64,
    /// Share of the updates that are lost.
    lost: f64,
}

const BASE: Scenario = Scenario {
    instances: 7,
    endpoints: 16,
    sound_per_s: 40.0,
    bad_per_s: 10.0,
    sessions: 12,
    crashes_per_s: 0.0,
    down_us: 400_000,
    lost: 0.0,
};

const SCENARIOS: [(&str, Scenario); 7] = [
    ("7 instances", BASE),
    (
        "a bad one a second, down for long",
        Scenario {
            bad_per_s: 1.0,
            down_us: 3_300_000,
            ..BASE
        },
    ),
    (
        "rare sessions",
        Scenario {
            sessions: 400,
            ..BASE
        },
    ),
    ("half of the updates lost", Scenario { lost: 0.5, ..BASE }),
    (
        "endpoints that crash by themselves",
        Scenario {
            crashes_per_s: 2.0,
            ..BASE
        },
    ),
    (
        "only these",
        Scenario {
            crashes_per_s: 4.0,
            bad_per_s: 0.0,
            ..BASE
        },
    ),
    (
        "30 instances",
        Scenario {
            instances: 30,
            endpoints: 60,
            sound_per_s: 400.0,
            sessions: 150,
            ..BASE
        },
    ),
];

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    bad_reached: usize,
    /// Bad requests that reached endpoints later than [`TAKES_EFFECT_US`] after the fifth crash.
    bad_late: usize,
    sound: usize,
    sound_blocked: usize,
    sound_lost: usize,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "bad: {:4} reached, {:4} late; others: {:5}, {:3} blocked, {:4} lost",
            self.bad_reached, self.bad_late, self.sound, self.sound_blocked, self.sound_lost
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    number: u64,
    is_bad: bool,
    session: u64,
    attempts_left: u8,
}

impl Request {
    fn parts(self) -> [PromptPart; 3] {
        let second = if self.is_bad {
            BAD
        } else {
            0x5e55_0000 + self.session
        };
        [COMMON, second, self.number << 32].map(|id| PromptPart { id, tokens: 10 })
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(Request),
    /// The answer begins.
    Begins {
        endpoint: usize,
        start: u32,
        run: u64,
    },
    /// The answer has gone on for long enough.
    Answered {
        endpoint: usize,
        start: u32,
        run: u64,
    },
    CrashesByItself,
    Restarts {
        endpoint: usize,
    },
    /// An instance has found out that an endpoint crashed under a request.
    Noticed {
        instance: usize,
        request: Request,
        key: u32,
    },
    Round,
}

#[derive(Clone, Copy)]
struct Run {
    id: u64,
    request: Request,
    instance: usize,
}

#[derive(Default)]
struct Endpoint {
    start: u32,
    is_down: bool,
    runs: Vec<Run>,
}

struct Simulation {
    scenario: Scenario,
    is_blocking: bool,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    endpoints: Vec<Endpoint>,
    tables: Vec<PartSuspects>,
    number: u64,
    starts: u32,
    bad_crashes_us: Vec<u64>,
    counts: Counts,
}

impl Simulation {
    fn new(scenario: Scenario, is_blocking: bool, seed: u64) -> Self {
        let mut simulation = Self {
            scenario,
            is_blocking,
            random: ChaCha8Rng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            endpoints: (0..scenario.endpoints)
                .map(|_| Endpoint::default())
                .collect(),
            tables: (0..scenario.instances)
                .map(|_| PartSuspects::default())
                .collect(),
            number: 0,
            starts: scenario.endpoints as u32,
            bad_crashes_us: Vec::new(),
            counts: Counts::default(),
        };
        for (index, endpoint) in simulation.endpoints.iter_mut().enumerate() {
            endpoint.start = index as u32;
        }
        simulation.schedule_arrivals(scenario.sound_per_s, 0, false);
        simulation.schedule_arrivals(scenario.bad_per_s, BAD_FROM_US, true);
        if scenario.crashes_per_s > 0.0 {
            simulation.schedule(SECOND, Event::CrashesByItself);
        }
        simulation.schedule(0, Event::Round);
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

    fn schedule_arrivals(&mut self, per_s: f64, from_us: u64, is_bad: bool) {
        let mut at_us = from_us;
        while per_s > 0.0 && at_us < LASTS_US {
            at_us += self.interval_us(per_s);
            let request = Request {
                number: self.number + 1,
                is_bad,
                session: self.random.random_range(0..self.scenario.sessions),
                attempts_left: 2,
            };
            self.schedule(at_us, Event::Arrives(request));
        }
    }

    fn run(mut self) -> Counts {
        while let Some(Reverse((now_us, _, event))) = self.events.pop() {
            if now_us > LASTS_US {
                break;
            }
            match event {
                Event::Arrives(request) => self.send(now_us, request),
                Event::Begins {
                    endpoint,
                    start,
                    run,
                } => self.begin(now_us, endpoint, start, run),
                Event::Answered {
                    endpoint,
                    start,
                    run,
                } => {
                    let endpoint = &mut self.endpoints[endpoint];
                    let index = endpoint.runs.iter().position(|r| r.id == run);
                    if endpoint.start == start
                        && let Some(index) = index
                    {
                        let done = endpoint.runs.swap_remove(index);
                        self.tables[done.instance].note_answered(now_us, &done.request.parts());
                    }
                }
                Event::CrashesByItself => {
                    let endpoint = self.random.random_range(0..self.endpoints.len());
                    self.crash(now_us, endpoint);
                    let next_us = now_us + self.interval_us(self.scenario.crashes_per_s);
                    self.schedule(next_us, Event::CrashesByItself);
                }
                Event::Restarts { endpoint } => {
                    self.endpoints[endpoint].is_down = false;
                    self.endpoints[endpoint].start = self.starts;
                    self.starts += 1;
                }
                Event::Noticed {
                    instance,
                    request,
                    key,
                } => {
                    let fingerprint = Fingerprint(request.number);
                    let parts = request.parts();
                    self.tables[instance].note_crash(now_us, &parts, fingerprint, EndpointKey(key));
                }
                Event::Round => self.exchange(now_us),
            }
        }
        self.counts
    }

    fn send(&mut self, now_us: u64, request: Request) {
        let instance = self.random.random_range(0..self.tables.len());
        self.counts.sound += usize::from(!request.is_bad && request.attempts_left == 2);
        let blocked = self.tables[instance].blocked(now_us, &request.parts());
        if self.is_blocking && blocked.is_some() {
            self.counts.sound_blocked += usize::from(!request.is_bad);
            return;
        }
        let up: Vec<usize> = (0..self.endpoints.len())
            .filter(|e| !self.endpoints[*e].is_down)
            .collect();
        if up.is_empty() {
            self.counts.sound_lost += usize::from(!request.is_bad);
            return;
        }
        let endpoint = up[self.random.random_range(0..up.len())];
        if request.is_bad {
            self.counts.bad_reached += 1;
            let fifth_us = self.bad_crashes_us.get(4);
            let is_late = fifth_us.is_some_and(|at_us| now_us > at_us + TAKES_EFFECT_US);
            self.counts.bad_late += usize::from(is_late);
        }
        self.number += 1;
        let run = self.number;
        self.endpoints[endpoint].runs.push(Run {
            id: run,
            request,
            instance,
        });
        let start = self.endpoints[endpoint].start;
        let begins_us = now_us + self.random.random_range(30_000..200_000);
        self.schedule(
            begins_us,
            Event::Begins {
                endpoint,
                start,
                run,
            },
        );
    }

    fn begin(&mut self, now_us: u64, endpoint: usize, start: u32, run: u64) {
        let state = &self.endpoints[endpoint];
        if state.start != start || state.is_down {
            return;
        }
        let Some(begun) = state.runs.iter().find(|r| r.id == run) else {
            return;
        };
        if begun.request.is_bad {
            self.bad_crashes_us.push(now_us);
            self.crash(now_us, endpoint);
            return;
        }
        let answered_us = now_us + self.random.random_range(100_000..500_000);
        self.schedule(
            answered_us,
            Event::Answered {
                endpoint,
                start,
                run,
            },
        );
    }

    fn crash(&mut self, now_us: u64, endpoint: usize) {
        if std::mem::replace(&mut self.endpoints[endpoint].is_down, true) {
            return;
        }
        let key = self.endpoints[endpoint].start;
        for run in std::mem::take(&mut self.endpoints[endpoint].runs) {
            let (instance, mut request) = (run.instance, run.request);
            let noticed_us = now_us + self.random.random_range(40_000..340_000);
            self.schedule(
                noticed_us,
                Event::Noticed {
                    instance,
                    request,
                    key,
                },
            );
            request.attempts_left -= 1;
            if request.attempts_left > 0 {
                let again_us = now_us + self.random.random_range(1_000..200_000);
                self.schedule(again_us, Event::Arrives(request));
            } else {
                self.counts.sound_lost += usize::from(!request.is_bad);
            }
        }
        let up_us = now_us + self.scenario.down_us;
        self.schedule(up_us, Event::Restarts { endpoint });
    }

    /// Every instance sends its updates to all others.
    fn exchange(&mut self, now_us: u64) {
        for sender in 0..self.tables.len() {
            let updates = self.tables[sender].take_due_updates(now_us, Audience::Peers);
            for receiver in 0..self.tables.len() {
                let is_lost = self.random.random_bool(self.scenario.lost);
                if receiver != sender && !updates.is_empty() && !is_lost {
                    self.tables[receiver].apply_updates(now_us, updates.clone());
                }
            }
        }
        self.schedule(now_us + ROUND_US, Event::Round);
    }
}

/// Without blocks bad requests go on to crash endpoints. A block must come soon, whatever messages are lost and whatever
/// endpoints crash besides, and must refuse nobody else.
#[test]
fn bad_part_is_blocked_and_no_other_in_simulated_groups() {
    for (name, scenario) in SCENARIOS {
        for seed in 0..SEEDS {
            let counts = Simulation::new(scenario, true, seed).run();
            println!("{name}, seed {seed}: {counts}");
            assert!(counts.bad_late <= MAX_LATE, "{name}, seed {seed}: {counts}");
            assert_eq!(counts.sound_blocked, 0, "{name}, seed {seed}: {counts}");
        }
        let without = Simulation::new(scenario, false, 0).run();
        println!("{name}, without blocks: {without}");
        assert!(
            scenario.bad_per_s == 0.0 || without.bad_late > MAX_LATE,
            "the simulation shows the fault: {name}: {without}"
        );
    }
}
