//! That a start of an endpoint leaves is final, whatever the store, other instances or later answers say.

use assert_matches::assert_matches;
use proptest::prelude::*;
use ryevalve::{
    balance::{
        balancer::{Balancer, Placement},
        discovery::EndpointEntry,
        load::EndpointKey,
        readiness::Readiness,
    },
    limits::{rate::LimitWord, standings::ToldStanding, telling::Audience},
};

use crate::support::{MS, SECOND, ask, entry};

/// Far more starts than are remembered.
const CROWD: u32 = 10_000;

fn born(id: &str, born_ms: u64) -> EndpointEntry {
    EndpointEntry {
        born_ms,
        ..entry(id, "here", 4)
    }
}

fn balancer(ids: &[&str]) -> Balancer {
    let mut balancer = Balancer::new("here".into());
    for id in ids {
        balancer.upsert_endpoint(born(id, 1), 1);
    }
    balancer.advance_endpoints_revision(1);
    balancer
}

fn told(balancer: &mut Balancer, now_us: u64) -> Vec<ToldStanding> {
    balancer.take_standings_to_send(now_us, Audience::Peers)
}

fn chosen(balancer: &mut Balancer, now_us: u64, draw: u64) -> Option<EndpointKey> {
    match balancer.place(now_us, &ask(draw, 100, 0, now_us), &[]) {
        Placement::Send(choice) => {
            let tokens = choice.expected.uncached_tokens;
            balancer.end(choice.key, tokens, None);
            Some(choice.key)
        }
        _ => None,
    }
}

#[test]
fn where_all_leave_callers_are_refused_at_once_with_a_time_to_come_back() {
    let mut balancer = balancer(&["a", "b"]);
    for id in ["a", "b"] {
        let key = born(id, 1).key();
        assert!(balancer.record_leaving(SECOND, key));
        assert!(!balancer.record_leaving(SECOND, key), "it is known");
    }
    let placement = balancer.place(SECOND, &ask(1, 100, 0, SECOND), &[]);
    assert_matches!(placement, Placement::Refuse { retry_after_ms, .. } if retry_after_ms >= 100);
    assert_eq!(balancer.standings().leaving(), 2);
}

#[test]
fn a_later_start_and_another_id_at_the_same_address_serve_at_once() {
    let mut balancer = balancer(&["a"]);
    balancer.record_leaving(SECOND, born("a", 1).key());
    assert_eq!(chosen(&mut balancer, SECOND, 1), None);
    balancer.upsert_endpoint(born("a", 2), 2);
    assert_eq!(chosen(&mut balancer, SECOND, 2), Some(born("a", 2).key()));

    let mut other = self::balancer(&["a"]);
    other.record_leaving(SECOND, born("a", 1).key());
    let same_addr = EndpointEntry {
        addr: born("a", 1).addr,
        ..born("b", 1)
    };
    other.upsert_endpoint(same_addr.clone(), 2);
    assert_eq!(chosen(&mut other, SECOND, 3), Some(same_addr.key()));
}

#[test]
fn a_place_that_another_instance_gave_there_is_not_taken() {
    let mut balancer = balancer(&["a"]);
    let ask = ask(1, 100, 0, SECOND);
    let Placement::Send(choice) = balancer.place(SECOND, &ask, &[]) else {
        panic!("a place");
    };
    balancer.record_leaving(SECOND, choice.key);
    let taken = balancer.place_granted(SECOND, &ask, choice.key, choice.expected);
    assert!(taken.is_none(), "{taken:?}");
    assert_eq!(balancer.readiness(SECOND, choice.key), Readiness::Leaving);
}

