//! An endpoint that announces a rate limit gets no more requests than that from all instances together.
//!
//! Guards against limits that are not enforced. In a run of seven instances two overloaded endpoints announced limits
//! of 1.8 and 2.5 requests a second for 50 s and more, and still got 4.6 and 5.5 a second, as before the first such
//! answer, because nothing read the header. Reading and logging it in each instance was not enough: every instance knew
//! of the limit and kept on sending.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use tokio::{task::JoinSet, time};

use ryevalve::{
    balance::load::EndpointKey,
    explain::explain,
    limits::rate::{LimitHeader, RequestRate},
};
use serde_json::Value;

use crate::{
    cluster::{DRAIN, Instance, InstanceSpec, address, endpoint, free_port, key, until},
    load_generator::{Demand, send_load},
    site::Site,
    support::{Edge, at},
};

/// The length of the sliding windows in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// A window may have the limit's requests times the factor, plus the slack.
const SLACK: f64 = 5.0;
const OVERAGE_FACTOR: f64 = 1.5;
/// A limit is enforced this long after it was first announced.
const ENFORCED_AFTER: Duration = Duration::from_secs(3);
/// The least share of a limit that is used while there are enough requests.
const USED_SHARE: f64 = 0.9;

/// All instances of a small cluster apply a change after this time.
const PROPAGATION: Duration = Duration::from_millis(1_500);

const PLAIN: Demand = Demand {
    path: "/again/w",
    every: Duration::from_millis(200),
    lasts: Duration::from_secs(9),
    skipped_instances: 0,
};

/// Returns the times at which requests reached an endpoint, from `from` on.
fn arrivals(site: &Site, endpoint: usize, from: Instant) -> Vec<Instant> {
    let seen = site.runners[endpoint].seen();
    seen.iter().map(|s| s.at).filter(|at| *at >= from).collect()
}

