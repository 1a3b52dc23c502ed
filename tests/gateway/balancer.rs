//! Which endpoint is chosen, what waits, and what is refused.

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

use crate::support::{MS, SECOND, ask, entry};

const SLOTS: u32 = 4;

fn balancer(endpoints: &[(&str, &str)]) -> Balancer {
    let mut balancer = Balancer::new("here".into());
    for (id, hall) in endpoints {
        balancer.upsert_endpoint(entry(id, hall, SLOTS), 1);
    }
    balancer
}

fn sent(placement: Placement) -> Choice {
    assert_matches!(placement, Placement::Send(choice) => choice)
}

#[test]
fn the_own_hall_goes_first_and_others_follow_when_it_is_full() {
    let mut balancer = balancer(&[("near", "here"), ("far", "there")]);
    for subject in 0..SLOTS {
        let choice = sent(balancer.place(0, &ask(u64::from(subject), 100, 0, 0), &[]));
        assert_eq!(&*choice.id, "near");
    }
    let next = sent(balancer.place(0, &ask(99, 100, 0, 0), &[]));
    assert_eq!(&*next.id, "far");
}

#[test]
fn instances_that_know_the_same_do_not_all_choose_the_same_of_another_hall() {
    let names: Vec<String> = (0..20).map(|n| format!("far{n}")).collect();
    let endpoints: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "there")).collect();
    let chosen = (0..40).map(|instance| {
        let mut balancer = balancer(&endpoints);
        // One is idle, as all were told; the others are half full.
        let half = InFlight {
            requests: SLOTS / 2,
            prompt_tokens: 4_000,
        };
        let loads = names[1..].iter().map(|n| (EndpointKey::of(n), half));
        balancer.apply_peer_update(0, Incarnation(1), &loads.collect::<Vec<_>>(), &[], &[]);
        sent(balancer.place(0, &ask(instance * 7, 100, 0, 0), &[])).key
    });
    let chosen: Vec<EndpointKey> = chosen.collect();
    let idle = chosen
        .iter()
        .filter(|k| **k == EndpointKey::of("far0"))
        .count();
    assert!(idle < chosen.len() / 2, "{idle} of {} to one", chosen.len());
}

#[test]
fn one_that_waits_looks_at_other_endpoints_the_next_time() {
    let names: Vec<String> = (0..20).map(|n| format!("far{n}")).collect();
    let endpoints: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "there")).collect();
    let mut balancer = balancer(&endpoints);
    let waits = ask(7, 100, 0, 0);
    let seen: std::collections::HashSet<_> = (0..12)
        .map(|step| {
            let choice = sent(balancer.place(step * 20 * MS, &waits, &[]));
            balancer.end(choice.key, choice.expected.uncached_tokens, None);
            choice.key
        })
        .collect();
    assert!(seen.len() > 4, "{}", seen.len());
}

#[test]
fn a_subject_stays_where_it_was_read() {
    let mut balancer = balancer(&[("a", "here"), ("b", "here"), ("c", "here")]);
    let first = sent(balancer.place(0, &ask(7, 6_000, 0, 0), &[]));
    balancer.record_first_event(&first, 150.0);
    balancer.end(first.key, 0, Some(900.0));
    for _ in 0..5 {
        let again = sent(balancer.place(SECOND, &ask(7, 6_000, 0, SECOND), &[]));
        assert_eq!(again.key, first.key);
        assert_eq!(again.expected.uncached_tokens, 0);
        balancer.end(again.key, 0, None);
    }
}

#[test]
fn a_long_answer_goes_where_it_can_end_in_time() {
    let mut balancer = balancer(&[("slow", "here"), ("fast", "there")]);
    for _ in 0..2_000 {
        balancer.update_speed(EndpointKey::of("slow"), |s| s.record_event_gap(60.0));
        balancer.update_speed(EndpointKey::of("fast"), |s| s.record_event_gap(12.0));
    }
    let short = ask(1, 100, 0, 0);
    assert_eq!(&*sent(balancer.place(0, &short, &[])).id, "slow");
    // 15 s at 60 ms an event are 250 of them.
    let mut long = ask(2, 100, 0, 0);
    long.output_events = 400.0;
    assert_eq!(&*sent(balancer.place(0, &long, &[])).id, "fast");
}

