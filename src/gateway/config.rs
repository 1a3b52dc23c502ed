//! What the gateway serves: routes, services, organisations and bounds on callers.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::prelude::{Name, Rank};

/// Orders the versions of a configuration.
pub type ConfigVersion = u64;

/// One whole configuration; never changed once it is in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayConfig {
    /// Its version; a higher one replaces a lower one.
    pub version: ConfigVersion,
    /// The routes, in no order.
    pub routes: Vec<Arc<Route>>,
    /// The services, by name.
    pub services: HashMap<Name, Arc<Service>>,
    /// The organisations; with none, no request needs a key.
    pub organisations: Vec<Arc<Organisation>>,
    /// Bounds on callers.
    pub caller_limits: CallerLimits,
}

/// Which requests go where, and how.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// The host that callers name.
    pub host: Name,
    /// The beginning of the path, with a slash at both ends.
    pub path_prefix: Name,
    /// What its answers are and whether its requests may run again.
    pub kind: RouteKind,
    /// The longest that a request is held.
    pub timeout: Duration,
    /// The time within which an answer, or a stream's first event, is of full use.
    pub target: Duration,
    /// The longest useful pause between two events of a stream.
    pub target_gap: Duration,
    /// Its rank; 0 is the most urgent.
    pub priority: Rank,
    /// How many endpoints one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// The services that serve it, with their weights.
    pub targets: Vec<Target>,
    /// The regions in which its requests may be served; none is all.
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

/// What a route's answers are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// One answer with a body.
    Whole {
        /// Whether a second run does no harm.
        repeatable: bool,
    },
    /// A series of events.
    Stream {
        /// Whether another endpoint may go on after an event's id.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Whole { repeatable } => repeatable,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Returns whether answers are a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A group of endpoints that can stand in for each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Where an endpoint tells its health.
    pub health_path: Name,
    /// The most connections that one endpoint takes from all instances together.
    pub max_connections: u32,
    /// What its endpoints are, if they run a model.
    pub engine: Option<Engine>,
    /// What a cold endpoint takes; none if as much as any.
    pub cold: Option<ColdBound>,
}

/// What a cold endpoint takes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdBound {
    /// Requests a second, from all instances together.
    pub per_s: f64,
    /// How long an endpoint is cold after its start.
    pub lasts: Duration,
}

/// What the endpoints of a model's service have in common.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one endpoint runs at a time.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u32,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// A customer, known by its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: Name,
    /// Its keys, as callers show them.
    pub keys: Vec<Name>,
    /// Its rank; goes before that of a route.
    pub priority: Option<Rank>,
    /// What it may use over all instances together; none is no limit.
    pub limit: Option<UsageLimit>,
    /// The regions in which its requests may be served; none is all.
    #[serde(rename = "homes")]
    pub allowed_regions: Option<Vec<Name>>,
}

/// A limit on use.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageLimit {
    /// What is counted.
    pub unit: UsageUnit,
    /// Units a second.
    pub rate_per_s: f64,
    /// Units on top of the rate, at once.
    pub burst: f64,
}

impl UsageLimit {
    /// Returns what a request uses that names `tokens`.
    pub fn units(&self, tokens: Option<u32>) -> u32 {
        match self.unit {
            UsageUnit::Requests => 1,
            UsageUnit::Tokens { without_tokens } => tokens.unwrap_or(without_tokens),
        }
    }
}

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum UsageUnit {
    /// Requests.
    Requests,
    /// Tokens of prompt and answer.
    Tokens {
        /// What a request counts that names none.
        without_tokens: u32,
    },
}

/// Bounds on what callers may send, and on how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The longest request head, in bytes.
    pub max_header_bytes: usize,
    /// The longest body, in bytes.
    pub max_body_bytes: usize,
    /// Time to send a request's head.
    pub header_timeout: Duration,
    /// Time for which a connection may rest between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Bounds for the time before a configuration is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