/// Returns the largest number of arrivals in any window.
fn most_in_window(arrivals: &[Instant]) -> usize {
    let within = |from: &Instant| {
        let in_window = |at: &&Instant| **at >= *from && at.duration_since(*from) < WINDOW;
        arrivals.iter().filter(in_window).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

/// Checks that an endpoint got no more requests from `from` on than its limit allows.
fn check_enforced(site: &Site, endpoint: usize, limit_per_s: f64, from: Instant) {
    let arrivals = arrivals(site, endpoint, from);
    let most = most_in_window(&arrivals);
    let allowed = limit_per_s * WINDOW.as_secs_f64() * OVERAGE_FACTOR + SLACK;
    assert!(
        most as f64 <= allowed,
        "{most} in 4 s, {allowed} allowed at {limit_per_s} a second"
    );
}

/// Checks that the limit was used from `from` on, while there were enough requests.
fn check_used(site: &Site, endpoint: usize, limit_per_s: f64, from: Instant) {
    let used = arrivals(site, endpoint, from).len() as f64;
    let limit = limit_per_s * from.elapsed().as_secs_f64();
    assert!(
        used >= (limit * USED_SHARE).floor(),
        "{used} of {limit} that the limit allows"
    );
}

/// Returns how many endpoints an instance knows to have a limit.
fn limited(site: &Site, instance: usize) -> usize {
    let gateway = &site.instances[instance].gateway;
    gateway.balancer().announcements().limited()
}

/// Seven instances, and one endpoint of four has a limit: it gets what its limit allows, the others get the rest, and
/// every request is served.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_gets_no_more_than_its_announced_limit() {
    let site = Arc::new(Site::start(40, 7, 4).await);
    site.runners[0].announce_limit(Some("1.9"));
    let announced = Instant::now();
    let ended = send_load(&site, PLAIN).await;
    for instance in &site.instances {
        let limited = instance.gateway.balancer().announcements().limited();
        assert_eq!(limited, 1, "the instance knows the limit");
    }
    check_enforced(&site, 0, 1.9, announced + ENFORCED_AFTER);
    check_used(&site, 0, 1.9, announced + ENFORCED_AFTER);
    assert_eq!(ended.served, ended.total(), "{ended:?}");
}

/// One instance, and both endpoints have limits, which together allow about a third of the requests: the others are
/// refused, with a `Retry-After`.
#[tokio::test(flavor = "multi_thread")]
async fn where_all_endpoints_have_limits_each_is_enforced_and_excess_requests_are_refused() {
    let site = Arc::new(Site::start(41, 1, 2).await);
    site.runners[0].announce_limit(Some("4"));
    site.runners[1].announce_limit(Some("0.5"));
    let announced = Instant::now();
    let demand = Demand {
        every: Duration::from_millis(70),
        ..PLAIN
    };
    let ended = send_load(&site, demand).await;
    for (endpoint, limit_per_s) in [(0, 4.0), (1, 0.5)] {
        check_enforced(&site, endpoint, limit_per_s, announced + ENFORCED_AFTER);
        check_used(&site, endpoint, limit_per_s, announced + ENFORCED_AFTER);
    }
    assert_eq!(ended.other, 0, "{ended:?}");
    assert!(ended.refused > 0, "{ended:?}");
    let got = site.call(0, PLAIN.path, "last", "work").await;
    let retry_after_s = got.retry_after_s();
    if got.status == StatusCode::SERVICE_UNAVAILABLE {
        assert!(retry_after_s.is_some_and(|s| s < 5.0), "{got:?}");
    }
}

/// In a large cluster one instance of each hall issues the reservations for streams, and acquires the permits for them
/// on behalf of the other instances.
#[tokio::test(flavor = "multi_thread")]
async fn in_a_large_cluster_a_limit_covers_streams_and_plain_requests_together() {
    let site = Arc::new(Site::start(42, 18, 4).await);
    site.runners[0].announce_limit(Some("2.5"));
    site.runners[1].announce_limit(Some("0.4"));
    let announced = Instant::now();
    let streams = Demand {
        path: "/resume/w/stream",
        every: Duration::from_millis(800),
        ..PLAIN
    };
    let plain = Demand {
        every: Duration::from_millis(800),
        ..PLAIN
    };
    let (of_streams, of_plain) = tokio::join!(send_load(&site, streams), send_load(&site, plain));
    for (endpoint, limit_per_s) in [(0, 2.5), (1, 0.4)] {
        check_enforced(&site, endpoint, limit_per_s, announced + ENFORCED_AFTER);
        check_used(&site, endpoint, limit_per_s, announced + ENFORCED_AFTER);
    }
    assert_eq!(
        of_plain.other + of_streams.other,
        0,
        "{of_plain:?} {of_streams:?}"
    );
}

/// Retries count like other requests: an endpoint gets none beyond its limit, however often other endpoints fail.
#[tokio::test(flavor = "multi_thread")]
async fn retries_and_resumed_streams_count_towards_the_limit() {
    let site = Arc::new(Site::start(43, 3, 3).await);
    site.runners[0].announce_limit(Some("2"));
    site.runners[1].fault(standins::runner::Fault::CutNewStream);
    site.runners[2].fault(standins::runner::Fault::CutNewStream);
    let announced = Instant::now();
    let streams = Demand {
        path: "/resume/w/stream",
        ..PLAIN
    };
    send_load(&site, streams).await;
    check_enforced(&site, 0, 2.0, announced + ENFORCED_AFTER);
}

/// A limit is lowered, raised, removed, replaced by unparsable values and announced again.
#[tokio::test(flavor = "multi_thread")]
async fn changes_of_a_limit_are_applied() {
    let site = Arc::new(Site::start(44, 3, 2).await);
    let for_s = |seconds: u64| Demand {
        every: Duration::from_millis(60),
        lasts: Duration::from_secs(seconds),
        ..PLAIN
    };
    site.runners[0].announce_limit(Some("8"));
    let announced = Instant::now();
    send_load(&site, for_s(5)).await;
    check_enforced(&site, 0, 8.0, announced + PROPAGATION);
    site.runners[0].announce_limit(Some("1"));
    let lowered = Instant::now();
    send_load(&site, for_s(6)).await;
    check_enforced(&site, 0, 1.0, lowered + PROPAGATION);
    site.runners[0].announce_limit(Some("5.5"));
    let raised = Instant::now();
    send_load(&site, for_s(5)).await;
    check_enforced(&site, 0, 5.5, raised);
    check_used(&site, 0, 5.5, raised + PROPAGATION);
    site.runners[0].announce_limit(None);
    let removed = Instant::now();
    send_load(&site, for_s(4)).await;
    // The demand is fifty requests a second, spread evenly over two endpoints.
    let got = arrivals(&site, 0, removed + PROPAGATION).len();
    assert!(got >= 35, "{got} in 2.5 s after the limit was removed");
    for malformed in ["1,5", "-3", "NaN", "1e9", "", "9.9.9"] {
        site.runners[0].announce_limit(Some(malformed));
        send_load(&site, for_s(1)).await;
        assert_eq!(limited(&site, 0), 0, "{malformed} is not a limit");
    }
    site.runners[0].announce_limit(Some("1.5"));
    let restored = Instant::now();
    send_load(&site, for_s(6)).await;
    check_enforced(&site, 0, 1.5, restored + PROPAGATION);
}

/// The instance that issues an endpoint's permits is lost: the limit stays enforced, and after some seconds another
/// instance issues the permits. An instance that starts later knows the limit before it has sent the endpoint anything.
/// After the loss of all instances, new ones learn the limit from the endpoint's answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_outlasts_the_loss_of_its_permit_issuer() {
    let mut site = Site::start(45, 4, 2).await;
    site.runners[0].announce_limit(Some("3"));
    let announced = Instant::now();
    let site_before = Arc::new(site);
    send_load(&site_before, PLAIN).await;
    check_used(&site_before, 0, 3.0, announced + ENFORCED_AFTER);
    site = Arc::into_inner(site_before).expect("no call is under way");
    let key = EndpointKey::of("e0-0");
    let issuer = {
        let view = site.instances[0].gossip.view();
        let issuer = view.leader(&format!("limit {}", key.0)).expect("an issuer");
        issuer.info.incarnation.0 as usize - 1
    };
    // The instance to stop comes first, so that `skipped_instances` keeps callers away from it.
    site.instances.swap(0, issuer);
    site.callers.swap(0, issuer);
    site.instances[0].stop();
    let site = Arc::new(site);
    let others = Demand {
        skipped_instances: 1,
        ..PLAIN
    };
    let lost = Instant::now();
    send_load(&site, others).await;
    check_enforced(&site, 0, 3.0, announced + ENFORCED_AFTER);
    check_used(&site, 0, 3.0, lost + Duration::from_secs(5));

    let mut site = Arc::into_inner(site).expect("no call is under way");
    site.start_instance().await;
    until("the new instance to know the limit", || {
        limited(&site, 4) == 1
    })
    .await;

    site.kill_all();
    site.start_instances(3).await;
    let started = Instant::now();
    let site = Arc::new(site);
    send_load(&site, PLAIN).await;
    check_enforced(&site, 0, 3.0, started + ENFORCED_AFTER);
    check_used(&site, 0, 3.0, started + ENFORCED_AFTER);
}

