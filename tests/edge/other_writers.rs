//! Entries that endpoints did not write, and endpoints that start again under their id, over real sockets.
//!
//! The story: a list with one entry that could not be decoded was dropped whole, so that an instance knew of no
//! endpoint, or of none that came later; an entry in a state that nobody had named counted as ready. An endpoint
//! that started again under its id went on being sent requests as if it were the one before.

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

/// The fields of an entry, and contents that are of another type.
fn spoiled() -> impl Strategy<Value = Value> {
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
    (field, prop::option::of(content)).prop_filter_map("it is spoiled", |(field, content)| {
        let mut entry = valid();
        let fields = entry.as_object_mut()?;
        match content {
            // Endpoints need not say when they started.
            None if field == "born" => return None,
            None => drop(fields.remove(field)),
            // Any text is a name.
            Some(Value::String(_)) if ["backend", "zone", "version"].contains(&field) => {
                return None;
            }
            // Any number is a time.
            Some(Value::Number(_)) if field == "warmupLeftMs" => return None,
            Some(content) => drop(fields.insert(field.into(), content)),
        }
        Some(entry)
    })
}

proptest! {
    #[test]
    fn an_entry_with_a_field_missing_or_of_another_type_names_no_endpoint(entry in spoiled()) {
        prop_assert!(serde_json::from_value::<EndpointSpec>(entry).is_err());
    }
}

#[test]
fn an_entry_without_room_or_in_another_state_names_no_endpoint() {
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

/// Entries of other writers beside good ones, before the list is read and while it is watched.
#[tokio::test]
async fn entries_of_other_writers_harm_no_other() {
    let edge = Edge::start(1).await;
    edge.platform.fault(|f| f.spoils = Some("not-text".into()));
    let mut unknown = valid();
    unknown["state"] = json!("warming");
    for (name, spec) in [
        ("a-missing", json!({"backend": "svc"})),
        ("b-type", json!(["not", "an", "entry"])),
        ("c-text", json!("not-text")),
        ("d-state", unknown),
        ("z-null", Value::Null),
    ] {
        edge.platform.set("servers", name, spec);
    }
    // It was ready before, and names no endpoint any more.
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
    assert_eq!(other.seen().len(), seen, "its entry names it no more");
    // The history is forgotten, so that the list is read anew with all of them in it.
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

/// An endpoint starts again elsewhere under its id; what the start before wrote lands in the store later.
#[tokio::test]
async fn a_later_start_gets_the_requests_though_an_earlier_one_writes_last() {
    let edge = Edge::start(1).await;
    let before = &edge.runners[0];
    let after = Runner::start("i-0").await;
    let entry = |runner: &Runner, born: u64, state: &str| {
        json!({"backend": "svc", "address": runner.addr, "zone": "hall", "version": "v1", "capacity": 4,
            "state": state, "warmupLeftMs": 0, "born": born, "sequence": 1})
    };
    edge.platform
        .set("servers", "i-0", entry(before, 1_000, "ready"));
    time::sleep(Duration::from_millis(900)).await;
    assert_eq!(edge.call("/once/", "r-0").await.status, StatusCode::OK);
    assert_eq!(before.seen().len(), 1);
    before.fault(Fault::Full);
    edge.platform
        .set("servers", "i-0", entry(&after, 2_000, "ready"));
    edge.until(|| async { edge.call("/once/", "r-1").await.status == StatusCode::OK })
        .await;
    let seen = before.seen().len();
    edge.platform
        .set("servers", "i-0", entry(before, 1_000, "draining"));
    time::sleep(Duration::from_millis(900)).await;
    for number in 2..12 {
        let got = edge.call("/once/", &format!("r-{number}")).await;
        assert_eq!(got.status, StatusCode::OK);
    }
    assert_eq!(
        before.seen().len(),
        seen,
        "the start before gets nothing more"
    );
    assert!(edge.lines().iter().any(|l| l["change"] == "restarted"));
}
