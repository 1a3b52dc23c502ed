//! The back-offs that endpoints request from an instance: what is stored, what ends them, and how requests resume.

use assert_matches::assert_matches;
use proptest::prelude::*;
use ryevalve::{
    balance::{
        balancer::{Balancer, Placement},
        discovery::EndpointEntry,
        load::EndpointKey,
        readiness::{ENDPOINTS_BACKING_OFF, Readiness},
    },
    limits::{
        back_off::{BackOff, BackOffs},
        dissemination::Audience,
    },
};

use crate::support::{MS, SECOND, at, entry, placement_request};

const ENDPOINT: EndpointKey = EndpointKey(3);
const PERIOD_US: u64 = 3 * SECOND;
const UNUSED: fn() -> bool = || false;
const USED: fn() -> bool = || true;

/// Returns back-offs of which one, requested from a single instance, began at second 1.
fn with_one() -> BackOffs {
    let mut back_offs = BackOffs::default();
    assert!(back_offs.note_requested(SECOND, ENDPOINT, PERIOD_US, 1, 0.0));
    back_offs
}

fn is_over(back_offs: &BackOffs, now_us: u64) -> bool {
    back_offs.back_off(now_us, ENDPOINT, UNUSED) == BackOff::Over
}

#[test]
fn a_back_off_lasts_for_its_period_and_one_probe_request_follows() {
    let mut back_offs = with_one();
    assert_eq!(
        back_offs.back_off(SECOND, ENDPOINT, UNUSED),
        BackOff::Until(4 * SECOND)
    );
    assert!(!is_over(&back_offs, 4 * SECOND - 1));
    assert!(is_over(&back_offs, 4 * SECOND));
    back_offs.note_sent(4 * SECOND, ENDPOINT);
    assert!(
        !is_over(&back_offs, 4 * SECOND + 50 * MS),
        "the probe has no response yet"
    );
    // A response to a request that was sent before the back-off does not end it.
    assert!(!back_offs.note_answered(ENDPOINT, SECOND));
    assert!(back_offs.note_answered(ENDPOINT, 4 * SECOND));
    assert!(back_offs.is_empty());
    assert!(is_over(&back_offs, 4 * SECOND + 60 * MS));
}

#[test]
fn a_probe_without_a_response_blocks_others_for_at_most_a_second() {
    let mut back_offs = with_one();
    back_offs.note_sent(4 * SECOND, ENDPOINT);
    assert!(!is_over(&back_offs, 5 * SECOND - 1));
    assert!(is_over(&back_offs, 5 * SECOND));
    back_offs.note_sent(5 * SECOND, ENDPOINT);
    // The failure of an earlier request has no effect; that of the probe allows the next one.
    back_offs.note_unanswered(ENDPOINT, SECOND);
    assert!(!is_over(&back_offs, 5 * SECOND + MS));
    back_offs.note_unanswered(ENDPOINT, 5 * SECOND);
    assert!(is_over(&back_offs, 5 * SECOND + MS));
}

#[test]
fn of_several_periods_the_one_that_ends_last_applies() {
    let mut back_offs = with_one();
    assert!(
        !back_offs.note_requested(2 * SECOND, ENDPOINT, SECOND / 2, 1, 0.0),
        "it is in back-off already"
    );
    assert!(!is_over(&back_offs, 4 * SECOND - 1), "a shorter period");
    back_offs.note_requested(3 * SECOND, ENDPOINT, PERIOD_US, 1, 0.0);
    assert!(!is_over(&back_offs, 6 * SECOND - 1), "a longer period");
    assert!(is_over(&back_offs, 6 * SECOND));
    // The response to the probe requests another back-off.
    back_offs.note_sent(6 * SECOND, ENDPOINT);
    back_offs.note_requested(6 * SECOND + MS, ENDPOINT, SECOND, 1, 0.0);
    assert!(!is_over(&back_offs, 7 * SECOND));
    assert!(is_over(&back_offs, 7 * SECOND + MS));
}

