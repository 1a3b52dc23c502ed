//! The rest that endpoints ask an instance for: what is kept, what ends it, and how requests come back.

use assert_matches::assert_matches;
use proptest::prelude::*;
use ryevalve::{
    balance::{
        balancer::{Balancer, Placement},
        discovery::EndpointEntry,
        load::EndpointKey,
        readiness::{ENDPOINTS_BACKING_OFF, Readiness},
    },
    limits::{
        rest::{Rest, Rests},
        telling::Audience,
    },
};

use crate::support::{MS, SECOND, ask, entry};

const ENDPOINT: EndpointKey = EndpointKey(3);
const REST_US: u64 = 3 * SECOND;
const UNUSED: fn() -> bool = || false;
const USED: fn() -> bool = || true;

/// Returns rests of which one, of an instance alone, began at second 1.
fn begun() -> Rests {
    let mut rests = Rests::default();
    assert!(rests.asked(SECOND, ENDPOINT, REST_US, 1, 0.0));
    rests
}

fn is_over(rests: &Rests, now_us: u64) -> bool {
    rests.rest(now_us, ENDPOINT, UNUSED) == Rest::Over
}

#[test]
fn a_rest_lasts_as_long_as_was_asked_and_one_request_goes_first_after_it() {
    let mut rests = begun();
    assert_eq!(
        rests.rest(SECOND, ENDPOINT, UNUSED),
        Rest::Until(4 * SECOND)
    );
    assert!(!is_over(&rests, 4 * SECOND - 1));
    assert!(is_over(&rests, 4 * SECOND));
    rests.note_sent(4 * SECOND, ENDPOINT);
    assert!(!is_over(&rests, 4 * SECOND + 50 * MS), "one is there");
    // An answer to what was sent before says nothing of now.
    assert!(!rests.note_answered(ENDPOINT, SECOND));
    assert!(rests.note_answered(ENDPOINT, 4 * SECOND));
    assert!(rests.is_empty());
    assert!(is_over(&rests, 4 * SECOND + 60 * MS));
}

#[test]
fn a_first_request_without_an_answer_holds_up_others_for_a_second_at_most() {
    let mut rests = begun();
    rests.note_sent(4 * SECOND, ENDPOINT);
    assert!(!is_over(&rests, 5 * SECOND - 1));
    assert!(is_over(&rests, 5 * SECOND));
    rests.note_sent(5 * SECOND, ENDPOINT);
    // Another's failure says nothing of it; its own lets the next go.
    rests.note_unanswered(ENDPOINT, SECOND);
    assert!(!is_over(&rests, 5 * SECOND + MS));
    rests.note_unanswered(ENDPOINT, 5 * SECOND);
    assert!(is_over(&rests, 5 * SECOND + MS));
}

#[test]
fn of_several_words_the_one_that_lasts_longest_holds() {
    let mut rests = begun();
    assert!(
        !rests.asked(2 * SECOND, ENDPOINT, SECOND / 2, 1, 0.0),
        "it rests already"
    );
    assert!(!is_over(&rests, 4 * SECOND - 1), "a shorter one");
    rests.asked(3 * SECOND, ENDPOINT, REST_US, 1, 0.0);
    assert!(!is_over(&rests, 6 * SECOND - 1), "a longer one");
    assert!(is_over(&rests, 6 * SECOND));
    // Asked again by the first request after it.
    rests.note_sent(6 * SECOND, ENDPOINT);
    rests.asked(6 * SECOND + MS, ENDPOINT, SECOND, 1, 0.0);
    assert!(!is_over(&rests, 7 * SECOND));
    assert!(is_over(&rests, 7 * SECOND + MS));
}

#[test]
fn no_rest_is_none_and_one_without_end_ends() {
    let mut rests = Rests::default();
    assert!(!rests.asked(SECOND, ENDPOINT, 0, 1, 0.0));
    assert!(is_over(&rests, SECOND));
    rests.asked(SECOND, ENDPOINT, u64::MAX, 1, 0.0);
    assert!(!is_over(&rests, 500 * SECOND));
    assert!(is_over(&rests, 601 * SECOND), "one word is not for good");
    assert!(rests.note_unreadable(ENDPOINT));
    assert!(!rests.note_unreadable(ENDPOINT), "once");
    rests.asked(602 * SECOND, ENDPOINT, SECOND, 1, 0.0);
    assert!(rests.note_unreadable(ENDPOINT), "after one that was sound");
}

#[test]
fn memory_is_bounded_and_what_is_over_is_forgotten() {
    let mut rests = Rests::default();
    for number in 0..10_000 {
        let rest_us = SECOND + u64::from(number) * MS;
        rests.asked(SECOND, EndpointKey(number), rest_us, 1, 0.0);
    }
    assert!(rests.len() <= 4_096, "{}", rests.len());
    let longest = EndpointKey(9_999);
    assert_matches!(rests.rest(2 * SECOND, longest, UNUSED), Rest::Until(_));
    rests.expire(30 * SECOND, |_| true);
    assert!(rests.is_empty());
}

