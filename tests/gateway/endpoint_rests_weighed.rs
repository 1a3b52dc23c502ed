//! Ways for many instances to give endpoints the rest that they ask for, weighed by what callers and endpoints lose.
//!
//! A model in virtual time: endpoints with slots and short queues, some of which turn all requests away for a while and
//! ask for rest. Instances choose by their own requests and by what the others had some tenths of a second ago. A request
//! that is turned away goes elsewhere, to four endpoints at most.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    fmt,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryevalve::{
    balance::load::EndpointKey,
    limits::back_off::{BackOff, BackOffs},
};

use crate::support::{MS, SECOND};

const DAY_US: u64 = 12 * SECOND;
/// Endpoints in trouble turn all away in this time.
const TROUBLE_US: std::ops::Range<u64> = 2 * SECOND..7 * SECOND;
const SLOTS: usize = 9;
const QUEUE: usize = 4;
const WORK_US: u64 = 90 * MS;
/// A request or an answer on its way.
const WAY_US: u64 = MS;
/// What others have is known this late.
const TOLD_US: u64 = 40 * MS;
const MOST_TRIES: usize = 4;
/// Endpoints that an instance of a large group looks at.
const LOOKED_AT: usize = 6;
/// Load of others that is worth a try at an endpoint that others were asked to spare.
const SIGN_COST: usize = SLOTS;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// Nobody heeds it.
    None,
    /// Each keeps to its own, and comes back with all at its end.
    Own,
    /// Each keeps to its own, and comes back by turns with one request first.
    Turns,
    /// The same, and what was asked of others counts as load.
    Sign,
}

const WAYS: [Way; 4] = [Way::None, Way::Own, Way::Turns, Way::Sign];

#[derive(Clone, Copy)]
struct Load {
    instances: usize,
    endpoints: usize,
    /// Those in trouble.
    in_trouble: usize,
    rest_ms: u64,
    /// Of what the slots of all endpoints carry.
    share: f64,
    /// All rests end in the same moment, that of the trouble's end.
    ends_together: bool,
}

impl Load {
    const fn ends_together(self) -> Self {
        Self {
            ends_together: true,
            ..self
        }
    }
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:3} instances, {:2} of {:2} endpoints, rests of {:4.1} s, load {:.2}{}",
            self.instances,
            self.in_trouble,
            self.endpoints,
            self.rest_ms as f64 / 1e3,
            self.share,
            if self.ends_together {
                ", all end together"
            } else {
                ""
            }
        )
    }
}

const fn load(
    instances: usize,
    endpoints: usize,
    in_trouble: usize,
    rest_ms: u64,
    share: f64,
) -> Load {
    Load {
        instances,
        endpoints,
        in_trouble,
        rest_ms,
        share,
        ends_together: false,
    }
}

const LOADS: [Load; 15] = [
    load(1, 4, 1, 3_000, 0.6),
    load(1, 4, 2, 300, 0.4),
    load(1, 4, 4, 3_000, 0.6),
    load(7, 16, 1, 3_000, 0.7),
    load(7, 16, 8, 3_000, 0.4),
    load(7, 16, 8, 300, 0.4),
    load(7, 16, 16, 3_000, 0.6),
    load(18, 16, 8, 3_000, 0.4),
    load(85, 40, 20, 3_000, 0.4),
    load(7, 16, 8, 5_000, 0.4).ends_together(),
    load(85, 40, 1, 5_000, 0.7).ends_together(),
    load(85, 40, 20, 5_000, 0.4).ends_together(),
    load(295, 60, 1, 5_000, 0.4).ends_together(),
    load(295, 60, 30, 5_000, 0.4).ends_together(),
    load(295, 60, 30, 3_000, 0.4),
];

#[derive(Clone, Copy, Debug, Default)]
struct Result {
    sent: usize,
    refused: usize,
    turned_away: usize,
    /// The most requests of one instance in a rest, half a second after the word and later.
    most_in_rest: usize,
    /// The most that were turned away for want of room at an endpoint in a tenth of a second after the trouble.
    herd: usize,
    /// The longest from the end of trouble, or of the last rest asked for in it, to the first answer, in milliseconds.
    back_ms: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Comes {
        instance: usize,
    },
    Arrives {
        request: usize,
    },
    Ends {
        endpoint: usize,
    },
    Answered {
        request: usize,
        rest_us: Option<u64>,
    },
    Told,
}

#[derive(Clone, Default)]
struct Endpoint {
    running: usize,
    queue: Vec<usize>,
    /// Of each instance, when it was told last, for how long, and what came after that.
    asked: HashMap<usize, (u64, u64, usize)>,
    last_rest_ends_us: u64,
    /// When requests were turned away for want of room.
    full: Vec<u64>,
    first_after_us: Option<u64>,
}

