//! Entries of the store whose names hold characters that have a meaning in a URL.
//!
//! Guards against two failures: such a name at the end of a page was copied into the next call as it is, so that the
//! list went on from another name or never, and an instance that started knew no endpoint; and calls for an object of
//! such a name read, wrote or deleted another one.

use std::{collections::BTreeSet, time::Duration};

use assert_matches::assert_matches;
use ryevalve::platform::objects::{CallError, Metadata, Object, ObjectClient};
use serde_json::{Value, json};
use standins::{platform::Platform, runner::Runner};
use tokio::time;

use crate::{
    cluster::until,
    store_lists::start_instance,
    support::{Edge, config, entry},
};

const KIND: &str = "servers";
/// Entries on a page, so that each of the names ends one.
const PAGE_ITEMS: usize = 1;
/// Sound entries beside the one with an odd name.
const SOUND: usize = 8;
/// Texts that are not the same after a careless encoding or decoding.
const ODD: [&str; 28] = [
    "&",
    "&b",
    "&hasMore=0",
    "&watch=1",
    "+",
    "+b",
    "#",
    "#1",
    "%",
    "%20",
    "%2",
    "%zz",
    "%25",
    " ",
    " b",
    "?",
    "?x=1",
    "/",
    "/x",
    "/status",
    "=",
    ";",
    ":@",
    "\\",
    "\"<>^`{|}",
    "\n",
    "\u{0}\u{7f}",
    "é→",
];

/// Returns the odd texts as they are and behind an ordinary beginning, so that they sort before, between and after the
/// other names.
fn odd_names() -> impl Iterator<Item = String> {
    ODD.into_iter()
        .flat_map(|text| [text.to_owned(), format!("e3{text}")])
}

/// Returns a store with sound entries and one of this name that is no endpoint.
async fn store_with(odd: &str) -> Platform {
    let platform = Platform::start().await;
    platform.fault(|f| f.page_items = Some(PAGE_ITEMS));
    platform.set("config", "main", config(3, &["key-of-the-tests"]));
    let closed = "127.0.0.1:9".parse().expect("an address");
    for number in 0..SOUND {
        platform.set(KIND, &format!("e{number}"), entry(closed, "ready"));
    }
    platform.set(KIND, odd, json!({"state": "unknown"}));
    platform
}

/// Lists the entries, and returns their distinct names.
async fn list_names(platform: &Platform) -> Result<BTreeSet<String>, CallError> {
    let mut client = ObjectClient::new(platform.addr());
    let listing = client.list::<Value>(KIND).await?;
    let count = listing.items.len();
    let names = listing.items.into_iter().map(|o| o.metadata.name);
    let names: BTreeSet<String> = names.collect();
    assert_eq!(names.len(), count, "no entry is listed twice");
    Ok(names)
}

fn object(name: &str, content: &str) -> Object<Value> {
    Object {
        metadata: Metadata {
            name: name.into(),
            ..Metadata::default()
        },
        spec: Some(json!(content)),
        status: None,
    }
}

