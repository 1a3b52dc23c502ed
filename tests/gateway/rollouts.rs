//! Roll-outs at one instance: which stage and recorded state it believes, which versions it sends to, which answers are slow.

use std::{sync::Arc, time::Duration};

use ryevalve::{
    balance::{load::EndpointKey, versions::VersionCounts},
    clock::{Clock, TimeSource},
    gateway::{
        rollout_loop,
        rollouts::{
            KnownOrder, RolloutBounds, RolloutMessage, RolloutSet, RolloutState, Rollouts,
            SentRollout,
        },
        staleness::StalenessBound,
        state::{Gateway, GatewayBounds},
    },
    limits::instance_counts::InstanceCounts,
    platform::headers::PlatformProtocol,
    prelude::{Incarnation, Name, StorePosition},
    rollouts::{
        AnswerQuality, AnswerTime, AnswerTimes, Evidence, OrderId, RolloutOrder, Stage, TimeSpan,
        VersionChoice, VersionGroup,
    },
};
use tokio::time;

use crate::{current_config::bounds, support::SECOND};

const SHARE: f64 = 0.1;
const ROUTE: u32 = 1;
const COUNTS: VersionCounts = VersionCounts {
    target_ready: 3,
    others_ready: 3,
    others_known: 3,
};

fn set(revision: u64, recorded: Option<RolloutState>, stage: Stage) -> RolloutSet {
    let order = RolloutOrder {
        id: OrderId(1),
        service: Name::from("svc"),
        target_version: Name::from("v2"),
        duration_us: 12_000_000,
    };
    RolloutSet {
        position: StorePosition::new(1, revision),
        rollouts: vec![SentRollout {
            known: KnownOrder {
                order,
                recorded,
                started_unix_ms: None,
            },
            stage,
        }],
    }
}

fn known(rollouts: &Rollouts) -> (Option<RolloutState>, Stage) {
    let rollout = &rollouts.known().rollouts[0];
    (rollout.known.recorded, rollout.stage)
}

fn choice(rollouts: &Rollouts, is_fresh: bool, counts: VersionCounts) -> VersionChoice {
    let rule = rollouts.rule("svc", ROUTE, is_fresh, counts);
    rule.map_or(VersionChoice::Any, |rule| rule.choice)
}

/// Old endpoints stop once the roll-out is recorded as completed: a late verdict must not send requests back to them.
#[test]
fn a_recorded_completion_is_final() {
    let rollouts = Rollouts::default();
    rollouts.offer(0, SHARE, &set(5, None, Stage::Draining), None);
    rollouts.note_recorded(1, OrderId(1), RolloutState::Completed);
    rollouts.offer(2, SHARE, &set(5, None, Stage::RolledBack), None);
    let completed = (Some(RolloutState::Completed), Stage::Completed);
    assert_eq!(known(&rollouts), completed);
    rollouts.offer(3, SHARE, &set(4, None, Stage::Canary), None);
    assert_eq!(known(&rollouts), completed, "an older set");
    let only_target = VersionChoice::Only(VersionGroup::Target);
    assert_eq!(choice(&rollouts, true, COUNTS), only_target);
    rollouts.note_others_gone(OrderId(1));
    assert_eq!(choice(&rollouts, true, COUNTS), VersionChoice::Any);
}

/// Stale orders, no credit and a roll-back each keep requests from the target version.
#[test]
fn requests_use_the_other_versions_unless_the_target_version_is_allowed() {
    let rollouts = Rollouts::default();
    rollouts.offer(0, SHARE, &set(5, None, Stage::Canary), None);
    let only_others = VersionChoice::Only(VersionGroup::Others);
    assert_eq!(choice(&rollouts, true, COUNTS), only_others, "no credit");
    let target = rollouts.admit("svc", "v2", ROUTE, true, COUNTS);
    assert!(target.is_err(), "no credit");
    for _ in 0..40 {
        let sent = rollouts.admit("svc", "v1", ROUTE, true, COUNTS);
        assert!(sent.is_ok_and(|sent| sent.is_some()));
    }
    assert_eq!(choice(&rollouts, true, COUNTS), VersionChoice::PreferTarget);
    assert_eq!(choice(&rollouts, false, COUNTS), only_others, "stale");
    assert!(rollouts.admit("svc", "v2", ROUTE, false, COUNTS).is_err());
    rollouts.offer(1, SHARE, &set(5, None, Stage::RolledBack), None);
    assert_eq!(choice(&rollouts, true, COUNTS), only_others, "rolled back");
    assert!(rollouts.admit("svc", "v2", ROUTE, true, COUNTS).is_err());
    assert!(matches!(
        rollouts.admit("another", "v2", ROUTE, true, COUNTS),
        Ok(None)
    ));
}

