//! Tests of `core::shedding`.

use ryevalve::{core::shedding::*, prelude::Incarnation};

const LEADER: Incarnation = Incarnation(1);
const TIERS: usize = 3;

fn request(level: u8) -> LevelRequest {
    LevelRequest {
        leader: LEADER,
        chain: 1,
        level,
    }
}

#[test]
fn lowest_tier_needs_no_level() {
    let held = HeldLevel::default();
    assert!(held.may_shed(0, LEADER, 1, 2, TIERS));
    assert!(!held.may_shed(0, LEADER, 1, 1, TIERS));
}

#[test]
fn level_needs_previous_level_of_its_chain() {
    let mut held = HeldLevel::default();
    assert!(!held.try_hold(0, request(2), false));
    assert!(held.try_hold(0, request(1), false));
    let other = LevelRequest {
        chain: 2,
        ..request(2)
    };
    assert!(!held.try_hold(0, other, false));
    assert!(held.try_hold(10, request(2), false));
    assert!(held.refuses(10, 2, TIERS));
    assert!(held.refuses(10, 1, TIERS));
    assert!(!held.refuses(10, 0, TIERS));
    assert!(held.may_shed(10, LEADER, 1, 0, TIERS));
}

#[test]
fn order_to_shed_is_rejected_after_a_pause() {
    let mut held = HeldLevel::default();
    assert!(held.try_hold(0, request(1), false));
    assert!(held.may_shed(STEP_US, LEADER, 1, 1, TIERS));
    assert!(!held.may_shed(STEP_US + 1, LEADER, 1, 1, TIERS));
    assert!(held.refuses(STEP_US + 1, 2, TIERS));
}

#[test]
fn level_is_held_longer_than_any_instance_acts_on_it() {
    for level in 1..MAX_TIERS as u8 {
        assert!(hold_us(level) > CONFIRM_US + STEP_US || level == MAX_TIERS as u8);
        assert!(hold_us(level) >= CONFIRM_US + STEP_US + hold_us(level + 1));
    }
}

#[test]
fn level_is_confirmed_only_by_every_instance() {
    let mut round = LevelRound::default();
    let instances = [Incarnation(1), Incarnation(2)];
    let first = round.next_request(1_000, LEADER, 1, instances).unwrap();
    round.record_reply(2_000, Incarnation(1), first, true);
    assert_eq!(round.confirmed(2_000), 0);
    round.record_reply(1_000 + CONFIRM_US + 1, Incarnation(2), first, true);
    assert_eq!(round.confirmed(1_000 + CONFIRM_US + 1), 0);
    let second = round.next_request(500_000, LEADER, 1, instances).unwrap();
    assert_ne!(second.chain, first.chain);
    round.record_reply(500_001, Incarnation(1), second, true);
    round.record_reply(500_002, Incarnation(2), second, true);
    assert_eq!(round.confirmed(500_002), 1);
}
