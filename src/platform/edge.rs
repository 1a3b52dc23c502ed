//! Runs one gateway instance on the platform: starts its tasks, reloads its settings and stops it.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

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
        exchange::{Exchange, ExchangeSettings},
        instance_count, limit_log, origin_archive, probes, reservation_server, rollout_loop,
        rollouts::RolloutBounds,
        shares,
        staleness::StalenessBound,
        state::{Gateway, GatewayBounds},
        stop, tunnel_server,
        tunnels::{self, TunnelChannel},
        version_history,
    },
    limits::{
        held_bytes::HeldLimits, permits::ColdTolerance, quota::Tolerance, retries::RetryBounds,
    },
    peers::{
        datagram::{Authenticator, MemberInfo},
        gossip::Gossip,
        membership::Membership,
        rpc::SealedCodec,
    },
    platform::{
        headers::PlatformProtocol,
        objects::ObjectClient,
        rollouts::{self, RolloutStatuses},
        settings::{Bounds, PlatformSettings, SettingsError},
        store::PlatformStore,
        store_era::{EraMetrics, StoreEra},
        store_watch,
    },
    prelude::{Incarnation, Micros},
};

/// Port of the metrics, at the IP address of the readiness probe; the deployment file names it too.
pub const METRICS_PORT: u16 = 9_464;
/// Environment variable that holds the key with which instances authenticate each other.
pub const CLUSTER_KEY_VARIABLE: &str = "RYEVALVE_CLUSTER_KEY";
/// Environment variable with the address from which connections to endpoints are opened, for hosts that have several.
pub const SOURCE_ADDRESS_VARIABLE: &str = "RYEVALVE_SOURCE_ADDRESS";
const MIN_KEY_LEN: usize = 16;
/// File descriptors reserved for endpoints, peers, the store and files; callers get the others.
const RESERVED_DESCRIPTORS: usize = 900;
const BYTES_PER_MBIT: f64 = 125_000.0;
const BYTES_PER_MB: u64 = 1 << 20;
/// Interval at which expired state is removed: idle connections, suspects, permits, lapsed endpoints and the loads of
/// silent peers.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the state of the limits in use is logged.
const LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which waiting requests are reconsidered and a suspension of the machine is detected.
const RECONSIDER_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the settings file is reread, since it may change without a signal.
const REREAD_INTERVAL: Duration = Duration::from_secs(5);

/// Why an instance could not start.
#[derive(Debug, Snafu)]
pub enum EdgeError {
    /// The settings are missing or invalid.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// The error in the settings.
        source: SettingsError,
    },
    /// An address cannot be bound.
    #[snafu(display("cannot listen for {purpose} on {addr}: {source}"))]
    Bind {
        /// The purpose of the socket.
        purpose: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Without a cluster key, messages between instances cannot be authenticated.
    #[snafu(display(
        "{CLUSTER_KEY_VARIABLE} is missing or too short; expected 16 characters or more"
    ))]
    ClusterKey,
    /// The address to connect from is not one.
    #[snafu(display("{SOURCE_ADDRESS_VARIABLE} {text}: expected an IP address"))]
    SourceAddress {
        /// The value of the variable.
        text: String,
    },
    /// Signal handlers cannot be installed.
    #[snafu(display("cannot install signal handlers: {source}"))]
    Signals {
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Runs an instance until SIGTERM; returns whether all requests finished before the stop.
///
/// # Errors
/// The instance could not start.
pub async fn run() -> Result<bool, EdgeError> {
    let settings = PlatformSettings::load()?;
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let callers = bind("callers", settings.listen.callers).await?;
    let readiness = bind("readiness", settings.listen.ready).await?;
    let metrics_addr = SocketAddr::new(settings.listen.ready.ip(), METRICS_PORT);
    let metrics = bind("metrics", metrics_addr).await?;
    let bounds = gateway_bounds(&settings);
    let hall = settings.hall.as_str().into();
    let gateway = Arc::new(Gateway::new(
        PlatformProtocol,
        hall,
        bounds,
        settings.is_first_start,
    ));
    if let Some(source) = source_address()? {
        gateway.endpoint_reach.set_source(source);
    }
    let regions = settings.regions.iter();
    let regions = regions.map(|(hall, region)| (hall.as_str().into(), region.as_str().into()));
    gateway.balancer().set_regions(regions.collect());
    log::info!(
        target: "ryevalve::process",
        instance = settings.name.as_str(), hall = settings.hall.as_str();
        "started"
    );
    let stop = ListenerStop::default();
    let max_connections = settings
        .machine
        .max_descriptors
        .saturating_sub(RESERVED_DESCRIPTORS);
    let serving = tokio::spawn(caller_listener::serve(
        gateway.clone(),
        callers,
        max_connections.max(1),
        stop.clone(),
    ));
    tokio::spawn(probes::serve(gateway.clone(), readiness));
    tokio::spawn(probes::serve(gateway.clone(), metrics));
    let is_seed = settings.seeds.contains(&settings.listen.control);
    // A seed reads the store immediately, because the other instances fetch from it.
    if !is_seed && !settings.seeds.is_empty() {
        gateway.set_fetches_at_start();
        if settings.is_first_start {
            gateway.set_waits_for_peers();
        }
    }
    follow_store(&gateway, &settings);
    let gossip = join_peers(&gateway, &settings).await?;
    tokio::spawn(sweep(gateway.clone()));
    tokio::spawn(log_limits(gateway.clone()));
    tokio::spawn(reconsider(gateway.clone()));
    let mut reread = time::interval(REREAD_INTERVAL);
    reread.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut current = settings;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(&gateway, &mut current, true),
            _ = reread.tick() => reload(&gateway, &mut current, false),
        }
    }
    let grace = Duration::from_secs_f64(current.bounds.grace_s);
    let all_answered = stop::stop(&gateway, stop, serving, grace).await;
    // Others would ask it for permits and places until they miss it.
    gossip.goodbye().await;
    Ok(all_answered)
}

