//! What is known of limits that endpoints name, what instances tell each other of them, and what is placed by it.

use assert_matches::assert_matches;
use proptest::prelude::*;
use ryevalve::{
    balance::{
        balancer::{Balancer, Choice, ENDPOINT_LIMITS, Placement},
        discovery::EndpointEntry,
        load::EndpointKey,
        load_view::ClusterSize,
    },
    limits::{
        permits::{Permit, PermitGiver},
        rate::{LimitWord, RequestRate},
        standings::{EndpointStandings, ToldStanding},
        telling::Audience,
    },
};

use crate::support::{SECOND, ask, entry};

const ENDPOINT: EndpointKey = EndpointKey(3);

fn rate(text: &str) -> RequestRate {
    RequestRate::parse(text).expect("a rate")
}

fn named(text: &str) -> LimitWord {
    LimitWord::Named(rate(text))
}

fn limit(limits: &EndpointStandings) -> Option<String> {
    limits.rate(ENDPOINT).map(|rate| rate.to_string())
}

/// Says a word to a request that was sent knowing all that is known.
fn hear(limits: &mut EndpointStandings, word: &LimitWord) {
    let version = limits.version(ENDPOINT);
    limits.heard(SECOND, ENDPOINT, version, word);
}

fn told(limits: &mut EndpointStandings, now_us: u64) -> Vec<ToldStanding> {
    limits.take_told(now_us, Audience::Peers, |_| true)
}

#[test]
fn a_rate_is_a_decimal_number_and_nothing_else() {
    for (text, per_s) in [
        ("1.8", 1.8),
        ("2", 2.0),
        ("0", 0.0),
        ("0.0004", 0.0),
        (".5", 0.5),
    ] {
        assert_eq!(rate(text).per_s(), per_s, "{text}");
    }
    for text in [
        "", ".", "-1", "+1", "1e3", "inf", "NaN", "1,5", "1.2.3", "0x10", "1 2", "٣",
    ] {
        assert_eq!(RequestRate::parse(text), None, "{text}");
    }
    assert!(
        rate("99999999999999999999").per_s() > 1e6,
        "cut, not spoiled"
    );
}

#[test]
fn a_lower_word_holds_at_once_and_a_higher_one_only_if_it_is_known_to_be_later() {
    let mut limits = EndpointStandings::default();
    hear(&mut limits, &named("4"));
    let early = limits.version(ENDPOINT);
    hear(&mut limits, &named("2"));
    assert_eq!(limit(&limits).as_deref(), Some("2.000"));
    // Answers to requests that were sent before it was lowered overtake nothing.
    for word in [named("4"), LimitWord::Free] {
        limits.heard(SECOND, ENDPOINT, early, &word);
        assert_eq!(limit(&limits).as_deref(), Some("2.000"));
    }
    limits.heard(SECOND, ENDPOINT, early, &named("1"));
    assert_eq!(limit(&limits).as_deref(), Some("1.000"), "it may be later");
    hear(&mut limits, &named("3"));
    assert_eq!(limit(&limits).as_deref(), Some("3.000"));
    hear(&mut limits, &LimitWord::Free);
    assert_eq!(limit(&limits), None);
    assert!(!limits.has_limits());
    limits.heard(SECOND, ENDPOINT, early, &named("3"));
    assert_eq!(limit(&limits).as_deref(), Some("3.000"), "named again");
}

#[test]
fn a_word_that_cannot_be_read_changes_nothing_and_is_noted_once() {
    let mut limits = EndpointStandings::default();
    hear(&mut limits, &named("4"));
    let spoiled = LimitWord::Unreadable("four".into());
    hear(&mut limits, &spoiled);
    assert_eq!(limit(&limits).as_deref(), Some("4.000"));
    assert!(limits.note_unreadable(ENDPOINT));
    assert!(!limits.note_unreadable(ENDPOINT));
    hear(&mut limits, &named("4"));
    assert!(
        limits.note_unreadable(ENDPOINT),
        "a sound word came between"
    );
}

#[test]
fn one_that_knows_less_is_told_and_what_is_over_is_not_told_for_ever() {
    let (mut one, mut other) = (EndpointStandings::default(), EndpointStandings::default());
    hear(&mut one, &named("4"));
    let late = told(&mut one, SECOND);
    other.told(SECOND, &late);
    hear(&mut other, &LimitWord::Free);
    for round in 2..20 {
        told(&mut other, round * SECOND);
    }
    assert_eq!(told(&mut other, 20 * SECOND), [], "it is over");
    other.told(20 * SECOND, &late);
    assert_eq!(limit(&other), None, "late word of what is over");
    one.told(21 * SECOND, &told(&mut other, 21 * SECOND));
    assert_eq!(limit(&one), None);
}

