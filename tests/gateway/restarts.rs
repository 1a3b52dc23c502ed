//! Endpoints that restart under the same id.
//!
//! Guards against taking an id for one incarnation: an endpoint that crashed and came back within
//! its heartbeats was never seen to go, so its new incarnation inherited cached prompts that it no
//! longer held, requests that had died, failures and kept connections. A late write of the earlier
//! incarnation could also replace the new one's address or drain state.

use proptest::prelude::*;
use ryevalve::{
    balance::{
        balancer::Balancer,
        discovery::{Change, Discovery, EndpointEntry},
        load::{EndpointKey, InFlight},
    },
    platform::objects::{Changes, Event, Metadata, Object},
};

use crate::support::{SECOND, at, entry, placement_request};

fn incarnation(id: &str, born_ms: u64) -> EndpointEntry {
    EndpointEntry {
        born_ms,
        ..entry(id, "h", 4)
    }
}

#[test]
fn later_incarnation_replaces_an_earlier_one_for_good() {
    let mut set = Discovery::default();
    assert_eq!(
        set.upsert(incarnation("a", 100), at(5)),
        Some(Change::Appeared)
    );
    assert_eq!(
        set.upsert(incarnation("a", 200), at(6)),
        Some(Change::Restarted)
    );
    // A late write of the earlier incarnation.
    let mut late = incarnation("a", 100);
    late.draining = true;
    assert_eq!(set.upsert(late.clone(), at(7)), None);
    assert_eq!(set.get("a").unwrap().born_ms, 200);
    assert_eq!(set.mark_removed(SECOND, "a", at(8)), Some(Change::Gone));
    assert_eq!(set.upsert(late, at(9)), None);
    assert!(set.get("a").is_none());
    assert_eq!(
        set.upsert(incarnation("a", 300), at(10)),
        Some(Change::Appeared)
    );
}

#[test]
fn later_incarnation_wins_even_at_an_older_revision() {
    let mut set = Discovery::default();
    set.upsert(incarnation("a", 100), at(9));
    assert_eq!(
        set.upsert(incarnation("a", 200), at(6)),
        Some(Change::Restarted)
    );
}

#[test]
fn later_incarnation_does_not_inherit_a_lapse() {
    let mut set = Discovery::default();
    set.upsert(incarnation("a", 100), at(1));
    set.store_was_unreachable(SECOND);
    assert_eq!(set.mark_removed(SECOND, "a", at(2)), Some(Change::Lapsed));
    assert_eq!(
        set.upsert(incarnation("a", 200), at(3)),
        Some(Change::Restarted)
    );
    assert!(set.expire(60 * SECOND).is_empty());
}

#[test]
fn state_of_one_incarnation_does_not_apply_to_the_next() {
    let mut balancer = Balancer::new("h".into());
    balancer.upsert_endpoint(incarnation("a", 100), at(1));
    let previous = balancer.key_of("a").unwrap();
    let busy = InFlight {
        requests: 3,
        prompt_tokens: 9_000,
    };
    balancer.apply_peer_update(
        0,
        ryevalve::prelude::Incarnation(7),
        &[(previous, busy)],
        &[],
        &[],
    );
    balancer.update_speed(previous, |s| s.record_unreachable(0));
    let request = placement_request(1, 4_000, 0, 0);
    let cached_chains: Vec<_> = request.chains.iter().map(|(c, _)| (*c, previous)).collect();
    balancer.apply_peer_observations(0, &cached_chains, &[]);

    assert_eq!(
        balancer.upsert_endpoint(incarnation("a", 200), at(2)),
        Some(Change::Restarted)
    );
    assert!(balancer.entry(previous).is_none());
    let placed = balancer.place(0, &request, &[]);
    let ryevalve::balance::balancer::Placement::Send(choice) = placed else {
        panic!("{placed:?}");
    };
    assert_ne!(choice.key, previous);
    assert_eq!(choice.expected.uncached_tokens, 4_000);
    assert!(choice.expected.there < 0.5, "{:?}", choice.expected);
    assert!(choice.expected.cost < 0.5, "{:?}", choice.expected);
    // Another instance's report that the earlier incarnation is gone arrives late.
    balancer.remove_dead_endpoints(&[previous]);
    assert_eq!(balancer.key_of("a"), Some(choice.key));
}

#[test]
fn key_without_a_start_time_is_that_of_the_id() {
    assert_eq!(EndpointKey::of_incarnation("a", 0), EndpointKey::of("a"));
    assert_ne!(
        EndpointKey::of_incarnation("a", 1),
        EndpointKey::of_incarnation("a", 2)
    );
}

/// An entry that was deleted and created again between two answers of a watch was treated as
/// removed: the removal got the revision of the whole answer, and changes older than a removal are
/// ignored.
#[test]
fn removal_is_not_newer_than_a_later_creation() {
    let object = |name: &str, revision| {
        Event::Changed(Object::<()> {
            metadata: Metadata {
                name: name.into(),
                revision,
                ..Metadata::default()
            },
            spec: None,
            status: None,
        })
    };
    let changes = Changes {
        events: vec![
            object("b", 10),
            Event::Deleted("a".into()),
            object("a", 12),
            Event::Deleted("b".into()),
        ],
        position: at(15),
    };
    assert_eq!(changes.latest_positions(), [11, 11, 15, 15].map(at));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// An endpoint restarts.
    Restart(usize),
    /// A write of the previous incarnation arrives late.
    LateWrite(usize),
    /// Its entry is deleted.
    Remove(usize),
    /// One of two instances gets the changes since its last watch.
    Watch(usize),
    /// An instance applies another's delta.
    ApplyDelta(usize, usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let id = 0_usize..4;
    let one = prop_oneof![
        id.clone().prop_map(Step::Restart),
        id.clone().prop_map(Step::LateWrite),
        id.prop_map(Step::Remove),
        (0_usize..2).prop_map(Step::Watch),
        (0_usize..3, 0_usize..3).prop_map(|(one, other)| Step::ApplyDelta(one, other)),
    ];
    prop::collection::vec(one, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    /// Whatever arrives late, by watches or deltas, no instance returns to an earlier incarnation
    /// of an endpoint.
    #[test]
    fn no_instance_returns_to_an_earlier_incarnation(steps in steps()) {
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
                    let unseen = history.iter().filter(|(at, _, _)| *at > watched[one]);
                    for (changed_at, index, born_ms) in unseen {
                        let id = format!("e{index}");
                        match born_ms {
                            Some(born_ms) => sets[one].upsert(incarnation(&id, *born_ms), at(*changed_at)),
                            None => sets[one].mark_removed(SECOND, &id, at(*changed_at)),
                        };
                    }
                    watched[one] = history.len() as u64;
                    sets[one].advance_to(at(watched[one]));
                }
                Step::ApplyDelta(one, other) => {
                    let delta = sets[other].delta_since(SECOND, sets[one].position());
                    sets[one].apply_delta(SECOND, delta);
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
