//! An organisation that asks for several times the room of a service leaves the others their share.
//!
//! Guards against refusals by the number of attempts: with one organisation that asked for 400 requests a second of a
//! room of 80, two others that asked for 10 each were served .15 of them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use ryevalve::explain::explain;
use serde_json::{Value, json};
use standins::runner::Runner;
use tokio::{task::JoinSet, time};

use crate::support::{Edge, config, exchange, request};

const TARGET: Duration = Duration::from_millis(400);
const SLOTS: usize = 4;
const PACE: Duration = Duration::from_millis(100);
const LASTS: Duration = Duration::from_secs(8);
/// Requests of the first second aren't counted: the shortage has to be noticed.
const NOTICED: Duration = Duration::from_secs(1);
/// The users' target: what a small organisation has in aim, and how much of the room is used.
const TARGET_SHARE: f64 = 0.95;

#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    sent: f64,
    in_aim: f64,
}

impl Outcomes {
    fn share(self) -> f64 {
        self.in_aim / self.sent
    }
}

/// Returns a configuration with organisations, whose keys are their names with `Key-` in front.
fn shared_config(organisations: &[(&str, Option<u8>)]) -> Value {
    let mut config = config(4, &[]);
    let tenants = organisations.iter().map(|(name, priority)| {
        let mut tenant = json!({"name": name, "apiKeys": [format!("Key-{name}")],
            "unit": "token_count", "uncachedTokens": 200, "ratePerS": 0, "burst": 0});
        if let Some(priority) = priority {
            tenant["priority"] = (*priority).into();
        }
        tenant
    });
    config["tenants"] = tenants.collect();
    for route in config["routes"].as_array_mut().expect("routes") {
        route["priority"] = 2.into();
    }
    config
}

async fn start(organisations: &[(&str, Option<u8>)]) -> Arc<Edge> {
    let edge = Edge::start_with(2, "shareRoom = true").await;
    for runner in &edge.runners {
        runner.set_slots(SLOTS);
        runner.pace(PACE);
    }
    edge.platform
        .set("config", "main", shared_config(organisations));
    let key = format!("Token Key-{}", organisations[0].0);
    edge.until(|| async {
        let got = edge
            .call_with("/once/w", "r-0", &[("authorization", &key)])
            .await;
        got.status == StatusCode::OK
    })
    .await;
    Arc::new(edge)
}

/// Sends the load of one organisation at a fixed rate.
async fn send(edge: Arc<Edge>, name: &'static str, per_s: f64) -> Outcomes {
    let mut calls = JoinSet::new();
    let started = Instant::now();
    let key = format!("Token Key-{name}");
    let mut number = 0;
    while started.elapsed() < LASTS {
        let due = Duration::from_secs_f64(f64::from(number) / per_s);
        time::sleep(due.saturating_sub(started.elapsed())).await;
        let is_counted = started.elapsed() >= NOTICED;
        let request = request(
            "/once/w",
            &format!("{name}-{number}"),
            &[("authorization", &key)],
        );
        let callers = edge.callers;
        calls.spawn(async move {
            let sent = Instant::now();
            let got = exchange(callers, request).await;
            let is_served = got.is_some_and(|got| got.status == StatusCode::OK);
            (is_counted, is_served && sent.elapsed() <= TARGET)
        });
        number += 1;
    }
    let mut outcomes = Outcomes::default();
    while let Some(call) = calls.join_next().await {
        let (is_counted, is_in_aim) = call.expect("no call panics");
        outcomes.sent += f64::from(u8::from(is_counted));
        outcomes.in_aim += f64::from(u8::from(is_counted && is_in_aim));
    }
    println!("{name} {:.3} {outcomes:?}", outcomes.share());
    outcomes
}

async fn send_all(edge: &Arc<Edge>, loads: [(&'static str, f64); 3]) -> [Outcomes; 3] {
    let [a, b, c] = loads.map(|(name, per_s)| send(edge.clone(), name, per_s));
    let (a, b, c) = tokio::join!(a, b, c);
    [a, b, c]
}

/// Returns the share of the endpoints' slots that is taken from when the shortage is noticed to the end of the load.
async fn used(edge: Arc<Edge>) -> f64 {
    let busy = || edge.runners.iter().map(Runner::busy).sum::<Duration>();
    time::sleep(NOTICED).await;
    let (since, before) = (Instant::now(), busy());
    time::sleep(LASTS - NOTICED).await;
    let slots = (SLOTS * edge.runners.len()) as f64;
    (busy() - before).as_secs_f64() / since.elapsed().as_secs_f64() / slots
}

#[tokio::test(flavor = "multi_thread")]
async fn small_organisations_of_a_process_are_served_beside_a_flood() {
    let edge = start(&[("large", None), ("small-a", None), ("small-b", None)]).await;
    let loads = [("large", 400.0), ("small-a", 10.0), ("small-b", 10.0)];
    let (outcomes, used) = tokio::join!(send_all(&edge, loads), used(edge.clone()));
    println!("used {used:.3}");
    for small in &outcomes[1..] {
        assert!(small.share() >= TARGET_SHARE, "{small:?}");
    }
    assert!(used >= TARGET_SHARE, "{used}");
    let lines = edge.lines();
    let states = lines.iter().filter(|line| line["event"] == "share_state");
    let of_large = states.filter(|line| line["organisation"] == "large");
    let refused: u64 = of_large.filter_map(|line| line["refused"].as_u64()).sum();
    assert!(refused > 1_000, "{refused} refusals in share_state");
    let refused = lines.iter().find(|line| !line["share_slots"].is_null());
    let id = refused.expect("a refusal by a share")["request_id"].as_str();
    let text = std::fs::read_to_string(&edge.log).expect("a log");
    let explained = explain(&text, id.expect("an id")).expect("an explanation");
    assert!(explained.contains("share_slots"), "{explained}");
}

#[tokio::test(flavor = "multi_thread")]
async fn all_are_served_when_there_is_room() {
    let edge = start(&[("large", None), ("small-a", None), ("small-b", None)]).await;
    let loads = [("large", 40.0), ("small-a", 10.0), ("small-b", 10.0)];
    for outcomes in send_all(&edge, loads).await {
        assert!(outcomes.share() >= TARGET_SHARE, "{outcomes:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_organisation_with_priority_zero_goes_first() {
    let edge = start(&[("large", None), ("medium", None), ("first", Some(0))]).await;
    let loads = [("large", 400.0), ("medium", 60.0), ("first", 45.0)];
    let [large, medium, first] = send_all(&edge, loads).await;
    assert!(first.share() >= TARGET_SHARE, "{first:?}");
    assert!(large.in_aim > 0.0 && medium.in_aim > 0.0);
}
