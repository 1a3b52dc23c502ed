//! What operators and endpoints say reaches every instance within its bound, also where those that
//! bring the news are slow or lost.
//!
//! The story: on a site of 78 instances requests reached an endpoint 3.27 s after it had said that it
//! leaves, where 3 s are allowed. While endpoints were replaced one by one, the configuration had grown by
//! 1,400 routes, twice. Copies of it filled the links of the instances that gave them; news of
//! endpoints waited behind them, and the instances that waited asked the store themselves too late, or
//! got its answer too late.
//!
//! The evidence, from a day played with a release and two such configurations: the late instance logged
//! `copies_not_fetched` ("the request exceeded its deadline") 1.7 and 3.1 s after the endpoint's word, sent to
//! it at 3.22 s, and knew at 3.24 s. Of 78 instances half knew 2.2 s after the first, the last 3.6 s; with no
//! new configuration all knew within 0.3 s.

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
    group::{BOUNDS, DRAIN, Instance, Place, address, endpoint, free_port, until},
    support::config,
};

/// A configuration of this many routes takes some seconds on the slow link.
const MANY_ROUTES: usize = 5_000;
const SLOW_LINK: u32 = 100_000;

/// A configuration whose routes have names that nothing can be saved of.
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

/// One that gives copies through a link that the test slows down, and one that gets them.
struct Pair {
    giver: Instance,
    taker: Instance,
    link: Proxy,
}

impl Pair {
    async fn start(net: u8) -> Self {
        let port = free_port(net).await;
        let seeds = [SocketAddr::new(address(net, 0), port)];
        let place = |number| Place {
            net,
            number,
            hall: "a",
            port,
            seeds: &seeds,
        };
        let mut giver = Instance::start(place(0)).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let link = Proxy::start_at(seeds[0], listener.local_addr().unwrap()).await;
        giver.give_copies(listener);
        giver.gateway.offer(large_config(1, 1), "test");
        {
            let mut balancer = giver.gateway.balancer();
            balancer.upsert_endpoint(endpoint("leaving"), 1);
            balancer.upsert_endpoint(endpoint("staying"), 2);
            balancer.advance_endpoints_revision(2);
        }
        let taker = Instance::start(place(1)).await;
        until("the taker to know all", || {
            taker.gateway.config.version() == 1
                && taker.gateway.balancer().endpoints_revision() == 2
        })
        .await;
        Self { giver, taker, link }
    }

