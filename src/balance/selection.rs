//! Looks for the endpoint that costs a request least.

use crate::{
    balance::{
        balancer::{Balancer, Choice, ENDPOINT_LIMITS, Endpoint, Placement, refuse_for_capacity},
        cost::{EndpointState, Expected, PlacementRequest, estimate_cost},
        load::{EndpointKey, LoadEstimate},
        load_view::ClusterSize,
        readiness::{ENDPOINTS_BACKING_OFF, Readiness, retry_delay_until_ms},
    },
    prelude::Micros,
};

/// Endpoints of other halls that are looked at for a request. What is known of them is some tenths of
/// a second old: if all instances looked at all, all would send to the same one within that time.
const MAX_REMOTE_CANDIDATES: usize = 4;
/// In a large group, endpoints of the own hall that are looked at: some 30 instances of a hall place as
/// many requests in the 40 ms before they hear of each other, and whoever looked idle to all was not.
/// Late first events of a calm day over 78 instances and 30 endpoints a hall, of two kinds of request:
/// all looked at 314 and 325, twelve 217 and 204, six 143 and 151, four 186 and 199.
const MAX_LOCAL_CANDIDATES: usize = 6;
/// Spreads numbers that differ little; 2^64 over the golden ratio.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
/// Why a request is refused: no endpoint of its service is known that does not leave.
const NO_ENDPOINT: &str = "no_endpoint";
/// Why a request is refused: the data centres of all endpoints that could take it are evacuated.
const DATA_CENTRES_EVACUATED: &str = "data_centres_evacuated";
/// Why a request is refused: all endpoints are in regions in which it may not be served.
const NO_ENDPOINT_IN_REGIONS: &str = "no_endpoint_at_home";
/// When a caller may come back for whom there is no endpoint at all.
const NO_ENDPOINT_RETRY_MS: u32 = 600;

/// Returns whichever endpoint costs less.
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

/// What was found for a request.
pub(super) struct Selection {
    /// The endpoint that costs least of those that may be sent to now.
    pub(super) best: Option<Choice>,
    /// One that would cost no more, and for which a permit is needed and may be asked for.
    pub(super) limited: Option<EndpointKey>,
    /// There are endpoints for which a permit is needed.
    has_limited: bool,
    /// The data centres of some are evacuated.
    has_evacuated: bool,
    /// Some are in regions in which the request may not be served.
    has_outside_regions: bool,
    /// All that do not leave are at rest, the first of them until this time.
    earliest_available_us: Option<Micros>,
}

impl Selection {
    /// Returns what becomes of a request that no endpoint may be sent.
    pub(super) fn refusal(&self, now_us: Micros, request: &PlacementRequest) -> Placement {
        if self.has_limited {
            // Waiting would not help: whoever is told at once comes back sooner.
            return refuse_for_capacity(now_us, request, ENDPOINT_LIMITS);
        }
        if let Some(available_at_us) = self.earliest_available_us {
            return Placement::Refuse {
                reason: ENDPOINTS_BACKING_OFF,
                retry_after_ms: retry_delay_until_ms(now_us, available_at_us),
            };
        }
        let reason = match (self.has_evacuated, self.has_outside_regions) {
            (true, _) => DATA_CENTRES_EVACUATED,
            (false, true) => NO_ENDPOINT_IN_REGIONS,
            (false, false) => NO_ENDPOINT,
        };
        Placement::Refuse {
            reason,
            retry_after_ms: NO_ENDPOINT_RETRY_MS,
        }
    }
}

impl Balancer {
    /// Looks for the endpoint that costs a request least. Those in `tried` are not chosen, nor those that need a permit but
    /// for the one that there is a permit for.
    pub(super) fn select(
        &self,
        now_us: Micros,
        request: &PlacementRequest,
        tried: &[EndpointKey],
        permit: Option<EndpointKey>,
    ) -> Selection {
        let mut best: Option<(EndpointKey, Expected)> = None;
        let mut limited: Option<(EndpointKey, Expected)> = None;
        let mut has_limited = false;
        let (mut all_backing_off, mut earliest_available_us) = (true, Micros::MAX);
        let mut has_evacuated = false;
        let mut has_outside_regions = false;
        let max_local = match self.load_view.cluster_size() {
            ClusterSize::Large if !self.load_view.is_hall_aggregator() => MAX_LOCAL_CANDIDATES,
            _ => usize::MAX,
        };
        let (mut local, mut remote) = (0, 0);
        for key in self.rotated_keys(now_us, request) {
            let is_enough = local >= max_local && remote >= MAX_REMOTE_CANDIDATES;
            if is_enough && !self.has_limits() {
                break;
            }
            let Some(endpoint) = self.endpoints.get(&key) else {
                continue;
            };
            if !self.is_in_allowed_region(&request.homes, endpoint) {
                has_outside_regions = true;
                continue;
            }
            let is_candidate = if endpoint.same_hall {
                local < max_local
            } else {
                remote < MAX_REMOTE_CANDIDATES
            };
            let readiness = self.readiness_of(now_us, key, endpoint);
            match readiness {
                Readiness::Leaving => continue,
                Readiness::Evacuated => {
                    has_evacuated = true;
                    continue;
                }
                Readiness::BackoffUntil(until_us) => {
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
            remote += usize::from(!endpoint.same_hall);
            local += usize::from(endpoint.same_hall);
            best = cheaper(best, key, expected);
        }
        let is_no_worse = |expected: Expected| best.is_none_or(|(_, b)| expected.cost <= b.cost);
        Selection {
            best: best.and_then(|(key, expected)| self.choice(key, expected)),
            limited: limited.filter(|(_, l)| is_no_worse(*l)).map(|(key, _)| key),
            has_limited,
            has_evacuated,
            has_outside_regions,
            earliest_available_us: (all_backing_off && earliest_available_us < Micros::MAX)
                .then_some(earliest_available_us),
        }
    }

    fn load_estimate(&self, now_us: Micros, key: EndpointKey, endpoint: &Endpoint) -> LoadEstimate {
        self.load_view.estimate(
            now_us,
            key,
            &endpoint.entry.service,
            &endpoint.entry.hall,
            endpoint.same_hall,
        )
    }

    /// Returns a service's endpoints from a place on that differs by request and time: one that
    /// waits looks at others the next time.
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
        let own = &endpoint.speed;
        // Only the reading of prompts tells whether an endpoint is known.
        let service_speed = self.service_speeds.get(&endpoint.entry.service);
        let service_speed = service_speed.filter(|_| request.is_stream);
        let mut load = self.load_estimate(now_us, key, endpoint);
        if self.standings.wants_rest(now_us, key) {
            // It asked others for rest: as one whose slots are taken beside.
            load.requests += f64::from(endpoint.entry.slots);
        }
        let state = EndpointState {
            load,
            speed: service_speed.filter(|_| !own.has_samples()).unwrap_or(own),
            failure_share: own.decayed_failure_share(now_us),
            slots: endpoint.entry.slots,
            same_hall: endpoint.same_hall,
            cached_tokens: cached,
        };
        estimate_cost(now_us, request, state)
    }
}
