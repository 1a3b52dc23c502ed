//! Entries of other writers and endpoints that restart under the same id, over real sockets.
//!
//! Guards against three failures: one entry that could not be decoded made an instance drop the whole list, so that it
//! knew no endpoint, or missed all later ones; an entry in an unknown state counted as ready; and requests for an
//! endpoint that had restarted under its id were still sent to the previous run.

use std::time::Duration;

use hyper::StatusCode;
use proptest::prelude::*;
use ryevalve::platform::endpoints::EndpointSpec;
use serde_json::{Value, json};
use standins::runner::{Fault, Runner};
use tokio::time;

use crate::support::Edge;

fn valid() -> Value {
    json!({"backend": "svc", "address": "127.0.0.1:9", "zone": "hall", "version": "v1", "capacity": 4,
        "state": "ready", "warmupLeftMs": 0, "born": 1_764_000_000_000_u64, "sequence": 1})
}

/// Generates entries with one field missing or of another type.
fn invalid() -> impl Strategy<Value = Value> {
    let field = prop::sample::select(vec![
        "backend",
        "address",
        "zone",
        "version",
        "capacity",
        "state",
        "warmupLeftMs",
        "sequence",
        "born",
    ]);
    let content = prop_oneof![
        Just(Value::Null),
        Just(json!([])),
        Just(json!({})),
        Just(json!(true)),
        Just(json!("no-such-thing")),
        Just(json!(-1)),
        Just(json!(0.5)),
    ];
    (field, prop::option::of(content)).prop_filter_map("still valid", |(field, content)| {
        let mut entry = valid();
        let fields = entry.as_object_mut()?;
        match content {
            // `born` is optional.
            None if field == "born" => return None,
            None => drop(fields.remove(field)),
            // Any string is a valid name.
            Some(Value::String(_)) if ["backend", "zone", "version"].contains(&field) => {
                return None;
            }
            // Any number is a valid time.
            Some(Value::Number(_)) if field == "warmupLeftMs" => return None,
            Some(content) => drop(fields.insert(field.into(), content)),
        }
        Some(entry)
    })
}

proptest! {
    #[test]
    fn an_entry_with_a_field_missing_or_of_another_type_is_refused(entry in invalid()) {
        prop_assert!(serde_json::from_value::<EndpointSpec>(entry).is_err());
    }
}

#[test]
fn an_entry_without_slots_or_in_an_unknown_state_is_refused() {
    assert!(serde_json::from_value::<EndpointSpec>(valid()).is_ok());
    for (field, content) in [
        ("capacity", json!(0)),
        ("state", json!("warming")),
        ("state", json!("READY")),
    ] {
        let mut entry = valid();
        entry[field] = content;
        assert!(
            serde_json::from_value::<EndpointSpec>(entry).is_err(),
            "{field}"
        );
    }
}

/// Invalid entries next to valid ones, both in the list and in watch events.
#[tokio::test]
async fn invalid_entries_do_not_affect_valid_ones() {
    let edge = Edge::start(1).await;
    edge.platform
        .fault(|f| f.corrupts = Some("not-text".into()));
    let mut unknown_state = valid();
    unknown_state["state"] = json!("warming");
    for (name, spec) in [
        ("a-missing", json!({"backend": "svc"})),
        ("b-type", json!(["not", "an", "entry"])),
        ("c-text", json!("not-text")),
        ("d-state", unknown_state),
        ("z-null", Value::Null),
    ] {
        edge.platform.set("servers", name, spec);
    }
    // The entry of a ready endpoint becomes invalid: the endpoint is removed.
    let other = Runner::start("i-9").await;
    edge.platform.set(
        "servers",
        "i-9",
        json!({"backend": "svc", "address": other.addr, "zone": "hall",
        "version": "v1", "capacity": 4, "state": "ready", "warmupLeftMs": 0, "sequence": 1}),
    );
    edge.until(|| async {
        edge.call("/once/", "r-0").await;
        !other.seen().is_empty()
    })
    .await;
    edge.platform
        .set("servers", "i-9", json!({"state": "not-text"}));
    time::sleep(Duration::from_millis(900)).await;
    let seen = other.seen().len();
    for number in 0..20 {
        let got = edge.call("/once/", &format!("r-{number}")).await;
        assert_eq!(got.status, StatusCode::OK);
    }
    assert_eq!(
        other.seen().len(),
        seen,
        "a request was sent to an endpoint whose entry is invalid"
    );
    // Without the history, the list with all invalid entries has to be read again.
    edge.platform.forget_history();
    time::sleep(Duration::from_millis(900)).await;
    edge.entry(0, "ready");
    assert_eq!(edge.call("/once/", "r-last").await.status, StatusCode::OK);
    assert!(edge.is_ready().await);
    let lines = edge.lines();
    let unused = lines
        .iter()
        .filter(|l| l["event"] == "entry_unused")
        .count();
    assert!((5..=8).contains(&unused), "{unused} lines");
}

/// An endpoint restarts under its id at another address; a late write of the previous run reaches the store afterwards.
#[tokio::test]
async fn the_latest_run_gets_the_requests_even_if_an_earlier_one_writes_last() {
    let edge = Edge::start(1).await;
    let previous = &edge.runners[0];
    let latest = Runner::start("i-0").await;
    let entry = |runner: &Runner, born: u64, state: &str| {
        json!({"backend": "svc", "address": runner.addr, "zone": "hall", "version": "v1", "capacity": 4,
            "state": state, "warmupLeftMs": 0, "born": born, "sequence": 1})
    };
    edge.platform
        .set("servers", "i-0", entry(previous, 1_000, "ready"));
    time::sleep(Duration::from_millis(900)).await;
    assert_eq!(edge.call("/once/", "r-0").await.status, StatusCode::OK);
    assert_eq!(previous.seen().len(), 1);
    previous.fault(Fault::Full);
    edge.platform
        .set("servers", "i-0", entry(&latest, 2_000, "ready"));
    edge.until(|| async { edge.call("/once/", "r-1").await.status == StatusCode::OK })
        .await;
    let seen = previous.seen().len();
    edge.platform
        .set("servers", "i-0", entry(previous, 1_000, "draining"));
    time::sleep(Duration::from_millis(900)).await;
    for number in 2..12 {
        let got = edge.call("/once/", &format!("r-{number}")).await;
        assert_eq!(got.status, StatusCode::OK);
    }
    assert_eq!(
        previous.seen().len(),
        seen,
        "the previous run got another request"
    );
    assert!(edge.lines().iter().any(|l| l["change"] == "restarted"));
}
