//! That a start of an endpoint is leaving is final, whatever the store, other instances or later responses say.

use assert_matches::assert_matches;
use proptest::prelude::*;
use ryevalve::{
    balance::{
        balancer::{Balancer, Placement},
        discovery::EndpointEntry,
        load::EndpointKey,
        readiness::Readiness,
    },
    limits::{announcements::AnnouncementUpdate, dissemination::Audience, rate::LimitHeader},
};

use crate::support::{MS, SECOND, at, entry, placement_request};

/// Far more starts than are stored.
const STARTS: u32 = 10_000;

fn entry_of_start(id: &str, born_ms: u64) -> EndpointEntry {
    EndpointEntry {
        born_ms,
        ..entry(id, "here", 4)
    }
}

fn balancer(ids: &[&str]) -> Balancer {
    let mut balancer = Balancer::new("here".into());
    for id in ids {
        balancer.upsert_endpoint(entry_of_start(id, 1), at(1));
    }
    balancer.advance_endpoints_position(at(1));
    balancer
}

fn due_updates(balancer: &mut Balancer, now_us: u64) -> Vec<AnnouncementUpdate> {
    balancer.take_announcements_to_send(now_us, Audience::Peers)
}

fn chosen(balancer: &mut Balancer, now_us: u64, draw: u64) -> Option<EndpointKey> {
    match balancer.place(now_us, &placement_request(draw, 100, 0, now_us), &[]) {
        Placement::Send(choice) => {
            let tokens = choice.expected.uncached_tokens;
            balancer.end(choice.key, tokens, None);
            Some(choice.key)
        }
        _ => None,
    }
}

#[test]
fn callers_are_refused_with_a_retry_time_where_all_endpoints_are_leaving() {
    let mut balancer = balancer(&["a", "b"]);
    for id in ["a", "b"] {
        let key = entry_of_start(id, 1).key();
        assert!(balancer.record_leaving(SECOND, key));
        assert!(!balancer.record_leaving(SECOND, key), "already known");
    }
    let placement = balancer.place(SECOND, &placement_request(1, 100, 0, SECOND), &[]);
    assert_matches!(placement, Placement::Refuse { retry_after_ms, .. } if retry_after_ms >= 100);
    assert_eq!(balancer.announcements().leaving(), 2);
}

#[test]
fn a_later_start_and_another_id_at_the_same_address_serve_at_once() {
    let mut balancer = balancer(&["a"]);
    balancer.record_leaving(SECOND, entry_of_start("a", 1).key());
    assert_eq!(chosen(&mut balancer, SECOND, 1), None);
    balancer.upsert_endpoint(entry_of_start("a", 2), at(2));
    assert_eq!(
        chosen(&mut balancer, SECOND, 2),
        Some(entry_of_start("a", 2).key())
    );

    let mut other = self::balancer(&["a"]);
    other.record_leaving(SECOND, entry_of_start("a", 1).key());
    let same_addr = EndpointEntry {
        addr: entry_of_start("a", 1).addr,
        ..entry_of_start("b", 1)
    };
    other.upsert_endpoint(same_addr.clone(), at(2));
    assert_eq!(chosen(&mut other, SECOND, 3), Some(same_addr.key()));
}

#[test]
fn a_place_that_another_instance_granted_is_not_used_on_a_leaving_endpoint() {
    let mut balancer = balancer(&["a"]);
    let ask = placement_request(1, 100, 0, SECOND);
    let Placement::Send(choice) = balancer.place(SECOND, &ask, &[]) else {
        panic!("a place");
    };
    balancer.record_leaving(SECOND, choice.key);
    let placed = balancer.place_granted(SECOND, &ask, choice.key, choice.expected);
    assert!(placed.is_none(), "{placed:?}");
    assert_eq!(balancer.readiness(SECOND, choice.key), Readiness::Leaving);
}

