//! Selection of the endpoint with the lowest cost for a request.

use crate::{
    balance::{
        balancer::{Balancer, Choice, ENDPOINT_LIMITS, Endpoint, Placement, refuse_for_capacity},
        cost::{EndpointState, Expected, PlacementRequest, estimate_cost},
        load::{EndpointKey, LoadEstimate},
        load_view::ClusterSize,
        readiness::{ENDPOINTS_BACKING_OFF, Readiness, retry_delay_until_ms},
        versions::VersionRule,
    },
    prelude::Micros,
    rollouts::{VersionChoice, VersionGroup},
};

/// Endpoints in other halls that are considered for one request. Their load is known with a delay
/// of some tenths of a second: if all instances considered all endpoints, all of them would pick
/// the same one within that time.
const MAX_REMOTE_CANDIDATES: usize = 4;
/// Endpoints in the own hall that are considered for one request in a large cluster. Some 30
/// instances of a hall place as many requests in the 40 ms before they learn of each other's, so an
/// endpoint that looks idle to all of them is overloaded.
///
/// Late first events on a day without surges, 78 instances and 30 endpoints per hall, for two kinds
/// of request: all endpoints considered 314 and 325, twelve 217 and 204, six 143 and 151, four 186
/// and 199.
const MAX_LOCAL_CANDIDATES: usize = 6;
/// Multiplier for Fibonacci hashing, 2^64 divided by the golden ratio: spreads inputs that differ
/// little.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
/// Refusal reason: the service has no known endpoint that is not leaving.
const NO_ENDPOINT: &str = "no_endpoint";
/// Refusal reason: the data centres of all eligible endpoints are evacuated.
const DATA_CENTRES_EVACUATED: &str = "data_centres_evacuated";
/// Refusal reason: all endpoints are outside the regions allowed for the request.
const NO_ENDPOINT_IN_REGIONS: &str = "no_endpoint_at_home";
/// Refusal reason: the endpoints are of other versions than the one that the request is bound to.
const NO_ENDPOINT_OF_VERSION: &str = "no_endpoint_of_version";
/// Retry delay when there is no eligible endpoint at all, in milliseconds.
const NO_ENDPOINT_RETRY_MS: u32 = 600;

/// Returns the candidate with the lower cost; a tie goes to the first.
fn cheaper(
    best: Option<(EndpointKey, Expected)>,
    key: EndpointKey,
    expected: Expected,
) -> Option<(EndpointKey, Expected)> {
    match best {
        Some((_, known)) if known.cost <= expected.cost => best,
        _ => Some((key, expected)),
    }
}

/// Which versions of the endpoints' software a request may use.
#[derive(Clone, Copy)]
struct VersionFilter<'r> {
    rule: Option<&'r VersionRule>,
    /// Only those that the store lists as in service.
    is_listed_only: bool,
}

/// The result of a search for an endpoint.
pub(super) struct Selection {
    /// The cheapest endpoint that may be used now.
    pub(super) best: Option<Choice>,
    /// An endpoint that costs no more than `best`, needs a permit, and for which one may be
    /// requested.
    pub(super) limited: Option<EndpointKey>,
    /// Some endpoints need a permit.
    has_limited: bool,
    /// Some endpoints are in evacuated data centres.
    has_evacuated: bool,
    /// Some endpoints are outside the regions allowed for the request.
    has_outside_regions: bool,
    /// Some endpoints are of versions that the request may not use.
    has_other_versions: bool,
    /// Set if all endpoints that are not leaving are backing off: the time at which the first is
    /// available again.
    earliest_available_us: Option<Micros>,
}

impl Selection {
    /// Returns the refusal of a request for which no endpoint is available.
    pub(super) fn refusal(&self, now_us: Micros, request: &PlacementRequest) -> Placement {
        if self.has_limited {
            // Waiting would not help: a caller that is refused at once retries sooner.
            return refuse_for_capacity(now_us, request, ENDPOINT_LIMITS);
        }
        if let Some(available_at_us) = self.earliest_available_us {
            return Placement::Refuse {
                reason: ENDPOINTS_BACKING_OFF,
                retry_after_ms: retry_delay_until_ms(now_us, available_at_us),
            };
        }
        let reason = if self.has_evacuated {
            DATA_CENTRES_EVACUATED
        } else if self.has_outside_regions {
            NO_ENDPOINT_IN_REGIONS
        } else if self.has_other_versions {
            NO_ENDPOINT_OF_VERSION
        } else {
            NO_ENDPOINT
        };
        Placement::Refuse {
            reason,
            retry_after_ms: NO_ENDPOINT_RETRY_MS,
        }
    }
}

