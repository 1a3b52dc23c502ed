//! How old what is known may be, and when the store is asked, for any bound.

use std::time::Duration;

use proptest::prelude::*;
use ryevalve::gateway::staleness::{Staleness, StalenessBound, Standing};

use crate::support::SECOND;

const BOUND: StalenessBound = StalenessBound(2 * SECOND);

#[test]
fn what_is_too_old_waits_for_the_store_and_no_longer_than_it_takes_to_answer() {
    let staleness = Staleness::default();
    assert_eq!(staleness.standing(SECOND, BOUND), Standing::Unknown);
    staleness.confirm(SECOND);
    assert_eq!(staleness.standing(2 * SECOND, BOUND), Standing::Fresh);
    // 1.9 s of 2 s is too late for what is sent now.
    let late_us = SECOND + 1_900_000;
    assert_eq!(staleness.standing(late_us, BOUND), Standing::Asking);
    staleness.asks(late_us, BOUND, Duration::ZERO);
    let soon_us = late_us + 400_000;
    assert_eq!(staleness.standing(soon_us, BOUND), Standing::Asking);
    let overdue_us = late_us + 500_000;
    assert_eq!(staleness.standing(overdue_us, BOUND), Standing::Unreachable);
    staleness.answered();
    staleness.confirm(late_us);
    assert_eq!(staleness.standing(overdue_us, BOUND), Standing::Fresh);
}

#[test]
fn a_watch_is_given_its_wait_before_the_store_is_taken_not_to_answer() {
    let staleness = Staleness::default();
    staleness.confirm(SECOND);
    let asked_us = SECOND + 1_700_000;
    staleness.asks(asked_us, BOUND, Duration::from_millis(500));
    let waiting_us = asked_us + 900_000;
    assert_eq!(staleness.standing(waiting_us, BOUND), Standing::Asking);
}

/// One that the store did not answer once, and that others told of the store since, does not act on what is old
/// again by then: it asks anew.
#[test]
fn a_failure_says_nothing_of_the_store_once_others_have_heard_from_it() {
    let staleness = Staleness::default();
    staleness.confirm(SECOND);
    staleness.failed(3 * SECOND);
    assert_eq!(staleness.standing(4 * SECOND, BOUND), Standing::Unreachable);
    staleness.confirm(5 * SECOND);
    assert_eq!(staleness.standing(6 * SECOND, BOUND), Standing::Fresh);
    assert_eq!(staleness.standing(7 * SECOND, BOUND), Standing::Asking);
}

proptest! {
    /// Whatever the bound, the store is asked before what is known is too old to act on, with time for the
    /// answer of one that answers at all, and later than those that watch make it in any case.
    #[test]
    fn the_store_is_asked_in_time_for_every_bound(bound_ms in 200_u64..60_000, before in 0_usize..400) {
        let bound = StalenessBound(bound_ms * 1_000);
        let ask_us = bound.ask_age_us(before);
        let wait_us = bound.watch_wait().as_micros() as u64;
        prop_assert!(ask_us + bound.0 / 20 <= bound.use_age_us());
        prop_assert!(bound.use_age_us() < bound.0);
        prop_assert!(wait_us * 4 / 3 < ask_us);
    }
}
