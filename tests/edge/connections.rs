//! Answers that end with their connection, and connections that most callers open at one instance.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use standins::runner::{EVENTS, Fault, event, whole_body};
use tokio::{task::JoinSet, time};

use crate::{
    site::Site,
    support::{CallerResponse, Edge, exchange, request},
};

fn stream_of(id: &str) -> String {
    (1..=EVENTS).map(|number| event(id, number)).collect()
}

/// Starts one instance whose endpoints' answers end with their connections.
async fn start(endpoints: usize) -> Edge {
    let edge = Edge::start(endpoints).await;
    for runner in &edge.runners {
        runner.end_with_connection();
    }
    edge
}

#[tokio::test]
async fn answer_that_ends_with_its_connection_arrives_whole() {
    let edge = start(2).await;
    for number in 0..12 {
        let (plain, stream) = (format!("p-{number}"), format!("s-{number}"));
        let got = edge.call("/again/x", &plain).await;
        assert_eq!((got.is_whole, got.text()), (true, whole_body(&plain)));
        let got = edge.call("/resume/stream", &stream).await;
        assert_eq!((got.is_whole, got.text()), (true, stream_of(&stream)));
    }
}

/// The end of the connection inside an event looks like the end of the stream.
#[tokio::test]
async fn stream_that_ends_inside_an_event_with_its_connection_goes_on_elsewhere() {
    let edge = start(2).await;
    edge.runners[0].fault(Fault::CutNewStream);
    let mut broken = 0;
    for number in 0..8 {
        let id = format!("r-{number}");
        let got = edge.call("/resume/stream", &id).await;
        assert_eq!((got.is_whole, got.text()), (true, stream_of(&id)));
        broken += edge.runners[0].runs(&id);
    }
    assert!(
        broken > 0,
        "some streams began at the endpoint that cuts them"
    );
    for runner in &edge.runners {
        runner.fault(Fault::CutStream);
    }
    let got = edge.call("/fixed/stream", "cut").await;
    assert!(!got.is_whole, "{got:?}");
    assert_eq!(got.text(), stream_of("cut")[..event("cut", 1).len() * 3]);
}

#[tokio::test]
async fn stream_without_length_that_is_reset_goes_on_elsewhere() {
    let edge = Arc::new(start(2).await);
    for runner in &edge.runners {
        runner.pace(Duration::from_millis(60));
    }
    let call = {
        let edge = edge.clone();
        tokio::spawn(async move { edge.call("/resume/stream", "r-1").await })
    };
    edge.until(|| async { edge.runners.iter().any(|r| r.runs("r-1") > 0) })
        .await;
    time::sleep(Duration::from_millis(200)).await;
    let began = edge.runners.iter().find(|r| r.runs("r-1") > 0);
    began.expect("an endpoint runs it").end();
    let got = call.await.expect("an answer");
    assert_eq!((got.is_whole, got.text()), (true, stream_of("r-1")));
}

/// A caller's first try.
struct Tries {
    at: Instant,
    is_served: bool,
}

fn is_served(got: Option<CallerResponse>) -> bool {
    got.is_some_and(|got| got.status == StatusCode::OK && got.is_whole)
}

fn served_share(tries: &[Tries], from: Instant, until: Instant) -> f64 {
    let tries = tries.iter().filter(|t| t.at >= from && t.at < until);
    let served: Vec<bool> = tries.map(|t| t.is_served).collect();
    served.iter().filter(|s| **s).count() as f64 / served.len().max(1) as f64
}

/// Requests a second, each over a new connection.
const PER_S: u32 = 150;
const BEFORE: Duration = Duration::from_secs(2);
const SKEWED: Duration = Duration::from_secs(5);

/// From some moment on one instance gets nine of ten new connections: at least three quarters of the first tries must be
/// served as often as before, from the first second on.
async fn check_skewed_connections(net: u8, instances: usize) {
    let site = Arc::new(Site::start(net, instances, 8).await);
    let began = Instant::now();
    let mut tick = time::interval(Duration::from_secs(1) / PER_S);
    let mut calls = JoinSet::new();
    let mut number = 0;
    while began.elapsed() < BEFORE + SKEWED {
        tick.tick().await;
        number += 1;
        let is_skewed = began.elapsed() > BEFORE && number % 10 > 0;
        let instance = if is_skewed { 0 } else { number % instances };
        let site = site.clone();
        calls.spawn(async move {
            let at = Instant::now();
            let path = ["/once/x", "/again/x", "/resume/stream"][number % 3];
            let request = request(path, &format!("r-{number}"), &[]);
            let is_served = is_served(exchange(site.callers[instance], request).await);
            Tries { at, is_served }
        });
    }
    let tries = calls.join_all().await;
    let skewed = began + BEFORE;
    let before = served_share(&tries, began, skewed);
    for (from_s, until_s) in [(0, 1), (1, 3), (3, 5)] {
        let at = |s| skewed + Duration::from_secs(s);
        let share = served_share(&tries, at(from_s), at(until_s));
        println!(
            "{instances} instances, second {from_s} to {until_s}: {share:.3}, {before:.3} before"
        );
        assert!(
            share >= before * 0.75,
            "{share} from second {from_s} on, {before} before"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn most_new_connections_at_one_of_seven_instances_are_served() {
    check_skewed_connections(160, 7).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn most_new_connections_at_one_instance_of_a_large_group_are_served() {
    check_skewed_connections(161, 18).await;
}

/// Connections are opened and closed at a high rate, beside many that stay open: descriptors and slots are free again.
#[tokio::test(flavor = "multi_thread")]
async fn process_that_gets_a_flood_of_new_connections_serves_them() {
    let edge = Arc::new(Edge::start(6).await);
    let mut open = Vec::new();
    for _ in 0..500 {
        let connecting = tokio::net::TcpStream::connect(edge.callers);
        open.push(connecting.await.expect("a connection"));
    }
    let mut tick = time::interval(Duration::from_millis(3));
    let mut calls = JoinSet::new();
    for number in 0..1_200 {
        tick.tick().await;
        let edge = edge.clone();
        calls.spawn(async move {
            let request = request("/again/x", &format!("r-{number}"), &[]);
            is_served(exchange(edge.callers, request).await)
        });
    }
    let served = calls.join_all().await.into_iter().filter(|s| *s).count();
    println!(
        "{served} of 1200 served beside {} open connections",
        open.len()
    );
    assert!(served >= 900, "{served} of 1200 served");
}