/// All rests end in the same moment, and each instance has requests for the endpoint at all times: the first serves
/// within a second, and in no tenth of a second more come than some turns are long.
#[test]
fn the_end_of_many_rests_is_no_herd_and_no_pause() {
    for instances in [1, 7, 18, 85, 295] {
        let mut all: Vec<Rests> = (0..instances).map(|_| Rests::default()).collect();
        for (number, rests) in all.iter_mut().enumerate() {
            let draw = number as f64 / instances as f64;
            rests.asked(SECOND, ENDPOINT, REST_US, instances, draw);
        }
        let mut came = Vec::new();
        for step in 0..4_000 {
            let now_us = 4 * SECOND + step * MS;
            let is_used = !came.is_empty();
            for rests in &mut all {
                if rests.rest(now_us, ENDPOINT, || is_used) == Rest::Over && !rests.is_empty() {
                    rests.note_sent(now_us, ENDPOINT);
                    // It is answered at once, and the instance is done.
                    rests.note_answered(ENDPOINT, now_us);
                    came.push(now_us);
                }
            }
        }
        assert_eq!(came.len(), instances, "all come back");
        assert!(came[0] < 5 * SECOND, "{instances}: within a second");
        let within = |from: &u64| {
            came.iter()
                .filter(|at| (*from..*from + 100 * MS).contains(at))
                .count()
        };
        let most = came.iter().map(within).max().expect("some");
        assert!(most <= 12, "{instances}: {most} in a tenth of a second");
    }
}

/// One of many alone has requests for the endpoint, and its turn is the last.
#[test]
fn one_that_sees_nobody_there_does_not_wait_for_its_turn() {
    let mut rests = Rests::default();
    rests.asked(SECOND, ENDPOINT, REST_US, 295, 0.99);
    assert_eq!(
        rests.rest(4 * SECOND + 400 * MS, ENDPOINT, UNUSED),
        Rest::Until(4 * SECOND + 500 * MS)
    );
    assert_eq!(
        rests.rest(4 * SECOND + 500 * MS, ENDPOINT, UNUSED),
        Rest::Over
    );
    assert_matches!(
        rests.rest(4 * SECOND + 500 * MS, ENDPOINT, USED),
        Rest::Until(_)
    );
    assert_eq!(rests.rest(7 * SECOND, ENDPOINT, USED), Rest::Over);
}

fn balancer(ids: &[&str]) -> Balancer {
    let mut balancer = Balancer::new("here".into());
    for id in ids {
        balancer.upsert_endpoint(entry(id, "here", 4), 1);
    }
    balancer.advance_endpoints_revision(1);
    balancer
}

#[test]
fn where_all_rest_callers_are_refused_with_the_time_when_the_first_is_back() {
    let mut balancer = balancer(&["a", "b", "c"]);
    let ask = ask(1, 100, 0, SECOND);
    for (id, rest_us) in [("a", 3 * SECOND), ("b", 2 * SECOND), ("c", 0)] {
        assert!(balancer.refuse_while_backing_off(SECOND, &ask).is_none());
        balancer.record_backoff(SECOND, entry(id, "here", 4).key(), rest_us, 1, 0.0);
    }
    balancer.record_leaving(SECOND, entry("c", "here", 4).key());
    let later = crate::support::ask(2, 100, 0, 3 * SECOND);
    assert_matches!(
        balancer.place(SECOND, &ask, &[]),
        Placement::Refuse {
            reason: ENDPOINTS_BACKING_OFF,
            retry_after_ms: 2_000
        }
    );
    assert_matches!(
        balancer.refuse_while_backing_off(SECOND, &ask),
        Some(Placement::Refuse {
            reason: ENDPOINTS_BACKING_OFF,
            retry_after_ms: 2_000
        })
    );
    assert_matches!(balancer.place(3 * SECOND, &later, &[]), Placement::Send(choice) if &*choice.id == "b");
}

#[test]
fn where_one_serves_and_was_tried_callers_are_not_told_of_rests() {
    let mut balancer = balancer(&["a", "b"]);
    let (a, b) = (entry("a", "here", 4).key(), entry("b", "here", 4).key());
    balancer.record_backoff(SECOND, a, 100 * SECOND, 1, 0.0);
    let placement = balancer.place(SECOND, &ask(1, 100, 0, SECOND), &[b]);
    assert_matches!(placement, Placement::Refuse { retry_after_ms, .. } if retry_after_ms < 1_000);
}