#[test]
fn a_zero_period_is_no_back_off_and_an_excessive_one_is_cut() {
    let mut back_offs = BackOffs::default();
    assert!(!back_offs.note_requested(SECOND, ENDPOINT, 0, 1, 0.0));
    assert!(is_over(&back_offs, SECOND));
    back_offs.note_requested(SECOND, ENDPOINT, u64::MAX, 1, 0.0);
    assert!(!is_over(&back_offs, 500 * SECOND));
    assert!(is_over(&back_offs, 601 * SECOND), "the period is cut");
    assert!(back_offs.note_unreadable(ENDPOINT));
    assert!(!back_offs.note_unreadable(ENDPOINT), "once");
    back_offs.note_requested(602 * SECOND, ENDPOINT, SECOND, 1, 0.0);
    assert!(
        back_offs.note_unreadable(ENDPOINT),
        "after a readable header"
    );
}

#[test]
fn memory_is_bounded_and_old_back_offs_expire() {
    let mut back_offs = BackOffs::default();
    for number in 0..10_000 {
        let period_us = SECOND + u64::from(number) * MS;
        back_offs.note_requested(SECOND, EndpointKey(number), period_us, 1, 0.0);
    }
    assert!(back_offs.len() <= 4_096, "{}", back_offs.len());
    let longest = EndpointKey(9_999);
    assert_matches!(
        back_offs.back_off(2 * SECOND, longest, UNUSED),
        BackOff::Until(_)
    );
    back_offs.expire(30 * SECOND, |_| true);
    assert!(back_offs.is_empty());
}

/// Guards against a burst when all back-offs end at the same moment and each instance always has requests for the
/// endpoint: the first instance resumes within a second, and few do within any tenth of a second.
#[test]
fn instances_resume_without_a_burst_and_without_a_long_pause() {
    for instances in [1, 7, 18, 85, 295] {
        let mut all: Vec<BackOffs> = (0..instances).map(|_| BackOffs::default()).collect();
        for (number, back_offs) in all.iter_mut().enumerate() {
            let draw = number as f64 / instances as f64;
            back_offs.note_requested(SECOND, ENDPOINT, PERIOD_US, instances, draw);
        }
        let mut resumed = Vec::new();
        for step in 0..4_000 {
            let now_us = 4 * SECOND + step * MS;
            let is_used = !resumed.is_empty();
            for back_offs in &mut all {
                if back_offs.back_off(now_us, ENDPOINT, || is_used) == BackOff::Over
                    && !back_offs.is_empty()
                {
                    back_offs.note_sent(now_us, ENDPOINT);
                    // The response comes at once, and the instance sends nothing more.
                    back_offs.note_answered(ENDPOINT, now_us);
                    resumed.push(now_us);
                }
            }
        }
        assert_eq!(resumed.len(), instances, "all resume");
        assert!(resumed[0] < 5 * SECOND, "{instances}: within a second");
        let within = |from: &u64| {
            resumed
                .iter()
                .filter(|at| (*from..*from + 100 * MS).contains(at))
                .count()
        };
        let most = resumed.iter().map(within).max().expect("some");
        assert!(most <= 12, "{instances}: {most} in a tenth of a second");
    }
}

/// Only one of many instances has requests for the endpoint, and its own delay is the longest.
#[test]
fn an_instance_that_sees_no_other_requests_does_not_wait_for_its_own_delay() {
    let mut back_offs = BackOffs::default();
    back_offs.note_requested(SECOND, ENDPOINT, PERIOD_US, 295, 0.99);
    assert_eq!(
        back_offs.back_off(4 * SECOND + 400 * MS, ENDPOINT, UNUSED),
        BackOff::Until(4 * SECOND + 500 * MS)
    );
    assert_eq!(
        back_offs.back_off(4 * SECOND + 500 * MS, ENDPOINT, UNUSED),
        BackOff::Over
    );
    assert_matches!(
        back_offs.back_off(4 * SECOND + 500 * MS, ENDPOINT, USED),
        BackOff::Until(_)
    );
    assert_eq!(
        back_offs.back_off(7 * SECOND, ENDPOINT, USED),
        BackOff::Over
    );
}

