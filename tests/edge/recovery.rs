//! Service after the loss of all instances, while the store, its entries or the machines are not as they were.
//!
//! Guards against instances that wait at their start for something that does not come: each case restarts all processes
//! of a group and bounds the time until callers are served again.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use serde_json::{Value, json};
use tokio::{task::JoinSet, time};

use crate::{
    process_group::{ProcessGroup, SEEDS},
    support::{config, exchange, request},
};

const INSTANCES: usize = 6;
const ENDPOINTS: usize = 6;
const DOWNTIME: Duration = Duration::from_millis(1_200);
/// `recoverS` of the deployments: from this time after the return on, a quarter of the requests must be served.
const RECOVER: Duration = Duration::from_secs(12);
const MIN_SERVED: f64 = 0.25;
/// Requests are counted in spans of this length.
const SPAN: Duration = Duration::from_millis(500);
/// Spans in a row with enough served requests after which service is back.
const STEADY_SPANS: usize = 4;
const CALL_INTERVAL: Duration = Duration::from_millis(50);
const PATHS: [&str; 4] = ["/often/w", "/once/w", "/fixed/stream", "/resume/stream"];
/// Kind of the product's own objects.
const OWN_KIND: &str = "ryevalve";

/// When requests were sent, and whether they were served.
type Answered = Arc<std::sync::Mutex<Vec<(Duration, bool)>>>;

impl ProcessGroup {
    /// Starts a group, and waits until it serves.
    async fn start_serving() -> Self {
        let group = Self::start(INSTANCES, ENDPOINTS).await;
        let served = group.time_to_service().await;
        served.expect("the group to serve at first");
        group
    }

    fn restart_all(&mut self) {
        for instance in 0..self.instances() {
            self.start_instance(instance, false);
        }
    }

    async fn lose_all(&mut self) {
        self.kill_all();
        time::sleep(DOWNTIME).await;
    }

    /// Calls all running instances, and returns when enough of the requests are served for good; `None` if that is not
    /// in time.
    async fn time_to_service(&self) -> Option<Duration> {
        let began = Instant::now();
        let answered = Answered::default();
        let mut calling = JoinSet::new();
        for instance in 0..self.instances() {
            if self.is_running(instance) {
                let addr = self.callers(instance);
                calling.spawn(call(addr, instance, began, answered.clone()));
            }
        }
        while began.elapsed() < RECOVER + SPAN * STEADY_SPANS as u32 {
            time::sleep(SPAN / 5).await;
            let answered = answered.lock().expect("no holder panics");
            if let Some(at) = service_began(&answered, began.elapsed()) {
                return (at <= RECOVER).then_some(at);
            }
        }
        None
    }

    /// Asserts that the group serves in time.
    async fn check(&self, what: &str) {
        let took = self.time_to_service().await;
        println!("{what}: served after {took:?}");
        if took.is_none() {
            self.print_waits();
        }
        assert!(took.is_some(), "{what}: not served within {RECOVER:?}");
    }

    /// Prints how often the first instance logged each event and reason.
    fn print_waits(&self) {
        let mut counts = BTreeMap::new();
        for line in self.lines(0) {
            let key = format!("{} {}", line["event"], line["reason"]);
            *counts.entry(key).or_insert(0) += 1;
        }
        println!("{counts:#?}");
    }
}

/// Returns the first time since which enough requests of each span are served.
fn service_began(answered: &[(Duration, bool)], now: Duration) -> Option<Duration> {
    // The answers of the last span may not have come yet.
    let spans = (now.as_millis() / SPAN.as_millis()).saturating_sub(1) as usize;
    let is_served = |span: usize| {
        let from = SPAN * span as u32;
        let of_span = answered
            .iter()
            .filter(|(at, _)| (from..from + SPAN).contains(at));
        let (mut all, mut served) = (0, 0);
        for (_, is_ok) in of_span {
            all += 1;
            served += usize::from(*is_ok);
        }
        all > 0 && served as f64 >= MIN_SERVED * f64::from(all)
    };
    let steady = (0..spans).rev().take_while(|span| is_served(*span)).count();
    (steady >= STEADY_SPANS).then(|| SPAN * (spans - steady) as u32)
}

/// Calls an instance until aborted, and records when requests were sent and whether they were served.
async fn call(addr: SocketAddr, instance: usize, began: Instant, answered: Answered) {
    let mut interval = time::interval(CALL_INTERVAL);
    let mut calls = JoinSet::new();
    for number in 0_usize.. {
        interval.tick().await;
        let answered = answered.clone();
        let path = PATHS[number % PATHS.len()];
        let start = began.elapsed();
        calls.spawn(async move {
            let id = format!(
                "{instance:04x}{:012x}",
                start.as_micros() as u64 + number as u64
            );
            let got = exchange(addr, request(path, &id, &[])).await;
            let is_ok = got.is_some_and(|got| got.status == StatusCode::OK && got.is_whole);
            answered
                .lock()
                .expect("no holder panics")
                .push((start, is_ok));
        });
        while calls.try_join_next().is_some() {}
    }
}

/// Nothing else is wrong.
#[tokio::test(flavor = "multi_thread")]
async fn group_serves_after_a_loss_of_all() {
    let mut group = ProcessGroup::start_serving().await;
    group.lose_all().await;
    group.restart_all();
    group.check("loss of all").await;
}

