//! Requests are served in the regions that operators name for their route and organisation, and nowhere else.

use serde_json::{Value, json};

use crate::support::{CallerResponse, Edge, config, entry};

const ZONES: &str = "\n[zones]\nhall = \"west\"\nb = \"east\"\n";
const REQUESTS: usize = 12;

/// Starts an instance before one endpoint in either region, whose configuration names regions.
async fn start(route: Value, organisation: Value) -> Edge {
    let edge = Edge::start_with(2, ZONES).await;
    let mut abroad = entry(edge.runners[1].addr, "ready");
    abroad["zone"] = "b".into();
    edge.platform.set("servers", "i-1", abroad);
    let mut named = config(4, &["key-of-the-tests"]);
    for name in [1, 3] {
        named["routes"][name]["allowedRegions"] = route.clone();
    }
    named["tenants"][0]["allowedRegions"] = organisation;
    edge.platform.set("config", "main", named);
    let is_in_force =
        |line: &Value| line["event"] == "configuration_offered" && line["version"] == 4;
    edge.until(|| async { edge.lines().iter().any(is_in_force) })
        .await;
    // The entry was written before.
    edge.until(|| async { edge.lines().iter().any(|l| l["change"] == "updated") })
        .await;
    edge
}

async fn call(edge: &Edge) -> Vec<CallerResponse> {
    let mut got = Vec::new();
    for number in 0..REQUESTS {
        got.push(edge.call("/again/w", &format!("whole-{number}")).await);
        got.push(
            edge.call("/resume/w/stream", &format!("stream-{number}"))
                .await,
        );
    }
    got
}

fn arrivals(edge: &Edge, endpoint: usize) -> usize {
    edge.runners[endpoint].seen().len()
}

#[tokio::test]
async fn a_route_is_served_in_its_regions_only() {
    let edge = start(json!(["east"]), Value::Null).await;
    for got in call(&edge).await {
        assert_eq!(got.status, 200);
    }
    assert_eq!(arrivals(&edge, 0), 0);
}

#[tokio::test]
async fn an_organisation_is_served_in_its_regions_only() {
    let edge = start(json!([]), json!(["west", "north"])).await;
    for got in call(&edge).await {
        assert_eq!(got.status, 200);
    }
    assert_eq!(arrivals(&edge, 1), 0);
}

#[tokio::test]
async fn where_route_and_organisation_name_no_common_region_nothing_is_sent() {
    let edge = start(json!(["east"]), json!(["west"])).await;
    for got in call(&edge).await {
        assert_eq!(got.status, 503);
    }
    assert_eq!(arrivals(&edge, 0) + arrivals(&edge, 1), 0);
    let is_reason = |line: &Value| line["reason"] == "no_endpoint_at_home";
    edge.until(|| async { edge.lines().iter().any(is_reason) })
        .await;
}
