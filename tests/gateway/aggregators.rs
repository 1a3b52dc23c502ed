//! Whom the instances of a large group tell.

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
const IN_HALL: u64 = 6;

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
        members: (0..IN_HALL * 4).map(member).collect(),
        unmet: Vec::new(),
    })
}

/// What an instance sees after it told `silent` for some seconds without an answer.
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

/// Returns whom the aggregators of all halls tell in other halls, as (who, whom).
fn peers(silent: &[Incarnation]) -> Vec<(Incarnation, Incarnation)> {
    let running = (0..IN_HALL * 4).filter(|n| !silent.contains(&Incarnation(n + 1)));
    let told = running.flat_map(|number| {
        let hall = member(number).info.hall;
        let peers = aggregators(number, silent).remote_peers(3 * SECOND, &hall);
        let peers = ids(&peers).into_iter();
        peers.map(move |whom| (Incarnation(number + 1), whom))
    });
    told.collect()
}

#[test]
fn all_of_a_hall_report_to_the_same_two() {
    for (place, hall) in HALLS.iter().enumerate() {
        let name = Name::from(*hall);
        let seen: HashSet<Vec<Incarnation>> = (0..IN_HALL)
            .map(|n| n * 4 + place as u64)
            .map(|n| ids(&aggregators(n, &[]).of_hall(SECOND, &name, true)))
            .collect();
        assert_eq!(seen.len(), 1, "{seen:?}");
        assert!(seen.iter().all(|two| two.len() == AGGREGATORS));
    }
}

#[test]
fn two_of_each_hall_tell_one_each_of_every_other_hall() {
    let told = peers(&[]);
    let tellers: HashSet<_> = told.iter().map(|(who, _)| *who).collect();
    assert_eq!(tellers.len(), HALLS.len() * AGGREGATORS);
    assert_eq!(told.len(), HALLS.len() * AGGREGATORS * (HALLS.len() - 1));
    let listeners: HashSet<_> = told.iter().map(|(_, whom)| *whom).collect();
    assert_eq!(listeners, tellers, "who tells is told");
}

#[test]
fn the_loss_of_every_aggregator_is_made_good() {
    let lost: HashSet<_> = peers(&[]).into_iter().map(|(who, _)| who).collect();
    let lost: Vec<_> = lost.into_iter().collect();
    let told = peers(&lost);
    assert_eq!(told.len(), HALLS.len() * AGGREGATORS * (HALLS.len() - 1));
    let is_lost = |one: &Incarnation| lost.contains(one);
    assert!(
        told.iter()
            .all(|(who, whom)| !is_lost(who) && !is_lost(whom))
    );
}

#[test]
fn the_last_of_a_hall_tells_and_is_told_by_all() {
    let last = Incarnation(1);
    let lost: Vec<_> = (1..IN_HALL).map(|n| Incarnation(n * 4 + 1)).collect();
    let told = peers(&lost);
    let by_last = told.iter().filter(|(who, _)| *who == last).count();
    assert_eq!(by_last, AGGREGATORS * (HALLS.len() - 1));
    let to_last = told.iter().filter(|(_, whom)| *whom == last).count();
    assert_eq!(to_last, AGGREGATORS * (HALLS.len() - 1));
}

#[test]
fn one_that_does_not_answer_is_passed_over_for_a_while() {
    let hall = Name::from("a");
    let mut seen = aggregators(0, &[]);
    let first = ids(&seen.of_hall(0, &hall, true))[0];
    seen.expect_answer(0, first);
    assert!(ids(&seen.of_hall(600 * MS, &hall, true)).contains(&first));
    assert!(!ids(&seen.of_hall(800 * MS, &hall, true)).contains(&first));
    // Told again, its silence counts from the first time.
    seen.expect_answer(900 * MS, first);
    assert!(!ids(&seen.of_hall(SECOND, &hall, true)).contains(&first));
    assert!(ids(&seen.of_hall(6 * SECOND, &hall, true)).contains(&first));
    seen.expect_answer(6 * SECOND, first);
    seen.record_answer(first);
    assert!(ids(&seen.of_hall(9 * SECOND, &hall, true)).contains(&first));
}

#[test]
fn where_none_answers_those_of_the_view_are_told() {
    let hall = Name::from("a");
    let all: Vec<_> = (0..IN_HALL).map(|n| Incarnation(n * 4 + 1)).collect();
    let seen = aggregators(0, &all).of_hall(SECOND, &hall, true);
    assert_eq!(seen.len(), AGGREGATORS);
}
