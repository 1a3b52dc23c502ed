//! Staleness of the local state, and when the store is queried, for any bound.

use std::{sync::Arc, time::Duration};

use assert_matches::assert_matches;
use proptest::prelude::*;
use ryevalve::{
    balance::{balancer::Placement, load::EndpointKey},
    clock::{Clock, TimeSource},
    gateway::{
        evacuations::EvacuationSet,
        rollouts::{RolloutBounds, RolloutSet},
        send_check::{ENDPOINT_EVACUATED, ENDPOINT_LEFT},
        staleness::{Freshness, Staleness, StalenessBound},
        state::{Gateway, GatewayBounds},
    },
    platform::headers::PlatformProtocol,
};
use tokio::time;

use crate::{
    current_config::bounds,
    support::{SECOND, at, entry, placement_request},
};

const BOUND: StalenessBound = StalenessBound(2 * SECOND);

#[test]
fn stale_state_waits_for_the_store_until_the_answer_times_out() {
    let staleness = Staleness::default();
    assert_eq!(staleness.freshness(SECOND, BOUND), Freshness::Unknown);
    staleness.confirm(SECOND);
    assert_eq!(staleness.freshness(2 * SECOND, BOUND), Freshness::Fresh);
    // State that is 1.9 s old is too old to use with a bound of 2 s.
    let late_us = SECOND + 1_900_000;
    assert_eq!(staleness.freshness(late_us, BOUND), Freshness::Refreshing);
    staleness.query_started(late_us, BOUND, Duration::ZERO);
    let soon_us = late_us + 250_000;
    assert_eq!(staleness.freshness(soon_us, BOUND), Freshness::Refreshing);
    let overdue_us = late_us + 300_000;
    assert_eq!(
        staleness.freshness(overdue_us, BOUND),
        Freshness::Unreachable
    );
    staleness.query_answered();
    staleness.confirm(late_us);
    assert_eq!(staleness.freshness(overdue_us, BOUND), Freshness::Fresh);
}

#[test]
fn the_answer_timeout_starts_after_a_watchs_wait() {
    let staleness = Staleness::default();
    staleness.confirm(SECOND);
    let asked_us = SECOND + 1_700_000;
    staleness.query_started(asked_us, BOUND, Duration::from_millis(500));
    let waiting_us = asked_us + 700_000;
    assert_eq!(
        staleness.freshness(waiting_us, BOUND),
        Freshness::Refreshing
    );
}

/// Guards against a single failed query that makes an instance use stale state later on, although peers have confirmed
/// the state since: the instance must query the store again.
#[test]
fn a_failure_is_void_once_another_instance_has_reached_the_store() {
    let staleness = Staleness::default();
    staleness.confirm(SECOND);
    staleness.query_failed(3 * SECOND);
    assert_eq!(
        staleness.freshness(4 * SECOND, BOUND),
        Freshness::Unreachable
    );
    staleness.confirm(5 * SECOND);
    assert_eq!(staleness.freshness(6 * SECOND, BOUND), Freshness::Fresh);
    assert_eq!(
        staleness.freshness(7 * SECOND, BOUND),
        Freshness::Refreshing
    );
}

/// Returns a gateway with two endpoints that have just been confirmed.
fn gateway() -> Arc<Gateway<PlatformProtocol>> {
    // Uses the runtime's clock, which these tests pause.
    let clock = Clock::new(TimeSource::simulated());
    let gateway = Gateway::with_clock(PlatformProtocol, "h".into(), bounds(true), true, clock);
    for id in ["leaving", "staying"] {
        gateway.balancer().upsert_endpoint(entry(id, "h", 4), at(1));
    }
    gateway
        .endpoints_staleness
        .confirm(gateway.clock.now_us().max(1));
    gateway.into()
}

fn drain_leaving(gateway: &Gateway<PlatformProtocol>) {
    let mut leaving = entry("leaving", "h", 4);
    leaving.draining = true;
    gateway.balancer().upsert_endpoint(leaving, at(2));
}

