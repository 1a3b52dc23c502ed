//! Sums of the reports of a hall's instances, as an aggregator computes them.

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
fn loads_of_all_reporting_instances_are_summed() {
    let mut aggregate = HallAggregate::default();
    aggregate.apply_report(0, addr(1), &report(1, 5));
    aggregate.apply_report(0, addr(2), &report(2, 6));
    aggregate.apply_report(MS, addr(1), &report(1, 7));
    let own = [
        (EndpointKey(7), in_flight(2)),
        (EndpointKey(8), in_flight(1)),
    ];
    let loads = aggregate.loads(MS, &own);
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
    assert_eq!(aggregate.instance_counts(MS), count);
    let mut echoes = aggregate.echoes(MS);
    echoes.sort_unstable();
    let seqs: Vec<u64> = echoes.iter().map(|(_, seq)| *seq).collect();
    assert_eq!(seqs, vec![7, 6]);
}

#[test]
fn a_silent_instance_has_no_loads_and_counts_until_it_expires() {
    let mut aggregate = HallAggregate::default();
    aggregate.apply_report(0, addr(1), &report(1, 1));
    assert!(aggregate.is_aggregator(SECOND));
    assert!(!aggregate.is_aggregator(3 * SECOND));
    assert!(aggregate.loads(3 * SECOND, &[]).is_empty());
    let count = HallInstanceCounts {
        instances: 2,
        heard: 1,
    };
    assert_eq!(aggregate.instance_counts(3 * SECOND), count);
    aggregate.expire(30 * SECOND);
    assert_eq!(aggregate.instance_counts(30 * SECOND).instances, 1);
}

#[test]
fn speed_samples_of_one_endpoint_are_sent_once_as_one_sum() {
    let mut aggregate = HallAggregate::default();
    let seen = |events: u32| {
        let samples = SpeedSamples {
            events,
            events_ms: events * 20,
            ..SpeedSamples::default()
        };
        vec![(EndpointKey(1), samples)]
    };
    aggregate.note_observations(&[(EndpointKey(1), 3)], &[], &seen(10), &[]);
    aggregate.note_observations(&[(EndpointKey(1), 5)], &[], &seen(20), &[EndpointKey(4)]);
    let observations = aggregate.take_observations();
    assert_eq!(observations.seen, seen(30));
    assert_eq!(
        observations.reports,
        vec![(EndpointKey(1), 5)],
        "the last report is kept"
    );
    assert_eq!(observations.dead, vec![EndpointKey(4)]);
    assert_eq!(aggregate.take_observations(), Default::default());
    assert_eq!(
        aggregate.take_reports_for_other_halls(),
        vec![(EndpointKey(1), 5)]
    );
}

#[test]
fn prompt_chains_that_do_not_fit_a_summary_are_sent_with_the_next() {
    let mut aggregate = HallAggregate::default();
    let read: Vec<_> = (0..60)
        .map(|n| (ryevalve::balance::prefixes::ChainKey(n), EndpointKey(1)))
        .collect();
    aggregate.note_observations(&[], &read, &[], &[]);
    let mut sent = aggregate.take_observations().read;
    assert!(sent.len() < 60);
    sent.extend(aggregate.take_observations().read);
    assert_eq!(sent, read);
}

#[test]
fn summaries_of_other_halls_are_relayed_once() {
    let mut aggregate = HallAggregate::default();
    for hall in 0..3 {
        aggregate.queue_for_relay(HallSummary {
            hall,
            ..HallSummary::default()
        });
    }
    let halls = |summaries: Vec<HallSummary>| summaries.iter().map(|s| s.hall).collect::<Vec<_>>();
    assert_eq!(halls(aggregate.take_relay_queue(2)), vec![0, 1]);
    assert!(aggregate.has_relay_queue());
    assert_eq!(halls(aggregate.take_relay_queue(2)), vec![2]);
    assert!(!aggregate.has_relay_queue());
}

#[test]
fn the_relay_queue_is_bounded_if_no_instance_of_the_hall_reports() {
    let mut aggregate = HallAggregate::default();
    for hall in 0..10_000 {
        aggregate.queue_for_relay(HallSummary {
            hall,
            ..HallSummary::default()
        });
    }
    let kept = aggregate.take_relay_queue(usize::MAX);
    assert!(kept.len() <= 64, "{}", kept.len());
    assert_eq!(
        kept.last().map(|s| s.hall),
        Some(9_999),
        "the newest are kept"
    );
}

#[test]
fn loads_of_many_endpoints_are_split_without_loss() {
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
        // Each endpoint is in exactly one span, so that its absence from that part means that it has no requests.
        for key in [0, 399_000, 399_001, u32::MAX] {
            let spans = parts
                .iter()
                .filter(|(span, _)| span.contains(EndpointKey(key)));
            assert_eq!(spans.count(), 1, "{key} of {count}");
        }
        assert_eq!(parts[0].0.first, KeyRange::ALL.first);
    }
}
