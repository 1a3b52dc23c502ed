//! Versions of the configuration: one total order, and the verified step from one to the next.
//!
//! A version's digest covers every object. A delta names the digests before and after, and the one
//! who applies it computes both, so a wrong or partial delta is found and a whole copy is fetched.
//! The verified step follows the related paper, "Event stream and closure endpoint", whose deltas
//! carry the hash before and after and fall back to a snapshot; docs/DECISIONS.md gives the
//! measurement that this choice rests on.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::{Digest, Sha256};
use snafu::{ResultExt, Snafu};

use crate::config::model::Config;

/// The objects of a configuration, each as JSON under `kind/name`.
pub type Objects = BTreeMap<String, String>;

/// SHA-256 over the objects of a version.
pub type Hash = [u8; 32];

/// One accepted version, read and ready for use.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned {
    /// Counts accepted configurations, from 1; 0 is the empty one before any.
    pub version: u64,
    /// Digest over the objects.
    pub hash: Hash,
    /// The objects.
    pub objects: Arc<Objects>,
    /// The objects as typed data.
    pub config: Arc<Config>,
}

/// One object set or removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Its key, `kind/name`.
    pub key: String,
    /// Its JSON, or none if it was removed.
    pub value: Option<String>,
}

/// The step between two versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The version it applies to.
    pub from_version: u64,
    /// Digest of that version.
    pub from_hash: Hash,
    /// The version that it leads to.
    pub to_version: u64,
    /// Digest of that version.
    pub to_hash: Hash,
    /// The objects that differ.
    pub changes: Vec<Change>,
}

/// Why a version could not be made.
#[derive(Debug, Snafu)]
pub enum VersionError {
    /// The delta is for another version or its result has another digest.
    #[snafu(display("the delta does not lead from the version at hand to the one it names"))]
    Mismatch,
    /// An object cannot be read.
    #[snafu(display("object `{key}` cannot be read"))]
    Object {
        /// The object's key.
        key: String,
        /// What the reader said.
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
    /// Makes a version of typed data; objects come in the order of their names.
    pub fn from_config(version: u64, config: Config) -> Self {
        let objects = to_objects(&config);
        // What was written from typed data can be read again.
        let ordered = from_objects(&objects).unwrap_or(config);
        Self {
            version,
            hash: digest(&objects),
            objects: Arc::new(objects),
            config: Arc::new(ordered),
        }
    }

    /// Makes a version of its objects.
    ///
    /// # Errors
    /// An object cannot be read or is of an unknown kind.
    pub fn from_objects(version: u64, objects: Objects) -> Result<Self, VersionError> {
        let config = from_objects(&objects)?;
        Ok(Self {
            version,
            hash: digest(&objects),
            objects: Arc::new(objects),
            config: Arc::new(config),
        })
    }

    /// Returns the step from this version to `next`.
    pub fn delta_to(&self, next: &Self) -> Delta {
        let set = next.objects.iter();
        let set = set.filter(|(key, value)| self.objects.get(*key) != Some(*value));
        let set = set.map(|(key, value)| Change {
            key: key.clone(),
            value: Some(value.clone()),
        });
        let gone = self
            .objects
            .keys()
            .filter(|k| !next.objects.contains_key(*k));
        let removed = gone.map(|key| Change {
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

    /// Applies a step; this version stays as it is.
    ///
    /// # Errors
    /// The step is for another version, or its result is not what it names.
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

/// Writes an object with its fields in the order of their names, so that equal objects have equal
/// text whoever wrote them.
fn json<T: Serialize>(object: &T) -> String {
    // Plain structs with text keys always have a JSON form.
    serde_json::to_value(object).map_or_else(|_| String::new(), |v| v.to_string())
}

fn from_objects(objects: &Objects) -> Result<Config, VersionError> {
    let mut config = Config::default();
    for (key, value) in objects {
        let kind = key.split_once('/').map_or("", |(kind, _)| kind);
        match kind {
            "policy" => config.policy = read(key, value)?,
            "hall" => config.halls.push(read(key, value)?),
            "tier" => config.tiers.push(read(key, value)?),
            "organisation" => config.organisations.push(read(key, value)?),
            "operator" => config.operators.push(read(key, value)?),
            "pool" => config.pools.push(read(key, value)?),
            "service" => config.services.push(read(key, value)?),
            "endpoint" => config.endpoints.push(read(key, value)?),
            "event" => config.events.push(read(key, value)?),
            _ => return KindSnafu { key }.fail(),
        }
    }
    Ok(config)
}

fn read<T: DeserializeOwned>(key: &str, value: &str) -> Result<T, VersionError> {
    serde_json::from_str(value).context(ObjectSnafu { key })
}
