//! An endpoint that names a limit gets no more than that from all instances together.
//!
//! The story: on a day of seven instances two endpoints in need said in their answers that they take 1.8 and 2.5
//! requests a second from all together. For as long as they said so, 50 s and more, they got 4.6 and 5.5 a second,
//! as before; callers saw nothing of it. The evidence: the endpoints' arrivals before and after the first such
//! answer were alike, and no part of the program read the header; with the word read and written to the log,
//! as now, each instance had been told, and each sent on as before.

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
    limits::rate::{LimitWord, RequestRate},
};
use serde_json::Value;

use crate::{
    group::{DRAIN, Instance, Place, address, endpoint, free_port, key, until},
    pressing::{Demand, press},
    site::Site,
    support::Edge,
};

/// What an endpoint may get in any span of this length.
const WINDOW: Duration = Duration::from_secs(4);
/// So much more than its limit allows, in requests and as a share.
const MORE: f64 = 5.0;
const MORE_SHARE: f64 = 1.5;
/// The limit binds so long after it was first named.
const CONTACT: Duration = Duration::from_secs(3);
/// The share of a limit that is used while there are requests for it.
const USED_SHARE: f64 = 0.9;

/// Whatever is told is with all instances of a small group after this time, and used there.
const SOON: Duration = Duration::from_millis(1_500);

const PLAIN: Demand = Demand {
    path: "/again/w",
    every: Duration::from_millis(200),
    lasts: Duration::from_secs(9),
    spared: 0,
};

/// Returns when requests reached an endpoint from a moment on.
fn arrivals(site: &Site, endpoint: usize, from: Instant) -> Vec<Instant> {
    let seen = site.runners[endpoint].seen();
    seen.iter().map(|s| s.at).filter(|at| *at >= from).collect()
}

