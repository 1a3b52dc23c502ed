//! How old what is known may be, and when the store is asked, for any bound.

use std::{sync::Arc, time::Duration};

use assert_matches::assert_matches;
use proptest::prelude::*;
use ryevalve::{
    balance::{balancer::Placement, load::EndpointKey},
    clock::{Clock, TimeSource},
    gateway::{
        send_check::ENDPOINT_LEFT,
        staleness::{Staleness, StalenessBound, Standing},
        state::Gateway,
    },
    platform::headers::PlatformProtocol,
};
use tokio::time;

use crate::{
    freshness::bounds,
    support::{SECOND, entry, placement_request},
};

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
    let soon_us = late_us + 250_000;
    assert_eq!(staleness.standing(soon_us, BOUND), Standing::Asking);
    let overdue_us = late_us + 300_000;
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
    let waiting_us = asked_us + 700_000;
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

/// A gateway that knows two endpoints, and knows them to be the store's since now.
fn gateway() -> Arc<Gateway<PlatformProtocol>> {
    // By the runtime's time, which these tests pause.
    let clock = Clock::new(TimeSource::steered());
    let gateway = Gateway::with_clock(PlatformProtocol, "h".into(), bounds(true), true, clock);
    for id in ["leaving", "staying"] {
        gateway.balancer().upsert_endpoint(entry(id, "h", 4), 1);
    }
    gateway
        .endpoints_staleness
        .confirm(gateway.clock.now_us().max(1));
    gateway.into()
}

fn leave(gateway: &Gateway<PlatformProtocol>) {
    let mut leaving = entry("leaving", "h", 4);
    leaving.draining = true;
    gateway.balancer().upsert_endpoint(leaving, 2);
}

#[tokio::test(start_paused = true)]
async fn a_request_waits_for_the_answer_where_what_is_known_is_too_old() {
    let gateway = gateway();
    time::sleep(Duration::from_millis(1_900)).await;
    let asking = gateway.clone();
    let follower = tokio::spawn(async move {
        asking.endpoints_staleness.wanted().await;
        let now_us = asking.clock.now_us();
        asking
            .endpoints_staleness
            .asks(now_us, BOUND, Duration::ZERO);
        time::sleep(Duration::from_millis(100)).await;
        leave(&asking);
        asking.endpoints_staleness.answered();
        asking.endpoints_staleness.confirm(now_us);
    });
    for _ in 0..3 {
        let placed = gateway
            .place(&placement_request(7, 100, 0, gateway.clock.now_us()), &[])
            .await;
        assert_matches!(placed, Placement::Send(choice) if &*choice.id == "staying");
    }
    follower.await.expect("it was asked");
}

#[tokio::test(start_paused = true)]
async fn a_store_that_does_not_answer_holds_a_request_up_once_and_not_for_long() {
    let gateway = gateway();
    time::sleep(Duration::from_millis(1_900)).await;
    let began = time::Instant::now();
    let asking = gateway.clone();
    tokio::spawn(async move {
        asking.endpoints_staleness.wanted().await;
        let now_us = asking.clock.now_us();
        asking
            .endpoints_staleness
            .asks(now_us, BOUND, Duration::ZERO);
    });
    let placed = gateway
        .place(&placement_request(7, 100, 0, gateway.clock.now_us()), &[])
        .await;
    assert_matches!(placed, Placement::Send(_));
    let held = began.elapsed();
    assert!(held <= Duration::from_millis(340), "{held:?}");
    let again = time::Instant::now();
    let placed = gateway
        .place(&placement_request(7, 100, 0, gateway.clock.now_us()), &[])
        .await;
    assert_matches!(placed, Placement::Send(_));
    assert_eq!(again.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn a_request_goes_on_though_nobody_asks_the_store() {
    let gateway = gateway();
    time::sleep(Duration::from_millis(1_900)).await;
    let began = time::Instant::now();
    let placed = gateway
        .place(&placement_request(7, 100, 0, gateway.clock.now_us()), &[])
        .await;
    assert_matches!(placed, Placement::Send(_));
    assert!(began.elapsed() <= Duration::from_millis(340));
}

#[tokio::test(start_paused = true)]
async fn a_chosen_endpoint_is_not_sent_to_once_it_has_left_or_may_have() {
    let gateway = gateway();
    let key = EndpointKey::of("leaving");
    assert_eq!(gateway.check_before_send(key), Ok(()));
    leave(&gateway);
    assert_eq!(gateway.check_before_send(key), Err(ENDPOINT_LEFT));
    let key = EndpointKey::of("staying");
    assert_eq!(gateway.check_before_send(key), Ok(()));
    // A process that stood still since it chose.
    time::sleep(Duration::from_secs(5)).await;
    assert_eq!(gateway.check_before_send(key), Err(ENDPOINT_LEFT));
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
