//! A caller that says it will wait for less than is usual has waited before.

use proptest::prelude::*;
use ryevalve::{gateway::caller_timeouts::TypicalTimeouts, prelude::Name};

use crate::support::{MS, SECOND};

fn taught(timeout_us: &[u64]) -> (TypicalTimeouts, Name) {
    let mut usual = TypicalTimeouts::default();
    let route: Name = "r".into();
    for us in timeout_us.iter().cycle().take(400) {
        usual.waited_us(&route, *us, false);
    }
    (usual, route)
}

#[test]
fn one_that_comes_back_has_waited_for_what_is_missing_to_the_usual() {
    let (mut usual, route) = taught(&[12 * SECOND]);
    assert_eq!(usual.waited_us(&route, 12 * SECOND, false), 0);
    assert_eq!(usual.waited_us(&route, 9 * SECOND, false), 3 * SECOND);
    let almost = 12 * SECOND - 50 * MS;
    assert_eq!(
        usual.waited_us(&route, almost, false),
        0,
        "the way here takes time"
    );
}

#[test]
fn routes_are_told_apart() {
    let (mut usual, _) = taught(&[12 * SECOND]);
    assert_eq!(usual.waited_us(&"other".into(), 3 * SECOND, false), 0);
}

#[test]
fn in_a_surge_half_of_the_callers_are_back() {
    let (mut usual, route) = taught(&[12 * SECOND, 9 * SECOND, 8 * SECOND, 12 * SECOND]);
    assert_eq!(usual.waited_us(&route, 9 * SECOND, false), 3 * SECOND);
}

#[test]
fn nothing_follows_where_everybody_waits_for_another_time() {
    let spread: Vec<u64> = (1..40).map(|n| n * 300 * MS).collect();
    let (mut usual, route) = taught(&spread);
    assert_eq!(usual.waited_us(&route, 2 * SECOND, false), 0);
}

#[test]
fn one_who_waits_longer_than_all_others_does_not_make_them_late_for_long() {
    let (mut usual, route) = taught(&[3 * SECOND]);
    usual.waited_us(&route, 60 * SECOND, false);
    let late = (0..400).map(|_| usual.waited_us(&route, 3 * SECOND, false));
    let late = late.filter(|us| *us > 0).count();
    assert!(late <= 1, "{late} of 400 were taken for late");
    assert_eq!(usual.waited_us(&route, 3 * SECOND, false), 0);
}

/// Callers whose times differ by 15 in 100 were all taken to come for the first time: of some 13,000 refusals of a
/// day of two surges 225 were believed to be of callers that were back, and by their times about half were.
#[test]
fn where_callers_differ_one_that_is_back_says_less_than_any_first_try() {
    let mut usual = TypicalTimeouts::default();
    let route: Name = "r".into();
    for n in 0..20 {
        let first = 10_400 * MS + n * 80 * MS;
        assert_eq!(usual.waited_us(&route, first, true), 0);
    }
    assert_eq!(usual.waited_us(&route, 10_400 * MS, false), 0);
    let back = usual.waited_us(&route, 8 * SECOND, false);
    assert!((3 * SECOND..3_500 * MS).contains(&back), "{back}");
}

#[test]
fn nothing_follows_where_first_tries_differ_by_more_than_those_that_are_back() {
    let mut usual = TypicalTimeouts::default();
    let route: Name = "r".into();
    for n in 0..60 {
        usual.waited_us(&route, (3 + n % 10) * SECOND, true);
    }
    assert_eq!(usual.waited_us(&route, 4 * SECOND, false), 0);
}

proptest! {
    #[test]
    fn nobody_has_waited_longer_than_the_longest_says(
        seen in prop::collection::vec((1_u64..1_000_000, any::<bool>()), 1..200),
    ) {
        let mut usual = TypicalTimeouts::default();
        let longest = seen.iter().map(|(us, _)| *us).max().unwrap_or(0);
        for (us, no_recent_refusals) in seen {
            prop_assert!(usual.waited_us(&"r".into(), us, no_recent_refusals) <= longest - us);
        }
    }
}
