//! The instances of a modelled group.

use std::collections::{HashMap, VecDeque};

use ryevalve::{
    gateway::heard::{HEARD_US, SHARER_US},
    limits::organisation::{OrganisationLimits, Sharers, Teller, ToldUse},
    prelude::Incarnation,
};

use crate::{
    quota_model::{Case, RATE, TOLERANCE, is_paused, part_of},
    support::{MS, config, limited},
};

const REPORT_US: u64 = 100 * MS;

/// What a model drives.
pub trait Fleet {
    /// Starts all instances at 0.
    fn start(case: &Case) -> Self;
    /// Goes on to a moment.
    fn advance(&mut self, case: &Case, now_us: u64);
    /// A request comes to an instance.
    fn request(&mut self, now_us: u64, instance: usize, tokens: u32);
    /// An instance is killed and starts again.
    fn kill(&mut self, now_us: u64, instance: usize, down_us: u64);
    /// The limit changes at all instances; 0 takes it away.
    fn set_limit(&mut self, now_us: u64, times: f64);
    /// Returns the tokens of the requests that were let in since this was asked last.
    fn take_granted(&mut self) -> Vec<u32>;
}

struct Report {
    at_us: u64,
    from: usize,
    teller: Incarnation,
    started_us: u64,
    used: Vec<ToldUse>,
}

struct Instance {
    limits: OrganisationLimits,
    incarnation: Incarnation,
    started_us: u64,
    /// By address.
    heard_us: HashMap<usize, (u64, Incarnation)>,
}

/// Instances that report their use to each other.
pub struct Reporting {
    instances: Vec<Instance>,
    in_flight: VecDeque<Report>,
    times: f64,
    version: u64,
    granted: Vec<u32>,
    reported_us: u64,
    starts: u64,
}

impl Reporting {
    fn instance(&mut self, started_us: u64, is_first: bool) -> Instance {
        self.starts += 1;
        let mut limits = OrganisationLimits::new(started_us, TOLERANCE, is_first);
        configure(&mut limits, started_us, self.version, self.times);
        Instance {
            limits,
            incarnation: Incarnation(self.starts),
            started_us,
            heard_us: HashMap::new(),
        }
    }

    fn sharers(&self, now_us: u64, instance: usize) -> Sharers {
        let heard = &self.instances[instance].heard_us;
        let within = |span: u64| {
            let recent = heard.values().filter(|(at, _)| now_us - at < span);
            recent.count() + 1
        };
        Sharers {
            all: within(SHARER_US),
            heard: within(HEARD_US),
        }
    }

    fn deliver(&mut self, case: &Case, now_us: u64, report: &Report, sharers: &[Sharers]) {
        for to in 0..self.instances.len() {
            let is_cut = part_of(case, now_us, to) != part_of(case, now_us, report.from);
            let has_started = self.instances[to].started_us <= now_us;
            if to == report.from || is_cut || !has_started {
                continue;
            }
            let heard = (now_us, report.teller);
            self.instances[to].heard_us.insert(report.from, heard);
            let teller = Teller {
                incarnation: report.teller,
                uptime_us: now_us - report.started_us,
            };
            for told in &report.used {
                self.instances[to]
                    .limits
                    .told(now_us, teller, *told, sharers[to]);
            }
        }
    }

    fn forget_silent(&mut self, now_us: u64) {
        for instance in &mut self.instances {
            for (at_us, incarnation) in instance.heard_us.values() {
                let age_us = now_us - at_us;
                if (HEARD_US..HEARD_US + REPORT_US).contains(&age_us) {
                    instance.limits.forget(now_us, *incarnation);
                }
            }
        }
    }
}

fn configure(limits: &mut OrganisationLimits, now_us: u64, version: u64, times: f64) {
    let rate = RATE * times;
    let organisations = match times > 0.0 {
        true => vec![limited("org", rate, rate)],
        false => Vec::new(),
    };
    limits.configure(now_us, &config(version, vec![], organisations));
}

impl Fleet for Reporting {
    fn start(case: &Case) -> Self {
        let mut fleet = Self {
            instances: Vec::new(),
            in_flight: VecDeque::new(),
            times: 1.0,
            version: 1,
            granted: Vec::new(),
            reported_us: 0,
            starts: 0,
        };
        for _ in 0..case.instances {
            let instance = fleet.instance(0, true);
            fleet.instances.push(instance);
        }
        fleet
    }

    fn advance(&mut self, case: &Case, now_us: u64) {
        if is_paused(case, now_us) {
            return;
        }
        let is_due = |r: &Report| r.at_us <= now_us;
        let sharers: Vec<Sharers> = match self.in_flight.front().is_some_and(is_due) {
            true => (0..self.instances.len())
                .map(|i| self.sharers(now_us, i))
                .collect(),
            false => Vec::new(),
        };
        while self.in_flight.front().is_some_and(is_due) {
            if let Some(report) = self.in_flight.pop_front() {
                self.deliver(case, now_us, &report, &sharers);
            }
        }
        if now_us < self.reported_us + REPORT_US {
            return;
        }
        self.reported_us = now_us;
        self.forget_silent(now_us);
        let running = self.instances.iter().enumerate();
        let running = running.filter(|(_, i)| i.started_us <= now_us);
        for (from, instance) in running {
            self.in_flight.push_back(Report {
                at_us: now_us + case.delay_ms * MS,
                from,
                teller: instance.incarnation,
                started_us: instance.started_us,
                used: instance.limits.used(),
            });
        }
    }

    fn request(&mut self, now_us: u64, instance: usize, tokens: u32) {
        let sharers = self.sharers(now_us, instance);
        let instance = &mut self.instances[instance];
        if instance.started_us > now_us {
            return;
        }
        let taken = instance
            .limits
            .take(now_us, "org", Some(tokens), 0, sharers);
        if taken.is_ok() {
            instance.limits.spend("org", Some(tokens));
            self.granted.push(tokens);
        }
    }

    fn kill(&mut self, now_us: u64, instance: usize, down_us: u64) {
        self.instances[instance] = self.instance(now_us + down_us, false);
    }

    fn set_limit(&mut self, now_us: u64, times: f64) {
        self.times = times;
        self.version += 1;
        for instance in &mut self.instances {
            configure(&mut instance.limits, now_us, self.version, times);
        }
    }

    fn take_granted(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.granted)
    }
}