#[test]
fn what_another_instance_saw_of_a_speed_counts_as_if_seen_here() {
    let mut there = balancer(&[("slow", "here"), ("fast", "here")]);
    let (slow, fast) = (EndpointKey::of("slow"), EndpointKey::of("fast"));
    for _ in 0..5 {
        there.update_speed(slow, |s| s.record_first_event(920.0, 6_000.0));
        there.update_speed(fast, |s| s.record_first_event(80.0, 6_000.0));
    }
    let seen = there.take_speed_samples(0, 4);
    assert!(there.take_speed_samples(0, 4).is_empty(), "told once");
    let mut here = balancer(&[("slow", "here"), ("fast", "here")]);
    here.apply_peer_update(0, Incarnation(1), &[], &[], &seen);
    let choice = sent(here.place(0, &ask(1, 6_000, 0, 0), &[]));
    assert_eq!(choice.key, fast);
    assert!(
        choice.expected.first_ms < 150.0,
        "{}",
        choice.expected.first_ms
    );
    let other = sent(here.place(0, &ask(2, 6_000, 0, 0), &[fast]));
    assert!(
        other.expected.first_ms > 700.0,
        "{}",
        other.expected.first_ms
    );
    // What was only told is not told on.
    assert!(here.take_speed_samples(0, 4).is_empty());
}

#[test]
fn one_of_which_nothing_is_known_is_taken_to_be_as_the_others_are() {
    let mut balancer = balancer(&[("known", "here"), ("unknown", "there")]);
    let known = EndpointKey::of("known");
    // 6,000 tokens in 600 ms, slower than what is believed at first.
    for subject in 0..5 {
        let choice = sent(balancer.place(0, &ask(subject, 6_000, 0, 0), &[]));
        assert_eq!(choice.key, known);
        balancer.record_first_event(&choice, 620.0);
        balancer.end(choice.key, 0, None);
    }
    let unknown = sent(balancer.place(0, &ask(90, 6_000, 0, 0), &[known]));
    assert!(
        unknown.expected.first_ms > 500.0,
        "{}",
        unknown.expected.first_ms
    );
}

#[test]
fn what_a_hall_believes_of_its_endpoints_counts_in_the_others_only() {
    let mut there = Balancer::new("there".into());
    there.upsert_endpoint(entry("far", "there", SLOTS), 1);
    there.upsert_endpoint(entry("near", "here", SLOTS), 1);
    for key in [EndpointKey::of("far"), EndpointKey::of("near")] {
        for _ in 0..10 {
            there.update_speed(key, |s| s.record_first_event(1_220.0, 6_000.0));
        }
    }
    let told = there.hall_speeds(0, 4);
    assert_eq!(told.len(), 1, "of its own only");
    let mut here = balancer(&[("near", "here"), ("far", "there")]);
    here.apply_speed_summaries(&told);
    let near = EndpointKey::of("near");
    let far = sent(here.place(0, &ask(1, 3_000, 0, 0), &[near]));
    assert!(far.expected.first_ms > 500.0, "{}", far.expected.first_ms);
    let own = EndpointKey::of("far");
    let before = sent(there.place(0, &ask(1, 600, 0, 0), &[near]))
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
    let after = sent(there.place(0, &ask(2, 600, 0, 0), &[near]))
        .expected
        .first_ms;
    assert!(
        after >= before,
        "what others say of the own hall is passed over"
    );
}

