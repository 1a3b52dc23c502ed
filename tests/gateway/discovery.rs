//! The set of endpoints: ready, draining, lapsed during a store outage, removed, and copied by
//! deltas.

use proptest::prelude::*;
use ryevalve::{
    balance::discovery::{Change, Discovery},
    prelude::StorePosition,
};

use crate::support::{SECOND, at, entry};

#[test]
fn endpoint_appears_drains_and_is_removed() {
    let mut set = Discovery::default();
    assert_eq!(
        set.upsert(entry("a", "h", 4), at(1)),
        Some(Change::Appeared)
    );
    assert_eq!(set.upsert(entry("a", "h", 4), at(2)), None);
    let mut draining = entry("a", "h", 4);
    draining.draining = true;
    assert_eq!(set.upsert(draining, at(3)), Some(Change::Updated));
    assert!(set.get("a").unwrap().draining);
    assert_eq!(set.mark_removed(SECOND, "a", at(4)), Some(Change::Gone));
    assert_eq!(set.mark_removed(SECOND, "a", at(4)), None);
    assert!(set.is_empty());
}

#[test]
fn entry_lapsed_during_a_store_outage_is_kept_for_two_seconds() {
    let mut set = Discovery::default();
    set.upsert(entry("a", "h", 4), at(1));
    set.upsert(entry("b", "h", 4), at(1));
    set.store_was_unreachable(10 * SECOND);
    assert_eq!(
        set.mark_removed(10 * SECOND, "a", at(1)),
        Some(Change::Lapsed)
    );
    assert_eq!(
        set.mark_removed(10 * SECOND, "b", at(1)),
        Some(Change::Lapsed)
    );
    assert!(set.get("a").is_some());
    assert_eq!(set.upsert(entry("a", "h", 4), at(2)), Some(Change::Updated));
    assert!(set.expire(11 * SECOND).is_empty());
    let expired = set.expire(12 * SECOND);
    assert_eq!(expired, vec!["b".into()]);
    assert!(set.get("a").is_some());
}

#[test]
fn missing_draining_endpoint_is_removed_at_once() {
    let mut set = Discovery::default();
    let mut draining = entry("a", "h", 4);
    draining.draining = true;
    set.upsert(draining, at(1));
    set.store_was_unreachable(10 * SECOND);
    assert_eq!(
        set.mark_removed(10 * SECOND, "a", at(1)),
        Some(Change::Gone)
    );
}

#[test]
fn full_listing_removes_missing_endpoints() {
    let mut set = Discovery::default();
    set.upsert(entry("a", "h", 4), at(1));
    set.upsert(entry("b", "h", 4), at(1));
    let changes = set.retain_listed(SECOND, at(2), |id| id == "a");
    assert_eq!(changes, vec![("b".into(), Change::Gone)]);
    assert_eq!(set.len(), 1);
}

#[test]
fn older_delta_is_ignored() {
    let mut ahead = Discovery::default();
    ahead.upsert(entry("a", "h", 4), at(5));
    ahead.advance_to(at(9));
    let mut behind = Discovery::default();
    behind.upsert(entry("b", "h", 4), at(2));
    behind.advance_to(at(3));
    assert!(
        ahead
            .apply_delta(SECOND, behind.delta_since(SECOND, StorePosition::START))
            .is_empty()
    );
    assert!(ahead.get("b").is_none());
}

proptest! {
    /// An instance that applies deltas at arbitrary times has the same set as the one that watches
    /// the store.
    #[test]
    fn deltas_reproduce_the_set(
        steps in prop::collection::vec((0_u8..12, 0_u8..4, any::<bool>()), 1..200),
    ) {
        let (mut watcher, mut follower) = (Discovery::default(), Discovery::default());
        let mut revision = 0;
        for (index, action, applies_delta) in steps {
            revision += 1;
            let id = format!("e{index}");
            match action {
                0 => {
                    watcher.mark_removed(SECOND, &id, at(revision));
                }
                1 => {
                    let mut draining = entry(&id, "h", 4);
                    draining.draining = true;
                    watcher.upsert(draining, at(revision));
                }
                slots => {
                    watcher.upsert(entry(&id, "h", u32::from(slots)), at(revision));
                }
            }
            watcher.advance_to(at(revision));
            if applies_delta {
                let delta = watcher.delta_since(SECOND, follower.position());
                follower.apply_delta(SECOND, delta);
                for index in 0..12 {
                    let id = format!("e{index}");
                    prop_assert_eq!(watcher.get(&id), follower.get(&id), "{}", id);
                }
            }
        }
    }
}

/// States of endpoints: revision, endpoint, and whether it drains; `None` if it is removed.
type History = Vec<(u64, usize, Option<bool>)>;

/// Returns whether each endpoint has its state at `revision` or a later one.
fn is_at_least_as_of(set: &Discovery, history: &History, revision: u64) -> Result<(), String> {
    for index in 0..6 {
        let id = format!("e{index}");
        let has = set.get(&id).map(|e| e.draining);
        let changes = history.iter().filter(|(_, i, _)| *i == index);
        let before = changes.clone().rfind(|(at, _, _)| *at <= revision);
        let before = before.and_then(|(_, _, state)| *state);
        let later = changes.filter(|(at, _, _)| *at > revision);
        if before != has && !later.map(|(_, _, state)| *state).any(|state| state == has) {
            return Err(format!("{id} is {has:?}, and was {before:?} at {revision}"));
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    /// Instances that get the same changes in different batches and apply each other's deltas at
    /// any time know every removal up to their revision.
    #[test]
    fn no_removal_is_lost_between_instances_that_watch_in_different_batches(
        steps in prop::collection::vec((0_u8..4, 0_usize..6, 0_usize..3, 0_usize..3), 1..120),
    ) {
        let mut sets = [Discovery::default(), Discovery::default(), Discovery::default()];
        let mut watched = [0_u64; 3];
        let mut history = History::new();
        let mut states = [Some(false); 6];
        for (index, _) in states.iter().enumerate() {
            history.push((index as u64 + 1, index, Some(false)));
        }
        for (action, index, one, other) in steps {
            let newest = history.last().map_or(0, |(at, _, _)| *at);
            match action {
                // An endpoint starts draining or is removed for good.
                0 => {
                    let next = match states[index] {
                        Some(false) => Some(true),
                        _ => None,
                    };
                    if states[index] != next {
                        states[index] = next;
                        history.push((newest + 1, index, next));
                    }
                }
                // One of the first two instances gets the changes since its last watch.
                1 | 2 => {
                    let one = one % 2;
                    for (changed_at, index, state) in history.iter().filter(|(at, _, _)| *at > watched[one]) {
                        let id = format!("e{index}");
                        match state {
                            Some(draining) => {
                                let mut entry = entry(&id, "h", 4);
                                entry.draining = *draining;
                                sets[one].upsert(entry, at(*changed_at));
                            }
                            None => {
                                sets[one].mark_removed(SECOND, &id, at(newest));
                            }
                        }
                    }
                    watched[one] = newest;
                    sets[one].advance_to(at(newest));
                }
                _ => {
                    let delta = sets[other].delta_since(SECOND, sets[one].position());
                    sets[one].apply_delta(SECOND, delta);
                }
            }
            for set in &sets {
                let known = is_at_least_as_of(set, &history, set.position().revision());
                prop_assert!(known.is_ok(), "{:?}", known);
            }
        }
    }
}
