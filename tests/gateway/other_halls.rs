//! What an aggregator sums up of other halls.

use ryevalve::{
    balance::load::{EndpointKey, InFlight, KeyRange},
    gateway::other_halls::OtherHalls,
    peers::update::HallSummary,
    prelude::Incarnation,
};

use crate::support::{MS, SECOND};

fn load(key: u32, requests: u32) -> (EndpointKey, InFlight) {
    let load = InFlight {
        requests,
        prompt_tokens: requests * 100,
    };
    (EndpointKey(key), load)
}

fn summary(hall: u32, seq: u64) -> HallSummary {
    HallSummary {
        hall,
        by: Incarnation(u64::from(hall) * 10),
        seq,
        instances: 50,
        heard: 49,
        loads: vec![load(1, 2), load(hall + 10, 1)],
        reports: vec![(EndpointKey(1), seq as i8)],
        ..HallSummary::default()
    }
}

#[test]
fn halls_are_summed() {
    let mut book = OtherHalls::default();
    assert!(book.is_empty());
    assert!(book.apply_summary(0, &summary(1, 1)));
    assert!(book.apply_summary(0, &summary(2, 1)));
    assert!(book.apply_summary(100 * MS, &summary(1, 2)));
    assert!(
        !book.apply_summary(100 * MS, &summary(1, 1)),
        "an older one"
    );
    assert_eq!(book.loads(), vec![load(1, 4), load(11, 1), load(12, 1)]);
    let mut whole = HallSummary::default();
    book.fill_summary(200 * MS, &mut whole);
    assert_eq!((whole.instances, whole.heard), (100, 98));
    assert_eq!(whole.reports, vec![(EndpointKey(1), 2)]);
    book.fill_summary(200 * MS, &mut whole);
    assert!(whole.reports.is_empty(), "told once");
}

#[test]
fn a_part_of_a_summary_replaces_only_its_endpoints() {
    let mut book = OtherHalls::default();
    book.apply_summary(0, &summary(1, 1));
    let part = HallSummary {
        span: KeyRange {
            first: EndpointKey(11),
            last: EndpointKey(u32::MAX),
        },
        loads: vec![load(12, 3)],
        ..summary(1, 2)
    };
    book.apply_summary(MS, &part);
    assert_eq!(book.loads(), vec![load(1, 2), load(12, 3)]);
}

#[test]
fn a_hall_that_fell_silent_has_no_requests_and_stays_counted() {
    let mut book = OtherHalls::default();
    book.apply_summary(0, &summary(1, 1));
    book.expire(SECOND);
    assert_eq!(book.loads().len(), 2);
    book.expire(3 * SECOND);
    assert!(book.loads().is_empty());
    let mut whole = HallSummary::default();
    book.fill_summary(3 * SECOND, &mut whole);
    assert_eq!((whole.instances, whole.heard), (50, 0));
}