impl Balancer {
    /// Finds the cheapest endpoint for a request. Endpoints in `tried` are excluded, and those that
    /// need a permit, except the one for which `permit` is held.
    pub(super) fn select(
        &self,
        now_us: Micros,
        request: &PlacementRequest,
        tried: &[EndpointKey],
        permit: Option<EndpointKey>,
    ) -> Selection {
        let rule = request.versions.as_ref();
        let filter = VersionFilter {
            rule,
            is_listed_only: self.can_use_listed(now_us, request, tried, rule),
        };
        if let Some(rule) = rule.filter(|rule| rule.choice == VersionChoice::PreferTarget) {
            let target = VersionFilter {
                rule: Some(&rule.only(VersionGroup::Target)),
                ..filter
            };
            let selection = self.select_among(now_us, request, tried, permit, target);
            let has_room = |choice: &Choice| choice.expected.has_room;
            if selection.best.as_ref().is_some_and(has_room) {
                return selection;
            }
        }
        self.select_among(now_us, request, tried, permit, filter)
    }

    /// Returns whether a stream has to begin at a version that the store lists: some endpoints run one and could take it,
    /// and others run one that the store does not list yet. After a loss of all instances, nothing else would show that
    /// streams began at a version that left meanwhile.
    fn can_use_listed(
        &self,
        now_us: Micros,
        request: &PlacementRequest,
        tried: &[EndpointKey],
        rule: Option<&VersionRule>,
    ) -> bool {
        if !request.is_stream || !self.versions().is_partly_listed(&request.service) {
            return false;
        }
        let filter = VersionFilter {
            rule,
            is_listed_only: true,
        };
        let untried = self.keys_of(&request.service).iter();
        let mut untried = untried.filter(|key| !tried.contains(key));
        untried.any(|key| {
            self.endpoints.get(key).is_some_and(|endpoint| {
                self.passes(filter, endpoint)
                    && self.is_in_allowed_region(&request.allowed_regions, endpoint)
                    && !matches!(
                        self.readiness_of(now_us, *key, endpoint),
                        Readiness::Leaving | Readiness::Evacuated
                    )
            })
        })
    }

    fn passes(&self, filter: VersionFilter<'_>, endpoint: &Endpoint) -> bool {
        let entry = &endpoint.entry;
        filter.rule.is_none_or(|rule| rule.allows(&entry.version))
            && (!filter.is_listed_only || self.versions().is_listed(&entry.service, &entry.version))
    }

