//! Simple policies to compare with. All but FIFO get the tier order and the deadline check.

use std::collections::{HashMap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    core::{
        endpoint::{EndpointModel, GrantDetails, LoadReport},
        length::{AnswerLength, LengthModel},
        scheduler::{Action, Input, PoolSpec},
    },
    prelude::{Micros, Registration, RequestId, RequestMeta},
};

/// Which simple policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Each endpoint in turn.
    RoundRobin,
    /// The less loaded, by own count, of two at random.
    RandomTwo,
    /// The least loaded by the last report.
    LeastLoad,
    /// In order of arrival, without tiers or deadline check, to the least loaded by report.
    Fifo,
}

#[derive(Clone, Debug)]
struct Waiting {
    registration: Registration,
    meta: RequestMeta,
    deadline_us: Micros,
}

/// A simple policy for one pool.
pub struct Baseline {
    kind: Kind,
    queues: Vec<VecDeque<Waiting>>,
    endpoints: Vec<EndpointModel>,
    reports: Vec<LoadReport>,
    suspect_until_us: Vec<Micros>,
    running: HashMap<RequestId, (usize, RequestMeta)>,
    lengths: LengthModel,
    next: usize,
    rng: ChaCha8Rng,
}

impl Baseline {
    /// Creates one for a pool.
    pub fn new(kind: Kind, spec: &PoolSpec, prior_output_tokens: u32) -> Self {
        let endpoints = spec.endpoints.iter().cloned().map(EndpointModel::new);
        let endpoints: Vec<EndpointModel> = endpoints.collect();
        Self {
            kind,
            queues: vec![VecDeque::new(); spec.tiers],
            reports: vec![LoadReport::default(); endpoints.len()],
            suspect_until_us: vec![0; endpoints.len()],
            endpoints,
            running: HashMap::new(),
            lengths: LengthModel::new(prior_output_tokens),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(7),
        }
    }

    /// Takes an input.
    pub fn handle(&mut self, now_us: Micros, input: Input) {
        match input {
            Input::Add(registration, meta) => self.add(now_us, registration, meta),
            Input::Adopt(_, meta, endpoint) => {
                if let Some(index) = self.index(&endpoint) {
                    self.endpoints[index].adopt(now_us, granted(now_us, &meta));
                    self.running.insert(meta.id, (index, meta));
                }
            }
            Input::Withdraw(id) => {
                self.queues
                    .iter_mut()
                    .for_each(|q| q.retain(|w| w.meta.id != id));
                self.end(now_us, id, None);
            }
            Input::Finished(id, tokens) => self.end(now_us, id, tokens),
            Input::Load(endpoint, report) => {
                if let Some(index) = self.index(&endpoint) {
                    self.reports[index] = report;
                }
            }
            Input::Quarantine(endpoint, until_us) => {
                if let Some(index) = self.index(&endpoint) {
                    self.suspect_until_us[index] = until_us;
                }
            }
            _ => {}
        }
    }

    /// A grant was given back; the request waits again, at the head of its queue.
    pub fn returned(&mut self, now_us: Micros, registration: Registration, meta: RequestMeta) {
        self.end(now_us, meta.id, None);
        let deadline_us = now_us + meta.remaining_us;
        let waiting = Waiting {
            registration,
            meta,
            deadline_us,
        };
        let queue = self.queue_of(&waiting.meta);
        self.queues[queue].push_front(waiting);
    }

    /// Appends all that can be decided now.
    pub fn decide(&mut self, now_us: Micros, out: &mut Vec<Action>) {
        for queue in 0..self.queues.len() {
            let mut at = 0;
            while at < self.queues[queue].len() {
                let waiting = &self.queues[queue][at];
                if !self.can_be_in_time(now_us, waiting) {
                    at += 1;
                    continue;
                }
                let Some(endpoint) = self.pick(now_us) else {
                    return;
                };
                let Some(waiting) = self.queues[queue].remove(at) else {
                    return;
                };
                self.grant(now_us, waiting, endpoint, out);
            }
        }
    }

