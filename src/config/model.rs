//! Data model of the configuration. docs/CONFIGURATION.md describes each field.

use serde::{Deserialize, Serialize};

use crate::prelude::Name;

/// The complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Weights of the two objectives and other settings of the scheduling policy.
    pub policy: Policy,
    /// Halls.
    pub halls: Vec<Hall>,
    /// Tiers.
    pub tiers: Vec<Tier>,
    /// Organisations.
    pub organisations: Vec<Organisation>,
    /// Operators.
    pub operators: Vec<Operator>,
    /// Endpoint pools.
    pub pools: Vec<Pool>,
    /// Services.
    pub services: Vec<Service>,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Events.
    pub events: Vec<Event>,
}

/// Settings of the scheduling policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Weight of goodput by tier, from 0 to 1.
    pub goodput_weight: f64,
    /// Weight of wasted prefill, from 0 to 1.
    pub wasted_prefill_weight: f64,
    /// How long the idempotency key of a request that must not be repeated is kept, in seconds.
    pub remember_keys_s: u64,
    /// Size of a block of the prefix cache, in tokens.
    pub block_tokens: u32,
    /// How many loads of model weights the weight store can serve a minute.
    pub weight_loads_per_minute: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            goodput_weight: 0.6,
            wasted_prefill_weight: 0.4,
            remember_keys_s: 900,
            block_tokens: 256,
            weight_loads_per_minute: 6,
        }
    }
}

/// An availability zone within a data centre, where endpoints and instances run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hall {
    /// Unique name.
    pub name: Name,
    /// Data centre of the hall.
    pub data_centre: Name,
}

/// A priority class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Unique name.
    pub name: Name,
    /// Priority of the tier: 0 is the highest. Ranks are consecutive.
    pub rank: u8,
    /// Deadline of a request that states none, in milliseconds.
    pub default_deadline_ms: u64,
    /// The longest deadline that a request may state, in milliseconds.
    pub max_deadline_ms: u64,
}

/// A customer, whose callers share API keys and quotas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Unique name.
    pub name: Name,
    /// SHA-256 of each API key of the organisation, in hexadecimal.
    pub key_sha256: Vec<String>,
    /// Tiers that the organisation may use; an empty list permits all.
    #[serde(default)]
    pub tiers: Vec<Name>,
    /// Weight of the organisation's share relative to others.
    #[serde(default = "one")]
    pub weight: f64,
    /// Maximum number of its running requests in a pool; further requests wait.
    #[serde(default)]
    pub max_running: Option<u32>,
}

/// A person or program that may send queries or commands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name of the operator, recorded with each command.
    pub name: Name,
    /// SHA-256 of the operator's key, in hexadecimal.
    pub key_sha256: String,
    /// What the key permits.
    pub may: Permission,
}

/// What an operator's key permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Permission {
    /// Queries only.
    Read,
    /// Queries and commands.
    Order,
}

/// The kind of endpoints in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines, which stream tokens.
    Model,
    /// Plain HTTP services.
    Plain,
}

/// How the leadership of a pool is divided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Split {
    /// One leader for the whole pool.
    #[default]
    None,
    /// One leader in each data centre that has endpoints of the pool.
    DataCentre,
}

/// A set of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name.
    pub name: Name,
    /// Kind of the pool's endpoints.
    pub kind: PoolKind,
    /// How its leadership is divided.
    #[serde(default)]
    pub split: Split,
    /// Maximum number of waiting requests; above it, requests of the lowest tier are shed.
    #[serde(default = "default_max_waiting")]
    pub max_waiting: u32,
    /// Assumed length of an answer before any has been measured, in tokens; too low is better than too high.
    #[serde(default = "default_output_tokens")]
    pub prior_output_tokens: u32,
}

/// A service that callers request by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service: the `model` of a completion, or the path of a plain service.
    pub name: Name,
    /// The pool that serves it.
    pub pool: Name,
    /// Whether callers may repeat requests of the service.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Paths of a repeatable plain service whose requests must not be repeated.
    #[serde(default)]
    pub not_repeatable_paths: Vec<String>,
}

/// A model engine or a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Unique name.
    pub name: Name,
    /// Pool of the endpoint.
    pub pool: Name,
    /// IP address and port.
    pub addr: String,
    /// Hall of the endpoint.
    pub hall: Name,
    /// Runner of the engine, if several engines share one.
    #[serde(default)]
    pub runner: Option<Name>,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Declared prefill speed, in tokens a second.
    #[serde(default = "default_prefill")]
    pub prefill_tokens_per_s: f64,
    /// Declared duration of a decode step, in microseconds.
    #[serde(default = "default_step")]
    pub decode_step_us: f64,
    /// Size of its prefix cache, in tokens.
    #[serde(default)]
    pub cache_tokens: u32,
    /// Whether the endpoint refuses orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fences: bool,
    /// Whether the endpoint accepts no new requests.
    #[serde(default)]
    pub draining: bool,
}

/// A planned period of high load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Unique name.
    pub name: Name,
    /// Pool that gets the load.
    pub pool: Name,
    /// Lowest tier for which capacity is reserved.
    pub tier: Name,
    /// Start, in seconds since the Unix epoch (1970).
    pub starts_at_s: u64,
    /// Duration, in seconds.
    pub duration_s: u64,
    /// How long before the start capacity is reserved, in seconds.
    #[serde(default = "default_keep")]
    pub keep_room_s: u64,
    /// Share of each endpoint's slots that lower tiers may not use, from 0 to 0.9.
    #[serde(default = "default_share")]
    pub keep_share: f64,
    /// Expected number of requests.
    #[serde(default)]
    pub expected_requests: u32,
}

fn one() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

fn default_max_waiting() -> u32 {
    20_000
}

fn default_output_tokens() -> u32 {
    60
}

fn default_prefill() -> f64 {
    8_000.0
}

fn default_step() -> f64 {
    8_000.0
}

fn default_keep() -> u64 {
    10
}

fn default_share() -> f64 {
    0.3
}

impl Config {
    /// Returns the tier `name`.
    pub fn tier(&self, name: &str) -> Option<&Tier> {
        self.tiers.iter().find(|t| &*t.name == name)
    }

    /// Returns the pool `name`.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|p| &*p.name == name)
    }

    /// Returns the service `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| &*s.name == name)
    }

    /// Returns the endpoint `name`.
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        self.endpoints.iter().find(|e| &*e.name == name)
    }

    /// Returns the data centre of a hall.
    pub fn data_centre(&self, hall: &str) -> Option<&Name> {
        let hall = self.halls.iter().find(|h| &*h.name == hall)?;
        Some(&hall.data_centre)
    }
}
