//! An endpoint that names a limit gets no more than that from all instances together.
//!
//! The story: on a day of seven instances two endpoints in need said in their answers that they take 1.8 and 2.5
//! requests a second from all together. For as long as they said so, 50 s and more, they got 4.6 and 5.5 a second,
//! as before; callers saw nothing of it. The evidence: the endpoints' arrivals before and after the first such
//! answer were alike, and no part of the program read the header; with the word read and written to the log,
//! as now, each instance had been told, and each sent on as before.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use tokio::{task::JoinSet, time};

use crate::{site::Site, support::Got};

/// What an endpoint may get in any span of this length.
const WINDOW: Duration = Duration::from_secs(4);
/// So much more than its limit allows, in requests and as a share.
const MORE: f64 = 5.0;
const MORE_SHARE: f64 = 1.5;
/// The limit binds so long after it was first named.
const CONTACT: Duration = Duration::from_secs(3);
/// The share of a limit that is used while there are requests for it.
const USED_SHARE: f64 = 0.9;

/// When callers send requests to an instance.
#[derive(Clone, Copy)]
struct Demand {
    path: &'static str,
    every: Duration,
    lasts: Duration,
}

/// How requests ended.
#[derive(Clone, Copy, Debug, Default)]
struct Ended {
    served: usize,
    refused: usize,
    other: usize,
}

impl Ended {
    fn note(&mut self, got: &Got) {
        match got.status {
            StatusCode::OK if got.is_whole => self.served += 1,
            StatusCode::SERVICE_UNAVAILABLE => self.refused += 1,
            _ => self.other += 1,
        }
    }

    fn all(self) -> usize {
        self.served + self.refused + self.other
    }
}

/// Sends requests to all instances, each at its own moments, and waits for their answers.
async fn press(site: &Arc<Site>, demand: Demand) -> Ended {
    let mut calls = JoinSet::new();
    let instances = site.callers.len();
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < demand.lasts {
        for instance in 0..instances {
            let site = site.clone();
            let (id, body) = (format!("r-{number}"), format!("work {number}"));
            let after = demand.every.mul_f64(instance as f64 / instances as f64);
            calls.spawn(async move {
                time::sleep(after).await;
                site.call(instance, demand.path, &id, &body).await
            });
            number += 1;
        }
        time::sleep(demand.every).await;
    }
    let mut ended = Ended::default();
    while let Some(got) = calls.join_next().await {
        ended.note(&got.expect("no call panics"));
    }
    ended
}

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

/// Seven instances, one endpoint of four in need: it gets what it takes, the others the rest, and no caller loses.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_gets_no_more_than_the_limit_it_names() {
    let site = Arc::new(Site::start(40, 7, 4).await);
    site.runners[0].name_limit(Some("1.9"));
    let named = Instant::now();
    let demand = Demand {
        path: "/again/w",
        every: Duration::from_millis(200),
        lasts: Duration::from_secs(9),
    };
    let ended = press(&site, demand).await;
    for instance in &site.instances {
        let limited = instance.gateway.balancer().limits().limited();
        assert_eq!(limited, 1, "it knows of the limit");
    }
    check_kept(&site, 0, 1.9, named + CONTACT);
    check_used(&site, 0, 1.9, named + CONTACT);
    assert_eq!(ended.served, ended.all(), "{ended:?}");
}
