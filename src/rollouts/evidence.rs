//! Answers of a service's endpoints during a roll-out, by route and group of versions: counted by each instance, sent to
//! the watchers as cumulative reports, and summed there.
//!
//! A sum keeps what is new in each report in buckets by time, because the two versions are compared by what they
//! answered at the same time: a surge harms both.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{AnswerQuality, VersionGroup};
use crate::{
    balance::load::EndpointKey,
    prelude::{Incarnation, Micros},
};

/// Routes that are counted separately; answers of all further ones are counted as of [`OTHER_ROUTES`].
const MAX_ROUTES: usize = 16;
/// Stands for all routes beyond [`MAX_ROUTES`].
const OTHER_ROUTES: u32 = 0;
/// Endpoints whose bad answers are counted, per route; a version with more bad endpoints than that is bad.
const MAX_ENDPOINT_ENTRIES: usize = 64;
/// Endpoints and routes with the most bad answers that a report holds, about 12 bytes each: four endpoints on three
/// routes.
const MAX_REPORTED_ENDPOINTS: usize = 12;
/// Slow answers that weigh as much as a failure in the choice of these: a surge makes many answers of all slow.
const SLOW_PER_FAILURE: u32 = 4;
/// Instances whose reports are kept; several times the largest group, with restarts.
const MAX_INSTANCES: usize = 4_096;
/// Time within which answers of both groups are taken as given at the same time: twice the usual report interval.
const BUCKET_US: Micros = 500_000;
/// Buckets kept, for a minute in steps of [`BUCKET_US`]; older ones are merged.
const MAX_BUCKETS: usize = 120;
/// A report counts as recent for this time: three of the longest intervals.
const RECENT_US: Micros = 3_000_000;

const MIN_REPORT_INTERVAL_US: Micros = 250_000;
const MAX_REPORT_INTERVAL_US: Micros = 1_000_000;
/// Instances that report at the shortest interval; larger groups report more rarely, so that a watcher receives
/// about 160 reports a second, and in the largest groups as many as there are instances.
const MIN_INTERVAL_INSTANCES: u64 = 40;

/// Returns the interval between the reports of an instance in a group of `instances`.
pub fn report_interval_us(instances: usize) -> Micros {
    let interval_us = MIN_REPORT_INTERVAL_US * instances as u64 / MIN_INTERVAL_INSTANCES;
    interval_us.clamp(MIN_REPORT_INTERVAL_US, MAX_REPORT_INTERVAL_US)
}

/// Numbers of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answers {
    /// All answers.
    pub total: u32,
    /// Those that failed.
    pub failed: u32,
    /// Those that were several times slower than expected.
    pub slow: u32,
}

impl Answers {
    fn note(&mut self, quality: AnswerQuality) {
        let one = match quality {
            AnswerQuality::Good => Self {
                total: 1,
                ..Self::default()
            },
            AnswerQuality::Failed => Self {
                total: 1,
                failed: 1,
                slow: 0,
            },
            AnswerQuality::Slow => Self {
                total: 1,
                failed: 0,
                slow: 1,
            },
        };
        self.add(one);
    }

    pub(super) fn add(&mut self, other: Self) {
        self.total = self.total.saturating_add(other.total);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
    }

    fn since(self, earlier: Self) -> Self {
        Self {
            total: self.total.saturating_sub(earlier.total),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }

    fn max(self, other: Self) -> Self {
        Self {
            total: self.total.max(other.total),
            failed: self.failed.max(other.failed),
            slow: self.slow.max(other.slow),
        }
    }

    /// Returns the number of failed and slow answers.
    pub fn bad(self) -> u32 {
        self.failed.saturating_add(self.slow)
    }
}

/// Answers on a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteAnswers {
    /// By endpoints of the target version.
    pub target: Answers,
    /// By endpoints of other versions.
    pub others: Answers,
}

impl RouteAnswers {
    fn group(&mut self, group: VersionGroup) -> &mut Answers {
        match group {
            VersionGroup::Target => &mut self.target,
            VersionGroup::Others => &mut self.others,
        }
    }