#[test]
fn a_limit_that_stands_is_told_again_and_again_but_not_of_endpoints_in_no_list() {
    let mut limits = EndpointStandings::default();
    hear(&mut limits, &named("4"));
    for round in 1..10 {
        let now_us = round * 2 * SECOND;
        assert_eq!(told(&mut limits, now_us).len(), 1);
        assert_eq!(limits.take_told(now_us + 1, Audience::Hall, |_| false), []);
    }
    limits.expire(30 * SECOND, |_| true);
    limits.expire(59 * SECOND, |_| false);
    assert_eq!(limit(&limits).as_deref(), Some("4.000"));
    limits.expire(60 * SECOND, |_| false);
    assert_eq!(limit(&limits), None);
}

#[test]
fn memory_for_limits_is_bounded() {
    let mut limits = EndpointStandings::default();
    for number in 0..10_000 {
        limits.heard(SECOND, EndpointKey(number), 0, &named("1"));
    }
    assert_eq!(limits.limited(), 4_096);
}

#[test]
fn permits_come_at_the_rate_and_few_are_saved() {
    let mut giver = PermitGiver::default();
    let mut given = |now_us: u64| giver.give(now_us, ENDPOINT, rate("2"), 0) == Permit::Given;
    assert!(given(0), "one at once");
    assert!(!given(100_000));
    assert!(given(500_000));
    // After a pause one is due, and as many are saved as one and a half and a quarter of a second make.
    let after_pause = (0..5).filter(|n| given(60 * SECOND + n)).count();
    assert_eq!(after_pause, 3);
}

/// Urgent and other requests that ask ten times a second each, for more than an endpoint takes.
#[test]
fn what_is_due_goes_to_the_more_urgent_first_and_whole_to_the_others_if_they_are_alone() {
    let given_of = |asks: &[(u8, u64)], of: u8| {
        let mut giver = PermitGiver::default();
        let mut given = 0;
        for tenth in 0..600_u64 {
            let due = asks.iter().filter(|(_, every)| tenth % every == 0);
            for (rank, _) in due {
                let permit = giver.give(tenth * SECOND / 10, ENDPOINT, rate("2"), *rank);
                given += u32::from(permit == Permit::Given && *rank == of);
            }
        }
        given
    };
    assert!(given_of(&[(2, 1)], 2) >= 118, "alone, of 120");
    let both = [(2, 1), (0, 1)];
    assert!(given_of(&both, 0) >= 115 && given_of(&both, 2) <= 5);
    // The urgent ask for half of it.
    let both = [(2, 1), (0, 10)];
    assert!(given_of(&both, 0) >= 58 && given_of(&both, 2) >= 50);
}

#[test]
fn one_that_gets_no_permit_hears_when_to_ask_again_later_the_more_ask() {
    let mut giver = PermitGiver::default();
    giver.give(0, ENDPOINT, rate("2"), 0);
    let mut waits = (0..10).map(|_| match giver.give(0, ENDPOINT, rate("2"), 0) {
        Permit::Denied { wait_us } => wait_us,
        Permit::Given => panic!("none is due"),
    });
    assert_eq!(waits.next(), Some(SECOND / 2));
    assert_eq!(waits.next(), Some(SECOND * 3 / 4));
    assert_eq!(waits.last(), Some(2 * SECOND), "and no longer than that");
}

#[test]
fn an_endpoint_that_takes_nothing_is_still_asked_now_and_then() {
    let mut giver = PermitGiver::default();
    let given =
        (0..600).filter(|n| giver.give(n * SECOND / 10, ENDPOINT, rate("0"), 0) == Permit::Given);
    assert_eq!(given.count(), 12, "once in five seconds of a minute");
}

