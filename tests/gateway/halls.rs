//! What an instance knows of halls from the summaries of their aggregators.

use std::collections::HashMap;

use ryevalve::{
    gateway::halls::{Halls, Taken},
    limits::organisation::{Sharers, ToldUse},
    peers::update::HallSummary,
    prelude::Incarnation,
};

use crate::support::{MS, SECOND};

/// This instance has run longer than the aggregators.
const UPTIME_MS: u32 = 60_000;

const ORGANISATION: u32 = 9;

fn use_of(used: u64) -> ToldUse {
    ToldUse {
        organisation: ORGANISATION,
        used,
        level_percent: 50,
    }
}

fn summary(by: u64, seq: u64, used: u64) -> HallSummary {
    HallSummary {
        hall: 1,
        by: Incarnation(by),
        seq,
        instances: 10,
        heard: 10,
        used: vec![use_of(used)],
        ..HallSummary::default()
    }
}

fn used(taken: Option<Taken>) -> Option<u64> {
    taken.map(|t| t.used.first().map_or(0, |told| told.used))
}

fn note(halls: &mut Halls, now_us: u64, summary: &HallSummary) -> Option<u64> {
    used(halls.note(now_us, UPTIME_MS, summary, &HashMap::new()))
}

#[test]
fn two_aggregators_of_a_hall_count_its_use_once() {
    let mut halls = Halls::default();
    assert_eq!(note(&mut halls, 0, &summary(1, 1, 1_000)), Some(1_000));
    // The second started later and has counted less; it says the same.
    assert_eq!(note(&mut halls, 0, &summary(2, 1, 200)), Some(1_000));
    assert_eq!(note(&mut halls, MS, &summary(2, 2, 300)), Some(1_100));
    assert_eq!(note(&mut halls, MS, &summary(1, 2, 1_100)), Some(1_100));
    // The first is lost: the second goes on from there.
    assert_eq!(
        note(&mut halls, 5 * SECOND, &summary(2, 3, 900)),
        Some(1_700)
    );
}

#[test]
fn a_count_never_falls() {
    let mut halls = Halls::default();
    let mut last = 0;
    for (at, by, seq, said) in [
        (0, 1, 1, 500),
        (1, 2, 1, 90),
        (2, 1, 2, 700),
        (3, 2, 2, 95),
        (4, 3, 1, 0),
    ] {
        let now = note(&mut halls, at * MS, &summary(by, seq, said)).expect("news");
        assert!(now >= last, "{now} after {last}");
        last = now;
    }
    assert_eq!(last, 700);
}

#[test]
fn an_older_summary_is_passed_over_and_the_parts_of_one_are_taken() {
    let mut halls = Halls::default();
    assert!(note(&mut halls, 0, &summary(1, 5, 100)).is_some());
    assert!(
        note(&mut halls, 0, &summary(1, 5, 100)).is_some(),
        "another part"
    );
    assert!(note(&mut halls, 0, &summary(1, 4, 90)).is_none());
}

#[test]
fn what_an_instance_used_itself_does_not_count_as_others() {
    let mut halls = Halls::default();
    let own = |used| HashMap::from([(ORGANISATION, used)]);
    assert_eq!(
        used(halls.note(0, UPTIME_MS, &summary(1, 1, 1_000), &own(400))),
        Some(600)
    );
    assert_eq!(
        used(halls.note(MS, UPTIME_MS, &summary(1, 2, 1_300), &own(700))),
        Some(600)
    );
    // An aggregator that counted from later on, of this instance as of all others.
    assert_eq!(
        used(halls.note(MS, UPTIME_MS, &summary(2, 1, 50), &own(700))),
        Some(600)
    );
    assert_eq!(
        used(halls.note(2 * MS, UPTIME_MS, &summary(2, 2, 160), &own(800))),
        Some(610)
    );
}

#[test]
fn halls_are_counted_by_their_best_aggregator_and_forgotten_once() {
    let mut halls = Halls::default();
    note(&mut halls, 0, &summary(1, 1, 0));
    let few = HallSummary {
        heard: 2,
        instances: 2,
        ..summary(2, 1, 0)
    };
    let taken = halls
        .note(0, UPTIME_MS, &few, &HashMap::new())
        .expect("news");
    assert!(!taken.takes_loads, "it hears two of ten");
    assert_eq!(halls.sharers(MS), Sharers { all: 10, heard: 10 });
    assert!(halls.expire(2 * SECOND).is_empty());
    assert_eq!(halls.expire(3 * SECOND), vec![1]);
    assert_eq!(halls.sharers(3 * SECOND), Sharers { all: 10, heard: 0 });
    assert!(halls.expire(4 * SECOND).is_empty());
    note(&mut halls, 5 * SECOND, &summary(1, 2, 0));
    assert_eq!(halls.sharers(5 * SECOND), Sharers { all: 10, heard: 10 });
    halls.expire(26 * SECOND);
    assert_eq!(halls.sharers(26 * SECOND), Sharers { all: 0, heard: 0 });
}

#[test]
fn after_the_loss_of_all_the_most_that_any_aggregator_counted_is_the_use() {
    let mut halls = Halls::default();
    let started_with_it = |by, seq, used| HallSummary {
        uptime_ms: UPTIME_MS - 200,
        ..summary(by, seq, used)
    };
    assert_eq!(note(&mut halls, 0, &started_with_it(1, 1, 100)), Some(100));
    // The other aggregator has heard of more by now; none of it is long past.
    assert_eq!(note(&mut halls, MS, &started_with_it(2, 1, 900)), Some(900));
    assert_eq!(note(&mut halls, MS, &started_with_it(1, 2, 950)), Some(950));
}
