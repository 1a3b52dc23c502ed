//! Tests of `core::queue`.

use ryevalve::core::queue::*;
use ryevalve::prelude::*;

fn key(order: u64, seq: u64) -> OrderKey {
    let entry = Incarnation(1);
    (order, RequestId { entry, seq })
}

fn first(queue: &TierQueue, slack: u64) -> OrderKey {
    let mut out = Vec::new();
    queue.candidates(1, slack, |_| true, &mut out);
    out[0]
}

#[test]
fn skips_organisation_that_was_served_more() {
    let mut queue = TierQueue::default();
    queue.insert(0, key(1, 1));
    queue.insert(1, key(9, 2));
    assert_eq!(first(&queue, 100), key(1, 1));
    queue.charge(0, 101);
    assert_eq!(first(&queue, 100), key(9, 2));
    assert!(queue.remove(1, key(9, 2)));
    assert_eq!(first(&queue, 100), key(1, 1));
}

#[test]
fn builds_up_no_credit_while_idle() {
    let mut queue = TierQueue::default();
    queue.insert(0, key(1, 1));
    queue.charge(0, 1_000);
    queue.insert(1, key(2, 2));
    queue.charge(1, 50);
    queue.insert(0, key(3, 3));
    assert_eq!(first(&queue, 10), key(1, 1));
    assert_eq!(queue.len(), 3);
}
