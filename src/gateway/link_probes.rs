//! Probes the links to endpoints: to tell an endpoint that is down from a link that is cut, and to find the end of either.

use std::{io, net::SocketAddr, ops::Range, sync::Arc, time::Duration};

use rand::{RngExt, seq::SliceRandom};
use tokio::time;

use crate::{
    balance::{
        balancer::Choice,
        load::EndpointKey,
        reachability::{Reach, SUSPICIOUS_ENDPOINTS},
        regions::AllowedRegions,
        speed::Speed,
    },
    gateway::{
        endpoint_connect::ServiceReach,
        protocol::Protocol,
        state::{Gateway, lock},
        tunnels::NoTunnel,
    },
    prelude::{Micros, Name},
};

/// Endpoints that are probed at once while this instance is cut off. All have to be reached, so that a few that live on
/// do not end it while most are out of reach.
const PROBED_ENDPOINTS: usize = 2;
/// Time between two such probes, in milliseconds; random, so that the instances of a cut do not return together.
const PROBE_INTERVAL_MS: Range<u64> = 300..500;
/// Probes of an endpoint that does not answer. After them the failure is forgotten in any case.
const SILENCE_PROBES: usize = 8;

/// What a probe of an endpoint shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Probed {
    /// It takes connections.
    Connected,
    /// It refuses connections.
    Refused,
    /// It does not answer, or cannot be reached from here.
    Silent,
}

impl<P: Protocol> Gateway<P> {
    /// Probes an endpoint that did not answer until it does, unless it is probed already.
    pub(super) fn watch_silent_endpoint(self: &Arc<Self>, choice: &Choice) {
        if lock(&self.endpoint_reach.watched).insert(choice.key) {
            tokio::spawn(watch_for_end_of_silence(self.clone(), choice.clone()));
        }
    }

    /// Probes the links to a service's endpoints if none of them has answered since `since_us`, when a request was sent
    /// that should have been answered by now. Requests may wait on silent connections while no connect is made.
    pub(super) fn probe_silent_links(self: &Arc<Self>, service: &Name, since_us: Micros) {
        let is_due = self.endpoint_reach.update(service, |s| {
            let is_silent =
                s.answered_us < since_us && !s.reachability.has_connected_since(since_us);
            let is_due = is_silent && s.reachability.reach() == Reach::Reached && !s.is_probed;
            s.is_probed |= is_due;
            is_due
        });
        if is_due {
            tokio::spawn(probe_links(self.clone(), service.clone()));
        }
    }

    /// Returns whether this instance reaches endpoints of a service other than `except`, by a connect since `since_us`
    /// or one that is made now. Without other endpoints there is nothing to tell by, and it counts as reached.
    pub(super) async fn reaches_service(
        &self,
        service: &Name,
        except: EndpointKey,
        since_us: Micros,
    ) -> bool {
        let has_connected = |s: &mut ServiceReach| s.reachability.has_connected_since(since_us);
        if self.endpoint_reach.update(service, has_connected) {
            return true;
        }
        let mut others = self.balancer().reachable_endpoints(service, Some(except));
        others.shuffle(&mut rand::rng());
        if others.is_empty() {
            return true;
        }
        for (key, addr) in others.into_iter().take(PROBED_ENDPOINTS) {
            if self.connect_to_endpoint(key, addr).await.is_ok() {
                return true;
            }
        }
        false
    }

    /// Probes whether an endpoint takes connections, through another instance if this one is cut off. `since_us` is the
    /// time of the failure that led to the probe.
    pub(super) async fn probe_endpoint(
        self: &Arc<Self>,
        key: EndpointKey,
        addr: SocketAddr,
        since_us: Micros,
    ) -> Probed {
        let service = self.balancer().service_of(key);
        let Some(service) = service else {
            return Probed::Silent;
        };
        if self.endpoint_reach.reach(&service) != Reach::CutOff {
            match self.connect_to_endpoint(key, addr).await {
                Ok(_) => return Probed::Connected,
                Err(error) if error.kind() != io::ErrorKind::ConnectionRefused => {
                    return Probed::Silent;
                }
                Err(_) => {}
            }
            if self.reaches_service(&service, key, since_us).await {
                return Probed::Refused;
            }
        }
        match self.tunnel(&service, key, &AllowedRegions::default()).await {
            Ok(_) => Probed::Connected,
            Err(NoTunnel::EndpointRefuses) => Probed::Refused,
            Err(_) => Probed::Silent,
        }
    }
}

/// Connects to an endpoint that did not answer until it does, so that it is not avoided for longer than it is silent.
async fn watch_for_end_of_silence<P: Protocol>(gateway: Arc<Gateway<P>>, choice: Choice) {
    for _ in 0..SILENCE_PROBES {
        let pause_ms = rand::rng().random_range(PROBE_INTERVAL_MS);
        time::sleep(Duration::from_millis(pause_ms)).await;
        let Some(service) = gateway.balancer().service_of(choice.key) else {
            break;
        };
        if gateway.endpoint_reach.reach(&service) != Reach::Reached {
            break;
        }
        if let Ok(connection) = gateway.open_direct(&choice).await {
            gateway
                .balancer()
                .update_speed(choice.key, Speed::forget_failures);
            let now_us = gateway.clock.now_us();
            gateway
                .connections
                .return_idle(now_us, choice.addr, connection, None);
            break;
        }
    }
    lock(&gateway.endpoint_reach.watched).remove(&choice.key);
}

/// Connects to some endpoints of a service at once, whose outcomes show whether this instance reaches it.
async fn probe_links<P: Protocol>(gateway: Arc<Gateway<P>>, service: Name) {
    let mut endpoints = gateway.balancer().reachable_endpoints(&service, None);
    endpoints.shuffle(&mut rand::rng());
    endpoints.truncate(SUSPICIOUS_ENDPOINTS);
    let connects = endpoints
        .iter()
        .map(|(key, addr)| gateway.connect_to_endpoint(*key, *addr));
    futures::future::join_all(connects).await;
    gateway
        .endpoint_reach
        .update(&service, |s| s.is_probed = false);
}

/// Probes the endpoints of a service until this instance reaches them again.
pub(super) async fn watch_for_end_of_cut<P: Protocol>(gateway: Arc<Gateway<P>>, service: Name) {
    loop {
        let pause_ms = rand::rng().random_range(PROBE_INTERVAL_MS);
        time::sleep(Duration::from_millis(pause_ms)).await;
        if gateway.endpoint_reach.reach(&service) != Reach::CutOff {
            return;
        }
        let mut endpoints = gateway.balancer().reachable_endpoints(&service, None);
        endpoints.shuffle(&mut rand::rng());
        endpoints.truncate(PROBED_ENDPOINTS);
        let began_us = gateway.clock.now_us();
        let connects = endpoints
            .iter()
            .map(|(_, addr)| gateway.endpoint_reach.connect(*addr));
        let connected = futures::future::join_all(connects).await;
        if let Some((key, _)) = endpoints.first()
            && connected.iter().all(Result::is_ok)
        {
            gateway.note_connect(&service, *key, began_us, None);
        }
    }
}
