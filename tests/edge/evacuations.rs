//! Evacuated data centres: nothing is sent to their endpoints until the operators withdraw the evacuation.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use ryevalve::balance::load::EndpointKey;
use serde_json::json;
use tokio::time;

use crate::{
    cluster::until,
    load_generator::{Demand, send_load},
    site::{EVACUATE, Site, entry},
    support::{Edge, config},
};

const KIND: &str = "evacuations";
const PLAIN: Demand = Demand {
    path: "/again/w",
    every: Duration::from_millis(150),
    lasts: Duration::from_secs(2),
    skipped_instances: 0,
};

/// Moves an endpoint's entry to another data centre, and waits until all instances have applied it.
async fn move_to(site: &Site, endpoint: usize, data_centre: &str) {
    let mut spec = entry(site.runners[endpoint].addr);
    spec["zone"] = data_centre.into();
    let id = format!("e{endpoint}-0");
    site.platform.set("servers", &id, spec);
    until("the entry to be known", || {
        site.instances.iter().all(|instance| {
            let balancer = instance.gateway.balancer();
            let key = balancer.key_of(&id);
            let entry = key.and_then(|key| balancer.entry(key));
            entry.is_some_and(|entry| &*entry.hall == data_centre)
        })
    })
    .await;
}

fn arrivals(site: &Site, endpoint: usize, from: Instant) -> usize {
    let seen = site.runners[endpoint].seen();
    seen.iter().filter(|s| s.at > from).count()
}

async fn until_evacuated(site: &Site, is_evacuated: bool) {
    until("the evacuation to be known", || {
        let instances = site.instances.iter();
        let mut known = instances.map(|i| i.gateway.evacuations.contains("b"));
        known.all(|known| known == is_evacuated)
    })
    .await;
}

/// Runs a separate process, which reads the bound from its settings file.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_sends_nothing_to_an_evacuated_data_centre_and_refuses_if_no_other_is_left() {
    let edge = Edge::start_with(1, "evacuateMs = 2000").await;
    assert_eq!(edge.call("/again/w", "r-before").await.status, 200);
    // The object's name is the data centre; its contents are ignored.
    edge.platform.set(KIND, "hall", json!({"reason": "fire"}));
    time::sleep(EVACUATE).await;
    let sent = Instant::now();
    let response = edge.call("/again/w", "r-evacuated").await;
    assert_eq!(response.status, 503);
    assert!(
        response.retry_after_s().is_some_and(|s| s > 0.1),
        "{response:?}"
    );
    assert!(sent.elapsed() < Duration::from_millis(300));
    assert_eq!(edge.runners[0].runs("r-evacuated"), 0);
    edge.platform.remove(KIND, "hall");
    time::sleep(EVACUATE).await;
    assert_eq!(edge.call("/again/w", "r-after").await.status, 200);
}

/// Only a few instances watch the store; the others receive the evacuation from them.
#[tokio::test(flavor = "multi_thread")]
async fn no_instance_of_a_cluster_sends_to_an_evacuated_data_centre() {
    for (net, instances) in [(70, 3), (71, 18)] {
        let site = Arc::new(Site::start(net, instances, 3).await);
        move_to(&site, 0, "b").await;
        site.platform.set(KIND, "b", json!({}));
        site.platform.set(KIND, "nowhere", json!({}));
        let acknowledged = Instant::now();
        let during = send_load(
            &site,
            Demand {
                lasts: Duration::from_secs(4),
                ..PLAIN
            },
        )
        .await;
        assert_eq!(arrivals(&site, 0, acknowledged + EVACUATE), 0);
        assert_eq!(during.served, during.total(), "{during:?}");
        site.platform.remove(KIND, "b");
        until_evacuated(&site, false).await;
        let withdrawn_at = Instant::now();
        send_load(&site, PLAIN).await;
        let arrived = arrivals(&site, 0, withdrawn_at);
        assert!(arrived > 0, "{instances} instances: it serves again");
    }
}

/// During an outage of the store an evacuation stays in force, also at instances that start meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_outlasts_a_store_outage_and_reaches_instances_that_start_later() {
    let mut site = Site::start(72, 7, 2).await;
    move_to(&site, 0, "b").await;
    site.platform.set(KIND, "b", json!({}));
    until_evacuated(&site, true).await;
    site.platform.fault(|f| f.down = true);
    site.start_instance().await;
    until_evacuated(&site, true).await;
    let site = Arc::new(site);
    let from = Instant::now();
    send_load(
        &site,
        Demand {
            path: "/open/w",
            lasts: Duration::from_secs(4),
            ..PLAIN
        },
    )
    .await;
    assert_eq!(arrivals(&site, 0, from), 0);
}

/// The rate limit of a cold endpoint applies to the requests of all instances together.
#[tokio::test(flavor = "multi_thread")]
async fn instances_together_keep_the_rate_limit_of_a_cold_endpoint() {
    for (net, instances) in [(73, 7), (74, 18)] {
        let site = Arc::new(Site::start(net, instances, 2).await);
        let mut with_bound = config(4, &["key-of-the-tests"]);
        with_bound["backends"][0]["warmupS"] = 3.into();
        with_bound["backends"][0]["warmupPerS"] = 4.into();
        site.platform.set("config", "main", with_bound);
        let mut cold = entry(site.runners[0].addr);
        cold["warmupLeftMs"] = 4_000.into();
        site.platform.set("servers", "e0-0", cold);
        let key = EndpointKey::of("e0-0");
        until("the endpoint to be known as cold", || {
            site.instances.iter().all(|instance| {
                let now_us = instance.gateway.clock.now_us();
                instance.gateway.balancer().rate(now_us, key).is_some()
            })
        })
        .await;
        let known = Instant::now();
        let demand = Demand {
            every: Duration::from_millis(15 * instances as u64),
            lasts: Duration::from_millis(2_500),
            ..PLAIN
        };
        let outcomes = send_load(&site, demand).await;
        let seen = site.runners[0].seen();
        let at: Vec<Instant> = seen.iter().map(|s| s.at).filter(|at| *at > known).collect();
        let in_a_second = |from: &Instant| {
            let until = *from + Duration::from_secs(1);
            at.iter().filter(|at| *at >= from && **at < until).count()
        };
        let most = at.iter().map(in_a_second).max().unwrap_or(0);
        assert!(most <= 11, "{instances} instances: {most} in a second");
        assert!(at.len() >= 3, "{} in all: it gets some", at.len());
        assert_eq!(outcomes.served, outcomes.total(), "{outcomes:?}");
    }
}