fn balancer(ids: &[&str]) -> Balancer {
    let mut balancer = Balancer::new("here".into());
    for id in ids {
        balancer.upsert_endpoint(entry(id, "here", 4), at(1));
    }
    balancer.advance_endpoints_position(at(1));
    balancer
}

#[test]
fn callers_are_refused_until_the_first_back_off_ends_where_all_endpoints_are_in_back_off() {
    let mut balancer = balancer(&["a", "b", "c"]);
    let ask = placement_request(1, 100, 0, SECOND);
    for (id, period_us) in [("a", 3 * SECOND), ("b", 2 * SECOND), ("c", 0)] {
        assert!(balancer.refuse_while_backing_off(SECOND, &ask).is_none());
        balancer.record_back_off(SECOND, entry(id, "here", 4).key(), period_us, 1, 0.0);
    }
    balancer.record_leaving(SECOND, entry("c", "here", 4).key());
    let later = crate::support::placement_request(2, 100, 0, 3 * SECOND);
    assert_matches!(
        balancer.place(SECOND, &ask, &[]),
        Placement::Refuse {
            reason: ENDPOINTS_BACKING_OFF,
            retry_after_ms: 2_000
        }
    );
    assert_matches!(
        balancer.refuse_while_backing_off(SECOND, &ask),
        Some(Placement::Refuse {
            reason: ENDPOINTS_BACKING_OFF,
            retry_after_ms: 2_000
        })
    );
    assert_matches!(balancer.place(3 * SECOND, &later, &[]), Placement::Send(choice) if &*choice.id == "b");
}

#[test]
fn back_offs_do_not_set_the_retry_time_where_an_endpoint_serves_and_was_tried() {
    let mut balancer = balancer(&["a", "b"]);
    let (a, b) = (entry("a", "here", 4).key(), entry("b", "here", 4).key());
    balancer.record_back_off(SECOND, a, 100 * SECOND, 1, 0.0);
    let placement = balancer.place(SECOND, &placement_request(1, 100, 0, SECOND), &[b]);
    assert_matches!(placement, Placement::Refuse { retry_after_ms, .. } if retry_after_ms < 1_000);
}

#[test]
fn a_back_off_applies_to_an_entry_that_returns_and_not_to_a_later_start() {
    let mut balancer = balancer(&["a"]);
    let first = entry("a", "here", 4);
    balancer.record_back_off(SECOND, first.key(), PERIOD_US, 1, 0.0);
    balancer.remove_endpoint(2 * SECOND, "a", at(2));
    balancer.tick(2 * SECOND);
    balancer.upsert_endpoint(first.clone(), at(3));
    assert_eq!(
        balancer.readiness(2 * SECOND, first.key()),
        Readiness::BackOffUntil(4 * SECOND)
    );
    let later = EndpointEntry {
        born_ms: 7,
        ..first
    };
    balancer.upsert_endpoint(later.clone(), at(4));
    assert_eq!(
        balancer.readiness(2 * SECOND, later.key()),
        Readiness::Ready
    );
}

#[test]
fn a_place_that_another_instance_granted_is_not_used_in_a_back_off() {
    let mut balancer = balancer(&["a"]);
    let ask = placement_request(1, 100, 0, SECOND);
    let Placement::Send(choice) = balancer.place(SECOND, &ask, &[]) else {
        panic!("a place");
    };
    balancer.record_back_off(SECOND, choice.key, PERIOD_US, 1, 0.0);
    assert!(
        balancer
            .place_granted(SECOND, &ask, choice.key, choice.expected)
            .is_none()
    );
}

