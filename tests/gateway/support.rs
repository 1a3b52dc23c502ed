//! Small values shared by several tests.

use std::{sync::Arc, time::Duration};

use ryevalve::{
    balance::{
        cost::PlacementRequest,
        discovery::EndpointEntry,
        prefixes::{PromptPart, chains},
        regions::AllowedRegions,
    },
    gateway::config::{
        GatewayConfig, Organisation, Route, RouteKind, Service, Target, UsageLimit, UsageUnit,
    },
    prelude::StorePosition,
    shares::admission::Standing,
};

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;

/// Returns the position of a revision in the first era of the store.
pub fn at(revision: u64) -> StorePosition {
    StorePosition::new(1, revision)
}

pub fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        kind: RouteKind::Whole { repeatable: true },
        timeout: Duration::from_secs(3),
        target: Duration::from_millis(500),
        target_gap: Duration::from_millis(400),
        priority: 0,
        max_attempts: 2,
        public: false,
        targets: vec![Target {
            service: "plain".into(),
            weight: 1,
        }],
        allowed_regions: None,
    }
}

pub fn organisation(name: &str, keys: &[&str]) -> Organisation {
    Organisation {
        name: name.into(),
        keys: keys.iter().map(|k| (*k).into()).collect(),
        priority: None,
        limit: None,
        allowed_regions: None,
    }
}

pub fn limited(name: &str, rate_per_s: f64, burst: f64) -> Organisation {
    Organisation {
        limit: Some(UsageLimit {
            unit: UsageUnit::Tokens {
                without_tokens: 200,
            },
            rate_per_s,
            burst,
        }),
        ..organisation(name, &[])
    }
}

pub fn config(version: u64, routes: Vec<Route>, organisations: Vec<Organisation>) -> GatewayConfig {
    let service = Service {
        name: "plain".into(),
        health_path: "/healthz".into(),
        max_connections: 100,
        engine: None,
        cold: None,
    };
    GatewayConfig {
        version,
        routes: routes.into_iter().map(Arc::new).collect(),
        services: [(service.name.clone(), Arc::new(service))].into(),
        organisations: organisations.into_iter().map(Arc::new).collect(),
        ..GatewayConfig::default()
    }
}

pub fn entry(id: &str, hall: &str, slots: u32) -> EndpointEntry {
    let last = id.bytes().fold(0_u8, u8::wrapping_add);
    EndpointEntry {
        id: id.into(),
        born_ms: 0,
        service: "model".into(),
        version: "v1".into(),
        addr: ([10, 0, 0, last], 80).into(),
        hall: hall.into(),
        slots,
        draining: false,
        warmup_left_ms: 0,
    }
}

/// Returns a request for a stream, whose prompt is a single part with the id `subject`.
pub fn placement_request(
    subject: u64,
    prompt_tokens: u32,
    rank: u8,
    arrived_us: u64,
) -> PlacementRequest {
    let parts = [PromptPart {
        id: subject,
        tokens: prompt_tokens,
    }];
    PlacementRequest {
        service: "model".into(),
        route: 0,
        is_stream: true,
        prompt_tokens,
        chains: chains(&parts).collect(),
        output_events: 20.0,
        target_us: 800 * MS,
        arrived_us,
        waited_us: 0,
        deadline_us: arrived_us + 15 * SECOND,
        rank,
        other_hall_cost: 0.05,
        standing: Standing::Within,
        allowed_regions: AllowedRegions::default(),
        versions: None,
        draw: subject,
    }
}