#[test]
fn a_raised_rate_holds_at_once_and_a_permit_that_is_given_back_is_due_again() {
    let mut giver = PermitGiver::default();
    assert_eq!(giver.give(0, ENDPOINT, rate("0"), 0), Permit::Given);
    let denied = giver.give(SECOND, ENDPOINT, rate("0"), 0);
    assert_matches!(denied, Permit::Denied { .. });
    assert_eq!(
        giver.give(SECOND * 2, ENDPOINT, rate("10"), 0),
        Permit::Denied { wait_us: 150_000 },
        "due in 100 ms, and one has been denied before"
    );
    assert_eq!(
        giver.give(SECOND * 21 / 10, ENDPOINT, rate("10"), 0),
        Permit::Given
    );
    giver.take_back(ENDPOINT, rate("10"));
    assert_eq!(
        giver.give(SECOND * 21 / 10, ENDPOINT, rate("10"), 0),
        Permit::Given
    );
}

/// A balancer of two endpoints of its hall, one of which names a limit.
fn balancer() -> Balancer {
    let mut balancer = Balancer::new("here".into());
    for id in ["free", "limited"] {
        balancer.upsert_endpoint(entry(id, "here", 4), 1);
    }
    let key = EndpointKey::of("limited");
    balancer.record_limit(0, key, 0, &named("2"));
    balancer
}

fn sent(placement: Placement) -> Choice {
    assert_matches!(placement, Placement::Send(choice) => choice)
}

#[test]
fn without_a_permit_a_request_goes_elsewhere_and_only_where_there_is_nothing_else_it_is_refused() {
    let mut balancer = balancer();
    let limited = EndpointKey::of("limited");
    for subject in 0..4 {
        let choice = sent(balancer.place(0, &ask(subject, 100, 0, 0), &[]));
        assert_eq!(&*choice.id, "free");
    }
    // The other is full by now.
    let next = ask(9, 100, 0, 0);
    assert_eq!(balancer.permit_candidate(0, &next, &[]), Some(limited));
    let choice = sent(balancer.place_with_permit(0, &next, &[], Some(limited)));
    assert_eq!(choice.key, limited);
    let tried = [EndpointKey::of("free")];
    let refused = balancer.place(0, &next, &tried);
    assert_matches!(refused, Placement::Refuse { reason: ENDPOINT_LIMITS, retry_after_ms } if retry_after_ms >= 150);
    assert_eq!(
        balancer.permit_candidate(0, &next, &[limited]),
        None,
        "tried"
    );
}

#[test]
fn whoever_has_no_permit_is_not_asked_again_before_its_time() {
    let mut balancer = balancer();
    let limited = EndpointKey::of("limited");
    let tried = [EndpointKey::of("free")];
    let request = ask(1, 100, 1, 0);
    let urgent = ask(1, 100, 0, 0);
    balancer.record_permit_denial(limited, 1, SECOND);
    assert_eq!(
        balancer.permit_candidate(SECOND - 1, &request, &tried),
        None
    );
    assert_eq!(
        balancer.permit_candidate(SECOND - 1, &urgent, &tried),
        Some(limited)
    );
    assert_eq!(
        balancer.permit_candidate(SECOND, &request, &tried),
        Some(limited)
    );
    balancer.record_permit_denial(limited, 1, 9 * SECOND);
    // A limit that has changed may be asked for at once.
    balancer.record_limit(SECOND, limited, 1, &named("4"));
    assert_eq!(
        balancer.permit_candidate(SECOND, &request, &tried),
        Some(limited)
    );
}

#[test]
fn a_later_start_of_an_endpoint_has_no_limit_of_the_one_before() {
    let mut balancer = balancer();
    let born = |born_ms: u64| EndpointEntry {
        born_ms,
        ..entry("limited", "here", 4)
    };
    balancer.upsert_endpoint(born(100), 2);
    assert!(!balancer.standings().has_limits());
    let later = EndpointKey::of_incarnation("limited", 100);
    // An answer of the start before comes late.
    assert_eq!(
        balancer.record_limit(SECOND, EndpointKey::of("limited"), 0, &named("1")),
        None
    );
    let tried = [EndpointKey::of("free")];
    let choice = sent(balancer.place(0, &ask(1, 100, 0, 0), &tried));
    assert_eq!(choice.key, later);
}