/// Starts a cluster whose instances know two endpoints: `one`, which the test limits, and `other`.
async fn start_cluster(net: u8, instances: usize) -> Vec<Instance> {
    let port = free_port(net).await;
    let seeds: Vec<SocketAddr> = (0..3)
        .map(|n| SocketAddr::new(address(net, n), port))
        .collect();
    let mut all = Vec::new();
    for number in 0..instances {
        let place = InstanceSpec {
            net,
            number,
            hall: ["a", "b", "c", "d"][number % 4],
            port,
            seeds: &seeds,
        };
        let instance = Instance::start(place).await;
        for id in ["one", "other"] {
            let seen = endpoint(id);
            instance.gateway.balancer().upsert_endpoint(seen, at(1));
        }
        all.push(instance);
    }
    let knows_all = |i: &Instance| i.gateway.instance_counts().heard == instances;
    until("all to know each other", || all.iter().all(knows_all)).await;
    all
}

/// Eighty-five instances, each of which sends few requests: a limit that one of them learns soon reaches all, all
/// together stay within it and use it, and its removal reaches all as well.
#[tokio::test(flavor = "multi_thread")]
async fn eighty_five_instances_enforce_a_limit_that_one_of_them_learned() {
    let all = Arc::new(start_cluster(46, 85).await);
    let learn = |instance: usize, header: LimitHeader| {
        let mut balancer = all[instance].gateway.balancer();
        let version = balancer.announcements().version(key());
        let now_us = all[instance].gateway.clock.now_us();
        assert!(
            balancer
                .record_limit(now_us, key(), version, &header)
                .is_some()
        );
    };
    let all_know = |rate: Option<RequestRate>| {
        let limit = |i: &Instance| i.gateway.balancer().announcements().rate(key());
        all.iter().all(|i| limit(i) == rate)
    };
    let rate = RequestRate::parse("1.9");
    let learned = Instant::now();
    learn(7, LimitHeader::Rate(rate.expect("a rate")));
    until("all to know the limit", || all_know(rate)).await;
    assert!(
        learned.elapsed() < ENFORCED_AFTER,
        "{:?}",
        learned.elapsed()
    );

    let started = Instant::now();
    let mut calls = JoinSet::new();
    for number in 0..all.len() {
        let all = all.clone();
        calls.spawn(async move {
            let mut sent = Vec::new();
            time::sleep(Duration::from_millis(number as u64 * 11)).await;
            while started.elapsed() < Duration::from_secs(8) {
                let placed = all[number].place_one().await;
                if placed.as_deref() == Some("one") {
                    sent.push(Instant::now());
                }
                time::sleep(Duration::from_millis(950)).await;
            }
            sent
        });
    }
    let mut sent: Vec<Instant> = calls.join_all().await.into_iter().flatten().collect();
    sent.sort_unstable();
    let most = most_in_window(&sent);
    assert!(most <= 16, "{most} in 4 s");
    assert!(sent.len() >= 13, "{} of 15 in 8 s", sent.len());

    learn(30, LimitHeader::Absent);
    let removed = Instant::now();
    until("all to know that the limit is removed", || all_know(None)).await;
    assert!(
        removed.elapsed() < ENFORCED_AFTER,
        "{:?}",
        removed.elapsed()
    );

    // The announcement that an endpoint leaves is passed on in the same way.
    let announced = Instant::now();
    let now_us = all[9].gateway.clock.now_us();
    assert!(all[9].gateway.balancer().record_leaving(now_us, key()));
    let leaves = |i: &Instance| i.gateway.balancer().announcements().leaves(key());
    until("all to know that the endpoint leaves", || {
        all.iter().all(leaves)
    })
    .await;
    assert!(announced.elapsed() < DRAIN, "{:?}", announced.elapsed());
    for instance in all.iter() {
        assert_eq!(instance.place_one().await.as_deref(), Some("other"));
    }
}

