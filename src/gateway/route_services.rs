//! The services that routes lead to, or led to until recently.
//!
//! A stream that its caller takes up may have begun at any of them. Its caller names it by host and path, so what counts
//! is where these led, whatever the name of the route was.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::{
    balance::service_versions::VERSION_MEMORY_US,
    gateway::config::{GatewayConfig, Route},
    prelude::{Micros, Name},
};

/// Where the requests with a host and a path prefix lead to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RouteTarget {
    /// To a service.
    Service(Name),
    /// To the route with the next shorter prefix: there is none with this one.
    ShorterPrefix,
}

/// Where a host and a path prefix lead to or led to recently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteUse {
    /// The host.
    pub host: Name,
    /// The path prefix.
    pub path_prefix: Name,
    /// The targets, in order.
    pub targets: Vec<RouteTarget>,
}

/// The targets of one path prefix.
#[derive(Debug, Default)]
struct PrefixUse {
    /// Those of the configuration in force.
    current: BTreeSet<RouteTarget>,
    /// Those of earlier configurations, and until when these were in force.
    earlier: BTreeMap<RouteTarget, Micros>,
}

impl PrefixUse {
    /// Replaces the targets of the configuration in force.
    fn set_current(&mut self, now_us: Micros, current: BTreeSet<RouteTarget>) {
        let before = std::mem::replace(&mut self.current, current);
        self.add_earlier(now_us, before);
    }

    /// Adds targets that the prefix had until now.
    fn add_earlier(&mut self, now_us: Micros, targets: impl IntoIterator<Item = RouteTarget>) {
        let ended = targets.into_iter();
        self.earlier.extend(ended.map(|ended| (ended, now_us)));
        self.earlier
            .retain(|ended, _| !self.current.contains(ended));
    }

    /// Returns the targets that count.
    fn targets(&self, now_us: Micros) -> impl Iterator<Item = &RouteTarget> {
        let is_recent = move |ended_us: Micros| now_us.saturating_sub(ended_us) < VERSION_MEMORY_US;
        let earlier = self.earlier.iter();
        let recent = earlier.filter(move |(_, ended_us)| is_recent(**ended_us));
        self.current.iter().chain(recent.map(|(ended, _)| ended))
    }

    /// Returns whether requests with this prefix may have gone to the route with the next shorter one.
    fn may_lead_on(&self, now_us: Micros) -> bool {
        let mut targets = self.targets(now_us);
        targets.any(|target| *target == RouteTarget::ShorterPrefix)
    }
}

/// The services by host and path prefix.
#[derive(Debug, Default)]
pub struct RouteServices {
    by_host: HashMap<Name, BTreeMap<Name, PrefixUse>>,
    /// Whether a configuration or the history has been added: a prefix that is new after that was not there before.
    is_known: bool,
}

impl RouteServices {
    /// Replaces the targets by those of a configuration that is put in force now.
    pub fn put_in_force(&mut self, now_us: Micros, config: &GatewayConfig) {
        let mut current: HashMap<(&Name, &Name), &Route> = HashMap::new();
        for route in &config.routes {
            // As in the lookup of routes, the first one of a host and a prefix counts.
            let key = (&route.host, &route.path_prefix);
            current.entry(key).or_insert(route);
        }
        for (host, prefixes) in &mut self.by_host {
            for (prefix, known) in prefixes {
                if !current.contains_key(&(host, prefix)) {
                    known.set_current(now_us, [RouteTarget::ShorterPrefix].into());
                }
            }
        }
        let is_first = !std::mem::replace(&mut self.is_known, true);
        for ((host, prefix), route) in current {
            let known = self.prefix_mut(host, prefix, is_first, now_us);
            known.set_current(now_us, targets(route));
        }
        self.expire(now_us);
    }

