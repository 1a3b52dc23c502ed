//! Endpoints that announce that they crash under refusals, and the slots that one instance issues for them.

use ryevalve::{
    balance::load::EndpointKey,
    limits::{
        brittle::{BrittleEndpoints, SlotIssuer},
        permits::Permit,
    },
};

use crate::support::{MS, SECOND};

const SLOTS: usize = 4;
const ENDPOINT: EndpointKey = EndpointKey(1);
const OTHER: EndpointKey = EndpointKey(2);
const SERVICE: [EndpointKey; 2] = [ENDPOINT, OTHER];

/// Issues slots until one is denied; returns how many.
fn issue_all(issuer: &mut SlotIssuer, now_us: u64, reported: usize) -> usize {
    let mut issue = |_: &usize| issuer.issue(now_us, ENDPOINT, SLOTS, reported) == Permit::Given;
    (0..100).take_while(|n| issue(n)).count()
}

/// All endpoints of a service announce it together, and some are heard later than others.
#[test]
fn endpoint_that_was_not_heard_counts_as_the_others_of_its_service() {
    let mut brittle = BrittleEndpoints::default();
    assert!(!brittle.is_brittle(OTHER, &SERVICE));
    assert!(brittle.note_answer(0, ENDPOINT, true));
    assert!(brittle.is_brittle(OTHER, &SERVICE));
    assert!(!brittle.is_brittle(OTHER, &[OTHER]), "another service");
}

#[test]
fn endpoint_is_used_as_before_with_its_first_answer_without_the_announcement() {
    let mut brittle = BrittleEndpoints::default();
    brittle.note_answer(0, ENDPOINT, true);
    assert!(brittle.note_answer(MS, ENDPOINT, false));
    assert!(!brittle.is_brittle(ENDPOINT, &SERVICE));
    brittle.expire(2 * MS);
    assert!(brittle.is_empty());
}

#[test]
fn announcement_of_an_endpoint_that_fell_silent_expires() {
    let mut brittle = BrittleEndpoints::default();
    brittle.note_answer(0, ENDPOINT, true);
    brittle.expire(4 * SECOND);
    assert!(brittle.is_brittle(ENDPOINT, &SERVICE));
    brittle.expire(6 * SECOND);
    assert!(brittle.is_empty());
}

#[test]
fn no_more_slots_are_issued_than_there_are() {
    let mut issuer = SlotIssuer::default();
    assert_eq!(issue_all(&mut issuer, 0, 0), SLOTS);
    issuer.return_slot(MS, ENDPOINT, 0, false);
    assert_eq!(issue_all(&mut issuer, MS, 0), 1);
}

/// The issuer before may have issued all slots, and requests may have been queued before the announcement.
#[test]
fn new_issuer_counts_the_requests_that_are_reported() {
    let mut issuer = SlotIssuer::default();
    assert_eq!(issue_all(&mut issuer, 0, 3), 1);
    // The one that was issued is reported as well by now.
    assert_eq!(issue_all(&mut issuer, SECOND, 4), 0);
    assert_eq!(issue_all(&mut issuer, 2 * SECOND, 2), 2, "two have ended");
}

/// Reports are late: a slot that was returned is free at once, however many requests are reported.
#[test]
fn returned_slot_is_issued_again_before_reports_show_it() {
    let mut issuer = SlotIssuer::default();
    issue_all(&mut issuer, 0, 0);
    for _ in 0..SLOTS {
        issuer.return_slot(2 * SECOND, ENDPOINT, 0, false);
    }
    assert_eq!(issue_all(&mut issuer, 2 * SECOND, SLOTS), SLOTS);
}

/// The datagram that returns a slot may be lost, or the instance that has it killed.
#[test]
fn slot_that_was_never_returned_is_issued_again_once_no_request_is_reported() {
    let mut issuer = SlotIssuer::default();
    issue_all(&mut issuer, 0, 0);
    assert_eq!(issue_all(&mut issuer, SECOND, 0), 0);
    assert_eq!(
        issue_all(&mut issuer, 3 * SECOND, SLOTS),
        0,
        "they still run"
    );
    assert_eq!(issue_all(&mut issuer, 4 * SECOND, 1), SLOTS - 1);
}

/// Each further refusal counts against the endpoint.
#[test]
fn no_slot_is_issued_for_a_while_after_a_refusal() {
    let mut issuer = SlotIssuer::default();
    issue_all(&mut issuer, 0, 0);
    issuer.return_slot(MS, ENDPOINT, 0, true);
    assert_eq!(issue_all(&mut issuer, 400 * MS, 0), 0);
    assert_eq!(issue_all(&mut issuer, 600 * MS, 0), 1);
}

#[test]
fn accounts_of_endpoints_that_are_not_brittle_any_more_are_dropped() {
    let mut issuer = SlotIssuer::default();
    issue_all(&mut issuer, 0, 0);
    issuer.retain(|endpoint| endpoint != ENDPOINT);
    assert_eq!(issue_all(&mut issuer, MS, 0), SLOTS);
}

/// A request whose slot was dropped while it ran returns it late; the slot is another one's by then.
#[test]
fn slot_that_comes_back_after_it_was_dropped_frees_no_other() {
    let mut issuer = SlotIssuer::default();
    issue_all(&mut issuer, 0, 0);
    assert_eq!(
        issue_all(&mut issuer, 3 * SECOND, 0),
        SLOTS,
        "all were dropped"
    );
    issuer.return_slot(3 * SECOND, ENDPOINT, 0, false);
    assert_eq!(issue_all(&mut issuer, 3 * SECOND, 0), 0);
}

/// Guards against an endpoint that stays half used after a change of its issuer, to which such slots are returned.
#[test]
fn slot_of_the_issuer_before_is_free_when_it_comes_back() {
    const ISSUED_BEFORE_US: u64 = 50 * SECOND;
    let mut issuer = SlotIssuer::default();
    assert_eq!(issue_all(&mut issuer, 0, 3), 1);
    for _ in 0..2 {
        issuer.return_slot(100 * MS, ENDPOINT, ISSUED_BEFORE_US, false);
    }
    assert_eq!(issue_all(&mut issuer, 100 * MS, 4), 2);
}

/// Guards against lost room: short requests that follow each other keep the number of reported ones high.
#[test]
fn requests_from_before_the_announcement_do_not_count_for_as_long_as_there_is_load() {
    const RUN_TIME_US: u64 = 100 * MS;
    let mut issuer = SlotIssuer::default();
    let issue = |issuer: &mut SlotIssuer, now_us| issuer.issue(now_us, ENDPOINT, SLOTS, 2);
    issue(&mut issuer, 0);
    issue(&mut issuer, RUN_TIME_US / 2);
    let end_us = 6 * SECOND;
    for now_us in (RUN_TIME_US..end_us).step_by(RUN_TIME_US as usize / 2) {
        issuer.return_slot(now_us, ENDPOINT, now_us - RUN_TIME_US, false);
        assert_eq!(issue(&mut issuer, now_us), Permit::Given);
    }
    assert_eq!(issue(&mut issuer, end_us), Permit::Given, "a third one");
}
