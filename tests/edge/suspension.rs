//! An instance's machine is suspended for seconds: the steady clock stands, the callers' and the store's time goes on.
//!
//! The story: what an instance knows of the store is as old as the time since it asked. By a clock that stands
//! during a suspension it was new right after one, and requests went to endpoints that had left meanwhile; and a
//! request whose time was over was held on for as long as the machine had slept.

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

/// Longer than any bound and any time-out here.
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
        let source = TimeSource::steered();
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
        until("it to be ready", || instance.gateway.is_ready()).await;
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
async fn an_endpoint_that_left_during_a_suspension_is_sent_nothing() {
    let site = Site::start(33).await;
    // No news comes to a machine that is suspended.
    site.platform.fault(|f| f.silent = true);
    time::sleep(DRAIN / 2).await;
    let leaves = entry(site.runners[0].addr, "draining");
    site.platform.set("servers", "e0", leaves);
    site.source.suspend(SUSPENDED);
    site.platform.fault(|f| f.silent = false);
    for number in 0..12 {
        let id = format!("r-{number}");
        let got = exchange(site.callers, request("/again/", &id, &[])).await;
        assert_eq!(got.expect("an answer").status, StatusCode::OK);
    }
    assert!(
        site.runners[0].seen().is_empty(),
        "it had left for {SUSPENDED:?}"
    );
    assert!(site.instance.gateway.endpoints_age_us() < DRAIN.as_micros() as u64);
}

/// The route holds requests for 3 s; without the suspension it would take as long.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_time_is_over_after_a_suspension_is_given_up_at_once() {
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
        let got = exchange(site.callers, request(path, path, &[])).await;
        assert_eq!(got.expect("an answer").status, StatusCode::GATEWAY_TIMEOUT);
        suspending.await.expect("it ends");
    }
    let took = started.elapsed();
    assert!(
        took < Duration::from_millis(2_500),
        "they were held for {took:?}"
    );
}
