//! Looks up the route of a request by host and path, and its organisation by API key.

use std::{
    collections::HashMap,
    sync::{Arc, OnceLock},
};

use crate::{
    gateway::{
        config::{GatewayConfig, Organisation, Route, Service},
        packed,
        protocol::CallHead,
    },
    prelude::Name,
};

/// A configuration with indices for fast lookup.
#[derive(Debug, Default)]
pub struct RouteTable {
    config: GatewayConfig,
    /// Routes by host, longest path prefix first.
    by_host: HashMap<Name, Vec<Arc<Route>>>,
    by_key: HashMap<Name, Arc<Organisation>>,
    packed: OnceLock<Vec<u8>>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(config: GatewayConfig) -> Self {
        let mut by_host: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let routes = by_host.entry(route.host.clone()).or_default();
            routes.push(route.clone());
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        let keys = config.organisations.iter();
        let by_key = keys
            .flat_map(|o| o.keys.iter().map(|k| (k.clone(), o.clone())))
            .collect();
        Self {
            config,
            by_host,
            by_key,
            packed: OnceLock::new(),
        }
    }

    /// Returns the configuration as other instances fetch it, compressed on first use; empty if it cannot be encoded.
    pub fn packed(&self) -> &[u8] {
        self.packed.get_or_init(|| {
            packed::pack(&self.config).unwrap_or_else(|error| {
                // An instance that fetches the empty copy treats it as no configuration, and reads the store instead.
                let reason = error.to_string();
                log::error!(target: "ryevalve::process", reason; "configuration_not_packed");
                Vec::new()
            })
        })
    }

    /// Returns the configuration.
    pub fn config(&self) -> &GatewayConfig {
        &self.config
    }

    /// Returns the route of `host` with the longest prefix of `path`. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.by_host.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.path_prefix))
    }

    /// Returns the organisation that owns an API key.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.config.services.get(name)
    }

    /// Returns whether requests of `route` need an API key: it is not public and there are organisations.
    pub fn needs_key(&self, route: &Route) -> bool {
        !route.public && !self.config.organisations.is_empty()
    }
}

impl Route {
    /// Chooses one of the route's services by weight; `draw` is from 0 up to 1 (exclusive). None if all weights are 0.
    pub fn pick_target(&self, draw: f64) -> Option<&Name> {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw * f64::from(total);
        let drawn = self.targets.iter().find(|t| {
            left -= f64::from(t.weight);
            left < 0.0
        });
        let any = self.targets.iter().rev().find(|t| t.weight > 0);
        drawn.or(any).map(|t| &t.service)
    }

    /// Returns whether a service is among the route's targets.
    pub fn leads_to(&self, service: &str) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|t| t.weight > 0 && *t.service == *service)
    }

    /// Returns whether no other service is among the route's targets.
    pub fn leads_only_to(&self, service: &str) -> bool {
        let mut targets = self.targets.iter();
        targets.all(|t| t.weight == 0 || *t.service == *service)
    }

    /// Returns the event after which a request goes on with a stream that an earlier attempt of its caller began, if it
    /// does.
    pub fn resumed_event(&self, head: &CallHead) -> Option<u64> {
        let is_resumable = self.kind.is_stream() && self.kind.is_repeatable();
        head.resume_after.filter(|_| is_resumable)
    }
}
