//! The entries that endpoints keep of themselves in the store.
//!
//! Others may write entries of this kind too. One that lacks a field, has one of another type, or a
//! state that is not known here cannot be decoded: it names no endpoint, and the others hold.

use std::{net::SocketAddr, num::NonZeroU32};

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
    /// Of the endpoint's software; only its type is looked at.
    #[serde(rename = "version")]
    _version: Name,
    capacity: NonZeroU32,
    state: State,
    warmup_left_ms: f64,
    /// Counts the endpoint's words; only its type is looked at.
    #[serde(rename = "sequence")]
    _sequence: u64,
    /// When this start of the endpoint began, in Unix milliseconds. Endpoints that never start again
    /// under their id do not say it.
    #[serde(default)]
    born: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    /// It is about to leave and takes no new work.
    Draining,
}

impl EndpointSpec {
    /// Returns the entry of the endpoint `id`.
    pub fn into_entry(self, id: &str) -> EndpointEntry {
        EndpointEntry {
            id: id.into(),
            service: self.backend,
            addr: self.address,
            hall: self.zone,
            born_ms: self.born,
            slots: self.capacity.get(),
            draining: self.state == State::Draining,
            warmup_left_ms: self.warmup_left_ms as u64,
        }
    }
}
