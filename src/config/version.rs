//! Versions of the configuration, which are totally ordered, and verified deltas between them.
//!
//! The digest of a version covers all objects. A delta contains the digests before and after, and the
//! receiver computes both, so that a wrong or partial delta is detected and a snapshot fetched instead.
//! This follows the related paper, "Event stream and closure endpoint", whose deltas carry the hash
//! before and after and fall back to a snapshot; docs/DECISIONS.md has the measurement behind the choice.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::{Digest, Sha256};
use snafu::{ResultExt, Snafu};

use crate::config::model::Config;

/// The objects of a configuration, each as JSON under `kind/name`.
pub type Objects = BTreeMap<String, String>;

/// SHA-256 over the objects of a version.
pub type Hash = [u8; 32];

/// An accepted version of the configuration, decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned {
    /// Number of the version, counted from 1; 0 is the empty configuration before the first one.
    pub version: u64,
    /// Digest of the objects.
    pub hash: Hash,
    /// The objects in their stored form.
    pub objects: Arc<Objects>,
    /// The objects as typed data.
    pub config: Arc<Config>,
}

/// One object that was set or removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Key of the object, `kind/name`.
    pub key: String,
    /// JSON of the object; none if it was removed.
    pub value: Option<String>,
}

/// The difference between two versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The version to which it applies.
    pub from_version: u64,
    /// Digest of `from_version`.
    pub from_hash: Hash,
    /// The resulting version.
    pub to_version: u64,
    /// Digest of `to_version`.
    pub to_hash: Hash,
    /// The objects that differ.
    pub changes: Vec<Change>,
}

/// Why a version could not be created.
#[derive(Debug, Snafu)]
pub enum VersionError {
    /// The delta applies to another version, or its result has another digest than stated.
    #[snafu(display("the delta does not lead from the version at hand to the one it names"))]
    Mismatch,
    /// An object cannot be decoded.
    #[snafu(display("object `{key}` cannot be read"))]
    Object {
        /// The object's key.
        key: String,
        /// The error of the decoder.
        source: serde_json::Error,
    },
    /// An object is of a kind that this program does not know.
    #[snafu(display("object `{key}` is of an unknown kind"))]
    Kind {
        /// The object's key.
        key: String,
    },
}

impl Default for Versioned {
    fn default() -> Self {
        Self {
            version: 0,
            hash: digest(&Objects::new()),
            objects: Arc::default(),
            config: Arc::default(),
        }
    }
}

impl Versioned {
    /// Creates a version from a configuration, whose objects get sorted by name.
    pub fn from_config(version: u64, config: Config) -> Self {
        let objects = to_objects(&config);
        // Objects that were encoded from typed data can always be decoded.
        let ordered = from_objects(&objects).unwrap_or(config);
        Self {
            version,
            hash: digest(&objects),
            objects: Arc::new(objects),
            config: Arc::new(ordered),
        }
    }

    /// Creates a version from its objects.
    ///
    /// # Errors
    /// An object cannot be decoded or is of an unknown kind.
    pub fn from_objects(version: u64, objects: Objects) -> Result<Self, VersionError> {
        let config = from_objects(&objects)?;
        Ok(Self {
            version,
            hash: digest(&objects),
            objects: Arc::new(objects),
            config: Arc::new(config),
        })
    }

    /// Returns the delta from this version to `next`.
    pub fn delta_to(&self, next: &Self) -> Delta {
        let set = next.objects.iter();
        let set = set.filter(|(key, value)| self.objects.get(*key) != Some(*value));
        let set = set.map(|(key, value)| Change {
            key: key.clone(),
            value: Some(value.clone()),
        });
        let missing = self
            .objects
            .keys()
            .filter(|k| !next.objects.contains_key(*k));
        let removed = missing.map(|key| Change {
            key: key.clone(),
            value: None,
        });
        Delta {
            from_version: self.version,
            from_hash: self.hash,
            to_version: next.version,
            to_hash: next.hash,
            changes: set.chain(removed).collect(),
        }
    }

    /// Returns the version that results from a delta; this version is not changed.
    ///
    /// # Errors
    /// The delta applies to another version, or its result has another digest than stated.
    pub fn apply(&self, delta: &Delta) -> Result<Self, VersionError> {
        if delta.from_version != self.version || delta.from_hash != self.hash {
            return Err(VersionError::Mismatch);
        }
        let mut objects = Objects::clone(&self.objects);
        for change in &delta.changes {
            match &change.value {
                Some(value) => objects.insert(change.key.clone(), value.clone()),
                None => objects.remove(&change.key),
            };
        }
        let next = Self::from_objects(delta.to_version, objects)?;
        if next.hash != delta.to_hash {
            return Err(VersionError::Mismatch);
        }
        Ok(next)
    }
}

fn digest(objects: &Objects) -> Hash {
    let mut hasher = Sha256::new();
    for (key, value) in objects {
        hasher.update((key.len() as u32).to_be_bytes());
        hasher.update(key);
        hasher.update((value.len() as u32).to_be_bytes());
        hasher.update(value);
    }
    hasher.finalize().into()
}

fn to_objects(config: &Config) -> Objects {
    let mut objects = Objects::new();
    let mut put = |kind: &str, name: &str, value: String| {
        objects.insert(format!("{kind}/{name}"), value);
    };
    put("policy", "main", json(&config.policy));
    config
        .halls
        .iter()
        .for_each(|o| put("hall", &o.name, json(o)));
    config
        .tiers
        .iter()
        .for_each(|o| put("tier", &o.name, json(o)));
    for o in &config.organisations {
        put("organisation", &o.name, json(o));
    }
    for o in &config.operators {
        put("operator", &o.name, json(o));
    }
    config
        .pools
        .iter()
        .for_each(|o| put("pool", &o.name, json(o)));
    for o in &config.services {
        put("service", &o.name, json(o));
    }
    for o in &config.endpoints {
        put("endpoint", &o.name, json(o));
    }
    config
        .events
        .iter()
        .for_each(|o| put("event", &o.name, json(o)));
    objects
}

/// Encodes an object as JSON with sorted fields, so that equal objects have equal text on all instances.
fn json<T: Serialize>(object: &T) -> String {
    // Plain structs with string keys can always be encoded.
    serde_json::to_value(object).map_or_else(|_| String::new(), |v| v.to_string())
}

fn from_objects(objects: &Objects) -> Result<Config, VersionError> {
    let mut config = Config::default();
    for (key, value) in objects {
        let kind = key.split_once('/').map_or("", |(kind, _)| kind);
        match kind {
            "policy" => config.policy = decode(key, value)?,
            "hall" => config.halls.push(decode(key, value)?),
            "tier" => config.tiers.push(decode(key, value)?),
            "organisation" => config.organisations.push(decode(key, value)?),
            "operator" => config.operators.push(decode(key, value)?),
            "pool" => config.pools.push(decode(key, value)?),
            "service" => config.services.push(decode(key, value)?),
            "endpoint" => config.endpoints.push(decode(key, value)?),
            "event" => config.events.push(decode(key, value)?),
            _ => return KindSnafu { key }.fail(),
        }
    }
    Ok(config)
}

fn decode<T: DeserializeOwned>(key: &str, value: &str) -> Result<T, VersionError> {
    serde_json::from_str(value).context(ObjectSnafu { key })
}