    fn total(self) -> u64 {
        u64::from(self.target.total) + u64::from(self.others.total)
    }

    fn add(&mut self, other: Self) {
        self.target.add(other.target);
        self.others.add(other.others);
    }

    fn since(self, earlier: Self) -> Self {
        Self {
            target: self.target.since(earlier.target),
            others: self.others.since(earlier.others),
        }
    }
}

/// Bad answers of an endpoint of the target version on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointAnswers {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Hash of the route.
    pub route: u32,
    /// Its bad answers; only these are counted.
    pub bad: Answers,
}

/// What an instance saw of an order since its start, as it sends it to the watchers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Answers by hash of the route.
    pub routes: Vec<(u32, RouteAnswers)>,
    /// Endpoints of the target version with the most bad answers.
    pub worst: Vec<EndpointAnswers>,
    /// The instance's requests that endpoints of other versions run.
    pub in_flight_others: u32,
    /// The instance sends no new request to other versions.
    pub has_shifted: bool,
}

impl EvidenceReport {
    fn total(&self) -> u64 {
        self.routes.iter().map(|(_, answers)| answers.total()).sum()
    }
}

/// What one instance saw of an order since its start.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    routes: BTreeMap<u32, RouteAnswers>,
    bad_by_endpoint: HashMap<(EndpointKey, u32), Answers>,
}

impl Evidence {
    /// Records an answer of an endpoint to a request on a route, given by its hash.
    pub fn note_answer(
        &mut self,
        route: u32,
        group: VersionGroup,
        endpoint: EndpointKey,
        quality: AnswerQuality,
    ) {
        let is_counted = self.routes.contains_key(&route) || self.routes.len() < MAX_ROUTES;
        let route = if is_counted { route } else { OTHER_ROUTES };
        self.routes
            .entry(route)
            .or_default()
            .group(group)
            .note(quality);
        if group == VersionGroup::Target && quality != AnswerQuality::Good {
            self.note_bad(endpoint, route, quality);
        }
    }

    fn note_bad(&mut self, endpoint: EndpointKey, route: u32, quality: AnswerQuality) {
        let key = (endpoint, route);
        let is_full = self.bad_by_endpoint.len() >= MAX_ENDPOINT_ENTRIES;
        if !is_full || self.bad_by_endpoint.contains_key(&key) {
            self.bad_by_endpoint.entry(key).or_default().note(quality);
        }
    }

    /// Returns the report of what was seen so far, with the number of requests in flight at other versions and whether
    /// the instance sends no new ones there.
    pub fn report(&self, in_flight_others: u32, has_shifted: bool) -> EvidenceReport {
        let mut worst: Vec<EndpointAnswers> = self
            .bad_by_endpoint
            .iter()
            .map(|(&(endpoint, route), &bad)| EndpointAnswers {
                endpoint,
                route,
                bad,
            })
            .collect();
        worst.sort_unstable_by_key(|e| (std::cmp::Reverse(weight(e.bad)), e.endpoint, e.route));
        worst.truncate(MAX_REPORTED_ENDPOINTS);
        EvidenceReport {
            routes: self
                .routes
                .iter()
                .map(|(&r, &answers)| (r, answers))
                .collect(),
            worst,
            in_flight_others,
            has_shifted,
        }
    }
}

fn weight(bad: Answers) -> u32 {
    bad.failed
        .saturating_mul(SLOW_PER_FAILURE)
        .saturating_add(bad.slow)
}

/// What instances saw within a short time.
#[derive(Clone, Debug, Default)]
pub(super) struct Bucket {
    started_us: Micros,
    pub(super) routes: BTreeMap<u32, RouteAnswers>,
    pub(super) bad_by_endpoint: HashMap<(EndpointKey, u32), Answers>,
}

impl Bucket {
    fn merge(&mut self, later: Self) {
        for (route, answers) in later.routes {
            self.routes.entry(route).or_default().add(answers);
        }
        for (key, bad) in later.bad_by_endpoint {
            self.bad_by_endpoint.entry(key).or_default().add(bad);
        }
    }
}

