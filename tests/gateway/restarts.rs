//! Endpoints that start again under their id.
//!
//! The story: an id was taken for one start of an endpoint. One that crashed and came back under its id within
//! its heartbeats was never seen to go, so what was learned of the start before stood for it: prompts that it
//! no longer held, requests that had died with it, failures, and kept connections. What the start before had
//! written could land in the store after that, and its address or its drain was then taken for the new one's.

use proptest::prelude::*;
use ryevalve::{
    balance::{
        balancer::Balancer,
        discovery::{Change, Discovery, EndpointEntry},
        load::{EndpointKey, InFlight},
    },
    platform::objects::{Changes, Event, Metadata, Object},
};

use crate::support::{SECOND, ask, entry};

fn start(id: &str, born_ms: u64) -> EndpointEntry {
    EndpointEntry {
        born_ms,
        ..entry(id, "h", 4)
    }
}

#[test]
fn a_later_start_replaces_an_earlier_one_which_never_comes_back() {
    let mut set = Discovery::default();
    assert_eq!(set.upsert(start("a", 100), 5), Some(Change::Appeared));
    assert_eq!(set.upsert(start("a", 200), 6), Some(Change::Restarted));
    // The start before wrote this, and it landed late.
    let mut late = start("a", 100);
    late.draining = true;
    assert_eq!(set.upsert(late.clone(), 7), None);
    assert_eq!(set.get("a").unwrap().born_ms, 200);
    assert_eq!(set.mark_removed(SECOND, "a", 8), Some(Change::Gone));
    assert_eq!(set.upsert(late, 9), None);
    assert!(set.get("a").is_none());
    assert_eq!(set.upsert(start("a", 300), 10), Some(Change::Appeared));
}

#[test]
fn a_later_start_is_taken_though_news_of_it_comes_late() {
    let mut set = Discovery::default();
    set.upsert(start("a", 100), 9);
    assert_eq!(set.upsert(start("a", 200), 6), Some(Change::Restarted));
}

#[test]
fn a_later_start_whose_entry_had_lapsed_is_no_lapsed_one() {
    let mut set = Discovery::default();
    set.upsert(start("a", 100), 1);
    set.store_was_unreachable(SECOND);
    assert_eq!(set.mark_removed(SECOND, "a", 2), Some(Change::Lapsed));
    assert_eq!(set.upsert(start("a", 200), 3), Some(Change::Restarted));
    assert!(set.expire(60 * SECOND).is_empty());
}

#[test]
fn what_was_learned_and_believed_of_one_start_says_nothing_of_the_next() {
    let mut balancer = Balancer::new("h".into());
    balancer.upsert_endpoint(start("a", 100), 1);
    let before = balancer.key_of("a").unwrap();
    let busy = InFlight {
        requests: 3,
        prompt_tokens: 9_000,
    };
    balancer.apply_peer_update(
        0,
        ryevalve::prelude::Incarnation(7),
        &[(before, busy)],
        &[],
        &[],
    );
    balancer.update_speed(before, |s| s.record_unreachable(0));
    let asked = ask(1, 4_000, 0, 0);
    let news: Vec<_> = asked.chains.iter().map(|(c, _)| (*c, before)).collect();
    balancer.apply_peer_observations(0, &news, &[]);

    assert_eq!(
        balancer.upsert_endpoint(start("a", 200), 2),
        Some(Change::Restarted)
    );
    assert!(balancer.entry(before).is_none());
    let placed = balancer.place(0, &asked, &[]);
    let ryevalve::balance::balancer::Placement::Send(choice) = placed else {
        panic!("{placed:?}");
    };
    assert_ne!(choice.key, before);
    assert_eq!(choice.expected.uncached_tokens, 4_000);
    assert!(choice.expected.there < 0.5, "{:?}", choice.expected);
    assert!(choice.expected.cost < 0.5, "{:?}", choice.expected);
    // Word of the start before, found dead by another instance, comes late.
    balancer.remove_dead_endpoints(&[before]);
    assert_eq!(balancer.key_of("a"), Some(choice.key));
}