#[test]
fn what_was_seen_of_many_endpoints_is_told_in_turn() {
    let names: Vec<String> = (0..10).map(|n| format!("e{n}")).collect();
    let endpoints: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "here")).collect();
    let mut balancer = balancer(&endpoints);
    for name in &names {
        balancer.update_speed(EndpointKey::of(name), |s| s.record_event_gap(20.0));
    }
    let told: Vec<_> = (0..3)
        .flat_map(|turn| balancer.take_speed_samples(turn, 4))
        .collect();
    assert_eq!(told.len(), names.len());
}

#[test]
fn the_faster_of_two_idle_endpoints_serves_short_and_long_requests() {
    let mut balancer = balancer(&[("fast", "here"), ("slow", "here")]);
    let (fast, slow) = (EndpointKey::of("fast"), EndpointKey::of("slow"));
    // Both are known well; the service is as fast as the slow one on the whole.
    let seen = |read_ms: u32, event_ms: u32| SpeedSamples {
        prompt_tokens: 60_000,
        prompt_ms: 60 * read_ms,
        events: 1_000,
        events_ms: 1_000 * event_ms,
        ..SpeedSamples::default()
    };
    let told = vec![
        (fast, seen(15, 10)),
        (slow, seen(25, 40)),
        (slow, seen(25, 40)),
    ];
    balancer.apply_peer_update(0, Incarnation(1), &[], &[], &told);
    for tokens in [300, 6_000, 20_000] {
        let choice = sent(balancer.place(0, &ask(1, tokens, 0, 0), &[]));
        assert_eq!(choice.key, fast, "{tokens} tokens");
        balancer.end(choice.key, choice.expected.uncached_tokens, None);
    }
}

#[test]
fn what_the_others_sent_counts() {
    let mut balancer = balancer(&[("a", "here"), ("b", "here")]);
    let (a, b) = (EndpointKey::of("a"), EndpointKey::of("b"));
    let busy = InFlight {
        requests: SLOTS,
        prompt_tokens: 30_000,
    };
    balancer.apply_peer_update(0, Incarnation(1), &[(a, busy)], &[], &[]);
    assert_eq!(sent(balancer.place(0, &ask(1, 100, 0, 0), &[])).key, b);
    // The next word replaces the one before; silence ends it.
    balancer.apply_peer_update(MS, Incarnation(1), &[(b, busy)], &[], &[]);
    assert_eq!(sent(balancer.place(MS, &ask(2, 100, 0, MS), &[])).key, a);
    let (_, silent) = balancer.tick(10 * SECOND);
    assert_eq!(silent, vec![Incarnation(1)]);
    assert_eq!(balancer.load_view().reporting_peers(), 0);
}

#[test]
fn an_endpoints_own_word_counts_above_what_is_known_and_fades() {
    let mut balancer = balancer(&[("a", "here"), ("b", "here")]);
    let word = EndpointLoadReport {
        running: SLOTS,
        waiting: 6,
        slots: SLOTS,
    };
    balancer
        .load_view_mut()
        .record_load_report(0, EndpointKey::of("a"), word);
    let choice = sent(balancer.place(0, &ask(1, 100, 0, 0), &[]));
    assert_eq!(&*choice.id, "b");
    let later = sent(balancer.place(2 * SECOND, &ask(1, 100, 0, 2 * SECOND), &[choice.key]));
    assert!(later.expected.has_room, "an old word is no word");
}

#[test]
fn what_an_endpoint_said_of_its_load_is_told_once_and_counts_for_the_others() {
    let mut hearer = balancer(&[("a", "here"), ("b", "here")]);
    let a = EndpointKey::of("a");
    let word = EndpointLoadReport {
        running: SLOTS,
        waiting: 6,
        slots: SLOTS,
    };
    hearer.load_view_mut().record_load_report(0, a, word);
    let told = hearer.load_view_mut().take_unaccounted_load();
    assert_eq!(told, vec![(a, SLOTS as i8 + 6)]);
    assert!(hearer.load_view_mut().take_unaccounted_load().is_empty());
    let mut other = balancer(&[("a", "here"), ("b", "here")]);
    other.load_view_mut().apply_unaccounted_load(0, &told);
    assert_eq!(&*sent(other.place(0, &ask(1, 100, 0, 0), &[])).id, "b");
    assert!(
        other.load_view_mut().take_unaccounted_load().is_empty(),
        "told on by nobody else"
    );
}

