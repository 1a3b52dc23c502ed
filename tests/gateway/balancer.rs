//! Which endpoint is selected, and which requests wait or are refused.

use assert_matches::assert_matches;
use proptest::prelude::*;
use ryevalve::{
    balance::{
        balancer::{Balancer, Choice, Placement},
        cost::PlacementRequest,
        load::{EndpointKey, EndpointLoadReport, InFlight},
        load_view::ClusterSize,
        speed::{SpeedSamples, SpeedSummary},
    },
    prelude::Incarnation,
};

use crate::support::{MS, SECOND, at, entry, placement_request};

const SLOTS: u32 = 4;

fn balancer(endpoints: &[(&str, &str)]) -> Balancer {
    let mut balancer = Balancer::new("here".into());
    for (id, hall) in endpoints {
        balancer.upsert_endpoint(entry(id, hall, SLOTS), at(1));
    }
    balancer
}

fn sent(placement: Placement) -> Choice {
    assert_matches!(placement, Placement::Send(choice) => choice)
}

#[test]
fn own_hall_is_preferred_until_it_is_full() {
    let mut balancer = balancer(&[("near", "here"), ("far", "there")]);
    for subject in 0..SLOTS {
        let choice =
            sent(balancer.place(0, &placement_request(u64::from(subject), 100, 0, 0), &[]));
        assert_eq!(&*choice.id, "near");
    }
    let next = sent(balancer.place(0, &placement_request(99, 100, 0, 0), &[]));
    assert_eq!(&*next.id, "far");
}

#[test]
fn instances_with_the_same_view_spread_over_another_halls_endpoints() {
    let names: Vec<String> = (0..20).map(|n| format!("far{n}")).collect();
    let endpoints: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "there")).collect();
    let chosen = (0..40).map(|instance| {
        let mut balancer = balancer(&endpoints);
        // One endpoint is idle according to the peers' loads, the others are half full.
        let half = InFlight {
            requests: SLOTS / 2,
            prompt_tokens: 4_000,
        };
        let loads = names[1..].iter().map(|n| (EndpointKey::of(n), half));
        balancer.apply_peer_update(0, Incarnation(1), &loads.collect::<Vec<_>>(), &[], &[]);
        sent(balancer.place(0, &placement_request(instance * 7, 100, 0, 0), &[])).key
    });
    let chosen: Vec<EndpointKey> = chosen.collect();
    let idle = chosen
        .iter()
        .filter(|k| **k == EndpointKey::of("far0"))
        .count();
    assert!(
        idle < chosen.len() / 2,
        "{idle} of {} to the idle endpoint",
        chosen.len()
    );
}

#[test]
fn waiting_request_considers_other_endpoints_in_each_round() {
    let names: Vec<String> = (0..20).map(|n| format!("far{n}")).collect();
    let endpoints: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "there")).collect();
    let mut balancer = balancer(&endpoints);
    let request = placement_request(7, 100, 0, 0);
    let considered: std::collections::HashSet<_> = (0..12)
        .map(|step| {
            let choice = sent(balancer.place(step * 20 * MS, &request, &[]));
            balancer.end(choice.key, choice.expected.uncached_tokens, None);
            choice.key
        })
        .collect();
    assert!(considered.len() > 4, "{}", considered.len());
}

#[test]
fn prompt_returns_to_the_endpoint_that_has_it_cached() {
    let mut balancer = balancer(&[("a", "here"), ("b", "here"), ("c", "here")]);
    let first = sent(balancer.place(0, &placement_request(7, 6_000, 0, 0), &[]));
    balancer.record_first_event(&first, 150.0);
    balancer.end(first.key, 0, Some(900.0));
    for _ in 0..5 {
        let again = sent(balancer.place(SECOND, &placement_request(7, 6_000, 0, SECOND), &[]));
        assert_eq!(again.key, first.key);
        assert_eq!(again.expected.uncached_tokens, 0);
        balancer.end(again.key, 0, None);
    }
}

