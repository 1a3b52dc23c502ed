//! The share of requests that the target version gets before it is judged.

use proptest::prelude::*;
use ryevalve::rollouts::{ExposureCredit, Stage, VersionChoice, VersionGroup, version_choice};

#[derive(Clone, Debug)]
enum Step {
    /// Requests arrive at an instance.
    Requests { instance: usize, number: u32 },
    /// An instance starts again without what it knew.
    Restarts { instance: usize },
    /// A number of instances from one on is lost, and new ones start.
    Lost { first: usize, number: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..300_usize, 1..80_u32).prop_map(|(instance, number)| Step::Requests { instance, number }),
        2 => (0..300_usize).prop_map(|instance| Step::Restarts { instance }),
        1 => (0..300_usize, 1..300_usize).prop_map(|(first, number)| Step::Lost { first, number }),
    ]
}

fn send(credit: &mut ExposureCredit, route: u32, is_free: bool) -> VersionGroup {
    let choice = version_choice(Stage::Canary, credit, route, true);
    let group = match choice {
        VersionChoice::PreferTarget if is_free => VersionGroup::Target,
        _ => VersionGroup::Others,
    };
    credit.note_sent(group, route);
    group
}

proptest! {
    /// Fails if instances that start or are lost give the target version more than its share of all requests, at any
    /// moment and without the slack.
    #[test]
    fn share_is_kept_over_instances_that_start_and_are_lost(
        instances in 1..=300_usize,
        share in 0.01..0.6_f64,
        steps in prop::collection::vec((step(), any::<bool>()), 1..400),
    ) {
        let mut credits = vec![ExposureCredit::new(share); instances];
        let (mut sent, mut to_target) = (0_u64, 0_u64);
        for (step, is_free) in steps {
            match step {
                Step::Requests { instance, number } => for number in 0..number {
                    let group = send(&mut credits[instance % instances], number % 5, is_free);
                    sent += 1;
                    to_target += u64::from(group == VersionGroup::Target);
                    prop_assert!(to_target as f64 <= share * sent as f64);
                },
                Step::Restarts { instance } => {
                    credits[instance % instances] = ExposureCredit::new(share);
                }
                Step::Lost { first, number } => {
                    for credit in credits.iter_mut().skip(first).take(number) {
                        *credit = ExposureCredit::new(share);
                    }
                }
            }
        }
    }
}

/// Fails if most of the share is left unused, so that evidence comes late.
#[test]
fn most_of_the_share_is_used() {
    let mut credit = ExposureCredit::new(0.1);
    let to_target = (0..10_000)
        .filter(|_| send(&mut credit, 1, true) == VersionGroup::Target)
        .count();
    assert!((850..=1_000).contains(&to_target), "{to_target}");
}

/// Fails if a rare route gets no more than its part of the requests to the target version, so that a version that is bad
/// there is not found; or if the credit is left unused for it.
#[test]
fn rare_routes_are_tried_as_often_as_others() {
    let mut credit = ExposureCredit::new(0.1);
    let mut by_route = [0_u32; 2];
    for number in 0..10_000_u32 {
        let route = u32::from(number % 20 == 0);
        if send(&mut credit, route, true) == VersionGroup::Target {
            by_route[route as usize] += 1;
        }
    }
    assert!(by_route[1] >= 400, "{by_route:?}");
    assert!(by_route[0] + by_route[1] >= 850, "{by_route:?}");
}

/// Fails if an instance that could not use its credit for long sends many requests to the target version at once.
#[test]
fn unused_credit_does_not_become_a_burst() {
    let mut credit = ExposureCredit::new(0.1);
    for _ in 0..10_000 {
        send(&mut credit, 1, false);
    }
    let burst = (0..10)
        .filter(|_| send(&mut credit, 1, true) == VersionGroup::Target)
        .count();
    assert!(burst <= 3, "{burst}");
}

/// Fails if a share outside of 0 to 1 lets requests through that it should not.
#[test]
fn share_that_is_no_share_allows_nothing_more() {
    for share in [0.0, -1.0, f64::NAN, f64::NEG_INFINITY] {
        let mut credit = ExposureCredit::new(share);
        let is_used = (0..1_000).any(|_| send(&mut credit, 1, true) == VersionGroup::Target);
        assert!(!is_used, "{share}");
    }
}
