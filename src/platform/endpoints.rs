//! The entries that endpoints register in the store.
//!
//! Other writers may put objects of this kind into the store too. An entry with a missing field, a
//! field of another type or an unknown state cannot be decoded and is skipped; it does not affect
//! the other entries.

use std::{net::SocketAddr, num::NonZeroU32};

use serde::Deserialize;

use crate::{balance::discovery::EndpointEntry, prelude::Name};

/// Kind of the entries in the store.
pub const KIND: &str = "servers";

/// The content of an entry; the name of the object is the id of the endpoint.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EndpointSpec {
    backend: Name,
    address: SocketAddr,
    zone: Name,
    /// Version of the endpoint's software.
    version: Name,
    capacity: NonZeroU32,
    state: State,
    warmup_left_ms: f64,
    /// Number of the endpoint's update of its entry; required in an entry, but not used.
    #[serde(rename = "sequence")]
    _sequence: u64,
    /// When this run of the endpoint started, in Unix milliseconds. Endpoints that never restart under
    /// the same id leave it out.
    #[serde(default)]
    born: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    /// The endpoint is about to leave and accepts no new requests.
    Draining,
}

impl EndpointSpec {
    /// Converts the content into the entry of the endpoint `id`.
    pub fn into_entry(self, id: &str) -> EndpointEntry {
        EndpointEntry {
            id: id.into(),
            service: self.backend,
            version: self.version,
            addr: self.address,
            hall: self.zone,
            born_ms: self.born,
            slots: self.capacity.get(),
            draining: self.state == State::Draining,
            warmup_left_ms: self.warmup_left_ms as u64,
        }
    }
}
