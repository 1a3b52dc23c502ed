//! Changes of the configuration and of endpoints reach every instance within their bound, even if the instances that
//! pass them on are slow or have failed.
//!
//! Guards against requests to an endpoint after its drain bound: with 78 instances, some arrived 3.27 s after the
//! endpoint announced that it leaves, where 3 s are allowed. Copies of a configuration that had grown by 1,400 routes
//! filled the links of the instances that sent them. Endpoint changes waited behind these copies: the last instance
//! had them 3.6 s after the first, compared with 0.3 s without a new configuration. The waiting instances logged
//! `copies_not_fetched` and queried the store too late, or got its response too late.

use std::{net::SocketAddr, time::Duration};

use ryevalve::{
    balance::load::EndpointKey,
    gateway::{
        config::{GatewayConfig, Route, RouteKind, Target},
        staleness::StalenessBound,
        state::GatewayBounds,
    },
};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use standins::{
    platform::Platform,
    proxy::{Mode, Proxy},
};
use tokio::{net::TcpListener, time};

use crate::{
    cluster::{BOUNDS, DRAIN, Instance, InstanceSpec, address, endpoint, free_port, until},
    support::{at, config},
};

/// Routes of a configuration that takes some seconds on the slow link.
const LARGE_CONFIG_ROUTES: usize = 5_000;
const SLOW_BYTES_PER_S: u32 = 100_000;

/// Returns a configuration whose route names do not compress.
fn large_config(version: u64, routes: usize) -> GatewayConfig {
    let route = |number: usize| {
        let digest = hex::encode(Sha256::digest(number.to_le_bytes()));
        Route {
            name: digest[..12].into(),
            host: format!("{}.example", &digest[12..20]).into(),
            path_prefix: format!("/{}/", &digest[20..32]).into(),
            kind: RouteKind::Whole { repeatable: true },
            timeout: Duration::from_secs(3),
            target: Duration::from_millis(500),
            target_gap: Duration::from_millis(400),
            priority: 0,
            max_attempts: 2,
            public: true,
            targets: vec![Target {
                service: "plain".into(),
                weight: 1,
            }],
            allowed_regions: None,
        }
    };
    GatewayConfig {
        version,
        routes: (0..routes).map(|n| route(n).into()).collect(),
        ..GatewayConfig::default()
    }
}

/// An instance that serves copies over a link that the test can slow down, and one that fetches them.
struct CopyPair {
    source: Instance,
    receiver: Instance,
    link: Proxy,
}

impl CopyPair {
    async fn start(net: u8) -> Self {
        let port = free_port(net).await;
        let seeds = [SocketAddr::new(address(net, 0), port)];
        let spec = |number| InstanceSpec {
            net,
            number,
            hall: "a",
            port,
            seeds: &seeds,
        };
        let mut source = Instance::start(spec(0)).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let link = Proxy::start_at(seeds[0], listener.local_addr().unwrap()).await;
        source.serve_copies(listener);
        source.gateway.offer(large_config(1, 1), "test");
        {
            let mut balancer = source.gateway.balancer();
            balancer.upsert_endpoint(endpoint("leaving"), at(1));
            balancer.upsert_endpoint(endpoint("staying"), at(2));
            balancer.advance_endpoints_position(at(2));
        }
        let receiver = Instance::start(spec(1)).await;
        until("the receiver to have both copies", || {
            receiver.gateway.config.version() == 1
                && receiver.gateway.balancer().endpoints_position() == at(2)
        })
        .await;
        Self {
            source,
            receiver,
            link,
        }
    }

