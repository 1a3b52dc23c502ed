//! Looks for the endpoint that costs a request least.

use crate::{
    balance::{
        balancer::{Balancer, Choice, ENDPOINT_LIMITS, Endpoint, Placement, refused},
        cost::{Ask, Expected, Known, expect},
        load::{Believed, EndpointKey},
        picture::Group,
        standing::{ENDPOINTS_REST, Standing, back_ms},
    },
    prelude::Micros,
};

/// Endpoints of other halls that are looked at for a request. What is known of them is some tenths of
/// a second old: if all instances looked at all, all would send to the same one within that time.
const FAR_LOOKED_AT: usize = 4;
/// In a large group, endpoints of the own hall that are looked at: some 30 instances of a hall place as
/// many requests in the 40 ms before they hear of each other, and whoever looked idle to all was not.
/// Late first events of a calm day over 78 instances and 30 endpoints a hall, of two kinds of request:
/// all looked at 314 and 325, twelve 217 and 204, six 143 and 151, four 186 and 199.
const NEAR_LOOKED_AT: usize = 6;
/// Spreads numbers that differ little; 2^64 over the golden ratio.
const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
/// Why a request is refused: no endpoint of its service is known that does not leave.
const NO_ENDPOINT: &str = "no_endpoint";
/// Why a request is refused: the data centres of all endpoints that could take it are evacuated.
const DATA_CENTRES_EVACUATED: &str = "data_centres_evacuated";
/// Why a request is refused: all endpoints are in regions in which it may not be served.
const NO_ENDPOINT_AT_HOME: &str = "no_endpoint_at_home";
/// When a caller may come back for whom there is no endpoint at all.
const NO_ENDPOINT_RETRY_MS: u32 = 600;

/// Returns whichever endpoint costs less.
fn better(
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
pub(super) struct Found {
    /// The endpoint that costs least of those that may be sent to now.
    pub(super) best: Option<Choice>,
    /// One that would cost no more, and for which a permit is needed and may be asked for.
    pub(super) limited: Option<EndpointKey>,
    /// There are endpoints for which a permit is needed.
    has_limited: bool,
    /// The data centres of some are evacuated.
    is_evacuated: bool,
    /// Some are in regions in which the request may not be served.
    is_abroad: bool,
    /// All that do not leave are at rest, the first of them until this time.
    first_back_us: Option<Micros>,
}

impl Found {
    /// Returns what becomes of a request that no endpoint may be sent.
    pub(super) fn without_endpoint(&self, now_us: Micros, ask: &Ask) -> Placement {
        if self.has_limited {
            // Waiting would not help: whoever is told at once comes back sooner.
            return refused(now_us, ask, ENDPOINT_LIMITS);
        }
        if let Some(back_us) = self.first_back_us {
            return Placement::Refuse {
                reason: ENDPOINTS_REST,
                retry_after_ms: back_ms(now_us, back_us),
            };
        }
        let reason = match (self.is_evacuated, self.is_abroad) {
            (true, _) => DATA_CENTRES_EVACUATED,
            (false, true) => NO_ENDPOINT_AT_HOME,
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
    pub(super) fn best(
        &self,
        now_us: Micros,
        ask: &Ask,
        tried: &[EndpointKey],
        permit: Option<EndpointKey>,
    ) -> Found {
        let mut best: Option<(EndpointKey, Expected)> = None;
        let mut limited: Option<(EndpointKey, Expected)> = None;
        let mut has_limited = false;
        let (mut all_rest, mut first_back_us) = (true, Micros::MAX);
        let mut is_evacuated = false;
        let mut is_abroad = false;
        let near_looked_at = match self.picture.group() {
            Group::Large if !self.picture.is_ledger() => NEAR_LOOKED_AT,
            _ => usize::MAX,
        };
        let (mut near, mut far) = (0, 0);
        for key in self.in_turn(now_us, ask) {
            let is_enough = near >= near_looked_at && far >= FAR_LOOKED_AT;
            if is_enough && !self.has_limits() {
                break;
            }
            let Some(endpoint) = self.endpoints.get(&key) else {
                continue;
            };
            if !self.is_at_home(&ask.homes, endpoint) {
                is_abroad = true;
                continue;
            }
            let is_looked_at = if endpoint.same_hall {
                near < near_looked_at
            } else {
                far < FAR_LOOKED_AT
            };
            let standing = self.standing_of(now_us, key, endpoint);
            match standing {
                Standing::Leaves => continue,
                Standing::Evacuated => {
                    is_evacuated = true;
                    continue;
                }
                Standing::RestsUntil(until_us) => {
                    first_back_us = first_back_us.min(until_us);
                    continue;
                }
                Standing::Serves | Standing::NeedsPermit => all_rest = false,
            }
            if tried.contains(&key) {
                continue;
            }
            let needs_permit = standing == Standing::NeedsPermit && permit != Some(key);
            if !is_looked_at && !needs_permit && permit != Some(key) {
                continue;
            }
            has_limited |= needs_permit;
            if needs_permit && !self.may_ask_for_permit(now_us, key, ask.rank) {
                continue;
            }
            let expected = self.expect(now_us, ask, key, endpoint);
            if needs_permit {
                limited = better(limited, key, expected);
                continue;
            }
            far += usize::from(!endpoint.same_hall);
            near += usize::from(endpoint.same_hall);
            best = better(best, key, expected);
        }
        let is_wanted = |expected: Expected| best.is_none_or(|(_, b)| expected.cost <= b.cost);
        Found {
            best: best.and_then(|(key, expected)| self.choice(key, expected)),
            limited: limited.filter(|(_, l)| is_wanted(*l)).map(|(key, _)| key),
            has_limited,
            is_evacuated,
            is_abroad,
            first_back_us: (all_rest && first_back_us < Micros::MAX).then_some(first_back_us),
        }
    }

    fn believed(&self, now_us: Micros, key: EndpointKey, endpoint: &Endpoint) -> Believed {
        self.picture.believed(
            now_us,
            key,
            &endpoint.entry.service,
            &endpoint.entry.hall,
            endpoint.same_hall,
        )
    }

    /// Returns a service's endpoints from a place on that differs by request and time: one that
    /// waits looks at others the next time.
    fn in_turn(&self, now_us: Micros, ask: &Ask) -> impl Iterator<Item = EndpointKey> {
        let keys = self.keys_of(&ask.service);
        let mixed = (ask.draw ^ now_us).wrapping_mul(GOLDEN) >> 32;
        let begin = mixed as usize % keys.len().max(1);
        let (before, after) = keys.split_at(begin);
        after.iter().chain(before).copied()
    }

    fn expect(&self, now_us: Micros, ask: &Ask, key: EndpointKey, endpoint: &Endpoint) -> Expected {
        let cached = self.holders.cached_tokens(now_us, &ask.chains, key);
        let own = &endpoint.speed;
        // Only the reading of prompts tells whether an endpoint is known.
        let typical = self.typical.get(&endpoint.entry.service);
        let typical = typical.filter(|_| ask.is_stream);
        let mut load = self.believed(now_us, key, endpoint);
        if self.standings.wants_back_off(now_us, key) {
            // It asked others for rest: as one whose slots are taken beside.
            load.requests += f64::from(endpoint.entry.slots);
        }
        let known = Known {
            load,
            speed: typical.filter(|_| !own.is_learned()).unwrap_or(own),
            failing: own.failing_now(now_us),
            slots: endpoint.entry.slots,
            same_hall: endpoint.same_hall,
            cached_tokens: cached,
        };
        expect(now_us, ask, known)
    }
}
