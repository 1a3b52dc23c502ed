//! Places at endpoints that a balancer gives to other instances, and takes from them.

use crate::{
    balance::{
        balancer::{Balancer, Choice, Placement},
        cost::{Expected, PlacementRequest},
        grants::Grant,
        load::{EndpointKey, InFlight, KeyRange},
        readiness::Readiness,
    },
    prelude::{Incarnation, Micros},
};

impl Balancer {
    /// Notes that what was just placed is another instance's, which asked for it under a number.
    pub fn grant_to_peer(
        &mut self,
        now_us: Micros,
        choice: &Choice,
        grantee: Incarnation,
        number: u64,
    ) {
        let uncached_tokens = choice.expected.uncached_tokens;
        self.load_view.record_ended(choice.key, uncached_tokens);
        self.load_view.add_grant(choice.key, uncached_tokens);
        let grant = Grant {
            number,
            key: choice.key,
            uncached_tokens,
            at_us: now_us,
        };
        self.grants.record(grantee, grant);
    }

    /// Takes what another instance of the hall has at endpoints, all that it asked for up to a number
    /// included.
    pub fn apply_grantee_report(
        &mut self,
        now_us: Micros,
        from: Incarnation,
        loads: &[(EndpointKey, InFlight)],
        settled: u64,
    ) {
        self.load_view
            .apply_peer_loads(now_us, from, KeyRange::ALL, loads);
        for grant in self.grants.take_reported(from, settled) {
            self.load_view
                .release_grant(grant.key, grant.uncached_tokens);
        }
    }

    /// Sends a request where another instance found a place for it; none if the endpoint is not known
    /// here, leaves, or asked this instance for rest.
    pub fn place_granted(
        &mut self,
        now_us: Micros,
        request: &PlacementRequest,
        key: EndpointKey,
        expected: Expected,
    ) -> Option<Placement> {
        match self.readiness(now_us, key) {
            Readiness::Leaving | Readiness::Evacuated | Readiness::BackoffUntil(_) => return None,
            Readiness::Ready | Readiness::NeedsPermit => {}
        }
        let choice = self.choice(key, expected)?;
        // Whoever gave the place has used a permit if one was needed.
        Some(self.dispatch(now_us, request, choice))
    }
}
