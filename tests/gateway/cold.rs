//! Rate limits of cold endpoints, and exclusion of evacuated ones.

use std::collections::HashMap;

use proptest::prelude::*;
use ryevalve::{
    balance::{
        balancer::{Balancer, Placement},
        cold::ColdRate,
        discovery::EndpointEntry,
        load::EndpointKey,
        readiness::Readiness,
    },
    gateway::evacuations::{EvacuationChange, EvacuationSet, Evacuations},
    limits::{
        permits::{ColdTolerance, Permit, PermitIssuer},
        rate::RequestRate,
    },
    prelude::Name,
};

use crate::support::{MS, SECOND, at, entry, placement_request};

const TOLERANCE: ColdTolerance = ColdTolerance {
    overage: 1.5,
    slack: 5.0,
};

/// Returns the maximum number of entries in any one-second window.
fn max_per_second_window(at_us: &[u64]) -> usize {
    let ends = at_us.iter().enumerate();
    let windows = ends.map(|(first, from)| {
        let after = at_us.partition_point(|at| *at < from + SECOND);
        after - first
    });
    windows.max().unwrap_or(0)
}

proptest! {
    /// Two instances both act as the permit giver, and requests come after a pause in which permits
    /// accumulated.
    #[test]
    fn two_permit_givers_stay_within_the_tolerance_of_a_cold_endpoint(
        per_s in 1.0..60.0_f64,
        overage in 1.0..2.0_f64,
        slack in 4.0..10.0_f64,
        pause_us in 0..3 * SECOND,
        each_us in 500..40_000_u64,
    ) {
        let tolerance = ColdTolerance { overage, slack };
        let rate = tolerance.rate(per_s);
        let key = EndpointKey::of("one");
        let mut givers = [PermitIssuer::default(), PermitIssuer::default()];
        let mut given_us = Vec::new();
        for giver in &mut givers {
            giver.issue(0, key, rate, 0);
        }
        let mut now_us = pause_us;
        while now_us < pause_us + 4 * SECOND {
            for giver in &mut givers {
                if giver.issue(now_us, key, rate, 0) == Permit::Given {
                    given_us.push(now_us);
                }
            }
            now_us += each_us;
        }
        let peak = max_per_second_window(&given_us) as f64;
        prop_assert!(peak <= per_s * overage + slack, "{peak} of {per_s} a second");
    }
}

/// An endpoint that bears 18 requests a second must not be left idle by its limit.
#[test]
fn permits_use_at_least_half_of_a_cold_endpoints_rate() {
    assert!(TOLERANCE.rate(18.0).per_s() >= 9.0);
    assert_eq!(
        TOLERANCE.rate(1.0).per_s(),
        0.6,
        "accumulated permits count as well"
    );
}

fn cold_entry(id: &str, data_centre: &str, left_ms: u64) -> EndpointEntry {
    EndpointEntry {
        warmup_left_ms: left_ms,
        ..entry(id, data_centre, 8)
    }
}

fn balancer() -> Balancer {
    let mut balancer = Balancer::new("a".into());
    let rate = ColdRate {
        rate: RequestRate::from_per_s(4.0),
        duration_us: 3 * SECOND,
    };
    balancer.set_cold_rates(HashMap::from([(Name::from("model"), rate)]));
    balancer
}

#[test]
fn endpoint_with_a_cold_entry_needs_permits_until_it_is_warm() {
    let mut balancer = balancer();
    let key = cold_entry("one", "a", 2_000).key();
    balancer.upsert_endpoint(cold_entry("one", "a", 2_000), at(1));
    assert_eq!(balancer.readiness(SECOND, key), Readiness::NeedsPermit);
    balancer.tick(SECOND);
    assert_eq!(balancer.readiness(2_900 * MS, key), Readiness::NeedsPermit);
    assert_eq!(balancer.readiness(3 * SECOND, key), Readiness::Ready);
    // It can become cold again at any time.
    balancer.upsert_endpoint(cold_entry("one", "a", 500), at(2));
    assert_eq!(balancer.readiness(5 * SECOND, key), Readiness::NeedsPermit);
    // Requests are sent there only with a permit.
    let placed = balancer.place(5 * SECOND, &placement_request(1, 100, 0, 5 * SECOND), &[]);
    assert!(matches!(placed, Placement::Refuse { .. }), "{placed:?}");
    let placed = balancer.place_with_permit(
        5 * SECOND,
        &placement_request(1, 100, 0, 5 * SECOND),
        &[],
        Some(key),
    );
    assert!(matches!(placed, Placement::Send(_)), "{placed:?}");
}

