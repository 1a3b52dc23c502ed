//! The gateway's configuration: routes, services, organisations and limits on callers.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::prelude::{Name, Rank};

/// Version number of a configuration; a higher one is newer.
pub type ConfigVersion = u64;

/// A complete configuration; immutable once it is in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayConfig {
    /// Its version; a higher one replaces a lower one.
    pub version: ConfigVersion,
    /// The routes, in no particular order.
    pub routes: Vec<Arc<Route>>,
    /// The services, by name.
    pub services: HashMap<Name, Arc<Service>>,
    /// The organisations; if empty, no request needs a key.
    pub organisations: Vec<Arc<Organisation>>,
    /// Limits on what callers may send.
    pub caller_limits: CallerLimits,
}

/// Maps requests to services, and says how they are run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// The host name in the callers' `Host` header.
    pub host: Name,
    /// The path prefix, with a slash at both ends.
    pub path_prefix: Name,
    /// The kind of its answers, and whether its requests may be run again.
    pub kind: RouteKind,
    /// The time budget of a request.
    pub timeout: Duration,
    /// Latency target of an answer, or of a stream's first event.
    pub target: Duration,
    /// Target for the longest gap between two events of a stream.
    pub target_gap: Duration,
    /// Its rank; 0 is the most urgent.
    pub priority: Rank,
    /// Maximum number of endpoints that may run one request.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub public: bool,
    /// The services that serve it, with their weights.
    pub targets: Vec<Target>,
    /// The regions in which its requests may be served; `None` allows all.
    #[serde(rename = "homes")]
    pub allowed_regions: Option<Vec<Name>>,
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: Name,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// The kind of a route's answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A single answer with a body.
    Whole {
        /// Whether requests are idempotent, so that they may be run again.
        repeatable: bool,
    },
    /// A stream of events.
    Stream {
        /// Whether another endpoint can resume the stream after a given event id.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may be run more than once.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Whole { repeatable } => repeatable,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Returns whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// The path of an endpoint's health check.
    pub health_path: Name,
    /// Maximum number of connections to one endpoint from all instances together.
    pub max_connections: u32,
    /// The properties of its endpoints' engine, if they run a model.
    pub engine: Option<Engine>,
    /// The request rate limit of cold endpoints; `None` if they have none.
    pub cold: Option<ColdBound>,
}

/// The request rate limit of cold endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdBound {
    /// Requests per second from all instances together.
    pub per_s: f64,
    /// How long an endpoint is cold after its start.
    pub lasts: Duration,
}

/// Properties shared by the endpoints of a service that runs a model.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Number of requests that one endpoint runs concurrently.
    pub slots: u32,
    /// Capacity of an endpoint's memory, in tokens.
    pub memory_tokens: u32,
    /// Number of tokens per event of a stream.
    pub tokens_per_event: u32,
}

/// A customer, identified by its API keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: Name,
    /// Its API keys, as callers send them.
    pub keys: Vec<Name>,
    /// Its rank; overrides that of the route.
    pub priority: Option<Rank>,
    /// Its usage limit over all instances together; `None` if it has none.
    pub limit: Option<UsageLimit>,
    /// The regions in which its requests may be served; `None` allows all.
    #[serde(rename = "homes")]
    pub allowed_regions: Option<Vec<Name>>,
}

/// A limit on usage, as a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageLimit {
    /// The unit that is counted.
    pub unit: UsageUnit,
    /// Sustained rate, in units per second.
    pub rate_per_s: f64,
    /// Burst on top of the rate, in units.
    pub burst: f64,
}

impl UsageLimit {
    /// Returns the units that a request uses, given the tokens that it declares.
    pub fn units(&self, tokens: Option<u32>) -> u32 {
        match self.unit {
            UsageUnit::Requests => 1,
            UsageUnit::Tokens { without_tokens } => tokens.unwrap_or(without_tokens),
        }
    }
}

/// The unit of a usage limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum UsageUnit {
    /// Requests.
    Requests,
    /// Tokens of prompt and answer together.
    Tokens {
        /// The number counted for a request that declares no tokens.
        without_tokens: u32,
    },
}

/// Limits on the size of callers' requests and on the time that callers may take.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request's head.
    pub header_timeout: Duration,
    /// Timeout of a connection that is idle between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits that apply until a configuration is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