/// Places requests until an endpoint is chosen for the first time; returns how many were sent elsewhere.
fn placed_before(balancer: &mut Balancer, id: &str) -> usize {
    (0..100)
        .take_while(|number| {
            let ask = placement_request(*number, 100, 0, SECOND);
            let placement = balancer.place(SECOND, &ask, &[]);
            matches!(placement, Placement::Send(choice) if &*choice.id != id)
        })
        .count()
}

/// An endpoint requested a back-off from one of seven instances: the others prefer endpoints without a back-off, and
/// use this one once those are as loaded.
#[test]
fn back_offs_requested_from_others_are_a_sign_of_load() {
    let (mut notified, mut other) = (balancer(&["a", "b"]), balancer(&["a", "b"]));
    let key = entry("a", "here", 4).key();
    notified.record_back_off(SECOND, key, PERIOD_US, 7, 0.0);
    assert!(notified.take_announcements_changed());
    let updates = notified.take_announcements_to_send(SECOND, Audience::Peers);
    assert_eq!(updates[0].rest_ms, 3_000);
    other.apply_peer_announcements(SECOND, &updates);
    assert_eq!(
        other.readiness(SECOND, key),
        Readiness::Ready,
        "the back-off does not bind it"
    );
    let elsewhere = placed_before(&mut other, "a");
    assert!(
        (4..8).contains(&elsewhere),
        "{elsewhere} to the other endpoint, which has four slots"
    );
    let mut without_updates = balancer(&["a", "b"]);
    assert!(placed_before(&mut without_updates, "a") < 2);
    // It ends at the same moment for all, and updates on it carry the remaining time.
    let later = other.take_announcements_to_send(3 * SECOND, Audience::Peers);
    assert_eq!(later[0].rest_ms, 1_000);
    assert!(other.announcements().wants_back_off(4 * SECOND - 1, key));
    assert!(!other.announcements().wants_back_off(4 * SECOND, key));
}

/// Guards against an update from each instance when an endpoint requests a back-off from many, one after the other.
#[test]
fn a_known_back_off_causes_no_further_update() {
    let mut balancer = balancer(&["a"]);
    let key = entry("a", "here", 4).key();
    balancer.record_back_off(SECOND, key, PERIOD_US, 7, 0.0);
    assert!(balancer.take_announcements_changed());
    for step in 1..4 {
        balancer.record_back_off(SECOND + step * 100 * MS, key, PERIOD_US, 7, 0.0);
        assert!(!balancer.take_announcements_changed());
    }
    balancer.record_back_off(2 * SECOND, key, PERIOD_US, 7, 0.0);
    assert!(balancer.take_announcements_changed(), "another back-off");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]
    /// In any order of events, no request is sent within any requested period, and the endpoint serves again within a
    /// second of the end of the last one.
    #[test]
    fn no_request_is_sent_within_any_period(steps in prop::collection::vec((0_u8..5, 0_u64..900, 0_u64..2_000), 1..80)) {
        let mut back_offs = BackOffs::default();
        let (mut now_us, mut until_us, mut sent_us) = (SECOND, 0, 0);
        for (event, delay_ms, rest_ms) in steps {
            now_us += delay_ms * MS;
            match event {
                0 => {
                    back_offs.note_requested(now_us, ENDPOINT, rest_ms * MS, 7, 0.3);
                    until_us = until_us.max(now_us + rest_ms * MS);
                }
                1 => { back_offs.note_answered(ENDPOINT, sent_us); }
                2 => back_offs.note_unanswered(ENDPOINT, sent_us),
                3 => back_offs.expire(now_us, |_| true),
                _ => {
                    let state = back_offs.back_off(now_us, ENDPOINT, || rest_ms % 2 == 0);
                    prop_assert!(state != BackOff::Over || now_us >= until_us, "{now_us} {until_us}");
                    if state == BackOff::Over {
                        back_offs.note_sent(now_us, ENDPOINT);
                        sent_us = now_us;
                    }
                }
            }
        }
        let late_us = until_us.max(now_us) + SECOND;
        prop_assert_eq!(back_offs.back_off(late_us, ENDPOINT, UNUSED), BackOff::Over);
    }
}