#[test]
fn long_answer_goes_where_it_ends_before_the_deadline() {
    let mut balancer = balancer(&[("slow", "here"), ("fast", "there")]);
    for _ in 0..2_000 {
        balancer.update_speed(EndpointKey::of("slow"), |s| s.record_event_gap(60.0));
        balancer.update_speed(EndpointKey::of("fast"), |s| s.record_event_gap(12.0));
    }
    let short = placement_request(1, 100, 0, 0);
    assert_eq!(&*sent(balancer.place(0, &short, &[])).id, "slow");
    // 15 s at 60 ms per event are 250 events.
    let mut long = placement_request(2, 100, 0, 0);
    long.output_events = 400.0;
    assert_eq!(&*sent(balancer.place(0, &long, &[])).id, "fast");
}

#[test]
fn speed_samples_of_peers_count_like_own_ones() {
    let mut there = balancer(&[("slow", "here"), ("fast", "here")]);
    let (slow, fast) = (EndpointKey::of("slow"), EndpointKey::of("fast"));
    for _ in 0..5 {
        there.update_speed(slow, |s| s.record_first_event(920.0, 6_000.0));
        there.update_speed(fast, |s| s.record_first_event(80.0, 6_000.0));
    }
    let samples = there.take_speed_samples(0, 4);
    assert!(
        there.take_speed_samples(0, 4).is_empty(),
        "samples are sent once"
    );
    let mut here = balancer(&[("slow", "here"), ("fast", "here")]);
    here.apply_peer_update(0, Incarnation(1), &[], &[], &samples);
    let choice = sent(here.place(0, &placement_request(1, 6_000, 0, 0), &[]));
    assert_eq!(choice.key, fast);
    assert!(
        choice.expected.first_ms < 150.0,
        "{}",
        choice.expected.first_ms
    );
    let other = sent(here.place(0, &placement_request(2, 6_000, 0, 0), &[fast]));
    assert!(
        other.expected.first_ms > 700.0,
        "{}",
        other.expected.first_ms
    );
    // Samples of peers are not sent on.
    assert!(here.take_speed_samples(0, 4).is_empty());
}

#[test]
fn endpoint_without_samples_is_assumed_to_have_the_service_speed() {
    let mut balancer = balancer(&[("known", "here"), ("unknown", "there")]);
    let known = EndpointKey::of("known");
    // 6,000 tokens in 600 ms, slower than the initial value.
    for subject in 0..5 {
        let choice = sent(balancer.place(0, &placement_request(subject, 6_000, 0, 0), &[]));
        assert_eq!(choice.key, known);
        balancer.record_first_event(&choice, 620.0);
        balancer.end(choice.key, 0, None);
    }
    let unknown = sent(balancer.place(0, &placement_request(90, 6_000, 0, 0), &[known]));
    assert!(
        unknown.expected.first_ms > 500.0,
        "{}",
        unknown.expected.first_ms
    );
}

#[test]
fn speed_summaries_of_a_hall_apply_in_other_halls_only() {
    let mut there = Balancer::new("there".into());
    there.upsert_endpoint(entry("far", "there", SLOTS), at(1));
    there.upsert_endpoint(entry("near", "here", SLOTS), at(1));
    for key in [EndpointKey::of("far"), EndpointKey::of("near")] {
        for _ in 0..10 {
            there.update_speed(key, |s| s.record_first_event(1_220.0, 6_000.0));
        }
    }
    let summaries = there.hall_speeds(0, 4);
    assert_eq!(summaries.len(), 1, "only endpoints of the own hall");
    let mut here = balancer(&[("near", "here"), ("far", "there")]);
    here.apply_speed_summaries(&summaries);
    let near = EndpointKey::of("near");
    let far = sent(here.place(0, &placement_request(1, 3_000, 0, 0), &[near]));
    assert!(far.expected.first_ms > 500.0, "{}", far.expected.first_ms);
    let own = EndpointKey::of("far");
    let before = sent(there.place(0, &placement_request(1, 600, 0, 0), &[near]))
        .expected
        .first_ms;
    there.apply_speed_summaries(&[(
        own,
        SpeedSummary {
            read_ms: 1,
            event_tenths_ms: 1,
            hold_ms: 1,
        },
    )]);
    let after = sent(there.place(0, &placement_request(2, 600, 0, 0), &[near]))
        .expected
        .first_ms;
    assert!(after >= before, "summaries of the own hall are ignored");
}

#[test]
fn speed_samples_of_many_endpoints_are_sent_in_rotation() {
    let names: Vec<String> = (0..10).map(|n| format!("e{n}")).collect();
    let endpoints: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "here")).collect();
    let mut balancer = balancer(&endpoints);
    for name in &names {
        balancer.update_speed(EndpointKey::of(name), |s| s.record_event_gap(20.0));
    }
    let sent_samples: Vec<_> = (0..3)
        .flat_map(|round| balancer.take_speed_samples(round, 4))
        .collect();
    assert_eq!(sent_samples.len(), names.len());
}

