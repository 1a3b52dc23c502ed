//! A request that ends the endpoints that run it reaches few of them, whichever instances it comes to.
//!
//! The story: on a day of seven instances one caller's work ended each endpoint that began to run it, some 100 ms
//! after it came there. The caller tried again a second later, at another instance and under another id, and
//! 17 endpoints ended in ten seconds, each with some five streams of others. The evidence: the lines of all these
//! tries have one attempt each, at one endpoint that refused connections from then on; nothing of a try was kept
//! once it was answered, and nothing of it was told to other instances.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use ryevalve::{explain::explain, gateway::endings};
use serde_json::Value;
use tokio::{task::JoinSet, time};

use crate::{
    group::until,
    site::{DOWN, Site, entry},
    support::{Edge, exchange, request},
};

const ENDPOINTS: usize = 8;
/// What the work that ends endpoints has in its body.
const ENDS: &str = "ends whatever runs it";
/// Tries of one work; each reached an endpoint before instances knew of it.
const TRIES: usize = 12;
/// How many endpoints such work may reach in all: three have to end before it is known beyond doubt, and one
/// more may be asked before the last to hear has heard.
const MOST_REACHED: usize = 4;
/// In a large group, whose last instance hears after some 300 ms by way of two aggregators, tries 150 ms apart
/// come to three instances of which the second and the third have not heard: two endpoints each on a route of
/// two attempts: 5 in 2 of 18 runs, three at a time.
const MOST_REACHED_LARGE: usize = 6;
/// So long after the third has ended none is reached.
const KNOWN: Duration = Duration::from_secs(1);
/// What an instance is given to learn what the others know.
const CONTACT: Duration = Duration::from_secs(3);

/// Starts endpoints that some work ends, and instances.
async fn start(net: u8, instances: usize) -> Site {
    let site = Site::start(net, instances, ENDPOINTS).await;
    for runner in site.runners.iter() {
        runner.ended_by(ENDS.as_bytes());
    }
    site
}

impl Site {
    /// Returns how many requests with a body reached endpoints.
    fn reached(&self, body: &str) -> usize {
        let seen = self.runners.iter().flat_map(|r| r.seen());
        seen.filter(|s| s.body == body.as_bytes()).count()
    }

    /// Checks that work that ends endpoints reached few, and none once it must be known to all.
    fn check_reached(&self, body: &str, most: usize) {
        let seen = self.runners.iter().flat_map(|r| r.seen());
        let seen = seen.filter(|s| s.body == body.as_bytes());
        let mut at: Vec<Instant> = seen.map(|s| s.at).collect();
        at.sort_unstable();
        assert!(at.len() <= most, "{body}: {} endpoints", at.len());
        let Some(third) = at.get(2) else { return };
        let late = at.iter().filter(|at| at.duration_since(*third) > KNOWN);
        assert_eq!(late.count(), 0, "{body}: reached {at:?}");
    }

    /// Sends tries of some work that ends endpoints to instances in turn.
    async fn try_in_turn(&self, path: &str, body: &str) {
        for number in 0..TRIES {
            let id = format!("{path}-{number}");
            let got = self
                .call(number % self.instances.len(), path, &id, body)
                .await;
            let is_served = got.is_whole && got.status == StatusCode::OK;
            assert!(!is_served, "nothing can have run {path}: {got:?}");
            time::sleep(Duration::from_millis(150)).await;
        }
    }
}

/// Each kind of route has work of its own: streams that may be taken up elsewhere and not, requests that may
/// run once, twice and five times in one try.
const PATHS: [&str; 5] = [
    "/fixed/w/stream",
    "/resume/w/stream",
    "/once/w",
    "/again/w",
    "/often/w",
];

/// Twelve of twelve tries reached an endpoint on each route, and more where the instance sent them on itself.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_endpoints_reaches_few() {
    let site = start(30, 6).await;
    for path in PATHS {
        let body = format!("{path} {ENDS}");
        site.try_in_turn(path, &body).await;
        site.check_reached(&body, MOST_REACHED);
    }
    // The endpoints are there for everybody else.
    until("the endpoints to be back", || {
        site.runners.iter().all(|r| !r.has_ended())
    })
    .await;
    time::sleep(DOWN).await;
    let got = site.call(0, "/again/w", "other", "other work").await;
    assert_eq!(got.status, StatusCode::OK);
}