/// Reads a list of which a page ends with each of the names.
#[tokio::test]
async fn a_list_goes_on_after_a_page_that_ends_with_an_odd_name() {
    let mut failed = Vec::new();
    for odd in odd_names() {
        let platform = store_with(&odd).await;
        match list_names(&platform).await {
            Ok(names) if names.len() == SOUND + 1 => {}
            Ok(names) => failed.push(format!("{odd:?}: {} entries", names.len())),
            Err(error) => failed.push(format!("{odd:?}: {error}")),
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Starts an instance while the list has such an entry.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_starts_knows_all_endpoints_beside_an_odd_name() {
    for odd in ["&b", " b", "%zz", "#1", "+", "\n"] {
        let platform = store_with(odd).await;
        let mut instance = start_instance(127).await;
        instance.follow(platform.addr());
        until("all endpoints to be known", || {
            instance.gateway.balancer().endpoint_count() == SOUND
        })
        .await;
    }
}

/// Starts a process while the list has such an entry, and sends it requests.
#[tokio::test]
async fn a_process_that_starts_beside_an_odd_name_serves() {
    let platform = Platform::start().await;
    platform.fault(|f| f.page_items = Some(PAGE_ITEMS));
    platform.set(KIND, "&b", json!({"state": "unknown"}));
    let edge = Edge::start_on(platform, 1, "").await;
    for number in 0..10 {
        let got = edge.call("/once/", &format!("r-{number}")).await;
        assert!(got.status.is_success(), "{got:?}");
    }
}

/// Makes, reads, replaces and deletes objects of each of the names, beside one whose name is their beginning.
#[tokio::test]
async fn calls_for_an_object_of_an_odd_name_reach_no_other() {
    for name in odd_names() {
        let platform = Platform::start().await;
        platform.set(KIND, "e3", json!("other"));
        let other = platform.get_object(KIND, "e3");
        let mut client = ObjectClient::new(platform.addr());
        let created = client.create(KIND, &object(&name, "first")).await;
        created.unwrap_or_else(|error| panic!("{name:?}: {error}"));
        let replaced = client.replace(KIND, &object(&name, "second")).await;
        replaced.unwrap_or_else(|error| panic!("{name:?}: {error}"));
        let mut with_status = object(&name, "second");
        with_status.status = Some(json!("seen"));
        let written = client.replace_status(KIND, &with_status).await;
        written.unwrap_or_else(|error| panic!("{name:?}: {error}"));
        let found = client.get::<Value>(KIND, &name).await;
        let found = found.unwrap_or_else(|error| panic!("{name:?}: {error}"));
        let found = found.unwrap_or_else(|| panic!("{name:?}: not found"));
        assert_eq!(found.metadata.name, name);
        assert_eq!(found.spec, Some(json!("second")), "{name:?}");
        assert_eq!(found.status, Some(json!("seen")), "{name:?}");
        let removed = client.remove(KIND, &name).await;
        removed.unwrap_or_else(|error| panic!("{name:?}: {error}"));
        assert_eq!(platform.get_object(KIND, &name), None, "{name:?}");
        assert_eq!(platform.get_object(KIND, "e3"), other, "{name:?}");
    }
}

/// Ends pages with names that are too long for the store's limit of a call, some of them several in a row.
#[tokio::test]
async fn a_list_goes_on_after_a_page_that_ends_with_names_too_long_for_a_call() {
    for (count, length) in [(1, 10_000), (3, 10_000), (1, 70_000)] {
        let platform = Platform::start().await;
        platform.fault(|f| {
            f.page_items = Some(count + 1);
            f.max_target_bytes = Some(8_192);
        });
        for number in 0..SOUND {
            platform.set(KIND, &format!("e{number}"), json!("an endpoint"));
        }
        for number in 0..count {
            let name = format!("e2-{number}{}", "&".repeat(length));
            platform.set(KIND, &name, json!("no endpoint"));
        }
        let names = list_names(&platform).await;
        let names = names.unwrap_or_else(|error| panic!("{count} of {length}: {error}"));
        assert_eq!(names.len(), SOUND + count, "{count} of {length}");
    }
}

/// Asks for an object whose name is too long for any call.
#[tokio::test]
async fn a_call_that_cannot_be_made_is_an_error() {
    let platform = Platform::start().await;
    let mut client = ObjectClient::new(platform.addr());
    let name = "&".repeat(70_000);
    let found = client.get::<Value>(KIND, &name).await;
    assert_matches!(found, Err(CallError::InvalidTarget { .. }));
}

/// An entry that is valid but for its name leads to the address of an endpoint with another id.
#[tokio::test]
async fn entry_whose_name_no_request_can_carry_gets_none() {
    let edge = Edge::start(1).await;
    let other = Runner::start("i-other").await;
    for name in ["i\n9", "i\u{0}", "\u{7f}"] {
        edge.platform.set(KIND, name, entry(other.addr, "ready"));
    }
    time::sleep(Duration::from_millis(900)).await;
    for number in 0..20 {
        let got = edge.call("/once/", &format!("r-{number}")).await;
        assert!(got.status.is_success(), "{got:?}");
    }
    assert_eq!(other.seen().len(), 0, "requests at another endpoint");
    assert!(edge.has_logged("entry_unused"));
}

/// An endpoint whose id has letters beyond ASCII is asked for by that id.
#[tokio::test]
async fn requests_name_an_endpoint_whose_id_is_not_ascii() {
    let edge = Edge::start(1).await;
    edge.platform.remove(KIND, "i-0");
    let runner = Runner::start("i-é→").await;
    edge.platform.set(KIND, "i-é→", entry(runner.addr, "ready"));
    time::sleep(Duration::from_millis(900)).await;
    for number in 0..4 {
        edge.call("/again/", &format!("r-{number}")).await;
    }
    let seen = runner.seen();
    let expected = seen[0].headers.get("expect-instance").map(String::as_str);
    assert_eq!(expected, Some("i-é→"));
}
