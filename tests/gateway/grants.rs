//! Requests granted to other instances, until their load reports include them.

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

use crate::support::{MS, at, entry, placement_request};

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
fn report_releases_grants_up_to_its_number() {
    let mut grants = Grants::default();
    for number in [2, 3, 5] {
        grants.record(ONE, grant(number, 0));
    }
    grants.record(Incarnation(2), grant(1, 0));
    let released: Vec<u64> = grants
        .take_reported(ONE, 3)
        .iter()
        .map(|g| g.number)
        .collect();
    assert_eq!(released, vec![2, 3]);
    assert!(grants.take_reported(ONE, 3).is_empty());
    assert_eq!(grants.take_reported(ONE, 9).len(), 1);
}

#[test]
fn grant_without_a_report_expires() {
    let mut grants = Grants::default();
    grants.record(ONE, grant(1, 0));
    grants.record(ONE, grant(2, 300 * MS));
    assert!(grants.expire(399 * MS).is_empty());
    assert_eq!(grants.expire(400 * MS), vec![grant(1, 0)]);
    assert_eq!(grants.take_reported(ONE, 2), vec![grant(2, 300 * MS)]);
}

/// Steps of the aggregator and the instances that request grants.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An instance requests a grant; the answer is sent with its next message.
    Request(usize),
    /// The instance receives its outstanding answers.
    Receive(usize),
    /// Its outstanding answers are lost, and it gives up on them.
    Lose(usize),
    /// One of its requests ends.
    End(usize),
    /// It reports its load.
    Report(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let who = 0_usize..3;
    let one = prop_oneof![
        3 => who.clone().prop_map(Step::Request),
        3 => who.clone().prop_map(Step::Receive),
        1 => who.clone().prop_map(Step::Lose),
        2 => who.clone().prop_map(Step::End),
        2 => who.prop_map(Step::Report),
    ];
    prop::collection::vec(one, 1..100)
}

#[derive(Default)]
struct Grantee {
    last_number: u64,
    undelivered: Vec<(u64, EndpointKey)>,
    in_flight: HashMap<EndpointKey, u32>,
}

impl Grantee {
    fn settled_number(&self) -> u64 {
        let first = self.undelivered.first();
        first.map_or(self.last_number, |(number, _)| number - 1)
    }

    fn loads(&self) -> Vec<(EndpointKey, InFlight)> {
        let in_flight = self.in_flight.iter().filter(|(_, requests)| **requests > 0);
        in_flight
            .map(|(key, requests)| {
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
    /// Whenever reports arrive, the aggregator misses no request while a grant is on its way, and
    /// counts none too many once all instances have reported.
    #[test]
    fn aggregator_never_counts_fewer_requests_than_there_are(steps in steps()) {
        let mut aggregator = Balancer::new("h".into());
        aggregator.load_view_mut().set_cluster_size(ClusterSize::Large);
        aggregator.load_view_mut().set_hall_aggregator(true);
        for id in ["a", "b"] {
            aggregator.upsert_endpoint(entry(id, "h", 100), at(1));
        }
        let keys = [EndpointKey::of("a"), EndpointKey::of("b")];
        let mut grantees: [Grantee; 3] = Default::default();
        let estimated = |aggregator: &Balancer, key: EndpointKey| {
            aggregator.load_view().estimate(0, key, &"model".into(), &"h".into(), true).requests as u32
        };
        let actual = |grantees: &[Grantee; 3], key: EndpointKey| -> u32 {
            grantees.iter().map(|t| t.in_flight.get(&key).copied().unwrap_or(0)).sum()
        };
        for (subject, step) in steps.into_iter().enumerate() {
            match step {
                Step::Request(who) => {
                    let placed = aggregator.place(0, &placement_request(subject as u64, 0, 0, 0), &[]);
                    let Placement::Send(choice) = placed else {
                        return Err(TestCaseError::fail("there is room"));
                    };
                    let Choice { key, .. } = choice;
                    grantees[who].last_number += 1;
                    let number = grantees[who].last_number;
                    aggregator.grant_to_peer(0, &choice, Incarnation(who as u64), number);
                    grantees[who].undelivered.push((number, key));
                }
                Step::Receive(who) => {
                    let received: Vec<_> = grantees[who].undelivered.drain(..).collect();
                    for (_, key) in received {
                        *grantees[who].in_flight.entry(key).or_default() += 1;
                    }
                }
                Step::Lose(who) => grantees[who].undelivered.clear(),
                Step::End(who) => {
                    let first = grantees[who].in_flight.values_mut().find(|requests| **requests > 0);
                    if let Some(requests) = first {
                        *requests -= 1;
                    }
                }
                Step::Report(who) => {
                    let (loads, settled_number) = (grantees[who].loads(), grantees[who].settled_number());
                    aggregator.apply_grantee_report(0, Incarnation(who as u64), &loads, settled_number);
                }
            }
            for key in keys {
                prop_assert!(estimated(&aggregator, key) >= actual(&grantees, key));
            }
        }
        for (who, grantee) in grantees.iter_mut().enumerate() {
            grantee.undelivered.clear();
            aggregator.apply_grantee_report(0, Incarnation(who as u64), &grantee.loads(), grantee.settled_number());
        }
        for key in keys {
            prop_assert_eq!(estimated(&aggregator, key), actual(&grantees, key));
        }
    }
}
