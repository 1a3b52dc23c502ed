//! What an aggregator sums up of its hall.

use std::net::IpAddr;

use ryevalve::{
    balance::{
        load::{EndpointKey, InFlight, KeyRange, split_loads},
        speed::SpeedSamples,
    },
    gateway::hall_aggregate::{HallAggregate, HallInstanceCounts},
    peers::update::{HallSummary, Update},
    prelude::Incarnation,
};

use crate::support::{MS, SECOND};

fn addr(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

fn in_flight(requests: u32) -> InFlight {
    InFlight {
        requests,
        prompt_tokens: requests * 100,
    }
}

fn report(number: u64, seq: u64) -> Update {
    Update {
        from: Incarnation(number),
        seq,
        loads: vec![(EndpointKey(7), in_flight(1))],
        ..Update::default()
    }
}

#[test]
fn requests_of_all_that_report_are_summed() {
    let mut book = HallAggregate::default();
    book.apply_report(0, addr(1), &report(1, 5));
    book.apply_report(0, addr(2), &report(2, 6));
    book.apply_report(MS, addr(1), &report(1, 7));
    let own = [
        (EndpointKey(7), in_flight(2)),
        (EndpointKey(8), in_flight(1)),
    ];
    let loads = book.loads(MS, &own);
    assert_eq!(
        loads,
        vec![
            (EndpointKey(7), in_flight(4)),
            (EndpointKey(8), in_flight(1))
        ]
    );
    let count = HallInstanceCounts {
        instances: 3,
        heard: 3,
    };
    assert_eq!(book.instance_counts(MS), count);
    let mut echoes = book.echoes(MS);
    echoes.sort_unstable();
    let seqs: Vec<u64> = echoes.iter().map(|(_, seq)| *seq).collect();
    assert_eq!(seqs, vec![7, 6]);
}

#[test]
fn one_that_fell_silent_has_no_requests_and_stays_counted_for_a_while() {
    let mut book = HallAggregate::default();
    book.apply_report(0, addr(1), &report(1, 1));
    assert!(book.is_aggregator(SECOND));
    assert!(!book.is_aggregator(3 * SECOND));
    assert!(book.loads(3 * SECOND, &[]).is_empty());
    let count = HallInstanceCounts {
        instances: 2,
        heard: 1,
    };
    assert_eq!(book.instance_counts(3 * SECOND), count);
    book.expire(30 * SECOND);
    assert_eq!(book.instance_counts(30 * SECOND).instances, 1);
}

#[test]
fn what_was_seen_of_one_endpoint_is_told_once_in_one_sum() {
    let mut book = HallAggregate::default();
    let seen = |events: u32| {
        let evidence = SpeedSamples {
            events,
            events_ms: events * 20,
            ..SpeedSamples::default()
        };
        vec![(EndpointKey(1), evidence)]
    };
    book.note_observations(&[(EndpointKey(1), 3)], &[], &seen(10), &[]);
    book.note_observations(&[(EndpointKey(1), 5)], &[], &seen(20), &[EndpointKey(4)]);
    let news = book.take_observations();
    assert_eq!(news.seen, seen(30));
    assert_eq!(
        news.reports,
        vec![(EndpointKey(1), 5)],
        "the last word stands"
    );
    assert_eq!(news.dead, vec![EndpointKey(4)]);
    assert_eq!(book.take_observations(), Default::default());
    assert_eq!(
        book.take_reports_for_other_halls(),
        vec![(EndpointKey(1), 5)]
    );
}

#[test]
fn what_does_not_fit_a_summary_comes_with_the_next() {
    let mut book = HallAggregate::default();
    let read: Vec<_> = (0..60)
        .map(|n| (ryevalve::balance::prefixes::ChainKey(n), EndpointKey(1)))
        .collect();
    book.note_observations(&[], &read, &[], &[]);
    let mut told = book.take_observations().read;
    assert!(told.len() < 60);
    told.extend(book.take_observations().read);
    assert_eq!(told, read);
}

#[test]
fn what_other_halls_said_is_passed_on_once() {
    let mut book = HallAggregate::default();
    for hall in 0..3 {
        book.queue_for_relay(HallSummary {
            hall,
            ..HallSummary::default()
        });
    }
    let halls = |taken: Vec<HallSummary>| taken.iter().map(|s| s.hall).collect::<Vec<_>>();
    assert_eq!(halls(book.take_relay_queue(2)), vec![0, 1]);
    assert!(book.has_relay_queue());
    assert_eq!(halls(book.take_relay_queue(2)), vec![2]);
    assert!(!book.has_relay_queue());
}

#[test]
fn alone_in_its_hall_an_instance_keeps_few_words_of_others() {
    let mut book = HallAggregate::default();
    for hall in 0..10_000 {
        book.queue_for_relay(HallSummary {
            hall,
            ..HallSummary::default()
        });
    }
    let kept = book.take_relay_queue(usize::MAX);
    assert!(kept.len() <= 64, "{}", kept.len());
    assert_eq!(kept.last().map(|w| w.hall), Some(9_999), "the newest stay");
}

#[test]
fn loads_of_many_endpoints_are_split_and_none_is_lost() {
    for count in [0_u32, 1, 400, 401, 1_100] {
        let loads: Vec<_> = (0..count)
            .map(|n| (EndpointKey(n * 1_000), in_flight(1)))
            .collect();
        let parts = split_loads(&loads, 400);
        assert_eq!(parts.len(), count.div_ceil(400).max(1) as usize);
        let all: Vec<_> = parts.iter().flat_map(|(_, part)| part.clone()).collect();
        assert_eq!(all, loads);
        for (span, part) in &parts {
            assert!(part.iter().all(|(key, _)| span.contains(*key)));
        }
        // Each endpoint is in one span, so that a part says of it that it has no requests.
        for key in [0, 399_000, 399_001, u32::MAX] {
            let spans = parts
                .iter()
                .filter(|(span, _)| span.contains(EndpointKey(key)));
            assert_eq!(spans.count(), 1, "{key} of {count}");
        }
        assert_eq!(parts[0].0.first, KeyRange::ALL.first);
    }
}
