//! An endpoint that says in an answer that it leaves is sent nothing more.
//!
//! The story: on a day of six instances an endpoint said in its answers that it leaves while the store was away, so
//! that its entry still was `ready`. For as long as the store did not have its word in the entry, 13 s, requests
//! reached it, from the instance that had passed such an answer on as well; their callers were served, and would not
//! have been had it ended meanwhile. The evidence: no part of the program read the word; with the word read and written
//! to the log, as now, each instance had been told, and each sent on as before.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use ryevalve::balance::load::EndpointKey;
use standins::runner::Fault;
use tokio::time;

use crate::{
    group::until,
    load_generator::{Demand, send_load},
    site::{DOWN, Site},
};

/// How long an endpoint may be sent requests after its word; the others are told by then, too.
const TOLD: Duration = Duration::from_secs(2);

const PLAIN: Demand = Demand {
    path: "/again/w",
    every: Duration::from_millis(150),
    lasts: Duration::from_secs(4),
    skipped_instances: 0,
};

/// Served by the last configuration known, while the store is away.
const KEYLESS: Demand = Demand {
    path: "/open/w",
    ..PLAIN
};

/// Returns how many requests reached an endpoint after a moment.
fn arrivals(site: &Site, endpoint: usize, from: Instant) -> usize {
    let seen = site.runners[endpoint].seen();
    seen.iter().filter(|s| s.at > from).count()
}

/// Seven instances, the store away: one endpoint of three leaves, the others get all, and no caller loses.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_says_that_it_leaves_is_sent_nothing_more_while_the_store_is_away() {
    let site = Arc::new(Site::start(50, 7, 3).await);
    send_load(&site, KEYLESS).await;
    site.platform.fault(|f| f.down = true);
    site.runners[0].say_leaving(Some("1"));
    let said = Instant::now();
    let ended = send_load(&site, KEYLESS).await;
    let late = arrivals(&site, 0, said + TOLD);
    assert_eq!(late, 0, "requests after {TOLD:?}");
    assert_eq!(ended.served, ended.total(), "{ended:?}");
    site.platform.fault(|f| f.down = false);
    time::sleep(Duration::from_secs(1)).await;
    send_load(&site, KEYLESS).await;
    let late = arrivals(&site, 0, said + TOLD);
    assert_eq!(
        late, 0,
        "requests when the store is back, its entry `ready`"
    );
}

/// Waits until an instance knows that an endpoint's first start leaves.
async fn until_told(site: &Site, instance: usize, endpoint: usize) {
    let key = EndpointKey::of(&format!("e{endpoint}-0"));
    let gateway = site.instances[instance].gateway.clone();
    until("word that it leaves", || {
        gateway.balancer().standings().leaves(key)
    })
    .await;
}

/// The word is heard in whatever answer it comes: a failure, a refusal, a stream's head, an answer that another takes the
/// place of. From then on nothing reaches the endpoint, and callers lose nothing.
#[tokio::test(flavor = "multi_thread")]
async fn it_is_heard_in_any_answer() {
    let in_answers = [
        (Fault::None, "/again/w"),
        (Fault::None, "/resume/w/stream"),
        (Fault::Error, "/again/w"),
        (Fault::Full, "/again/w"),
        (Fault::CutNewStream, "/resume/w/stream"),
        (Fault::Surplus, "/again/w"),
        (Fault::Unsigned, "/again/w"),
    ];
    for (number, (fault, path)) in in_answers.into_iter().enumerate() {
        let site = Arc::new(Site::start(51 + number as u8, 1, 2).await);
        site.runners[0].fault(fault);
        site.runners[0].say_leaving(Some("1"));
        let demand = Demand {
            path,
            every: Duration::from_millis(60),
            lasts: Duration::from_millis(900),
            ..PLAIN
        };
        let ended = send_load(&site, demand).await;
        until_told(&site, 0, 0).await;
        let (told, before) = (Instant::now(), site.runners[0].seen().len());
        assert!(before > 0, "{fault:?}: it was asked");
        send_load(&site, demand).await;
        assert_eq!(arrivals(&site, 0, told), 0, "{fault:?}");
        assert_eq!(ended.served, ended.total(), "{fault:?}: {ended:?}");
    }
}

/// Words that are not the one that is meant say nothing.
#[tokio::test(flavor = "multi_thread")]
async fn other_words_of_leaving_count_for_nothing() {
    let site = Arc::new(Site::start(58, 1, 1).await);
    for word in ["0", "", "soon", "-1"] {
        site.runners[0].say_leaving(Some(word));
        let got = site.call(0, PLAIN.path, "r-0-0", "work").await;
        assert_eq!(got.status, 200, "{word}");
    }
    assert_eq!(
        site.instances[0].gateway.balancer().standings().leaving(),
        0
    );
}

/// A large group places streams by one instance of a hall, which hears of it from another; one that starts later hears it
/// from the others. A start under a new id at the same address serves at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_group_and_one_that_starts_later_keep_to_it_and_the_next_start_serves() {
    let mut site = Site::start(59, 18, 3).await;
    site.platform.fault(|f| f.down = true);
    site.runners[0].say_leaving(Some("1"));
    let said = Instant::now();
    let streams = Demand {
        path: "/resume/w/stream",
        every: Duration::from_millis(400),
        ..PLAIN
    };
    let site_shared = Arc::new(site);
    send_load(&site_shared, streams).await;
    assert_eq!(arrivals(&site_shared, 0, said + TOLD), 0);
    site = Arc::into_inner(site_shared).expect("no call goes on");
    site.platform.fault(|f| f.down = false);
    site.start_instance().await;
    let (late, heard) = (site.instances.len() - 1, Instant::now());
    until_told(&site, late, 0).await;
    assert!(heard.elapsed() < Duration::from_secs(3), "heard in time");

    site.runners[0].end();
    time::sleep(DOWN + Duration::from_secs(2)).await;
    let (site, started) = (Arc::new(site), Instant::now());
    send_load(&site, streams).await;
    let got = arrivals(&site, 0, started);
    assert!(got > 20, "{got} requests reach the next start");
}

/// All of a service leave: callers are refused at once, not run, and told when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn where_all_leave_callers_are_refused_at_once() {
    let site = Arc::new(Site::start(65, 1, 2).await);
    for runner in site.runners.iter() {
        runner.say_leaving(Some("1"));
    }
    send_load(
        &site,
        Demand {
            lasts: Duration::from_millis(500),
            ..PLAIN
        },
    )
    .await;
    until_told(&site, 0, 0).await;
    until_told(&site, 0, 1).await;
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
