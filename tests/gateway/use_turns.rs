//! Which organisations' use goes into an update.

use std::collections::HashSet;

use ryevalve::{gateway::use_turns::UseTurns, limits::organisation::ToldUse};

use crate::support::{MS, SECOND};

fn use_of(organisation: u32, used: u64) -> ToldUse {
    ToldUse {
        organisation,
        used,
        level_percent: 50,
    }
}

#[test]
fn what_changed_is_told_several_times_and_the_rest_each_second() {
    let mut turns = UseTurns::default();
    let quiet = [use_of(1, 10), use_of(2, 10)];
    assert_eq!(turns.select(SECOND, &quiet).len(), 2);
    assert_eq!(turns.select(SECOND + 200 * MS, &quiet).len(), 2);
    assert!(turns.select(SECOND + 600 * MS, &quiet).is_empty());
    let busy = [use_of(1, 10), use_of(2, 11)];
    assert_eq!(turns.select(SECOND + 700 * MS, &busy), vec![use_of(2, 11)]);
    assert_eq!(turns.select(SECOND + 900 * MS, &busy), vec![use_of(2, 11)]);
    assert_eq!(
        turns.select(2 * SECOND + 300 * MS, &busy),
        vec![use_of(1, 10)]
    );
}

#[test]
fn of_many_organisations_each_has_its_turn() {
    let mut turns = UseTurns::default();
    let mut told = HashSet::new();
    for round in 1..=25 {
        let used: Vec<_> = (0..1_800).map(|n| use_of(n, round)).collect();
        let selected = turns.select(round * 40 * MS, &used);
        assert!(selected.len() * 9 < 2_000, "{}", selected.len());
        told.extend(selected.iter().map(|t| t.organisation));
    }
    assert_eq!(told.len(), 1_800, "all within a second");
}
