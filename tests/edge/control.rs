//! Configurations, API keys, drains, outages of the store, and signals.

use std::time::Duration;

use hyper::StatusCode;
use standins::runner::{EVENTS, event};
use tokio::time;

use crate::support::{Edge, config};

#[tokio::test]
async fn a_revoked_key_is_refused_and_an_older_configuration_is_not_applied() {
    let edge = Edge::start(1).await;
    assert_eq!(edge.call("/once/", "r-1").await.status, StatusCode::OK);
    edge.platform.set("config", "main", config(7, &["another"]));
    let edge = &edge;
    edge.until(|| async { edge.call("/once/", "r-2").await.status == StatusCode::UNAUTHORIZED })
        .await;
    edge.platform
        .set("config", "main", config(5, &["key-of-the-tests"]));
    time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        edge.call("/once/", "r-3").await.status,
        StatusCode::UNAUTHORIZED
    );
}

#[tokio::test]
async fn without_the_store_keys_are_accepted_for_seconds_and_then_refused_as_not_run() {
    let edge = Edge::start(1).await;
    edge.platform.fault(|f| f.silent = true);
    time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(edge.call("/once/", "r-1").await.status, StatusCode::OK);
    time::sleep(Duration::from_millis(3_500)).await;
    let response = edge.call("/once/", "r-2").await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.retry_after_s().is_some());
    assert!(!edge.is_ready().await);
    assert_eq!(edge.runners[0].runs("r-2"), 0);
    edge.platform.fault(|f| f.silent = false);
    let edge = &edge;
    edge.until(|| edge.is_ready()).await;
    assert_eq!(edge.call("/once/", "r-3").await.status, StatusCode::OK);
    // A separate thread writes the log, some time after the events.
    edge.until(|| async { edge.has_logged("store_lost") && edge.has_logged("store_regained") })
        .await;
}

#[tokio::test]
async fn without_strict_revocation_known_keys_are_served_under_the_last_configuration() {
    let edge = Edge::start_with(1, "strictRevocation = false").await;
    edge.platform.fault(|f| f.silent = true);
    time::sleep(Duration::from_millis(5_000)).await;
    assert!(
        !edge.is_ready().await,
        "others may have a newer configuration"
    );
    let response = edge.call("/once/", "r-1").await;
    assert_eq!(response.status, StatusCode::OK);
    // Keys and routes may have been added, so unknown ones get a refusal to retry rather than a denial.
    let unknown = [("authorization", "Token new")];
    let response = edge.call_with("/once/", "r-2", &unknown).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    let response = edge.call("/new/", "r-3").await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    edge.platform.fault(|f| f.silent = false);
    edge.platform.set("config", "main", config(7, &["another"]));
    let edge = &edge;
    edge.until(|| async { edge.call("/once/", "r-4").await.status == StatusCode::UNAUTHORIZED })
        .await;
}

/// Guards against denying unknown routes and keys by a configuration that may have been replaced. Only the bound on the
/// use of revoked keys was applied to it, not the bound on applying configurations, which was missing from the settings
/// that are read, as was the drain bound of endpoints. With 5 s for the former and 2 s for the latter, callers of a new
/// route were told "no such route" for 1.8 s too long.
#[tokio::test]
async fn unknown_routes_and_keys_are_not_denied_by_a_configuration_that_may_be_outdated() {
    let bounds = "configApplyMs = 2000\nrevokeMs = 20000";
    let edge = Edge::start_with(1, bounds).await;
    edge.platform.fault(|f| f.silent = true);
    time::sleep(Duration::from_millis(3_000)).await;
    let response = edge.call("/new/", "r-1").await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.retry_after_s().is_some());
    let unknown = [("authorization", "Token new")];
    let response = edge.call_with("/once/", "r-2", &unknown).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    let response = edge.call("/once/", "r-3").await;
    assert_eq!(
        response.status,
        StatusCode::OK,
        "known routes and keys are served"
    );
}

/// Guards against a busy loop: an instance that repeats a watch at once when it returns no change would send some
/// hundred requests per second to a store that does not hold watches open.
#[tokio::test]
async fn a_store_that_answers_watches_at_once_is_polled_at_a_bounded_rate() {
    let edge = Edge::start(1).await;
    edge.platform.fault(|f| f.watches_return_at_once = true);
    let before = edge.platform.counts().reads;
    time::sleep(Duration::from_millis(2_000)).await;
    let reads = edge.platform.counts().reads - before;
    assert!(reads <= 24, "{reads} reads in 2 s for two kinds");
    assert!(edge.is_ready().await);
}

