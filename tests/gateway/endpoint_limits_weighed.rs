//! Ways for many instances to keep to a limit that an endpoint names for all together, weighed by what callers lose.
//!
//! A model in virtual time: one endpoint among others, instances that would each send some of their requests
//! there, and words between them that take some milliseconds (a question and its answer) or tenths of a second
//! (what is told to all), and are lost now and then. A request that may not go there goes elsewhere; what is
//! lost is the endpoint's time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    fmt,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryevalve::{
    balance::load::EndpointKey,
    limits::{
        permits::{Permit, PermitIssuer},
        rate::RequestRate,
    },
};

const SECOND: u64 = 1_000_000;
const DAY_US: u64 = 60 * SECOND;
const WINDOW_US: u64 = 4 * SECOND;
const ENDPOINT: EndpointKey = EndpointKey(7);
const KEEPER: usize = 0;
/// A datagram on its way to another hall and in its reader's queue.
const DATAGRAM_US: std::ops::Range<u64> = 400..6_000;
/// Of so many datagrams one is lost.
const ONE_LOST_OF: u32 = 50;
/// An answer is waited for so long, and whoever gave none is asked again after the second time.
const ANSWER_US: u64 = 20_000;
const UNANSWERED_WAIT_US: u64 = 500_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// Nobody heeds the limit.
    None,
    /// Each has its equal part, and may save one request.
    Shares,
    /// One instance alone may send there.
    Alone,
    /// Each keeps a count of all, from what the others tell.
    Told,
    /// One instance gives permits to all.
    Permits,
}

#[derive(Clone, Copy)]
struct Load {
    instances: usize,
    limit: &'static str,
    /// Requests a second that would go there, over all instances.
    demand_per_s: f64,
    /// Of the instances, the share at which they come.
    where_share: f64,
    rank: u8,
}

const fn load(instances: usize, limit: &'static str, demand_per_s: f64, where_share: f64) -> Load {
    Load {
        instances,
        limit,
        demand_per_s,
        where_share,
        rank: 0,
    }
}

/// Of the least urgent rank.
const fn load_unurgent(instances: usize, demand_per_s: f64) -> Load {
    Load {
        rank: 2,
        ..load(instances, "1.9", demand_per_s, 1.0)
    }
}

const LOADS: [Load; 16] = [
    load_unurgent(7, 6.0),
    load_unurgent(85, 6.0),
    load(1, "0.3", 5.0, 1.0),
    load(1, "1.9", 6.0, 1.0),
    load(1, "20", 60.0, 1.0),
    load(7, "0.3", 5.0, 1.0),
    load(7, "1.9", 6.0, 1.0),
    load(7, "1.9", 6.0, 0.15),
    load(7, "20", 60.0, 1.0),
    load(85, "1.9", 6.0, 1.0),
    load(85, "1.9", 40.0, 1.0),
    load(85, "8", 40.0, 0.1),
    load(295, "0.3", 20.0, 1.0),
    load(295, "1.9", 60.0, 1.0),
    load(295, "1.9", 60.0, 0.1),
    load(295, "20", 100.0, 1.0),
];

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:3} instances, limit {:>3}, {:5.1} wanted a second at {:3.0} of 100",
            self.instances,
            self.limit,
            self.demand_per_s,
            self.where_share * 100.0
        )
    }
}

/// What the endpoint got.
#[derive(Clone, Copy, Debug, Default)]
struct Got {
    /// The most in any window, less what is allowed.
    over: f64,
    /// The share of the limit that was used.
    used: f64,
    /// Datagrams a second for it.
    datagrams_per_s: f64,
}

impl fmt::Display for Got {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "most in 4 s {:+6.1} of allowed, used {:4.2}, {:6.1} datagrams a second",
            self.over, self.used, self.datagrams_per_s
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wanted,
    Asked {
        by: usize,
        at_us: u64,
    },
    Answered {
        to: usize,
        at_us: u64,
        permit: bool,
        wait_us: u64,
    },
    Returned,
    Heard {
        by: usize,
    },
}

struct Model {
    load: Load,
    way: Way,
    rate: RequestRate,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    giver: PermitIssuer,
    /// Until when each instance asks for no permit.
    no_permits_until_us: Vec<u64>,
    /// Requests that each instance may send, and when that was worked out.
    levels: Vec<(f64, u64)>,
    sent_us: Vec<u64>,
    datagrams: u64,
}

impl Model {
    fn new(load: Load, way: Way, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let levels = (0..load.instances).map(|_| (random.random_range(0.0..1.0), 0));
        let levels = levels.collect();
        let mut model = Self {
            load,
            way,
            rate: RequestRate::parse(load.limit).expect("a rate"),
            random,
            events: BinaryHeap::new(),
            number: 0,
            giver: PermitIssuer::default(),
            no_permits_until_us: vec![0; load.instances],
            levels,
            sent_us: Vec::new(),
            datagrams: 0,
        };
        model.at(0, Event::Wanted);
        model
    }

    fn at(&mut self, at_us: u64, event: Event) {
        if at_us < DAY_US {
            self.number += 1;
            self.events.push(Reverse((at_us, self.number, event)));
        }
    }

    /// Sends a datagram; the instance that keeps the account does not need one for itself.
    fn post(&mut self, now_us: u64, from: usize, to: usize, event: Event) {
        if from == to {
            self.at(now_us, event);
            return;
        }
        self.datagrams += 1;
        if self.random.random_range(0..ONE_LOST_OF) > 0 {
            let delay_us = self.random.random_range(DATAGRAM_US);
            self.at(now_us + delay_us, event);
        }
    }