/// An instance that sends a request on by itself waits for the verdict on the second endpoint: without that it
/// would be at the fourth by then.
#[tokio::test(flavor = "multi_thread")]
async fn one_try_that_may_be_sent_on_five_times_ends_two_endpoints() {
    let site = start(37, 1).await;
    let body = format!("once and often {ENDS}");
    let got = site.call(0, "/often/w", "r-1", &body).await;
    assert_eq!(got.status, StatusCode::BAD_GATEWAY, "it may have run");
    assert_eq!(site.reached(&body), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn in_a_large_group_a_request_that_ends_endpoints_reaches_few() {
    let site = start(31, 18).await;
    for path in ["/fixed/w/stream", "/again/w"] {
        let body = format!("{path} {ENDS}");
        site.try_in_turn(path, &body).await;
        site.check_reached(&body, MOST_REACHED_LARGE);
    }
}

/// How often a request came that others send, too, and how often it was refused as one that ends endpoints.
#[derive(Debug, Default)]
struct Common {
    served: usize,
    refused: usize,
    /// Refusals after the first second.
    refused_late: usize,
}

/// Sends the same request to an instance all the time, as a poll or a popular page would be.
async fn poll(site: Arc<Site>, instance: usize, began: Instant, until: Instant) -> Common {
    let mut common = Common::default();
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let id = format!("common-{instance}-{number}");
        let got = site.call(instance, "/again/w", &id, "common").await;
        common.served += usize::from(got.status == StatusCode::OK);
        // No other refusal has a time to come back of a minute and more.
        if got.retry_after_s().is_some_and(|s| s > 60.0) {
            common.refused += 1;
            common.refused_late += usize::from(began.elapsed() > Duration::from_secs(1));
        }
        time::sleep(Duration::from_millis(60)).await;
    }
    common
}

/// The story: eight endpoints that end when one of two works begins to run, each of which comes to all instances in the
/// same moment, again each 700 ms. Beside them each instance gets one request of others all the time. In four of five runs
/// over 18 instances that one was refused from the first quarter of a second on and for ten minutes: 2,424 to 2,430 of some
/// 2,440 times. The evidence: all these refusals say that it ends endpoints. It was at three that ended in the same
/// tenth of a second, so it was blocked, and being blocked it had no whole run that would clear it; that it had run
/// whole at every instance right before counted for nothing.
async fn play_a_common_request_beside_works_that_end_endpoints(net: u8, instances: usize) {
    let site = Arc::new(start(net, instances).await);
    let works: [String; 2] = ["one", "two"].map(|work| format!("{work} {ENDS}"));
    let polls_for = Duration::from_millis(9_500);
    let began = Instant::now();
    let mut polls = JoinSet::new();
    for instance in 0..instances {
        polls.spawn(poll(site.clone(), instance, began, began + polls_for));
    }
    time::sleep(Duration::from_millis(500)).await;
    let mut calls = JoinSet::new();
    for round in 0..12 {
        for instance in 0..instances {
            for body in works.clone() {
                let site = site.clone();
                calls.spawn(async move {
                    let id = format!("work-{round}-{instance}");
                    site.call(instance, "/once/w", &id, &body).await
                });
            }
        }
        time::sleep(Duration::from_millis(700)).await;
    }
    calls.join_all().await;
    let polls = polls.join_all().await;
    let sum = |of: fn(&Common) -> usize| polls.iter().map(of).sum::<usize>();
    let (served, refused) = (sum(|c| c.served), sum(|c| c.refused));
    println!(
        "{instances} instances: served {served}, refused as one that ends endpoints {refused}"
    );
    assert_eq!(sum(|c| c.refused_late), 0, "of {served} served");
    for body in &works {
        let seen = site.runners.iter().flat_map(|r| r.seen());
        let seen = seen.filter(|s| s.body == body.as_bytes());
        let mut at: Vec<Instant> = seen.map(|s| s.at).collect();
        at.sort_unstable();
        let third = at.get(2).copied().unwrap_or(began);
        let late = at.iter().filter(|at| at.duration_since(third) > CONTACT);
        assert_eq!(late.count(), 0, "{body}: reached {at:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_common_request_is_not_blocked_for_works_that_end_endpoints_in_a_large_group() {
    play_a_common_request_beside_works_that_end_endpoints(50, 18).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_common_request_is_not_blocked_for_works_that_end_endpoints() {
    play_a_common_request_beside_works_that_end_endpoints(51, 7).await;
}

/// An instance that was not there when the endpoints ended knows of it before it has been in touch for long.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_starts_later_sends_no_request_that_ended_endpoints() {
    let mut site = start(32, 3).await;
    let (path, body) = ("/fixed/w/stream", format!("late {ENDS}"));
    site.try_in_turn(path, &body).await;
    let before = site.reached(&body);
    site.start_instance().await;
    time::sleep(CONTACT).await;
    for number in 0..3 {
        let id = format!("late-{number}");
        site.call(3, path, &id, &body).await;
        time::sleep(Duration::from_millis(150)).await;
    }
    let more = site.reached(&body) - before;
    assert_eq!(more, 0, "endpoints reached through the one that came later");
}

/// Nobody is left who knew; the store is.
#[tokio::test(flavor = "multi_thread")]
async fn after_the_loss_of_all_a_request_that_ended_endpoints_reaches_none() {
    let mut site = start(35, 3).await;
    let (path, body) = ("/fixed/w/stream", format!("lost {ENDS}"));
    site.try_in_turn(path, &body).await;
    let before = site.reached(&body);
    let reads = site.platform.counts();
    site.lose_all();
    site.start_instances(3).await;
    time::sleep(CONTACT).await;
    site.try_in_turn(path, &body).await;
    let more = site.reached(&body) - before;
    assert_eq!(more, 0, "endpoints reached after the loss of all");
    let calls = site.platform.counts();
    assert!(
        calls.writes - reads.writes <= 1,
        "{calls:?} after {reads:?}"
    );
}

/// The lines of one instance tell an operator why a request is refused: the endpoints that ended under earlier tries.
#[tokio::test]
async fn lines_lead_from_a_refusal_to_the_endpoints_that_ended() {
    let edge = Edge::start(4).await;
    for runner in &edge.runners {
        runner.ended_by(ENDS.as_bytes());
    }
    for number in 0..4 {
        let mut request = request("/once/w", &format!("r-{number}"), &[]);
        *request.body_mut() = ENDS.into();
        let got = exchange(edge.callers, request).await.expect("an answer");
        if number == 3 {
            assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(got.retry_after_s().is_some_and(|s| s > 60.0), "{got:?}");
        }
        time::sleep(Duration::from_millis(600)).await;
    }
    let lines = edge.lines();
    let of = |event: &'static str| lines.iter().filter(move |l| l["event"] == event);
    let ended: Vec<&Value> = of("endpoint_ended").collect();
    assert!((2..=3).contains(&ended.len()), "{ended:?}");
    let refused = of("request_refused").find(|l| l["reason"] == "ends_endpoints");
    let refused = refused.expect("a refusal");
    for line in ended {
        assert_eq!(line["fingerprint"], refused["fingerprint"]);
    }
    let text: Vec<String> = lines.iter().map(Value::to_string).collect();
    let words = explain(&text.join("\n"), "r-3").expect("lines of the request");
    assert!(words.contains("endpoints that ran it ended"), "{words}");
    println!(
        "{}{words}",
        explain(&text.join("\n"), "r-1").expect("lines of the request")
    );
}

/// Returns whether an instance finds that an endpoint has ended, by its entry in the store.
async fn has_ended(site: &Site, id: &str) -> bool {
    let gateway = &site.instances[0].gateway;
    let (key, addr) = {
        let balancer = gateway.balancer();
        let key = balancer.key_of(id).expect("it is known");
        (key, balancer.entry(key).expect("it is known").addr)
    };
    endings::has_ended(gateway, key, addr).await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_has_ended_if_its_port_is_closed_and_it_did_not_say_that_it_leaves() {
    let site = start(36, 1).await;
    site.restarting.abort();
    assert!(!has_ended(&site, "e0-0").await, "it lives");
    site.runners[1].end();
    assert!(has_ended(&site, "e1-0").await);
    // A request whose caller does not read seems to be there still.
    site.runners[2].end();
    let gateway = &site.instances[0].gateway;
    let key = gateway.balancer().key_of("e2-0").expect("it is known");
    gateway.balancer().load_view_mut().record_sent(key, 0);
    assert!(has_ended(&site, "e2-0").await);
    let mut spec = entry(site.runners[3].addr);
    spec["state"] = "draining".into();
    site.platform.set("servers", "e3-0", spec);
    until("the instance to know that it leaves", || {
        let balancer = gateway.balancer();
        let entry = balancer.key_of("e3-0").and_then(|key| balancer.entry(key));
        entry.is_some_and(|e| e.draining)
    })
    .await;
    site.runners[3].end();
    assert!(!has_ended(&site, "e3-0").await, "it ended as planned");
}