#[test]
fn faster_of_two_idle_endpoints_serves_short_and_long_requests() {
    let mut balancer = balancer(&[("fast", "here"), ("slow", "here")]);
    let (fast, slow) = (EndpointKey::of("fast"), EndpointKey::of("slow"));
    // Both have many samples; over all of them the service is as fast as the slow one.
    let samples = |read_ms: u32, event_ms: u32| SpeedSamples {
        prompt_tokens: 60_000,
        prompt_ms: 60 * read_ms,
        events: 1_000,
        events_ms: 1_000 * event_ms,
        ..SpeedSamples::default()
    };
    let peer_samples = vec![
        (fast, samples(15, 10)),
        (slow, samples(25, 40)),
        (slow, samples(25, 40)),
    ];
    balancer.apply_peer_update(0, Incarnation(1), &[], &[], &peer_samples);
    for tokens in [300, 6_000, 20_000] {
        let choice = sent(balancer.place(0, &placement_request(1, tokens, 0, 0), &[]));
        assert_eq!(choice.key, fast, "{tokens} tokens");
        balancer.end(choice.key, choice.expected.uncached_tokens, None);
    }
}

#[test]
fn loads_of_peers_count_until_replaced_or_expired() {
    let mut balancer = balancer(&[("a", "here"), ("b", "here")]);
    let (a, b) = (EndpointKey::of("a"), EndpointKey::of("b"));
    let busy = InFlight {
        requests: SLOTS,
        prompt_tokens: 30_000,
    };
    balancer.apply_peer_update(0, Incarnation(1), &[(a, busy)], &[], &[]);
    assert_eq!(
        sent(balancer.place(0, &placement_request(1, 100, 0, 0), &[])).key,
        b
    );
    // The next update replaces the previous one; without updates it expires.
    balancer.apply_peer_update(MS, Incarnation(1), &[(b, busy)], &[], &[]);
    assert_eq!(
        sent(balancer.place(MS, &placement_request(2, 100, 0, MS), &[])).key,
        a
    );
    let (_, silent) = balancer.tick(10 * SECOND);
    assert_eq!(silent, vec![Incarnation(1)]);
    assert_eq!(balancer.load_view().reporting_peers(), 0);
}

#[test]
fn endpoint_load_report_adds_unaccounted_load_and_expires() {
    let mut balancer = balancer(&[("a", "here"), ("b", "here")]);
    let report = EndpointLoadReport {
        running: SLOTS,
        waiting: 6,
        slots: SLOTS,
    };
    balancer
        .load_view_mut()
        .record_load_report(0, EndpointKey::of("a"), report);
    let choice = sent(balancer.place(0, &placement_request(1, 100, 0, 0), &[]));
    assert_eq!(&*choice.id, "b");
    let later = sent(balancer.place(
        2 * SECOND,
        &placement_request(1, 100, 0, 2 * SECOND),
        &[choice.key],
    ));
    assert!(later.expected.has_room, "an expired report does not count");
}

#[test]
fn unaccounted_load_is_sent_once_and_counts_for_peers() {
    let mut reporter = balancer(&[("a", "here"), ("b", "here")]);
    let a = EndpointKey::of("a");
    let report = EndpointLoadReport {
        running: SLOTS,
        waiting: 6,
        slots: SLOTS,
    };
    reporter.load_view_mut().record_load_report(0, a, report);
    let unaccounted = reporter.load_view_mut().take_unaccounted_load();
    assert_eq!(unaccounted, vec![(a, SLOTS as i8 + 6)]);
    assert!(reporter.load_view_mut().take_unaccounted_load().is_empty());
    let mut other = balancer(&[("a", "here"), ("b", "here")]);
    other
        .load_view_mut()
        .apply_unaccounted_load(0, &unaccounted);
    assert_eq!(
        &*sent(other.place(0, &placement_request(1, 100, 0, 0), &[])).id,
        "b"
    );
    assert!(
        other.load_view_mut().take_unaccounted_load().is_empty(),
        "only the instance that got the report sends it"
    );
}

