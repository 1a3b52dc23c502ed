//! State of halls, from the summaries of their aggregators.

use ryevalve::{
    gateway::halls::Halls, limits::instance_counts::InstanceCounts, peers::update::HallSummary,
    prelude::Incarnation,
};

use crate::support::{MS, SECOND};

fn summary(by: u64, seq: u64) -> HallSummary {
    HallSummary {
        hall: 1,
        by: Incarnation(by),
        seq,
        instances: 10,
        heard: 10,
        ..HallSummary::default()
    }
}

#[test]
fn older_summaries_are_ignored_and_all_parts_of_one_are_applied() {
    let mut halls = Halls::default();
    assert!(halls.apply_summary(0, &summary(1, 5)).is_some());
    assert!(
        halls.apply_summary(0, &summary(1, 5)).is_some(),
        "another part"
    );
    assert!(halls.apply_summary(0, &summary(1, 4)).is_none());
}

#[test]
fn halls_are_counted_by_their_best_aggregator_and_reported_silent_once() {
    let mut halls = Halls::default();
    halls.apply_summary(0, &summary(1, 1));
    let few = HallSummary {
        heard: 2,
        instances: 2,
        ..summary(2, 1)
    };
    let effect = halls.apply_summary(0, &few).expect("a newer summary");
    assert!(!effect.replaces_loads, "only two of ten report to it");
    assert_eq!(
        halls.instance_counts(MS),
        InstanceCounts { all: 10, heard: 10 }
    );
    assert!(halls.expire(2 * SECOND).is_empty());
    assert_eq!(halls.expire(3 * SECOND), vec![1]);
    assert_eq!(
        halls.instance_counts(3 * SECOND),
        InstanceCounts { all: 10, heard: 0 }
    );
    assert!(halls.expire(4 * SECOND).is_empty());
    halls.apply_summary(5 * SECOND, &summary(1, 2));
    assert_eq!(
        halls.instance_counts(5 * SECOND),
        InstanceCounts { all: 10, heard: 10 }
    );
    halls.expire(26 * SECOND);
    assert_eq!(
        halls.instance_counts(26 * SECOND),
        InstanceCounts { all: 0, heard: 0 }
    );
}