#[tokio::test(start_paused = true)]
async fn a_request_waits_for_the_stores_answer_if_endpoints_are_stale() {
    let gateway = gateway();
    time::sleep(Duration::from_millis(1_900)).await;
    let querying = gateway.clone();
    let follower = tokio::spawn(async move {
        querying.endpoints_staleness.query_wanted().await;
        let now_us = querying.clock.now_us();
        querying
            .endpoints_staleness
            .query_started(now_us, BOUND, Duration::ZERO);
        time::sleep(Duration::from_millis(100)).await;
        drain_leaving(&querying);
        querying.endpoints_staleness.query_answered();
        querying.endpoints_staleness.confirm(now_us);
    });
    for _ in 0..3 {
        let placed = gateway
            .place(&placement_request(7, 100, 0, gateway.clock.now_us()), &[])
            .await;
        assert_matches!(placed, Placement::Send(choice) if &*choice.id == "staying");
    }
    follower.await.expect("the store was queried");
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_store_delays_only_one_request_and_briefly() {
    let gateway = gateway();
    time::sleep(Duration::from_millis(1_900)).await;
    let started = time::Instant::now();
    let querying = gateway.clone();
    tokio::spawn(async move {
        querying.endpoints_staleness.query_wanted().await;
        let now_us = querying.clock.now_us();
        querying
            .endpoints_staleness
            .query_started(now_us, BOUND, Duration::ZERO);
    });
    let placed = gateway
        .place(&placement_request(7, 100, 0, gateway.clock.now_us()), &[])
        .await;
    assert_matches!(placed, Placement::Send(_));
    let delay = started.elapsed();
    assert!(delay <= Duration::from_millis(340), "{delay:?}");
    let second_started = time::Instant::now();
    let placed = gateway
        .place(&placement_request(7, 100, 0, gateway.clock.now_us()), &[])
        .await;
    assert_matches!(placed, Placement::Send(_));
    assert_eq!(second_started.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn a_request_proceeds_if_no_task_queries_the_store() {
    let gateway = gateway();
    time::sleep(Duration::from_millis(1_900)).await;
    let started = time::Instant::now();
    let placed = gateway
        .place(&placement_request(7, 100, 0, gateway.clock.now_us()), &[])
        .await;
    assert_matches!(placed, Placement::Send(_));
    assert!(started.elapsed() <= Duration::from_millis(340));
}

#[tokio::test(start_paused = true)]
async fn a_selected_endpoint_is_rejected_if_it_has_left_or_may_have() {
    let gateway = gateway();
    let key = EndpointKey::of("leaving");
    assert_eq!(gateway.check_before_send(key), Ok(()));
    drain_leaving(&gateway);
    assert_eq!(gateway.check_before_send(key), Err(ENDPOINT_LEFT));
    let key = EndpointKey::of("staying");
    assert_eq!(gateway.check_before_send(key), Ok(()));
    // The process was suspended after it selected the endpoint.
    time::sleep(Duration::from_secs(5)).await;
    assert_eq!(gateway.check_before_send(key), Err(ENDPOINT_LEFT));
}

/// Guards against evacuations that an instance ignores because it has not received any since its start.
#[tokio::test(start_paused = true)]
async fn nothing_is_sent_before_the_evacuations_are_known() {
    let gateway = gateway();
    gateway.set_bounds(GatewayBounds {
        evacuate: Some(BOUND),
        ..gateway.bounds()
    });
    let key = EndpointKey::of("staying");
    assert_eq!(gateway.check_before_send(key), Err(ENDPOINT_EVACUATED));
    let (none, _) = EvacuationSet::new(at(1), []);
    gateway.apply_evacuations(none, None, "peer");
    assert_eq!(gateway.check_before_send(key), Ok(()));
}

/// Guards against roll-outs that an instance ignores because it has not received any since its start: a version that was
/// rolled back would get requests.
#[tokio::test(start_paused = true)]
async fn nothing_is_placed_before_the_rollouts_are_known() {
    let gateway = gateway();
    let rollouts = RolloutBounds {
        exposure_share: 0.1,
        rollback: StalenessBound(5 * SECOND),
    };
    gateway.set_bounds(GatewayBounds {
        rollouts: Some(rollouts),
        ..gateway.bounds()
    });
    let request = || placement_request(7, 100, 0, gateway.clock.now_us());
    let placed = gateway.place(&request(), &[]).await;
    assert_matches!(placed, Placement::Refuse { .. });
    let none = RolloutSet {
        position: at(1),
        ..RolloutSet::default()
    };
    gateway.apply_rollouts(&none, None, "peer");
    let placed = gateway.place(&request(), &[]).await;
    assert_matches!(placed, Placement::Send(_));
}

proptest! {
    /// For every bound, the store is queried early enough that it can answer before the state becomes too old, but
    /// not at ages that the state reaches while watches work.
    #[test]
    fn the_store_is_queried_in_time_for_every_bound(bound_ms in 200_u64..60_000, before in 0_usize..400) {
        let bound = StalenessBound(bound_ms * 1_000);
        let query_us = bound.store_query_age_us(before);
        let wait_us = bound.watch_wait().as_micros() as u64;
        prop_assert!(query_us + bound.0 / 20 <= bound.max_usable_age_us());
        prop_assert!(bound.max_usable_age_us() < bound.0);
        prop_assert!(wait_us * 4 / 3 < query_us);
    }
}