#[tokio::test]
async fn during_a_store_outage_drains_hold_and_requests_without_a_key_are_served() {
    let edge = Edge::start(2).await;
    edge.entry(0, "draining");
    time::sleep(Duration::from_millis(1_000)).await;
    edge.platform.fault(|f| f.silent = true);
    time::sleep(Duration::from_millis(5_000)).await;
    let before = edge.runners[0].seen().len();
    for number in 0..10 {
        let response = edge.call("/open/", &format!("r-{number}")).await;
        assert_eq!(response.status, StatusCode::OK);
    }
    assert_eq!(edge.runners[0].seen().len(), before);
}

#[tokio::test]
async fn a_draining_endpoint_gets_no_new_requests() {
    let edge = Edge::start(2).await;
    edge.entry(0, "draining");
    time::sleep(Duration::from_millis(1_000)).await;
    let before = edge.runners[0].seen().len();
    for number in 0..10 {
        let response = edge.call("/once/", &format!("r-{number}")).await;
        assert_eq!(response.status, StatusCode::OK);
    }
    assert_eq!(edge.runners[0].seen().len(), before);
}

#[tokio::test]
async fn a_new_list_is_read_when_the_store_has_dropped_its_history() {
    let edge = Edge::start(2).await;
    edge.platform.remove("servers", "i-0");
    edge.platform.forget_history();
    edge.platform
        .set("config", "main", config(9, &["key-of-the-tests", "new"]));
    let edge = &edge;
    let with_new = [("authorization", "Token new")];
    edge.until(|| async {
        edge.call_with("/once/", "r-1", &with_new).await.status == StatusCode::OK
    })
    .await;
    time::sleep(Duration::from_millis(2_500)).await;
    let before = edge.runners[0].seen().len();
    for number in 0..10 {
        edge.call("/once/", &format!("s-{number}")).await;
    }
    assert_eq!(
        edge.runners[0].seen().len(),
        before,
        "the removed endpoint gets no requests"
    );
}

#[tokio::test]
async fn a_graceful_shutdown_lets_a_stream_finish() {
    let mut edge = Edge::start(1).await;
    // Eight events, within the route's timeout of 3 s.
    edge.runners[0].pace(Duration::from_millis(320));
    let response = {
        let edge = &edge;
        let calling = edge.call("/resume/stream", "r-1");
        let stopping = async {
            time::sleep(Duration::from_millis(600)).await;
            edge.signal("TERM");
            time::sleep(Duration::from_millis(200)).await;
            assert!(!edge.is_ready().await);
        };
        let (response, ()) = tokio::join!(calling, stopping);
        response
    };
    let whole: String = (1..=EVENTS).map(|number| event("r-1", number)).collect();
    assert!(response.is_whole);
    assert_eq!(response.text(), whole);
    assert_eq!(edge.exit_code().await, Some(0));
}

#[tokio::test]
async fn a_reload_is_logged_and_cuts_no_stream() {
    let edge = Edge::start(1).await;
    edge.runners[0].pace(Duration::from_millis(100));
    let calling = edge.call("/resume/stream", "r-1");
    let reloading = async {
        time::sleep(Duration::from_millis(300)).await;
        edge.signal("HUP");
    };
    let (response, ()) = tokio::join!(calling, reloading);
    assert!(response.is_whole);
    let edge = &edge;
    edge.until(|| async {
        edge.lines()
            .iter()
            .any(|l| l["event"] == "settings_reloaded")
    })
    .await;
}

#[tokio::test]
async fn every_refusal_is_logged_with_its_reason() {
    let edge = Edge::start(1).await;
    edge.runners[0].fault(standins::runner::Fault::Full);
    edge.call("/once/", "r-full").await;
    edge.call("/nowhere/", "r-nowhere").await;
    let edge = &edge;
    let line = |id: &'static str| {
        let lines = edge.lines();
        lines.into_iter().find(|l| l["request_id"] == id)
    };
    edge.until(|| async { line("r-full").is_some() && line("r-nowhere").is_some() })
        .await;
    let full = line("r-full").unwrap();
    assert_eq!(full["event"], "request_refused");
    assert_eq!(full["last_failure"], "endpoint_full");
    assert_eq!(full["config_version"], 3);
    assert!(full["config_age_ms"].as_u64().is_some());
    assert_eq!(line("r-nowhere").unwrap()["reason"], "no_route");
}