#[test]
fn service_without_a_cold_rate_needs_no_permits() {
    let mut balancer = balancer();
    balancer.set_cold_rates(HashMap::new());
    balancer.upsert_endpoint(cold_entry("one", "a", 2_000), at(1));
    let key = cold_entry("one", "a", 0).key();
    assert_eq!(balancer.readiness(SECOND, key), Readiness::Ready);
}

/// The entry may not show yet that the endpoint became cold while it got no requests.
#[test]
fn endpoints_are_cold_after_the_evacuation_of_their_data_centre() {
    let mut balancer = balancer();
    balancer.upsert_endpoint(entry("one", "a", 8), at(1));
    balancer.upsert_endpoint(entry("two", "b", 8), at(1));
    let keys = ["one", "two"].map(EndpointKey::of);
    let change = EvacuationChange {
        started: vec!["b".into()],
        ended: vec![],
    };
    balancer.apply_evacuation_change(SECOND, &change);
    assert_eq!(balancer.readiness(SECOND, keys[0]), Readiness::Ready);
    assert_eq!(balancer.readiness(SECOND, keys[1]), Readiness::Evacuated);
    let back = EvacuationChange {
        started: vec![],
        ended: change.started,
    };
    balancer.apply_evacuation_change(9 * SECOND, &back);
    assert_eq!(
        balancer.readiness(11 * SECOND, keys[1]),
        Readiness::NeedsPermit
    );
    assert_eq!(balancer.readiness(13 * SECOND, keys[1]), Readiness::Ready);
}

#[test]
fn refusal_names_the_evacuation_if_all_data_centres_are_evacuated() {
    let mut balancer = balancer();
    balancer.upsert_endpoint(entry("one", "b", 8), at(1));
    let change = EvacuationChange {
        started: vec!["b".into()],
        ended: vec![],
    };
    balancer.apply_evacuation_change(0, &change);
    let placed = balancer.place(SECOND, &placement_request(1, 100, 0, SECOND), &[]);
    let reason = match placed {
        Placement::Refuse { reason, .. } => reason,
        placed => panic!("{placed:?}"),
    };
    assert_eq!(reason, "data_centres_evacuated");
}

fn set(revision: u64, data_centres: &[&str]) -> EvacuationSet {
    let names = data_centres.iter().map(|name| Name::from(*name));
    EvacuationSet::new(at(revision), names).0
}

#[test]
fn older_set_of_evacuations_is_ignored() {
    let evacuations = Evacuations::default();
    let change = evacuations.offer(set(7, &["b"]), Some(SECOND));
    assert_eq!(change.expect("it is newer").started, vec![Name::from("b")]);
    assert_eq!(evacuations.offer(set(6, &[]), Some(3 * SECOND)), None);
    assert!(evacuations.contains("b"));
    let age_us = evacuations.staleness.age_us(4 * SECOND);
    assert_eq!(age_us, 3 * SECOND, "the age is not reset either");
    let change = evacuations
        .offer(set(8, &["c"]), None)
        .expect("it is newer");
    assert_eq!(change.ended, vec![Name::from("b")]);
    assert_eq!(evacuations.staleness.age_us(4 * SECOND), 3 * SECOND);
}

/// Datagrams and memory are bounded, whatever operators configure.
#[test]
fn set_of_evacuations_is_bounded_and_counts_omitted_entries() {
    let names = (0..300).map(|number| Name::from(format!("{number:03}").as_str()));
    let (set, omitted) = EvacuationSet::new(at(1), names);
    assert_eq!((set.data_centres.len(), omitted), (256, 44));
    assert!(set.contains("000") && !set.contains("299"));
}