#[test]
fn draining_tried_and_gone_endpoints_are_excluded() {
    let mut balancer = balancer(&[("a", "here"), ("b", "here")]);
    let mut draining = entry("a", "here", SLOTS);
    draining.draining = true;
    balancer.upsert_endpoint(draining, at(2));
    let b = EndpointKey::of("b");
    assert_eq!(
        sent(balancer.place(0, &placement_request(1, 100, 0, 0), &[])).key,
        b
    );
    assert_matches!(
        balancer.place(0, &placement_request(1, 100, 0, 0), &[b]),
        Placement::Refuse { .. }
    );
    balancer.mark_endpoint_replaced(b);
    assert_eq!(balancer.take_dead(), vec![b]);
    assert_matches!(
        balancer.place(0, &placement_request(1, 100, 0, 0), &[]),
        Placement::Refuse { .. }
    );
}

#[test]
fn failing_endpoint_is_avoided_and_tried_again_later() {
    let mut balancer = balancer(&[("a", "here"), ("b", "here")]);
    let first = sent(balancer.place(0, &placement_request(1, 100, 0, 0), &[]));
    balancer.update_speed(first.key, |s| s.record_unreachable(0));
    balancer.end(first.key, 100, None);
    for step in 0..SLOTS {
        let choice = sent(balancer.place(MS, &placement_request(u64::from(step), 100, 0, MS), &[]));
        assert_ne!(choice.key, first.key);
    }
    let later_us = 30 * SECOND;
    let choice = sent(balancer.place(later_us, &placement_request(50, 100, 0, later_us), &[]));
    assert_eq!(choice.key, first.key);
}

#[test]
fn full_service_queues_then_refuses_with_a_retry_delay() {
    let mut balancer = balancer(&[("a", "here")]);
    // Long prompts: a request queued after them would be late.
    while let Placement::Send(_) = balancer.place(0, &placement_request(1, 9_000, 0, 0), &[]) {}
    let late = placement_request(2, 9_000, 0, 0);
    assert_matches!(balancer.place(0, &late, &[]), Placement::Wait);
    let decided = balancer.place(300 * MS, &late, &[]);
    assert_matches!(decided, Placement::Refuse { reason: "busy", retry_after_ms } if retry_after_ms >= 100);
}

#[test]
fn retry_delay_is_a_share_of_the_remaining_time() {
    let mut balancer = balancer(&[("a", "here")]);
    while let Placement::Send(_) = balancer.place(0, &placement_request(1, 9_000, 0, 0), &[]) {}
    let mut refused = |deadline_us: u64| {
        let mut late = placement_request(2, 9_000, 0, 0);
        late.deadline_us = deadline_us;
        let decided = balancer.place(300 * MS, &late, &[]);
        assert_matches!(decided, Placement::Refuse { retry_after_ms, .. } => retry_after_ms)
    };
    let (short_ms, long_ms) = (refused(3 * SECOND), refused(12 * SECOND));
    assert!((500..1_000).contains(&short_ms), "{short_ms}");
    assert!((2_000..4_000).contains(&long_ms), "{long_ms}");
    // The delay is capped, since surges end long before a request that may take minutes.
    assert!(refused(300 * SECOND) <= 4_000);
}

#[test]
fn most_urgent_waiting_request_is_sent_first() {
    let mut balancer = balancer(&[("a", "here")]);
    let mut held = Vec::new();
    while let Placement::Send(choice) =
        balancer.place(0, &placement_request(held.len() as u64, 2_000, 0, 0), &[])
    {
        held.push(choice);
    }
    let low = balancer.enqueue(placement_request(100, 100, 2, 0), &[]);
    let high = balancer.enqueue(placement_request(101, 100, 0, 0), &[]);
    for choice in &held {
        balancer.record_first_event(choice, 50.0);
    }
    for choice in held.drain(..).take(3) {
        balancer.end(choice.key, 0, Some(100.0));
    }
    let decided: Vec<_> = balancer
        .reconsider(10 * MS)
        .into_iter()
        .map(|(key, _)| key)
        .collect();
    assert_eq!(decided.first(), Some(&high));
    assert!(decided.len() == 1 || decided[1] == low);
}

#[test]
fn less_urgent_requests_leave_endpoint_queues_to_more_urgent_ones() {
    let mut balancer = balancer(&[("a", "here")]);
    while let Placement::Send(_) = balancer.place(0, &placement_request(1, 2_000, 2, 0), &[]) {}
    assert_matches!(
        balancer.place(0, &placement_request(2, 2_000, 0, 0), &[]),
        Placement::Send(_)
    );
}

