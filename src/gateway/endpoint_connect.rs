//! Opens connections to endpoints, directly or through another instance while this one is cut off, and keeps track of
//! which services' endpoints this instance reaches.

use std::{
    collections::{HashMap, HashSet},
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, OnceLock},
    time::Duration,
};

use tokio::{net::TcpStream, time};

use crate::{
    balance::{
        balancer::Choice,
        load::EndpointKey,
        reachability::{Reach, ReachChange, Reachability},
        regions::AllowedRegions,
    },
    endpoint::connection_pool::{self, EndpointConnection},
    gateway::{
        link_probes,
        protocol::Protocol,
        state::{Gateway, lock},
        tunnels::NoTunnel,
    },
    prelude::{Micros, Name},
};

/// A connect that takes longer counts as failed when this instance may be cut off. Connects take some milliseconds
/// within a region and some tens of them between regions.
const SLOW_CONNECT: Duration = Duration::from_millis(100);
/// For this long after no instance carried a connection, none is asked again for the service.
const NO_CARRIER_US: Micros = 250_000;

/// Which services' endpoints this instance reaches. A link may be cut to the endpoints of one service only.
#[derive(Debug, Default)]
pub struct EndpointReach {
    by_service: Mutex<HashMap<Name, ServiceReach>>,
    /// The address from which connections are opened; the system's choice if it is not set.
    source: OnceLock<IpAddr>,
    /// Endpoints that did not answer, and are probed until they do.
    pub(super) watched: Mutex<HashSet<EndpointKey>>,
}

/// What is known of the links to one service's endpoints.
#[derive(Debug, Default)]
pub(super) struct ServiceReach {
    pub(super) reachability: Reachability,
    /// When an endpoint answered last over a connection of this instance's own.
    pub(super) answered_us: Micros,
    /// Its links are being probed.
    pub(super) is_probed: bool,
    /// Until then no instance is asked to carry a connection.
    no_carrier_until_us: Micros,
}

/// Why there is no connection to an endpoint. Nothing was sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// It refuses connections.
    Refused,
    /// It cannot be reached from here, and no instance that was asked reaches it.
    Unreachable,
    /// It does not answer, while others do.
    Silent,
    /// It is to be sent nothing from the instances that reach it.
    Withheld,
}

impl EndpointReach {
    /// Sets the address from which connections are opened.
    pub fn set_source(&self, source: IpAddr) {
        // This is called once, when the instance starts.
        let _ = self.source.set(source);
    }

    pub(super) async fn connect(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        connection_pool::connect(self.source.get().copied(), addr).await
    }

    /// Returns how this instance reaches the endpoints of a service.
    pub fn reach(&self, service: &str) -> Reach {
        let services = lock(&self.by_service);
        let reach = services.get(service).map(|s| s.reachability.reach());
        reach.unwrap_or_default()
    }

    /// Returns the number of endpoints to which connects have failed in a row.
    pub fn failed_endpoints(&self) -> usize {
        let services = lock(&self.by_service);
        let failed = services.values().map(|s| s.reachability.failed_endpoints());
        failed.sum()
    }

    /// Returns the number of services from whose endpoints this instance is cut off.
    pub fn services_cut_off(&self) -> usize {
        let services = lock(&self.by_service);
        let reaches = services.values().map(|s| s.reachability.reach());
        reaches.filter(|reach| *reach == Reach::CutOff).count()
    }

    pub(super) fn update<T>(
        &self,
        service: &Name,
        update: impl FnOnce(&mut ServiceReach) -> T,
    ) -> T {
        let mut services = lock(&self.by_service);
        if let Some(known) = services.get_mut(service) {
            return update(known);
        }
        update(services.entry(service.clone()).or_default())
    }
}

impl<P: Protocol> Gateway<P> {
    /// Opens a connection to an endpoint of a service for a request that may be served in `regions`.
    ///
    /// # Errors
    /// The endpoint was not reached; no byte was sent.
    pub(super) async fn open_connection(
        self: &Arc<Self>,
        service: &Name,
        choice: &Choice,
        regions: &AllowedRegions,
    ) -> Result<EndpointConnection, ConnectError> {
        if self.endpoint_reach.reach(service) == Reach::CutOff {
            match self.tunnel(service, choice.key, regions).await {
                Err(NoTunnel::NoCarrier) => {}
                Err(refusal) => return Err(refusal.into()),
                Ok(connection) => return Ok(connection),
            }
        }
        let direct = self.open_direct(choice);
        tokio::pin!(direct);
        let opened = match time::timeout(SLOW_CONNECT, &mut direct).await {
            Ok(opened) => opened,
            Err(_) => {
                self.note_slow_connect(service, choice.key);
                if self.endpoint_reach.reach(service) != Reach::Reached {
                    return tokio::select! {
                        Ok(connection) = &mut direct => Ok(connection),
                        Ok(connection) = self.tunnel(service, choice.key, regions) => Ok(connection),
                        else => Err(ConnectError::Unreachable),
                    };
                }
                direct.await
            }
        };
        match opened {
            Ok(connection) => Ok(connection),
            Err(error) if self.endpoint_reach.reach(service) == Reach::Reached => Err(error.into()),
            Err(_) => {
                let tunnel = self.tunnel(service, choice.key, regions).await;
                tunnel.map_err(ConnectError::from)
            }
        }
    }

