//! Runs one instance on the platform.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use rand::RngExt;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    time::{self, MissedTickBehavior},
};
use tokio_util::sync::CancellationToken;

use crate::{
    balance::discovery::Change,
    gateway::{
        block_list,
        caller_listener::{self, ListenerStop},
        copies,
        exchange::{Exchange, ExchangePlace},
        instance_count, limit_log, probes, reservation_server,
        staleness::StalenessBound,
        state::{Gateway, GatewayBounds},
        stop,
    },
    limits::{permits::ColdTolerance, quota::Tolerance, retries::RetryBounds},
    peers::{datagram::MemberInfo, gossip::Gossip, membership::Membership, rpc::SealedCodec},
    platform::{
        follow,
        headers::PlatformProtocol,
        objects::ObjectClient,
        settings::{Bounds, PlatformSettings, SettingsError},
        store::PlatformStore,
    },
    prelude::{Incarnation, Micros},
};

/// Where the counters are served, beside the address for readiness; named in the deploy file.
pub const METRICS_PORT: u16 = 9_464;
/// The variable that holds the key by which instances know each other.
pub const CLUSTER_KEY_VARIABLE: &str = "RYEVALVE_CLUSTER_KEY";
const MIN_KEY_LEN: usize = 16;
/// Descriptors kept for endpoints, peers, the store and files.
const OWN_DESCRIPTORS: usize = 900;
const BYTES_PER_MBIT: f64 = 125_000.0;
/// How often silent peers, lapsed endpoints and resting connections are looked at.
const SWEEP: Duration = Duration::from_millis(250);
/// How often the state of limits in use is written to the log.
const LIMIT_STATES: Duration = Duration::from_secs(1);
/// How often the requests that wait are looked at, and whether the machine was suspended.
const RECONSIDER: Duration = Duration::from_millis(20);
/// How often the settings file is read, since it may change without a signal.
const REREAD: Duration = Duration::from_secs(5);

/// Why an instance did not start.
#[derive(Debug, Snafu)]
pub enum EdgeError {
    /// The settings cannot be used.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// What is wrong with them.
        source: SettingsError,
    },
    /// An address cannot be bound.
    #[snafu(display("cannot listen for {what} on {addr}: {source}"))]
    Bind {
        /// Who was to be listened for.
        what: &'static str,
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// What instances tell each other cannot be authenticated.
    #[snafu(display("{CLUSTER_KEY_VARIABLE} is missing or short; expected 16 characters or more"))]
    ClusterKey,
    /// Signals cannot be received.
    #[snafu(display("signals cannot be received: {source}"))]
    Signals {
        /// What the system said.
        source: io::Error,
    },
}

/// Runs an instance until it is told to stop; returns whether all requests came to their end.
///
/// # Errors
/// It could not start.
pub async fn run() -> Result<bool, EdgeError> {
    let settings = PlatformSettings::load()?;
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let callers = bind("callers", settings.listen.callers).await?;
    let ready = bind("readiness", settings.listen.ready).await?;
    let metrics_addr = SocketAddr::new(settings.listen.ready.ip(), METRICS_PORT);
    let metrics = bind("metrics", metrics_addr).await?;
    let bounds = gateway_bounds(&settings.bounds);
    let hall = settings.hall.as_str().into();
    let gateway = Arc::new(Gateway::new(
        PlatformProtocol,
        hall,
        bounds,
        settings.is_first_start,
    ));
    let regions = settings.regions.iter();
    let regions = regions.map(|(hall, region)| (hall.as_str().into(), region.as_str().into()));
    gateway.balancer().set_regions(regions.collect());
    log::info!(
        target: "ryevalve::process",
        instance = settings.name.as_str(), hall = settings.hall.as_str();
        "started"
    );
    let stop = ListenerStop::default();
    let most = settings
        .machine
        .max_descriptors
        .saturating_sub(OWN_DESCRIPTORS);
    let serving = tokio::spawn(caller_listener::serve(
        gateway.clone(),
        callers,
        most.max(1),
        stop.clone(),
    ));
    tokio::spawn(probes::serve(gateway.clone(), ready));
    tokio::spawn(probes::serve(gateway.clone(), metrics));
    let is_seed = settings.seeds.contains(&settings.listen.control);
    // A seed reads from the store at once: the others ask it.
    if !is_seed && !settings.seeds.is_empty() {
        gateway.set_fetches_at_start();
        if settings.is_first_start {
            gateway.set_waits_for_peers();
        }
    }
    let store = settings.store.address;
    tokio::spawn(follow::configuration(
        gateway.clone(),
        ObjectClient::new(store),
    ));
    tokio::spawn(follow::endpoints(gateway.clone(), ObjectClient::new(store)));
    if settings.bounds.evacuate_ms.is_some() {
        let client = ObjectClient::new(store);
        tokio::spawn(follow::evacuations(gateway.clone(), client));
    }
    let list = PlatformStore::new(store);
    tokio::spawn(block_list::run(
        gateway.clone(),
        list,
        settings.is_first_start,
    ));
    tokio::spawn(instance_count::run(
        gateway.clone(),
        PlatformStore::new(store),
        settings.is_first_start,
    ));
    meet_peers(&gateway, &settings).await?;
    tokio::spawn(sweep(gateway.clone()));
    tokio::spawn(log_limits(gateway.clone()));
    tokio::spawn(reconsider(gateway.clone()));
    let mut reread = time::interval(REREAD);
    reread.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut known = settings;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(&gateway, &mut known, true),
            _ = reread.tick() => reload(&gateway, &mut known, false),
        }
    }
    let grace = Duration::from_secs_f64(known.bounds.grace_s);
    Ok(stop::stop(&gateway, stop, serving, grace).await)
}

