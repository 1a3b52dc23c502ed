//! Paths and queries of calls to the store.
//!
//! Other writers choose the names of their objects, so that a name may hold any characters.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};

/// The characters that are not unreserved in a URL (RFC 3986, section 2.3).
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

fn encode(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, RESERVED)
}

/// Returns the target for all objects of a kind.
pub fn objects(kind: &str) -> String {
    format!("/objects/{}", encode(kind))
}

/// Returns the target for the page of a kind's objects after a name.
pub fn page_after(kind: &str, name: &str) -> String {
    format!("{}?sinceRevision={}", objects(kind), encode(name))
}

/// Returns the target for the changes of a kind since a revision, awaited for `wait_ms` milliseconds.
pub fn changes_since(kind: &str, revision: u64, wait_ms: u128) -> String {
    format!("{}?watch={revision}&waitMs={wait_ms}", objects(kind))
}

/// Returns the target for an object.
pub fn object(kind: &str, name: &str) -> String {
    format!("{}/{}", objects(kind), encode(name))
}

/// Returns the target for the status of an object.
pub fn status(kind: &str, name: &str) -> String {
    format!("{}/status", object(kind, name))
}
