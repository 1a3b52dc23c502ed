//! Fetches what another instance is said to have newer: the configuration and the endpoints, each by itself,
//! so that neither waits for the other.
//!
//! Whoever gives a copy gives it to a few at a time. One that is put off asks another instance, which may have it by
//! then, so the time until all have it grows as the logarithm of the group.

use std::{
    net::{IpAddr, SocketAddr},
    ops::Range,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand::{RngExt, seq::IteratorRandom};
use tokio::time;

use crate::{
    balance::discovery::Revision,
    gateway::{
        config::ConfigVersion,
        copies::{self, CopyError},
        exchange::Exchange,
        protocol::Protocol,
    },
    peers::view::Member,
};

/// Instances that are asked for the same, one after the other.
const MOST_ASKED: usize = 12;
/// Pause after one that gave nothing; spread, so that those that were put off together do not come together.
const PAUSE_MS: Range<u64> = 30..90;
/// One in so many is asked in any data centre, the others in the own one.
const ANYWHERE_EACH: u32 = 4;
/// A process that starts asks others for this long, and this often.
const STARTING: Duration = Duration::from_secs(10);
const STARTING_PAUSE: Duration = Duration::from_millis(60);

/// What is to be fetched, if nothing as new is known.
#[derive(Clone, Copy, Debug)]
pub(super) enum Wanted {
    /// A configuration of this version or a later one.
    Config(ConfigVersion),
    /// The endpoints up to this revision or a later one.
    Endpoints(Revision),
}

impl Wanted {
    fn as_str(self) -> &'static str {
        match self {
            Self::Config(_) => "configuration",
            Self::Endpoints(_) => "endpoints",
        }
    }
}

/// Which fetches are under way; one of each kind at a time.
#[derive(Debug, Default)]
pub(super) struct Fetching {
    config: AtomicBool,
    endpoints: AtomicBool,
}

impl Fetching {
    fn of(&self, wanted: Wanted) -> &AtomicBool {
        match wanted {
            Wanted::Config(_) => &self.config,
            Wanted::Endpoints(_) => &self.endpoints,
        }
    }
}

impl<P: Protocol> Exchange<P> {
    /// Fetches what an instance is said to have, from it or from another one, unless one of the kind is being fetched.
    pub(super) fn fetch(self: &Arc<Self>, ip: IpAddr, wanted: Wanted) {
        if self.has(wanted) || self.fetching.of(wanted).swap(true, Ordering::Relaxed) {
            return;
        }
        let exchange = self.clone();
        tokio::spawn(async move {
            exchange.fetch_from_some(ip, wanted).await;
            exchange.fetching.of(wanted).store(false, Ordering::Relaxed);
        });
    }

    /// Fetches what this process lacks at its start, so that not each reads it from the store.
    pub async fn fetch_at_start(self: Arc<Self>) {
        let config = self.fetch_missing(Wanted::Config(1));
        let endpoints = self.fetch_missing(Wanted::Endpoints(1));
        tokio::join!(config, endpoints);
    }

    /// Asks seeds and others by turns until something is known.
    async fn fetch_missing(&self, wanted: Wanted) {
        let until = time::Instant::now() + STARTING;
        let mut is_seed_due = true;
        while !self.has(wanted) && time::Instant::now() < until {
            let seed = self.place.seeds.iter().choose(&mut rand::rng());
            let seed = seed.map(|seed| seed.ip()).filter(|_| is_seed_due);
            is_seed_due = !is_seed_due;
            if let Some(ip) = seed.or_else(|| self.some_other())
                && let Err(error) = self.take(ip, wanted).await
            {
                // Many start beside this one, and some of them do not listen yet.
                let (what, reason) = (wanted.as_str(), error.to_string());
                log::debug!(target: "ryevalve::process", what, reason; "copies_not_fetched");
            }
            time::sleep(STARTING_PAUSE).await;
        }
    }

    async fn fetch_from_some(&self, first: IpAddr, wanted: Wanted) {
        let mut from = Some(first);
        let mut is_logged = false;
        for _ in 0..MOST_ASKED {
            let Some(ip) = from else { return };
            if let Err(error) = self.take(ip, wanted).await
                && !std::mem::replace(&mut is_logged, true)
            {
                log_unfetched(wanted.as_str(), &error);
            }
            if self.has(wanted) {
                return;
            }
            let pause_ms = rand::rng().random_range(PAUSE_MS);
            time::sleep(Duration::from_millis(pause_ms)).await;
            from = self.some_other();
        }
    }

    fn has(&self, wanted: Wanted) -> bool {
        match wanted {
            Wanted::Config(version) => self.gateway.config.version() >= version,
            Wanted::Endpoints(revision) => self.gateway.balancer().endpoints_revision() >= revision,
        }
    }

    async fn take(&self, ip: IpAddr, wanted: Wanted) -> Result<(), CopyError> {
        match wanted {
            Wanted::Config(_) => self.take_config(ip).await,
            Wanted::Endpoints(_) => self.take_endpoints(ip).await,
        }
    }

    async fn take_config(&self, ip: IpAddr) -> Result<(), CopyError> {
        let gateway = &self.gateway;
        let addr = self.copies_at(ip);
        let version = gateway.config.version();
        let taken = copies::fetch_config(addr, self.codec.clone(), version, gateway.clock).await?;
        let Some(taken) = taken else { return Ok(()) };
        let version = taken.value.version;
        gateway.offer(taken.value, "peer");
        if let Some(fresh_at_us) = taken.fresh_at_us {
            gateway.config.confirm(version, fresh_at_us);
        }
        Ok(())
    }

    async fn take_endpoints(&self, ip: IpAddr) -> Result<(), CopyError> {
        let gateway = &self.gateway;
        let addr = self.copies_at(ip);
        let revision = gateway.balancer().endpoints_revision();
        let asked = copies::fetch_endpoints(addr, self.codec.clone(), revision, gateway.clock);
        if let Some(taken) = asked.await? {
            gateway.apply_peer_endpoints(taken.value, taken.fresh_at_us);
        }
        Ok(())
    }

    /// Returns an instance to ask, in the own data centre more often than in another one.
    fn some_other(&self) -> Option<IpAddr> {
        let mut rng = rand::rng();
        let is_anywhere = rng.random_ratio(1, ANYWHERE_EACH);
        let my_hall = &self.place.me.hall;
        let view = self.gossip.view();
        let is_near = |m: &&Member| is_anywhere || m.info.hall == *my_hall;
        let member = view.others().filter(is_near).choose(&mut rng);
        if let Some(member) = member {
            return Some(member.info.peer_addr.ip());
        }
        // Those that were met are not all in the view yet.
        let me = self.place.me.peer_addr;
        let met = self.gateway.note_addresses(&[]).into_iter();
        let other = met.filter(|addr| *addr != me).choose(&mut rng);
        other.map(|addr| addr.ip())
    }

    /// Returns where an instance gives copies: all have the same port for that.
    fn copies_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.place.me.peer_addr.port())
    }
}

fn log_unfetched(what: &'static str, error: &CopyError) {
    let reason = error.to_string();
    log::warn!(target: "ryevalve::process", what, reason; "copies_not_fetched");
}
