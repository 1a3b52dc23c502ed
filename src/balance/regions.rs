//! Regions in which requests may be served, as configured for routes and organisations.

use std::collections::HashMap;

use crate::{
    balance::balancer::{Balancer, Endpoint},
    prelude::Name,
};

/// The regions in which a request may be served; any region if none are configured.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowedRegions {
    regions: Option<Vec<Name>>,
}

impl AllowedRegions {
    /// Returns the regions that all `restrictions` allow; `None` is no restriction.
    pub fn intersection<'n>(restrictions: impl IntoIterator<Item = Option<&'n [Name]>>) -> Self {
        let mut regions: Option<Vec<Name>> = None;
        for restrictions in restrictions.into_iter().flatten() {
            regions = Some(match regions {
                Some(regions) => regions
                    .into_iter()
                    .filter(|r| restrictions.contains(r))
                    .collect(),
                None => restrictions.to_vec(),
            });
        }
        Self { regions }
    }

    /// Returns whether the regions are restricted.
    pub fn is_restricted(&self) -> bool {
        self.regions.is_some()
    }

    fn allows(&self, region: Option<&Name>) -> bool {
        match &self.regions {
            Some(regions) => region.is_some_and(|region| regions.contains(region)),
            None => true,
        }
    }
}

impl Balancer {
    /// Sets the region of each data centre.
    pub fn set_regions(&mut self, regions: HashMap<Name, Name>) {
        self.regions = regions;
    }

    /// Returns whether a request may be carried through an instance of a hall.
    pub fn may_carry_in(&self, hall: &Name, allowed_regions: &AllowedRegions) -> bool {
        allowed_regions.allows(self.regions.get(hall)) && !self.is_evacuated(hall)
    }

    /// Returns whether an endpoint is in a region allowed for a request.
    pub(super) fn is_in_allowed_region(
        &self,
        allowed_regions: &AllowedRegions,
        endpoint: &Endpoint,
    ) -> bool {
        allowed_regions.allows(self.regions.get(&endpoint.entry.hall))
    }
}
