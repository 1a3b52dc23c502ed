//! Places given to other instances, until their reports show them.

use std::collections::HashMap;

use proptest::prelude::*;
use ryevalve::{
    balance::{
        balancer::{Balancer, Choice, Placement},
        grants::{Grant, Grants},
        load::{EndpointKey, InFlight},
        load_view::ClusterSize,
    },
    prelude::Incarnation,
};

use crate::support::{MS, ask, entry};

const ONE: Incarnation = Incarnation(1);

fn grant(number: u64, at_us: u64) -> Grant {
    Grant {
        number,
        key: EndpointKey::of("a"),
        uncached_tokens: 10,
        at_us,
    }
}

#[test]
fn a_report_settles_what_was_asked_for_before_it() {
    let mut grants = Grants::default();
    for number in [2, 3, 5] {
        grants.record(ONE, grant(number, 0));
    }
    grants.record(Incarnation(2), grant(1, 0));
    let settled: Vec<u64> = grants
        .take_reported(ONE, 3)
        .iter()
        .map(|g| g.number)
        .collect();
    assert_eq!(settled, vec![2, 3]);
    assert!(grants.take_reported(ONE, 3).is_empty());
    assert_eq!(grants.take_reported(ONE, 9).len(), 1);
}

#[test]
fn a_place_whose_taker_does_not_report_is_free_again() {
    let mut grants = Grants::default();
    grants.record(ONE, grant(1, 0));
    grants.record(ONE, grant(2, 300 * MS));
    assert!(grants.expire(399 * MS).is_empty());
    assert_eq!(grants.expire(400 * MS), vec![grant(1, 0)]);
    assert_eq!(grants.take_reported(ONE, 2), vec![grant(2, 300 * MS)]);
}

/// What happens between whoever gives places and those that ask.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An instance asks; its answer comes with its next word.
    Ask(usize),
    /// It takes the answers that are on their way.
    Take(usize),
    /// The answers that are on their way to it are lost: it gives up.
    Lose(usize),
    /// One of its requests ends.
    End(usize),
    /// It reports.
    Report(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let who = 0_usize..3;
    let one = prop_oneof![
        3 => who.clone().prop_map(Step::Ask),
        3 => who.clone().prop_map(Step::Take),
        1 => who.clone().prop_map(Step::Lose),
        2 => who.clone().prop_map(Step::End),
        2 => who.prop_map(Step::Report),
    ];
    prop::collection::vec(one, 1..100)
}

#[derive(Default)]
struct Taker {
    last_number: u64,
    on_the_way: Vec<(u64, EndpointKey)>,
    has: HashMap<EndpointKey, u32>,
}

impl Taker {
    fn settled(&self) -> u64 {
        let first = self.on_the_way.first();
        first.map_or(self.last_number, |(number, _)| number - 1)
    }

    fn loads(&self) -> Vec<(EndpointKey, InFlight)> {
        let has = self.has.iter().filter(|(_, requests)| **requests > 0);
        has.map(|(key, requests)| {
            let load = InFlight {
                requests: *requests,
                prompt_tokens: 0,
            };
            (*key, load)
        })
        .collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]
    /// Whenever reports come, no request is missed while a place is on its way to its taker, and none is left
    /// once all have reported.
    #[test]
    fn whoever_gives_places_counts_no_fewer_than_there_are(steps in steps()) {
        let mut ledger = Balancer::new("h".into());
        ledger.load_view_mut().set_cluster_size(ClusterSize::Large);
        ledger.load_view_mut().set_hall_aggregator(true);
        for id in ["a", "b"] {
            ledger.upsert_endpoint(entry(id, "h", 100), 1);
        }
        let keys = [EndpointKey::of("a"), EndpointKey::of("b")];
        let mut takers: [Taker; 3] = Default::default();
        let believed = |ledger: &Balancer, key: EndpointKey| {
            ledger.load_view().estimate(0, key, &"model".into(), &"h".into(), true).requests as u32
        };
        let there = |takers: &[Taker; 3], key: EndpointKey| -> u32 {
            takers.iter().map(|t| t.has.get(&key).copied().unwrap_or(0)).sum()
        };
        for (subject, step) in steps.into_iter().enumerate() {
            match step {
                Step::Ask(who) => {
                    let placed = ledger.place(0, &ask(subject as u64, 0, 0, 0), &[]);
                    let Placement::Send(choice) = placed else {
                        return Err(TestCaseError::fail("there is room"));
                    };
                    let Choice { key, .. } = choice;
                    takers[who].last_number += 1;
                    let number = takers[who].last_number;
                    ledger.grant_to_peer(0, &choice, Incarnation(who as u64), number);
                    takers[who].on_the_way.push((number, key));
                }
                Step::Take(who) => {
                    let taken: Vec<_> = takers[who].on_the_way.drain(..).collect();
                    for (_, key) in taken {
                        *takers[who].has.entry(key).or_default() += 1;
                    }
                }
                Step::Lose(who) => takers[who].on_the_way.clear(),
                Step::End(who) => {
                    let first = takers[who].has.values_mut().find(|requests| **requests > 0);
                    if let Some(requests) = first {
                        *requests -= 1;
                    }
                }
                Step::Report(who) => {
                    let (loads, settled) = (takers[who].loads(), takers[who].settled());
                    ledger.apply_grantee_report(0, Incarnation(who as u64), &loads, settled);
                }
            }
            for key in keys {
                prop_assert!(believed(&ledger, key) >= there(&takers, key));
            }
        }
        for (who, taker) in takers.iter_mut().enumerate() {
            taker.on_the_way.clear();
            ledger.apply_grantee_report(0, Incarnation(who as u64), &taker.loads(), taker.settled());
        }
        for key in keys {
            prop_assert_eq!(believed(&ledger, key), there(&takers, key));
        }
    }
}
