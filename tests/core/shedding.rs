//! Tests of `core::shedding`.

use ryevalve::{core::shedding::*, prelude::Incarnation};

const LEADER: Incarnation = Incarnation(1);
const TIERS: usize = 3;

fn ask(level: u8) -> LevelRequest {
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
fn a_level_needs_the_one_below_of_its_chain() {
    let mut held = HeldLevel::default();
    assert!(!held.try_hold(0, ask(2), false));
    assert!(held.try_hold(0, ask(1), false));
    let other = LevelRequest { chain: 2, ..ask(2) };
    assert!(!held.try_hold(0, other, false));
    assert!(held.try_hold(10, ask(2), false));
    assert!(held.refuses(10, 2, TIERS));
    assert!(held.refuses(10, 1, TIERS));
    assert!(!held.refuses(10, 0, TIERS));
    assert!(held.may_shed(10, LEADER, 1, 0, TIERS));
}

#[test]
fn an_order_after_a_pause_is_not_followed() {
    let mut held = HeldLevel::default();
    assert!(held.try_hold(0, ask(1), false));
    assert!(held.may_shed(STEP_US, LEADER, 1, 1, TIERS));
    assert!(!held.may_shed(STEP_US + 1, LEADER, 1, 1, TIERS));
    assert!(held.refuses(STEP_US + 1, 2, TIERS));
}

#[test]
fn holds_outlast_every_other_instance_acting() {
    for level in 1..MAX_TIERS as u8 {
        assert!(hold_us(level) > CONFIRM_US + STEP_US || level == MAX_TIERS as u8);
        assert!(hold_us(level) >= CONFIRM_US + STEP_US + hold_us(level + 1));
    }
}

#[test]
fn one_silent_instance_keeps_the_level_down() {
    let mut round = LevelRound::default();
    let instances = [Incarnation(1), Incarnation(2)];
    let asked = round.next_request(1_000, LEADER, 1, instances).unwrap();
    round.record_reply(2_000, Incarnation(1), asked, true);
    assert_eq!(round.confirmed(2_000), 0);
    round.record_reply(1_000 + CONFIRM_US + 1, Incarnation(2), asked, true);
    assert_eq!(round.confirmed(1_000 + CONFIRM_US + 1), 0);
    let again = round.next_request(500_000, LEADER, 1, instances).unwrap();
    assert_ne!(again.chain, asked.chain);
    round.record_reply(500_001, Incarnation(1), again, true);
    round.record_reply(500_002, Incarnation(2), again, true);
    assert_eq!(round.confirmed(500_002), 1);
}