#[test]
fn a_full_table_evicts_unlisted_starts_first() {
    let mut balancer = balancer(&["a", "b"]);
    let key = entry_of_start("a", 1).key();
    balancer.record_leaving(SECOND, key);
    for number in 0..STARTS {
        let now_us = SECOND + u64::from(number) * MS;
        balancer.record_leaving(now_us, EndpointKey(number));
        if number % 100 == 0 {
            balancer.tick(now_us);
        }
    }
    assert!(
        balancer.announcements().leaving() < STARTS as usize,
        "the table is bounded"
    );
    assert_eq!(balancer.readiness(20 * SECOND, key), Readiness::Leaving);
}

#[test]
fn it_is_sent_while_the_endpoint_is_listed_and_to_instances_that_do_not_know_it() {
    let (mut one, mut other) = (balancer(&["a", "b"]), balancer(&["a", "b"]));
    let key = entry_of_start("a", 1).key();
    one.record_leaving(SECOND, key);
    assert!(one.take_announcements_changed());
    let first_updates = due_updates(&mut one, SECOND);
    assert_eq!(
        other.apply_peer_announcements(SECOND, &first_updates).len(),
        1
    );
    assert!(
        other
            .apply_peer_announcements(SECOND, &first_updates)
            .is_empty(),
        "already known"
    );
    assert_eq!(other.readiness(SECOND, key), Readiness::Leaving);
    // It is still sent to instances that start much later.
    while !due_updates(&mut one, SECOND).is_empty() {}
    assert_eq!(due_updates(&mut one, 100 * SECOND), first_updates);
    // An instance that requests a permit and does not know it receives an update.
    let later = balancer(&["a", "b"]);
    let update = later.announcement_to_send(SECOND, key);
    assert!(!update.leaves);
    one.record_limit(
        SECOND,
        key,
        0,
        &LimitHeader::Rate(ryevalve::limits::rate::RequestRate::parse("2").expect("a rate")),
    );
    one.apply_peer_announcements(101 * SECOND, &[update]);
    assert!(one.take_announcements_changed());
    assert!(one.announcement_to_send(101 * SECOND, key).leaves);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]
    /// Once an instance knows that a start is leaving, from a response or an update, nothing makes it choose that start
    /// again, in whatever order events arrive.
    #[test]
    fn nothing_reverts_it(steps in prop::collection::vec((0_u8..10, 0_usize..2, 0_u64..3_000), 1..80)) {
        let mut both = [balancer(&["a", "b"]), balancer(&["a", "b"])];
        let key = entry_of_start("a", 1).key();
        let mut now_us = SECOND;
        let mut revision = 2;
        both[0].record_leaving(now_us, key);
        let mut knows = [true, false];
        for (event, index, delay_ms) in steps {
            now_us += delay_ms * MS;
            revision += 1;
            let balancer = &mut both[index];
            match event {
                // The entry is rewritten as ready, removed, or expires; the list is rebuilt with or without it.
                0 | 1 => { balancer.upsert_endpoint(entry_of_start("a", 1), at(revision)); }
                2 => { balancer.remove_endpoint(now_us, "a", at(revision)); }
                3 => balancer.store_was_unreachable(now_us),
                4 => { balancer.retain_listed_endpoints(now_us, at(revision), |id| id == "b"); }
                5 => { balancer.retain_listed_endpoints(now_us, at(revision), |_| true); }
                // A reordered response without the header.
                6 => balancer.record_answered(key, now_us),
                7 => { balancer.record_limit(now_us, key, 0, &LimitHeader::Absent); }
                // The endpoints of the other instance are copied, and its updates are received.
                8 => {
                    let copy = both[1 - index].endpoints_delta_since(now_us, both[index].endpoints_position());
                    both[index].apply_endpoints_delta(now_us, copy);
                }
                _ => {
                    let updates = due_updates(&mut both[index], now_us);
                    both[1 - index].apply_peer_announcements(now_us, &updates);
                    knows[1 - index] |= updates.iter().any(|u| u.endpoint == key && u.leaves);
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
