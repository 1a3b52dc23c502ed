//! Simple policies to compare the scheduler with. All but FIFO serve tiers in order and check deadlines.

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

/// A kind of baseline policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Each available endpoint in turn.
    RoundRobin,
    /// Of two endpoints drawn at random, the one with fewer requests by the policy's own count.
    RandomTwo,
    /// The endpoint with the least load in its last report.
    LeastLoad,
    /// In order of arrival, without tiers or deadline check, to the endpoint with the least reported load.
    Fifo,
}

#[derive(Clone, Debug)]
struct QueuedRequest {
    registration: Registration,
    meta: RequestMeta,
    deadline_us: Micros,
}

/// A baseline policy for one pool.
pub struct Baseline {
    kind: Kind,
    queues: Vec<VecDeque<QueuedRequest>>,
    endpoints: Vec<EndpointModel>,
    reports: Vec<LoadReport>,
    quarantined_until_us: Vec<Micros>,
    running: HashMap<RequestId, (usize, RequestMeta)>,
    lengths: LengthModel,
    next_endpoint: usize,
    rng: ChaCha8Rng,
}

impl Baseline {
    /// Creates a policy for a pool; `prior_output_tokens` is the answer length assumed at first.
    pub fn new(kind: Kind, spec: &PoolSpec, prior_output_tokens: u32) -> Self {
        let endpoints = spec.endpoints.iter().cloned().map(EndpointModel::new);
        let endpoints: Vec<EndpointModel> = endpoints.collect();
        Self {
            kind,
            queues: vec![VecDeque::new(); spec.tiers],
            reports: vec![LoadReport::default(); endpoints.len()],
            quarantined_until_us: vec![0; endpoints.len()],
            endpoints,
            running: HashMap::new(),
            lengths: LengthModel::new(prior_output_tokens),
            next_endpoint: 0,
            rng: ChaCha8Rng::seed_from_u64(7),
        }
    }

    /// Applies an input; inputs that a baseline has no use for are ignored.
    pub fn handle(&mut self, now_us: Micros, input: Input) {
        match input {
            Input::Add(registration, meta) => self.add(now_us, registration, meta),
            Input::Adopt(_, meta, endpoint) => {
                if let Some(index) = self.index(&endpoint) {
                    self.endpoints[index].adopt(now_us, grant_details(now_us, &meta));
                    self.running.insert(meta.id, (index, meta));
                }
            }
            Input::Withdraw(id) => {
                self.queues
                    .iter_mut()
                    .for_each(|q| q.retain(|w| w.meta.id != id));
                self.finish(now_us, id, None);
            }
            Input::Finished(id, tokens) => self.finish(now_us, id, tokens),
            Input::Load(endpoint, report) => {
                if let Some(index) = self.index(&endpoint) {
                    self.reports[index] = report;
                }
            }
            Input::Quarantine(endpoint, until_us) => {
                if let Some(index) = self.index(&endpoint) {
                    self.quarantined_until_us[index] = until_us;
                }
            }
            _ => {}
        }
    }

    /// Puts a request whose grant was returned back at the head of its queue.
    pub fn returned(&mut self, now_us: Micros, registration: Registration, meta: RequestMeta) {
        self.finish(now_us, meta.id, None);
        let deadline_us = now_us + meta.remaining_us;
        let queued = QueuedRequest {
            registration,
            meta,
            deadline_us,
        };
        let queue = self.queue_index(&queued.meta);
        self.queues[queue].push_front(queued);
    }

    /// Appends a grant for each request that can be placed now.
    pub fn decide(&mut self, now_us: Micros, out: &mut Vec<Action>) {
        for queue in 0..self.queues.len() {
            let mut at = 0;
            while at < self.queues[queue].len() {
                let queued = &self.queues[queue][at];
                if !self.can_meet_deadline(now_us, queued) {
                    at += 1;
                    continue;
                }
                let Some(endpoint) = self.select_endpoint(now_us) else {
                    return;
                };
                let Some(queued) = self.queues[queue].remove(at) else {
                    return;
                };
                self.grant(now_us, queued, endpoint, out);
            }
        }
    }

    fn add(&mut self, now_us: Micros, registration: Registration, meta: RequestMeta) {
        let queued = QueuedRequest {
            registration,
            deadline_us: now_us + meta.remaining_us,
            meta,
        };
        let queue = self.queue_index(&queued.meta);
        self.queues[queue].push_back(queued);
    }

    fn queue_index(&self, meta: &RequestMeta) -> usize {
        if self.kind == Kind::Fifo {
            0
        } else {
            usize::from(meta.rank)
        }
    }

    fn index(&self, name: &str) -> Option<usize> {
        self.endpoints.iter().position(|e| &*e.spec.name == name)
    }

    fn finish(&mut self, now_us: Micros, id: RequestId, tokens: Option<u32>) {
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

    fn can_meet_deadline(&self, now_us: Micros, queued: &QueuedRequest) -> bool {
        if self.kind == Kind::Fifo {
            return true;
        }
        let meta = &queued.meta;
        let tokens = self
            .lengths
            .predict(&meta.organisation, meta.rank, meta.prompt_tokens, 0.6);
        let time_left_us = queued.deadline_us.saturating_sub(now_us) as f64;
        let fastest = self
            .endpoints
            .iter()
            .map(|e| e.idle_finish_us(meta.prompt_tokens, tokens));
        fastest.fold(f64::INFINITY, f64::min) <= time_left_us
    }

    fn is_available(&self, now_us: Micros, index: usize) -> bool {
        let endpoint = &self.endpoints[index];
        now_us >= self.quarantined_until_us[index] && endpoint.running() < endpoint.spec.slots
    }

    fn select_endpoint(&mut self, now_us: Micros) -> Option<usize> {
        let count = self.endpoints.len();
        let open: Vec<usize> = (0..count)
            .filter(|i| self.is_available(now_us, *i))
            .collect();
        if open.is_empty() {
            return None;
        }
        match self.kind {
            Kind::RoundRobin => {
                let next_endpoint = open
                    .iter()
                    .find(|i| **i >= self.next_endpoint)
                    .or(open.first())
                    .copied()?;
                self.next_endpoint = (next_endpoint + 1) % count;
                Some(next_endpoint)
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

    fn grant(
        &mut self,
        now_us: Micros,
        queued: QueuedRequest,
        index: usize,
        out: &mut Vec<Action>,
    ) {
        let QueuedRequest {
            registration, meta, ..
        } = queued;
        self.endpoints[index].grant(now_us, grant_details(now_us, &meta));
        out.push(Action::Grant {
            registration,
            id: meta.id,
            endpoint: self.endpoints[index].spec.name.clone(),
            cached_tokens: 0,
        });
        self.running.insert(meta.id, (index, meta));
    }
}

fn grant_details(now_us: Micros, meta: &RequestMeta) -> GrantDetails {
    GrantDetails {
        id: meta.id,
        rank: meta.rank,
        deadline_us: now_us + meta.remaining_us,
        uncached_tokens: meta.prompt_tokens,
        output_tokens: 0,
    }
}