struct Request {
    instance: usize,
    endpoint: usize,
    sent_us: u64,
    tried: Vec<usize>,
}

struct Model {
    way: Way,
    load: Load,
    rng: ChaCha8Rng,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, What)>>,
    number: u64,
    endpoints: Vec<Endpoint>,
    requests: Vec<Request>,
    rests: Vec<BackOffs>,
    /// Of each instance, its requests at each endpoint.
    own: Vec<Vec<usize>>,
    /// What all had when it was told last, and who was asked for rest until when.
    told: Vec<usize>,
    own_told: Vec<Vec<usize>>,
    signs: Vec<u64>,
    signs_told: Vec<u64>,
    result: Result,
}

impl Model {
    fn new(way: Way, load: Load, seed: u64) -> Self {
        Self {
            way,
            load,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_us: 0,
            events: BinaryHeap::new(),
            number: 0,
            endpoints: vec![Endpoint::default(); load.endpoints],
            requests: Vec::new(),
            rests: (0..load.instances).map(|_| BackOffs::default()).collect(),
            own: vec![vec![0; load.endpoints]; load.instances],
            told: vec![0; load.endpoints],
            own_told: vec![vec![0; load.endpoints]; load.instances],
            signs: vec![0; load.endpoints],
            signs_told: vec![0; load.endpoints],
            result: Result::default(),
        }
    }

    fn at(&mut self, after_us: u64, what: What) {
        self.number += 1;
        let event = (self.now_us + after_us, self.number, what);
        self.events.push(Reverse(event));
    }

    fn run(mut self) -> Result {
        let per_s = (self.load.endpoints * SLOTS) as f64 * SECOND as f64 / WORK_US as f64;
        let mean_us = SECOND as f64 / (per_s * self.load.share);
        let mut at_us = 0.0;
        while at_us < DAY_US as f64 {
            let instance = self.rng.random_range(0..self.load.instances);
            self.at(at_us as u64, What::Comes { instance });
            at_us += -mean_us * (1.0 - self.rng.random::<f64>()).ln();
        }
        self.at(TOLD_US, What::Told);
        while let Some(Reverse((at_us, _, what))) = self.events.pop() {
            self.now_us = at_us;
            match what {
                What::Comes { instance } => {
                    self.result.sent += 1;
                    self.requests.push(Request {
                        instance,
                        endpoint: 0,
                        sent_us: 0,
                        tried: Vec::new(),
                    });
                    self.send(self.requests.len() - 1);
                }
                What::Arrives { request } => self.arrives(request),
                What::Ends { endpoint } => self.ends(endpoint),
                What::Answered { request, rest_us } => self.answered(request, rest_us),
                What::Told => {
                    for (endpoint, told) in self.told.iter_mut().enumerate() {
                        *told = self.own.iter().map(|own| own[endpoint]).sum();
                    }
                    self.own_told.clone_from(&self.own);
                    self.signs_told.clone_from(&self.signs);
                    if self.now_us < DAY_US {
                        self.at(TOLD_US, What::Told);
                    }
                }
            }
        }
        let in_trouble = &self.endpoints[..self.load.in_trouble];
        let back = in_trouble.iter().map(|e| {
            let back_us = e.first_after_us.unwrap_or(DAY_US);
            back_us.saturating_sub(e.last_rest_ends_us.max(TROUBLE_US.end)) / MS
        });
        self.result.back_ms = back.max().unwrap_or(0);
        self.result
    }

    /// Returns what an instance believes that the others have at an endpoint.
    fn others(&self, instance: usize, endpoint: usize) -> usize {
        self.told[endpoint] - self.own_told[instance][endpoint]
    }

    fn is_closed(&self, instance: usize, endpoint: usize) -> bool {
        let key = EndpointKey(endpoint as u32);
        let is_used = || self.others(instance, endpoint) > 0;
        self.way != Way::None
            && self.rests[instance].back_off(self.now_us, key, is_used) != BackOff::Over
    }

    fn choose(&mut self, request: usize) -> Option<usize> {
        let instance = self.requests[request].instance;
        let begin = self.rng.random_range(0..self.load.endpoints);
        let most = if self.load.instances > 12 {
            LOOKED_AT
        } else {
            usize::MAX
        };
        let all = (0..self.load.endpoints).map(|n| (begin + n) % self.load.endpoints);
        let open = all
            .filter(|e| !self.requests[request].tried.contains(e) && !self.is_closed(instance, *e));
        open.take(most).min_by_key(|endpoint| {
            let sign = self.way == Way::Sign && self.now_us < self.signs_told[*endpoint];
            self.others(instance, *endpoint)
                + self.own[instance][*endpoint]
                + usize::from(sign) * SIGN_COST
        })
    }

