//! The configuration's objects, as plain data. docs/CONFIGURATION.md describes each field.

use serde::{Deserialize, Serialize};

use crate::prelude::Name;

/// Everything that operators declare.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// How the two measures weigh, and other settings of the policy.
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

/// The settings of the policy that operators choose.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Weight of goodput by tier, from 0 to 1.
    pub goodput_weight: f64,
    /// Weight of wasted prefill, from 0 to 1.
    pub wasted_prefill_weight: f64,
    /// For how long the key of a not repeatable request is remembered, in seconds.
    pub remember_keys_s: u64,
    /// Size of a prefix block, in tokens.
    pub block_tokens: u32,
    /// How many loads of weights the weight store takes a minute.
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

/// A place where endpoints and instances stand.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hall {
    /// Its name.
    pub name: Name,
    /// The data centre it belongs to.
    pub data_centre: Name,
}

/// A tier of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: Name,
    /// Its order; 0 is the highest, and the ranks have no gap.
    pub rank: u8,
    /// Deadline of a request that names none, in milliseconds.
    pub default_deadline_ms: u64,
    /// The longest deadline a request may name, in milliseconds.
    pub max_deadline_ms: u64,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: Name,
    /// SHA-256 of each of its keys, in hexadecimal.
    pub key_sha256: Vec<String>,
    /// The tiers it may use; none listed means all.
    #[serde(default)]
    pub tiers: Vec<Name>,
    /// Its share against the others.
    #[serde(default = "one")]
    pub weight: f64,
    /// The most requests it may have running in a pool; more wait.
    #[serde(default)]
    pub max_running: Option<u32>,
}

/// A person or program that may ask or order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Their name, kept with each command.
    pub name: Name,
    /// SHA-256 of their key, in hexadecimal.
    pub key_sha256: String,
    /// What the key is good for.
    pub may: Permission,
}

/// What an operator's key is good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Permission {
    /// Asking only.
    Read,
    /// Asking and ordering.
    Order,
}

/// What the endpoints of a pool speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines that stream tokens.
    Model,
    /// Plain services.
    Plain,
}

/// How a pool is divided among leaders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Split {
    /// One leader for all.
    #[default]
    None,
    /// One leader in each data centre that has endpoints of it.
    DataCentre,
}

/// A set of endpoints that can stand in for each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Its name.
    pub name: Name,
    /// What its endpoints speak.
    pub kind: PoolKind,
    /// How it is divided among leaders.
    #[serde(default)]
    pub split: Split,
    /// Above this many waiting requests the lowest tier is shed.
    #[serde(default = "default_max_waiting")]
    pub max_waiting: u32,
    /// Length of an answer, in tokens, assumed before any was seen; better low than high.
    #[serde(default = "default_output_tokens")]
    pub prior_output_tokens: u32,
}

/// What callers name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name: the `model` of a completion, or the path of a plain service.
    pub name: Name,
    /// The pool that serves it.
    pub pool: Name,
    /// Whether its requests may be run again by their caller.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Paths below a repeatable plain service whose requests may never be repeated.
    #[serde(default)]
    pub not_repeatable_paths: Vec<String>,
}

/// One engine or server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Its name.
    pub name: Name,
    /// The pool it belongs to.
    pub pool: Name,
    /// Its address, as IP and port.
    pub addr: String,
    /// The hall it stands in.
    pub hall: Name,
    /// The runner it belongs to, if several engines share one.
    #[serde(default)]
    pub runner: Option<Name>,
    /// How many requests it runs at a time.
    pub slots: u32,
    /// Declared prompt speed, in tokens a second.
    #[serde(default = "default_prefill")]
    pub prefill_tokens_per_s: f64,
    /// Declared time of one decode step, in microseconds.
    #[serde(default = "default_step")]
    pub decode_step_us: f64,
    /// Size of its prefix cache, in tokens.
    #[serde(default)]
    pub cache_tokens: u32,
    /// Whether it refuses orders with an outdated fence.
    #[serde(default)]
    pub checks_fences: bool,
    /// Takes no new work.
    #[serde(default)]
    pub draining: bool,
}

/// A time at which load gathers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Its name.
    pub name: Name,
    /// The pool that it loads.
    pub pool: Name,
    /// The lowest tier that it is about.
    pub tier: Name,
    /// Its start, in seconds since 1970.
    pub starts_at_s: u64,
    /// How long it lasts, in seconds.
    pub duration_s: u64,
    /// How long before the start room is kept, in seconds.
    #[serde(default = "default_keep")]
    pub keep_room_s: u64,
    /// Share of each endpoint's slots that is kept from lower tiers, from 0 to 1.
    #[serde(default = "default_share")]
    pub keep_share: f64,
    /// How many requests are expected.
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
    /// Returns the tier of that name.
    pub fn tier(&self, name: &str) -> Option<&Tier> {
        self.tiers.iter().find(|t| &*t.name == name)
    }

    /// Returns the pool of that name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|p| &*p.name == name)
    }

    /// Returns the service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| &*s.name == name)
    }

    /// Returns the endpoint of that name.
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        self.endpoints.iter().find(|e| &*e.name == name)
    }

    /// Returns the data centre of a hall.
    pub fn data_centre(&self, hall: &str) -> Option<&Name> {
        let hall = self.halls.iter().find(|h| &*h.name == hall)?;
        Some(&hall.data_centre)
    }
}
