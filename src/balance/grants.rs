//! Requests at endpoints that were granted to other instances and are not in their load reports
//! yet.
//!
//! Uses no clock or socket, so tests can drive it step by step.

use std::collections::{HashMap, VecDeque};

use crate::{
    balance::load::EndpointKey,
    prelude::{Incarnation, Micros},
};

/// A grant without a report of its grantee counts for this long: reports come every 40 ms, and one
/// or two may be lost.
const GRANT_TTL_US: Micros = 400_000;

/// A request at an endpoint that was granted to another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The grantee's sequence number of the grant request; increases.
    pub number: u64,
    /// The endpoint.
    pub key: EndpointKey,
    /// Prompt tokens that the endpoint has to process.
    pub uncached_tokens: u32,
    /// When it was granted.
    pub at_us: Micros,
}

/// The unreported grants, by grantee.
#[derive(Debug, Default)]
pub struct Grants {
    by_grantee: HashMap<Incarnation, VecDeque<Grant>>,
}

impl Grants {
    /// Adds a grant.
    pub fn record(&mut self, grantee: Incarnation, grant: Grant) {
        self.by_grantee.entry(grantee).or_default().push_back(grant);
    }

    /// Removes and returns the grants that a grantee's report includes: all up to a sequence
    /// number.
    pub fn take_reported(&mut self, grantee: Incarnation, number: u64) -> Vec<Grant> {
        self.extract(grantee, |grant| grant.number <= number)
    }

    /// Removes and returns expired grants.
    pub fn expire(&mut self, now_us: Micros) -> Vec<Grant> {
        let grantees: Vec<Incarnation> = self.by_grantee.keys().copied().collect();
        let is_old = |grant: &Grant| now_us.saturating_sub(grant.at_us) >= GRANT_TTL_US;
        let expired = grantees.into_iter().flat_map(|t| self.extract(t, is_old));
        expired.collect()
    }

    fn extract(
        &mut self,
        grantee: Incarnation,
        is_extracted: impl Fn(&Grant) -> bool,
    ) -> Vec<Grant> {
        let Some(grants) = self.by_grantee.get_mut(&grantee) else {
            return Vec::new();
        };
        let (out, kept): (Vec<Grant>, VecDeque<Grant>) = {
            let mut kept = VecDeque::new();
            let mut out = Vec::new();
            for grant in grants.drain(..) {
                match is_extracted(&grant) {
                    true => out.push(grant),
                    false => kept.push_back(grant),
                }
            }
            (out, kept)
        };
        if kept.is_empty() {
            self.by_grantee.remove(&grantee);
        } else {
            *grants = kept;
        }
        out
    }
}
