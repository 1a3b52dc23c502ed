//! The entries that endpoints keep of themselves in the store.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::{balance::discovery::EndpointEntry, prelude::Name};

/// The kind of the entries.
pub const KIND: &str = "servers";

/// An entry; its object's name is the endpoint's id.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EndpointSpec {
    backend: Name,
    address: SocketAddr,
    zone: Name,
    capacity: u32,
    state: String,
    #[serde(default)]
    warmup_left_ms: f64,
}

/// The state of an endpoint that takes no new work.
const DRAINING: &str = "draining";

impl EndpointSpec {
    /// Returns the entry of the endpoint `id`.
    pub fn into_entry(self, id: &str) -> EndpointEntry {
        EndpointEntry {
            id: id.into(),
            service: self.backend,
            addr: self.address,
            hall: self.zone,
            slots: self.capacity,
            draining: self.state == DRAINING,
            warmup_left_ms: self.warmup_left_ms as u64,
        }
    }
}