    /// Finds the cheapest endpoint among those of the versions that pass a filter.
    fn select_among(
        &self,
        now_us: Micros,
        request: &PlacementRequest,
        tried: &[EndpointKey],
        permit: Option<EndpointKey>,
        filter: VersionFilter<'_>,
    ) -> Selection {
        let mut best: Option<(EndpointKey, Expected)> = None;
        let mut limited: Option<(EndpointKey, Expected)> = None;
        let mut has_limited = false;
        let (mut all_backing_off, mut earliest_available_us) = (true, Micros::MAX);
        let mut has_evacuated = false;
        let mut has_outside_regions = false;
        let mut has_other_versions = false;
        let max_local = match self.load_view.cluster_size() {
            ClusterSize::Large if !self.load_view.is_hall_aggregator() => MAX_LOCAL_CANDIDATES,
            _ => usize::MAX,
        };
        let (mut local_count, mut remote_count) = (0, 0);
        for key in self.rotated_keys(now_us, request) {
            let has_enough = local_count >= max_local && remote_count >= MAX_REMOTE_CANDIDATES;
            if has_enough && !self.has_limits() {
                break;
            }
            let Some(endpoint) = self.endpoints.get(&key) else {
                continue;
            };
            if !self.passes(filter, endpoint) {
                has_other_versions = true;
                continue;
            }
            if !self.is_in_allowed_region(&request.allowed_regions, endpoint) {
                has_outside_regions = true;
                continue;
            }
            let is_candidate = if endpoint.same_hall {
                local_count < max_local
            } else {
                remote_count < MAX_REMOTE_CANDIDATES
            };
            let readiness = self.readiness_of(now_us, key, endpoint);
            match readiness {
                Readiness::Leaving => continue,
                Readiness::Evacuated => {
                    has_evacuated = true;
                    continue;
                }
                Readiness::BackOffUntil(until_us) => {
                    earliest_available_us = earliest_available_us.min(until_us);
                    continue;
                }
                Readiness::Ready | Readiness::NeedsPermit => all_backing_off = false,
            }
            if tried.contains(&key) {
                continue;
            }
            let needs_permit = readiness == Readiness::NeedsPermit && permit != Some(key);
            if !is_candidate && !needs_permit && permit != Some(key) {
                continue;
            }
            has_limited |= needs_permit;
            if needs_permit && !self.may_request_permit(now_us, key, request.rank) {
                continue;
            }
            let expected = self.estimate_cost(now_us, request, key, endpoint);
            if needs_permit {
                limited = cheaper(limited, key, expected);
                continue;
            }
            remote_count += usize::from(!endpoint.same_hall);
            local_count += usize::from(endpoint.same_hall);
            best = cheaper(best, key, expected);
        }
        let is_no_worse = |expected: Expected| best.is_none_or(|(_, b)| expected.cost <= b.cost);
        Selection {
            best: best.and_then(|(key, expected)| self.choice(key, expected)),
            limited: limited.filter(|(_, l)| is_no_worse(*l)).map(|(key, _)| key),
            has_limited,
            has_evacuated,
            has_outside_regions,
            has_other_versions,
            earliest_available_us: (all_backing_off && earliest_available_us < Micros::MAX)
                .then_some(earliest_available_us),
        }
    }

    pub(super) fn load_estimate(
        &self,
        now_us: Micros,
        key: EndpointKey,
        endpoint: &Endpoint,
    ) -> LoadEstimate {
        self.load_view.estimate(
            now_us,
            key,
            &endpoint.entry.service,
            &endpoint.entry.hall,
            endpoint.same_hall,
        )
    }

    /// Returns a service's endpoints from an offset that depends on the request and the time, so
    /// that a waiting request considers other endpoints in each round.
    fn rotated_keys(
        &self,
        now_us: Micros,
        request: &PlacementRequest,
    ) -> impl Iterator<Item = EndpointKey> {
        let keys = self.keys_of(&request.service);
        let mixed = (request.draw ^ now_us).wrapping_mul(GOLDEN_RATIO) >> 32;
        let begin = mixed as usize % keys.len().max(1);
        let (before, after) = keys.split_at(begin);
        after.iter().chain(before).copied()
    }

    fn estimate_cost(
        &self,
        now_us: Micros,
        request: &PlacementRequest,
        key: EndpointKey,
        endpoint: &Endpoint,
    ) -> Expected {
        let cached = self.holders.cached_tokens(now_us, &request.chains, key);
        let endpoint_speed = &endpoint.speed;
        // Only the prompt speed shows whether an endpoint has samples, and only streams use it.
        let service_speed = self.service_speeds.get(&endpoint.entry.service);
        let service_speed = service_speed.filter(|_| request.is_stream);
        let mut load = self.load_estimate(now_us, key, endpoint);
        if self.announcements.wants_back_off(now_us, key) {
            // It asked other instances to back off: counts as if all its slots were taken in
            // addition.
            load.requests += f64::from(endpoint.entry.slots);
        }
        let state = EndpointState {
            load,
            speed: service_speed
                .filter(|_| !endpoint_speed.has_samples())
                .unwrap_or(endpoint_speed),
            failure_share: endpoint_speed.decayed_failure_share(now_us),
            slots: endpoint.entry.slots,
            same_hall: endpoint.same_hall,
            cached_tokens: cached,
        };
        estimate_cost(now_us, request, state)
    }
}