    fn send(&mut self, request: usize) {
        let is_last = self.requests[request].tried.len() >= MOST_TRIES;
        let Some(endpoint) = (if is_last { None } else { self.choose(request) }) else {
            self.result.refused += 1;
            return;
        };
        let now_us = self.now_us;
        let one = &mut self.requests[request];
        one.endpoint = endpoint;
        one.sent_us = now_us;
        one.tried.push(endpoint);
        let instance = one.instance;
        self.own[instance][endpoint] += 1;
        if matches!(self.way, Way::Turns | Way::Sign) {
            self.rests[instance].note_sent(now_us, EndpointKey(endpoint as u32));
        }
        self.at(WAY_US, What::Arrives { request });
    }

    fn arrives(&mut self, request: usize) {
        let now_us = self.now_us;
        let rest_us = match self.load.ends_together {
            true => TROUBLE_US.end.saturating_sub(now_us) + SECOND / 10,
            false => self.load.rest_ms * MS,
        };
        let Request {
            instance, endpoint, ..
        } = self.requests[request];
        let here = &mut self.endpoints[endpoint];
        if let Some((asked_us, asked_for_us, count)) = here.asked.get_mut(&instance) {
            let since_us = now_us - *asked_us;
            if since_us > SECOND / 2 && since_us < *asked_for_us {
                *count += 1;
                self.result.most_in_rest = self.result.most_in_rest.max(*count);
            }
        }
        let is_in_trouble = endpoint < self.load.in_trouble && TROUBLE_US.contains(&now_us);
        let is_full = here.running >= SLOTS && here.queue.len() >= QUEUE;
        if is_in_trouble {
            here.asked.insert(instance, (now_us, rest_us, 0));
            here.last_rest_ends_us = now_us + rest_us;
            self.result.turned_away += 1;
            self.at(
                WAY_US,
                What::Answered {
                    request,
                    rest_us: Some(rest_us),
                },
            );
        } else if is_full {
            if endpoint < self.load.in_trouble && now_us >= TROUBLE_US.end {
                here.full.retain(|at_us| now_us - at_us < SECOND / 10);
                here.full.push(now_us);
                self.result.herd = self.result.herd.max(here.full.len());
            }
            self.result.turned_away += 1;
            self.at(
                WAY_US,
                What::Answered {
                    request,
                    rest_us: None,
                },
            );
        } else {
            if now_us >= TROUBLE_US.end {
                here.first_after_us = here.first_after_us.or(Some(now_us));
            }
            here.queue.push(request);
            self.begin(endpoint);
        }
    }

    fn begin(&mut self, endpoint: usize) {
        let here = &mut self.endpoints[endpoint];
        if here.running >= SLOTS || here.queue.is_empty() {
            return;
        }
        here.running += 1;
        let request = here.queue.remove(0);
        self.at(WORK_US, What::Ends { endpoint });
        self.at(
            WORK_US + WAY_US,
            What::Answered {
                request,
                rest_us: None,
            },
        );
    }

    fn ends(&mut self, endpoint: usize) {
        self.endpoints[endpoint].running -= 1;
        self.begin(endpoint);
    }

    fn answered(&mut self, request: usize, rest_us: Option<u64>) {
        let (now_us, instances) = (self.now_us, self.load.instances);
        let Request {
            instance,
            endpoint,
            sent_us,
            ..
        } = self.requests[request];
        self.own[instance][endpoint] -= 1;
        let key = EndpointKey(endpoint as u32);
        let was_turned_away = now_us - sent_us < 2 * WAY_US + WORK_US;
        match rest_us {
            Some(rest_us) => {
                let draw = self.rng.random();
                self.rests[instance].note_requested(now_us, key, rest_us, instances, draw);
                self.signs[endpoint] = now_us + rest_us;
            }
            None => {
                self.rests[instance].note_answered(key, sent_us);
            }
        }
        if was_turned_away {
            self.send(request);
        }
    }
}

fn play(way: Way, load: Load) -> Result {
    Model::new(way, load, 11).run()
}

/// Prints the table whose figures the design notes give.
#[test]
fn rests_are_kept_without_a_herd_at_their_end() {
    for load in LOADS {
        println!("{load}");
        for way in WAYS {
            let got = play(way, load);
            println!(
                "  {way:6?} refused {:.3}, turned away {:6}, of one instance in a rest {:4}, no room in .1 s after it {:4}, back after {:5} ms",
                got.refused as f64 / got.sent as f64,
                got.turned_away,
                got.most_in_rest,
                got.herd,
                got.back_ms
            );
            if way == Way::Turns {
                assert!(got.most_in_rest <= 2, "{load}: {got:?}");
                assert!(got.back_ms <= 1_000, "{load}: {got:?}");
            }
        }
    }
}