/// The list of endpoints has several pages, one of which ends with a name that has a meaning in a URL.
#[tokio::test(flavor = "multi_thread")]
async fn group_serves_after_a_loss_of_all_beside_an_odd_name() {
    let mut group = ProcessGroup::start_serving().await;
    group.platform.fault(|f| f.page_items = Some(2));
    for name in ["&b", " ", "%zz", "#", "i-2+"] {
        let entry = json!({"state": "unknown"});
        group.platform.set("servers", name, entry);
    }
    group.lose_all().await;
    group.restart_all();
    group.check("odd names").await;
}

/// The store refuses, delays, ignores or loses calls from the loss on, for as long as it may be away.
#[tokio::test(flavor = "multi_thread")]
async fn group_serves_after_a_loss_of_all_beside_a_bad_store() {
    const AWAY: Duration = Duration::from_millis(4_500);
    let mut group = ProcessGroup::start_serving().await;
    for what in ["down", "silent", "slow", "refusing", "losing"] {
        group.platform.fault(|f| match what {
            "down" => f.down = true,
            "silent" => f.silent = true,
            "slow" => f.delay = Duration::from_millis(900),
            "refusing" => f.refuse_every_nth = 2,
            _ => f.lose_write_answers = 40,
        });
        group.lose_all().await;
        group.restart_all();
        time::sleep(AWAY).await;
        group.platform.fault(|f| *f = Default::default());
        group.check(what).await;
    }
}

/// The store goes on refusing half of the reads, or answers after most of a second.
#[tokio::test(flavor = "multi_thread")]
async fn group_serves_after_a_loss_of_all_while_the_store_stays_bad() {
    let mut group = ProcessGroup::start_serving().await;
    for what in ["slow", "refusing", "losing", "late"] {
        group.platform.fault(|f| {
            *f = Default::default();
            match what {
                "slow" => f.delay = Duration::from_millis(400),
                "refusing" => f.refuse_every_nth = 2,
                "losing" => f.lose_write_answers = u32::MAX,
                _ => {
                    f.lose_write_answers = u32::MAX;
                    f.lost_write_delay = Duration::from_secs(4);
                }
            }
        });
        group.lose_all().await;
        group.restart_all();
        group.check(what).await;
    }
}

/// The store comes back from a copy, or without its history.
#[tokio::test(flavor = "multi_thread")]
async fn group_serves_after_a_loss_of_all_and_a_return_of_the_store_from_a_copy() {
    let mut group = ProcessGroup::start_serving().await;
    group.platform.take_copy();
    group.lose_all().await;
    let lost = group.platform.return_to_copy();
    group.platform.write_again(lost);
    group.restart_all();
    group.check("copy").await;
    group.lose_all().await;
    group.platform.forget_history();
    group.restart_all();
    group.check("history").await;
    // Once more, while the processes start.
    group.platform.take_copy();
    group.lose_all().await;
    group.restart_all();
    time::sleep(Duration::from_millis(300)).await;
    group.platform.return_to_copy();
    group.platform.forget_history();
    group.check("copy at the start").await;
}

/// The machines return one after the other, seeds last, or some of them not at all.
#[tokio::test(flavor = "multi_thread")]
async fn group_serves_after_a_loss_of_all_whose_machines_return_in_turn() {
    let mut group = ProcessGroup::start_serving().await;
    group.lose_all().await;
    for instance in (0..INSTANCES).rev() {
        group.start_instance(instance, false);
        time::sleep(Duration::from_millis(1_500)).await;
    }
    group.check("in turn").await;
    for missing in [0..1, 0..SEEDS, 1..INSTANCES, SEEDS..INSTANCES] {
        group.lose_all().await;
        for instance in 0..INSTANCES {
            if !missing.contains(&instance) {
                group.start_instance(instance, false);
            }
        }
        group.check(&format!("without {missing:?}")).await;
    }
}

/// The product's own objects are gone, or were written over by another writer.
#[tokio::test(flavor = "multi_thread")]
async fn group_serves_after_a_loss_of_all_without_its_own_objects() {
    let mut group = ProcessGroup::start_serving().await;
    for content in [
        None,
        Some(Value::Null),
        Some(json!({"another": "writer"})),
        Some(json!({"base64": "no base64"})),
        Some(json!({"json": {"of": "another writer"}})),
    ] {
        group.lose_all().await;
        for key in ["service-versions", "instance-count", "blocked-requests"] {
            match &content {
                None => group.platform.remove(OWN_KIND, key),
                Some(content) => {
                    group.platform.set(OWN_KIND, key, content.clone());
                }
            }
        }
        group.restart_all();
        group.check(&format!("own objects {content:?}")).await;
    }
}

/// All endpoints are replaced by those of another version while no instance runs, and the configuration has changed.
#[tokio::test(flavor = "multi_thread")]
async fn group_serves_after_a_loss_of_all_and_a_release_meanwhile() {
    let mut group = ProcessGroup::start_serving().await;
    group.lose_all().await;
    let mut content = config(9, &["key-of-the-tests"]);
    let routes = content["routes"].as_array_mut().unwrap();
    for number in 0..350 {
        let mut route = routes[0].clone();
        route["name"] = json!(format!("more-{number}"));
        route["pathPrefix"] = json!(format!("/more-{number}/"));
        routes.push(route);
    }
    group.platform.set("config", "main", content);
    for index in 0..ENDPOINTS {
        group.platform.remove("servers", &format!("i-{index}"));
        group.add_endpoint("v2").await;
    }
    group.restart_all();
    group.check("release").await;
}