/// What is known of one instance.
#[derive(Clone, Debug, Default)]
struct InstanceRecord {
    report: EvidenceReport,
    reported_us: Micros,
    bad_by_endpoint: HashMap<(EndpointKey, u32), Answers>,
}

impl InstanceRecord {
    /// Takes a report in and adds what is new in it to the bucket.
    fn apply(&mut self, report: EvidenceReport, bucket: &mut Bucket) {
        for &(route, answers) in &report.routes {
            let known = self.report.routes.iter().find(|(r, _)| *r == route);
            let new = answers.since(known.map_or_else(RouteAnswers::default, |(_, a)| *a));
            bucket.routes.entry(route).or_default().add(new);
        }
        for entry in &report.worst {
            // Entries of a report come and go with the order of endpoints, so the highest counts are kept.
            let key = (entry.endpoint, entry.route);
            let known = self.bad_by_endpoint.entry(key).or_default();
            let new = entry.bad.since(*known);
            *known = known.max(entry.bad);
            bucket.bad_by_endpoint.entry(key).or_default().add(new);
        }
        self.report = report;
    }
}

/// The sum of the reports of all instances, at a watcher.
#[derive(Clone, Debug, Default)]
pub struct EvidenceSum {
    instances: HashMap<Incarnation, InstanceRecord>,
    buckets: VecDeque<Bucket>,
    target_endpoints: u32,
}

impl EvidenceSum {
    /// Takes a report in: it replaces the one before from that run of an instance. The counts of an instance that was
    /// lost stay. A report that is older than the one known is ignored.
    pub fn apply(&mut self, now_us: Micros, from: Incarnation, report: EvidenceReport) {
        let is_known = self.instances.contains_key(&from);
        if !is_known && self.instances.len() >= MAX_INSTANCES {
            return;
        }
        let record = self.instances.entry(from).or_default();
        if report.total() < record.report.total() {
            return;
        }
        record.reported_us = now_us;
        let bucket = open_bucket(&mut self.buckets, now_us);
        record.apply(report, bucket);
    }

    /// Records the number of endpoints of the target version. The most so far counts: an endpoint that crashed is one of
    /// them.
    pub fn note_target_endpoints(&mut self, endpoints: u32) {
        self.target_endpoints = self.target_endpoints.max(endpoints);
    }

    /// Returns the most endpoints that the target version had.
    pub fn target_endpoints(&self) -> u32 {
        self.target_endpoints
    }

    /// Returns the number of instances whose report is recent and says that they send nothing to other versions and
    /// have nothing in flight there.
    pub fn drained_instances(&self, now_us: Micros) -> usize {
        self.instances
            .values()
            .filter(|i| now_us.saturating_sub(i.reported_us) < RECENT_US)
            .filter(|i| i.report.has_shifted && i.report.in_flight_others == 0)
            .count()
    }

    /// Returns all answers on all routes.
    pub fn answers(&self) -> RouteAnswers {
        let mut sum = RouteAnswers::default();
        for answers in self.buckets.iter().flat_map(|b| b.routes.values()) {
            sum.add(*answers);
        }
        sum
    }

    pub(super) fn buckets(&self) -> impl Iterator<Item = &Bucket> {
        self.buckets.iter()
    }
}

/// Returns the bucket for a report that arrives now; merges the oldest two if there are too many.
fn open_bucket(buckets: &mut VecDeque<Bucket>, now_us: Micros) -> &mut Bucket {
    let is_open = buckets
        .back()
        .is_some_and(|b| now_us.saturating_sub(b.started_us) < BUCKET_US);
    if !is_open {
        if buckets.len() >= MAX_BUCKETS
            && let Some(mut oldest) = buckets.pop_front()
            && let Some(next) = buckets.pop_front()
        {
            oldest.merge(next);
            buckets.push_front(oldest);
        }
        buckets.push_back(Bucket {
            started_us: now_us,
            ..Bucket::default()
        });
    }
    let last = buckets.len() - 1;
    &mut buckets[last]
}
