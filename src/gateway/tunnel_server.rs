//! Carries tunnels: connects to endpoints for instances that do not reach them, and forwards the bytes.
//!
//! Only endpoints that this instance knows are reached, at their known addresses, and not while they or their data
//! centre are to be sent nothing. A tunnel never leads to a third instance, so there are no loops.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time,
};
use tokio_util::sync::CancellationToken;

use crate::{
    balance::{load::EndpointKey, reachability::Reach, readiness::Readiness},
    gateway::{
        endpoint_announcements,
        protocol::Protocol,
        state::{Gateway, lock},
    },
    listener,
    peers::{
        datagram::Authenticator,
        tunnel::{IncomingCall, TunnelCall, TunnelError, TunnelRefusal, TunnelReply},
    },
    prelude::Micros,
};

/// Most connections that an instance carries for others. Each takes two descriptors and some 40 KB.
const MAX_CARRIED: usize = 200;
/// Most connections from other instances at once: those that are carried, and those whose call is awaited.
const MAX_CONNECTIONS: usize = 2 * MAX_CARRIED;
/// Time within which the call must have arrived.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A line about an instance whose tunnels are carried is written again after this long without one.
const LINE_INTERVAL_US: Micros = 10_000_000;

/// The tunnels that this instance carries.
#[derive(Default)]
pub struct CarriedTunnels {
    /// Cancelled when this instance stops.
    retiring: CancellationToken,
    /// Connections carried for each instance.
    by_instance: Mutex<HashMap<IpAddr, CarriedFor>>,
}

/// What is carried for one instance.
#[derive(Clone, Copy, Debug, Default)]
struct CarriedFor {
    open: usize,
    carried: u64,
    last_us: Micros,
}

impl CarriedTunnels {
    /// Returns the number of connections that are carried now.
    pub fn open(&self) -> usize {
        lock(&self.by_instance).values().map(|c| c.open).sum()
    }

    /// Tells the instances whose tunnels are carried to send no further request through them.
    pub fn retire(&self) {
        self.retiring.cancel();
    }

    /// Waits until no connection is carried.
    pub async fn wait_until_closed(&self) {
        const CHECK_INTERVAL: Duration = Duration::from_millis(20);
        while self.open() > 0 {
            time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Counts a connection until the returned guard is dropped; returns `None` if there are too many.
    fn admit(&self, now_us: Micros, instance: IpAddr) -> Option<CarriedGuard<'_>> {
        let mut by_instance = lock(&self.by_instance);
        if by_instance.values().map(|c| c.open).sum::<usize>() >= MAX_CARRIED {
            return None;
        }
        let carried = by_instance.entry(instance).or_default();
        let is_first = carried.carried == 0;
        carried.open += 1;
        carried.carried += 1;
        carried.last_us = now_us;
        if is_first {
            log::info!(target: "ryevalve::endpoint", instance = instance.to_string(); "tunnels_begun");
        }
        Some(CarriedGuard {
            tunnels: self,
            instance,
        })
    }

    /// Forgets instances for which nothing has been carried for a while, and logs what was carried for them.
    pub fn expire(&self, now_us: Micros) {
        lock(&self.by_instance).retain(|instance, c| {
            let is_over = c.open == 0 && now_us.saturating_sub(c.last_us) >= LINE_INTERVAL_US;
            if is_over {
                let carried = c.carried;
                log::info!(target: "ryevalve::endpoint", instance = instance.to_string(), carried; "tunnels_ended");
            }
            !is_over
        });
    }
}

struct CarriedGuard<'t> {
    tunnels: &'t CarriedTunnels,
    instance: IpAddr,
}

impl Drop for CarriedGuard<'_> {
    fn drop(&mut self) {
        if let Some(carried) = lock(&self.tunnels.by_instance).get_mut(&self.instance) {
            carried.open -= 1;
        }
    }
}