/// Without an endpoint of the allowed version a request is not refused, except after a roll-back.
#[test]
fn a_group_without_endpoints_does_not_cost_requests() {
    let rollouts = Rollouts::default();
    rollouts.offer(0, SHARE, &set(5, None, Stage::Canary), None);
    let only_target_left = VersionCounts {
        others_ready: 0,
        ..COUNTS
    };
    assert_eq!(
        choice(&rollouts, true, only_target_left),
        VersionChoice::Any
    );
    rollouts.offer(1, SHARE, &set(5, None, Stage::RolledBack), None);
    let only_others = VersionChoice::Only(VersionGroup::Others);
    assert_eq!(choice(&rollouts, true, only_target_left), only_others);
}

fn whole(took_ms: f64) -> AnswerTime {
    AnswerTime {
        route: ROUTE,
        span: TimeSpan::WholeAnswer,
        took_ms,
        tokens: 0.0,
    }
}

/// A slow version stays slow however many of its answers were seen; a surge that slows both is none of its fault.
#[test]
fn slow_answers_are_those_that_the_other_versions_do_not_give() {
    let mut times = AnswerTimes::default();
    let target = |times: &mut AnswerTimes, ms| times.is_slow(VersionGroup::Target, whole(ms));
    assert_eq!(target(&mut times, 400.0), None, "nothing to compare with");
    for _ in 0..10 {
        times.is_slow(VersionGroup::Others, whole(50.0));
    }
    for _ in 0..100 {
        assert_eq!(target(&mut times, 200.0), Some(true));
    }
    assert_eq!(target(&mut times, 120.0), Some(false));
    for _ in 0..40 {
        times.is_slow(VersionGroup::Others, whole(180.0));
    }
    assert_eq!(target(&mut times, 200.0), Some(false), "in a surge");
}

/// The new endpoints have no prompts cached: their longer prompts are compared by the token.
#[test]
fn a_longer_prompt_does_not_make_an_answer_slow() {
    let mut times = AnswerTimes::default();
    let first = |tokens: f64, took_ms| AnswerTime {
        route: ROUTE,
        span: TimeSpan::FirstEvent,
        took_ms,
        tokens,
    };
    for _ in 0..20 {
        times.is_slow(VersionGroup::Others, first(1_000.0, 45.0));
    }
    let long = times.is_slow(VersionGroup::Target, first(7_000.0, 200.0));
    assert_eq!(long, Some(false));
    let slow = times.is_slow(VersionGroup::Target, first(1_000.0, 190.0));
    assert_eq!(slow, Some(true));
}

/// Returns a watcher that was told that requests at the old versions end, and that has met one of the other instances,
/// at which they have ended.
fn watcher_that_met_one() -> Arc<Gateway<PlatformProtocol>> {
    let clock = Clock::new(TimeSource::simulated());
    let gateway = Gateway::with_clock(PlatformProtocol, "h".into(), bounds(true), false, clock);
    let rollouts = RolloutBounds {
        exposure_share: SHARE,
        rollback: StalenessBound(5 * SECOND),
    };
    gateway.set_bounds(GatewayBounds {
        rollouts: Some(rollouts),
        ..gateway.bounds()
    });
    gateway.set_watches_store(true);
    gateway.set_instance_counts(InstanceCounts { all: 2, heard: 2 });
    gateway.quota.set_instances(2);
    let now_us = gateway.clock.now_us().max(1);
    gateway.apply_rollouts(&set(5, None, Stage::Draining), Some(now_us), "peer");
    let mut evidence = Evidence::default();
    for number in 0..400 {
        let group = match number % 4 {
            0 => VersionGroup::Target,
            _ => VersionGroup::Others,
        };
        let endpoint = EndpointKey(number % 6);
        evidence.note_answer(ROUTE, group, endpoint, AnswerQuality::Good);
    }
    let message = RolloutMessage {
        order: OrderId(1),
        report: evidence.report(0, true),
    };
    gateway.rollouts.receive(now_us, Incarnation(7), message);
    gateway.into()
}

async fn stage_after_a_second(gateway: &Arc<Gateway<PlatformProtocol>>) -> Stage {
    let running = tokio::spawn(rollout_loop::run(gateway.clone()));
    time::sleep(Duration::from_secs(1)).await;
    running.abort();
    known(&gateway.rollouts).1
}

/// Guards against a watcher that has just started and completes while requests run at the old versions of instances that
/// it has not met yet: their endpoints would stop.
#[tokio::test(start_paused = true)]
async fn watcher_does_not_complete_before_all_instances_have_drained() {
    let gateway = watcher_that_met_one();
    assert_eq!(stage_after_a_second(&gateway).await, Stage::Draining);
    let now_us = gateway.clock.now_us();
    gateway.quota.restore_instance_count(now_us, 7);
    assert_eq!(stage_after_a_second(&gateway).await, Stage::Draining);
}

/// The group has the two instances that the watcher knows.
#[tokio::test(start_paused = true)]
async fn watcher_completes_once_all_instances_have_drained() {
    let gateway = watcher_that_met_one();
    let now_us = gateway.clock.now_us();
    gateway.quota.restore_instance_count(now_us, 2);
    assert_eq!(stage_after_a_second(&gateway).await, Stage::Completed);
}
