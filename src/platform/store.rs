//! Implements the product's [`Store`] with objects of a kind of its own in the platform's store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::time::{self, Instant};

use crate::{
    gateway::origin_segments::Slot,
    platform::{
        objects::{CallError, Event, Metadata, Object, ObjectClient},
        store_era::StoreEra,
    },
    prelude::StorePosition,
    store::{self, ListedInstance, ListingStore, ReadError, Store, WriteError, back_off_delay},
};

/// Kind of the product's own objects.
pub const KIND: &str = "ryevalve";
/// Kinds of the objects of the archive of stream origins begin with this; each slot has one, so that it is read at once.
const ORIGIN_KIND: &str = "ryevalve-stream-origins";
/// Kind of the entries of instances.
pub const INSTANCE_KIND: &str = "ryevalve-instances";
const MAX_READ_ATTEMPTS: u32 = 3;

/// A stored value as content of an object, which has to be JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Content {
    /// A value that is valid JSON.
    Json(serde_json::Value),
    /// Any other value, in base64.
    Base64(String),
}

impl Content {
    /// Wraps a value: JSON is embedded, anything else encoded.
    pub fn of(value: &[u8]) -> Self {
        match serde_json::from_slice(value) {
            Ok(json) => Self::Json(json),
            Err(_) => Self::Base64(BASE64_STANDARD.encode(value)),
        }
    }

    /// Returns the value; none if its base64 is invalid.
    pub fn value(&self) -> Option<Bytes> {
        match self {
            Self::Json(json) => Some(json.to_string().into()),
            Self::Base64(text) => BASE64_STANDARD.decode(text).ok().map(Bytes::from),
        }
    }
}

/// The product's store on the platform. Each call has its own connection, so that a blocked call does not
/// delay others.
#[derive(Clone, Debug)]
pub struct PlatformStore {
    addr: SocketAddr,
    era: StoreEra,
    /// Kind of its objects.
    kind: Arc<str>,
}

impl PlatformStore {
    /// Creates a client of the store at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self::with_era(addr, StoreEra::default())
    }

    /// Creates a client that shares the newest era with other clients of the same store.
    pub fn with_era(addr: SocketAddr, era: StoreEra) -> Self {
        Self {
            addr,
            era,
            kind: KIND.into(),
        }
    }

    /// Returns a client for a slot of the archive of stream origins in the same store.
    pub fn origin_archive(&self, slot: Slot) -> Self {
        Self {
            kind: format!("{ORIGIN_KIND}-{slot}").into(),
            ..self.clone()
        }
    }

    pub(super) fn client(&self) -> ObjectClient {
        ObjectClient::with_era(self.addr, self.era.clone())
    }
}

impl Store for PlatformStore {
    async fn read(&self, key: &str) -> Result<Option<store::Object>, ReadError> {
        let mut reason = String::new();
        for attempt in 0..MAX_READ_ATTEMPTS {
            if attempt > 0 {
                time::sleep(back_off_delay(attempt)).await;
            }
            match self.client().get::<Box<RawValue>>(&self.kind, key).await {
                Ok(found) => return found.map(decode_object).transpose(),
                Err(error) => reason = error.to_string(),
            }
        }
        Err(ReadError::Unavailable { reason })
    }

    async fn write(&self, key: &str, value: Bytes, expected: u64) -> Result<u64, WriteError> {
        let object = Object {
            metadata: Metadata {
                name: key.to_owned(),
                revision: expected,
                ..Metadata::default()
            },
            spec: Some(Content::of(&value)),
            status: None,
        };
        let mut client = self.client();
        let written = match expected {
            0 => client.create(&self.kind, &object).await,
            _ => client.replace(&self.kind, &object).await,
        };
        written.map_err(write_error)
    }

    async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<store::Object>, ReadError> {
        let deadline = Instant::now() + wait;
        let mut client = self.client();
        let mut from = StorePosition::new(self.era.newest(), after);
        // Changes of other objects of the kind end a watch too.
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let changes = match client.watch::<Content>(&self.kind, from, left).await {
                Ok(changes) => changes,
                Err(CallError::HistoryGone | CallError::EraChanged) => {
                    return self.read_if_newer(key, after).await;
                }
                Err(error) => return Err(unavailable(&error)),
            };
            let newest = changes.events.into_iter().rev().find_map(|e| match e {
                Event::Changed(object) if object.metadata.name == key => Some(object),
                _ => None,
            });
            if let Some(object) = newest {
                return into_object(object).map(Some);
            }
            from = changes.position;
            if left.is_zero() {
                return Ok(None);
            }
        }
    }

    fn era(&self) -> u64 {
        self.era.newest()
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, ReadError> {
        let listing = self.client().list(INSTANCE_KIND).await;
        let listing = listing.map_err(|error| unavailable(&error))?;
        Ok(listing.items.into_iter().filter_map(|o| o.spec).collect())
    }
}

impl ListingStore for PlatformStore {
    async fn list(&self) -> Result<Vec<store::Object>, ReadError> {
        let listing = self.client().list::<Content>(&self.kind).await;
        let listing = listing.map_err(|error| unavailable(&error))?;
        let objects = listing.items.into_iter().map(into_object);
        let readable = objects.filter_map(|object| match object {
            Ok(object) => Some(object),
            Err(error) => {
                let reason = error.to_string();
                log::warn!(target: "ryevalve::process", kind = &*self.kind, reason; "object_unreadable");
                None
            }
        });
        Ok(readable.collect())
    }
}

impl PlatformStore {
    /// Reads an object if the store no longer has the history since version `after`; none if it has not changed since.
    async fn read_if_newer(
        &self,
        key: &str,
        after: u64,
    ) -> Result<Option<store::Object>, ReadError> {
        let found = self.read(key).await?;
        Ok(found.filter(|object| object.version > after))
    }
}

fn decode_object(object: Object<Box<RawValue>>) -> Result<store::Object, ReadError> {
    let Object {
        metadata,
        spec,
        status,
    } = object;
    let decoded = spec.map(|spec| serde_json::from_str(spec.get()));
    match decoded.transpose() {
        Ok(spec) => into_object(Object {
            metadata,
            spec,
            status,
        }),
        Err(error) => Err(ReadError::Unreadable {
            version: metadata.revision,
            reason: error.to_string(),
        }),
    }
}

fn into_object(object: Object<Content>) -> Result<store::Object, ReadError> {
    let value = object.spec.as_ref().and_then(Content::value);
    let value = value.ok_or_else(|| ReadError::Unreadable {
        version: object.metadata.revision,
        reason: format!("object {} has no value", object.metadata.name),
    })?;
    Ok(store::Object {
        version: object.metadata.revision,
        value,
    })
}

fn unavailable(error: &CallError) -> ReadError {
    ReadError::Unavailable {
        reason: error.to_string(),
    }
}

fn write_error(error: CallError) -> WriteError {
    let reason = error.to_string();
    match error {
        CallError::Conflict => WriteError::Conflict,
        // The object to be replaced does not exist.
        CallError::Refused { status } if status == hyper::StatusCode::NOT_FOUND => {
            WriteError::Conflict
        }
        CallError::Refused { status }
            if status.is_client_error() || status == hyper::StatusCode::SERVICE_UNAVAILABLE =>
        {
            WriteError::NotWritten { reason }
        }
        CallError::Unreachable { .. } | CallError::InvalidTarget { .. } => {
            WriteError::NotWritten { reason }
        }
        _ => WriteError::Unknown { reason },
    }
}