    fn run(mut self) -> Got {
        while let Some(Reverse((now_us, _, event))) = self.events.pop() {
            match event {
                Event::Wanted => self.wanted(now_us),
                Event::Asked { by, at_us } => {
                    let permit = self
                        .giver
                        .issue(now_us, ENDPOINT, self.rate, self.load.rank);
                    let wait_us = match permit {
                        Permit::Given => 0,
                        Permit::Denied { wait_us } => wait_us,
                    };
                    let answer = Event::Answered {
                        to: by,
                        at_us,
                        permit: permit == Permit::Given,
                        wait_us,
                    };
                    self.post(now_us, KEEPER, by, answer);
                }
                Event::Answered {
                    to,
                    at_us,
                    permit,
                    wait_us,
                } => self.answered(now_us, to, at_us, permit, wait_us),
                Event::Returned => self.giver.refund(ENDPOINT, self.rate),
                Event::Heard { by } => {
                    self.fill(now_us, by);
                    self.levels[by].0 -= 1.0;
                }
            }
        }
        self.got()
    }

    fn wanted(&mut self, now_us: u64) {
        let draw: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let pause_us = (-draw.ln() / self.load.demand_per_s * SECOND as f64) as u64;
        self.at(now_us + pause_us + 1, Event::Wanted);
        let at = (self.load.instances as f64 * self.load.where_share).ceil() as usize;
        let instance = self.random.random_range(0..at);
        if self.may_send(now_us, instance) {
            self.sent_us.push(now_us);
        }
    }

    fn answered(&mut self, now_us: u64, to: usize, at_us: u64, permit: bool, wait_us: u64) {
        if !permit {
            self.no_permits_until_us[to] = now_us + wait_us;
            return;
        }
        self.no_permits_until_us[to] = 0;
        if now_us > at_us + ANSWER_US {
            self.post(now_us, to, KEEPER, Event::Returned);
        } else {
            self.sent_us.push(now_us);
        }
    }

    /// Fills what an instance may send, by its way.
    fn fill(&mut self, now_us: u64, instance: usize) {
        let part = match self.way {
            Way::Shares => 1.0 / self.load.instances as f64,
            _ => 1.0,
        };
        // As much as is saved as built, and one request at least.
        let depth = ((2.0 + self.rate.per_s() / 4.0) * part).max(1.0);
        let (level, since_us) = self.levels[instance];
        let gained = self.rate.per_s() * part * (now_us - since_us) as f64 / SECOND as f64;
        self.levels[instance] = ((level + gained).min(depth), now_us);
    }

    fn may_send(&mut self, now_us: u64, instance: usize) -> bool {
        match self.way {
            Way::None => true,
            Way::Alone if instance != self.load.instances - 1 => false,
            Way::Alone | Way::Shares | Way::Told => {
                self.fill(now_us, instance);
                let may = self.levels[instance].0 >= 1.0;
                if may {
                    self.levels[instance].0 -= 1.0;
                    self.tell(now_us, instance);
                }
                may
            }
            Way::Permits => {
                if self.no_permits_until_us[instance] <= now_us {
                    self.no_permits_until_us[instance] = now_us + UNANSWERED_WAIT_US;
                    let question = Event::Asked {
                        by: instance,
                        at_us: now_us,
                    };
                    self.post(now_us, instance, KEEPER, question);
                }
                // It is sent once there is an answer, or goes elsewhere.
                false
            }
        }
    }

    fn tell(&mut self, now_us: u64, by: usize) {
        if self.way != Way::Told {
            return;
        }
        // Small groups tell each other each 40 ms, large ones by two aggregators a hall.
        let delay_us = if self.load.instances > 12 {
            100_000..400_000
        } else {
            1_000..60_000
        };
        for instance in (0..self.load.instances).filter(|i| *i != by) {
            let delay_us = self.random.random_range(delay_us.clone());
            self.at(now_us + delay_us, Event::Heard { by: instance });
        }
    }

    fn got(&self) -> Got {
        let mut window = VecDeque::new();
        let mut most = 0;
        for at_us in &self.sent_us {
            window.push_back(*at_us);
            while window
                .front()
                .is_some_and(|first| first + WINDOW_US <= *at_us)
            {
                window.pop_front();
            }
            most = most.max(window.len());
        }
        let per_s = self.rate.per_s();
        let seconds = DAY_US as f64 / SECOND as f64;
        Got {
            over: most as f64 - (per_s * 4.0 * 1.5 + 5.0),
            used: self.sent_us.len() as f64 / (per_s * seconds),
            datagrams_per_s: self.datagrams as f64 / seconds,
        }
    }
}

fn weigh(load: Load, way: Way) -> Got {
    let runs: Vec<Got> = (0..4)
        .map(|seed| Model::new(load, way, seed).run())
        .collect();
    let got = Got {
        over: runs.iter().map(|g| g.over).fold(f64::MIN, f64::max),
        used: runs.iter().map(|g| g.used).sum::<f64>() / runs.len() as f64,
        datagrams_per_s: runs.iter().map(|g| g.datagrams_per_s).sum::<f64>() / runs.len() as f64,
    };
    println!("{load}: {way:8?} {got}");
    got
}

/// As built, with permits: in no window more than is allowed, and nine tenths of the limit used. The table is printed.
#[test]
fn a_limit_is_kept_by_all_together_and_used_whoever_has_the_requests() {
    for load in LOADS {
        for way in [Way::None, Way::Shares, Way::Alone, Way::Told] {
            weigh(load, way);
        }
        let built = weigh(load, Way::Permits);
        assert!(built.over <= 0.0, "{load}: {built}");
        assert!(built.used >= 0.9, "{load}: {built}");
    }
}
