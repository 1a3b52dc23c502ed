//! An endpoint that announces in an answer that it leaves gets no more requests.
//!
//! Guards against waiting for the store to report the departure. In a run of six instances an endpoint announced it
//! while the store was down, so its entry remained `ready`. It got requests for 13 s, until the entry changed, also
//! from the instance that had passed on such an answer, because nothing read the header. The callers were served only
//! because the endpoint had not ended yet. Reading and logging the header in each instance was not enough: every
//! instance knew of the departure and kept on sending.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use ryevalve::balance::load::EndpointKey;
use standins::runner::Fault;
use tokio::time;

use crate::{
    cluster::until,
    load_generator::{Demand, send_load},
    site::{RESTART_DELAY, Site},
};

/// How long an endpoint may still get requests after it announces that it leaves. All instances know by then.
const PROPAGATION: Duration = Duration::from_secs(2);

const PLAIN: Demand = Demand {
    path: "/again/w",
    every: Duration::from_millis(150),
    lasts: Duration::from_secs(4),
    skipped_instances: 0,
};

/// A route that needs no key, and is served by the last known configuration while the store is down.
const KEYLESS: Demand = Demand {
    path: "/open/w",
    ..PLAIN
};

/// Returns how many requests reached an endpoint after `from`.
fn arrivals(site: &Site, endpoint: usize, from: Instant) -> usize {
    let seen = site.runners[endpoint].seen();
    seen.iter().filter(|s| s.at > from).count()
}

/// Seven instances, and the store is down: one endpoint of three leaves, the others get all requests, and every request
/// is served.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_no_more_requests_while_the_store_is_down() {
    let site = Arc::new(Site::start(50, 7, 3).await);
    send_load(&site, KEYLESS).await;
    site.platform.fault(|f| f.down = true);
    site.runners[0].announce_leaving(Some("1"));
    let announced = Instant::now();
    let ended = send_load(&site, KEYLESS).await;
    let late = arrivals(&site, 0, announced + PROPAGATION);
    assert_eq!(late, 0, "requests after {PROPAGATION:?}");
    assert_eq!(ended.served, ended.total(), "{ended:?}");
    site.platform.fault(|f| f.down = false);
    time::sleep(Duration::from_secs(1)).await;
    send_load(&site, KEYLESS).await;
    let late = arrivals(&site, 0, announced + PROPAGATION);
    assert_eq!(
        late, 0,
        "requests when the store is back and the entry is still `ready`"
    );
}

/// Waits until an instance knows that an endpoint leaves, in its first incarnation.
async fn until_known(site: &Site, instance: usize, endpoint: usize) {
    let key = EndpointKey::of(&format!("e{endpoint}-0"));
    let gateway = site.instances[instance].gateway.clone();
    until("the instance to know that it leaves", || {
        gateway.balancer().announcements().leaves(key)
    })
    .await;
}

/// The announcement takes effect whatever answer carries it: an error, a refusal, the head of a stream, or an answer
/// that is discarded for another endpoint's. From then on no request reaches the endpoint, and every request is served.
#[tokio::test(flavor = "multi_thread")]
async fn an_announcement_in_any_answer_takes_effect() {
    let cases = [
        (Fault::None, "/again/w"),
        (Fault::None, "/resume/w/stream"),
        (Fault::Error, "/again/w"),
        (Fault::Full, "/again/w"),
        (Fault::CutNewStream, "/resume/w/stream"),
        (Fault::Surplus, "/again/w"),
        (Fault::Unsigned, "/again/w"),
    ];
    for (number, (fault, path)) in cases.into_iter().enumerate() {
        let site = Arc::new(Site::start(51 + number as u8, 1, 2).await);
        site.runners[0].fault(fault);
        site.runners[0].announce_leaving(Some("1"));
        let demand = Demand {
            path,
            every: Duration::from_millis(60),
            lasts: Duration::from_millis(900),
            ..PLAIN
        };
        let ended = send_load(&site, demand).await;
        until_known(&site, 0, 0).await;
        let (known, before) = (Instant::now(), site.runners[0].seen().len());
        assert!(before > 0, "{fault:?}: the endpoint got requests");
        send_load(&site, demand).await;
        assert_eq!(arrivals(&site, 0, known), 0, "{fault:?}");
        assert_eq!(ended.served, ended.total(), "{fault:?}: {ended:?}");
    }
}

/// Header values other than `1` are ignored.
#[tokio::test(flavor = "multi_thread")]
async fn other_header_values_are_ignored() {
    let site = Arc::new(Site::start(58, 1, 1).await);
    for value in ["0", "", "soon", "-1"] {
        site.runners[0].announce_leaving(Some(value));
        let got = site.call(0, PLAIN.path, "r-0-0", "work").await;
        assert_eq!(got.status, 200, "{value}");
    }
    assert_eq!(
        site.instances[0]
            .gateway
            .balancer()
            .announcements()
            .leaving(),
        0
    );
}

/// In a large cluster one instance of each hall issues the reservations for streams, and learns of the departure from
/// another instance. An instance that starts later learns it from the others. An endpoint that restarts at the same
/// address under a new id gets requests at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_cluster_and_a_late_instance_avoid_a_leaving_endpoint_until_it_restarts() {
    let mut site = Site::start(59, 18, 3).await;
    site.platform.fault(|f| f.down = true);
    site.runners[0].announce_leaving(Some("1"));
    let announced = Instant::now();
    let streams = Demand {
        path: "/resume/w/stream",
        every: Duration::from_millis(400),
        ..PLAIN
    };
    let site_shared = Arc::new(site);
    send_load(&site_shared, streams).await;
    assert_eq!(arrivals(&site_shared, 0, announced + PROPAGATION), 0);
    site = Arc::into_inner(site_shared).expect("no call is in flight");
    site.platform.fault(|f| f.down = false);
    site.start_instance().await;
    let (late, joined) = (site.instances.len() - 1, Instant::now());
    until_known(&site, late, 0).await;
    assert!(joined.elapsed() < Duration::from_secs(3), "known in time");

    site.runners[0].end();
    time::sleep(RESTART_DELAY + Duration::from_secs(2)).await;
    let (site, restarted) = (Arc::new(site), Instant::now());
    send_load(&site, streams).await;
    let got = arrivals(&site, 0, restarted);
    assert!(got > 20, "{got} requests reach the restarted endpoint");
}

/// All endpoints of a service leave: requests are refused at once with a `Retry-After`, and are not run.
#[tokio::test(flavor = "multi_thread")]
async fn where_all_endpoints_leave_requests_are_refused_at_once() {
    let site = Arc::new(Site::start(65, 1, 2).await);
    for runner in site.runners.iter() {
        runner.announce_leaving(Some("1"));
    }
    send_load(
        &site,
        Demand {
            lasts: Duration::from_millis(500),
            ..PLAIN
        },
    )
    .await;
    until_known(&site, 0, 0).await;
    until_known(&site, 0, 1).await;
    let sent = Instant::now();
    let got = site.call(0, PLAIN.path, "r-0-last", "work").await;
    assert_eq!(got.status, 503);
    assert!(got.retry_after_s().is_some_and(|s| s > 0.1), "{got:?}");
    assert!(
        sent.elapsed() < Duration::from_millis(200),
        "{:?}",
        sent.elapsed()
    );
    for runner in site.runners.iter() {
        assert_eq!(runner.runs("r-0-last"), 0);
    }
}