    /// Adds the targets until now of routes that were in force before this instance knew a configuration.
    pub fn add_history(&mut self, now_us: Micros, history: impl IntoIterator<Item = RouteUse>) {
        let listed: Vec<RouteUse> = history.into_iter().collect();
        if listed.is_empty() {
            return;
        }
        let is_listed = |host: &Name, prefix: &Name| {
            let mut listed = listed.iter();
            listed.any(|route| route.host == *host && route.path_prefix == *prefix)
        };
        for (host, prefixes) in &mut self.by_host {
            for (prefix, known) in prefixes {
                if !is_listed(host, prefix) {
                    known.add_earlier(now_us, [RouteTarget::ShorterPrefix]);
                }
            }
        }
        self.is_known = true;
        for route in listed {
            let known = self.prefix_mut(&route.host, &route.path_prefix, true, now_us);
            known.add_earlier(now_us, route.targets);
        }
    }

    /// Returns the targets of a prefix. One that was not there before led to the next shorter one until now.
    fn prefix_mut(
        &mut self,
        host: &Name,
        prefix: &Name,
        was_there: bool,
        now_us: Micros,
    ) -> &mut PrefixUse {
        let prefixes = self.by_host.entry(host.clone()).or_default();
        prefixes.entry(prefix.clone()).or_insert_with(|| {
            let mut new = PrefixUse::default();
            if !was_there {
                new.add_earlier(now_us, [RouteTarget::ShorterPrefix]);
            }
            new
        })
    }

    /// Returns whether requests with a host and a path have led to this service only, for as long as is remembered.
    pub fn is_only_service(&self, now_us: Micros, host: &str, path: &str, service: &str) -> bool {
        let mut uses = self.uses(now_us, host, path);
        uses.all(|prefix| {
            let mut targets = prefix.targets(now_us);
            targets.all(|target| match target {
                RouteTarget::Service(known) => **known == *service,
                RouteTarget::ShorterPrefix => true,
            })
        })
    }

    /// Returns the prefixes whose routes may have got requests with a host and a path, the longest first.
    fn uses<'a>(
        &'a self,
        now_us: Micros,
        host: &str,
        path: &'a str,
    ) -> impl Iterator<Item = &'a PrefixUse> {
        let prefixes = self.by_host.get(host).into_iter();
        // The prefixes of a path are in the order of their length.
        let up_to_path = prefixes.flat_map(|prefixes| prefixes.iter().rev());
        let mut is_over = false;
        let matching = up_to_path.filter(move |(prefix, _)| path.starts_with(&***prefix));
        matching
            .map(|(_, prefix)| prefix)
            .take_while(move |prefix| {
                let is_reached = !is_over;
                is_over |= !prefix.may_lead_on(now_us);
                is_reached
            })
    }

    /// Returns all targets that count, in order.
    pub fn all(&self, now_us: Micros) -> Vec<RouteUse> {
        let hosts = self.by_host.iter();
        let uses = hosts.flat_map(|(host, prefixes)| {
            prefixes.iter().map(move |(prefix, known)| RouteUse {
                host: host.clone(),
                path_prefix: prefix.clone(),
                targets: known.targets(now_us).cloned().collect(),
            })
        });
        let mut uses: Vec<RouteUse> = uses.collect();
        for route in &mut uses {
            route.targets.sort_unstable();
        }
        // A prefix without a route adds nothing to what the next shorter one says.
        uses.retain(|route| route.targets != [RouteTarget::ShorterPrefix]);
        uses.sort_unstable_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
        uses
    }

    /// Forgets the targets that no configuration has had for [`VERSION_MEMORY_US`].
    fn expire(&mut self, now_us: Micros) {
        for prefixes in self.by_host.values_mut() {
            for prefix in prefixes.values_mut() {
                prefix
                    .earlier
                    .retain(|_, ended_us| now_us.saturating_sub(*ended_us) < VERSION_MEMORY_US);
            }
            prefixes.retain(|_, prefix| {
                !prefix.earlier.is_empty() || prefix.current != [RouteTarget::ShorterPrefix].into()
            });
        }
        self.by_host.retain(|_, prefixes| !prefixes.is_empty());
    }
}

/// Returns the targets of a route.
fn targets(route: &Route) -> BTreeSet<RouteTarget> {
    let targets = route.targets.iter().filter(|target| target.weight > 0);
    let services = targets.map(|target| target.service.clone());
    services.map(RouteTarget::Service).collect()
}