    /// The configuration grows, and at once an endpoint says that it leaves.
    fn grow_and_leave(&self) {
        let gateway = &self.giver.gateway;
        gateway.offer(large_config(2, MANY_ROUTES), "test");
        let mut leaving = endpoint("leaving");
        leaving.draining = true;
        let mut balancer = gateway.balancer();
        balancer.upsert_endpoint(leaving, 9);
        balancer.advance_endpoints_revision(9);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn news_of_an_endpoint_does_not_wait_for_a_large_configuration() {
    let pair = Pair::start(8).await;
    pair.link.set(Mode::Slow(SLOW_LINK));
    pair.grow_and_leave();
    time::sleep(DRAIN).await;
    let balancer = pair.taker.gateway.balancer();
    let leaving = balancer.entry(EndpointKey::of("leaving"));
    assert!(leaving.is_none_or(|e| e.draining), "it still is in use");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_configuration_comes_through_a_slow_link_however_long_it_takes() {
    let pair = Pair::start(9).await;
    pair.link.set(Mode::Slow(SLOW_LINK));
    pair.grow_and_leave();
    until("the configuration", || {
        pair.taker.gateway.config.version() == 2
    })
    .await;
    let table = pair.taker.gateway.config.table().expect("a configuration");
    assert_eq!(*table.config(), large_config(2, MANY_ROUTES));
}

fn entry(state: &str, warmup_left_ms: u64) -> Value {
    json!({"backend": "plain", "address": "10.0.0.1:80", "zone": "a", "version": "v1", "capacity": 4,
        "state": state, "warmupLeftMs": warmup_left_ms, "sequence": 1})
}

/// Starts instances that give copies and follow the store, each with its own way there.
async fn start_followers(net: u8, count: usize, store: SocketAddr) -> Vec<(Instance, Proxy)> {
    let port = free_port(net).await;
    let seeds: Vec<SocketAddr> = (0..count.min(3))
        .map(|n| SocketAddr::new(address(net, n), port))
        .collect();
    let mut all = Vec::new();
    for number in 0..count {
        let place = Place {
            net,
            number,
            hall: "a",
            port,
            seeds: &seeds,
        };
        let mut instance = Instance::start(place).await;
        let listener = TcpListener::bind((address(net, number), port)).await;
        instance.give_copies(listener.expect("a port"));
        let path = Proxy::start(store).await;
        instance.follow(path.addr);
        all.push((instance, path));
    }
    until("all to hear of all", || {
        let heard = |i: &Instance| i.gateway.instance_counts().heard;
        all.iter().all(|(i, _)| heard(i) == all.len())
    })
    .await;
    until("as many as there are, or three, to watch", || {
        let watching = all.iter().filter(|(i, _)| i.gateway.watches_store());
        watching.count() == count.min(3)
    })
    .await;
    all
}

/// All watchers are cut off from the store, and an endpoint leaves: the others find out within `drain`.
async fn all_watchers_are_cut_off(net: u8, drain: Duration) {
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

    // They are cut off from the store just after the others were told: these have no reason to ask yet.
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
    for (_, path) in &watchers {
        path.set(Mode::Silent);
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
async fn an_endpoint_that_leaves_is_left_alone_in_time_though_all_watchers_are_cut_off() {
    all_watchers_are_cut_off(10, DRAIN).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_holds_where_the_bound_is_shorter() {
    all_watchers_are_cut_off(12, Duration::from_millis(1_000)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_holds_where_the_bound_is_longer() {
    all_watchers_are_cut_off(13, Duration::from_millis(4_000)).await;
}

/// An instance whose own connection to the store had broken for a moment took an endpoint that went soon after for
/// one whose entry had lapsed while the store was away, and used it for up to 1.8 s more, as did all that copied
/// from it. Others had heard from the store all the while, so nothing lapsed. Found by reading, while the cause of
/// the late news was looked for elsewhere; with every failed call taken for an outage this test fails.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_connection_is_no_outage_of_the_store() {
    let platform = Platform::start().await;
    platform.set("servers", "leaving", entry("ready", 0));
    platform.set("servers", "staying", entry("ready", 0));
    let both = start_followers(11, 2, platform.addr()).await;
    until("both to know", || {
        let known = |i: &Instance| i.gateway.balancer().endpoint_count();
        both.iter().all(|(i, _)| known(i) == 2)
    })
    .await;
    let [(_, sound_path), (broken, broken_path)] = &both[..] else {
        panic!("two instances");
    };
    broken_path.set(Mode::Reset);
    time::sleep(Duration::from_millis(300)).await;
    broken_path.set(Mode::Pass);
    time::sleep(Duration::from_millis(500)).await;
    // The other learns of it later, so that the one that was cut off takes the store's word, not a copy.
    sound_path.set(Mode::Delay(Duration::from_millis(500)));
    platform.remove("servers", "leaving");
    time::sleep(DRAIN / 2).await;
    for _ in 0..20 {
        let placed = broken.place_one().await;
        assert_eq!(placed.as_deref(), Some("staying"));
    }
}

/// Returns the calls to the store in some calm seconds of a group in which freshness is told late for its bound.
async fn calls_of_calm_seconds(net: u8, count: usize) -> u64 {
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

/// Guards against calls to the store that grow with the group, since reports and summaries come less often in it.
#[tokio::test(flavor = "multi_thread")]
async fn calls_to_the_store_do_not_grow_with_a_calm_group() {
    let few = calls_of_calm_seconds(83, 13).await;
    let many = calls_of_calm_seconds(84, 39).await;
    assert!(
        many <= few + few / 4,
        "{few} calls of 13 instances, {many} of 39"
    );
}