#[test]
fn an_entry_that_comes_back_is_bound_and_a_later_start_is_not() {
    let mut balancer = balancer(&["a"]);
    let first = entry("a", "here", 4);
    balancer.record_backoff(SECOND, first.key(), REST_US, 1, 0.0);
    balancer.remove_endpoint(2 * SECOND, "a", 2);
    balancer.tick(2 * SECOND);
    balancer.upsert_endpoint(first.clone(), 3);
    assert_eq!(
        balancer.readiness(2 * SECOND, first.key()),
        Readiness::BackoffUntil(4 * SECOND)
    );
    let later = EndpointEntry {
        born_ms: 7,
        ..first
    };
    balancer.upsert_endpoint(later.clone(), 4);
    assert_eq!(
        balancer.readiness(2 * SECOND, later.key()),
        Readiness::Ready
    );
}

#[test]
fn a_place_that_another_instance_gave_is_not_taken_in_a_rest() {
    let mut balancer = balancer(&["a"]);
    let ask = ask(1, 100, 0, SECOND);
    let Placement::Send(choice) = balancer.place(SECOND, &ask, &[]) else {
        panic!("a place");
    };
    balancer.record_backoff(SECOND, choice.key, REST_US, 1, 0.0);
    assert!(
        balancer
            .place_granted(SECOND, &ask, choice.key, choice.expected)
            .is_none()
    );
}

/// Places requests until an endpoint is chosen for the first time; returns how many went elsewhere.
fn placed_before(balancer: &mut Balancer, id: &str) -> usize {
    (0..100)
        .take_while(|number| {
            let ask = ask(*number, 100, 0, SECOND);
            let placement = balancer.place(SECOND, &ask, &[]);
            matches!(placement, Placement::Send(choice) if &*choice.id != id)
        })
        .count()
}

/// Seven instances, one of which was asked: the others use endpoints that nobody was asked to spare first, and that one
/// once they are as full.
#[test]
fn what_others_were_asked_for_is_a_sign_of_load() {
    let (mut asked, mut other) = (balancer(&["a", "b"]), balancer(&["a", "b"]));
    let key = entry("a", "here", 4).key();
    asked.record_backoff(SECOND, key, REST_US, 7, 0.0);
    assert!(asked.take_standings_changed());
    let words = asked.take_standings_to_send(SECOND, Audience::Peers);
    assert_eq!(words[0].rest_ms, 3_000);
    other.apply_peer_standings(SECOND, &words);
    assert_eq!(
        other.readiness(SECOND, key),
        Readiness::Ready,
        "it was not asked"
    );
    let elsewhere = placed_before(&mut other, "a");
    assert!(
        (4..8).contains(&elsewhere),
        "{elsewhere} to the other, of four slots"
    );
    let mut none_told = balancer(&["a", "b"]);
    assert!(placed_before(&mut none_told, "a") < 2);
    // It is over for all in the same moment, and is told on with the time that is left.
    let later = other.take_standings_to_send(3 * SECOND, Audience::Peers);
    assert_eq!(later[0].rest_ms, 1_000);
    assert!(other.standings().wants_rest(4 * SECOND - 1, key));
    assert!(!other.standings().wants_rest(4 * SECOND, key));
}

/// Many instances are asked one after the other: that is told once, not by each anew.
#[test]
fn a_rest_that_is_known_already_is_no_news() {
    let mut balancer = balancer(&["a"]);
    let key = entry("a", "here", 4).key();
    balancer.record_backoff(SECOND, key, REST_US, 7, 0.0);
    assert!(balancer.take_standings_changed());
    for step in 1..4 {
        balancer.record_backoff(SECOND + step * 100 * MS, key, REST_US, 7, 0.0);
        assert!(!balancer.take_standings_changed());
    }
    balancer.record_backoff(2 * SECOND, key, REST_US, 7, 0.0);
    assert!(balancer.take_standings_changed(), "another rest");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]
    /// Whatever comes in any order, no request goes in the time that any word asked for, and where nothing is asked any
    /// more the endpoint serves within a second of the end.
    #[test]
    fn no_request_goes_in_any_rest(steps in prop::collection::vec((0_u8..5, 0_u64..900, 0_u64..2_000), 1..80)) {
        let mut rests = Rests::default();
        let (mut now_us, mut until_us, mut sent_us) = (SECOND, 0, 0);
        for (what, pause_ms, rest_ms) in steps {
            now_us += pause_ms * MS;
            match what {
                0 => {
                    rests.asked(now_us, ENDPOINT, rest_ms * MS, 7, 0.3);
                    until_us = until_us.max(now_us + rest_ms * MS);
                }
                1 => { rests.note_answered(ENDPOINT, sent_us); }
                2 => rests.note_unanswered(ENDPOINT, sent_us),
                3 => rests.expire(now_us, |_| true),
                _ => {
                    let rest = rests.rest(now_us, ENDPOINT, || rest_ms % 2 == 0);
                    prop_assert!(rest != Rest::Over || now_us >= until_us, "{now_us} {until_us}");
                    if rest == Rest::Over {
                        rests.note_sent(now_us, ENDPOINT);
                        sent_us = now_us;
                    }
                }
            }
        }
        let late_us = until_us.max(now_us) + SECOND;
        prop_assert_eq!(rests.rest(late_us, ENDPOINT, UNUSED), Rest::Over);
    }
}
