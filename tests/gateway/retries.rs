//! Retries of all instances together stay within the budget, whatever they know of each other.

use proptest::prelude::*;
use ryevalve::{
    gateway::state::Gateway,
    limits::{
        instance_counts::InstanceCounts,
        retries::{RetryBounds, RetryBudget},
    },
    platform::headers::PlatformProtocol,
};

use crate::{
    freshness::bounds,
    support::{MS, SECOND},
};

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    slack: 50.0,
    window_us: 10 * SECOND,
};

#[test]
fn retries_follow_requests_and_the_share_of_the_slack() {
    let mut budget = RetryBudget::new(BOUNDS);
    let service = "model".into();
    let taken = |budget: &mut RetryBudget| {
        (0..)
            .take_while(|_| budget.try_take(0, &service, 5))
            .count()
    };
    assert_eq!(taken(&mut budget), 6, "a share of the slack alone");
    for _ in 0..100 {
        budget.note_request(0, &service);
    }
    assert_eq!(taken(&mut budget), 12, "and a share of 100 requests");
    assert!(!budget.try_take(9 * SECOND, &service, 5));
    assert!(
        budget.try_take(11 * SECOND, &service, 5),
        "the window has moved on"
    );
}

#[test]
fn one_service_does_not_spend_another_ones() {
    let mut budget = RetryBudget::new(BOUNDS);
    while budget.try_take(0, &"model".into(), 1) {}
    assert!(budget.try_take(0, &"plain".into(), 1));
}

proptest! {
    #[test]
    fn any_window_holds(
        steps in prop::collection::vec((0_u64..200, 0_usize..7, any::<bool>()), 1..600),
    ) {
        let service = "model".into();
        let mut budgets: Vec<RetryBudget> = (0..7).map(|_| RetryBudget::new(BOUNDS)).collect();
        let (mut now_us, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for (pause_ms, instance, is_request) in steps {
            now_us += pause_ms * MS;
            if is_request {
                budgets[instance].note_request(now_us, &service);
                requests.push(now_us);
            } else if budgets[instance].try_take(now_us, &service, 7) {
                retries.push(now_us);
            }
        }
        for from in &retries {
            let inside = |at: &&u64| (*from..from + 10 * SECOND).contains(*at);
            let window = retries.iter().filter(inside).count() as f64;
            // Requests count in the window and in the one before, whichever has more.
            let before = |at: &&u64| (from.saturating_sub(10 * SECOND)..*from).contains(*at);
            let asked = requests.iter().filter(inside).count();
            let asked = asked.max(requests.iter().filter(before).count()) as f64;
            prop_assert!(window <= asked * BOUNDS.ratio + BOUNDS.slack);
        }
    }
}

/// Guards against a budget of which nobody in a large group has a whole retry.
#[test]
fn the_slack_is_given_out_in_whole_retries_however_many_share_it() {
    const SLACK: f64 = 1_040.0;
    let bounds = RetryBounds {
        slack: SLACK,
        ..BOUNDS
    };
    let service = "model".into();
    for instances in [1, 7, 78, 985, 1_970] {
        let retries = (0..instances).map(|place| {
            let mut budget = RetryBudget::new(bounds);
            budget.set_position(place);
            (0..)
                .take_while(|_| budget.try_take(0, &service, instances))
                .count()
        });
        let all = retries.sum::<usize>() as f64;
        assert!(all >= SLACK * 0.59, "{all} of {SLACK} over {instances}");
        assert!(all <= SLACK * 0.6, "{all} of {SLACK} over {instances}");
    }
}

#[test]
fn the_part_of_a_group_that_is_cut_off_keeps_its_share_of_retries() {
    let gateway = Gateway::new(PlatformProtocol, "hall".into(), bounds(true), true);
    let sees = |instances| {
        gateway.set_sharers(InstanceCounts {
            all: instances,
            heard: instances,
        });
    };
    let service = "model".into();
    gateway.quota.set_instances(6);
    sees(6);
    let share = gateway.retries_left(&service);
    // The others were silent for so long that the exchange forgot them.
    sees(3);
    assert_eq!(gateway.retries_left(&service), share);
}