    pub(super) async fn open_direct(&self, choice: &Choice) -> io::Result<EndpointConnection> {
        let stream = self.connect_to_endpoint(choice.key, choice.addr).await?;
        EndpointConnection::over(stream).await
    }

    /// Connects to an endpoint directly.
    ///
    /// # Errors
    /// The endpoint was not reached in time or refused the connection.
    pub(super) async fn connect_to_endpoint(
        &self,
        key: EndpointKey,
        addr: SocketAddr,
    ) -> io::Result<TcpStream> {
        self.metrics.connections_opened.inc();
        let began_us = self.clock.now_us();
        let connected = self.endpoint_reach.connect(addr).await;
        if let Err(error) = &connected {
            self.metrics.count_failed_connect(error.kind());
        }
        let service = self.balancer().service_of(key);
        if let Some(service) = service {
            self.note_connect(&service, key, began_us, connected.as_ref().err());
        }
        connected
    }

    /// Records the outcome of a connect that began at `began_us`: an error or success.
    pub(super) fn note_connect(
        &self,
        service: &Name,
        key: EndpointKey,
        began_us: Micros,
        error: Option<&io::Error>,
    ) {
        let now_us = self.clock.now_us();
        let ready = error.map_or(0, |_| self.balancer().count_ready(now_us, service));
        let (was, change) = self.endpoint_reach.update(service, |s| {
            let was = s.reachability.reach();
            let change = match error {
                None => s.reachability.note_connected(now_us),
                Some(_) => s.reachability.note_failed(now_us, began_us, key, ready),
            };
            (was, change)
        });
        let Some(change) = change else {
            return;
        };
        if was == Reach::CutOff {
            self.connections.close_idle_tunnels();
        }
        log_change(service, change, error);
    }

    /// Records that an endpoint answered over a connection of this instance's own.
    pub(super) fn note_direct_answer(&self, service: &Name) {
        let now_us = self.clock.now_us();
        self.endpoint_reach
            .update(service, |s| s.answered_us = now_us);
    }

    /// Records that a connect takes long, which counts as a failure until it succeeds.
    fn note_slow_connect(&self, service: &Name, key: EndpointKey) {
        let began_us = self.clock.now_us();
        let error = io::ErrorKind::TimedOut.into();
        self.note_connect(service, key, began_us, Some(&error));
    }

    /// Opens a connection to an endpoint through another instance.
    pub(super) async fn tunnel(
        self: &Arc<Self>,
        service: &Name,
        key: EndpointKey,
        regions: &AllowedRegions,
    ) -> Result<EndpointConnection, NoTunnel> {
        let now_us = self.clock.now_us();
        let is_futile = |s: &mut ServiceReach| now_us < s.no_carrier_until_us;
        if self.endpoint_reach.update(service, is_futile) {
            return Err(NoTunnel::NoCarrier);
        }
        let opened = self.open_tunnel(key, regions).await;
        let now_us = self.clock.now_us();
        match &opened {
            Ok(_) => self.note_tunnelled(service, now_us),
            Err(NoTunnel::NoCarrier) => self
                .endpoint_reach
                .update(service, |s| s.no_carrier_until_us = now_us + NO_CARRIER_US),
            Err(_) => {}
        }
        opened
    }

    /// Records that another instance reached an endpoint for this one.
    fn note_tunnelled(self: &Arc<Self>, service: &Name, now_us: Micros) {
        let change = self
            .endpoint_reach
            .update(service, |s| s.reachability.note_tunnelled(now_us));
        let Some(change) = change else {
            return;
        };
        log_change(service, change, None);
        // The connects failed for this instance's links, and not for the endpoints.
        self.balancer().forget_failures(service);
        tokio::spawn(link_probes::watch_for_end_of_cut(
            self.clone(),
            service.clone(),
        ));
    }
}

impl From<NoTunnel> for ConnectError {
    fn from(refusal: NoTunnel) -> Self {
        match refusal {
            NoTunnel::Withheld => Self::Withheld,
            NoTunnel::EndpointSilent => Self::Silent,
            NoTunnel::EndpointRefuses => Self::Refused,
            NoTunnel::NoCarrier => Self::Unreachable,
        }
    }
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::TimedOut => Self::Silent,
            io::ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::Unreachable,
        }
    }
}

/// Logs a change of how this instance reaches a service's endpoints; `error` is the one of the last connect.
fn log_change(service: &str, change: ReachChange, error: Option<&io::Error>) {
    let failed_endpoints = change.failed_endpoints;
    let failing_ms = change.failing_us / 1_000;
    match change.reach {
        Reach::Unreachable => {
            let error = error.map_or_else(|| "-".to_owned(), io::Error::to_string);
            log::warn!(
                target: "ryevalve::endpoint",
                service, failed_endpoints, failing_ms, error = &*error;
                "endpoints_unreachable"
            );
        }
        Reach::CutOff => log::warn!(
            target: "ryevalve::endpoint",
            service, failed_endpoints, failing_ms;
            "endpoints_cut_off"
        ),
        Reach::Reached => log::info!(
            target: "ryevalve::endpoint",
            service, failed_endpoints, failing_ms;
            "endpoints_reached_again"
        ),
    }
}