proptest! {
    /// After any sequence of requests, the own load contains no request that has ended.
    #[test]
    fn own_load_matches_the_requests_in_flight(steps in prop::collection::vec((0_u8..6, 0_u64..20, 0_u32..8_000), 1..300)) {
        let mut balancer = balancer(&[("a", "here"), ("b", "here"), ("c", "there")]);
        let mut running: Vec<(Choice, bool)> = Vec::new();
        let mut now_us = 0;
        for (action, subject, tokens) in steps {
            now_us += 7 * MS;
            match action {
                0..=2 => {
                    let placement = balancer.place(now_us, &placement_request(subject, tokens, (subject % 3) as u8, now_us), &[]);
                    if let Placement::Send(choice) = placement {
                        running.push((choice, false));
                    }
                }
                3 => {
                    if let Some((choice, has_first_event)) = running.iter_mut().find(|(_, has_first_event)| !*has_first_event) {
                        balancer.record_first_event(choice, 80.0);
                        *has_first_event = true;
                    }
                }
                4 if !running.is_empty() => {
                    let (choice, has_first_event) = running.swap_remove(subject as usize % running.len());
                    let left = if has_first_event { 0 } else { choice.expected.uncached_tokens };
                    balancer.end(choice.key, left, Some(500.0));
                }
                _ => {
                    balancer.upsert_endpoint(entry("b", "here", SLOTS), at(now_us));
                }
            }
            let sent: u32 = balancer.load_view().own_loads().iter().map(|(_, l)| l.requests).sum();
            prop_assert_eq!(sent as usize, running.len());
            let unseen: u32 = running.iter().filter(|(_, s)| !*s).map(|(c, _)| c.expected.uncached_tokens).sum();
            let pending: u32 = balancer.load_view().own_loads().iter().map(|(_, l)| l.prompt_tokens).sum();
            prop_assert_eq!(pending, unseen);
        }
    }
}

#[test]
fn unsent_state_is_bounded_without_peers() {
    let mut balancer = balancer(&[("a", "here")]);
    for subject in 0..5_000 {
        let choice = sent(balancer.place(0, &placement_request(subject, 400, 0, 0), &[]));
        // The largest values that fit: sums that are never sent must not overflow.
        balancer.update_speed(choice.key, |s| {
            s.record_first_event(f64::from(u32::MAX), 1e9)
        });
        balancer.update_speed(choice.key, |s| s.record_slot_hold(1e9));
        balancer.end(choice.key, 400, None);
    }
    assert!(balancer.take_cached_chains(usize::MAX).len() <= 1_024);
}

#[test]
fn unary_requests_go_to_the_faster_endpoint() {
    let mut balancer = balancer(&[("slow", "here"), ("fast", "here")]);
    let mut unary = placement_request(1, 0, 0, 0);
    unary.is_stream = false;
    for _ in 0..30 {
        balancer.update_speed(EndpointKey::of("slow"), |s| s.record_unary(300.0));
        balancer.update_speed(EndpointKey::of("fast"), |s| s.record_unary(15.0));
    }
    for _ in 0..3 {
        let choice = sent(balancer.place(0, &unary, &[]));
        assert_eq!(&*choice.id, "fast");
        balancer.record_first_event(&choice, 15.0);
        balancer.end(choice.key, 0, Some(15.0));
    }
}

#[test]
fn late_request_yields_to_requests_that_can_be_in_time() {
    let mut balancer = balancer(&[("near", "here")]);
    let of = |subject, waited_us| PlacementRequest {
        waited_us,
        ..placement_request(subject, 100, 1, 0)
    };
    for subject in 0..u64::from(SLOTS) {
        sent(balancer.place(0, &of(subject, 0), &[]));
    }
    // The slots are taken: a request that can be in time queues at the endpoint, a late one does
    // not.
    assert_matches!(balancer.place(0, &of(90, 3 * SECOND), &[]), Placement::Wait);
    sent(balancer.place(0, &of(91, 0), &[]));
    let key = EndpointKey::of("near");
    balancer.enqueue(of(92, 0), &[]);
    balancer.end(key, 100, None);
    balancer.end(key, 100, None);
    assert_matches!(
        balancer.place(0, &of(93, 3 * SECOND), &[]),
        Placement::Wait,
        "the free slot is for the waiting request that can be in time"
    );
    sent(balancer.place(0, &of(94, 0), &[]));
}

