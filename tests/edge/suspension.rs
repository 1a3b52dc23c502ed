//! An instance's machine is suspended for seconds: the monotonic clock stops, while time goes on for callers and store.
//!
//! Guards against measuring ages and deadlines by a clock that stops during a suspension. The state from the store then
//! looked fresh right after the suspension, so that requests went to endpoints that had left meanwhile, and a request
//! whose deadline had passed was held for as long as the machine had been suspended.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use ryevalve::clock::{Clock, TimeSource};
use serde_json::{Value, json};
use standins::{
    platform::Platform,
    runner::{Fault, Runner},
};
use tokio::{net::TcpListener, time};

use crate::{
    cluster::{DRAIN, Instance, InstanceSpec, address, free_port, until},
    support::{config, exchange, request},
};

/// Longer than any bound and timeout in these tests.
const SUSPENDED: Duration = Duration::from_secs(6);

struct Site {
    platform: Platform,
    runners: Vec<Runner>,
    instance: Instance,
    callers: SocketAddr,
    source: &'static TimeSource,
}

fn entry(addr: SocketAddr, state: &str) -> Value {
    json!({"backend": "svc", "address": addr, "zone": "a", "version": "v1", "capacity": 100,
        "state": state, "warmupLeftMs": 0, "sequence": 1})
}

impl Site {
    async fn start(net: u8) -> Self {
        let platform = Platform::start().await;
        platform.set("config", "main", config(3, &["key-of-the-tests"]));
        let mut runners = Vec::new();
        for index in 0..2 {
            let id = format!("e{index}");
            let runner = Runner::start(&id).await;
            platform.set("servers", &id, entry(runner.addr, "ready"));
            runners.push(runner);
        }
        let source = TimeSource::simulated();
        let port = free_port(net).await;
        let seeds = [SocketAddr::new(address(net, 0), port)];
        let place = InstanceSpec {
            net,
            number: 0,
            hall: "a",
            port,
            seeds: &seeds,
        };
        let mut instance = Instance::start_with_clock(place, Clock::new(source)).await;
        instance.follow(platform.addr());
        let listener = TcpListener::bind((address(net, 0), 0))
            .await
            .expect("a port");
        let callers = listener.local_addr().expect("an address");
        instance.serve(listener);
        until("the instance to be ready", || instance.gateway.is_ready()).await;
        Self {
            platform,
            runners,
            instance,
            callers,
            source,
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_left_during_a_suspension_is_sent_no_requests() {
    let site = Site::start(33).await;
    // A suspended machine receives no updates from the store.
    site.platform.fault(|f| f.silent = true);
    time::sleep(DRAIN / 2).await;
    let leaves = entry(site.runners[0].addr, "draining");
    site.platform.set("servers", "e0", leaves);
    site.source.suspend(SUSPENDED);
    site.platform.fault(|f| f.silent = false);
    for number in 0..12 {
        let id = format!("r-{number}");
        let response = exchange(site.callers, request("/again/", &id, &[])).await;
        assert_eq!(response.expect("an answer").status, StatusCode::OK);
    }
    assert!(
        site.runners[0].seen().is_empty(),
        "it had left for {SUSPENDED:?}"
    );
    assert!(site.instance.gateway.endpoints_age_us() < DRAIN.as_micros() as u64);
}

/// The route's timeout is 3 s, so without the suspension the requests would be held that long.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_deadline_passed_during_a_suspension_times_out_at_once() {
    let site = Site::start(34).await;
    for runner in &site.runners {
        runner.fault(Fault::Mute);
    }
    let started = Instant::now();
    for path in ["/once/", "/fixed/stream"] {
        let source = site.source;
        let suspending = tokio::spawn(async move {
            time::sleep(Duration::from_millis(300)).await;
            source.suspend(SUSPENDED);
        });
        let response = exchange(site.callers, request(path, path, &[])).await;
        assert_eq!(
            response.expect("an answer").status,
            StatusCode::GATEWAY_TIMEOUT
        );
        suspending.await.expect("the suspension ends");
    }
    let took = started.elapsed();
    assert!(
        took < Duration::from_millis(2_500),
        "they were held for {took:?}"
    );
}
