//! Opens tunnels: connections to endpoints through instances that reach them, while this one does not.
//!
//! This instance decides and accounts as ever; the other one only carries the bytes. So limits, permits, budgets and
//! evidence are counted once, and a tunnel that breaks means what a broken connection means.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, OnceLock},
    time::Duration,
};

use futures::{StreamExt, stream::FuturesUnordered};
use rand::seq::SliceRandom;
use tokio::time;

use crate::{
    balance::{load::EndpointKey, regions::AllowedRegions},
    endpoint::connection_pool::{EndpointConnection, TunnelRoute},
    gateway::{
        protocol::Protocol,
        state::{Gateway, lock},
    },
    peers::{
        datagram::Authenticator,
        gossip::Gossip,
        tunnel::{self, TunnelCall, TunnelError, TunnelRefusal},
        view::View,
    },
    prelude::{Micros, Name},
};

/// The purpose by which the cluster's key authenticates tunnels.
pub const KEY_PURPOSE: &str = "ryevalve tunnel";
/// Most instances that are asked for one tunnel.
const MAX_CANDIDATES: usize = 6;
/// Time after which the next instance is asked as well. An instance that reaches the endpoint answers within some
/// milliseconds, also from another data centre.
const HEDGE_DELAY: Duration = Duration::from_millis(60);
/// Time within which a tunnel must be open.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);
/// Instances that carry tunnels for this one, so that their load is spread.
const CARRIERS: usize = 3;
/// An instance that did not carry a tunnel, or was slow to, is asked after all others for this long.
const SKIP_US: Micros = 1_000_000;
/// How often an announcement is sent until the other instance has confirmed it.
const ANNOUNCE_ATTEMPTS: u32 = 3;
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// What opening tunnels takes: the membership view, and the port and key of all instances.
pub struct TunnelChannel {
    /// The membership.
    pub gossip: Arc<Gossip>,
    /// The port at which instances accept tunnels.
    pub port: u16,
    /// Authenticates calls.
    pub authenticator: Authenticator,
}

/// Opens tunnels, and remembers which instances carry them.
#[derive(Default)]
pub struct Tunnels {
    channel: OnceLock<TunnelChannel>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Instances that carried a tunnel last time.
    carriers: Vec<IpAddr>,
    /// Instances that did not, and when.
    skipped_us: HashMap<IpAddr, Micros>,
}

/// An instance that may carry a tunnel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: Name,
    /// The hall in which it runs.
    pub hall: Name,
    /// Its address.
    pub ip: IpAddr,
}

/// Why no tunnel was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoTunnel {
    /// The endpoint refuses connections.
    EndpointRefuses,
    /// The endpoint does not answer an instance that reaches others.
    EndpointSilent,
    /// The endpoint is to be sent nothing from the instances that reach it.
    Withheld,
    /// No instance that was asked reaches the service's endpoints.
    NoCarrier,
}

impl Tunnels {
    /// Sets what opening tunnels takes; until then there are none.
    pub fn start(&self, channel: TunnelChannel) {
        // This is called once, when the instance starts.
        let _ = self.channel.set(channel);
    }

    /// Orders the candidates: instances in `halls`, then the others, of each those that carry tunnels first; those that
    /// failed lately come last.
    fn rank(
        &self,
        now_us: Micros,
        mut candidates: Vec<Candidate>,
        halls: [Option<Name>; 2],
    ) -> Vec<Candidate> {
        let mut state = lock(&self.state);
        state
            .skipped_us
            .retain(|_, at_us| now_us.saturating_sub(*at_us) < SKIP_US);
        candidates.shuffle(&mut rand::rng());
        candidates.sort_by_key(|c| {
            let is_skipped = state.skipped_us.contains_key(&c.ip);
            let is_carrier = state.carriers.contains(&c.ip);
            let is_near = halls.iter().flatten().any(|hall| *hall == c.hall);
            (is_skipped, !is_near, !is_carrier)
        });
        candidates.truncate(MAX_CANDIDATES);
        candidates
    }

    fn note_carrier(&self, ip: IpAddr) {
        let mut state = lock(&self.state);
        state.skipped_us.remove(&ip);
        if !state.carriers.contains(&ip) && state.carriers.len() < CARRIERS {
            state.carriers.push(ip);
        }
    }

    fn note_skipped(&self, now_us: Micros, ip: IpAddr) {
        let mut state = lock(&self.state);
        state.carriers.retain(|carrier| *carrier != ip);
        state.skipped_us.insert(ip, now_us);
    }
}

/// Returns the other instances that are not about to stop.
fn members(view: &View) -> Vec<Candidate> {
    let others = view.others().filter(|m| m.can_lead());
    let candidates = others.map(|m| Candidate {
        name: m.info.name.clone(),
        hall: m.info.hall.clone(),
        ip: m.info.peer_addr.ip(),
    });
    candidates.collect()
}

impl<P: Protocol> Gateway<P> {
    /// Opens a connection to an endpoint through another instance, in a region in which the request may be served.
    ///
    /// Instances are asked one after the other, the next when one declines or takes long; the first tunnel is used.
    ///
    /// # Errors
    /// No instance carries the connection; nothing was sent to the endpoint.
    pub(super) async fn open_tunnel(
        &self,
        endpoint: EndpointKey,
        regions: &AllowedRegions,
    ) -> Result<EndpointConnection, NoTunnel> {
        let Some(channel) = self.tunnels.channel.get() else {
            return Err(NoTunnel::NoCarrier);
        };
        let opening = self.ask_candidates(channel, endpoint, regions);
        let opened = time::timeout(OPEN_TIMEOUT, opening).await;
        let opened = opened.unwrap_or(Err(NoTunnel::NoCarrier));
        match &opened {
            Ok(_) => drop(self.metrics.tunnels_opened.inc()),
            Err(_) => drop(self.metrics.tunnels_failed.inc()),
        }
        opened
    }