#[test]
fn starts_of_endpoints_that_do_not_say_when_they_began_have_the_key_of_their_id() {
    assert_eq!(EndpointKey::of_incarnation("a", 0), EndpointKey::of("a"));
    assert_ne!(
        EndpointKey::of_incarnation("a", 1),
        EndpointKey::of_incarnation("a", 2)
    );
}

/// An entry that went and was made again between two answers of a watch was taken for gone: the removal bore the
/// revision of the whole answer, and whatever is older than a removal is passed over.
#[test]
fn a_removal_is_not_later_than_what_was_made_after_it() {
    let object = |name: &str, revision| {
        Event::Changed(Object::<()> {
            metadata: Metadata {
                name: name.into(),
                revision,
            },
            spec: None,
        })
    };
    let changes = Changes {
        events: vec![
            object("b", 10),
            Event::Deleted("a".into()),
            object("a", 12),
            Event::Deleted("b".into()),
        ],
        revision: 15,
    };
    assert_eq!(changes.done_by(), vec![11, 11, 15, 15]);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// An endpoint starts again.
    Restart(usize),
    /// What a start before wrote lands late.
    LateWrite(usize),
    /// Its entry goes.
    Remove(usize),
    /// One of two instances gets what has changed since it asked last.
    Watch(usize),
    /// An instance takes another's copy.
    Copy(usize, usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let id = 0_usize..4;
    let one = prop_oneof![
        id.clone().prop_map(Step::Restart),
        id.clone().prop_map(Step::LateWrite),
        id.prop_map(Step::Remove),
        (0_usize..2).prop_map(Step::Watch),
        (0_usize..3, 0_usize..3).prop_map(|(one, other)| Step::Copy(one, other)),
    ];
    prop::collection::vec(one, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    /// Whatever comes late, by watches or copies, no instance goes back to an earlier start of an endpoint, and
    /// one that has heard all knows the latest.
    #[test]
    fn no_instance_goes_back_to_an_earlier_start(steps in steps()) {
        let mut sets = [Discovery::default(), Discovery::default(), Discovery::default()];
        let mut highest = [[0_u64; 4]; 3];
        let mut watched = [0_u64; 2];
        let mut history: Vec<(u64, usize, Option<u64>)> = Vec::new();
        let mut latest = [0_u64; 4];
        for step in steps {
            let revision = history.len() as u64 + 1;
            match step {
                Step::Restart(index) => {
                    latest[index] += 1;
                    history.push((revision, index, Some(latest[index])));
                }
                Step::LateWrite(index) if latest[index] > 1 => {
                    history.push((revision, index, Some(latest[index] - 1)));
                }
                Step::LateWrite(_) => {}
                Step::Remove(index) => history.push((revision, index, None)),
                Step::Watch(one) => {
                    let news = history.iter().filter(|(at, _, _)| *at > watched[one]);
                    for (at, index, born_ms) in news {
                        let id = format!("e{index}");
                        match born_ms {
                            Some(born_ms) => sets[one].upsert(start(&id, *born_ms), *at),
                            None => sets[one].mark_removed(SECOND, &id, *at),
                        };
                    }
                    watched[one] = history.len() as u64;
                    sets[one].advance_to(watched[one]);
                }
                Step::Copy(one, other) => {
                    let copy = sets[other].delta_since(sets[one].revision());
                    sets[one].apply_delta(SECOND, copy);
                }
            }
            for (set, highest) in sets.iter().zip(&mut highest) {
                for (index, highest) in highest.iter_mut().enumerate() {
                    let known = set.get(&format!("e{index}")).map(|e| e.born_ms);
                    if let Some(known) = known {
                        prop_assert!(known >= *highest, "e{} went from {} to {}", index, highest, known);
                        *highest = known;
                    }
                }
            }
        }
    }
}