/// Instances that were told of a limit keep to it though the endpoint's entry is away for some seconds.
#[test]
fn an_endpoint_whose_entry_lapsed_and_came_back_has_its_limit_still() {
    let mut balancer = balancer();
    balancer.store_was_unreachable(SECOND);
    balancer.remove_endpoint(SECOND, "limited", 2);
    let (gone, _) = balancer.tick(5 * SECOND);
    assert_eq!(gone, ["limited".into()]);
    balancer.upsert_endpoint(entry("limited", "here", 4), 3);
    let tried = [EndpointKey::of("free")];
    let refused = balancer.place(6 * SECOND, &ask(1, 100, 0, 6 * SECOND), &tried);
    assert_matches!(
        refused,
        Placement::Refuse {
            reason: ENDPOINT_LIMITS,
            ..
        }
    );
}

#[test]
fn in_a_large_group_endpoints_that_need_permits_take_no_place_among_those_looked_at() {
    let mut balancer = Balancer::new("here".into());
    balancer
        .load_view_mut()
        .set_cluster_size(ClusterSize::Large);
    for number in 0..40 {
        let id = format!("limited-{number}");
        balancer.upsert_endpoint(entry(&id, "here", 4), 1);
        balancer.record_limit(0, EndpointKey::of(&id), 0, &named("1"));
    }
    balancer.upsert_endpoint(entry("free", "here", 4), 1);
    for draw in 0..20 {
        let request = ask(draw, 100, 0, 0);
        let choice = sent(balancer.place(0, &request, &[]));
        assert_eq!(&*choice.id, "free");
        balancer.end(choice.key, 100, None);
    }
}

/// What the endpoint says, to whom, and which words between instances come.
#[derive(Clone, Debug)]
enum Step {
    Says {
        to: usize,
        milli_per_s: Option<u16>,
        is_late: bool,
    },
    Tells {
        from: usize,
        to: usize,
    },
    TellsAgain {
        word: usize,
        to: usize,
    },
}

const INSTANCES: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    let says = (0..INSTANCES, proptest::option::of(1..4_u16), any::<bool>());
    prop_oneof![
        says.prop_map(|(to, milli_per_s, is_late)| Step::Says {
            to,
            milli_per_s,
            is_late
        }),
        (0..INSTANCES, 0..INSTANCES).prop_map(|(from, to)| Step::Tells { from, to }),
        (0..8_usize, 0..INSTANCES).prop_map(|(word, to)| Step::TellsAgain { word, to }),
    ]
}

proptest! {
    /// Whatever was said and told, late, twice or not at all: once all have told all, they know the same, and one
    /// more word of the endpoint to any of them that knows it is what all know in the end.
    #[test]
    fn instances_come_to_know_what_the_endpoint_said_last(
        steps in proptest::collection::vec(step(), 1..40),
        last_to in 0..INSTANCES,
        last in proptest::option::of(1..4_u16),
    ) {
        let word = |milli_per_s: Option<u16>| {
            milli_per_s.map_or(LimitWord::Free, |m| named(&format!("0.00{m}")))
        };
        let mut all: Vec<EndpointStandings> = (0..INSTANCES).map(|_| EndpointStandings::default()).collect();
        let mut words: Vec<Vec<ToldStanding>> = Vec::new();
        let mut now_us = 0;
        for step in steps {
            now_us += 2 * SECOND;
            match step {
                Step::Says { to, milli_per_s, is_late } => {
                    let version = all[to].version(ENDPOINT);
                    let sent_at = if is_late { version.saturating_sub(1) } else { version };
                    all[to].heard(now_us, ENDPOINT, sent_at, &word(milli_per_s));
                }
                Step::Tells { from, to } => {
                    let told = told(&mut all[from], now_us);
                    all[to].told(now_us, &told);
                    words.push(told);
                }
                Step::TellsAgain { word, to } => {
                    if let Some(told) = words.get(word) {
                        all[to].told(now_us, told);
                    }
                }
            }
        }
        let mut tell_all = |all: &mut Vec<EndpointStandings>| {
            for _ in 0..2 * INSTANCES {
                now_us += 2 * SECOND;
                for from in 0..INSTANCES {
                    let told = told(&mut all[from], now_us);
                    all.iter_mut().for_each(|to| drop(to.told(now_us, &told)));
                }
            }
        };
        tell_all(&mut all);
        for other in &all[1..] {
            prop_assert_eq!(other.rate(ENDPOINT), all[0].rate(ENDPOINT));
        }
        hear(&mut all[last_to], &word(last));
        tell_all(&mut all);
        for one in &all {
            let said = last.map(|m| rate(&format!("0.00{m}")));
            prop_assert_eq!(one.rate(ENDPOINT), said);
        }
    }
}