/// Returns the most that came in any window.
fn most_in_window(arrivals: &[Instant]) -> usize {
    let within = |from: &Instant| {
        let in_window = |at: &&Instant| **at >= *from && at.duration_since(*from) < WINDOW;
        arrivals.iter().filter(in_window).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

/// Checks that an endpoint got no more from `from` on than its limit allows.
fn check_kept(site: &Site, endpoint: usize, limit_per_s: f64, from: Instant) {
    let arrivals = arrivals(site, endpoint, from);
    let most = most_in_window(&arrivals);
    let allowed = limit_per_s * WINDOW.as_secs_f64() * MORE_SHARE + MORE;
    assert!(
        most as f64 <= allowed,
        "{most} in 4 s, {allowed} allowed at {limit_per_s} a second"
    );
}

/// Checks that the limit was used while there were requests for it.
fn check_used(site: &Site, endpoint: usize, limit_per_s: f64, from: Instant) {
    let used = arrivals(site, endpoint, from).len() as f64;
    let limit = limit_per_s * from.elapsed().as_secs_f64();
    assert!(
        used >= (limit * USED_SHARE).floor(),
        "{used} of {limit} that the limit allows"
    );
}

/// Returns whether an instance knows that endpoints have a limit.
fn limited(site: &Site, instance: usize) -> usize {
    let gateway = &site.instances[instance].gateway;
    gateway.balancer().standings().limited()
}

/// Seven instances, one endpoint of four in need: it gets what it takes, the others the rest, and no caller loses.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_gets_no_more_than_the_limit_it_names() {
    let site = Arc::new(Site::start(40, 7, 4).await);
    site.runners[0].name_limit(Some("1.9"));
    let named = Instant::now();
    let ended = press(&site, PLAIN).await;
    for instance in &site.instances {
        let limited = instance.gateway.balancer().standings().limited();
        assert_eq!(limited, 1, "it knows of the limit");
    }
    check_kept(&site, 0, 1.9, named + CONTACT);
    check_used(&site, 0, 1.9, named + CONTACT);
    assert_eq!(ended.served, ended.all(), "{ended:?}");
}

/// One instance, and a request every second or third of which no endpoint takes: it is refused at once and true, with
/// a time to come back.
#[tokio::test(flavor = "multi_thread")]
async fn where_all_endpoints_name_limits_each_gets_its_own_and_the_rest_is_refused() {
    let site = Arc::new(Site::start(41, 1, 2).await);
    site.runners[0].name_limit(Some("4"));
    site.runners[1].name_limit(Some("0.5"));
    let named = Instant::now();
    let demand = Demand {
        every: Duration::from_millis(70),
        ..PLAIN
    };
    let ended = press(&site, demand).await;
    for (endpoint, limit_per_s) in [(0, 4.0), (1, 0.5)] {
        check_kept(&site, endpoint, limit_per_s, named + CONTACT);
        check_used(&site, endpoint, limit_per_s, named + CONTACT);
    }
    assert_eq!(ended.other, 0, "{ended:?}");
    assert!(ended.refused > 0, "{ended:?}");
    let got = site.call(0, PLAIN.path, "last", "work").await;
    let comes_back_s = got.retry_after_s();
    if got.status == StatusCode::SERVICE_UNAVAILABLE {
        assert!(comes_back_s.is_some_and(|s| s < 5.0), "{got:?}");
    }
}

/// A large group places streams by one instance of a hall: its permits are used for the others' requests.
#[tokio::test(flavor = "multi_thread")]
async fn in_a_large_group_a_limit_holds_for_streams_and_plain_requests_together() {
    let site = Arc::new(Site::start(42, 18, 4).await);
    site.runners[0].name_limit(Some("2.5"));
    site.runners[1].name_limit(Some("0.4"));
    let named = Instant::now();
    let streams = Demand {
        path: "/resume/w/stream",
        every: Duration::from_millis(800),
        ..PLAIN
    };
    let plain = Demand {
        every: Duration::from_millis(800),
        ..PLAIN
    };
    let (of_streams, of_plain) = tokio::join!(press(&site, streams), press(&site, plain));
    for (endpoint, limit_per_s) in [(0, 2.5), (1, 0.4)] {
        check_kept(&site, endpoint, limit_per_s, named + CONTACT);
        check_used(&site, endpoint, limit_per_s, named + CONTACT);
    }
    assert_eq!(
        of_plain.other + of_streams.other,
        0,
        "{of_plain:?} {of_streams:?}"
    );
}

/// Retries are requests like others: an endpoint in need gets none beyond its limit, however often others fail.
#[tokio::test(flavor = "multi_thread")]
async fn retries_and_resumed_streams_keep_to_a_limit_too() {
    let site = Arc::new(Site::start(43, 3, 3).await);
    site.runners[0].name_limit(Some("2"));
    site.runners[1].fault(standins::runner::Fault::CutNewStream);
    site.runners[2].fault(standins::runner::Fault::CutNewStream);
    let named = Instant::now();
    let streams = Demand {
        path: "/resume/w/stream",
        ..PLAIN
    };
    press(&site, streams).await;
    check_kept(&site, 0, 2.0, named + CONTACT);
}

/// A limit is lowered, ends, is spoiled and is named again.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_that_changes_is_followed() {
    let site = Arc::new(Site::start(44, 3, 2).await);
    let for_s = |seconds: u64| Demand {
        every: Duration::from_millis(60),
        lasts: Duration::from_secs(seconds),
        ..PLAIN
    };
    site.runners[0].name_limit(Some("8"));
    let named = Instant::now();
    press(&site, for_s(5)).await;
    check_kept(&site, 0, 8.0, named + SOON);
    site.runners[0].name_limit(Some("1"));
    let lowered = Instant::now();
    press(&site, for_s(6)).await;
    check_kept(&site, 0, 1.0, lowered + SOON);
    site.runners[0].name_limit(Some("5.5"));
    let raised = Instant::now();
    press(&site, for_s(5)).await;
    check_kept(&site, 0, 5.5, raised);
    check_used(&site, 0, 5.5, raised + SOON);
    site.runners[0].name_limit(None);
    let over = Instant::now();
    press(&site, for_s(4)).await;
    // Fifty a second at two endpoints alike.
    let got = arrivals(&site, 0, over + SOON).len();
    assert!(got >= 35, "{got} in 2.5 s after the limit was over");
    for spoiled in ["1,5", "-3", "NaN", "1e9", "", "9.9.9"] {
        site.runners[0].name_limit(Some(spoiled));
        press(&site, for_s(1)).await;
        assert_eq!(limited(&site, 0), 0, "{spoiled} is no limit");
    }
    site.runners[0].name_limit(Some("1.5"));
    let again = Instant::now();
    press(&site, for_s(6)).await;
    check_kept(&site, 0, 1.5, again + SOON);
}

/// The instance that keeps the endpoint's account is lost: no more is sent than the limit allows, and after some
/// seconds another keeps it. One that starts later knows the limit before it has sent anything there. After the
/// loss of all the endpoint's own word is enough.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_outlasts_the_loss_of_whoever_keeps_its_account() {
    let mut site = Site::start(45, 4, 2).await;
    site.runners[0].name_limit(Some("3"));
    let named = Instant::now();
    let site_before = Arc::new(site);
    press(&site_before, PLAIN).await;
    check_used(&site_before, 0, 3.0, named + CONTACT);
    site = Arc::into_inner(site_before).expect("no call is under way");
    let key = EndpointKey::of("e0-0");
    let keeper = {
        let view = site.instances[0].gossip.view();
        let keeper = view.leader(&format!("limit {}", key.0)).expect("a keeper");
        keeper.info.incarnation.0 as usize - 1
    };
    // Callers go to the others only.
    site.instances.swap(0, keeper);
    site.callers.swap(0, keeper);
    site.instances[0].stop();
    let site = Arc::new(site);
    let others = Demand { spared: 1, ..PLAIN };
    let lost = Instant::now();
    press(&site, others).await;
    check_kept(&site, 0, 3.0, named + CONTACT);
    check_used(&site, 0, 3.0, lost + Duration::from_secs(5));

    let mut site = Arc::into_inner(site).expect("no call is under way");
    site.start_instance().await;
    until("the new one to know the limit", || limited(&site, 4) == 1).await;

    site.lose_all();
    site.start_instances(3).await;
    let started = Instant::now();
    let site = Arc::new(site);
    press(&site, PLAIN).await;
    check_kept(&site, 0, 3.0, started + CONTACT);
    check_used(&site, 0, 3.0, started + CONTACT);
}

