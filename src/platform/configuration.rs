//! Decodes the operators' configuration object into a [`GatewayConfig`].

use std::{sync::Arc, time::Duration};

use serde::Deserialize;

use crate::{
    gateway::config::{
        CallerLimits, ColdBound, ConfigVersion, Engine, GatewayConfig, Organisation, Route,
        RouteKind, Service, Target, UsageLimit, UsageUnit,
    },
    prelude::{Name, Rank},
};

/// Kind and name of the object that holds the configuration.
pub const OBJECT: (&str, &str) = ("config", "main");

/// The complete configuration as operators write it.
#[derive(Debug, Deserialize)]
pub struct ConfigSpec {
    version: ConfigVersion,
    #[serde(default)]
    routes: Vec<RouteSpec>,
    #[serde(rename = "backends", default)]
    services: Vec<ServiceSpec>,
    limits: Option<LimitsSpec>,
    #[serde(rename = "tenants", default)]
    organisations: Vec<OrganisationSpec>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteSpec {
    name: Name,
    hostname: Name,
    path_prefix: Name,
    r#type: RouteKindSpec,
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: Option<f64>,
    #[serde(default)]
    target_gap_ms: Option<f64>,
    #[serde(default)]
    priority: Rank,
    #[serde(default = "one")]
    max_attempts: u32,
    /// Whether callers may use the route without an API key.
    #[serde(default)]
    public: bool,
    #[serde(default)]
    stream_resume: bool,
    /// The only service of the route if its traffic is not split.
    #[serde(default)]
    backend: Option<Name>,
    #[serde(default)]
    traffic_split: Vec<SplitSpec>,
    /// Regions in which requests of the route may run; absent or empty: anywhere.
    #[serde(default)]
    allowed_regions: Option<Vec<Name>>,
}

fn one() -> u32 {
    1
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum RouteKindSpec {
    Idempotent,
    NonIdempotent,
    Streaming,
}

#[derive(Debug, Deserialize)]
struct SplitSpec {
    backend: Name,
    weight: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceSpec {
    name: Name,
    #[serde(default)]
    health_check: Option<Name>,
    #[serde(default)]
    max_connections: Option<u32>,
    #[serde(default)]
    engine: Option<EngineSpec>,
    /// Length of an endpoint's warm-up after its start, in seconds.
    #[serde(default)]
    warmup_s: f64,
    /// Rate limit of an endpoint while it warms up, in requests a second; 0 means no limit.
    #[serde(default)]
    warmup_per_s: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct EngineSpec {
    capacity: u32,
    kv_capacity: u32,
    /// Tokens per event of a stream.
    #[serde(default = "one")]
    stride: u32,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsSpec {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct OrganisationSpec {
    name: Name,
    #[serde(default)]
    api_keys: Vec<Name>,
    #[serde(default)]
    priority: Option<Rank>,
    #[serde(default)]
    unit: Option<String>,
    /// Tokens charged to the quota for a request that states no token counts.
    #[serde(default)]
    uncached_tokens: f64,
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
    /// Regions in which requests of the organisation may run; absent or empty: anywhere.
    #[serde(default)]
    allowed_regions: Option<Vec<Name>>,
}

/// Value of `unit` for a quota that counts tokens; any other value counts requests.
const TOKEN_UNIT: &str = "token_count";
/// Traffic weights may be fractions; they are multiplied by this factor and stored as integers.
const WEIGHT_SCALE: f64 = 100.0;

impl From<ConfigSpec> for GatewayConfig {
    fn from(spec: ConfigSpec) -> Self {
        let services = spec.services.into_iter().map(service);
        Self {
            version: spec.version,
            routes: spec
                .routes
                .into_iter()
                .map(|r| Arc::new(route(r)))
                .collect(),
            services: services.map(|s| (s.name.clone(), Arc::new(s))).collect(),
            organisations: spec
                .organisations
                .into_iter()
                .map(|o| Arc::new(organisation(o)))
                .collect(),
            caller_limits: spec.limits.map(caller_limits).unwrap_or_default(),
        }
    }
}

fn route(spec: RouteSpec) -> Route {
    let kind = match spec.r#type {
        RouteKindSpec::Idempotent => RouteKind::Whole { repeatable: true },
        RouteKindSpec::NonIdempotent => RouteKind::Whole { repeatable: false },
        RouteKindSpec::Streaming => RouteKind::Stream {
            resumable: spec.stream_resume,
        },
    };
    let timeout = millis(spec.timeout_ms);
    let target = spec.target_latency_ms.map_or(timeout, millis);
    let mut targets: Vec<Target> = spec
        .traffic_split
        .into_iter()
        .map(|s| Target {
            service: s.backend,
            weight: (s.weight * WEIGHT_SCALE).max(0.0) as u32,
        })
        .collect();
    if targets.is_empty() {
        targets.extend(spec.backend.map(|service| Target { service, weight: 1 }));
    }
    Route {
        name: spec.name,
        host: spec.hostname,
        path_prefix: spec.path_prefix,
        kind,
        timeout,
        target,
        target_gap: spec.target_gap_ms.map_or(timeout, millis),
        priority: spec.priority,
        max_attempts: spec.max_attempts.max(1),
        public: spec.public,
        targets,
        allowed_regions: non_empty(spec.allowed_regions),
    }
}

/// Returns the regions, or none for an empty list, which means no restriction.
fn non_empty(regions: Option<Vec<Name>>) -> Option<Vec<Name>> {
    regions.filter(|regions| !regions.is_empty())
}

fn service(spec: ServiceSpec) -> Service {
    Service {
        name: spec.name,
        health_path: spec.health_check.unwrap_or_else(|| "/healthz".into()),
        max_connections: spec.max_connections.unwrap_or(u32::MAX),
        engine: spec.engine.map(|e| Engine {
            slots: e.capacity,
            memory_tokens: e.kv_capacity,
            tokens_per_event: e.stride.max(1),
        }),
        cold: (spec.warmup_per_s > 0.0).then(|| ColdBound {
            per_s: spec.warmup_per_s,
            lasts: millis(spec.warmup_s * 1e3),
        }),
    }
}

fn organisation(spec: OrganisationSpec) -> Organisation {
    let unit = if spec.unit.as_deref() == Some(TOKEN_UNIT) {
        UsageUnit::Tokens {
            without_tokens: spec.uncached_tokens as u32,
        }
    } else {
        UsageUnit::Requests
    };
    let limited = spec.rate_per_s > 0.0;
    Organisation {
        name: spec.name,
        keys: spec.api_keys,
        priority: spec.priority,
        limit: limited.then_some(UsageLimit {
            unit,
            rate_per_s: spec.rate_per_s,
            burst: spec.burst,
        }),
        allowed_regions: non_empty(spec.allowed_regions),
    }
}

fn caller_limits(spec: LimitsSpec) -> CallerLimits {
    CallerLimits {
        max_header_bytes: spec.max_header_bytes,
        max_body_bytes: spec.max_body_bytes,
        header_timeout: millis(spec.header_timeout_ms),
        idle_timeout: millis(spec.idle_timeout_ms),
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}
