//! A caller that says it will wait for less than is usual has waited before.

use proptest::prelude::*;
use ryevalve::{gateway::patience::UsualPatience, prelude::Name};

use crate::support::{MS, SECOND};

fn taught(patience_us: &[u64]) -> (UsualPatience, Name) {
    let mut usual = UsualPatience::default();
    let route: Name = "r".into();
    for us in patience_us.iter().cycle().take(400) {
        usual.waited_us(&route, *us);
    }
    (usual, route)
}

#[test]
fn one_that_comes_back_has_waited_for_what_is_missing_to_the_usual() {
    let (mut usual, route) = taught(&[12 * SECOND]);
    assert_eq!(usual.waited_us(&route, 12 * SECOND), 0);
    assert_eq!(usual.waited_us(&route, 9 * SECOND), 3 * SECOND);
    let almost = 12 * SECOND - 50 * MS;
    assert_eq!(
        usual.waited_us(&route, almost),
        0,
        "the way here takes time"
    );
}

#[test]
fn routes_are_told_apart() {
    let (mut usual, _) = taught(&[12 * SECOND]);
    assert_eq!(usual.waited_us(&"other".into(), 3 * SECOND), 0);
}

#[test]
fn in_a_surge_half_of_the_callers_are_back() {
    let (mut usual, route) = taught(&[12 * SECOND, 9 * SECOND, 8 * SECOND, 12 * SECOND]);
    assert_eq!(usual.waited_us(&route, 9 * SECOND), 3 * SECOND);
}

#[test]
fn nothing_follows_where_everybody_waits_for_another_time() {
    let spread: Vec<u64> = (1..40).map(|n| n * 300 * MS).collect();
    let (mut usual, route) = taught(&spread);
    assert_eq!(usual.waited_us(&route, 2 * SECOND), 0);
}

#[test]
fn one_who_waits_longer_than_all_others_does_not_make_them_late_for_long() {
    let (mut usual, route) = taught(&[3 * SECOND]);
    usual.waited_us(&route, 60 * SECOND);
    let late = (0..400).map(|_| usual.waited_us(&route, 3 * SECOND));
    let late = late.filter(|us| *us > 0).count();
    assert!(late <= 1, "{late} of 400 were taken for late");
    assert_eq!(usual.waited_us(&route, 3 * SECOND), 0);
}

proptest! {
    #[test]
    fn nobody_has_waited_longer_than_the_longest_says(seen in prop::collection::vec(1_u64..1_000_000, 1..200)) {
        let mut usual = UsualPatience::default();
        let longest = seen.iter().copied().max().unwrap_or(0);
        for us in seen {
            prop_assert!(usual.waited_us(&"r".into(), us) <= longest - us);
        }
    }
}
