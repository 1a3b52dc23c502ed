//! Tests of `core::prefix`.

use ryevalve::core::prefix::*;

fn map(capacity: usize) -> PrefixMap {
    let mut map = PrefixMap::default();
    map.set_capacity(0, capacity);
    map.set_capacity(1, capacity);
    map
}

#[test]
fn evicts_the_least_recently_used() {
    let mut map = map(3);
    map.touch(0, &[1, 2]);
    map.touch(0, &[3]);
    map.touch(0, &[1, 2]);
    map.touch(0, &[4]);
    assert_eq!(map.cached_blocks(0, &[1, 2]), 2);
    assert_eq!(map.cached_blocks(0, &[3]), 0);
}

#[test]
fn event_gap_keeps_only_recently_granted_blocks() {
    let mut map = map(8);
    let event = |seq| CacheEvent {
        seq,
        stored: vec![9],
        evicted: vec![],
    };
    map.touch(1, &[5]);
    map.touch(1, &[1, 2]);
    assert!(map.apply(1, &event(4)));
    assert!(map.apply(1, &event(5)));
    assert_eq!(map.cached_blocks(1, &[9]), 1);
    let later = CacheEvent {
        stored: vec![],
        ..event(7)
    };
    assert!(!map.apply(1, &later));
    assert_eq!(map.cached_blocks(1, &[9]), 0, "known only from an event");
    assert_eq!(
        map.cached_blocks(1, &[5]),
        0,
        "granted, but older than half the cache's size"
    );
    assert_eq!(map.cached_blocks(1, &[1, 2]), 2);
}