/// Starts instances of a large group that know an endpoint which is to be limited, and another.
async fn start_group(net: u8, instances: usize) -> Vec<Instance> {
    let port = free_port(net).await;
    let seeds: Vec<SocketAddr> = (0..3)
        .map(|n| SocketAddr::new(address(net, n), port))
        .collect();
    let mut all = Vec::new();
    for number in 0..instances {
        let place = Place {
            net,
            number,
            hall: ["a", "b", "c", "d"][number % 4],
            port,
            seeds: &seeds,
        };
        let instance = Instance::start(place).await;
        for id in ["one", "other"] {
            let seen = endpoint(id);
            instance.gateway.balancer().upsert_endpoint(seen, 1);
        }
        all.push(instance);
    }
    let knows_all = |i: &Instance| i.gateway.sharers().heard == instances;
    until("all to hear of all", || all.iter().all(knows_all)).await;
    all
}

/// Eighty-five instances, each of which would send the endpoint a request now and then: what one of them heard all
/// know soon, all together keep to it and use it, and what one of them hears of its end all know soon.
#[tokio::test(flavor = "multi_thread")]
async fn eighty_five_instances_keep_to_a_limit_that_one_of_them_heard() {
    let all = Arc::new(start_group(46, 85).await);
    let hear = |instance: usize, word: LimitWord| {
        let mut balancer = all[instance].gateway.balancer();
        let version = balancer.standings().version(key());
        let now_us = all[instance].gateway.clock.now_us();
        assert!(
            balancer
                .record_limit(now_us, key(), version, &word)
                .is_some()
        );
    };
    let all_know = |rate: Option<RequestRate>| {
        let limit = |i: &Instance| i.gateway.balancer().standings().rate(key());
        all.iter().all(|i| limit(i) == rate)
    };
    let rate = RequestRate::parse("1.9");
    let heard = Instant::now();
    hear(7, LimitWord::Named(rate.expect("a rate")));
    until("all to know the limit", || all_know(rate)).await;
    assert!(heard.elapsed() < CONTACT, "{:?}", heard.elapsed());

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

    hear(30, LimitWord::Free);
    let over = Instant::now();
    until("all to know that it is over", || all_know(None)).await;
    assert!(over.elapsed() < CONTACT, "{:?}", over.elapsed());

    // It goes the same way that an endpoint leaves.
    let said = Instant::now();
    let now_us = all[9].gateway.clock.now_us();
    assert!(all[9].gateway.balancer().record_leaving(now_us, key()));
    let leaves = |i: &Instance| i.gateway.balancer().standings().leaves(key());
    until("all to know that it leaves", || all.iter().all(leaves)).await;
    assert!(said.elapsed() < DRAIN, "{:?}", said.elapsed());
    for instance in all.iter() {
        assert_eq!(instance.place_one().await.as_deref(), Some("other"));
    }
}

/// The lines of one instance tell an operator which endpoint named what, that a word could not be read, and why a
/// request is refused.
#[tokio::test]
async fn lines_lead_from_a_refusal_to_the_limit_that_an_endpoint_named() {
    let edge = Edge::start(1).await;
    edge.runners[0].name_limit(Some("many"));
    for number in 0..3 {
        edge.call("/again/w", &format!("spoiled-{number}")).await;
    }
    edge.runners[0].name_limit(Some("0.25"));
    // From here on it is over its limit.
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
    let of = |event: &'static str| {
        let lines = edge.lines().into_iter();
        lines.filter(move |l| l["event"] == event)
    };
    let is_written = |l: &Value| l["request_id"] == refused.as_str();
    edge.until(|| async { edge.lines().iter().any(is_written) })
        .await;
    let named: Vec<Value> = of("endpoint_limit").collect();
    assert_eq!(named.len(), 1, "{named:?}");
    assert_eq!(named[0]["limit_per_s"], "0.250");
    assert_eq!(named[0]["before_per_s"], "none");
    assert_eq!(
        of("endpoint_limit_unreadable").count(),
        1,
        "once for three words"
    );
    let text: Vec<String> = edge.lines().iter().map(Value::to_string).collect();
    let words = explain(&text.join("\n"), &refused).expect("lines of the request");
    assert!(
        words.contains("take only so many requests a second"),
        "{words}"
    );
    println!("{words}");
}
