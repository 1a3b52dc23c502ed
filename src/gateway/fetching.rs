//! Fetches newer configurations and endpoints from other instances, independently, so that neither waits for the
//! other.
//!
//! An instance sends copies to a few others at a time. One that is refused tries another instance, which may have the
//! copy by then, so the time until all have it grows with the logarithm of the cluster size.

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
    gateway::{
        config::ConfigVersion,
        copies::{self, CopyError},
        exchange::Exchange,
        protocol::Protocol,
    },
    peers::view::Member,
    prelude::StorePosition,
};

/// Maximum instances that are tried for the same copy, one after the other.
const MAX_ATTEMPTS: usize = 12;
/// Pause after a failed attempt; random, so that instances that were refused together do not retry together.
const RETRY_PAUSE_MS: Range<u64> = 30..90;
/// One attempt in this many may go to any hall; the others stay in this hall.
const ANY_HALL_RATIO: u32 = 4;
/// How long a process that starts tries to fetch from other instances.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between the attempts of a process that starts.
const START_RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Number of instances without any history of answers after which no other one is asked: all may have just started.
const MAX_EMPTY_HISTORIES: usize = 3;

/// What to fetch, unless the local state is as new.
#[derive(Clone, Copy, Debug)]
pub(super) enum Wanted {
    /// A configuration of this version or a later one.
    Config(ConfigVersion),
    /// The endpoints up to this position or a later one.
    Endpoints(StorePosition),
}

impl Wanted {
    fn as_str(self) -> &'static str {
        match self {
            Self::Config(_) => "configuration",
            Self::Endpoints(_) => "endpoints",
        }
    }
}

/// The fetches in progress, at most one of each kind.
#[derive(Debug, Default)]
pub(super) struct ActiveFetches {
    config: AtomicBool,
    endpoints: AtomicBool,
}

impl ActiveFetches {
    fn flag(&self, wanted: Wanted) -> &AtomicBool {
        match wanted {
            Wanted::Config(_) => &self.config,
            Wanted::Endpoints(_) => &self.endpoints,
        }
    }
}

impl<P: Protocol> Exchange<P> {
    /// Starts to fetch what an instance announced, from it or from another one, unless a fetch of this kind is in
    /// progress.
    pub(super) fn fetch(self: &Arc<Self>, ip: IpAddr, wanted: Wanted) {
        if self.has(wanted) || self.fetching.flag(wanted).swap(true, Ordering::Relaxed) {
            return;
        }
        let exchange = self.clone();
        tokio::spawn(async move {
            exchange.fetch_with_retries(ip, wanted).await;
            exchange
                .fetching
                .flag(wanted)
                .store(false, Ordering::Relaxed);
        });
    }

    /// Fetches the missing state at the start, so that not every process reads it from the store.
    pub async fn fetch_at_start(self: Arc<Self>) {
        let config = self.fetch_missing(Wanted::Config(1));
        let endpoints = self.fetch_missing(Wanted::Endpoints(StorePosition::START.next()));
        tokio::join!(config, endpoints);
    }

    /// Fetches what another instance knows of the answers of endpoints. This one serves meanwhile, and relies on its own
    /// answers if no other one has told it in time.
    pub async fn fetch_answer_history(self: Arc<Self>) {
        let until = time::Instant::now() + START_TIMEOUT;
        let endpoints = Wanted::Endpoints(StorePosition::START.next());
        let (mut is_seed_due, mut empty) = (true, 0);
        while empty < MAX_EMPTY_HISTORIES && time::Instant::now() < until {
            // Starts of endpoints that are not known are left out.
            if self.has(endpoints)
                && let Some(ip) = self.seed_or_peer(&mut is_seed_due)
            {
                match self.fetch_answer_history_once(ip).await {
                    Ok(true) => return,
                    Ok(false) => empty += 1,
                    Err(error) => log_missing_copy("answer_history", &error),
                }
            }
            time::sleep(START_RETRY_PAUSE).await;
        }
    }

    /// Returns whether the instance knew something.
    async fn fetch_answer_history_once(&self, ip: IpAddr) -> Result<bool, CopyError> {
        let addr = self.copies_addr(ip);
        let copy = copies::fetch_answer_history(addr, self.codec.clone()).await?;
        let is_empty = copy.is_empty();
        self.gateway.add_older_answers(copy);
        Ok(!is_empty)
    }

