//! Requests are served only in the regions that operators allow for their route and organisation.

use serde_json::{Value, json};

use crate::support::{CallerResponse, Edge, config, entry};

const ZONES: &str = "\n[zones]\nhall = \"west\"\nb = \"east\"\n";
const REQUESTS: usize = 12;

/// Starts an instance with one endpoint in each of two regions, and a configuration that restricts the regions.
async fn start(route: Value, organisation: Value) -> Edge {
    let edge = Edge::start_with(2, ZONES).await;
    let mut eastern = entry(edge.runners[1].addr, "ready");
    eastern["zone"] = "b".into();
    edge.platform.set("servers", "i-1", eastern);
    let mut restricted = config(4, &["key-of-the-tests"]);
    for index in [1, 3] {
        restricted["routes"][index]["allowedRegions"] = route.clone();
    }
    restricted["tenants"][0]["allowedRegions"] = organisation;
    edge.platform.set("config", "main", restricted);
    let is_in_force =
        |line: &Value| line["event"] == "configuration_offered" && line["version"] == 4;
    edge.until(|| async { edge.lines().iter().any(is_in_force) })
        .await;
    // The entry was written before the configuration, but its update may arrive later.
    edge.until(|| async { edge.lines().iter().any(|l| l["change"] == "updated") })
        .await;
    edge
}

async fn call(edge: &Edge) -> Vec<CallerResponse> {
    let mut responses = Vec::new();
    for number in 0..REQUESTS {
        responses.push(edge.call("/again/w", &format!("whole-{number}")).await);
        responses.push(
            edge.call("/resume/w/stream", &format!("stream-{number}"))
                .await,
        );
    }
    responses
}

fn arrivals(edge: &Edge, endpoint: usize) -> usize {
    edge.runners[endpoint].seen().len()
}

#[tokio::test]
async fn a_route_is_served_only_in_its_allowed_regions() {
    let edge = start(json!(["east"]), Value::Null).await;
    for response in call(&edge).await {
        assert_eq!(response.status, 200);
    }
    assert_eq!(arrivals(&edge, 0), 0);
}

#[tokio::test]
async fn an_organisation_is_served_only_in_its_allowed_regions() {
    let edge = start(json!([]), json!(["west", "north"])).await;
    for response in call(&edge).await {
        assert_eq!(response.status, 200);
    }
    assert_eq!(arrivals(&edge, 1), 0);
}

#[tokio::test]
async fn nothing_is_sent_if_route_and_organisation_allow_no_common_region() {
    let edge = start(json!(["east"]), json!(["west"])).await;
    for response in call(&edge).await {
        assert_eq!(response.status, 503);
    }
    assert_eq!(arrivals(&edge, 0) + arrivals(&edge, 1), 0);
    let is_reason = |line: &Value| line["reason"] == "no_endpoint_at_home";
    edge.until(|| async { edge.lines().iter().any(is_reason) })
        .await;
}