/// Reads the address from which connections to endpoints are opened.
fn source_address() -> Result<Option<IpAddr>, EdgeError> {
    match std::env::var(SOURCE_ADDRESS_VARIABLE) {
        Ok(text) => match text.parse() {
            Ok(source) => Ok(Some(source)),
            Err(_) => SourceAddressSnafu { text }.fail(),
        },
        Err(_) => Ok(None),
    }
}

/// Starts to follow the store, and to keep in it what must outlive the processes.
fn follow_store(gateway: &Arc<Gateway<PlatformProtocol>>, settings: &PlatformSettings) {
    let addr = settings.store.address;
    let era = StoreEra::new(EraMetrics {
        era: gateway.metrics.store_era.clone(),
        unreadable: gateway.metrics.store_eras_unreadable.clone(),
    });
    let client = || ObjectClient::with_era(addr, era.clone());
    let store = PlatformStore::with_era(addr, era.clone());
    tokio::spawn(store_watch::configuration(gateway.clone(), client()));
    tokio::spawn(store_watch::endpoints(gateway.clone(), client()));
    if settings.bounds.evacuate_ms.is_some() {
        tokio::spawn(store_watch::evacuations(gateway.clone(), client()));
    }
    if gateway.bounds().rollouts.is_some() {
        tokio::spawn(rollouts::watch(gateway.clone(), client()));
        let statuses = RolloutStatuses(store.clone());
        tokio::spawn(rollout_loop::record(gateway.clone(), statuses));
        tokio::spawn(rollout_loop::run(gateway.clone()));
    }
    tokio::spawn(block_list::start(
        gateway.clone(),
        store.clone(),
        settings.is_first_start,
    ));
    let (written, read) = (store.clone(), store.clone());
    let written = move |slot| written.origin_archive(slot);
    let read = move |slot| read.origin_archive(slot);
    tokio::spawn(origin_archive::write(gateway.clone(), written));
    tokio::spawn(origin_archive::read(gateway.clone(), read));
    tokio::spawn(version_history::start(
        gateway.clone(),
        store.clone(),
        settings.is_first_start,
    ));
    tokio::spawn(instance_count::run(
        gateway.clone(),
        store,
        settings.is_first_start,
    ));
}