#[test]
fn a_full_table_forgets_starts_that_are_in_no_list_first() {
    let mut balancer = balancer(&["a", "b"]);
    let key = born("a", 1).key();
    balancer.record_leaving(SECOND, key);
    for number in 0..CROWD {
        let now_us = SECOND + u64::from(number) * MS;
        balancer.record_leaving(now_us, EndpointKey(number));
        if number % 100 == 0 {
            balancer.tick(now_us);
        }
    }
    assert!(
        balancer.standings().leaving() < CROWD as usize,
        "it is bounded"
    );
    assert_eq!(balancer.readiness(20 * SECOND, key), Readiness::Leaving);
}

#[test]
fn it_is_told_for_as_long_as_it_is_in_a_list_and_to_whoever_knows_less() {
    let (mut one, mut other) = (balancer(&["a", "b"]), balancer(&["a", "b"]));
    let key = born("a", 1).key();
    one.record_leaving(SECOND, key);
    assert!(one.take_standings_changed());
    let news = told(&mut one, SECOND);
    assert_eq!(other.apply_peer_standings(SECOND, &news).len(), 1);
    assert!(
        other.apply_peer_standings(SECOND, &news).is_empty(),
        "known"
    );
    assert_eq!(other.readiness(SECOND, key), Readiness::Leaving);
    // An instance that starts much later hears it.
    while !told(&mut one, SECOND).is_empty() {}
    assert_eq!(told(&mut one, 100 * SECOND), news);
    // One that asks for a permit and does not know is told.
    let fresh = balancer(&["a", "b"]);
    let asked = fresh.standing_to_send(SECOND, key);
    assert!(!asked.leaves);
    one.record_limit(
        SECOND,
        key,
        0,
        &LimitWord::Named(ryevalve::limits::rate::RequestRate::parse("2").expect("a rate")),
    );
    one.apply_peer_standings(101 * SECOND, &[asked]);
    assert!(one.take_standings_changed());
    assert!(one.standing_to_send(101 * SECOND, key).leaves);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]
    /// After one instance has heard it, nothing that comes in any order makes it choose that start again, nor another
    /// instance that was told.
    #[test]
    fn nothing_undoes_it(steps in prop::collection::vec((0_u8..10, 0_usize..2, 0_u64..3_000), 1..80)) {
        let mut both = [balancer(&["a", "b"]), balancer(&["a", "b"])];
        let key = born("a", 1).key();
        let mut now_us = SECOND;
        let mut revision = 2;
        both[0].record_leaving(now_us, key);
        let mut knows = [true, false];
        for (what, which, pause_ms) in steps {
            now_us += pause_ms * MS;
            revision += 1;
            let balancer = &mut both[which];
            match what {
                // The entry is written anew as ready, goes, or lapses; a list is made anew with or without it.
                0 | 1 => { balancer.upsert_endpoint(born("a", 1), revision); }
                2 => { balancer.remove_endpoint(now_us, "a", revision); }
                3 => balancer.store_was_unreachable(now_us),
                4 => { balancer.retain_listed_endpoints(now_us, revision, |id| id == "b"); }
                5 => { balancer.retain_listed_endpoints(now_us, revision, |_| true); }
                // An answer without the word that overtook.
                6 => balancer.record_answered(key, now_us),
                7 => { balancer.record_limit(now_us, key, 0, &LimitWord::Free); }
                // What the other has is copied, and what it was told.
                8 => {
                    let copy = both[1 - which].endpoints_delta_since(both[which].endpoints_revision());
                    both[which].apply_endpoints_delta(now_us, copy);
                }
                _ => {
                    let words = told(&mut both[which], now_us);
                    both[1 - which].apply_peer_standings(now_us, &words);
                    knows[1 - which] |= words.iter().any(|w| w.endpoint == key && w.leaves);
                }
            }
            for (balancer, knows) in both.iter_mut().zip(knows) {
                balancer.tick(now_us);
                if knows {
                    prop_assert_eq!(balancer.readiness(now_us, key), Readiness::Leaving);
                    prop_assert_ne!(chosen(balancer, now_us, now_us), Some(key));
                }
            }
        }
    }
}
