//! The services that routes lead to, or led to until recently.
//!
//! A stream that its caller takes up may have begun at any of them. Its caller names it by host and path, so what counts
//! is where these led, whatever the name of the route was.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::{
    balance::service_versions::VERSION_MEMORY_US,
    gateway::config::{GatewayConfig, Route},
    prelude::{Micros, Name},
};

/// Where the requests with a host and a path prefix lead to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RouteTarget {
    /// To a service.
    Service(Name),
    /// To the route with the next shorter prefix: there is none with this one.
    ShorterPrefix,
}

/// Where a host and a path prefix lead to or led to, as instances tell each other by the list in the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KnownTarget {
    /// The host.
    pub host: Name,
    /// The path prefix.
    pub path_prefix: Name,
    /// The target.
    pub target: RouteTarget,
    /// For how long no configuration has had it; `None` if that in force has it.
    pub ended_for_us: Option<Micros>,
}

/// The targets of one path prefix.
#[derive(Debug, Default)]
struct PrefixUse {
    /// Those of the configuration in force.
    current: BTreeSet<RouteTarget>,
    /// Those of earlier configurations, and when they are forgotten.
    earlier: BTreeMap<RouteTarget, Micros>,
}

impl PrefixUse {
    /// Replaces the targets of the configuration in force.
    fn set_current(&mut self, now_us: Micros, current: BTreeSet<RouteTarget>) {
        let before = std::mem::replace(&mut self.current, current);
        for ended in before {
            self.earlier.insert(ended, now_us + VERSION_MEMORY_US);
        }
        self.earlier
            .retain(|ended, _| !self.current.contains(ended));
    }

    /// Adds that there was no route with this prefix until now.
    fn add_absence(&mut self, now_us: Micros) {
        let forget_us = now_us + VERSION_MEMORY_US;
        self.earlier.insert(RouteTarget::ShorterPrefix, forget_us);
    }

    /// Adds a target as another instance knows it. One that is not in force here counts from the time at which that was
    /// first seen.
    fn merge(&mut self, now_us: Micros, target: RouteTarget, ended_for_us: Option<Micros>) {
        if self.current.contains(&target) {
            return;
        }
        let forget_us = now_us + VERSION_MEMORY_US.saturating_sub(ended_for_us.unwrap_or(0));
        let known_us = self.earlier.entry(target).or_insert(forget_us);
        if ended_for_us.is_some() {
            *known_us = forget_us.max(*known_us);
        }
    }

    /// Returns the targets of earlier configurations that still count, and when they are forgotten.
    fn remembered(&self, now_us: Micros) -> impl Iterator<Item = (&RouteTarget, Micros)> {
        let earlier = self.earlier.iter();
        let earlier = earlier.map(|(target, forget_us)| (target, *forget_us));
        earlier.filter(move |(_, forget_us)| now_us < *forget_us)
    }

    /// Returns the targets that count.
    fn targets(&self, now_us: Micros) -> impl Iterator<Item = &RouteTarget> {
        let remembered = self.remembered(now_us);
        self.current
            .iter()
            .chain(remembered.map(|(target, _)| target))
    }

    /// Returns whether requests with this prefix may have gone to the route with the next shorter one.
    fn may_lead_on(&self, now_us: Micros) -> bool {
        let mut targets = self.targets(now_us);
        // Without current targets, only another instance has a route with this prefix, or it leads nowhere.
        self.current.is_empty() || targets.any(|target| *target == RouteTarget::ShorterPrefix)
    }

    /// Returns whether a target ended recently and the requests lead to a service now, or to the next shorter prefix, which
    /// may lead there.
    fn has_moved_to(&self, now_us: Micros, service: &str) -> bool {
        let leads_on =
            self.current.is_empty() || self.current.contains(&RouteTarget::ShorterPrefix);
        let leads_to_service = || {
            let mut current = self.current.iter();
            current
                .any(|target| matches!(target, RouteTarget::Service(known) if **known == *service))
        };
        self.remembered(now_us).next().is_some() && (leads_on || leads_to_service())
    }

    /// Returns whether there is no service to remember.
    fn is_unused(&self, now_us: Micros) -> bool {
        let mut targets = self.targets(now_us);
        targets.all(|target| *target == RouteTarget::ShorterPrefix)
    }
}

/// The services by host and path prefix.
#[derive(Debug, Default)]
pub struct RouteServices {
    by_host: HashMap<Name, BTreeMap<Name, PrefixUse>>,
    /// Whether a configuration or the list has been added: a prefix that is new after that was not there before.
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

    /// Adds what other instances know, from the list in the store. At the start of this instance, it says which prefixes
    /// had a route before.
    pub fn merge_list(
        &mut self,
        now_us: Micros,
        listed: impl IntoIterator<Item = KnownTarget>,
        is_at_start: bool,
    ) {
        let listed: Vec<KnownTarget> = listed.into_iter().collect();
        if is_at_start && !listed.is_empty() {
            self.is_known = true;
            self.add_absent(now_us, &listed);
        }
        for known in listed {
            let prefix = self.prefix_mut(&known.host, &known.path_prefix, true, now_us);
            prefix.merge(now_us, known.target, known.ended_for_us);
        }
        self.expire(now_us);
    }

    /// Adds that prefixes that a list lacks had no route until now.
    fn add_absent(&mut self, now_us: Micros, listed: &[KnownTarget]) {
        let listed = listed.iter();
        let listed: HashSet<_> = listed
            .map(|known| (&known.host, &known.path_prefix))
            .collect();
        for (host, prefixes) in &mut self.by_host {
            let unlisted = prefixes.iter_mut();
            let unlisted = unlisted.filter(|(prefix, _)| !listed.contains(&(host, *prefix)));
            unlisted.for_each(|(_, prefix)| prefix.add_absence(now_us));
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
                new.add_absence(now_us);
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

    /// Returns whether requests that lead to a service now may have led to another one until recently.
    pub fn has_moved_to(&self, now_us: Micros, service: &str) -> bool {
        let mut prefixes = self.by_host.values().flat_map(BTreeMap::values);
        prefixes.any(|prefix| prefix.has_moved_to(now_us, service))
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
    pub fn known(&self, now_us: Micros) -> Vec<KnownTarget> {
        let mut known = Vec::new();
        for (host, prefixes) in &self.by_host {
            let used = prefixes
                .iter()
                .filter(|(_, prefix)| !prefix.is_unused(now_us));
            for (path_prefix, prefix) in used {
                let mut add = |target: &RouteTarget, ended_for_us| {
                    known.push(KnownTarget {
                        host: host.clone(),
                        path_prefix: path_prefix.clone(),
                        target: target.clone(),
                        ended_for_us,
                    });
                };
                prefix.current.iter().for_each(|target| add(target, None));
                for (target, forget_us) in prefix.remembered(now_us) {
                    let ended_for_us = VERSION_MEMORY_US.saturating_sub(forget_us - now_us);
                    add(target, Some(ended_for_us));
                }
            }
        }
        known.sort_unstable();
        known
    }

    /// Forgets the targets that no configuration has had for [`VERSION_MEMORY_US`].
    fn expire(&mut self, now_us: Micros) {
        for prefixes in self.by_host.values_mut() {
            for prefix in prefixes.values_mut() {
                prefix.earlier.retain(|_, forget_us| now_us < *forget_us);
            }
            prefixes.retain(|_, prefix| !prefix.is_unused(now_us));
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