#[test]
fn late_request_is_sent_if_a_slot_is_free() {
    let mut balancer = balancer(&[("near", "here")]);
    let late = PlacementRequest {
        waited_us: 3 * SECOND,
        ..placement_request(1, 400, 1, 0)
    };
    sent(balancer.place(0, &late, &[]));
}

#[test]
fn large_cluster_considers_few_endpoints_of_the_own_hall() {
    let names: Vec<String> = (0..30).map(|n| format!("near{n}")).collect();
    let endpoints: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "here")).collect();
    let count_of_idle = |cluster_size| {
        let chosen = (0..90).map(|instance| {
            let mut balancer = balancer(&endpoints);
            balancer.load_view_mut().set_cluster_size(cluster_size);
            // One endpoint is idle according to the peers' loads, the others are half full.
            let half = InFlight {
                requests: SLOTS / 2,
                prompt_tokens: 4_000,
            };
            let loads = names[1..].iter().map(|n| (EndpointKey::of(n), half));
            balancer.apply_peer_update(0, Incarnation(1), &loads.collect::<Vec<_>>(), &[], &[]);
            sent(balancer.place(0, &placement_request(instance * 7, 100, 0, 0), &[])).key
        });
        chosen.filter(|k| *k == EndpointKey::of("near0")).count()
    };
    assert_eq!(
        count_of_idle(ClusterSize::Small),
        90,
        "all endpoints are considered"
    );
    let large = count_of_idle(ClusterSize::Large);
    assert!(
        (5..=40).contains(&large),
        "{large} of 90 chose the idle one"
    );
}

#[test]
fn large_cluster_shrinks_loads_of_other_halls_towards_their_mean() {
    let mut balancer = balancer(&[("idle", "there"), ("busy", "there")]);
    let load = InFlight {
        requests: 4,
        prompt_tokens: 8_000,
    };
    let peer_loads = [(EndpointKey::of("busy"), load)];
    balancer.apply_peer_update(0, Incarnation(1), &peer_loads, &[], &[]);
    let there = |balancer: &mut Balancer, now_us| {
        let choice = sent(balancer.place(now_us, &placement_request(7, 100, 0, now_us), &[]));
        balancer.end(choice.key, choice.expected.uncached_tokens, None);
        (choice.id, choice.expected.there)
    };
    assert_eq!(there(&mut balancer, 100 * MS), ("idle".into(), 0.0));
    balancer
        .load_view_mut()
        .set_cluster_size(ClusterSize::Large);
    let (_, cleared) = there(&mut balancer, 150 * MS);
    assert_eq!(
        cleared, 0.0,
        "peer_loads of single instances are part of the hall sums to come"
    );
    balancer.apply_peer_update(160 * MS, Incarnation(1), &peer_loads, &[], &[]);
    let (id, requests) = there(&mut balancer, 200 * MS);
    assert_eq!(&*id, "idle");
    // The mean is two; the reported value has a weight of 0.6, the mean one of 0.4.
    assert!((requests - 0.8).abs() < 1e-9, "{requests}");
}

#[test]
fn large_cluster_prefers_a_less_loaded_hall_to_an_idle_endpoint_of_a_busy_one() {
    let endpoints = [
        ("x1", "busy"),
        ("x2", "busy"),
        ("y1", "calm"),
        ("y2", "calm"),
    ];
    let mut balancer = balancer(&endpoints);
    balancer
        .load_view_mut()
        .set_cluster_size(ClusterSize::Large);
    let load = |id: &str, requests: u32| {
        let load = InFlight {
            requests,
            prompt_tokens: requests * 3_000,
        };
        (EndpointKey::of(id), load)
    };
    // x1 looks idle to every instance, so it will not stay idle.
    let peer_loads = [load("x1", 0), load("x2", 8), load("y1", 1), load("y2", 1)];
    balancer.apply_peer_update(0, Incarnation(1), &peer_loads, &[], &[]);
    let choice = sent(balancer.place(100 * MS, &placement_request(7, 100, 0, 100 * MS), &[]));
    assert_eq!(&*choice.hall, "calm", "{}", choice.id);
}