    /// Returns a random seed or another instance, alternately.
    fn seed_or_peer(&self, is_seed_due: &mut bool) -> Option<IpAddr> {
        let seed = self.settings.seeds.iter().choose(&mut rand::rng());
        let seed = seed.map(|seed| seed.ip()).filter(|_| *is_seed_due);
        *is_seed_due = !*is_seed_due;
        seed.or_else(|| self.random_peer())
    }

    /// Tries a seed and another instance alternately until something is fetched or the time is up.
    async fn fetch_missing(&self, wanted: Wanted) {
        let until = time::Instant::now() + START_TIMEOUT;
        let mut is_seed_due = true;
        while !self.has(wanted) && time::Instant::now() < until {
            if let Some(ip) = self.seed_or_peer(&mut is_seed_due)
                && let Err(error) = self.fetch_once(ip, wanted).await
            {
                log_missing_copy(wanted.as_str(), &error);
            }
            time::sleep(START_RETRY_PAUSE).await;
        }
    }

    async fn fetch_with_retries(&self, first: IpAddr, wanted: Wanted) {
        let mut from = Some(first);
        let mut is_logged = false;
        for _ in 0..MAX_ATTEMPTS {
            let Some(ip) = from else { return };
            if let Err(error) = self.fetch_once(ip, wanted).await
                && !std::mem::replace(&mut is_logged, true)
            {
                log_fetch_failure(wanted.as_str(), &error);
            }
            if self.has(wanted) {
                return;
            }
            let pause_ms = rand::rng().random_range(RETRY_PAUSE_MS);
            time::sleep(Duration::from_millis(pause_ms)).await;
            from = self.random_peer();
        }
    }

    fn has(&self, wanted: Wanted) -> bool {
        match wanted {
            Wanted::Config(version) => self.gateway.config.version() >= version,
            Wanted::Endpoints(position) => self.gateway.balancer().endpoints_position() >= position,
        }
    }

    async fn fetch_once(&self, ip: IpAddr, wanted: Wanted) -> Result<(), CopyError> {
        match wanted {
            Wanted::Config(_) => self.fetch_config_once(ip).await,
            Wanted::Endpoints(_) => self.fetch_endpoints_once(ip).await,
        }
    }

    async fn fetch_config_once(&self, ip: IpAddr) -> Result<(), CopyError> {
        let gateway = &self.gateway;
        let addr = self.copies_addr(ip);
        let version = gateway.config.version();
        let copy = copies::fetch_config(addr, self.codec.clone(), version, gateway.clock).await?;
        let Some(copy) = copy else { return Ok(()) };
        let version = copy.value.version;
        gateway.offer(copy.value, "peer");
        if let Some(fresh_at_us) = copy.fresh_at_us {
            gateway.config.confirm(version, fresh_at_us);
        }
        Ok(())
    }

    async fn fetch_endpoints_once(&self, ip: IpAddr) -> Result<(), CopyError> {
        let gateway = &self.gateway;
        let addr = self.copies_addr(ip);
        let known = gateway.balancer().endpoints_position();
        let answer = copies::fetch_endpoints(addr, self.codec.clone(), known, gateway.clock);
        if let Some(copy) = answer.await? {
            gateway.apply_peer_endpoints(copy.value, copy.fresh_at_us);
        }
        Ok(())
    }

    /// Returns a random instance to fetch from, preferring this hall.
    fn random_peer(&self) -> Option<IpAddr> {
        let mut rng = rand::rng();
        let is_any_hall = rng.random_ratio(1, ANY_HALL_RATIO);
        let my_hall = &self.settings.me.hall;
        let view = self.gossip.view();
        let is_eligible = |m: &&Member| is_any_hall || m.info.hall == *my_hall;
        let member = view.others().filter(is_eligible).choose(&mut rng);
        if let Some(member) = member {
            return Some(member.info.peer_addr.ip());
        }
        // Some known instances may not be in the view yet.
        let me = self.settings.me.peer_addr;
        let known = self.gateway.note_addresses(&[]).into_iter();
        let other = known.filter(|addr| *addr != me).choose(&mut rng);
        other.map(|addr| addr.ip())
    }

    /// Returns the address at which an instance serves copies; all instances use the same port.
    fn copies_addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.settings.me.peer_addr.port())
    }
}

/// Logs a failure at the start: many instances may start together, and some of them do not listen yet.
fn log_missing_copy(what: &'static str, error: &CopyError) {
    let reason = error.to_string();
    log::debug!(target: "ryevalve::process", what, reason; "copies_not_fetched");
}

fn log_fetch_failure(what: &'static str, error: &CopyError) {
    let reason = error.to_string();
    log::warn!(target: "ryevalve::process", what, reason; "copies_not_fetched");
}