/// Joins the other instances: membership and the exchange by UDP, copies by TCP.
async fn meet_peers(
    gateway: &Arc<Gateway<PlatformProtocol>>,
    settings: &PlatformSettings,
) -> Result<(), EdgeError> {
    let key = std::env::var(CLUSTER_KEY_VARIABLE).unwrap_or_default();
    snafu::ensure!(key.len() >= MIN_KEY_LEN, ClusterKeySnafu);
    let control = settings.listen.control;
    let me = MemberInfo {
        name: settings.name.as_str().into(),
        incarnation: Incarnation(rand::rng().random_range(1..u64::MAX)),
        peer_addr: control,
        hall: settings.hall.as_str().into(),
        data_centre: settings.data_centre.as_str().into(),
        beat: 1,
        leaving: false,
    };
    let membership = Membership::new(me.clone(), settings.seeds.clone(), me.incarnation.0);
    let what = "peers";
    let gossip = Gossip::bind(control, membership, key.as_bytes(), gateway.clock).await;
    let gossip = Arc::new(gossip.context(BindSnafu {
        what,
        addr: control,
    })?);
    let copies = bind(what, control).await?;
    let addr = SocketAddr::new(control.ip(), settings.peer_ports.0);
    let socket = UdpSocket::bind(addr)
        .await
        .context(BindSnafu { what, addr })?;
    let addr = SocketAddr::new(control.ip(), settings.peer_ports.0 + 1);
    let places = UdpSocket::bind(addr)
        .await
        .context(BindSnafu { what, addr })?;
    let codec = SealedCodec::new(key.as_bytes(), Arc::default());
    let incarnation = me.incarnation;
    let place = ExchangePlace {
        me,
        seeds: settings.seeds.clone(),
        link_bytes_per_s: settings.machine.link_mbps * BYTES_PER_MBIT,
    };
    let exchange = Exchange::new(
        gateway.clone(),
        gossip.clone(),
        socket,
        key.as_bytes(),
        codec.clone(),
        place,
    );
    let exchange = Arc::new(exchange.context(BindSnafu { what, addr })?);
    tokio::spawn(async move { gossip.run(CancellationToken::new()).await });
    tokio::spawn(exchange.clone().meet());
    if gateway.fetches_at_start() {
        tokio::spawn(exchange.clone().fetch_at_start());
    }
    tokio::spawn(exchange.run());
    let giving = gateway.clone();
    tokio::spawn(async move {
        if let Err(error) =
            reservation_server::run(giving, places, key.as_bytes(), incarnation).await
        {
            let reason = error.to_string();
            log::error!(target: "ryevalve::process", reason; "places_not_given");
        }
    });
    let serving = copies::serve(gateway.clone(), copies, codec);
    tokio::spawn(async move {
        if let Err(error) = serving.await {
            let reason = error.to_string();
            log::error!(target: "ryevalve::process", reason; "copies_not_served");
        }
    });
    Ok(())
}

async fn bind(what: &'static str, addr: SocketAddr) -> Result<TcpListener, EdgeError> {
    TcpListener::bind(addr)
        .await
        .context(BindSnafu { what, addr })
}

fn gateway_bounds(bounds: &Bounds) -> GatewayBounds {
    GatewayBounds {
        revoke_us: bounds.revoke_ms * 1_000,
        drain: StalenessBound(bounds.drain_ms * 1_000),
        config_apply: StalenessBound(bounds.config_apply_ms * 1_000),
        is_revocation_strict: bounds.strict_revocation,
        retries: RetryBounds {
            ratio: bounds.retry_budget_ratio,
            slack: bounds.budget_slack,
            window_us: (bounds.budget_window_s * 1e6) as Micros,
        },
        tolerance: Tolerance {
            window_s: bounds.quota_window_s,
            overage: bounds.quota_overage,
            slack: bounds.quota_slack,
        },
        evacuate: bounds.evacuate_ms.map(|ms| StalenessBound(ms * 1_000)),
        cold: ColdTolerance {
            overage: bounds.warmup_overage,
            slack: bounds.warmup_slack,
        },
    }
}

/// Takes what has changed in the settings; addresses stay as they are.
fn reload(gateway: &Gateway<PlatformProtocol>, known: &mut PlatformSettings, asked: bool) {
    match PlatformSettings::load() {
        Ok(settings) if settings == *known => {
            if asked {
                log::info!(target: "ryevalve::process", changed = false; "settings_reloaded");
            }
        }
        Ok(settings) => {
            gateway.set_bounds(gateway_bounds(&settings.bounds));
            *known = settings;
            log::info!(target: "ryevalve::process", changed = true; "settings_reloaded");
        }
        Err(error) => {
            let reason = error.to_string();
            log::warn!(target: "ryevalve::process", reason; "settings_kept");
        }
    }
}

async fn sweep(gateway: Arc<Gateway<PlatformProtocol>>) {
    let mut period = time::interval(SWEEP);
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        let now_us = gateway.clock.now_us();
        gateway.connections.sweep(now_us);
        gateway.suspects().expire(now_us);
        gateway.permits.expire(now_us);
        let (gone, _) = gateway.balancer().tick(now_us);
        for id in gone {
            gateway.log_endpoint_change(&id, Change::Gone, "lapse");
        }
    }
}

async fn log_limits(gateway: Arc<Gateway<PlatformProtocol>>) {
    let mut period = time::interval(LIMIT_STATES);
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        limit_log::log_states(&gateway);
    }
}

async fn reconsider(gateway: Arc<Gateway<PlatformProtocol>>) {
    let mut period = time::interval(RECONSIDER);
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        gateway.clock.look_for_suspension().await;
        gateway.reconsider();
    }
}
