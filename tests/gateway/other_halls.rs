//! Sums of the other halls' summaries, as an aggregator computes them.

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
fn summaries_of_other_halls_are_summed() {
    let mut other_halls = OtherHalls::default();
    assert!(other_halls.is_empty());
    assert!(other_halls.apply_summary(0, &summary(1, 1)));
    assert!(other_halls.apply_summary(0, &summary(2, 1)));
    assert!(other_halls.apply_summary(100 * MS, &summary(1, 2)));
    assert!(
        !other_halls.apply_summary(100 * MS, &summary(1, 1)),
        "an older summary is not applied"
    );
    assert_eq!(
        other_halls.loads(),
        vec![load(1, 4), load(11, 1), load(12, 1)]
    );
    let mut sum = HallSummary::default();
    other_halls.fill_summary(200 * MS, &mut sum);
    assert_eq!((sum.instances, sum.heard), (100, 98));
    assert_eq!(sum.reports, vec![(EndpointKey(1), 2)]);
    other_halls.fill_summary(200 * MS, &mut sum);
    assert!(sum.reports.is_empty(), "each report is relayed once");
}

#[test]
fn a_partial_summary_replaces_only_the_loads_in_its_span() {
    let mut other_halls = OtherHalls::default();
    other_halls.apply_summary(0, &summary(1, 1));
    let part = HallSummary {
        span: KeyRange {
            first: EndpointKey(11),
            last: EndpointKey(u32::MAX),
        },
        loads: vec![load(12, 3)],
        ..summary(1, 2)
    };
    other_halls.apply_summary(MS, &part);
    assert_eq!(other_halls.loads(), vec![load(1, 2), load(12, 3)]);
}

#[test]
fn a_silent_hall_has_no_loads_but_its_instances_still_count() {
    let mut other_halls = OtherHalls::default();
    other_halls.apply_summary(0, &summary(1, 1));
    other_halls.expire(SECOND);
    assert_eq!(other_halls.loads().len(), 2);
    other_halls.expire(3 * SECOND);
    assert!(other_halls.loads().is_empty());
    let mut sum = HallSummary::default();
    other_halls.fill_summary(3 * SECOND, &mut sum);
    assert_eq!((sum.instances, sum.heard), (50, 0));
}