/// Joins the cluster: starts membership, the exchange and reservations over UDP, and the transfer of copies over TCP.
async fn join_peers(
    gateway: &Arc<Gateway<PlatformProtocol>>,
    settings: &PlatformSettings,
) -> Result<Arc<Gossip>, EdgeError> {
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
    let purpose = "peers";
    let gossip = Gossip::bind(control, membership, key.as_bytes(), gateway.clock).await;
    let gossip = Arc::new(gossip.context(BindSnafu {
        purpose,
        addr: control,
    })?);
    let copies = bind(purpose, control).await?;
    let addr = SocketAddr::new(control.ip(), settings.peer_ports.0);
    let exchange_socket = UdpSocket::bind(addr)
        .await
        .context(BindSnafu { purpose, addr })?;
    let addr = SocketAddr::new(control.ip(), settings.peer_ports.0 + 1);
    let reservation_socket = UdpSocket::bind(addr)
        .await
        .context(BindSnafu { purpose, addr })?;
    let addr = SocketAddr::new(control.ip(), settings.peer_ports.0);
    let tunnels = bind("tunnels", addr).await?;
    let authenticator = Authenticator::new(key.as_bytes(), tunnels::KEY_PURPOSE);
    gateway.tunnels.start(TunnelChannel {
        gossip: gossip.clone(),
        port: addr.port(),
        authenticator: authenticator.clone(),
    });
    tokio::spawn(tunnel_server::serve(
        gateway.clone(),
        tunnels,
        authenticator,
    ));
    let codec = SealedCodec::new(key.as_bytes(), Arc::default());
    let incarnation = me.incarnation;
    let place = ExchangeSettings {
        me,
        seeds: settings.seeds.clone(),
        link_bytes_per_s: settings.machine.link_mbps * BYTES_PER_MBIT,
    };
    let exchange = Exchange::new(
        gateway.clone(),
        gossip.clone(),
        exchange_socket,
        key.as_bytes(),
        codec.clone(),
        place,
    );
    let exchange = Arc::new(exchange.context(BindSnafu { purpose, addr })?);
    let membership = gossip.clone();
    tokio::spawn(async move { membership.run(CancellationToken::new()).await });
    tokio::spawn(exchange.clone().discover_peers());
    if gateway.fetches_at_start() {
        tokio::spawn(exchange.clone().fetch_at_start());
    }
    tokio::spawn(exchange.clone().fetch_answer_history());
    tokio::spawn(exchange.run());
    let issuer = gateway.clone();
    tokio::spawn(async move {
        if let Err(error) =
            reservation_server::run(issuer, reservation_socket, key.as_bytes(), incarnation).await
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
    Ok(gossip)
}

async fn bind(purpose: &'static str, addr: SocketAddr) -> Result<TcpListener, EdgeError> {
    TcpListener::bind(addr)
        .await
        .context(BindSnafu { purpose, addr })
}

fn gateway_bounds(settings: &PlatformSettings) -> GatewayBounds {
    let bounds = &settings.bounds;
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
        rollouts: rollout_bounds(bounds),
        shares_room: bounds.share_room,
        evacuate: bounds.evacuate_ms.map(|ms| StalenessBound(ms * 1_000)),
        cold: ColdTolerance {
            overage: bounds.warmup_overage,
            slack: bounds.warmup_slack,
        },
        held: HeldLimits::of_memory(settings.machine.memory_mb * BYTES_PER_MB),
    }
}

/// Returns the limits of roll-outs; both have to be stated for roll-outs to be supported.
fn rollout_bounds(bounds: &Bounds) -> Option<RolloutBounds> {
    Some(RolloutBounds {
        exposure_share: bounds.exposure_share?,
        rollback: StalenessBound(bounds.rollback_ms? * 1_000),
    })
}

/// Rereads the settings and applies changed bounds; changed addresses are ignored. `is_requested`: by SIGHUP, so
/// that the outcome is logged even if nothing has changed.
fn reload(gateway: &Gateway<PlatformProtocol>, current: &mut PlatformSettings, is_requested: bool) {
    match PlatformSettings::load() {
        Ok(settings) if settings == *current => {
            if is_requested {
                log::info!(target: "ryevalve::process", changed = false; "settings_reloaded");
            }
        }
        Ok(settings) => {
            let mut bounds = gateway_bounds(&settings);
            // What watches roll-outs runs from the start of the process, or not at all.
            let rollouts = gateway.bounds().rollouts;
            bounds.rollouts = rollouts.map(|before| bounds.rollouts.unwrap_or(before));
            gateway.set_bounds(bounds);
            *current = settings;
            log::info!(target: "ryevalve::process", changed = true; "settings_reloaded");
        }
        Err(error) => {
            let reason = error.to_string();
            log::warn!(target: "ryevalve::process", reason; "settings_kept");
        }
    }
}

/// Removes expired state until dropped.
pub async fn sweep(gateway: Arc<Gateway<PlatformProtocol>>) {
    let mut interval = time::interval(SWEEP_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now_us = gateway.clock.now_us();
        gateway.connections.remove_expired(now_us);
        gateway.carried.expire(now_us);
        gateway.suspects().expire(now_us);
        gateway.part_suspects().expire(now_us);
        gateway.permits.expire(now_us);
        gateway
            .permits
            .retain_slots(|endpoint| gateway.balancer().is_brittle(endpoint));
        let (lapsed, _) = gateway.balancer().tick(now_us);
        for id in lapsed {
            gateway.log_endpoint_change(&id, Change::Gone, "lapse");
        }
    }
}

async fn log_limits(gateway: Arc<Gateway<PlatformProtocol>>) {
    let mut interval = time::interval(LIMIT_LOG_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        limit_log::log_states(&gateway);
        shares::log_states(&gateway);
    }
}

async fn reconsider(gateway: Arc<Gateway<PlatformProtocol>>) {
    let mut interval = time::interval(RECONSIDER_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        gateway.clock.check_for_suspension().await;
        gateway.reconsider();
    }
}
