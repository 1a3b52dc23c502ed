//! The retries of all instances stay within the budget, whatever the instances know of each other.

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
    current_config::bounds,
    support::{MS, SECOND},
};

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    slack: 50.0,
    window_us: 10 * SECOND,
};

#[test]
fn retries_are_limited_by_requests_and_the_share_of_the_slack() {
    let mut budget = RetryBudget::new(BOUNDS);
    let service = "model".into();
    let granted = |budget: &mut RetryBudget| {
        (0..)
            .take_while(|_| budget.try_take(0, &service, 5))
            .count()
    };
    assert_eq!(granted(&mut budget), 6, "only the share of the slack");
    for _ in 0..100 {
        budget.note_request(0, &service);
    }
    assert_eq!(granted(&mut budget), 12, "also the share of 100 requests");
    assert!(!budget.try_take(9 * SECOND, &service, 5));
    assert!(
        budget.try_take(11 * SECOND, &service, 5),
        "the window has moved on"
    );
}

#[test]
fn services_have_separate_budgets() {
    let mut budget = RetryBudget::new(BOUNDS);
    while budget.try_take(0, &"model".into(), 1) {}
    assert!(budget.try_take(0, &"plain".into(), 1));
}

proptest! {
    #[test]
    fn no_window_exceeds_the_budget(
        steps in prop::collection::vec((0_u64..200, 0_usize..7, any::<bool>()), 1..600),
    ) {
        let service = "model".into();
        let mut budgets: Vec<RetryBudget> = (0..7).map(|_| RetryBudget::new(BOUNDS)).collect();
        let (mut now_us, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for (delay_ms, instance, is_request) in steps {
            now_us += delay_ms * MS;
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
            // The budget follows the requests of this window or of the previous one, whichever has more.
            let before = |at: &&u64| (from.saturating_sub(10 * SECOND)..*from).contains(*at);
            let counted = requests.iter().filter(inside).count();
            let counted = counted.max(requests.iter().filter(before).count()) as f64;
            prop_assert!(window <= counted * BOUNDS.ratio + BOUNDS.slack);
        }
    }
}

/// Guards against a slack that is divided into equal shares, of which no instance of a large group gets a whole retry.
#[test]
fn the_slack_is_divided_into_whole_retries_for_any_number_of_instances() {
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
        let total = retries.sum::<usize>() as f64;
        assert!(
            total >= SLACK * 0.59,
            "{total} of {SLACK} for {instances} instances"
        );
        assert!(
            total <= SLACK * 0.6,
            "{total} of {SLACK} for {instances} instances"
        );
    }
}

#[test]
fn a_partitioned_part_of_a_group_keeps_its_share_of_retries() {
    let gateway = Gateway::new(PlatformProtocol, "hall".into(), bounds(true), true);
    let set_live_instances = |instances| {
        gateway.set_instance_counts(InstanceCounts {
            all: instances,
            heard: instances,
        });
    };
    let service = "model".into();
    gateway.quota.set_instances(6);
    set_live_instances(6);
    let share = gateway.retries_left(&service);
    // The other instances were silent for so long that the exchange dropped them.
    set_live_instances(3);
    assert_eq!(gateway.retries_left(&service), share);
}

/// Guards against a whole slack at each of the instances that start at once and do not know of each other yet.
#[test]
fn instance_that_does_not_know_how_many_there_are_takes_no_share_of_the_slack() {
    let gateway = Gateway::new(PlatformProtocol, "hall".into(), bounds(true), false);
    let service = "model".into();
    assert_eq!(gateway.retries_left(&service), 0.0);
    gateway.quota.restore_instance_count(0, 3);
    assert_eq!(gateway.retries_left(&service), 2.0, "its share of six");
}

/// All instances are lost in the middle of a window, and none knows what was spent before.
#[test]
fn loss_of_all_instances_keeps_the_budget_of_a_service_with_some_requests() {
    const PER_S: u64 = 20;
    let service = "model".into();
    let mut budgets: Vec<RetryBudget> = Vec::new();
    let (mut requests, mut retries) = (0, 0);
    for step in 0..10 * PER_S {
        if step % (5 * PER_S) == 0 {
            budgets = (0..7).map(|_| RetryBudget::new(BOUNDS)).collect();
        }
        let now_us = step * SECOND / PER_S;
        budgets[step as usize % 7].note_request(now_us, &service);
        requests += 1;
        let left = budgets.iter_mut();
        retries += left
            .map(|b| {
                (0..)
                    .take_while(|_| b.try_take(now_us, &service, 7))
                    .count()
            })
            .sum::<usize>();
    }
    let allowed = f64::from(requests) * BOUNDS.ratio + BOUNDS.slack;
    assert!(retries as f64 <= allowed, "{retries} of {allowed}");
}