    async fn ask_candidates(
        &self,
        channel: &TunnelChannel,
        endpoint: EndpointKey,
        regions: &AllowedRegions,
    ) -> Result<EndpointConnection, NoTunnel> {
        let mut waiting = self.candidates(channel, endpoint, regions).into_iter();
        let mut asked = FuturesUnordered::new();
        let mut outcome = NoTunnel::NoCarrier;
        loop {
            let newest = waiting.next();
            let newest_ip = newest.as_ref().map(|candidate| candidate.ip);
            match newest {
                Some(candidate) => asked.push(self.ask(channel, candidate, endpoint)),
                None if asked.is_empty() => return Err(outcome),
                None => {}
            }
            let answer = match waiting.len() {
                0 => Ok(asked.next().await),
                _ => time::timeout(HEDGE_DELAY, asked.next()).await,
            };
            match answer {
                Ok(Some(Ok(connection))) => return Ok(connection),
                Ok(Some(Err(
                    declined @ (NoTunnel::EndpointRefuses | NoTunnel::EndpointSilent),
                ))) => return Err(declined),
                Ok(Some(Err(NoTunnel::Withheld))) => outcome = NoTunnel::Withheld,
                Ok(Some(Err(NoTunnel::NoCarrier)) | None) => {}
                Err(_) => newest_ip
                    .into_iter()
                    .for_each(|ip| self.tunnels.note_skipped(self.clock.now_us(), ip)),
            }
        }
    }

    /// Returns the instances to ask for a tunnel, the first to ask first. Through an instance in the hall of this one or
    /// of the endpoint, no byte crosses between halls that would not without a tunnel.
    fn candidates(
        &self,
        channel: &TunnelChannel,
        endpoint: EndpointKey,
        regions: &AllowedRegions,
    ) -> Vec<Candidate> {
        let members = members(&channel.gossip.view());
        let balancer = self.balancer();
        let may_carry = |c: &Candidate| balancer.may_carry_in(&c.hall, regions);
        let candidates = members.into_iter().filter(may_carry).collect();
        let of_endpoint = balancer.entry(endpoint).map(|entry| entry.hall.clone());
        let halls = [Some(balancer.hall().clone()), of_endpoint];
        drop(balancer);
        self.tunnels.rank(self.clock.now_us(), candidates, halls)
    }

    async fn ask(
        &self,
        channel: &TunnelChannel,
        candidate: Candidate,
        endpoint: EndpointKey,
    ) -> Result<EndpointConnection, NoTunnel> {
        let addr = SocketAddr::new(candidate.ip, channel.port);
        let opened = tunnel::open(addr, &channel.authenticator, endpoint).await;
        let (stream, state) = opened.map_err(|error| self.note_declined(candidate.ip, &error))?;
        let route = TunnelRoute {
            carrier: candidate.name,
            carrier_hall: candidate.hall,
            carrier_ip: candidate.ip,
            state,
        };
        let connection = EndpointConnection::through(stream, route).await;
        let connection = connection.map_err(|_| NoTunnel::NoCarrier)?;
        self.tunnels.note_carrier(candidate.ip);
        Ok(connection)
    }

    /// Records that an instance did not carry a tunnel, and returns what that says of the endpoint.
    fn note_declined(&self, ip: IpAddr, error: &TunnelError) -> NoTunnel {
        match error {
            TunnelError::Declined { refusal } => match refusal {
                TunnelRefusal::EndpointRefuses => return NoTunnel::EndpointRefuses,
                TunnelRefusal::EndpointSilent => return NoTunnel::EndpointSilent,
                TunnelRefusal::Withheld => return NoTunnel::Withheld,
                // It may know the other endpoints.
                TunnelRefusal::UnknownEndpoint => return NoTunnel::NoCarrier,
                TunnelRefusal::CutOff | TunnelRefusal::Full | TunnelRefusal::Stopping => {}
            },
            error => {
                let reason = error.to_string();
                log::debug!(target: "ryevalve::endpoint", reason; "tunnel_not_opened");
            }
        }
        self.tunnels.note_skipped(self.clock.now_us(), ip);
        NoTunnel::NoCarrier
    }
}

/// Tells the instance that carried an answer what the endpoint announced in it. The endpoint sees that instance's
/// address, so a back-off binds it, too.
pub(super) fn announce_to_carrier<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    carrier: IpAddr,
    call: TunnelCall,
) {
    let gateway = gateway.clone();
    tokio::spawn(async move {
        let Some(channel) = gateway.tunnels.channel.get() else {
            return;
        };
        let addr = SocketAddr::new(carrier, channel.port);
        for _ in 0..ANNOUNCE_ATTEMPTS {
            let sending = tunnel::send_call(addr, &channel.authenticator, call);
            if let Ok(Ok(_)) = time::timeout(ANNOUNCE_TIMEOUT, sending).await {
                return;
            }
        }
        log::warn!(target: "ryevalve::endpoint", carrier = carrier.to_string(); "announcement_not_passed_on");
    });
}