#[test]
fn draining_tried_and_gone_endpoints_are_never_chosen() {
    let mut balancer = balancer(&[("a", "here"), ("b", "here")]);
    let mut draining = entry("a", "here", SLOTS);
    draining.draining = true;
    balancer.upsert_endpoint(draining, 2);
    let b = EndpointKey::of("b");
    assert_eq!(sent(balancer.place(0, &ask(1, 100, 0, 0), &[])).key, b);
    assert_matches!(
        balancer.place(0, &ask(1, 100, 0, 0), &[b]),
        Placement::Refuse { .. }
    );
    balancer.mark_endpoint_replaced(b);
    assert_eq!(balancer.take_dead(), vec![b]);
    assert_matches!(
        balancer.place(0, &ask(1, 100, 0, 0), &[]),
        Placement::Refuse { .. }
    );
}

#[test]
fn an_endpoint_that_fails_is_avoided_and_tried_again() {
    let mut balancer = balancer(&[("a", "here"), ("b", "here")]);
    let first = sent(balancer.place(0, &ask(1, 100, 0, 0), &[]));
    balancer.update_speed(first.key, |s| s.record_unreachable(0));
    balancer.end(first.key, 100, None);
    for step in 0..SLOTS {
        let choice = sent(balancer.place(MS, &ask(u64::from(step), 100, 0, MS), &[]));
        assert_ne!(choice.key, first.key);
    }
    let later_us = 30 * SECOND;
    let choice = sent(balancer.place(later_us, &ask(50, 100, 0, later_us), &[]));
    assert_eq!(choice.key, first.key);
}

#[test]
fn a_full_service_lets_wait_and_then_refuses_with_a_time_to_come_back() {
    let mut balancer = balancer(&[("a", "here")]);
    // Long prompts: what comes after them would be late.
    while let Placement::Send(_) = balancer.place(0, &ask(1, 9_000, 0, 0), &[]) {}
    let late = ask(2, 9_000, 0, 0);
    assert_matches!(balancer.place(0, &late, &[]), Placement::Wait);
    let decided = balancer.place(300 * MS, &late, &[]);
    assert_matches!(decided, Placement::Refuse { reason: "busy", retry_after_ms } if retry_after_ms >= 100);
}

#[test]
fn whoever_is_refused_comes_back_after_a_part_of_the_time_it_has() {
    let mut balancer = balancer(&[("a", "here")]);
    while let Placement::Send(_) = balancer.place(0, &ask(1, 9_000, 0, 0), &[]) {}
    let mut refused = |deadline_us: u64| {
        let mut late = ask(2, 9_000, 0, 0);
        late.deadline_us = deadline_us;
        let decided = balancer.place(300 * MS, &late, &[]);
        assert_matches!(decided, Placement::Refuse { retry_after_ms, .. } => retry_after_ms)
    };
    let (short_ms, long_ms) = (refused(3 * SECOND), refused(12 * SECOND));
    assert!((500..1_000).contains(&short_ms), "{short_ms}");
    assert!((2_000..4_000).contains(&long_ms), "{long_ms}");
    // Surges are over before the end of a request that may take minutes.
    assert!(refused(300 * SECOND) <= 4_000);
}

