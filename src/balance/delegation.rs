//! Placement on behalf of other instances: a hall's aggregator places their requests and grants
//! them the slots.

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
    /// Assigns the request that was just placed to another instance, which asked for it with the
    /// sequence number `number`.
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

    /// Applies the load report of another instance of the hall, which includes all its grants up to
    /// the sequence number `settled`.
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

    /// Sends a request to the endpoint that another instance chose for it; `None` if the endpoint
    /// is not known here, is leaving, is evacuated, asked this instance to back off, or is of a version that the request
    /// may not use.
    pub fn place_granted(
        &mut self,
        now_us: Micros,
        request: &PlacementRequest,
        key: EndpointKey,
        expected: Expected,
    ) -> Option<Placement> {
        match self.readiness(now_us, key) {
            Readiness::Leaving | Readiness::Evacuated | Readiness::BackOffUntil(_) => return None,
            Readiness::Ready | Readiness::NeedsPermit => {}
        }
        let version = &self.entry(key)?.version;
        let rule = request.versions.as_ref();
        if rule.is_some_and(|rule| !rule.allows(version)) {
            return None;
        }
        let choice = self.choice(key, expected)?;
        // The instance that granted the request has used a permit if one was needed.
        Some(self.dispatch(now_us, request, choice))
    }
}
