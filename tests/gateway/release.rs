//! Callers that waited for the start of leases are let in at the pace of the endpoints.

use ryevalve::{
    limits::release::{Release, Ticket, room},
    prelude::Name,
};

const SLOTS: usize = 20;

/// Lets `callers` in over rounds, as endpoints whose requests take `rounds_per_request` rounds get free. Returns the
/// round in which each was let in, and the most that ran at a time.
fn let_in(release: &mut Release, rounds_per_request: usize) -> (Vec<(usize, Ticket)>, usize) {
    let mut let_in: Vec<(usize, Ticket)> = Vec::new();
    let mut most = 0;
    for round in 0.. {
        let running = let_in
            .iter()
            .filter(|(at, _)| round - at < rounds_per_request);
        let running = running.count();
        let room = room((SLOTS - running) as f64, 1, 0);
        let taken = release.take(room);
        most = most.max(running + taken.len());
        let_in.extend(taken.into_iter().map(|ticket| (round, ticket)));
        if release.is_empty() {
            break;
        }
    }
    (let_in, most)
}

/// Guards against refusing as busy those who waited, when all are let in at one moment.
#[test]
fn waiting_callers_never_exceed_the_slots_and_all_are_let_in() {
    let mut release = Release::default();
    let organisation = Name::from("a");
    for _ in 0..100 {
        release.enter(&organisation, 0);
    }
    let (let_in, most) = let_in(&mut release, 3);
    assert_eq!(let_in.len(), 100);
    assert_eq!(most, SLOTS);
    assert_eq!(let_in[99].0, 4 * 3, "as soon as there is room");
}

/// Guards against an organisation with many callers that keeps out one with few.
#[test]
fn organisations_take_turns() {
    let mut release = Release::default();
    let (large, small) = (Name::from("large"), Name::from("small"));
    for _ in 0..100 {
        release.enter(&large, 0);
    }
    let of_small: Vec<Ticket> = (0..5).map(|_| release.enter(&small, 0)).collect();
    let first = release.take(10);
    assert!(of_small.iter().all(|ticket| first.contains(ticket)));
}

/// Guards against an organisation that gains turns by entering late, or by leaving and entering anew.
#[test]
fn late_callers_start_with_the_current_turn() {
    let mut release = Release::default();
    let (early, late) = (Name::from("early"), Name::from("late"));
    for _ in 0..20 {
        release.enter(&early, 0);
    }
    release.take(10);
    let of_late: Vec<Ticket> = (0..20).map(|_| release.enter(&late, 0)).collect();
    let left = release.enter(&late, 0);
    release.leave(left);
    assert!(release.enter(&late, 0) > left);
    let next = release.take(8);
    let taken_of_late = next.iter().filter(|ticket| of_late.contains(ticket));
    assert_eq!(taken_of_late.count(), 4);
}

#[test]
fn urgent_callers_are_let_in_first() {
    let mut release = Release::default();
    let organisation = Name::from("a");
    let later = release.enter(&organisation, 2);
    let urgent = release.enter(&organisation, 0);
    assert_eq!(release.take(1), [urgent]);
    assert_eq!(release.take(1), [later]);
}

#[test]
fn room_is_shared_among_instances_and_less_by_those_that_queue() {
    assert_eq!(room(240.0, 75, 0), 4);
    assert_eq!(room(240.0, 75, 3), 1);
    assert_eq!(room(240.0, 75, 9), 0);
    assert_eq!(room(0.0, 75, 0), 0);
    assert_eq!(room(3.0, 0, 0), 3);
}
