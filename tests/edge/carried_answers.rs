//! Answers that end with their connection and are carried by another instance must not look complete unless they are,
//! whichever process ends.

use std::{cmp::Reverse, time::Duration};

use hyper::StatusCode;
use serde_json::json;
use standins::{
    proxy::Mode,
    runner::{EVENTS, Runner, Seen, event},
};
use tokio::{task::JoinSet, time};

use crate::{
    cluster::until,
    cut_links::{LinkedSite, linked_entry, send_requests},
    support::{CallerResponse, exchange, request},
};

const INSTANCES: usize = 3;
const ENDPOINTS: usize = 6;
const REQUESTS: usize = 12;
/// Capacity of an endpoint, far above what it is sent.
const CAPACITY: u32 = 64;
/// Time in which an instance finds that it is cut off.
const DETECTION: Duration = Duration::from_secs(1);
const PACE: Duration = Duration::from_millis(100);

/// Starts instances of which the first is cut off from all endpoints; the others reach these directly.
async fn start(net: u8) -> LinkedSite {
    let site = LinkedSite::start(net, INSTANCES, ENDPOINTS).await;
    for (number, (store, links)) in site.stores.iter().zip(site.links.iter()).enumerate() {
        for (index, link) in links.iter().enumerate() {
            let mut entry = linked_entry(link, index);
            entry["capacity"] = json!(CAPACITY);
            if number > 0 {
                entry["address"] = json!(site.runners[index].addr);
            }
            store.set("servers", &format!("e{index}"), entry);
        }
    }
    for runner in site.runners.iter() {
        runner.end_with_connection();
    }
    site.cut(1, Mode::Unreachable);
    send_requests(&site.callers[..1], "/again/w", DETECTION).await;
    for runner in site.runners.iter() {
        runner.pace(PACE);
    }
    site
}

fn send_streams(site: &LinkedSite) -> JoinSet<(String, Option<CallerResponse>)> {
    let mut calls = JoinSet::new();
    for number in 0..REQUESTS {
        let addr = site.callers[0];
        calls.spawn(async move {
            let id = format!("f-{number}");
            let got = exchange(addr, request("/fixed/stream", &id, &[])).await;
            (id, got)
        });
    }
    calls
}

/// Returns the streams that an endpoint ran.
fn streams(runner: &Runner) -> impl Iterator<Item = Seen> {
    let seen = runner.seen().into_iter();
    seen.filter(|seen| seen.has_run && seen.line.contains("/fixed/"))
}

/// Checks that no stream is complete with events missing; returns how many are whole and how many cut.
async fn check(calls: JoinSet<(String, Option<CallerResponse>)>) -> (usize, usize) {
    let (mut whole, mut cut) = (0, 0);
    for (id, got) in calls.join_all().await {
        let Some(got) = got.filter(|g| g.status == StatusCode::OK) else {
            continue;
        };
        let stream: String = (1..=EVENTS).map(|number| event(&id, number)).collect();
        let is_short = got.is_whole && got.text() != stream;
        assert!(!is_short, "{id} is complete with {:?}", got.text());
        whole += usize::from(got.is_whole);
        cut += usize::from(!got.is_whole);
    }
    println!("{whole} whole, {cut} cut");
    (whole, cut)
}

#[tokio::test(flavor = "multi_thread")]
async fn carried_streams_that_end_with_their_connection_are_delivered() {
    let site = start(213).await;
    let (whole, _) = check(send_streams(&site)).await;
    assert_eq!(whole, REQUESTS);
}

#[tokio::test(flavor = "multi_thread")]
async fn carried_stream_of_a_killed_endpoint_does_not_look_complete() {
    let site = start(214).await;
    let calls = send_streams(&site);
    let begun = || site.runners.iter().flat_map(streams).count();
    until("all streams to run", || begun() == REQUESTS).await;
    // Each of them has brought events by then, and none all.
    time::sleep(3 * PACE).await;
    let mut runners: Vec<&Runner> = site.runners.iter().collect();
    runners.sort_by_key(|runner| Reverse(streams(runner).count()));
    let killed = &runners[..ENDPOINTS / 2];
    for runner in killed {
        runner.kill();
    }
    let (_, cut) = check(calls).await;
    let interrupted = killed.iter().flat_map(|runner| streams(runner));
    let interrupted = interrupted.filter(|stream| !stream.finished).count();
    assert!(interrupted > 0, "no stream ran at a killed endpoint");
    assert_eq!(cut, interrupted);
}

#[tokio::test(flavor = "multi_thread")]
async fn carried_stream_of_a_killed_carrier_does_not_look_complete() {
    let mut site = start(215).await;
    let calls = send_streams(&site);
    time::sleep(4 * PACE).await;
    let carried = |i: &usize| site.instances[*i].gateway.carried.open();
    let carrier = (1..INSTANCES).max_by_key(carried).expect("an instance");
    assert!(carried(&carrier) > 0, "nothing is carried");
    site.instances[carrier].stop();
    let (_, cut) = check(calls).await;
    assert!(cut > 0, "no stream was carried by it");
}