#[test]
fn the_most_urgent_of_those_that_wait_goes_first() {
    let mut balancer = balancer(&[("a", "here")]);
    let mut held = Vec::new();
    while let Placement::Send(choice) = balancer.place(0, &ask(held.len() as u64, 2_000, 0, 0), &[])
    {
        held.push(choice);
    }
    let low = balancer.enqueue(ask(100, 100, 2, 0));
    let high = balancer.enqueue(ask(101, 100, 0, 0));
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
fn the_less_urgent_leaves_queues_at_endpoints_to_the_more_urgent() {
    let mut balancer = balancer(&[("a", "here")]);
    while let Placement::Send(_) = balancer.place(0, &ask(1, 2_000, 2, 0), &[]) {}
    assert_matches!(
        balancer.place(0, &ask(2, 2_000, 0, 0), &[]),
        Placement::Send(_)
    );
}

proptest! {
    /// Whatever happens, what was sent and has ended is gone from the books.
    #[test]
    fn the_books_balance(steps in prop::collection::vec((0_u8..6, 0_u64..20, 0_u32..8_000), 1..300)) {
        let mut balancer = balancer(&[("a", "here"), ("b", "here"), ("c", "there")]);
        let mut running: Vec<(Choice, bool)> = Vec::new();
        let mut now_us = 0;
        for (what, subject, tokens) in steps {
            now_us += 7 * MS;
            match what {
                0..=2 => {
                    let placement = balancer.place(now_us, &ask(subject, tokens, (subject % 3) as u8, now_us), &[]);
                    if let Placement::Send(choice) = placement {
                        running.push((choice, false));
                    }
                }
                3 => {
                    if let Some((choice, seen)) = running.iter_mut().find(|(_, seen)| !*seen) {
                        balancer.record_first_event(choice, 80.0);
                        *seen = true;
                    }
                }
                4 if !running.is_empty() => {
                    let (choice, seen) = running.swap_remove(subject as usize % running.len());
                    let left = if seen { 0 } else { choice.expected.uncached_tokens };
                    balancer.end(choice.key, left, Some(500.0));
                }
                _ => {
                    balancer.upsert_endpoint(entry("b", "here", SLOTS), now_us);
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
fn an_instance_that_tells_nobody_keeps_little_of_what_it_saw() {
    let mut balancer = balancer(&[("a", "here")]);
    for subject in 0..5_000 {
        let choice = sent(balancer.place(0, &ask(subject, 400, 0, 0), &[]));
        // The longest that fits: sums of what nobody takes must not run over.
        balancer.update_speed(choice.key, |s| {
            s.record_first_event(f64::from(u32::MAX), 1e9)
        });
        balancer.update_speed(choice.key, |s| s.record_slot_hold(1e9));
        balancer.end(choice.key, 400, None);
    }
    assert!(balancer.take_cached_chains(usize::MAX).len() <= 1_024);
}

#[test]
fn plain_endpoints_are_told_apart_by_their_own_speed() {
    let mut balancer = balancer(&[("slow", "here"), ("fast", "here")]);
    let mut plain = ask(1, 0, 0, 0);
    plain.is_stream = false;
    for _ in 0..30 {
        balancer.update_speed(EndpointKey::of("slow"), |s| s.record_unary(300.0));
        balancer.update_speed(EndpointKey::of("fast"), |s| s.record_unary(15.0));
    }
    for _ in 0..3 {
        let choice = sent(balancer.place(0, &plain, &[]));
        assert_eq!(&*choice.id, "fast");
        balancer.record_first_event(&choice, 15.0);
        balancer.end(choice.key, 0, Some(15.0));
    }
}

#[test]
fn one_that_is_late_in_any_case_gives_way_to_one_that_can_be_in_time() {
    let mut balancer = balancer(&[("near", "here")]);
    let of = |subject, waited_us| PlacementRequest {
        waited_us,
        ..ask(subject, 100, 1, 0)
    };
    for subject in 0..u64::from(SLOTS) {
        sent(balancer.place(0, &of(subject, 0), &[]));
    }
    // The slots are taken: who can be in time queues at the endpoint, who is late does not.
    assert_matches!(balancer.place(0, &of(90, 3 * SECOND), &[]), Placement::Wait);
    sent(balancer.place(0, &of(91, 0), &[]));
    let key = EndpointKey::of("near");
    balancer.enqueue(of(92, 0));
    balancer.end(key, 100, None);
    balancer.end(key, 100, None);
    assert_matches!(
        balancer.place(0, &of(93, 3 * SECOND), &[]),
        Placement::Wait,
        "the free slot is for the one that waits and can be in time"
    );
    sent(balancer.place(0, &of(94, 0), &[]));
}

#[test]
fn one_that_is_late_is_served_where_there_is_room() {
    let mut balancer = balancer(&[("near", "here")]);
    let late = PlacementRequest {
        waited_us: 3 * SECOND,
        ..ask(1, 400, 1, 0)
    };
    sent(balancer.place(0, &late, &[]));
}

#[test]
fn in_a_large_group_few_endpoints_of_the_own_hall_are_looked_at() {
    let names: Vec<String> = (0..30).map(|n| format!("near{n}")).collect();
    let endpoints: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "here")).collect();
    let share_of_idle = |group| {
        let chosen = (0..90).map(|instance| {
            let mut balancer = balancer(&endpoints);
            balancer.load_view_mut().set_cluster_size(group);
            // One is idle, as all were told; the others are half full.
            let half = InFlight {
                requests: SLOTS / 2,
                prompt_tokens: 4_000,
            };
            let loads = names[1..].iter().map(|n| (EndpointKey::of(n), half));
            balancer.apply_peer_update(0, Incarnation(1), &loads.collect::<Vec<_>>(), &[], &[]);
            sent(balancer.place(0, &ask(instance * 7, 100, 0, 0), &[])).key
        });
        chosen.filter(|k| *k == EndpointKey::of("near0")).count()
    };
    assert_eq!(
        share_of_idle(ClusterSize::Small),
        90,
        "all is known to all at once"
    );
    let large = share_of_idle(ClusterSize::Large);
    assert!(
        (5..=40).contains(&large),
        "{large} of 90 chose the idle one"
    );
}

#[test]
fn in_a_large_group_what_is_told_of_other_halls_is_believed_in_part() {
    let mut balancer = balancer(&[("idle", "there"), ("busy", "there")]);
    let load = InFlight {
        requests: 4,
        prompt_tokens: 8_000,
    };
    let told = [(EndpointKey::of("busy"), load)];
    balancer.apply_peer_update(0, Incarnation(1), &told, &[], &[]);
    let there = |balancer: &mut Balancer, now_us| {
        let choice = sent(balancer.place(now_us, &ask(7, 100, 0, now_us), &[]));
        balancer.end(choice.key, choice.expected.uncached_tokens, None);
        (choice.id, choice.expected.there)
    };
    assert_eq!(there(&mut balancer, 100 * MS), ("idle".into(), 0.0));
    balancer
        .load_view_mut()
        .set_cluster_size(ClusterSize::Large);
    let (_, forgotten) = there(&mut balancer, 150 * MS);
    assert_eq!(
        forgotten, 0.0,
        "single instances' words are in the sums to come"
    );
    balancer.apply_peer_update(160 * MS, Incarnation(1), &told, &[], &[]);
    let (id, requests) = there(&mut balancer, 200 * MS);
    assert_eq!(&*id, "idle");
    // The mean is two; four tenths of it are believed.
    assert!((requests - 0.8).abs() < 1e-9, "{requests}");
}

#[test]
fn in_a_large_group_a_hall_with_less_to_do_is_preferred_to_one_idle_endpoint_of_a_busy_one() {
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
    // x1 looks idle to all that were told so, and will not be for long.
    let told = [load("x1", 0), load("x2", 8), load("y1", 1), load("y2", 1)];
    balancer.apply_peer_update(0, Incarnation(1), &told, &[], &[]);
    let choice = sent(balancer.place(100 * MS, &ask(7, 100, 0, 100 * MS), &[]));
    assert_eq!(&*choice.hall, "calm", "{}", choice.id);
}
