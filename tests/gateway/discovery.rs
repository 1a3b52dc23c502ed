//! The set of endpoints: ready, draining, lapsed while the store was away, gone, and copied.

use proptest::prelude::*;
use ryevalve::balance::discovery::{Change, Discovery};

use crate::support::{SECOND, entry};

#[test]
fn an_endpoint_appears_drains_and_goes() {
    let mut set = Discovery::default();
    assert_eq!(set.seen(entry("a", "h", 4), 1), Some(Change::Appeared));
    assert_eq!(set.seen(entry("a", "h", 4), 2), None);
    let mut draining = entry("a", "h", 4);
    draining.draining = true;
    assert_eq!(set.seen(draining, 3), Some(Change::Updated));
    assert!(set.get("a").unwrap().draining);
    assert_eq!(set.removed(SECOND, "a"), Some(Change::Gone));
    assert_eq!(set.removed(SECOND, "a"), None);
    assert!(set.is_empty());
}

#[test]
fn an_entry_that_lapsed_while_the_store_was_away_is_kept_for_two_seconds() {
    let mut set = Discovery::default();
    set.seen(entry("a", "h", 4), 1);
    set.seen(entry("b", "h", 4), 1);
    set.store_was_away(10 * SECOND);
    assert_eq!(set.removed(10 * SECOND, "a"), Some(Change::Lapsed));
    assert_eq!(set.removed(10 * SECOND, "b"), Some(Change::Lapsed));
    assert!(set.get("a").is_some());
    assert_eq!(set.seen(entry("a", "h", 4), 2), Some(Change::Updated));
    assert!(set.expire(11 * SECOND).is_empty());
    let expired = set.expire(12 * SECOND);
    assert_eq!(expired, vec!["b".into()]);
    assert!(set.get("a").is_some());
}

#[test]
fn one_that_was_draining_is_gone_at_once() {
    let mut set = Discovery::default();
    let mut draining = entry("a", "h", 4);
    draining.draining = true;
    set.seen(draining, 1);
    set.store_was_away(10 * SECOND);
    assert_eq!(set.removed(10 * SECOND, "a"), Some(Change::Gone));
}

#[test]
fn a_list_removes_what_is_not_on_it() {
    let mut set = Discovery::default();
    set.seen(entry("a", "h", 4), 1);
    set.seen(entry("b", "h", 4), 1);
    let changes = set.retain_listed(SECOND, |id| id == "a");
    assert_eq!(changes, vec![("b".into(), Change::Gone)]);
    assert_eq!(set.len(), 1);
}

#[test]
fn a_copy_from_behind_changes_nothing() {
    let mut ahead = Discovery::default();
    ahead.seen(entry("a", "h", 4), 5);
    ahead.reached(9);
    let mut behind = Discovery::default();
    behind.seen(entry("b", "h", 4), 2);
    behind.reached(3);
    assert!(ahead.take_copy(SECOND, behind.copy_since(0)).is_empty());
    assert!(ahead.get("b").is_none());
}

proptest! {
    /// Whoever takes copies, at whatever moments, has what the watcher has.
    #[test]
    fn copies_bring_the_same_set(
        steps in prop::collection::vec((0_u8..12, 0_u8..4, any::<bool>()), 1..200),
    ) {
        let (mut watcher, mut follower) = (Discovery::default(), Discovery::default());
        let mut revision = 0;
        for (index, what, copies) in steps {
            revision += 1;
            let id = format!("e{index}");
            match what {
                0 => {
                    watcher.removed(SECOND, &id);
                }
                1 => {
                    let mut draining = entry(&id, "h", 4);
                    draining.draining = true;
                    watcher.seen(draining, revision);
                }
                slots => {
                    watcher.seen(entry(&id, "h", u32::from(slots)), revision);
                }
            }
            watcher.reached(revision);
            if copies {
                let copy = watcher.copy_since(follower.revision());
                follower.take_copy(SECOND, copy);
                for index in 0..12 {
                    let id = format!("e{index}");
                    prop_assert_eq!(watcher.get(&id), follower.get(&id), "{}", id);
                }
            }
        }
    }
}
