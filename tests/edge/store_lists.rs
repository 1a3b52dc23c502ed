//! Lists of the store that take many pages, while calls are refused and entries change.
//!
//! The story: after the loss of all 300 instances, some of the sweeps served again only after 30 s, others after 9. By reading: a list
//! of 3,000 endpoints is 60 pages and more, and one refused page throws all pages away; where 300 processes list at once the store
//! refuses calls, and all begin anew. What is shown here is that one instance alone never comes to the end of
//! such a list; that the sweeps' 30 s have this cause is not shown.

use std::time::Duration;

use ryevalve::balance::discovery::EndpointsDelta;
use serde_json::{Value, json};
use standins::platform::Platform;

use crate::{
    group::{Instance, Place, endpoint, free_port, until},
    support::config,
};

/// Eight pages of the stand-in.
pub const ENDPOINTS: usize = 400;

fn entry(state: &str) -> Value {
    json!({"backend": "svc", "address": "127.0.0.1:9", "zone": "a", "version": "v1", "capacity": 4,
        "state": state, "warmupLeftMs": 0, "sequence": 1})
}

fn id(number: usize) -> String {
    format!("e{number:03}")
}

pub async fn start_store() -> Platform {
    let platform = Platform::start().await;
    platform.set("config", "main", config(3, &["key-of-the-tests"]));
    for number in 0..ENDPOINTS {
        platform.set("servers", &id(number), entry("ready"));
    }
    platform
}

async fn start_instance(net: u8) -> Instance {
    let port = free_port(net).await;
    let place = Place {
        net,
        number: 0,
        hall: "a",
        port,
        seeds: &[],
    };
    Instance::start(place).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_list_goes_on_after_a_page_that_was_refused() {
    let platform = start_store().await;
    platform.fault(|f| f.refuses_each = 4);
    let mut instance = start_instance(60).await;
    instance.follow(platform.addr());
    until("all endpoints to be known", || {
        instance.gateway.balancer().endpoint_count() == ENDPOINTS
    })
    .await;
}

/// An endpoint says that it leaves after the page it is on was read and before the last one was.
#[tokio::test(flavor = "multi_thread")]
async fn what_changes_while_a_list_is_read_is_not_missed() {
    let platform = start_store().await;
    platform.fault(|f| f.delay = Duration::from_millis(60));
    let mut instance = start_instance(61).await;
    instance.follow(platform.addr());
    let before = platform.counts().reads;
    // The configuration's list and two pages of the endpoints' at least, and not all.
    until("two pages to be read", || {
        platform.counts().reads >= before + 4
    })
    .await;
    platform.set("servers", &id(0), entry("draining"));
    assert_eq!(
        instance.gateway.balancer().endpoint_count(),
        0,
        "the list is not whole yet"
    );
    platform.fault(|f| f.delay = Duration::ZERO);
    let draining = || {
        let balancer = instance.gateway.balancer();
        let entry = balancer.key_of(&id(0)).and_then(|key| balancer.entry(key));
        entry.is_some_and(|e| e.draining)
    };
    until("the endpoint to be known as leaving", draining).await;
}

/// Returns whether an endpoint is known as leaving.
fn is_draining(instance: &Instance, number: usize) -> bool {
    let balancer = instance.gateway.balancer();
    let key = balancer.key_of(&id(number));
    let entry = key.and_then(|key| balancer.entry(key));
    entry.is_some_and(|e| e.draining)
}

/// Lets an instance know all endpoints as they are, from another one.
fn bring_all(platform: &Platform, instance: &Instance) {
    let copy = EndpointsDelta {
        revision: platform.set("servers", &id(0), entry("ready")),
        entries: (0..ENDPOINTS)
            .map(|number| (endpoint(&id(number)), false))
            .collect(),
        removed: Vec::new(),
        is_whole: true,
    };
    instance.gateway.apply_peer_endpoints(copy, None);
}

/// Guards against calls that grow with instances times endpoints: each instance that nobody tells of changes asks the
/// store for what changed, not for all.
#[tokio::test(flavor = "multi_thread")]
async fn one_that_knows_the_endpoints_asks_for_what_changed_only() {
    let platform = start_store().await;
    let mut instance = start_instance(62).await;
    bring_all(&platform, &instance);
    platform.set("servers", &id(1), entry("draining"));
    let before = platform.counts().reads;
    instance.follow(platform.addr());
    until("the endpoint to be known as leaving", || {
        is_draining(&instance, 1)
    })
    .await;
    let calls = platform.counts().reads - before;
    assert!(calls <= 4, "{calls} calls, and a list alone takes eight");
}

/// Guards against an instance that waits for others for ever once the store has forgotten what changed.
#[tokio::test(flavor = "multi_thread")]
async fn one_to_which_nobody_brings_what_changed_lists_anew() {
    let platform = start_store().await;
    let mut instance = start_instance(63).await;
    instance.gateway.set_fetches_at_start();
    bring_all(&platform, &instance);
    platform.set("servers", &id(1), entry("draining"));
    platform.forget_history();
    instance.follow(platform.addr());
    until("the endpoint to be known as leaving", || {
        is_draining(&instance, 1)
    })
    .await;
}