/// The log of one instance tells an operator which endpoint announced which limit, that a header value could not be
/// parsed, and why a request was refused.
#[tokio::test]
async fn the_log_leads_from_a_refusal_to_the_announced_limit() {
    let edge = Edge::start(1).await;
    edge.runners[0].announce_limit(Some("many"));
    for number in 0..3 {
        edge.call("/again/w", &format!("malformed-{number}")).await;
    }
    edge.runners[0].announce_limit(Some("0.25"));
    // The requests that follow exceed the limit.
    time::sleep(Duration::from_secs(2)).await;
    let mut refused = None;
    for number in 0..40 {
        let id = format!("r-{number}");
        let got = edge.call("/again/w", &id).await;
        if got.status == StatusCode::SERVICE_UNAVAILABLE {
            refused = Some(id);
        }
    }
    let refused = refused.expect("a refusal");
    let lines_of = |event: &'static str| {
        let lines = edge.lines().into_iter();
        lines.filter(move |l| l["event"] == event)
    };
    let is_logged = |l: &Value| l["request_id"] == refused.as_str();
    edge.until(|| async { edge.lines().iter().any(is_logged) })
        .await;
    let changes: Vec<Value> = lines_of("endpoint_limit").collect();
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!(changes[0]["limit_per_s"], "0.250");
    assert_eq!(changes[0]["before_per_s"], "none");
    assert_eq!(
        lines_of("endpoint_limit_unreadable").count(),
        1,
        "logged once for three answers"
    );
    let text: Vec<String> = edge.lines().iter().map(Value::to_string).collect();
    let explanation = explain(&text.join("\n"), &refused).expect("lines of the request");
    assert!(
        explanation.contains("take only so many requests a second"),
        "{explanation}"
    );
    println!("{explanation}");
}
