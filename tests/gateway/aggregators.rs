//! Selection of aggregators in a large cluster.

use std::{collections::HashSet, sync::Arc};

use ryevalve::{
    gateway::aggregators::{AGGREGATORS, Aggregators},
    peers::{
        datagram::{Digest, Liveness, MemberInfo},
        view::{Member, View},
    },
    prelude::{Incarnation, Name},
};

use crate::support::{MS, SECOND};

const HALLS: [&str; 4] = ["a", "b", "c", "d"];
const HALL_SIZE: u64 = 6;

fn member(number: u64) -> Member {
    let hall = HALLS[(number % 4) as usize];
    let info = MemberInfo {
        name: format!("i{number}").into(),
        incarnation: Incarnation(number + 1),
        peer_addr: format!("10.0.0.{number}:7600").parse().expect("an address"),
        hall: hall.into(),
        data_centre: "one".into(),
        beat: 1,
        leaving: false,
    };
    Member {
        info,
        liveness: Liveness::Alive,
        digest: Digest::default(),
    }
}

fn view_of(number: u64) -> Arc<View> {
    Arc::new(View {
        me: Incarnation(number + 1),
        members: (0..HALL_SIZE * 4).map(member).collect(),
        unmet: Vec::new(),
    })
}

/// Returns the state of an instance to which `silent` have not answered since time 0.
fn aggregators(number: u64, silent: &[Incarnation]) -> Aggregators {
    let mut aggregators = Aggregators::default();
    aggregators.set_view(&view_of(number));
    for one in silent {
        aggregators.expect_answer(0, *one);
    }
    aggregators
}

fn ids(members: &[Member]) -> Vec<Incarnation> {
    members.iter().map(|m| m.info.incarnation).collect()
}

/// Returns the pairs of sender and recipient between the aggregators of different halls.
fn peers(silent: &[Incarnation]) -> Vec<(Incarnation, Incarnation)> {
    let running = (0..HALL_SIZE * 4).filter(|n| !silent.contains(&Incarnation(n + 1)));
    let peer_pairs = running.flat_map(|number| {
        let hall = member(number).info.hall;
        let peers = aggregators(number, silent).remote_peers(3 * SECOND, &hall);
        let peers = ids(&peers).into_iter();
        peers.map(move |recipient| (Incarnation(number + 1), recipient))
    });
    peer_pairs.collect()
}

#[test]
fn all_instances_of_a_hall_select_the_same_two_aggregators() {
    for (index, hall) in HALLS.iter().enumerate() {
        let name = Name::from(*hall);
        let selected: HashSet<Vec<Incarnation>> = (0..HALL_SIZE)
            .map(|n| n * 4 + index as u64)
            .map(|n| ids(&aggregators(n, &[]).of_hall(SECOND, &name, true)))
            .collect();
        assert_eq!(selected.len(), 1, "{selected:?}");
        assert!(selected.iter().all(|pair| pair.len() == AGGREGATORS));
    }
}

#[test]
fn each_aggregator_sends_to_one_aggregator_of_every_other_hall() {
    let peer_pairs = peers(&[]);
    let senders: HashSet<_> = peer_pairs.iter().map(|(sender, _)| *sender).collect();
    assert_eq!(senders.len(), HALLS.len() * AGGREGATORS);
    assert_eq!(
        peer_pairs.len(),
        HALLS.len() * AGGREGATORS * (HALLS.len() - 1)
    );
    let recipients: HashSet<_> = peer_pairs.iter().map(|(_, recipient)| *recipient).collect();
    assert_eq!(recipients, senders, "every sender is also a recipient");
}

#[test]
fn others_replace_failed_aggregators_of_all_halls() {
    let failed: HashSet<_> = peers(&[]).into_iter().map(|(sender, _)| sender).collect();
    let failed: Vec<_> = failed.into_iter().collect();
    let peer_pairs = peers(&failed);
    assert_eq!(
        peer_pairs.len(),
        HALLS.len() * AGGREGATORS * (HALLS.len() - 1)
    );
    let has_failed = |one: &Incarnation| failed.contains(one);
    assert!(
        peer_pairs
            .iter()
            .all(|(sender, recipient)| !has_failed(sender) && !has_failed(recipient))
    );
}

#[test]
fn the_last_instance_of_a_hall_exchanges_with_all_remote_aggregators() {
    let last = Incarnation(1);
    let failed: Vec<_> = (1..HALL_SIZE).map(|n| Incarnation(n * 4 + 1)).collect();
    let peer_pairs = peers(&failed);
    let from_last = peer_pairs
        .iter()
        .filter(|(sender, _)| *sender == last)
        .count();
    assert_eq!(from_last, AGGREGATORS * (HALLS.len() - 1));
    let to_last = peer_pairs
        .iter()
        .filter(|(_, recipient)| *recipient == last)
        .count();
    assert_eq!(to_last, AGGREGATORS * (HALLS.len() - 1));
}

#[test]
fn an_aggregator_that_does_not_answer_is_skipped_for_a_while() {
    let hall = Name::from("a");
    let mut aggregators = aggregators(0, &[]);
    let first = ids(&aggregators.of_hall(0, &hall, true))[0];
    aggregators.expect_answer(0, first);
    assert!(ids(&aggregators.of_hall(600 * MS, &hall, true)).contains(&first));
    assert!(!ids(&aggregators.of_hall(800 * MS, &hall, true)).contains(&first));
    // A further update does not restart the timeout.
    aggregators.expect_answer(900 * MS, first);
    assert!(!ids(&aggregators.of_hall(SECOND, &hall, true)).contains(&first));
    assert!(ids(&aggregators.of_hall(6 * SECOND, &hall, true)).contains(&first));
    aggregators.expect_answer(6 * SECOND, first);
    aggregators.record_answer(first);
    assert!(ids(&aggregators.of_hall(9 * SECOND, &hall, true)).contains(&first));
}

#[test]
fn aggregators_come_from_the_view_if_none_answers() {
    let hall = Name::from("a");
    let all: Vec<_> = (0..HALL_SIZE).map(|n| Incarnation(n * 4 + 1)).collect();
    let selected = aggregators(0, &all).of_hall(SECOND, &hall, true);
    assert_eq!(selected.len(), AGGREGATORS);
}