    /// Applies a large configuration, and immediately afterwards drains an endpoint.
    fn grow_config_and_drain(&self) {
        let gateway = &self.source.gateway;
        gateway.offer(large_config(2, LARGE_CONFIG_ROUTES), "test");
        let mut leaving = endpoint("leaving");
        leaving.draining = true;
        let mut balancer = gateway.balancer();
        balancer.upsert_endpoint(leaving, at(9));
        balancer.advance_endpoints_position(at(9));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_changes_do_not_wait_for_a_large_configuration() {
    let pair = CopyPair::start(8).await;
    pair.link.set(Mode::Slow(SLOW_BYTES_PER_S));
    pair.grow_config_and_drain();
    time::sleep(DRAIN).await;
    let balancer = pair.receiver.gateway.balancer();
    let leaving = balancer.entry(EndpointKey::of("leaving"));
    assert!(
        leaving.is_none_or(|e| e.draining),
        "the endpoint is still in use"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_configuration_arrives_over_a_slow_link() {
    let pair = CopyPair::start(9).await;
    pair.link.set(Mode::Slow(SLOW_BYTES_PER_S));
    pair.grow_config_and_drain();
    until("the configuration", || {
        pair.receiver.gateway.config.version() == 2
    })
    .await;
    let table = pair
        .receiver
        .gateway
        .config
        .table()
        .expect("a configuration");
    assert_eq!(*table.config(), large_config(2, LARGE_CONFIG_ROUTES));
}

fn entry(state: &str, warmup_left_ms: u64) -> Value {
    json!({"backend": "plain", "address": "10.0.0.1:80", "zone": "a", "version": "v1", "capacity": 4,
        "state": state, "warmupLeftMs": warmup_left_ms, "sequence": 1})
}

/// Starts instances that serve copies and follow the store, each through its own proxy.
async fn start_followers(net: u8, count: usize, store: SocketAddr) -> Vec<(Instance, Proxy)> {
    let port = free_port(net).await;
    let seeds: Vec<SocketAddr> = (0..count.min(3))
        .map(|n| SocketAddr::new(address(net, n), port))
        .collect();
    let mut all = Vec::new();
    for number in 0..count {
        let spec = InstanceSpec {
            net,
            number,
            hall: "a",
            port,
            seeds: &seeds,
        };
        let mut instance = Instance::start(spec).await;
        let listener = TcpListener::bind((address(net, number), port)).await;
        instance.serve_copies(listener.expect("a port"));
        let store_proxy = Proxy::start(store).await;
        instance.follow(store_proxy.addr);
        all.push((instance, store_proxy));
    }
    until("all instances to see each other", || {
        let seen_instances = |i: &Instance| i.gateway.instance_counts().heard;
        all.iter().all(|(i, _)| seen_instances(i) == all.len())
    })
    .await;
    until(
        "three instances, or all if there are fewer, to watch the store",
        || {
            let watching = all.iter().filter(|(i, _)| i.gateway.watches_store());
            watching.count() == count.min(3)
        },
    )
    .await;
    all
}

/// Cuts all watchers off from the store and drains an endpoint; the other instances must avoid it within `drain`.
async fn drain_while_watchers_are_cut_off(net: u8, drain: Duration) {
    let platform = Platform::start().await;
    platform.set("servers", "leaving", entry("ready", 0));
    platform.set("servers", "staying", entry("ready", 0));
    let all = start_followers(net, 6, platform.addr()).await;
    for (instance, _) in &all {
        instance.gateway.set_bounds(GatewayBounds {
            drain: StalenessBound(drain.as_micros() as u64),
            ..BOUNDS
        });
    }
    let (watchers, others): (Vec<_>, Vec<_>) = all
        .into_iter()
        .partition(|(i, _)| i.gateway.watches_store());

    // The watchers are cut off right after the others got fresh state and have no reason to query the store yet.
    let fresh_us = drain.as_micros() as u64 / 8;
    let are_fresh = || {
        let age_us = |i: &Instance| i.gateway.endpoints_age_us();
        others.iter().all(|(i, _)| age_us(i) < fresh_us)
    };
    let mut change = 0;
    while !are_fresh() {
        change += 1;
        platform.set("servers", "staying", entry("ready", change));
        for _ in 0..12 {
            if !are_fresh() {
                time::sleep(Duration::from_millis(5)).await;
            }
        }
    }
    for (_, store_proxy) in &watchers {
        store_proxy.set(Mode::Silent);
    }
    platform.set("servers", "leaving", entry("draining", 0));
    time::sleep(drain).await;
    for (other, _) in &others {
        for _ in 0..20 {
            let placed = other.place_one().await;
            assert_eq!(placed.as_deref(), Some("staying"));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_endpoint_is_avoided_in_time_if_all_watchers_are_cut_off() {
    drain_while_watchers_are_cut_off(10, DRAIN).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_endpoint_is_avoided_in_time_with_a_shorter_bound() {
    drain_while_watchers_are_cut_off(12, Duration::from_millis(1_000)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_endpoint_is_avoided_in_time_with_a_longer_bound() {
    drain_while_watchers_are_cut_off(13, Duration::from_millis(4_000)).await;
}

/// Guards against treating a broken connection of one instance as an outage of the store. An endpoint removed soon
/// after it then counted as one whose entry had expired during the outage, and was used for up to 1.8 s more by this
/// instance and all that copied from it, although other instances had reached the store throughout.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_connection_does_not_count_as_a_store_outage() {
    let platform = Platform::start().await;
    platform.set("servers", "leaving", entry("ready", 0));
    platform.set("servers", "staying", entry("ready", 0));
    let both = start_followers(11, 2, platform.addr()).await;
    until("both instances to have the endpoints", || {
        let known = |i: &Instance| i.gateway.balancer().endpoint_count();
        both.iter().all(|(i, _)| known(i) == 2)
    })
    .await;
    let [(_, healthy_proxy), (broken, broken_proxy)] = &both[..] else {
        panic!("two instances");
    };
    broken_proxy.set(Mode::Reset);
    time::sleep(Duration::from_millis(300)).await;
    broken_proxy.set(Mode::Pass);
    time::sleep(Duration::from_millis(500)).await;
    // The other instance gets the change later, so that the one that was cut off reads it from the store, not a copy.
    healthy_proxy.set(Mode::Delay(Duration::from_millis(500)));
    platform.remove("servers", "leaving");
    time::sleep(DRAIN / 2).await;
    for _ in 0..20 {
        let placed = broken.place_one().await;
        assert_eq!(placed.as_deref(), Some("staying"));
    }
}

/// Returns the calls to the store during 3 s of an idle cluster whose bound is short for its freshness updates.
async fn idle_store_calls(net: u8, count: usize) -> u64 {
    const BOUND_US: u64 = 600_000;
    let platform = Platform::start().await;
    platform.set("config", "main", config(1, &["key-of-the-tests"]));
    platform.set("servers", "staying", entry("ready", 0));
    let all = start_followers(net, count, platform.addr()).await;
    for (instance, _) in &all {
        instance.gateway.set_bounds(GatewayBounds {
            drain: StalenessBound(BOUND_US),
            config_apply: StalenessBound(BOUND_US),
            ..BOUNDS
        });
    }
    time::sleep(Duration::from_secs(2)).await;
    let before = platform.counts().reads;
    time::sleep(Duration::from_secs(3)).await;
    platform.counts().reads - before
}

/// Guards against calls to the store that grow with the cluster because reports and summaries are less frequent.
#[tokio::test(flavor = "multi_thread")]
async fn idle_store_calls_do_not_grow_with_the_cluster() {
    let few = idle_store_calls(83, 13).await;
    let many = idle_store_calls(84, 39).await;
    assert!(
        many <= few + few / 4,
        "{few} calls by 13 instances, {many} by 39"
    );
}