/// Serves the tunnels of other instances until dropped, which closes them.
pub async fn serve<P: Protocol>(
    gateway: Arc<Gateway<P>>,
    listener: TcpListener,
    authenticator: Authenticator,
) {
    let mut carrying = JoinSet::new();
    loop {
        while carrying.try_join_next().is_some() {}
        if carrying.len() >= MAX_CONNECTIONS {
            // Further ones wait in the kernel's accept queue.
            carrying.join_next().await;
        }
        let (stream, from) = listener::accept(&listener).await;
        let (gateway, authenticator) = (gateway.clone(), authenticator.clone());
        carrying.spawn(async move {
            if let Err(error) = serve_call(&gateway, stream, from, &authenticator).await {
                let reason = error.to_string();
                log::debug!(target: "ryevalve::endpoint", instance = from.to_string(), reason; "tunnel_call_failed");
            }
        });
    }
}

async fn serve_call<P: Protocol>(
    gateway: &Gateway<P>,
    stream: TcpStream,
    from: SocketAddr,
    authenticator: &Authenticator,
) -> Result<(), TunnelError> {
    let receiving = IncomingCall::receive(stream, from, authenticator);
    let Ok(received) = time::timeout(CALL_TIMEOUT, receiving).await else {
        return Err(TunnelError::BrokenOff);
    };
    let mut incoming = received?;
    let link_error = |source: io::Error| TunnelError::Link { addr: from, source };
    match incoming.call {
        TunnelCall::Announce {
            endpoint,
            leaves,
            back_off_us,
        } => {
            endpoint_announcements::apply_from_tunnel(gateway, endpoint, leaves, back_off_us);
            incoming.reply(TunnelReply::Done).await.map_err(link_error)
        }
        TunnelCall::Connect(endpoint) => {
            let now_us = gateway.clock.now_us();
            let Some(_carried) = gateway.carried.admit(now_us, from.ip()) else {
                let reply = TunnelReply::Declined(TunnelRefusal::Full);
                return incoming.reply(reply).await.map_err(link_error);
            };
            match connect(gateway, endpoint).await {
                Ok(stream) => {
                    incoming
                        .reply(TunnelReply::Done)
                        .await
                        .map_err(link_error)?;
                    gateway.metrics.connections_carried.inc();
                    incoming.carry(stream, &gateway.carried.retiring).await;
                    Ok(())
                }
                Err(refusal) => {
                    let reply = TunnelReply::Declined(refusal);
                    incoming.reply(reply).await.map_err(link_error)
                }
            }
        }
    }
}

/// Connects to an endpoint for another instance.
async fn connect<P: Protocol>(
    gateway: &Gateway<P>,
    endpoint: EndpointKey,
) -> Result<TcpStream, TunnelRefusal> {
    if gateway.is_stopping() {
        return Err(TunnelRefusal::Stopping);
    }
    let now_us = gateway.clock.now_us();
    let entry = gateway.balancer().entry(endpoint).cloned();
    let entry = entry.ok_or(TunnelRefusal::UnknownEndpoint)?;
    match gateway.balancer().readiness(now_us, endpoint) {
        Readiness::Ready | Readiness::NeedsPermit => {}
        Readiness::BackOffUntil(_) | Readiness::Evacuated | Readiness::Leaving => {
            return Err(TunnelRefusal::Withheld);
        }
    }
    if gateway.endpoint_reach.reach(&entry.service) != Reach::Reached {
        return Err(TunnelRefusal::CutOff);
    }
    let error = match gateway.connect_to_endpoint(endpoint, entry.addr).await {
        Ok(stream) => return Ok(stream),
        Err(error) => error,
    };
    if !gateway
        .reaches_service(&entry.service, endpoint, now_us)
        .await
    {
        return Err(TunnelRefusal::CutOff);
    }
    Err(match error.kind() {
        io::ErrorKind::ConnectionRefused => TunnelRefusal::EndpointRefuses,
        _ => TunnelRefusal::EndpointSilent,
    })
}
