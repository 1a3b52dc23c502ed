//! What is held for slow callers stays within its limits, those who read at all are not cut for those who do not, and
//! an endpoint is not judged by its callers.

use ryevalve::limits::{
    held_bytes::{HeldBytes, HeldLimits, HolderId},
    read_pauses::ReadPauses,
};

use crate::support::{MS, SECOND};

const LIMITS: HeldLimits = HeldLimits {
    per_caller_bytes: 256 << 10,
    total_bytes: 28 << 20,
};
const EVENT_BYTES: usize = 400;

type Held = HeldBytes<usize>;

fn open(held: &mut Held, now_us: u64, caller: usize) -> HolderId {
    let id = held.open(now_us, caller);
    held.wait_for_caller(now_us, id, true);
    id
}

/// Returns the callers that are cut if `bytes` are held.
fn hold(held: &mut Held, now_us: u64, id: HolderId, bytes: usize) -> Vec<usize> {
    let outcome = held.hold(now_us, id, bytes);
    assert!(outcome.is_held);
    assert!(held.total_bytes() <= held.limits().total_bytes);
    outcome.cut.iter().map(|cut| cut.handle).collect()
}

// Three hundred callers stop reading midway while thirty others take each event within 20 ms, for ten seconds.
#[test]
fn callers_that_read_are_not_cut_for_those_that_stopped() {
    let mut held = Held::new(LIMITS);
    let stopped: Vec<_> = (0..300).map(|c| open(&mut held, 0, c)).collect();
    let reading: Vec<_> = (300..330).map(|c| open(&mut held, 0, c)).collect();
    let mut cut = Vec::new();
    for step in 1..=1_000 {
        let now_us = step * 10 * MS;
        for id in &stopped {
            cut.extend(hold(&mut held, now_us, *id, EVENT_BYTES));
        }
        for id in &reading {
            cut.extend(hold(&mut held, now_us, *id, 10 * EVENT_BYTES));
            if step % 2 == 0 {
                held.take(now_us, *id, 20 * EVENT_BYTES);
            }
        }
    }
    assert!(!cut.is_empty(), "300 callers were sent more than the limit");
    assert!(cut.iter().all(|caller| *caller < 300), "{cut:?}");
}

#[test]
fn the_caller_that_has_read_nothing_for_longest_is_cut() {
    let limits = HeldLimits {
        total_bytes: 1_000,
        ..LIMITS
    };
    let mut held = Held::new(limits);
    let early = open(&mut held, 0, 0);
    let late = open(&mut held, 0, 1);
    let asking = open(&mut held, 0, 2);
    hold(&mut held, SECOND, early, 400);
    hold(&mut held, 2 * SECOND, late, 400);
    // The first reads again, so the second has waited longer although its bytes came later.
    held.take(3 * SECOND, early, 100);
    let outcome = held.hold(4 * SECOND, asking, 500);
    assert!(outcome.is_held);
    let cut = &outcome.cut[..];
    assert_eq!(cut.len(), 1);
    assert_eq!((cut[0].handle, cut[0].bytes), (1, 400));
    assert_eq!(cut[0].idle_us, 2 * SECOND);
    assert_eq!(held.total_bytes(), 800);
}

#[test]
fn a_caller_that_had_nothing_to_read_does_not_count_as_slow() {
    let limits = HeldLimits {
        total_bytes: 1_000,
        ..LIMITS
    };
    let mut held = Held::new(limits);
    let waiting = open(&mut held, 0, 0);
    let stopped = open(&mut held, SECOND, 1);
    hold(&mut held, SECOND, stopped, 600);
    // Its first event comes after ten seconds.
    assert_eq!(hold(&mut held, 10 * SECOND, waiting, 500), [1]);
}

// What is being read from an endpoint, or runs there, is not up to the caller.
#[test]
fn nobody_is_cut_for_what_the_endpoint_has_not_finished() {
    let limits = HeldLimits {
        total_bytes: 1_000,
        ..LIMITS
    };
    let mut held = Held::new(limits);
    let running = held.open(0, 0);
    assert!(held.hold(0, running, 900).is_held);
    let next = held.open(0, 1);
    let outcome = held.hold(SECOND, next, 200);
    assert!(!outcome.is_held && outcome.cut.is_empty());
    assert_eq!(held.total_bytes(), 900, "what is not held is not counted");
    held.close(running);
    assert!(held.hold(SECOND, next, 200).is_held);
}

#[test]
fn answer_without_end_leaves_room_for_others() {
    let mut held = Held::new(LIMITS);
    let endless = held.open(0, 0);
    while held.hold(0, endless, 64 << 10).is_held {}
    let answers: Vec<_> = (1..=100).map(|caller| held.open(SECOND, caller)).collect();
    for id in answers {
        let cut = hold(&mut held, SECOND, id, 32 << 10);
        assert!(cut.is_empty(), "{cut:?} are cut");
    }
}

#[test]
fn bytes_of_a_holder_that_was_cut_are_not_counted_again() {
    let limits = HeldLimits {
        total_bytes: 1_000,
        ..LIMITS
    };
    let mut held = Held::new(limits);
    let only = open(&mut held, 0, 0);
    assert_eq!(hold(&mut held, 0, only, 1_200), [0]);
    assert_eq!(held.total_bytes(), 0);
    hold(&mut held, 0, only, 500);
    held.take(0, only, 500);
    assert_eq!(held.close(only), None);
    assert_eq!(held.total_bytes(), 0);
}

#[test]
fn lower_limits_hold_from_the_next_bytes_on() {
    let mut held = Held::new(LIMITS);
    let ids: Vec<_> = (0..10).map(|c| open(&mut held, c as u64, c)).collect();
    for id in &ids {
        hold(&mut held, SECOND, *id, 1_000);
    }
    held.set_limits(HeldLimits {
        total_bytes: 5_000,
        ..LIMITS
    });
    assert_eq!(hold(&mut held, 2 * SECOND, ids[9], 1_000).len(), 6);
}

#[test]
fn the_limits_leave_most_of_a_small_instances_memory() {
    let limits = HeldLimits::of_memory(112 << 20);
    assert_eq!(limits.total_bytes, 28 << 20);
    assert!(limits.per_caller_bytes * 100 <= limits.total_bytes);
    let tiny = HeldLimits::of_memory(1 << 19);
    assert!(tiny.per_caller_bytes <= tiny.total_bytes);
}

#[test]
fn a_break_after_a_long_pause_is_the_callers_and_later_ones_are_the_endpoints() {
    let mut pauses = ReadPauses::default();
    assert!(pauses.show_speed(0) && !pauses.explain_break(0) && !pauses.any());
    pauses.record(SECOND, 4 * SECOND);
    assert!(!pauses.show_speed(4 * SECOND + 10 * MS));
    assert!(pauses.explain_break(4 * SECOND + 10 * MS));
    assert!(pauses.show_speed(6 * SECOND) && !pauses.explain_break(6 * SECOND));
    assert!(pauses.any());
}

#[test]
fn a_short_pause_does_not_excuse_an_endpoint_that_breaks() {
    let mut pauses = ReadPauses::default();
    pauses.record(SECOND, SECOND + 50 * MS);
    assert!(!pauses.explain_break(SECOND + 60 * MS));
    assert!(!pauses.show_speed(SECOND + 60 * MS), "a backlog is read");
}