    fn add(&mut self, now_us: Micros, registration: Registration, meta: RequestMeta) {
        let waiting = Waiting {
            registration,
            deadline_us: now_us + meta.remaining_us,
            meta,
        };
        let queue = self.queue_of(&waiting.meta);
        self.queues[queue].push_back(waiting);
    }

    fn queue_of(&self, meta: &RequestMeta) -> usize {
        if self.kind == Kind::Fifo {
            0
        } else {
            usize::from(meta.rank)
        }
    }

    fn index(&self, name: &str) -> Option<usize> {
        self.endpoints.iter().position(|e| &*e.spec.name == name)
    }

    fn end(&mut self, now_us: Micros, id: RequestId, tokens: Option<u32>) {
        let Some((index, meta)) = self.running.remove(&id) else {
            return;
        };
        self.endpoints[index].end(now_us, id);
        if let Some(tokens) = tokens {
            self.lengths.observe(&AnswerLength {
                organisation: meta.organisation,
                rank: meta.rank,
                prompt_tokens: meta.prompt_tokens,
                output_tokens: tokens,
            });
        }
    }

    fn can_be_in_time(&self, now_us: Micros, waiting: &Waiting) -> bool {
        if self.kind == Kind::Fifo {
            return true;
        }
        let meta = &waiting.meta;
        let tokens = self
            .lengths
            .predict(&meta.organisation, meta.rank, meta.prompt_tokens, 0.6);
        let left_us = waiting.deadline_us.saturating_sub(now_us) as f64;
        let fastest = self
            .endpoints
            .iter()
            .map(|e| e.idle_finish_us(meta.prompt_tokens, tokens));
        fastest.fold(f64::INFINITY, f64::min) <= left_us
    }

    fn has_room(&self, now_us: Micros, index: usize) -> bool {
        let endpoint = &self.endpoints[index];
        now_us >= self.suspect_until_us[index] && endpoint.running() < endpoint.spec.slots
    }

    fn pick(&mut self, now_us: Micros) -> Option<usize> {
        let count = self.endpoints.len();
        let open: Vec<usize> = (0..count).filter(|i| self.has_room(now_us, *i)).collect();
        if open.is_empty() {
            return None;
        }
        match self.kind {
            Kind::RoundRobin => {
                let next = open
                    .iter()
                    .find(|i| **i >= self.next)
                    .or(open.first())
                    .copied()?;
                self.next = (next + 1) % count;
                Some(next)
            }
            Kind::RandomTwo => {
                let a = open[self.rng.random_range(0..open.len())];
                let b = open[self.rng.random_range(0..open.len())];
                let load = |i: usize| self.endpoints[i].running();
                Some(if load(b) < load(a) { b } else { a })
            }
            Kind::LeastLoad | Kind::Fifo => open.into_iter().min_by_key(|i| {
                let report = &self.reports[*i];
                (report.running + report.waiting, *i)
            }),
        }
    }

    fn grant(&mut self, now_us: Micros, waiting: Waiting, index: usize, out: &mut Vec<Action>) {
        let Waiting {
            registration, meta, ..
        } = waiting;
        self.endpoints[index].grant(now_us, granted(now_us, &meta));
        out.push(Action::Grant {
            registration,
            id: meta.id,
            endpoint: self.endpoints[index].spec.name.clone(),
            cached_tokens: 0,
        });
        self.running.insert(meta.id, (index, meta));
    }
}

fn granted(now_us: Micros, meta: &RequestMeta) -> GrantDetails {
    GrantDetails {
        id: meta.id,
        rank: meta.rank,
        deadline_us: now_us + meta.remaining_us,
        uncached_tokens: meta.prompt_tokens,
        output_tokens: 0,
    }
}
