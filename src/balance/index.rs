//! Index of the known endpoints by service and data centre, updated as they come and go.

use std::collections::HashMap;

use crate::{
    balance::{discovery::EndpointEntry, load::EndpointKey, load_view::EndpointsByServiceAndHall},
    prelude::Name,
};

/// Endpoint keys by service, and by service and data centre; each list is sorted.
#[derive(Debug, Default)]
pub struct EndpointIndex {
    by_service: HashMap<Name, Vec<EndpointKey>>,
    by_data_centre: EndpointsByServiceAndHall,
}

impl EndpointIndex {
    /// Adds an endpoint.
    pub fn insert(&mut self, key: EndpointKey, entry: &EndpointEntry) {
        let of_service = self.by_service.entry(entry.service.clone()).or_default();
        insert_sorted(of_service, key);
        let data_centres = self
            .by_data_centre
            .entry(entry.service.clone())
            .or_default();
        insert_sorted(data_centres.entry(entry.hall.clone()).or_default(), key);
    }

    /// Removes an endpoint that was added with this entry.
    pub fn remove(&mut self, key: EndpointKey, entry: &EndpointEntry) {
        if let Some(of_service) = self.by_service.get_mut(&entry.service) {
            remove_sorted(of_service, key);
        }
        if let Some(data_centres) = self.by_data_centre.get_mut(&entry.service) {
            if let Some(keys) = data_centres.get_mut(&entry.hall) {
                remove_sorted(keys, key);
            }
            data_centres.retain(|_, keys| !keys.is_empty());
        }
        self.by_service.retain(|_, keys| !keys.is_empty());
        self.by_data_centre.retain(|_, halls| !halls.is_empty());
    }

    /// Returns a service's endpoints.
    pub fn of_service(&self, service: &str) -> &[EndpointKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns a service's endpoints in one data centre.
    pub fn of_data_centre(&self, service: &str, data_centre: &str) -> &[EndpointKey] {
        let data_centres = self.by_data_centre.get(service);
        let keys = data_centres.and_then(|data_centres| data_centres.get(data_centre));
        keys.map_or(&[], Vec::as_slice)
    }

    /// Returns all endpoints by service and data centre.
    pub fn by_data_centre(&self) -> &EndpointsByServiceAndHall {
        &self.by_data_centre
    }
}

fn insert_sorted(keys: &mut Vec<EndpointKey>, key: EndpointKey) {
    if let Err(place) = keys.binary_search(&key) {
        keys.insert(place, key);
    }
}

fn remove_sorted(keys: &mut Vec<EndpointKey>, key: EndpointKey) {
    if let Ok(place) = keys.binary_search(&key) {
        keys.remove(place);
    }
}
